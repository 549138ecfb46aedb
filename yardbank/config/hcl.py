"""Parses HCL (with python-hcl2) into plain values with their line numbers. Only constant values are allowed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import hcl2
from lark import Token, Tree
from lark.exceptions import UnexpectedInput


class HclError(ValueError):
    """Text that is not valid HCL or uses an unsupported feature of it."""

    def __init__(self, line: int, reason: str) -> None:
        super().__init__(reason)
        self.line, self.reason = line, reason


@dataclass(slots=True)
class Body:
    """Attributes and nested blocks of a block. ``lines`` has the line of each attribute."""

    line: int
    label: str = ""
    attributes: dict[str, Any] = field(default_factory=dict)
    lines: dict[str, int] = field(default_factory=dict)
    blocks: dict[str, list[Body]] = field(default_factory=dict)


def parse(text: str) -> Body:
    """Parse a complete text. Raises ``HclError`` naming the line."""
    try:
        tree = hcl2.parses_to_tree(text if text.endswith("\n") else text + "\n")
    except UnexpectedInput as error:
        line = error.line if isinstance(error.line, int) and error.line > 0 else text.count("\n") + 1
        raise HclError(line, "this is not HCL") from None
    except RecursionError:
        raise HclError(1, "nested too deep") from None
    except Exception as error:  # noqa: BLE001  # any exception of the library on this text is a fault of the text
        error_line = getattr(error, "line", None)
        raise HclError(error_line if isinstance(error_line, int) and error_line > 0 else 1, "this is not HCL") from None
    body = next((child for child in tree.children if isinstance(child, Tree) and child.data == "body"), None)
    result = Body(1)
    if body is not None:
        try:
            _read_body(body, result)
        except RecursionError:
            raise HclError(1, "nested too deep") from None
    return result


def _line(tree: Any, default: int) -> int:
    if isinstance(tree, Token):
        return tree.line or default
    for child in getattr(tree, "children", ()):
        line = _line(child, 0)
        if line:
            return line
    return default


def _read_body(tree: Tree[Token], target: Body) -> None:
    for child in tree.children:
        if not isinstance(child, Tree):
            continue
        if child.data == "attribute":
            name, line = _source_text(child.children[0]), _line(child, target.line)
            if name in target.attributes or name in target.blocks:
                raise HclError(line, f"'{name}' is given twice")
            target.attributes[name] = _constant(child.children[-1], line)
            target.lines[name] = line
        elif child.data == "block":
            name, line = _source_text(child.children[0]), _line(child, target.line)
            if name in target.attributes:
                raise HclError(line, f"'{name}' is given twice")
            labels = [
                part for part in child.children[1:] if isinstance(part, Tree) and part.data in ("string", "identifier")
            ]
            if len(labels) > 1:
                raise HclError(line, f"'{name}' has more than one label")
            block = Body(line, _constant(labels[0], line) if labels and labels[0].data == "string" else "")
            inner = next((part for part in child.children if isinstance(part, Tree) and part.data == "body"), None)
            if inner is not None:
                _read_body(inner, block)
            target.blocks.setdefault(name, []).append(block)


def _source_text(tree: Any) -> str:
    return str(tree) if isinstance(tree, Token) else "".join(str(token) for token in tree.scan_values(lambda _: True))


def _constant(tree: Any, line: int) -> Any:
    """Convert a constant: string, number, boolean, null, or a list of those."""
    if isinstance(tree, Token):
        return _keyword_constant(str(tree), line)
    match tree.data:
        case "expr_term" | "expression" if len(_operands(tree)) == 1:
            return _constant(_operands(tree)[0], line)
        case "string":
            parts = [part for part in tree.children if isinstance(part, Tree)]
            if any(not all(isinstance(token, Token) for token in part.children) for part in parts):
                raise HclError(_line(tree, line), "string interpolation is not allowed; only constants are allowed")
            return _unescape("".join(_source_text(part) for part in parts))
        case "int_lit" | "float_lit":
            return _number(_source_text(tree), tree.data == "int_lit", _line(tree, line))
        case "literal_value" | "identifier":
            return _keyword_constant(_source_text(tree), line)
        case "tuple":
            return [
                _constant(item, line)
                for item in tree.children
                if isinstance(item, Tree) and item.data != "new_line_or_comment"
            ]
        case "unary_op" if _source_text(tree).startswith("-"):
            value = _constant(_operands(tree)[-1], line)
            if isinstance(value, bool) or not isinstance(value, int | float):
                raise HclError(_line(tree, line), "a minus sign before a value that is not a number")
            return -value
        case _:
            raise HclError(_line(tree, line), "an expression is not allowed; only constants are allowed")


def _operands(tree: Tree[Token]) -> list[Any]:
    return [
        child
        for child in tree.children
        if child is not None
        and not (isinstance(child, Tree) and child.data == "new_line_or_comment")
        and str(child) != "-"
    ]


def _number(text: str, is_integer: bool, line: int) -> int | float:
    try:
        value = int(text) if is_integer else float(text)
    except ValueError:
        raise HclError(line, f"'{text[:20]}' is not a usable number") from None
    if not -1e18 <= value <= 1e18:
        raise HclError(line, "the number is out of range, -1e18 to 1e18 allowed")
    return value


def _keyword_constant(text: str, line: int) -> Any:
    constants = {"true": True, "false": False, "null": None}
    if text not in constants:
        raise HclError(line, f"'{text}' is a name; only constants are allowed (strings need quotes)")
    return constants[text]


def _unescape(text: str) -> str:
    if "\\" not in text:
        return text
    escapes = {"n": "\n", "t": "\t", '"': '"', "\\": "\\", "r": "\r"}
    characters, position = [], 0
    while position < len(text):
        if text[position] == "\\" and position + 1 < len(text) and text[position + 1] in escapes:
            characters.append(escapes[text[position + 1]])
            position += 2
        else:
            characters.append(text[position])
            position += 1
    return "".join(characters)
