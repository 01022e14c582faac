"""Quotas over the whole fleet without a counter, in the simulated world: the rule's window is never broken,
and what is owed is let in."""

import random
from collections import deque
from collections.abc import Callable, Generator
from typing import Any

import pytest

from millfront.control.configuration import Tenant
from millfront.dataplane.admission import Admission
from millfront.environment import Bounds
from tests.system_world import Node, World, document

RATE = 30.0


def rush(world: World, load: Callable[[float, Node], float], seconds: float) -> list[tuple[float, bool]]:
    """Requests of one tenant at each process, `load` a second; each as (when, let in)."""
    told: list[tuple[float, bool]] = []

    def clients(node: Node) -> Generator[Any, Any, None]:
        end = world.env.now + seconds
        flushing = False
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
            tenant = gatekeeper.configuration.by_name["t"]
            wait = gatekeeper.admission.admit(node.now(), tenant)
            told.append((float(world.env.now), wait == 0.0))
            if gatekeeper.admission.flush and not flushing:
                gatekeeper.flush(node.now())

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
        if name == "cut" and hot and node.gatekeeper is not None and not node.gatekeeper.trusted(node.now()):
            return 0.0  # it refuses what has a key
        return (5.0 if hot else 0.6) * RATE / 11

    told = rush(world, load, 18.0)
    assert worst_window(told, world.bounds.rate_window) <= allowed(world.bounds)
    if name in ("calm", "loss"):
        hot = [well for when, well in told if begin + 8 < when < begin + 18]
        assert sum(hot) >= 0.85 * RATE * 10


def limited(rate: float, burst: float) -> Tenant:
    return Tenant("t", frozenset(("k",)), None, rate, burst, frozenset())


def test_what_others_sent_is_charged_exactly_whatever_the_phase_of_their_cards() -> None:
    """A rate that is charged or refunded for time in which it did not hold lets the store drift."""
    tenant, random_ = limited(10.0, 500.0), random.Random(3)
    admission = Admission(Bounds(), 0.0, name="me")
    admission.tenants = {"t": tenant}
    account = admission.account(1000.0, tenant)  # born long ago: its store is full
    account.store -= 300.0
    sent = dict.fromkeys(("p", "q"), 0.0)
    for name in sent:
        admission.heard(1000.0, name, 1, 1000.0, {})  # all its totals: it has sent nothing yet
    begin = account.store
    for second in range(120):
        records = [
            (phase, name, 0.0) for name, phase in (("p", 0.05), ("q", 0.85))
        ]  # at its own phase of the tick
        records += [(random_.random(), name, 5.0) for name in sent]  # in a hurry, with what it let in
        for at, name, units in sorted(records):
            sent[name] += units
            now = 1000.0 + second + at
            admission.heard(now, name, 1, now, {"t": [sent[name], sent[name]]})
        admission.admit(1001.0 + second, tenant)
        admission.tick(1001.0 + second, {"me", "p", "q"}, set())
    now = 1120.0
    account.advance(now)
    let_in = account.sent
    exact = begin + 10.0 * (now - 1000.0) - sum(sent.values()) - let_in
    in_advance = sum(peer.used * (now - peer.since) for peer in account.peers.values())
    assert account.store + in_advance == pytest.approx(exact, abs=0.001)


def test_a_process_that_was_asked_nothing_for_long_counts_what_others_sent_meanwhile() -> None:
    tenant = limited(10.0, 10.0)
    admission = Admission(Bounds(), 0.0, name="me")
    admission.tenants = {"t": tenant}
    assert admission.admit(100.0, tenant) == 0.0
    admission.tick(101.0, {"me", "p"}, set())
    admission.heard(101.0, "p", 1, 50.0, {"t": [0.0, 0.0]})
    capacity = admission.capacity(tenant)
    admission.heard(199.9, "p", 1, 149.0, {"t": [capacity + 5.0, 400.0]})
    assert admission.admit(200.0, tenant) > 0.0, "all that is owed was let in by another a moment ago"


def test_what_others_sent_counts_before_the_first_request_here() -> None:
    tenant = limited(10.0, 10.0)
    admission = Admission(Bounds(), 0.0, name="me")
    admission.tenants = {"t": tenant}
    admission.heard(100.0, "p", 1, 50.0, {})  # all its totals: it has sent nothing yet
    admission.heard(200.0, "p", 1, 150.0, {"t": [admission.capacity(tenant) + 5.0, 400.0]})
    assert admission.admit(200.1, tenant) > 0.0


def poisson(world: World, total: Callable[[float], float], seconds: float) -> list[tuple[float, bool]]:
    """Requests of one tenant, `total` a second, each at a process drawn at random; records go out as the
    daemon sends them."""
    told: list[tuple[float, bool]] = []
    flushing: set[int] = set()

    def flush(node: Node) -> Generator[Any, Any, None]:
        gatekeeper = node.gatekeeper
        yield world.env.timeout(0.06)
        flushing.discard(node.number)
        if gatekeeper is not None and node.gatekeeper is gatekeeper:
            gatekeeper.flush(node.now())

    def clients() -> Generator[Any, Any, None]:
        end = world.env.now + seconds
        while world.env.now < end:
            yield world.env.timeout(world.random.expovariate(total(float(world.env.now))))
            node = world.random.choice(world.nodes)
            gatekeeper = node.gatekeeper
            if gatekeeper is None or gatekeeper.configuration is None:
                continue
            wait = gatekeeper.admission.admit(node.now(), gatekeeper.configuration.by_name["t"])
            told.append((float(world.env.now), wait == 0.0))
            if gatekeeper.admission.flush and node.number not in flushing:
                flushing.add(node.number)
                world.env.process(flush(node))

    world.env.process(clients())
    world.run(seconds)
    return told


@pytest.mark.parametrize("rate", [5.0, 18.0])
def test_at_82_processes_all_know_what_a_rush_has_used_and_the_window_holds(rate: float) -> None:
    world = World(82, 6, seed=2).start().run(4.0)
    world.put(0, document(1, {"t": ["k"]}, rate=rate))
    world.run(3.0)
    begin = world.env.now
    told = poisson(world, lambda now: (12.0 if now > begin + 2.0 else 0.6) * rate, 12.0)
    views = []
    for node in world.nodes:
        assert node.gatekeeper is not None
        account = node.gatekeeper.admission.accounts["t"]
        account.advance(node.now())
        views.append(account.store)
    bounds = world.bounds
    slack = bounds.rate_excess * (rate * bounds.rate_window + rate) + bounds.rate_extra
    assert max(views) - min(views) <= 0.5 * slack, "they differ by what is on the way, no more"
    assert worst_window(told, bounds.rate_window) <= rate * bounds.rate_window + rate + slack
    late = [well for when, well in told if when > begin + 5.0]
    assert sum(late) >= 0.75 * rate * 7.0
