"""A replica that may have forgotten claims gathers them from the others before it grants any. No I/O, no
clock.

It asks all other members of the core, page by page, until so many complete ones have told it all that one of
them has any claim that was granted before: of N members W hold it, so N - W + 1.
"""

from dataclasses import dataclass, field

from millfront.operations.messages import Gather, Message, Records
from millfront.register.values import Core, read_quorum

AGAIN_S = 0.5  # a page that has not come is asked for again
BEGIN_S = 1.0  # after its start: what was claimed at its earlier life is decided by then


@dataclass(slots=True)
class Told:
    """What one member has told so far."""

    rows: dict[str, str] = field(default_factory=dict)
    after: str = ""
    asked: float = -1e9
    whole: bool = False


class Gathering:
    """One replica's gathering, begun anew when the core changes."""

    def __init__(self, name: str, now: float) -> None:
        self.name, self.born = name, now
        self._epoch = 0
        self._told: dict[str, Told] = {}

    def beat(self, now: float, core: Core) -> list[tuple[str, Message]]:
        """What is to be asked now, and of whom."""
        if now - self.born < BEGIN_S:
            return []
        if core.epoch != self._epoch:
            self._epoch = core.epoch
            self._told = {name: Told() for name in core.all_members if name != self.name}
        out = []
        for name, told in self._told.items():
            if not told.whole and now - told.asked > AGAIN_S:
                told.asked = now
                out.append((name, Gather(self._epoch, told.after).wire()))
        return out

    def take(self, now: float, sender: str, records: Records) -> Message | None:
        """A page; returns what is to be asked next of the same member."""
        told = self._told.get(sender)
        if told is None or records.epoch != self._epoch or told.whole:
            return None
        told.rows |= records.rows
        told.after = max(records.rows, default=told.after)
        told.whole = records.last
        if told.whole:
            return None
        told.asked = now
        return Gather(self._epoch, told.after).wire()

    def found(self, core: Core) -> dict[str, str] | None:
        """All that was told, once enough of the core have told all; None before."""
        whole = {name: told for name, told in self._told.items() if told.whole}
        if not whole or core.epoch != self._epoch:
            return None
        for part in core.member_sets:
            needed = min(read_quorum(len(part)), len(part) - 1)
            if len(whole.keys() & part.keys()) < needed:
                return None
        rows: dict[str, str] = {}
        for told in whole.values():
            rows = told.rows | rows
        return rows
