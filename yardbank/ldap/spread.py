"""Executes searches that span groups: sends the parts that ``yardbank.spread`` selects and merges their results."""

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
from yardbank.ldap.classify import Classification
from yardbank.ldap.exchange import Exchange
from yardbank.ldap.match import matches, wanted_attributes, without_values
from yardbank.spread import (
    Budget,
    CookieError,
    Coverage,
    GroupScope,
    MergedSearch,
    Pages,
    Part,
    Tree,
    Verdict,
    search_identity,
)
from yardbank.spread.tree import glue_attributes

if TYPE_CHECKING:
    from yardbank.gateway.gateway import Gateway

SORT_CONTROLS = frozenset((m.Oid.SORT, m.Oid.VIRTUAL_LIST))
_MIN_PART_BUFFER_OCTETS = 4096  # buffered for one part, however many there are


class Client(Protocol):
    """The client connection that a search came from."""

    gateway: Gateway

    @property
    def reading(self) -> bool:
        """Whether the client reads what is written to it."""

    def present(self, number: int) -> bool:
        """Whether the client is connected and still wants an answer to a request."""

    def send_part(self, number: int, payload: codec.Envelope) -> None:
        """Writes an entry, a reference or an intermediate response."""

    def finish(self, number: int, result: m.Result | codec.Envelope, controls: tuple[m.Control, ...] = ()) -> None:
        """Writes the final response."""


def cross_group_coverage(tree: Tree, request: m.SearchRequest, base: str) -> Coverage | None:
    """The coverage of a search, or None if one group can answer it alone."""
    if not tree.has_suffixes_below(base):
        return None
    coverage = tree.coverage(base, int(request.scope))
    single = len(coverage.group_scopes) == 1 and not coverage.glue and not coverage.group_scopes[0].excluded
    return None if single and coverage.group_scopes[0].base == base else coverage


def glue_entry(configured: str, request: m.SearchRequest) -> m.SearchEntry | None:
    """A glue entry as the result of a search; None if the filter does not match it."""
    attributes = glue_attributes(configured)
    values_by_name = {name.lower(): values for name, values in attributes}
    if not matches(request.filter, lambda name: values_by_name.get(name.lower(), ())):
        return None
    selected = tuple(wanted_attributes(attributes, request))
    return m.SearchEntry(configured, without_values(selected) if request.types_only else selected)


