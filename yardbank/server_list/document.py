"""Parses and validates a set of server list files. No I/O: takes texts, returns a ``ServerListDocument`` or raises.

A set is one file or several. Files contain ``server`` blocks, ``weights`` blocks that refer to servers by name,
``class`` blocks and ``plan`` blocks. Any file may have ``set = "..."``, which must be equal in all files that have it,
and ``count = N``, the number of servers in that file. Groups are defined by the settings.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

import xxhash
from pydantic import ValidationError

from yardbank.config.base import duration
from yardbank.config.hcl import Body, HclError, parse
from yardbank.config.schema import Class, Server
from yardbank.gateway.api import ServerSpec
from yardbank.plan.active_plan import MadePlan
from yardbank.server_list.block_cache import BlockCache

MAX_SERVERS = 20_000


class ServerListError(ValueError):
    """An invalid set. Each of ``faults`` is one line naming file and line."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


@dataclass(slots=True, frozen=True)
class ServerListDelta:
    """Difference between two versions: old and new value of each changed server, by name (None: absent)."""

    base: str  # digest of the old version
    changes: Mapping[str, tuple[ServerSpec | None, ServerSpec | None]]


@dataclass(slots=True, frozen=True)
class ServerListDocument:
    """One complete and valid version of the list."""

    servers: tuple[ServerSpec, ...]
    digest: str
    set_name: str = ""
    force: bool = False  # the operator confirms that a large change is intended
    classes: tuple[Class, ...] = ()  # empty: those of the settings apply
    plans: tuple[MadePlan, ...] = ()
    delta: ServerListDelta | None = field(default=None, compare=False)  # set if the version was read incrementally

    def by_name(self) -> dict[str, ServerSpec]:
        """Servers by name."""
        return {server.name: server for server in self.servers}


def digest_of(texts: Mapping[str, bytes]) -> str:
    """Hash of the names and contents of the files, independent of their order."""
    hasher = xxhash.xxh3_128()
    for name in sorted(texts):
        hasher.update(f"{len(name)}:{name}:{len(texts[name])}:".encode())
        hasher.update(texts[name])
    return hasher.hexdigest()


@dataclass(slots=True)
class _SetContents:
    """What the files of a set contain, before the files are checked against each other."""

    faults: list[str] = field(default_factory=list)
    servers: dict[str, tuple[ServerSpec, str]] = field(default_factory=dict)  # by name, with file and line
    server_by_address: dict[tuple[str, int], str] = field(default_factory=dict)  # server names by address and port
    weights: list[tuple[str, float, str]] = field(default_factory=list)  # server name, weight, file and line
    sets: dict[str, str] = field(default_factory=dict)  # set names by file
    classes: dict[str, Class] = field(default_factory=dict)
    counts: dict[str, tuple[int, int, int]] = field(default_factory=dict)  # by file: declared, line, server blocks
    plans: list[MadePlan] = field(default_factory=list)
    force: bool = False


def read_set(
    texts: Mapping[str, bytes],
    groups: Iterable[str],
    blocks: BlockCache | None = None,
    block_weights: dict[str, float] | None = None,
    declared_counts: dict[str, int] | None = None,
) -> ServerListDocument:
    """Read and check a set, file by file. Raises ``ServerListError`` with every fault found.

    ``blocks`` caches parsed blocks, so that a set read again is not parsed again. ``block_weights`` receives the
    weights that weights blocks assign, by server name; ``declared_counts`` receives the servers that each file
    declares in ``count``, by file name. Both are filled even if the set has faults.
    """
    blocks = blocks or BlockCache()
    known_groups = set(groups)
    if not texts:
        raise ServerListError(["the list: no files found"])
    contents = _SetContents()
    for name in sorted(texts):
        body = _parse_file(name, texts[name], blocks, contents.faults)
        if body is not None:
            _read_attributes(name, body, contents)
            _read_blocks(name, body, known_groups, contents)
    if declared_counts is not None:
        declared_counts.update({name: declared for name, (declared, _, _) in contents.counts.items()})
    _check_counts(contents)
    _check_set_names(contents)
    assigned_weights = _assign_weights(contents)
    if block_weights is not None:
        block_weights.update(assigned_weights)
    _check_server_total(texts, contents)
    if contents.faults:
        raise ServerListError(contents.faults)
    return ServerListDocument(
        tuple(spec for spec, _ in contents.servers.values()),
        digest_of(texts),
        next(iter(contents.sets.values()), ""),
        contents.force,
        tuple(contents.classes.values()),
        tuple(contents.plans),
    )


