"""Deterministic Hypothesis examples, and a fixture that fails each test in which an invariant is violated.

Hypothesis also draws constants from the sources of all local modules loaded at the moment, so a test's
examples would differ between a run of the whole suite and one of its file alone. Here it draws only its own
constants.
"""

from collections.abc import Iterator

import pytest
from hypothesis import settings
from hypothesis.internal.conjecture import providers
from hypothesis.internal.constants_ast import Constants

from millfront.invariants import Invariant, Invariants

settings.register_profile("same", derandomize=True)
settings.load_profile("same")

OF_LOADED_MODULES = providers._get_local_constants  # raises here if hypothesis renames it
NONE = Constants()


def own_constants_only() -> Constants:
    return NONE


providers._get_local_constants = own_constants_only


@pytest.fixture(autouse=True)
def violations() -> Iterator[list[tuple[Invariant, str]]]:
    """Collects violations of invariants during a test; it fails unless it clears the ones that it expects."""
    found: list[tuple[Invariant, str]] = []

    def listener(invariant: Invariant, detail: str) -> None:
        found.append((invariant, detail))

    Invariants.listeners.append(listener)
    yield found
    Invariants.listeners.remove(listener)
    assert not found, f"{len(found)} violations, the first: {found[0][0].value}: {found[0][1]}"
