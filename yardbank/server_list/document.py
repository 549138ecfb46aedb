"""A set of list files as one checked value. No I/O: texts come in, a ``ServerListDocument`` or faults go out.

A set is one file or several parts: ``server`` blocks, ``weights`` blocks that name servers, ``class`` blocks,
and in any part ``set = "..."``, which all parts that carry it must agree on, and ``count = N``, the servers of
that file. Groups are the settings' own.
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
    """A set that cannot be used; ``faults`` are lines that name file and line."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


@dataclass(slots=True, frozen=True)
class ServerListDelta:
    """What a version changes of another: by server name, how it was and how it is (None: not there)."""

    base: str  # the digest of the version that it changes
    changes: Mapping[str, tuple[ServerSpec | None, ServerSpec | None]]


@dataclass(slots=True, frozen=True)
class ServerListDocument:
    """One complete, valid version of the list."""

    servers: tuple[ServerSpec, ...]
    digest: str
    set_name: str = ""
    force: bool = False  # the operator's word that a large change is meant
    classes: tuple[Class, ...] = ()  # empty: the settings' own stay in force
    plans: tuple[MadePlan, ...] = ()
    delta: ServerListDelta | None = field(default=None, compare=False)  # known where it was read by its change

    def by_name(self) -> dict[str, ServerSpec]:
        """Servers by name."""
        return {server.name: server for server in self.servers}


def digest_of(texts: Mapping[str, bytes]) -> str:
    """A short name of exactly these contents; the order of the files does not matter."""
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
    places: dict[tuple[str, int], str] = field(default_factory=dict)  # server names by address and port
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
        raise ServerListError(["the list: no file is there"])
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
    """One file parsed; None, and a fault, if it is not UTF-8 or not HCL."""
    try:
        return blocks.parse(text.decode())
    except UnicodeDecodeError as problem:
        faults.append(f"{name}:{text[: problem.start].count(10) + 1}: not UTF-8")
    except HclError as problem:
        faults.append(f"{name}:{problem.line}: {problem.reason}")
    return None


def _read_attributes(name: str, body: Body, contents: _SetContents) -> None:
    """The attributes of one file: ``force``, ``count`` and ``set``."""
    for key, line in body.lines.items():
        value = body.attributes[key]
        if key == "force" and isinstance(value, bool):
            contents.force = contents.force or value
        elif key == "count" and type(value) is int:
            contents.counts[name] = value, line, len(body.blocks.get("server", ()))
        elif key == "set" and isinstance(value, str):
            contents.sets[name] = value
        else:
            contents.faults.append(f"{name}:{line}: {key}: unknown key, or not a string")


def _read_blocks(name: str, body: Body, groups: set[str], contents: _SetContents) -> None:
    """The blocks of one file, kind by kind."""
    for kind, found in body.blocks.items():
        for block in found:
            _read_block(name, kind, block, groups, contents)


def _read_block(name: str, kind: str, block: Body, groups: set[str], contents: _SetContents) -> None:
    """One block of a file, by its kind."""
    if kind == "server":
        _server(name, block, groups, contents.servers, contents.places, contents.faults)
    elif kind == "class":
        _class(name, block, contents.classes, contents.faults)
    elif kind == "plan":
        _plan(name, block, contents.plans, contents.faults)
    elif kind == "weights" and not block.label and not block.blocks:
        _weights(name, block, contents.weights, contents.faults)
    else:
        contents.faults.append(f"{name}:{block.line}: {kind}: unknown block")


def _check_counts(contents: _SetContents) -> None:
    """Each file's ``count`` equals its server blocks: a file cut between two blocks still parses."""
    for name, (declared, line, present) in contents.counts.items():
        if declared != present:
            contents.faults.append(f"{name}:{line}: count is {declared}, but {present} servers stand in the file")


def _check_set_names(contents: _SetContents) -> None:
    """All files that name a set name the same one."""
    if len(set(contents.sets.values())) <= 1:
        return
    parts = ", ".join(f"{name} is of {value!r}" for name, value in sorted(contents.sets.items()))
    contents.faults.append(f"the parts belong to different sets: {parts}")


def _assign_weights(contents: _SetContents) -> dict[str, float]:
    """Give servers the weights of the weights blocks; returns these weights by server name."""
    assigned: dict[str, float] = {}
    for server, weight, where in contents.weights:
        if server not in contents.servers:
            contents.faults.append(f"{where}: weights: no server {server!r}")
            continue
        spec, at = contents.servers[server]
        contents.servers[server] = replace(spec, weight=weight), at
        assigned[server] = weight
    return assigned


def _check_server_total(texts: Mapping[str, bytes], contents: _SetContents) -> None:
    """The set has at least one server and at most ``MAX_SERVERS``."""
    if not contents.servers and not contents.faults:
        contents.faults.append(f"{sorted(texts)[0]}:1: the list names no server")
    if len(contents.servers) > MAX_SERVERS:
        contents.faults.append(f"the list names {len(contents.servers)} servers, {MAX_SERVERS} allowed")


def server_of(block: Body, groups: Iterable[str]) -> ServerSpec | None:
    """A server block by itself; None if anything is wrong with it."""
    if block.blocks or not block.label:
        return None
    try:
        s = Server.model_validate({"name": block.label, **block.attributes})
    except ValidationError:
        return None
    if s.group not in groups:
        return None
    return ServerSpec(s.name, s.group, s.zone, s.address, s.port, s.primary, s.state, s.started, s.weight)


