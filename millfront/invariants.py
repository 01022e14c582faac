"""Runtime invariants of a process, checked at the places that could violate them. No I/O, no clock.

A check costs one comparison and is always on. A violation is counted for the metrics and reported for the
log; the process continues, since ending it would turn a wrong answer into none at all. Tests listen to all
violations of all processes (`listeners`) and fail on any that they do not expect.
"""

from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import ClassVar


class Invariant(Enum):
    """A statement that holds at all times in a process; the value is its name in the metrics."""

    MEMBER_NOT_REVIVED = "member_not_revived"
    """A member marked unreachable becomes live again only by a newer record than the one it was marked by."""

    OPERATION_RUNS_ONCE = "operation_runs_once"
    """A request whose key a majority has granted is the first: no replica has a record that it ran."""

    SERVER_NOT_REVIVED = "server_not_revived"
    """A server that was draining or gone gets no requests again."""

    DIRECTORY_NAMES_LIVE = "directory_names_live"
    """The directory lists no member whose newest record is older than its bound."""

    QUOTA_AS_GIVEN = "quota_as_given"
    """In any time window a process grants no more of a tenant's tokens than its share of the allowance."""


Listener = Callable[[Invariant, str], None]


class Invariants:
    """The checks of one process.

    >>> invariants = Invariants()
    >>> invariants.check(Invariant.MEMBER_NOT_REVIVED, 2 > 1, "n is up by record 2 after 1")
    >>> invariants.check(Invariant.MEMBER_NOT_REVIVED, 1 > 1, "n is up by record 1 after 1")
    >>> invariants.violations[Invariant.MEMBER_NOT_REVIVED]
    1
    """

    listeners: ClassVar[list[Listener]] = []
    """Called on each violation in this Python process, in whichever gatekeeper."""

    def __init__(self, report: Listener | None = None) -> None:
        """:param report: called on the first violation of each invariant"""
        self.violations: Counter[Invariant] = Counter()
        self._report = report

    def check(self, invariant: Invariant, holds: bool, detail: str) -> None:
        """Count a violation unless the condition holds.

        :param detail: the values found, for the log
        """
        if holds:
            return
        self.violations[invariant] += 1
        if self._report is not None and self.violations[invariant] == 1:
            self._report(invariant, detail)
        for listener in self.listeners:
            listener(invariant, detail)
