"""The soak's short form: one seed with real processes on loopback, and a plan that keeps to its bounds."""

import random

import pytest

from benchmarks.soak import COUNT, DOWN, LONG_S, MOST_AT_ONCE, SMALL_S, Record, Trouble, plan, play

LOSES_A_DISK = {Trouble.WIPED}


def test_everything_holds_through_a_short_soak() -> None:
    record = play(seed=1, seconds=SMALL_S)
    assert record.broken == []
    assert record.orders > 20 and record.lookups > 10 and record.acknowledged > 1


@pytest.mark.parametrize("seed", range(5))
def test_troubles_overlap_and_no_disk_is_lost_beside_one_that_is_down(seed: int) -> None:
    strikes = plan(random.Random(seed), LONG_S)
    assert {strike.trouble for strike in strikes} == set(Trouble)
    most = 0
    for strike in strikes:
        beside = [
            other
            for other in strikes
            if other is not strike and other.at <= strike.at < other.at + other.lasts
        ]
        most = max(most, len(beside) + 1)
        assert all(other.process != strike.process for other in beside)
        if strike.trouble in LOSES_A_DISK:
            earlier = [other for other in strikes if other.at < strike.at and other.trouble in DOWN]
            assert all(other.back <= strike.at for other in earlier)
    assert 2 <= most <= MOST_AT_ONCE <= COUNT


def test_what_does_not_hold_is_noted() -> None:
    record = Record()
    record.check(True, "holds")
    record.check(False, "does not")
    assert record.broken == ["does not"]
