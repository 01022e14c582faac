"""Rules checked while everything happens together: configurations, evacuations, restarts, a cut and a load
peak of one tenant in one simulated world of up to 82 processes with the daemon's data plane. Each checker
must find a planted fault."""

import json
import random
from collections.abc import Callable, Generator
from functools import cache
from typing import Any, Literal

import pytest

from millfront.control.admin import EVACUATION
from millfront.dataplane.proxy import Proxy
from millfront.gatekeeper.node import Gatekeeper
from millfront.invariants import Invariant
from millfront.quotas.allowance import Allowance
from millfront.quotas.granter import Granter, TokenBucket
from millfront.quotas.requester import ADMITTED, Decision, Outcome, TenantState, TokenRequester
from millfront.register.values import CONFIG, Value
from tests.rule_checkers import (
    EvacuationChecker,
    LossChecker,
    Order,
    Put,
    QuotaChecker,
    ServingWorld,
    VersionChecker,
    granted_beyond,
)
from tests.system_world import ZONES, World, document

RATES = (30.0, 10.0)
ANSWER_S = 5.0  # longest wait of an operator for an answer
PROBE_S = 0.5
SEEDS = range(1, 13)
SERVERS = [[f"i-{zone}", "shop", f"10.0.2.{number}:80", zone, 3, 0, 0.0] for number, zone in enumerate(ZONES)]
Process = Generator[Any, Any, None]
Disturbance = Literal["restarts", "cut", "herd", "all"]
DISTURBANCES: tuple[Disturbance, ...] = ("restarts", "cut")


