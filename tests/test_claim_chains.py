"""Operation keys over chains of core changes: no key that a majority has granted is granted again, by
whichever members, while the core changes several times inside the window. The searches must find planted
faults.

By hand over all chains of four changes: `first_key_granted_twice(size, chain)` for `chains(4)`.
"""

from collections.abc import Callable
from typing import Any

import pytest

from millfront.operations import gathering
from millfront.operations.gathering import Knowledge
from millfront.operations.store import OperationStore
from millfront.register.values import read_quorum
from tests.claim_chains import chains, first_key_granted_twice
from tests.claim_orders import RandomFleet, first_key_that_ran_twice

SIZES = range(3, 9)
STEPS = 12_000
Fault = Callable[[pytest.MonkeyPatch], None]


def faults_in_chains(length: int, sizes: range = SIZES, lost_gathers: float = 0.0) -> list[str]:
    """What `first_key_granted_twice` finds over all chains up to that length."""
    played = [
        first_key_granted_twice(size, chain, lost_gathers)
        for size in sizes
        for up_to in range(1, length + 1)
        for chain in chains(up_to)
    ]
    return [fault for fault in played if fault]


@pytest.mark.parametrize("size", SIZES)
def test_no_key_is_granted_twice_over_a_chain_of_core_changes(size: int) -> None:
    """Guards against review/1: a core that shrank twice lost the majority that had granted a key."""
    assert faults_in_chains(2, range(size, size + 1)) == []


@pytest.mark.parametrize("lost_gathers", [0.5, 1.0])
def test_no_key_is_granted_twice_if_members_cannot_catch_up(lost_gathers: float) -> None:
    """Guards against review/1 where the records that a member asks for are lost: it grants nothing."""
    assert faults_in_chains(2, range(5, 8), lost_gathers) == []


@pytest.mark.parametrize("size", [3, 4, 5, 7])
def test_no_key_runs_twice_in_random_orders_of_events(size: int) -> None:
    assert [fault for seed in range(8) if (fault := first_key_that_ran_twice(size, seed, STEPS))] == []


def test_keys_run_and_the_core_changes_in_random_orders() -> None:
    """Checks the search: changes are completed, and claims are granted under several cores."""
    changes, ran = 0, set[tuple[int, int]]()
    for seed in range(8):
        fleet = RandomFleet(5, seed)
        for _ in range(STEPS):
            fleet.step()
        changes += fleet.changes
        ran |= {(seed, attempt.core.epoch) for attempt in fleet.attempts.values() if attempt.runs}
    assert changes > 80 and len(ran) > 16


def stays_without_catching_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault: a member of both cores takes part in the next one without what others granted (review/1)."""
    on_core_change = OperationStore.on_core_change

    def knows_all(self: OperationStore, now: float, epoch: int, joint: bool) -> None:
        on_core_change(self, now, epoch, joint)
        self.knowledge = Knowledge(self.knowledge.intact, epoch)

    monkeypatch.setattr(OperationStore, "on_core_change", knows_all)


def one_member_less_is_heard(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault: the records of R - 1 members count as those of R."""
    monkeypatch.setattr(gathering, "read_quorum", lambda size: max(1, read_quorum(size) - 1))


def a_lost_disk_counts_as_intact(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault: a replica that has forgotten what it granted answers as before."""
    init = OperationStore.__init__

    def intact(self: OperationStore, *arguments: Any) -> None:
        init(self, *arguments)
        self.knowledge = Knowledge(True, self.knowledge.known_before)

    monkeypatch.setattr(OperationStore, "__init__", intact)


@pytest.mark.parametrize(
    "fault", [stays_without_catching_up, one_member_less_is_heard, a_lost_disk_counts_as_intact]
)
def test_a_planted_fault_is_found_in_a_chain(fault: Fault, monkeypatch: pytest.MonkeyPatch) -> None:
    fault(monkeypatch)
    assert any("granted twice" in found for found in faults_in_chains(2, range(5, 6)))


@pytest.mark.parametrize("fault", [one_member_less_is_heard, a_lost_disk_counts_as_intact])
def test_a_planted_fault_is_found_in_a_random_order(fault: Fault, monkeypatch: pytest.MonkeyPatch) -> None:
    fault(monkeypatch)
    assert any(first_key_that_ran_twice(3, seed, STEPS) for seed in range(30))
