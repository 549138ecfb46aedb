"""``python -m yardbank.platform``: one gateway on the platform, told by its environment."""

import sys

from yardbank.platform.signals import Signals

signals = Signals()
signals.install()  # before all that takes time to load

from yardbank.platform.service import main  # noqa: E402

sys.exit(main(signals))
