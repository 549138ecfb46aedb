"""What a gateway reads from files before it gossips: its keys, and the boot epoch of its last start."""

from __future__ import annotations

import contextlib
from pathlib import Path
from typing import Any

from yardbank.cluster.peers import PeersError
from yardbank.cluster.peers.datagram import read_keys
from yardbank.cluster.peers.peer_list import next_boot_epoch, parse_stored_epoch
from yardbank.files import write_atomically

EPOCH_FILE = "peers-life"  # in the state folder; the name is that of the landed version


def load_keys(path: Path) -> list[bytes]:
    """Keys from a file. Raises ``PeersError`` naming file and line."""
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
    """The boot epoch of this start, stored for the next one where there is a state folder.

    ``wall``: seconds since 1970. A file that cannot be written is logged; the clock, or the peers' memory of the last
    start, then orders the next one.
    """
    if state is None:
        return next_boot_epoch(None, wall)
    path = state / EPOCH_FILE
    stored = ""
    with contextlib.suppress(OSError):  # none yet
        stored = path.read_text(encoding="utf-8", errors="replace")
    boot_epoch = next_boot_epoch(parse_stored_epoch(stored), wall)
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        write_atomically(path, str(boot_epoch))
    except OSError as error:
        log.warning("boot_epoch_write_failed", path=str(path), error=str(error))
    return boot_epoch
