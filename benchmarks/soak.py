"""Real processes on real sockets under overlapping troubles, for many seeds, with the invariants on.

    python -m benchmarks.soak                       # 5 seeds of 90 s each
    python -m benchmarks.soak --seeds 20 --first 100 --seconds 30
    python -m benchmarks.soak --small               # one seed of some seconds, as in CI

Four gatekeepers with disks in two regions, with a relay on each link between them (`millfront/rehearsal/
links.py`). Two or three troubles overlap: a process is killed, or killed and its disk wiped, or stays off for
long, or stands still; one is cut off; servers lose answers. Meanwhile clients repeat orders with operation
keys at any gatekeeper, ask the directory, and an operator changes the configuration. One line a seed; exit
code 1: something did not hold. Times are seconds.
"""

import argparse
import random
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from millfront.rehearsal.system import REGIONS, Answer, Late, System, document, until

COUNT = 4
CLIENTS = 3
KEY = "key-1"
CONTACT_S, NAMED_S = 4.0, 3.0  # a process that has been off for both together is named to nobody
SETTLED_S = 30.0  # after all troubles have ended everything works again
MOST_AT_ONCE = 3
WINDOW_S = 60.0
RECOVERS_S = (
    12.0  # from the start of a process with an empty disk, with the others still or cut off meanwhile
)
PAUSE_S = 0.02
SMALL_S, LONG_S = 14.0, 90.0


class Trouble(Enum):
    """What can happen; the value is (shortest, longest) in seconds."""

    KILLED = (0.3, 3.0)
    WIPED = (0.3, 2.0)
    OFF = (9.0, 70.0)
    STILL = (0.3, 4.0)
    CUT = (0.5, 4.0)
    ANSWERS_LOST = (1.0, 4.0)


DOWN = frozenset((Trouble.KILLED, Trouble.WIPED, Trouble.OFF))


@dataclass(frozen=True, slots=True)
class Strike:
    """A trouble that begins at a time, strikes a process and lasts."""

    at: float
    trouble: Trouble
    process: int
    lasts: float

    @property
    def back(self) -> float:
        """When its process counts again: one whose disk was lost has to recover."""
        return self.at + self.lasts + (RECOVERS_S if self.trouble is Trouble.WIPED else 0.0)


def plan(rng: random.Random, seconds: float) -> list[Strike]:
    """Strikes of which up to `MOST_AT_ONCE` overlap, no two at one process, all over by the end."""
    strikes: list[Strike] = []
    at = 1.0
    while at < seconds - 1.0:
        under_way = [strike for strike in strikes if strike.at + strike.lasts > at]
        trouble = rng.choice(list(Trouble))
        # As many disks as are borne may be lost at once: beside one that is down no other loses its disk
        down = [strike for strike in strikes if strike.trouble in DOWN and strike.back > at]
        struck = {strike.process for strike in under_way}
        free = [process for process in range(COUNT) if process not in struck]
        if len(under_way) < MOST_AT_ONCE and free and not (down and trouble in (Trouble.WIPED, Trouble.OFF)):
            shortest, longest = trouble.value
            lasts = min(rng.uniform(shortest, longest), seconds - at)
            strikes.append(Strike(at, trouble, rng.choice(free), lasts))
        at += rng.uniform(0.2, 2.0)
    return strikes


@dataclass
class Record:
    """What was seen during one seed, by several threads."""

    broken: list[str] = field(default_factory=list)
    seals: dict[str, set[str]] = field(default_factory=dict)  # by operation key, of the successes
    orders: int = 0
    lookups: int = 0
    acknowledged: int = 0  # the highest version
    off_since: dict[int, float] = field(default_factory=dict)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def check(self, holds: bool, text: str) -> None:
        """Note what does not hold."""
        if not holds:
            with self.lock:
                self.broken.append(text)


