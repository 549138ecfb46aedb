"""The implementation of ``yardbank demo``."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import click
from rich.console import Console

from yardbank.config import advice, load_text
from yardbank.files import write_atomically
from yardbank.testing.audit import judge
from yardbank.testing.audit.report import as_dict, show
from yardbank.testing.audit.summary import ClassRow, by_class, table
from yardbank.testing.demo.day import ENTRIES, FaultScript
from yardbank.testing.demo.world import BASE, DESK_DN, DESK_PASSWORD, NUMBERS, REQUESTS, Recorder, World
from yardbank.testing.standin.cluster import Timing

_MEANS = {
    "session": "a read sees what its session has written",
    "fresh": "a read sees all that was written before it",
    "bounded": "a read may be up to {age} behind, also behind your own writes",
    "any": "a read may be as old as the oldest member",
    "write": "writes",
}


def _reactor() -> Any:
    from twisted.internet import reactor

    installed: Any = reactor
    installed.seconds = time.monotonic
    return installed


def write_json(path: Path, value: Any) -> None:
    """Writes a JSON file atomically."""
    write_atomically(path, json.dumps(value, indent=2) + "\n")


def _row(row: ClassRow) -> dict[str, Any]:
    return {
        "class": row.name,
        "requests": row.requests,
        "served": row.served,
        "from_copies": row.by_copy,
        "from_primary": row.by_primary,
        "held": row.waited,
        "p50_ms": round(row.quantile(0.5) * 1e3, 3),
        "p99_ms": round(row.quantile(0.99) * 1e3, 3),
    }


def run_day(seed: int, seconds: float, daemon: bool, json_file: Path | None, record_file: Path | None) -> int:
    """Runs the demonstration and checks its record; exit code 0 if no rule was violated."""
    reactor = _reactor()
    scale = seconds / 30
    record = Recorder(record_file)
    timing = Timing(detect=1.2 * scale, elect=1.2 * scale, hand_over=0.4 * scale)
    world = World(reactor, record, seed=seed, daemon=daemon, timing=timing)
    world.load(ENTRIES)
    script = FaultScript(world, scale)
    failed: list[Any] = []
    click.echo(
        f"A bad day of {seconds:g} s: 6 stand-ins in 2 groups, {len(script.sessions)} clients, "
        f"the gateway {'as a process' if daemon else 'embedded'}."
    )
    done = script.play(click.echo)
    done.addErrback(failed.append)
    done.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
    world.close()
    if failed:
        click.echo(f"yardbank: the day broke off: {failed[0].getErrorMessage()}\n{failed[0].getTraceback()}", err=True)
        return 2
    verdict = judge(record.facts)
    show(verdict)
    rows = by_class(record.facts)
    Console(width=140).print(table(rows, {kind.name: kind.read for kind in load_text(world.settings()).classes}))
    if json_file:
        write_json(
            json_file,
            {
                **as_dict(verdict),
                "troubles": script.played,
                "seed": seed,
                "seconds": seconds,
                "classes": [_row(row) for row in rows],
            },
        )
    return 0 if verdict.held else 1


def run_stay(json_file: Path | None, seed: int) -> int:
    """Runs gateway and servers until interrupted, for use by any LDAP client."""
    reactor = _reactor()
    world = World(reactor, Recorder(), seed=seed, session_by="identity")
    world.load(ENTRIES)
    world.start_gateway()
    reach = {
        "ldap_url": f"ldap://127.0.0.1:{world.port}",
        "base_dn": BASE,
        "bind_dn": DESK_DN,
        "bind_password": DESK_PASSWORD,
        "writable_dn": f"cn=0,{REQUESTS}",
        "session_bound_base": REQUESTS,
        "bounded_base": NUMBERS,
    }
    if json_file:
        write_json(json_file, reach)
    login = f"-x -H {reach['ldap_url']} -D {DESK_DN} -w {DESK_PASSWORD}"
    click.echo("Up until interrupted.")
    for base, kind in advice.subtrees(load_text(world.settings())):
        click.echo(f"  {base}: {_MEANS[kind.read].format(age=f'{kind.staleness / 1e6:.0f} ms')} (class {kind.name})")
    click.echo("Write, then read your own write, on one connection or on two (sessions go by name here):")
    change = f"dn: {reach['writable_dn']}\\nchangetype: modify\\nreplace: description\\ndescription: mine\\n"
    click.echo(f"  printf '{change}' | ldapmodify {login}")
    click.echo(f"  ldapsearch {login} -b {REQUESTS} '(cn=0)' description")
    click.echo(f"All groups at once: ldapsearch {login} -b {BASE} '(cn=0)'")
    reactor.run()
    if world.proxy is not None:
        world.proxy.kill()
    world.close()
    return 0
