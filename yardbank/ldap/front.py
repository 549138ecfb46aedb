"""Accepts LDAP clients, serves their requests and writes the responses."""

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
from yardbank.ldap.classify import Classifier, old_and_new_dn, result_outside_groups, target_dn
from yardbank.ldap.exchange import Exchange, prepare
from yardbank.ldap.intake import Intake
from yardbank.ldap.partial_requests import PartialRequests
from yardbank.ldap.spread import SORT_CONTROLS, FanOut, Search, cross_group_coverage
from yardbank.ldap.state import Asked, Broken, ServerEnd, notice_of_disconnection, uncancellable_reason
from yardbank.spread import Coverage

PRE_READ = "1.3.6.1.1.13.1"
FORWARDED_CONTROLS = frozenset((m.Oid.POST_READ, PRE_READ, m.Oid.ASSERTION, m.Oid.MANAGE_DSA_IT, m.Oid.PAGED_RESULTS))
LAST_WORDS = 1.0  # seconds in which a client must read what was written to it when the gateway stops
MAX_MESSAGE_ID = 0x7FFFFFFF  # the highest message ID (RFC 4511 section 4.1.1.1)
EXTENSIONS = (m.Oid.CANCEL, m.Oid.WHO_AM_I, m.Oid.PASSWORD_MODIFY)


@dataclass(slots=True, frozen=True)
class FrontOptions:
    """Settings of a listener for clients."""

    identities: Mapping[str, str] = field(default_factory=dict)  # password by folded bind DN
    anonymous: bool = False  # whether operations are allowed without a bind
    session_by: str = "connection"  # or "identity"
    naming_contexts: tuple[str, ...] = ()
    max_message: int = 4 << 20
    max_partial: int = 64 << 20  # octets of incomplete requests of all clients together
    max_outstanding: int = 1000
    max_unread: int = 4 << 20  # octets buffered for a client that does not read
    max_connections: int = 50_000
    parts: int = 16  # per client, concurrent parts of searches that span groups
    parts_memory: int = 4 << 20  # octets buffered for all of these parts together


class _ResponseSink:
    """Passes the answer to one request to its connection; a ``gateway.api.Sink``."""

    __slots__ = ("_client", "_exchange", "_number", "_time_limit", "_until")

    def __init__(self, client: LdapFront, number: int, exchange: Exchange, until: int) -> None:
        self._client, self._number, self._exchange, self._until = client, number, exchange, until

    def part(self, payload: codec.Envelope) -> None:
        self._client.send_part(self._number, payload)

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
    """Result code and reason if a request cannot be served with its controls; None if it can."""
    for control in controls:
        if control.oid == m.Oid.PROXIED_AUTHORIZATION:  # it would run with the gateway's own rights
            return Code.INSUFFICIENT_ACCESS, "proxied authorization is not allowed"
        if control.critical and control.oid not in FORWARDED_CONTROLS and control.oid not in SORT_CONTROLS:
            return Code.UNAVAILABLE_CRITICAL_EXTENSION, f"control {control.oid} is not supported"
    return None


