"""What one process tells of itself, as it is kept by others and as it goes over the wire. No I/O, no clock.

A record is told first by its own process and then passed on by others, minutes later where somebody asks for
the whole roster. So a record that is passed on says how long ago it was written, as far as the teller knows
(`WireRecord.staleness`), and who takes it dates it by that and never by its arrival. Each hop leaves out its
way on the wire, so a date is at most that much too late, and never too early.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

READY, LEAVING, PARTIAL, FULL_COPY = 1, 2, 4, 8  # flags of a record
Totals = dict[str, list[float]]
Message = dict[str, Any]


class Liveness(Enum):
    """Of another process, as seen from here."""

    UP = "up"
    SUSPECT = "suspect"
    UNREACHABLE = "lost"


class WireRecord(NamedTuple):
    """A record as it came over the wire; a tuple, since thousands come each second.

    >>> told = WireRecord.from_wire(["n", 7, 3, READY, 2.5, {}, 12, 1.25])
    >>> told.stamp, told.ready, told.leaving, told.staleness
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
    staleness: float = 0.0  # seconds since it was written, at the least

    @classmethod
    def from_wire(cls, wire: list[Any]) -> "WireRecord":
        """Read a record; what a later version adds behind is left out."""
        return cls(*wire[:RECORD_FIELDS])

    @property
    def stamp(self) -> tuple[int, int]:
        """(incarnation, number): of two records of one process the higher is the newer."""
        return self.incarnation, self.sequence

    @property
    def ready(self) -> bool:
        """Its process serves clients."""
        return bool(self.flags & READY)

    @property
    def leaving(self) -> bool:
        """Its process ends in order."""
        return bool(self.flags & LEAVING)

    @property
    def has_full_copy(self) -> bool:
        """Its process's replica votes and has caught up."""
        return bool(self.flags & FULL_COPY)

    @property
    def partial(self) -> bool:
        """Its totals are not all there are."""
        return bool(self.flags & PARTIAL)


RECORD_FIELDS = len(WireRecord._fields)


@dataclass(slots=True)
class MemberRecord:
    """A record as it is kept. ``totals``: tenant -> [sent, asked], units since its process's start."""

    name: str
    incarnation: int
    sequence: int = 0
    ready: bool = False
    leaving: bool = False
    has_full_copy: bool = False  # its replica votes and has caught up
    config_version: int = 0  # of the configuration in force there
    totals: Totals = field(default_factory=dict)
    uptime: float = 0.0  # seconds that its process had run when it was written
    identity: Message | None = None  # what never changes: post, zone, region, plain, core
    written_at: float = 0.0  # on the clock here, as late as it can have been
    liveness: Liveness = Liveness.UP
    forwarded: int = -1  # number when last passed on by us
    partial: bool = False  # not all of its totals were heard in this life

    @property
    def stamp(self) -> tuple[int, int]:
        """(incarnation, number): of two records of one process the higher is the newer."""
        return self.incarnation, self.sequence

    def update(self, received: WireRecord, written_at: float) -> None:
        """Be brought up to a newer record, which was written at that time at the latest."""
        if received.incarnation != self.incarnation:
            self.forwarded, self.partial, self.totals = -1, True, {}
        self.incarnation, self.sequence, self.uptime = (
            received.incarnation,
            received.sequence,
            received.uptime,
        )
        self.ready, self.leaving, self.has_full_copy = (
            received.ready,
            received.leaving,
            received.has_full_copy,
        )
        self.partial = self.partial and received.partial
        self.totals = self.totals | received.totals if received.partial else received.totals
        self.config_version = received.config_version
        self.written_at = written_at

    def to_wire(self, staleness: float = 0.0, changed: Totals | None = None) -> list[Any]:
        """The record as it is told.

        :param staleness: seconds since it was written; 0: this process's own
        :param changed: of its totals these alone
        """
        flags = READY * self.ready | LEAVING * self.leaving | PARTIAL * (self.partial or changed is not None)
        flags |= FULL_COPY * self.has_full_copy
        totals, age = self.totals if changed is None else changed, round(self.uptime, 3)
        wire = [self.name, self.incarnation, self.sequence, flags, age, totals, self.config_version]
        return [*wire, round(staleness, 3)] if staleness else wire


@dataclass(frozen=True, slots=True)
class UnreachableMark:
    """A member was judged lost: its (incarnation, number) then, and when that was."""

    stamp: tuple[int, int]
    at: float
