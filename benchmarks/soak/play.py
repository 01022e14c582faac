"""One seed of a soak: strikes and clients at once, then the end, after which all must work again."""

import random
import tempfile
import threading
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from benchmarks.soak import clients, quotas
from benchmarks.soak.record import Record
from benchmarks.soak.troubles import EVERYWHERE, GRACE_S, Fleet, Strike, Trouble, plan
from millfront.rehearsal.system import Late, System, until

SETTLED_S = 30.0  # after all troubles have ended everything works again
STARTED_S = 60.0
NOT_READY_S = 4.0  # after SIGTERM a machine does not count as ready any more
ENDS_S = GRACE_S + 3.0  # after SIGTERM, on a machine that does other work, too
WINDOW_S = 60.0
DRAIN_WITHIN_S = 3.0
LOST_SHARE = 0.3
SERVERS = 6


@dataclass(frozen=True, slots=True)
class Plan:
    """What is played."""

    seed: int
    seconds: float
    fleet: Fleet

    def bounds(self) -> dict[str, str]:
        """Of the settings; no key's window ends meanwhile: each runs once, whenever it comes again."""
        return {
            "dedupe_window": f"{WINDOW_S + 3.0 * self.seconds:g}s",
            "drain_within": f"{DRAIN_WITHIN_S:g}s",
            "grace_period": f"{GRACE_S:g}s",
        }


