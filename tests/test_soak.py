"""The soak's short form: one seed with real processes on loopback, and a plan that keeps to its bounds."""

import random

import pytest

from benchmarks.soak.__main__ import DISKS, LONG_S, PROCESSES, SMALL_S, told
from benchmarks.soak.play import Plan, play
from benchmarks.soak.record import Record
from benchmarks.soak.troubles import DOWN, EVERYWHERE, MOST_AT_ONCE, NEEDS_RELAY, Fleet, Trouble, plan

FLEET = Fleet(PROCESSES, DISKS)


def test_everything_holds_through_a_short_soak() -> None:
    record = play(Plan(seed=1, seconds=SMALL_S, fleet=FLEET))
    assert record.broken == []
    counts = record.counts
    assert counts["orders"] > 20 and counts["lookups"] > 10 and counts["pages"] > 20
    assert record.acknowledged > 1000 and counts["replaced"] > 3


@pytest.mark.parametrize("seed", range(5))
def test_troubles_overlap_and_no_disk_is_lost_beside_one_that_is_down(seed: int) -> None:
    strikes = plan(random.Random(seed), FLEET, 4 * LONG_S)
    assert {strike.trouble for strike in strikes} == set(Trouble)
    most = 0
    for strike in strikes:
        beside = [other for other in strikes if other is not strike and other.at <= strike.at < other.until]
        most = max(most, len(beside) + 1)
        assert all(not other.hits(strike.process) for other in beside)
        if strike.trouble is Trouble.WIPED:
            earlier = [
                other
                for other in strikes
                if other.at < strike.at and other.trouble in DOWN and 0 <= other.process < DISKS
            ]
            assert all(other.back <= strike.at for other in earlier)
            assert strike.process < DISKS
    assert 2 <= most <= MOST_AT_ONCE <= PROCESSES


def test_a_fleet_without_relays_is_not_cut() -> None:
    strikes = plan(random.Random(1), Fleet(100, 6, relays=False), 2 * LONG_S)
    assert strikes and not {strike.trouble for strike in strikes} & NEEDS_RELAY


def test_what_does_not_hold_is_noted_and_told() -> None:
    record = Record()
    record.check(True, "holds")
    record.check(False, "does not")
    assert record.broken == ["does not"]
    assert told(7, record).startswith("seed=7: BROKEN (1): does not")


def test_a_machine_is_in_touch_while_neither_it_nor_the_core_has_trouble() -> None:
    record = Record(disks=DISKS)
    spell = record.begins(Trouble.RELOADED, DISKS)  # a machine without a disk
    spell.over = spell.begun
    assert not record.in_touch(DISKS, spell.begun, spell.begun + 1.0)
    assert record.only_ends_in_order(DISKS, spell.begun, spell.begun + 1.0)
    assert record.in_touch(DISKS + 1, spell.begun, spell.begun + 1.0)
    assert record.in_touch(DISKS, spell.begun + 10.0, spell.begun + 11.0)
    core = record.begins(Trouble.KILLED, 0)
    assert not record.in_touch(DISKS + 1, core.begun, core.begun + 1.0)
    assert not record.only_ends_in_order(DISKS, core.begun, core.begun + 1.0)
    everywhere = record.begins(Trouble.POWER, EVERYWHERE)
    everywhere.over = core.over = core.begun
    assert record.in_touch(DISKS + 1, core.begun + 10.0, core.begun + 11.0)
