"""Fleet-wide quotas without a counter, in the simulated world: the rule's window limit is never exceeded, and
requests within the quota are admitted."""

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


def run_load(
    world: World, rate_at: Callable[[float, Node], float], seconds: float
) -> list[tuple[float, bool]]:
    """Requests of one tenant at each process, `rate_at` per second; results are (time, admitted)."""
    results: list[tuple[float, bool]] = []

    def decided(decision: Decision) -> None:
        results.append((float(world.env.now), decision.outcome is Outcome.ADMITTED))

    def clients(node: Node) -> Generator[Any, Any, None]:
        end = world.env.now + seconds
        while world.env.now < end:
            rate = max(rate_at(world.env.now, node), 0.01)
            yield world.env.timeout(min(world.random.expovariate(rate), 1.0))
            gatekeeper = node.gatekeeper
            if (
                gatekeeper is None
                or gatekeeper.configuration is None
                or world.random.random() > rate_at(world.env.now, node) / rate
            ):
                continue
            node.request("t", decided)

    for node in world.nodes:
        world.env.process(clients(node))
    world.run(seconds)
    return results


def max_in_any_window(results: list[tuple[float, bool]], window: float) -> int:
    most, inside = 0, deque[float]()
    for at in sorted(when for when, admitted in results if admitted):
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


def test_a_tenant_within_its_quota_is_rarely_refused() -> None:
    world = quota_world()
    results = run_load(world, lambda now, node: 0.6 * RATE / 11, 30.0)
    refused = sum(1 for _, admitted in results if not admitted)
    assert len(results) > 400 and refused <= 0.01 * len(results)


def test_a_tenant_that_uses_only_one_gatekeeper_gets_its_quota() -> None:
    world = quota_world()
    results = run_load(world, lambda now, node: 0.8 * RATE if node.number == 6 else 0.0, 20.0)
    let_in = sum(1 for _, admitted in results if admitted)
    assert let_in >= 0.9 * len(results)


@pytest.mark.parametrize(
    ("name", "seed"), [(name, seed) for name in ("calm", "loss", "cut", "herd", "apart") for seed in (1, 2)]
)
def test_a_load_peak_never_breaks_the_window_whatever_happens_to_the_fleet(name: str, seed: int) -> None:
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
            return 0.0  # it refuses requests with a key
        return (5.0 if hot else 0.6) * RATE / 11

    results = run_load(world, load, 18.0)
    assert max_in_any_window(results, world.bounds.rate_window) <= max_allowed(world.bounds)
    if name in ("calm", "loss"):
        hot = [admitted for when, admitted in results if begin + 8 < when < begin + 18]
        assert sum(hot) >= 0.85 * RATE * 10


def limited_tenant(rate: float, burst: float) -> Tenant:
    return Tenant("t", frozenset(("k",)), None, rate, burst, frozenset())


def test_a_granter_s_level_stays_exact_over_many_grants_at_random_times() -> None:
    """Token requests of three processes arrive at random times: the tokens that a granter has granted and
    still has equal its initial level plus the refill since then, to a thousandth."""
    tenant, random_ = limited_tenant(10.0, 500.0), random.Random(3)
    granter = Granter(Bounds(), 0.0)
    granter.set_share(0.0, 1.0)
    granter.set_tenants(0.0, {"t": tenant})
    first = granter.grant(1000.0, "t", 300.0)  # after so long the bucket is full
    whole = allowance_of(tenant, Bounds())
    assert first is not None and granter.available_tokens(1000.0, "t") == pytest.approx(
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
    """One process sends the whole allowance at once."""
    assert node.gatekeeper is not None and node.gatekeeper.configuration is not None
    tenant = node.gatekeeper.configuration.by_name["t"]
    decisions: list[Decision] = []
    for _ in range(int(allowance_of(tenant, world.bounds).capacity) + 5):
        node.request("t", decisions.append)
    world.run(0.3)
    assert sum(decision == ADMITTED for decision in decisions) >= tenant.burst


def test_an_idle_process_accounts_for_what_others_have_sent_meanwhile() -> None:
    world = quota_world(rate=2.0)
    decisions: list[Decision] = []
    world.nodes[7].request("t", decisions.append)
    world.run(20.0)
    assert decisions == [ADMITTED]
    send_full_allowance(world, world.nodes[5])
    world.nodes[7].request("t", decisions.append)
    world.run(0.3)
    assert decisions[1].outcome is Outcome.EXHAUSTED, "another process has just used the whole allowance"


def test_what_others_sent_counts_before_the_first_request_here() -> None:
    world = quota_world(rate=2.0)
    send_full_allowance(world, world.nodes[5])
    decisions: list[Decision] = []
    world.nodes[7].request("t", decisions.append)
    world.run(0.3)
    assert [decision.outcome for decision in decisions] == [Outcome.EXHAUSTED]


def run_poisson_load(
    world: World, total_rate: Callable[[float], float], seconds: float
) -> list[tuple[float, bool]]:
    """Requests of one tenant, `total_rate` per second, each at a random process; results as in `run_load`."""
    results: list[tuple[float, bool]] = []

    def decided(decision: Decision) -> None:
        results.append((float(world.env.now), decision.outcome is Outcome.ADMITTED))

    def clients() -> Generator[Any, Any, None]:
        end = world.env.now + seconds
        while world.env.now < end:
            yield world.env.timeout(world.random.expovariate(total_rate(float(world.env.now))))
            node = world.random.choice(world.nodes)
            gatekeeper = node.gatekeeper
            if gatekeeper is None or gatekeeper.configuration is None:
                continue
            node.request("t", decided)

    world.env.process(clients())
    world.run(seconds)
    return results


@pytest.mark.parametrize("rate", [5.0, 18.0])
def test_at_82_processes_a_load_peak_keeps_to_the_window(rate: float) -> None:
    world = World(82, 6, seed=2).start().run(4.0)
    world.put(0, document(1, {"t": ["k"]}, rate=rate))
    world.run(3.0)
    begin = world.env.now
    results = run_poisson_load(world, lambda now: (12.0 if now > begin + 2.0 else 0.6) * rate, 12.0)
    bounds = world.bounds
    tenant = limited_tenant(rate, rate)
    whole, let_in = allowance_of(tenant, bounds), sum(admitted for _, admitted in results)
    granted = sum(gatekeeper.quotas.granter.granted_total for gatekeeper in world.gatekeepers())
    assert let_in <= granted <= whole.capacity + whole.rate * world.env.now, "each token is granted only once"
    assert max_in_any_window(results, bounds.rate_window) <= max_requests_in_window(tenant, bounds)
    late = [admitted for when, admitted in results if when > begin + 5.0]
    assert sum(late) >= 0.75 * rate * 7.0
