"""Files read before gossip starts: the keys, and the boot epoch of the last start."""

from __future__ import annotations

import contextlib
from pathlib import Path
from typing import Any

from yardbank.cluster.peers import PeersError
from yardbank.cluster.peers.datagram import read_keys
from yardbank.cluster.peers.peer_list import next_boot_epoch, parse_stored_epoch
from yardbank.files import write_atomically

EPOCH_FILE = "peers-life"  # in the state folder; the name is kept for compatibility with files of earlier versions


def load_keys(path: Path) -> list[bytes]:
    """Read the keys from a file. Raises ``PeersError`` with file and line."""
    try:
        return read_keys(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise PeersError(f"{path}: {error.strerror or error}") from error
    except UnicodeDecodeError as error:
        raise PeersError(f"{path}:1: not UTF-8") from error
    except ValueError as error:
        line, _, reason = str(error).partition(": ")
        raise PeersError(f"{path}:{line}: {reason}") from error


def begin_boot_epoch(state: Path | None, wall: float, log: Any) -> int:
    """Choose the boot epoch of this start, and store it for the next one if there is a state folder.

    ``wall``: seconds since 1970. A failed write is logged; the next start then relies on the clock, or on the peers'
    knowledge of this start, to get a higher boot epoch.
    """
    if state is None:
        return next_boot_epoch(None, wall)
    path = state / EPOCH_FILE
    stored = ""
    with contextlib.suppress(OSError):  # no file yet
        stored = path.read_text(encoding="utf-8", errors="replace")
    boot_epoch = next_boot_epoch(parse_stored_epoch(stored), wall)
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        write_atomically(path, str(boot_epoch))
    except OSError as error:
        log.warning("boot_epoch_write_failed", path=str(path), error=str(error))
    return boot_epoch
