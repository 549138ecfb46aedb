#!/bin/sh
# Builds what the cases of the second review start. The stand-ins are plain Python and need nothing but the
# interpreter of the deploy file's build: this only checks that they compile and can be imported.
set -eu
here="$(cd "$(dirname "$0")" && pwd)"
root="$(dirname "$here")"
for file in "$here"/standins2/*.py "$here"/[6-9]/play.py "$here"/10/play.py; do
    [ -e "$file" ] || continue
    "$root/.venv/bin/python" -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$here" "$root/.venv/bin/python" -c 'import standins2.drains, standins2.rig, standins2.wire'
