"""The I/O interface of a gatekeeper, and the distance between processes. No I/O, no clock.

The daemon (`process.py`) and the simulated worlds of the tests each implement `NodeIO`.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from millfront.gatekeeper.operations import OperationsIO
from millfront.register.replica import PersistRequest

Message = dict[str, Any]


class NodeIO(OperationsIO, Protocol):
    """The I/O that a gatekeeper needs."""

    def send_datagram(self, address: str, message: Message) -> None:
        """Send one datagram to ``host:port``; it may be lost."""

    def send(self, address: str, message: Message) -> None:
        """Send on a persistent connection to ``host:port``; lost if it can't be opened."""

    def reply(self, via: Any, message: Message) -> None:
        """Send on the connection that a message arrived on."""

    def persist(self, persist: PersistRequest) -> None:
        """Sync the values to disk, then call `Gatekeeper.synced`."""

    def poll_platform(self, number: int) -> None:
        """Fetch the platform's list of servers, then call `Gatekeeper.polled` with this number."""

    def log(self, part: str, text: str) -> None:
        """Write a line to the log."""

    def call_later(self, seconds: float, then: Callable[[], None]) -> None:
        """Call `then` after that many seconds, unless the process has ended."""

    def now(self) -> float:
        """The present time in seconds on the monotonic clock."""


@dataclass(frozen=True, slots=True, order=True)
class Distance:
    """Distance of another process from this one; the smallest is the nearest."""

    unreachable: bool  # or leaving
    other_region: bool  # or in an unknown place
    other_zone: bool
    other_process: bool
