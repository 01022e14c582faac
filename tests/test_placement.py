"""Seats of the core: two losses with a repair between them, ends in order, copies that return to all."""

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

SYNC_TIME_S = 4.0  # after the start of who returned or is new it is no loss any more


def founded(n: int = 7, disks: int = 4, seed: int = 1, spares: int = 0) -> World:
    world = World(n, disks, seed, spares=spares).start().run(4.0)
    answers = world.put(n - 1, document(1))
    world.run(1.0)
    assert answers[0][0] == 200
    return world


def gone(world: World, *nodes: Node) -> None:
    while any(node.gatekeeper is not None for node in nodes):
        world.run(0.1)


def hears(world: World) -> None:
    """The settings of whoever starts from now on name machines that are up."""
    world.seeds = tuple(f"{node.ip}:81" for node in reversed(world.nodes) if node.gatekeeper is not None)[:3]


def copies(world: World, version: int) -> set[int]:
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
RELIEVED_S = 8.0
Sequence = tuple[int, str, str, str, str]


def sequences() -> list[Sequence]:
    """Size, first loss, repair, second loss, whom the second hits."""
    found = []
    for size, first, second, victim in product((3, 4, 5, 6), REPAIRS, REPAIRS, VICTIMS):
        for repair in REPAIRS[first]:
            shrunk = repair in ("relieved", "handed over")
            if not (shrunk and victim == "the repaired one"):
                found.append((size, first, repair, second, victim))
    return found


def loses(world: World, node: Node, kind: str) -> None:
    """A wiped one starts anew by itself; who is dark or has left stays away."""
    if kind == "wipe":
        node.wipe()
        return
    world.spares.add(node.number)
    if kind == "dark":
        node.kill()
    else:
        node.leave()
        gone(world, node)


def mended(world: World, node: Node, repair: str) -> Node:
    """Until the operators' pages no longer count it as lost; who has the seat."""
    spare = world.nodes[-1]
    match repair:
        case "recovered" | "back":
            world.run(1.0)
            hears(world)
            node.start()
        case "replaced":
            world.run(1.0)
            hears(world)
            spare.start()
        case "relieved":
            world.run(RELIEVED_S + UNREACHABLE_TICKS * TICK_S + 1.0)
    world.spares -= {n.number for n in world.nodes if n.gatekeeper is not None}
    world.run(SYNC_TIME_S)
    return spare if repair == "replaced" else node


def play(sequence: Sequence, seed: int = 1) -> str:
    """What does not hold, or nothing. A version is acknowledged by just W replicas, of whom the first loss
    is; with a second wipe all other machines lose power."""
    size, first, repair, second, victim = sequence
    world = founded(size + 2, size, seed, spares=1)
    holders, lag = list(range(write_quorum(size))), set(range(write_quorum(size), size))
    cut = True
    world.cut = lambda a, b: cut and bool(lag & {a.number, b.number})
    answers = world.put(size, document(2))
    while not answers:
        world.run(0.005)
    cut = False
    assert answers[0][0] == 200
    node = world.nodes[holders[0]]
    loses(world, node, first)
    repaired = mended(world, node, repair)
    others = {"another holder": world.nodes[holders[1]], "one that lagged": world.nodes[min(lag)]}
    struck = others.get(victim, repaired)
    loses(world, struck, second)
    if second == "wipe":
        world.power_off()
    world.run(6.0)
    told = world.read(size)
    if told is None:  # too few are left: whether it is there once the first is back
        node.start()
        world.run(6.0)
        told = world.read(size)
        return "waits for the first" if told and int(told["revision"], 16) >= 2 else "lost"
    if int(told["revision"], 16) < 2:
        return "lost"
    return "" if acknowledged(world, size + 1, 9) else "no majority"


def alone(sequence: Sequence) -> bool:
    """Two of three are away and nobody took a seat: what is not borne."""
    return sequence[0] == 3 and sequence[2] in ("relieved", "handed over")


