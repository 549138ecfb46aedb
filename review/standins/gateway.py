"""Starts the program under test by the deploy file's command, as the platform does, and signals it."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]


def free_port() -> int:
    """A port that is free now, from below the range that the system gives to connecting sockets."""
    for _ in range(1000):
        port = random.SystemRandom().randrange(20000, 32000)
        if port in _given:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given.add(port)
        return port
    raise RuntimeError("no free port")


_given: set[int] = set()


class Gateway:
    """One gateway process; ``folder`` is its private temporary folder."""

    def __init__(self, name: str, folder: Path, configuration: dict[str, Any]) -> None:
        self.name = name
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self._folder = folder
        self._configuration = configuration
        self._file = folder / f"{name}.json"

    def configure(self, **fields: Any) -> None:
        """Changes fields of the configuration file and replaces the file whole."""
        self._configuration.update(fields)
        whole = {"name": self.name, "listen": f"127.0.0.1:{self.port}", **self._configuration}
        draft = self._file.with_suffix(".draft")
        draft.write_text(json.dumps(whole))
        draft.replace(self._file)

    async def start(self) -> None:
        """Starts the program; it is not ready yet."""
        self.starts += 1
        self.configure(seed=f"{0x8C1F30D2 + self.starts * 977 + sum(self.name.encode()):016x}")
        temporary = self._folder / f"{self.name}-tmp-{self.starts}"
        temporary.mkdir()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                **os.environ,
                "NODE_NAME": self.name,
                "NODE_LISTEN": f"127.0.0.1:{self.port}",
                "NODE_DISCOVERY": self._configuration["discovery"],
                "NODE_CONFIG": str(self._file),
                "TMPDIR": str(temporary),
            },
        )
        log.close()

    def signal(self, number: signal.Signals) -> None:
        """Signals the process, if it is there."""
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def end(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            await self.process.wait()
