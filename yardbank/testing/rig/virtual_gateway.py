"""A simulated gateway on the virtual clock: one router with its connections and accepted requests."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from yardbank import interface as api
from yardbank.testing.emulator.server import OK, Work
from yardbank.testing.rig.virtual_world import MS, NET, MakeRouter, WorkloadClass

if TYPE_CHECKING:
    from yardbank.testing.rig.virtual import Fleet


@dataclass(slots=True)
class ClientRequest:
    """A client's request, over all its attempts."""

    kind: WorkloadClass
    group: int
    gateway: VirtualGateway
    first_at: int
    tries: int = 0
    ended: bool = False


@dataclass(slots=True)
class _TriedRequest:
    """One attempt of a client's request at a gateway."""

    client_request: ClientRequest
    asked_at: int
    required_position: int
    ended: bool = False
    attempts: int = 0
    out: dict[int, _AttemptInFlight] = field(default_factory=dict)


@dataclass(slots=True)
class _AttemptInFlight:
    server: int
    sent_at: int
    ended: bool = False


class VirtualGateway:
    """One router with its accepted requests, idle connections by server, and a queue of events.

    Events are handled one at a time, in order of arrival.
    """

    def __init__(self, fleet: Fleet, number: int, settings: api.Settings, router: MakeRouter) -> None:
        self._fleet, self.number, self._clock = fleet, number, fleet.clock
        self.router = router(settings)
        self._idle: Counter[int] = Counter()  # idle connections by server
        self._tries: dict[str, _TriedRequest] = {}
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._sequence = 0

    def handle(self, event: api.Event) -> None:
        """Passes an event to the router and carries out its actions. Events that result from these are queued."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        while self._events:
            for action in self.router.handle(self._clock.now, self._events.popleft()):
                self._carry_out(action)
        self._handling = False

    def take(self, client_request: ClientRequest) -> None:
        """A client sends its request."""
        self._sequence += 1
        number, now, kind = f"{self.number}-{self._sequence}", self._clock.now, client_request.kind.request_class
        age = self._fleet.session_age() if kind.read == "session" else 0
        tried = self._tries[number] = _TriedRequest(client_request, now, now - age if age else 0)
        client_request.tries += 1
        self._clock.at(now + int(kind.deadline * self._fleet.world.patience), lambda: self._leave(number, tried))
        self.handle(
            api.Request(
                number, client_request.group, kind.name, now + kind.deadline, f"s{number}", since_write=age or None
            )
        )

    def _leave(self, number: str, tried: _TriedRequest) -> None:
        if not tried.ended:
            self._fleet.count("left")
            self._end(number, tried)
            self.handle(api.ClientCancelled(number))
            self._fleet.retry_later(tried.client_request, 0)

    def _end(self, number: str, tried: _TriedRequest) -> None:
        tried.ended = True
        if not tried.out:
            self._tries.pop(number, None)

    def _carry_out(self, action: api.Action) -> None:
        fleet = self._fleet
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse() | api.Fail():
                tried = self._tries.get(action.id)
                if tried is not None and not tried.ended:
                    fleet.count("refused" if isinstance(action, api.Refuse) else "failed")
                    self._end(action.id, tried)
                    fleet.retry_later(tried.client_request, action.retry_after if isinstance(action, api.Refuse) else 0)
            case api.Cancel():
                tried = self._tries.get(action.id)
                if tried is not None and (out := tried.out.get(action.attempt)) is not None:
                    self._ended(action.id, tried, action.attempt, out, "cancelled")
            case api.Probe():
                self._probe(action.server)
            case api.CloseIdle():
                self._idle.pop(action.server, None)
            case api.SetTimer():
                event = api.Timer(action.token)
                self._clock.at(self._clock.now + action.delay, lambda: self.handle(event))

    def _send(self, action: api.Send) -> None:
        tried = self._tries.get(action.id)
        if tried is None:
            return
        attempt, now, clock = tried.attempts, self._clock.now, self._clock
        tried.attempts += 1
        out = tried.out[attempt] = _AttemptInFlight(action.server, now)
        server, kind = self._fleet.servers[action.server], tried.client_request.kind
        self._fleet.count("attempts")
        delay = NET
        if self._idle[action.server] > 0:
            self._idle[action.server] -= 1
        else:
            self._fleet.count("connections")
            delay += 4 * NET
            clock.at(now + NET, lambda: server.submit(Work(server.capacity.handshake_s, None)))
        read = kind.request_class.read
        required_position = now - kind.request_class.staleness_bound if read == "bounded" else tried.required_position

        def answered(status: str) -> None:
            clock.at(clock.now + NET, lambda: self._ended(action.id, tried, attempt, out, status))

        work = Work(self._fleet.draw_work(kind), answered, read == "write")
        clock.at(now + delay, lambda: server.submit(work, required_position))
        clock.at(action.until, lambda: self._ended(action.id, tried, attempt, out, "timeout"))

    def _ended(self, number: str, tried: _TriedRequest, attempt: int, out: _AttemptInFlight, status: str) -> None:
        if out.ended:
            return
        out.ended = True
        del tried.out[attempt]
        server, now = self._fleet.servers[out.server], self._clock.now
        if status not in ("timeout", "cancelled"):
            self._idle[out.server] += 1
        self._fleet.count(status)
        if status == OK and not tried.ended:
            self._end(number, tried)
            self._fleet.served(tried.client_request, now - tried.asked_at)
        elif tried.ended and not tried.out:
            self._tries.pop(number, None)
        answered = status in ("ok", "miss", "full")
        role = api.Role.PRIMARY if server.primary else api.Role.REPLICA
        position = now if status == OK and tried.client_request.kind.request_class.read == "write" else None
        self.handle(
            api.Outcome(
                number,
                attempt,
                out.server,
                status,
                now - out.sent_at,
                tried.ended,
                role if answered else api.Role.UNKNOWN,
                position,
            )
        )

    def _probe(self, number: int) -> None:
        server, clock, asked_at = self._fleet.servers[number], self._clock, self._clock.now
        self._fleet.count("probes")

        def asked() -> None:
            if server.down:
                clock.at(asked_at + 250 * MS, lambda: self.handle(api.Probed(number, "timeout", 250 * MS)))
                return
            report = self._fleet.report(server)
            clock.at(clock.now + NET, lambda: self.handle(api.Probed(number, "ok", 2 * NET, report)))

        clock.at(asked_at + NET, asked)
