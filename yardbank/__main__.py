"""``python -m yardbank``."""

from yardbank.cli import main

main()
