"""Of each revision number one document is confirmed, and the number of stored claims stays bounded."""

import random
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from millfront.control.configuration import digest_of
from millfront.register import replica, values
from millfront.register.coordinator import Coordinator, Phase
from millfront.register.replica import Replica
from millfront.register.values import CLAIM_PREFIX, CONFIG, Core, Value, claim_key
from millfront.storage.disk import Disk
from tests.system_world import World, document


def started_world(seed: int = 1, spares: int = 0) -> World:
    world = World(7, 4, seed, spares=spares).start().run(4.0)
    assert put(world, 6, document(1)) == 200
    return world


def put(world: World, number: int, text: str, wait: float = 3.0) -> int:
    answers = world.put(number, text)
    world.run(wait)
    return int(answers[0][0]) if answers else 0


def two_documents(version: int) -> tuple[str, str]:
    """Two documents under the same number."""
    return document(version, {"t": ["key-a"]}), document(version, {"t": ["key-b"]})


def test_of_two_operators_under_one_number_one_is_confirmed_and_the_other_learns_the_winner() -> None:
    world = started_world()
    world.lost_answers = 0.05
    for version in range(2, 14):
        texts = two_documents(version)
        calls = [
            world.put(at, text) for at, text in zip((version % 7, (version + 3) % 7), texts, strict=True)
        ]
        world.run(5.0)
        statuses = [answers[0][0] for answers in calls]
        assert Counter(statuses) == {200: 1, 409: 1}
        won = statuses.index(200)
        assert digest_of(texts[won]) in calls[1 - won][0][1] and f"{version:08x}" in calls[1 - won][0][1]
        held = {
            gatekeeper.configuration.text for gatekeeper in world.gatekeepers() if gatekeeper.configuration
        }
        assert held == {texts[won]}, "the refused document is in force somewhere"
        assert put(world, (version + 5) % 7, texts[won], 5.0) == 200, "a repeat is not confirmed"
        assert put(world, (version + 5) % 7, texts[1 - won], 5.0) == 409


def test_eight_orders_at_once_under_one_number_come_to_an_end_in_time() -> None:
    for seed in range(12):
        world = started_world(seed)
        texts = [document(9, {"t": [f"key-{number}"]}) for number in range(8)]
        calls = [world.put(number % 7, text) for number, text in enumerate(texts)]
        began = world.env.now
        world.run(6.0)
        assert Counter(answers[0][0] for answers in calls) == {200: 1, 409: 7}
        assert max(answers[0][2] for answers in calls) - began < 3.0  # half of the bound ack_within


def test_a_number_stays_given_through_losses_a_change_of_the_core_and_later_numbers() -> None:
    world = started_world(spares=1)
    first, other = two_documents(2)
    assert put(world, 5, first) == 200
    assert put(world, 4, document(7)) == 200
    assert put(world, 3, first) == 200 and put(world, 3, other) == 409  # an older number changes nothing
    world.nodes[1].wipe()
    world.run(0.5)
    world.nodes[1].start()
    world.nodes[7].start()
    world.run(14.0)
    core = world.nodes[5].gatekeeper.subscriber.core  # type: ignore[union-attr]
    assert core is not None and world.nodes[7].name in core.members
    world.nodes[0].wipe()
    world.power_off().run(8.0)
    assert put(world, 6, other) == 409 and put(world, 2, first) == 200
    assert world.read(4)["revision"] == "00000007"


def test_an_order_whose_coordinator_dies_at_any_moment_is_confirmed_or_leaves_the_number_to_one() -> None:
    for seed in range(12):
        chance, world = random.Random(seed), started_world(seed)
        first, other = two_documents(3)
        world.put(4, first)
        world.run(0.3 * chance.random())
        world.nodes[4].kill()
        statuses = [put(world, 5, other, 5.0), put(world, 6, first, 5.0)]
        assert sorted(statuses) == [200, 409]


def test_an_older_number_is_acknowledged_and_changes_nothing() -> None:
    world = started_world()
    assert put(world, 2, document(9)) == 200
    texts = two_documents(5)
    assert put(world, 3, texts[0]) == 200 and put(world, 4, texts[1]) == 409
    assert world.read(1)["revision"] == "00000009"


def test_replicas_that_forget_claims_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    vote = Replica._vote

    def forgetful(self: Replica, *how: Any) -> Any:
        for key in [key for key in self.values if key.startswith(CLAIM_PREFIX)]:
            del self.values[key]  # claims are forgotten immediately
        return vote(self, *how)

    monkeypatch.setattr(Replica, "_vote", forgetful)
    monkeypatch.setattr(Replica, "_last_accepted", lambda self, key: None)
    monkeypatch.setattr(Replica, "_confirmed_claimant", lambda self, key: None)
    with pytest.raises(AssertionError):
        test_of_two_operators_under_one_number_one_is_confirmed_and_the_other_learns_the_winner()


def test_a_claimant_is_reported_once_a_majority_answered_and_acceptances_do_not_count_against_it() -> None:
    coordinator = Coordinator("x")
    core = Core(2, {name: name for name in "abcd"})
    round = coordinator.decide(0.0, core, 1, "mine", 4.0, claim_key(7))

    def handle(sender: str, kind: str, **more: str) -> Phase:
        ref = f"{round.ref}/{round.phase.value}"
        coordinator.handle_answer(0.0, sender, {"t": kind, "r": ref, "l": {}} | more)
        return round.phase

    assert [handle(name, "promised") for name in "abc"][-1] is Phase.ACCEPTING
    handle("c", "no", won="theirs")
    assert handle("d", "no", won="theirs") is Phase.ACCEPTING  # two of four are not a majority
    assert handle("a", "accepted") is Phase.DONE and round.proposal == "theirs"


def test_claims_are_bounded_and_a_forgotten_number_is_acknowledged(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(replica, "MAX_CLAIMS", 16)
    world = started_world()
    for version in range(2, 60):
        assert put(world, version % 7, document(version), 0.7) == 200
    for node in world.nodes[:4]:
        assert node.disk is not None
        assert 16 <= sum(key.startswith(CLAIM_PREFIX) for key in node.disk) <= 16 + 16 // 8 + 1
        assert sum(key.startswith("own/" + CLAIM_PREFIX) for key in node.disk) <= 16 + 16 // 8 + 1
    assert put(world, 5, two_documents(3)[0]) == 200, "a number older than all stored claims is acknowledged"
    assert put(world, 5, two_documents(55)[0]) == 409
    assert world.read(6)["revision"] == f"{59:08x}"


def test_a_disk_deletes_the_given_keys_and_nothing_else(tmp_path: Path) -> None:
    disk = Disk(str(tmp_path))
    disk.load()
    disk.store({claim_key(number): Value(1, "n", "d") for number in range(4)} | {CONFIG: Value(3, "", "x")})
    disk.store({CONFIG: Value(4, "", "y")}, (claim_key(0), claim_key(1), claim_key(9)))
    disk.close()
    kept, why = Disk(str(tmp_path)).load()
    assert not why and sorted(kept) == [claim_key(2), claim_key(3), CONFIG] and kept[CONFIG].version == 4
    assert values.claimed_number(claim_key(3)) == 3
