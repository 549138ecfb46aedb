"""The gateway's side towards LDAP clients."""

from __future__ import annotations

import hmac
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure
from zope.interface import implementer

from yardbank.directory import naming
from yardbank.directory.codes import Code, Scope
from yardbank.gateway.api import SECOND, Call
from yardbank.gateway.gateway import Gateway
from yardbank.ldap import codec, control_codec
from yardbank.ldap import messages as m
from yardbank.ldap.ber import SEQUENCE, BerError, expect, header, text
from yardbank.ldap.classify import Classifier, entry_of, of_unheld, renamed
from yardbank.ldap.exchange import Exchange, prepare
from yardbank.ldap.intake import Intake
from yardbank.ldap.spread import SORTED, Fan, Search, spans
from yardbank.ldap.state import Asked, Broken, ServerEnd, lasting, notice_of_disconnection
from yardbank.spread import Reach

PRE_READ = "1.3.6.1.1.13.1"
PASSED_ON = frozenset((m.Oid.POST_READ, PRE_READ, m.Oid.ASSERTION, m.Oid.MANAGE_DSA_IT, m.Oid.PAGED_RESULTS))
LAST_WORDS = 1.0  # seconds in which a client must take what was written to it when the gateway stops
MAX_ID = 0x7FFFFFFF  # of a message
EXTENSIONS = (m.Oid.CANCEL, m.Oid.WHO_AM_I, m.Oid.PASSWORD_MODIFY)


@dataclass(slots=True, frozen=True)
class FrontOptions:
    """How clients are met."""

    identities: Mapping[str, str] = field(default_factory=dict)  # folded bind name: password
    anonymous: bool = False  # operations without a bind
    session_by: str = "connection"  # or identity
    naming_contexts: tuple[str, ...] = ()
    max_message: int = 4 << 20
    max_outstanding: int = 1000
    max_unread: int = 4 << 20  # octets kept for a client that does not read
    max_connections: int = 50_000
    parts: int = 16  # of searches that span groups, out at once for one client
    parts_memory: int = 4 << 20  # octets kept back of all of them


class _Answer:
    """Takes one request's answer back to its connection; a ``gateway.api.Sink``."""

    __slots__ = ("_client", "_exchange", "_number", "_time_limit", "_until")

    def __init__(self, client: LdapFront, number: int, exchange: Exchange, until: int) -> None:
        self._client, self._number, self._exchange, self._until = client, number, exchange, until

    def part(self, payload: codec.Envelope) -> None:
        self._client.pass_part(self._number, payload)

    def served(self, payload: codec.Envelope) -> None:
        self._client.finish(self._number, payload)

    def refused(self, retry_after: int, reason: str) -> None:
        text = f"{reason}; nothing ran, try again"
        self._end(Code.BUSY, f"{text} after {retry_after // 1_000_000} ms" if retry_after else text)

    def failed(self, reason: str) -> None:
        code = Code.OTHER if self._exchange.write else Code.UNAVAILABLE
        self._end(code, f"{reason}; it may have run" if self._exchange.write else reason)

    def _end(self, code: int, reason: str) -> None:
        if self._until and self._client.gateway.now() >= self._until:
            code, reason = Code.TIME_LIMIT, "the search's time limit has passed"
        tag = m.RESPONSE_TAG[type(self._exchange.request)]
        self._client.finish(self._number, m.Result(tag, code, diagnostic=reason))


def _refused_control(controls: Iterable[m.Control]) -> tuple[Code, str] | None:
    """Why a request cannot be served with its controls; None: it can."""
    for control in controls:
        if control.oid == m.Oid.PROXIED_AUTHORIZATION:  # would borrow the gateway's own rights
            return Code.INSUFFICIENT_ACCESS, "proxied authorization is not allowed"
        if control.critical and control.oid not in PASSED_ON and control.oid not in SORTED:
            return Code.UNAVAILABLE_CRITICAL_EXTENSION, f"control {control.oid} is not supported"
    return None


