"""Runs one case: its record, its temporary folder, its time limit and its exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standins.record import Record

MAX_SECONDS = 110.0
CLOCK_CHECK_S = 0.01
HELD, BROKEN, NOT_RUN = 0, 1, 2
Play = Callable[[Record, Path, bool], Awaitable[list[str]]]


class CannotRunError(Exception):
    """The case could not be run as it is meant to be; the text says why."""


class OwnDelay:
    """The longest time for which this process itself was held up; its times may be late by as much."""

    def __init__(self) -> None:
        self.longest = 0.0

    async def watch(self) -> None:
        """Looks at the clock again and again."""
        before = time.monotonic()
        while True:
            await asyncio.sleep(CLOCK_CHECK_S)
            now = time.monotonic()
            self.longest = max(self.longest, now - before - CLOCK_CHECK_S)
            before = now


def run(case: Path, play: Play) -> None:
    """Plays a case; ``play`` gets the record, a temporary folder and whether there is trouble, and returns breaks."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(case / "record.txt")
    record.note("case", f"trouble: {'yes' if trouble else 'no'}")
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            breaks = asyncio.run(_within_time(record, Path(folder), trouble, play))
    except CannotRunError as problem:
        code = NOT_RUN
        record.note("case", f"could not run: {problem}")
        print(f"could not run: {problem}")
    except BaseException:  # noqa: BLE001  # whatever it is, the case has not shown anything
        code = NOT_RUN
        record.note("case", f"could not run: {traceback.format_exc()}")
        traceback.print_exc()
    else:
        code = BROKEN if breaks else HELD
        for what in breaks:
            record.note("judge", what)
        for what in breaks[:10]:
            print(what)
        print(f"{'broken' if breaks else 'held'} ({len(breaks)})")
    record.note("case", f"exit code {code}")
    record.close()
    sys.exit(code)


async def _within_time(record: Record, folder: Path, trouble: bool, play: Play) -> list[str]:
    task = asyncio.ensure_future(play(record, folder, trouble))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await asyncio.wait_for(task, MAX_SECONDS)
    except TimeoutError:
        raise CannotRunError(f"it took more than {MAX_SECONDS:.0f} s") from None
