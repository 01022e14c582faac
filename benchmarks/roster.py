"""How soon all know all, what it costs, and how often a live one is taken for lost, by their number.

    python -m benchmarks.roster 11 82 300

The very `Members`, each told of three seeds at its start, two regions, messages on the way for 5 to 40 ms,
2% of them lost. Bytes are of what one process sends, before the network's own.
"""

import heapq
import itertools
import random
import sys
from typing import Any

from millfront.membership.gossip import Membership
from millfront.membership.record import Liveness
from millfront.transport.connections import encoded

TICKS = 40
LOSS = 0.02


def play(n: int) -> None:
    chance = random.Random(n)
    still = [
        {"post": str(k), "zone": f"z{k % 4}", "region": f"r{k % 2}", "plain": "", "ctl": "", "core": k < 4}
        for k in range(n)
    ]
    fleet = [Membership(f"p{k}", still[k], ["0", "1", "2"], 1, k) for k in range(n)]
    numbers = itertools.count()
    due: list[tuple[float, int, int, str, Any]] = []  # when, number, to, from, message; None: a tick
    for k in range(n):
        heapq.heappush(due, (chance.random(), next(numbers), k, "", None))
    whole_at, sent, falsely, looks = float("inf"), 0, 0, 0
    now, next_look = 0.0, 1.0
    while due and now < TICKS:
        now, _, to, back, message = heapq.heappop(due)
        if now >= next_look:
            next_look += 1.0
            if whole_at == float("inf"):
                known = all(sum(c.identity is not None for c in one.records.values()) == n for one in fleet)
                whole_at = now if known else whole_at
            if now > TICKS / 2:
                looks += n * (n - 1)
                falsely += sum(c.liveness is Liveness.LOST for one in fleet for c in one.others())
        if message is None:
            out = fleet[to].tick(now)
            heapq.heappush(due, (now + 1.0, next(numbers), to, "", None))
        else:
            out = fleet[to].take(now, back, message).out
        sizes: dict[int, int] = {}
        for address, datagram in out:
            size = sizes.setdefault(id(datagram), 0) or len(encoded(datagram))
            sizes[id(datagram)] = size
            sent += size if now > TICKS / 2 else 0
            if chance.random() >= LOSS:
                heapq.heappush(
                    due,
                    (now + 0.005 + 0.035 * chance.random(), next(numbers), int(address), str(to), datagram),
                )
    print(f"{n:5}  {whole_at:8.1f}  {sent / n / (TICKS / 2) / 1000:8.2f}  {falsely / looks:.6f}", flush=True)


def main() -> None:
    print("    n  all know  KB/s out  taken for lost, of all looks")
    for n in [int(word) for word in sys.argv[1:]] or [11, 82, 300]:
        play(n)


if __name__ == "__main__":
    main()
