"""What one gateway knows of each server, and what it learns: from lists, answers, probes, others' word."""

from dataclasses import dataclass, field
from math import exp

from yardbank import interface as api

MS, SECOND = 1_000_000, 1_000_000_000
CALM, LIMIT = 0.25, 4.0  # latency as a share of the aim, and what may be outstanding, at an unknown server
FULL_STRAIN = 0.4  # the mean share of the aim at which a server is full: the tail still makes its aim
SILENT_WORK, SILENT_TIME = 8.0, 2.5  # silent: outstanding requests waited so many usual times together; each
BACKOFF = 250 * MS  # first time away from a server that failed; doubles up to eight times
ASK_EVERY, ASK_TOGETHER = 100 * MS, MS  # a server is probed no more often, by one gateway and by all together
IDLE, SCARCE = 30 * SECOND, 5 * SECOND  # a connection may idle so long; none, so long after one was refused
LAG_LIFE = 2 * SECOND  # how long a replica that was behind is taken to need to catch up
FRESH = SECOND  # how long what a server tells of its load is gone by


@dataclass(slots=True)
class Held:
    """A request that this gateway still owes an answer."""

    request: api.Request
    kind: api.RequestClass
    arrived: int
    lot: float  # drawn once, between 0 and 1: who may go where not all may
    need: int = 0  # the log position that a read must see; one with a staleness bound reckons it when sent
    attempts: int = 0
    late: bool = False
    ran_at: int | None = None  # when the first attempt that may have run was sent
    tried: set[int] = field(default_factory=set)


class Server:
    """What this gateway knows of one server."""

    def __init__(self, member: api.Member, now: int) -> None:
        self.id, self.zone, self.group = member.server, member.zone, member.group
        self.share = 1.0  # of what equals are sent
        self.position = self.heard = self.lag = self.started = self.probe_at = 0
        self.passed = 0  # when the latest attempt that it has answered was sent
        self.role_at = {True: -1, False: -1}  # when it was last known to be primary, and not to be
        self.strain, self.strained_at = CALM, now  # its answers' latency as a share of their class's aim
        self.limit = LIMIT  # how much may be outstanding there; more waits here, where it is ordered
        self.waiting: dict[tuple[str, int], Attempt] = {}  # what is outstanding, oldest first
        self.unanswered = 0  # probes in a row
        self.failures = self.retry_at = self.rest = self.rest_until = self.refused_at = 0
        self.listed_primary = self.drained = self.silent = self.probing = self.unheard = False
        self.answered_at = now
        self.load, self.load_at = 0.0, -FRESH  # the share of its cores in use, as it last told
        self.idle_limit = IDLE  # a connection unused for longer may be dead: it is closed before a send

    def is_primary(self) -> bool:
        """Freshest evidence wins; a role heard true counts from when it was true."""
        return self.role_at[True] > self.role_at[False]

    def trust(self) -> None:
        """End every doubt."""
        self.failures, self.retry_at, self.silent = 0, 0, False


@dataclass(slots=True)
class Attempt:
    """One attempt that is out."""

    held: Held
    server: Server
    sent_at: int
    idle: int  # how long its connection had been unused
    cancelled: bool = False


