"""Which server a request's next attempt goes to.

Times are integer nanoseconds.
"""

import random
from collections.abc import Sequence

from yardbank import interface as api
from yardbank.policy.admission import Admission
from yardbank.policy.requests import PendingRequest
from yardbank.policy.servers import PROBE_INTERVAL, SECOND, USUAL_LATENCY_RATIO, Server, ServerTable

PRIMARY_PENALTY = 3.0  # a primary is chosen for a read when replicas look so many times dearer
FAR_PENALTY = 1.5  # the same of a server in another zone whose distance is not known
JITTER = 0.2  # of a server's cost, so that gateways do not all choose the same
EQUAL_COST = 1.3  # servers up to so many times the least cost are equals: their shares decide
SAMPLE = 16  # servers looked at for one read, where a group has more
EASY_LOAD = 0.7  # the load up to which everything is sent to a server
EASY_LOAD_SPILL = 0.4  # the load up to which all reads are sent to a primary
FULL_LOAD = 0.9  # the load at which a server counts as full, as reports err
MIN_SENT = 0.03  # the share that is sent to a full server still
CAUTION = 3 * SECOND  # for so long after a late answer or none, a group's load is probed before sending
MAX_WAIT_SHARE = 8  # a read waits for a probe at most this part (1/n) of its latency objective


