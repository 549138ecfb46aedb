"""Server selection: which server a request's next attempt goes to.

Times are integer nanoseconds.
"""

import random
from collections.abc import Sequence

from yardbank import interface as api
from yardbank.policy.admission import Admission
from yardbank.policy.requests import PendingRequest
from yardbank.policy.servers import PROBE_INTERVAL, SECOND, USUAL_LATENCY_RATIO, Server, ServerTable

PRIMARY_COST_FACTOR = 3.0  # a primary is chosen for a read only when replicas cost this many times more
REMOTE_COST_FACTOR = 1.5  # the same for a server in another zone to which the latency is not known
COST_JITTER = 0.2  # random part of a server's cost, so that gateways do not all choose the same server
EQUAL_COST_RATIO = 1.3  # servers within this multiple of the lowest cost are equal: their shares decide
SAMPLE_SIZE = 16  # servers considered for one read where a group has more
SHEDDING_LOAD = 0.7  # load up to which all requests are sent to a server; above it some are withheld
SHEDDING_LOAD_PRIMARY_READS = 0.4  # load up to which all reads that may use a primary are sent to it
FULL_LOAD = 0.9  # load at which a server counts as full; below 1 because reports are inexact
MIN_SENT_SHARE = 0.03  # share of requests that is still sent to a full server
CAUTION_PERIOD = 3 * SECOND  # how long a group's load is probed before sending, after a late or missing answer
PROBE_WAIT_DIVISOR = 8  # a read waits for a probe for at most 1/8 of its latency objective