class Scenario:
    """One world with its checkers, and seeded actions of operators, clients and disturbances."""

    def __init__(self, n: int, disks: int, seed: int) -> None:
        self.random, self.disks = random.Random(seed), disks
        self.world = world = ServingWorld(n, disks, seed)
        world.servers = SERVERS
        world.start()
        self.puts: list[Put] = []
        self.evacuations = EvacuationChecker(world.bounds)
        self.quota = QuotaChecker(world.bounds, self.puts)
        self.versions = VersionChecker(world.bounds, self.puts)
        self.loss = LossChecker(self.versions, self.evacuations)
        self.ends = 0.0
        self.hot = 0.0

    def orders_faults(self) -> list[str]:
        """The faults of all rules except the quota."""
        return [*self.evacuations.faults, *self.versions.faults, *self.loss.faults]

    # ---- operators -----------------------------------------------------------------------------

    def _wait_for_answer(self, order: Order, answers: list[Any]) -> Process:
        until = self.world.env.now + ANSWER_S
        while not answers and self.world.env.now < until:
            yield self.world.env.timeout(0.05)
        if answers and answers[0][0] == 200:
            order.acknowledged = float(answers[0][2])

    def _running_node(self) -> int:
        return self.random.choice([node.number for node in self.world.nodes if node.gatekeeper is not None])

    def _wait_for_running_node(self) -> Process:
        while not self.world.gatekeepers():
            yield self.world.env.timeout(0.1)

    def put(self, rate: float) -> Process:
        """Put the next version; every second one has an additional route."""
        yield from self._wait_for_running_node()
        version = len(self.puts) + 1
        text = document(version, {"t": ["k"]}, rate=rate)
        if version % 2 == 0:
            made = json.loads(text)
            route = made["resources"][0]
            spec = route["spec"] | {"path_prefix": f"/p/{version}/"}
            made["resources"].append(route | {"meta": {"name": "more"}, "spec": spec})
            text = json.dumps(made)
        order = Put(float(self.world.env.now), version=version, rate=rate)
        self.puts.append(order)
        yield from self._wait_for_answer(order, self.world.put(self._running_node(), text))

    def evacuate(self, zone: str, on: bool) -> Process:
        def does(gatekeeper: Gatekeeper, now: float, done: Callable[[int, str], None]) -> None:
            gatekeeper.evacuate(now, zone, on, done)

        yield from self._wait_for_running_node()
        order = self.evacuations.ordered(zone, on, float(self.world.env.now))
        yield from self._wait_for_answer(order, self.world.call(self._running_node(), does))

    def _configures(self) -> Process:
        while self.world.env.now < self.ends - 4.0:
            yield self.world.env.timeout(self.random.uniform(0.8, 4.0))
            yield from self.put(self.random.choice(RATES))

    def _evacuates(self) -> Process:
        """One zone long enough for the rule to bind; another one on and off in quick succession."""
        long_zone, toggled_zone = self.random.sample(sorted(ZONES), 2)
        yield from self.evacuate(long_zone, True)
        on = False
        while self.world.env.now < self.ends - 2.0:
            yield self.world.env.timeout(self.random.uniform(0.3, 2.0))
            on = not on
            if self.random.random() < 0.3:  # at the same time as a configuration
                self.world.env.process(self.put(self.random.choice(RATES)))
            yield from self.evacuate(toggled_zone, on)

    # ---- faults and clients --------------------------------------------------------------------

    def _restarts(self) -> Process:
        """One machine with a disk at a time, and one without."""
        world, n = self.world, len(self.world.nodes)
        while world.env.now < self.ends:
            yield world.env.timeout(self.random.uniform(0.3, 1.5))
            down = {self.random.randrange(self.disks), self.random.randrange(self.disks, n)}
            down -= world.isolated
            for number in down:
                world.nodes[number].kill()
            yield world.env.timeout(self.random.uniform(0.2, 0.8))
            for number in down:
                world.nodes[number].start()

    def _cuts(self) -> Process:
        yield self.world.env.timeout(self.random.uniform(2.0, 4.0))
        others = self.random.sample(range(self.disks, len(self.world.nodes)), 2)
        self.world.isolate({self.random.randrange(self.disks), *others})
        yield self.world.env.timeout(self.random.uniform(2.0, 5.0))
        self.world.isolate(set())

    def _herds(self) -> Process:
        """Most machines without a disk restart at once during the load peak."""
        yield self.world.env.timeout(self.hot + 3.0 - self.world.env.now)
        down = [node for node in self.world.nodes[self.disks :] if self.random.random() < 0.7]
        for node in down:
            node.kill()
        yield self.world.env.timeout(0.7)
        for node in down:
            node.start()

    def _all_restart(self) -> Process:
        """All machines restart at once during the load peak, and again shortly after they serve."""
        yield self.world.env.timeout(self.hot + 2.0 - self.world.env.now)
        for _ in range(2):
            for node in self.world.nodes:
                node.kill()
            yield self.world.env.timeout(0.5)
            for node in self.world.nodes:
                node.start()
            yield self.world.env.timeout(1.5)

    def _clients(self) -> Process:
        env = self.world.env

        def decided(decision: Decision) -> None:
            if decision.outcome is Outcome.ADMITTED:
                self.quota.admitted.append(float(env.now))
            else:
                self.quota.refused += 1

        while env.now < self.ends:
            total = (8.0 if env.now > self.hot else 0.6) * RATES[0]
            yield env.timeout(self.random.expovariate(total))
            node = self.random.choice(self.world.serving)
            gatekeeper = node.gatekeeper
            if gatekeeper is None or gatekeeper.configuration is None or not gatekeeper.trusted(node.now()):
                continue
            node.request("t", decided)

    def _probes(self) -> Process:
        while self.world.env.now < self.ends:
            yield self.world.env.timeout(PROBE_S)
            self.probe()

    def probe(self) -> None:
        now = float(self.world.env.now)
        for node in self.world.serving:
            for versions in (*node.past_versions, node.versions):
                self.versions.check_order(node.name, versions)
            if self.world.is_connected(node) and node.gatekeeper is not None:
                self.evacuations.picked(now, node.name, node.picks())
                held = node.gatekeeper.configuration
                self.versions.holds(now, node.name, held.version if held is not None else 0)

    # ---- running -------------------------------------------------------------------------------

    def run(
        self, seconds: float, startup: float = 3.0, disturbances: tuple[Disturbance, ...] = DISTURBANCES
    ) -> "Scenario":
        """Run all actions at once, with these disturbances of machines and links."""
        self.world.run(startup)
        self.world.env.process(self.put(RATES[0]))
        self.world.run(1.0)
        assert self.puts[0].acknowledged < float("inf"), "the first configuration was not acknowledged"
        self.ends, self.hot = self.world.env.now + seconds, self.world.env.now + 2.0
        parts = [
            self._configures(),
            self._evacuates(),
            *([self._cuts()] if "cut" in disturbances else []),
            self._clients(),
            self._probes(),
            *([self._restarts()] if "restarts" in disturbances else []),
            *([self._herds()] if "herd" in disturbances else []),
            *([self._all_restart()] if "all" in disturbances else []),
        ]
        for part in parts:
            self.world.env.process(part)
        self.world.run(seconds)
        return self

    def lose_power(self) -> "Scenario":
        """End the cut, power off all machines, and check that everything acknowledged is still there."""
        self.world.isolate(set())
        self.world.run(0.5)
        self.world.power_off(0.5)
        self.world.run(self.world.bounds.contact + 0.01)
        self.probe()
        for node in self.world.serving:
            self.loss.holds(node.name, node.gatekeeper, node.proxy)
        self.loss.read_back(self._revision())
        return self

    def _revision(self) -> str | None:
        """The revision that GET returns, retried as an operator would."""
        for number in (0, 1, 2, 0, 1, 2):
            answers = self.world.call(number, lambda gatekeeper, now, done: gatekeeper.read(now, done))
            self.world.run(0.5)
            if answers and answers[0][0] == 200:
                return str(json.loads(answers[0][1])["revision"])
        return None


