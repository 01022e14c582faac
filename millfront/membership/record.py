"""The record that a process publishes of itself, as other members hold it and on the wire. No I/O, no clock.

A record is first sent by its own process and then forwarded by others, minutes later where a process asks for
all members. So a forwarded record says how long ago it was written, as far as its sender knows
(`WireRecord.staleness`), and the receiver dates it by that and never by its arrival. Each hop leaves out its
transit time, so that a date is too late by these times at most, and never too early.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

READY, LEAVING, PARTIAL, FULL_COPY = 1, 2, 4, 8  # flags of a record
Totals = dict[str, list[float]]
Message = dict[str, Any]


class Liveness(Enum):
    """State of another process, as this one judges it; status and logs show the values."""

    UP = "up"
    SUSPECT = "suspect"
    UNREACHABLE = "lost"


class WireRecord(NamedTuple):
    """A record as received; a tuple, since thousands arrive each second.

    >>> record = WireRecord.from_wire(["n", 7, 3, READY, 2.5, {}, 12, 1.25])
    >>> record.stamp, record.ready, record.leaving, record.staleness
    ((7, 3), True, False, 1.25)
    >>> WireRecord.from_wire(["n", 7, 3, READY, 2.5, {}, 12]).staleness
    0.0
    """

    name: str
    incarnation: int
    sequence: int
    flags: int
    uptime: float  # seconds that its process had run when it was written
    totals: Totals
    config_version: int = 0
    staleness: float = 0.0  # lower bound of the seconds since it was written

    @classmethod
    def from_wire(cls, wire: list[Any]) -> "WireRecord":
        """Parse a record; fields that a later software version appends are ignored."""
        return cls(*wire[:RECORD_FIELDS])

    @property
    def stamp(self) -> tuple[int, int]:
        """(incarnation, sequence): of two records of one process the higher is the newer."""
        return self.incarnation, self.sequence

    @property
    def ready(self) -> bool:
        """Its process serves clients."""
        return bool(self.flags & READY)

    @property
    def leaving(self) -> bool:
        """Its process is shutting down in order."""
        return bool(self.flags & LEAVING)

    @property
    def has_full_copy(self) -> bool:
        """The replica of its process votes and has caught up."""
        return bool(self.flags & FULL_COPY)

    @property
    def partial(self) -> bool:
        """It has only some of the totals of its process."""
        return bool(self.flags & PARTIAL)


RECORD_FIELDS = len(WireRecord._fields)


@dataclass(slots=True)
class MemberRecord:
    """A record as held. ``totals``: tenant -> [sent, demand], in requests since its process started."""

    name: str
    incarnation: int
    sequence: int = 0
    ready: bool = False
    leaving: bool = False
    has_full_copy: bool = False  # the replica of its process votes and has caught up
    config_version: int = 0  # of the configuration in force in its process
    totals: Totals = field(default_factory=dict)
    uptime: float = 0.0  # seconds that its process had run when it was written
    identity: Message | None = None  # what never changes: post, zone, region, plain, core
    written_at: float = 0.0  # by the clock of this process, at the latest
    liveness: Liveness = Liveness.UP
    forwarded: int = -1  # sequence when last forwarded by this process
    partial: bool = False  # not all totals of this incarnation have been received

    @property
    def stamp(self) -> tuple[int, int]:
        """(incarnation, sequence): of two records of one process the higher is the newer."""
        return self.incarnation, self.sequence

    def update(self, new: WireRecord, written_at: float) -> None:
        """Apply a newer record, written at ``written_at`` at the latest."""
        if new.incarnation != self.incarnation:
            self.forwarded, self.partial, self.totals = -1, True, {}
        self.incarnation, self.sequence, self.uptime = new.incarnation, new.sequence, new.uptime
        self.ready, self.leaving, self.has_full_copy = new.ready, new.leaving, new.has_full_copy
        self.partial = self.partial and new.partial
        self.totals = self.totals | new.totals if new.partial else new.totals
        self.config_version = new.config_version
        self.written_at = written_at

    def to_wire(self, staleness: float = 0.0, changed: Totals | None = None) -> list[Any]:
        """The record as sent.

        :param staleness: seconds since it was written; 0: this process's own
        :param changed: the totals to send; None: all
        """
        flags = READY * self.ready | LEAVING * self.leaving | PARTIAL * (self.partial or changed is not None)
        flags |= FULL_COPY * self.has_full_copy
        totals, uptime = self.totals if changed is None else changed, round(self.uptime, 3)
        wire = [self.name, self.incarnation, self.sequence, flags, uptime, totals, self.config_version]
        return [*wire, round(staleness, 3)] if staleness else wire


@dataclass(frozen=True, slots=True)
class UnreachableMark:
    """A member was judged unreachable: its (incarnation, sequence) then, and when that was."""

    stamp: tuple[int, int]
    at: float
