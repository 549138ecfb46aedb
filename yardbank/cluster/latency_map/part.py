"""One gateway's map of latencies between zones: measured, gossiped, agreed on, used. No I/O: time (ns) comes in.

Owns measurements, reports and estimates. Each second the estimates are updated. A message goes out each second and a
half, to one gateway of the own zone and one elsewhere by turns, whatever the fleet's size: the own row as measured, and
a few others as estimated. Bound: ``MAX_ZONES`` zones.
"""

from __future__ import annotations

from functools import partial
from random import Random
from typing import Any

from yardbank.cluster.latency_map import measurements
from yardbank.cluster.latency_map import messages as letter
from yardbank.cluster.latency_map.estimates import Basis, EstimateChange, Estimates
from yardbank.cluster.latency_map.measurements import LATE, GatewayHealth, Measurements
from yardbank.cluster.latency_map.messages import Entry
from yardbank.cluster.latency_map.options import MAX_ZONES, SECOND, Options, Pair, pair_of
from yardbank.cluster.latency_map.reports import LatencyReport, ReportStore, consensus
from yardbank.cluster.latency_map.transition import GradualTransition, ZoneLatencies
from yardbank.cluster.peers.datagram import DroppedError
from yardbank.cluster.peers.parts import MembershipView, Message

MS = 1_000_000
MESSAGE_INTERVAL = 3 * SECOND // 2
OTHER_ROWS = 2  # rows of other zones in a message
FAR_INTERVAL = 4  # seconds between two updates of a pair that the own zone is not in


