"""The clients of a scenario on sockets. Thin: ``load`` says what they ask and when they ask again."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Mapping
from random import Random
from typing import Any

from hdrh.histogram import HdrHistogram
from twisted.internet.defer import Deferred

from yardbank.directory.codes import Code, Scope
from yardbank.ldap import messages as m
from yardbank.testing.audit.judge import outcome
from yardbank.testing.rig.client import GONE, LOST, Answer, Client, connect
from yardbank.testing.rig.load import GIVE_UP, STALENESS, Arrival, next_gateway, session_end, try_again
from yardbank.testing.rig.relay import HOST
from yardbank.testing.rig.scenario import CLIENTS, Load
from yardbank.testing.standin.server import TAG_CONTROL

DESK_DN, DESK_PASSWORD = "cn=desk,dc=porting", "desk"
MAX_WAITING = 500  # of one client that has no connection; beyond, the oldest is given up
BIND_TIMEOUT, RECONNECT = 1.0, 0.05  # seconds
HIGHEST = 60_000_000  # microseconds


class _Wanted:
    """One arrival on its way to an answer."""

    def __init__(self, arrival: Arrival, due: float) -> None:
        self.arrival, self.due, self.tries = arrival, due, 0


class _User:
    """One client: a connection at a time, several requests on it."""

    def __init__(self, drive: Drive, number: int) -> None:
        self.drive, self.number = drive, number
        self.random = Random(f"{drive.seed}/client/{number}")
        self.gateway = ""
        self.client: Client | None = None
        self.connections = self.asked = 0
        self._connecting = False
        self._until = 0.0  # when this session is over
        self._waiting: deque[_Wanted] = deque()

    @property
    def label(self) -> str:
        """The connection's name in the record: a session is a connection."""
        return f"c{self.number}.{self.connections}"

    def want(self, wanted: _Wanted) -> None:
        """Ask now, or as soon as there is a connection."""
        if self.client is not None and self.drive.reactor.seconds() >= self._until:
            self.client.leave_when_answered()
            self.client = None
        if self.client is not None and not self.client.gone:
            self._ask(self.client, wanted)
            return
        self._waiting.append(wanted)
        if len(self._waiting) > MAX_WAITING:
            self.drive.over(self._waiting.popleft(), "not_sent")
        self._connect()

    def _connect(self) -> None:
        if self._connecting:
            return
        self._connecting = True
        self.connections += 1
        self.gateway = next_gateway(self.drive.gateways, self.gateway, self.random, self.drive.load.uneven)
        port = self.drive.ports[self.gateway]
        found = connect(self.drive.reactor, HOST, port, self.label, self.drive.record)
        found.addCallbacks(self._bind, lambda _: self._later())

    def _bind(self, client: Client) -> None:
        timer = self.drive.reactor.callLater(BIND_TIMEOUT, client.leave)

        def bound(answer: Answer) -> None:
            if timer.active():
                timer.cancel()
            if answer.code != Code.SUCCESS:
                client.leave()
                self._later()
                return
            self._connecting = False
            self.client = client
            self._until = session_end(self.drive.load, self.drive.reactor.seconds(), self.random)
            waiting, self._waiting = self._waiting, deque()
            for wanted in waiting:
                self.want(wanted)

        client.bind(DESK_DN, DESK_PASSWORD).addCallback(bound)

    def _later(self) -> None:
        self._connecting = False
        now = self.drive.reactor.seconds()
        while self._waiting and now - self._waiting[0].due > self._waiting[0].arrival.deadline:
            self.drive.over(self._waiting.popleft(), "not_sent")
        if self._waiting:
            self.drive.reactor.callLater(RECONNECT, self._connect)

    def _ask(self, client: Client, wanted: _Wanted) -> None:
        arrival = wanted.arrival
        wanted.tries += 1
        self.asked += 1
        tag = f"{self.label}/{self.asked}"
        need: dict[str, Any] = {"read": arrival.read, "session": self.label, "request_class": arrival.request_class}
        entry = f"cn={arrival.entry},{arrival.suffix}"
        operation: m.Request
        if arrival.read == "write":
            operation = m.ModifyRequest(entry, ((2, "description", (tag.encode(),)),))
        elif arrival.read == "session":
            operation = m.SearchRequest(arrival.suffix, Scope.ONE, m.Match("=", "cn", b"%d" % arrival.entry))
        else:
            need["staleness"] = STALENESS
            operation = m.SearchRequest(entry, Scope.BASE, m.Present("objectClass"))
        controls = (m.Control(TAG_CONTROL, False, tag.encode()),)
        timer = self.drive.reactor.callLater(arrival.deadline + GIVE_UP, self._give_up, client, tag)
        client.request(
            operation,
            controls,
            tag,
            need=need,
            deadline=arrival.deadline,
            suffix=arrival.suffix,
            want=arrival.number,
            gateway=self.gateway,
        ).addCallback(self._answered, wanted, timer, tag)

    def _give_up(self, client: Client, tag: str) -> None:
        self.drive.record({"kind": "gave_up", "client": client.name, "tag": tag, "gateway": self.gateway})
        client.leave()

    def _answered(self, answer: Answer, wanted: _Wanted, timer: Any, tag: str) -> None:
        silent = not timer.active()
        if not silent:
            timer.cancel()
        gone = {LOST: "lost", GONE: "gone"}
        end = "silent" if silent else gone.get(answer.code) or outcome(answer.code)
        now = self.drive.reactor.seconds()
        wait = try_again(wanted.arrival, self.drive.load, wanted.tries, end, now - wanted.due, self.random)
        if wait is None:
            self.drive.over(wanted, end)
        else:
            self.drive.reactor.callLater(wait, self.want, wanted)

    def depart(self, means: str) -> bool:
        """Want no answer any more; whether one was owed."""
        if self.client is None or self.client.gone or not self.client.owed:
            return False
        self.client.depart(means)
        return True

    def leave(self) -> None:
        """Go."""
        if self.client is not None and not self.client.gone:
            self.client.leave()


