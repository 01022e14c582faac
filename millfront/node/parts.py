"""Optional parts, enabled by operators: started before the first client, stopped after the last response."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from millfront.logs import Log
from millfront.node.config import ConfigError

log = Log(__name__)


class Part(Protocol):
    """An optional subsystem of a gatekeeper; its faults do not affect others."""

    name: str

    async def start(self) -> None:
        """Called before the gatekeeper listens. A ConfigError, which names the field, aborts the start."""

    async def run(self) -> None:
        """Runs until cancelled; restarted after a fault."""

    async def stop(self) -> None:
        """Called after the last response, in the reverse order of the starts."""

    def reload(self) -> None:
        """Called on SIGHUP; must not block."""


class Parts:
    def __init__(self) -> None:
        self._parts: list[Part] = []
        self._started: list[Part] = []

    def add(self, part: Part) -> None:
        self._parts.append(part)

    async def start(self, supervise: Callable[[Callable[[], Awaitable[None]]], object]) -> None:
        """Starts the parts in the order of add(): each may use those before it."""
        for part in self._parts:
            try:
                await part.start()
            except OSError as error:
                raise ConfigError(f"{part.name}: {error.filename or ''} {error.strerror or error}") from None
            self._started.append(part)
            supervise(part.run)
            log.info("part started", part=part.name)

    async def stop(self) -> None:
        """Stops the parts; a fault in one does not keep the others from stopping."""
        while self._started:
            part = self._started.pop()
            try:
                await part.stop()
            except Exception:
                log.exception("part failed to stop", part=part.name)

    def reload(self) -> None:
        for part in self._started:
            try:
                part.reload()
            except Exception:
                log.exception("part failed to reload", part=part.name)
