"""Connections from the gateway to LDAP servers; each carries many operations at once."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from yardbank.directory.codes import Code, Scope
from yardbank.gateway.api import Connection, ProbeResult, Receiver, ServerSpec
from yardbank.gateway.dial import dial
from yardbank.ldap import codec, csn
from yardbank.ldap import messages as m
from yardbank.ldap.ber import BerError
from yardbank.ldap.exchange import Exchange, interpret
from yardbank.ldap.state import Answered, ClientEnd

POSITION_ATTRIBUTE = "contextCSN"


@dataclass(slots=True, frozen=True)
class BackendOptions:
    """Settings of the connections to servers."""

    bind_dn: str = ""
    bind_password: str = ""
    suffixes: Mapping[str, str] = field(default_factory=dict)  # by group: the base DN that the probe reads
    role_attribute: str = ""  # empty: probes do not report a server's role
    primary_value: str = "primary"
    max_message: int = 16 << 20


class _Probe:
    """Collects the single entry that a probe returns."""

    def __init__(self, options: BackendOptions, done: Callable[[ProbeResult | None], None]) -> None:
        self._options, self._done = options, done
        self._entry: m.SearchEntry | None = None

    def attempt_part(self, payload: Any, size: int) -> None:
        operation = codec.decode_operation(payload.operation)
        if isinstance(operation, m.SearchEntry):
            self._entry = operation

    def finished(self, raw: codec.Envelope) -> None:
        self._done(self._result())

    def attempt_lost(self, reason: str) -> None:
        self._done(None)

    def _result(self) -> ProbeResult | None:
        if self._entry is None:
            return None
        attributes = {name.lower(): values for name, values in self._entry.attributes}
        role_values = attributes.get(self._options.role_attribute.lower(), ())
        primary = role_values[0].decode("utf-8", "replace") == self._options.primary_value if role_values else None
        return ProbeResult(csn.vector(attributes.get(POSITION_ATTRIBUTE.lower(), ())), primary)


class LdapConnection(Protocol):
    """One connection to a server; it binds first if the options have a bind DN."""

    transport: Any  # Twisted's stubs name no methods of a TCP transport

    def __init__(
        self,
        server: ServerSpec,
        options: BackendOptions,
        ready: Callable[[Connection], None],
        lost: Callable[[str], None],
    ) -> None:
        self._server, self._options, self._ready, self._lost = server, options, ready, lost
        self._end = ClientEnd(options.max_message)
        self._exchanges: dict[int, tuple[Exchange, Receiver]] = {}
        self._probes: dict[int, _Probe] = {}
        self._bind_id: int | None = None
        self._reason = ""

    def connectionMade(self) -> None:  # noqa: N802
        """Sends the bind request, or reports ready at once if there is none to send."""
        assert self.transport is not None
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        if not self._options.bind_dn:
            self._ready(self)
            return
        request = m.BindRequest(self._options.bind_dn, self._options.bind_password.encode())
        self._bind_id, data = self._end.ask(codec.encode_operation(request), m.Tag.BIND)
        self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Processes received bytes, however they are split into reads."""
        try:
            for event in self._end.receive(data):
                if isinstance(event, Answered):
                    self._handle_response(event)
                else:
                    self._reason = event.reason or "the server is closing"
        except BerError as problem:
            self._reason = f"the server broke the protocol: {problem}"
            if self.transport is not None:
                self.transport.abortConnection()

    def _handle_response(self, event: Answered) -> None:
        if event.id == self._bind_id:
            self._bind_id = None
            result = codec.decode_operation(event.raw.operation)
            if isinstance(result, m.Result) and result.code == Code.SUCCESS:
                self._ready(self)
            else:
                self._reason = f"bind was refused: {getattr(result, 'diagnostic', '')}"
                self.close()
        elif (probe := self._probes.get(event.id)) is not None:
            if event.final:
                del self._probes[event.id]
                probe.finished(event.raw)
            else:
                probe.attempt_part(event.raw, 0)
        elif (pending := self._exchanges.get(event.id)) is not None:
            exchange, receiver = pending
            if event.final:
                reply = interpret(exchange, event.raw)
                del self._exchanges[event.id]
                receiver.attempt_done(reply)
            else:
                receiver.attempt_part(event.raw, len(event.raw.operation) + len(event.raw.controls))

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008, N802
        """Reports every outstanding attempt and probe as lost."""
        why = self._reason or reason.getErrorMessage()
        exchanges, self._exchanges = self._exchanges, {}
        probes, self._probes = self._probes, {}
        for _, receiver in exchanges.values():
            receiver.attempt_lost(why)
        for probe in probes.values():
            probe.attempt_lost(why)
        self._lost(why)

    # gateway.api.Connection

    def submit(self, operation: Exchange, receiver: Receiver) -> int:
        """Sends one operation and returns its message ID."""
        assert self.transport is not None
        number, data = self._end.ask(operation.operation, operation.tag, operation.controls)
        self._exchanges[number] = operation, receiver
        self.transport.write(data)
        return number

    def abandon(self, number: int) -> None:
        """Stops waiting for an operation. The server gets an Abandon for a read; a write is left to complete."""
        pending = self._exchanges.pop(number, None)
        data = self._end.abandon(number)
        if pending and not pending[0].write and data and self.transport is not None:
            self.transport.write(data)

    def probe(self, done: Callable[[ProbeResult | None], None]) -> int:
        """Reads the position and the role from the group's suffix entry."""
        assert self.transport is not None
        suffix = self._options.suffixes.get(self._server.group, "")
        wanted = (
            (POSITION_ATTRIBUTE, self._options.role_attribute)
            if self._options.role_attribute
            else (POSITION_ATTRIBUTE,)
        )
        request = m.SearchRequest(suffix, Scope.BASE, m.Present("objectClass"), wanted)
        number, data = self._end.ask(codec.encode_operation(request), m.Tag.SEARCH)
        self._probes[number] = _Probe(self._options, done)
        self.transport.write(data)
        return number

    def fit(self) -> bool:
        """Always true: operations share the connection, and its loss is reported by ``connectionLost``."""
        return True

    def close(self) -> None:
        """Sends an Unbind and closes the connection."""
        if self.transport is not None:
            self.transport.write(codec.encode(m.Message(0x7FFFFFFF, m.UnbindRequest())))
            self.transport.loseConnection()


class LdapBackend:
    """Opens connections to LDAP servers; a ``gateway.api.Backend``."""

    def __init__(self, options: BackendOptions, reactor: Any) -> None:
        self._options, self._reactor = options, reactor

    def connect(
        self, server: ServerSpec, ready: Callable[[Connection], None], lost: Callable[[str], None]
    ) -> Callable[[], None]:
        """Opens a connection; see ``gateway.api.Backend``."""
        return dial(self._reactor, server, lambda once: LdapConnection(server, self._options, ready, once), lost)

    def describe(self, operation: Exchange) -> str:
        """The operation's type and the DN that it addresses."""
        request = operation.request
        entry = getattr(request, "base", None) or getattr(request, "entry", "")
        return f"{type(request).__name__.removesuffix('Request').lower()} {entry}".strip()