class Drive:
    """All clients. ``play`` fires when every arrival has come to its end."""

    def __init__(
        self,
        reactor: Any,
        load: Load,
        arrivals: list[Arrival],
        ports: Mapping[str, int],
        record: Callable[[dict[str, Any]], None],
        seed: int,
    ) -> None:
        """``ports``: where clients find each gateway."""
        self.reactor, self.load, self.record, self.seed = reactor, load, record, seed
        self.ports, self.gateways = ports, list(ports)
        self.ends: dict[str, int] = {}
        self.latency = {name: HdrHistogram(1, HIGHEST, 3) for name in ("lookup", "status", "commit")}
        self._arrivals = deque(arrivals)
        self._users = [_User(self, number) for number in range(load.clients)]
        self._owed, self._began = 0, 0.0
        self._done: Deferred[None] = Deferred()

    def play(self) -> Deferred[None]:
        """Begin."""
        self._began = self.reactor.seconds()
        self._arrive()
        return self._done

    def _arrive(self) -> None:
        now = self.reactor.seconds() - self._began
        while self._arrivals and self._arrivals[0].at <= now:
            arrival = self._arrivals.popleft()
            self._owed += 1
            self.record(
                {
                    "kind": "wanted",
                    "want": arrival.number,
                    "client": f"{CLIENTS}/{arrival.client}",
                    "request_class": arrival.request_class,
                }
            )
            self._users[arrival.client].want(_Wanted(arrival, self._began + arrival.at))
        if self._arrivals:
            self.reactor.callLater(max(0.0, self._arrivals[0].at - now), self._arrive)
        self._look()

    def over(self, wanted: _Wanted, end: str) -> None:
        """One arrival has come to its end."""
        self.ends[end] = self.ends.get(end, 0) + 1
        arrival, took = wanted.arrival, self.reactor.seconds() - wanted.due
        if end == "served":
            self.latency[arrival.request_class].record_value(min(HIGHEST, max(1, round(took * 1e6))))
        self.record(
            {
                "kind": "done",
                "want": arrival.number,
                "end": end,
                "tries": wanted.tries,
                "took": took,
                "request_class": arrival.request_class,
            }
        )
        self._owed -= 1
        self._look()

    def enough(self) -> None:
        """No more arrivals; those that came are waited for."""
        self._arrivals.clear()
        self._look()

    def stop(self) -> None:
        """No more arrivals, and no more waiting for those that came."""
        self._arrivals.clear()
        if not self._done.called:
            self._done.callback(None)

    def _look(self) -> None:
        if not self._arrivals and not self._owed and not self._done.called:
            self._done.callback(None)

    def depart(self, gateways: Collection[str], share: float, means: str, random: Random) -> int:
        """So many of the clients that wait for answers of these gateways go, or give them up; how many did."""
        waiting = [user for user in self._users if user.gateway in gateways and random.random() < share]
        return sum(user.depart(means) for user in waiting)

    def close(self) -> None:
        """All clients go."""
        for user in self._users:
            user.leave()
