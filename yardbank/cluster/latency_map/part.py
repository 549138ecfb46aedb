"""One gateway's map of latencies between zones: measures, gossips, estimates, applies. No I/O; time (ns) is passed in.

Combines measurements, reports and estimates. Estimates are updated each second. A message is sent every second and a
half, alternately to a gateway of the own zone and to one elsewhere, whatever the fleet's size: the own row as measured,
and a few others as estimated. At most ``MAX_ZONES`` zones.
"""

from __future__ import annotations

from functools import partial
from random import Random
from typing import Any

from yardbank.cluster.latency_map import measurements
from yardbank.cluster.latency_map import messages as wire
from yardbank.cluster.latency_map.estimates import Basis, EstimateChange, Estimates
from yardbank.cluster.latency_map.measurements import MAX_TICK_DELAY, GatewayHealth, Measurements
from yardbank.cluster.latency_map.messages import Entry
from yardbank.cluster.latency_map.options import MAX_ZONES, SECOND, Options, Pair, pair_of
from yardbank.cluster.latency_map.reports import LatencyReport, ReportStore, consensus
from yardbank.cluster.latency_map.transition import GradualTransition, ZoneLatencies
from yardbank.cluster.peers.datagram import DroppedError
from yardbank.cluster.peers.parts import MembershipView, Message

MS = 1_000_000
MESSAGE_INTERVAL = 3 * SECOND // 2
OTHER_ROWS = 2  # rows of other zones in a message
REMOTE_PAIR_INTERVAL = 4  # seconds between two updates of a pair without the own zone