class FanOut:
    """Sends the parts of all of one client's searches that span groups, within one budget."""

    def __init__(self, client: Client, parts: int, memory: int) -> None:
        """At most ``parts`` in flight, for which at most ``memory`` octets are buffered in total."""
        self.client = client
        self.budget: Budget[Search] = Budget(parts)
        self.part_buffer_octets = max(_MIN_PART_BUFFER_OCTETS, memory // parts)
        self._sending = False

    def send_parts(self) -> None:
        """Sends parts while the budget allows it, the client reads, and a search has parts to send."""
        if self._sending:  # a part may end while it is being sent; the running loop then sends the next one
            return
        self._sending = True
        try:
            while self.client.reading and (search := self.budget.next_search()) is not None:
                search.send_next()
        finally:
            self._sending = False


@dataclass(slots=True, frozen=True)
class _PartQuery:
    """One part: what to search, and as which class."""

    group_scope: GroupScope
    classification: Classification


class _PartSink:
    """Passes the answer to one part to its search; a ``gateway.api.Sink``."""

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
    """One search over several groups, from its request to its final response."""

    def __init__(
        self,
        fan_out: FanOut,
        message: m.Message,
        request: m.SearchRequest,
        parts: list[tuple[GroupScope, Classification]],
        session: str | None,
    ) -> None:
        self._fan_out, self._client, self._gateway = fan_out, fan_out.client, fan_out.client.gateway
        self._id, self._request, self._session = message.id, request, session
        self._controls = tuple(c for c in message.controls if c.oid not in SORT_CONTROLS)
        self._sort_requested = any(c.oid in SORT_CONTROLS for c in message.controls)
        self._part_queries = [_PartQuery(group_scope, classification) for group_scope, classification in parts]
        classes = [self._gateway.request_class(classification.class_name) for _, classification in parts]
        self._parts = [
            Part(group_scope.suffix, group_scope.base, request_class.priority_weight, group_scope.excluded)
            for (group_scope, _), request_class in zip(parts, classes, strict=True)
        ]
        allowed = [
            classification.deadline or request_class.deadline
            for (_, classification), request_class in zip(parts, classes, strict=True)
        ]
        self._deadline = min(allowed, default=SECOND)
        self._pages: Pages | None = None
        self._server_cookie = b""  # the server's cookie for the current part of a page
        self._first_part = 0  # index among all parts of the first part of ``_merge``
        self._gateway_ids: dict[int, str] = {}
        self._finished = False
        self._started_at = self._gateway.now()
        self._deadline_at = self._started_at + self._deadline
        self._merge = self._new_merge(0, len(parts))
        self._cancel_timer = self._gateway.call_at(self._merge.ends_at, self._time_out)

    def _new_merge(self, first: int, stop: int) -> MergedSearch:
        now = self._gateway.now()
        limit = self._request.time_limit * SECOND
        return MergedSearch(
            self._parts[first:stop],
            now,
            max(1, self._deadline_at - now),
            size_limit=self._request.size_limit,
            time_limit=max(1, self._started_at + limit - now) if limit else 0,
        )

    def start(self, glue: tuple[str, ...], tree: Tree, raw: codec.Envelope) -> None:
        """Sends the matching glue entries, then the first parts."""
        glue_entries = [e for name in glue if (e := glue_entry(tree.glue(name) or name, self._request)) is not None]
        paged = next((c for c in self._controls if c.oid == m.Oid.PAGED_RESULTS), None)
        if paged is not None:
            self._controls = tuple(c for c in self._controls if c is not paged)
            size, cookie = control_codec.read_paged_value(paged.value or b"")
            suffixes = "\n".join(query.group_scope.base for query in self._part_queries).encode()
            identity = search_identity(raw.operation, suffixes)
            try:
                self._pages = Pages(identity, len(self._part_queries), len(glue_entries), size, cookie)
            except CookieError as problem:
                return self._finish(Code.UNWILLING, str(problem))
            if size == 0 and cookie:  # the client abandons the paged search (RFC 2696 section 3)
                self._pages = None
                return self._finish(Code.SUCCESS, "", (_paged(b""),))
            glue_entries = [glue_entries[index] for index in self._pages.glue_entries()]
            if not self._pages.finished:
                self._start_page_part()
        for entry in glue_entries:
            if self._pages is None and self._merge.add_glue_entry() is not Verdict.PASS:
                break
            data = codec.encode_operation(entry)
            self._client.send_part(self._id, codec.Envelope(self._id, m.Tag.ENTRY, data, b""))
        if self._pages is not None and self._pages.page_complete:
            return self._finish(Code.SUCCESS)
        self._merge.glue_entries_done()
        return self._advance()

    def _start_page_part(self) -> None:
        assert self._pages is not None
        self._first_part, self._server_cookie = self._pages.part, b""
        self._merge = self._new_merge(self._first_part, self._first_part + 1)

    def send_next(self) -> None:
        """Sends the next part; called when it is this search's turn."""
        part_request = self._merge.next_part(
            self._gateway.now(), self._fan_out.budget.reduced or self._gateway.strained
        )
        if part_request is None:
            self._fan_out.budget.dequeue(self)
            self._advance()
            return
        if not self._merge.waiting:
            self._fan_out.budget.dequeue(self)
        query = self._part_queries[self._first_part + part_request.index]
        controls, size_limit = self._controls, part_request.size_limit
        if self._pages is not None:
            value = control_codec.paged_value(self._pages.remaining, self._pages.server_cookie)
            controls = (*controls, m.Control(m.Oid.PAGED_RESULTS, True, value))
        request = replace(
            self._request, base=query.group_scope.base, scope=query.group_scope.scope, size_limit=size_limit
        )
        operation = codec.encode_operation(request)
        exchange = Exchange(request, m.Tag.SEARCH, operation, control_codec.encode_controls(controls), False)
        call = Call(
            class_name=query.classification.class_name,
            group=query.group_scope.group,
            operation=exchange,
            sink=_PartSink(self, part_request.index),
            session=self._session,
            time_limit=part_request.time_limit,
            gather=self._fan_out.part_buffer_octets,
            present=partial(self._client.present, self._id),
        )
        self._fan_out.budget.part_sent()
        self._gateway_ids[part_request.index] = ""
        number = self._gateway.take(call)
        if part_request.index in self._gateway_ids:  # otherwise it has already ended
            self._gateway_ids[part_request.index] = number

    # Results of the parts

    def on_part(self, index: int, payload: codec.Envelope) -> None:
        """Handles an entry, a continuation reference or an intermediate response of a part."""
        if payload.tag == m.Tag.ENTRY:
            name = codec.entry_name(payload.operation)
            folded = naming.fold(name.decode("utf-8", "replace")) if self._merge.parts[index].excluded else ""
            verdict = self._merge.entry(index, xxhash.xxh3_64_intdigest(name), folded)
            if verdict is Verdict.PASS:
                self._client.send_part(self._id, payload)
            elif verdict is Verdict.END:
                self._advance()
        elif payload.tag == m.Tag.REFERENCE:
            reference = codec.decode_operation(payload.operation)
            assert isinstance(reference, m.SearchReference)
            self._send_reference(reference.uris)
        elif self._merge.final_result is None:
            self._client.send_part(self._id, payload)

    def _send_reference(self, uris: tuple[str, ...]) -> None:
        if uris and self._merge.reference(uris, [_dn_in_url(uri) for uri in uris]):
            data = codec.encode_operation(m.SearchReference(uris))
            self._client.send_part(self._id, codec.Envelope(self._id, m.Tag.REFERENCE, data, b""))

    def on_done(self, index: int, payload: codec.Envelope) -> None:
        """Handles a server's final response to a part."""
        result = codec.decode_operation(payload.operation)
        assert isinstance(result, m.Result)
        if result.code == Code.REFERRAL:
            self._send_reference(result.referrals)
        if self._pages is not None:
            paged_control = next(
                (c for c in control_codec.decode_controls(payload.controls) if c.oid == m.Oid.PAGED_RESULTS), None
            )
            self._server_cookie = (
                control_codec.read_paged_value(paged_control.value)[1] if paged_control and paged_control.value else b""
            )
        self._part_ended(index, served=True)
        self._merge.done(index, result.code, result.diagnostic)
        self._advance()

    def on_refused(self, index: int, reason: str) -> None:
        """Handles a part that admission turned away."""
        self._part_ended(index, refused=True)
        self._merge.refused(index, reason)
        self._advance()

    def on_failed(self, index: int, reason: str) -> None:
        """Handles a part that failed."""
        self._part_ended(index)
        self._merge.failed(index, reason, self._gateway.now())
        self._advance()

    def _part_ended(self, index: int, **how: bool) -> None:
        if self._gateway_ids.pop(index, None) is not None:
            budget = self._fan_out.budget
            before = budget.window
            budget.part_ended(**how)
            if budget.window < before:
                self._gateway.log.info("spread_parts_fewer", at_once=budget.window, before=before)

    def _time_out(self) -> None:
        self._merge.time_out()
        self._advance()

    def abandon(self) -> None:
        """The client is gone or wants no answer: ends all parts."""
        self._merge.cancel()
        self._close()

    # Completion

    def _advance(self) -> None:
        if self._finished:
            return
        final_result = self._merge.final_result
        if final_result is None:
            if self._merge.waiting:
                self._fan_out.budget.enqueue(self)
            self._fan_out.send_parts()
            return
        if self._pages is not None and final_result.code == Code.SUCCESS and self._part_queries:
            self._pages.part_answered(self._merge.passed, self._server_cookie)
            if not self._pages.page_complete:
                self._start_page_part()
                self._fan_out.budget.enqueue(self)
                self._fan_out.send_parts()
                return
        self._finish(final_result.code, final_result.diagnostic, missing=final_result.missing)

    def _finish(
        self, code: int, diagnostic: str = "", controls: tuple[m.Control, ...] = (), missing: tuple[str, ...] = ()
    ) -> None:
        if self._finished:
            return
        if self._pages is not None and code == Code.SUCCESS:
            controls = (*controls, _paged(self._pages.cookie()))
        if self._sort_requested:  # entries are not sorted, which the response must say (RFC 2891 section 2)
            controls = (*controls, m.Control(m.Oid.SORT_RESULT, False, control_codec.sort_result(Code.UNWILLING)))
        if missing:
            self._gateway.log.warning(
                "spread_search_incomplete", code=int(code), missing=missing[:20], parts=len(self._part_queries)
            )
        self._close()
        self._client.finish(self._id, m.Result(m.Tag.DONE, code, diagnostic=diagnostic), controls)
        self._fan_out.send_parts()

    def _close(self) -> None:
        if self._finished:
            return
        self._finished = True
        self._cancel_timer()
        self._fan_out.budget.dequeue(self)
        numbers, self._gateway_ids = self._gateway_ids, {}
        for number in numbers.values():
            self._fan_out.budget.part_ended()
            if number:
                self._gateway.leave(number)


def _paged(cookie: bytes) -> m.Control:
    return m.Control(m.Oid.PAGED_RESULTS, False, control_codec.paged_value(0, cookie))


def _dn_in_url(uri: str) -> str:
    """The folded DN in an LDAP URL (RFC 4516); empty if it has none."""
    _, _, rest = uri.partition("://")
    _, _, path = rest.partition("/")
    return naming.fold(unquote(path.partition("?")[0]))


__all__ = ["SORT_CONTROLS", "FanOut", "Search", "cross_group_coverage", "glue_entry"]
