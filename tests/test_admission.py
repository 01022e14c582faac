"""Quotas over the whole fleet without a counter, in the simulated world: the rule's window is never broken,
and what is owed is let in."""

import random
from collections import deque
from collections.abc import Callable, Generator
from typing import Any

import pytest

from millfront.control.configuration import Tenant
from millfront.environment import Bounds
from millfront.quotas.allowance import allowance_of, max_requests_in_window
from millfront.quotas.granter import Granter
from millfront.quotas.requester import ADMITTED, Decision, Outcome
from tests.system_world import Node, World, document

RATE = 30.0


def run_load(world: World, load: Callable[[float, Node], float], seconds: float) -> list[tuple[float, bool]]:
    """Requests of one tenant at each process, `load` a second; each as (when, let in)."""
    told: list[tuple[float, bool]] = []

    def decided(decision: Decision) -> None:
        told.append((float(world.env.now), decision.outcome is Outcome.ADMITTED))

    def clients(node: Node) -> Generator[Any, Any, None]:
        end = world.env.now + seconds
        while world.env.now < end:
            rate = max(load(world.env.now, node), 0.01)
            yield world.env.timeout(min(world.random.expovariate(rate), 1.0))
            gatekeeper = node.gatekeeper
            if (
                gatekeeper is None
                or gatekeeper.configuration is None
                or world.random.random() > load(world.env.now, node) / rate
            ):
                continue
            node.request("t", decided)

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


def max_allowed(b: Bounds) -> float:
    return (RATE * b.rate_window + RATE) * (1 + b.rate_excess) + b.rate_extra


def quota_world(seed: int = 1, n: int = 11, rate: float = RATE) -> World:
    world = World(n, 4, seed).start().run(4.0)
    world.put(0, document(1, {"t": ["k"]}, rate=rate))
    return world.run(6.0)


def test_a_tenant_within_its_quota_is_hardly_ever_refused() -> None:
    world = quota_world()
    told = run_load(world, lambda now, node: 0.6 * RATE / 11, 30.0)
    refused = sum(1 for _, well in told if not well)
    assert len(told) > 400 and refused <= 0.01 * len(told)


def test_a_tenant_that_comes_to_one_gatekeeper_alone_gets_its_quota() -> None:
    world = quota_world()
    told = run_load(world, lambda now, node: 0.8 * RATE if node.number == 6 else 0.0, 20.0)
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
        if name == "cut" and hot and node.gatekeeper is not None and not node.gatekeeper.trusted(node.now()):
            return 0.0  # it refuses what has a key
        return (5.0 if hot else 0.6) * RATE / 11

    told = run_load(world, load, 18.0)
    assert worst_window(told, world.bounds.rate_window) <= max_allowed(world.bounds)
    if name in ("calm", "loss"):
        hot = [well for when, well in told if begin + 8 < when < begin + 18]
        assert sum(hot) >= 0.85 * RATE * 10


def limited_tenant(rate: float, burst: float) -> Tenant:
    return Tenant("t", frozenset(("k",)), None, rate, burst, frozenset())


def test_what_others_sent_is_charged_exactly_whatever_the_phase_of_their_cards() -> None:
    """Questions of three processes come at any time: what one granter has granted, and still has, is what it
    began with and what it was given since, to a thousandth."""
    tenant, random_ = limited_tenant(10.0, 500.0), random.Random(3)
    granter = Granter(Bounds(), 0.0)
    granter.set_share(0.0, 1.0)
    granter.set_tenants(0.0, {"t": tenant})
    begun = granter.grant(1000.0, "t", 300.0)  # given long ago: its bucket was full
    whole = allowance_of(tenant, Bounds())
    assert begun is not None and granter.available_tokens(1000.0, "t") == pytest.approx(
        whole.capacity - 300.0
    )
    times = sorted(1000.0 + 120.0 * random_.random() for _ in range(3 * 400))
    granted = 0.0
    for at in times:
        grant = granter.grant(at, "t", float(random_.randint(1, 3)))
        assert grant is not None
        granted += grant.tokens
    exact = whole.capacity - 300.0 + 120.0 * whole.rate - granted
    assert granted > 0.9 * 120.0 * whole.rate
    assert granter.available_tokens(1120.0, "t") == pytest.approx(exact, abs=0.001)


def send_full_allowance(world: World, node: Node) -> None:
    """One process sends all that is owed in one go."""
    assert node.gatekeeper is not None and node.gatekeeper.configuration is not None
    tenant = node.gatekeeper.configuration.by_name["t"]
    decisions: list[Decision] = []
    for _ in range(int(allowance_of(tenant, world.bounds).capacity) + 5):
        node.request("t", decisions.append)
    world.run(0.3)
    assert sum(decision == ADMITTED for decision in decisions) >= tenant.burst


def test_a_process_that_was_asked_nothing_for_long_counts_what_others_sent_meanwhile() -> None:
    world = quota_world(rate=2.0)
    decisions: list[Decision] = []
    world.nodes[7].request("t", decisions.append)
    world.run(20.0)
    assert decisions == [ADMITTED]
    send_full_allowance(world, world.nodes[5])
    world.nodes[7].request("t", decisions.append)
    world.run(0.3)
    assert decisions[1].outcome is Outcome.EXHAUSTED, "all that is owed was let in by another a moment ago"


def test_what_others_sent_counts_before_the_first_request_here() -> None:
    world = quota_world(rate=2.0)
    send_full_allowance(world, world.nodes[5])
    decisions: list[Decision] = []
    world.nodes[7].request("t", decisions.append)
    world.run(0.3)
    assert [decision.outcome for decision in decisions] == [Outcome.EXHAUSTED]


def run_poisson_load(
    world: World, total: Callable[[float], float], seconds: float
) -> list[tuple[float, bool]]:
    """Requests of one tenant, `total` a second, each at a process drawn at random."""
    told: list[tuple[float, bool]] = []

    def decided(decision: Decision) -> None:
        told.append((float(world.env.now), decision.outcome is Outcome.ADMITTED))

    def clients() -> Generator[Any, Any, None]:
        end = world.env.now + seconds
        while world.env.now < end:
            yield world.env.timeout(world.random.expovariate(total(float(world.env.now))))
            node = world.random.choice(world.nodes)
            gatekeeper = node.gatekeeper
            if gatekeeper is None or gatekeeper.configuration is None:
                continue
            node.request("t", decided)

    world.env.process(clients())
    world.run(seconds)
    return told


@pytest.mark.parametrize("rate", [5.0, 18.0])
def test_at_82_processes_all_know_what_a_rush_has_used_and_the_window_holds(rate: float) -> None:
    world = World(82, 6, seed=2).start().run(4.0)
    world.put(0, document(1, {"t": ["k"]}, rate=rate))
    world.run(3.0)
    begin = world.env.now
    told = run_poisson_load(world, lambda now: (12.0 if now > begin + 2.0 else 0.6) * rate, 12.0)
    bounds = world.bounds
    tenant = limited_tenant(rate, rate)
    whole, let_in = allowance_of(tenant, bounds), sum(well for _, well in told)
    granted = sum(gatekeeper.quotas.granter.granted_total for gatekeeper in world.gatekeepers())
    assert let_in <= granted <= whole.capacity + whole.rate * world.env.now, "each token was granted once"
    assert worst_window(told, bounds.rate_window) <= max_requests_in_window(tenant, bounds)
    late = [well for when, well in told if when > begin + 5.0]
    assert sum(late) >= 0.75 * rate * 7.0
