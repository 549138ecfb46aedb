"""Nothing in the program or the deploy file is fitted to one deployment: names and figures of site files are searched for.

In CI the sites are the variants of ``deploy/sites``; ``YARDBANK_SITES`` names other files, with colons between.

A name counts where it is whole: one of several words ("berth-plan") anywhere in the text, however its words are joined;
one of a single word of four letters or more as a string or an identifier of its own. Shorter ones cannot be told from
anything else. A figure counts if it is distinctive: of three significant digits or more, of which the last two are not
25 or 75, and no power of two; times in every unit. Of two digits, the last of them no 5, it counts where the settings
state it (it is no end of a range, which no program is told), it is a time, and it is written out in nanoseconds as the
program's times are, 1300 * MS: bare numbers and factors of two digits are everywhere.
"""

import ast
import os
import re
import tomllib
from pathlib import Path

import pytest

from tests.support.paths import ROOT

GIVEN = os.environ.get("YARDBANK_SITES", "")
SITES = [Path(name) for name in GIVEN.split(":")] if GIVEN else sorted((ROOT / "deploy" / "sites").glob("*.toml"))
PROGRAM = [*sorted((ROOT / "yardbank").rglob("*.py")), ROOT / "deploy" / "balancer.toml"]
UNITS = {"MS": 1e6, "SECOND": 1e9}
TOLD = {
    "class",
    "fam",
    "rules",
    "allow",
    "prices",
    "clients",
    "goal",
    "tier",
}  # tables that the first message is made of
FIGURE = re.compile(r"(?<![\w.])[0-9][0-9_]*(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?(?![\w.])")


def names_of(site):
    """What the site calls things: itself, classes, zones, tenants, tiers and their kinds."""
    named = [*site.get("class", ()), *site.get("tenant", ()), *site.get("tier", ())]
    named += [kind for tier in site.get("tier", ()) for kind in tier.get("kind", ())]
    return {site["name"], *site.get("net", {}).get("zones", ()), *(one["name"] for one in named)} | (
        {site["stock"]} if "stock" in site else set()
    )


def digits(figure):
    """Its significant digits, without the zeros at both ends."""
    return f"{abs(figure):.12e}".partition("e")[0].replace(".", "").strip("0")


def distinctive(figure, least):
    """Whether a figure has so many significant digits and is not round."""
    found = digits(figure)
    if len(found) < least or (figure == int(figure) and int(figure) & (int(figure) - 1) == 0):
        return False
    return not found.endswith("5") if len(found) == 2 else found[1:] not in ("25", "75")


def figures_of(site):
    """Distinctive figures with where they stand, each in every unit that it may be written in."""
    found = {}

    def walk(told, where, key, range_end):
        if isinstance(told, dict):
            for name, held in told.items():
                walk(held, (*where, name), name, False)
        elif isinstance(told, list):
            for held in told:
                walk(held, where, key, not isinstance(held, dict))
        elif isinstance(told, int | float) and not isinstance(told, bool):
            stated = where[0] in TOLD and not range_end
            if distinctive(told, 2 if stated else 3):
                unit = next(
                    (unit for end, unit in (("_ms", 1e-3), ("_us", 1e-6), ("_s", 1.0)) if key.endswith(end)), None
                )
                for value in {told} if unit is None else {told * unit * scale for scale in (1, 1e3, 1e6, 1e9)}:
                    if distinctive(told, 3) or (unit is not None and value == told * unit * 1e9):
                        found.setdefault(f"{value:.9g}", ".".join(where))

    walk(site, (), "", False)
    return found


def value_of(node):
    """A number as it is written, or a product with a unit; None for anything else."""
    if isinstance(node, ast.Constant) and isinstance(node.value, int | float) and not isinstance(node.value, bool):
        return node.value
    if isinstance(node, ast.Name):
        return UNITS.get(node.id)
    if isinstance(node, ast.BinOp) and isinstance(node.op, ast.Mult):
        left, right = value_of(node.left), value_of(node.right)
        return None if left is None or right is None else left * right
    return None


def figures_in(path, text):
    """Numbers with their lines."""
    if path.suffix != ".py":
        return [
            (number, float(found[0].replace("_", "")))
            for number, line in enumerate(text.splitlines(), 1)
            for found in FIGURE.finditer(line)
        ]
    nodes = [node for node in ast.walk(ast.parse(text)) if isinstance(node, ast.Constant | ast.BinOp)]
    return [(node.lineno, value) for node in nodes if (value := value_of(node)) is not None]


def words_in(path, text):
    """Strings and identifiers with their lines."""
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


def fitted(path, text, site):
    """Lines of a file that hold a name or a figure of the site."""
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
    told = figures_of(site)
    for line, value in figures_in(path, text):
        if (where := told.get(f"{value:.9g}")) is not None:
            found.append(f"{path.name}:{line}: {value:.9g}, as {where}")
    return sorted(set(found))


@pytest.mark.parametrize("site", SITES, ids=lambda path: path.stem)
def test_the_program_holds_no_name_and_no_figure_of_a_deployment(site):
    told = tomllib.loads(site.read_text())
    assert len(names_of(told)) > 3 and figures_of(told)
    found = [line for path in PROGRAM for line in fitted(path, path.read_text(), told)]
    assert found == [], "\n".join(found)


def plants(told):
    """Lines as one could write them, and what is to be found in each."""
    kind, zone = told["class"][0], told["net"]["zones"][0]
    (tier,) = told["tier"]
    deadline = next((one["deadline_ms"] for one in told["class"] if distinctive(one["deadline_ms"], 3)), None)
    yield f"if kind.name == {kind['name']!r}: pass", kind["name"]
    yield f"# tuned for {kind['name'].replace('-', ' ')}", kind["name"]
    yield f"{kind['name'].replace('-', '_').upper()}_WAIT = 1", kind["name"]
    yield f"# re{kind['name']}ing", None  # part of another word is not the name
    yield f"def {kind['name'].replace('-', '_')}(): pass", kind["name"]
    yield f"NEAR = {{'{zone}': 1}}", zone
    yield f"TIERS = ['{tier['name']}', 0]", tier["name"]
    if deadline is None and GIVEN:  # a site of round figures
        return
    yield f"WAIT = {deadline} * MS", "deadline_ms"
    yield f"WAIT = {deadline}_000_000", "deadline_ms"
    yield f"WAIT = {deadline / 1000}", "deadline_ms"
    yield f"WAIT = {deadline + 1} * MS", None


@pytest.mark.parametrize("site", SITES, ids=lambda path: path.stem)
def test_what_is_planted_in_a_copy_of_a_module_is_found(site):
    told = tomllib.loads(site.read_text())
    path = ROOT / "yardbank" / "policy" / "router.py"
    text = path.read_text()
    last = len(text.splitlines()) + 1
    for line, wanted in plants(told):
        found = fitted(path, f"{text}{line}\n", told)
        if wanted is None:
            assert found == [], line
        else:
            assert found and all(one.startswith(f"router.py:{last}: ") and wanted in one for one in found), (
                line,
                found,
            )
    planted = f'run = "exec python -m yardbank.platform --class {told["class"][0]["name"]}"'
    assert fitted(ROOT / "deploy" / "balancer.toml", planted, told) != []