class Selection:
    """Chooses a server; has no server state of its own.

    Owns: until when each group's load is probed before sending. Written by the router only.
    Bound: one entry per group.
    Invariants: no server is chosen that is draining, that the request has tried, or that has not reached the position
    that a read must see; a request that needs the primary goes nowhere else.
    """

    def __init__(self, settings: api.Settings, table: ServerTable, admission: Admission, rng: random.Random) -> None:
        self._zone = settings.zone
        self._table = table
        self._admission = admission
        self._random = rng
        self._primary_classes = [c.name for c in settings.classes if c.read in api.NEEDS_PRIMARY]
        self._replica_classes = [c.name for c in settings.classes if c.read not in api.NEEDS_PRIMARY]
        self.load_probes_until: dict[int, int] = {}  # by group

    def start_load_probes(self, now: int, group: int) -> None:
        """Probe a group's load before sending for a while, as its servers were late or did not answer."""
        self.load_probes_until[group] = now + CAUTION_PERIOD

    def cost(self, now: int, server: Server, primary: Server | None) -> float:
        """Return the expected wait of one more request at a server, as a latency ratio with jitter."""
        jitter = 1 + COST_JITTER * self._random.random()
        cost = (len(server.in_flight) + 1) * self._table.expected_latency_ratio(now, server) * jitter
        if server.zone != self._zone and server.zone not in self._table.zone_latencies:
            cost *= REMOTE_COST_FACTOR
        return cost * PRIMARY_COST_FACTOR if server is primary else cost

    def total_cost(self, now: int, server: Server, primary: Server | None, pending: PendingRequest) -> float:
        """Return ``cost`` plus the round trip as a share of the objective; the latter does not grow with the queue."""
        round_trip = self._table.extra_latency(server) / pending.request_class.latency_objective
        return self.cost(now, server, primary) + round_trip

    def has_capacity(self, now: int, server: Server, pending: PendingRequest) -> bool:
        """Whether a server may get another request; reads that replicas can serve leave half a primary to writes."""
        table = self._table
        warmup_fraction = table.warmup_fraction(now, server)
        limit = server.limit
        if server.is_primary() and not pending.needs_primary:
            limit /= 2
        if len(server.in_flight) >= max(1.0, limit * warmup_fraction) or now < server.overload_until:
            return False
        if self.is_overloaded(now, server, pending):
            return False
        if warmup_fraction >= 1.0:  # the usual case; finding the server's index below scans the group
            return True
        size = 1 if pending.needs_primary else table.max_members[server.group]
        # Each cold server accepts its own slice of the admission draws.
        slot = pending.admission_draw + table.groups[server.group].index(server) / size
        return slot % 1.0 < warmup_fraction / size

    def needs_load_probe(self, now: int, server: Server, pending: PendingRequest) -> bool:
        """Whether a server's load must be known before sending: each of hundreds of gateways sees little of it."""
        if not self._table.probes_before_sending:
            return False
        spills_to_primary = server.is_primary() and not pending.needs_primary
        return spills_to_primary or now < self.load_probes_until.get(pending.request.group, 0)

    def is_overloaded(self, now: int, server: Server, pending: PendingRequest) -> bool:
        """Whether a server's load reserves it for requests of more weight; the share sent falls as the load rises."""
        if not self.needs_load_probe(now, server, pending):
            return False
        load = self._table.reported_load(now, server)
        if load is None:
            return False
        shedding_load = SHEDDING_LOAD
        if server.is_primary() and not pending.needs_primary:
            shedding_load = SHEDDING_LOAD_PRIMARY_READS
        competing_classes = self._primary_classes if pending.needs_primary else self._replica_classes
        sent_share = max(MIN_SENT_SHARE, 1 - (load - shedding_load) / (FULL_LOAD - shedding_load))
        return self._admission.priority_quantile(pending, competing_classes) > sent_share

    def choose(self, now: int, pending: PendingRequest) -> Server | None:
        """Return the server for the next attempt, or None if there is none at present."""
        group = pending.request.group
        primary = self._table.primary(now, group)
        if pending.needs_primary:
            if primary is None or primary.id in pending.tried:
                return None
            if not self._table.may_serve(now, primary, pending):
                return None
            return primary if self.has_capacity(now, primary, pending) else None
        members = self._table.groups.get(group, [])
        if len(members) > SAMPLE_SIZE:  # scanning hundreds of servers pays only if a sample yields none
            best = self._choose_for_read(now, pending, primary, self._random.sample(members, SAMPLE_SIZE))
            if best is not None and best is not primary:
                return best
        return self._choose_for_read(now, pending, primary, members)

    def _choose_for_read(
        self, now: int, pending: PendingRequest, primary: Server | None, members: Sequence[Server]
    ) -> Server | None:
        """Return the server for a read's next attempt among some members of its group."""
        untried, eligible = self._candidates(now, pending, primary, members)
        healthy = self._healthy(now, eligible)
        if all(server is primary for server in healthy):
            if self._waits_for_probe(now, pending, primary, untried, eligible):
                return None
        trials = [server for server in eligible if 0 < server.ejected_until <= now and not server.in_flight]
        if trials and healthy and pending.attempts == 0:
            if trials[0].silent or not self._table.probe(now, trials[0]):
                return trials[0]
        costs = [
            (self.total_cost(now, server, primary, pending), server)
            for server in healthy or trials or eligible
            if self.has_capacity(now, server, pending)
        ]
        if not costs:
            return None
        lowest_cost, best = min(costs, key=lambda pair: pair[0])
        if best is primary and self._replicas_are_overloaded(now, pending, primary, healthy):
            return None  # load that is too much for the replicas would overload the primary even sooner
        return self._pick_by_share(costs, lowest_cost, best)

    def _candidates(
        self, now: int, pending: PendingRequest, primary: Server | None, members: Sequence[Server]
    ) -> tuple[list[Server], list[Server]]:
        """Return the servers that the request has not tried, and those of them that have the data it must see."""
        table = self._table
        required = pending.required_position(now)
        untried = [server for server in members if not server.draining and server.id not in pending.tried]
        eligible = [
            server
            for server in untried
            if table.has_reached(now, server, required)
            or (server is primary and table.trusts_role(now, server, pending))
        ]
        if table.zone_latencies:  # a server whose round trip alone exceeds the deadline is used only if no other can be
            expires = pending.request.expires
            untried = [server for server in untried if now + table.longest_round_trip(server) <= expires]
            eligible = [server for server in eligible if server in untried] or eligible
        return untried, eligible

    def _healthy(self, now: int, eligible: list[Server]) -> list[Server]:
        """Return servers that are not ejected, without the outliers that gossip names unless nothing else is left."""
        outliers = self._table.gossiped_outliers
        admitted = [server for server in eligible if server.ejected_until == 0]
        return [server for server in admitted if now >= outliers.get(server.id, 0)] or admitted

    def _waits_for_probe(
        self, now: int, pending: PendingRequest, primary: Server | None, untried: list[Server], eligible: list[Server]
    ) -> bool:
        """Whether a read waits briefly for a probe of a replica that probably has its data, instead of the primary."""
        if now - pending.arrived >= pending.request_class.latency_objective / PROBE_WAIT_DIVISOR:
            return False
        table = self._table
        required = pending.required_position(now)
        probable = []
        for server in untried:
            if server in eligible or server.ejected_until or server.position_heard_at >= now - PROBE_INTERVAL:
                continue
            may_be_fresh = server.position_unknown and not table.probes_before_sending
            if may_be_fresh or table.estimated_position(now, server) >= required:
                probable.append(server)
        if not probable:
            return False
        return table.probe(now, min(probable, key=lambda server: self.total_cost(now, server, primary, pending)))

    def _replicas_are_overloaded(
        self, now: int, pending: PendingRequest, primary: Server | None, healthy: list[Server]
    ) -> bool:
        return any(server is not primary and self.is_overloaded(now, server, pending) for server in healthy)

    def _pick_by_share(self, costs: list[tuple[float, Server]], lowest_cost: float, best: Server) -> Server:
        """Return the best server, or one drawn by share among its equals: observed cost outranks shares."""
        if all(server.share == best.share for _, server in costs):
            return best
        equals = [
            server
            for cost, server in costs
            if cost <= EQUAL_COST_RATIO * lowest_cost or (cost <= USUAL_LATENCY_RATIO and server.zone == best.zone)
        ]
        return self._random.choices(equals, [server.share for server in equals])[0]
