"""The distributed list as text: parses the operator's source into entries, renders a table as a list file. No I/O."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping

from yardbank.cluster.list_distribution.table import DoesNotFitError, Entry, Increment, Table, format_version
from yardbank.cluster.list_distribution.version import NOTHING, Version
from yardbank.server_list.document import ServerListError, read_set, render

_HEADER = re.compile(r"# distributed version ([0-9]{1,18})\.([0-9]{1,18}) digest ([0-9a-f]{32})\n")
_SERVER_BLOCK = re.compile(r'^server "([^"\n]+)" \{\n.*?^\}$', re.MULTILINE | re.DOTALL)


def entries_of(texts: Mapping[str, bytes], groups: Iterable[str]) -> dict[str, str]:
    """One server block by server name. Raises ``ServerListError`` naming file and line.

    Only servers are distributed: classes and plans belong in files local to each gateway.
    """
    document = read_set(texts, groups)
    if document.classes or document.plans:
        raise ServerListError([f"{sorted(texts)[0]}:1: classes and plans are not distributed, only servers"])
    return {server.name: _server_block(render([server])) for server in document.servers}


def text_of(table: Table) -> str:
    """Render a table as a list file whose first line has version and digest."""
    head = (
        f"# distributed version {format_version(table.version)} digest {table.digest.hex()}\n"
        f"count = {len(table.entries)}"
    )
    return "\n\n".join([head, *(table.entries[key] for key in sorted(table.entries))]) + "\n"


def table_of(text: str) -> Table:
    """Parse a file written by ``text_of``. Raises ``DoesNotFitError`` if it does not match version or digest."""
    header = _HEADER.match(text)
    if header is None:
        raise DoesNotFitError("the first line has no version")
    version = Version(int(header[1]), int(header[2]))
    entries = tuple(Entry(block[1], block[0]) for block in _SERVER_BLOCK.finditer(text))
    table = Table()
    if version != NOTHING:
        table.apply(Increment(NOTHING, version, bytes.fromhex(header[3]), entries))
    return table


def _server_block(text: str) -> str:
    match = _SERVER_BLOCK.search(text)
    assert match is not None  # always matches the output of ``render``
    return match[0]
