"""HCL text as plain values, each with the line it stands on (python-hcl2 parses)."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import hcl2
from lark import Token, Tree
from lark.exceptions import UnexpectedInput


class HclError(ValueError):
    """Text that is no HCL, or uses a part of it that settings have no use for."""

    def __init__(self, line: int, reason: str) -> None:
        super().__init__(reason)
        self.line, self.reason = line, reason


@dataclass(slots=True)
class Body:
    """A block's attributes and blocks; ``lines`` tells where each attribute stands."""

    line: int
    label: str = ""
    attributes: dict[str, Any] = field(default_factory=dict)
    lines: dict[str, int] = field(default_factory=dict)
    blocks: dict[str, list[Body]] = field(default_factory=dict)


def parse(text: str) -> Body:
    """Read a whole text. Raises ``HclError`` naming the line."""
    try:
        tree = hcl2.parses_to_tree(text if text.endswith("\n") else text + "\n")
    except UnexpectedInput as problem:
        line = problem.line if isinstance(problem.line, int) and problem.line > 0 else text.count("\n") + 1
        raise HclError(line, "this is not HCL") from None
    except RecursionError:
        raise HclError(1, "nested too deep") from None
    except Exception as problem:  # noqa: BLE001  # whatever the library stumbles over is a fault of the text
        told = getattr(problem, "line", None)
        raise HclError(told if isinstance(told, int) and told > 0 else 1, "this is not HCL") from None
    body = next((child for child in tree.children if isinstance(child, Tree) and child.data == "body"), None)
    found = Body(1)
    if body is not None:
        try:
            _fill(body, found)
        except RecursionError:
            raise HclError(1, "nested too deep") from None
    return found


def _line(tree: Any, default: int) -> int:
    if isinstance(tree, Token):
        return tree.line or default
    for child in getattr(tree, "children", ()):
        line = _line(child, 0)
        if line:
            return line
    return default


def _fill(tree: Tree[Token], into: Body) -> None:
    for child in tree.children:
        if not isinstance(child, Tree):
            continue
        if child.data == "attribute":
            name, line = _word(child.children[0]), _line(child, into.line)
            if name in into.attributes or name in into.blocks:
                raise HclError(line, f"'{name}' is given twice")
            into.attributes[name] = _value(child.children[-1], line)
            into.lines[name] = line
        elif child.data == "block":
            name, line = _word(child.children[0]), _line(child, into.line)
            if name in into.attributes:
                raise HclError(line, f"'{name}' is given twice")
            labels = [
                part for part in child.children[1:] if isinstance(part, Tree) and part.data in ("string", "identifier")
            ]
            if len(labels) > 1:
                raise HclError(line, f"'{name}' has more than one label")
            block = Body(line, _value(labels[0], line) if labels and labels[0].data == "string" else "")
            inner = next((part for part in child.children if isinstance(part, Tree) and part.data == "body"), None)
            if inner is not None:
                _fill(inner, block)
            into.blocks.setdefault(name, []).append(block)


def _word(tree: Any) -> str:
    return str(tree) if isinstance(tree, Token) else "".join(str(token) for token in tree.scan_values(lambda _: True))


def _value(tree: Any, line: int) -> Any:
    """A constant: string, number, boolean, null, or a list of those."""
    if isinstance(tree, Token):
        return _token(str(tree), line)
    match tree.data:
        case "expr_term" | "expression" if len(_meaningful(tree)) == 1:
            return _value(_meaningful(tree)[0], line)
        case "string":
            parts = [part for part in tree.children if isinstance(part, Tree)]
            if any(not all(isinstance(token, Token) for token in part.children) for part in parts):
                raise HclError(_line(tree, line), "a string with an interpolation; only constants are allowed")
            return _unescape("".join(_word(part) for part in parts))
        case "int_lit" | "float_lit":
            return _number(_word(tree), tree.data == "int_lit", _line(tree, line))
        case "literal_value" | "identifier":
            return _token(_word(tree), line)
        case "tuple":
            return [
                _value(item, line)
                for item in tree.children
                if isinstance(item, Tree) and item.data != "new_line_or_comment"
            ]
        case "unary_op" if _word(tree).startswith("-"):
            value = _value(_meaningful(tree)[-1], line)
            if isinstance(value, bool) or not isinstance(value, int | float):
                raise HclError(_line(tree, line), "a minus before what is no number")
            return -value
        case _:
            raise HclError(_line(tree, line), "an expression; only constants are allowed")


def _meaningful(tree: Tree[Token]) -> list[Any]:
    return [
        child
        for child in tree.children
        if child is not None
        and not (isinstance(child, Tree) and child.data == "new_line_or_comment")
        and str(child) != "-"
    ]


def _number(word: str, whole: bool, line: int) -> int | float:
    try:
        value = int(word) if whole else float(word)
    except ValueError:
        raise HclError(line, f"'{word[:20]}' is no number that can be used") from None
    if not -1e18 <= value <= 1e18:
        raise HclError(line, "a number beyond 1e18")
    return value


def _token(word: str, line: int) -> Any:
    constants = {"true": True, "false": False, "null": None}
    if word not in constants:
        raise HclError(line, f"'{word}' is a name; only constants are allowed (strings need quotes)")
    return constants[word]


def _unescape(text: str) -> str:
    if "\\" not in text:
        return text
    table = {"n": "\n", "t": "\t", '"': '"', "\\": "\\", "r": "\r"}
    out, at = [], 0
    while at < len(text):
        if text[at] == "\\" and at + 1 < len(text) and text[at + 1] in table:
            out.append(table[text[at + 1]])
            at += 2
        else:
            out.append(text[at])
            at += 1
    return "".join(out)
