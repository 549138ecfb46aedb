"""Files of the distribution: the source is watched, copies are written. Thin: ``part`` and ``document`` decide."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from yardbank.cluster.list_distribution.document import entries_of, table_of, text_of
from yardbank.cluster.list_distribution.part import DistributionPart
from yardbank.cluster.list_distribution.table import DoesNotFitError, Table, shown
from yardbank.config.blocks import DistributionBlock
from yardbank.files import write_atomically
from yardbank.server_list.document import ServerListError, digest_of
from yardbank.server_list.watcher import Watcher


def stored_table(path: Path, log: Any) -> Table:
    """The copy that an earlier run has left; an empty one where there is none, or it cannot be trusted."""
    try:
        return table_of(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return Table()
    except (OSError, UnicodeDecodeError, DoesNotFitError) as problem:
        log.warning("distributed_list_unusable", path=str(path), fault=str(problem))
        return Table()


class Source:
    """The operator's files as the watcher tells them. A content with faults is told once; the last good one stays."""

    def __init__(self, groups: Iterable[str]) -> None:
        self._groups = frozenset(groups)
        self._digest = ""

    def seen(self, now: int, texts: dict[str, bytes]) -> list[dict[str, str] | ServerListError]:
        """The entries of a new content, or its faults."""
        if (digest := digest_of(texts)) == self._digest:
            return []
        self._digest = digest
        try:
            return [entries_of(texts, self._groups)]
        except ServerListError as problem:
            return [problem]

    def due(self) -> int | None:
        """Nothing is waited for: a file that is half written has faults, and is read again when it changes."""
        return None

    def force(self) -> list[Any]:
        """Nothing is held back."""
        return []


class DistributionFiles:
    """One gateway's files."""

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
            Watcher(folder / block.source, Source(groups), self._source, reactor=reactor, now=now, log=log)
            if block.source
            else None
        )

    def start(self) -> None:
        """Watch the source, if there is one."""
        if self._watcher is not None:
            self._watcher.start()

    def stop(self) -> None:
        """No more."""
        if self._watcher is not None:
            self._watcher.stop()

    def after(self) -> None:
        """The link has had a turn: write and log what was adopted."""
        adoptions = self._part.adoptions()
        for adoption in adoptions:
            self._log.info(
                "list_distributed",
                version=shown(adoption.version),
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
            except OSError as problem:
                self._log.error("distributed_list_not_written", path=str(self._path), fault=str(problem))

    def _source(self, found: dict[str, str] | ServerListError) -> None:
        if isinstance(found, ServerListError):
            for fault in found.faults[:20]:
                self._log.error("list_source_rejected", fault=fault)
            return
        self._part.source(self._now(), found)
        self._prompt()
