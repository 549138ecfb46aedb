"""A stand-in LDAP server on a loopback socket: serves its member's directory, with faults on command."""

from __future__ import annotations

import random
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from yardbank.directory import naming
from yardbank.directory.codes import Code
from yardbank.ldap import codec, control_codec, filter_codec
from yardbank.ldap import messages as m
from yardbank.ldap.match import matches
from yardbank.ldap.state import Abandoned, Asked, Broken, Closed, ServerEnd
from yardbank.testing.ports import ReservedPort
from yardbank.testing.standin.cluster import Cluster, Record
from yardbank.testing.standin.directory import search_entry

TAG_CONTROL = "1.3.6.1.4.1.32473.1.1"  # OID of the documentation arc; its value identifies a request in records
_WRITES = (m.AddRequest, m.ModifyRequest, m.ModifyDNRequest, m.DeleteRequest)


@dataclass(slots=True)
class Capacity:
    """The capacity of a server and its warm-up."""

    slots: int = 4
    queue: int = 64
    read_s: float = 0.002
    write_s: float = 0.003
    cold_s: float = 4.0
    cold_share: float = 0.3


@dataclass(slots=True)
class Faults:
    """The current faults of a server."""

    hang: bool = False
    refuse: bool = False
    half_open: bool = False
    full: bool = False
    slow: float = 1.0
    trickle: bool = False
    reset_next: int = 0  # number of answers to cut off half way
    lose_next: int = 0  # number of committed writes to leave unanswered, with the connection closed
    garbage_next: int = 0  # number of answers to replace with random octets


@dataclass(slots=True)
class _Job:
    link: _Connection
    message: m.Message
    tag: str
    kind: str