def _parse_file(name: str, text: bytes, blocks: BlockCache, faults: list[str]) -> Body | None:
    """Parse one file. Returns None and records a fault if it is not UTF-8 or not HCL."""
    try:
        return blocks.parse(text.decode())
    except UnicodeDecodeError as error:
        faults.append(f"{name}:{text[: error.start].count(10) + 1}: not UTF-8")
    except HclError as error:
        faults.append(f"{name}:{error.line}: {error.reason}")
    return None


def _read_attributes(name: str, body: Body, contents: _SetContents) -> None:
    """Read the attributes of one file: ``force``, ``count`` and ``set``."""
    for key, line in body.lines.items():
        value = body.attributes[key]
        if key == "force" and isinstance(value, bool):
            contents.force = contents.force or value
        elif key == "count" and type(value) is int:
            contents.counts[name] = value, line, len(body.blocks.get("server", ()))
        elif key == "set" and isinstance(value, str):
            contents.sets[name] = value
        else:
            contents.faults.append(f"{name}:{line}: {key}: unknown key or wrong type")


def _read_blocks(name: str, body: Body, groups: set[str], contents: _SetContents) -> None:
    """Read the blocks of one file, kind by kind."""
    for kind, found in body.blocks.items():
        for block in found:
            _read_block(name, kind, block, groups, contents)


def _read_block(name: str, kind: str, block: Body, groups: set[str], contents: _SetContents) -> None:
    """Read one block of a file according to its kind."""
    if kind == "server":
        _read_server(name, block, groups, contents.servers, contents.server_by_address, contents.faults)
    elif kind == "class":
        _read_class(name, block, contents.classes, contents.faults)
    elif kind == "plan":
        _read_plan(name, block, contents.plans, contents.faults)
    elif kind == "weights" and not block.label and not block.blocks:
        _read_weights(name, block, contents.weights, contents.faults)
    else:
        contents.faults.append(f"{name}:{block.line}: {kind}: unknown block")


def _check_counts(contents: _SetContents) -> None:
    """Check ``count`` of each file against its server blocks: a file truncated between two blocks still parses."""
    for name, (declared, line, present) in contents.counts.items():
        if declared != present:
            contents.faults.append(f"{name}:{line}: count is {declared}, but the file has {present} servers")


def _check_set_names(contents: _SetContents) -> None:
    """Check that all files with ``set`` have the same value."""
    if len(set(contents.sets.values())) <= 1:
        return
    parts = ", ".join(f"{name} has {value!r}" for name, value in sorted(contents.sets.items()))
    contents.faults.append(f"the files belong to different sets: {parts}")


def _assign_weights(contents: _SetContents) -> dict[str, float]:
    """Assign the weights of the weights blocks to their servers. Returns these weights by server name."""
    assigned: dict[str, float] = {}
    for server, weight, location in contents.weights:
        if server not in contents.servers:
            contents.faults.append(f"{location}: weights: no server {server!r}")
            continue
        spec, server_location = contents.servers[server]
        contents.servers[server] = replace(spec, weight=weight), server_location
        assigned[server] = weight
    return assigned


