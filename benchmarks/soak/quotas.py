"""Tenants with limits in a soak: clumps over all machines, hot tenants, limits that change, and the windows.

Clients keep a connection to each process until that process is gone. What ran is judged from what the servers
saw, each window of `QuotaRule.window_s` by the highest limit that the tenant ever had."""

import random
from typing import TYPE_CHECKING

from benchmarks.soak.record import Record
from millfront.rehearsal.quotas import HeldConnections, QuotaRule, SentLog, most_in_window
from millfront.rehearsal.servers import Seen
from millfront.rehearsal.system import Limit, document

if TYPE_CHECKING:
    from benchmarks.soak.clients import Stage

LIMITS = {
    "five": Limit(5.0, 5.0),
    "eighteen": Limit(18.0, 18.0),
    "sixty": Limit(60.0, 30.0),
    "changing": Limit(24.0, 24.0),
}
CHANGING = "changing"
LOWER = Limit(8.0, 8.0)  # of that tenant, in every other version
ABSENT_EACH = 5  # in each so many versions it is not there at all
LASTING = tuple(key for key in LIMITS if key != CHANGING)  # in each version, with the same limit
RULE = QuotaRule()
CLUMP_S = (0.2, 2.0)  # between clumps
HOT_S, REST_S = (2.0, 6.0), (1.0, 5.0)  # of a hot tenant, and between two
HOT_CLUMP_S = 0.15


def configuration(version: int, key: str) -> str:
    """The document of that version: the usual tenant, and those with limits.

    :param key: the usual tenant's
    """
    limits = dict(LIMITS)
    if version % 2:
        limits[CHANGING] = LOWER
    if version % ABSENT_EACH == 0:
        del limits[CHANGING]
    return document(version, [key, *limits], orders=True, limits=limits)


def clumps(stage: "Stage", rng: random.Random) -> None:
    """One request, or a few, of a tenant at each process at once; now and then of all tenants together."""
    connections = HeldConnections(stage.system, stage.sent)
    while not stage.ends.is_set():
        connections.open()
        keys = list(LIMITS) if rng.random() < 0.2 else [rng.choice(list(LIMITS))]
        for key in keys:
            connections.clump(key, each=rng.choice((1, 1, 1, 2)))
            stage.record.count("clumps")
        connections.read(rng.uniform(*CLUMP_S))
    connections.close()


def hot_tenants(stage: "Stage", rng: random.Random) -> None:
    """One tenant after another asks for many times its limit, through whatever befalls the processes."""
    connections = HeldConnections(stage.system, stage.sent)
    while not stage.ends.wait(rng.uniform(*REST_S)):
        key, lasts = rng.choice(list(LIMITS)), rng.uniform(*HOT_S)
        for _ in range(int(lasts / HOT_CLUMP_S)):
            if stage.ends.is_set():
                break
            connections.open()
            connections.clump(key)
            connections.read(HOT_CLUMP_S)
        stage.record.count("hot")
    connections.close()


def judge(record: Record, sent: SentLog, seen: Seen) -> None:
    """Each window of each tenant."""
    attempts = seen.attempts.copy()
    for key, limit in LIMITS.items():
        runs = sent.runs(key, attempts)
        most, allowed = most_in_window(runs, RULE.window_s), RULE.allowed(limit.rate, limit.burst)
        record.counts[f"{key}_most_of_{allowed:.0f}"] = most
        record.check(
            most <= allowed, f"{most} requests of {key} ran within {RULE.window_s:g} s of {allowed:g}"
        )
