"""What a gatekeeper asks of its surroundings, and how far another process is. No I/O, no clock.

The daemon (`process.py`) and the simulated worlds of the tests each implement `NodeIO`.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from millfront.gatekeeper.operations import OperationsIO
from millfront.register.replica import PersistRequest

Message = dict[str, Any]


class NodeIO(OperationsIO, Protocol):
    """What a gatekeeper asks of its I/O."""

    def send_datagram(self, address: str, message: Message) -> None:
        """Send one datagram; it may be lost."""

    def send(self, address: str, message: Message) -> None:
        """On a held connection; lost where it can't be had."""

    def reply(self, via: Any, message: Message) -> None:
        """On the connection that something came on."""

    def persist(self, persist: PersistRequest) -> None:
        """Sync it, then tell `Gatekeeper.synced`."""

    def poll_platform(self, number: int) -> None:
        """Ask the platform for its list, then tell `Gatekeeper.polled`."""

    def log(self, part: str, text: str) -> None:
        """A log line."""

    def call_later(self, seconds: float, then: Callable[[], None]) -> None:
        """Call that after so long, unless the process has ended."""

    def now(self) -> float:
        """The time as it is, on the steady clock."""


@dataclass(frozen=True, slots=True, order=True)
class Distance:
    """Of another process from this one; the least is the nearest. ``unreachable``: it is, or it leaves."""

    unreachable: bool
    other_region: bool  # in another region, or not known where
    other_zone: bool
    other_process: bool
