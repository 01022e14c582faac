"""Hypothesis draws the same examples for a property, whichever other modules are loaded."""

import importlib.util
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.internal.conjecture import providers

from tests import conftest


def drawn() -> list[int]:
    found = []

    @settings(max_examples=500)
    @given(number=st.integers(0, 10**12))
    def each(number: int) -> None:
        found.append(number)

    each()
    return found


@pytest.fixture
def load(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Callable[[], Any]:
    """Loads one more local module, which is full of constants."""

    def load() -> None:
        file = tmp_path / "full_of_constants.py"
        file.write_text(f"FOUND = {[at * 7_919 + 100_003 for at in range(400)]}\n")
        spec = importlib.util.spec_from_file_location(file.stem, file)
        assert spec is not None and spec.loader is not None
        module = importlib.util.module_from_spec(spec)
        monkeypatch.setitem(sys.modules, file.stem, module)
        spec.loader.exec_module(module)

    return load


def test_one_more_module_changes_no_example(load: Callable[[], Any]) -> None:
    before = drawn()
    load()
    assert len(before) > 400 and drawn() == before


def test_examples_that_change_with_a_module_are_found(
    load: Callable[[], Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    try:
        monkeypatch.setattr(providers, "_get_local_constants", conftest.OF_LOADED_MODULES)
        providers.CONSTANTS_CACHE.cache.clear()
        before = drawn()
        load()
        assert drawn() != before
    finally:
        providers.CONSTANTS_CACHE.cache.clear()
