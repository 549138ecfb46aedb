"""Reads new versions of a list at a cost that depends on the size of the change. No I/O.

Most new versions differ from the last one in a few blocks. The common prefix and suffix of both are found by comparing
bytes; only the blocks between are parsed and checked against the rest. A change of anything but server blocks (other
blocks, attributes, comments) or a fault of any kind makes the reader parse the whole set, so faults and results equal
those of ``read_set``. Only the order of servers may differ, which has no meaning.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from yardbank.config.hcl import Body
from yardbank.gateway.api import ServerSpec
from yardbank.server_list.block_cache import BlockCache, plain_blocks
from yardbank.server_list.document import (
    MAX_SERVERS,
    ServerListDelta,
    ServerListDocument,
    digest_of,
    read_server_block,
    read_set,
)

_NON_BLOCK_START = b" \t\r\n\v\f}"  # first bytes of lines that cannot begin a block


@dataclass(slots=True)
class _LastVersion:
    """The last version that was read without a fault."""

    texts: dict[str, bytes]
    fleet: ServerListDocument
    servers: dict[str, ServerSpec]
    server_by_address: dict[tuple[str, int], str]
    weights: dict[str, float]  # from weights blocks, which override the weight of a server block
    counts: dict[str, int] = field(default_factory=dict)  # by file, for files with ``count``


class ListReader:
    """Reads the versions of one list in succession."""

    def __init__(self, groups: Iterable[str]) -> None:
        self._groups = frozenset(groups)
        self._blocks = BlockCache()
        self._last: _LastVersion | None = None
        self.edits = 0  # versions that were read incrementally

    def read(self, texts: Mapping[str, bytes]) -> ServerListDocument:
        """Equivalent to ``read_set``. Raises ``ServerListError``."""
        fleet = self._read_incrementally(texts)
        if fleet is not None:
            self.edits += 1
            return fleet
        weights: dict[str, float] = {}
        counts: dict[str, int] = {}
        fleet = read_set(texts, self._groups, self._blocks, weights, counts)
        servers = fleet.by_name()
        server_by_address = {(s.host, s.port): s.name for s in fleet.servers}
        self._last = _LastVersion(dict(texts), fleet, servers, server_by_address, weights, counts)
        return fleet

    def _read_incrementally(self, texts: Mapping[str, bytes]) -> ServerListDocument | None:
        """Read the list incrementally; None: it must be read as a whole. Changes no state unless it succeeds."""
        last = self._last
        if last is None or texts.keys() != last.texts.keys():
            return None
        blocks = _changed_blocks_of_set(last, texts)
        if blocks is None:
            return None
        old_blocks, new_blocks = blocks
        before = _servers_before(old_blocks, last)
        after = _servers_after(new_blocks, self._groups)
        if before is None or after is None:
            return None
        if not _names_valid(last, before, after) or not _addresses_valid(last, before, after):
            return None
        return self._commit(last, texts, before, _with_block_weights(last, after))

    def _commit(
        self,
        last: _LastVersion,
        texts: Mapping[str, bytes],
        before: dict[str, ServerSpec],
        after: dict[str, ServerSpec],
    ) -> ServerListDocument:
        for name, server in before.items():
            del last.server_by_address[server.host, server.port]
            if name not in after:
                del last.servers[name]
        for name, spec in after.items():
            last.server_by_address[spec.host, spec.port] = name
            last.servers[name] = spec
        changes = {
            name: (before.get(name), after.get(name))
            for name in (*after, *(name for name in before if name not in after))
            if before.get(name) != after.get(name)
        }
        old = last.fleet
        last.fleet = ServerListDocument(
            tuple(last.servers.values()),
            digest_of(texts),
            old.set_name,
            old.force,
            old.classes,
            old.plans,
            ServerListDelta(old.digest, changes),
        )
        last.texts = dict(texts)
        return last.fleet


def _changed_blocks_of_set(last: _LastVersion, texts: Mapping[str, bytes]) -> tuple[list[Body], list[Body]] | None:
    """The old and new changed server blocks of all files; None if anything else changed or a ``count`` is now wrong."""
    old_blocks: list[Body] = []
    new_blocks: list[Body] = []
    for name, text in texts.items():
        if text == last.texts[name]:
            continue
        blocks = _changed_blocks(last.texts[name], text)
        if blocks is None:
            return None
        old, new = blocks
        if name in last.counts and len(old) != len(new):  # the count attribute itself is unchanged
            return None
        old_blocks += old
        new_blocks += new
    return old_blocks, new_blocks


def _servers_before(blocks: list[Body], last: _LastVersion) -> dict[str, ServerSpec] | None:
    """The changed servers of the old version by name; None if one is unknown or appears twice."""
    before: dict[str, ServerSpec] = {}
    for block in blocks:
        server = last.servers.get(block.label)
        if server is None or block.label in before:
            return None
        before[block.label] = server
    return before


def _servers_after(blocks: list[Body], groups: frozenset[str]) -> dict[str, ServerSpec] | None:
    """The changed servers of the new version by name; None if one is invalid or appears twice."""
    after: dict[str, ServerSpec] = {}
    for block in blocks:
        server = read_server_block(block, groups)
        if server is None or server.name in after:
            return None
        after[server.name] = server
    return after


def _names_valid(last: _LastVersion, before: dict[str, ServerSpec], after: dict[str, ServerSpec]) -> bool:
    """Check names: none belongs to an unchanged server, no weights block names a removed one, the total is allowed."""
    if any(name in last.servers and name not in before for name in after):
        return False
    if any(name in last.weights and name not in after for name in before):
        return False
    return 0 < len(last.servers) + len(after) - len(before) <= MAX_SERVERS


def _addresses_valid(last: _LastVersion, before: dict[str, ServerSpec], after: dict[str, ServerSpec]) -> bool:
    """Check that no changed server shares host and port with another server, changed or unchanged."""
    changed_addresses: set[tuple[str, int]] = set()
    for server in after.values():
        address = server.host, server.port
        if address in changed_addresses:
            return False
        other = last.server_by_address.get(address)
        if other is not None and other not in before:
            return False
        changed_addresses.add(address)
    return True


def _with_block_weights(last: _LastVersion, servers: dict[str, ServerSpec]) -> dict[str, ServerSpec]:
    """Apply the weights of weights blocks, which override the weight of a server block."""
    return {
        name: replace(server, weight=last.weights[name]) if name in last.weights else server
        for name, server in servers.items()
    }


def _changed_blocks(old: bytes, new: bytes) -> tuple[list[Body], list[Body]] | None:
    """The server blocks in which two texts differ, old and new; None if the texts differ in anything else."""
    prefix = _common_prefix_length(old, new)
    suffix = _common_suffix_length(old, new, min(len(old), len(new)) - prefix)
    start = _block_start_before(new, prefix)
    stop = _block_start_after(old, len(old) - suffix)
    if start is None or stop is None:
        return None
    found = []
    for text, end in ((old, stop), (new, len(new) - (len(old) - stop))):
        try:
            blocks = plain_blocks(text[start:end].decode())
        except UnicodeDecodeError:
            return None
        if blocks is None or any(kind != "server" for kind, _ in blocks):
            return None
        found.append([block for _, block in blocks])
    return found[0], found[1]


def _common_prefix_length(a: bytes, b: bytes) -> int:
    """Length of the common prefix."""
    low, high = 0, min(len(a), len(b))
    step = 4096
    while low < high:
        size = min(step, high - low)
        if a[low : low + size] == b[low : low + size]:
            low, step = low + size, step * 2
        elif size == 1:
            return low
        else:
            high, step = low + size, max(1, size // 2)
    return low


def _common_suffix_length(a: bytes, b: bytes, limit: int) -> int:
    """Length of the common suffix, at most ``limit``."""
    low, high, step = 0, limit, 4096
    while low < high:
        size = min(step, high - low)
        if a[len(a) - low - size : len(a) - low] == b[len(b) - low - size : len(b) - low]:
            low, step = low + size, step * 2
        elif size == 1:
            return low
        else:
            high, step = low + size, max(1, size // 2)
    return low


def _block_start_before(text: bytes, at: int) -> int | None:
    """Start of the block that contains the byte before ``at``; None if its line begins with a non-ASCII byte."""
    while at > 0:
        start = text.rfind(b"\n", 0, at - 1) + 1 if at > 1 else 0
        if text[start] >= 0x80:
            return None
        if text[start] not in _NON_BLOCK_START and start < at:
            return start
        at = start
    return 0


def _block_start_after(text: bytes, at: int) -> int | None:
    """Start of the first block whose preceding line break is at or after ``at``; the end of the text if there is none.

    None if a line in between begins with a non-ASCII byte.
    """
    while (found := text.find(b"\n", at)) >= 0:
        at = found + 1
        if at == len(text):
            break
        if text[at] >= 0x80:
            return None
        if text[at] not in _NON_BLOCK_START:
            return at
    return len(text)
