"""An answer counts for the call that it answers alone: none of another life of this process, of another
round, phase or core, or of a sender who is no member. The very coordinators and gatekeepers."""

from collections.abc import Callable
from itertools import count
from typing import Any

import pytest

from millfront.control.delivery import LEASE_SHARE
from millfront.gatekeeper.node import Gatekeeper
from millfront.register.coordinator import Coordinator, Phase, Round
from millfront.register.reconfiguration import Bootstrap
from millfront.register.replica import ReplicaState
from millfront.register.values import CONFIG, CORE, Core, Value
from tests.system_world import Node, World, document

OLD, NEW = (Core(epoch, dict.fromkeys("abc", "")) for epoch in (2, 3))
Message = dict[str, Any]


def asked(coordinator: Coordinator, round: Round, now: float = 0.0) -> Message:
    """What the round sends to everybody now."""
    out = coordinator.drive(now, round)
    assert {name for name, _ in out} == set("abc")
    return out[0][1]


def told(call: Message, kind: str, **more: Any) -> Message:
    return {"t": kind, "r": call["r"], "l": {}, **more}


def values(version: int) -> dict[str, Any]:
    return {CONFIG: Value(version, "", "").to_wire()}


# ---- a coordinator's rounds
# ----------------------------------------------------------------------------------


def another_life() -> bool:
    """Two lives of one process: their rounds have no reference in common."""
    first, second = (Coordinator(f"n.7.{seed}") for seed in (1, 2))
    call = asked(first, first.read(0.0, OLD, None, 9.0))
    round = second.read(0.0, OLD, None, 9.0)
    asked(second, round)
    second.handle_answer(0.0, "a", told(call, "found", v=values(1)))
    return round.answered == {} and round.values == {}


def another_round() -> bool:
    coordinator = Coordinator("n")
    call = asked(coordinator, coordinator.write(0.0, OLD, {CONFIG: Value(1, "", "")}, 9.0))
    round = coordinator.write(0.0, OLD, {CONFIG: Value(2, "", "")}, 9.0)
    asked(coordinator, round)
    coordinator.handle_answer(0.0, "a", told(call, "stored"))
    return round.answered == {}


def another_epoch() -> bool:
    coordinator = Coordinator("n")
    round = coordinator.write(0.0, OLD, {CONFIG: Value(1, "", "")}, 9.0)
    call = asked(coordinator, round)
    coordinator.restart(round, NEW)
    asked(coordinator, round, 1.0)
    for sender in "abc":
        coordinator.handle_answer(1.0, sender, told(call, "stored"))
    return round.answered == {} and round.phase is Phase.WRITING


def a_read_in_its_write_back() -> bool:
    coordinator = Coordinator("n")
    round = coordinator.read(0.0, OLD, None, 9.0)
    call = asked(coordinator, round)
    coordinator.handle_answer(0.0, "a", told(call, "found", v=values(1)))
    coordinator.handle_answer(0.0, "b", told(call, "found", v=values(2)))
    asked(coordinator, round, 1.0)
    coordinator.handle_answer(1.0, "c", told(call, "found", v=values(3)))
    coordinator.handle_answer(1.0, "c", told(call, "stored"))
    return round.phase is Phase.WRITING and round.answered == {} and round.values[CONFIG].version == 2


def a_promise_among_acceptances() -> bool:
    coordinator = Coordinator("n")
    round = coordinator.decide(0.0, OLD, 1, "x", 9.0)
    call = asked(coordinator, round)
    for sender in "ab":
        coordinator.handle_answer(0.0, sender, told(call, "promised"))
    asked(coordinator, round, 1.0)
    for sender in "abc":
        coordinator.handle_answer(1.0, sender, told(call, "promised"))
        coordinator.handle_answer(1.0, sender, told(call, "accepted"))
    coordinator.handle_answer(
        1.0, "c", told(call, "no", b=5)
    )  # to the promise: of the acceptances it says nothing
    return round.phase is Phase.ACCEPTING and round.answered == {}


def no_member() -> bool:
    coordinator = Coordinator("n")
    round = coordinator.write(0.0, OLD, {CONFIG: Value(1, "", "")}, 9.0)
    call = asked(coordinator, round)
    for sender in "xyz":
        coordinator.handle_answer(0.0, sender, told(call, "stored"))
    return round.answered == {} and round.phase is Phase.WRITING


