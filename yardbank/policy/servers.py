"""What one gateway knows of each server, updated from server lists, answers, probes and gossip.

Times, durations and log positions are integer nanoseconds. A latency ratio is an answer's latency divided by the
latency objective of its class.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable
from math import exp

from yardbank import interface as api
from yardbank.interface import ListKind, MemberState, ReadMode, ReplicaCheck, ReportMode, RoleEvidence, Status
from yardbank.policy.requests import Attempt, PendingRequest
from yardbank.policy.roles import ServerRole

MS = 1_000_000
SECOND = 1_000_000_000
USUAL_LATENCY_RATIO = 0.25  # assumed for a server of which nothing is known
INITIAL_CONCURRENCY_LIMIT = 4.0  # requests in flight allowed at a server of which nothing is known
FULL_LATENCY_RATIO = 0.4  # mean at which a server counts as full: its slowest answers still meet the objective
SILENT_TOTAL_LATENCIES = 8.0  # silent: requests in flight have together waited for this many usual latencies ...
SILENT_LATENCIES = 2.5  # ... and no answer has come for this many
BASE_BACKOFF = 250 * MS  # length of the first ejection; each further one is twice as long
MAX_BACKOFF_DOUBLINGS = 3
PROBE_INTERVAL = 100 * MS  # least time between two probes of a server by one gateway
FLEET_PROBE_INTERVAL = MS  # least average time between two probes of a server by all gateways together
MAX_IDLE_TIME = 30 * SECOND  # a connection unused for longer may be dead
LAG_DECAY_TIME = 2 * SECOND  # time constant of a lagging replica's assumed catch-up
LOAD_MAX_AGE = SECOND  # an older reported load is not used
RATIO_DECAY_TIME = 2 * SECOND  # time constant by which earlier answers lose weight
RATIO_FADE_TIME = 4 * SECOND  # time constant by which a server without answers returns to its zone's mean
MAX_LATENCY_RATIO = 4.0  # upper bound of a single answer's ratio
LARGE_FLEET_GATEWAYS = 32  # from this many on, each gateway sees too few answers to judge servers by them alone

EmitAction = Callable[[api.Action], None]
RoleListener = Callable[[int, bool, RoleEvidence], None]  # server, whether it counts as primary now, and why


class Server:
    """What this gateway knows of one server. Written by ``ServerTable`` and, for attempts, by the router."""

    def __init__(self, member: api.Member, now: int) -> None:
        self.id = member.server
        self.zone = member.zone
        self.group = member.group
        self.share = 1.0  # relative share of requests among equally good servers
        self.started = 0  # 0: started long ago
        self.draining = False  # no new requests may be sent to it
        self.role = ServerRole()
        # positions
        self.position = 0  # proven; never decreases
        self.lag = 0  # how far behind it was at ``position_heard_at``
        self.position_heard_at = 0  # time of the latest evidence of its position
        self.position_unknown = False  # it has started and no position of it is known since
        # latency and concurrency
        self.latency_ratio = USUAL_LATENCY_RATIO
        self.latency_ratio_at = now
        self.limit = INITIAL_CONCURRENCY_LIMIT  # allowed in flight; more wait in this gateway's prioritized queue
        self.in_flight: dict[tuple[str, int], Attempt] = {}  # by request and attempt number, oldest first
        self.load = 0.0  # fraction of its CPU cores in use, as last reported
        self.load_at = -LOAD_MAX_AGE
        # failures
        self.failures = 0  # consecutive
        self.ejected_until = 0  # 0: not ejected; after this time it is tried with one request at a time
        self.silent = False  # it accepts requests and answers none
        self.overload_backoff = 0
        self.overload_until = 0  # it reported that it is full: nothing is sent until then
        self.connection_refused_at = 0  # when it last refused a connection
        self.answered_at = now
        self.last_answered_sent_at = 0  # send time of the latest attempt that it has answered
        self.idle_limit = MAX_IDLE_TIME  # a connection unused for longer is closed before the next send
        # probes
        self.next_probe_at = 0
        self.probe_in_flight = False
        self.unanswered_probes = 0  # consecutive

    def is_primary(self) -> bool:
        """Whether the latest evidence of its role says primary."""
        return self.role.is_primary()

    def is_full(self) -> bool:
        """Whether its answers are so slow that further requests would miss their latency objective."""
        return self.latency_ratio > FULL_LATENCY_RATIO

    def readmit(self) -> None:
        """End the ejection and reset the failure count."""
        self.failures = 0
        self.ejected_until = 0
        self.silent = False

    def next_ejection_end(self, now: int) -> int:
        """Return the end of an ejection that begins now; its length grows with consecutive failures."""
        return now + BASE_BACKOFF * (1 << min(self.failures, MAX_BACKOFF_DOUBLINGS))

    def eject(self, now: int, silent: bool) -> None:
        """Send it nothing for a time that doubles with each failure; no-op while it is ejected for the same reason."""
        if now < self.ejected_until and silent == self.silent:
            return
        self.ejected_until = self.next_ejection_end(now)
        self.failures += 1
        self.silent = self.silent or silent

    def back_off(self, now: int, first: int, jitter: float) -> None:
        """Send a full server nothing for a time that doubles on each call, from ``first`` ns up to a second."""
        self.overload_backoff = min(2 * self.overload_backoff or first, SECOND)
        self.overload_until = now + int(self.overload_backoff * jitter)


class ServerTable:
    """Every listed server with its observed state, and its ejection as an outlier.

    Owns: servers and their groups, the mean latency ratio of each zone, loads by group and role, latencies between
    zones, outliers reported by gossip. Written by the router's events only.
    Bound: one ``Server`` per listed server; otherwise one entry per group, zone or server that gossip names.
    Invariants: a server is in ``servers`` and in its group's list, or in neither; its position never decreases; gossip
    ejects no server and proves no role; at most one probe is sent to a server per probe interval.
    """

    def __init__(self, settings: api.Settings, rng: random.Random, emit: EmitAction) -> None:
        self.settings = settings
        self._random = rng
        self._emit = emit
        self.probes_before_sending = settings.tells_load and settings.gateways >= LARGE_FLEET_GATEWAYS
        self.on_role_change: RoleListener = lambda server, primary, evidence: None  # for the log
        self.servers: dict[int, Server] = {}
        self.groups: dict[int, list[Server]] = {}
        self.max_members: dict[int, int] = {}  # by group: most members that served at one time
        self.zone_latency_ratios: defaultdict[str, float] = defaultdict(lambda: USUAL_LATENCY_RATIO)
        self.group_loads: dict[tuple[int, bool], tuple[float, int]] = {}  # by group and role: (load, report time)
        self.gossiped_outliers: dict[int, int] = {}  # by server: until when its reads go to others if possible
        self.zone_latencies: dict[str, tuple[int, int]] = {}  # by zone: (extra, longest) round trip

    @property
    def can_probe(self) -> bool:
        """Whether servers may be probed and report on themselves."""
        return self.settings.may_probe and self.settings.reports != ReportMode.NONE

    # server list

    def apply_list(self, now: int, event: api.ServerList) -> None:
        """Apply a server list, which may be outdated and states health only as far as whether a process runs."""
        if self.settings.subscribe and event.kind in (ListKind.SAVED, ListKind.FAILED):
            self._emit(api.Subscribe())
        members = [member for member in event.members if member.state != MemberState.GONE]
        self._remove_unlisted(event, {member.server for member in members})
        for member in members:
            self._apply_member(now, member, is_delta=event.kind == ListKind.DELTA)
        for group in {member.group for member in members}:  # draining servers do not count, as others replace them
            serving = sum(not server.draining for server in self.groups[group])
            self.max_members[group] = max(self.max_members.get(group, 1), serving)

    def _remove_unlisted(self, event: api.ServerList, listed: set[int]) -> None:
        known = {member.server for member in event.members}  # a delta costs only its own entries, not the whole list
        if event.kind in (ListKind.FULL, ListKind.SAVED):
            known = set(self.servers)
        for number in sorted(known - listed):
            server = self.servers.get(number)
            if server is None:
                continue
            if self.settings.only_draining_binds and not server.draining:
                continue  # the list may be wrong
            del self.servers[number]
            self.groups[server.group].remove(server)

    def _apply_member(self, now: int, member: api.Member, is_delta: bool) -> None:
        server = self.servers.get(member.server)
        if server is None:
            server = self.servers[member.server] = Server(member, now)
            self.groups.setdefault(member.group, []).append(server)
        was_primary = server.is_primary()
        has_restarted = member.started > server.started
        if has_restarted:  # its health must be observed anew, and its data is old
            server.readmit()
            server.limit = INITIAL_CONCURRENCY_LIMIT
            server.started = member.started
            server.role.on_start(member.started)
            server.lag = self.settings.cold
            server.position_heard_at = now
            server.position_unknown = True
        server.role.on_listed(member.primary, now, is_delta)
        self._report_role_change(server, was_primary, RoleEvidence.START if has_restarted else RoleEvidence.LIST)
        server.share = member.share
        server.draining = member.state == MemberState.DRAINING

    def _report_role_change(self, server: Server, was_primary: bool, evidence: RoleEvidence) -> None:
        if server.is_primary() != was_primary:
            self.on_role_change(server.id, server.is_primary(), evidence)

    # gossip

    def apply_gossiped_outliers(self, now: int, event: api.GossipedOutliers) -> None:
        """Record outliers, whose reads go to other servers where possible, and bring trials of healthy servers forward.

        Trials are spread by jitter, so that not all gateways start them at once.
        """
        self.gossiped_outliers = dict(event.outliers)
        for number in event.healthy:
            server = self.servers.get(number)
            if server is None:
                continue
            trial_at = now + int(self._random.random() * BASE_BACKOFF)
            if server.ejected_until:
                server.ejected_until = min(server.ejected_until, trial_at)

    def apply_zone_latencies(self, event: api.ZoneLatencies) -> None:
        """Replace the zone latencies: the extra round trip, and the longest one that must fit before the deadline."""
        self.zone_latencies = {zone: (extra, max(extra, longest)) for zone, extra, longest in event.latencies}

    def extra_latency(self, server: Server) -> int:
        """Return the extra round trip to a server's zone over one within this gateway's zone (ns); 0 if unknown."""
        return self.zone_latencies.get(server.zone, (0, 0))[0]

    def longest_round_trip(self, server: Server) -> int:
        """Return the longest round trip to a server's zone, which must fit before the deadline (ns); 0 if unknown."""
        return self.zone_latencies.get(server.zone, (0, 0))[1]

    # positions, roles, load

    def record_position(self, now: int, server: Server, position: int) -> None:
        """Record a server's position; positions never decrease, and one ahead of the clock is ignored."""
        if position > now:
            return
        server.position = max(server.position, position)
        server.lag = now - server.position
        server.position_heard_at = now
        server.position_unknown = False

    def record_report(self, now: int, server: Server, report: api.Report | None, requested_at: int) -> None:
        """Record a report, which is exact but some time old when it arrives."""
        if report is None:
            return
        if report.load is not None:
            server.load = report.load
            server.load_at = now
            self.group_loads[server.group, server.is_primary()] = report.load, now
        position = report.position
        if position is not None and position > now:
            position = None  # it proves nothing
        if report.primary is not None:
            was_primary = server.is_primary()
            server.role.on_report(report.primary, position, requested_at)
            self._report_role_change(server, was_primary, RoleEvidence.REPORT)
        if position is not None:
            self.record_position(now, server, position)

    def record_answer(self, now: int, event: api.Outcome, attempt: Attempt) -> None:
        """Record what an answer proves: the server's current role, and a position."""
        server = attempt.server
        if event.role:
            was_primary = server.is_primary()
            server.role.on_answer(event.role == api.Role.PRIMARY, now)
            self._report_role_change(server, was_primary, RoleEvidence.ANSWER)
        if event.role == api.Role.PRIMARY:
            self.record_position(now, server, now - event.latency)
        if event.position and (self.settings.tells_position or event.status != Status.OK):
            self.record_position(now, server, event.position)
        required = attempt.pending.required_position(attempt.sent_at)
        if required and event.role == api.Role.REPLICA and self.settings.checks != ReplicaCheck.NONE:
            self._record_position_check(now, server, event, required)

    def _record_position_check(self, now: int, server: Server, event: api.Outcome, required: int) -> None:
        """Record the result of a replica's comparison of its position with the one that a read required."""
        if event.status == Status.OK:
            server.position = max(server.position, required)
            server.lag = min(server.lag, now - required)
        elif event.status == Status.MISS:  # assumed further behind after each miss, because misses load it too
            server.lag = 2 * (now - min(self.estimated_position(now, server), required))
            server.position_heard_at = now
        server.position_unknown = False

    def estimated_position(self, now: int, server: Server) -> int:
        """Return the position that a replica probably has: its last known lag decays as it catches up."""
        return now - int(server.lag * exp((server.position_heard_at - now) / LAG_DECAY_TIME))

    def has_reached(self, now: int, server: Server, required: int) -> bool:
        """Whether a read may be sent there: needs a proven position, or an estimated one where servers check it."""
        checked = self.settings.checks != ReplicaCheck.NONE
        if checked and self.probes_before_sending and server.position_unknown and not server.in_flight:
            return True  # the server rejects the read if it is behind, which costs less than hundreds of probes
        if not required or server.position >= required:
            return True
        return checked and self.estimated_position(now, server) + self.settings.patience >= required

    def may_serve(self, now: int, server: Server, pending: PendingRequest) -> bool:
        """Whether a server certainly has the data that a read must see, or rejects the read if it has not."""
        if self.trusts_role(now, server, pending):
            return True
        if pending.needs_primary:
            return False
        return self.has_reached(now, server, pending.required_position(now))

    def trusts_role(self, now: int, server: Server, pending: PendingRequest) -> bool:
        """Whether a request may go to a server because it is believed to be the primary, without a proven position.

        Where servers do not check positions, one that has said that it is a replica must have said since that it is the
        primary: the list may name it too late. For a bounded read that is not enough, because the data of a server that
        has lost its role again stand still; it needs a proven position, which a probe gives.
        """
        if not server.is_primary():
            return False
        if pending.request_class.read == ReadMode.WRITE or self.settings.checks != ReplicaCheck.NONE:
            return True
        if not server.role.has_been_replica():
            return True
        if pending.request_class.read == ReadMode.BOUNDED and self.can_probe:
            return False
        return server.role.states_primary(now)

    def primary(self, now: int, group: int) -> Server | None:
        """Return the server last known to be primary, unless it is draining or ejected."""
        latest: Server | None = None
        for server in self.groups.get(group, ()):
            if not server.is_primary() or server.draining:
                continue
            if latest is None or server.role.believed_at[True] > latest.role.believed_at[True]:
                latest = server
        if latest is None or latest.silent or now < latest.ejected_until:
            return None
        return latest

    def reported_load(self, now: int, server: Server) -> float | None:
        """Return a server's recently reported load, else that of one with its role in its group, else None."""
        if now - server.load_at < LOAD_MAX_AGE:
            return server.load
        load, reported_at = self.group_loads.get((server.group, server.is_primary()), (0.0, -LOAD_MAX_AGE))
        return load if now - reported_at < LOAD_MAX_AGE else None

    # latency, concurrency, slow start

    def update_latency(self, now: int, server: Server, request_class: api.RequestClass, latency: int) -> None:
        """Update the latency ratios of a server and its zone by an answer, and then the server's concurrency limit."""
        weight = 0.5 - 0.4 * exp((server.latency_ratio_at - now) / RATIO_DECAY_TIME)
        ratio = min(latency / request_class.latency_objective, MAX_LATENCY_RATIO)
        zone_ratio = self.zone_latency_ratios[server.zone]
        self.zone_latency_ratios[server.zone] = zone_ratio + weight / 4 * (ratio - zone_ratio)
        server.latency_ratio += weight * (ratio - server.latency_ratio)
        server.latency_ratio_at = now
        if server.is_full():
            server.limit = max(1.0, 0.95 * server.limit)
        elif 2 * len(server.in_flight) >= server.limit or server.limit < 2:  # limit 1: none is left in flight
            server.limit += 1 / server.limit

    def expected_latency_ratio(self, now: int, server: Server) -> float:
        """Return its latency ratio, fading to its zone's mean: one not heard from is neither flooded nor avoided."""
        zone_mean = self.zone_latency_ratios[server.zone]
        return zone_mean + (server.latency_ratio - zone_mean) * exp((server.latency_ratio_at - now) / RATIO_FADE_TIME)

    def warmup_fraction(self, now: int, server: Server) -> float:
        """Return the fraction of its capacity that a recently started server certainly has (slow start)."""
        if not server.started:
            return 1.0
        age = (now - server.started) / max(self.settings.cold, 1)
        return min(1.0, self.settings.cold_share + (1 - self.settings.cold_share) * age)

    # failures and probes

    def eject_if_silent(self, now: int, server: Server) -> bool:
        """Eject a server that accepts requests and answers none; only this gateway's own requests can show that."""
        oldest = next(iter(server.in_flight.values()))
        since = max(server.answered_at, oldest.sent_at)
        usual_ratio = USUAL_LATENCY_RATIO
        if not server.silent:
            usual_ratio = min(1.0, max(USUAL_LATENCY_RATIO, self.expected_latency_ratio(now, server)))
        usual_latency = oldest.pending.request_class.latency_objective * usual_ratio
        if now - since < SILENT_LATENCIES * usual_latency:
            return False
        waited = sum(now - max(since, attempt.sent_at) for attempt in server.in_flight.values())
        if not server.silent and waited < SILENT_TOTAL_LATENCIES * usual_latency:
            return False
        server.eject(now, silent=True)
        return True

    def record_connection_outcome(self, server: Server, event: api.Outcome, idle: int) -> None:
        """Record what an attempt's end says of its connection: mainly how long connections there may be unused."""
        if event.status == Status.OK:  # raised slowly; an answer to this gateway outranks gossip
            self.gossiped_outliers.pop(server.id, None)
            server.overload_backoff = 0
            server.idle_limit = min(MAX_IDLE_TIME, int(1.2 * server.idle_limit))
        elif event.status not in api.NEVER_RAN and BASE_BACKOFF < idle > event.latency:  # shorter pauses prove nothing
            if server.latency_ratio < FULL_LATENCY_RATIO:
                server.idle_limit = min(server.idle_limit, idle) // 2

    def update_health(self, now: int, event: api.Outcome, attempt: Attempt, refused: bool) -> None:
        """Eject an unreachable server, readmit one that answers; ``refused``: failed at once, so it may be full."""
        server = attempt.server
        if refused:  # a probe distinguishes a dead process from one that has reached its connection limit
            server.connection_refused_at = now
            self.probe(now, server)
        elif event.status in (Status.CONNECT_FAILED, Status.RESET):
            server.eject(now, silent=False)
        elif event.status in (Status.OK, Status.MISS, Status.ERROR, Status.FULL):
            server.readmit()
            server.answered_at = now
            server.last_answered_sent_at = max(server.last_answered_sent_at, attempt.sent_at)

    def is_probing(self, group: int) -> bool:
        """Whether a probe of one of a group's servers is in flight."""
        return any(server.probe_in_flight for server in self.groups.get(group, ()))

    def probe(self, now: int, server: Server) -> bool:
        """Probe a server if a probe is due; return whether a probe is in flight.

        Call it only for what the next decision needs, because hundreds of gateways probe the same servers.
        """
        if now >= server.next_probe_at and self.can_probe:
            interval = max(PROBE_INTERVAL, self.settings.gateways * FLEET_PROBE_INTERVAL)
            server.next_probe_at = now + (interval << min(server.unanswered_probes, MAX_BACKOFF_DOUBLINGS))
            server.probe_in_flight = True
            self._emit(api.Probe(server.id))
        return server.probe_in_flight