class LatencyMapPart:
    """The latency map as a part of the gossip node."""

    topic = "map"
    rate: tuple[int, int] | None = None

    def __init__(self, membership_view: MembershipView, random: Random, options: Options | None = None) -> None:
        self.options = options or Options()
        self._membership_view, self._random = membership_view, random
        self.own_measurements = Measurements(self.options)
        self.reports = ReportStore()
        self.estimates = Estimates()
        self.transition = GradualTransition(self.options.step, Random(random.getrandbits(64)))
        self.excess_zones = self.rejected_round_trips = 0  # zones beyond the bound; round trips to further zones
        self._zone = ""
        self._zones_by_digest: dict[bytes, str] = {}
        self._server_zones: dict[str, int] = {}  # zones of servers, and when a server there last answered
        self._slow_peers: dict[str, int] = {}  # peers that reported themselves slow, and when
        self._boot_epochs: dict[str, int] = {}
        self._listed_zones: dict[str, str] = {}  # by name: the zone in the previous list
        self._changes: dict[Pair, EstimateChange] = {}
        self._outgoing: list[Message] = []
        self._message_number = 0
        self._next_tick = self._next_message = self._tick_count = 0
        self._stalled = False
        self._now = 0

    # Measurements

    def record_peer_round_trip(self, now: int, peer: str, ns: int) -> None:
        """A peer answered a probe after ``ns``."""
        zone = self._membership_view.zones().get(peer)
        if zone is not None and peer not in self._slow_peers and not self._was_stalled(now):
            self.own_measurements.record(now, zone, ns, peer)

    def record_server_round_trip(self, now: int, zone: str, ns: int, what: str = "") -> None:
        """A server accepted a connection or answered a probe.

        ``what`` is ignored: the fastest round trip counts, whatever its kind.
        """
        if self._was_stalled(now):
            return
        known = zone in self._zones_by_digest.values()
        if not known and len(self._zones_by_digest) >= MAX_ZONES:
            self.rejected_round_trips += 1
            return
        self._server_zones[zone] = now
        if not known:
            self._update_zones()
        self.own_measurements.record(now, zone, ns)

    def _was_stalled(self, now: int) -> bool:
        """Whether this process was just stopped or starved, so that what it reads now has waited in its sockets."""
        return self._stalled or (self._next_tick > 0 and now - self._next_tick > MAX_TICK_DELAY)

    # Called by the node

    def listed(self, now: int) -> None:
        """The list has changed."""
        zones = self._membership_view.zones()
        if not self._next_tick:
            self._next_tick = now + self._random.randrange(SECOND)
            self._next_message = now + self._random.randrange(MESSAGE_INTERVAL)
        moved_peers = {name for name, zone in self._listed_zones.items() if zones.get(name) != zone}
        self._listed_zones = dict(zones)
        self._boot_epochs = {name: boot_epoch for name, boot_epoch in self._boot_epochs.items() if name in zones}
        self._zone = zones[self._membership_view.name]
        self.own_measurements.listed(self._zone, zones)
        self.reports.keep(lambda pair, name, report: name not in moved_peers)
        self._slow_peers = {name: at for name, at in self._slow_peers.items() if name in zones}
        self._update_zones()

    def _update_zones(self) -> None:
        """Set the known zones; listed ones take precedence over those of servers."""
        listed = set(self._membership_view.zones().values())
        names = [self._zone, *sorted(listed - {self._zone}), *sorted(self._server_zones.keys() - listed)]
        self._zones_by_digest = {wire.digest(zone): zone for zone in reversed(names[:MAX_ZONES])}
        self.excess_zones = len(names) - len(self._zones_by_digest)
        self.estimates.set_zones(self._zones_by_digest.values())
        kept = set(self.estimates.by_pair)
        self.reports.keep(lambda pair, name, report: pair in kept)

    def receive(self, now: int, sender: str, boot_epoch: int, body: bytes) -> None:
        """Handle a peer's rows. Raises ``DroppedError``."""
        if self._was_stalled(now):
            raise DroppedError("late")  # it waited in a socket while this process was stalled, so its ages are wrong
        if boot_epoch < self._boot_epochs.get(sender, 0):
            raise DroppedError("old")
        zone = self._membership_view.zones().get(sender)
        received = wire.decode(body, self._zones_by_digest)
        if zone is None or received.own_zone != zone:
            raise DroppedError("zone")  # the lists differ: its measurements belong to another zone
        if boot_epoch > self._boot_epochs.get(sender, 0):
            self._boot_epochs[sender] = boot_epoch
            # Reports of an earlier start of the sender no longer count.
            self.reports.keep(lambda pair, name, report: name != sender)
        if received.health == GatewayHealth.SLOW:
            self._slow_peers[sender] = now
        else:
            self._slow_peers.pop(sender, None)
        order = boot_epoch, received.number
        for row, entries in received.rows:
            for other, entry in entries.items():
                pair, first_hand = pair_of(row, other), row == zone
                # On pairs of its own zone only the sender's measurements count, not its estimates.
                if entry.age < self.options.max_age and first_hand == (zone in pair):
                    measured_at = now - entry.age
                    self.reports.add(
                        pair,
                        sender,
                        LatencyReport(entry.value, entry.spread, measured_at, entry.witnesses, first_hand, order),
                    )

    def tick(self, now: int) -> None:
        """Do what is due: the update of each second, the next message."""
        self._now = now
        if now >= self._next_tick:
            # Holds until the next tick, as timers may run before sockets are read.
            self._stalled = now - self._next_tick > MAX_TICK_DELAY
            self.own_measurements.on_tick(now, now - self._next_tick, self._membership_view.slowness())
            self._next_tick = now + SECOND
            self._tick_count += 1
            self._drop_outdated(now)
            self._update_estimates(now)
            self.transition.set_target(now, self.estimates.from_zone(self._zone))
        if now >= self._next_message:
            self._next_message = now + MESSAGE_INTERVAL
            self._send_rows(now)

    def next_at(self) -> int | None:
        """When ``tick`` is due."""
        times = [self._next_tick, self._next_message, self.transition.next_at(self._now)]
        return min((at for at in times if at), default=None)

    def outgoing_messages(self) -> list[Message]:
        """Return and clear the messages to send."""
        found, self._outgoing = self._outgoing, []
        return found

    def _send_rows(self, now: int) -> None:
        zones = self._membership_view.zones()
        alive = sorted(name for name in self._membership_view.alive() if name in zones)
        same_zone = [name for name in alive if zones[name] == self._zone]
        other_zones = [name for name in alive if zones[name] != self._zone]
        self._message_number += 1
        targets = (same_zone or other_zones) if self._message_number % 2 else (other_zones or same_zone)
        if not targets:
            return
        known = sorted(self._zones_by_digest.values())
        row = {
            zone: Entry(measured.low, measured.spread, now - measured.measured_at, 1)
            for zone, measured in self.own_measurements.row(now).items()
            if zone in known
        }
        others = [zone for zone in known if zone != self._zone]
        chosen = self._random.sample(others, min(OTHER_ROWS, len(others)))
        rows = [(self._zone, row)] + [(zone, self._estimated_row(now, zone, others)) for zone in chosen]
        body = wire.encode(self._message_number, self.own_measurements.health, rows)
        self._outgoing.append(Message(targets[self._random.randrange(len(targets))], body))

    def _estimated_row(self, now: int, zone: str, others: list[str]) -> dict[str, Entry]:
        return {
            other: Entry(estimate.value, estimate.spread, now - estimate.measured_at, estimate.witnesses)
            for other in others
            if (estimate := self.estimates.by_pair[pair_of(zone, other)]).basis == Basis.MEASURED
        }

    # Estimates

    def _drop_outdated(self, now: int) -> None:
        max_age = self.options.max_age
        if self._tick_count % REMOTE_PAIR_INTERVAL == 0:
            self.estimates.snapshot_measured()
            self.reports.keep(lambda pair, name, report: now - report.measured_at < max_age)
        self._slow_peers = {name: at for name, at in self._slow_peers.items() if now - at < max_age}
        if gone := [zone for zone, at in self._server_zones.items() if now - at >= 2 * max_age]:
            for zone in gone:
                del self._server_zones[zone]
            self._update_zones()

    def _update_estimates(self, now: int) -> None:
        own = self.own_measurements.row(now)
        for index, (pair, estimate) in enumerate(self.estimates.by_pair.items()):
            involves_own_zone = self._zone in pair
            if not involves_own_zone and (index + self._tick_count) % REMOTE_PAIR_INTERVAL:
                continue
            measured = own.get(pair[0] if pair[1] == self._zone else pair[1]) if involves_own_zone else None
            own_is_sufficient = (
                measured is not None and measured.fresh and self.own_measurements.health == GatewayHealth.WELL
            )
            reports = self.reports.for_pair(pair, now - self.options.max_age)
            detour_bounds = partial(self.estimates.detour_bounds, pair)
            agreed = consensus(now, measured, own_is_sufficient, reports, self.options.window, detour_bounds)
            if agreed is not None:
                changed = estimate.update(now, agreed, self.options.hold)
            else:
                changed = estimate.update_without_reports(bounds[1] if (bounds := detour_bounds()) else None)
            if changed:
                self._changes[pair] = estimate.as_change(pair)

    def changes(self) -> list[EstimateChange]:
        """Return and clear the changed estimates since the last call; the newest of each pair."""
        found, self._changes = list(self._changes.values()), {}
        return found

    # Uses

    def round_trip(self, zone_a: str, zone_b: str) -> int | None:
        """The round trip between two zones in ns; None if unknown. Within one zone, 0 if unknown."""
        return self.estimates.round_trip(zone_a, zone_b)

    def zone_latencies(self, now: int) -> ZoneLatencies:
        """For each other known zone: the round trip beyond one within the own zone, and the longest usual one.

        The latter is the whole round trip with its spread: an attempt with less time left is useless there.
        """
        return self.transition.latencies_at(now)

    def prices(self) -> dict[tuple[str, str], int]:
        """Round trips of pairs beyond one within the nearer zone, in ns, both directions.

        See ``plan.zone_latencies``.
        """
        return self.estimates.prices()

    def view(self, now: int) -> dict[str, Any]:
        """The map as plain values; times in ms, ages in seconds."""
        ways = [
            {"to": zone, "ms": round(beyond / MS, 3), "longest": round(longest / MS, 3)}
            for zone, beyond, longest in self.zone_latencies(now)
        ]
        return {
            "zone": self._zone,
            "state": measurements.HEALTH_NAMES[self.own_measurements.health],
            "ways": ways,
            "pairs": self.estimates.view(now),
            "odd": self.own_measurements.out_of_range,
            "apart": self.own_measurements.discarded,
            "crowded": self.reports.evicted,
            "left_out": self.excess_zones,
            "turned_away": self.rejected_round_trips,
        }
