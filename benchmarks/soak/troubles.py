"""What befalls the processes of a soak, and when: drawn from a seed, no I/O."""

import random
from dataclasses import dataclass
from enum import Enum, unique

MOST_AT_ONCE = 3
RECOVERS_S = (
    12.0  # from the start of a process with an empty disk, with the others still or cut off meanwhile
)
CONTACT_S = 4.0  # without trouble for so long a machine is in touch
SERIES_S = (0.3, 1.5)  # between the strikes of a series
LONGEST_SERIES = 4
MORE_WIPED = 3
SERIES_SHARE = 0.5  # of the troubles that come in series
FIRST_S = 1.0  # from the start to the first strike
PAUSE_S = (0.2, 2.5)  # between strikes or series


@unique
class Trouble(Enum):
    """What can happen; the value is (shortest, longest) in seconds."""

    KILLED = (0.3, 3.0)
    WIPED = (0.3, 2.0)
    OFF = (9.0, 70.0)
    STILL = (0.3, 4.0)
    CUT = (0.5, 4.0)
    ANSWERS_LOST = (1.0, 4.0)
    TERMINATED = (0.0, 2.0)  # SIGTERM; off for so long after its end
    RELOADED = (0.0, 0.0)  # SIGHUP
    DISK_FULL = (1.0, 6.0)
    POWER = (0.4, 2.0)  # of all at once


PLANNED = frozenset((Trouble.TERMINATED, Trouble.RELOADED))
DOWN = frozenset((Trouble.KILLED, Trouble.WIPED, Trouble.OFF, Trouble.TERMINATED, Trouble.POWER))
NEEDS_DISK = frozenset((Trouble.WIPED, Trouble.DISK_FULL))
NEEDS_RELAY = frozenset((Trouble.CUT,))
IN_SERIES = frozenset((Trouble.KILLED, Trouble.STILL, Trouble.TERMINATED, Trouble.RELOADED))
GRACE_S = 6.0  # that a process may take to end in order
EVERYWHERE = -1  # in place of a process


@dataclass(frozen=True, slots=True)
class Strike:
    """A trouble that begins at a time, strikes a process, or all, and lasts."""

    at: float
    trouble: Trouble
    process: int
    lasts: float

    @property
    def until(self) -> float:
        """When it is over at the latest."""
        return self.at + self.lasts + (GRACE_S if self.trouble is Trouble.TERMINATED else 0.0)

    @property
    def back(self) -> float:
        """When its process counts again: one whose disk was lost has to recover."""
        return self.until + (RECOVERS_S if self.trouble is Trouble.WIPED else 0.0)

    def hits(self, process: int) -> bool:
        """Whether that process is struck."""
        return self.process in (process, EVERYWHERE)


@dataclass(frozen=True, slots=True)
class Fleet:
    """What a plan is for."""

    processes: int
    disks: int
    relays: bool = True

    def kinds(self) -> list[Trouble]:
        """The troubles to draw from; a lost disk is drawn more often, since it seldom can be played."""
        some = [trouble for trouble in Trouble if self.relays or trouble not in NEEDS_RELAY]
        return some + [Trouble.WIPED] * MORE_WIPED


class Planner:
    """Draws strikes of which up to `MOST_AT_ONCE` overlap, no two at one process."""

    def __init__(self, rng: random.Random, fleet: Fleet, seconds: float) -> None:
        self.rng, self.fleet, self.seconds = rng, fleet, seconds
        self.strikes: list[Strike] = []

    def plan(self) -> list[Strike]:
        """All strikes by time."""
        at = FIRST_S
        while at < self.seconds - 1.0:
            trouble = self.rng.choice(self.fleet.kinds())
            series = trouble in IN_SERIES and self.rng.random() < SERIES_SHARE
            count = self.rng.randint(2, LONGEST_SERIES) if series else 1
            for _ in range(count):
                if at < self.seconds - 1.0:
                    self._draw(at, trouble)
                at += self.rng.uniform(*SERIES_S) if count > 1 else 0.0
            at += self.rng.uniform(*PAUSE_S)
        return self.strikes

    def _draw(self, at: float, trouble: Trouble) -> None:
        under_way = [strike for strike in self.strikes if strike.until > at]
        everywhere = any(strike.process == EVERYWHERE for strike in under_way)
        if len(under_way) >= MOST_AT_ONCE or everywhere:
            return
        shortest, longest = trouble.value
        lasts = min(self.rng.uniform(shortest, longest), max(0.0, self.seconds - at))
        if trouble is Trouble.POWER:
            if not under_way:
                self.strikes.append(Strike(at, trouble, EVERYWHERE, lasts))
            return
        free = self._free(at, trouble, under_way)
        if free:
            self.strikes.append(Strike(at, trouble, self.rng.choice(free), lasts))

    def _free(self, at: float, trouble: Trouble, under_way: list[Strike]) -> list[int]:
        struck = {strike.process for strike in under_way}
        last = self.fleet.disks if trouble in NEEDS_DISK else self.fleet.processes
        free = [process for process in range(last) if process not in struck]
        # As many disks as are borne may be lost at once: beside one that is down no other loses its disk
        if trouble in (Trouble.WIPED, Trouble.OFF) and self._disks_down(at):
            return [] if trouble is Trouble.WIPED else [one for one in free if one >= self.fleet.disks]
        return free

    def _disks_down(self, at: float) -> bool:
        return any(
            strike.back > at and strike.trouble in DOWN
            for strike in self.strikes
            if strike.process < self.fleet.disks
        )


def plan(rng: random.Random, fleet: Fleet, seconds: float) -> list[Strike]:
    """The strikes of one seed."""
    return Planner(rng, fleet, seconds).plan()
