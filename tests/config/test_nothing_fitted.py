"""Neither the program nor the deploy file is tailored to one deployment: names and numbers of site files must not occur.

The sites are the files of ``deploy/sites``; ``YARDBANK_SITES`` names other files, separated by colons.

A name of several words ("berth-plan") is found anywhere in the text, however its words are joined. A name of one word is
found if it has four letters or more and is a complete string or identifier; shorter ones are too common.

A number is found if it is distinctive: it has at least three significant digits, of which the last two are not 25 or 75,
and is no power of two. Times are searched for in every unit. A number of two significant digits, the last of them not 5,
is found only if it is a time that the settings state (the ends of ranges are not stated to any program) and is written
in nanoseconds like the times of the program, for example 1300 * MS: other numbers of two digits are too common.
"""

import ast
import os
import re
import tomllib
from pathlib import Path

import pytest

from tests.support.paths import ROOT

SITE_OVERRIDE = os.environ.get("YARDBANK_SITES", "")
SITES = (
    [Path(name) for name in SITE_OVERRIDE.split(":")]
    if SITE_OVERRIDE
    else sorted((ROOT / "deploy" / "sites").glob("*.toml"))
)
PROGRAM = [*sorted((ROOT / "yardbank").rglob("*.py")), ROOT / "deploy" / "balancer.toml"]
UNITS = {"MS": 1e6, "SECOND": 1e9}
FIRST_MESSAGE_TABLES = {
    "class",
    "fam",
    "rules",
    "allow",
    "prices",
    "clients",
    "goal",
    "tier",
}  # tables of a site from which the first message is built
NUMBER = re.compile(r"(?<![\w.])[0-9][0-9_]*(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?(?![\w.])")


def names_of(site):
    """All names in a site: of itself, its classes, zones, tenants, tiers and their kinds, and its stock."""
    named = [*site.get("class", ()), *site.get("tenant", ()), *site.get("tier", ())]
    named += [kind for tier in site.get("tier", ()) for kind in tier.get("kind", ())]
    return {site["name"], *site.get("net", {}).get("zones", ()), *(one["name"] for one in named)} | (
        {site["stock"]} if "stock" in site else set()
    )


def significant_digits(number):
    """The significant digits of a number, without zeros at both ends."""
    return f"{abs(number):.12e}".partition("e")[0].replace(".", "").strip("0")


def is_distinctive(number, min_digits):
    """Whether a number has at least ``min_digits`` significant digits and is not round."""
    found = significant_digits(number)
    if len(found) < min_digits or (number == int(number) and int(number) & (int(number) - 1) == 0):
        return False
    return not found.endswith("5") if len(found) == 2 else found[1:] not in ("25", "75")


def numbers_of(site):
    """Distinctive numbers with their table, in every unit in which they may be written."""
    found = {}

    def walk(node, path, key, range_end):
        if isinstance(node, dict):
            for name, child in node.items():
                walk(child, (*path, name), name, False)
        elif isinstance(node, list):
            for child in node:
                walk(child, path, key, not isinstance(child, dict))
        elif isinstance(node, int | float) and not isinstance(node, bool):
            is_stated = path[0] in FIRST_MESSAGE_TABLES and not range_end
            if is_distinctive(node, 2 if is_stated else 3):
                unit = next(
                    (unit for suffix, unit in (("_ms", 1e-3), ("_us", 1e-6), ("_s", 1.0)) if key.endswith(suffix)), None
                )
                for value in {node} if unit is None else {node * unit * scale for scale in (1, 1e3, 1e6, 1e9)}:
                    if is_distinctive(node, 3) or (unit is not None and value == node * unit * 1e9):
                        found.setdefault(f"{value:.9g}", ".".join(path))

    walk(site, (), "", False)
    return found


def value_of(node):
    """The value of a number or of a product with a unit; None for anything else."""
    if isinstance(node, ast.Constant) and isinstance(node.value, int | float) and not isinstance(node.value, bool):
        return node.value
    if isinstance(node, ast.Name):
        return UNITS.get(node.id)
    if isinstance(node, ast.BinOp) and isinstance(node.op, ast.Mult):
        left, right = value_of(node.left), value_of(node.right)
        return None if left is None or right is None else left * right
    return None