class Soak:
    """One seed."""

    def __init__(self, system: System, seed: int, seconds: float) -> None:
        self.system, self.seconds = system, seconds
        self.random = random.Random(seed)
        self.record = Record()
        self._ends = threading.Event()
        self._struck = [threading.Lock() for _ in range(COUNT)]

    def play(self) -> Record:
        """Everything at once until the time is over; then all must work again."""
        self._first_configuration()
        began = time.monotonic()
        strikes = plan(self.random, self.seconds)
        works = [self._client] * CLIENTS + [self._look_ups, self._operator, self._scrapes]
        threads = [
            threading.Thread(target=work, args=[random.Random(self.random.randrange(10**9))])
            for work in works
        ]
        threads += [threading.Thread(target=self._strike, args=[began, strike]) for strike in strikes]
        for thread in threads:
            thread.start()
        self._ends.wait(self.seconds)
        self._ends.set()
        for thread in threads:
            thread.join()
        self._settled()
        return self.record

    def _first_configuration(self) -> None:
        text = document(1, [KEY], orders=True)
        self.system.settled(0, lambda number: self.system.put(number, text))
        self.record.acknowledged = 1
        until("all are ready", lambda: all(self.system.ready(n) == 200 for n in range(COUNT)))

    # ---- troubles ------------------------------------------------------------------------------------

    def _strike(self, began: float, strike: Strike) -> None:
        try:
            threading.Event().wait(max(0.0, began + strike.at - time.monotonic()))
            with self._struck[strike.process]:  # on a busy machine the one before may end late
                self._strike_now(strike)
        except Exception as fault:
            self.record.check(False, f"{strike} could not be played: {fault!r}")

    def _strike_now(self, strike: Strike) -> None:
        system, process = self.system, strike.process
        begins: dict[Trouble, Callable[[], None]] = {
            Trouble.KILLED: lambda: self._off(process, wipe=False),
            Trouble.WIPED: lambda: self._off(process, wipe=True),
            Trouble.OFF: lambda: self._off(process, wipe=False),
            Trouble.STILL: lambda: system.freeze(process),
            Trouble.CUT: lambda: system.links.cut(process),
            Trouble.ANSWERS_LOST: lambda: self._lose_answers(0.3),
        }
        ends: dict[Trouble, Callable[[], None]] = {
            Trouble.KILLED: lambda: self._on(process),
            Trouble.WIPED: lambda: self._on(process),
            Trouble.OFF: lambda: self._on(process),
            Trouble.STILL: lambda: system.thaw(process),
            Trouble.CUT: system.links.heal,
            Trouble.ANSWERS_LOST: lambda: self._lose_answers(0.0),
        }
        begins[strike.trouble]()
        threading.Event().wait(strike.lasts)
        ends[strike.trouble]()

    def _off(self, process: int, wipe: bool) -> None:
        self.system.kill(process, wipe=wipe)
        self.record.off_since[process] = time.monotonic()

    def _on(self, process: int) -> None:
        self.record.off_since.pop(process, None)
        self.system.start(process)

    def _lose_answers(self, share: float) -> None:
        self.system.peer.lost_share = share

    # ---- clients and an operator ---------------------------------------------------------------------

    def _client(self, rng: random.Random) -> None:
        while not self._ends.wait(PAUSE_S):
            operation = f"o{rng.randrange(int(self.seconds * 6))}"
            answer = self.system.order(rng.randrange(COUNT), KEY, operation)
            self._ordered(operation, answer)

    def _ordered(self, operation: str, answer: Answer) -> None:
        if answer.status != 200:
            return
        with self.record.lock:
            self.record.orders += 1
            seals = self.record.seals.setdefault(operation, set())
            seals.add(answer.fields["Millfront-Server-Seal"])
        self.record.check(len(seals) == 1, f"{operation} was answered with {sorted(seals)}")

    def _look_ups(self, rng: random.Random) -> None:
        while not self._ends.wait(5.0 * PAUSE_S):
            asked = time.monotonic()
            off = {
                f"{self.system.links.front(process)}:{self.system.plain}"
                for process, since in self.record.off_since.copy().items()
                if asked - since > CONTACT_S + NAMED_S
            }
            number = rng.randrange(COUNT)
            named = self.system.named(number, rng.choice(sorted(set(REGIONS.values()))))
            self.record.lookups += bool(named)
            self.record.check(not off.intersection(named), f"process {number} names one that is off")

    def _operator(self, rng: random.Random) -> None:
        version = 1
        while not self._ends.wait(rng.uniform(0.2, 1.0)):
            version += 1
            if self.system.put(rng.randrange(COUNT), document(version, [KEY], orders=True)).status == 200:
                self.record.acknowledged = version

    def _scrapes(self, rng: random.Random) -> None:
        versions: dict[int, tuple[float, float]] = {}  # by process: up for so long, at that version
        while not self._ends.wait(10.0 * PAUSE_S):
            number = rng.randrange(COUNT)
            figures = self.system.metrics(number)
            if not figures:
                continue
            self._no_violations(number, figures)
            up, version = figures["millfront_up_seconds"], figures["millfront_configuration_version"]
            before_up, before = versions.get(number, (0.0, 0.0))
            self.record.check(
                up < before_up or version >= before, f"process {number} went back to {version:g}"
            )
            versions[number] = (up, version)

    def _no_violations(self, number: int, figures: dict[str, float]) -> None:
        for name, count in figures.items():
            if name.startswith("millfront_invariant_violations_total"):
                self.record.check(count == 0.0, f"process {number}: {name} {count:g}")

    # ---- the end ---------------------------------------------------------------------------------------

    def _settled(self) -> None:
        """Nothing that was acknowledged is lost, and all serve again."""
        record, system = self.record, self.system
        system.links.heal()
        system.peer.lost_share = 0.0
        try:
            until("all are ready", lambda: all(system.ready(n) == 200 for n in range(COUNT)), SETTLED_S)
            read = system.settled(0, system.get, SETTLED_S)
            found = int(read.json()["revision"], 16)
            record.check(
                found >= record.acknowledged, f"{found} is read, {record.acknowledged} was acknowledged"
            )
            until("an order is served", lambda: system.order(1, KEY, "last").status == 200, SETTLED_S)
        except Late as late:
            record.check(False, str(late))
        for number in range(COUNT):
            self._no_violations(number, system.metrics(number))
        for operation, runs in system.peer.orders.items():
            record.check(len(runs) == 1, f"{operation} ran {len(runs)} times")


def play(seed: int, seconds: float) -> Record:
    """One seed in a folder of its own."""
    # No key's window ends during the soak: each runs once, whenever it comes again
    bounds = {"dedupe_window": f"{WINDOW_S + 2.0 * seconds:g}s"}
    with tempfile.TemporaryDirectory() as folder, System(Path(folder), COUNT, seed, bounds) as system:
        return Soak(system, seed, seconds).play()


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=LONG_S)
    parser.add_argument("--small", action="store_true")
    given = parser.parse_args()
    seeds, seconds = (1, SMALL_S) if given.small else (given.seeds, given.seconds)
    broken = 0
    for seed in range(given.first, given.first + seeds):
        record = play(seed, seconds)
        broken += bool(record.broken)
        verdict = (
            f"BROKEN ({len(record.broken)}): {'; '.join(record.broken[:3])}" if record.broken else "held"
        )
        figures = f"orders={record.orders} keys={len(record.seals)} lookups={record.lookups}"
        print(f"seed={seed}: {verdict}  [{figures} version={record.acknowledged}]", flush=True)
    return min(1, broken)


if __name__ == "__main__":
    sys.exit(main())
