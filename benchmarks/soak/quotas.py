"""Tenants with limits in a soak: bursts over all machines, hot tenants, changing limits, and their check.

Clients keep a connection to each process until that process is gone. The check uses the requests that the
servers received: each window of `QuotaRule.window_s` must keep to the highest limit that its tenant had."""

import random
from typing import TYPE_CHECKING

from benchmarks.soak.record import Record
from millfront.rehearsal.quotas import KeptConnections, QuotaRule, SentLog, max_requests_in_window
from millfront.rehearsal.servers import ObservedRequests
from millfront.rehearsal.system import Limit, document

if TYPE_CHECKING:
    from benchmarks.soak.clients import SoakContext

LIMITS = {
    "five": Limit(5.0, 5.0),
    "eighteen": Limit(18.0, 18.0),
    "sixty": Limit(60.0, 30.0),
    "changing": Limit(24.0, 24.0),
}
CHANGING_TENANT = "changing"
LOWERED_LIMIT = Limit(8.0, 8.0)  # of CHANGING_TENANT, in every other version
ABSENT_EVERY = 5  # CHANGING_TENANT is absent from every so many-th version
# In every version, with the same limit
PERMANENT_TENANTS = tuple(key for key in LIMITS if key != CHANGING_TENANT)
RULE = QuotaRule()
BURST_INTERVAL_S = (0.2, 2.0)  # between bursts
HOT_DURATION_S, HOT_PAUSE_S = (2.0, 6.0), (1.0, 5.0)  # how long a tenant is hot, and the pause between two
HOT_BURST_INTERVAL_S = 0.15


def configuration(version: int, key: str) -> str:
    """The configuration document of a version: a tenant without a tight limit, and those with limits.

    :param key: the API key of the former
    """
    limits = dict(LIMITS)
    if version % 2:
        limits[CHANGING_TENANT] = LOWERED_LIMIT
    if version % ABSENT_EVERY == 0:
        del limits[CHANGING_TENANT]
    return document(version, [key, *limits], orders=True, limits=limits)


def send_bursts(context: "SoakContext", rng: random.Random) -> None:
    """Send a request or two of a tenant to each process at once; sometimes of all tenants together."""
    connections = KeptConnections(context.system, context.sent)
    while not context.stopping.is_set():
        connections.open()
        keys = list(LIMITS) if rng.random() < 0.2 else [rng.choice(list(LIMITS))]
        for key in keys:
            connections.send_burst(key, per_process=rng.choice((1, 1, 1, 2)))
            context.record.count("clumps")
        connections.read(rng.uniform(*BURST_INTERVAL_S))
    connections.close()


def hot_tenants(context: "SoakContext", rng: random.Random) -> None:
    """Let one tenant after another send many times its limit, whatever faults the processes have."""
    connections = KeptConnections(context.system, context.sent)
    while not context.stopping.wait(rng.uniform(*HOT_PAUSE_S)):
        key, duration_s = rng.choice(list(LIMITS)), rng.uniform(*HOT_DURATION_S)
        for _ in range(int(duration_s / HOT_BURST_INTERVAL_S)):
            if context.stopping.is_set():
                break
            connections.open()
            connections.send_burst(key)
            connections.read(HOT_BURST_INTERVAL_S)
        context.record.count("hot")
    connections.close()


def check_windows(record: Record, sent: SentLog, observed: ObservedRequests) -> None:
    """Check every window of every tenant against its limit."""
    attempts = observed.attempts.copy()
    for key, limit in LIMITS.items():
        runs = sent.runs(key, attempts)
        highest, allowed = max_requests_in_window(runs, RULE.window_s), RULE.allowed(limit.rate, limit.burst)
        record.counts[f"{key}_most_of_{allowed:.0f}"] = highest
        record.check(
            highest <= allowed,
            f"{highest} requests of {key} ran within {RULE.window_s:g} s, allowed {allowed:g}",
        )
