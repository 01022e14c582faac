"""Changes of the core in random orders of events: the calls, answers and syncs of production replicas,
coordinators and reconfiguration are delayed, repeated or lost, while two writes are made and two gatekeepers
propose different members.
"""

import random
from collections.abc import Callable
from functools import partial
from types import SimpleNamespace
from typing import Any

import pytest

from millfront.register import reconfiguration, values
from millfront.register.coordinator import Coordinator, Phase, Round
from millfront.register.replica import PersistRequest, Replica
from millfront.register.values import CORE, Core, Value

CONFIG = "config"
OLD = Core(2, dict.fromkeys("abc", ""))


class Simulation:
    """Replicas a, b and c of the old core, and d, of an earlier core, which holds nothing but the core."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.now = 0.0
        self.replicas = {name: Replica({CORE: OLD.to_value()}, False) for name in "abcd"}
        self.cores = {2: OLD}
        self.acknowledged = 0
        self.pool: list[Callable[[], None]] = []  # calls and answers in transit
        self.syncs: dict[str, list[PersistRequest]] = {name: [] for name in self.replicas}
        self.open: list[tuple[Coordinator, Round, Callable[[Round], None]]] = []

    # ---- what a gatekeeper does for its coordinator ----------------------------------------------------

    def start(self, coordinator: Coordinator, round: Round, then: Callable[[Round], None]) -> None:
        self.open.append((coordinator, round, then))
        self.drive(coordinator, round)

    def drive(self, coordinator: Coordinator, round: Round) -> None:
        for name, message in coordinator.drive(self.now, round):
            self.send(partial(self.call, coordinator, name, message))
        for entry in [entry for entry in self.open if entry[1] is round]:
            if round.phase in (Phase.DONE, Phase.FAILED):
                self.open.remove(entry)
                entry[2](round)

    def send(self, step: Callable[[], None]) -> None:
        copies = self.chance.choices((1, 0, 2), (8, 1, 1))[0]
        self.pool += [step] * copies

    def call(self, coordinator: Coordinator, name: str, message: dict[str, Any]) -> None:
        answers, persists = self.replicas[name].handle((coordinator, name), dict(message))
        self.syncs[name] += persists
        for to, answer in answers:
            self.send(partial(self.answer, to[0], to[1], answer))

    def sync(self, name: str) -> None:
        persist = self.syncs[name].pop(0)
        replica = self.replicas[name]
        for to, answer in replica.synced(persist, True):
            self.send(partial(self.answer, to[0], to[1], answer))
        core = Core.from_value(replica.values[CORE])
        assert self.cores.setdefault(core.epoch, core) == core, "two cores in one epoch"

    def answer(self, coordinator: Coordinator, name: str, message: dict[str, Any]) -> None:
        if "core" in message:
            newer = Core.from_value(Value.from_wire(message["core"]))
            for _, round, _ in [entry for entry in self.open if entry[0] is coordinator]:
                if CONFIG in round.values and round.core.epoch < newer.epoch and CORE not in round.values:
                    coordinator.restart(round, newer)
                    self.drive(coordinator, round)
        if (turned := coordinator.handle_answer(self.now, name, message)) is not None:
            self.drive(coordinator, turned)

    # ---- the simulated events --------------------------------------------------------------------

    def gatekeeper(self, name: str, to: str) -> None:
        """A gatekeeper whose reconfiguration tries to change the members of the core to those in `to`."""
        coordinator = Coordinator(name)
        simulation, attempts = self, 0

        class Stub:
            started_at, io = 0.0, SimpleNamespace(log=lambda *_: None)
            membership = SimpleNamespace(others=list)

            def __init__(self) -> None:
                self.coordinator = coordinator

            @property
            def now(self) -> float:
                return simulation.now

            def start(self, now: float, round: Round, then: Callable[[Round], None]) -> None:
                simulation.start(coordinator, round, then)

            def caught_up_members(self, core: Core) -> set[str]:
                return set(core.members)  # operation keys are no part of this search

        part = reconfiguration.Reconfiguration(Stub())  # type: ignore[arg-type]

        def decide() -> None:
            nonlocal attempts
            attempts += 1
            part._ballot += 1
            part._enter(reconfiguration.Change.DECIDING)
            proposal = Core(3, dict.fromkeys(to, ""), OLD.members).to_value().data
            round = coordinator.decide(self.now, OLD, part._ballot, proposal, 9.0)

            def decided(round: Round) -> None:
                part._decided(round)
                if part.change is reconfiguration.Change.NONE and attempts < 3:
                    decide()

            self.start(coordinator, round, decided)

        decide()

    def check(self) -> None:
        """No reader, with any core, may get less than was acknowledged."""
        none = Value(0, "", "")
        for epoch, core in self.cores.items():
            behind = [
                name
                for name, replica in self.replicas.items()
                if replica.values[CORE].version == epoch
                and replica.values.get(CONFIG, none).version < self.acknowledged
            ]
            assert not core.is_read_quorum(behind), "acknowledged, but not visible to a reader"

    def turn(self) -> None:
        """One pending event: a message is delivered, or a disk completes a sync."""
        steps = [partial(self.sync, name) for name, syncs in self.syncs.items() if syncs]
        if self.pool and (not steps or self.chance.random() < 0.7):
            self.pool.pop(self.chance.randrange(len(self.pool)))()
        elif steps:
            self.chance.choice(steps)()
        self.now += 0.02
        for coordinator, round, _ in list(self.open):
            self.drive(coordinator, round)
        self.check()

    def play(self) -> None:
        self.gatekeeper("p", "bcd")
        self.gatekeeper("q", "acd")
        writer = Coordinator("w")

        def written(round: Round) -> None:
            if round.phase is Phase.DONE:
                self.acknowledged = max(self.acknowledged, round.values[CONFIG].version)

        for step in range(400):
            if step in (5, 60):  # two writes, one after the other
                value = Value(1 + step, "", "")
                self.start(writer, writer.write(self.now, OLD, {CONFIG: value}, 30.0), written)
            self.turn()


def first_violation(seeds: int, simulation: type[Simulation] = Simulation) -> str:
    """The first violation in simulations with seeds below `seeds`; an empty string if there is none."""
    for seed in range(seeds):
        try:
            simulation(seed).play()
        except AssertionError as violation:
            return str(violation)
    return ""


def test_no_order_of_a_change_loses_what_was_acknowledged_or_makes_two_cores() -> None:
    assert first_violation(250) == ""
    simulation = Simulation(1)
    simulation.play()
    assert simulation.acknowledged and 4 in simulation.cores  # the change completes


def ignores_epochs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replicas answer calls for any epoch."""
    original = Replica.handle

    def handle(self: Replica, back: Any, message: dict[str, Any]) -> Any:
        return original(self, back, message | {"e": self.values[CORE].version} if "e" in message else message)

    monkeypatch.setattr(Replica, "handle", handle)