class LatencyMapPart:
    """The latency map as a part of the peers' node."""

    topic = "map"
    rate: tuple[int, int] | None = None

    def __init__(self, membership_view: MembershipView, random: Random, options: Options | None = None) -> None:
        self.options = options or Options()
        self._membership_view, self._random = membership_view, random
        self.seen = Measurements(self.options)
        self.reports = ReportStore()
        self.estimates = Estimates()
        self.transition = GradualTransition(self.options.step, Random(random.getrandbits(64)))
        self.left_out = self.turned_away = 0  # zones beyond the bound; round trips to more of them
        self._zone = ""
        self._known: dict[bytes, str] = {}
        self._servers: dict[str, int] = {}  # zones that servers were seen in, and when last
        self._slow: dict[str, int] = {}  # peers that find themselves slow, and when they said so
        self._boot_epochs: dict[str, int] = {}
        self._stood: dict[str, str] = {}  # the list's zones as they were
        self._changes: dict[Pair, EstimateChange] = {}
        self._out: list[Message] = []
        self._number = 0
        self._next = self._next_message = self._beats = 0
        self._stopped = False
        self._now = 0

    # Measurements

    def saw_peer(self, now: int, peer: str, ns: int) -> None:
        """A peer answered a probe after ``ns``."""
        zone = self._membership_view.zones().get(peer)
        if zone is not None and peer not in self._slow and not self._late(now):
            self.seen.saw(now, zone, ns, peer)

    def saw_server(self, now: int, zone: str, ns: int, what: str = "") -> None:
        """A server took a connection or answered a probe; ``what`` is not told apart: the fastest counts."""
        if self._late(now):
            return
        known = zone in self._known.values()
        if not known and len(self._known) >= MAX_ZONES:
            self.turned_away += 1
            return
        self._servers[zone] = now
        if not known:
            self._settle()
        self.seen.saw(now, zone, ns)

    def _late(self, now: int) -> bool:
        """Whether this gateway was stopped or starved just now: what comes in waited in its sockets."""
        return self._stopped or (self._next > 0 and now - self._next > LATE)

    # The node's side

    def listed(self, now: int) -> None:
        """The list has changed."""
        zones = self._membership_view.zones()
        if not self._next:
            self._next = now + self._random.randrange(SECOND)
            self._next_message = now + self._random.randrange(MESSAGE_INTERVAL)
        moved = {name for name, zone in self._stood.items() if zones.get(name) != zone}
        self._stood = dict(zones)
        self._boot_epochs = {name: boot_epoch for name, boot_epoch in self._boot_epochs.items() if name in zones}
        self._zone = zones[self._membership_view.name]
        self.seen.listed(self._zone, zones)
        self.reports.keep(lambda pair, name, report: name not in moved)
        self._slow = {name: at for name, at in self._slow.items() if name in zones}
        self._settle()

    def _settle(self) -> None:
        """Which zones there are: those of the list before those of servers."""
        listed = set(self._membership_view.zones().values())
        names = [self._zone, *sorted(listed - {self._zone}), *sorted(self._servers.keys() - listed)]
        self._known = {letter.digest(zone): zone for zone in reversed(names[:MAX_ZONES])}
        self.left_out = len(names) - len(self._known)
        self.estimates.listed(self._known.values())
        kept = set(self.estimates.by)
        self.reports.keep(lambda pair, name, report: pair in kept)

    def receive(self, now: int, sender: str, boot_epoch: int, body: bytes) -> None:
        """A peer's rows. Raises ``DroppedError``."""
        if self._late(now):
            raise DroppedError("late")  # it waited here while this gateway was stopped: its ages are wrong
        if boot_epoch < self._boot_epochs.get(sender, 0):
            raise DroppedError("old")
        zone = self._membership_view.zones().get(sender)
        told = letter.decode(body, self._known)
        if zone is None or told.own != zone:
            raise DroppedError("zone")  # our lists differ: what it saw belongs elsewhere
        if boot_epoch > self._boot_epochs.get(sender, 0):
            self._boot_epochs[sender] = boot_epoch
            self.reports.keep(lambda pair, name, report: name != sender)  # what an earlier start saw is its own no more
        if told.state == GatewayHealth.SLOW:
            self._slow[sender] = now
        else:
            self._slow.pop(sender, None)
        order = boot_epoch, told.number
        for row, entries in told.rows:
            for other, entry in entries.items():
                pair, first = pair_of(row, other), row == zone
                if entry.age < self.options.max_age and first == (zone in pair):  # of its own ways it says what it saw
                    seen_at = now - entry.age
                    self.reports.take(
                        pair, sender, LatencyReport(entry.value, entry.spread, seen_at, entry.witnesses, first, order)
                    )

    def tick(self, now: int) -> None:
        """A second has passed, or a message is due."""
        self._now = now
        if now >= self._next:
            self._stopped = now - self._next > LATE  # until the next tick: timers may come before sockets
            self.seen.ticked(now, now - self._next, self._membership_view.slowness())
            self._next = now + SECOND
            self._beats += 1
            self._forget(now)
            self._believe(now)
            self.transition.aim(now, self.estimates.from_zone(self._zone))
        if now >= self._next_message:
            self._next_message = now + MESSAGE_INTERVAL
            self._gossip(now)

    def next_at(self) -> int | None:
        """When ``tick`` is due."""
        times = [self._next, self._next_message, self.transition.next_at(self._now)]
        return min((at for at in times if at), default=None)

    def outgoing_messages(self) -> list[Message]:
        """What is to be sent; taken off."""
        found, self._out = self._out, []
        return found

    def _gossip(self, now: int) -> None:
        zones = self._membership_view.zones()
        alive = sorted(name for name in self._membership_view.alive() if name in zones)
        near = [name for name in alive if zones[name] == self._zone]
        far = [name for name in alive if zones[name] != self._zone]
        self._number += 1
        among = (near or far) if self._number % 2 else (far or near)
        if not among:
            return
        known = sorted(self._known.values())
        row = {
            zone: Entry(measured.low, measured.spread, now - measured.seen_at, 1)
            for zone, measured in self.seen.row(now).items()
            if zone in known
        }
        others = [zone for zone in known if zone != self._zone]
        chosen = self._random.sample(others, min(OTHER_ROWS, len(others)))
        rows = [(self._zone, row)] + [(zone, self._believed_row(now, zone, others)) for zone in chosen]
        body = letter.encode(self._number, self.seen.state, rows)
        self._out.append(Message(among[self._random.randrange(len(among))], body))

    def _believed_row(self, now: int, zone: str, others: list[str]) -> dict[str, Entry]:
        return {
            other: Entry(estimate.value, estimate.spread, now - estimate.seen_at, estimate.witnesses)
            for other in others
            if (estimate := self.estimates.by[pair_of(zone, other)]).how == Basis.MEASURED
        }

    # Estimates

    def _forget(self, now: int) -> None:
        max_age = self.options.max_age
        if self._beats % FAR_INTERVAL == 0:
            self.estimates.settle()
            self.reports.keep(lambda pair, name, report: now - report.seen_at < max_age)
        self._slow = {name: at for name, at in self._slow.items() if now - at < max_age}
        if gone := [zone for zone, at in self._servers.items() if now - at >= 2 * max_age]:
            for zone in gone:
                del self._servers[zone]
            self._settle()

    def _believe(self, now: int) -> None:
        own = self.seen.row(now)
        for place, (pair, estimate) in enumerate(self.estimates.by.items()):
            near = self._zone in pair
            if not near and (place + self._beats) % FAR_INTERVAL:
                continue
            measured = own.get(pair[0] if pair[1] == self._zone else pair[1]) if near else None
            own_decides = measured is not None and measured.fresh and self.seen.state == GatewayHealth.WELL
            reports = self.reports.about(pair, now - self.options.max_age)
            detour_bounds = partial(self.estimates.detour_bounds, pair)
            found = consensus(now, measured, own_decides, reports, self.options.window, detour_bounds)
            if found is not None:
                news = estimate.take(now, found, self.options.hold)
            else:
                news = estimate.without(between[1] if (between := detour_bounds()) else None)
            if news:
                self._changes[pair] = estimate.change(pair)

    def changes(self) -> list[EstimateChange]:
        """Estimates that have changed since this was asked last; the newest of each pair."""
        found, self._changes = list(self._changes.values()), {}
        return found

    # Uses

    def distance(self, zone_a: str, zone_b: str) -> int | None:
        """The round trip between two zones in ns, seen or estimated; None: unknown. Within one not known: 0."""
        return self.estimates.distance(zone_a, zone_b)

    def zone_latencies(self, now: int) -> ZoneLatencies:
        """Of each other zone that is known: the round trip beyond one within the own zone, and the longest usual one.

        The last is the whole round trip with its spread: an attempt with less time left is of no use there.
        """
        return self.transition.at(now)

    def prices(self) -> dict[tuple[str, str], int]:
        """Round trips of pairs beyond one within the nearer zone, ns, both directions; see ``plan.zone_latencies``."""
        return self.estimates.prices()

    def view(self, now: int) -> dict[str, Any]:
        """The map, as plain values; times in ms, ages in seconds."""
        ways = [
            {"to": zone, "ms": round(beyond / MS, 3), "longest": round(longest / MS, 3)}
            for zone, beyond, longest in self.zone_latencies(now)
        ]
        return {
            "zone": self._zone,
            "state": measurements.NAMES[self.seen.state],
            "ways": ways,
            "pairs": self.estimates.view(now),
            "odd": self.seen.odd,
            "apart": self.seen.apart,
            "crowded": self.reports.crowded,
            "left_out": self.left_out,
            "turned_away": self.turned_away,
        }
