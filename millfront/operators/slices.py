"""Work in slices: a generator that yields None between them and its result last.

Guards the loop against one long piece of work: a gatekeeper that stops for 50 ms is late for all its clients.
"""

from collections.abc import Iterator
from typing import TypeVar

import anyio

T = TypeVar("T")


def run_to_end(steps: Iterator[T | None]) -> T:
    """To its end without pauses."""
    last: T | None = None
    for step in steps:
        last = step
    assert last is not None
    return last


async def run_in_slices(steps: Iterator[T | None], pause_s: float) -> T:
    """With a pause after each slice, in which the loop goes on with other work."""
    last: T | None = None
    for last in steps:
        if last is None:
            await anyio.sleep(pause_s)
    assert last is not None
    return last
