#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(dirname "$(dirname "$here")")"
[ -x "$root/.venv/bin/python" ] || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$root/review" exec "$root/.venv/bin/python" "$here/play.py"
