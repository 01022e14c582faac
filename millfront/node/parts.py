"""Parts that the operators switch on: started before the first client, wound down after the last answer."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from millfront.logs import Log
from millfront.node.config import ConfigError

log = Log(__name__)


class Part(Protocol):
    """One subsystem beside the gatekeeper's own work; each has its faults to itself."""

    name: str

    async def start(self) -> None:
        """Before the gatekeeper listens. A ConfigError ends the start; it names the field."""

    async def run(self) -> None:
        """Until cancelled; started anew after a fault."""

    async def stop(self) -> None:
        """After the last answer, in the reverse order of the starts."""

    def reload(self) -> None:
        """On SIGHUP; must not wait."""


class Parts:
    def __init__(self) -> None:
        self._parts: list[Part] = []
        self._started: list[Part] = []

    def add(self, part: Part) -> None:
        self._parts.append(part)

    async def start(self, supervise: Callable[[Callable[[], Awaitable[None]]], object]) -> None:
        """In the order in which they were added: each may use those before it."""
        for part in self._parts:
            try:
                await part.start()
            except OSError as error:
                raise ConfigError(f"{part.name}: {error.filename or ''} {error.strerror or error}") from None
            self._started.append(part)
            supervise(part.run)
            log.info("part started", part=part.name)

    async def stop(self) -> None:
        """One part's fault must not keep the others from ending well."""
        while self._started:
            part = self._started.pop()
            try:
                await part.stop()
            except Exception:
                log.exception("a part did not end well", part=part.name)

    def reload(self) -> None:
        for part in self._started:
            try:
                part.reload()
            except Exception:
                log.exception("a part did not reload", part=part.name)
