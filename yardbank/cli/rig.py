"""``yardbank rig check | run | list``."""

from __future__ import annotations

import json
import shutil
import sys
import tempfile
from pathlib import Path
from typing import Any

import click

from yardbank.cli.common import EXIT_FAULT, checked_or_exit, set_up_logs
from yardbank.files import write_atomically


def _load(file: str) -> Any:
    from yardbank.testing.rig.scenario import load_scenario, shipped

    path = Path(file)
    if not path.exists() and file in shipped():
        path = shipped()[file]
    return checked_or_exit(load_scenario, path)


@click.group()
def rig() -> None:
    """Run many gateway processes, inject faults between them, and check claims against the recorded traffic."""


@rig.command("list")
def list_() -> None:
    """List the scenarios that are shipped with the program."""
    from yardbank.testing.rig.scenario import load_scenario, shipped

    for name, path in shipped().items():
        click.echo(f"{name:24} {load_scenario(path).title}")


@rig.command()
@click.argument("file")
def check(file: str) -> None:
    """Check a scenario: a FILE, or the name of a shipped one."""
    scenario = _load(file)
    steps = "\n".join(f"  {step.name}: {step.do}" for step in scenario.step)
    click.echo(
        f"{scenario.title}: {scenario.fleet.gateways} gateways, {len(scenario.servers())} servers, "
        f"{len(scenario.claim)} claims\n{steps}".rstrip()
    )


@rig.command()
@click.argument("file")
@click.option("--seed", type=click.IntRange(0), help="Overrides the seed of the scenario.")
@click.option(
    "--json",
    "json_file",
    type=click.Path(path_type=Path),
    help="Write claim results and latencies to this file.",
)
@click.option(
    "--keep",
    type=click.Path(path_type=Path),
    help="Keep record, logs and settings in this empty or new folder.",
)
def run(file: str, seed: int | None, json_file: Path | None, keep: Path | None) -> None:
    """Run a scenario. Exit code 0: all claims hold; 1: a claim failed; 2: the scenario or the machine has an error."""
    from yardbank.testing.rig.play import Play, PlayError, steady_reactor
    from yardbank.testing.rig.verdict import as_dict, verdicts

    scenario = _load(file)
    set_up_logs("error", "console")
    if keep is not None and keep.exists() and any(keep.iterdir()):
        click.echo(f"yardbank: {keep}: is not empty", err=True)
        sys.exit(EXIT_FAULT)
    folder = keep or Path(tempfile.mkdtemp(prefix="yardbank-rig-"))
    folder.mkdir(parents=True, exist_ok=True)
    reactor = steady_reactor()
    play = Play(reactor, scenario, folder.resolve(), seed=seed, say=click.echo)
    outcomes: list[Any] = []  # None, or the failure
    play.run().addBoth(outcomes.append).addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
    if not outcomes:
        click.echo(f"yardbank: {file}: interrupted, so no claim was checked; its folder: {folder}", err=True)
        sys.exit(EXIT_FAULT)
    failed = [problem for problem in outcomes if problem is not None]
    if failed:
        problem = failed[0]
        text = str(problem.value) if problem.check(PlayError) else problem.getTraceback()
        click.echo(f"yardbank: {file}: {text}", err=True)
        sys.exit(EXIT_FAULT)
    assert play.drive is not None
    found = verdicts(scenario, play.record.facts)
    for verdict in found:
        click.echo(verdict.text())
    result = as_dict(scenario, play.seed, found, play.drive.latency)
    for name, values in result["latency_ms"].items():
        click.echo(f"{name}: " + ", ".join(f"{key} {value:.1f} ms" for key, value in values.items()))
    if json_file is not None:
        write_atomically(json_file, json.dumps(result, indent=2) + "\n")
    if keep is None and result["held"]:
        shutil.rmtree(folder, ignore_errors=True)
    elif not result["held"]:
        click.echo(f"record, logs and settings: {folder}")
    sys.exit(0 if result["held"] else 1)
