"""A settings file to a checked ``Config``; each fault is one line that names file and line."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from pydantic import ValidationError

from yardbank.config.hcl import Body, HclError, parse
from yardbank.config.schema import LABELS, SINGLE, Config, match_key
from yardbank.ldap import filters

MAX_OCTETS = 16 << 20


class ConfigError(ValueError):
    """Settings that cannot be used; ``faults`` are lines such as ``file.hcl:12: server a: ...``."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


def load(path: Path) -> Config:
    """Read and check a file. Raises ``ConfigError``."""
    try:
        data = path.read_bytes()
    except OSError as problem:
        raise ConfigError([f"{path}: {problem.strerror or problem}"]) from None
    if len(data) > MAX_OCTETS:
        raise ConfigError([f"{path}: {len(data)} octets, {MAX_OCTETS} allowed"])
    try:
        text = data.decode()
    except UnicodeDecodeError as problem:
        line = data[: problem.start].count(b"\n") + 1
        raise ConfigError([f"{path}:{line}: not UTF-8"]) from None
    return load_text(text, str(path))


def load_text(text: str, name: str = "settings") -> Config:
    """Check settings given as text."""
    try:
        body = parse(text)
    except HclError as problem:
        raise ConfigError([f"{name}:{problem.line}: {problem.reason}"]) from None
    lines: dict[tuple[Any, ...], int] = {}
    faults: list[str] = []
    plain = _plain(body, lines, (), faults, name)
    if faults:
        raise ConfigError(faults)
    try:
        config = Config.model_validate(plain)
    except ValidationError as problem:
        raise ConfigError([_fault(error, lines, plain, name) for error in problem.errors()]) from None
    faults = [f"{name}:{lines.get(path, 1)}: {reason}" for path, reason in cross_faults(config)]
    if faults:
        raise ConfigError(faults)
    return config


def _plain(body: Body, lines: dict[tuple[Any, ...], int], path: tuple[Any, ...], faults: list[str], name: str) -> Any:
    """Attributes and blocks as the schema wants them; labels become the field that they stand for."""
    found: dict[str, Any] = dict(body.attributes)
    lines[path] = body.line
    for key, line in body.lines.items():
        lines[(*path, key)] = line
    for kind, blocks in body.blocks.items():
        if kind in SINGLE and not path:
            if len(blocks) > 1:
                faults.append(f"{name}:{blocks[1].line}: '{kind}' is given twice")
            found[kind] = _plain(blocks[0], lines, (kind,), faults, name)
            continue
        items = []
        for index, block in enumerate(blocks):
            item = _plain(block, lines, (*path, kind, index), faults, name)
            label = LABELS.get(kind) if not path else None
            if block.label and label is None:
                faults.append(f"{name}:{block.line}: '{kind}' takes no label")
            elif label is not None and label in item:
                faults.append(f"{name}:{lines[*path, kind, index, label]}: '{label}' is the block's label")
            elif label is not None and block.label:
                item[label] = block.label
            items.append(item)
        found[kind] = items
    return found


def _fault(error: Any, lines: dict[tuple[Any, ...], int], plain: Any, name: str) -> str:
    path = tuple(error["loc"])
    line = next((lines[path[:cut]] for cut in range(len(path), -1, -1) if path[:cut] in lines), 1)
    reason = {"extra_forbidden": "unknown key", "missing": "missing"}.get(error["type"], error["msg"])
    reason = reason.removeprefix("Value error, ")
    where = ""
    if len(path) >= 2 and isinstance(path[1], int):
        label = plain[path[0]][path[1]].get(LABELS.get(path[0], ""), "")
        where = f'{path[0]} "{label}": ' if label else f"{path[0]}: "
        path = path[2:]
    field = ".".join(str(part) for part in path if not isinstance(part, int))
    return f"{name}:{line}: {where}{field}: {reason}" if field else f"{name}:{line}: {where}{reason}"


def cross_faults(config: Config) -> list[tuple[tuple[Any, ...], str]]:
    """What no single field shows: names given twice, names that lead nowhere, classes that match alike."""
    found: list[tuple[tuple[Any, ...], str]] = []
    for kind, items in (
        ("group", config.group), ("server", config.server), ("class", config.classes), ("identity", config.identity),
        ("backend", config.backend),
    ):  # fmt: skip
        seen: set[str] = set()
        for index, item in enumerate(items):
            label = getattr(item, LABELS[kind])
            label = filters.fold(label) if kind == "identity" else label
            if label in seen:
                found.append(((kind, index), f'{kind} "{label}" is given twice'))
            seen.add(label)
    if bool(config.server) == bool(config.membership):
        found.append(((), "servers are listed here, or a membership block says where: one of both"))
    if config.gateway.index >= config.gateway.gateways:
        reason = f"gateway: index {config.gateway.index} is not below gateways = {config.gateway.gateways}"
        found.append((("gateway", "index"), reason))
    groups = {group.name for group in config.group}
    suffixes: dict[str, str] = {}
    for index, group in enumerate(config.group):
        if other := suffixes.get(filters.fold(group.suffix)):
            found.append((("group", index, "suffix"), f'group "{group.name}" has the suffix of group "{other}"'))
        suffixes[filters.fold(group.suffix)] = group.name
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
