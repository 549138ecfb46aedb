"""Carries out searches that span groups: sends the parts that ``yardbank.spread`` names, merges what they bring."""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING, Protocol
from urllib.parse import unquote

import xxhash

from yardbank.directory import naming
from yardbank.directory.codes import Code
from yardbank.gateway.api import SECOND, Call
from yardbank.ldap import codec, control_codec
from yardbank.ldap import messages as m
from yardbank.ldap.classify import Placed
from yardbank.ldap.exchange import Exchange
from yardbank.ldap.match import matches, wanted_attributes, without_values
from yardbank.spread import Budget, CookieError, Pages, Part, Piece, Reach, Spread, Tree, Verdict, identity_of
from yardbank.spread.tree import glue_attributes

if TYPE_CHECKING:
    from yardbank.gateway.gateway import Gateway

SORTED = frozenset((m.Oid.SORT, m.Oid.VIRTUAL_LIST))
_LEAST_KEPT = 4096  # octets of one part


class Client(Protocol):
    """The connection that asked."""

    gateway: Gateway

    @property
    def reading(self) -> bool:
        """Whether the client takes what is written to it."""

    def present(self, number: int) -> bool:
        """Whether it is there and still wants an answer to a request."""

    def pass_part(self, number: int, payload: codec.Envelope) -> None:
        """An entry or a reference."""

    def finish(self, number: int, result: m.Result | codec.Envelope, controls: tuple[m.Control, ...] = ()) -> None:
        """The final answer."""


def spans(tree: Tree, request: m.SearchRequest, base: str) -> Reach | None:
    """What a search reaches, if that is not simply one group's."""
    if not tree.divided(base):
        return None
    reach = tree.reach(base, int(request.scope))
    alone = len(reach.pieces) == 1 and not reach.glue and not reach.pieces[0].shadows
    return None if alone and reach.pieces[0].base == base else reach


def glue_entry(written: str, request: m.SearchRequest) -> m.SearchEntry | None:
    """A glue entry as a search shows it; None if the filter does not find it."""
    attributes = glue_attributes(written)
    held = {name.lower(): values for name, values in attributes}
    if not matches(request.filter, lambda name: held.get(name.lower(), ())):
        return None
    shown = tuple(wanted_attributes(attributes, request))
    return m.SearchEntry(written, without_values(shown) if request.types_only else shown)


