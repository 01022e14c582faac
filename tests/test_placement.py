"""Membership of the core: two losses with a repair between them, orderly shutdowns, and restored copies."""

from collections import Counter
from collections.abc import Callable
from itertools import combinations_with_replacement, product
from typing import Any

import pytest

from millfront.membership import gossip
from millfront.membership.gossip import TICK_S, UNREACHABLE_TICKS
from millfront.register import placement, reconfiguration
from millfront.register.placement import Seat, choose_members, min_members
from millfront.register.recovery import Recovery
from millfront.register.replica import ReplicaState
from millfront.register.values import Core, write_quorum
from tests.system_world import Node, World, acknowledged, document, members, voting

SYNC_TIME_S = 4.0  # a returned or new machine counts as repaired this long after its start


def started_world(n: int = 7, disks: int = 4, seed: int = 1, spares: int = 0) -> World:
    world = World(n, disks, seed, spares=spares).start().run(4.0)
    answers = world.put(n - 1, document(1))
    world.run(1.0)
    assert answers[0][0] == 200
    return world


def wait_for_exit(world: World, *nodes: Node) -> None:
    while any(node.gatekeeper is not None for node in nodes):
        world.run(0.1)


def update_seeds(world: World) -> None:
    """Set the seeds of machines that start from now on to machines that are up."""
    world.seeds = tuple(f"{node.ip}:81" for node in reversed(world.nodes) if node.gatekeeper is not None)[:3]


def nodes_with_version(world: World, version: int) -> set[int]:
    return {
        node.number
        for node in world.nodes
        if (held := (node.disk or {}).get("config")) and held.version >= version
    }


# ---- two losses, with a repair between them --------------------------------------------------------

REPAIRS = {
    "wipe": ("recovered",),
    "dark": ("replaced", "relieved", "back"),
    "leave": ("replaced", "handed over", "back"),
}
VICTIMS = ("another holder", "one that lagged", "the repaired one")
REMOVAL_DELAY_S = 8.0
Sequence = tuple[int, str, str, str, str]


def sequences() -> list[Sequence]:
    """Size, first loss, repair, second loss, victim of the second loss."""
    found = []
    for size, first, second, victim in product((3, 4, 5, 6), REPAIRS, REPAIRS, VICTIMS):
        for repair in REPAIRS[first]:
            shrunk = repair in ("relieved", "handed over")
            if not (shrunk and victim == "the repaired one"):
                found.append((size, first, repair, second, victim))
    return found


def lose_node(world: World, node: Node, kind: str) -> None:
    """A wiped machine restarts by itself; one that is dark or has left stays down."""
    if kind == "wipe":
        node.wipe()
        return
    world.spares.add(node.number)
    if kind == "dark":
        node.kill()
    else:
        node.leave()
        wait_for_exit(world, node)


def repair_node(world: World, node: Node, repair: str) -> Node:
    """Run until the loss counts as repaired; returns the machine that is now the member."""
    spare = world.nodes[-1]
    match repair:
        case "recovered" | "back":
            world.run(1.0)
            update_seeds(world)
            node.start()
        case "replaced":
            world.run(1.0)
            update_seeds(world)
            spare.start()
        case "relieved":
            world.run(REMOVAL_DELAY_S + UNREACHABLE_TICKS * TICK_S + 1.0)
    world.spares -= {n.number for n in world.nodes if n.gatekeeper is not None}
    world.run(SYNC_TIME_S)
    return spare if repair == "replaced" else node


def run_sequence(sequence: Sequence, seed: int = 1) -> str:
    """The property that is violated, or an empty string. A version is acknowledged by exactly W replicas, one
    of which is lost first; with a second wipe all other machines lose power."""
    size, first, repair, second, victim = sequence
    world = started_world(size + 2, size, seed, spares=1)
    holders, lag = list(range(write_quorum(size))), set(range(write_quorum(size), size))
    cut = True
    world.cut = lambda a, b: cut and bool(lag & {a.number, b.number})
    answers = world.put(size, document(2))
    while not answers:
        world.run(0.005)
    cut = False
    assert answers[0][0] == 200
    node = world.nodes[holders[0]]
    lose_node(world, node, first)
    repaired = repair_node(world, node, repair)
    others = {"another holder": world.nodes[holders[1]], "one that lagged": world.nodes[min(lag)]}
    second_lost = others.get(victim, repaired)
    lose_node(world, second_lost, second)
    if second == "wipe":
        world.power_off()
    world.run(6.0)
    answer = world.read(size)
    if answer is None:  # too few are left: check that the version is there once the first is back
        node.start()
        world.run(6.0)
        answer = world.read(size)
        return "waits for the first" if answer and int(answer["revision"], 16) >= 2 else "lost"
    if int(answer["revision"], 16) < 2:
        return "lost"
    return "" if acknowledged(world, size + 1, 9) else "no majority"


