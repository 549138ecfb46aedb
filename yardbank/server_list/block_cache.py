"""Reads HCL block by block and keeps what it has read, so that a large list costs what has changed of it.

A file laid out as usual (blocks begin in the first column) is cut there. Blocks of plain attributes are read
in place; all else, and each file that does not come apart so, goes through the HCL parser as a whole.
"""

from __future__ import annotations

import re

from yardbank.config.hcl import Body, HclError, parse

KEPT = 50_000  # blocks
_CUT = re.compile(r"^(?=[^\s}])", re.MULTILINE)
_HEAD = re.compile(r'([A-Za-z_]\w*)(?:[ \t]+"([^"\\$%]*)")?[ \t]*\{[ \t]*')
_LINE = re.compile(
    r'[ \t]*(?:([A-Za-z_][\w-]*)[ \t]*=[ \t]*(?:"([^"\\$%]*)"|(-?\d{1,15}(?:\.\d{1,15})?)|(true|false)))?[ \t]*(?:#.*)?'
)


class BlockCache:
    """Blocks read before, by their text."""

    def __init__(self) -> None:
        self._kept: dict[str, tuple[str, Body] | None] = {}

    def parse(self, text: str) -> Body:
        """As ``hcl.parse``: same values, same lines, same faults."""
        whole, line = Body(1), 1
        kept: dict[str, tuple[str, Body] | None] = {}
        for chunk in _CUT.split(text):
            found = self._kept.get(chunk)
            if found is None and chunk not in self._kept:
                found = _plain_block(chunk)
            kept[chunk] = found
            if found is None:
                found_line = _LINE.fullmatch(chunk.rstrip())
                if chunk.strip() and (found_line is None or found_line[1] in (*whole.attributes, *whole.blocks)):
                    return parse(text)
                if found_line and found_line[1]:  # an attribute of the file itself
                    whole.attributes[found_line[1]] = _constant(found_line)
                    whole.lines[found_line[1]] = line
            else:
                kind, block = found
                lines = {key: at + line for key, at in block.lines.items()}
                whole.blocks.setdefault(kind, []).append(Body(line, block.label, block.attributes, lines))
            line += chunk.count("\n")
        if len(kept) <= KEPT:
            self._kept = kept
        return whole


def plain_blocks(text: str) -> list[tuple[str, Body]] | None:
    """The blocks of a text that holds nothing but blocks of plain attributes; None if it holds anything else."""
    found = []
    for chunk in _CUT.split(text):
        if not chunk.strip():
            continue
        block = _plain_block(chunk)
        if block is None:
            return None
        found.append(block)
    return found


def _plain_block(chunk: str) -> tuple[str, Body] | None:
    """A block of plain attributes, its lines counted from 0; None if it is anything else."""
    rows = chunk.rstrip().split("\n")
    head = _HEAD.fullmatch(rows[0])
    if head is None or len(rows) < 2 or rows[-1].strip() != "}":
        return None
    block = Body(0, head[2] or "")
    for at, row in enumerate(rows[1:-1], 1):
        found = _LINE.fullmatch(row)
        if found is None:
            return None
        key = found[1]
        if key is None:
            continue
        if key in block.attributes:
            return None  # the parser says where
        block.attributes[key] = _constant(found)
        block.lines[key] = at
    return head[1], block


def _constant(found: re.Match[str]) -> str | int | float | bool:
    _, word, number, truth = found.groups()
    if word is not None:
        return word
    if number is not None:
        return float(number) if "." in number else int(number)
    return truth == "true"


__all__ = ["BlockCache", "HclError", "plain_blocks"]
