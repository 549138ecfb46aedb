"""Golden data: for each case the octets that version 0.2 wrote, and their meaning as plain values."""

import json
from pathlib import Path

import pytest

FOLDER = Path(__file__).parent.parent / "data" / "golden"


def load(package):
    """All golden data of a package, by kind."""
    return json.loads((FOLDER / f"{package}.json").read_text(encoding="utf-8"))


def each(package, kind):
    """Runs a test once for each case of a kind, with its octets and their meaning."""
    cases = load(package)[kind]
    params = [pytest.param(bytes.fromhex(case["octets"]), case["meaning"], id=case["name"]) for case in cases]
    return pytest.mark.parametrize(("octets", "meaning"), params)
