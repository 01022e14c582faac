"""Poste restante (hinted hand-off): what a process that is missing should have had is kept for it by the
others, and handed over when it is heard of again. No I/O, no clock.

Kept is not a second copy but from where on its own is stale: the stamps of the values when it was last heard
of. One of its region, whose duty it is by key, hands over what has changed since; all of it to one that began
a new life. Bounded by the roster, and forgotten with its card.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from millfront.membership.gossip import Card, Standing
from millfront.register.values import Value

YOUNG_S = 5.0  # a process seen for the first time that is older has been running, and lacks nothing
Stamps = dict[str, list[Any]]


@dataclass(slots=True)
class Shelf:
    """Of one other process."""

    incarnation: int
    had: Stamps
    missing: bool = False


class Restante:
    """Shelves for all others.

    >>> card, shelves = Card("n", 7, age=60.0), Restante()
    >>> values = {"config": Value(1, "", "one")}
    >>> shelves.look([card], values)
    {}
    >>> card.standing = Standing.LOST
    >>> shelves.look([card], values), shelves.look([card], values | {"config": Value(2, "", "two")})
    ({}, {})
    >>> card.standing = Standing.UP
    >>> {name: list(lacks) for name, lacks in shelves.look([card], {"config": Value(2, "", "two")}).items()}
    {'n': ['config']}
    """

    def __init__(self) -> None:
        self._shelves: dict[str, Shelf] = {}

    def look(self, cards: Iterable[Card], values: dict[str, Value]) -> dict[str, dict[str, Value]]:
        """Who is back, and what each is to be handed; called each tick with all other processes."""
        due: dict[str, dict[str, Value]] = {}
        shelves: dict[str, Shelf] = {}
        for card in cards:
            shelf = self._shelves.get(card.name)
            up = card.standing is Standing.UP and not card.leaving
            if shelf is None:
                shelf = Shelf(
                    card.incarnation, {} if card.age < YOUNG_S else _stamps(values), card.age < YOUNG_S
                )
            elif card.incarnation != shelf.incarnation:
                shelf.incarnation, shelf.had, shelf.missing = card.incarnation, {}, True
            elif not up:
                shelf.missing = True
            if up and shelf.missing and card.incarnation >= 0:
                due[card.name] = {k: v for k, v in values.items() if shelf.had.get(k) != v.stamp}
                shelf.missing = False
            if not shelf.missing:
                shelf.had = _stamps(values)
            shelves[card.name] = shelf
        self._shelves = shelves
        return due


def _stamps(values: dict[str, Value]) -> Stamps:
    return {key: value.stamp for key, value in values.items()}
