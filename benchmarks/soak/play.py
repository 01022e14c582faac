"""One seed of a soak: faults and clients at the same time, then a check that everything works again."""

import random
import tempfile
import threading
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from benchmarks.soak import clients, quotas
from benchmarks.soak.faults import ALL_PROCESSES, GRACE_S, FaultKind, Fleet, ScheduledFault, plan_faults
from benchmarks.soak.record import Record
from millfront.rehearsal.system import ConditionTimeout, System, wait_until

RECOVERY_TIMEOUT_S = 30.0  # after the last fault, until everything works again
START_TIMEOUT_S = 60.0
NOT_READY_AFTER_S = 4.0  # after SIGTERM, until a machine must not report ready any more
EXIT_TIMEOUT_S = GRACE_S + 3.0  # after SIGTERM, with slack for a loaded machine
DEDUPE_WINDOW_S = 60.0
DRAIN_WITHIN_S = 3.0
LOST_ANSWER_SHARE = 0.3
SERVERS = 6


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """The settings of one run."""

    seed: int
    seconds: float
    fleet: Fleet

    def bounds(self) -> dict[str, str]:
        """Bounds for the settings; no key's window ends during the run, so each key runs only once."""
        return {
            "dedupe_window": f"{DEDUPE_WINDOW_S + 3.0 * self.seconds:g}s",
            "drain_within": f"{DRAIN_WITHIN_S:g}s",
            "grace_period": f"{GRACE_S:g}s",
        }


