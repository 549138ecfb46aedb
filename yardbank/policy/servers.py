"""What one gateway knows of each server, and how it learns it: from lists, answers, probes and gossip.

Times, durations and log positions are integer nanoseconds. A latency ratio is an answer's latency as a share of its
class's latency objective.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable
from math import exp

from yardbank import interface as api
from yardbank.interface import ListKind, MemberState, ReplicaCheck, ReportMode, Status
from yardbank.policy.requests import Attempt

MS = 1_000_000
SECOND = 1_000_000_000
USUAL_LATENCY_RATIO = 0.25  # taken for a server that nothing is known of
INITIAL_LIMIT = 4.0  # requests that may be in flight at a server that nothing is known of
FULL_LATENCY_RATIO = 0.4  # the mean at which a server counts as full: the slowest answers still make the objective
SILENT_TOTAL_WAIT = 8.0  # silent: its requests in flight waited so many usual latencies together ...
SILENT_WAIT = 2.5  # ... and nothing came for so many
BACKOFF = 250 * MS  # the first ejection; each further one is twice as long
MAX_BACKOFF_DOUBLINGS = 3
PROBE_INTERVAL = 100 * MS  # between two probes of a server by one gateway, at least
FLEET_PROBE_INTERVAL = MS  # between two probes of a server by all gateways, on average at least
MAX_IDLE = 30 * SECOND  # a connection that was unused for longer may be dead
LAG_DECAY = 2 * SECOND  # how long a replica that was behind is taken to need to catch up
LOAD_LIFETIME = SECOND  # a reported load that is older is not used
DELTA_DELAY = SECOND  # changes of the primary may reach the list so much later
RATIO_DECAY = 2 * SECOND  # of the weight of earlier answers
RATIO_LIFETIME = 4 * SECOND  # after it, a server that nothing was heard from counts as its zone does
MAX_LATENCY_RATIO = 4.0  # one answer counts for no more
FEW_GATEWAYS = 32  # so many gateways and more hear too little each to judge servers by their own answers alone

Emit = Callable[[api.Action], None]


class Server:
    """What this gateway knows of one server. Written by ``ServerTable`` and, for attempts, by the router."""

    def __init__(self, member: api.Member, now: int) -> None:
        self.id = member.server
        self.zone = member.zone
        self.group = member.group
        self.share = 1.0  # of the requests that equally good servers get
        self.started = 0  # 0: long ago
        self.listed_primary = False
        self.draining = False  # it must not be sent anything new
        self.role_at = {True: -1, False: -1}  # when it was last known to be primary, and not to be
        # positions
        self.position = 0  # proven; never falls
        self.lag = 0  # how far behind it was when last heard
        self.heard_at = 0  # when its position was last heard of
        self.position_unknown = False  # it has started and its position is not known since
        # latency and concurrency
        self.latency_ratio = USUAL_LATENCY_RATIO
        self.latency_ratio_at = now
        self.limit = INITIAL_LIMIT  # requests that may be in flight; more wait here, where they are ordered
        self.in_flight: dict[tuple[str, int], Attempt] = {}  # by request and attempt number, oldest first
        self.load = 0.0  # the share of its cores in use, as it last reported
        self.load_at = -LOAD_LIFETIME
        # failures
        self.failures = 0  # in a row
        self.ejected_until = 0  # 0: not ejected; once past, it is tried with one request at a time
        self.silent = False  # it takes requests and answers nothing
        self.overload_backoff = 0
        self.overload_until = 0  # it said that it is full: nothing is sent until then
        self.refused_at = 0  # when it last refused a connection
        self.answered_at = now
        self.last_answered_sent_at = 0  # when the latest attempt that it has answered was sent
        self.idle_limit = MAX_IDLE  # a connection that was unused for longer is closed before a send
        # probes
        self.next_probe_at = 0
        self.probe_in_flight = False
        self.unanswered_probes = 0  # in a row

    def is_primary(self) -> bool:
        """Whether the latest evidence says primary; a role that was reported counts from when it was true."""
        return self.role_at[True] > self.role_at[False]

    def is_full(self) -> bool:
        """Whether its answers are so slow that more requests would make them late."""
        return self.latency_ratio > FULL_LATENCY_RATIO

    def readmit(self) -> None:
        """End its ejection."""
        self.failures = 0
        self.ejected_until = 0
        self.silent = False

    def next_ejection_end(self, now: int) -> int:
        """When an ejection that begins now ends: it grows with failures in a row."""
        return now + BACKOFF * (1 << min(self.failures, MAX_BACKOFF_DOUBLINGS))

    def eject(self, now: int, silent: bool) -> None:
        """Send it nothing for a while that doubles each time; nothing changes while it is ejected for the same."""
        if now < self.ejected_until and silent == self.silent:
            return
        self.ejected_until = self.next_ejection_end(now)
        self.failures += 1
        self.silent = self.silent or silent

    def back_off(self, now: int, first: int, jitter: float) -> None:
        """It is full: send it nothing for a while that doubles each time, from ``first`` ns up to a second."""
        self.overload_backoff = min(2 * self.overload_backoff or first, SECOND)
        self.overload_until = now + int(self.overload_backoff * jitter)


class ServerTable:
    """Every server of the list with what was learnt of it, and its ejection as an outlier.

    Owns: servers and their groups, the mean latency ratio of each zone, loads by group and role, latencies between
    zones, outliers by gossip. Written by the router's events only.
    Bound: one ``Server`` a listed server; the rest one entry a group, a zone or a server that gossip names.
    Invariants: a server is in ``servers`` and in its group's list, or in neither; its position never falls; what
    gossip says ejects nobody and proves no role; one probe a server is sent an interval.
    """

    def __init__(self, settings: api.Settings, draw: random.Random, emit: Emit) -> None:
        self.settings = settings
        self._random = draw
        self._emit = emit
        self.probes_before_sending = settings.tells_load and settings.gateways >= FEW_GATEWAYS
        self.servers: dict[int, Server] = {}
        self.groups: dict[int, list[Server]] = {}
        self.max_members: dict[int, int] = {}  # by group: the most servers that it has had at a time
        self.zone_latency_ratios: defaultdict[str, float] = defaultdict(lambda: USUAL_LATENCY_RATIO)
        self.group_loads: dict[tuple[int, bool], tuple[float, int]] = {}  # by group and role: load, when
        self.gossiped_outliers: dict[int, int] = {}  # by server: until when others can take its reads
        self.zone_latencies: dict[str, tuple[int, int]] = {}  # by zone: round trip beyond one's own, longest

    # the list

    def apply_list(self, now: int, event: api.ServerList) -> None:
        """Take the list as far as it goes: it is late, and knows of health only whether a process runs."""
        if self.settings.subscribe and event.kind in (ListKind.SAVED, ListKind.FAILED):
            self._emit(api.Subscribe())
        members = [member for member in event.members if member.state != MemberState.GONE]
        self._remove_unlisted(event, {member.server for member in members})
        for member in members:
            self._apply_member(now, member, is_delta=event.kind == ListKind.DELTA)
        for group in {member.group for member in members}:  # one that drains leaves its place to another
            serving = sum(not server.draining for server in self.groups[group])
            self.max_members[group] = max(self.max_members.get(group, 1), serving)

    def _remove_unlisted(self, event: api.ServerList, listed: set[int]) -> None:
        known = {member.server for member in event.members}  # the cost is that of the change, not of the list
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
        if member.started > server.started:  # what was learnt of its health is void; its copy is old
            server.readmit()
            server.limit = INITIAL_LIMIT
            server.started = member.started
            server.role_at[True] = -1
            server.lag = self.settings.cold
            server.heard_at = now
            server.position_unknown = True
        if member.primary and not server.listed_primary:
            primary_at = now - DELTA_DELAY if is_delta else 0
            server.role_at[True] = max(server.role_at[True], primary_at)
        server.listed_primary = member.primary
        server.share = member.share
        server.draining = member.state == MemberState.DRAINING

    # what others say

    def apply_gossiped_outliers(self, now: int, event: api.GossipedOutliers) -> None:
        """Gossip keeps reads from a server that another can take, and brings trials forward, not all at once."""
        self.gossiped_outliers = dict(event.outliers)
        for number in event.healthy:
            server = self.servers.get(number)
            if server is None:
                continue
            trial_at = now + int(self._random.random() * BACKOFF)
            if server.ejected_until:
                server.ejected_until = min(server.ejected_until, trial_at)

    def apply_zone_latencies(self, event: api.ZoneLatencies) -> None:
        """Replace the latencies between zones: the round trip, and the longest one that must still fit."""
        self.zone_latencies = {zone: (beyond, max(beyond, longest)) for zone, beyond, longest in event.latencies}

    def extra_latency(self, server: Server) -> int:
        """The round trip to a server's zone beyond one within this zone (ns); 0 where it is not known."""
        return self.zone_latencies.get(server.zone, (0, 0))[0]

    def longest_round_trip(self, server: Server) -> int:
        """The longest round trip to a server's zone that must still fit (ns); 0 where it is not known."""
        return self.zone_latencies.get(server.zone, (0, 0))[1]

    # positions, roles, load

    def learn_position(self, now: int, server: Server, position: int) -> None:
        """Positions only rise, and one beyond the clock proves nothing."""
        if position > now:
            return
        server.position = max(server.position, position)
        server.lag = now - server.position
        server.heard_at = now
        server.position_unknown = False

    def learn_report(self, now: int, server: Server, report: api.Report | None) -> None:
        """A report is exact but old: the role in it was true at its position."""
        if report is None:
            return
        if report.load is not None:
            server.load = report.load
            server.load_at = now
            self.group_loads[server.group, server.is_primary()] = report.load, now
        if report.position is None or report.position > now:
            return
        if report.primary is not None and report.position >= server.position:
            server.role_at[report.primary] = max(server.role_at[report.primary], report.position)
        self.learn_position(now, server, report.position)

    def learn_answer(self, now: int, event: api.Outcome, attempt: Attempt) -> None:
        """What an answer proves: a role now, and a position."""
        server = attempt.server
        if event.role:
            server.role_at[event.role == api.Role.PRIMARY] = now
        if event.role == api.Role.PRIMARY:
            self.learn_position(now, server, now - event.latency)
        if event.position and (self.settings.tells_position or event.status != Status.OK):
            self.learn_position(now, server, event.position)
        required = attempt.pending.required_position(attempt.sent_at)
        if required and event.role == api.Role.REPLICA and self.settings.checks != ReplicaCheck.NONE:
            self._learn_check(now, server, event, required)

    def _learn_check(self, now: int, server: Server, event: api.Outcome, required: int) -> None:
        """The replica has compared its position with the one that a read required."""
        if event.status == Status.OK:
            server.position = max(server.position, required)
            server.lag = min(server.lag, now - required)
        elif event.status == Status.MISS:  # taken to be further behind each time: misses load it too
            server.lag = 2 * (now - min(self.likely_position(now, server), required))
            server.heard_at = now
        server.position_unknown = False

    def likely_position(self, now: int, server: Server) -> int:
        """The position that a replica probably has: how far it was behind is forgotten as it catches up."""
        return now - int(server.lag * exp((server.heard_at - now) / LAG_DECAY))

    def has_reached(self, now: int, server: Server, required: int) -> bool:
        """Whether a read may be sent there: a proven position is enough; so is a likely one where servers check."""
        checked = self.settings.checks != ReplicaCheck.NONE
        if checked and self.probes_before_sending and server.position_unknown and not server.in_flight:
            return True  # it says itself if it is behind, which costs less than hundreds of probes
        if not required or server.position >= required:
            return True
        return checked and self.likely_position(now, server) + self.settings.patience >= required

    def primary(self, now: int, group: int) -> Server | None:
        """The server last known to be primary, unless it drains or is ejected."""
        latest: Server | None = None
        for server in self.groups.get(group, ()):
            if not server.is_primary() or server.draining:
                continue
            if latest is None or server.role_at[True] > latest.role_at[True]:
                latest = server
        if latest is None or latest.silent or now < latest.ejected_until:
            return None
        return latest

    def load_of(self, now: int, server: Server) -> float | None:
        """What a server reported of its load lately, else what one of its role in its group did."""
        if now - server.load_at < LOAD_LIFETIME:
            return server.load
        load, reported_at = self.group_loads.get((server.group, server.is_primary()), (0.0, -LOAD_LIFETIME))
        return load if now - reported_at < LOAD_LIFETIME else None

    # latency, concurrency, slow start

    def learn_latency(self, now: int, server: Server, request_class: api.RequestClass, latency: int) -> None:
        """An answer sets the server's latency ratio, and by it how many requests may be in flight there."""
        weight = 0.5 - 0.4 * exp((server.latency_ratio_at - now) / RATIO_DECAY)
        ratio = min(latency / request_class.latency_objective, MAX_LATENCY_RATIO)
        zone_ratio = self.zone_latency_ratios[server.zone]
        self.zone_latency_ratios[server.zone] = zone_ratio + weight / 4 * (ratio - zone_ratio)
        server.latency_ratio += weight * (ratio - server.latency_ratio)
        server.latency_ratio_at = now
        if server.is_full():
            server.limit = max(1.0, 0.95 * server.limit)
        elif 2 * len(server.in_flight) >= server.limit or server.limit < 2:  # one alone leaves none behind
            server.limit += 1 / server.limit

    def expected_latency_ratio(self, now: int, server: Server) -> float:
        """Its latency ratio, which fades to its zone's mean: a server unheard of is neither rushed at nor avoided."""
        usual = self.zone_latency_ratios[server.zone]
        return usual + (server.latency_ratio - usual) * exp((server.latency_ratio_at - now) / RATIO_LIFETIME)

    def warmup_fraction(self, now: int, server: Server) -> float:
        """The share of its capacity that a server started lately has for certain (slow start)."""
        if not server.started:
            return 1.0
        age = (now - server.started) / max(self.settings.cold, 1)
        return min(1.0, self.settings.cold_share + (1 - self.settings.cold_share) * age)

    # failures and probes

    def eject_if_silent(self, now: int, server: Server) -> bool:
        """Eject a server that takes requests and answers nothing; only one's own requests there can tell."""
        oldest = next(iter(server.in_flight.values()))
        since = max(server.answered_at, oldest.sent_at)
        patience = USUAL_LATENCY_RATIO
        if not server.silent:
            patience = min(1.0, max(USUAL_LATENCY_RATIO, self.expected_latency_ratio(now, server)))
        usual = oldest.pending.request_class.latency_objective * patience
        if now - since < SILENT_WAIT * usual:
            return False
        waited = sum(now - max(since, attempt.sent_at) for attempt in server.in_flight.values())
        if not server.silent and waited < SILENT_TOTAL_WAIT * usual:
            return False
        server.eject(now, silent=True)
        return True

    def learn_connection(self, server: Server, event: api.Outcome, idle: int) -> None:
        """What an attempt's end says of how long connections to a server may be left unused."""
        if event.status == Status.OK:  # readmitted slowly; one's own answer outweighs what others say
            self.gossiped_outliers.pop(server.id, None)
            server.overload_backoff = 0
            server.idle_limit = min(MAX_IDLE, int(1.2 * server.idle_limit))
        elif event.status not in api.NEVER_RAN and BACKOFF < idle > event.latency:
            if server.latency_ratio < FULL_LATENCY_RATIO:
                server.idle_limit = min(server.idle_limit, idle) // 2

    def learn_health(self, now: int, event: api.Outcome, attempt: Attempt, refused: bool) -> None:
        """Eject a server that cannot be reached, readmit one that answers; ``refused``: at once, so it may be full."""
        server = attempt.server
        if refused:  # a probe tells a dead process from one that takes no more connections
            server.refused_at = now
            self.probe(now, server)
        elif event.status in (Status.CONNECT_FAILED, Status.RESET):
            server.eject(now, silent=False)
        elif event.status in (Status.OK, Status.MISS, Status.ERROR, Status.FULL):
            server.readmit()
            server.answered_at = now
            server.last_answered_sent_at = max(server.last_answered_sent_at, attempt.sent_at)

    def probe(self, now: int, server: Server) -> bool:
        """Probe a server if one is due; return whether a probe is in flight.

        Only for what the next decision needs: hundreds of gateways probe the same servers.
        """
        if now >= server.next_probe_at and self.settings.may_probe and self.settings.reports != ReportMode.NONE:
            interval = max(PROBE_INTERVAL, self.settings.gateways * FLEET_PROBE_INTERVAL)
            server.next_probe_at = now + (interval << min(server.unanswered_probes, MAX_BACKOFF_DOUBLINGS))
            server.probe_in_flight = True
            self._emit(api.Probe(server.id))
        return server.probe_in_flight
