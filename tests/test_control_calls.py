"""An answer counts only for the call that it answers: never one to another incarnation of the process, round,
phase or core, or from a sender that is not a core member. Runs the real coordinators and gatekeepers."""

from collections.abc import Callable
from itertools import count
from typing import Any

import pytest

from millfront.control.delivery import LEASE_SHARE
from millfront.gatekeeper.node import Gatekeeper
from millfront.register.bootstrap import Proposal
from millfront.register.coordinator import Coordinator, Phase, Round
from millfront.register.replica import ReplicaState
from millfront.register.values import CONFIG, CORE, Core, Value
from tests.system_world import Node, World, document

OLD, NEW = (Core(epoch, dict.fromkeys("abc", "")) for epoch in (2, 3))
Message = dict[str, Any]


def sent_call(coordinator: Coordinator, round: Round, now: float = 0.0) -> Message:
    """The message that the round sends to each member now."""
    out = coordinator.drive(now, round)
    assert {name for name, _ in out} == set("abc")
    return out[0][1]


def answer(call: Message, kind: str, **more: Any) -> Message:
    return {"t": kind, "r": call["r"], "l": {}, **more}


def values(version: int) -> dict[str, Any]:
    return {CONFIG: Value(version, "", "").to_wire()}


# ---- a coordinator's rounds
# ----------------------------------------------------------------------------------


def another_incarnation() -> bool:
    """Rounds of two incarnations of one process have no reference in common."""
    first, second = (Coordinator(f"n.7.{seed}") for seed in (1, 2))
    call = sent_call(first, first.read(0.0, OLD, None, 9.0))
    round = second.read(0.0, OLD, None, 9.0)
    sent_call(second, round)
    second.handle_answer(0.0, "a", answer(call, "found", v=values(1)))
    return round.answered == {} and round.values == {}


def another_round() -> bool:
    coordinator = Coordinator("n")
    call = sent_call(coordinator, coordinator.write(0.0, OLD, {CONFIG: Value(1, "", "")}, 9.0))
    round = coordinator.write(0.0, OLD, {CONFIG: Value(2, "", "")}, 9.0)
    sent_call(coordinator, round)
    coordinator.handle_answer(0.0, "a", answer(call, "stored"))
    return round.answered == {}


def another_epoch() -> bool:
    coordinator = Coordinator("n")
    round = coordinator.write(0.0, OLD, {CONFIG: Value(1, "", "")}, 9.0)
    call = sent_call(coordinator, round)
    coordinator.restart(round, NEW)
    sent_call(coordinator, round, 1.0)
    for sender in "abc":
        coordinator.handle_answer(1.0, sender, answer(call, "stored"))
    return round.answered == {} and round.phase is Phase.WRITING


def a_read_in_its_write_back() -> bool:
    coordinator = Coordinator("n")
    round = coordinator.read(0.0, OLD, None, 9.0)
    call = sent_call(coordinator, round)
    coordinator.handle_answer(0.0, "a", answer(call, "found", v=values(1)))
    coordinator.handle_answer(0.0, "b", answer(call, "found", v=values(2)))
    sent_call(coordinator, round, 1.0)
    coordinator.handle_answer(1.0, "c", answer(call, "found", v=values(3)))
    coordinator.handle_answer(1.0, "c", answer(call, "stored"))
    return round.phase is Phase.WRITING and round.answered == {} and round.values[CONFIG].version == 2


def a_promise_among_acceptances() -> bool:
    coordinator = Coordinator("n")
    round = coordinator.decide(0.0, OLD, 1, "x", 9.0)
    call = sent_call(coordinator, round)
    for sender in "ab":
        coordinator.handle_answer(0.0, sender, answer(call, "promised"))
    sent_call(coordinator, round, 1.0)
    for sender in "abc":
        coordinator.handle_answer(1.0, sender, answer(call, "promised"))
        coordinator.handle_answer(1.0, sender, answer(call, "accepted"))
    coordinator.handle_answer(
        1.0, "c", answer(call, "no", b=5)
    )  # answers the promise, and says nothing of the acceptances
    return round.phase is Phase.ACCEPTING and round.answered == {}


def no_member() -> bool:
    coordinator = Coordinator("n")
    round = coordinator.write(0.0, OLD, {CONFIG: Value(1, "", "")}, 9.0)
    call = sent_call(coordinator, round)
    for sender in "xyz":
        coordinator.handle_answer(0.0, sender, answer(call, "stored"))
    return round.answered == {} and round.phase is Phase.WRITING


