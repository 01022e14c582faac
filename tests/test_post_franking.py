"""Quotas over the whole fleet without a counter, in the simulated world: the rule's window is never broken,
and what is owed is let in."""

from collections import deque
from collections.abc import Callable, Generator
from typing import Any

import pytest

from millfront.post.settings import Bounds
from tests.post_world import Node, World, document

RATE = 30.0


def rush(world: World, load: Callable[[float, Node], float], seconds: float) -> list[tuple[float, bool]]:
    """Requests of one tenant at each process, `load` a second; each as (when, let in)."""
    told: list[tuple[float, bool]] = []

    def clients(node: Node) -> Generator[Any, Any, None]:
        end = world.env.now + seconds
        hurries = False
        while world.env.now < end:
            rate = max(load(world.env.now, node), 0.01)
            yield world.env.timeout(min(world.random.expovariate(rate), 1.0))
            office = node.office
            if (
                office is None
                or office.orders is None
                or world.random.random() > load(world.env.now, node) / rate
            ):
                continue
            tenant = office.orders.by_name["t"]
            wait = office.franking.admit(node.now(), tenant)
            told.append((float(world.env.now), wait == 0.0))
            if office.franking.hurry and not hurries:
                office.hurry(node.now())

    for node in world.nodes:
        world.env.process(clients(node))
    world.run(seconds)
    return told


def worst_window(told: list[tuple[float, bool]], window: float) -> int:
    most, inside = 0, deque[float]()
    for at in sorted(when for when, well in told if well):
        inside.append(at)
        while inside[0] <= at - window:
            inside.popleft()
        most = max(most, len(inside))
    return most


def allowed(b: Bounds) -> float:
    return (RATE * b.rate_window + RATE) * (1 + b.rate_excess) + b.rate_extra


def quota_world(seed: int = 1, n: int = 11) -> World:
    world = World(n, 4, seed).start().run(4.0)
    world.put(0, document(1, {"t": ["k"]}, rate=RATE))
    return world.run(6.0)


def test_a_tenant_within_its_quota_is_hardly_ever_refused() -> None:
    world = quota_world()
    told = rush(world, lambda now, node: 0.6 * RATE / 11, 30.0)
    refused = sum(1 for _, well in told if not well)
    assert len(told) > 400 and refused <= 0.01 * len(told)


def test_a_tenant_that_comes_to_one_gatekeeper_alone_gets_its_quota() -> None:
    world = quota_world()
    told = rush(world, lambda now, node: 0.8 * RATE if node.number == 6 else 0.0, 20.0)
    let_in = sum(1 for _, well in told if well)
    assert let_in >= 0.9 * len(told)


@pytest.mark.parametrize(
    ("name", "seed"), [(name, seed) for name in ("calm", "loss", "cut", "herd", "apart") for seed in (1, 2)]
)
def test_a_rush_never_breaks_the_window_whatever_happens_to_the_fleet(name: str, seed: int) -> None:
    world = quota_world(seed)
    begin = world.env.now
    if name == "loss":
        world.loss = 0.3
    if name in ("cut", "apart"):
        group = {4, 9} if name == "cut" else {n.number for n in world.nodes if n.zone[0] == "a"}
        world.cut = lambda a, b: world.env.now > begin + 8 and (a.number in group) != (b.number in group)
    if name == "herd":

        def herd() -> Generator[Any, Any, None]:
            yield world.env.timeout(9.0)
            for node in world.nodes[3:9]:
                node.kill()
            yield world.env.timeout(0.7)
            for node in world.nodes[3:9]:
                node.start()

        world.env.process(herd())

    def load(now: float, node: Node) -> float:
        hot = now > begin + 6.0
        if name == "cut" and hot and node.office is not None and not node.office.trusted(node.now()):
            return 0.0  # it refuses what has a key
        return (5.0 if hot else 0.6) * RATE / 11

    told = rush(world, load, 18.0)
    assert worst_window(told, world.bounds.rate_window) <= allowed(world.bounds)
    if name in ("calm", "loss"):
        hot = [well for when, well in told if begin + 8 < when < begin + 18]
        assert sum(hot) >= 0.85 * RATE * 10