def one_member_twice() -> bool:
    coordinator = Coordinator("n")
    round = coordinator.write(0.0, OLD, {CONFIG: Value(1, "", "")}, 9.0)
    call = asked(coordinator, round)
    for _ in range(2):
        coordinator.handle_answer(0.0, "a", told(call, "stored"))
    return round.phase is Phase.WRITING


DROPS = [
    another_life,
    another_round,
    another_epoch,
    a_read_in_its_write_back,
    a_promise_among_acceptances,
    no_member,
    one_member_twice,
]


@pytest.mark.parametrize("drops", DROPS)
def test_an_answer_counts_for_its_own_round_and_phase_alone(drops: Callable[[], bool]) -> None:
    assert drops()


def any_ref(patch: pytest.MonkeyPatch) -> None:
    """Whatever comes is for the round that is open."""
    patch.setattr(
        Coordinator, "find_round", lambda self, _: [*self.rounds.values()][-1] if self.rounds else None
    )


def any_phase(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Coordinator, "find_round", lambda self, ref: self.rounds.get(str(ref).rpartition("/")[0]))


def same_ref(patch: pytest.MonkeyPatch) -> None:
    """A round that begins anew keeps its reference."""

    def renew(self: Coordinator, round: Round, core: Core) -> None:
        round.core, round.answered, round.last_sent = core, {}, {}

    patch.setattr(Coordinator, "restart", renew)


def anybody(patch: pytest.MonkeyPatch) -> None:
    """Whoever answers is a member."""
    whole = Coordinator.handle_answer
    senders = count()
    patch.setattr(
        Coordinator,
        "handle_answer",
        lambda self, now, _, message: whole(self, now, "abc"[next(senders) % 3], message),
    )