def not_tolerated(sequence: Sequence) -> bool:
    """Two of three are down and none was replaced, which is not tolerated."""
    return sequence[0] == 3 and sequence[2] in ("relieved", "handed over")


@pytest.mark.parametrize("first", REPAIRS)
@pytest.mark.parametrize("size", [3, 4])
def test_two_losses_with_a_repair_between_them_lose_nothing_and_the_rest_goes_on(
    size: int, first: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Results for sizes 5 and 6 and for more seeds are in docs/design/register.md."""
    monkeypatch.setattr(reconfiguration, "REMOVAL_DELAY_S", REMOVAL_DELAY_S)
    for sequence in sequences():
        if sequence[:2] == (size, first):
            assert run_sequence(sequence) == ("waits for the first" if not_tolerated(sequence) else ""), (
                sequence
            )


# ---- choice of the next members, in every state ------------------------------------------------------


State = tuple[dict[str, str], dict[str, Seat], dict[str, str], set[str], int]


def all_states() -> list[State]:
    """Cores of 3 to 6 members, each in any state, with up to three processes that joined."""
    found = []
    for size, new, lost, recent in product((3, 4, 5, 6), range(4), range(3), (False, True)):
        names = "abcdef"[:size]
        fresh = set("xyz"[:new]) if recent else set()
        for seats in combinations_with_replacement(Seat, size):
            seats_by_name = dict(zip(names, seats, strict=True))
            found.append(
                (dict.fromkeys(names, ""), seats_by_name, dict.fromkeys("xyz"[:new], ""), fresh, lost)
            )
    return found


def broken_rule(
    core: dict[str, str], seats: dict[str, Seat], joined: dict[str, str], recent: set[str], lost: int
) -> str:
    """The rule that the choice of members breaks, or an empty string."""
    chosen = choose_members(core, seats, joined, recent, lost).members
    if chosen == core:
        return ""
    count = Counter(seats[name] for name in chosen if name in core)
    sound, votes = count[Seat.SOUND], count[Seat.SOUND] + count[Seat.LEAVING]
    voters = [n for n in core if seats[n] in (Seat.SOUND, Seat.BEHIND, Seat.LEAVING)]
    if not Core(0, core).is_write_quorum(voters):
        return "decides without a majority"
    if len(chosen) < min(len(core), min_members(lost)):
        return "too few are left"
    if votes < write_quorum(len(chosen)):
        return "no majority if the new members fail at once"
    if any(seats[name] in (Seat.SOUND, Seat.BEHIND) and name not in chosen for name in core):
        return "a member that is up is removed"
    all_sound = sum(seat is Seat.SOUND for seat in seats.values())
    majorities = [
        sum(s is Seat.SOUND for s in seats.values()) >= write_quorum(len(c)) for c in (core, chosen)
    ]
    if majorities[0] and not majorities[1]:
        return "the sound members had a majority, and have none"
    if lost < min_members(lost) and all_sound >= lost + 1 and sound < lost + 1:
        return "fewer full copies than hosts_lost + 1"
    if any(seats[n] is Seat.DARK and n not in chosen for n in core) and votes >= write_quorum(
        len(chosen) + 1
    ):
        return "a dark member is removed without need"
    # The next choice, once the new members have recovered, must not remove one that was just added
    later = {name: seats.get(name, Seat.SOUND) for name in chosen}
    rest = {name: address for name, address in joined.items() if name not in chosen}
    next_chosen = choose_members(chosen, later, rest, recent, lost).members
    if any(name in chosen and name not in next_chosen and later[name] is Seat.SOUND for name in chosen):
        return "a member is added and removed again"
    return ""


def first_broken_rule() -> str:
    return next((text for state in all_states() if (text := broken_rule(*state))), "")


def test_no_state_of_a_core_of_three_to_six_leads_to_a_core_that_bears_less_than_it_must() -> None:
    assert len(all_states()) == 21_504
    assert first_broken_rule() == ""


def counts_new_members_as_voters(monkeypatch: pytest.MonkeyPatch) -> None:
    """A process that has just joined is counted as a voter."""
    original = placement._candidate

    def candidate(members: Any, seats: Any, joined: Any, *counts: int) -> Any:
        seats.update(dict.fromkeys(joined, Seat.SOUND))
        return original(members, seats, joined, *counts)

    monkeypatch.setattr(placement, "_candidate", candidate)


def allows_small_core(monkeypatch: pytest.MonkeyPatch) -> None:
    """A core may shrink to as few members as are sound."""
    monkeypatch.setattr(placement, "min_members", lambda hosts_lost: 1)


@pytest.mark.parametrize("fault", [counts_new_members_as_voters, allows_small_core])
def test_a_planted_fault_in_the_choice_is_found(
    fault: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    fault(monkeypatch)
    assert first_broken_rule()


# ---- whole gatekeepers -------------------------------------------------------------------------------------


def lacks_majority(world: World) -> bool:
    """Whether no majority of the newest core votes."""
    cores = [
        gatekeeper.subscriber.core
        for gatekeeper in world.gatekeepers()
        if gatekeeper.subscriber.core is not None
    ]
    core = max(cores, key=lambda core: core.epoch)
    return not core.is_write_quorum(node.name for node in world.nodes if voting(node))


def epoch(world: World) -> int:
    return max(o.subscriber.core.epoch for o in world.gatekeepers() if o.subscriber.core is not None)


def majority_throughout(world: World, seconds: float) -> bool:
    """Whether there was a majority all the time."""
    had_majority = True
    for _ in range(int(seconds * 10)):
        world.run(0.1)
        had_majority = had_majority and not lacks_majority(world)
    return had_majority


def leave_and_wait(world: World, *nodes: Node) -> bool:
    had_majority = True
    for node in nodes:
        node.leave()
    while any(node.gatekeeper is not None for node in nodes):
        had_majority = majority_throughout(world, 0.1) and had_majority
    return had_majority


def test_all_core_machines_are_removed_in_turn_while_spares_join() -> None:
    world = started_world(spares=4)
    for number in range(4):
        update_seeds(world)
        world.nodes[7 + number].start()
        assert leave_and_wait(world, world.nodes[number]), "no majority"
        world.nodes[number].disk = {}
        assert acknowledged(world, 5, number + 2)
    assert majority_throughout(world, 8.0)
    assert members(world) == {(7, 8, 9, 10)} and world.read(6)["revision"] == "00000005"


def test_all_core_machines_but_the_fewest_are_removed_in_turn_without_spares() -> None:
    world = started_world(8, 6)
    for number in range(3):
        assert leave_and_wait(world, world.nodes[number])
        world.nodes[number].disk = {}
        assert acknowledged(world, 7, number + 2)
    assert members(world) == {(3, 4, 5)}
    world.nodes[3].kill()
    assert acknowledged(world, 7, 9)


@pytest.mark.parametrize("together", [1, 2])
@pytest.mark.parametrize("gap", [1.0, 3.0])
def test_a_rolling_restart_keeps_a_majority_and_changes_the_core_once_or_twice_a_machine(
    gap: float, together: int
) -> None:
    world = started_world()
    for first in range(0, 4, together):
        nodes = world.nodes[first : first + together]
        assert leave_and_wait(world, *nodes), "no majority"
        assert majority_throughout(world, gap)
        for node in nodes:
            node.start()
        assert majority_throughout(world, gap)
        assert acknowledged(world, 5, first + 2)
    assert majority_throughout(world, 10.0)
    assert members(world) == {(0, 1, 2, 3)} and world.read(5)["revision"] == f"{first + 2:08x}"
    assert epoch(world) <= 2 + 2 * (1 + 4), "the core changed more than once a machine and once more"


def test_the_only_copies_leave_and_what_they_had_stays() -> None:
    world, cut = started_world(), True
    world.cut = lambda a, b: cut and 3 in (a.number, b.number)
    answers = world.put(5, document(7))
    while not answers:
        world.run(0.005)
    cut = False
    assert answers[0][0] == 200 and nodes_with_version(world, 7) == {0, 1, 2}
    assert leave_and_wait(world, world.nodes[0], world.nodes[1])
    for number in (0, 1, 2):
        world.nodes[number].wipe()
    world.nodes[2].start()
    world.run(3.0)
    assert nodes_with_version(world, 7) >= {3}


def test_the_coordinator_leaves_and_another_changes_the_core() -> None:
    world = started_world()
    gatekeeper = world.nodes[0].gatekeeper
    assert gatekeeper is not None and gatekeeper.subscriber.core is not None
    coordinator = gatekeeper.reconfiguration.coordinator_of(gatekeeper.subscriber.core)
    node = next(node for node in world.nodes if node.name == coordinator)
    node.leave()
    world.run(0.1)
    node.kill()  # shortly after it announced that it leaves
    assert majority_throughout(world, 1.5)
    assert members(world) == {tuple(n for n in range(4) if n != node.number)} and epoch(world) == 4


def test_a_seat_that_nobody_can_take_waits_for_a_successor_and_why_is_said() -> None:
    world = started_world(5, 3, spares=1)
    node = world.nodes[1]
    node.leave()
    world.run(2.5)
    assert members(world) == {(0, 1, 2)} and node.gatekeeper is not None
    assert "waits for a successor to take its seat before it exits" in [
        page["text"] for page in node.gatekeeper.event_log.entries(node.now(), "register")
    ]
    world.nodes[5].start()
    wait_for_exit(world, node)
    assert members(world) == {(0, 2, 5)}
    world.run(2.0)
    world.nodes[0].kill()
    assert acknowledged(world, 4, 3)


SOON_S = 3.2  # from SIGTERM: 2.8 s in which a process serves its clients, and some checks
GRACE_ENDS_S = 5.6


def exit_time(world: World, node: Node) -> float:
    began = world.env.now
    node.leave()
    wait_for_exit(world, node)
    return float(world.env.now - began)


@pytest.mark.parametrize("seed", range(4))
def test_one_of_three_without_a_spare_ends_as_soon_as_its_clients_are_served(seed: int) -> None:
    world = started_world(5, 3, seed)
    world.loss = 0.02 * seed
    node = world.nodes[1]
    assert exit_time(world, node) < SOON_S
    assert members(world) == {(0, 1, 2)} and nodes_with_version(world, 1) == {0, 1, 2}
    assert acknowledged(world, 4, 2)
    node.start()
    assert majority_throughout(world, 5.0)
    assert nodes_with_version(world, 2) == {0, 1, 2} and world.read(3)["revision"] == "00000002"


@pytest.mark.parametrize("seed", range(3))
def test_one_of_three_that_ends_while_orders_are_under_way_loses_nothing_that_was_acknowledged(
    seed: int,
) -> None:
    world = started_world(5, 3, seed)
    world.nodes[1].leave()
    version = 1
    while world.nodes[1].gatekeeper is not None:
        answers = world.put(4, document(version + 1))
        while not answers:
            world.run(0.005)
        assert answers[0][0] == 200
        version += 1
    assert version > 10 and int(world.read(3)["revision"], 16) == version
    world.power_off()
    world.run(6.0)
    assert int(world.read(3)["revision"], 16) == version


def test_one_of_three_stays_to_the_end_of_the_grace_while_the_others_lack_what_it_has() -> None:
    world, cut = started_world(5, 3), True
    world.cut = lambda a, b: cut and 2 in (a.number, b.number)
    answers = world.put(4, document(7))
    world.run(4.0)
    assert answers[0][0] == 200 and nodes_with_version(world, 7) == {0, 1}
    assert exit_time(world, world.nodes[1]) > GRACE_ENDS_S


def test_one_of_three_hears_from_others_of_a_successor_that_knows_them_alone() -> None:
    world = started_world(5, 3, spares=1)
    world.seeds = (f"{world.nodes[0].ip}:81", f"{world.nodes[2].ip}:81")
    node = world.nodes[1]
    node.leave()
    world.run(0.5)
    world.nodes[5].start()
    wait_for_exit(world, node)
    assert members(world) == {(0, 2, 5)}


def change_in_progress(world: World) -> bool:
    return any(
        gatekeeper.reconfiguration.change is not reconfiguration.Change.NONE
        for gatekeeper in world.gatekeepers()
    )


def hand_over_fault(late: float, seed: int, lag: float) -> str:
    """A successor starts `late` seconds after SIGTERM and is known to all but the leaving process. Returns
    the property that is violated: during a change the process does not exit before it is removed or the
    grace period is over."""
    world = started_world(5, 3, seed, spares=1)
    world.seeds = (f"{world.nodes[0].ip}:81", f"{world.nodes[2].ip}:81")
    world.nodes[0].extra_delay_s = world.nodes[2].extra_delay_s = lag
    node, began, began_at = world.nodes[1], world.env.now, epoch(world)
    node.leave()
    world.run(late)
    world.nodes[5].start()
    changing = False
    while node.gatekeeper is not None:  # one event at a time, for the state when the process exited
        core = node.gatekeeper.subscriber.core
        changing = core is not None and node.name in core.all_members and change_in_progress(world)
        world.env.step()
    if changing and world.env.now - began < GRACE_ENDS_S:
        return "exits while its successor is being added"
    if late <= HEARD_S and epoch(world) == began_at:
        return "exits before its successor is added"
    world.run(8.0)
    if members(world) != {(0, 2, 5)}:
        return f"no successor: {members(world)}"
    if world.read(4)["revision"] != "00000001":
        return "lost"
    world.nodes[0].kill()
    return "" if acknowledged(world, 4, 3) else "no majority"


# A process exits 2.8 s after SIGTERM at the earliest. Before that, a start takes a tick (0.25 s) until all
# know it, the leaving process asks each member every 0.52 s at most, and an answer takes two trips of up to
# 0.04 s and the lags of both ends
HEARD_S = 1.9
LATE = [0.1, 0.6, 1.1, 1.4, *(1.5 + 0.05 * step for step in range(17)), 2.5, 2.7, 2.9]


@pytest.mark.parametrize(("seed", "lag"), [(0, 0.0), (1, 0.05)])
def test_no_member_exits_while_its_successor_is_being_added(seed: int, lag: float) -> None:
    found = {late: fault for late in LATE if (fault := hand_over_fault(late, seed, lag))}
    assert not found


def test_one_that_does_not_look_for_its_successor_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        reconfiguration.Reconfiguration, "_may_be_replaced", lambda self, core, replica: False
    )
    found = {fault for late in LATE if (fault := hand_over_fault(late, 1, 0.05))}
    assert found >= {"exits while its successor is being added", "exits before its successor is added"}


def test_one_that_joins_in_place_of_a_dark_one_and_dies_at_once_leaves_a_majority() -> None:
    world = started_world(5, 3, spares=1)
    world.nodes[1].kill()
    world.run(5.0)
    world.nodes[5].start()
    while not any(5 in core for core in members(world)):
        world.run(0.01)
    world.nodes[5].kill()
    world.run(8.0)
    assert members(world) == {(0, 2, 5)} and acknowledged(world, 4, 3)


def test_a_successor_of_one_not_known_to_be_dark_yet_makes_no_even_core() -> None:
    world = started_world(5, 3, spares=1)
    world.nodes[5].start()
    world.run(1.0)
    world.nodes[2].kill()  # not the coordinator
    world.run(7.0)
    assert members(world) == {(0, 1, 5)}
    world.nodes[0].kill()
    assert acknowledged(world, 4, 3)


def test_a_replica_that_was_cut_off_has_all_again_without_an_operators_change() -> None:
    world, cut = started_world(), True
    world.cut = lambda a, b: cut and 3 in (a.number, b.number)
    assert acknowledged(world, 5, 7) and nodes_with_version(world, 7) == {0, 1, 2}
    cut = False
    world.run(3.0)
    assert nodes_with_version(world, 7) == {0, 1, 2, 3}


def test_a_replica_that_votes_before_it_holds_anything_is_no_copy() -> None:
    """At the first start a replica is cut off from all updates until the others have a version."""
    world = World(7, 4)
    apart = True
    world.cut = lambda a, b: apart and 3 in (a.number, b.number)
    world.start().run(5.0)
    assert acknowledged(world, 5, 2)
    apart = False
    node, counted = world.nodes[3], []
    for _ in range(80):
        world.run(0.1)
        if node.gatekeeper is not None and node.gatekeeper.reconfiguration.has_full_copy():
            counted.append(3 in nodes_with_version(world, 2))
    assert counted and all(counted) and members(world) == {(0, 1, 2, 3)}


def test_an_added_member_is_behind_until_it_has_recovered() -> None:
    world = started_world(spares=1)
    node, seen = world.nodes[7], []
    node.start()
    while not voting(node):
        world.run(0.05)
        for other in world.nodes[:4]:
            assert other.gatekeeper is not None and other.gatekeeper.subscriber.core is not None
            seats = other.gatekeeper.reconfiguration._seats(other.now(), other.gatekeeper.subscriber.core)
            seen.append(seats.get(node.name, Seat.BEHIND))
            assert node.gatekeeper is not None and node.gatekeeper.replica is not None
            assert node.gatekeeper.replica.state is not ReplicaState.NEW
    assert set(seen) <= {Seat.BEHIND, Seat.DARK}


# ---- planted faults: one rule is disabled ---------------------------------------------------------------


def takes_leaving_for_dark(monkeypatch: pytest.MonkeyPatch) -> None:
    """A leaving member is handled like a dark one, as in earlier versions."""
    monkeypatch.setattr(reconfiguration.Reconfiguration, "leave", lambda self, now: None)


def exits_without_successor(monkeypatch: pytest.MonkeyPatch) -> None:
    """A leaving process does not wait for its successor."""
    monkeypatch.setattr(reconfiguration.Reconfiguration, "may_exit", lambda self, now: True)


def does_not_catch_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replicas catch up only with the next write, as in earlier versions."""
    monkeypatch.setattr(Recovery, "missing_values", lambda self: {})


def takes_voter_for_copy(monkeypatch: pytest.MonkeyPatch) -> None:
    """Every voter is counted as a full copy."""
    monkeypatch.setattr(
        reconfiguration.Reconfiguration,
        "has_full_copy",
        lambda self: self.gatekeeper.replica is not None and self.gatekeeper.replica.votes,
    )


def takes_leaving_for_dark_and_does_not_catch_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """A leaving member is handled like a dark one, and replicas catch up only with the next write."""
    takes_leaving_for_dark(monkeypatch)
    does_not_catch_up(monkeypatch)


def keeps_ownership_while_leaving(monkeypatch: pytest.MonkeyPatch) -> None:
    """A leaving process keeps the ownership of core changes."""
    original = gossip.owners
    monkeypatch.setattr(
        reconfiguration.Reconfiguration,
        "coordinator_of",
        lambda self, core: original("core", list(core.all_members))[0],
    )


def adds_successor_late(monkeypatch: pytest.MonkeyPatch) -> None:
    """A successor is added after 5 s, as in earlier versions."""
    monkeypatch.setattr(reconfiguration, "JOIN_DELAY_S", 5.0)


def adds_without_gain(monkeypatch: pytest.MonkeyPatch) -> None:
    """A process that joined is added at once even if that gains no vote."""
    monkeypatch.setattr(reconfiguration, "NO_GAIN_JOIN_DELAY_S", 0.0)


FAULTS: list[tuple[Callable[[pytest.MonkeyPatch], None], Callable[[], None]]] = [
    (takes_leaving_for_dark, test_all_core_machines_are_removed_in_turn_while_spares_join),
    (takes_leaving_for_dark, test_all_core_machines_but_the_fewest_are_removed_in_turn_without_spares),
    (exits_without_successor, test_a_seat_that_nobody_can_take_waits_for_a_successor_and_why_is_said),
    (takes_leaving_for_dark_and_does_not_catch_up, test_the_only_copies_leave_and_what_they_had_stays),
    (does_not_catch_up, test_a_replica_that_was_cut_off_has_all_again_without_an_operators_change),
    (takes_voter_for_copy, test_a_replica_that_votes_before_it_holds_anything_is_no_copy),
    (keeps_ownership_while_leaving, test_the_coordinator_leaves_and_another_changes_the_core),
    (adds_without_gain, test_a_successor_of_one_not_known_to_be_dark_yet_makes_no_even_core),
    (adds_successor_late, test_a_seat_that_nobody_can_take_waits_for_a_successor_and_why_is_said),
]


@pytest.mark.parametrize(("fault", "test"), FAULTS)
def test_a_rule_that_is_taken_away_is_missed(
    fault: Callable[[pytest.MonkeyPatch], None], test: Callable[[], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    fault(monkeypatch)
    with pytest.raises(AssertionError):
        test()
