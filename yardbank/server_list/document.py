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


def read_set(
    texts: Mapping[str, bytes],
    groups: Iterable[str],
    blocks: BlockCache | None = None,
    weights_told: dict[str, float] | None = None,
    counts_told: dict[str, int] | None = None,
) -> ServerListDocument:
    """Read and check a set, file by file. Raises ``ServerListError`` with every fault found.

    ``blocks`` keeps what was read of each block, so that a set read again is not parsed again. ``weights_told`` and
    ``counts_told`` are filled with what weights blocks and the files' counts say.
    """
    blocks = blocks or BlockCache()
    faults: list[str] = []
    servers: dict[str, tuple[ServerSpec, str]] = {}
    places: dict[tuple[str, int], str] = {}
    weights: list[tuple[str, float, str]] = []
    sets: dict[str, str] = {}
    classes: dict[str, Class] = {}
    counts: dict[str, tuple[int, int, int]] = {}
    plans: list[MadePlan] = []
    force = False
    known = set(groups)
    if not texts:
        raise ServerListError(["the list: no file is there"])
    for name in sorted(texts):
        try:
            body = blocks.parse(texts[name].decode())
        except UnicodeDecodeError as problem:
            faults.append(f"{name}:{texts[name][: problem.start].count(10) + 1}: not UTF-8")
            continue
        except HclError as problem:
            faults.append(f"{name}:{problem.line}: {problem.reason}")
            continue
        for key, line in body.lines.items():
            if key == "force" and isinstance(body.attributes[key], bool):
                force = force or body.attributes[key]
            elif key == "count" and type(body.attributes[key]) is int:
                counts[name] = body.attributes[key], line, len(body.blocks.get("server", ()))
            elif key != "set" or not isinstance(body.attributes[key], str):
                faults.append(f"{name}:{line}: {key}: unknown key, or not a string")
            else:
                sets[name] = body.attributes[key]
        for kind, found in body.blocks.items():
            for block in found:
                if kind == "server":
                    _server(name, block, known, servers, places, faults)
                elif kind == "class":
                    _class(name, block, classes, faults)
                elif kind == "plan":
                    _plan(name, block, plans, faults)
                elif kind == "weights" and not block.label and not block.blocks:
                    _weights(name, block, weights, faults)
                else:
                    faults.append(f"{name}:{block.line}: {kind}: unknown block")
    if counts_told is not None:
        counts_told.update({name: wanted for name, (wanted, _, _) in counts.items()})
    for name, (wanted, line, there) in counts.items():
        if wanted != there:  # cut between two blocks, a file still reads well
            faults.append(f"{name}:{line}: count is {wanted}, but {there} servers stand in the file")
    if len(set(sets.values())) > 1:
        told = ", ".join(f"{name} is of {value!r}" for name, value in sorted(sets.items()))
        faults.append(f"the parts belong to different sets: {told}")
    for server, weight, where in weights:
        if server not in servers:
            faults.append(f"{where}: weights: no server {server!r}")
        else:
            spec, at = servers[server]
            servers[server] = replace(spec, weight=weight), at
            if weights_told is not None:
                weights_told[server] = weight
    if not servers and not faults:
        faults.append(f"{sorted(texts)[0]}:1: the list names no server")
    if len(servers) > MAX_SERVERS:
        faults.append(f"the list names {len(servers)} servers, {MAX_SERVERS} allowed")
    if faults:
        raise ServerListError(faults)
    return ServerListDocument(
        tuple(spec for spec, _ in servers.values()),
        digest_of(texts),
        next(iter(sets.values()), ""),
        force,
        tuple(classes.values()),
        tuple(plans),
    )


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
    where = f"{name}:{block.line}: plan {block.label!r}"
    known = {"list": str, "made": (int, float), "fade": str, "proven": bool, "relaxed": str}
    for key, line in block.lines.items():
        value = block.attributes[key]
        if key not in known:
            faults.append(f"{name}:{line}: plan {block.label!r}: {key}: unknown key")
        elif not isinstance(value, known[key]) or (isinstance(value, bool) and key != "proven"):  # type: ignore[arg-type]
            faults.append(f"{name}:{line}: plan {block.label!r}: {key}: not what is wanted there")
    for key in ("list", "made"):
        if key not in block.attributes:
            faults.append(f"{where}: {key}: missing")
    fade = 0
    try:
        fade = duration(block.attributes.get("fade", "1h"))
    except ValueError as problem:
        faults.append(f"{name}:{block.lines.get('fade', block.line)}: plan {block.label!r}: fade: {problem}")
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
    if not faults:
        by_server = {server: weight for server, weight, _ in weights}
        plans.append(
            MadePlan(
                block.label,
                block.attributes["list"],
                float(block.attributes["made"]),
                fade / 1e9,
                by_server,
                block.attributes.get("proven", True),
                switchover,
                block.attributes.get("relaxed", ""),
            )
        )


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
