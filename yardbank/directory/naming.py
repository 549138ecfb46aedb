"""The folding of names (RFC 4514, simplified: case and spaces), and which lies below which."""

from __future__ import annotations

import re

_DN_SPACE = re.compile(r"\s*([,=+])\s*")


def fold(dn: str) -> str:
    """A name in the form in which names are compared here: lower case, no spaces around separators."""
    if " " not in dn:
        return dn.lower()
    return _DN_SPACE.sub(r"\1", dn.strip()).lower()


def parent(folded: str) -> str:
    """The name above; '' above the top. Escaped commas stay inside their part."""
    at = 0
    while (at := folded.find(",", at)) > 0 and folded[at - 1] == "\\":
        at += 1
    return folded[at + 1 :] if at >= 0 else ""


def under(folded: str, base: str) -> bool:
    """Whether a folded name is a folded base or lies below it."""
    return base in ("", folded) or folded.endswith("," + base)
