"""A member that has exited must not be named to clients any more, while processes forget it, receive old
records of it from others, start without state, or were cut off or frozen while it exited."""

import pytest

from millfront.discovery.server_list import ServerList
from millfront.membership.gossip import FORGET_S
from millfront.register.reconfiguration import REMOVAL_DELAY_S
from tests.system_world import Node, World, document, members

MAX_NAMED_S = 7.0  # `contact` and 3 s: how long after its exit a member may still be named
CHECK_S = 0.25


def serving(seed: int) -> World:
    """A fleet in which every process is ready, so that the directory names it."""
    world = World(11, 4, seed).start().run(6.0)
    world.put(5, document(1))
    return world.run(3.0)


def names(node: Node, gone: Node) -> bool:
    """Whether this process sends clients of either region to the member that is gone."""
    gatekeeper = node.gatekeeper
    if gatekeeper is None or node.backlog is not None:
        return False
    return any(gone.plain in gatekeeper.resolve(node.now(), region) for region in ("a", "b"))


def who_names(world: World, gone: Node, seconds: float) -> dict[str, float]:
    """Processes that name the member within so many seconds, with the time of the first occurrence."""
    found: dict[str, float] = {}
    ends = world.env.now + seconds
    while world.env.now < ends:
        world.run(CHECK_S)
        for node in world.nodes:
            if names(node, gone):
                found.setdefault(node.name, round(float(world.env.now), 2))
    return found


@pytest.mark.parametrize("seed", [1, 3, 6])
def test_a_member_that_processes_forget_at_different_times_does_not_return(seed: int) -> None:
    world = serving(seed)
    gone = world.nodes[0]
    gone.kill()
    world.run(MAX_NAMED_S)
    assert who_names(world, gone, 2.0 * FORGET_S + 10.0) == {}
    left = [gatekeeper for gatekeeper in world.gatekeepers() if gone.name in gatekeeper.membership.records]
    assert left == []


@pytest.mark.parametrize("after", [8.0, 30.0, 55.0])
def test_a_process_that_starts_names_no_member_that_exited_before(after: float) -> None:
    world = serving(2)
    gone = world.nodes[7]
    gone.kill()
    world.run(after)
    for number in (1, 5, 10):  # with a disk, and without one in each region
        world.nodes[number].kill()
        world.run(0.5)
        world.nodes[number].start()
    assert who_names(world, gone, 6.0) == {}


def test_a_partition_that_heals_names_no_member_that_exited_meanwhile() -> None:
    """The others hold a newer record of it than the part that was cut off, but one from before its exit."""
    world = serving(4)
    gone, cut_off = world.nodes[4], {1, 9}
    world.cut = lambda a, b: (a.number in cut_off) != (b.number in cut_off)
    world.run(3.0)
    gone.kill()
    world.run(8.0)
    world.cut = lambda a, b: False
    assert who_names(world, gone, 10.0) == {}


def test_a_process_that_was_frozen_names_no_member_that_exited_meanwhile() -> None:
    """Records in its receive buffers were written before the exit, and are read long after it."""
    world = serving(5)
    gone, frozen = world.nodes[6], world.nodes[10]
    frozen.freeze()
    world.run(3.0)
    gone.kill()
    world.run(8.0)
    frozen.thaw()
    world.run(0.3)
    assert frozen.gatekeeper is not None
    assert frozen.gatekeeper.resolve(frozen.now(), "a") == []  # it has not heard of any member again yet
    assert who_names(world, gone, 10.0) == {}
    others = [node.plain for node in world.nodes if node.zone[0] == "b" and node is not gone]
    assert frozen.gatekeeper.resolve(frozen.now(), "b") == sorted(others)


@pytest.mark.parametrize("seed", [1, 3])
def test_a_core_member_that_is_gone_for_good_is_removed_though_all_have_forgotten_it(seed: int) -> None:
    """Fault guarded against: each return by an old record counted as heard of, and postponed its removal."""
    world = World(11, 4, seed, spares=1).start().run(9.0)
    world.nodes[0].kill()
    world.run(REMOVAL_DELAY_S + 20.0)
    assert members(world) == {(1, 2, 3)}


SERVERS = [["i-1", "shop", "10.0.2.1:80", "aa", 3, 0, 0.0]]


def later_position() -> int:
    """The position of a process that polls the platform if three others have not."""
    return 3


def polled(at: float) -> ServerList:
    """A list that was read from the platform at that time."""
    server_list = ServerList()
    server_list.poll_succeeded(at + 0.1, server_list.begin_poll(at), SERVERS)
    return server_list


def test_a_list_that_is_handed_over_keeps_its_age() -> None:
    old = polled(at=10.0)
    new = ServerList()
    assert new.handle_list(40.0, old.full_list(40.0))
    assert new.has_list() and new.due(40.0, later_position)
    new.handle_list(10.5, old.full_list(10.5))  # the same list received again does not renew it
    assert new.due(40.0, later_position)


def test_the_platforms_answer_is_as_old_as_the_request() -> None:
    """A process that was paused between request and answer reads an old answer."""
    server_list = ServerList()
    server_list.poll_succeeded(41.0, server_list.begin_poll(1.0), SERVERS)
    assert server_list.due(41.0, later_position)
    fresh = polled(at=41.0)
    assert not fresh.due(41.0 + fresh.timing.interval(fresh.cost) / 2, lambda: 0)
    assert not fresh.due(41.0 + fresh.timing.poll_age(1, fresh.cost) / 2, lambda: 1)
