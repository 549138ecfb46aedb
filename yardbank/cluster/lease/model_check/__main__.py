"""``python -m yardbank.cluster.lease.model_check``: search for two holders at once or an epoch used twice."""

from __future__ import annotations

from pathlib import Path

import click

from yardbank.cluster.lease.model_check.bugs import BUGS, inject_bug
from yardbank.cluster.lease.model_check.scenes import SCENARIO_FOR_BUG, SCENARIOS
from yardbank.cluster.lease.model_check.search import Counterexample, explore, minimize, walk, write


@click.command()
@click.option("--depth", default=0, help="Longest sequence of actions; 0: the scenario's own.")
@click.option("--most", default=10_000_000, show_default=True, help="Most states of one scenario.")
@click.option("--walks", default=0, show_default=True, help="Random walks per scenario after the search.")
@click.option("--length", default=200, show_default=True, help="Actions in one random walk.")
@click.option("--bug", default="", type=click.Choice(["", *BUGS]), help="Inject this fault.")
@click.option("--out", type=click.Path(path_type=Path), help="File for the counterexample.")
@click.argument("scenes", nargs=-1, type=click.Choice(list(SCENARIOS)))
def main(depth: int, most: int, walks: int, length: int, bug: str, out: Path | None, scenes: tuple[str, ...]) -> None:
    """Explore SCENES (default: all) breadth first."""
    is_violated = False
    for name in scenes or ((SCENARIO_FOR_BUG[bug],) if bug else tuple(SCENARIOS)):
        scenario = SCENARIOS[name]
        with inject_bug(bug):
            found = explore(SCENARIOS[name], depth or SCENARIOS[name].depth, most)
            trace, violation = found.trace, found.wrong
            owned = 0
            for seed in range(walks if trace is None else 0):
                world, walked, walk_owned = walk(SCENARIOS[name], seed, length)
                owned += walk_owned
                if world.wrong:
                    trace, violation, scenario = tuple(walked), world.wrong, world.scenario
                    break
        extent = "complete within its budgets" if found.whole else f"to depth {found.depth}"
        summary = f"{found.states} states, {found.steps} steps, {extent}, {found.seconds:.1f} s"
        summary += f", {walks} walks with {owned} leases" if walks else ""
        click.echo(f"{name}: {summary}: {violation or 'no violation found'}")
        if trace is not None:
            is_violated = True
            with inject_bug(bug):
                example = minimize(Counterexample(bug, violation, scenario, trace))
            for action in example.actions:
                click.echo("  " + " ".join(str(element) for element in action))
            if out is not None:
                write(out, example)
    raise SystemExit(1 if is_violated else 0)


if __name__ == "__main__":
    main()