def one_member_twice() -> bool:
    coordinator = Coordinator("n")
    round = coordinator.write(0.0, OLD, {CONFIG: Value(1, "", "")}, 9.0)
    call = sent_call(coordinator, round)
    for _ in range(2):
        coordinator.handle_answer(0.0, "a", answer(call, "stored"))
    return round.phase is Phase.WRITING


CASES = [
    another_incarnation,
    another_round,
    another_epoch,
    a_read_in_its_write_back,
    a_promise_among_acceptances,
    no_member,
    one_member_twice,
]


@pytest.mark.parametrize("drops", CASES)
def test_an_answer_counts_for_its_own_round_and_phase_alone(drops: Callable[[], bool]) -> None:
    assert drops()


def any_ref(patch: pytest.MonkeyPatch) -> None:
    """Planted fault: every answer counts for the open round."""
    patch.setattr(
        Coordinator, "find_round", lambda self, _: [*self.rounds.values()][-1] if self.rounds else None
    )


def any_phase(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Coordinator, "find_round", lambda self, ref: self.rounds.get(str(ref).rpartition("/")[0]))


def same_ref(patch: pytest.MonkeyPatch) -> None:
    """Planted fault: a restarted round keeps its reference."""

    def renew(self: Coordinator, round: Round, core: Core) -> None:
        round.core, round.answered, round.last_sent = core, {}, {}

    patch.setattr(Coordinator, "restart", renew)


def any_sender(patch: pytest.MonkeyPatch) -> None:
    """Planted fault: every sender counts as a member."""
    handle = Coordinator.handle_answer
    senders = count()
    patch.setattr(
        Coordinator,
        "handle_answer",
        lambda self, now, _, message: handle(self, now, "abc"[next(senders) % 3], message),
    )