def _server(
    name: str,
    block: Body,
    groups: set[str],
    servers: dict[str, tuple[ServerSpec, str]],
    places: dict[tuple[str, int], str],
    faults: list[str],
) -> None:
    where = f"{name}:{block.line}"
    if block.blocks:
        faults.append(f"{where}: server {block.label!r}: no block may stand in it")
        return
    try:
        s = Server.model_validate({"name": block.label, **block.attributes})
    except ValidationError as problem:
        for error in problem.errors():
            key = str(error["loc"][0]) if error["loc"] else ""
            reason = {"extra_forbidden": "unknown key", "missing": "missing"}.get(error["type"], error["msg"])
            faults.append(f"{name}:{block.lines.get(key, block.line)}: server {block.label!r}: {key}: {reason}")
        return
    if not s.name:
        faults.append(f"{where}: a server without a name")
    elif s.name in servers:
        faults.append(f"{where}: server {s.name!r} is listed twice, first at {servers[s.name][1]}")
    elif s.group not in groups:
        faults.append(f"{where}: server {s.name!r}: no group {s.group!r}")
    elif (other := places.get((s.address, s.port))) is not None:
        faults.append(f"{where}: server {s.name!r} has the address of server {other!r}")
    else:
        places[s.address, s.port] = s.name
        spec = ServerSpec(s.name, s.group, s.zone, s.address, s.port, s.primary, s.state, s.started, s.weight)
        servers[s.name] = spec, where


def _class(name: str, block: Body, classes: dict[str, Class], faults: list[str]) -> None:
    matches = block.blocks.get("match", [])
    unknown = [inner for kind, blocks in block.blocks.items() if kind != "match" for inner in blocks]
    if unknown or any(inner.blocks for inner in matches):
        faults.append(f"{name}:{block.line}: class {block.label!r}: only match blocks may stand in it")
        return
    try:
        found = Class.model_validate(
            {"name": block.label, **block.attributes, "match": [inner.attributes for inner in matches]}
        )
    except ValidationError as problem:
        for error in problem.errors():
            key = str(error["loc"][0]) if error["loc"] else ""
            reason = error["msg"].removeprefix("Value error, ")
            faults.append(f"{name}:{block.lines.get(key, block.line)}: class {block.label!r}: {key}: {reason}")
        return
    if found.name in classes:
        faults.append(f"{name}:{block.line}: class {found.name!r} is given twice")
    classes[found.name] = found


def read_plans(texts: Mapping[str, bytes]) -> tuple[MadePlan, ...]:
    """The plans in files by themselves. Raises ``ServerListError``, also where there is none."""
    plans: list[MadePlan] = []
    faults: list[str] = []
    for name in sorted(texts):
        try:
            body = parse(texts[name].decode())
        except UnicodeDecodeError as problem:
            faults.append(f"{name}:{texts[name][: problem.start].count(10) + 1}: not UTF-8")
            continue
        except HclError as problem:
            faults.append(f"{name}:{problem.line}: {problem.reason}")
            continue
        for block in body.blocks.get("plan", ()):
            _plan(name, block, plans, faults)
    if not faults and not plans:
        faults.append(f"{sorted(texts)[0]}:1: no plan stands there")
    if faults:
        raise ServerListError(faults)
    return tuple(plans)


def _plan(name: str, block: Body, plans: list[MadePlan], faults: list[str]) -> None:
    """Read one plan block. The plan is added only if ``faults`` is empty, earlier faults of the set included."""
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
    """Keys are known, values have their types, ``list`` and ``made`` are present."""
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
    """How long the plan fades, in nanoseconds, one hour by default; 0, and a fault, if it is no duration."""
    try:
        return duration(block.attributes.get("fade", "1h"))
    except ValueError as problem:
        faults.append(f"{name}:{block.lines.get('fade', block.line)}: plan {block.label!r}: fade: {problem}")
        return 0


def _plan_blocks(name: str, block: Body, faults: list[str]) -> tuple[dict[str, float], dict[str, str]]:
    """The blocks inside a plan: weights by server name, and the switchover's names."""
    weights: list[tuple[str, float, str]] = []
    switchover: dict[str, str] = {}
    for kind, found in block.blocks.items():
        for inner in found:
            if kind == "weights":
                _weights(name, inner, weights, faults)
            elif kind == "switchover" and all(isinstance(value, str) for value in inner.attributes.values()):
                switchover.update(inner.attributes)
            else:
                faults.append(f"{name}:{inner.line}: plan {block.label!r}: {kind}: unknown block, or not names")
    return {server: weight for server, weight, _ in weights}, switchover


def _weights(name: str, block: Body, weights: list[tuple[str, float, str]], faults: list[str]) -> None:
    for server, value in block.attributes.items():
        where = f"{name}:{block.lines[server]}"
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value <= 1e6:
            faults.append(f"{where}: weights: {server}: a number above 0 is wanted")
        else:
            weights.append((server, float(value), where))


def render(servers: Iterable[ServerSpec], set_name: str = "") -> str:
    """A list as a file's text."""
    servers = list(servers)
    parts = [f"count = {len(servers)}"] + ([f'set = "{set_name}"'] if set_name else [])
    for s in servers:
        parts.append(
            f'server "{s.name}" {{\n  group   = "{s.group}"\n  zone    = "{s.zone}"\n  address = "{s.host}"\n'
            f"  port    = {s.port}\n  primary = {'true' if s.primary else 'false'}\n"
            f'  state   = "{s.state}"\n  started = {s.started}\n  weight  = {s.weight}\n}}'
        )
    return "\n\n".join(parts) + "\n"
