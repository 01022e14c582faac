"""Operation keys over chains of core changes, in simulated time, over all cores of the machine:

    python -m benchmarks.claim_chains search [LENGTH] [SEEDS]    every chain of that length, 4 unless given
    python -m benchmarks.claim_chains refusals [SEEDS]           what clients see during and after a chain

`search` looks for a key that two majorities grant, in cores of 3 to 8 members, also while the records that
members ask for are lost in every other change (its second line). `refusals` plays whole fleets of 11
gatekeepers, 7 with a disk, at 100 new keys a second: keys of which a try was refused, those of them that were
sent after the chain had ended, and the longest time that a key waited until it ran, retries included.
"""

import itertools
import random
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from benchmarks import PARALLEL_PLAYS
from tests.claim_chains import KINDS, chains, first_key_granted_twice
from tests.test_claim_refusals import DISKS, MACHINES, play

SIZES = range(3, 9)
LOSSES = ((0.0,), (1.0, 0.0))


@dataclass(frozen=True, slots=True)
class Row:
    """What clients saw of one play, or of several."""

    keys: int = 0
    refused: int = 0
    refused_afterwards: int = 0  # those of them that were sent after the chain had ended
    given_up: int = 0
    run_twice: int = 0
    longest_wait_s: float = 0.0

    def __add__(self, other: "Row") -> "Row":
        return Row(
            self.keys + other.keys,
            self.refused + other.refused,
            self.refused_afterwards + other.refused_afterwards,
            self.given_up + other.given_up,
            self.run_twice + other.run_twice,
            max(self.longest_wait_s, other.longest_wait_s),
        )

    def __str__(self) -> str:
        counts = (self.keys, self.refused, self.refused_afterwards, self.given_up, self.run_twice)
        return f"{' | '.join(map(str, counts))} | {self.longest_wait_s:.2f} s"


def search(length: int, seeds: int) -> None:
    """Play every chain of that length."""
    with ProcessPoolExecutor(PARALLEL_PLAYS) as pool:
        for losses in LOSSES:
            searches = list(itertools.product(SIZES, chains(length), [losses], range(1, seeds + 1)))
            played = pool.map(first_key_granted_twice, *zip(*searches, strict=True), chunksize=16)
            found = [fault for fault in played if fault]
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


def play_one(kinds: tuple[str, ...], seed: int) -> Row:
    """Play one chain of these kinds."""
    clients = play(fleet_chain(kinds, seed), seed)
    return Row(
        keys=len(clients.tries),
        refused=len(clients.refused),
        refused_afterwards=len(clients.refused_afterwards),
        given_up=len(clients.given_up),
        run_twice=sum(runs > 1 for runs in clients.runs.values()),
        longest_wait_s=clients.longest_wait_s,
    )


def refusals(seeds: int) -> None:
    """Print a row for each chain, summed over the seeds."""
    plays = list(itertools.product(kinds_of_chains(), range(1, seeds + 1)))
    print("chain | keys | refused at first | after the chain | given up | run twice | longest wait")
    with ProcessPoolExecutor(PARALLEL_PLAYS) as pool:
        rows = zip(plays, pool.map(play_one, *zip(*plays, strict=True)), strict=True)
        for kinds, group in itertools.groupby(rows, key=lambda row: row[0][0]):
            print(f"{'+'.join(kinds)} | {sum((row for _, row in group), Row())}", flush=True)


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
