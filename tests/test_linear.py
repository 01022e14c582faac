"""The linearizability checker finds planted faults in histories, and agrees with an exhaustive search of all
orders."""

import itertools
import random
from typing import Any

import pytest

from tests.linear import NEVER, Call, Register, Step, fault, linearizable


def put(begun: float, ended: float, number: int, document: str, status: int = 200) -> Call:
    return Call("put", begun, number, document, NEVER if status == 0 else ended, status)


def get(begun: float, ended: float, number: int, document: str = "a") -> Call:
    return Call("get", begun, number, document, ended, 200)


SOUND = {
    "one after the other": [put(0, 1, 1, "a"), get(2, 3, 1), put(4, 5, 2, "a"), get(6, 7, 2)],
    "read while it is written": [put(0, 9, 1, "a"), get(1, 2, 0), get(3, 4, 1), get(5, 6, 1)],
    "refused before the other is in force": [put(0, 9, 1, "a"), put(1, 2, 1, "b", 409), get(3, 4, 0)],
    "no clear answer, in force late": [put(0, 1, 1, "a", 0), put(2, 3, 1, "b", 409),
        get(4, 5, 0), get(6, 7, 1)],
    "no clear answer, never in force": [put(0, 1, 2, "a", 0), put(2, 3, 1, "a"), get(4, 5, 1)],
    "an older number changes nothing": [put(0, 1, 5, "a"), put(2, 3, 4, "b"),
        put(4, 5, 4, "a", 409), get(6, 7, 5)],
    "the same again": [put(0, 1, 1, "a", 0), put(2, 3, 1, "a"), put(4, 5, 2, "a"),
        put(6, 7, 1, "a"), get(8, 9, 2)],
}  # fmt: skip
PLANTED = {
    "a stale read": [put(0, 1, 1, "a"), put(2, 3, 2, "a"), get(4, 5, 1)],
    "a write that is lost": [put(0, 1, 1, "a"), get(2, 3, 0)],
    "a read that goes back": [put(0, 9, 1, "a", 0), get(1, 2, 1), get(3, 4, 0)],
    "two confirmed under one number": [put(0, 5, 1, "a"), put(0, 5, 1, "b")],
    "two confirmed under one number, an older one": [put(0, 1, 9, "a"), put(2, 3, 1, "a"), put(4, 5, 1, "b")],
    "read under one number as two": [put(0, 9, 1, "a"), put(0, 9, 1, "b", 0),
        get(1, 2, 1), get(3, 4, 1, "b")],
    "refused for nobody": [put(0, 1, 1, "a", 409)],
    "refused for one that comes later": [put(0, 1, 1, "a", 409), put(2, 3, 1, "b")],
    "refused though it was confirmed": [put(0, 1, 1, "a"), put(2, 3, 1, "a", 409)],
    "read before it was sent": [get(0, 1, 1), put(2, 3, 1, "a")],
}  # fmt: skip


@pytest.mark.parametrize("name", SOUND)
def test_a_history_of_a_register_is_taken(name: str) -> None:
    assert fault(SOUND[name]) is None


@pytest.mark.parametrize("name", PLANTED)
def test_a_planted_fault_is_found(name: str) -> None:
    assert fault(PLANTED[name]) is not None


def test_a_step_that_would_change_something_later_is_not_placed_early() -> None:
    """Of two concurrent writes, the one that changes nothing now may be the last."""

    def writes(word: bool) -> Step:
        return Step(0, 5, lambda _: word, f"write {word}", stable=False)

    def reads(at: int, word: bool) -> Step:
        return Step(at, at + 1, lambda state: state if state is word else None, f"read {word}")

    assert linearizable([writes(False), writes(True), reads(6, False)], False) is None
    assert linearizable([writes(False), writes(True), reads(6, False), reads(8, True)], False) is not None


def linearizable_by_brute_force(calls: list[Call]) -> bool:
    """Tries all orders of all steps, with and without those of calls that had no clear answer."""
    parts: list[tuple[Call, str]] = []
    for call in calls:
        if call.kind == "put" and call.status != 409:
            parts += [(call, "claim"), (call, "store")]
        else:
            parts.append((call, "refused" if call.status == 409 else "got"))
    free = [p for p in parts if p[0].status == 0]
    for left in itertools.chain.from_iterable(itertools.combinations(free, k) for k in range(len(free) + 1)):
        steps = [p for p in parts if p not in left]
        for order in itertools.permutations(steps):
            if any(b[0].ended < a[0].begun for a, b in itertools.combinations(order, 2)):
                continue
            state: Any = Register()
            done: set[tuple[int, str]] = set()
            for call, what in order:
                if what == "store" and (id(call), "claim") not in done:
                    state = None
                    break
                state = getattr(state, what)(call.number, call.document)
                if state is None:
                    break
                done.add((id(call), what))
            if state is not None:
                return True
    return False


def test_it_agrees_with_a_search_of_all_orders_on_random_histories() -> None:
    chance, counts = random.Random(7), {True: 0, False: 0}
    for _ in range(500):
        calls, steps = [], 0
        while steps < 5:
            begun = chance.randrange(8)
            ended, number, document = (
                begun + chance.randrange(1, 5),
                chance.randrange(1, 3),
                chance.choice("ab"),
            )
            if chance.random() < 0.4:
                calls.append(get(begun, ended, chance.choice((0, number)), document))
            else:
                calls.append(put(begun, ended, number, document, chance.choice((200, 200, 200, 409, 0))))
            steps += 2 if calls[-1].kind == "put" and calls[-1].status != 409 else 1
        sound = linearizable_by_brute_force(calls)
        assert (fault(calls) is None) is sound, calls
        counts[sound] += 1
    assert min(counts.values()) > 50, counts
