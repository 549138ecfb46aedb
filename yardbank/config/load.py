"""A settings file to a checked ``Config``; each fault is one line that names file and line."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from yardbank.config.checked import ConfigError, Faults, Shape, check_text, read_text
from yardbank.config.schema import LABELS, SINGLE, Config, match_key
from yardbank.directory import naming

__all__ = ["ConfigError", "load", "load_text"]


def load(path: Path) -> Config:
    """Read and check a file. Raises ``ConfigError``."""
    return load_text(read_text(path), str(path))


def load_text(text: str, name: str = "settings") -> Config:
    """Check settings given as text."""
    return check_text(text, name, Shape(Config, LABELS, SINGLE, cross_faults))


def cross_faults(config: Config) -> Faults:
    """What no single field shows: names given twice, names that lead nowhere, classes that match alike."""
    return [
        *_repeated_names(config),
        *_blocks_that_need_others(config),
        *_groups_with_one_suffix(config),
        *_servers_that_do_not_fit(config),
        *_classes_that_match_alike(config),
    ]


def _repeated_names(config: Config) -> Faults:
    found: Faults = []
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
            if kind == "identity":
                label = naming.fold(label)
            if label in seen:
                found.append(((kind, index), f'{kind} "{label}" is given twice'))
            seen.add(label)
    return found


def _blocks_that_need_others(config: Config) -> Faults:
    found: Faults = []
    for name in ("leases", "channels", "rollout", "atlas", "distribution"):
        if getattr(config, name) is not None and config.peers is None:
            found.append(((name,), f"{name}: needs a peers block"))
    if bool(config.server) == bool(config.membership):
        found.append(((), "servers are listed here, or a membership block says where: one of both"))
    if config.gateway.index >= config.gateway.gateways:
        reason = f"gateway: index {config.gateway.index} is not below gateways = {config.gateway.gateways}"
        found.append((("gateway", "index"), reason))
    return found


def _groups_with_one_suffix(config: Config) -> Faults:
    found: Faults = []
    group_of_suffix: dict[str, str] = {}
    for index, group in enumerate(config.group):
        suffix = naming.fold(group.suffix)
        if other := group_of_suffix.get(suffix):
            found.append((("group", index, "suffix"), f'group "{group.name}" has the suffix of group "{other}"'))
        group_of_suffix[suffix] = group.name
    return found


def _servers_that_do_not_fit(config: Config) -> Faults:
    found: Faults = []
    groups = {group.name for group in config.group}
    server_at: dict[tuple[str, int], str] = {}
    for index, server in enumerate(config.server):
        if server.group not in groups:
            found.append((("server", index, "group"), f'server "{server.name}": no group "{server.group}"'))
        if other := server_at.get((server.address, server.port)):
            found.append((("server", index, "port"), f'server "{server.name}" has the address of server "{other}"'))
        server_at[server.address, server.port] = server.name
    return found


def _classes_that_match_alike(config: Config) -> Faults:
    found: Faults = []
    class_of_rule: dict[Any, str] = {}
    for index, request_class in enumerate(config.classes):
        name = request_class.name
        if name.startswith("strict-"):
            found.append((("class", index), f'class "{name}": names that begin with strict- are taken'))
        for number, match in enumerate(request_class.match):
            for operation in match.operation:
                key = match_key(match, operation)
                other = class_of_rule.get(key, name)
                if other != name:
                    reason = f'class "{name}" and class "{other}" match alike ({operation})'
                    found.append((("class", index, "match", number), reason))
                class_of_rule[key] = name
    return found
