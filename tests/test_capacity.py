"""The capacity benchmark's parts at tiny sizes: that its fleets found a core, carry what they are given, and
that a measured gatekeeper is charged for it."""

import pytest

from benchmarks import capacity, capacity_state
from benchmarks.hollow import Fleet, settled
from millfront.control import configuration


def test_a_hollow_fleet_works_and_a_measured_gatekeeper_is_charged() -> None:
    fleet = settled(Fleet(6, 4), capacity_state.document(0.002).text, but=1).run(3.0)
    meter = fleet.nodes[4].measure()
    fleet.put(1, capacity_state.document(0.002).at(2))
    assert fleet.run(3.0).in_force(2)
    assert meter.total("out", capacity.ROSTER)[1] > 0
    assert meter.count["in newest"] > 0
    assert meter.cpu["roster: tick"] > 0.0
    assert capacity._join(fleet) < 5.0


def test_a_share_of_the_target_is_a_valid_configuration() -> None:
    made = configuration.checked(capacity_state.document(0.01).text).unwrap()
    assert (len(made.by_name), len(made.services)) == (300, 3)


@pytest.mark.parametrize("part", ["servers", "delivery"])
def test_a_part_prints_its_figures(part: str, capsys: pytest.CaptureFixture[str]) -> None:
    capacity.PARTS[part](["0.01" if part == "delivery" else "20"])
    assert len(capsys.readouterr().out.splitlines()) >= 2
