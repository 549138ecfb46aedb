"""Parses HCL block by block and caches parsed blocks, so that re-reading a large list costs only its changed blocks.

Files in the usual layout (blocks begin in the first column) are split there. Blocks that contain only attributes with
constant values are parsed here; a file with anything else is passed to the HCL parser as a whole.
"""

from __future__ import annotations

import re

from yardbank.config.hcl import Body, HclError, parse

MAX_CACHED_BLOCKS = 50_000
_BLOCK_START = re.compile(r"^(?=[^\s}])", re.MULTILINE)
_BLOCK_HEADER = re.compile(r'([A-Za-z_]\w*)(?:[ \t]+"([^"\\$%]*)")?[ \t]*\{[ \t]*')
_ATTRIBUTE_LINE = re.compile(
    r'[ \t]*(?:([A-Za-z_][\w-]*)[ \t]*=[ \t]*(?:"([^"\\$%]*)"|(-?\d{1,15}(?:\.\d{1,15})?)|(true|false)))?[ \t]*(?:#.*)?'
)


class BlockCache:
    """Caches parsed blocks by their text."""

    def __init__(self) -> None:
        self._cache: dict[str, tuple[str, Body] | None] = {}

    def parse(self, text: str) -> Body:
        """Equivalent to ``hcl.parse``: same values, same lines, same faults."""
        body, line = Body(1), 1
        cache: dict[str, tuple[str, Body] | None] = {}
        for chunk in _BLOCK_START.split(text):
            found = self._cache.get(chunk)
            if found is None and chunk not in self._cache:
                found = _plain_block(chunk)
            cache[chunk] = found
            if found is None:
                attribute = _ATTRIBUTE_LINE.fullmatch(chunk.rstrip())
                if chunk.strip() and (attribute is None or attribute[1] in (*body.attributes, *body.blocks)):
                    return parse(text)
                if attribute and attribute[1]:  # a top-level attribute
                    body.attributes[attribute[1]] = _constant(attribute)
                    body.lines[attribute[1]] = line
            else:
                kind, block = found
                lines = {key: offset + line for key, offset in block.lines.items()}
                body.blocks.setdefault(kind, []).append(Body(line, block.label, block.attributes, lines))
            line += chunk.count("\n")
        if len(cache) <= MAX_CACHED_BLOCKS:
            self._cache = cache
        return body


def plain_blocks(text: str) -> list[tuple[str, Body]] | None:
    """The blocks of a text, if each has only attributes with constant values; None if the text has anything else."""
    blocks = []
    for chunk in _BLOCK_START.split(text):
        if not chunk.strip():
            continue
        block = _plain_block(chunk)
        if block is None:
            return None
        blocks.append(block)
    return blocks


def _plain_block(chunk: str) -> tuple[str, Body] | None:
    """Parse a block that has only attributes with constant values, lines counted from 0; None for anything else."""
    rows = chunk.rstrip().split("\n")
    header = _BLOCK_HEADER.fullmatch(rows[0])
    if header is None or len(rows) < 2 or rows[-1].strip() != "}":
        return None
    block = Body(0, header[2] or "")
    for offset, row in enumerate(rows[1:-1], 1):
        match = _ATTRIBUTE_LINE.fullmatch(row)
        if match is None:
            return None
        key = match[1]
        if key is None:
            continue
        if key in block.attributes:
            return None  # the HCL parser reports the line of the duplicate
        block.attributes[key] = _constant(match)
        block.lines[key] = offset
    return header[1], block


def _constant(match: re.Match[str]) -> str | int | float | bool:
    _, string, number, boolean = match.groups()
    if string is not None:
        return string
    if number is not None:
        return float(number) if "." in number else int(number)
    return boolean == "true"


__all__ = ["BlockCache", "HclError", "plain_blocks"]
