"""A gateway under a supervisor whose program carries channels; scenarios of the rig start it.

Run as ``python -m yardbank.cli.embedded_gateway COUNT serve FILE``.

The example's notices (``examples/porting_notices.py``) beside the daemon's own worker, so that a fleet that carries
channels can go through a rollout.
"""

from __future__ import annotations

import runpy
import sys
from typing import Any

from yardbank.testing.rig.notices import EXAMPLE, PUBLISH_PERIOD_S


def carrying(count: int) -> Any:
    """The gateway with so many channels."""
    from yardbank.proxy import Proxy

    made: Any = runpy.run_path(str(EXAMPLE))["Notices"]

    class Carrying(Proxy):
        """Begins to own and follow as it begins to listen."""

        def start(self) -> None:
            super().start()
            from twisted.internet import reactor

            names = [f"notices-{number}" for number in range(1, count + 1)]
            self.notices = made(self.channels, reactor, self.log, names, PUBLISH_PERIOD_S)

    return Carrying


def main() -> None:
    """Serve."""
    from yardbank.cli import main as command
    from yardbank.daemon import worker

    worker.Proxy = carrying(int(sys.argv[1]))  # type: ignore[attr-defined]  # the daemon's worker makes one of it
    sys.argv = ["yardbank", *sys.argv[2:]]
    command()


if __name__ == "__main__":
    main()
