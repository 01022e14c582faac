"""Claims of one number while the core changes and a disk is lost, in random orders of events: the production
replicas, coordinators, reconfiguration and recovery in the simulation of test_core_search.py.
"""

from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from millfront.register.coordinator import Coordinator, Phase, Round
from millfront.register.replica import Replica, ReplicaState
from millfront.register.values import CLAIM_PREFIX, CORE, Core, Message, Value, claim_key
from tests.register_model import RecoveryDriver
from tests.test_core_search import OLD, Simulation, first_violation

KEY = claim_key(7)


class Claims(Simulation):
    """Four gatekeepers claim the same number for different documents, two of them at once."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.chosen: list[tuple[str, str]] = []  # (claimant, document digest)
        self.lost = ""
        self.recovery: RecoveryDriver | None = None
        self.incarnation = 0

    def claim(self, name: str, tries: int = 6) -> None:
        coordinator = Coordinator(name)

        def ballot(core: Core, height: int) -> None:
            nonlocal tries
            tries -= 1
            self.start(
                coordinator, coordinator.decide(self.now, core, height, f"digest {name}", 30.0, KEY), ended
            )

        def ended(round: Round) -> None:
            if round.phase is Phase.DONE:
                self.chosen.append((name, round.proposal))
            elif tries:
                ballot(round.core, round.highest_ballot + 1)

        ballot(OLD, 1)

    def answer(self, coordinator: Any, name: str, message: Message) -> None:
        newer = Core.from_value(Value.from_wire(message["core"])) if "core" in message else None
        if isinstance(coordinator, RecoveryDriver):
            if coordinator is self.recovery:
                self.handle_recovery_answer(coordinator, name, message, newer)
            return
        for _, round, _ in [entry for entry in self.open if entry[0] is coordinator]:
            # Like `Gatekeeper._move`
            if newer and round.decision_key != CORE and round.core.epoch < newer.epoch:
                coordinator.restart(round, newer)
                self.drive(coordinator, round)
        super().answer(coordinator, name, message)

    # ---- a lost disk -----------------------------------------------------------------------------

    def wipe(self, name: str) -> None:
        self.replicas[name], self.syncs[name] = Replica({}, False), []
        self.lost = name
        self.recover(OLD)

    def recover(self, core: Core) -> None:
        self.incarnation += 1
        self.recovery = RecoveryDriver(self.lost, core, self.incarnation)

    def handle_recovery_answer(
        self, recovery: RecoveryDriver, name: str, message: Message, newer: Core | None
    ) -> None:
        if newer and newer.epoch > recovery.core.epoch:
            self.recover(newer)
            return
        for persist in recovery.handle_answer(name, message):
            replica = self.replicas[self.lost]
            replica.synced(persist, True)
            replica.recovered()
            self.recovery = None

    def send_recovery_requests(self) -> None:
        recovery = self.recovery
        if recovery is not None:
            if self.lost not in recovery.core.all_members:
                self.recovery = None  # it is no longer a member
                return
            for name, message in recovery.tick():
                self.send(partial(self.call, recovery, name, message))  # type: ignore[arg-type]

    # ---- the run ---------------------------------------------------------------------------------

    def check(self) -> None:
        all_replicas, self.replicas = (
            self.replicas,
            {n: k for n, k in self.replicas.items() if k.state is ReplicaState.VOTING},
        )
        super().check()
        self.replicas = all_replicas
        assert len({digest for _, digest in self.chosen}) <= 1, "two documents of one number"

    def play(self) -> None:
        wiped_at, wiped = self.chance.randrange(400), self.chance.choice("abc")
        for step in range(700):
            if step in (10, 80):
                self.gatekeeper("pq"[step > 10], "bcd" if step == 10 else "acd")
            if step == wiped_at:
                self.wipe(wiped)
            if step in (3, 4, 150, 420):
                self.claim(f"w{step}")
            if step % 25 == 0:
                self.send_recovery_requests()
            self.turn()


def test_no_order_of_a_change_and_a_lost_disk_gives_a_number_to_two_documents() -> None:
    assert first_violation(100, Claims) == ""
    claims = Claims(1)
    claims.play()
    assert len(claims.chosen) == 4 and 4 in claims.cores and claims.incarnation  # the run completes


def claims_not_carried_over(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault: claims are not carried over to the new core."""
    merge_values = Coordinator._merge_values

    def merge_without_claims(self: Coordinator, round: Round, wire: dict[str, Any]) -> None:
        merge_values(
            self, round, {key: value for key, value in wire.items() if not key.startswith(CLAIM_PREFIX)}
        )

    monkeypatch.setattr(Coordinator, "_merge_values", merge_without_claims)


def restart_keeps_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fault: after a change of the core a claim continues with the old core's answers."""
    restart = Coordinator.restart

    def keeping(self: Coordinator, round: Round, core: Core) -> None:
        before = round.phase, round.proposal, round.highest_accepted, round.promised
        restart(self, round, core)
        round.phase, round.proposal, round.highest_accepted, round.promised = before

    monkeypatch.setattr(Coordinator, "restart", keeping)


@pytest.mark.parametrize("fault", [claims_not_carried_over, restart_keeps_answers])
def test_a_planted_fault_is_found(
    fault: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    fault(monkeypatch)
    assert first_violation(600, Claims).startswith("two documents of one number")
