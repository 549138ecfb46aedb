"""The command line interface (click): one module per command, results on stdout, errors on stderr."""

from __future__ import annotations

import click

from yardbank.cli.audit import audit
from yardbank.cli.check import check
from yardbank.cli.demo import demo
from yardbank.cli.fleet import fleet_list, state
from yardbank.cli.peers import peers
from yardbank.cli.plan import plan
from yardbank.cli.rig import rig
from yardbank.cli.rollout import rollout
from yardbank.cli.serve import serve
from yardbank.cli.standin import standin


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="yardbank")
def main() -> None:
    """A database proxy that splits reads and writes across primaries and replicas."""


for command in (serve, check, demo, standin, audit, fleet_list, state, plan, rig, peers, rollout):
    main.add_command(command)
