"""Routes one gateway's requests and tracks their attempts, from the first event to the final answer.

Times are integer nanoseconds.
"""

import random
from collections import Counter
from enum import StrEnum

from yardbank import interface as api
from yardbank.interface import Effect, KeyScope, ReadMode, ReplicaCheck, Status
from yardbank.policy.admission import Admission
from yardbank.policy.requests import Attempt, PendingRequest, WaitQueue
from yardbank.policy.selection import Selection
from yardbank.policy.servers import BASE_BACKOFF, SECOND, Server, ServerTable
from yardbank.policy.sessions import SessionTokens

LOST_AFTER_LATENCIES = 5.0  # lost: an attempt out for this many average latencies while a later one was answered
SHORTAGE_PERIOD = 5 * SECOND  # how long idle connections are closed after a server refused a connection


class ShedReason(StrEnum):
    """Why a request was given up; the log counts requests by these values."""

    NO_ATTEMPT_LEFT = "no attempt left"
    NO_TIME_LEFT = "no time left"
    NOT_ADMITTED = "share"
    HELD_TOO_LONG = "held for half its time"


class Router:
    """One gateway's decisions: events in, actions out.

    Owns: pending requests, attempts in flight, the actions of the current event; holds the other components and is the
    only one to emit a request's actions. All components share one ``random.Random``, so that a seed determines a run.
    Bound: one entry per request without a final answer and one per attempt in flight, besides the components' state.
    Invariants: each request gets exactly one final answer, unless its client has left or its answer has begun; an
    attempt is in ``attempts`` and in its server's ``in_flight``, or in neither; a timer is set while there are requests
    or attempts.
    """

    def __init__(self, settings: api.Settings) -> None:
        shortest_objective = min(request_class.latency_objective for request_class in settings.classes)
        self.settings = settings
        self.request_classes = {request_class.name: request_class for request_class in settings.classes}
        self.random = random.Random(settings.seed)
        self.now = 0
        self.sweep_interval = max(2 * settings.period, shortest_objective // 10)
        self._actions: list[api.Action] = []
        self._timer_is_set = False
        self.requests: dict[str, PendingRequest] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}  # in flight, including those of requests already answered
        self.shed_counts: Counter[str] = Counter()  # number of requests given up by ``ShedReason``, for the log
        self.connection_shortage_until = 0  # until when servers are assumed to be short of connections
        self.table = ServerTable(settings, self.random, self._emit)
        self.admission = Admission(settings, self.table, self.sweep_interval)
        self.selection = Selection(settings, self.table, self.admission, self.random)
        self.sessions = SessionTokens(settings)
        self.queue = WaitQueue()

    @property
    def servers(self) -> dict[int, Server]:
        """What is known of each listed server, by server number."""
        return self.table.servers

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Process one event and return the resulting actions in order.

        Raises ``ValueError`` for a request whose class is not in the settings.
        """
        self.now = now
        self._actions = []
        self._dispatch(event)
        if not self._timer_is_set and (self.requests or self.attempts):  # hundreds of idle gateways must cost nothing
            self._timer_is_set = True
            self._emit(api.SetTimer(self.sweep_interval, "sweep"))
        return self._actions

    def _emit(self, action: api.Action) -> None:
        self._actions.append(action)

    def _dispatch(self, event: api.Event) -> None:
        match event:
            case api.Request():
                self.on_request(event)
            case api.Outcome():
                self.on_outcome(event)
            case api.ClientCancelled() | api.Started():
                self.on_client_cancelled(event)
            case api.Deadline():
                self.on_deadline(event)
            case api.Timer():
                self.on_timer(event)
            case _:
                self._dispatch_server_event(event)

    def _dispatch_server_event(self, event: api.Event) -> None:
        match event:
            case api.Probed():
                self.on_probed(event)
            case api.ServerList():
                self.on_server_list(event)
            case api.GossipedOutliers():
                self.table.apply_gossiped_outliers(self.now, event)
            case api.PositionGossiped():
                self.on_position_gossiped(event)
            case api.ZoneLatencies():
                self.table.apply_zone_latencies(event)
            case api.TokensLost():
                self.on_tokens_lost(event)

    # server events

    def on_server_list(self, event: api.ServerList) -> None:
        """Apply a server list, complete or changed entries only."""
        self.table.apply_list(self.now, event)

    def on_position_gossiped(self, event: api.PositionGossiped) -> None:
        """Record a position observed by another gateway; it says nothing of the server's role or health."""
        server = self.servers.get(event.server)
        if server is None or event.report.position is None:
            return
        self.table.record_position(self.now, server, event.report.position)
        self._route_waiting(server.group)

    def on_tokens_lost(self, event: api.TokensLost) -> None:
        """Raise the floors that replace tokens lost in a restart, so that no session reads too early."""
        for group, floor in event.floors:
            self.sessions.raise_floor(group, floor)

    def on_probed(self, event: api.Probed) -> None:
        """Record a probe's position and role; its answer shows that the process runs, not that it serves requests."""
        server = self.servers.get(event.server)
        if server is None:
            return
        server.probe_in_flight = False
        if event.status != Status.OK:
            server.unanswered_probes += 1
            server.eject(self.now, silent=False)
            return
        server.unanswered_probes = 0
        self.table.record_report(self.now, server, event.report, self.now - event.latency)
        if self.now - server.connection_refused_at < BASE_BACKOFF:
            self.connection_shortage_until = self.now + SHORTAGE_PERIOD
        if not server.silent:
            server.readmit()
        self._route_waiting(server.group)

    # request events

    def on_request(self, request: api.Request) -> None:
        """Route a new request. Raises ``ValueError`` if its class is not in the settings."""
        request_class = self.request_classes.get(request.class_name)
        if request_class is None:
            raise ValueError(f"class_name: {request.class_name!r} is not in the settings")
        self.admission.record_request(request_class.name)
        pending = PendingRequest(request, request_class, self.now, self.random.random())
        self.requests[request.id] = pending
        if request_class.read == ReadMode.SESSION:
            pending.session_position = self.sessions.position_for(self.now, request)
        self._route(pending)

    def on_client_cancelled(self, event: api.ClientCancelled | api.Started) -> None:
        """Drop a request whose client left or whose answer has begun; its attempts' outcomes are still recorded."""
        pending = self.requests.pop(event.id, None)
        if pending is not None:
            self.queue.remove(pending)

    def on_deadline(self, event: api.Deadline) -> None:
        """Apply an earlier deadline to a pending request; the gateway itself times out attempts in flight."""
        pending = self.requests.get(event.request.id)
        if pending is not None:
            pending.request = event.request

    def on_outcome(self, event: api.Outcome) -> None:
        """Record how an attempt ended; answer, resend or give up its request."""
        attempt = self.attempts.pop((event.id, event.attempt), None)
        if attempt is None:
            return
        server = attempt.server
        del server.in_flight[event.id, event.attempt]
        self.table.record_answer(self.now, event, attempt)
        self.table.record_report(self.now, server, event.report, attempt.sent_at)
        self.table.record_connection_outcome(server, event, attempt.idle)
        refused = event.status == Status.CONNECT_FAILED and event.latency < self.settings.connect_timeout / 2
        self.table.update_health(self.now, event, attempt, refused)
        if self.now < self.connection_shortage_until and not server.in_flight:  # idle ones keep others out
            self._emit(api.CloseIdle(server.id))
        if event.status == Status.FULL or refused:
            self._back_off(attempt)
        self._record_latency(event, attempt)
        self._finish_attempt(event, attempt)
        self._route_waiting(server.group)

    def _back_off(self, attempt: Attempt) -> None:
        """Back off from a full server: rejections are load too, and hundreds of gateways must not return at once."""
        self.admission.record_overload(self.now)
        first = attempt.pending.request_class.latency_objective // 4
        attempt.server.back_off(self.now, first, jitter=0.5 + self.random.random())

    def _record_latency(self, event: api.Outcome, attempt: Attempt) -> None:
        """Record what an attempt's end says of its server's latency and of the demand that can be admitted."""
        server, request_class = attempt.server, attempt.pending.request_class
        is_ok = event.status == Status.OK
        in_time = is_ok and event.latency <= request_class.latency_objective
        is_slow = event.status in (Status.TIMEOUT, Status.CANCELLED) and not attempt.is_probably_lost()
        if is_ok or is_slow:  # a missing answer counts as a slow one
            self.table.update_latency(self.now, server, request_class, event.latency)
            self.admission.record_latency(request_class.name, event.latency)
        average = self.admission.average_latency[request_class.name]
        timed_out = event.status == Status.TIMEOUT and is_slow and event.latency > average
        if event.status in (Status.OK, Status.FULL) or timed_out:
            self.admission.record_attempt(self.now, in_time)
        if event.status in (Status.MISS, Status.FULL, Status.TIMEOUT) or (is_ok and not in_time):
            self.selection.start_load_probes(self.now, server.group)

    def _finish_attempt(self, event: api.Outcome, attempt: Attempt) -> None:
        """Finish or reroute an attempt's request; a write's answer sets its session's token."""
        pending = attempt.pending
        if pending.request_class.read == ReadMode.WRITE and event.status == Status.OK:
            self.sessions.on_write(self.now, pending.request, event.position or self.now)
        if event.status not in api.NEVER_RAN:
            pending.ran_at = pending.ran_at or attempt.sent_at
        pending.tried.add(attempt.server.id)
        if event.closed:
            self.requests.pop(event.id, None)
        elif event.id in self.requests:
            self._route(pending)

    def may_write(self, now: int, request_id: str, server: int) -> bool:
        """Whether a server still has the data that a read must see, right before an attempt is written there.

        Always true where servers check positions themselves, and for writes, which only a primary accepts.
        """
        pending = self.requests.get(request_id)
        known = self.servers.get(server)
        if pending is None or known is None or self.settings.checks != ReplicaCheck.NONE:
            return True
        return pending.request_class.read == ReadMode.WRITE or self.table.may_serve(now, known, pending)

    # timer

    def on_timer(self, event: api.Timer) -> None:
        """Sweep for silent servers, lost attempts and waiting requests while requests or attempts exist."""
        self._timer_is_set = False
        self.admission.refresh_ranking()
        for server in {attempt.server.id: attempt.server for attempt in self.attempts.values()}.values():
            self._sweep_server(server)
        for pending in self.queue.all():
            self._sweep_waiting(pending)
        for group in self.queue.groups():
            self._route_waiting(group)

    def _sweep_server(self, server: Server) -> None:
        if self.table.eject_if_silent(self.now, server):
            for key, attempt in server.in_flight.items():
                self._cancel(key, attempt)
        self._cancel_lost(server)
        for attempt in server.in_flight.values():
            if self.now - attempt.sent_at > attempt.pending.request_class.latency_objective:
                self.selection.start_load_probes(self.now, server.group)  # it has certainly missed its objective
                break

    def _sweep_waiting(self, pending: PendingRequest) -> None:
        halfway = (pending.arrived + pending.request.expires) // 2  # refused by then, a client can try elsewhere
        if not pending.attempts and self.now + self.sweep_interval > halfway:
            self._give_up(pending, ShedReason.HELD_TOO_LONG)
        elif self.admission.cannot_finish_in_time(self.now, pending):
            self._give_up(pending, ShedReason.NO_TIME_LEFT)
        else:
            self._enqueue(pending)

    def _cancel_lost(self, server: Server) -> None:
        """Cancel reads on connections that have stopped answering, if another server may still answer in time."""
        for key, attempt in server.in_flight.items():
            request_class = attempt.pending.request_class
            average = self.admission.average_latency[request_class.name]
            if self.now - attempt.sent_at < max(LOST_AFTER_LATENCIES * average, request_class.latency_objective // 2):
                break  # attempts are in order of age, the oldest first
            if attempt.is_probably_lost() and not self.admission.cannot_finish_in_time(self.now, attempt.pending):
                self._cancel(key, attempt)

    def _cancel(self, key: tuple[str, int], attempt: Attempt) -> None:
        """Cancel a read that may be sent elsewhere; a write may still be answered."""
        if attempt.cancelled or attempt.pending.request_class.effect != Effect.SAFE:
            return
        if self.settings.may_cancel and self.may_resend(attempt.pending):
            attempt.cancelled = True
            self._emit(api.Cancel(*key))

    # routing

    def may_resend(self, pending: PendingRequest) -> bool:
        """Whether a further attempt of a request is allowed."""
        if pending.attempts >= self.settings.max_attempts or self.now >= pending.request.expires:
            return False
        request_class = pending.request_class
        if pending.ran_at is None or request_class.effect == Effect.SAFE:
            return True
        if request_class.effect != Effect.KEYED or request_class.scope == KeyScope.ZONE:
            return False
        return self.now - pending.ran_at < request_class.window

    def _route(self, pending: PendingRequest) -> None:
        """Send a request now, queue it, or give it up."""
        if not self.may_resend(pending):
            return self._give_up(pending, ShedReason.NO_ATTEMPT_LEFT)
        if self.admission.cannot_finish_in_time(self.now, pending):
            return self._give_up(pending, ShedReason.NO_TIME_LEFT)
        if not self.admission.admits(self.now, pending):
            return self._give_up(pending, ShedReason.NOT_ADMITTED)
        server = self.selection.choose(self.now, pending)
        if server is None or self._waits_for_load(server, pending):
            return self._enqueue(pending)
        return self._send(pending, server)

    def _waits_for_load(self, server: Server, pending: PendingRequest) -> bool:
        """Whether a server's load must be known first and a probe for it is in flight."""
        if not self.selection.needs_load_probe(self.now, server, pending):
            return False
        return self.table.reported_load(self.now, server) is None and self.table.probe(self.now, server)

    def _send(self, pending: PendingRequest, server: Server) -> None:
        self.queue.remove(pending)
        idle = 0 if server.in_flight else self.now - server.answered_at
        if idle > server.idle_limit:
            self._emit(api.CloseIdle(server.id))
        key = pending.request.id, pending.attempts
        server.in_flight[key] = self.attempts[key] = Attempt(pending, server, self.now, idle)
        if server.ejected_until:  # allows one trial request at a time
            server.ejected_until = server.next_ejection_end(self.now)
        pending.attempts += 1
        self._emit(api.Send(pending.request.id, server.id, pending.request.expires))

    def _enqueue(self, pending: PendingRequest) -> None:
        """Queue a request until there is capacity; probe the group's servers if it is not certain which is primary."""
        pending.tried.clear()
        self.queue.add(pending, self.admission.is_late(self.now, pending))
        group = pending.request.group
        primary = self.table.primary(self.now, group)
        if primary is None:
            for server in self.table.groups.get(group, ()):
                self.table.probe(self.now, server)
        elif not self.table.may_serve(self.now, primary, pending) and not self.table.is_probing(group):
            self.table.probe(self.now, primary)

    def _route_waiting(self, group: int) -> None:
        """Route requests that wait for a group, by descending weight."""
        for pending in self.queue.first_of_each_class(group, self.admission.ranking):
            self._route(pending)

    def _give_up(self, pending: PendingRequest, reason: ShedReason) -> None:
        """Give the final answer now: a refusal if a retry is certainly harmless, otherwise a failure."""
        self.shed_counts[reason] += 1
        self.requests.pop(pending.request.id, None)
        self.queue.remove(pending)
        request_class = pending.request_class
        dropped_if_repeated = request_class.effect == Effect.KEYED and request_class.scope == KeyScope.ALL
        if pending.ran_at is None or request_class.effect == Effect.SAFE or dropped_if_repeated:
            wait = BASE_BACKOFF if request_class.late_weight else request_class.deadline  # sooner would be late again
            self._emit(api.Refuse(pending.request.id, min(self.settings.max_retry_after, wait), reason))
        else:
            self._emit(api.Fail(pending.request.id, reason))
