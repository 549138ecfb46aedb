"""Loads and validates a settings file. Each fault is one line that names file and line."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from yardbank.config.checked import ConfigError, Faults, Shape, check_text, read_text
from yardbank.config.schema import LABELS, SINGLE, Config, match_key
from yardbank.directory import naming

__all__ = ["ConfigError", "load", "load_text"]


def load(path: Path) -> Config:
    """Load a settings file. Raises ``ConfigError``."""
    return load_text(read_text(path), str(path))


def load_text(text: str, name: str = "settings") -> Config:
    """Load settings from text. Raises ``ConfigError``."""
    return check_text(text, name, Shape(Config, LABELS, SINGLE, cross_faults))


def cross_faults(config: Config) -> Faults:
    """Faults that involve several fields: duplicate names, unknown groups, missing blocks, ambiguous classes."""
    return [
        *_duplicate_names(config),
        *_missing_blocks(config),
        *_duplicate_suffixes(config),
        *_invalid_servers(config),
        *_ambiguous_classes(config),
    ]


def _duplicate_names(config: Config) -> Faults:
    faults: Faults = []
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
                faults.append(((kind, index), f'{kind} "{label}" is given twice'))
            seen.add(label)
    return faults


def _missing_blocks(config: Config) -> Faults:
    faults: Faults = []
    for name in ("leases", "channels", "rollout", "atlas", "distribution"):
        if getattr(config, name) is not None and config.peers is None:
            faults.append(((name,), f"{name}: needs a peers block"))
    if bool(config.server) == bool(config.membership):
        faults.append(((), "exactly one is needed: server blocks, or a membership block"))
    if config.gateway.index >= config.gateway.gateways:
        reason = f"gateway: index {config.gateway.index} is not below gateways = {config.gateway.gateways}"
        faults.append((("gateway", "index"), reason))
    return faults


def _duplicate_suffixes(config: Config) -> Faults:
    faults: Faults = []
    group_by_suffix: dict[str, str] = {}
    for index, group in enumerate(config.group):
        suffix = naming.fold(group.suffix)
        if other := group_by_suffix.get(suffix):
            faults.append((("group", index, "suffix"), f'group "{group.name}" has the suffix of group "{other}"'))
        group_by_suffix[suffix] = group.name
    return faults


def _invalid_servers(config: Config) -> Faults:
    faults: Faults = []
    groups = {group.name for group in config.group}
    server_by_address: dict[tuple[str, int], str] = {}
    for index, server in enumerate(config.server):
        if server.group not in groups:
            faults.append((("server", index, "group"), f'server "{server.name}": no group "{server.group}"'))
        if other := server_by_address.get((server.address, server.port)):
            faults.append((("server", index, "port"), f'server "{server.name}" has the address of server "{other}"'))
        server_by_address[server.address, server.port] = server.name
    return faults


def _ambiguous_classes(config: Config) -> Faults:
    faults: Faults = []
    class_by_rule: dict[Any, str] = {}
    for index, request_class in enumerate(config.classes):
        name = request_class.name
        if name.startswith("strict-"):
            faults.append((("class", index), f'class "{name}": names that begin with strict- are reserved'))
        for number, match in enumerate(request_class.match):
            for operation in match.operation:
                key = match_key(match, operation)
                other = class_by_rule.get(key, name)
                if other != name:
                    reason = f'class "{name}" and class "{other}" match alike ({operation})'
                    faults.append((("class", index, "match", number), reason))
                class_by_rule[key] = name
    return faults
