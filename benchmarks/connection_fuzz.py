"""Drawn beginnings of connections on the real listeners of a gatekeeper, in several processes:

    python -m benchmarks.connection_fuzz [CONNECTIONS] [FIRST_SEED]    100,000 and 1 unless given

Each process plays one seed, and prints what its first faulty connections were (tests/connection_fuzz.py).
"""

import asyncio
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from loguru import logger

from benchmarks import PARALLEL_PLAYS
from millfront.register import bootstrap
from tests.connection_fuzz import first_fault

CONNECTIONS = 100_000


def play(seed: int, connections: int) -> str:
    """What one seed shows; empty if all held."""
    logger.remove()
    # A core of one does not need to wait for others
    bootstrap.MIN_UPTIME_S = bootstrap.SETTLE_S = 0.0
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(first_fault(Path(folder), seed, connections))


def main(arguments: list[str]) -> None:
    """Play the seeds, and fail if one of them shows a fault."""
    connections, first_seed = [*map(int, arguments), *(CONNECTIONS, 1)[len(arguments) :]]
    share = -(-connections // PARALLEL_PLAYS)
    seeds = range(first_seed, first_seed + PARALLEL_PLAYS)
    with ProcessPoolExecutor(PARALLEL_PLAYS) as pool:
        found = dict(zip(seeds, pool.map(play, seeds, [share] * PARALLEL_PLAYS), strict=True))
    for seed, fault in found.items():
        print(f"seed {seed}, {share} connections: {fault or 'held'}")
    sys.exit(1 if any(found.values()) else 0)


if __name__ == "__main__":
    main(sys.argv[1:])
