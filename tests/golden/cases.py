"""Golden data: for each case the octets that version 0.2 wrote, and the values that they encode."""

import json
from pathlib import Path

import pytest

FOLDER = Path(__file__).parent.parent / "data" / "golden"


def load(package):
    """Returns all golden data of a package, by kind."""
    return json.loads((FOLDER / f"{package}.json").read_text(encoding="utf-8"))


def each(package, kind):
    """Parametrizes a test with the octets and the meaning of each case of a kind."""
    cases = load(package)[kind]
    params = [pytest.param(bytes.fromhex(case["octets"]), case["meaning"], id=case["name"]) for case in cases]
    return pytest.mark.parametrize(("octets", "meaning"), params)