@implementer(IPushProducer)
class LdapFront(Intake):
    """One client's connection."""

    def __init__(self, factory: LdapFrontFactory, number: int) -> None:
        self.gateway = factory.gateway
        self._factory = factory
        self._number = number
        options = factory.options
        super().__init__(ServerEnd(options.max_message, MAX_ID), options.max_outstanding, factory.log)
        self._identity = ""
        self._requests: dict[int, str | Search] = {}  # by message ID: the gateway's number, or a search of many parts
        self._tags: dict[int, int] = {}  # the tag of the answer that each is owed
        self._unread: int | None = None  # octets written since the client stopped reading; None: it reads
        self._fan: Fan | None = None  # made at the first search that spans groups

    @property
    def reading(self) -> bool:  # type: ignore[override]
        """Whether the client takes what is written to it."""
        return self._unread is None

    @property
    def _options(self) -> FrontOptions:
        """As they are now: settings may change while the client is connected."""
        return self._factory.options

    # The transport's side

    def connectionMade(self) -> None:  # noqa: N802
        """Count it, and ask to be told when the client does not read."""
        assert self.transport is not None
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._factory.clients[self] = None

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008, N802
        """The client left: nothing more is owed."""
        self._factory.left(self)
        self._drop()

    def pauseProducing(self) -> None:  # noqa: N802
        """The client does not read: take nothing more from it."""
        if self._unread is None:  # the transport says so again at each write
            self._unread = 0
        if self.transport is not None:
            self.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """It reads again."""
        self._unread = None
        if self.transport is not None and not self._closing:
            self.transport.resumeProducing()
        if self._fan is not None:
            self._fan.pump()
        self._take_up()

    def stopProducing(self) -> None:  # noqa: N802
        """The connection is over."""
        self._drop()

    def _write(self, data: bytes) -> None:
        if not data or self.transport is None:
            return
        if self._unread is not None:
            self._unread += len(data)
            if self._unread > self._options.max_unread:
                self._factory.log.warning("slow_client_dropped", client=self._number, unread=self._unread)
                self._drop()
                self.transport.abortConnection()
                return
        self.transport.write(data)

    def _lose(self) -> None:
        self._closing = True
        if self.transport is not None:
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def _drop(self) -> None:
        self._end.close()
        self._clear()
        requests, self._requests = self._requests, {}
        self._tags.clear()
        for taken in requests.values():
            self._leave(taken)

    def _broken(self, event: Broken) -> None:
        self._factory.log.warning("client_broke_protocol", client=self._number, reason=event.reason)
        self._drop()
        self._write(event.notice)
        self._lose()

    def _holds(self, number: int) -> bool:
        return number in self._requests

    def _take_back(self, number: int) -> None:
        if (taken := self._requests.pop(number, None)) is not None:
            self._tags.pop(number, None)
            self._leaving.append(taken)

    def _leave(self, taken: str | Search) -> None:
        if isinstance(taken, Search):
            taken.leave()
        else:
            self.gateway.leave(taken)

    def close_when_done(self) -> None:
        """The gateway has stopped: say so and close."""
        self._end.close()
        self._write(notice_of_disconnection(Code.UNAVAILABLE, "the gateway is stopping"))
        self._lose()

    # Answers

    def pass_part(self, number: int, payload: codec.Envelope) -> None:
        """An entry, a reference or an intermediate response."""
        self._write(self._end.part(number, payload))

    def finish(self, number: int, result: m.Result | codec.Envelope, controls: tuple[m.Control, ...] = ()) -> None:
        """The final answer to a routed request."""
        self._requests.pop(number, None)
        self._tags.pop(number, None)
        self._write(self._end.final(number, result, controls))

    def _answer(self, message: m.Message, code: int, reason: str = "", **more: Any) -> None:
        tag = m.RESPONSE_TAG[type(message.operation)]
        self._requests.pop(message.id, None)
        self._write(self._end.final(message.id, m.Result(tag, code, diagnostic=reason, **more)))

    # Requests

    def _serve(self, event: Asked) -> None:
        if len(self._requests) >= self._most and not _cancels(event.message.operation):
            reason = f"more than {self._most} operations outstanding"
            return self._broken(Broken(reason, notice_of_disconnection(Code.BUSY, reason)))
        try:
            self._asked(event.message, event.raw)
        except BerError as problem:
            self._answer(event.message, Code.PROTOCOL_ERROR, str(problem))
        except Exception as problem:
            self._factory.log.error("front_error", error=repr(problem), exc_info=True)
            self._answer(event.message, Code.OTHER, "internal error")
        return None

    def _asked(self, message: m.Message, raw: codec.Envelope) -> None:
        """Serve one request: here, by one group, or by several."""
        operation = message.operation
        if isinstance(operation, m.BindRequest):
            return self._bind(message, operation)
        if (refusal := _refused_control(message.controls)) is not None:
            return self._answer(message, *refusal)
        entry = None
        if isinstance(operation, m.ExtendedRequest):
            if operation.oid != m.Oid.PASSWORD_MODIFY:
                return self._extended(message, operation)
            entry = naming.fold(_password_entry(operation.value) or self._identity)
        if isinstance(operation, m.SearchRequest) and not operation.base and operation.scope == Scope.BASE:
            return self._root(message, operation)
        if not self._identity and not self._options.anonymous:
            return self._answer(message, Code.INSUFFICIENT_ACCESS, "bind first")
        assert not isinstance(operation, m.Response)
        tree = self._factory.classifier.tree
        if isinstance(operation, m.SearchRequest) and (reach := spans(tree, operation, naming.fold(operation.base))):
            return self._search_many(message, operation, raw, reach)
        return self._serve_from_one_group(message, operation, raw, entry)

    def _serve_from_one_group(
        self, message: m.Message, operation: m.Request, raw: codec.Envelope, entry: str | None
    ) -> None:
        """Hand a request over to the group that holds its entry."""
        if any(control.critical and control.oid in SORTED for control in message.controls):
            reason = "entries cannot be sorted here"
            return self._answer(message, Code.UNAVAILABLE_CRITICAL_EXTENSION, reason)
        if isinstance(operation, m.ModifyDNRequest) and self._factory.classifier.tree.moves_between(
            *renamed(operation)
        ):
            return self._answer(message, Code.AFFECTS_MULTIPLE_DSAS, "the entry would leave its group")
        placed = self._factory.classifier.place(operation, self._identity, entry)
        if placed.group is None:
            return self._unheld(message, operation, entry_of(operation) if entry is None else entry)
        exchange = prepare(message, raw)
        limit = operation.time_limit * SECOND if isinstance(operation, m.SearchRequest) else 0
        until = self.gateway.now() + limit if limit else 0
        sink = _Answer(self, message.id, exchange, until)
        call = Call(
            class_name=placed.class_name,
            group=placed.group,
            operation=exchange,
            sink=sink,
            session=self._session,
            time_limit=limit,
            present=partial(self.present, message.id),
        )
        self._requests[message.id] = ""
        self._tags[message.id] = m.RESPONSE_TAG[type(operation)]
        number = self.gateway.take(call)
        if message.id in self._requests:  # not answered already
            self._requests[message.id] = number
        return None

    @property
    def _session(self) -> str:
        by_identity = self._options.session_by == "identity" and self._identity
        return self._identity if by_identity else f"#{self._number}"

    def _unheld(self, message: m.Message, operation: m.Request, entry: str) -> None:
        """What is asked of a name that no group holds: a glue entry, or none at all."""
        code, matched = of_unheld(self._factory.classifier.tree, operation, entry)
        reason = {
            Code.NO_SUCH_OBJECT: f"no group holds {entry!r}",
            Code.UNWILLING: f"{entry!r} stands above the groups and cannot be changed",
        }
        return self._answer(message, code, reason.get(code, ""), matched=matched)

    def _search_many(self, message: m.Message, request: m.SearchRequest, raw: codec.Envelope, reach: Reach) -> None:
        """A search that spans groups."""
        if any(control.critical and control.oid in SORTED for control in message.controls):
            reason = "entries of several groups cannot be sorted here"
            return self._answer(message, Code.UNWILLING, reason)
        classifier = self._factory.classifier
        if self._fan is None:
            self._fan = Fan(self, self._options.parts, self._options.parts_memory)
        parts = [
            (piece, classifier.place_search(piece.group, piece.base, request, piece.scope, self._identity))
            for piece in reach.pieces
        ]
        search = Search(self._fan, message, request, parts, self._session)
        self._requests[message.id] = search
        self._tags[message.id] = m.Tag.DONE
        try:
            search.start(reach.glue, classifier.tree, raw)
        except Exception:  # a control that makes no sense: nothing of the search may go on
            search.leave()
            raise
        return None

    def _bind(self, message: m.Message, request: m.BindRequest) -> None:
        requests, self._requests = self._requests, {}  # section 4.2.1: a bind ends all that went before it
        for other, taken in requests.items():
            self._leave(taken)
            self._end.final(other, m.Result(self._tags.pop(other), Code.OTHER))
        self._identity = ""
        if request.version != 3:
            return self._answer(message, Code.PROTOCOL_ERROR, "only version 3 is spoken")
        if request.mechanism is not None:
            return self._answer(message, Code.AUTH_METHOD_NOT_SUPPORTED, "simple bind only")
        if not request.name:
            if self._options.anonymous and not request.password:
                return self._answer(message, Code.SUCCESS)
            return self._answer(message, Code.INVALID_CREDENTIALS, "anonymous bind is not allowed")
        if not request.password:  # RFC 4513 section 5.1.2
            return self._answer(message, Code.UNWILLING, "a name without a password proves nothing")
        name = naming.fold(request.name)
        known = self._options.identities.get(name)
        if known is None or not hmac.compare_digest(known.encode(), request.password):
            return self._answer(message, Code.INVALID_CREDENTIALS)
        self._identity = name
        return self._answer(message, Code.SUCCESS)

    def _extended(self, message: m.Message, request: m.ExtendedRequest) -> None:
        if request.oid == m.Oid.START_TLS:  # RFC 4511 section 4.14.2
            reason = "TLS is not set up here"
            return self._answer(message, Code.PROTOCOL_ERROR, reason, oid=m.Oid.START_TLS)
        if request.oid == m.Oid.WHO_AM_I:
            name = f"dn:{self._identity}" if self._identity else ""
            return self._answer(message, Code.SUCCESS, value=name.encode())
        if request.oid == m.Oid.CANCEL:
            return self._cancel(message, control_codec.cancel_target(request.value))
        return self._answer(message, Code.PROTOCOL_ERROR, f"extended operation {request.oid} is not supported")

    def _cancel(self, message: m.Message, target: int) -> None:
        """RFC 3909: unlike Abandon, both operations are answered."""
        if (queued := self._queue.get(target)) is not None:
            operation = queued.message.operation
            if (reason := lasting(operation)) is not None:
                return self._answer(message, Code.CANNOT_CANCEL, reason)
            self._unqueue(target)
            tag = int(m.RESPONSE_TAG[type(operation)])
        elif target in self._requests:
            tag = self._tags[target]
            self._take_back(target)
        else:
            return self._answer(message, Code.NO_SUCH_OPERATION)
        self._write(self._end.final(target, m.Result(tag, Code.CANCELED)))
        return self._answer(message, Code.SUCCESS)

    def _root(self, message: m.Message, request: m.SearchRequest) -> None:
        """The gateway's own root DSE (RFC 4512 section 5.1)."""
        held = {
            "objectClass": (b"top",),
            "supportedLDAPVersion": (b"3",),
            "namingContexts": tuple(name.encode() for name in self._options.naming_contexts),
            "supportedControl": tuple(oid.encode() for oid in sorted(PASSED_ON)),
            "supportedExtension": tuple(oid.encode() for oid in EXTENSIONS),
            "vendorName": (b"yardbank",),
        }
        named = {name.lower() for name in request.attributes}
        everything = not named or "*" in named or "+" in named
        shown = tuple((k, v) for k, v in held.items() if v and (everything or k.lower() in named))
        entry = codec.encode_operation(m.SearchEntry("", shown))
        self._write(self._end.part(message.id, codec.Envelope(message.id, m.Tag.ENTRY, entry, b"")))
        self._answer(message, Code.SUCCESS)


