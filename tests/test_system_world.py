"""Control state in the simulation: acknowledged changes survive every tolerated loss, and no process returns
to an older version."""

import random
from typing import Any

import pytest

from millfront.register.replica import ReplicaState
from tests.system_world import World, document


def bootstrapped(n: int = 11, disks: int = 4, seed: int = 1) -> World:
    world = World(n, disks, seed).start().run(4.0)
    assert world.put(5 % n, document(1)) is not None
    return world.run(2.0)


def version_of(world: World, number: int) -> int:
    gatekeeper = world.nodes[number].gatekeeper
    return (
        gatekeeper.configuration.version
        if gatekeeper is not None and gatekeeper.configuration is not None
        else 0
    )


def test_with_one_of_three_seeds_dead_the_core_is_bootstrapped_and_accepts_a_configuration() -> None:
    world = World().start(but=(0,)).run(5.0)
    (core,) = {tuple(sorted(g.subscriber.core.members)) for g in world.gatekeepers() if g.subscriber.core}
    assert len(core) == 3 and all(g.subscriber.core for g in world.gatekeepers())
    answers = world.put(7, document(3))
    world.run(2.0)
    assert answers[0][0] == 200
    assert all(version_of(world, number) == 3 for number in range(1, 11))
    assert all(node.gatekeeper.ready(node.now()) for node in world.nodes[1:] if node.gatekeeper)


def test_two_bootstraps_at_once_end_with_one_core() -> None:
    world = World(6, 4)
    apart = True
    world.cut = lambda a, b: apart and (a.number in (0, 1)) != (b.number in (0, 1))
    world.start().run(4.0)
    apart = False
    world.run(16.0)
    cores = {(g.subscriber.core.epoch, tuple(sorted(g.subscriber.core.all_members)))
             for g in world.gatekeepers() if g.subscriber.core}  # fmt: skip
    ((epoch, members),) = cores  # one bootstrapped it, and those that were cut off joined later
    assert epoch > 2 and len(members) == 4


@pytest.mark.parametrize("wiped", range(4))
def test_what_was_acknowledged_outlives_a_wiped_disk_while_all_others_lose_power(wiped: int) -> None:
    world = bootstrapped(seed=wiped)
    answers: list[Any] = world.put(4, document(9))
    while not answers:
        world.run(0.005)
    assert answers[0][0] == 200
    world.nodes[wiped].wipe()
    world.power_off()
    world.run(6.0)
    assert world.read(8)["revision"] == "00000009"
    assert version_of(world, 10) == 9


def test_a_core_cut_in_two_halves_acknowledges_nothing_and_its_leases_go_on() -> None:
    world = bootstrapped()
    cut = True
    world.cut = lambda a, b: cut and a.number < 4 and b.number < 4 and (a.number < 2) != (b.number < 2)
    halves = world.put(0, document(5)), world.put(3, document(6))
    world.run(6.5)
    assert [answers[0][0] for answers in halves] == [503, 503]
    assert all(node.gatekeeper.trusted(node.now()) for node in world.nodes if node.gatekeeper)
    cut = False
    world.run(1.0)
    again = world.put(0, document(7))
    world.run(2.0)
    assert again[0][0] == 200 and all(version_of(world, number) == 7 for number in range(11))


def test_a_partitioned_process_stops_trusting_its_keys_before_a_removal_binds_everywhere() -> None:
    world = bootstrapped()
    world.cut = lambda a, b: 9 in (a.number, b.number)
    world.run(0.4)
    answers = world.put(5, document(2, {"t": ["another"]}))
    while not answers:
        world.run(0.01)
    acknowledged = answers[0][2]
    node = world.nodes[9]
    assert node.gatekeeper is not None
    while node.gatekeeper.trusted(node.now()):
        world.run(0.05)
    assert world.env.now < acknowledged + world.bounds.revoke_within
    assert version_of(world, 9) == 1


def test_an_older_version_that_comes_late_is_acknowledged_and_changes_nothing() -> None:
    world = bootstrapped()
    world.put(3, document(8))
    world.run(1.0)
    answers = world.put(9, document(6))
    world.run(2.0)
    assert answers[0][0] == 200 and all(version_of(world, number) == 8 for number in range(11))


def test_two_documents_under_one_version_end_as_one_everywhere() -> None:
    world = bootstrapped()
    answers = world.put(1, document(4, {"t": ["one"]})), world.put(10, document(4, {"t": ["two"]}))
    world.run(4.0)
    assert sorted(a[0][0] for a in answers) == [200, 409]
    assert len({g.configuration.digest for g in world.gatekeepers() if g.configuration}) == 1


def test_a_replica_whose_disk_refuses_does_not_count() -> None:
    world = bootstrapped()
    world.nodes[1].disk_refuses = True
    answers = world.put(5, document(4))
    world.run(2.0)
    assert answers[0][0] == 200
    world.nodes[2].disk_refuses = True
    answers = world.put(5, document(5))
    world.run(6.0)
    assert answers[0][0] == 503
    world.nodes[1].disk_refuses = world.nodes[2].disk_refuses = False
    answers = world.put(5, document(6))
    world.run(2.0)
    assert answers[0][0] == 200


def test_a_wiped_replica_votes_only_after_others_have_told_it_what_they_have() -> None:
    world = bootstrapped()
    world.nodes[2].wipe()
    world.cut = lambda a, b: 2 in (a.number, b.number) and (a.number < 4 and b.number < 4)
    world.nodes[2].start()
    world.run(4.0)
    replica = world.nodes[2].gatekeeper.replica  # type: ignore[union-attr]
    assert replica is not None and not replica.votes
    world.cut = lambda a, b: False
    world.run(3.0)
    assert replica.votes and "config" in replica.values


