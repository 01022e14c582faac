"""The faults of a soak and their schedule, drawn from a seed; no I/O."""

import random
from dataclasses import dataclass
from enum import Enum, unique

MAX_CONCURRENT = 3
RECOVERY_S = 12.0  # from the start with an empty disk, while others may be frozen or cut off
CONTACT_TIMEOUT_S = 4.0  # a machine without faults for that long is in contact with the others
SERIES_INTERVAL_S = (0.3, 1.5)  # between the faults of a series
MAX_SERIES = 4
EXTRA_WIPED = 3
SERIES_SHARE = 0.5  # of the faults that may come in series
FIRST_FAULT_S = 1.0  # from the start to the first fault
FAULT_INTERVAL_S = (0.2, 2.5)  # between faults or series


@unique
class FaultKind(Enum):
    """Kinds of faults; the value is (shortest, longest) duration in seconds."""

    KILLED = (0.3, 3.0)
    WIPED = (0.3, 2.0)
    OFF = (9.0, 70.0)
    STILL = (0.3, 4.0)
    CUT = (0.5, 4.0)
    ANSWERS_LOST = (1.0, 4.0)
    TERMINATED = (0.0, 2.0)  # SIGTERM; the duration counts from the exit
    RELOADED = (0.0, 0.0)  # SIGHUP
    DISK_FULL = (1.0, 6.0)
    POWER = (0.4, 2.0)  # all processes at once


PLANNED = frozenset((FaultKind.TERMINATED, FaultKind.RELOADED))
DOWN = frozenset((FaultKind.KILLED, FaultKind.WIPED, FaultKind.OFF, FaultKind.TERMINATED, FaultKind.POWER))
NEEDS_DISK = frozenset((FaultKind.WIPED, FaultKind.DISK_FULL))
NEEDS_RELAY = frozenset((FaultKind.CUT,))
IN_SERIES = frozenset((FaultKind.KILLED, FaultKind.STILL, FaultKind.TERMINATED, FaultKind.RELOADED))
GRACE_S = 6.0  # for an orderly exit
ALL_PROCESSES = -1  # instead of a process number


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault of one process, or of all, that starts at `at` seconds and lasts `duration_s`."""

    at: float
    kind: FaultKind
    process: int
    duration_s: float

    @property
    def ends_by(self) -> float:
        """The latest time of its end."""
        return self.at + self.duration_s + (GRACE_S if self.kind is FaultKind.TERMINATED else 0.0)

    @property
    def recovered_by(self) -> float:
        """When its process counts as up again: one that lost its disk must recover first."""
        return self.ends_by + (RECOVERY_S if self.kind is FaultKind.WIPED else 0.0)

    def affects(self, process: int) -> bool:
        """Whether the fault affects that process."""
        return self.process in (process, ALL_PROCESSES)


@dataclass(frozen=True, slots=True)
class Fleet:
    """The processes that faults are planned for."""

    processes: int
    disks: int
    relays: bool = True

    def kinds(self) -> list[FaultKind]:
        """The kinds to draw from; a lost disk is there more often, since it is seldom possible when drawn."""
        kinds = [kind for kind in FaultKind if self.relays or kind not in NEEDS_RELAY]
        return kinds + [FaultKind.WIPED] * EXTRA_WIPED


class Planner:
    """Draws faults, of which at most `MAX_CONCURRENT` overlap, never two at one process."""

    def __init__(self, rng: random.Random, fleet: Fleet, seconds: float) -> None:
        self.rng, self.fleet, self.seconds = rng, fleet, seconds
        self.faults: list[ScheduledFault] = []

    def plan(self) -> list[ScheduledFault]:
        """Draw all faults, ordered by time."""
        at = FIRST_FAULT_S
        while at < self.seconds - 1.0:
            kind = self.rng.choice(self.fleet.kinds())
            series = kind in IN_SERIES and self.rng.random() < SERIES_SHARE
            count = self.rng.randint(2, MAX_SERIES) if series else 1
            for _ in range(count):
                if at < self.seconds - 1.0:
                    self._draw(at, kind)
                at += self.rng.uniform(*SERIES_INTERVAL_S) if count > 1 else 0.0
            at += self.rng.uniform(*FAULT_INTERVAL_S)
        return self.faults

    def _draw(self, at: float, kind: FaultKind) -> None:
        active = [fault for fault in self.faults if fault.ends_by > at]
        everywhere = any(fault.process == ALL_PROCESSES for fault in active)
        if len(active) >= MAX_CONCURRENT or everywhere:
            return
        shortest, longest = kind.value
        duration_s = min(self.rng.uniform(shortest, longest), max(0.0, self.seconds - at))
        if kind is FaultKind.POWER:
            if not active:
                self.faults.append(ScheduledFault(at, kind, ALL_PROCESSES, duration_s))
            return
        free = self._free(at, kind, active)
        if free:
            self.faults.append(ScheduledFault(at, kind, self.rng.choice(free), duration_s))

    def _free(self, at: float, kind: FaultKind, active: list[ScheduledFault]) -> list[int]:
        busy = {fault.process for fault in active}
        last = self.fleet.disks if kind in NEEDS_DISK else self.fleet.processes
        free = [process for process in range(last) if process not in busy]
        # The core tolerates a bounded loss: while a machine with a disk is down, no other loses its disk
        if kind in (FaultKind.WIPED, FaultKind.OFF) and self._disks_down(at):
            return [] if kind is FaultKind.WIPED else [one for one in free if one >= self.fleet.disks]
        return free

    def _disks_down(self, at: float) -> bool:
        return any(
            fault.recovered_by > at and fault.kind in DOWN
            for fault in self.faults
            if fault.process < self.fleet.disks
        )


def plan_faults(rng: random.Random, fleet: Fleet, seconds: float) -> list[ScheduledFault]:
    """Draw the faults of one seed."""
    return Planner(rng, fleet, seconds).plan()
