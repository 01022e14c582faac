"""Operation keys over chains of core changes: no key that a majority has granted is granted again, by
whichever members, while the core changes several times inside the window. The searches must find planted
faults.

A mark that counts before it is synced is not planted: it breaks nothing, as long as it is not synced before
the records that it counts on (docs/design/operation-keys.md). By hand over all chains of four changes:
`make claim-chains`.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from millfront.operations import gathering
from millfront.operations.gathering import Gathering, Knowledge, required_knowledge
from millfront.operations.messages import Claim, Gather, Records
from millfront.operations.rows import Batch, Reply
from millfront.operations.store import OperationStore
from millfront.register.values import Core, read_quorum
from tests.claim_chains import chains, first_key_granted_twice
from tests.claim_orders import RandomFleet, first_key_that_ran_twice

SIZES = range(3, 9)
STEPS = 12_000
MOST_SEEDS, MOST_ORDERS = 20, 60  # within which a planted fault must be found
Fault = Callable[[pytest.MonkeyPatch], None]


def faults_in_chains(
    length: int, sizes: range = SIZES, lost_gathers: tuple[float, ...] = (0.0,)
) -> list[str]:
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


@pytest.mark.parametrize("lost_gathers", [(0.5,), (1.0,), (1.0, 0.0)])
def test_no_key_is_granted_twice_if_members_cannot_catch_up(lost_gathers: tuple[float, ...]) -> None:
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


def catches_up_without_records(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault: what a replica knows rises with the change, before it has the records of others."""
    known_before = Gathering.known_before

    def rises(self: Gathering, core: Core, own: Knowledge) -> int | None:
        at_once = own.intact and core.old_members
        return core.epoch if at_once else known_before(self, core, own)

    monkeypatch.setattr(Gathering, "known_before", rises)


def nobody_asked_needs_to_know(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault: the records of R members count, though none of them knows of the cores before."""
    known_before = Gathering.known_before

    def unasked(self: Gathering, core: Core, own: Knowledge) -> int | None:
        assumed = required_knowledge(core.epoch, bool(core.old_members))
        return known_before(self, core, Knowledge(own.intact, max(own.known_before, assumed)))

    monkeypatch.setattr(Gathering, "known_before", unasked)
    monkeypatch.setattr(Gathering, "_may_know", lambda *_: True)


def grants_under_the_old_epoch(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault: a member that has given its records under a new core still grants under the core before."""
    claim_operation = OperationStore.claim

    def grants(self: OperationStore, now: float, via: Any, claim: Claim, epoch: int) -> list[Reply]:
        accepted = claim.epoch if claim.epoch == epoch - 1 else epoch
        return claim_operation(self, now, via, claim, accepted)

    monkeypatch.setattr(OperationStore, "claim", grants)


def gives_records_under_the_old_epoch(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault: a member gives its records for a core that it does not know yet, and grants further claims."""
    page = OperationStore.page

    def gives(self: OperationStore, now: float, gather: Gather, epoch: int) -> Records | None:
        given = page(self, now, replace(gather, epoch=epoch), epoch)
        return replace(given, epoch=gather.epoch) if given is not None else None

    monkeypatch.setattr(OperationStore, "page", gives)


def records_are_not_synced(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault: what was gathered is kept in memory alone."""
    add_row = OperationStore._add_row

    def keeps(self: OperationStore, *arguments: Any) -> None:
        pending, self._pending_batch = self._pending_batch, Batch()
        add_row(self, *arguments)
        self._pending_batch = pending

    monkeypatch.setattr(OperationStore, "_add_row", keeps)


def the_mark_is_synced_before_the_records(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault: a crash may leave a disk that is marked, without the records that the mark counts on."""
    next_batch = OperationStore.next_batch

    def mark_first(self: OperationStore) -> Batch | None:
        known_before = self._pending_batch.known_before
        if self._syncing or known_before is None:
            return next_batch(self)
        mark = Batch()
        mark.mark_intact(known_before)
        self._pending_batch.remove_mark()
        self._syncing = True
        return mark

    monkeypatch.setattr(OperationStore, "next_batch", mark_first)


def records_are_given_by_a_lost_disk(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault: a replica that has forgotten what it granted gives its records to others."""
    page = OperationStore.page

    def gives(self: OperationStore, now: float, gather: Gather, epoch: int) -> Records | None:
        knowledge, self.knowledge = self.knowledge, replace(self.knowledge, intact=True)
        given = page(self, now, gather, epoch)
        self.knowledge = knowledge
        return given

    monkeypatch.setattr(OperationStore, "page", gives)


def a_gathered_rival_is_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault: of two attempts of a key the one that was held first is kept, whichever had a majority."""
    add_row = OperationStore._add_row

    def drops(self: OperationStore, now: float, name: str, *arguments: Any) -> None:
        if name not in self.operations:
            add_row(self, now, name, *arguments)

    monkeypatch.setattr(OperationStore, "_add_row", drops)


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


FAULTS_OF_CHAINS = [
    stays_without_catching_up,
    catches_up_without_records,
    nobody_asked_needs_to_know,
    grants_under_the_old_epoch,
    gives_records_under_the_old_epoch,
    records_are_not_synced,
    the_mark_is_synced_before_the_records,
    one_member_less_is_heard,
    a_lost_disk_counts_as_intact,
]


@pytest.mark.parametrize("fault", FAULTS_OF_CHAINS)
def test_a_planted_fault_is_found_in_a_chain(fault: Fault, monkeypatch: pytest.MonkeyPatch) -> None:
    fault(monkeypatch)
    played = (
        first_key_granted_twice(5, chain, lost_gathers, seed)
        for seed in range(MOST_SEEDS)
        for lost_gathers in [(0.0,), (1.0,), (1.0, 0.0)]
        for length in (2, 3)
        for chain in chains(length, ("leave", "wipe"))
    )
    assert any("granted twice" in found for found in played)


FAULTS_OF_ORDERS = {
    one_member_less_is_heard: 3,
    a_lost_disk_counts_as_intact: 3,
    records_are_given_by_a_lost_disk: 3,
    a_gathered_rival_is_dropped: 4,
}


@pytest.mark.parametrize(
    ("fault", "size"), FAULTS_OF_ORDERS.items(), ids=lambda it: getattr(it, "__name__", "")
)
def test_a_planted_fault_is_found_in_a_random_order(
    fault: Fault, size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    fault(monkeypatch)
    assert any(first_key_that_ran_twice(size, seed, STEPS) for seed in range(MOST_ORDERS))
