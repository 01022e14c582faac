"""A short soak: one seed with real processes on loopback; and fault schedules that keep to their bounds."""

import random

import pytest

from benchmarks.soak.__main__ import DISKS, LONG_S, PROCESSES, SMALL_S, seed_line
from benchmarks.soak.faults import (
    ALL_PROCESSES,
    DOWN,
    MAX_CONCURRENT,
    NEEDS_RELAY,
    FaultKind,
    Fleet,
    plan_faults,
)
from benchmarks.soak.play import SoakSettings, run_soak
from benchmarks.soak.record import Record

FLEET = Fleet(PROCESSES, DISKS)


def test_everything_holds_through_a_short_soak() -> None:
    record = run_soak(SoakSettings(seed=1, seconds=SMALL_S, fleet=FLEET))
    assert record.broken == []
    counts = record.counts
    assert counts["orders"] > 20 and counts["lookups"] > 10 and counts["pages"] > 20
    assert record.acknowledged > 1000 and counts["replaced"] > 3


@pytest.mark.parametrize("seed", range(5))
def test_faults_overlap_and_no_disk_is_lost_while_another_is_down(seed: int) -> None:
    faults = plan_faults(random.Random(seed), FLEET, 4 * LONG_S)
    assert {fault.kind for fault in faults} == set(FaultKind)
    most = 0
    for fault in faults:
        beside = [other for other in faults if other is not fault and other.at <= fault.at < other.ends_by]
        most = max(most, len(beside) + 1)
        assert all(not other.affects(fault.process) for other in beside)
        if fault.kind is FaultKind.WIPED:
            earlier = [
                other
                for other in faults
                if other.at < fault.at and other.kind in DOWN and 0 <= other.process < DISKS
            ]
            assert all(other.recovered_by <= fault.at for other in earlier)
            assert fault.process < DISKS
    assert 2 <= most <= MAX_CONCURRENT <= PROCESSES


def test_without_relays_no_link_is_cut() -> None:
    faults = plan_faults(random.Random(1), Fleet(100, 6, relays=False), 2 * LONG_S)
    assert faults and not {fault.kind for fault in faults} & NEEDS_RELAY


def test_failed_checks_are_recorded_and_printed() -> None:
    record = Record()
    record.check(True, "holds")
    record.check(False, "does not")
    assert record.broken == ["does not"]
    assert seed_line(7, record).startswith("seed=7: BROKEN (1): does not")


def test_a_machine_is_undisturbed_while_neither_it_nor_the_core_has_faults() -> None:
    record = Record(disks=DISKS)
    period = record.begin_fault(FaultKind.RELOADED, DISKS)  # a machine without a disk
    period.ended = period.started
    assert not record.was_undisturbed(DISKS, period.started, period.started + 1.0)
    assert record.only_planned_faults(DISKS, period.started, period.started + 1.0)
    assert record.was_undisturbed(DISKS + 1, period.started, period.started + 1.0)
    assert record.was_undisturbed(DISKS, period.started + 10.0, period.started + 11.0)
    core = record.begin_fault(FaultKind.KILLED, 0)
    assert not record.was_undisturbed(DISKS + 1, core.started, core.started + 1.0)
    assert not record.only_planned_faults(DISKS, core.started, core.started + 1.0)
    everywhere = record.begin_fault(FaultKind.POWER, ALL_PROCESSES)
    everywhere.ended = core.ended = core.started
    assert record.was_undisturbed(DISKS + 1, core.started + 10.0, core.started + 11.0)