@implementer(IPushProducer)
class LdapFront(Intake):
    """The connection of one client."""

    def __init__(self, factory: LdapFrontFactory, number: int) -> None:
        self.gateway = factory.gateway
        self._factory = factory
        self._number = number
        options = factory.options
        super().__init__(ServerEnd(options.max_message, MAX_MESSAGE_ID), options.max_outstanding, factory.log)
        self._identity = ""
        self._requests: dict[int, str | Search] = {}  # by message ID; str: the gateway's request ID
        self._response_tags: dict[int, int] = {}  # by message ID: the tag of the response
        self._unread: int | None = None  # octets written since the client stopped reading; None while it reads
        self._fan_out: FanOut | None = None  # created at the first search that spans groups

    @property
    def reading(self) -> bool:  # type: ignore[override]
        """Whether the client reads what is written to it."""
        return self._unread is None

    @property
    def _options(self) -> FrontOptions:
        """The current options; settings may change while the client is connected."""
        return self._factory.options

    # Transport callbacks

    def connectionMade(self) -> None:  # noqa: N802
        """Registers the connection, and itself as the producer to be paused when the client does not read."""
        assert self.transport is not None
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._factory.clients[self] = None

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008, N802
        """The connection is closed: drops its requests."""
        self._factory.connection_closed(self)
        self._drop_requests()

    def pauseProducing(self) -> None:  # noqa: N802
        """The client does not read: stops reading from it as well."""
        if self._unread is None:  # the transport repeats this call at each write
            self._unread = 0
        if self.transport is not None:
            self.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """The client reads again: continues to read and to serve its requests."""
        self._unread = None
        if self.transport is not None and not self._closing:
            self.transport.resumeProducing()
        if self._fan_out is not None:
            self._fan_out.send_parts()
        self._serve_queue()

    def stopProducing(self) -> None:  # noqa: N802
        """The connection has ended: drops its requests."""
        self._drop_requests()

    def _write(self, data: bytes) -> None:
        if not data or self.transport is None:
            return
        if self._unread is not None:
            self._unread += len(data)
            if self._unread > self._options.max_unread:
                self._factory.log.warning("slow_client_dropped", client=self._number, unread=self._unread)
                self._drop_requests()
                self.transport.abortConnection()
                return
        self.transport.write(data)

    def _close(self) -> None:
        self._closing = True
        if self.transport is not None:
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def _drop_requests(self) -> None:
        self._end.close()
        self._clear_queue()
        requests, self._requests = self._requests, {}
        self._response_tags.clear()
        for ongoing in requests.values():
            self._release(ongoing)

    def _end_with_notice(self, event: Broken) -> None:
        self._factory.log.warning("client_broke_protocol", client=self._number, reason=event.reason)
        self._drop_requests()
        self._write(event.notice)
        self._close()

    def _limit_partial_requests(self, octets: int) -> None:
        for client in self._factory.partial_requests.received(self, octets):
            client.give_way()

    def give_way(self) -> None:
        """Ends the connection, whose incomplete request makes no progress and keeps memory from others."""
        self._factory.log.warning("client_partial_bound", client=self._number, bound=self._options.max_partial)
        self._drop_requests()
        self._write(notice_of_disconnection(Code.BUSY, "no memory for a request that makes no progress"))
        self._close()

    def _gateway_has(self, number: int) -> bool:
        return number in self._requests

    def _withdraw(self, number: int) -> None:
        if (ongoing := self._requests.pop(number, None)) is not None:
            self._response_tags.pop(number, None)
            self._withdrawn.append(ongoing)

    def _release(self, ongoing: str | Search) -> None:
        if isinstance(ongoing, Search):
            ongoing.abandon()
        else:
            self.gateway.leave(ongoing)

    def close_when_done(self) -> None:
        """Sends the notice that the gateway is stopping, and closes once it is written."""
        self._end.close()
        self._write(notice_of_disconnection(Code.UNAVAILABLE, "the gateway is stopping"))
        self._close()

    # Responses

    def send_part(self, number: int, payload: codec.Envelope) -> None:
        """Writes an entry, a reference or an intermediate response."""
        self._write(self._end.part(number, payload))

    def finish(self, number: int, result: m.Result | codec.Envelope, controls: tuple[m.Control, ...] = ()) -> None:
        """Writes the final response to a request that the gateway had."""
        self._requests.pop(number, None)
        self._response_tags.pop(number, None)
        self._write(self._end.final(number, result, controls))

    def _answer(self, message: m.Message, code: int, reason: str = "", **more: Any) -> None:
        tag = m.RESPONSE_TAG[type(message.operation)]
        self._requests.pop(message.id, None)
        self._write(self._end.final(message.id, m.Result(tag, code, diagnostic=reason, **more)))

    # Requests

    def _serve(self, event: Asked) -> None:
        if len(self._requests) >= self._max_outstanding and not _is_cancel(event.message.operation):
            reason = f"more than {self._max_outstanding} operations outstanding"
            return self._end_with_notice(Broken(reason, notice_of_disconnection(Code.BUSY, reason)))
        try:
            self._serve_request(event.message, event.raw)
        except BerError as problem:
            self._answer(event.message, Code.PROTOCOL_ERROR, str(problem))
        except Exception as problem:
            self._factory.log.error("front_error", error=repr(problem), exc_info=True)
            self._answer(event.message, Code.OTHER, "internal error")
        return None

    def _serve_request(self, message: m.Message, raw: codec.Envelope) -> None:
        """Serves one request by the gateway itself, by one group, or by several."""
        operation = message.operation
        if isinstance(operation, m.BindRequest):
            return self._bind(message, operation)
        if (refusal := _refused_control(message.controls)) is not None:
            return self._answer(message, *refusal)
        entry = None
        if isinstance(operation, m.ExtendedRequest):
            if operation.oid != m.Oid.PASSWORD_MODIFY:
                return self._extended(message, operation)
            entry = naming.fold(_password_owner(operation.value) or self._identity)
        if isinstance(operation, m.SearchRequest) and not operation.base and operation.scope == Scope.BASE:
            return self._serve_root_dse(message, operation)
        if not self._identity and not self._options.anonymous:
            return self._answer(message, Code.INSUFFICIENT_ACCESS, "bind first")
        assert not isinstance(operation, m.Response)
        tree = self._factory.classifier.tree
        if isinstance(operation, m.SearchRequest) and (
            coverage := cross_group_coverage(tree, operation, naming.fold(operation.base))
        ):
            return self._search_across_groups(message, operation, raw, coverage)
        return self._serve_from_one_group(message, operation, raw, entry)

    def _serve_from_one_group(
        self, message: m.Message, operation: m.Request, raw: codec.Envelope, entry: str | None
    ) -> None:
        """Sends a request to the group that holds its entry."""
        if any(control.critical and control.oid in SORT_CONTROLS for control in message.controls):
            reason = "entries cannot be sorted here"
            return self._answer(message, Code.UNAVAILABLE_CRITICAL_EXTENSION, reason)
        if isinstance(operation, m.ModifyDNRequest) and self._factory.classifier.tree.moves_between_groups(
            *old_and_new_dn(operation)
        ):
            return self._answer(message, Code.AFFECTS_MULTIPLE_DSAS, "the entry would leave its group")
        classification = self._factory.classifier.place(operation, self._identity, entry)
        if classification.group is None:
            return self._serve_outside_groups(message, operation, target_dn(operation) if entry is None else entry)
        exchange = prepare(message, raw)
        limit = operation.time_limit * SECOND if isinstance(operation, m.SearchRequest) else 0
        until = self.gateway.now() + limit if limit else 0
        sink = _ResponseSink(self, message.id, exchange, until)
        call = Call(
            class_name=classification.class_name,
            group=classification.group,
            operation=exchange,
            sink=sink,
            session=self._session,
            time_limit=limit,
            present=partial(self.present, message.id),
        )
        self._requests[message.id] = ""
        self._response_tags[message.id] = m.RESPONSE_TAG[type(operation)]
        number = self.gateway.take(call)
        if message.id in self._requests:  # not answered already
            self._requests[message.id] = number
        return None

    @property
    def _session(self) -> str:
        by_identity = self._options.session_by == "identity" and self._identity
        return self._identity if by_identity else f"#{self._number}"

    def _serve_outside_groups(self, message: m.Message, operation: m.Request, entry: str) -> None:
        """Answers a request for an entry outside all groups: a glue entry, or one that does not exist."""
        code, matched = result_outside_groups(self._factory.classifier.tree, operation, entry)
        reason = {
            Code.NO_SUCH_OBJECT: f"no group holds {entry!r}",
            Code.UNWILLING: f"{entry!r} stands above the groups and cannot be changed",
        }
        return self._answer(message, code, reason.get(code, ""), matched=matched)

    def _search_across_groups(
        self, message: m.Message, request: m.SearchRequest, raw: codec.Envelope, coverage: Coverage
    ) -> None:
        """Starts a search that spans groups."""
        if any(control.critical and control.oid in SORT_CONTROLS for control in message.controls):
            reason = "entries of several groups cannot be sorted here"
            return self._answer(message, Code.UNWILLING, reason)
        classifier = self._factory.classifier
        if self._fan_out is None:
            self._fan_out = FanOut(self, self._options.parts, self._options.parts_memory)
        parts = [
            (part, classifier.place_search(part.group, part.base, request, part.scope, self._identity))
            for part in coverage.group_scopes
        ]
        search = Search(self._fan_out, message, request, parts, self._session)
        self._requests[message.id] = search
        self._response_tags[message.id] = m.Tag.DONE
        try:
            search.start(coverage.glue, classifier.tree, raw)
        except Exception:  # for example an invalid control: no part of the search may continue
            search.abandon()
            raise
        return None

    def _bind(self, message: m.Message, request: m.BindRequest) -> None:
        requests, self._requests = self._requests, {}  # section 4.2.1: a bind ends all earlier operations
        for other, ongoing in requests.items():
            self._release(ongoing)
            self._end.final(other, m.Result(self._response_tags.pop(other), Code.OTHER))
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
        """Serves a Cancel request. Unlike Abandon, both operations get a response (RFC 3909)."""
        if (queued := self._queue.get(target)) is not None:
            operation = queued.message.operation
            if (reason := uncancellable_reason(operation)) is not None:
                return self._answer(message, Code.CANNOT_CANCEL, reason)
            self._unqueue(target)
            tag = int(m.RESPONSE_TAG[type(operation)])
        elif target in self._requests:
            tag = self._response_tags[target]
            self._withdraw(target)
        else:
            return self._answer(message, Code.NO_SUCH_OPERATION)
        self._write(self._end.final(target, m.Result(tag, Code.CANCELED)))
        return self._answer(message, Code.SUCCESS)

    def _serve_root_dse(self, message: m.Message, request: m.SearchRequest) -> None:
        """Answers with the gateway's own root DSE (RFC 4512 section 5.1)."""
        attributes = {
            "objectClass": (b"top",),
            "supportedLDAPVersion": (b"3",),
            "namingContexts": tuple(name.encode() for name in self._options.naming_contexts),
            "supportedControl": tuple(oid.encode() for oid in sorted(FORWARDED_CONTROLS)),
            "supportedExtension": tuple(oid.encode() for oid in EXTENSIONS),
            "vendorName": (b"yardbank",),
        }
        requested = {name.lower() for name in request.attributes}
        all_attributes = not requested or "*" in requested or "+" in requested
        selected = tuple((k, v) for k, v in attributes.items() if v and (all_attributes or k.lower() in requested))
        entry = codec.encode_operation(m.SearchEntry("", selected))
        self._write(self._end.part(message.id, codec.Envelope(message.id, m.Tag.ENTRY, entry, b"")))
        self._answer(message, Code.SUCCESS)


