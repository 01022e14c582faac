"""The register under hypothesis's state machine: the very replicas, coordinators and recovery. Of
linearizability of
one key it holds what can be broken here: who reads is told no less than was acknowledged, and no less than
was read, before the read began.
"""

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import Phase as Phases
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from millfront.register.coordinator import Coordinator, Phase, Round
from millfront.register.replica import ReplicaState
from millfront.register.values import CONFIG, Core, Message, Value
from tests.register_model import Recovery, StoredReplica, fewer, hasty

POOL, OPEN = 60, 4  # messages on their way, rounds at once (the oldest is given up)
RECOVERY = "recovery of "
AT = st.integers(0, 999)
NEAR = st.sets(st.sampled_from("abcd"), min_size=1)


class Register(RuleBasedStateMachine):
    names = "abcd"

    def __init__(self) -> None:
        super().__init__()
        self.core = Core(2, dict.fromkeys(self.names, ""))
        self.stored_replicas = {name: StoredReplica(self.core) for name in self.names}
        self.coordinators = {name: Coordinator(name) for name in "pq"}
        self.open: list[
            tuple[Coordinator, Round, int]
        ] = []  # and what a read that began then may be told at least
        self.pool: list[tuple[str, Any, Message]] = []  # to whom, from whom, what
        self.lost = ""  # whose disk is lost
        self.recovery: Recovery | None = None
        self.now, self.lives = 0.0, 0
        self.version = self.acknowledged = self.read_before = 0

    # ---- orders ------------------------------------------------------------------------------------

    @rule(coordinator=st.sampled_from("pq"), near=NEAR)
    def put(self, coordinator: str, near: set[str]) -> None:
        self.version += 1
        values = {CONFIG: Value(self.version, "", "")}
        self.begin(
            self.coordinators[coordinator],
            self.coordinators[coordinator].write(self.now, self.core, values, 1e9),
            near,
        )

    @rule(coordinator=st.sampled_from("pq"), near=NEAR)
    def read(self, coordinator: str, near: set[str]) -> None:
        self.begin(
            self.coordinators[coordinator],
            self.coordinators[coordinator].read(self.now, self.core, [CONFIG], 1e9),
            near,
        )

    def begin(self, coordinator: Coordinator, round: Round, near: set[str]) -> None:
        """With the replicas that are near nothing takes time."""
        self.open = [*self.open[1 - OPEN :], (coordinator, round, max(self.acknowledged, self.read_before))]
        self.drive(coordinator, round)
        self.at_once(near, f"{round.ref}/")

    def at_once(self, near: set[str], refs: str) -> None:
        while found := [
            each
            for each in self.pool
            if each[2]["r"].startswith(refs) and not near.isdisjoint((str(each[0]), str(each[1])))
        ]:
            self.pool.remove(found[0])
            self.deliver(*found[0])
            for name, stored in self.stored_replicas.items():
                for at, persist in reversed(list(enumerate(stored.unsynced))):
                    if persist.reply[1]["r"].startswith(refs):
                        self.answer(name, stored.sync(at))

    def drive(self, coordinator: Coordinator, round: Round) -> None:
        for name, message in coordinator.drive(self.now, round):
            self.send(name, coordinator.name, message)
        for entry in [entry for entry in self.open if entry[1] is round and round.phase is Phase.DONE]:
            self.open.remove(entry)
            version = round.values[CONFIG].version if round.values else 0
            if round.keys is None:
                self.acknowledged = max(self.acknowledged, version)
            else:
                assert version >= entry[2], "a read went back"
                self.read_before = max(self.read_before, version)

    @rule()
    def again(self) -> None:
        """Who was not answered calls once more."""
        self.now += 1.0
        for coordinator, round, _ in list(self.open):
            self.drive(coordinator, round)
        self.ask_others()

    @precondition(lambda self: self.lost)
    @rule(near=NEAR)
    def take_over(self, near: set[str]) -> None:
        """A recovery, to which the replicas that are near answer at once."""
        for step in ("lives ", "heir "):
            self.ask_others()
            self.at_once(near, step)

    def ask_others(self) -> None:
        if self.recovery is not None:
            for name, message in self.recovery.beat():
                self.send(name, RECOVERY + self.lost, message)

    # ---- messages and disks --------------------------------------------------------------------------

    def send(self, to: Any, sender: Any, message: Message) -> None:
        if len(self.pool) < POOL:
            self.pool.append((to, sender, message))

    @precondition(lambda self: self.pool)
    @rule(names=st.sets(st.sampled_from("abcd"), min_size=1, max_size=3))
    def drop(self, names: set[str]) -> None:
        """What is on its way to or from these."""
        self.pool = [each for each in self.pool if each[0] not in names and each[1] not in names]

    @precondition(lambda self: self.pool)
    @rule(at=AT)
    def double(self, at: int) -> None:
        self.deliver(*self.pool[at % len(self.pool)])

    @precondition(lambda self: self.pool or any(each.unsynced for each in self.stored_replicas.values()))
    @rule(picks=st.lists(AT, min_size=1, max_size=20))
    def go_on(self, picks: list[int]) -> None:
        """Messages are delivered and disks sync."""
        for pick in picks:
            syncs = [
                (name, at) for name, each in self.stored_replicas.items() for at in range(len(each.unsynced))
            ]
            if not self.pool and not syncs:
                return
            at = pick % (len(self.pool) + len(syncs))
            if at < len(self.pool):
                self.deliver(*self.pool.pop(at))
            else:
                name, at = syncs[at - len(self.pool)]
                self.answer(name, self.stored_replicas[name].sync(at))

    def deliver(self, to: Any, sender: Any, message: Message) -> None:
        if to in self.stored_replicas:
            self.answer(to, self.stored_replicas[to].call(sender, message))
        elif self.recovery is not None and to == RECOVERY + self.lost:  # also one to an earlier life
            for persist in self.recovery.take(sender, message):
                self.stored_replicas[self.lost].recovered(persist)
                if self.stored_replicas[self.lost].replica.votes:
                    self.lost, self.recovery = "", None
                    return
        elif (
            to in self.coordinators
            and (round := self.coordinators[to].handle_answer(self.now, sender, message)) is not None
        ):
            self.drive(self.coordinators[to], round)

    def answer(self, name: str, answers: list[tuple[Any, Message]]) -> None:
        for to, message in answers:
            self.send(to, name, message)

    # ---- losses ------------------------------------------------------------------------------------

    @rule(name=st.sampled_from("abcd"), wiped=st.booleans())
    def kill(self, name: str, wiped: bool) -> None:
        """And start again; of one at a time the disk is lost."""
        if name in self.stored_replicas:
            if wiped and not self.lost:
                self.stored_replicas[name].wipe()
            else:
                self.stored_replicas[name].kill()
            self.recover(name)

    def recover(self, name: str) -> None:
        if self.stored_replicas[name].replica.state is ReplicaState.RECOVERING:
            self.lives += 1
            self.lost, self.recovery = name, Recovery(name, self.core, self.lives)

    @invariant()
    def readers_are_told_what_was_acknowledged(self) -> None:
        told = {name: stored.told() for name, stored in self.stored_replicas.items()}
        behind = [
            name for name, version in told.items() if version is not None and version < self.acknowledged
        ]
        assert not self.core.is_read_quorum(behind), "acknowledged, and a reader is not told"


