"""File I/O of the list distribution: watches the source and writes adopted versions to disk.

Decisions and formats are in ``part`` and ``document``.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from yardbank.cluster.list_distribution.document import entries_of, table_of, text_of
from yardbank.cluster.list_distribution.part import DistributionPart
from yardbank.cluster.list_distribution.table import DoesNotFitError, Table, format_version
from yardbank.config.blocks import DistributionBlock
from yardbank.files import write_atomically
from yardbank.server_list.document import ServerListError, digest_of
from yardbank.server_list.watcher import Watcher


def stored_table(path: Path, log: Any) -> Table:
    """The table stored by an earlier run; an empty one if there is none or it is invalid."""
    try:
        return table_of(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return Table()
    except (OSError, UnicodeDecodeError, DoesNotFitError) as error:
        log.warning("distributed_list_unusable", path=str(path), fault=str(error))
        return Table()


class SourceReader:
    """Converts watched files into entries. Invalid contents are reported once; the last valid entries stay in use."""

    def __init__(self, groups: Iterable[str]) -> None:
        self._groups = frozenset(groups)
        self._digest = ""

    def seen(self, now: int, texts: dict[str, bytes]) -> list[dict[str, str] | ServerListError]:
        """The entries of new contents, or their faults."""
        if (digest := digest_of(texts)) == self._digest:
            return []
        self._digest = digest
        try:
            return [entries_of(texts, self._groups)]
        except ServerListError as error:
            return [error]

    def due(self) -> int | None:
        """No deadline: a partly written file is invalid and is read again when it changes."""
        return None

    def force(self) -> list[Any]:
        """No contents are held back."""
        return []


class DistributionFiles:
    """Source and stored copy of one gateway."""

    def __init__(
        self,
        block: DistributionBlock,
        folder: Path,
        groups: Iterable[str],
        part: DistributionPart,
        *,
        reactor: Any,
        now: Callable[[], int],
        log: Any,
        prompt: Callable[[], None],
    ) -> None:
        self._path, self._part = folder / block.file, part
        self._now, self._log, self._prompt = now, log, prompt
        self._watcher = (
            Watcher(folder / block.source, SourceReader(groups), self._on_source, reactor=reactor, now=now, log=log)
            if block.source
            else None
        )

    def start(self) -> None:
        """Start watching the source, if there is one."""
        if self._watcher is not None:
            self._watcher.start()

    def stop(self) -> None:
        """Stop watching the source."""
        if self._watcher is not None:
            self._watcher.stop()

    def after(self) -> None:
        """Write and log adopted versions. Called after the link has processed events."""
        adoptions = self._part.adoptions()
        for adoption in adoptions:
            self._log.info(
                "list_distributed",
                version=format_version(adoption.version),
                digest=adoption.digest.hex(),
                source=adoption.source,
                changed=adoption.changed,
                whole=adoption.whole,
            )
        for fault in self._part.replica.faults:
            self._log.error("list_increment_rejected", fault=fault)
        self._part.replica.faults.clear()
        if adoptions:
            try:
                write_atomically(self._path, text_of(self._part.replica.table))
            except OSError as error:
                self._log.error("distributed_list_not_written", path=str(self._path), fault=str(error))

    def _on_source(self, entries: dict[str, str] | ServerListError) -> None:
        if isinstance(entries, ServerListError):
            for fault in entries.faults[:20]:
                self._log.error("list_source_rejected", fault=fault)
            return
        self._part.source(self._now(), entries)
        self._prompt()