class Fan:
    """All of one client's searches that span groups, under one budget."""

    def __init__(self, client: Client, parts: int, memory: int) -> None:
        """``parts`` out at once, of which ``memory`` octets in all are kept back."""
        self.client = client
        self.budget: Budget[Search] = Budget(parts)
        self.gather = max(_LEAST_KEPT, memory // parts)
        self._pumping = False

    def pump(self) -> None:
        """Send parts while there is room, the client reads, and somebody's turn it is."""
        if self._pumping:  # a part may end while it is sent: the loop below goes on
            return
        self._pumping = True
        try:
            while self.client.reading and (search := self.budget.turn()) is not None:
                search.send_next()
        finally:
            self._pumping = False


@dataclass(slots=True, frozen=True)
class _Sent:
    """One part as it is asked."""

    piece: Piece
    placed: Placed


class _PartSink:
    """Takes one part's answer; a ``gateway.api.Sink``."""

    __slots__ = ("_index", "_search")

    def __init__(self, search: Search, index: int) -> None:
        self._search, self._index = search, index

    def part(self, payload: codec.Envelope) -> None:
        self._search.on_part(self._index, payload)

    def served(self, payload: codec.Envelope) -> None:
        self._search.on_done(self._index, payload)

    def refused(self, retry_after: int, reason: str) -> None:
        self._search.on_refused(self._index, reason)

    def failed(self, reason: str) -> None:
        self._search.on_failed(self._index, reason)


class Search:
    """One search over several groups, from its request to its one final answer."""

    def __init__(
        self,
        fan: Fan,
        message: m.Message,
        request: m.SearchRequest,
        parts: list[tuple[Piece, Placed]],
        session: str | None,
    ) -> None:
        self._fan, self._client, self._gateway = fan, fan.client, fan.client.gateway
        self._id, self._request, self._session = message.id, request, session
        self._controls = tuple(c for c in message.controls if c.oid not in SORTED)
        self._sorted = any(c.oid in SORTED for c in message.controls)
        self._sent = [_Sent(piece, placed) for piece, placed in parts]
        kinds = [self._gateway.request_class(placed.class_name) for _, placed in parts]
        self._merged = [
            Part(piece.suffix, piece.base, kind.priority_weight, piece.shadows)
            for (piece, _), kind in zip(parts, kinds, strict=True)
        ]
        allowed = [placed.deadline or kind.deadline for (_, placed), kind in zip(parts, kinds, strict=True)]
        self._deadline = min(allowed, default=SECOND)
        self._pages: Pages | None = None
        self._inner = b""  # the cookie that came with the part of a page
        self._base = 0  # where the parts of ``_spread`` begin among all parts
        self._numbers: dict[int, str] = {}
        self._finished = False
        self._taken_at = self._gateway.now()
        self._until = self._taken_at + self._deadline
        self._spread = self._make(0, len(parts))
        self._call_off = self._gateway.call_at(self._spread.until, self._overdue)

    def _make(self, first: int, stop: int) -> Spread:
        now = self._gateway.now()
        limit = self._request.time_limit * SECOND
        return Spread(
            self._merged[first:stop],
            now,
            max(1, self._until - now),
            size_limit=self._request.size_limit,
            time_limit=max(1, self._taken_at + limit - now) if limit else 0,
        )

    def start(self, glue: tuple[str, ...], tree: Tree, raw: codec.Envelope) -> None:
        """The gateway's own entries first, then the parts."""
        own = [e for name in glue if (e := glue_entry(tree.glue(name) or name, self._request)) is not None]
        paged = next((c for c in self._controls if c.oid == m.Oid.PAGED_RESULTS), None)
        if paged is not None:
            self._controls = tuple(c for c in self._controls if c is not paged)
            size, cookie = control_codec.read_paged_value(paged.value or b"")
            suffixes = "\n".join(sent.piece.base for sent in self._sent).encode()
            identity = identity_of(raw.operation, suffixes)
            try:
                self._pages = Pages(identity, len(self._sent), len(own), size, cookie)
            except CookieError as problem:
                return self._finish(Code.UNWILLING, str(problem))
            if size == 0 and cookie:  # the client has seen enough (RFC 2696 section 3)
                self._pages = None
                return self._finish(Code.SUCCESS, "", (_paged(b""),))
            own = [own[index] for index in self._pages.own()]
            if not self._pages.over:
                self._next_of_page()
        for entry in own:
            if self._pages is None and self._spread.own() is not Verdict.PASS:
                break
            data = codec.encode_operation(entry)
            self._client.pass_part(self._id, codec.Envelope(self._id, m.Tag.ENTRY, data, b""))
        if self._pages is not None and self._pages.full:
            return self._finish(Code.SUCCESS)
        self._spread.begin()
        return self._go_on()

    def _next_of_page(self) -> None:
        assert self._pages is not None
        self._base, self._inner = self._pages.at, b""
        self._spread = self._make(self._base, self._base + 1)

    def send_next(self) -> None:
        """Send one part; called when it is this search's turn."""
        ask = self._spread.next(self._gateway.now(), self._fan.budget.strained or self._gateway.strained)
        if ask is None:
            self._fan.budget.leave(self)
            self._go_on()
            return
        if not self._spread.waiting:
            self._fan.budget.leave(self)
        sent = self._sent[self._base + ask.index]
        controls, size_limit = self._controls, ask.size_limit
        if self._pages is not None:
            value = control_codec.paged_value(self._pages.left, self._pages.inner)
            controls = (*controls, m.Control(m.Oid.PAGED_RESULTS, True, value))
        request = replace(self._request, base=sent.piece.base, scope=sent.piece.scope, size_limit=size_limit)
        operation = codec.encode_operation(request)
        exchange = Exchange(request, m.Tag.SEARCH, operation, control_codec.encode_controls(controls), False)
        call = Call(
            class_name=sent.placed.class_name,
            group=sent.piece.group,
            operation=exchange,
            sink=_PartSink(self, ask.index),
            session=self._session,
            time_limit=ask.time_limit,
            gather=self._fan.gather,
            present=partial(self._client.present, self._id),
        )
        self._fan.budget.sent()
        self._numbers[ask.index] = ""
        number = self._gateway.take(call)
        if ask.index in self._numbers:  # not ended already
            self._numbers[ask.index] = number

    # What a part brings

    def on_part(self, index: int, payload: codec.Envelope) -> None:
        """An entry, a continuation reference or an intermediate response."""
        if payload.tag == m.Tag.ENTRY:
            name = codec.entry_name(payload.operation)
            folded = naming.fold(name.decode("utf-8", "replace")) if self._spread.parts[index].shadows else ""
            verdict = self._spread.entry(index, xxhash.xxh3_64_intdigest(name), folded)
            if verdict is Verdict.PASS:
                self._client.pass_part(self._id, payload)
            elif verdict is Verdict.END:
                self._go_on()
        elif payload.tag == m.Tag.REFERENCE:
            reference = codec.decode_operation(payload.operation)
            assert isinstance(reference, m.SearchReference)
            self._continue(reference.uris)
        elif self._spread.ending is None:
            self._client.pass_part(self._id, payload)

    def _continue(self, uris: tuple[str, ...]) -> None:
        if uris and self._spread.reference(uris, [_name_in(uri) for uri in uris]):
            data = codec.encode_operation(m.SearchReference(uris))
            self._client.pass_part(self._id, codec.Envelope(self._id, m.Tag.REFERENCE, data, b""))

    def on_done(self, index: int, payload: codec.Envelope) -> None:
        """A server's final answer to a part."""
        result = codec.decode_operation(payload.operation)
        assert isinstance(result, m.Result)
        if result.code == Code.REFERRAL:
            self._continue(result.referrals)
        if self._pages is not None:
            told = next(
                (c for c in control_codec.decode_controls(payload.controls) if c.oid == m.Oid.PAGED_RESULTS), None
            )
            self._inner = control_codec.read_paged_value(told.value)[1] if told and told.value else b""
        self._ended(index, served=True)
        self._spread.done(index, result.code, result.diagnostic)
        self._go_on()

    def on_refused(self, index: int, reason: str) -> None:
        """The module turned a part away."""
        self._ended(index, refused=True)
        self._spread.refused(index, reason)
        self._go_on()

    def on_failed(self, index: int, reason: str) -> None:
        """A part failed."""
        self._ended(index)
        self._spread.failed(index, reason, self._gateway.now())
        self._go_on()

    def _ended(self, index: int, **how: bool) -> None:
        if self._numbers.pop(index, None) is not None:
            budget = self._fan.budget
            before = budget.window
            budget.ended(**how)
            if budget.window < before:
                self._gateway.log.info("spread_parts_fewer", at_once=budget.window, before=before)

    def _overdue(self) -> None:
        self._spread.overdue()
        self._go_on()

    def leave(self) -> None:
        """The client is gone, or wants no answer: no part goes on."""
        self._spread.give_up()
        self._close()

    # Its end

    def _go_on(self) -> None:
        if self._finished:
            return
        ending = self._spread.ending
        if ending is None:
            if self._spread.waiting:
                self._fan.budget.join(self)
            self._fan.pump()
            return
        if self._pages is not None and ending.code == Code.SUCCESS and self._sent:
            self._pages.ended(self._spread.passed, self._inner)
            if not self._pages.full:
                self._next_of_page()
                self._fan.budget.join(self)
                self._fan.pump()
                return
        self._finish(ending.code, ending.diagnostic, missing=ending.missing)

    def _finish(
        self, code: int, diagnostic: str = "", controls: tuple[m.Control, ...] = (), missing: tuple[str, ...] = ()
    ) -> None:
        if self._finished:
            return
        if self._pages is not None and code == Code.SUCCESS:
            controls = (*controls, _paged(self._pages.cookie()))
        if self._sorted:  # entries came as they were found: say so (RFC 2891 section 2)
            controls = (*controls, m.Control(m.Oid.SORT_RESULT, False, control_codec.sort_result(Code.UNWILLING)))
        if missing:
            self._gateway.log.warning(
                "spread_search_incomplete", code=int(code), missing=missing[:20], parts=len(self._sent)
            )
        self._close()
        self._client.finish(self._id, m.Result(m.Tag.DONE, code, diagnostic=diagnostic), controls)
        self._fan.pump()

    def _close(self) -> None:
        if self._finished:
            return
        self._finished = True
        self._call_off()
        self._fan.budget.leave(self)
        numbers, self._numbers = self._numbers, {}
        for number in numbers.values():
            self._fan.budget.ended()
            if number:
                self._gateway.leave(number)


def _paged(cookie: bytes) -> m.Control:
    return m.Control(m.Oid.PAGED_RESULTS, False, control_codec.paged_value(0, cookie))


def _name_in(uri: str) -> str:
    """The folded name that an LDAP URL leads to (RFC 4516); empty if it says none."""
    _, _, rest = uri.partition("://")
    _, _, path = rest.partition("/")
    return naming.fold(unquote(path.partition("?")[0]))


__all__ = ["SORTED", "Fan", "Search", "glue_entry", "spans"]
