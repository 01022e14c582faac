"""The register as a hypothesis state machine: production replicas, coordinators and recovery.

It checks the part of single-key linearizability that can be violated here: a reader gets no version older
than those that were acknowledged, or returned by another read, before its read began.
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
from tests.register_model import RecoveryDriver, StoredReplica, small_majority, votes_after_disk_loss

MAX_MESSAGES, MAX_ROUNDS = 60, 4  # messages in transit, open rounds (the oldest is dropped)
RECOVERY = "recovery of "
AT = st.integers(0, 999)
NEAR = st.sets(st.sampled_from("abcd"), min_size=1)


class RegisterMachine(RuleBasedStateMachine):
    names = "abcd"

    def __init__(self) -> None:
        super().__init__()
        self.core = Core(2, dict.fromkeys(self.names, ""))
        self.stored_replicas = {name: StoredReplica(self.core) for name in self.names}
        self.coordinators = {name: Coordinator(name) for name in "pq"}
        # the coordinator, the round, and the oldest version that the round may return if it is a read
        self.open_rounds: list[tuple[Coordinator, Round, int]] = []
        self.messages: list[tuple[str, Any, Message]] = []  # recipient, sender, message
        self.lost = ""  # name of the replica that lost its disk
        self.recovery: RecoveryDriver | None = None
        self.now, self.incarnations = 0.0, 0
        self.version = self.acknowledged = self.read_before = 0

    # ---- operations --------------------------------------------------------------------------------

    @rule(coordinator=st.sampled_from("pq"), near=NEAR)
    def put(self, coordinator: str, near: set[str]) -> None:
        self.version += 1
        values = {CONFIG: Value(self.version, "", "")}
        self.start_round(
            self.coordinators[coordinator],
            self.coordinators[coordinator].write(self.now, self.core, values, 1e9),
            near,
        )

    @rule(coordinator=st.sampled_from("pq"), near=NEAR)
    def read(self, coordinator: str, near: set[str]) -> None:
        self.start_round(
            self.coordinators[coordinator],
            self.coordinators[coordinator].read(self.now, self.core, [CONFIG], 1e9),
            near,
        )

    def start_round(self, coordinator: Coordinator, round: Round, near: set[str]) -> None:
        """Start a round; messages to and from the near replicas, and their syncs, complete at once."""
        self.open_rounds = [
            *self.open_rounds[1 - MAX_ROUNDS :],
            (coordinator, round, max(self.acknowledged, self.read_before)),
        ]
        self.drive(coordinator, round)
        self.deliver_now(near, f"{round.ref}/")

    def deliver_now(self, near: set[str], refs: str) -> None:
        while found := [
            each
            for each in self.messages
            if each[2]["r"].startswith(refs) and not near.isdisjoint((str(each[0]), str(each[1])))
        ]:
            self.messages.remove(found[0])
            self.deliver(*found[0])
            for name, stored in self.stored_replicas.items():
                for at, persist in reversed(list(enumerate(stored.unsynced))):
                    if persist.reply[1]["r"].startswith(refs):
                        self.answer(name, stored.sync(at))

    def drive(self, coordinator: Coordinator, round: Round) -> None:
        for name, message in coordinator.drive(self.now, round):
            self.send(name, coordinator.name, message)
        for entry in [entry for entry in self.open_rounds if entry[1] is round and round.phase is Phase.DONE]:
            self.open_rounds.remove(entry)
            version = round.values[CONFIG].version if round.values else 0
            if round.keys is None:
                self.acknowledged = max(self.acknowledged, version)
            else:
                assert version >= entry[2], "a read went back"
                self.read_before = max(self.read_before, version)

    @rule()
    def again(self) -> None:
        """Callers without an answer repeat their calls."""
        self.now += 1.0
        for coordinator, round, _ in list(self.open_rounds):
            self.drive(coordinator, round)
        self.drive_recovery()

    @precondition(lambda self: self.lost)
    @rule(near=NEAR)
    def take_over(self, near: set[str]) -> None:
        """Drive the recovery; the near replicas answer at once."""
        for step in ("lives ", "heir "):
            self.drive_recovery()
            self.deliver_now(near, step)

    def drive_recovery(self) -> None:
        if self.recovery is not None:
            for name, message in self.recovery.tick():
                self.send(name, RECOVERY + self.lost, message)

    # ---- messages and disks --------------------------------------------------------------------------

    def send(self, to: Any, sender: Any, message: Message) -> None:
        if len(self.messages) < MAX_MESSAGES:
            self.messages.append((to, sender, message))

    @precondition(lambda self: self.messages)
    @rule(names=st.sets(st.sampled_from("abcd"), min_size=1, max_size=3))
    def drop(self, names: set[str]) -> None:
        """Messages to or from these replicas are lost."""
        self.messages = [each for each in self.messages if each[0] not in names and each[1] not in names]

    @precondition(lambda self: self.messages)
    @rule(at=AT)
    def double(self, at: int) -> None:
        self.deliver(*self.messages[at % len(self.messages)])

    @precondition(lambda self: self.messages or any(each.unsynced for each in self.stored_replicas.values()))
    @rule(picks=st.lists(AT, min_size=1, max_size=20))
    def go_on(self, picks: list[int]) -> None:
        """Deliver messages and complete syncs."""
        for pick in picks:
            syncs = [
                (name, at) for name, each in self.stored_replicas.items() for at in range(len(each.unsynced))
            ]
            if not self.messages and not syncs:
                return
            at = pick % (len(self.messages) + len(syncs))
            if at < len(self.messages):
                self.deliver(*self.messages.pop(at))
            else:
                name, at = syncs[at - len(self.messages)]
                self.answer(name, self.stored_replicas[name].sync(at))

    def deliver(self, to: Any, sender: Any, message: Message) -> None:
        if to in self.stored_replicas:
            self.answer(to, self.stored_replicas[to].call(sender, message))
        elif self.recovery is not None and to == RECOVERY + self.lost:  # also one to an earlier incarnation
            for persist in self.recovery.handle_answer(sender, message):
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

    # ---- failures ----------------------------------------------------------------------------------

    @rule(name=st.sampled_from("abcd"), wiped=st.booleans())
    def kill(self, name: str, wiped: bool) -> None:
        """Kill a replica and start it again; at most one at a time has lost its disk."""
        if name in self.stored_replicas:
            if wiped and not self.lost:
                self.stored_replicas[name].wipe()
            else:
                self.stored_replicas[name].restart()
            self.recover(name)

    def recover(self, name: str) -> None:
        if self.stored_replicas[name].replica.state is ReplicaState.RECOVERING:
            self.incarnations += 1
            self.lost, self.recovery = name, RecoveryDriver(name, self.core, self.incarnations)

    @invariant()
    def readers_are_told_what_was_acknowledged(self) -> None:
        visible = {name: stored.visible_version() for name, stored in self.stored_replicas.items()}
        behind = [
            name for name, version in visible.items() if version is not None and version < self.acknowledged
        ]
        assert not self.core.is_read_quorum(behind), "acknowledged, but not visible to a reader"


class ThreeReplicas(RegisterMachine):
    names = "abc"


def run(machine: type[RegisterMachine], examples: int) -> None:
    """Run the state machine with reproducible examples."""
    phases = (Phases.generate,)
    how = settings(
        max_examples=examples, stateful_step_count=40, derandomize=True, deadline=None, phases=phases
    )
    run_state_machine_as_test(machine, settings=how)


@pytest.mark.parametrize("machine", [RegisterMachine, ThreeReplicas])
def test_no_read_goes_back_and_none_misses_what_was_acknowledged(machine: type[RegisterMachine]) -> None:
    run(machine, 120)


def skips_write_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """A read returns without its write-back."""
    original = Coordinator._enter_phase

    def enter_phase(self: Coordinator, round: Round, phase: Phase) -> None:
        original(self, round, Phase.DONE if round.phase is Phase.READING else phase)

    monkeypatch.setattr(Coordinator, "_enter_phase", enter_phase)


@pytest.mark.parametrize(
    ("fault", "machine", "examples", "found"),
    [
        (small_majority, RegisterMachine, 1000, "not visible to a reader"),
        (skips_write_back, ThreeReplicas, 1000, "a read went back"),
        # found in fewer examples with four replicas than with three
        (skips_write_back, RegisterMachine, 2000, "a read went back"),
        (votes_after_disk_loss, RegisterMachine, 1000, "not visible to a reader"),
    ],
)
def test_a_planted_fault_is_found(
    fault: Callable[[pytest.MonkeyPatch], None],
    machine: type[RegisterMachine],
    examples: int,
    found: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fault(monkeypatch)
    with pytest.raises(AssertionError, match=found):
        run(machine, examples)