class Three(Register):
    names = "abc"


def run(machine: type[Register], examples: int) -> None:
    """The same examples each time."""
    phases = (Phases.generate,)
    how = settings(
        max_examples=examples, stateful_step_count=40, derandomize=True, deadline=None, phases=phases
    )
    run_state_machine_as_test(machine, settings=how)


@pytest.mark.parametrize("machine", [Register, Three])
def test_no_read_goes_back_and_none_misses_what_was_acknowledged(machine: type[Register]) -> None:
    run(machine, 120)


def unwritten(monkeypatch: pytest.MonkeyPatch) -> None:
    """A read is answered without its write-back."""
    whole = Coordinator._enter_phase

    def turn(self: Coordinator, round: Round, phase: Phase) -> None:
        whole(self, round, Phase.DONE if round.phase is Phase.READING else phase)

    monkeypatch.setattr(Coordinator, "_enter_phase", turn)


@pytest.mark.parametrize(
    ("fault", "machine", "examples", "found"),
    [
        (fewer, Register, 1000, "is not told"),
        (unwritten, Three, 1000, "a read went back"),
        (unwritten, Register, 2000, "a read went back"),  # four replicas show it more seldom than three
        (hasty, Register, 1000, "is not told"),
    ],
)
def test_a_planted_fault_is_found(
    fault: Callable[[pytest.MonkeyPatch], None],
    machine: type[Register],
    examples: int,
    found: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fault(monkeypatch)
    with pytest.raises(AssertionError, match=found):
        run(machine, examples)
