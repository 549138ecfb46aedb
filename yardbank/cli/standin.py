"""``yardbank standin ldap``."""

from __future__ import annotations

import json
import sys

import click

from yardbank.cli.common import EXIT_FAULT


@click.group()
def standin() -> None:
    """Run simulated database servers on loopback."""


@standin.command()
@click.option("--suffix", default="dc=porting", show_default=True, help="DN of the tree's root entry.")
@click.option("--copies", type=click.IntRange(0, 20), default=2, show_default=True, help="Number of read-only copies.")
@click.option(
    "--port", type=click.IntRange(0, 65000), default=0, help="Port of the primary; copies get the next. 0: any."
)
@click.option(
    "--ship-ms", type=click.FloatRange(0), default=5.0, show_default=True, help="Delay of a commit to a copy."
)
@click.option(
    "--apply-ms",
    type=click.FloatRange(0),
    default=2.0,
    show_default=True,
    help="Time to apply a commit.",
)
@click.option("--bind-dn", default="cn=gateway,dc=porting", show_default=True)
@click.option("--bind-password", default="gateway", show_default=True)
def ldap(
    suffix: str, copies: int, port: int, ship_ms: float, apply_ms: float, bind_dn: str, bind_password: str
) -> None:
    """Run a primary and read-only copies until interrupted; print one JSON line once they listen."""
    from twisted.internet import reactor

    from yardbank.testing.standin.cluster import Cluster, Timing
    from yardbank.testing.standin.server import Standin

    clock: object = reactor
    names = ["primary", *(f"copy-{number}" for number in range(1, copies + 1))]
    timing = Timing(ship=ship_ms / 1e3, apply=apply_ms / 1e3)
    cluster = Cluster(suffix, names, clock.seconds, clock.callLater, timing)  # type: ignore[attr-defined]
    servers = []
    try:
        for index, name in enumerate(names):
            listen_port = port + index if port else 0
            servers.append(Standin(reactor, cluster, name, port=listen_port, bind=(bind_dn, bind_password)))
    except OSError as problem:
        click.echo(f"yardbank: cannot listen: {problem}", err=True)
        sys.exit(EXIT_FAULT)
    click.echo(json.dumps({"suffix": suffix, "servers": {s.name: s.port for s in servers}}))
    sys.stdout.flush()
    clock.run()  # type: ignore[attr-defined]