class Selection:
    """Chooses a server; has no state of servers of its own.

    Owns: until when each group's load is probed before sending. Written by the router only.
    Bound: one entry a group.
    Invariants: no server is chosen that drains, that the request has tried, or that has not reached the position
    that a read must see; a request that needs the primary goes nowhere else.
    """

    def __init__(self, settings: api.Settings, table: ServerTable, admission: Admission, draw: random.Random) -> None:
        self._zone = settings.zone
        self._table = table
        self._admission = admission
        self._random = draw
        self._needing_primary = [one.name for one in settings.classes if one.read in api.NEEDS_PRIMARY]
        self._served_by_replicas = [one.name for one in settings.classes if one.read not in api.NEEDS_PRIMARY]
        self.cautious_until: dict[int, int] = {}  # by group

    def be_cautious(self, now: int, group: int) -> None:
        """A group's server was late or did not answer: probe its servers' load before sending, for a while."""
        self.cautious_until[group] = now + CAUTION

    def cost(self, now: int, server: Server, primary: Server | None) -> float:
        """What a further request may expect to wait there, as a latency ratio with jitter."""
        jitter = 1 + JITTER * self._random.random()
        cost = (len(server.in_flight) + 1) * self._table.expected_latency_ratio(now, server) * jitter
        if server.zone != self._zone and server.zone not in self._table.zone_latencies:
            cost *= FAR_PENALTY
        return cost * PRIMARY_PENALTY if server is primary else cost

    def total_cost(self, now: int, server: Server, primary: Server | None, pending: PendingRequest) -> float:
        """That, and the round trip there as a share of the objective: it is paid once, however many wait."""
        round_trip = self._table.extra_latency(server) / pending.request_class.latency_objective
        return self.cost(now, server, primary) + round_trip

    def has_capacity(self, now: int, server: Server, pending: PendingRequest) -> bool:
        """Whether it may be sent one more; reads that others can serve leave writes half of a primary."""
        table = self._table
        warmup_fraction = table.warmup_fraction(now, server)
        limit = server.limit
        if server.is_primary() and not pending.needs_primary:
            limit /= 2
        if len(server.in_flight) >= max(1.0, limit * warmup_fraction) or now < server.overload_until:
            return False
        if self.is_overloaded(now, server, pending):
            return False
        if warmup_fraction >= 1.0:  # the usual case; looking up an index costs a walk over the group
            return True
        size = 1 if pending.needs_primary else table.max_members[server.group]
        # a cold server takes its own slice of the draws
        slot = pending.admission_draw + table.groups[server.group].index(server) / size
        return slot % 1.0 < warmup_fraction / size

    def needs_load_probe(self, now: int, server: Server, pending: PendingRequest) -> bool:
        """Whether a server's load must be known before it is sent to: of hundreds, each sees little of it."""
        if not self._table.probes_before_sending:
            return False
        spills_to_primary = server.is_primary() and not pending.needs_primary
        return spills_to_primary or now < self.cautious_until.get(pending.request.group, 0)

    def is_overloaded(self, now: int, server: Server, pending: PendingRequest) -> bool:
        """Whether it is so busy that it is left to requests of more weight: the fuller, the less is sent."""
        if not self.needs_load_probe(now, server, pending):
            return False
        load = self._table.load_of(now, server)
        if load is None:
            return False
        easy_load = EASY_LOAD
        if server.is_primary() and not pending.needs_primary:
            easy_load = EASY_LOAD_SPILL
        rivals = self._needing_primary if pending.needs_primary else self._served_by_replicas
        sent = max(MIN_SENT, 1 - (load - easy_load) / (FULL_LOAD - easy_load))
        return self._admission.place(pending, rivals) > sent

    def choose(self, now: int, pending: PendingRequest) -> Server | None:
        """The server for the next attempt, or none for now."""
        group = pending.request.group
        primary = self._table.primary(now, group)
        if pending.needs_primary:
            if primary is None or primary.id in pending.tried:
                return None
            return primary if self.has_capacity(now, primary, pending) else None
        members = self._table.groups.get(group, [])
        if len(members) > SAMPLE:  # a walk over hundreds costs more than it finds, unless none of a few will do
            best = self._choose_for_read(now, pending, primary, self._random.sample(members, SAMPLE))
            if best is not None and best is not primary:
                return best
        return self._choose_for_read(now, pending, primary, members)

    def _choose_for_read(
        self, now: int, pending: PendingRequest, primary: Server | None, members: Sequence[Server]
    ) -> Server | None:
        """The server for a read's next attempt among some of its group."""
        free, able = self._candidates(now, pending, primary, members)
        healthy = self._healthy(now, able)
        if all(server is primary for server in healthy):
            if self._waits_for_probe(now, pending, primary, free, able):
                return None
        trials = [server for server in able if 0 < server.ejected_until <= now and not server.in_flight]
        if trials and healthy and pending.attempts == 0:
            if trials[0].silent or not self._table.probe(now, trials[0]):
                return trials[0]
        priced = [
            (self.total_cost(now, server, primary, pending), server)
            for server in healthy or trials or able
            if self.has_capacity(now, server, pending)
        ]
        if not priced:
            return None
        least, best = min(priced, key=lambda pair: pair[0])
        if best is primary and self._replicas_are_overloaded(now, pending, primary, healthy):
            return None  # what replicas have too much of would be too much for a primary sooner
        return self._by_share(priced, least, best)

    def _candidates(
        self, now: int, pending: PendingRequest, primary: Server | None, members: Sequence[Server]
    ) -> tuple[list[Server], list[Server]]:
        """The servers that the request has not tried, and of these the ones that have what it must see."""
        table = self._table
        required = pending.required_position(now)
        free = [server for server in members if not server.draining and server.id not in pending.tried]
        able = [server for server in free if server is primary or table.has_reached(now, server, required)]
        if table.zone_latencies:  # one whose round trip alone takes too long, only if no other may be sent it
            expires = pending.request.expires
            free = [server for server in free if now + table.longest_round_trip(server) <= expires]
            able = [server for server in able if server in free] or able
        return free, able

    def _healthy(self, now: int, able: list[Server]) -> list[Server]:
        """Servers that are not ejected; of these the ones that gossip does not name, if any."""
        outliers = self._table.gossiped_outliers
        admitted = [server for server in able if server.ejected_until == 0]
        return [server for server in admitted if now >= outliers.get(server.id, 0)] or admitted

    def _waits_for_probe(
        self, now: int, pending: PendingRequest, primary: Server | None, free: list[Server], able: list[Server]
    ) -> bool:
        """Whether a read waits shortly for a replica that probably has what it must see, instead of the primary."""
        if now - pending.arrived >= pending.request_class.latency_objective / MAX_WAIT_SHARE:
            return False
        table = self._table
        required = pending.required_position(now)
        likely = []
        for server in free:
            if server in able or server.ejected_until or server.heard_at >= now - PROBE_INTERVAL:
                continue
            may_be_fresh = server.position_unknown and not table.probes_before_sending
            if may_be_fresh or table.likely_position(now, server) >= required:
                likely.append(server)
        if not likely:
            return False
        return table.probe(now, min(likely, key=lambda server: self.total_cost(now, server, primary, pending)))

    def _replicas_are_overloaded(
        self, now: int, pending: PendingRequest, primary: Server | None, healthy: list[Server]
    ) -> bool:
        return any(server is not primary and self.is_overloaded(now, server, pending) for server in healthy)

    def _by_share(self, priced: list[tuple[float, Server]], least: float, best: Server) -> Server:
        """The best, or one drawn by share among its equals: what is seen of servers outranks shares."""
        if all(server.share == best.share for _, server in priced):
            return best
        equals = [
            server
            for cost, server in priced
            if cost <= EQUAL_COST * least or (cost <= USUAL_LATENCY_RATIO and server.zone == best.zone)
        ]
        return self._random.choices(equals, [server.share for server in equals])[0]