def skips_carry_over(monkeypatch: pytest.MonkeyPatch) -> None:
    """The new core starts without the values of the old one."""

    def carry(self: reconfiguration.Reconfiguration, core: Core) -> None:
        self._write(core, Core(core.epoch + 1, core.members).to_value(), self._closed)

    monkeypatch.setattr(reconfiguration.Reconfiguration, "_carry", carry)


def breaks_promises(monkeypatch: pytest.MonkeyPatch) -> None:
    """Promises are not kept."""
    original = Replica._vote

    def ballot(self: Replica, *how: Any) -> Any:
        self.values.pop(values.PROMISED, None)
        return original(self, *how)

    monkeypatch.setattr(Replica, "_vote", ballot)
    monkeypatch.setattr(Replica, "_ballot_holds", lambda self, key, ballot: True)


def counts_late_stores(monkeypatch: pytest.MonkeyPatch) -> None:
    """A store that was synced after the core changed is counted."""
    original = Replica.synced

    def synced(self: Replica, persist: PersistRequest, ok: bool) -> Any:
        persist.epoch = 0
        return original(self, persist, ok)

    monkeypatch.setattr(Replica, "synced", synced)


@pytest.mark.parametrize("fault", [ignores_epochs, skips_carry_over, breaks_promises, counts_late_stores])
def test_a_planted_fault_is_found(
    fault: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    fault(monkeypatch)
    assert first_violation(1500)
