"""One gateway's requests and their attempts, from event to final answer; sessions and their floors."""

import random
from collections import Counter, OrderedDict, defaultdict

from yardbank import interface as api
from yardbank.policy.picking import MEMORY, Picking
from yardbank.policy.servers import BACKOFF, CALM, FULL_STRAIN, IDLE, SCARCE, SECOND, Attempt, Held, Server

TOKENS = 5000  # remembered; the oldest fold into their group's floor, so that memory stays bounded
LOST_TIME = 5.0  # lost: it waited so many usual times at a calm server that has answered later ones
FLEET = 32  # so many gateways hear too little each to judge servers by their own answers alone
WARY = 3 * SECOND  # after a late answer or none, a group's servers are looked at before they are sent to


class Router(Picking):
    """One gateway's decisions: events in, actions out."""

    def __init__(self, settings: api.Settings) -> None:
        self.set = settings
        self.kinds = {kind.name: kind for kind in settings.classes}
        self.usual = {kind.name: kind.latency_objective * CALM for kind in settings.classes}  # latency of an answer
        self.random = random.Random(settings.seed)
        self.servers: dict[int, Server] = {}
        self.groups: dict[int, list[Server]] = {}
        self.tally, self.tallied_at = [0.0, 0.0], 0  # wanted of any server lately; answered in time
        self.zones: defaultdict[str, float] = defaultdict(lambda: CALM)  # strain of each zone's servers
        self.asked = dict.fromkeys(self.kinds, 1e-9)  # each class's part of the requests
        self.most: dict[int, int] = {}  # the most members that each group has had
        self.requests: dict[str, Held] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}  # out, also of requests answered meanwhile
        self.waiting: dict[tuple[int, str, bool], dict[str, Held]] = {}  # by group, class, late
        self.tokens: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self.floors: dict[int, int] = {}  # every session's token in a group is at least this
        self.sweep_every = max(2 * settings.period, min(kind.latency_objective for kind in settings.classes) // 10)
        self.pressed_at = -MEMORY  # when a server last was full or took no connection
        self.loads: dict[tuple[int, bool], tuple[float, int]] = {}  # told last in a group
        self.looks = settings.tells_load and settings.gateways >= FLEET  # told loads are gone by
        self.wary: dict[int, int] = {}  # until when, by group
        self.shed: Counter[str] = Counter()  # requests given up, by why: for the log
        self.hearsay: dict[int, int] = {}  # until when a server is spared, as other gateways found it bad
        self.ways: dict[str, tuple[int, int]] = {}  # by zone, as far as they were told
        self.scarce_until, self.armed, self.ranking = 0, False, self.order()

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take one event; return the actions in order."""
        self.now, self.out = now, []
        self.dispatch(event)
        if not self.armed and (self.requests or self.attempts):  # an idle gateway of hundreds costs nothing
            self.armed = True
            self.out.append(api.SetTimer(self.sweep_every, "sweep"))
        return self.out

    def dispatch(self, event: api.Event) -> None:
        """Call what handles an event of its type."""
        match event:
            case api.Request():
                self.on_request(event)
            case api.Outcome():
                self.on_outcome(event)
            case api.Probed():
                self.on_probed(event)
            case api.Timer():
                self.on_timer(event)
            case api.ServerList():
                self.on_server_list(event)
            case api.ClientCancelled() | api.Started():
                self.on_client_cancelled(event)
            case api.Deadline():
                self.on_deadline(event)
            case api.GossipedOutliers():
                self.on_gossiped_outliers(event)
            case api.PositionGossiped():
                self.on_position_gossiped(event)
            case api.ZoneLatencies():
                self.on_zone_latencies(event)
            case api.TokensLost():
                self.on_tokens_lost(event)

    def on_tokens_lost(self, event: api.TokensLost) -> None:
        """A restart lost every token; floors in their place keep sessions from reading too early."""
        for group, floor in event.floors:
            self.floors[group] = max(floor, self.floors.get(group, 0))

    def cancel(self, key: tuple[str, int], attempt: Attempt) -> None:
        """Stop waiting for a read that may be sent elsewhere; a write may yet be answered."""
        safe = attempt.held.kind.effect == "safe" and not attempt.cancelled
        if safe and self.set.may_cancel and self.may_resend(attempt.held):
            attempt.cancelled = True
            self.out.append(api.Cancel(*key))

    def check_lost(self, server: Server) -> None:
        """A connection can fall silent by itself: reads on it go elsewhere while that may be in time."""
        for key, attempt in server.waiting.items():
            kind = attempt.held.kind
            if self.now - attempt.sent_at < max(LOST_TIME * self.usual[kind.name], kind.latency_objective // 2):
                break  # the oldest come first
            if self.alone(attempt) and not self.hopeless(attempt.held):
                self.cancel(key, attempt)

    def on_request(self, request: api.Request) -> None:
        """Route a new request by its token."""
        if (kind := self.kinds.get(request.class_name)) is None:
            raise ValueError(f"class_name: {request.class_name!r} is not in the settings")
        self.asked = {name: 0.98 * asked + (name == kind.name) for name, asked in self.asked.items()}
        held = self.requests[request.id] = Held(request, kind, self.now, self.random.random())
        if kind.read == "session" and self.set.tokens == "carried":
            held.need = self.now - request.since_write if request.since_write else 0
        elif kind.read == "session":
            held.need = max(self.tokens.get(request.session, (0, 0))[0], self.floors.get(request.group, 0))
        self.route(held)

    def route(self, held: Held) -> None:
        """Send a request now, hold it, or give it up."""
        if not self.may_resend(held):
            return self.give_up(held, "no attempt left")
        if self.hopeless(held):
            return self.give_up(held, "no time left")
        if not self.admits(held):
            return self.give_up(held, "share")
        server = self.pick(held)
        if server is None:
            return self.hold(held)
        if self.must_look(server, held) and self.load_of(server) is None and self.probe(server):
            return self.hold(held)
        self.unhold(held)
        key, idle = (held.request.id, held.attempts), 0 if server.waiting else self.now - server.answered_at
        if idle > server.idle_limit:
            self.out.append(api.CloseIdle(server.id))
        server.waiting[key] = self.attempts[key] = Attempt(held, server, self.now, idle)
        if server.retry_at:  # one trial at a time
            server.retry_at = self.now + BACKOFF * (1 << min(server.failures, 3))
        held.attempts += 1
        self.out.append(api.Send(held.request.id, server.id, held.request.expires))

    def hold(self, held: Held) -> None:
        """Keep a request back until there is room."""
        self.unhold(held)
        held.tried.clear()
        held.late = self.now + self.usual[held.kind.name] > held.arrived + held.kind.latency_objective
        group = held.request.group
        self.waiting.setdefault((group, held.kind.name, held.late), {})[held.request.id] = held
        for server in self.groups.get(group, ()) if self.primary(group) is None else ():
            self.probe(server)

    def unhold(self, held: Held) -> None:
        """It waits no longer."""
        self.waiting.get((held.request.group, held.kind.name, held.late), {}).pop(held.request.id, None)

    def give_up(self, held: Held, why: str) -> None:
        """Answer at once: a refusal where it is true that trying again is harmless, else a failure."""
        self.shed[why] += 1
        self.requests.pop(held.request.id, None)
        self.unhold(held)
        kind, harmless = held.kind, held.ran_at is None
        if kind.effect == "safe" or harmless or (kind.effect == "keyed" and kind.scope == "all"):
            wait = BACKOFF if kind.late_weight else kind.deadline  # sooner is late again
            self.out.append(api.Refuse(held.request.id, min(self.set.max_retry_after, wait)))
        else:
            self.out.append(api.Fail(held.request.id))

    def on_outcome(self, event: api.Outcome) -> None:
        """Learn from how an attempt ended; answer, resend or give up its request."""
        if (attempt := self.attempts.pop((event.id, event.attempt), None)) is None:
            return
        server, kind, status, idled = attempt.server, attempt.held.kind, event.status, attempt.idle
        del server.waiting[event.id, event.attempt]
        self.learn_answer(server, event, attempt)
        self.learn_report(server, event.report)
        if status == "ok":  # slowly trusted again; one's own answer outweighs what others say
            self.hearsay.pop(server.id, None)
            server.rest, server.idle_limit = 0, min(IDLE, int(1.2 * server.idle_limit))
        elif status not in api.NEVER_RAN and BACKOFF < idled > event.latency and server.strain < FULL_STRAIN:
            server.idle_limit = min(server.idle_limit, idled) // 2
        refused = status == "connect_failed" and event.latency < self.set.connect_timeout / 2
        if refused:  # a probe tells a dead process from one that takes no more connections
            server.refused_at = self.now
            self.probe(server)
        elif status in ("connect_failed", "reset"):
            self.doubt(server, silent=False)
        elif status in ("ok", "miss", "error", "full"):
            server.trust()
            server.answered_at, server.passed = self.now, max(server.passed, attempt.sent_at)
        if self.now < self.scarce_until and not server.waiting:  # an idle one keeps another gateway out
            self.out.append(api.CloseIdle(server.id))
        if status == "full" or refused:  # to be asked presses it too: hundreds must not do so at once
            self.pressed_at = self.now
            server.rest = min(2 * server.rest or kind.latency_objective // 4, SECOND)
            server.rest_until = self.now + int(server.rest * (0.5 + self.random.random()))
        late = status in ("timeout", "cancelled") and not self.alone(attempt)
        if status == "ok" or late:  # no answer yet is a slow one too
            self.answered(server, kind, event)
        waited = status == "timeout" and late and event.latency > self.usual[kind.name]
        if status in ("ok", "full") or waited:
            self.count(status == "ok" and event.latency <= kind.latency_objective)
        if status in ("miss", "full", "timeout") or (status == "ok" and event.latency > kind.latency_objective):
            self.wary[server.group] = self.now + WARY
        self.settle(event, attempt)
        self.route_waiting(server.group)

    def settle(self, event: api.Outcome, attempt: Attempt) -> None:
        """What the end of an attempt means for its request; a write's answer sets its session's token."""
        held, server = attempt.held, attempt.server
        if held.kind.read == "write" and (session := held.request.session) and event.status == "ok":
            token = max(event.position or self.now, self.tokens.pop(session, (0, 0))[0])
            self.tokens[session] = token, held.request.group
            if len(self.tokens) > TOKENS:
                _, (token, group) = self.tokens.popitem(last=False)
                self.floors[group] = max(token, self.floors.get(group, 0))
        if event.status not in api.NEVER_RAN:
            held.ran_at = held.ran_at or attempt.sent_at
        held.tried.add(server.id)
        if event.closed:
            self.requests.pop(event.id, None)
        elif event.id in self.requests:
            self.route(held)

    def on_client_cancelled(self, event: api.ClientCancelled | api.Started) -> None:
        """Nothing more is owed: the client has left, or has its answer begun; what is out may still teach."""
        if held := self.requests.pop(event.id, None):
            self.unhold(held)

    def on_deadline(self, event: api.Deadline) -> None:
        """The answer is needed sooner than was said; what is out is timed out by the gateway."""
        if held := self.requests.get(event.request.id):
            held.request = event.request

    def on_probed(self, event: api.Probed) -> None:
        """A probe tells position and role; its answer shows that the process runs, not that it works."""
        if (server := self.servers.get(event.server)) is None:
            return
        server.probing = False
        if event.status != "ok":
            server.unanswered += 1
            return self.doubt(server, silent=False)
        server.unanswered = 0
        self.learn_report(server, event.report)
        if self.now - server.refused_at < BACKOFF:
            self.scarce_until = self.now + SCARCE
        if not server.silent:
            server.trust()
        self.route_waiting(server.group)

    def route_waiting(self, group: int) -> None:
        """Try again what is held, the most worth first; a few of each class, as about one place came free."""
        for key in self.ranking:
            for held in list(self.waiting.get((group, *key), {}).values())[:8]:  # one must not block the rest
                self.route(held)

    def on_timer(self, event: api.Timer) -> None:
        """Sweep, while anything is owed: silence and held requests."""
        self.armed, self.ranking = False, self.order()
        for server in {attempt.server.id: attempt.server for attempt in self.attempts.values()}.values():
            self.check_silence(server)
            self.check_lost(server)
            if any(
                self.now - attempt.sent_at > attempt.held.kind.latency_objective for attempt in server.waiting.values()
            ):
                self.wary[server.group] = self.now + WARY  # it is late for certain
        for held in [held for waiting in list(self.waiting.values()) for held in waiting.values()]:
            half = (held.arrived + held.request.expires) // 2  # told by then, a client can try elsewhere
            if not held.attempts and self.now + self.sweep_every > half:
                self.give_up(held, "held for half its time")
            elif self.hopeless(held):
                self.give_up(held, "no time left")
            else:
                self.hold(held)
        for group in {group: 0 for (group, _, _), waiting in self.waiting.items() if waiting}:
            self.route_waiting(group)