class Knowledge:
    """What is known of servers; the state, and what is done about attempts, is the router's."""

    def on_server_list(self, event: api.ServerList) -> None:
        """Take the list as far as it goes: it is late, and knows of health only whether a process runs."""
        if self.set.subscribe and event.kind in ("saved", "failed"):
            self.out.append(api.Subscribe())
        members = [member for member in event.members if member.state != "gone"]
        here, named = {m.server for m in members}, {m.server for m in event.members}
        whole = event.kind in ("full", "saved")  # else the cost is that of the change, not of the list
        for number in sorted((self.servers.keys() if whole else named) - here):
            server = self.servers.get(number)
            if server and (server.drained or not self.set.only_draining_binds):  # else the list may err
                del self.servers[server.id]
                self.groups[server.group].remove(server)
        for member in members:
            if (server := self.servers.get(member.server)) is None:
                server = self.servers[member.server] = Server(member, self.now)
                self.groups.setdefault(member.group, []).append(server)
            if member.started > server.started:  # what was learnt of its health is void; its copy is old
                server.trust()
                server.limit, server.started, server.role_at[True] = LIMIT, member.started, -1
                server.lag, server.heard, server.unheard = self.set.cold, self.now, True
            if member.primary and not server.listed_primary:
                told = self.now - SECOND if event.kind == "delta" else 0  # hand-overs are told late
                server.role_at[True] = max(server.role_at[True], told)
            server.listed_primary, server.share = member.primary, member.share
            server.drained = member.state == "draining"
        for group in {member.group for member in members}:  # one that drains leaves its place to another
            here = sum(not server.drained for server in self.groups[group])
            self.most[group] = max(self.most.get(group, 1), here)

    def on_gossiped_outliers(self, event: api.GossipedOutliers) -> None:
        """Others' word spares a server reads that another can take, and brings trials on, not at once."""
        self.hearsay = dict(event.doubted)
        for server in [self.servers[number] for number in event.well if number in self.servers]:
            sooner = self.now + int(self.random.random() * BACKOFF)
            server.retry_at = min(server.retry_at, sooner) if server.retry_at else 0

    def on_position_gossiped(self, event: api.PositionGossiped) -> None:
        """Marks that another gateway passed on prove a position, and nothing of role, health or trust."""
        if (server := self.servers.get(event.server)) and event.report.position is not None:
            self.learn_position(server, event.report.position)
            self.route_waiting(server.group)

    def on_zone_latencies(self, event: api.ZoneLatencies) -> None:
        """What ways to other zones cost: round trip, and the longest one that must still fit."""
        self.ways = {zone: (beyond, max(beyond, longest)) for zone, beyond, longest in event.ways}

    def learn_position(self, server: Server, position: int) -> None:
        """Positions only rise, and one beyond the clock proves nothing."""
        if position <= self.now:
            server.position = max(server.position, position)
            server.lag, server.heard, server.unheard = self.now - server.position, self.now, False

    def learn_report(self, server: Server, report: api.Report | None) -> None:
        """A report is exact but old: the role in it was true at its position."""
        if report and report.load is not None:
            server.load, server.load_at = report.load, self.now
            self.loads[server.group, server.is_primary()] = server.load, self.now
        if report and report.position is not None and report.position <= self.now:
            if report.primary is not None and report.position >= server.position:
                server.role_at[report.primary] = max(server.role_at[report.primary], report.position)
            self.learn_position(server, report.position)

    def learn_answer(self, server: Server, event: api.Outcome, attempt: Attempt) -> None:
        """What an answer proves: a role now, a position, and that the server is there."""
        if event.role:
            server.role_at[event.role == api.Role.PRIMARY] = self.now
        if event.role == api.Role.PRIMARY:
            self.learn_position(server, self.now - event.latency)
        if event.position and (self.set.tells_position or event.status != "ok"):
            self.learn_position(server, event.position)
        need = self.needed(attempt.held, attempt.sent_at)
        if need and event.role == api.Role.REPLICA and self.set.checks != "none":
            if event.status == "ok":  # it checked: it has what was asked for
                server.position, server.lag = max(server.position, need), min(server.lag, self.now - need)
            elif event.status == "miss":  # taken to be further behind each time: misses press it too
                server.lag, server.heard = 2 * (self.now - min(self.likely(server), need)), self.now
            server.unheard = False

    def answered(self, server: Server, kind: api.RequestClass, event: api.Outcome) -> None:
        """An answer sets the server's strain, and by it how much may be outstanding there."""
        weight = 0.5 - 0.4 * exp((server.strained_at - self.now) / (2 * SECOND))
        part, zone = min(event.latency / kind.latency_objective, 4.0), server.zone
        self.zones[zone] += weight / 4 * (part - self.zones[zone])
        server.strain, server.strained_at = server.strain + weight * (part - server.strain), self.now
        self.usual[kind.name] += 0.02 * (event.latency - self.usual[kind.name])
        if server.strain > FULL_STRAIN:
            server.limit = max(1.0, 0.95 * server.limit)
        elif 2 * len(server.waiting) >= server.limit or server.limit < 2:  # one alone leaves none behind
            server.limit += 1 / server.limit

    def strain_of(self, server: Server) -> float:
        """A server unheard for seconds counts as its zone does: no herd to strangers, no slow way."""
        usual = self.zones[server.zone]
        return usual + (server.strain - usual) * exp((server.strained_at - self.now) / (4 * SECOND))

    def doubt(self, server: Server, silent: bool) -> None:
        """Stay away from a server for a while that doubles each time."""
        if self.now < server.retry_at and silent == server.silent:
            return
        server.retry_at = self.now + BACKOFF * (1 << min(server.failures, 3))
        server.failures += 1
        server.silent = server.silent or silent

    def primary(self, group: int) -> Server | None:
        """The server last known to be primary, unless it drains or is doubted."""
        known = [s for s in self.groups.get(group, ()) if s.is_primary() and not s.drained]
        best = max(known, key=lambda s: s.role_at[True], default=None)
        return None if best is None or best.silent or self.now < best.retry_at else best

    def recent_enough(self, server: Server, need: int) -> bool:
        """A proven position holds for good; where servers check for themselves a likely one will do."""
        likely = self.likely(server) + self.set.patience if self.set.checks != "none" else 0
        if self.looks and self.set.checks != "none" and server.unheard and not server.waiting:
            return True  # it says itself if it is not, which costs less than hundreds of probes
        return not need or max(server.position, likely) >= need

    def likely(self, server: Server) -> int:
        """The position that a replica has by guess: how far it was behind is forgotten as it catches up."""
        return self.now - int(server.lag * exp((server.heard - self.now) / LAG_LIFE))

    def warmth(self, server: Server) -> float:
        """The share of its capacity that a server started lately has for certain."""
        age = (self.now - server.started) / max(self.set.cold, 1) if server.started else 1.0
        return min(1.0, self.set.cold_share + (1 - self.set.cold_share) * age)

    def load_of(self, server: Server) -> float | None:
        """What a server told of its load lately, else what one like it in its group did."""
        if self.now - server.load_at < FRESH:
            return server.load
        load, at = self.loads.get((server.group, server.is_primary()), (0.0, -FRESH))
        return load if self.now - at < FRESH else None

    def alone(self, attempt: Attempt) -> bool:
        """Whether a calm server has answered what went out later: the connection may be dead by itself."""
        server = attempt.server
        return not server.silent and server.strain <= FULL_STRAIN and server.passed > attempt.sent_at

    def check_silence(self, server: Server) -> None:
        """A hung server takes work and answers nothing; only one's own requests out there can tell."""
        oldest = next(iter(server.waiting.values()))
        since = max(server.answered_at, oldest.sent_at)
        patience = CALM if server.silent else min(1.0, max(CALM, self.strain_of(server)))
        usual = oldest.held.kind.latency_objective * patience
        waited = sum(self.now - max(since, attempt.sent_at) for attempt in server.waiting.values())
        if self.now - since < SILENT_TIME * usual or not (server.silent or waited >= SILENT_WORK * usual):
            return
        self.doubt(server, silent=True)
        for key, attempt in server.waiting.items():
            self.cancel(key, attempt)

    def probe(self, server: Server) -> bool:
        """Probe only for what the next decision needs: hundreds of gateways ask the same servers."""
        if self.now >= server.probe_at and self.set.may_probe and self.set.reports != "none":
            every = max(ASK_EVERY, self.set.gateways * ASK_TOGETHER)
            server.probe_at = self.now + (every << min(server.unanswered, 3))  # fewer in an outage
            server.probing = True
            self.out.append(api.Probe(server.id))
        return server.probing
