"""All decisions of one gateway. Its settings, events and actions are the types of yardbank/interface.py.

The rule (WeScale's ReadAfterWrite): a session's token is the log position of its last write; its reads go to a
replica known to have reached the token, else to the primary. Everything else here keeps that rule standing
when servers hang, lag, die, start cold or lie.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from math import exp

from yardbank.interface import (
    Action, Cancel, Event, Fail, Gone, Member, Outcome, Probe, Probed, Refuse, Report, Request, RequestClass,
    Role, Send, ServerList, SetTimer, Settings, Started, Subscribe, Timer,
)  # fmt: skip

MS = 1_000_000
SECOND = 1_000_000_000
NEVER_RAN = ("full", "connect_failed", "moot", "miss")
TOKEN_LIFE = 60 * SECOND  # older tokens fold into their group's floor, so that memory stays bounded
LIST_LAG = SECOND  # a changed list speaks of at least this long ago: hand-overs take about as long to be told
PRIMARY_PENALTY = 3.0  # a primary takes reads only when replicas look this much dearer: writes have no other home
FAR_PENALTY = 1.5  # another zone is chosen when the own zone looks this much dearer
CALM = 0.25  # latency as a share of the aim, where nothing is known yet
FULL_STRAIN = 0.4  # the mean share of the aim at which a server is full: the tail still makes its aim
SILENT_WORK = 8.0  # a server is silent when its requests have together waited this many usual times...
SILENT_TIME = 2.5  # ...and nothing has come back for this many
BACKOFF = 250 * MS  # first time away from a server that failed; doubles up to eight times
SEEK_EVERY = 100 * MS  # pace of the probes that look for a new primary


class Server:
    """What this gateway knows of one server, all of it from the list and from answers."""

    def __init__(self, member: Member, now: int) -> None:
        self.id, self.zone, self.group = member.server, member.zone, member.group
        self.position = self.heard = self.lag = 0  # proven position, when, and how far behind it seems to be
        self.primary_at = self.replica_at = -1  # when each role was last known to be true
        self.listed_primary = False
        self.drained = False
        self.strain, self.strained_at = CALM, now  # its answers' latency as a share of their class's aim
        self.rest_until = 0  # it was full a moment ago
        self.limit = 4.0  # how much may be outstanding there; what is over waits here, where it can be ordered
        self.waiting: dict[tuple[str, int], Attempt] = {}
        self.answered_at = now
        self.failures, self.retry_at, self.silent = 0, 0, False
        self.probing, self.probe_at = False, 0
        self.sent, self.sent_at = 0.0, now  # sends of the last `fall`, decaying
        self.started = 0

    def is_primary(self) -> bool:
        """Freshest evidence wins; a role heard true counts from when it was true."""
        return self.primary_at > self.replica_at

    def sends(self, now: int, span: int) -> float:
        """How much this gateway sent it lately."""
        return self.sent * exp((self.sent_at - now) / span)


class Attempt:
    """One attempt that is out."""

    __slots__ = ("held", "server", "sent_at", "number", "cancelled")

    def __init__(self, held: Held, server: Server, sent_at: int, number: int) -> None:
        self.held, self.server, self.sent_at, self.number, self.cancelled = held, server, sent_at, number, False


class Held:
    """A request that this gateway still owes an answer."""

    __slots__ = ("id", "group", "kind", "arrived", "expires", "session", "need", "attempts", "out", "ran_at",
                 "ran_zone", "tried")  # fmt: skip

    def __init__(self, request: Request, kind: RequestClass, now: int) -> None:
        self.id, self.group, self.kind, self.arrived = request.id, request.group, kind, now
        self.expires, self.session, self.need = request.expires, request.session, 0
        self.attempts, self.out = 0, 0
        self.ran_at: int | None = None  # when the first attempt that may have run was sent
        self.ran_zone = ""
        self.tried: set[int] = set()


class Router:
    """One gateway's decisions: events in, actions out."""

    def __init__(self, settings: Settings) -> None:
        self.set = settings
        self.kinds = {kind.name: kind for kind in settings.classes}
        self.usual = {kind.name: kind.aim / 4 for kind in settings.classes}  # latency; a guess until answers come
        self.random = random.Random(settings.seed)
        self.servers: dict[int, Server] = {}
        self.groups: dict[int, list[Server]] = {}
        self.requests: dict[str, Held] = {}
        self.waiting: dict[int, dict[tuple[str, bool], dict[str, Held]]] = {}  # by group, then class and lateness
        self.tokens: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self.floors: dict[int, int] = {}  # every session's token in a group is at least this
        self.sweep_every = max(4 * settings.period, 10 * MS)
        bounds = [kind.staleness_bound for kind in settings.classes if kind.read == "bounded"]
        self.stale_after = min(bounds, default=SECOND)
        self.now, self.out, self.sweeping = 0, [], False

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event; return the actions in order."""
        self.now, self.out = now, []
        if not self.sweeping:
            self.sweeping = True
            self.out.append(SetTimer(self.sweep_every, "sweep"))
            if self.set.subscribe:
                self.out.append(Subscribe())
        HANDLERS[type(event)](self, event)
        return self.out

    # The list

    def on_list(self, event: ServerList) -> None:
        """Take the list as far as it goes: it is late, and knows of health only whether a process runs."""
        if event.kind == "failed":
            self.out.append(Subscribe())
            return
        if event.kind != "delta":
            named = {member.server for member in event.members}
            for server in [s for s in self.servers.values() if s.id not in named]:
                self.drop(server)
        for member in event.members:
            server = self.servers.get(member.server)
            if member.state == "gone":
                if server and not self.set.only_draining_binds:
                    self.drop(server)
                continue
            if server is None:
                server = self.servers[member.server] = Server(member, self.now)
                self.groups.setdefault(member.group, []).append(server)
                server.started = member.started
            elif member.started > server.started:  # restarted: what was learnt of its health is void
                server.failures, server.retry_at, server.silent = 0, 0, False
                server.lag, server.started, server.primary_at = self.set.cold, member.started, -1
            if member.primary and not server.listed_primary:
                server.primary_at = max(server.primary_at, self.now - LIST_LAG if event.kind == "delta" else 0)
            server.listed_primary, server.drained = member.primary, member.state == "draining"

    def drop(self, server: Server) -> None:
        """A server has left the list: nothing new goes to it, what is out there may still answer."""
        if self.set.only_draining_binds and not server.drained:
            return
        del self.servers[server.id]
        self.groups[server.group].remove(server)

    # Evidence

    def learn_position(self, server: Server, position: int) -> None:
        """Positions only rise, and one beyond the clock proves nothing."""
        if position > self.now:
            return
        server.position = max(server.position, position)
        server.lag, server.heard = self.now - server.position, self.now

    def learn_report(self, server: Server, report: Report | None) -> None:
        """A report is exact but old: the role in it was true at its position."""
        if report is None or report.position is None or report.position > self.now:
            return
        if report.position >= server.position:
            if report.primary:
                server.primary_at = max(server.primary_at, report.position)
            elif report.primary is not None:
                server.replica_at = max(server.replica_at, report.position)
        self.learn_position(server, report.position)

    def learn_answer(self, server: Server, event: Outcome, attempt: Attempt | None) -> None:
        """What an answer proves: a role now, a position, and that the server is there."""
        if event.role == Role.PRIMARY:
            server.primary_at = self.now
            self.learn_position(server, self.now - event.latency)
        elif event.role == Role.REPLICA:
            server.replica_at = self.now
        if event.position is not None and event.status != "ok" or self.set.tells_position and event.position:
            self.learn_position(server, event.position)
        if attempt is None or event.role != Role.REPLICA or self.set.checks == "none":
            return
        need = self.needed(attempt.held, attempt.sent_at)
        if attempt.held.kind.read == "write" or not need:
            return
        if event.status == "ok":  # it checked: it has what was asked for
            self.learn_position(server, max(need, server.position))
        elif event.status == "miss":
            server.lag = max(server.lag, self.now - need + MS)

    def answered(self, server: Server, kind: RequestClass, latency: int) -> None:
        """An answer sets the server's strain, and by it how much may be outstanding there."""
        weight = 0.1 + 0.4 * (1 - exp((server.strained_at - self.now) / (2 * SECOND)))
        server.strain += weight * (min(latency / kind.aim, 4.0) - server.strain)
        server.strained_at = self.now
        if server.strain > FULL_STRAIN:
            server.limit = max(1.0, 0.95 * server.limit)
        elif 2 * len(server.waiting) >= server.limit:
            server.limit += 1 / server.limit

    def strain_of(self, server: Server) -> float:
        """Strain grows old: a server unheard for seconds counts as calm again, so that it is tried again."""
        return CALM + (server.strain - CALM) * exp((server.strained_at - self.now) / (4 * SECOND))

    def doubt(self, server: Server, silent: bool) -> None:
        """Stay away from a server for a while that doubles each time."""
        if self.now < server.retry_at and silent == server.silent:
            return
        server.retry_at = self.now + BACKOFF * (1 << min(server.failures, 3))
        server.failures += 1
        server.silent = server.silent or silent
        server.probe_at = min(server.probe_at, server.retry_at)

    def check_silence(self, server: Server) -> None:
        """A hung server takes work and answers nothing; only one's own requests out there can tell."""
        oldest = next(iter(server.waiting.values()))
        since = max(server.answered_at, oldest.sent_at)
        usual = oldest.held.kind.aim * max(CALM, self.strain_of(server))
        if self.now - since < SILENT_TIME * usual:
            return
        waited = sum(min(self.now - since, self.now - a.sent_at) for a in server.waiting.values())
        if waited < SILENT_WORK * usual and not server.silent:
            return
        self.doubt(server, silent=True)
        for attempt in server.waiting.values():  # reads go elsewhere; writes may yet be answered
            held = attempt.held
            if held.kind.effect == "safe" and not attempt.cancelled and self.may_resend(held):
                attempt.cancelled = True
                self.out.append(Cancel(held.id, attempt.number))

    # Who may take a request

    def primary(self, group: int) -> Server | None:
        """The server last known to be primary, unless it drains or is doubted."""
        known = [s for s in self.groups.get(group, ()) if s.is_primary() and not s.drained]
        best = max(known, key=lambda s: s.primary_at, default=None)
        if best is None or best.silent or self.now < best.retry_at:
            return None
        return best

    def needed(self, held: Held, at: int) -> int:
        """The log position that a read must see, when sent at a given time."""
        read = held.kind.read
        if read == "bounded":
            return at - held.kind.staleness_bound
        if read == "fresh":
            return held.arrived
        return held.need

    def recent_enough(self, server: Server, need: int) -> bool:
        """A proven position holds for good; where servers check for themselves a likely one will do."""
        if not need or server.position >= need:
            return True
        return self.set.checks != "none" and self.now - server.lag + self.set.patience >= need

    def warmth(self, server: Server) -> float:
        """The share of its capacity that a server started lately has for certain."""
        if not server.started or not self.set.cold:
            return 1.0
        age = max(self.now - server.started, 0) / self.set.cold
        return min(1.0, self.set.cold_share + (1 - self.set.cold_share) * age)

    def cold_allows(self, server: Server) -> bool:
        """A cold server gets its share of what warm members get; every other gateway is taken to do the same."""
        warmth = self.warmth(server)
        if warmth >= 1.0:
            return True
        warm = [s for s in self.groups[server.group] if self.warmth(s) >= 1.0] or [server]
        out = sum(len(s.waiting) for s in warm) / len(warm)
        lately = sum(s.sends(self.now, self.set.fall) for s in warm) / len(warm)
        return len(server.waiting) < max(1, warmth * out) and (
            server is warm[0] or server.sends(self.now, self.set.fall) < max(1.0, warmth * lately)
        )

    def cost(self, server: Server, primary: Server | None) -> float:
        """What a further request may expect to wait there, in usual latencies; chance turns over equals."""
        cost = (len(server.waiting) + 1) * self.strain_of(server) / self.warmth(server)
        cost *= 1 + 0.2 * self.random.random()
        if server.zone != self.set.zone:
            cost *= FAR_PENALTY
        return cost * PRIMARY_PENALTY if server is primary else cost

    def has_room(self, server: Server, only_here: bool) -> bool:
        """Outstanding stays under the limit; reads that others could serve leave half of a primary to writes."""
        if self.now < server.rest_until:
            return False
        limit = server.limit if only_here or not server.is_primary() else server.limit / 2
        return len(server.waiting) < max(1.0, limit) and self.cold_allows(server)

    def pick(self, held: Held) -> Server | None:
        """The server for the next attempt, or none for now."""
        primary = self.primary(held.group)
        if held.kind.read == "write" or held.kind.read == "fresh":
            return primary if primary and self.has_room(primary, True) and primary.id not in held.tried else None
        need = self.needed(held, self.now)
        able = [
            s for s in self.groups.get(held.group, ())
            if not s.drained and s.id not in held.tried and (s is primary or self.recent_enough(s, need))
        ]  # fmt: skip
        well = [s for s in able if s.retry_at == 0]
        trial = [s for s in able if s.retry_at and self.now >= s.retry_at and not s.waiting]
        if trial and well and held.attempts == 0:
            return trial[0]
        room = [s for s in well or trial or able if self.has_room(s, False)]
        return min(room, key=lambda s: self.cost(s, primary), default=None)

    # What becomes of a request

    def on_request(self, request: Request) -> None:
        """Route a new request by its token."""
        kind = self.kinds.get(request.class_name)
        if kind is None:
            raise ValueError(f"class_name: {request.class_name!r} is not in the settings")
        held = self.requests[request.id] = Held(request, kind, self.now)
        if kind.read == "session":
            if self.set.tokens == "carried":
                held.need = self.now - request.since_write if request.since_write else 0
            else:
                token = self.tokens.get(request.session)
                held.need = max(token[0] if token else 0, self.floors.get(held.group, 0))
        self.route(held)

    def may_resend(self, held: Held) -> bool:
        """Whether a further attempt is allowed at all."""
        kind = held.kind
        if held.attempts >= self.set.max_attempts or self.now >= held.expires:
            return False
        if held.ran_at is None or kind.effect == "safe":
            return True
        return kind.effect == "keyed" and self.now - held.ran_at < kind.window

    def route(self, held: Held) -> None:
        """Send a request now, hold it, or give it up."""
        if not self.may_resend(held) or self.hopeless(held):
            self.give_up(held)
            return
        server = self.pick(held)
        if server and held.ran_at is not None and held.kind.effect == "keyed" and held.kind.scope == "zone":
            server = server if server.zone == held.ran_zone else None
        if server is None:
            self.hold(held)
            return
        self.unhold(held)
        attempt = Attempt(held, server, self.now, held.attempts)
        server.waiting[held.id, held.attempts] = attempt
        server.sent, server.sent_at = server.sends(self.now, self.set.fall) + 1, self.now
        if server.retry_at:  # one trial at a time
            server.retry_at = self.now + BACKOFF * (1 << min(server.failures, 3))
        held.attempts, held.out = held.attempts + 1, held.out + 1
        self.out.append(Send(held.id, server.id, held.expires))

    def hopeless(self, held: Held) -> bool:
        """It can no longer be answered while that is worth something: its work would only delay others."""
        useful = held.expires if held.kind.late_worth else min(held.expires, held.arrived + held.kind.aim)
        return self.now + self.usual[held.kind.name] > useful

    def hold(self, held: Held) -> None:
        """Keep a request back until there is room, but only while it can still be worth something."""
        held.tried.clear()
        if self.hopeless(held) or self.now >= held.expires - 2 * self.sweep_every:
            self.give_up(held)
        else:
            kinds = self.waiting.setdefault(held.group, {key: {} for key in self.order()})
            late = self.now + self.usual[held.kind.name] > held.arrived + held.kind.aim
            if late:
                kinds[held.kind.name, False].pop(held.id, None)
            kinds[held.kind.name, late][held.id] = held

    def unhold(self, held: Held) -> None:
        """It waits no longer."""
        if held.group in self.waiting:
            for late in (False, True):
                self.waiting[held.group][held.kind.name, late].pop(held.id, None)

    def order(self) -> list[tuple[str, bool]]:
        """Classes, in time and late, by worth for their work, the most first: late work must not make more late."""
        worth = {(kind.name, late): kind.worth * (kind.late_worth if late else 1) / self.usual[kind.name]
                 for kind in self.set.classes for late in (False, True)}  # fmt: skip
        return sorted(worth, key=lambda key: -worth[key])

    def give_up(self, held: Held) -> None:
        """The final answer at once: a refusal where it is true that trying again is harmless, else a failure."""
        self.requests.pop(held.id, None)
        self.unhold(held)
        kind = held.kind
        harmless = held.ran_at is None and not held.out
        if kind.effect == "safe" or harmless or kind.effect == "keyed" and kind.scope == "all":
            wait = min(self.set.max_retry_after, BACKOFF) if self.set.may_advise else 0
            self.out.append(Refuse(held.id, wait))
        else:
            self.out.append(Fail(held.id))

    def on_outcome(self, event: Outcome) -> None:
        """Learn from how an attempt ended; answer, resend or give up its request."""
        server = self.servers.get(event.server)
        attempt = None
        for known in [server] if server else []:
            attempt = known.waiting.pop((event.id, event.attempt), None)
        if server:
            if event.status not in ("timeout", "cancelled", "moot", "connect_failed"):
                server.answered_at = self.now
            self.learn_answer(server, event, attempt)
            self.learn_report(server, event.report)
            if event.status in ("connect_failed", "reset"):
                self.doubt(server, silent=False)
            elif event.status in ("ok", "miss", "error", "full") and attempt:
                server.failures, server.retry_at, server.silent = 0, 0, False
                if event.status == "full":  # refused work costs it too: let it rest for about one answer
                    server.limit = max(1.0, 0.9 * min(server.limit, len(server.waiting) + 1))
                    server.rest_until = self.now + int(self.strain_of(server) * attempt.held.kind.aim)
            if attempt and event.status in ("ok", "timeout", "cancelled"):  # no answer yet is a slow one too
                self.answered(server, attempt.held.kind, event.latency)
                if event.status == "ok":
                    name = attempt.held.kind.name
                    self.usual[name] += 0.02 * (event.latency - self.usual[name])
        self.settle(event, server, attempt)
        if server:
            self.route_waiting(server.group)

    def settle(self, event: Outcome, server: Server | None, attempt: Attempt | None) -> None:
        """What the end of an attempt means for its request."""
        held = self.requests.get(event.id)
        if held is None:
            return
        held.out -= 1
        if event.status == "ok" and held.kind.read == "write" and self.set.tokens == "remembered":
            self.remember(held, event.position or self.now)
        if event.closed:
            self.requests.pop(held.id, None)
            return
        if event.status not in NEVER_RAN and held.ran_at is None:
            held.ran_at = attempt.sent_at if attempt else self.now - event.latency
            held.ran_zone = server.zone if server else ""
        held.tried.add(event.server)
        if not held.out:
            self.route(held)

    def remember(self, held: Held, position: int) -> None:
        """A write's answer sets its session's token."""
        if held.session:
            old = self.tokens.pop(held.session, (0, 0))
            self.tokens[held.session] = (max(position, old[0]), held.group)

    def on_gone(self, event: Gone) -> None:
        """The client has left: what is out is let be, its answers still teach."""
        held = self.requests.pop(event.id, None)
        if held:
            self.unhold(held)

    def on_started(self, event: Started) -> None:
        """The answer has begun: the client has it."""
        self.requests.pop(event.id, None)

    # Probes and the clock

    def on_probed(self, event: Probed) -> None:
        """A probe tells position and role; that it was answered shows that the process runs, not that it works."""
        server = self.servers.get(event.server)
        if server is None:
            return
        server.probing = False
        if event.status == "ok":
            self.learn_report(server, event.report)
            if server.retry_at and not server.silent:
                server.failures, server.retry_at = 0, 0
            self.route_waiting(server.group)
        else:
            self.doubt(server, silent=False)

    def probe(self, server: Server, seeking: bool) -> None:
        """Probe what is unheard, doubted, or whose position has aged past the bound; faster to find a primary."""
        if server.probing or self.now < server.probe_at or self.set.reports == "none":
            return
        doubted = server.retry_at and not server.silent
        if seeking or doubted or self.now - server.heard > self.stale_after:
            server.probing = True
            server.probe_at = self.now + (SEEK_EVERY if seeking else self.stale_after)
            self.out.append(Probe(server.id))

    def route_waiting(self, group: int) -> None:
        """Try again what is held, the most worth for its work first; a class that finds no room ends its turn."""
        for kinds in [self.waiting[group]] if group in self.waiting else []:
            for key in self.order():
                stuck = 0
                for held in list(kinds[key].values()):
                    before = len(self.out)
                    self.route(held)
                    stuck += len(self.out) == before
                    if stuck > 2:
                        break

    def on_timer(self, event: Timer) -> None:
        """The sweep: silence, probes, held requests, old tokens."""
        self.out.append(SetTimer(self.sweep_every, "sweep"))
        for group, servers in self.groups.items():
            seeking = self.primary(group) is None
            for server in servers:
                if server.waiting:
                    self.check_silence(server)
                if self.set.may_probe:
                    self.probe(server, seeking)
            for held in [h for kind in self.waiting.get(group, {}).values() for h in kind.values()]:
                self.hold(held)
            self.route_waiting(group)
        while self.tokens:
            session, (position, group) = next(iter(self.tokens.items()))
            if position > self.now - TOKEN_LIFE:
                break
            del self.tokens[session]
            self.floors[group] = max(position, self.floors.get(group, 0))


HANDLERS = {
    ServerList: Router.on_list, Request: Router.on_request, Outcome: Router.on_outcome, Probed: Router.on_probed,
    Started: Router.on_started, Gone: Router.on_gone, Timer: Router.on_timer,
}  # fmt: skip