@cache
def small(seed: int) -> Scenario:
    return Scenario(11, 4, seed).run(14.0).lose_power()


@cache
def large(seed: int) -> Scenario:
    return Scenario(82, 6, seed).run(6.0, startup=2.5).lose_power()


@pytest.mark.parametrize("seed", SEEDS)
def test_all_rules_but_the_quota_hold_at_11_processes_while_everything_happens_together(seed: int) -> None:
    scenario = small(seed)
    assert scenario.orders_faults() == []
    assert scenario.evacuations.judged > 50, "the rule was not put to the test"


@pytest.mark.parametrize("seed", SEEDS)
def test_the_quota_holds_at_11_processes_while_everything_happens_together(seed: int) -> None:
    scenario = small(seed)
    assert scenario.quota.faults() == []
    assert scenario.quota.refused > 100, "the limit was not put to the test"


def test_all_rules_but_the_quota_hold_at_82_processes_while_everything_happens_together() -> None:
    scenario = large(1)
    assert scenario.orders_faults() == []
    assert scenario.evacuations.judged > 100


def test_the_quota_holds_at_82_processes_while_everything_happens_together() -> None:
    scenario = large(1)
    assert scenario.quota.faults() == []
    assert scenario.quota.refused > 100


# ---- each checker finds a planted fault --------------------------------------------------------------------


def found(scenario: Scenario, rule: str) -> bool:
    return any(fault.startswith(rule) for fault in [*scenario.orders_faults(), *scenario.quota.faults()])


def test_a_data_plane_that_is_not_told_what_its_disk_held_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    made, changed = Proxy.__init__, Proxy.on_configuration_changed
    making: list[Proxy] = []

    def init(self: Proxy, *args: Any) -> None:
        making.append(self)
        made(self, *args)
        making.remove(self)

    def notified(self: Proxy) -> None:
        if self not in making:
            changed(self)

    monkeypatch.setattr(Proxy, "__init__", init)
    monkeypatch.setattr(Proxy, "on_configuration_changed", notified)
    scenario = Scenario(11, 4, 1).run(8.0).lose_power()
    assert found(scenario, "LOST") and found(scenario, "EVAC")


