"""Operation keys over chains of core changes, in simulated time, over all cores of the machine:

    python -m benchmarks.claim_chains search [LENGTH] [SEEDS]    every chain of that length, 4 unless given
    python -m benchmarks.claim_chains refusals [SEEDS]           what clients see during and after a chain

`search` looks for a key that two majorities grant, in cores of 3 to 8 members, also while the records that
members ask for are lost in every other change (its second line). `refusals` plays whole fleets of 11
gatekeepers, 7 with a disk, at 100 new keys a second: keys of which a try was refused, those of them that were
sent after the chain had ended, and the longest time that a key waited until it ran, retries included.
"""

import itertools
import os
import random
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

from tests.claim_chains import Step, chains, first_key_granted_twice
from tests.test_claim_refusals import DISKS, MACHINES, play

SIZES = range(3, 9)
LOSSES = ((0.0,), (1.0, 0.0))
PROCESSES = max(1, (os.cpu_count() or 2) - 2)
KINDS = ("leave", "join", "replace", "wipe")
Search = tuple[int, tuple[Step, ...], tuple[float, ...], int]
Play = tuple[str, list[tuple[str, int]], int]


def search_one(search: Search) -> str:
    """What a chain shows; empty if no key was granted twice."""
    size, chain, losses, seed = search
    return first_key_granted_twice(size, chain, losses, seed)


def search(length: int, seeds: int) -> None:
    """Play every chain of that length."""
    with ProcessPoolExecutor(PROCESSES) as pool:
        for losses in LOSSES:
            searches = list(itertools.product(SIZES, chains(length), [losses], range(1, seeds + 1)))
            found = [fault for fault in pool.map(search_one, searches, chunksize=16) if fault]
            print(f"{len(searches)} plays of chains of {length}, requests for records lost {losses}: {found}")


def kinds_of_chains() -> Iterator[tuple[str, ...]]:
    """All chains of two changes, and four of three and four."""
    yield from itertools.product(KINDS, repeat=2)
    yield ("leave", "leave", "leave")
    yield ("leave", "leave", "leave", "join")
    yield ("join", "leave", "join", "leave")
    yield ("wipe", "leave", "wipe", "leave")


def fleet_chain(kinds: tuple[str, ...], seed: int) -> list[tuple[str, int]]:
    """A chain of these kinds; the members that leave, or lose their disks, are drawn."""
    members = iter(random.Random(seed).sample(range(DISKS), k=DISKS))
    spares = itertools.count(MACHINES)
    chain: list[tuple[str, int]] = []
    for kind in kinds:
        if kind in ("join", "replace"):
            chain.append(("join", next(spares)))
        if kind in ("leave", "replace"):
            chain.append(("leave", next(members)))
        if kind == "wipe":
            chain.append(("wipe", next(members)))
    return chain


def play_one(one: Play) -> tuple[str, int, int, int, int, int, float]:
    """:returns: name, keys, refused, refused afterwards, given up, run twice, the longest wait in seconds"""
    name, chain, seed = one
    clients = play(chain, seed)
    twice = sum(runs > 1 for runs in clients.runs.values())
    return (
        name,
        len(clients.tries),
        len(clients.refused),
        len(clients.refused_afterwards),
        len(clients.given_up),
        twice,
        clients.longest_wait_s,
    )


def refusals(seeds: int) -> None:
    """Print a row for each chain, summed over the seeds."""
    plays = [
        ("+".join(kinds), fleet_chain(kinds, seed), seed)
        for kinds in kinds_of_chains()
        for seed in range(1, seeds + 1)
    ]
    print("chain | keys | refused at first | after the chain | given up | run twice | longest wait")
    with ProcessPoolExecutor(PROCESSES) as pool:
        rows = pool.map(play_one, plays)
        for name, group in itertools.groupby(rows, key=lambda row: row[0]):
            _, *columns, waits = zip(*group, strict=True)
            counts = " | ".join(str(sum(column)) for column in columns)
            print(f"{name} | {counts} | {max(waits):.2f} s", flush=True)


def main(arguments: list[str]) -> None:
    """Run what the command line names."""
    match arguments:
        case ["search", *numbers]:
            length, seeds = [*map(int, numbers), *(4, 1)[len(numbers) :]]
            search(length, seeds)
        case ["refusals", *numbers]:
            refusals(int(numbers[0]) if numbers else 1)
        case _:
            sys.exit(__doc__)


if __name__ == "__main__":
    main(sys.argv[1:])
