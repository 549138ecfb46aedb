"""Normalizing distinguished names (RFC 4514, simplified to case and spaces) and testing their hierarchy."""

from __future__ import annotations

import re

_DN_SPACE = re.compile(r"\s*([,=+])\s*")


def fold(dn: str) -> str:
    """Return a distinguished name normalized for comparison: lower case, no spaces around separators."""
    if " " not in dn:
        return dn.lower()
    return _DN_SPACE.sub(r"\1", dn.strip()).lower()


def parent(folded: str) -> str:
    """Return the parent of a normalized name; '' for a top-level name. An escaped comma does not separate."""
    comma = 0
    while (comma := folded.find(",", comma)) > 0 and folded[comma - 1] == "\\":
        comma += 1
    return folded[comma + 1 :] if comma >= 0 else ""


def under(folded: str, base: str) -> bool:
    """Whether a normalized name equals a normalized base name or lies below it."""
    return base in ("", folded) or folded.endswith("," + base)