@pytest.mark.parametrize(
    ("plant", "drops"),
    [
        (any_ref, another_incarnation),
        (any_ref, another_round),
        (same_ref, another_epoch),
        (any_phase, a_read_in_its_write_back),
        (any_phase, a_promise_among_acceptances),
        (any_sender, no_member),
        (any_sender, one_member_twice),
    ],
)
def test_a_planted_fault_is_found(
    plant: Callable[[pytest.MonkeyPatch], None], drops: Callable[[], bool], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    assert not drops()


# ---- gatekeepers: subscription, recovery and bootstrap
# --------------------------------------------------------


class SentMessages:
    """Records the messages that one machine sends, in all of its incarnations."""

    def __init__(self, node: Node, patch: pytest.MonkeyPatch) -> None:
        self.messages: list[Message] = []
        send_line = node.send

        def line(address: str, message: Message) -> None:
            self.messages.append(message)
            send_line(address, message)

        patch.setattr(node, "send", line)

    def refs(self, kind: str, begin: str = "") -> list[str]:
        found = [m["r"] for m in self.messages if m["t"] == kind and str(m["r"]).startswith(begin)]
        self.messages = []
        assert found
        return found


def settled() -> tuple[World, Node]:
    """Three machines with a disk and one without; the tests examine the first."""
    world = World(4, 3, 3).start().run(5.0)
    assert world.put(0, document(4)) is not None
    world.run(3.0)
    return world, world.nodes[0]


def deliver(node: Node, sender: str, message: Message) -> Gatekeeper:
    gatekeeper = node.gatekeeper
    assert gatekeeper is not None
    gatekeeper.handle_message(node.now(), "10.0.0.9:1", message | {"m": sender})
    return gatekeeper


def cut_off(world: World, node: Node) -> None:
    world.cut = lambda a, b: node in (a, b)


def test_a_lease_is_not_renewed_by_answers_to_another_incarnation_or_core(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The clock of a restarted machine may start again: an answer to a request that an earlier incarnation
    sent at 100 s would confirm the values held at 20 s."""
    world, node = settled()
    sent = SentMessages(node, monkeypatch)
    earlier_refs = sent.refs("ask") if world.run(3.0) else []
    assert node.gatekeeper is not None
    stamps = {key: value.stamp for key, value in node.gatekeeper.subscriber.values.items()}
    node.clock_behind_s += 50.0
    node.kill()
    cut_off(world, node)
    node.start()
    world.run(0.4)
    assert node.gatekeeper is not None and node.gatekeeper.subscriber.core is not None
    own_ref = sent.refs("ask")[-1]
    gatekeeper, epoch = node.gatekeeper, node.gatekeeper.subscriber.core.epoch
    answers = node.gatekeeper.subscriber.replicas["ba-02"]
    before = answers.confirmed_at
    for ref in (*earlier_refs, own_ref.replace(f"{epoch} ", f"{epoch - 1} ", 1)):
        deliver(node, "ba-02", {"t": "newest", "r": ref, "s": stamps})
    assert (
        answers.confirmed_at == before
        and gatekeeper.subscriber.lease_until() <= node.now() + gatekeeper.subscriber.lease_s
    )
    assert gatekeeper.subscriber.lease_s == LEASE_SHARE * world.bounds.revoke_within
    deliver(node, "bb-03", {"t": "newest", "r": own_ref, "s": stamps})  # not a member
    assert "bb-03" not in gatekeeper.subscriber.replicas
    deliver(node, "ba-02", {"t": "newest", "r": own_ref, "s": stamps})
    assert answers.confirmed_at > before  # its own does


def test_a_fetched_value_is_adopted_if_this_incarnation_asked_for_it_in_this_core() -> None:
    world, node = settled()
    assert node.gatekeeper is not None
    core = node.gatekeeper.subscriber.core
    assert core is not None
    higher = node.gatekeeper.subscriber.values[CONFIG].version + 1
    found = {CONFIG: Value(higher, "", document(higher)).to_wire()}
    cut_off(world, node)
    incarnation = node.gatekeeper.subscriber.name
    own_ref = f"f {core.epoch} {incarnation}"
    for sender, ref in (
        ("ba-02", "f"),
        ("ba-02", f"f {core.epoch - 1} {incarnation}"),
        ("ba-02", f"f {core.epoch} {incarnation}0"),
        ("bb-03", own_ref),
    ):
        gatekeeper = deliver(node, sender, {"t": "found", "r": ref, "v": found, "l": {}})
        assert gatekeeper.subscriber.values[CONFIG].version < higher
    deliver(node, "ba-02", {"t": "found", "r": own_ref, "v": found, "l": {}})
    assert gatekeeper.subscriber.values[CONFIG].version == higher


def test_a_replica_recovers_from_answers_to_its_own_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    """A late answer names the incarnations before one that has started meanwhile, which would start twice."""
    world, node = settled()
    sent = SentMessages(node, monkeypatch)

    def begin() -> Gatekeeper:
        world.cut = lambda a, b: False
        node.wipe()
        node.start()
        world.run(0.2)
        cut_off(world, node)
        world.run(2.0)
        gatekeeper = node.gatekeeper
        assert (
            gatekeeper is not None
            and gatekeeper.replica is not None
            and gatekeeper.subscriber.core is not None
        )
        assert gatekeeper.replica.state is ReplicaState.RECOVERING
        return gatekeeper

    begin()
    earlier_refs = sent.refs("fetch", "lives ")
    gatekeeper = begin()
    own_refs = sent.refs("fetch", "lives ")
    assert not set(own_refs) & set(earlier_refs)
    held = {CORE: gatekeeper.subscriber.values[CORE].to_wire()}
    assert gatekeeper.subscriber.core is not None
    stale = own_refs[-1].replace(f"lives {gatekeeper.subscriber.core.epoch} ", "lives 1 ", 1)
    for sender, ref in (
        ("ab-01", earlier_refs[-1]),
        ("ba-02", earlier_refs[-1]),
        ("ab-01", stale),
        ("bb-03", own_refs[-1]),
    ):
        deliver(node, sender, {"t": "found", "r": ref, "v": held, "l": {}})
        assert gatekeeper.reconfiguration.recovery._answers == {}
    for sender in ("ab-01", "ba-02"):
        deliver(node, sender, {"t": "found", "r": own_refs[-1], "v": held, "l": {}})
    assert gatekeeper.reconfiguration.recovery.incarnation == 1
    sent.messages = []
    world.run(2.0)
    successor_refs = sent.refs("recover", "heir ")
    deliver(node, "ab-01", {"t": "found", "r": own_refs[-1], "v": held, "l": {}})  # answers the previous step
    assert gatekeeper.reconfiguration.recovery._answers == {} and not set(successor_refs) & set(own_refs)


def test_a_core_is_founded_by_those_who_agreed_to_it() -> None:
    _, node = settled()
    gatekeeper = node.gatekeeper
    assert gatekeeper is not None
    bootstrap = gatekeeper.reconfiguration.bootstrap
    bootstrap.proposal = Proposal(OLD.to_value(), dict.fromkeys("abc", ""), set())
    for ref in ("found", "found another.1.2"):
        deliver(node, "a", {"t": "agreed", "r": ref})
    assert bootstrap.proposal.agreed == set()
    deliver(node, "a", {"t": "agreed", "r": f"found {gatekeeper.coordinator.name}"})
    assert bootstrap.proposal.agreed == {"a"}
