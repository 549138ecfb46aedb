"""Shared by several commands: loading of settings with error reports, logging setup, exit codes."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click
import structlog

from yardbank.config import Config, ConfigError, load

Parsed = TypeVar("Parsed")
EXIT_FAULT = 2  # invalid settings, arguments or input


def checked_or_exit(read: Callable[[Path], Parsed], path: Path) -> Parsed:
    """Return what ``read`` makes of the file; on errors print one line for each and exit with code 2."""
    try:
        return read(path)
    except ConfigError as problem:
        for fault in problem.faults:
            click.echo(f"yardbank: {fault}", err=True)
        sys.exit(EXIT_FAULT)


def load_or_exit(path: Path) -> Config:
    """Load and check settings; on errors print them and exit with code 2."""
    return checked_or_exit(load, path)


def set_up_logs(level: str, output_format: str) -> Any:
    """Set up structured logs on stderr, as JSON lines or console text.

    Each line is a single write, because workers share the file.
    """
    renderer: Any = (
        structlog.processors.JSONRenderer() if output_format == "json" else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )
    return structlog.get_logger()
