"""The clients of a scenario, on sockets. I/O only: ``load`` decides what they request and when they retry."""

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
from yardbank.testing.rig.load import GIVE_UP_AFTER_S, STALENESS_S, Arrival, next_gateway, retry_wait, session_end
from yardbank.testing.rig.relay import HOST
from yardbank.testing.rig.scenario import CLIENTS, Load
from yardbank.testing.standin.server import TAG_CONTROL

DESK_DN, DESK_PASSWORD = "cn=desk,dc=porting", "desk"
MAX_WAITING = 500  # operations of a client without a connection; further ones replace the oldest
BIND_TIMEOUT_S, RECONNECT_DELAY_S = 1.0, 0.05  # seconds
MAX_LATENCY_US = 60_000_000  # microseconds


class _PendingArrival:
    """One operation until its final outcome."""

    def __init__(self, arrival: Arrival, due: float) -> None:
        self.arrival, self.due, self.tries = arrival, due, 0


class _SimulatedClient:
    """One client, with one connection at a time and concurrent requests on it."""

    def __init__(self, driver: LoadDriver, number: int) -> None:
        self.driver, self.number = driver, number
        self.random = Random(f"{driver.seed}/client/{number}")
        self.gateway = ""
        self.client: Client | None = None
        self.connections = self.request_count = 0
        self._connecting = False
        self._until = 0.0  # end of the current session
        self._waiting: deque[_PendingArrival] = deque()

    @property
    def label(self) -> str:
        """The name of the connection, and session, in the record."""
        return f"c{self.number}.{self.connections}"

    def submit(self, pending: _PendingArrival) -> None:
        """Sends the operation now, or once connected."""
        if self.client is not None and self.driver.reactor.seconds() >= self._until:
            self.client.close_when_answered()
            self.client = None
        if self.client is not None and not self.client.gone:
            self._send(self.client, pending)
            return
        self._waiting.append(pending)
        if len(self._waiting) > MAX_WAITING:
            self.driver.finish(self._waiting.popleft(), "not_sent")
        self._connect()

    def _connect(self) -> None:
        if self._connecting:
            return
        self._connecting = True
        self.connections += 1
        self.gateway = next_gateway(self.driver.gateways, self.gateway, self.random, self.driver.load.uneven)
        port = self.driver.ports[self.gateway]
        found = connect(self.driver.reactor, HOST, port, self.label, self.driver.record)
        found.addCallbacks(self._bind, lambda _: self._reconnect_later())

    def _bind(self, client: Client) -> None:
        timer = self.driver.reactor.callLater(BIND_TIMEOUT_S, client.leave)

        def bound(answer: Answer) -> None:
            if timer.active():
                timer.cancel()
            if answer.code != Code.SUCCESS:
                client.leave()
                self._reconnect_later()
                return
            self._connecting = False
            self.client = client
            self._until = session_end(self.driver.load, self.driver.reactor.seconds(), self.random)
            waiting, self._waiting = self._waiting, deque()
            for pending in waiting:
                self.submit(pending)

        client.bind(DESK_DN, DESK_PASSWORD).addCallback(bound)

    def _reconnect_later(self) -> None:
        self._connecting = False
        now = self.driver.reactor.seconds()
        while self._waiting and now - self._waiting[0].due > self._waiting[0].arrival.deadline:
            self.driver.finish(self._waiting.popleft(), "not_sent")
        if self._waiting:
            self.driver.reactor.callLater(RECONNECT_DELAY_S, self._connect)

    def _send(self, client: Client, pending: _PendingArrival) -> None:
        arrival = pending.arrival
        pending.tries += 1
        self.request_count += 1
        tag = f"{self.label}/{self.request_count}"
        need: dict[str, Any] = {"read": arrival.read, "session": self.label, "request_class": arrival.request_class}
        entry = f"cn={arrival.entry},{arrival.suffix}"
        operation: m.Request
        if arrival.read == "write":
            operation = m.ModifyRequest(entry, ((2, "description", (tag.encode(),)),))
        elif arrival.read == "session":
            operation = m.SearchRequest(arrival.suffix, Scope.ONE, m.Match("=", "cn", b"%d" % arrival.entry))
        else:
            need["staleness"] = STALENESS_S
            operation = m.SearchRequest(entry, Scope.BASE, m.Present("objectClass"))
        controls = (m.Control(TAG_CONTROL, False, tag.encode()),)
        timer = self.driver.reactor.callLater(arrival.deadline + GIVE_UP_AFTER_S, self._give_up, client, tag)
        client.request(
            operation,
            controls,
            tag,
            need=need,
            deadline=arrival.deadline,
            suffix=arrival.suffix,
            want=arrival.number,
            gateway=self.gateway,
        ).addCallback(self._answered, pending, timer, tag)

    def _give_up(self, client: Client, tag: str) -> None:
        self.driver.record({"kind": "gave_up", "client": client.name, "tag": tag, "gateway": self.gateway})
        client.leave()

    def _answered(self, answer: Answer, pending: _PendingArrival, timer: Any, tag: str) -> None:
        silent = not timer.active()
        if not silent:
            timer.cancel()
        gone = {LOST: "lost", GONE: "gone"}
        end = "silent" if silent else gone.get(answer.code) or outcome(answer.code)
        now = self.driver.reactor.seconds()
        wait = retry_wait(pending.arrival, self.driver.load, pending.tries, end, now - pending.due, self.random)
        if wait is None:
            self.driver.finish(pending, end)
        else:
            self.driver.reactor.callLater(wait, self.submit, pending)

    def depart(self, means: str) -> bool:
        """Departs or cancels open requests; returns whether there were any."""
        if self.client is None or self.client.gone or not self.client.open_requests:
            return False
        self.client.depart(means)
        return True

    def leave(self) -> None:
        """Closes the connection."""
        if self.client is not None and not self.client.gone:
            self.client.leave()


