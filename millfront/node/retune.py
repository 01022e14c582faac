"""Merges new settings into those in force, and keeps old names valid during an overlap. No I/O.

To the decision module, classes and plans are numbers: places (indices) in tables. A number must keep its
meaning while a request or a customer holds it, so an unchanged class keeps its place, and one that is new or
changed gets the next. The tables only grow, by what an operator changes.
"""

from collections.abc import Mapping, Sequence
from dataclasses import fields, replace
from typing import TypeVar

from millfront import interface as api
from millfront.settings import NodeSettings

OVERLAP_US = 1_200_000  # from the platform: clients may use old names this long after SIGHUP

Entry = TypeVar("Entry")


def merge_table(
    table: Sequence[tuple[str, Entry]], new: Mapping[str, Entry]
) -> tuple[list[tuple[str, Entry]], dict[str, int]]:
    """Adds the new entries to the table; returns it, and the place of each name in it."""
    entries, places = list(table), {}
    for pair in new.items():
        if pair not in entries:
            entries.append(pair)
        places[pair[0]] = entries.index(pair)
    return entries, places


def allowed_by_both(one: api.Allowed, other: api.Allowed) -> api.Allowed:
    """What both allow: the minimum of each field, numbers and booleans alike."""
    return replace(one, **{f.name: min(getattr(one, f.name), getattr(other, f.name)) for f in fields(one)})


class ActiveSettings:
    """The settings in force, as the decision module has them, and the names that clients may use."""

    def __init__(self, settings: api.Settings, names: NodeSettings) -> None:
        self.settings = settings
        self.classes, self.plans = dict(names.classes), dict(names.plans)
        self._next_allowed = settings.allowed  # in force after the overlap
        self._class_table = list(zip(names.classes, settings.classes, strict=True))
        self._plan_table = list(zip(names.plans, settings.plans, strict=True))
        self.class_names, self.plan_names = list(names.classes), list(names.plans)  # indexed by place
        self._old_names: list[tuple[int, str, int]] = []  # end of overlap (µs), class name, place
        self._overlap_ends_us = 0

    def update(self, new: api.Settings, names: NodeSettings, now_us: int) -> api.Retuned:
        """Applies new settings, already checked as a whole; returns the event for the decision module."""
        old_classes, old_plans = self.classes, self.plans
        classes = dict(zip(names.classes, new.classes, strict=True))
        self._class_table, self.classes = merge_table(self._class_table, classes)
        plans = dict(zip(names.plans, new.plans, strict=True))
        self._plan_table, self.plans = merge_table(self._plan_table, plans)
        self.class_names = [name for name, _ in self._class_table]
        self.plan_names = [name for name, _ in self._plan_table]
        self._overlap_ends_us = now_us + OVERLAP_US
        self._old_names += [
            (self._overlap_ends_us, name, place)
            for name, place in old_classes.items()
            if self.classes.get(name) != place
        ]
        self.settings = replace(
            new,
            classes=tuple(entry for _, entry in self._class_table),
            plans=tuple(entry for _, entry in self._plan_table),
            allowed=allowed_by_both(self.settings.allowed, new.allowed),
        )
        self._next_allowed = new.allowed
        moved = tuple((old, self.plans[name]) for name, old in old_plans.items() if name in self.plans)
        return api.Retuned(self.settings, tuple(pair for pair in moved if pair[0] != pair[1]))

    def end_overlap(self, now_us: int) -> api.Retuned:
        """Drops the names of ended overlaps. After the last overlap, the newest settings' `allowed` holds."""
        self._old_names = [entry for entry in self._old_names if entry[0] > now_us]
        if now_us >= self._overlap_ends_us:
            self.settings = replace(self.settings, allowed=self._next_allowed)
        return api.Retuned(self.settings)

    def accepted_classes(self) -> dict[str, tuple[int, ...]]:
        """The class names that clients may use, with their places; the place in force comes first."""
        accepted: dict[str, tuple[int, ...]] = {name: (place,) for name, place in self.classes.items()}
        for _, name, place in reversed(self._old_names):
            accepted[name] = (*accepted.get(name, ()), place)
        return accepted
