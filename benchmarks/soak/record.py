"""What a soak saw, by several threads, and which machines were in touch when."""

import threading
import time
from dataclasses import dataclass, field

from benchmarks.soak.troubles import CONTACT_S, EVERYWHERE, PLANNED, Trouble

FOREVER = float("inf")


@dataclass(slots=True)
class Spell:
    """A trouble as it was played: from when to when, on the steady clock."""

    trouble: Trouble
    process: int
    begun: float
    over: float = FOREVER

    def touches(self, since: float, until: float) -> bool:
        """Whether any of it lies between the two."""
        return self.begun <= until and self.over >= since


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
    spells: list[Spell] = field(default_factory=list)
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

    def begins(self, trouble: Trouble, process: int) -> Spell:
        """A trouble begins now."""
        spell = Spell(trouble, process, time.monotonic())
        with self.lock:
            self.spells.append(spell)
        return spell

    def in_touch(self, process: int, since: float, until: float) -> bool:
        """Whether neither that machine nor the core had trouble, since the contact time before."""
        with self.lock:
            near = [spell for spell in self.spells if spell.touches(since - CONTACT_S, until)]
        return not any(spell.process in (process, EVERYWHERE) or spell.process < self.disks for spell in near)

    def only_ends_in_order(self, process: int, since: float, until: float) -> bool:
        """Whether planned work alone befell that machine, and nothing the core."""
        with self.lock:
            near = [spell for spell in self.spells if spell.touches(since - CONTACT_S, until)]
        return all(
            spell.trouble in PLANNED and spell.process != EVERYWHERE
            for spell in near
            if spell.process == process or spell.process < self.disks
        )