def _check_server_total(texts: Mapping[str, bytes], contents: _SetContents) -> None:
    """Check that the set has between one and ``MAX_SERVERS`` servers."""
    if not contents.servers and not contents.faults:
        contents.faults.append(f"{sorted(texts)[0]}:1: the list names no server")
    if len(contents.servers) > MAX_SERVERS:
        contents.faults.append(f"the list names {len(contents.servers)} servers, {MAX_SERVERS} allowed")


def read_server_block(block: Body, groups: Iterable[str]) -> ServerSpec | None:
    """The server of a single block; None if the block is invalid."""
    if block.blocks or not block.label:
        return None
    try:
        s = Server.model_validate({"name": block.label, **block.attributes})
    except ValidationError:
        return None
    if s.group not in groups:
        return None
    return ServerSpec(s.name, s.group, s.zone, s.address, s.port, s.primary, s.state, s.started, s.weight)


def _read_server(
    name: str,
    block: Body,
    groups: set[str],
    servers: dict[str, tuple[ServerSpec, str]],
    server_by_address: dict[tuple[str, int], str],
    faults: list[str],
) -> None:
    location = f"{name}:{block.line}"
    if block.blocks:
        faults.append(f"{location}: server {block.label!r}: nested blocks are not allowed")
        return
    try:
        s = Server.model_validate({"name": block.label, **block.attributes})
    except ValidationError as exception:
        for error in exception.errors():
            key = str(error["loc"][0]) if error["loc"] else ""
            reason = {"extra_forbidden": "unknown key", "missing": "missing"}.get(error["type"], error["msg"])
            faults.append(f"{name}:{block.lines.get(key, block.line)}: server {block.label!r}: {key}: {reason}")
        return
    if not s.name:
        faults.append(f"{location}: server without a name")
    elif s.name in servers:
        faults.append(f"{location}: server {s.name!r} is listed twice, first at {servers[s.name][1]}")
    elif s.group not in groups:
        faults.append(f"{location}: server {s.name!r}: no group {s.group!r}")
    elif (other := server_by_address.get((s.address, s.port))) is not None:
        faults.append(f"{location}: server {s.name!r} has the address of server {other!r}")
    else:
        server_by_address[s.address, s.port] = s.name
        spec = ServerSpec(s.name, s.group, s.zone, s.address, s.port, s.primary, s.state, s.started, s.weight)
        servers[s.name] = spec, location


def _read_class(name: str, block: Body, classes: dict[str, Class], faults: list[str]) -> None:
    matches = block.blocks.get("match", [])
    unknown = [nested for kind, blocks in block.blocks.items() if kind != "match" for nested in blocks]
    if unknown or any(nested.blocks for nested in matches):
        faults.append(f"{name}:{block.line}: class {block.label!r}: only match blocks are allowed in it")
        return
    try:
        request_class = Class.model_validate(
            {"name": block.label, **block.attributes, "match": [nested.attributes for nested in matches]}
        )
    except ValidationError as exception:
        for error in exception.errors():
            key = str(error["loc"][0]) if error["loc"] else ""
            reason = error["msg"].removeprefix("Value error, ")
            faults.append(f"{name}:{block.lines.get(key, block.line)}: class {block.label!r}: {key}: {reason}")
        return
    if request_class.name in classes:
        faults.append(f"{name}:{block.line}: class {request_class.name!r} is given twice")
    classes[request_class.name] = request_class


def read_plans(texts: Mapping[str, bytes]) -> tuple[MadePlan, ...]:
    """The plans in files that are read without the rest of a set. Raises ``ServerListError``, also without any plan."""
    plans: list[MadePlan] = []
    faults: list[str] = []
    for name in sorted(texts):
        try:
            body = parse(texts[name].decode())
        except UnicodeDecodeError as error:
            faults.append(f"{name}:{texts[name][: error.start].count(10) + 1}: not UTF-8")
            continue
        except HclError as error:
            faults.append(f"{name}:{error.line}: {error.reason}")
            continue
        for block in body.blocks.get("plan", ()):
            _read_plan(name, block, plans, faults)
    if not faults and not plans:
        faults.append(f"{sorted(texts)[0]}:1: no plan block found")
    if faults:
        raise ServerListError(faults)
    return tuple(plans)