def test_evacuations_and_their_end_survive_a_power_loss() -> None:
    world = bootstrapped()
    for on, zone, number in ((True, "aa", 4), (True, "bb", 7), (False, "aa", 9)):
        answers = world.call(number, lambda g, now, done, on=on, zone=zone: g.evacuate(now, zone, on, done))  # type: ignore[misc]
        world.run(1.5)
        assert answers[0][0] == 200
    assert {frozenset(g.evacuated) for g in world.gatekeepers()} == {frozenset({"bb"})}
    world.power_off().run(6.0)
    assert {frozenset(g.evacuated) for g in world.gatekeepers()} == {frozenset({"bb"})}


def test_a_returning_process_gets_missed_values_from_a_neighbour_though_it_reaches_no_replica() -> None:
    world = bootstrapped()
    node = world.nodes[6]
    node.kill()
    world.run(5.0)
    world.put(5, document(7))
    world.run(1.0)
    world.cut = lambda a, b: 6 in (a.number, b.number) and min(a.number, b.number) < 4
    node.start()  # its seeds are replicas, too, so the other members have to contact it
    world.run(5.0)
    assert (
        version_of(world, 6) == 7 and node.gatekeeper is not None and node.gatekeeper.server_list.has_list()
    )
    # Only replicas can confirm that this is the newest version
    assert not node.gatekeeper.trusted(node.now())


def test_when_the_poller_is_gone_a_draining_server_is_known_to_all_in_time() -> None:
    world = bootstrapped()
    poller = next(n for n in world.nodes if n.gatekeeper and n.gatekeeper.discovery.poll_position() == 0)
    poller.kill()
    world.servers[0][5] = 1
    world.run(world.bounds.drain_within - 0.3)
    phases = [gatekeeper.server_list.servers["i-1"].phase.name for gatekeeper in world.gatekeepers()]
    assert set(phases) == {"DRAINING"}
    polls = world.polls
    world.run(8.0)
    assert world.polls - polls < 8.0 / 0.8 + 6  # a single process polls again


def test_a_server_that_left_the_list_does_not_come_back_by_an_older_one() -> None:
    world = bootstrapped()
    entry = list(world.servers[0])
    server_list = world.nodes[6].gatekeeper.server_list  # type: ignore[union-attr]
    world.servers[0] = ["i-2", "shop", "10.0.2.1:80", "aa", 3, 0, 0.0]
    world.run(2.0)
    server_list.handle_list(
        0.0, {"t": "list", "f": 1, "w": "", "p": 0, "q": "", "e": [entry], "g": [], "a": 0.0}
    )
    assert (
        server_list.servers["i-1"].phase.name == "GONE" and server_list.servers["i-2"].phase.name == "READY"
    )


def test_a_restarted_process_is_recognised_though_its_clock_went_back() -> None:
    world = bootstrapped()
    world.nodes[5].kill()
    world.run(1.0)
    world.nodes[5].start()
    gatekeeper = world.nodes[5].gatekeeper
    assert gatekeeper is not None
    gatekeeper.membership.own_record.incarnation = 0  # as if its clock had gone back by years
    world.run(4.0)
    seen = [g.membership.records[gatekeeper.name] for g in world.gatekeepers() if g is not gatekeeper]
    assert {record.liveness.name for record in seen} == {"UP"}
    assert {record.incarnation for record in seen} == {gatekeeper.membership.own_record.incarnation}


@pytest.mark.parametrize("seed", range(12))
def test_histories_of_cuts_kills_wipes_and_lost_answers_lose_nothing_and_never_go_back(seed: int) -> None:
    """At most one disk is lost until its machine has recovered, as the tolerance allows."""
    rng, world = random.Random(seed), bootstrapped(seed=seed)
    world.loss, world.lost_answers = 0.02, 0.05
    version, acknowledged, open_calls = 10, 1, []
    island: set[int] = set()
    world.cut = lambda a, b: (a.number in island) != (b.number in island)
    for _ in range(25):
        match rng.choice(("put", "put", "put", "cut", "join", "kill", "wipe", "all")):
            case "put":
                version += rng.randrange(1, 4)
                numbers = [n.number for n in world.nodes if n.gatekeeper]
                open_calls.append((version, world.put(rng.choice(numbers), document(version))))
            case "cut":
                island = set(rng.sample(range(11), rng.randrange(1, 5)))
            case "join":
                island = set()
            case "kill":
                node = rng.choice(world.nodes)
                node.kill()
                world.run(rng.random())
                node.start()
            case "wipe":
                replicas = [n.gatekeeper.replica for n in world.nodes[:4] if n.gatekeeper]
                if len(replicas) == 4 and all(k and k.state is ReplicaState.VOTING for k in replicas):
                    node = world.nodes[rng.randrange(4)]
                    node.wipe()
                    world.run(0.3)
                    node.start()
            case "all":
                for node in world.nodes[:4]:
                    node.kill()
                world.run(0.5)
                for node in world.nodes[:4]:
                    node.start()
        world.run(0.2 + 1.5 * rng.random())
        acknowledged = max(
            [acknowledged, *(v for v, answers in open_calls if answers and answers[0][0] == 200)]
        )
        for node in world.nodes:
            assert node.versions == sorted(node.versions), "a process went back to an older version"
    island = set()
    world.loss = world.lost_answers = 0.0
    world.run(6.0)
    assert int(world.read(6)["revision"], 16) >= acknowledged
    assert all(
        gatekeeper.configuration and gatekeeper.configuration.version >= acknowledged
        for gatekeeper in world.gatekeepers()
    )
