"""The parts of the capacity benchmark at small sizes."""

import pytest

from benchmarks import capacity
from millfront.control import configuration


def test_a_scaled_down_target_is_a_valid_configuration() -> None:
    compiled = configuration.checked(capacity.document(0.01).text).unwrap()
    assert (len(compiled.by_name), len(compiled.services)) == (300, 3)


@pytest.mark.parametrize("part", ["servers", "delivery"])
def test_a_part_prints_its_figures(part: str, capsys: pytest.CaptureFixture[str]) -> None:
    capacity.PARTS[part](["0.01" if part == "delivery" else "20"])
    assert len(capsys.readouterr().out.splitlines()) >= 2
