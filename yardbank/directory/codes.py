"""LDAP result codes and search scopes (RFC 4511)."""

from __future__ import annotations

from enum import IntEnum


class Code(IntEnum):
    """Result codes that this program refers to by name (RFC 4511 appendix A, RFC 3909, RFC 4528)."""

    SUCCESS = 0
    OPERATIONS_ERROR = 1
    PROTOCOL_ERROR = 2
    TIME_LIMIT = 3
    SIZE_LIMIT = 4
    COMPARE_FALSE = 5
    COMPARE_TRUE = 6
    AUTH_METHOD_NOT_SUPPORTED = 7
    REFERRAL = 10
    ADMIN_LIMIT = 11
    UNAVAILABLE_CRITICAL_EXTENSION = 12
    NO_SUCH_ATTRIBUTE = 16
    ATTRIBUTE_OR_VALUE_EXISTS = 20
    NO_SUCH_OBJECT = 32
    INVALID_DN = 34
    INVALID_CREDENTIALS = 49
    INSUFFICIENT_ACCESS = 50
    BUSY = 51
    UNAVAILABLE = 52
    UNWILLING = 53
    NOT_ALLOWED_ON_NON_LEAF = 66
    ENTRY_EXISTS = 68
    AFFECTS_MULTIPLE_DSAS = 71
    OTHER = 80
    CANCELED = 118
    NO_SUCH_OPERATION = 119
    TOO_LATE = 120
    CANNOT_CANCEL = 121
    ASSERTION_FAILED = 122


class Scope(IntEnum):
    """Which part of the directory tree a search covers."""

    BASE = 0
    ONE = 1
    SUBTREE = 2
    SUBORDINATE = 3  # the subtree without its base entry (an extension that OpenLDAP and others support)
