"""Who calls the processes of a soak: clients, whoever asks the directory, operators, the platform, scrapes.

Each works on in a thread of its own until the soak ends, and notes what does not hold."""

import http.client
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.soak import quotas
from benchmarks.soak.record import Record
from millfront.rehearsal.quotas import SentLog
from millfront.rehearsal.system import REGIONS, Answer, System

KEY = "key-1"
CONTACT_S, NAMED_S = 4.0, 3.0  # a process that has been off for both together is named to nobody
PAUSE_S = 0.02
REPLACED_S = (1.0, 3.0)  # between replacements of servers
GONE_AFTER_S = 4.0  # beyond `drain_within` a server that drains serves on
ANSWERED_S = 4.0
BUSY_S = 1.5  # that a loaded machine may take longer than the bounds of the rules
MOST_DIRECTORY_LATE = 3  # answers that may name a machine that is gone, by the rules


@dataclass(frozen=True, slots=True)
class Stage:
    """What all of them work on."""

    system: System
    record: Record
    ends: threading.Event
    drain_within: float
    operations: int  # operation keys there are
    sent: SentLog = field(default_factory=SentLog)  # requests of tenants with limits

    def some(self, rng: random.Random) -> int:
        """A process, whatever state it is in."""
        return rng.randrange(self.system.count)


def orders(stage: Stage, rng: random.Random) -> None:
    """Repeat orders with operation keys at any gatekeeper: each runs once, all successes are alike."""
    while not stage.ends.wait(PAUSE_S):
        operation = f"o{rng.randrange(stage.operations)}"
        answer = stage.system.order(stage.some(rng), KEY, operation)
        if answer.status == 200:
            _ordered(stage.record, operation, answer)


def _ordered(record: Record, operation: str, answer: Answer) -> None:
    record.count("orders")
    with record.lock:
        seals = record.seals.setdefault(operation, set())
        seals.add(answer.fields["Millfront-Server-Seal"])
    record.check(len(seals) == 1, f"{operation} was answered with {sorted(seals)}")


def kept_connections(stage: Stage, rng: random.Random) -> None:
    """Ask for pages on one connection until the process that it leads to is gone, then at another one."""
    while not stage.ends.is_set():
        process = stage.some(rng)
        address = stage.system.links.front(process)
        connection = http.client.HTTPConnection(address, stage.system.plain, timeout=ANSWERED_S)
        while not stage.ends.wait(PAUSE_S) and _page(stage, process, connection):
            pass
        connection.close()


def _page(stage: Stage, process: int, connection: http.client.HTTPConnection) -> bool:
    """One request; whether the connection can take another."""
    attempt, sent = stage.system.attempt(process), time.monotonic()
    try:
        connection.request("GET", "/pages/1", headers=stage.system.client_fields(KEY, attempt))
        answer = connection.getresponse()
        answer.read()
    except (OSError, http.client.HTTPException) as fault:
        _unanswered(stage, process, attempt, sent, fault)
        return False
    stage.record.count("pages")
    return not answer.will_close


def _unanswered(stage: Stage, process: int, attempt: str, sent: float, fault: Exception) -> None:
    """Where planned work alone befell the process, what has run at a server is answered."""
    stage.record.count("unanswered")
    if attempt not in stage.system.peer.seen.attempts:
        return
    lost = stage.record.only_ends_in_order(process, sent, time.monotonic())
    stage.record.check(not lost, f"a page ran and process {process} gave no answer: {fault!r}")


def look_ups(stage: Stage, rng: random.Random) -> None:
    """Ask the directory: it names nobody who has been off for long, but for a few answers."""
    late: list[str] = []
    regions = sorted(set(REGIONS.values()))
    while not stage.ends.wait(5.0 * PAUSE_S):
        asked, process = time.monotonic(), stage.some(rng)
        off = {
            f"{stage.system.links.front(gone)}:{stage.system.plain}"
            for gone, since in stage.record.off_since.copy().items()
            if asked - since > CONTACT_S + NAMED_S
        }
        named = stage.system.named(process, rng.choice(regions))
        if named:
            stage.record.count("lookups")
        if off.intersection(named) and stage.record.in_touch(process, asked, asked):
            late.append(f"process {process} names one that is off")
    stage.record.check(len(late) <= MOST_DIRECTORY_LATE, f"{len(late)} answers: {late[:1]}")


def operator(stage: Stage, rng: random.Random) -> None:
    """Change the configuration at any gatekeeper, one version after another, and evacuate zones."""
    version = 1
    while not stage.ends.wait(rng.uniform(0.2, 1.0)):
        version += 1
        put = stage.system.put(stage.some(rng), quotas.configuration(version, KEY))
        if put.status == 200:
            stage.record.acknowledged = version
        if rng.random() < 0.2:
            _evacuate(stage, rng)


def _evacuate(stage: Stage, rng: random.Random) -> None:
    """Of one zone, so that the servers of the others take the traffic whatever becomes of the call."""
    zone, on = stage.system.zones[-1], rng.random() < 0.5
    stage.record.evacuated.pop(zone, None)  # a call without an answer may be in force or not
    if stage.system.evacuate(stage.some(rng), zone, on).status == 200:
        stage.record.evacuated[zone] = on


def replacements(stage: Stage, rng: random.Random) -> None:
    """Servers are replaced one after another; the old one drains, serves on for a while, and is gone."""
    draining: list[tuple[float, str]] = []
    while not stage.ends.wait(rng.uniform(*REPLACED_S)):
        draining.append((time.monotonic(), stage.system.peer.replace()))
        stage.record.count("replaced")
        while draining and time.monotonic() - draining[0][0] > stage.drain_within + GONE_AFTER_S:
            stage.system.peer.remove(draining.pop(0)[1])


def scrapes(stage: Stage, rng: random.Random) -> None:
    """Read the metrics: no invariant is violated, and no process goes back to an older version."""
    seen: dict[int, tuple[int, float]] = {}  # by process: the life that was asked, and its version
    while not stage.ends.wait(10.0 * PAUSE_S):
        process = stage.some(rng)
        life = stage.system.pid(process)
        figures = stage.system.metrics(process)
        if not figures or life is None or life != stage.system.pid(process):
            continue
        no_violations(stage.record, process, figures)
        version = figures["millfront_configuration_version"]
        before_life, before = seen.get(process, (life, 0.0))
        went_back = life == before_life and version < before
        stage.record.check(not went_back, f"process {process} went back from {before:g} to {version:g}")
        seen[process] = (life, version)


def no_violations(record: Record, process: int, figures: dict[str, float]) -> None:
    """Note each invariant that a process has counted as violated."""
    for name, count in figures.items():
        if name.startswith("millfront_invariant_violations_total"):
            record.check(count == 0.0, f"process {process}: {name} {count:g}")


WORKS: tuple[Callable[[Stage, random.Random], None], ...] = (
    orders,
    orders,
    kept_connections,
    kept_connections,
    kept_connections,
    look_ups,
    operator,
    replacements,
    scrapes,
    quotas.clumps,
    quotas.hot_tenants,
)
