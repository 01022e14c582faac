"""Hinted handoff: updates that a missing process did not receive are handed over by another when it is heard
of again. No I/O, no clock.

A hint is not a second copy of the values but their stamps when the process was last heard of. The owner by
key among its region hands over what has changed since, or everything to a new incarnation. There is one hint
per member, dropped with the record of that member.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from millfront.membership.record import Liveness, MemberRecord
from millfront.register.values import Value

FRESH_START_S = 5.0  # a process first seen with a greater uptime has been running, and lacks nothing
Stamps = dict[str, list[Any]]


@dataclass(slots=True)
class Hint:
    """What one other process had when it was last heard of; ``missing``: it may lack later updates."""

    incarnation: int
    stamps: Stamps
    missing: bool = False


class HintedHandoff:
    """The hints for all other processes.

    >>> record, hints = MemberRecord("n", 7, uptime=60.0), HintedHandoff()
    >>> values = {"config": Value(1, "", "one")}
    >>> hints.update([record], values)
    {}
    >>> record.liveness = Liveness.UNREACHABLE
    >>> hints.update([record], values), hints.update([record], values | {"config": Value(2, "", "two")})
    ({}, {})
    >>> record.liveness = Liveness.UP
    >>> {name: list(lacks) for name, lacks in hints.update([record], {"config": Value(2, "", "two")}).items()}
    {'n': ['config']}
    """

    def __init__(self) -> None:
        self._hints: dict[str, Hint] = {}

    def update(
        self, records: Iterable[MemberRecord], values: dict[str, Value]
    ) -> dict[str, dict[str, Value]]:
        """Members that are back, with the values to hand over; called each tick with all other processes."""
        due: dict[str, dict[str, Value]] = {}
        hints: dict[str, Hint] = {}
        for record in records:
            hint = self._hints.get(record.name)
            up = record.liveness is Liveness.UP and not record.leaving
            if hint is None:
                hint = Hint(
                    record.incarnation,
                    {} if record.uptime < FRESH_START_S else _stamps(values),
                    record.uptime < FRESH_START_S,
                )
            elif record.incarnation != hint.incarnation:
                hint.incarnation, hint.stamps, hint.missing = record.incarnation, {}, True
            elif not up:
                hint.missing = True
            if up and hint.missing and record.incarnation >= 0:
                due[record.name] = {k: v for k, v in values.items() if hint.stamps.get(k) != v.stamp}
                hint.missing = False
            if not hint.missing:
                hint.stamps = _stamps(values)
            hints[record.name] = hint
        self._hints = hints
        return due


def _stamps(values: dict[str, Value]) -> Stamps:
    return {key: value.stamp for key, value in values.items()}
