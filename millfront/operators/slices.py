"""Long work in slices: a generator that yields None between slices and its result last.

Keeps long work from blocking the event loop: a gatekeeper that stops for 50 ms is late for all its clients.
"""

from collections.abc import Iterator
from typing import TypeVar

import anyio

T = TypeVar("T")


def run_to_end(steps: Iterator[T | None]) -> T:
    """Runs all slices without pauses and returns the result."""
    last: T | None = None
    for step in steps:
        last = step
    assert last is not None
    return last


async def run_in_slices(steps: Iterator[T | None], pause_s: float) -> T:
    """Runs the slices with a pause after each, so that the event loop does other work; returns the result."""
    last: T | None = None
    for last in steps:
        if last is None:
            await anyio.sleep(pause_s)
    assert last is not None
    return last
