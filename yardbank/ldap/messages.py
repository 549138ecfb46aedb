"""LDAP messages as plain data classes (RFC 4511 section 4)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Oid:
    """Object identifiers of controls and extended operations."""

    START_TLS = "1.3.6.1.4.1.1466.20037"
    NOTICE_OF_DISCONNECTION = "1.3.6.1.4.1.1466.20036"
    CANCEL = "1.3.6.1.1.8"  # RFC 3909
    WHO_AM_I = "1.3.6.1.4.1.4203.1.11.3"  # RFC 4532
    PASSWORD_MODIFY = "1.3.6.1.4.1.4203.1.11.1"  # RFC 3062
    POST_READ = "1.3.6.1.1.13.2"  # RFC 4527
    ASSERTION = "1.3.6.1.1.12"  # RFC 4528
    PROXIED_AUTHORIZATION = "2.16.840.1.113730.3.4.18"  # RFC 4370
    MANAGE_DSA_IT = "2.16.840.1.113730.3.4.2"  # RFC 3296
    PAGED_RESULTS = "1.2.840.113556.1.4.319"  # RFC 2696
    SORT = "1.2.840.113556.1.4.473"  # RFC 2891
    SORT_RESULT = "1.2.840.113556.1.4.474"
    VIRTUAL_LIST = "2.16.840.1.113730.3.4.9"


@dataclass(slots=True, frozen=True)
class Control:
    """A control that extends one message (section 4.1.11)."""

    oid: str
    critical: bool = False
    value: bytes | None = None


# Filters (section 4.5.1.7)


@dataclass(slots=True, frozen=True)
class And:
    """True if all operands are true; an empty And is true (RFC 4526)."""

    parts: tuple[Filter, ...] = ()


@dataclass(slots=True, frozen=True)
class Or:
    """True if any operand is true; an empty Or is false (RFC 4526)."""

    parts: tuple[Filter, ...] = ()


@dataclass(slots=True, frozen=True)
class Not:
    """True if its operand is false."""

    part: Filter


@dataclass(slots=True, frozen=True)
class Match:
    """Compares an attribute with a value; ``rule`` is ``=``, ``>=``, ``<=`` or ``~=``."""

    rule: str
    attribute: str
    value: bytes


@dataclass(slots=True, frozen=True)
class Present:
    """True if the entry has the attribute."""

    attribute: str


@dataclass(slots=True, frozen=True)
class Substrings:
    """True if a value contains these substrings in this order."""

    attribute: str
    initial: bytes | None = None
    any: tuple[bytes, ...] = ()
    final: bytes | None = None


@dataclass(slots=True, frozen=True)
class Extensible:
    """An extensible match, which names its matching rule."""

    rule: str | None
    attribute: str | None
    value: bytes
    dn_attributes: bool = False


Filter = And | Or | Not | Match | Present | Substrings | Extensible


# Requests


@dataclass(slots=True, frozen=True)
class BindRequest:
    """A simple bind has a password and no mechanism; a SASL bind a mechanism and optional credentials."""

    name: str = ""
    password: bytes | None = b""
    mechanism: str | None = None
    credentials: bytes | None = None
    version: int = 3


@dataclass(slots=True, frozen=True)
class UnbindRequest:
    """The client ends the connection."""


@dataclass(slots=True)
class SearchRequest:
    """A search (section 4.5.1)."""

    base: str
    scope: int
    filter: Filter
    attributes: tuple[str, ...] = ()
    size_limit: int = 0
    time_limit: int = 0  # seconds
    types_only: bool = False
    deref: int = 0


Attributes = tuple[tuple[str, tuple[bytes, ...]], ...]


@dataclass(slots=True, frozen=True)
class ModifyRequest:
    """Changes as (operation, type, values): 0 add, 1 delete, 2 replace, 3 increment (RFC 4525)."""

    entry: str
    changes: tuple[tuple[int, str, tuple[bytes, ...]], ...]


@dataclass(slots=True, frozen=True)
class AddRequest:
    """Adds an entry."""

    entry: str
    attributes: Attributes


@dataclass(slots=True, frozen=True)
class DeleteRequest:
    """Deletes a leaf entry."""

    entry: str


@dataclass(slots=True, frozen=True)
class ModifyDNRequest:
    """Renames or moves an entry."""

    entry: str
    new_rdn: str
    delete_old: bool = True
    new_superior: str | None = None


@dataclass(slots=True, frozen=True)
class CompareRequest:
    """Tests whether an attribute has a value."""

    entry: str
    attribute: str
    value: bytes


@dataclass(slots=True, frozen=True)
class AbandonRequest:
    """Abandons an operation; it has no response."""

    target: int


@dataclass(slots=True, frozen=True)
class ExtendedRequest:
    """An extended operation, identified by an object identifier."""

    oid: str
    value: bytes | None = None


# Responses


@dataclass(slots=True)
class Result:
    """An operation's result (section 4.1.9); ``tag`` is that of the response which carries it."""

    tag: int
    code: int
    matched: str = ""
    diagnostic: str = ""
    referrals: tuple[str, ...] = ()
    oid: str | None = None  # extended responses
    value: bytes | None = None  # extended response value, or a bind's server credentials


@dataclass(slots=True)
class SearchEntry:
    """One entry found."""

    name: str
    attributes: Attributes


@dataclass(slots=True, frozen=True)
class SearchReference:
    """A continuation reference: URIs at which to continue the search."""

    uris: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class IntermediateResponse:
    """An intermediate response (section 4.13)."""

    oid: str | None = None
    value: bytes | None = None


Request = (
    BindRequest
    | UnbindRequest
    | SearchRequest
    | ModifyRequest
    | AddRequest
    | DeleteRequest
    | ModifyDNRequest
    | CompareRequest
    | AbandonRequest
    | ExtendedRequest
)
Response = Result | SearchEntry | SearchReference | IntermediateResponse
Operation = Request | Response


@dataclass(slots=True)
class Message:
    """An LDAPMessage; ID 0 marks an unsolicited notification from the server."""

    id: int
    operation: Operation
    controls: tuple[Control, ...] = ()


class Tag(IntEnum):
    """Tags of the protocol operations."""

    BIND = 0x60
    BIND_RESPONSE = 0x61
    UNBIND = 0x42
    SEARCH = 0x63
    ENTRY = 0x64
    DONE = 0x65
    MODIFY = 0x66
    MODIFY_RESPONSE = 0x67
    ADD = 0x68
    ADD_RESPONSE = 0x69
    DELETE = 0x4A
    DELETE_RESPONSE = 0x6B
    MODIFY_DN = 0x6C
    MODIFY_DN_RESPONSE = 0x6D
    COMPARE = 0x6E
    COMPARE_RESPONSE = 0x6F
    ABANDON = 0x50
    REFERENCE = 0x73
    EXTENDED = 0x77
    EXTENDED_RESPONSE = 0x78
    INTERMEDIATE = 0x79


RESPONSE_TAG = {
    BindRequest: Tag.BIND_RESPONSE,
    SearchRequest: Tag.DONE,
    ModifyRequest: Tag.MODIFY_RESPONSE,
    AddRequest: Tag.ADD_RESPONSE,
    DeleteRequest: Tag.DELETE_RESPONSE,
    ModifyDNRequest: Tag.MODIFY_DN_RESPONSE,
    CompareRequest: Tag.COMPARE_RESPONSE,
    ExtendedRequest: Tag.EXTENDED_RESPONSE,
}
RESULT_TAGS = frozenset(RESPONSE_TAG.values())