@pytest.mark.parametrize(
    ("plant", "drops"),
    [
        (any_ref, another_life),
        (any_ref, another_round),
        (same_ref, another_epoch),
        (any_phase, a_read_in_its_write_back),
        (any_phase, a_promise_among_acceptances),
        (anybody, no_member),
        (anybody, one_member_twice),
    ],
)
def test_a_planted_fault_is_found(
    plant: Callable[[pytest.MonkeyPatch], None], drops: Callable[[], bool], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    assert not drops()


# ---- gatekeepers: what they follow, recover and found
# --------------------------------------------------------


class Ear:
    """What goes out of one machine, in all of its lives."""

    def __init__(self, node: Node, patch: pytest.MonkeyPatch) -> None:
        self.said: list[Message] = []
        whole = node.send

        def line(address: str, message: Message) -> None:
            self.said.append(message)
            whole(address, message)

        patch.setattr(node, "send", line)

    def refs(self, kind: str, begin: str = "") -> list[str]:
        found = [m["r"] for m in self.said if m["t"] == kind and str(m["r"]).startswith(begin)]
        self.said = []
        assert found
        return found


def settled() -> tuple[World, Node]:
    """Three machines with a disk and one without, whose member or subscriber is looked at."""
    world = World(4, 3, 3).start().run(5.0)
    assert world.put(0, document(4)) is not None
    world.run(3.0)
    return world, world.nodes[0]


def hear(node: Node, sender: str, message: Message) -> Gatekeeper:
    gatekeeper = node.gatekeeper
    assert gatekeeper is not None
    gatekeeper.handle_message(node.now(), "10.0.0.9:1", message | {"m": sender})
    return gatekeeper


def alone(world: World, node: Node) -> None:
    world.cut = lambda a, b: node in (a, b)


def test_a_lease_is_not_renewed_by_answers_to_another_life_or_core(monkeypatch: pytest.MonkeyPatch) -> None:
    """A machine that started again may count its time from anew: what a life before asked at 100 s would
    confirm what is held at 20 s."""
    world, node = settled()
    ear = Ear(node, monkeypatch)
    refs = ear.refs("ask") if world.run(3.0) else []
    assert node.gatekeeper is not None
    stamps = {key: value.stamp for key, value in node.gatekeeper.subscriber.values.items()}
    node.clock_behind_s += 50.0
    node.kill()
    alone(world, node)
    node.start()
    world.run(0.4)
    assert node.gatekeeper is not None and node.gatekeeper.subscriber.core is not None
    mine = ear.refs("ask")[-1]
    gatekeeper, epoch = node.gatekeeper, node.gatekeeper.subscriber.core.epoch
    said = node.gatekeeper.subscriber.replicas["ba-02"]
    before = said.confirmed_at
    for ref in (*refs, mine.replace(f"{epoch} ", f"{epoch - 1} ", 1)):
        hear(node, "ba-02", {"t": "newest", "r": ref, "s": stamps})
    assert (
        said.confirmed_at == before
        and gatekeeper.subscriber.lease_until() <= node.now() + gatekeeper.subscriber.lease_s
    )
    assert gatekeeper.subscriber.lease_s == LEASE_SHARE * world.bounds.revoke_within
    hear(node, "bb-03", {"t": "newest", "r": mine, "s": stamps})  # no member
    assert "bb-03" not in gatekeeper.subscriber.replicas
    hear(node, "ba-02", {"t": "newest", "r": mine, "s": stamps})
    assert said.confirmed_at > before  # and its own does


def test_what_was_fetched_is_held_if_it_was_asked_for_here_and_now() -> None:
    world, node = settled()
    assert node.gatekeeper is not None
    core = node.gatekeeper.subscriber.core
    assert core is not None
    higher = node.gatekeeper.subscriber.values[CONFIG].version + 1
    found = {CONFIG: Value(higher, "", document(higher)).to_wire()}
    alone(world, node)
    life = node.gatekeeper.subscriber.name
    good = f"f {core.epoch} {life}"
    for sender, ref in (
        ("ba-02", "f"),
        ("ba-02", f"f {core.epoch - 1} {life}"),
        ("ba-02", f"f {core.epoch} {life}0"),
        ("bb-03", good),
    ):
        gatekeeper = hear(node, sender, {"t": "found", "r": ref, "v": found, "l": {}})
        assert gatekeeper.subscriber.values[CONFIG].version < higher
    hear(node, "ba-02", {"t": "found", "r": good, "v": found, "l": {}})
    assert gatekeeper.subscriber.values[CONFIG].version == higher


def test_a_replica_recovers_from_answers_to_its_own_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    """A late answer would tell of the lives before one that was begun meanwhile: it would be begun twice."""
    world, node = settled()
    ear = Ear(node, monkeypatch)

    def begin() -> Gatekeeper:
        world.cut = lambda a, b: False
        node.wipe()
        node.start()
        world.run(0.2)
        alone(world, node)
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
    before = ear.refs("fetch", "lives ")
    gatekeeper = begin()
    mine = ear.refs("fetch", "lives ")
    assert not set(mine) & set(before)
    held = {CORE: gatekeeper.subscriber.values[CORE].to_wire()}
    assert gatekeeper.subscriber.core is not None
    stale = mine[-1].replace(f"lives {gatekeeper.subscriber.core.epoch} ", "lives 1 ", 1)
    for sender, ref in (("ab-01", before[-1]), ("ba-02", before[-1]), ("ab-01", stale), ("bb-03", mine[-1])):
        hear(node, sender, {"t": "found", "r": ref, "v": held, "l": {}})
        assert gatekeeper.reconfiguration.recovery._answers == {}
    for sender in ("ab-01", "ba-02"):
        hear(node, sender, {"t": "found", "r": mine[-1], "v": held, "l": {}})
    assert gatekeeper.reconfiguration.recovery.incarnation == 1
    ear.said = []
    world.run(2.0)
    heirs = ear.refs("recover", "heir ")
    hear(node, "ab-01", {"t": "found", "r": mine[-1], "v": held, "l": {}})  # to the step before
    assert gatekeeper.reconfiguration.recovery._answers == {} and not set(heirs) & set(mine)


def test_a_core_is_founded_by_those_who_agreed_to_it() -> None:
    _, node = settled()
    gatekeeper = node.gatekeeper
    assert gatekeeper is not None
    gatekeeper.reconfiguration.bootstrap = Bootstrap(OLD.to_value(), dict.fromkeys("abc", ""), set())
    for ref in ("found", "found another.1.2"):
        hear(node, "a", {"t": "agreed", "r": ref})
    assert gatekeeper.reconfiguration.bootstrap.agreed == set()
    hear(node, "a", {"t": "agreed", "r": f"found {gatekeeper.coordinator.name}"})
    assert gatekeeper.reconfiguration.bootstrap.agreed == {"a"}
