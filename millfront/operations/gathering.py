"""A replica that may have forgotten claims gathers them from the others before it grants any. No I/O, no
clock.

It asks all other members of the core, page by page, until so many complete ones have told it all that one of
them has any claim that was granted before: of N members W hold it, so N - W + 1.
"""

from dataclasses import dataclass, field

from millfront.operations.messages import Gather, Message, Records
from millfront.register.values import Core, read_quorum

RESEND_S = 0.5  # a page that has not come is asked for again
START_DELAY_S = 1.0  # after its start: what was claimed at its earlier life is decided by then


@dataclass(slots=True)
class MemberRecords:
    """What one member has told so far."""

    rows: dict[str, str] = field(default_factory=dict)
    after: str = ""
    last_sent: float = -1e9
    complete: bool = False


class Gathering:
    """One replica's gathering, begun anew when the core changes."""

    def __init__(self, name: str, now: float) -> None:
        self.name, self.started_at = name, now
        self._epoch = 0
        self._by_member: dict[str, MemberRecords] = {}

    def tick(self, now: float, core: Core) -> list[tuple[str, Message]]:
        """What is to be asked now, and of whom."""
        if now - self.started_at < START_DELAY_S:
            return []
        if core.epoch != self._epoch:
            self._epoch = core.epoch
            self._by_member = {name: MemberRecords() for name in core.all_members if name != self.name}
        out = []
        for name, progress in self._by_member.items():
            if not progress.complete and now - progress.last_sent > RESEND_S:
                progress.last_sent = now
                out.append((name, Gather(self._epoch, progress.after).to_wire()))
        return out

    def handle_records(self, now: float, sender: str, records: Records) -> Message | None:
        """A page; returns what is to be asked next of the same member."""
        progress = self._by_member.get(sender)
        if progress is None or records.epoch != self._epoch or progress.complete:
            return None
        progress.rows |= records.rows
        progress.after = max(records.rows, default=progress.after)
        progress.complete = records.last
        if progress.complete:
            return None
        progress.last_sent = now
        return Gather(self._epoch, progress.after).to_wire()

    def gathered_rows(self, core: Core) -> dict[str, str] | None:
        """All that was progress, once enough of the core have told all; None before."""
        complete = {name: progress for name, progress in self._by_member.items() if progress.complete}
        if not complete or core.epoch != self._epoch:
            return None
        for members in core.member_sets:
            needed = min(read_quorum(len(members)), len(members) - 1)
            if len(complete.keys() & members.keys()) < needed:
                return None
        rows: dict[str, str] = {}
        for progress in complete.values():
            rows = progress.rows | rows
        return rows
