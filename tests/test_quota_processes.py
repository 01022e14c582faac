"""Tenants' limits over 69 real processes, judged by the requests that the servers received."""

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from millfront.rehearsal.quotas import KeptConnections, QuotaRule, SentLog, max_requests_in_window
from millfront.rehearsal.system import Limit, System, document, wait_until

PROCESSES, DISKS = 69, 8
START_TIMEOUT_S = 60.0
ANSWER_TIMEOUT_S = 2.0
BURST_INTERVAL_S = 0.25
CLUMPS_BETWEEN_CHECKS_S = 0.5
LIMITS = {"five": Limit(5.0, 5.0), "seven": Limit(7.0, 7.0)}
RULE = QuotaRule()


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[System]:
    folder: Path = tmp_path_factory.mktemp("processes")
    with System(folder, PROCESSES, disks=DISKS, relays=False, servers=6) as running:
        text = document(1, LIMITS, limits=LIMITS)
        running.retry_call(0, lambda number: running.put(number, text), START_TIMEOUT_S)
        wait_until("all processes are ready", lambda: all_ready(running), START_TIMEOUT_S)
        wait_until(
            "the core holds a full burst of tokens of each tenant",
            lambda: all(has_burst_tokens(running, key) for key in LIMITS),
            START_TIMEOUT_S,
        )
        yield running


def all_ready(system: System) -> bool:
    """Whether every process says that it is ready."""
    return all(system.ready(number) == 200 for number in range(PROCESSES))


def has_burst_tokens(system: System, key: str) -> bool:
    """Whether the core members together have tokens for a full burst of the tenant."""
    answers = [system.call(number, "GET", "/v1/gatekeeper/tenants") for number in range(DISKS)]
    tokens = [answer.json()[f"of-{key}"]["tokens"] for answer in answers if answer.status == 200]
    return float(sum(tokens)) >= LIMITS[key].burst + DISKS


@pytest.mark.parametrize("key", LIMITS)
def test_one_request_at_each_of_69_processes_at_once_keeps_to_the_limit(system: System, key: str) -> None:
    log = SentLog()
    connections = KeptConnections(system, log)
    assert connections.open() == PROCESSES
    connections.send_burst(key)
    connections.read(ANSWER_TIMEOUT_S)
    connections.close()
    ran = max_requests_in_window(log.runs(key, system.peer.observed.attempts), RULE.window_s)
    limit = LIMITS[key]
    assert limit.burst <= ran <= RULE.allowed(limit.rate, limit.burst)


def test_bursts_through_a_restart_of_all_69_processes_keep_to_the_limit(system: System) -> None:
    """All processes are killed at once and started again, while clients send to each as soon as it is up."""
    log = SentLog()
    connections = KeptConnections(system, log)

    def clumps(seconds: float) -> None:
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            connections.open()
            for key in LIMITS:
                connections.send_burst(key)
            connections.read(BURST_INTERVAL_S)

    def all_ready_after_clumps() -> bool:
        clumps(CLUMPS_BETWEEN_CHECKS_S)
        return all_ready(system)

    clumps(2.0)
    restarted_at = time.monotonic()
    system.lose_power(range(PROCESSES))
    for number in range(PROCESSES):
        system.start(number)
    wait_until("all processes are ready again", all_ready_after_clumps, START_TIMEOUT_S)
    clumps(10.0)
    connections.close()
    attempts = system.peer.observed.attempts.copy()
    for key, limit in LIMITS.items():
        runs = log.runs(key, attempts)
        last = max(run.sent for run in runs)
        assert last > restarted_at
        assert max_requests_in_window(runs, RULE.window_s) <= RULE.allowed(limit.rate, limit.burst)
        assert sum(run.sent > last - 3.0 for run in runs) >= limit.rate, "the tenant's rate is admitted again"