def numbers_in(path, text):
    """Numbers in a file with their lines."""
    if path.suffix != ".py":
        return [
            (number, float(found[0].replace("_", "")))
            for number, line in enumerate(text.splitlines(), 1)
            for found in NUMBER.finditer(line)
        ]
    nodes = [node for node in ast.walk(ast.parse(text)) if isinstance(node, ast.Constant | ast.BinOp)]
    return [(node.lineno, value) for node in nodes if (value := value_of(node)) is not None]


def words_in(path, text):
    """Strings and identifiers in a file with their lines."""
    if path.suffix != ".py":
        return [
            (number, word) for number, line in enumerate(text.splitlines(), 1) for word in re.findall(r"[\w-]+", line)
        ]
    fields = ("id", "attr", "arg", "name")
    return [
        (node.lineno, word)
        for node in ast.walk(ast.parse(text))
        if hasattr(node, "lineno")
        for word in (getattr(node, "value", None), *(getattr(node, field, None) for field in fields))
        if isinstance(word, str)
    ]


def occurrences(path, text, site):
    """Lines of a file that contain a name or a number of the site."""
    found = []
    words = [(line, word.lower()) for line, word in words_in(path, text)]
    for name in sorted(names_of(site)):
        parts = [part for part in re.split(r"[^A-Za-z0-9]+", name.lower()) if part]
        if len(parts) > 1:
            joined = re.compile(r"(?<![a-z0-9])" + r"[-_. ]?".join(map(re.escape, parts)) + r"(?![a-z0-9])")
            lines = [number for number, line in enumerate(text.lower().splitlines(), 1) if joined.search(line)]
        else:
            lines = [line for line, word in words if word == name.lower()] if len(name) > 3 else []
        found += [f"{path.name}:{line}: the name {name!r}" for line in sorted(set(lines))]
    numbers = numbers_of(site)
    for line, value in numbers_in(path, text):
        if (where := numbers.get(f"{value:.9g}")) is not None:
            found.append(f"{path.name}:{line}: {value:.9g}, as {where}")
    return sorted(set(found))


@pytest.mark.parametrize("site", SITES, ids=lambda path: path.stem)
def test_program_contains_no_name_or_number_of_a_deployment(site):
    site_data = tomllib.loads(site.read_text())
    assert len(names_of(site_data)) > 3 and numbers_of(site_data)
    found = [line for path in PROGRAM for line in occurrences(path, path.read_text(), site_data)]
    assert found == [], "\n".join(found)


def sample_lines(site):
    """Sample lines, each with the name or number that must be found in it, or None."""
    kind, zone = site["class"][0], site["net"]["zones"][0]
    (tier,) = site["tier"]
    deadline = next((one["deadline_ms"] for one in site["class"] if is_distinctive(one["deadline_ms"], 3)), None)
    yield f"if kind.name == {kind['name']!r}: pass", kind["name"]
    yield f"# tuned for {kind['name'].replace('-', ' ')}", kind["name"]
    yield f"{kind['name'].replace('-', '_').upper()}_WAIT = 1", kind["name"]
    yield f"# re{kind['name']}ing", None  # part of a longer word is not the name
    yield f"def {kind['name'].replace('-', '_')}(): pass", kind["name"]
    yield f"NEAR = {{'{zone}': 1}}", zone
    yield f"TIERS = ['{tier['name']}', 0]", tier["name"]
    if deadline is None and SITE_OVERRIDE:  # the site has only round numbers
        return
    yield f"WAIT = {deadline} * MS", "deadline_ms"
    yield f"WAIT = {deadline}_000_000", "deadline_ms"
    yield f"WAIT = {deadline / 1000}", "deadline_ms"
    yield f"WAIT = {deadline + 1} * MS", None


@pytest.mark.parametrize("site", SITES, ids=lambda path: path.stem)
def test_names_and_numbers_inserted_into_a_module_are_found(site):
    site_data = tomllib.loads(site.read_text())
    path = ROOT / "yardbank" / "policy" / "router.py"
    text = path.read_text()
    last = len(text.splitlines()) + 1
    for line, wanted in sample_lines(site_data):
        found = occurrences(path, f"{text}{line}\n", site_data)
        if wanted is None:
            assert found == [], line
        else:
            assert found and all(one.startswith(f"router.py:{last}: ") and wanted in one for one in found), (
                line,
                found,
            )
    line_with_name = f'run = "exec python -m yardbank.platform --class {site_data["class"][0]["name"]}"'
    assert occurrences(ROOT / "deploy" / "balancer.toml", line_with_name, site_data) != []
