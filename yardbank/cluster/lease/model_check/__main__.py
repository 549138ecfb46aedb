"""``python -m yardbank.cluster.lease.model_check``: look for two holders or an epoch that comes twice."""

from __future__ import annotations

from pathlib import Path

import click

from yardbank.cluster.lease.model_check.bugs import BUGS, seeded
from yardbank.cluster.lease.model_check.scenes import FINDS, SCENES
from yardbank.cluster.lease.model_check.search import Example, explore, shrunk, walk, write


@click.command()
@click.option("--depth", default=0, help="So many things happen in a row, at most; 0: as each scene says.")
@click.option("--most", default=10_000_000, show_default=True, help="States of one scene, at most.")
@click.option("--walks", default=0, show_default=True, help="Then so many long ways by chance, in each scene.")
@click.option("--length", default=200, show_default=True, help="Things that happen on one of them.")
@click.option("--bug", default="", type=click.Choice(["", *BUGS]), help="With a fault put in.")
@click.option("--out", type=click.Path(path_type=Path), help="Where the counterexample goes.")
@click.argument("scenes", nargs=-1, type=click.Choice(list(SCENES)))
def main(depth: int, most: int, walks: int, length: int, bug: str, out: Path | None, scenes: tuple[str, ...]) -> None:
    """Go through all that may happen in SCENES (all of them), breadth first."""
    wrong = False
    for name in scenes or ((FINDS[bug],) if bug else tuple(SCENES)):
        scene = SCENES[name]
        with seeded(bug):
            found = explore(SCENES[name], depth or SCENES[name].depth, most)
            trace, what = found.trace, found.wrong
            owned = 0
            for seed in range(walks if trace is None else 0):
                world, trail, more = walk(SCENES[name], seed, length)
                owned += more
                if world.wrong:
                    trace, what, scene = tuple(trail), world.wrong, world.scene
                    break
        end = "all within its budgets" if found.whole else f"to depth {found.depth}"
        told = f"{found.states} states, {found.steps} steps, {end}, {found.seconds:.1f} s"
        told += f", {walks} walks with {owned} ownerships" if walks else ""
        click.echo(f"{name}: {told}: {what or 'sound'}")
        if trace is not None:
            wrong = True
            with seeded(bug):
                example = shrunk(Example(bug, what, scene, trace))
            for action in example.actions:
                click.echo("  " + " ".join(str(one) for one in action))
            if out is not None:
                write(out, example)
    raise SystemExit(1 if wrong else 0)


if __name__ == "__main__":
    main()
