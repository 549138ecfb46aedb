"""A settings file to a checked ``Config``; each fault is one line that names file and line."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from yardbank.config.checked import ConfigError, Shape, check_text, read_text
from yardbank.config.schema import LABELS, SINGLE, Config, match_key
from yardbank.directory import naming

__all__ = ["ConfigError", "load", "load_text"]


def load(path: Path) -> Config:
    """Read and check a file. Raises ``ConfigError``."""
    return load_text(read_text(path), str(path))


def load_text(text: str, name: str = "settings") -> Config:
    """Check settings given as text."""
    return check_text(text, name, Shape(Config, LABELS, SINGLE, cross_faults))


def cross_faults(config: Config) -> list[tuple[tuple[Any, ...], str]]:
    """What no single field shows: names given twice, names that lead nowhere, classes that match alike."""
    found: list[tuple[tuple[Any, ...], str]] = []
    for kind, items in (
        ("group", config.group),
        ("server", config.server),
        ("class", config.classes),
        ("identity", config.identity),
        ("backend", config.backend),
    ):
        seen: set[str] = set()
        for index, item in enumerate(items):
            label = getattr(item, LABELS[kind])
            label = naming.fold(label) if kind == "identity" else label
            if label in seen:
                found.append(((kind, index), f'{kind} "{label}" is given twice'))
            seen.add(label)
    for name in ("leases", "channels", "rollout", "atlas", "distribution"):
        if getattr(config, name) is not None and config.peers is None:
            found.append(((name,), f"{name}: needs a peers block"))
    if bool(config.server) == bool(config.membership):
        found.append(((), "servers are listed here, or a membership block says where: one of both"))
    if config.gateway.index >= config.gateway.gateways:
        reason = f"gateway: index {config.gateway.index} is not below gateways = {config.gateway.gateways}"
        found.append((("gateway", "index"), reason))
    groups = {group.name for group in config.group}
    suffixes: dict[str, str] = {}
    for index, group in enumerate(config.group):
        if other := suffixes.get(naming.fold(group.suffix)):
            found.append((("group", index, "suffix"), f'group "{group.name}" has the suffix of group "{other}"'))
        suffixes[naming.fold(group.suffix)] = group.name
    places: dict[tuple[str, int], str] = {}
    for index, server in enumerate(config.server):
        if server.group not in groups:
            found.append((("server", index, "group"), f'server "{server.name}": no group "{server.group}"'))
        if other := places.get((server.address, server.port)):
            found.append((("server", index, "port"), f'server "{server.name}" has the address of server "{other}"'))
        places[server.address, server.port] = server.name
    rules: dict[Any, str] = {}
    for index, kind_ in enumerate(config.classes):
        if kind_.name.startswith("strict-"):
            found.append((("class", index), f'class "{kind_.name}": names that begin with strict- are taken'))
        for number, match in enumerate(kind_.match):
            for operation in match.operation:
                key = match_key(match, operation)
                other = rules.get(key)
                if other is not None and other != kind_.name:
                    reason = f'class "{kind_.name}" and class "{other}" match alike ({operation})'
                    found.append((("class", index, "match", number), reason))
                rules[key] = kind_.name
    return found
