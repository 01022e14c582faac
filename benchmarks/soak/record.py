"""Records what a soak observed, from several threads, and which machines had faults when."""

import threading
import time
from dataclasses import dataclass, field

from benchmarks.soak.faults import ALL_PROCESSES, CONTACT_TIMEOUT_S, PLANNED, FaultKind

FOREVER = float("inf")


@dataclass(slots=True)
class FaultPeriod:
    """A fault as it happened: its start and end on the monotonic clock."""

    kind: FaultKind
    process: int
    started: float
    ended: float = FOREVER

    def overlaps(self, since: float, until: float) -> bool:
        """Whether any part of it lies between the two times."""
        return self.started <= until and self.ended >= since


@dataclass
class Record:
    """The observations during one seed."""

    disks: int = 0
    broken: list[str] = field(default_factory=list)
    seals: dict[str, set[str]] = field(default_factory=dict)  # by operation key, of successes
    counts: dict[str, int] = field(default_factory=dict)  # by name of the event
    acknowledged: int = 0  # the highest acknowledged version
    evacuated: dict[str, bool] = field(default_factory=dict)  # by zone, as last acknowledged
    off_since: dict[int, float] = field(default_factory=dict)
    faults: list[FaultPeriod] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def check(self, holds: bool, text: str) -> None:
        """Record a check that failed."""
        if not holds:
            with self.lock:
                self.broken.append(text)

    def count(self, what: str) -> None:
        """Count an event."""
        with self.lock:
            self.counts[what] = self.counts.get(what, 0) + 1

    def begin_fault(self, kind: FaultKind, process: int) -> FaultPeriod:
        """Record a fault that begins now."""
        period = FaultPeriod(kind, process, time.monotonic())
        with self.lock:
            self.faults.append(period)
        return period

    def was_undisturbed(self, process: int, since: float, until: float) -> bool:
        """Whether that machine and the core had no fault from CONTACT_TIMEOUT_S before `since` to `until`."""
        with self.lock:
            near = [period for period in self.faults if period.overlaps(since - CONTACT_TIMEOUT_S, until)]
        return not any(
            period.process in (process, ALL_PROCESSES) or period.process < self.disks for period in near
        )

    def only_planned_faults(self, process: int, since: float, until: float) -> bool:
        """Whether that machine and the core had only planned faults then, and no loss of all power."""
        with self.lock:
            near = [period for period in self.faults if period.overlaps(since - CONTACT_TIMEOUT_S, until)]
        return all(
            period.kind in PLANNED and period.process != ALL_PROCESSES
            for period in near
            if period.process == process or period.process < self.disks
        )