class Soak:
    """One run."""

    def __init__(self, system: System, settings: SoakSettings) -> None:
        self.system, self.settings = system, settings
        self.random = random.Random(settings.seed)
        self.record = Record(disks=settings.fleet.disks)
        self._stopping = threading.Event()
        self._fault_locks = [threading.Lock() for _ in range(system.count)]
        operations = int(settings.seconds * 6)
        self.context = clients.SoakContext(system, self.record, self._stopping, DRAIN_WITHIN_S, operations)

    def run(self) -> Record:
        """Run faults and clients until the time is over, then check that everything works again."""
        self._first_configuration()
        started = time.monotonic()
        threads = [
            threading.Thread(target=client, args=[self.context, random.Random(self.random.randrange(10**9))])
            for client in clients.CLIENTS
        ]
        faults = plan_faults(self.random, self.settings.fleet, self.settings.seconds)
        threads += [threading.Thread(target=self._schedule_fault, args=[started, fault]) for fault in faults]
        for thread in threads:
            thread.start()
        self._stopping.wait(self.settings.seconds)
        self._stopping.set()
        for thread in threads:
            thread.join()
        self._check_recovery("after all faults")
        self._closing_fault()
        self._check_recovery("after the closing fault")
        self._check_draining()
        quotas.check_windows(self.record, self.context.sent, self.system.peer.observed)
        return self.record

    def _first_configuration(self) -> None:
        text = quotas.configuration(1, clients.API_KEY)
        self.system.retry_call(0, lambda number: self.system.put(number, text), START_TIMEOUT_S)
        self.record.acknowledged = 1
        wait_until("all are ready", self._all_ready, START_TIMEOUT_S)

    def _all_ready(self) -> bool:
        return all(self.system.ready(number) == 200 for number in range(self.system.count))

    # ---- faults --------------------------------------------------------------------------------------

    def _schedule_fault(self, started: float, fault: ScheduledFault) -> None:
        try:
            threading.Event().wait(max(0.0, started + fault.at - time.monotonic()))
            if fault.process == ALL_PROCESSES:
                self._lose_power(fault)
                return
            with self._fault_locks[fault.process]:  # on a busy machine the previous fault may end late
                self._run_fault(fault)
        except Exception as error:
            self.record.check(False, f"{fault} could not be injected: {error!r}")

    def _run_fault(self, fault: ScheduledFault) -> None:
        self.record.count(fault.kind.name.lower())
        period = self.record.begin_fault(fault.kind, fault.process)
        try:
            self._begin_fault(fault)
            threading.Event().wait(fault.duration_s)
            self._end_fault(fault)
        finally:
            period.ended = time.monotonic()

    def _begin_fault(self, fault: ScheduledFault) -> None:
        system, process = self.system, fault.process
        match fault.kind:
            case FaultKind.KILLED | FaultKind.OFF:
                self._kill(process, wipe=False)
            case FaultKind.WIPED:
                self._kill(process, wipe=True)
            case FaultKind.STILL:
                system.freeze(process)
            case FaultKind.CUT:
                system.links.cut(process)
            case FaultKind.ANSWERS_LOST:
                system.peer.lost_answer_share = LOST_ANSWER_SHARE
            case FaultKind.TERMINATED:
                self._terminate(process)
            case FaultKind.RELOADED:
                system.reload(process)
            case FaultKind.DISK_FULL:
                system.fill_disk(process, True)

    def _end_fault(self, fault: ScheduledFault) -> None:
        system, process = self.system, fault.process
        match fault.kind:
            case FaultKind.KILLED | FaultKind.WIPED | FaultKind.OFF | FaultKind.TERMINATED:
                self._start(process)
            case FaultKind.STILL:
                system.thaw(process)
            case FaultKind.CUT:
                system.links.heal()
            case FaultKind.ANSWERS_LOST:
                system.peer.lost_answer_share = 0.0
            case FaultKind.DISK_FULL:
                system.fill_disk(process, False)

    def _kill(self, process: int, wipe: bool) -> None:
        self.system.kill(process, wipe=wipe)
        self.record.off_since[process] = time.monotonic()

    def _start(self, process: int) -> None:
        self.record.off_since.pop(process, None)
        self.system.start(process)

    def _terminate(self, process: int) -> None:
        """Send SIGTERM: the process must soon report not ready, and exit in time with code 0."""
        sent, record = time.monotonic(), self.record
        ending = self.system.terminate(process)
        while ending.poll() is None and time.monotonic() - sent < EXIT_TIMEOUT_S:
            threading.Event().wait(0.1)
            if ending.poll() is None and time.monotonic() - sent > NOT_READY_AFTER_S:
                record.check(
                    self.system.ready(process) != 200,
                    f"process {process} is still ready {NOT_READY_AFTER_S:g} s after SIGTERM",
                )
        if record.only_planned_faults(process, sent, time.monotonic()):
            record.check(
                ending.poll() == 0, f"process {process} ended with exit code {ending.poll()} after SIGTERM"
            )
        if ending.poll() is None:
            ending.kill()
        ending.wait(EXIT_TIMEOUT_S)
        del self.system.running[process]
        record.off_since[process] = time.monotonic()

    def _lose_power(self, fault: ScheduledFault) -> None:
        """Kill all processes at once, except those that have another fault at that time."""
        self.record.count("power")
        killed = [number for number, lock in enumerate(self._fault_locks) if lock.acquire(blocking=False)]
        period = self.record.begin_fault(fault.kind, ALL_PROCESSES)
        try:
            self.system.lose_power(killed)
            threading.Event().wait(fault.duration_s)
            for number in killed:
                self.system.start(number)
        finally:
            period.ended = time.monotonic()
            for number in killed:
                self._fault_locks[number].release()

    # ---- the end ---------------------------------------------------------------------------------------

    def _closing_fault(self) -> None:
        """Right after a change was acknowledged, lose power on all machines, and one disk."""
        version = self.record.acknowledged + 1000
        text = quotas.configuration(version, clients.API_KEY)
        at = self.random.randrange(self.system.count)
        try:
            answer = self.system.retry_call(
                at, lambda number: self.system.put(number, text), RECOVERY_TIMEOUT_S
            )
            self.record.acknowledged = version if answer.status == 200 else self.record.acknowledged
        except ConditionTimeout as late:
            self.record.check(False, f"before the closing fault: {late}")
        everybody = range(self.system.count)
        self.system.lose_power(everybody, [self.random.randrange(self.settings.fleet.disks)])
        for number in everybody:
            self.system.start(number)

    def _check_recovery(self, phase: str) -> None:
        """Check that nothing acknowledged was lost, and that all processes serve again."""
        record, system = self.record, self.system
        if self.settings.fleet.relays:
            system.links.heal()
        system.peer.lost_answer_share = 0.0
        try:
            wait_until(f"{phase} all are ready", self._all_ready, max(RECOVERY_TIMEOUT_S, 0.5 * system.count))
            self._reads_back(phase)
            for key in quotas.PERMANENT_TENANTS:
                is_served = partial(self._is_served, key)
                wait_until(f"{phase} a request of {key} is served", is_served, RECOVERY_TIMEOUT_S)
            wait_until(f"{phase} all members of the core hold all keys", self._keys_held, RECOVERY_TIMEOUT_S)
            wait_until(
                "an order is served",
                lambda: system.order(1, clients.API_KEY, "last").status == 200,
                RECOVERY_TIMEOUT_S,
            )
        except ConditionTimeout as late:
            record.check(False, f"{phase}: {late}")
        for number in range(system.count):
            clients.check_violations(record, number, system.metrics(number))
        for operation, runs in system.peer.orders.items():
            record.check(len(runs) == 1, f"{operation} ran {len(runs)} times")

    def _keys_held(self) -> bool:
        """Whether each member of the core has all records of operation keys: until then its copy is not one
        of those of which some may be lost."""
        members = (self.system.status_report(0).get("core") or {}).get("members", ())
        numbers = [number for number, name in enumerate(self.system.names) if name in members]
        complete = [self.system.metrics(n).get("millfront_operations_complete") for n in numbers]
        return bool(numbers) and all(one == 1.0 for one in complete)

    def _is_served(self, key: str) -> bool:
        """Whether a random process serves a request of that tenant."""
        return self.system.page(self.random.randrange(self.system.count), key) == 200

    def _reads_back(self, phase: str) -> None:
        record, system = self.record, self.system
        found = int(system.retry_call(0, system.get, RECOVERY_TIMEOUT_S).json()["revision"], 16)
        record.check(
            found >= record.acknowledged,
            f"{phase} version {found} is read, but {record.acknowledged} was acknowledged",
        )
        for zone, on in record.evacuated.items():
            self._evacuated(phase, zone, on)

    def _evacuated(self, phase: str, zone: str, on: bool) -> None:
        def known() -> bool:
            return (zone in self.system.status_report(0).get("evacuated", ())) is on

        wait_until(f"{phase} {zone} is {'evacuated' if on else 'restored'}", known, RECOVERY_TIMEOUT_S)

    def _check_draining(self) -> None:
        """Check that no machine without faults sent to a server that was draining for too long."""
        for late in self.system.peer.observed.draining_arrivals:
            process = self.system.process_of(late.attempt)
            if process is None or late.after_s <= DRAIN_WITHIN_S + clients.LOAD_SLACK_S:
                continue
            in_touch = self.record.was_undisturbed(process, late.at - late.after_s, late.at)
            self.record.check(
                not in_touch,
                f"{late.ident} got a request of process {process} after draining for {late.after_s:.1f} s",
            )


def run_soak(settings: SoakSettings) -> Record:
    """Run one seed in a temporary folder."""
    fleet = settings.fleet
    with (
        tempfile.TemporaryDirectory() as folder,
        System(
            Path(folder),
            fleet.processes,
            settings.seed,
            settings.bounds(),
            disks=fleet.disks,
            relays=fleet.relays,
            servers=SERVERS,
        ) as system,
    ):
        return Soak(system, settings).run()
