"""Atomic writes of files that other processes read."""

from __future__ import annotations

import os
from pathlib import Path


def write_atomically(path: Path, text: str) -> None:
    """Write to a temporary file and rename it, so that readers see it whole or not at all. Raises ``OSError``."""
    temporary = path.with_name(path.name + ".part")
    temporary.write_text(text, encoding="utf-8")
    os.replace(temporary, path)
