"""What the gateway changes in a request on its way to a server, and what an answer means. No I/O.

A write is given a post-read control (RFC 4527) that asks for ``entryCSN``, the mark under which it was
committed; the answer loses it again unless the client asked for it too.
"""

from __future__ import annotations

from dataclasses import dataclass

from yardbank.directory.codes import Code
from yardbank.gateway.api import Reply
from yardbank.interface import Role
from yardbank.ldap import codec, control_codec, csn
from yardbank.ldap import messages as m
from yardbank.ldap.ber import BerError

COMMIT_MARK = "entryCSN"
_WRITES = (m.AddRequest, m.ModifyRequest, m.ModifyDNRequest, m.DeleteRequest)
_READ_BACK = (m.AddRequest, m.ModifyRequest, m.ModifyDNRequest)  # what leaves an entry to read
_PLAIN_SUCCESS = codec.encode_operation(m.Result(m.Tag.DONE, Code.SUCCESS))[2:]  # what most searches end with
_FAULTS = frozenset((Code.OPERATIONS_ERROR, Code.UNAVAILABLE, Code.OTHER))


@dataclass(slots=True)
class Exchange:
    """One operation, ready to be sent any number of times."""

    request: m.Request
    tag: int
    operation: bytes
    controls: bytes
    write: bool
    added_control: bool = False  # the post-read control is ours alone
    added_attribute: bool = False  # the control is the client's, the attribute ours
    asserts: bool = False  # a read that the server checks (RFC 4528): a copy that lags may find it false


def prepare(message: m.Message, raw: codec.Envelope) -> Exchange:
    """A client's message as it goes to a server."""
    request = message.operation
    assert not isinstance(request, m.Response)
    write = isinstance(request, (*_WRITES, m.ExtendedRequest))
    if not isinstance(request, _READ_BACK):
        asserts = not write and any(control.oid == m.Oid.ASSERTION for control in message.controls)
        return Exchange(request, raw.tag, raw.operation, raw.controls, write, asserts=asserts)
    controls, asked = list(message.controls), next((c for c in message.controls if c.oid == m.Oid.POST_READ), None)
    if asked is None:
        controls.append(m.Control(m.Oid.POST_READ, False, control_codec.post_read_request((COMMIT_MARK,))))
        return Exchange(request, raw.tag, raw.operation, control_codec.encode_controls(tuple(controls)), True, True)
    attributes = control_codec.read_post_read_request(asked.value or b"")
    names = {name.lower() for name in attributes}
    if COMMIT_MARK.lower() in names or "+" in names:
        return Exchange(request, raw.tag, raw.operation, raw.controls, True)
    wider = (*(attributes or ("*",)), COMMIT_MARK)
    controls[controls.index(asked)] = m.Control(asked.oid, asked.critical, control_codec.post_read_request(wider))
    return Exchange(request, raw.tag, raw.operation, control_codec.encode_controls(tuple(controls)), True, False, True)


def interpret(exchange: Exchange, raw: codec.Envelope) -> Reply:
    """The final answer to an attempt, in the gateway's terms. Raises ``BerError`` if it makes no sense."""
    if raw.tag == m.Tag.DONE and raw.operation[2:] == _PLAIN_SUCCESS:
        return Reply("ok", raw)
    result = codec.decode_operation(raw.operation)
    if not isinstance(result, m.Result):
        raise BerError("a final answer without a result")
    if result.code == Code.BUSY:
        return Reply("full", reason=result.diagnostic)
    if exchange.write and result.code == Code.REFERRAL:
        return Reply("miss", role=Role.REPLICA, reason="a read-only copy")
    if exchange.asserts and result.code == Code.ASSERTION_FAILED:  # a server that is further on may say otherwise
        return Reply("miss", raw, reason="the assertion is false at this server")
    if result.code in _FAULTS:
        return Reply("error", reason=f"result {result.code}: {result.diagnostic}")
    role = Role.PRIMARY if exchange.write and result.code == Code.SUCCESS else Role.UNKNOWN
    if not isinstance(exchange.request, _READ_BACK) or not raw.controls:
        return Reply("ok", raw, role)
    return _without_added_post_read(exchange, raw, result, role)


def _without_added_post_read(exchange: Exchange, raw: codec.Envelope, result: m.Result, role: Role) -> Reply:
    """The answer to a write with its commit mark, less what the gateway added to the post-read control."""
    controls = list(control_codec.decode_controls(raw.controls))
    found = next((control for control in controls if control.oid == m.Oid.POST_READ), None)
    if found is None or found.value is None:
        return Reply("ok", raw, role)
    entry = control_codec.read_post_read(found.value)
    values = [value for name, held in entry.attributes if name.lower() == COMMIT_MARK.lower() for value in held]
    commit = csn.parse(values[0]) if values else None
    if exchange.added_control:
        controls.remove(found)
    elif exchange.added_attribute:
        kept = tuple(pair for pair in entry.attributes if pair[0].lower() != COMMIT_MARK.lower())
        value = codec.encode_operation(m.SearchEntry(entry.name, kept))
        controls[controls.index(found)] = m.Control(found.oid, found.critical, value)
    payload = codec.Envelope(raw.id, raw.tag, raw.operation, control_codec.encode_controls(tuple(controls)))
    return Reply("ok", payload, role, commit if result.code == Code.SUCCESS else None)