def _read_plan(name: str, block: Body, plans: list[MadePlan], faults: list[str]) -> None:
    """Read one plan block. Adds the plan only if ``faults`` is empty, which includes earlier faults of the set."""
    _check_plan_attributes(name, block, faults)
    fade = _plan_fade(name, block, faults)
    weights, switchover = _plan_blocks(name, block, faults)
    if faults:
        return
    plans.append(
        MadePlan(
            block.label,
            block.attributes["list"],
            float(block.attributes["made"]),
            fade / 1e9,
            weights,
            block.attributes.get("proven", True),
            switchover,
            block.attributes.get("relaxed", ""),
        )
    )


def _check_plan_attributes(name: str, block: Body, faults: list[str]) -> None:
    """Check that keys are known, values have the right type, and ``list`` and ``made`` are present."""
    types = {"list": str, "made": (int, float), "fade": str, "proven": bool, "relaxed": str}
    for key, line in block.lines.items():
        value = block.attributes[key]
        if key not in types:
            faults.append(f"{name}:{line}: plan {block.label!r}: {key}: unknown key")
        elif not isinstance(value, types[key]) or (isinstance(value, bool) and key != "proven"):  # type: ignore[arg-type]
            faults.append(f"{name}:{line}: plan {block.label!r}: {key}: not what is wanted there")
    for key in ("list", "made"):
        if key not in block.attributes:
            faults.append(f"{name}:{block.line}: plan {block.label!r}: {key}: missing")


def _plan_fade(name: str, block: Body, faults: list[str]) -> int:
    """The plan's ``fade`` in nanoseconds, one hour by default. Returns 0 and records a fault if it is no duration."""
    try:
        return duration(block.attributes.get("fade", "1h"))
    except ValueError as error:
        faults.append(f"{name}:{block.lines.get('fade', block.line)}: plan {block.label!r}: fade: {error}")
        return 0


def _plan_blocks(name: str, block: Body, faults: list[str]) -> tuple[dict[str, float], dict[str, str]]:
    """Read the blocks inside a plan: weights by server name, and the server to switch over to by group."""
    weights: list[tuple[str, float, str]] = []
    switchover: dict[str, str] = {}
    for kind, found in block.blocks.items():
        for nested in found:
            if kind == "weights":
                _read_weights(name, nested, weights, faults)
            elif kind == "switchover" and all(isinstance(value, str) for value in nested.attributes.values()):
                switchover.update(nested.attributes)
            else:
                faults.append(
                    f"{name}:{nested.line}: plan {block.label!r}: {kind}: unknown block, or a value that is not a name"
                )
    return {server: weight for server, weight, _ in weights}, switchover


def _read_weights(name: str, block: Body, weights: list[tuple[str, float, str]], faults: list[str]) -> None:
    for server, value in block.attributes.items():
        location = f"{name}:{block.lines[server]}"
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value <= 1e6:
            faults.append(f"{location}: weights: {server}: must be a number above 0 and at most 1e6")
        else:
            weights.append((server, float(value), location))


def render(servers: Iterable[ServerSpec], set_name: str = "") -> str:
    """The text of a list file with these servers."""
    servers = list(servers)
    parts = [f"count = {len(servers)}"] + ([f'set = "{set_name}"'] if set_name else [])
    for s in servers:
        parts.append(
            f'server "{s.name}" {{\n  group   = "{s.group}"\n  zone    = "{s.zone}"\n  address = "{s.host}"\n'
            f"  port    = {s.port}\n  primary = {'true' if s.primary else 'false'}\n"
            f'  state   = "{s.state}"\n  started = {s.started}\n  weight  = {s.weight}\n}}'
        )
    return "\n\n".join(parts) + "\n"
