"""Settings of Hypothesis; marks the tests listed in KNOWN-RED.txt as expected failures, see ``known_red``."""

import pytest
from hypothesis import settings

from tests.support import known_red

# A time limit on single examples judges the machine's load, not the code.
settings.register_profile("no_time_limit", parent=settings(), deadline=None)
settings.load_profile("no_time_limit")


def pytest_configure(config):
    text = known_red.FILE.read_text() if known_red.FILE.exists() else ""
    try:
        config.known_red = known_red.read(text)
    except known_red.KnownRedError as problem:
        raise pytest.UsageError(str(problem)) from None
    if absent := known_red.missing(config.known_red, known_red.ROOT):
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(absent)}")


def pytest_collection_modifyitems(config, items):
    for item in items:
        if entry := known_red.entry_for(item.nodeid, config.known_red):
            reason = f"{entry.seen} (issue {entry.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=entry.always_fails))


def pytest_terminal_summary(terminalreporter, config):
    for entry in config.known_red:
        terminalreporter.write_line(f"KNOWN RED: {entry}")
    for report in terminalreporter.stats.get("xfailed", ()):
        terminalreporter.write_line(f"KNOWN RED failed: {report.nodeid}")
