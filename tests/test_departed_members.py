"""What is said of a member that is gone: processes forget it, learn of it by hearsay, start without memory,
were cut off or frozen while it ended; nobody names it to clients any more."""

import pytest

from millfront.discovery.server_list import ServerList
from millfront.membership.gossip import FORGET_S
from millfront.register.reconfiguration import REMOVAL_DELAY_S
from tests.system_world import Node, World, document, members

NAMED_S = 7.0  # `contact` and 3 s: so long after its end a member may still be named
LOOK_S = 0.25


def serving(seed: int) -> World:
    """A fleet in which every process is ready, so that the directory names it."""
    world = World(11, 4, seed).start().run(6.0)
    world.put(5, document(1))
    return world.run(3.0)


def names(node: Node, gone: Node) -> bool:
    """Whether this process tells clients of either region to go to the member that is gone."""
    gatekeeper = node.gatekeeper
    if gatekeeper is None or node.backlog is not None:
        return False
    return any(gone.plain in gatekeeper.resolve(node.now(), region) for region in ("a", "b"))


def who_names(world: World, gone: Node, seconds: float) -> dict[str, float]:
    """Processes that name it in the time that follows, each with when it did first."""
    found: dict[str, float] = {}
    ends = world.env.now + seconds
    while world.env.now < ends:
        world.run(LOOK_S)
        for node in world.nodes:
            if names(node, gone):
                found.setdefault(node.name, round(float(world.env.now), 2))
    return found


@pytest.mark.parametrize("seed", [1, 3, 6])
def test_a_member_that_all_forget_at_their_own_moment_does_not_come_back_by_hearsay(seed: int) -> None:
    world = serving(seed)
    gone = world.nodes[0]
    gone.kill()
    world.run(NAMED_S)
    assert who_names(world, gone, 2.0 * FORGET_S + 10.0) == {}
    left = [gatekeeper for gatekeeper in world.gatekeepers() if gone.name in gatekeeper.membership.records]
    assert left == []


@pytest.mark.parametrize("after", [8.0, 30.0, 55.0])
def test_a_process_that_starts_names_no_member_that_ended_before(after: float) -> None:
    world = serving(2)
    gone = world.nodes[7]
    gone.kill()
    world.run(after)
    for number in (1, 5, 10):  # with a disk, and without one in each region
        world.nodes[number].kill()
        world.run(0.5)
        world.nodes[number].start()
    assert who_names(world, gone, 6.0) == {}


def test_a_part_that_was_cut_off_names_no_member_that_ended_meanwhile() -> None:
    """The others hold a newer record of it than the part does: newer, but from before its end."""
    world = serving(4)
    gone, alone = world.nodes[4], {1, 9}
    world.cut = lambda a, b: (a.number in alone) != (b.number in alone)
    world.run(3.0)
    gone.kill()
    world.run(8.0)
    world.cut = lambda a, b: False
    assert who_names(world, gone, 10.0) == {}


def test_a_process_that_was_frozen_names_no_member_that_ended_meanwhile() -> None:
    """What waited in its buffers was written before the end, and is read long after it."""
    world = serving(5)
    gone, frozen = world.nodes[6], world.nodes[10]
    frozen.freeze()
    world.run(3.0)
    gone.kill()
    world.run(8.0)
    frozen.thaw()
    world.run(0.3)
    assert frozen.gatekeeper is not None
    assert frozen.gatekeeper.resolve(frozen.now(), "a") == []  # it has not heard of anybody again yet
    assert who_names(world, gone, 10.0) == {}
    others = [node.plain for node in world.nodes if node.zone[0] == "b" and node is not gone]
    assert frozen.gatekeeper.resolve(frozen.now(), "b") == sorted(others)


@pytest.mark.parametrize("seed", [1, 3])
def test_a_core_member_that_is_gone_for_good_is_removed_though_all_have_forgotten_it(seed: int) -> None:
    """Each time that it came back by hearsay it counted as heard of, and its removal was put off."""
    world = World(11, 4, seed, spares=1).start().run(9.0)
    world.nodes[0].kill()
    world.run(REMOVAL_DELAY_S + 20.0)
    assert members(world) == {(1, 2, 3)}


SERVERS = [["i-1", "shop", "10.0.2.1:80", "aa", 3, 0, 0.0]]


def later_turn() -> int:
    """Of a process that asks the platform where three others have not."""
    return 3


def polled(at: float) -> ServerList:
    """A list that the platform gave at that time."""
    server_list = ServerList()
    server_list.poll_succeeded(at + 0.1, server_list.begin_poll(at), SERVERS)
    return server_list


def test_a_list_of_servers_is_as_old_at_who_is_handed_it_as_at_who_hands_it_over() -> None:
    old = polled(at=10.0)
    new = ServerList()
    assert new.handle_list(40.0, old.full_list(40.0))
    assert new.has_list() and new.due(40.0, later_turn)
    new.handle_list(10.5, old.full_list(10.5))  # the same list once more confirms nothing
    assert new.due(40.0, later_turn)


def test_the_platforms_answer_is_as_old_as_the_question() -> None:
    """A process that stood still between them reads an answer from before."""
    server_list = ServerList()
    server_list.poll_succeeded(41.0, server_list.begin_poll(1.0), SERVERS)
    assert server_list.due(41.0, later_turn)
    fresh = polled(at=41.0)
    assert not fresh.due(41.0 + fresh.timing.interval(fresh.cost) / 2, lambda: 0)
    assert not fresh.due(41.0 + fresh.timing.poll_age(1, fresh.cost) / 2, lambda: 1)
