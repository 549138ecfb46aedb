"""Runs a scenario with a seeded fault in one gateway: python -m tests.support.rig_runner FAULT SCENARIO FOLDER.

Prints the claims as JSON. ``python -m tests.support.rig_runner serve FAULT ...`` runs the faulty gateway.
"""

import json
import os
import runpy
import sys
from pathlib import Path

from tests.support import list_distribution_faults as distribution_faults
from tests.support import rare_moment_faults as moments_faults
from yardbank import interface as api
from yardbank.gateway import send_check
from yardbank.policy import Router
from yardbank.policy.requests import PendingRequest


class Forgets(Router):
    """Accepts reads and never answers them."""

    def handle(self, now, event):
        if isinstance(event, api.Request) and event.class_name == "lookup":
            return []
        return super().handle(now, event)


class RefusesAll(Router):
    """Refuses every request."""

    def handle(self, now, event):
        actions = super().handle(now, event)
        if isinstance(event, api.Request) and event.class_name in ("lookup", "status", "commit"):
            return [api.Refuse(event.id)]
        return actions


class Resends(Router):
    """Resends a write regardless of its outcome; disables the check in the gateway, the only one in its process."""

    def __init__(self, settings):
        super().__init__(settings)
        send_check.check_repeat = lambda request, now: None

    def may_resend(self, pending):
        return pending.attempts < 3


class IgnoresDrains(Router):
    """Ignores that a server drains."""

    def on_server_list(self, event):
        if not self.servers:
            super().on_server_list(event)


class ReadsAnywhere(Router):
    """Ignores the required position of reads; patches a class, since its gateway is the only one in its process."""

    def __init__(self, settings):
        super().__init__(settings)
        self.selection.cost = lambda now, server, primary: 1.0 if server is primary else 0.0
        PendingRequest.required_position = lambda pending, sent_at: 0


class Dies(Router):
    """Exits the process after 20 requests."""

    taken = 0

    def handle(self, now, event):
        if isinstance(event, api.Request):
            self.taken += 1
            if self.taken > 20:
                os._exit(3)
        return super().handle(now, event)


class Credulous(Router):
    """Believes every report on servers, from any single gateway and on any number of servers, over its own findings."""


class DeafToPeers(Router):
    """Ignores all datagrams from other gateways."""


FAULTS = {
    made.__name__: made
    for made in (Forgets, RefusesAll, Resends, IgnoresDrains, ReadsAnywhere, Dies, DeafToPeers, Credulous)
}


# Faults in the parts that use the gossip link: each patches the class of one part.


def keeps_on():
    """Keeps every lease forever that was granted once."""
    from yardbank.cluster.lease.part import LeasePart

    epoch, take_events, had = LeasePart.epoch, LeasePart.take_events, {}

    def for_good(self, now, resource):
        found = epoch(self, now, resource)
        had.update({resource: found} if found is not None else {})
        return had.get(resource)

    LeasePart.epoch = for_good
    LeasePart.take_events = lambda self, prefix: [event for event in take_events(self, prefix) if event.what != "ended"]


def takes_twice():
    """Delivers duplicate items to its program."""
    from yardbank.cluster.channels.items import Stream

    take = Stream.take

    def both(self, now, item):
        if not (new := take(self, now, item)) and item.epoch == self.position[0]:
            self.out.append(item)
        return new

    Stream.take = both


def mute():
    """Owns channels but publishes nothing."""
    from yardbank.cluster.channels.part import ChannelPart

    ChannelPart.publish = lambda self, now, channel, data: ""


def restless():
    """Transfers every owned channel as soon as possible."""
    from yardbank.cluster.channels.transfers import Transfers

    def always(self, now, loads):
        for channel, own in self._table.owned():
            if names := self._succession.successors(channel, own, loads):
                self.begin(now, channel, own, names[0])

    Transfers.to_better = always


def eager():
    """Enters the last stage of a rollout immediately."""
    from yardbank.cluster.rollout.progress import Progress

    begin = Progress._begin

    def at_once(self, *more):
        begin(self, *more)
        self.current_stage = self.plan.stages

    Progress._begin, Progress.hold_reason = at_once, lambda self, *what: ""


