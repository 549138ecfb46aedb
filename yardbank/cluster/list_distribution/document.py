"""The distributed list as text: the operator's source to entries, a copy to a file of the gateway's. No I/O."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping

from yardbank.cluster.list_distribution.table import DoesNotFitError, Entry, Increment, Table, shown
from yardbank.cluster.list_distribution.version import NOTHING, Version
from yardbank.server_list.document import ServerListError, read_set, render

_HEAD = re.compile(r"# distributed version ([0-9]{1,18})\.([0-9]{1,18}) digest ([0-9a-f]{32})\n")
_BLOCK = re.compile(r'^server "([^"\n]+)" \{\n.*?^\}$', re.MULTILINE | re.DOTALL)


def entries_of(texts: Mapping[str, bytes], groups: Iterable[str]) -> dict[str, str]:
    """The source's servers, a block each. Raises ``ServerListError`` naming file and line.

    Only servers are distributed: classes and plans stay in files of the gateway's own.
    """
    fleet = read_set(texts, groups)
    if fleet.classes or fleet.plans:
        raise ServerListError([f"{sorted(texts)[0]}:1: classes and plans are not distributed, only servers"])
    return {server.name: _block(render([server])) for server in fleet.servers}


def text_of(table: Table) -> str:
    """A copy as a list file; its first line says version and digest."""
    head = f"# distributed version {shown(table.version)} digest {table.digest.hex()}\ncount = {len(table.entries)}"
    return "\n\n".join([head, *(table.entries[key] for key in sorted(table.entries))]) + "\n"


def table_of(text: str) -> Table:
    """The copy that a file holds. Raises ``DoesNotFitError`` if it is not what its first line says."""
    head = _HEAD.match(text)
    if head is None:
        raise DoesNotFitError("the first line names no version")
    version = Version(int(head[1]), int(head[2]))
    entries = tuple(Entry(block[1], block[0]) for block in _BLOCK.finditer(text))
    table = Table()
    if version != NOTHING:
        table.apply(Increment(NOTHING, version, bytes.fromhex(head[3]), entries))
    return table


def _block(text: str) -> str:
    found = _BLOCK.search(text)
    assert found is not None  # ``render`` made it
    return found[0]
