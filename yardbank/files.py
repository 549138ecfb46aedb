"""Files that others read while they are written."""

from __future__ import annotations

import os
from pathlib import Path


def write_atomically(path: Path, text: str) -> None:
    """A file that is there whole or not at all. Raises ``OSError``."""
    part = path.with_name(path.name + ".part")
    part.write_text(text, encoding="utf-8")
    os.replace(part, path)
