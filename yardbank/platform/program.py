"""The program on the platform: log, configuration, reactor and exit code."""

from __future__ import annotations

import gc
import logging
import os
import resource
import sys
import time
from typing import Any

import structlog

from yardbank.platform.config import PlatformError, load_config
from yardbank.platform.service import Service
from yardbank.platform.signals import Signals


def _configure_log() -> Any:
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(default=str),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger()


def _allowed_descriptors() -> int | None:
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if allowed == resource.RLIM_INFINITY else allowed


def main(signals: Signals) -> int:
    """Serves until told to stop and returns the exit code. Signals during startup are handled once it serves."""
    log = _configure_log()
    try:
        config = load_config(os.environ)
    except PlatformError as problem:
        print(f"yardbank: {problem}", file=sys.stderr)
        return 2
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    reactor.seconds = time.monotonic  # timers must not shift when the wall clock is set
    try:
        service = Service(config, reactor, log, allowed_descriptors=_allowed_descriptors())
        service.start()
    except PlatformError as problem:
        print(f"yardbank: {problem}", file=sys.stderr)
        return 2
    signals.set_handler(lambda number: reactor.callFromThread(service.handle_signal, number, os.environ))
    gc.collect()
    gc.freeze()
    # Requests are short-lived: collecting after each 700 objects, the default, costs a tenth of the performance.
    gc.set_threshold(20_000, 20, 20)
    reactor.run(installSignalHandlers=False)
    signals.ignore()
    if service.failure:
        print(f"yardbank: {service.failure}", file=sys.stderr)
        return 2
    return 0
