"""The examples in the docstrings of the system's modules produce the output that they show."""

import doctest
import importlib

import pytest


@pytest.mark.parametrize(
    "name",
    [
        "control.configuration",
        "control.event_log",
        "control.hinted_handoff",
        "environment",
        "register.chunks",
        "register.deltas",
        "register.placement",
        "register.snapshot",
        "register.values",
    ],
)
def test_a_module_s_examples_run(name: str) -> None:
    result = doctest.testmod(importlib.import_module(f"millfront.{name}"))
    assert result.attempted and not result.failed