def _is_cancel(operation: m.Request | m.Response) -> bool:
    return isinstance(operation, m.ExtendedRequest) and operation.oid == m.Oid.CANCEL


def _password_owner(value: bytes | None) -> str:
    """The DN whose password is changed (RFC 3062 section 2); empty for the client's own."""
    if not value:
        return ""
    low, high = expect(value, 0, len(value), SEQUENCE, "passwdModify")
    if low < high:
        tag, first, last = header(value, low, high)
        if tag == 0x80:
            return text(value, first, last, "userIdentity")
    return ""


class LdapFrontFactory(Factory):
    """Creates an ``LdapFront`` for each client connection of one gateway."""

    noisy = False

    def __init__(self, gateway: Gateway, classifier: Classifier, options: FrontOptions) -> None:
        self.gateway, self.classifier, self.options = gateway, classifier, options
        self.log = gateway.log
        self.clients: dict[LdapFront, None] = {}
        self.partial_requests: PartialRequests[LdapFront] = PartialRequests(options.max_partial)
        self._closing: Deferred[None] | None = None
        self._numbers = count(1)

    def buildProtocol(self, addr: Any) -> LdapFront | None:  # noqa: N802
        """Creates the protocol for a new client, unless the maximum of connections is reached."""
        if len(self.clients) >= self.options.max_connections:
            self.log.warning("client_connections_bound", bound=self.options.max_connections)
            return None
        return LdapFront(self, next(self._numbers))

    def connection_closed(self, client: LdapFront) -> None:
        """Removes a closed connection."""
        self.clients.pop(client, None)
        self.partial_requests.release(client)
        if not self.clients and self._closing is not None and not self._closing.called:
            self._closing.callback(None)

    def close_all(self, reactor: Any) -> Deferred[None]:
        """Closes every client connection after a notice of disconnection.

        Fires when all notices are written or the timeout has passed; a process that exits earlier would lose them.
        """
        self._closing = Deferred()
        self._closing.addTimeout(LAST_WORDS, reactor, onTimeoutCancel=lambda result, timeout: self.abort_all())
        for client in list(self.clients):
            client.close_when_done()
        if not self.clients and not self._closing.called:
            self._closing.callback(None)
        return self._closing

    def abort_all(self) -> None:
        """Aborts every client connection without a notice."""
        for client in list(self.clients):
            client.transport.abortConnection()
