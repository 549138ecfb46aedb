"""Rewrites requests for the server and interprets its responses. No I/O.

A write gets a post-read control (RFC 4527) that requests ``entryCSN``, the position of its commit; it is removed
from the response again unless the client asked for it too.
"""

from __future__ import annotations

from dataclasses import dataclass

from yardbank.directory.codes import Code
from yardbank.gateway.api import Reply
from yardbank.interface import Role
from yardbank.ldap import codec, control_codec, csn
from yardbank.ldap import messages as m
from yardbank.ldap.ber import BerError

COMMIT_POSITION_ATTRIBUTE = "entryCSN"
_WRITES = (m.AddRequest, m.ModifyRequest, m.ModifyDNRequest, m.DeleteRequest)
_WITH_POST_READ = (m.AddRequest, m.ModifyRequest, m.ModifyDNRequest)  # writes after which the entry still exists
_PLAIN_SUCCESS = codec.encode_operation(m.Result(m.Tag.DONE, Code.SUCCESS))[2:]  # the usual end of a search
_SERVER_ERRORS = frozenset((Code.OPERATIONS_ERROR, Code.UNAVAILABLE, Code.OTHER))


@dataclass(slots=True)
class Exchange:
    """One operation, encoded for any number of attempts."""

    request: m.Request
    tag: int
    operation: bytes
    controls: bytes
    write: bool
    added_control: bool = False  # the gateway added the post-read control
    added_attribute: bool = False  # the gateway added the attribute to the client's post-read control
    asserts: bool = False  # a read with an assertion control (RFC 4528), which may be false on a lagging replica


def prepare(message: m.Message, raw: codec.Envelope) -> Exchange:
    """Builds the exchange for a client's message."""
    request = message.operation
    assert not isinstance(request, m.Response)
    write = isinstance(request, (*_WRITES, m.ExtendedRequest))
    if not isinstance(request, _WITH_POST_READ):
        asserts = not write and any(control.oid == m.Oid.ASSERTION for control in message.controls)
        return Exchange(request, raw.tag, raw.operation, raw.controls, write, asserts=asserts)
    controls, post_read = list(message.controls), next((c for c in message.controls if c.oid == m.Oid.POST_READ), None)
    if post_read is None:
        controls.append(
            m.Control(m.Oid.POST_READ, False, control_codec.post_read_request((COMMIT_POSITION_ATTRIBUTE,)))
        )
        return Exchange(request, raw.tag, raw.operation, control_codec.encode_controls(tuple(controls)), True, True)
    attributes = control_codec.read_post_read_request(post_read.value or b"")
    names = {name.lower() for name in attributes}
    if COMMIT_POSITION_ATTRIBUTE.lower() in names or "+" in names:
        return Exchange(request, raw.tag, raw.operation, raw.controls, True)
    extended = (*(attributes or ("*",)), COMMIT_POSITION_ATTRIBUTE)
    controls[controls.index(post_read)] = m.Control(
        post_read.oid, post_read.critical, control_codec.post_read_request(extended)
    )
    return Exchange(request, raw.tag, raw.operation, control_codec.encode_controls(tuple(controls)), True, False, True)


def interpret(exchange: Exchange, raw: codec.Envelope) -> Reply:
    """Translates an attempt's final response into a gateway reply. Raises ``BerError`` if it is no valid result."""
    if raw.tag == m.Tag.DONE and raw.operation[2:] == _PLAIN_SUCCESS:
        return Reply("ok", raw)
    result = codec.decode_operation(raw.operation)
    if not isinstance(result, m.Result):
        raise BerError("a final answer without a result")
    if result.code == Code.BUSY:
        return Reply("full", reason=result.diagnostic)
    if exchange.write and result.code == Code.REFERRAL:
        return Reply("miss", role=Role.REPLICA, reason="a read-only copy")
    if exchange.asserts and result.code == Code.ASSERTION_FAILED:  # it may be true on a server that is further ahead
        return Reply("miss", raw, reason="the assertion is false at this server")
    if result.code in _SERVER_ERRORS:
        return Reply("error", reason=f"result {result.code}: {result.diagnostic}")
    role = Role.PRIMARY if exchange.write and result.code == Code.SUCCESS else Role.UNKNOWN
    if not isinstance(exchange.request, _WITH_POST_READ) or not raw.controls:
        return Reply("ok", raw, role)
    return _without_added_post_read(exchange, raw, result, role)


def _without_added_post_read(exchange: Exchange, raw: codec.Envelope, result: m.Result, role: Role) -> Reply:
    """The reply to a write, with its commit position and without what the gateway added to the post-read control."""
    controls = list(control_codec.decode_controls(raw.controls))
    post_read = next((control for control in controls if control.oid == m.Oid.POST_READ), None)
    if post_read is None or post_read.value is None:
        return Reply("ok", raw, role)
    entry = control_codec.read_post_read(post_read.value)
    values = [
        value
        for name, attribute_values in entry.attributes
        if name.lower() == COMMIT_POSITION_ATTRIBUTE.lower()
        for value in attribute_values
    ]
    commit = csn.parse(values[0]) if values else None
    if exchange.added_control:
        controls.remove(post_read)
    elif exchange.added_attribute:
        other_attributes = tuple(
            pair for pair in entry.attributes if pair[0].lower() != COMMIT_POSITION_ATTRIBUTE.lower()
        )
        value = codec.encode_operation(m.SearchEntry(entry.name, other_attributes))
        controls[controls.index(post_read)] = m.Control(post_read.oid, post_read.critical, value)
    payload = codec.Envelope(raw.id, raw.tag, raw.operation, control_codec.encode_controls(tuple(controls)))
    return Reply("ok", payload, role, commit if result.code == Code.SUCCESS else None)