def deaf_to_stop():
    """Continues a rollout despite reasons to stop or hold it."""
    from yardbank.cluster.rollout.part import RolloutPart

    judge = RolloutPart._judge

    def none(self, *args):
        judge(self, *args)
        self._rollback_reason = self._hold_reason = ""

    RolloutPart._judge = none


def all_near():
    """Measures the smallest valid round trip to every zone."""
    from yardbank.cluster.latency_map.options import MIN_ROUND_TRIP

    _measures_always(MIN_ROUND_TRIP)


def measures_out_of_range():
    """Measures impossible round trips, which are all dropped."""
    _measures_always(1)


def _measures_always(round_trip):
    """Records this round trip instead of the real one, and never finds itself slow, which would make it use others' reports."""
    from yardbank.cluster.latency_map.measurements import Measurements

    saw, ticked = Measurements.record, Measurements.on_tick
    Measurements.record = lambda self, now, zone, ns, *more: saw(self, now, zone, round_trip, *more)
    Measurements.on_tick = lambda self, now, late, slowness: ticked(self, now, 0, 0)


BUGS = {made.__name__: made for made in (keeps_on, takes_twice, mute, restless, eager, deaf_to_stop)}
BUGS |= {made.__name__: made for made in (all_near, measures_out_of_range)}
BUGS |= moments_faults.BUGS | distribution_faults.BUGS
EVERYWHERE = {"restless"} | moments_faults.EVERYWHERE | distribution_faults.EVERYWHERE  # at all gateways


def serve(fault):
    from yardbank import proxy
    from yardbank.cli import main

    if fault in BUGS:
        BUGS[fault]()
    else:
        proxy.Proxy.__init__.__kwdefaults__["router"] = FAULTS[fault]
    if fault == "Credulous":
        from yardbank.cluster.peers import outlier_consensus as consensus
        from yardbank.cluster.peers import transport as shell

        consensus.MAX_EJECTED_SHARE, consensus.MIN_WITNESSES = 1.0, 1
        shell.reach_consensus = lambda now, reports, servers, own, draw: consensus.reach_consensus(
            now, reports, servers, {}, draw
        )
    if fault == "DeafToPeers":
        from yardbank.cluster.peers.transport import Peers

        Peers.datagramReceived = lambda self, datagram, addr: None
    if sys.argv[3].endswith(".py"):  # a program that embeds the gateway
        sys.argv = sys.argv[3:]
        runpy.run_path(sys.argv[0], run_name="__main__")
        return
    sys.argv = ["yardbank", *sys.argv[3:]]
    main()


def play(fault, name, folder):
    from yardbank.testing.rig.play import Play, steady_reactor
    from yardbank.testing.rig.scenario import load_scenario, shipped
    from yardbank.testing.rig.verdict import as_dict, verdicts

    def command(gateway, usual):
        if gateway != "g1" and fault not in EVERYWHERE:
            return usual
        if "--supervised" in usual:  # the fault is in the worker, not in the supervisor
            made.places[gateway].start_with(f"{sys.executable} -m tests.support.rig_runner serve {fault}")
            return usual
        rest = usual[1:] if usual[1].endswith(".py") else usual[3:]
        return [sys.executable, "-m", "tests.support.rig_runner", "serve", fault, *rest]

    reactor = steady_reactor()
    scenario = load_scenario(shipped().get(name) or Path(name))
    folder = Path(folder)
    folder.mkdir()
    made = Play(reactor, scenario, folder, command=command)
    failed = []
    done = made.run()
    done.addErrback(failed.append)
    done.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
    if failed:
        raise SystemExit(failed[0].getTraceback())
    print(json.dumps(as_dict(scenario, made.seed, verdicts(scenario, made.record.facts), made.drive.latency)))


if __name__ == "__main__":
    serve(sys.argv[2]) if sys.argv[1] == "serve" else play(*sys.argv[1:4])