def _cancels(operation: m.Request | m.Response) -> bool:
    return isinstance(operation, m.ExtendedRequest) and operation.oid == m.Oid.CANCEL


def _password_entry(value: bytes | None) -> str:
    """Whose password is changed (RFC 3062 section 2); empty: the user's own."""
    if not value:
        return ""
    low, high = expect(value, 0, len(value), SEQUENCE, "passwdModify")
    if low < high:
        tag, first, last = header(value, low, high)
        if tag == 0x80:
            return text(value, first, last, "userIdentity")
    return ""


class LdapFrontFactory(Factory):
    """Makes a front for each client connection of one gateway."""

    noisy = False

    def __init__(self, gateway: Gateway, classifier: Classifier, options: FrontOptions) -> None:
        self.gateway, self.classifier, self.options = gateway, classifier, options
        self.log = gateway.log
        self.clients: dict[LdapFront, None] = {}
        self._closing: Deferred[None] | None = None
        self._numbers = count(1)

    def buildProtocol(self, addr: Any) -> LdapFront | None:  # noqa: N802
        """A front for a new client, unless the bound is reached."""
        if len(self.clients) >= self.options.max_connections:
            self.log.warning("client_connections_bound", bound=self.options.max_connections)
            return None
        return LdapFront(self, next(self._numbers))

    def left(self, client: LdapFront) -> None:
        """A connection is gone."""
        self.clients.pop(client, None)
        if not self.clients and self._closing is not None and not self._closing.called:
            self._closing.callback(None)

    def close_all(self, reactor: Any) -> Deferred[None]:
        """Close every client connection in good order.

        Fires when all last words are written, or have had their time: a process that ends sooner takes them with it.
        """
        self._closing = Deferred()
        self._closing.addTimeout(LAST_WORDS, reactor, onTimeoutCancel=lambda result, timeout: self.abort_all())
        for client in list(self.clients):
            client.close_when_done()
        if not self.clients and not self._closing.called:
            self._closing.callback(None)
        return self._closing

    def abort_all(self) -> None:
        """Cut every client connection without a word."""
        for client in list(self.clients):
            client.transport.abortConnection()
