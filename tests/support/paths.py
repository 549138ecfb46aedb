"""Paths in the repository."""

from pathlib import Path

ROOT = Path(__file__).parents[2]
DATA = ROOT / "tests" / "data"
EXAMPLE_SETTINGS = ROOT / "deploy" / "example.hcl"
