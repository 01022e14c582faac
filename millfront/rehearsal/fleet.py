"""Real gatekeeper processes: started as the deploy file's `run` starts one, signalled, killed and restarted.
Each has its own configuration, name, zone and state directory, and is signalled only by its own process id.
"""

import asyncio
import contextlib
import json
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

START_TIMEOUT_S = 20.0  # a gatekeeper that does not serve within it has failed to start
STOP_TIMEOUT_S = 10.0  # from SIGTERM to SIGKILL


class StartFailed(Exception):
    """A gatekeeper did not start to serve; the message holds the end of its log."""


@dataclass(slots=True)
class Gatekeeper:
    index: int
    folder: Path
    config: dict[str, Any]
    operators: dict[str, Any]
    process: asyncio.subprocess.Process | None = None
    address: str = ""
    admin: str = ""
    starts: int = 0
    log_offset: int = 0  # in bytes, where the log of the running process begins

    @property
    def name(self) -> str:
        return f"g{self.index}"

    @property
    def config_path(self) -> Path:
        return self.folder / "config.json"

    @property
    def state(self) -> Path:
        """$TMPDIR of the gatekeeper: kept across restarts, as the platform keeps it across an upgrade."""
        return self.folder / "state"

    @property
    def log_path(self) -> Path:
        return self.folder / "log.jsonl"

    def write_config(self, config: dict[str, Any] | None = None) -> None:
        """Write atomically, by a rename: a reader sees either the old file or the new one."""
        if config is not None:
            self.config = config
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config, indent=1))
        temporary.replace(self.config_path)

    async def start(self) -> None:
        """:raises StartFailed: it exited, or did not serve within START_TIMEOUT_S"""
        self.state.mkdir(parents=True, exist_ok=True)
        (self.folder / "operators.json").write_text(json.dumps(self.operators))
        if not self.config_path.exists():
            self.write_config()
        environment = {
            key: value for key, value in os.environ.items() if not key.startswith(("NODE_", "MILLFRONT_"))
        } | {
            "NODE_CONFIG": str(self.config_path),
            "NODE_NAME": self.name,
            "MILLFRONT_OPERATOR": str(self.folder / "operators.json"),
            "TMPDIR": str(self.state),
        }
        log = self.log_path.open("ab")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "millfront", env=environment, stdout=log, stderr=log
        )
        log.close()
        self.starts += 1
        self.address = self.admin = ""
        await self._wait_until_serving()

    async def _wait_until_serving(self) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + START_TIMEOUT_S
        while loop.time() < deadline:
            for line in self._lines(self.log_offset):
                if line.get("event") == "serves":
                    self.address = str(line["address"])
                elif line.get("event") == "operators are answered":
                    self.admin = str(line["address"])
                elif line.get("event") == "the admin API listens":
                    self.admin = self.admin or str(line["address"])
            if self.address:
                return
            assert self.process is not None
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.05)
        tail = self.log_path.read_text(errors="replace")[-2000:]
        raise StartFailed(f"{self.name} did not serve within {START_TIMEOUT_S} s:\n{tail}")

    def _lines(self, offset: int) -> list[dict[str, Any]]:
        with self.log_path.open("rb") as file:
            file.seek(offset)
            lines = []
            for raw in file.read().splitlines():
                with contextlib.suppress(ValueError):
                    line = json.loads(raw)
                    if isinstance(line, dict):
                        lines.append(line)
            return lines

    async def restart(self) -> None:
        self.log_offset = self.log_path.stat().st_size
        await self.start()

    def signal(self, number: signal.Signals) -> bool:
        """Send a signal to the process's own id; False if it has exited."""
        process = self.process
        if process is None or process.returncode is not None:
            return False
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, number)
            return True
        return False

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def stop(self) -> int | None:
        """SIGTERM, then SIGKILL after STOP_TIMEOUT_S; the exit code, or None if it was never started."""
        process = self.process
        if process is None:
            return None
        if process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
            except TimeoutError:
                self.signal(signal.SIGKILL)
                await process.wait()
        return process.returncode

    def log(self) -> list[dict[str, Any]]:
        lines = self._lines(0) if self.log_path.exists() else []
        for line in lines:
            line["gatekeeper"] = self.index
        return lines


def configuration(
    index: int, listen_settings: dict[str, Any], discovery: str, counter: str | None, known: dict[str, Any]
) -> dict[str, Any]:
    """The platform's configuration file for a gatekeeper (DEPLOY: NODE_CONFIG), on loopback, port 0."""
    config: dict[str, Any] = {
        "name": f"g{index}",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": f"{index + 1:016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": listen_settings | {"Me": index},
    }
    if counter is not None:
        config["counter"] = counter
    return config
