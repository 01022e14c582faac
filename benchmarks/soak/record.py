"""What a soak saw, by several threads, and which machines were in touch when."""

import threading
import time
from dataclasses import dataclass, field

from benchmarks.soak.faults import ALL_PROCESSES, CONTACT_TIMEOUT_S, PLANNED, FaultKind

FOREVER = float("inf")


@dataclass(slots=True)
class FaultPeriod:
    """A trouble as it was played: from when to when, on the steady clock."""

    kind: FaultKind
    process: int
    started: float
    ended: float = FOREVER

    def overlaps(self, since: float, until: float) -> bool:
        """Whether any of it lies between the two."""
        return self.started <= until and self.ended >= since


@dataclass
class Record:
    """What was seen during one seed."""

    disks: int = 0
    broken: list[str] = field(default_factory=list)
    seals: dict[str, set[str]] = field(default_factory=dict)  # by operation key, of the successes
    counts: dict[str, int] = field(default_factory=dict)  # by what was done
    acknowledged: int = 0  # the highest version
    evacuated: dict[str, bool] = field(default_factory=dict)  # by zone, as acknowledged last
    off_since: dict[int, float] = field(default_factory=dict)
    faults: list[FaultPeriod] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def check(self, holds: bool, text: str) -> None:
        """Note what does not hold."""
        if not holds:
            with self.lock:
                self.broken.append(text)

    def count(self, what: str) -> None:
        """One more of that."""
        with self.lock:
            self.counts[what] = self.counts.get(what, 0) + 1

    def begin_fault(self, kind: FaultKind, process: int) -> FaultPeriod:
        """A trouble begins now."""
        period = FaultPeriod(kind, process, time.monotonic())
        with self.lock:
            self.faults.append(period)
        return period

    def was_undisturbed(self, process: int, since: float, until: float) -> bool:
        """Whether neither that machine nor the core had trouble, since the contact time before."""
        with self.lock:
            near = [period for period in self.faults if period.overlaps(since - CONTACT_TIMEOUT_S, until)]
        return not any(
            period.process in (process, ALL_PROCESSES) or period.process < self.disks for period in near
        )

    def only_planned_faults(self, process: int, since: float, until: float) -> bool:
        """Whether planned work alone befell that machine, and nothing the core."""
        with self.lock:
            near = [period for period in self.faults if period.overlaps(since - CONTACT_TIMEOUT_S, until)]
        return all(
            period.kind in PLANNED and period.process != ALL_PROCESSES
            for period in near
            if period.process == process or period.process < self.disks
        )
