"""``python -m yardbank.platform``: one gateway on the platform, told by its environment."""

import sys

from yardbank.platform.service import main

sys.exit(main())