class Standin:
    """One server: a member of a cluster. Its port stays reserved for the lifetime of the object."""

    def __init__(
        self,
        reactor: Any,
        cluster: Cluster,
        name: str,
        *,
        port: int = 0,
        capacity: Capacity | None = None,
        record: Record | None = None,
        bind: tuple[str, str] | None = None,
        seed: int = 0,
    ) -> None:
        self.reactor, self.cluster, self.name = reactor, cluster, name
        self.member = cluster.members[name]
        self.capacity, self.faults = capacity or Capacity(), Faults()
        self.bind = (naming.fold(bind[0]), bind[1].encode()) if bind else None
        self.started = 0.0  # 0: long ago
        self.record = record or (lambda fact: None)
        self.random = random.Random(f"{seed}/{name}")
        self.links: dict[_Connection, None] = {}
        self._queue: deque[_Job] = deque()
        self._busy = 0
        self._paused: list[Callable[[], None]] = []
        self._port: Any = None
        self._epoch = 0
        self._reserved_port = ReservedPort(port)
        self.port = self._reserved_port.number
        self.listen()

    # Faults on command

    def listen(self) -> None:
        """Starts listening, always on the same port."""
        self._port = self.reactor.adoptStreamPort(self._reserved_port.listen(), socket.AF_INET, _ListenerFactory(self))

    def note(self, kind: str, **facts: Any) -> None:
        """Records a fact about this server."""
        self.record({"kind": kind, "server": self.name, **facts})

    def crash(self) -> None:
        """Emulates a crash: resets connections and discards work."""
        self.note("crash")
        self._epoch += 1
        self._queue.clear()
        self._busy = 0
        self._paused.clear()
        self.faults = Faults()
        self.stop()
        self.cluster.lose(self.name)

    def restart(self) -> None:
        """Restarts the server, cold, with its previous log."""
        self.started = self.reactor.seconds()
        self.listen()
        self.cluster.back(self.name)
        self.note("start", cold_s=self.capacity.cold_s, cold_share=self.capacity.cold_share, per_s=self.per_second())

    def hang(self) -> None:
        """Keeps accepting connections and requests, but answers nothing."""
        self.note("hang")
        self.faults.hang = True
        self.cluster.lose(self.name, hangs=True)

    def unhang(self) -> None:
        """Ends the hang and processes held work."""
        self.note("unhang")
        self.faults.hang = False
        self.cluster.back(self.name)
        paused, self._paused = self._paused, []
        for resume_work in paused:
            resume_work()

    def refuse(self, on: bool) -> None:
        """Refuses new connections, or accepts them again."""
        self.note("refuse", on=on)
        if on:
            self._stop_listening()
        elif not on and self._port is None:
            self.listen()

    def _stop_listening(self) -> None:
        if self._port is not None:
            self._port.stopListening()
            self._port = None
            self._reserved_port.refuse()

    def stop(self) -> None:
        """Stops listening and resets all connections."""
        self._stop_listening()
        for link in list(self.links):
            link.reset()

    # Work

    def warmth(self) -> float:
        """The current share of the full capacity."""
        if not self.started:
            return 1.0
        age: float = (self.reactor.seconds() - self.started) / self.capacity.cold_s
        return min(1.0, self.capacity.cold_share + (1 - self.capacity.cold_share) * age)

    def per_second(self) -> float:
        """Reads per second when warm."""
        return float(self.capacity.slots / self.capacity.read_s)

    def take(self, job: _Job) -> None:
        """Starts or queues a request, or rejects it as busy."""
        self.note("received", tag=job.tag, op=job.kind)
        if self.faults.full or len(self._queue) >= self.capacity.queue:
            self.note("full", tag=job.tag)
            job.link.finish(job, Code.BUSY, "the queue is full")
            return
        self._queue.append(job)
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and self._busy < self.capacity.slots:
            job = self._queue.popleft()
            if not job.link.end.owes(job.message.id):
                continue
            self._busy += 1
            write = isinstance(job.message.operation, _WRITES)
            cost = self.capacity.write_s if write else self.capacity.read_s
            cost *= self.faults.slow / self.warmth()
            self.reactor.callLater(cost, self._job_ready, job, self._epoch)

    def _job_ready(self, job: _Job, epoch: int) -> None:
        if epoch != self._epoch:
            return
        if self.faults.hang:
            self._paused.append(lambda: self._job_ready(job, epoch))
            return
        self._busy -= 1
        job.link.run(job)
        self._start_queued()


class _ListenerFactory(Factory):
    noisy = False

    def __init__(self, server: Standin) -> None:
        self._server = server

    def buildProtocol(self, addr: Any) -> _Connection:  # noqa: N802
        return _Connection(self._server)


