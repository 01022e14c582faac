"""What one process tells of itself, as it is kept by others and as it goes over the wire. No I/O, no clock.

A record is told first by its own process and then passed on by others, minutes later where somebody asks for
the whole roster. So a record that is passed on says how long ago it was written, as far as the teller knows
(`ToldRecord.silence`), and who takes it dates it by that and never by its arrival. Each hop leaves out its
way on the wire, so a date is at most that much too late, and never too early.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

READY, LEAVING, PART, KEEPS = 1, 2, 4, 8  # flags of a record
Totals = dict[str, list[float]]
Message = dict[str, Any]


class Liveness(Enum):
    """Of another process, as seen from here."""

    UP = "up"
    SUSPECT = "suspect"
    LOST = "lost"


class ToldRecord(NamedTuple):
    """A record as it came over the wire; a tuple, since thousands come each second.

    >>> told = ToldRecord.of(["n", 7, 3, READY, 2.5, {}, 12, 1.25])
    >>> told.stamp, told.ready, told.leaving, told.silence
    ((7, 3), True, False, 1.25)
    >>> ToldRecord.of(["n", 7, 3, READY, 2.5, {}, 12]).silence
    0.0
    """

    name: str
    incarnation: int
    number: int
    flags: int
    age: float  # seconds that its process had run when it was written
    totals: Totals
    version: int = 0
    silence: float = 0.0  # seconds since it was written, at the least

    @classmethod
    def of(cls, wire: list[Any]) -> "ToldRecord":
        """Read a record; what a later version adds behind is left out."""
        return cls(*wire[:RECORD_FIELDS])

    @property
    def stamp(self) -> tuple[int, int]:
        """(incarnation, number): of two records of one process the higher is the newer."""
        return self.incarnation, self.number

    @property
    def ready(self) -> bool:
        """Its process serves clients."""
        return bool(self.flags & READY)

    @property
    def leaving(self) -> bool:
        """Its process ends in order."""
        return bool(self.flags & LEAVING)

    @property
    def keeps(self) -> bool:
        """Its process's replica votes and has caught up."""
        return bool(self.flags & KEEPS)

    @property
    def part(self) -> bool:
        """Its totals are not all there are."""
        return bool(self.flags & PART)


RECORD_FIELDS = len(ToldRecord._fields)


@dataclass(slots=True)
class MemberRecord:
    """A record as it is kept. ``totals``: tenant -> [sent, asked], units since its process's start."""

    name: str
    incarnation: int
    number: int = 0
    ready: bool = False
    leaving: bool = False
    keeps: bool = False  # its replica votes and has caught up
    version: int = 0  # of the configuration in force there
    totals: Totals = field(default_factory=dict)
    age: float = 0.0  # seconds that its process had run when it was written
    identity: Message | None = None  # what never changes: post, zone, region, plain, core
    written: float = 0.0  # on the clock here, as late as it can have been
    liveness: Liveness = Liveness.UP
    told: int = -1  # number when last passed on by us
    part: bool = False  # not all of its totals were heard in this life

    @property
    def stamp(self) -> tuple[int, int]:
        """(incarnation, number): of two records of one process the higher is the newer."""
        return self.incarnation, self.number

    def take(self, told: ToldRecord, written: float) -> None:
        """Be brought up to a newer record, which was written at that time at the latest."""
        if told.incarnation != self.incarnation:
            self.told, self.part, self.totals = -1, True, {}
        self.incarnation, self.number, self.age = told.incarnation, told.number, told.age
        self.ready, self.leaving, self.keeps = told.ready, told.leaving, told.keeps
        self.part = self.part and told.part
        self.totals = self.totals | told.totals if told.part else told.totals
        self.version = told.version
        self.written = written

    def wire(self, silence: float = 0.0, moved: Totals | None = None) -> list[Any]:
        """The record as it is told.

        :param silence: seconds since it was written; 0: this process's own
        :param moved: of its totals these alone
        """
        flags = READY * self.ready | LEAVING * self.leaving | PART * (self.part or moved is not None)
        flags |= KEEPS * self.keeps
        totals, age = self.totals if moved is None else moved, round(self.age, 3)
        wire = [self.name, self.incarnation, self.number, flags, age, totals, self.version]
        return [*wire, round(silence, 3)] if silence else wire


@dataclass(frozen=True, slots=True)
class Lost:
    """A member was judged lost: its (incarnation, number) then, and when that was."""

    stamp: tuple[int, int]
    at: float
