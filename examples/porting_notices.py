"""A program that embeds the proxy and publishes porting notices: one gateway of the fleet publishes on each channel.

    python examples/porting_notices.py gateway.hcl --channels 4

Every gateway of the fleet runs it with its own settings, which have the blocks ``peers``, ``leases`` and ``channels``.
Each gateway bids for ``notices-1`` to ``notices-N``, publishes a running number on those that it owns, and follows all.
It logs ``channel`` when a channel is owned, ends or has a gap, and ``feed_item`` for each received item.
"""

from __future__ import annotations

import signal
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import click

from yardbank.cli.common import EXIT_FAULT, load_or_exit, set_up_logs
from yardbank.cluster.channels import Delivered
from yardbank.daemon.clocks import Clocks
from yardbank.proxy import Proxy


class Notices:
    """Publishes a running number on each owned channel, and logs the items received on all channels."""

    def __init__(self, channels: Any, reactor: Any, log: Any, names: list[str], every: float) -> None:
        self._channels, self._reactor, self._log, self._every = channels, reactor, log, every
        self._owned: dict[str, int] = {}  # by channel: epoch of the lease
        self._numbers: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()  # by reason
        for name in names:
            channels.follow(name, self._on_item)  # the channels log gaps themselves
            channels.own(name, self._on_owned, self._on_ended)
        self._timer = reactor.callLater(every, self._publish)

    def _on_owned(self, name: str, epoch: int) -> None:
        self._owned[name] = epoch

    def _on_ended(self, name: str, epoch: int) -> None:
        self._owned.pop(name, None)

    def _publish(self) -> None:
        self._timer = self._reactor.callLater(self._every, self._publish)
        for name in self._owned:
            if why := self._channels.publish(name, f"{name} {self._numbers[name] + 1}".encode()):
                self.refused[why] += 1  # no longer the owner, or too fast: this number is retried
            else:
                self._numbers[name] += 1

    def _on_item(self, item: Delivered) -> None:
        self._log.info("feed_item", name=item.channel, epoch=item.epoch, sequence=item.sequence)

    def stop(self) -> None:
        """Stop publishing."""
        if self._timer.active():
            self._timer.cancel()


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--channels", "count", type=click.IntRange(1, 200), default=2, show_default=True, help="Number of channels."
)
@click.option("--every", type=click.FloatRange(0.01, 60), default=0.2, show_default=True, help="Seconds between items.")
@click.option(
    "--clock-rate", type=click.FloatRange(0.1, 10), default=1.0, hidden=True, help="Rate of the clock; for fleet tests."
)
@click.option("--clock-offset", type=float, default=0.0, hidden=True, help="Wall clock offset in seconds; for tests.")
def main(file: Path, count: int, every: float, clock_rate: float, clock_offset: float) -> None:
    """Run a gateway with the settings in FILE and publish notices. SIGTERM hands channels over, drains and stops."""
    from twisted.internet import reactor as installed

    config = load_or_exit(file)
    if config.peers is None or config.channels is None:
        click.echo(f"porting_notices: {file}: a peers block and a channels block are required", err=True)
        sys.exit(EXIT_FAULT)
    reactor: Any = installed
    clocks = Clocks(clock_rate, clock_offset)
    clocks.set(reactor)
    log = set_up_logs(config.logging.level, config.logging.format)
    try:
        proxy = Proxy(config, reactor, log=log, seconds=clocks.seconds, wall=clocks.wall, folder=file.parent)
        proxy.start()
    except OSError as problem:
        click.echo(f"porting_notices: {file}: {problem}", err=True)
        sys.exit(EXIT_FAULT)
    names = [f"notices-{number}" for number in range(1, count + 1)]
    notices = Notices(proxy.channels, reactor, log, names, every)

    def stop() -> None:
        proxy.stop().addCallback(lambda _: (notices.stop(), reactor.callLater(0, reactor.stop)))

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: reactor.callFromThread(stop))
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
