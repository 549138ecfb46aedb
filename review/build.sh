#!/bin/sh
# The stand-ins are Python and need the standard library only: this checks that they, and the cases, can be loaded.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || { echo "run the deploy file's build first"; exit 1; }
PYTHONDONTWRITEBYTECODE=1 .venv/bin/python - <<'PROGRAM'
import pathlib
for file in sorted(pathlib.Path("review").rglob("*.py")):
    compile(file.read_text(), str(file), "exec")
PROGRAM
