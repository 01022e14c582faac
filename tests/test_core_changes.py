"""Changes of the core: machines with a disk are added and removed, and no acknowledged value is lost."""

import random
from collections import defaultdict
from typing import Any

import pytest

from millfront.register import reconfiguration
from millfront.register.replica import ReplicaState
from millfront.register.values import CORE, Core
from tests.system_world import World, acknowledged, document, members, voting


@pytest.fixture(autouse=True)
def short_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reconfiguration, "JOIN_DELAY_S", 2.0)
    monkeypatch.setattr(reconfiguration, "REMOVAL_DELAY_S", 8.0)


def started_world(n: int = 7, disks: int = 4, seed: int = 1, spares: int = 1) -> World:
    world = World(n, disks, seed, spares=spares).start().run(4.0)
    answers = world.put(n - 1, document(1))
    world.run(1.0)
    assert answers[0][0] == 200
    return world


def test_a_machine_with_a_disk_that_joins_later_is_added_and_has_what_was_acknowledged() -> None:
    world = started_world()
    world.nodes[7].start()
    world.run(12.0)
    assert members(world) == {(0, 1, 2, 3, 7)} and voting(world.nodes[7])
    world.nodes[0].kill()
    world.nodes[1].kill()  # W of five is three: the new member counts
    assert acknowledged(world, 5, 4)
    for number in (0, 1):
        world.nodes[number].start()
    world.nodes[7].wipe()
    world.power_off().run(6.0)
    assert world.read(6)["revision"] == "00000004"


def test_a_member_that_is_lost_for_good_is_removed_and_its_successor_added() -> None:
    world = started_world()
    world.nodes[2].kill()
    world.run(18.0)
    assert members(world) == {(0, 1, 3)}
    world.nodes[7].start()
    world.run(12.0)
    assert members(world) == {(0, 1, 3, 7)}
    world.nodes[0].kill()
    assert acknowledged(world, 5, 9)


def test_a_member_removed_while_unreachable_comes_back_and_is_added_again() -> None:
    world = started_world(spares=0)
    dark = True
    world.cut = lambda a, b: dark and 2 in (a.number, b.number)
    world.run(18.0)
    assert (0, 1, 3) in members(world) and acknowledged(world, 5, 6)
    node = world.nodes[2]
    assert node.gatekeeper is not None and not node.gatekeeper.trusted(node.now())
    dark = False
    world.run(14.0)
    assert members(world) == {(0, 1, 2, 3)}
    assert node.gatekeeper.configuration is not None and node.gatekeeper.configuration.version == 6


def test_a_core_without_a_majority_removes_nobody() -> None:
    world = started_world(spares=0)
    for number in (1, 2):
        world.nodes[number].kill()
    world.run(16.0)
    assert members(world) == {(0, 1, 2, 3)}
    world.nodes[1].start()
    world.run(3.0)
    assert acknowledged(world, 5, 3)


def test_of_two_that_propose_at_once_one_is_chosen() -> None:
    world = started_world(spares=2)
    for number in (7, 8):
        world.nodes[number].start()
    world.run(1.0)
    core = world.nodes[0].gatekeeper.subscriber.core  # type: ignore[union-attr]
    assert core is not None
    for number, joins in ((0, 7), (3, 8)):
        gatekeeper, node = world.nodes[number].gatekeeper, world.nodes[joins]
        assert gatekeeper is not None
        to = core.members | {node.name: node.address}
        round = gatekeeper.coordinator.decide(
            gatekeeper.now, core, 1, Core(core.epoch + 1, to, core.members).to_value().data, 3.0
        )
        gatekeeper.start(gatekeeper.now, round, gatekeeper.reconfiguration._decided)
    world.run(14.0)
    assert members(world) == {(0, 1, 2, 3, 7, 8)}
    assert acknowledged(world, 5, 3)