@pytest.mark.parametrize("first", REPAIRS)
@pytest.mark.parametrize("size", [3, 4])
def test_two_losses_with_a_repair_between_them_lose_nothing_and_the_rest_goes_on(
    size: int, first: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Sizes 5 and 6, and more seeds: docs/design/register.md."""
    monkeypatch.setattr(reconfiguration, "REMOVAL_DELAY_S", RELIEVED_S)
    for sequence in sequences():
        if sequence[:2] == (size, first):
            assert play(sequence) == ("waits for the first" if alone(sequence) else ""), sequence


# ---- whom the next core is to have: every state ------------------------------------------------------


State = tuple[dict[str, str], dict[str, Seat], dict[str, str], set[str], int]


def states() -> list[State]:
    """Cores of 3 to 6 in which each member stands in any way, with up to three who joined."""
    found = []
    for size, new, lost, young in product((3, 4, 5, 6), range(4), range(3), (False, True)):
        names = "abcdef"[:size]
        fresh = set("xyz"[:new]) if young else set()
        for stands in combinations_with_replacement(Seat, size):
            stand = dict(zip(names, stands, strict=True))
            found.append((dict.fromkeys(names, ""), stand, dict.fromkeys("xyz"[:new], ""), fresh, lost))
    return found


def wrong(
    core: dict[str, str], stands: dict[str, Seat], joined: dict[str, str], young: set[str], lost: int
) -> str:
    """Which rule the choice breaks."""
    to = choose_members(core, stands, joined, young, lost).members
    if to == core:
        return ""
    count = Counter(stands[name] for name in to if name in core)
    sound, votes = count[Seat.SOUND], count[Seat.SOUND] + count[Seat.LEAVING]
    voters = [n for n in core if stands[n] in (Seat.SOUND, Seat.BEHIND, Seat.LEAVING)]
    if not Core(0, core).is_write_quorum(voters):
        return "decides without a majority"
    if len(to) < min(len(core), min_members(lost)):
        return "too few are left"
    if votes < write_quorum(len(to)):
        return "no majority if who joined dies at once"
    if any(stands[name] in (Seat.SOUND, Seat.BEHIND) and name not in to for name in core):
        return "one that is there loses its seat"
    all_sound = sum(stand is Seat.SOUND for stand in stands.values())
    bears = [sum(s is Seat.SOUND for s in stands.values()) >= write_quorum(len(c)) for c in (core, to)]
    if bears[0] and not bears[1]:
        return "who stays had a majority, and has none"
    if lost < min_members(lost) and all_sound >= lost + 1 and sound < lost + 1:
        return "fewer copies than may be lost"
    if any(stands[n] is Seat.DARK and n not in to for n in core) and votes >= write_quorum(len(to) + 1):
        return "a dark one loses its seat without need"
    # What is chosen next, once who joined has recovered, gives nobody's seat away that was just given
    later = {name: stands.get(name, Seat.SOUND) for name in to}
    rest = {name: address for name, address in joined.items() if name not in to}
    again = choose_members(to, later, rest, young, lost).members
    if any(name in to and name not in again and later[name] is Seat.SOUND for name in to):
        return "a seat is given and taken"
    return ""


def first_wrong() -> str:
    return next((text for state in states() if (text := wrong(*state))), "")


def test_no_state_of_a_core_of_three_to_six_leads_to_a_core_that_bears_less_than_it_must() -> None:
    assert len(states()) == 21_504
    assert first_wrong() == ""


def untested(monkeypatch: pytest.MonkeyPatch) -> None:
    """Who has just joined is taken for one that votes."""
    whole = placement._candidate

    def named(members: Any, stands: Any, joined: Any, *counts: int) -> Any:
        stands.update(dict.fromkeys(joined, Seat.SOUND))
        return whole(members, stands, joined, *counts)

    monkeypatch.setattr(placement, "_candidate", named)


def small(monkeypatch: pytest.MonkeyPatch) -> None:
    """A core may become as small as its sound members are."""
    monkeypatch.setattr(placement, "min_members", lambda hosts_lost: 1)


@pytest.mark.parametrize("fault", [untested, small])
def test_a_planted_fault_in_the_choice_is_found(
    fault: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    fault(monkeypatch)
    assert first_wrong()


# ---- whole gatekeepers -------------------------------------------------------------------------------------


def unmajored(world: World) -> bool:
    """Whether no majority of the newest core is up."""
    cores = [
        gatekeeper.subscriber.core
        for gatekeeper in world.gatekeepers()
        if gatekeeper.subscriber.core is not None
    ]
    core = max(cores, key=lambda core: core.epoch)
    return not core.is_write_quorum(node.name for node in world.nodes if voting(node))


def epoch(world: World) -> int:
    return max(o.subscriber.core.epoch for o in world.gatekeepers() if o.subscriber.core is not None)


def through(world: World, seconds: float) -> bool:
    """Whether there was a majority all the time."""
    whole = True
    for _ in range(int(seconds * 10)):
        world.run(0.1)
        whole = whole and not unmajored(world)
    return whole


def left(world: World, *nodes: Node) -> bool:
    whole = True
    for node in nodes:
        node.leave()
    while any(node.gatekeeper is not None for node in nodes):
        whole = through(world, 0.1) and whole
    return whole


def test_all_core_machines_are_removed_in_turn_while_spares_join() -> None:
    world = founded(spares=4)
    for number in range(4):
        hears(world)
        world.nodes[7 + number].start()
        assert left(world, world.nodes[number]), "no majority"
        world.nodes[number].disk = {}
        assert acknowledged(world, 5, number + 2)
    assert through(world, 8.0)
    assert members(world) == {(7, 8, 9, 10)} and world.read(6)["revision"] == "00000005"


def test_all_core_machines_but_the_fewest_are_removed_in_turn_without_spares() -> None:
    world = founded(8, 6)
    for number in range(3):
        assert left(world, world.nodes[number])
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
    world = founded()
    for first in range(0, 4, together):
        nodes = world.nodes[first : first + together]
        assert left(world, *nodes), "no majority"
        assert through(world, gap)
        for node in nodes:
            node.start()
        assert through(world, gap)
        assert acknowledged(world, 5, first + 2)
    assert through(world, 10.0)
    assert members(world) == {(0, 1, 2, 3)} and world.read(5)["revision"] == f"{first + 2:08x}"
    assert epoch(world) <= 2 + 2 * (1 + 4), "the core changed more than once a machine and once more"


def test_the_only_copies_leave_and_what_they_had_stays() -> None:
    world, cut = founded(), True
    world.cut = lambda a, b: cut and 3 in (a.number, b.number)
    answers = world.put(5, document(7))
    while not answers:
        world.run(0.005)
    cut = False
    assert answers[0][0] == 200 and copies(world, 7) == {0, 1, 2}
    assert left(world, world.nodes[0], world.nodes[1])
    for number in (0, 1, 2):
        world.nodes[number].wipe()
    world.nodes[2].start()
    world.run(3.0)
    assert copies(world, 7) >= {3}


def test_the_coordinator_leaves_and_another_changes_the_core() -> None:
    world = founded()
    gatekeeper = world.nodes[0].gatekeeper
    assert gatekeeper is not None and gatekeeper.subscriber.core is not None
    holder = gatekeeper.reconfiguration.coordinator_of(gatekeeper.subscriber.core)
    node = next(node for node in world.nodes if node.name == holder)
    node.leave()
    world.run(0.1)
    node.kill()  # it has hardly said so
    assert through(world, 1.5)
    assert members(world) == {tuple(n for n in range(4) if n != node.number)} and epoch(world) == 4


def test_a_seat_that_nobody_can_take_waits_for_a_successor_and_why_is_said() -> None:
    world = founded(5, 3, spares=1)
    node = world.nodes[1]
    node.leave()
    world.run(2.5)
    assert members(world) == {(0, 1, 2)} and node.gatekeeper is not None
    assert "its seat waits for a successor before it ends" in [
        page["text"] for page in node.gatekeeper.event_log.entries(node.now(), "register")
    ]
    world.nodes[5].start()
    gone(world, node)
    assert members(world) == {(0, 2, 5)}
    world.run(2.0)
    world.nodes[0].kill()
    assert acknowledged(world, 4, 3)


SOON_S = 3.2  # from SIGTERM: the 2.9 s that a process takes for its clients, and some looks
GRACE_ENDS_S = 5.6


def ends_after(world: World, node: Node) -> float:
    began = world.env.now
    node.leave()
    gone(world, node)
    return float(world.env.now - began)


@pytest.mark.parametrize("seed", range(4))
def test_one_of_three_without_a_spare_ends_as_soon_as_its_clients_are_served(seed: int) -> None:
    world = founded(5, 3, seed)
    world.loss = 0.02 * seed
    node = world.nodes[1]
    assert ends_after(world, node) < SOON_S
    assert members(world) == {(0, 1, 2)} and copies(world, 1) == {0, 1, 2}
    assert acknowledged(world, 4, 2)
    node.start()
    assert through(world, 5.0)
    assert copies(world, 2) == {0, 1, 2} and world.read(3)["revision"] == "00000002"


@pytest.mark.parametrize("seed", range(3))
def test_one_of_three_that_ends_while_orders_are_under_way_loses_nothing_that_was_acknowledged(
    seed: int,
) -> None:
    world = founded(5, 3, seed)
    world.nodes[1].leave()
    told = 1
    while world.nodes[1].gatekeeper is not None:
        answers = world.put(4, document(told + 1))
        while not answers:
            world.run(0.005)
        assert answers[0][0] == 200
        told += 1
    assert told > 10 and int(world.read(3)["revision"], 16) == told
    world.power_off()
    world.run(6.0)
    assert int(world.read(3)["revision"], 16) == told


def test_one_of_three_stays_to_the_end_of_the_grace_while_the_others_lack_what_it_has() -> None:
    world, cut = founded(5, 3), True
    world.cut = lambda a, b: cut and 2 in (a.number, b.number)
    answers = world.put(4, document(7))
    world.run(4.0)
    assert answers[0][0] == 200 and copies(world, 7) == {0, 1}
    assert ends_after(world, world.nodes[1]) > GRACE_ENDS_S


def test_one_of_three_hears_from_others_of_a_successor_that_knows_them_alone() -> None:
    world = founded(5, 3, spares=1)
    world.seeds = (f"{world.nodes[0].ip}:81", f"{world.nodes[2].ip}:81")
    node = world.nodes[1]
    node.leave()
    world.run(0.5)
    world.nodes[5].start()
    gone(world, node)
    assert members(world) == {(0, 2, 5)}


def changes(world: World) -> bool:
    return any(
        gatekeeper.reconfiguration.change is not reconfiguration.Change.NONE
        for gatekeeper in world.gatekeepers()
    )


def handed_over(late: float, seed: int, lag: float) -> str:
    """A successor starts so long after SIGTERM, and tells everybody but the one that leaves; what does not
    hold. While a change is under way it does not end before its seat is given up, or the grace is over."""
    world = founded(5, 3, seed, spares=1)
    world.seeds = (f"{world.nodes[0].ip}:81", f"{world.nodes[2].ip}:81")
    world.nodes[0].extra_delay_s = world.nodes[2].extra_delay_s = lag
    node, began, began_at = world.nodes[1], world.env.now, epoch(world)
    node.leave()
    world.run(late)
    world.nodes[5].start()
    changing = False
    while node.gatekeeper is not None:  # one event at a time: as it was when the process ended
        core = node.gatekeeper.subscriber.core
        changing = core is not None and node.name in core.all_members and changes(world)
        world.env.step()
    if changing and world.env.now - began < GRACE_ENDS_S:
        return "ends while its successor is posted"
    if late <= HEARD_S and epoch(world) == began_at:
        return "ends before its successor is posted"
    world.run(8.0)
    if members(world) != {(0, 2, 5)}:
        return f"no successor: {members(world)}"
    if world.read(4)["revision"] != "00000001":
        return "lost"
    world.nodes[0].kill()
    return "" if acknowledged(world, 4, 3) else "no majority"


# It ends after 2.9 s at the earliest; before that a start takes a beat (0.25 s) until all know it, the one
# that leaves asks each 0.52 s at most, and the answer takes two ways of up to 0.04 s and both ends' lags
HEARD_S = 1.9
LATE = [0.1, 0.6, 1.1, 1.4, *(1.5 + 0.05 * step for step in range(17)), 2.5, 2.7, 2.9]


@pytest.mark.parametrize(("seed", "lag"), [(0, 0.0), (1, 0.05)])
def test_no_member_ends_while_its_successor_is_posted(seed: int, lag: float) -> None:
    found = {late: told for late in LATE if (told := handed_over(late, seed, lag))}
    assert not found


def test_one_that_does_not_look_for_its_successor_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        reconfiguration.Reconfiguration, "_may_be_replaced", lambda self, core, replica: False
    )
    found = {told for late in LATE if (told := handed_over(late, 1, 0.05))}
    assert found >= {"ends while its successor is posted", "ends before its successor is posted"}


def test_one_that_joins_in_place_of_a_dark_one_and_dies_at_once_leaves_a_majority() -> None:
    world = founded(5, 3, spares=1)
    world.nodes[1].kill()
    world.run(5.0)
    world.nodes[5].start()
    while not any(5 in core for core in members(world)):
        world.run(0.01)
    world.nodes[5].kill()
    world.run(8.0)
    assert members(world) == {(0, 2, 5)} and acknowledged(world, 4, 3)


def test_a_successor_of_one_not_known_to_be_dark_yet_makes_no_even_core() -> None:
    world = founded(5, 3, spares=1)
    world.nodes[5].start()
    world.run(1.0)
    world.nodes[2].kill()  # not the coordinator
    world.run(7.0)
    assert members(world) == {(0, 1, 5)}
    world.nodes[0].kill()
    assert acknowledged(world, 4, 3)


def test_a_replica_that_was_cut_off_has_all_again_without_an_operators_change() -> None:
    world, cut = founded(), True
    world.cut = lambda a, b: cut and 3 in (a.number, b.number)
    assert acknowledged(world, 5, 7) and copies(world, 7) == {0, 1, 2}
    cut = False
    world.run(3.0)
    assert copies(world, 7) == {0, 1, 2, 3}


def test_a_replica_that_votes_before_it_holds_anything_is_no_copy() -> None:
    """Of the first start, cut off from all subscribers' news until the others hold a version."""
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
            counted.append(3 in copies(world, 2))
    assert counted and all(counted) and members(world) == {(0, 1, 2, 3)}


def test_who_was_posted_is_behind_until_it_has_recovered() -> None:
    world = founded(spares=1)
    node, seen = world.nodes[7], []
    node.start()
    while not voting(node):
        world.run(0.05)
        for other in world.nodes[:4]:
            assert other.gatekeeper is not None and other.gatekeeper.subscriber.core is not None
            stands = other.gatekeeper.reconfiguration._seats(other.now(), other.gatekeeper.subscriber.core)
            seen.append(stands.get(node.name, Seat.BEHIND))
            assert node.gatekeeper is not None and node.gatekeeper.replica is not None
            assert node.gatekeeper.replica.state is not ReplicaState.NEW
    assert set(seen) <= {Seat.BEHIND, Seat.DARK}


# ---- each rule taken away ------------------------------------------------------------------------------


def kept(monkeypatch: pytest.MonkeyPatch) -> None:
    """A leaving member is taken for one that is dark: the code as it was."""
    monkeypatch.setattr(reconfiguration.Reconfiguration, "leave", lambda self, now: None)


def hasty(monkeypatch: pytest.MonkeyPatch) -> None:
    """A process that leaves does not wait for its successor."""
    monkeypatch.setattr(reconfiguration.Reconfiguration, "may_exit", lambda self, now: True)


def lax(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replicas catch up only with the next order: the code as it was."""
    monkeypatch.setattr(Recovery, "missing_values", lambda self: {})


def whole(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whoever votes is taken for a copy."""
    monkeypatch.setattr(
        reconfiguration.Reconfiguration,
        "has_full_copy",
        lambda self: self.gatekeeper.replica is not None and self.gatekeeper.replica.votes,
    )


def as_it_was(monkeypatch: pytest.MonkeyPatch) -> None:
    """Both of these."""
    kept(monkeypatch)
    lax(monkeypatch)


def vain(monkeypatch: pytest.MonkeyPatch) -> None:
    """One that leaves keeps the duty."""
    first = gossip.owners
    monkeypatch.setattr(
        reconfiguration.Reconfiguration,
        "coordinator_of",
        lambda self, core: first("core", list(core.all_members))[0],
    )


def slow(monkeypatch: pytest.MonkeyPatch) -> None:
    """A successor is posted after 5 s: the code as it was."""
    monkeypatch.setattr(reconfiguration, "JOIN_DELAY_S", 5.0)


def at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Who joined is posted though that gains no vote."""
    monkeypatch.setattr(reconfiguration, "NO_GAIN_JOIN_DELAY_S", 0.0)


FAULTS: list[tuple[Callable[[pytest.MonkeyPatch], None], Callable[[], None]]] = [
    (kept, test_all_core_machines_are_removed_in_turn_while_spares_join),
    (kept, test_all_core_machines_but_the_fewest_are_removed_in_turn_without_spares),
    (hasty, test_a_seat_that_nobody_can_take_waits_for_a_successor_and_why_is_said),
    (as_it_was, test_the_only_copies_leave_and_what_they_had_stays),
    (lax, test_a_replica_that_was_cut_off_has_all_again_without_an_operators_change),
    (whole, test_a_replica_that_votes_before_it_holds_anything_is_no_copy),
    (vain, test_the_coordinator_leaves_and_another_changes_the_core),
    (at_once, test_a_successor_of_one_not_known_to_be_dark_yet_makes_no_even_core),
    (slow, test_a_seat_that_nobody_can_take_waits_for_a_successor_and_why_is_said),
]


@pytest.mark.parametrize(("fault", "test"), FAULTS)
def test_a_rule_that_is_taken_away_is_missed(
    fault: Callable[[pytest.MonkeyPatch], None], test: Callable[[], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    fault(monkeypatch)
    with pytest.raises(AssertionError):
        test()
