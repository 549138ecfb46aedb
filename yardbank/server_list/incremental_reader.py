"""Reads a list again at the cost of what changed in it. No I/O.

Most new versions differ from the last one in a few blocks. The octets that both share at the front and at the back
are found by comparing memory; only the blocks between are parsed and checked against the rest. Whatever is not
plainly a change of server blocks (other blocks, attributes, comments, a fault of any kind) is read as a whole, so
faults and results are those of ``read_set``; only the order of servers may differ, which means nothing.
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
    read_set,
    server_of,
)

_NO_START = b" \t\r\n\v\f}"  # a line that begins so begins no block


@dataclass(slots=True)
class _Known:
    """The last version that was read without a fault."""

    texts: dict[str, bytes]
    fleet: ServerListDocument
    servers: dict[str, ServerSpec]
    places: dict[tuple[str, int], str]
    weights: dict[str, float]  # given by weights blocks, which outrank a server's own
    counts: dict[str, int] = field(default_factory=dict)  # by file, where it says so


class ListReader:
    """Reads one list's versions one after another."""

    def __init__(self, groups: Iterable[str]) -> None:
        self._groups = frozenset(groups)
        self._blocks = BlockCache()
        self._known: _Known | None = None
        self.edits = 0  # versions read by their change alone

    def read(self, texts: Mapping[str, bytes]) -> ServerListDocument:
        """As ``read_set``. Raises ``ServerListError``."""
        fleet = self._edited(texts)
        if fleet is not None:
            self.edits += 1
            return fleet
        weights: dict[str, float] = {}
        counts: dict[str, int] = {}
        fleet = read_set(texts, self._groups, self._blocks, weights, counts)
        servers = fleet.by_name()
        places = {(s.host, s.port): s.name for s in fleet.servers}
        self._known = _Known(dict(texts), fleet, servers, places, weights, counts)
        return fleet

    def _edited(self, texts: Mapping[str, bytes]) -> ServerListDocument | None:
        """The list by its change alone; None: read it whole. Nothing kept is touched unless all of it holds."""
        known = self._known
        if known is None or texts.keys() != known.texts.keys():
            return None
        blocks = _changed_blocks_of_set(known, texts)
        if blocks is None:
            return None
        old_blocks, new_blocks = blocks
        before = _servers_before(old_blocks, known)
        after = _servers_after(new_blocks, self._groups)
        if before is None or after is None:
            return None
        if not _names_fit(known, before, after) or not _addresses_fit(known, before, after):
            return None
        return self._commit(known, texts, before, _with_block_weights(known, after))

    def _commit(
        self, known: _Known, texts: Mapping[str, bytes], before: dict[str, ServerSpec], after: dict[str, ServerSpec]
    ) -> ServerListDocument:
        for name, was in before.items():
            del known.places[was.host, was.port]
            if name not in after:
                del known.servers[name]
        for name, spec in after.items():
            known.places[spec.host, spec.port] = name
            known.servers[name] = spec
        changes = {
            name: (before.get(name), after.get(name))
            for name in (*after, *(name for name in before if name not in after))
            if before.get(name) != after.get(name)
        }
        last = known.fleet
        known.fleet = ServerListDocument(
            tuple(known.servers.values()),
            digest_of(texts),
            last.set_name,
            last.force,
            last.classes,
            last.plans,
            ServerListDelta(last.digest, changes),
        )
        known.texts = dict(texts)
        return known.fleet


def _changed_blocks_of_set(known: _Known, texts: Mapping[str, bytes]) -> tuple[list[Body], list[Body]] | None:
    """The changed server blocks of all files, old and new; None if more changed, or a file's count no longer fits."""
    old_blocks: list[Body] = []
    new_blocks: list[Body] = []
    for name, text in texts.items():
        if text == known.texts[name]:
            continue
        blocks = _changed_blocks(known.texts[name], text)
        if blocks is None:
            return None
        old, new = blocks
        if name in known.counts and len(old) != len(new):  # the count attribute itself is unchanged
            return None
        old_blocks += old
        new_blocks += new
    return old_blocks, new_blocks


def _servers_before(blocks: list[Body], known: _Known) -> dict[str, ServerSpec] | None:
    """The changed servers as they were, by name; None if one is unknown or appears twice."""
    before: dict[str, ServerSpec] = {}
    for block in blocks:
        server = known.servers.get(block.label)
        if server is None or block.label in before:
            return None
        before[block.label] = server
    return before


def _servers_after(blocks: list[Body], groups: frozenset[str]) -> dict[str, ServerSpec] | None:
    """The changed servers as they are now, by name; None if one is invalid or appears twice."""
    after: dict[str, ServerSpec] = {}
    for block in blocks:
        server = server_of(block, groups)
        if server is None or server.name in after:
            return None
        after[server.name] = server
    return after


def _names_fit(known: _Known, before: dict[str, ServerSpec], after: dict[str, ServerSpec]) -> bool:
    """No new name belongs to an unchanged server, weights blocks name no removed one, the total is allowed."""
    if any(name in known.servers and name not in before for name in after):
        return False
    if any(name in known.weights and name not in after for name in before):
        return False
    return 0 < len(known.servers) + len(after) - len(before) <= MAX_SERVERS


def _addresses_fit(known: _Known, before: dict[str, ServerSpec], after: dict[str, ServerSpec]) -> bool:
    """No changed server shares host and port with another changed server or with an unchanged one."""
    changed_places: set[tuple[str, int]] = set()
    for server in after.values():
        place = server.host, server.port
        if place in changed_places:
            return False
        other = known.places.get(place)
        if other is not None and other not in before:
            return False
        changed_places.add(place)
    return True


def _with_block_weights(known: _Known, servers: dict[str, ServerSpec]) -> dict[str, ServerSpec]:
    """The servers with the weights of the weights blocks, which outrank a server's own."""
    return {
        name: replace(server, weight=known.weights[name]) if name in known.weights else server
        for name, server in servers.items()
    }


def _changed_blocks(old: bytes, new: bytes) -> tuple[list[Body], list[Body]] | None:
    """The server blocks that stand in one text and not, or not so, in the other; None if more than those changed."""
    front = _shared_front(old, new)
    back = _shared_back(old, new, min(len(old), len(new)) - front)
    start = _block_before(new, front)
    stop = _block_after(old, len(old) - back)
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


def _shared_front(a: bytes, b: bytes) -> int:
    """How many octets both begin with."""
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


def _shared_back(a: bytes, b: bytes, most: int) -> int:
    """How many octets both end with, ``most`` at the most."""
    low, high, step = 0, most, 4096
    while low < high:
        size = min(step, high - low)
        if a[len(a) - low - size : len(a) - low] == b[len(b) - low - size : len(b) - low]:
            low, step = low + size, step * 2
        elif size == 1:
            return low
        else:
            high, step = low + size, max(1, size // 2)
    return low


def _block_before(text: bytes, at: int) -> int | None:
    """Where the block begins that holds the octet before ``at``; None where that cannot be told from octets."""
    while at > 0:
        start = text.rfind(b"\n", 0, at - 1) + 1 if at > 1 else 0
        if text[start] >= 0x80:
            return None
        if text[start] not in _NO_START and start < at:
            return start
        at = start
    return 0


def _block_after(text: bytes, at: int) -> int | None:
    """Where the next block begins whose line break before it lies at or after ``at``; else the end."""
    while (found := text.find(b"\n", at)) >= 0:
        at = found + 1
        if at == len(text):
            break
        if text[at] >= 0x80:
            return None
        if text[at] not in _NO_START:
            return at
    return len(text)
