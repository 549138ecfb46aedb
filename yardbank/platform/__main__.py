"""``python -m yardbank.platform``: runs one gateway on the platform, configured by its environment."""

import sys

from yardbank.platform.signals import Signals

signals = Signals()
signals.install()  # before any slow import

from yardbank.platform.program import main  # noqa: E402

sys.exit(main(signals))