class Soak:
    """One seed."""

    def __init__(self, system: System, given: Plan) -> None:
        self.system, self.given = system, given
        self.random = random.Random(given.seed)
        self.record = Record(disks=given.fleet.disks)
        self._ends = threading.Event()
        self._struck = [threading.Lock() for _ in range(system.count)]
        operations = int(given.seconds * 6)
        self.stage = clients.Stage(system, self.record, self._ends, DRAIN_WITHIN_S, operations)

    def play(self) -> Record:
        """Everything at once until the time is over; then all must work again."""
        self._first_configuration()
        began = time.monotonic()
        threads = [
            threading.Thread(target=work, args=[self.stage, random.Random(self.random.randrange(10**9))])
            for work in clients.WORKS
        ]
        strikes = plan(self.random, self.given.fleet, self.given.seconds)
        threads += [threading.Thread(target=self._strike, args=[began, strike]) for strike in strikes]
        for thread in threads:
            thread.start()
        self._ends.wait(self.given.seconds)
        self._ends.set()
        for thread in threads:
            thread.join()
        self._settled("after all troubles")
        self._closing_fault()
        self._settled("after the closing fault")
        self._arrivals()
        quotas.judge(self.record, self.stage.sent, self.system.peer.seen)
        return self.record

    def _first_configuration(self) -> None:
        text = quotas.configuration(1, clients.KEY)
        self.system.settled(0, lambda number: self.system.put(number, text), STARTED_S)
        self.record.acknowledged = 1
        until("all are ready", self._all_ready, STARTED_S)

    def _all_ready(self) -> bool:
        return all(self.system.ready(number) == 200 for number in range(self.system.count))

    # ---- troubles ------------------------------------------------------------------------------------

    def _strike(self, began: float, strike: Strike) -> None:
        try:
            threading.Event().wait(max(0.0, began + strike.at - time.monotonic()))
            if strike.process == EVERYWHERE:
                self._lose_power(strike)
                return
            with self._struck[strike.process]:  # on a busy machine the one before may end late
                self._strike_now(strike)
        except Exception as fault:
            self.record.check(False, f"{strike} could not be played: {fault!r}")

    def _strike_now(self, strike: Strike) -> None:
        self.record.count(strike.trouble.name.lower())
        spell = self.record.begins(strike.trouble, strike.process)
        try:
            self._begin(strike)
            threading.Event().wait(strike.lasts)
            self._end(strike)
        finally:
            spell.over = time.monotonic()

    def _begin(self, strike: Strike) -> None:
        system, process = self.system, strike.process
        match strike.trouble:
            case Trouble.KILLED | Trouble.OFF:
                self._off(process, wipe=False)
            case Trouble.WIPED:
                self._off(process, wipe=True)
            case Trouble.STILL:
                system.freeze(process)
            case Trouble.CUT:
                system.links.cut(process)
            case Trouble.ANSWERS_LOST:
                system.peer.lost_share = LOST_SHARE
            case Trouble.TERMINATED:
                self._terminate(process)
            case Trouble.RELOADED:
                system.reload(process)
            case Trouble.DISK_FULL:
                system.fill_disk(process, True)

    def _end(self, strike: Strike) -> None:
        system, process = self.system, strike.process
        match strike.trouble:
            case Trouble.KILLED | Trouble.WIPED | Trouble.OFF | Trouble.TERMINATED:
                self._on(process)
            case Trouble.STILL:
                system.thaw(process)
            case Trouble.CUT:
                system.links.heal()
            case Trouble.ANSWERS_LOST:
                system.peer.lost_share = 0.0
            case Trouble.DISK_FULL:
                system.fill_disk(process, False)

    def _off(self, process: int, wipe: bool) -> None:
        self.system.kill(process, wipe=wipe)
        self.record.off_since[process] = time.monotonic()

    def _on(self, process: int) -> None:
        self.record.off_since.pop(process, None)
        self.system.start(process)

    def _terminate(self, process: int) -> None:
        """SIGTERM: it does not count as ready for long, ends in time, and in order."""
        sent, record = time.monotonic(), self.record
        ending = self.system.terminate(process)
        while ending.poll() is None and time.monotonic() - sent < ENDS_S:
            threading.Event().wait(0.1)
            if ending.poll() is None and time.monotonic() - sent > NOT_READY_S:
                record.check(self.system.ready(process) != 200, f"process {process} is ready after SIGTERM")
        if record.only_ends_in_order(process, sent, time.monotonic()):
            record.check(ending.poll() == 0, f"process {process} ended with {ending.poll()} after SIGTERM")
        if ending.poll() is None:
            ending.kill()
        ending.wait(ENDS_S)
        del self.system.running[process]
        record.off_since[process] = time.monotonic()

    def _lose_power(self, strike: Strike) -> None:
        """All processes that run go at once; those that are in another trouble by then are left to it."""
        self.record.count("power")
        taken = [number for number, lock in enumerate(self._struck) if lock.acquire(blocking=False)]
        spell = self.record.begins(strike.trouble, EVERYWHERE)
        try:
            self.system.lose_power(taken)
            threading.Event().wait(strike.lasts)
            for number in taken:
                self.system.start(number)
        finally:
            spell.over = time.monotonic()
            for number in taken:
                self._struck[number].release()

    # ---- the end ---------------------------------------------------------------------------------------

    def _closing_fault(self) -> None:
        """Right after a change was acknowledged a disk is lost, and all other machines lose power."""
        version = self.record.acknowledged + 1000
        text = quotas.configuration(version, clients.KEY)
        at = self.random.randrange(self.system.count)
        try:
            answer = self.system.settled(at, lambda number: self.system.put(number, text), SETTLED_S)
            self.record.acknowledged = version if answer.status == 200 else self.record.acknowledged
        except Late as late:
            self.record.check(False, f"before the closing fault: {late}")
        everybody = range(self.system.count)
        self.system.lose_power(everybody, [self.random.randrange(self.given.fleet.disks)])
        for number in everybody:
            self.system.start(number)

    def _settled(self, when: str) -> None:
        """Nothing that was acknowledged is lost, and all serve again."""
        record, system = self.record, self.system
        if self.given.fleet.relays:
            system.links.heal()
        system.peer.lost_share = 0.0
        try:
            until(f"{when} all are ready", self._all_ready, max(SETTLED_S, 0.5 * system.count))
            self._reads_back(when)
            for key in quotas.LASTING:
                let_in = partial(self._let_in, key)
                until(f"{when} a request of {key} is let in", let_in, SETTLED_S)
            until(f"{when} all members of the core hold all keys", self._keys_held, SETTLED_S)
            until("an order is served", lambda: system.order(1, clients.KEY, "last").status == 200, SETTLED_S)
        except Late as late:
            record.check(False, f"{when}: {late}")
        for number in range(system.count):
            clients.no_violations(record, number, system.metrics(number))
        for operation, runs in system.peer.orders.items():
            record.check(len(runs) == 1, f"{operation} ran {len(runs)} times")

    def _keys_held(self) -> bool:
        """Whether each member of the core has all records of operation keys: until then its copy does not
        count as one of those that may be lost."""
        members = (self.system.statement(0).get("core") or {}).get("members", ())
        numbers = [number for number, name in enumerate(self.system.names) if name in members]
        complete = [self.system.metrics(n).get("millfront_operations_complete") for n in numbers]
        return bool(numbers) and all(one == 1.0 for one in complete)

    def _let_in(self, key: str) -> bool:
        """Whether a request of that tenant is served, at any process."""
        return self.system.page(self.random.randrange(self.system.count), key) == 200

    def _reads_back(self, when: str) -> None:
        record, system = self.record, self.system
        found = int(system.settled(0, system.get, SETTLED_S).json()["revision"], 16)
        record.check(
            found >= record.acknowledged, f"{when} {found} is read, {record.acknowledged} was acknowledged"
        )
        for zone, on in record.evacuated.items():
            self._evacuated(when, zone, on)

    def _evacuated(self, when: str, zone: str, on: bool) -> None:
        def known() -> bool:
            return (zone in self.system.statement(0).get("evacuated", ())) is on

        until(f"{when} {zone} is {'evacuated' if on else 'taken back'}", known, SETTLED_S)

    def _arrivals(self) -> None:
        """No machine in touch sent to a server that had been draining for longer than the bound."""
        for late in self.system.peer.seen.to_draining:
            process = self.system.process_of(late.attempt)
            if process is None or late.after_s <= DRAIN_WITHIN_S + clients.BUSY_S:
                continue
            in_touch = self.record.in_touch(process, late.at - late.after_s, late.at)
            self.record.check(
                not in_touch, f"{late.ident} drains for {late.after_s:.1f} s and has a request of {process}"
            )


def play(given: Plan) -> Record:
    """One seed in a folder of its own."""
    fleet = given.fleet
    with (
        tempfile.TemporaryDirectory() as folder,
        System(
            Path(folder),
            fleet.processes,
            given.seed,
            given.bounds(),
            disks=fleet.disks,
            relays=fleet.relays,
            servers=SERVERS,
        ) as system,
    ):
        return Soak(system, given).play()
