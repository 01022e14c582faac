"""The register's quorums by exhaustive search: four disks, two writers, one wipe, in every order there is."""

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from itertools import combinations

from millfront.post.postmaster.values import Core

NAMES = ("a", "b", "c", "d")
CORE = Core(2, dict.fromkeys(NAMES, ""))
Quorum = Callable[[Iterable[str]], bool]


@dataclass(frozen=True)
class Writer:
    """One round: who has answered it, and whether it was told that the wiped one lives anew."""

    answered: frozenset[str] = frozenset()  # the wiped one's answers of its new life as "a'"
    told: bool = False

    def counted(self, lives: bool) -> frozenset[str]:
        """Whose answers count: once told, none of an ended life; `lives` False: the planted fault."""
        if not lives:
            return frozenset(name[0] for name in self.answered)
        newer = {name[0] for name in self.answered if name.endswith("'")}
        return frozenset(
            n[0] for n in self.answered if n.endswith("'") or not (self.told or n in newer) or n[0] != "a"
        )


@dataclass(frozen=True)
class State:
    """Disk "a" is the one that may be wiped."""

    held: tuple[int, ...] = (0, 0, 0, 0)
    knows: tuple[bool, ...] = (False,) * 4  # that "a" lives anew
    life: int = 0
    recovering: frozenset[int] | None = None  # who has told it what they hold
    heard: int = 0  # the highest of that
    writers: tuple[Writer, Writer] = (Writer(), Writer())

    def votes(self, at: int) -> bool:
        return at != 0 or self.recovering is None


def put(values: tuple[int, ...], at: int, value: int) -> tuple[int, ...]:
    return (*values[:at], value, *values[at + 1 :])


def covering(state: State) -> Iterator[tuple[int, ...]]:
    """The sets of voting disks whose answers are enough for a reader."""
    voting = [at for at in range(4) if state.votes(at)]
    for size in range(1, 5):
        for chosen in combinations(voting, size):
            if CORE.covers(NAMES[at] for at in chosen):
                yield chosen


def steps(state: State) -> Iterator[State]:
    for at, name in enumerate(NAMES):
        if not state.votes(at):
            continue
        for number in (0, 1):  # a store arrives, is synced and answered; also one that is sent again
            writer = state.writers[number]
            own = name + "'" if at == 0 and state.life else name
            after = Writer(writer.answered | {own}, writer.told or state.knows[at])
            writers = (after, state.writers[1]) if number == 0 else (state.writers[0], after)
            yield replace(state, held=put(state.held, at, max(state.held[at], number + 1)), writers=writers)
    if not state.life:
        yield replace(
            state, held=put(state.held, 0, 0), life=1, recovering=frozenset(), knows=(True, *state.knows[1:])
        )
    elif state.recovering is not None:
        for at in range(1, 4):  # it is told by one more; who has told it knows of its new life
            asked = state.recovering | {at}
            heard = max(state.heard, state.held[at])
            knows = (*state.knows[:at], True, *state.knows[at + 1 :])
            if CORE.covers(NAMES[other] for other in asked):
                yield replace(state, held=put(state.held, 0, heard), recovering=None, knows=knows)
            yield replace(state, recovering=asked, heard=heard, knows=knows)


def first_loss(majority: Quorum, lives: bool = True) -> tuple[State | None, int]:
    """A state in which a reader misses what was acknowledged, and how many were looked at."""
    seen, waiting = {State()}, deque([State()])
    while waiting:
        state = waiting.popleft()
        done = [number + 1 for number in (0, 1) if majority(state.writers[number].counted(lives))]
        if done and any(max(state.held[at] for at in chosen) < max(done) for chosen in covering(state)):
            return state, len(seen)
        for after in steps(state):
            if after not in seen:
                seen.add(after)
                waiting.append(after)
    return None, len(seen)


def test_no_order_of_stores_a_wipe_and_a_recovery_loses_what_was_acknowledged() -> None:
    lost, looked_at = first_loss(CORE.majority)
    assert lost is None and looked_at > 2_000


def test_a_majority_counted_over_three_of_four_is_found_to_lose() -> None:
    assert first_loss(lambda names: len(set(names)) >= 2)[0] is not None


def test_answers_of_a_life_that_has_ended_are_found_to_lose_where_they_count() -> None:
    assert first_loss(CORE.majority, lives=False)[0] is not None