def test_a_change_whose_coordinator_dies_is_brought_to_its_end_by_another() -> None:
    world = started_world(seed=5)
    world.nodes[7].start()
    for _ in range(400):
        world.run(0.02)
        busy = [
            n
            for n in world.nodes
            if n.gatekeeper and n.gatekeeper.reconfiguration.change is reconfiguration.Change.CARRYING
        ]
        if busy:
            break
    busy[0].kill()
    world.run(14.0)
    assert len(members(world)) == 1 and all(
        not o.subscriber.core.old_members for o in world.gatekeepers() if o.subscriber.core
    )
    assert acknowledged(world, 5, 3)


def test_a_replica_that_recovers_and_is_killed_meanwhile_still_does_not_vote() -> None:
    world = started_world(spares=0)
    node = world.nodes[2]
    node.wipe()
    world.cut = lambda a, b: 2 in (a.number, b.number) and a.number < 4 and b.number < 4
    for _ in range(3):
        node.start()
        world.run(2.0)
        assert node.gatekeeper is not None and node.gatekeeper.replica is not None
        assert node.gatekeeper.replica.state is ReplicaState.RECOVERING
        node.kill()


@pytest.mark.parametrize("seed", range(10))
def test_histories_with_changes_of_the_core_lose_nothing_and_have_one_core_an_epoch(seed: int) -> None:
    """At most one disk is lost before its machine votes again, as `tolerance` allows."""
    rng, world = random.Random(seed), started_world(7, 4, seed, spares=2)
    world.loss, world.lost_answers = 0.02, 0.05
    version, acknowledged_version, puts = 10, 1, []
    cut_off: set[int] = set()
    world.cut = lambda a, b: (a.number in cut_off) != (b.number in cut_off)
    seen: dict[int, set[str]] = defaultdict(set)
    disks = [node for node in world.nodes if node.disk is not None]
    for _ in range(30):
        up = [node for node in world.nodes if node.gatekeeper]
        match rng.choice(("put", "put", "cut", "join", "kill", "spare", "spare", "wipe", "all")):
            case "put":
                version += rng.randrange(1, 4)
                puts.append((version, world.put(rng.choice(up).number, document(version))))
            case "cut":
                cut_off = set(rng.sample(range(9), rng.randrange(1, 4)))
            case "join":
                cut_off = set()
            case "kill":
                node = rng.choice(up)
                node.kill()
                world.run(rng.random())
                node.start()
            case "spare":  # a machine with a disk starts, or stops if enough others vote
                node = world.nodes[rng.choice((3, 7, 8))]
                if node.gatekeeper is None:
                    node.start()
                elif sum(voting(other) for other in disks) >= 4:
                    node.kill()
            case "wipe":
                if all(voting(node) for node in disks if node.gatekeeper):
                    node = rng.choice([node for node in disks if node.gatekeeper])
                    node.wipe()
                    world.run(0.3)
                    node.start()
            case "all":
                down = [node for node in disks if node.gatekeeper]
                for node in down:
                    node.kill()
                world.run(0.5)
                for node in down:
                    node.start()
        world.run(0.2 + 2.5 * rng.random())
        acknowledged_version = max(
            [acknowledged_version, *(v for v, answers in puts if answers and answers[0][0] == 200)]
        )
        for node in world.nodes:
            assert node.versions == sorted(node.versions), "the version of a process went back"
            cores: list[Any] = [node.disk.get(CORE)] if node.disk else []
            for value in cores:
                if value is not None and value.version > 1:
                    seen[value.version].add(value.data)
    assert all(len(found) == 1 for found in seen.values()), "two cores in one epoch"
    cut_off = set()
    world.loss = world.lost_answers = 0.0
    for node in world.nodes:
        if node.gatekeeper is None:
            node.start()
    world.run(16.0)
    assert int(world.read(6)["revision"], 16) >= acknowledged_version
    assert len(members(world)) == 1
    assert all(
        gatekeeper.configuration and gatekeeper.configuration.version >= acknowledged_version
        for gatekeeper in world.gatekeepers()
    )
