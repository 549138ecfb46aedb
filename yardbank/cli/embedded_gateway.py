"""A supervised gateway that also serves channels; scenarios of the test rig start it as a process.

Run as ``python -m yardbank.cli.embedded_gateway COUNT serve FILE``.

Adds the notices of ``examples/porting_notices.py`` to the daemon's worker, so that a rollout can be tested on a fleet
that serves channels.
"""

from __future__ import annotations

import runpy
import sys
from typing import Any

from yardbank.testing.rig.notices import EXAMPLE, PUBLISH_PERIOD_S


def proxy_with_channels(count: int) -> Any:
    """Return a proxy class that serves ``count`` channels."""
    from yardbank.proxy import Proxy

    notices_class: Any = runpy.run_path(str(EXAMPLE))["Notices"]

    class ChannelProxy(Proxy):
        """Starts to own and follow channels when it starts to listen."""

        def start(self) -> None:
            super().start()
            from twisted.internet import reactor

            names = [f"notices-{number}" for number in range(1, count + 1)]
            self.notices = notices_class(self.channels, reactor, self.log, names, PUBLISH_PERIOD_S)

    return ChannelProxy


def main() -> None:
    """Run the command line with a proxy that serves COUNT channels."""
    from yardbank.cli import main as command
    from yardbank.daemon import worker

    worker.Proxy = proxy_with_channels(int(sys.argv[1]))  # type: ignore[attr-defined]  # the daemon's worker instantiates it
    sys.argv = ["yardbank", *sys.argv[2:]]
    command()


if __name__ == "__main__":
    main()