class LoadDriver:
    """Drives all clients. The Deferred of ``start`` fires when every operation has its outcome."""

    def __init__(
        self,
        reactor: Any,
        load: Load,
        arrivals: list[Arrival],
        ports: Mapping[str, int],
        record: Callable[[dict[str, Any]], None],
        seed: int,
    ) -> None:
        """``ports``: the port of each gateway for clients."""
        self.reactor, self.load, self.record, self.seed = reactor, load, record, seed
        self.ports, self.gateways = ports, list(ports)
        self.ends: dict[str, int] = {}
        self.latency = {name: HdrHistogram(1, MAX_LATENCY_US, 3) for name in ("lookup", "status", "commit")}
        self._arrivals = deque(arrivals)
        self._clients = [_SimulatedClient(self, number) for number in range(load.clients)]
        self._open_count, self._began = 0, 0.0
        self._done: Deferred[None] = Deferred()

    def start(self) -> Deferred[None]:
        """Starts the load."""
        self._began = self.reactor.seconds()
        self._arrive()
        return self._done

    def _arrive(self) -> None:
        now = self.reactor.seconds() - self._began
        while self._arrivals and self._arrivals[0].at <= now:
            arrival = self._arrivals.popleft()
            self._open_count += 1
            self.record(
                {
                    "kind": "wanted",
                    "want": arrival.number,
                    "client": f"{CLIENTS}/{arrival.client}",
                    "request_class": arrival.request_class,
                }
            )
            self._clients[arrival.client].submit(_PendingArrival(arrival, self._began + arrival.at))
        if self._arrivals:
            self.reactor.callLater(max(0.0, self._arrivals[0].at - now), self._arrive)
        self._check_done()

    def finish(self, pending: _PendingArrival, end: str) -> None:
        """Records the final outcome of an operation."""
        self.ends[end] = self.ends.get(end, 0) + 1
        arrival, took = pending.arrival, self.reactor.seconds() - pending.due
        if end == "served":
            self.latency[arrival.request_class].record_value(min(MAX_LATENCY_US, max(1, round(took * 1e6))))
        self.record(
            {
                "kind": "done",
                "want": arrival.number,
                "end": end,
                "tries": pending.tries,
                "took": took,
                "request_class": arrival.request_class,
            }
        )
        self._open_count -= 1
        self._check_done()

    def stop_arrivals(self) -> None:
        """Ends arrivals; open operations are still awaited."""
        self._arrivals.clear()
        self._check_done()

    def stop(self) -> None:
        """Ends the load without waiting for open operations."""
        self._arrivals.clear()
        if not self._done.called:
            self._done.callback(None)

    def _check_done(self) -> None:
        if not self._arrivals and not self._open_count and not self._done.called:
            self._done.callback(None)

    def depart(self, gateways: Collection[str], share: float, means: str, random: Random) -> int:
        """Makes a share of the clients with open requests at these gateways depart or cancel; returns their number."""
        waiting = [client for client in self._clients if client.gateway in gateways and random.random() < share]
        return sum(client.depart(means) for client in waiting)

    def close(self) -> None:
        """Closes all clients' connections."""
        for client in self._clients:
            client.leave()
