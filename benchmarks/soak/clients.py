"""Callers of the processes of a soak: clients, users of the directory, an operator, the platform, a scraper.

Each runs in a thread of its own until the soak stops, and records the checks that fail."""

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

API_KEY = "key-1"
# The directory names no process that has been down for longer than both together
CONTACT_TIMEOUT_S, DIRECTORY_RETENTION_S = 4.0, 3.0
REQUEST_INTERVAL_S = 0.02
REPLACEMENT_INTERVAL_S = (1.0, 3.0)  # between replacements of servers
REMOVAL_DELAY_S = 4.0  # how long a draining server still serves after `drain_within`
ANSWER_TIMEOUT_S = 4.0
LOAD_SLACK_S = 1.5  # that a loaded machine may exceed the bounds of the rules by
MAX_STALE_LOOKUPS = 3  # answers that the rules allow to name a machine that is gone


@dataclass(frozen=True, slots=True)
class SoakContext:
    """What all callers share."""

    system: System
    record: Record
    stopping: threading.Event
    drain_within: float
    operation_count: int  # number of operation keys
    sent: SentLog = field(default_factory=SentLog)  # requests of tenants with limits

    def random_process(self, rng: random.Random) -> int:
        """A random process, in whatever state it is."""
        return rng.randrange(self.system.count)


def orders(context: SoakContext, rng: random.Random) -> None:
    """Repeat orders with operation keys at any gatekeeper: all its successes are equal."""
    while not context.stopping.wait(REQUEST_INTERVAL_S):
        operation = f"o{rng.randrange(context.operation_count)}"
        answer = context.system.order(context.random_process(rng), API_KEY, operation)
        if answer.status == 200:
            _check_order(context.record, operation, answer)


def _check_order(record: Record, operation: str, answer: Answer) -> None:
    record.count("orders")
    with record.lock:
        seals = record.seals.setdefault(operation, set())
        seals.add(answer.fields["Millfront-Server-Seal"])
    record.check(len(seals) == 1, f"{operation} was answered with {sorted(seals)}")


def kept_connections(context: SoakContext, rng: random.Random) -> None:
    """Request pages on one connection until its process is gone, then connect to another process."""
    while not context.stopping.is_set():
        process = context.random_process(rng)
        address = context.system.links.advertised_ip(process)
        connection = http.client.HTTPConnection(address, context.system.plain, timeout=ANSWER_TIMEOUT_S)
        while not context.stopping.wait(REQUEST_INTERVAL_S) and _page(context, process, connection):
            pass
        connection.close()


def _page(context: SoakContext, process: int, connection: http.client.HTTPConnection) -> bool:
    """Send one request; returns whether the connection can take another."""
    attempt, sent = context.system.new_attempt_id(process), time.monotonic()
    try:
        connection.request("GET", "/pages/1", headers=context.system.client_fields(API_KEY, attempt))
        answer = connection.getresponse()
        answer.read()
    except (OSError, http.client.HTTPException) as fault:
        _check_unanswered(context, process, attempt, sent, fault)
        return False
    context.record.count("pages")
    return not answer.will_close


def _check_unanswered(
    context: SoakContext, process: int, attempt: str, sent: float, fault: Exception
) -> None:
    """Unless an unplanned fault affected the process, a request that ran at a server must be answered."""
    context.record.count("unanswered")
    if attempt not in context.system.peer.observed.attempts:
        return
    lost = context.record.only_planned_faults(process, sent, time.monotonic())
    context.record.check(not lost, f"a page ran and process {process} gave no answer: {fault!r}")


def directory_lookups(context: SoakContext, rng: random.Random) -> None:
    """Query the directory: only a few answers may name a process that has been down for long."""
    late: list[str] = []
    regions = sorted(set(REGIONS.values()))
    while not context.stopping.wait(5.0 * REQUEST_INTERVAL_S):
        asked, process = time.monotonic(), context.random_process(rng)
        off = {
            f"{context.system.links.advertised_ip(gone)}:{context.system.plain}"
            for gone, since in context.record.off_since.copy().items()
            if asked - since > CONTACT_TIMEOUT_S + DIRECTORY_RETENTION_S
        }
        named = context.system.resolve_addresses(process, rng.choice(regions))
        if named:
            context.record.count("lookups")
        if off.intersection(named) and context.record.was_undisturbed(process, asked, asked):
            late.append(f"process {process} names a process that is down")
    context.record.check(
        len(late) <= MAX_STALE_LOOKUPS, f"{len(late)} stale answers of the directory: {late[:1]}"
    )


def operator(context: SoakContext, rng: random.Random) -> None:
    """Put one configuration version after another at random gatekeepers, and evacuate zones."""
    version = 1
    while not context.stopping.wait(rng.uniform(0.2, 1.0)):
        version += 1
        put = context.system.put(context.random_process(rng), quotas.configuration(version, API_KEY))
        if put.status == 200:
            context.record.acknowledged = version
        if rng.random() < 0.2:
            _evacuate(context, rng)


def _evacuate(context: SoakContext, rng: random.Random) -> None:
    """Evacuate or restore one fixed zone, so that the servers of other zones can always take the traffic."""
    zone, on = context.system.zones[-1], rng.random() < 0.5
    context.record.evacuated.pop(zone, None)  # a call without an answer may or may not take effect
    if context.system.evacuate(context.random_process(rng), zone, on).status == 200:
        context.record.evacuated[zone] = on


def replacements(context: SoakContext, rng: random.Random) -> None:
    """Replace servers one after another; the old one drains, still serves for a while, and is removed."""
    draining: list[tuple[float, str]] = []
    while not context.stopping.wait(rng.uniform(*REPLACEMENT_INTERVAL_S)):
        draining.append((time.monotonic(), context.system.peer.replace()))
        context.record.count("replaced")
        while draining and time.monotonic() - draining[0][0] > context.drain_within + REMOVAL_DELAY_S:
            context.system.peer.remove(draining.pop(0)[1])


def scrapes(context: SoakContext, rng: random.Random) -> None:
    """Read the metrics: no invariant may be violated, and no process may return to an older version."""
    seen: dict[int, tuple[int, float]] = {}  # by process: its process id and its version at the last read
    while not context.stopping.wait(10.0 * REQUEST_INTERVAL_S):
        process = context.random_process(rng)
        pid = context.system.pid(process)
        figures = context.system.metrics(process)
        if not figures or pid is None or pid != context.system.pid(process):
            continue
        check_violations(context.record, process, figures)
        version = figures["millfront_configuration_version"]
        previous_pid, previous = seen.get(process, (pid, 0.0))
        went_back = pid == previous_pid and version < previous
        context.record.check(
            not went_back, f"process {process} returned from version {previous:g} to {version:g}"
        )
        seen[process] = (pid, version)


def check_violations(record: Record, process: int, figures: dict[str, float]) -> None:
    """Record each invariant whose violations a process has counted."""
    for name, count in figures.items():
        if name.startswith("millfront_invariant_violations_total"):
            record.check(count == 0.0, f"process {process}: {name} {count:g}")


CLIENTS: tuple[Callable[[SoakContext, random.Random], None], ...] = (
    orders,
    orders,
    kept_connections,
    kept_connections,
    kept_connections,
    directory_lookups,
    operator,
    replacements,
    scrapes,
    quotas.send_bursts,
    quotas.hot_tenants,
)
