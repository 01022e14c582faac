"""Control state in simulated time: delay until a change is in force, recovery of a fleet, and traffic.

    python -m benchmarks.register_changes            # the figures of docs/design/register.md
    python -m benchmarks.register_changes --histories 10000

Uses the simulation of the tests (`tests/system_world.py`) with the real gatekeepers, links of 1 to 2 ms in a
region and 20 to 40 ms between two, and disks that sync in 2 ms. Times are seconds.
"""

import argparse
import os
import random
import tempfile
import time
from collections.abc import Callable
from typing import Any

from millfront.register import reconfiguration
from millfront.register.values import Value
from millfront.storage.disk import Disk
from millfront.transport.connections import encode_message
from tests import test_core_changes, test_core_search
from tests.system_world import ZONES, Node, World, document

CHANGES = 12


class CountingWorld(World):
    """A simulation that counts the bytes sent within and between regions."""

    cross_region_bytes = in_region_bytes = 0

    def deliver(self, sender: Node, address: str, give: Callable[[Any, Any], None], message: Any) -> None:
        receiver = self.by_address.get(address)
        if receiver is not None:
            size = len(encode_message(message))
            if ZONES[sender.zone] == ZONES[receiver.zone]:
                self.in_region_bytes += size
            else:
                self.cross_region_bytes += size
        super().deliver(sender, address, give, message)


def start_world(n: int, disks: int, seed: int = 1) -> CountingWorld:
    world = CountingWorld(n, disks, seed)
    world.start().run(6.0)
    world.put(n - 1, document(1))
    world.run(3.0)
    return world


def run_until(world: World, condition: Callable[[], bool], timeout_s: float = 60.0) -> float:
    """Seconds until the condition holds, or inf at the time limit."""
    started = world.env.now
    while not condition():
        world.run(0.02)
        if world.env.now - started > timeout_s:
            return float("inf")
    return float(world.env.now - started)


def measure_in_force(n: int, disks: int) -> None:
    """Delay from the acknowledgement of a version until each process has it in force."""
    world, rng, lags = start_world(n, disks), random.Random(n), []
    cross_region_before, started = world.cross_region_bytes, world.env.now
    world.run(20.0)
    idle = (world.cross_region_bytes - cross_region_before) / (world.env.now - started)
    cross_region_before, started = world.cross_region_bytes, world.env.now
    for version in range(2, 2 + CHANGES):
        waiting = set(world.nodes)
        answers = world.put(
            rng.randrange(n), document(version, {f"t{k}": [f"key-{version}-{k}"] for k in range(40)})
        )
        deadline, acknowledged = world.env.now + 2.0, 0.0
        in_force_at: dict[Node, float] = {}
        while world.env.now < deadline:
            world.run(0.005)
            for node in [node for node in waiting if node.gatekeeper and node.gatekeeper.configuration]:
                if node.gatekeeper.configuration.version >= version:  # type: ignore[union-attr]
                    in_force_at[node] = world.env.now
                    waiting.discard(node)
            if answers and not acknowledged:
                acknowledged = answers[0][2]
        lags += [max(0.0, when - acknowledged) for when in in_force_at.values()] + [float("inf")] * len(
            waiting
        )
    lags.sort()
    cost = (world.cross_region_bytes - cross_region_before - idle * (world.env.now - started)) / CHANGES
    print(
        f"{n:5} {disks:5}  {lags[len(lags) // 2]:.3f}  {lags[int(len(lags) * 0.99)]:.3f}  {lags[-1]:.3f}"
        f"  {idle / 1000:9.2f}  {cost / 1000:9.2f}"
    )


def measure_recovery(n: int, disks: int) -> None:
    """After the whole core was killed, and after all machines lost power: time until all replicas vote, and
    until every process is ready."""

    def ready() -> bool:
        return all(node.gatekeeper is not None and node.gatekeeper.ready(node.now()) for node in world.nodes)

    def votes() -> bool:
        replicas = [node.gatekeeper.replica for node in world.nodes[:disks] if node.gatekeeper]
        return all(replica is not None and replica.votes for replica in replicas)

    figures = []
    for killed in (range(disks), range(n)):
        world = start_world(n, disks, seed=3)
        for number in killed:
            world.nodes[number].kill()
        world.run(0.5)
        for number in killed:
            world.nodes[number].start()
        figures += [run_until(world, votes), run_until(world, ready)]
    print(f"{n:5} {disks:5}  " + "  ".join(f"{figure:.2f}" for figure in figures))


def size_on_disk() -> None:
    with tempfile.TemporaryDirectory() as folder:
        disk = Disk(folder)
        disk.load()
        text = document(1, {f"t{number}": [f"key-{number}"] for number in range(300)})
        for version in range(1, 1001):
            disk.store({"config": Value(version, "tie", text)})
        disk.close()
        blocks = sum(os.stat(os.path.join(disk.folder, name)).st_blocks for name in os.listdir(disk.folder))
        print(f"1,000 versions of {len(text) / 1000:.0f} KB: {blocks * 512 / 1000:.0f} KB on the disk")


def search_histories(count: int) -> None:
    reconfiguration.JOIN_DELAY_S, reconfiguration.REMOVAL_DELAY_S = 2.0, 8.0
    started = time.monotonic()
    print("search:", test_core_search.first_violation(count) or f"no violation in {count} runs")
    play = test_core_changes.test_histories_with_changes_of_the_core_lose_nothing_and_have_one_core_an_epoch
    for seed in range(1000, 1000 + count // 20):
        play(seed)
    print(
        f"histories: no violation in {count // 20} of whole fleets; {time.monotonic() - started:.0f} s in all"
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--histories", type=int, default=0)
    if count := parser.parse_args().histories:
        search_histories(count)
        return
    print("in force after the acknowledgement; KB between regions: per second when idle, per change")
    print("    n disks   p50    p99  worst       idle   a change")
    for n, disks in ((11, 4), (30, 6)):
        measure_in_force(n, disks)
    print("recovery, s: all vote and all are ready after the core was killed, and after all lost power")
    for n, disks in ((11, 4), (30, 6)):
        measure_recovery(n, disks)
    size_on_disk()


if __name__ == "__main__":
    main()
