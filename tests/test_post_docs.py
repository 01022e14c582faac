"""Examples in the docstrings of the system's modules run as printed."""

import doctest
import importlib

import pytest


@pytest.mark.parametrize(
    "name",
    [
        "daybook",
        "orders",
        "postmaster.differences",
        "postmaster.pieces",
        "postmaster.restante",
        "postmaster.seats",
        "postmaster.snapshot",
        "postmaster.values",
        "settings",
    ],
)
def test_a_module_s_examples_run(name: str) -> None:
    tried = doctest.testmod(importlib.import_module(f"millfront.post.{name}"))
    assert tried.attempted and not tried.failed
