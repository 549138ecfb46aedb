"""Reads the configuration again in service; a file that cannot be read is tried again for some time."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from yardbank.platform.config import ConfigFileError, PlatformConfig, PlatformError, load_config

RETRY_DELAY_S = 0.1
MAX_RETRIES = 30  # 3 s: the platform counts on a new address of discovery 4 s after the signal


class Reloader:
    """Passes each configuration that could be read to ``apply``. ``call_later`` is the reactor's."""

    def __init__(self, call_later: Callable[..., Any], apply: Callable[[PlatformConfig], None], log: Any) -> None:
        self._call_later = call_later
        self._apply = apply
        self._log = log
        self._retry: Any = None

    def reload(self, environment: Mapping[str, str]) -> None:
        """Reads the file that the environment names; replaces an earlier attempt that is still tried again."""
        self.cancel()
        try:
            config = load_config(environment)
        except PlatformError as problem:
            self._log.error("reload_rejected", problem=str(problem))
            if isinstance(problem, ConfigFileError):
                self._schedule(environment, MAX_RETRIES)
            return
        self._apply(config)

    def cancel(self) -> None:
        """Ends further attempts."""
        retry, self._retry = self._retry, None
        if retry is not None:
            retry.cancel()

    def _schedule(self, environment: Mapping[str, str], retries_left: int) -> None:
        self._retry = self._call_later(RETRY_DELAY_S, self._try_again, environment, retries_left)

    def _try_again(self, environment: Mapping[str, str], retries_left: int) -> None:
        self._retry = None
        try:
            config = load_config(environment)
        except PlatformError as problem:
            if retries_left > 1 and isinstance(problem, ConfigFileError):
                self._schedule(environment, retries_left - 1)
            else:
                self._log.error("reload_given_up", problem=str(problem))
            return
        self._apply(config)
