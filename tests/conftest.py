"""The same examples every time, so that CI gives one verdict on one text; and no test passes over a violated
invariant.

Hypothesis also draws constants that it finds in the sources of whatever local modules are loaded at the
moment, so the examples of a test would differ between a run of the whole suite and one of its file. Here it
draws only constants of its own.
"""

from collections.abc import Iterator

import pytest
from hypothesis import settings
from hypothesis.internal.conjecture import providers
from hypothesis.internal.constants_ast import Constants

from millfront.invariants import Invariant, Invariants

settings.register_profile("same", derandomize=True)
settings.load_profile("same")

OF_LOADED_MODULES = providers._get_local_constants  # fails here, and not silently, if hypothesis renames it
NONE = Constants()


def own_constants_only() -> Constants:
    return NONE


providers._get_local_constants = own_constants_only


@pytest.fixture(autouse=True)
def violations() -> Iterator[list[tuple[Invariant, str]]]:
    """All violations of invariants during a test, which fails unless it has expected and cleared them."""
    found: list[tuple[Invariant, str]] = []

    def listener(invariant: Invariant, detail: str) -> None:
        found.append((invariant, detail))

    Invariants.listeners.append(listener)
    yield found
    Invariants.listeners.remove(listener)
    assert not found, f"{len(found)} violations, the first: {found[0][0].value}: {found[0][1]}"