class _Connection(Protocol):
    """One connection to a stand-in server."""

    transport: Any  # Twisted's stubs lack the methods of a TCP transport

    def __init__(self, server: Standin) -> None:
        self.server = server
        self.end = ServerEnd(16 << 20, 10_000)
        self.bound = server.bind is None
        self.dead = False  # half open: input is ignored and nothing is sent
        self._trickle_queue: deque[bytes] = deque()

    def connectionMade(self) -> None:  # noqa: N802
        self.server.links[self] = None
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008, N802
        self.server.links.pop(self, None)
        self.end.close()

    def reset(self) -> None:
        """Aborts the connection."""
        self.end.close()
        if self.transport is not None:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.dead:
            return
        if self.server.faults.half_open:
            self.dead = True
            return
        for event in self.end.receive(data):
            if isinstance(event, Asked):
                self._asked(event.message)
            elif isinstance(event, Broken):
                self.send(event.notice)
                self.transport.loseConnection()
            elif isinstance(event, Closed):
                self.transport.loseConnection()
            elif isinstance(event, Abandoned):
                self.server.note("abandoned", target=event.target)

    def _asked(self, message: m.Message) -> None:
        server, operation = self.server, message.operation
        if isinstance(operation, m.BindRequest):
            wanted = server.bind
            good = wanted is None or (naming.fold(operation.name) == wanted[0] and operation.password == wanted[1])
            self.bound = good
            code = Code.SUCCESS if good else Code.INVALID_CREDENTIALS
            answer = self.end.final(message.id, m.Result(m.Tag.BIND_RESPONSE, code))
            if server.faults.hang:
                server._paused.append(lambda: self.send(answer))
            else:
                self.send(answer)
            return
        tag = next((c.value.decode() for c in message.controls if c.oid == TAG_CONTROL and c.value), "")
        asked = getattr(operation, "attributes", ())
        probe = isinstance(operation, m.SearchRequest) and "contextCSN" in asked
        kind = "probe" if probe else type(operation).__name__.removesuffix("Request").lower()
        job = _Job(self, message, tag, kind)
        if not self.bound:
            self.finish(job, Code.INSUFFICIENT_ACCESS, "bind first")
        elif probe:  # bypasses the queue, but not a hang
            if server.faults.hang:
                server._paused.append(lambda: self.run(job))
            else:
                self.run(job)
        else:
            server.take(job)

    def run(self, job: _Job) -> None:
        """Carries out an operation and answers it."""
        operation, server = job.message.operation, self.server
        if isinstance(operation, m.SearchRequest):
            self._search(job, operation)
        elif isinstance(operation, m.CompareRequest):
            if self._assertion_fails(job, operation.entry):
                return
            code, text = server.member.directory.compare(operation)
            self.finish(job, code, text)
        elif isinstance(operation, _WRITES):
            self._write(job, operation)
        else:
            self.finish(job, Code.PROTOCOL_ERROR, "not supported here")

    def _search(self, job: _Job, request: m.SearchRequest) -> None:
        server, cluster = self.server, self.server.cluster
        if self._assertion_fails(job, request.base):
            return
        (code, text), found = server.member.directory.search(request)
        role = "primary" if cluster.primary == server.name else "copy"
        out: list[bytes] = []
        controls: tuple[m.Control, ...] = ()
        page = next((c for c in job.message.controls if c.oid == m.Oid.PAGED_RESULTS and c.value), None)
        if page is not None and code == Code.SUCCESS:
            found, controls = _page(found, page)
        if request.size_limit and len(found) > request.size_limit:
            found, code = found[: request.size_limit], Code.SIZE_LIMIT
        manage = any(c.oid == m.Oid.MANAGE_DSA_IT for c in job.message.controls)
        for entry in found:
            if (uris := entry.values("ref")) and not manage:  # a continuation reference (RFC 3296 section 5.1)
                raw = codec.encode_operation(m.SearchReference(tuple(uri.decode() for uri in uris)))
                out.append(self.end.part(job.message.id, codec.Envelope(0, m.Tag.REFERENCE, raw, b"")))
                continue
            extra: m.Attributes = ()
            if naming.fold(entry.dn) == server.member.directory.suffix:
                marks = tuple(value.encode() for value in server.member.context.values())
                extra = (("contextCSN", marks), ("replicationRole", (role.encode(),)))
            raw = codec.encode_operation(search_entry(entry, request, extra))
            out.append(self.end.part(job.message.id, codec.Envelope(0, m.Tag.ENTRY, raw, b"")))
        self.finish(job, code, text, controls, b"".join(out), last=server.member.last, role=role, suffix=cluster.suffix)

    def _write(self, job: _Job, request: m.Request) -> None:
        server, cluster = self.server, self.server.cluster
        if cluster.primary != server.name:
            primary = cluster.primary or server.name
            tag = m.RESPONSE_TAG[type(request)]
            result = m.Result(tag, Code.REFERRAL, referrals=(f"ldap://{primary}/",))
            server.note("answered", tag=job.tag, code=int(result.code))
            self.send(self.end.final(job.message.id, result))
            return
        if self._assertion_fails(job, getattr(request, "entry", "")):
            return
        (code, text), number = cluster.commit(server.name, request, job.tag)
        if number and server.faults.lose_next > 0:
            server.faults.lose_next -= 1
            server.note("answer_lost", tag=job.tag)
            self.reset()
            return
        self.finish(job, code, text, self._post_read(job, request) if number else ())

    def _assertion_fails(self, job: _Job, name: str) -> bool:
        """Ends the operation if it has an assertion control (RFC 4528) that the entry does not satisfy."""
        control = next((c for c in job.message.controls if c.oid == m.Oid.ASSERTION), None)
        entry = self.server.member.directory.entries.get(naming.fold(name))
        if (
            control is None
            or entry is None
            or matches(filter_codec.decode_bare_filter(control.value or b""), entry.values)
        ):
            return False
        self.finish(job, Code.ASSERTION_FAILED)
        return True

    def _post_read(self, job: _Job, request: m.Request) -> tuple[m.Control, ...]:
        wanted = next((c for c in job.message.controls if c.oid == m.Oid.POST_READ), None)
        if wanted is None or isinstance(request, m.DeleteRequest):
            return ()
        dn = naming.fold(getattr(request, "entry", ""))
        if isinstance(request, m.ModifyDNRequest):
            superior = request.new_superior if request.new_superior is not None else request.entry.partition(",")[2]
            dn = naming.fold(f"{request.new_rdn},{superior}")
        asked = m.SearchRequest(
            "", 0, m.Present("objectClass"), control_codec.read_post_read_request(wanted.value or b"")
        )
        entry = search_entry(self.server.member.directory.entries[dn], asked)
        return (m.Control(m.Oid.POST_READ, False, codec.encode_operation(entry)),)

    def finish(
        self,
        job: _Job,
        code: int,
        text: str = "",
        controls: tuple[m.Control, ...] = (),
        before: bytes = b"",
        **facts: Any,
    ) -> None:
        """Sends the final answer, subject to current faults."""
        server, faults = self.server, self.server.faults
        tag = m.RESPONSE_TAG.get(type(job.message.operation), m.Tag.EXTENDED_RESPONSE)
        data = self.end.final(job.message.id, m.Result(tag, code, diagnostic=text), controls)
        if not data:
            return
        server.note("answered", tag=job.tag, op=job.kind, code=int(code), **facts)
        data = before + data
        if job.kind != "probe" and faults.reset_next > 0:
            faults.reset_next -= 1
            server.note("reset_mid_answer", tag=job.tag)
            self.send(data[: len(data) // 2])
            self.end.close()
            self.transport.loseConnection()
        elif job.kind != "probe" and faults.garbage_next > 0:
            faults.garbage_next -= 1
            server.note("garbage", tag=job.tag)
            self.send(server.random.randbytes(len(data)))
        else:
            self.send(data)

    def send(self, data: bytes) -> None:
        """Writes data, one octet at a time under the ``trickle`` fault."""
        if self.transport is None or not data or self.dead:
            return
        if not self.server.faults.trickle and not self._trickle_queue:
            self.transport.write(data)
            return
        idle = not self._trickle_queue
        self._trickle_queue.extend(data[at : at + 1] for at in range(len(data)))
        if idle:
            self._trickle()

    def _trickle(self) -> None:
        if self._trickle_queue and self.transport is not None:
            self.transport.write(self._trickle_queue.popleft())
            self.server.reactor.callLater(0.0001, self._trickle)


def _page(found: list[Any], control: m.Control) -> tuple[list[Any], tuple[m.Control, ...]]:
    """One page of results (RFC 2696). The cookie is the start of the next page, so any replica can continue."""
    size, given = control_codec.read_paged_value(control.value or b"")
    start = int(given or b"0")
    rest = start + size
    cookie = str(rest).encode() if size > 0 and rest < len(found) else b""
    made = m.Control(m.Oid.PAGED_RESULTS, False, control_codec.paged_value(0, cookie))
    return found[start:rest] if size else found, (made,)