def test_an_evacuation_that_is_dropped_when_it_comes_with_a_configuration_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    adopt = Gatekeeper._adopt

    def dropping(self: Gatekeeper, found: dict[str, Value]) -> None:
        held, before, notify = self.subscriber.values, self.evacuated, self.on_configuration_changed
        new = [key for key, value in found.items() if key not in held or value > held[key]]

        def changed() -> None:
            self.evacuated = before
            notify()

        if CONFIG in new and any(key.startswith(EVACUATION) for key in new):
            self.on_configuration_changed = changed
        adopt(self, found)
        self.on_configuration_changed = notify

    monkeypatch.setattr(Gatekeeper, "_adopt", dropping)
    scenario = Scenario(11, 4, 1).run(8.0).lose_power()
    assert found(scenario, "EVAC") and found(scenario, "LOST")


def test_nodes_that_go_back_to_the_configuration_before_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    adopt = Gatekeeper._adopt

    def returning(self: Gatekeeper, found: dict[str, Value]) -> None:
        before = self.configuration
        adopt(self, found)
        if self.replica is None and before is not None and self.configuration is not before:
            self.configuration = before
            self.on_configuration_changed()

    monkeypatch.setattr(Gatekeeper, "_adopt", returning)
    scenario = Scenario(11, 4, 1).run(8.0).lose_power()
    assert found(scenario, "MIXED") and found(scenario, "CONFIG")


def test_a_register_that_forgets_an_evacuation_when_power_is_lost_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    power_off = ServingWorld.power_off

    def forgetting(self: ServingWorld, down: float = 1.0) -> World:
        for node in self.nodes:
            if node.disk is not None:
                for key in [key for key in node.disk if key.startswith(EVACUATION)]:
                    del node.disk[key]
        return power_off(self, down)

    monkeypatch.setattr(ServingWorld, "power_off", forgetting)
    scenario = Scenario(11, 4, 1).run(8.0).lose_power()
    assert found(scenario, "LOST")


def test_stores_that_begin_full_are_found_when_most_restart_in_a_rush(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Which seed shows the fault depends on the message order: one of eight must, none without the fault."""

    def outcomes() -> list[bool]:
        return [
            bool(found(Scenario(11, 4, seed).run(10.0, disturbances=("all",)), "QUOTA"))
            for seed in range(1, 9)
        ]

    assert not any(outcomes())

    def full(self: Granter, now: float, limits: Allowance) -> TokenBucket:
        return TokenBucket(limits, limits.capacity, now)

    monkeypatch.setattr(Granter, "_new_bucket", full)
    assert any(outcomes())


def test_nodes_that_let_in_what_no_granter_answers_for_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """A node that is cut off knows nothing about the others: what it admits on its own is too much."""
    assert not found(Scenario(11, 4, 26).run(14.0), "QUOTA")

    def trusting(self: TokenRequester, now: float, state: TenantState) -> Decision:
        return ADMITTED

    monkeypatch.setattr(TokenRequester, "_refusal", trusting)
    assert found(Scenario(11, 4, 26).run(14.0), "QUOTA")


def test_buckets_that_are_filled_twice_for_the_same_time_are_found(
    monkeypatch: pytest.MonkeyPatch, violations: list[tuple[Invariant, str]]
) -> None:
    """More than the allowance is granted long before a window exceeds its limit; each process detects it."""

    def beyond() -> float:
        scenario = Scenario(20, 6, 4)
        scenario.run(8.0, disturbances=())
        return granted_beyond(scenario.world, "t", 0.0, RATES[0])

    assert beyond() <= 0.0

    def filling(self: TokenBucket, now: float) -> None:
        filled = self.level + self.limits.rate * max(0.0, now - self.updated_at)
        self.level = min(self.limits.capacity, filled)  # and `updated_at` stays

    monkeypatch.setattr(TokenBucket, "advance", filling)
    assert beyond() > 0.0
    assert {invariant for invariant, _ in violations} == {Invariant.QUOTA_AS_GIVEN}
    violations.clear()
