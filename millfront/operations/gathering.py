"""A replica that may lack claims gathers them from the other members before it grants any. No I/O, no clock.

It fetches the records of all other core members page by page, until enough complete members have sent all of
theirs: every claim that was granted is held by W of N members, so any N - W + 1 members include a holder.
"""

from dataclasses import dataclass, field

from millfront.operations.messages import Gather, Message, Records
from millfront.register.values import Core, read_quorum

RESEND_S = 0.5  # a page that has not arrived is requested again
START_DELAY_S = 1.0  # after start; by then all claims made before the restart are decided


@dataclass(slots=True)
class MemberRecords:
    """The records that one member has sent so far."""

    rows: dict[str, str] = field(default_factory=dict)
    after: str = ""
    last_sent: float = -1e9
    complete: bool = False


class Gathering:
    """Collects the other members' records for one replica; starts over when the core changes."""

    def __init__(self, name: str, now: float) -> None:
        self.name, self.started_at = name, now
        self._epoch = 0
        self._by_member: dict[str, MemberRecords] = {}

    def tick(self, now: float, core: Core) -> list[tuple[str, Message]]:
        """Requests to send now, as (member, message)."""
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
        """Take a page of records; returns the request for the sender's next page, or None."""
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
        """The merged rows, once enough core members have sent all of theirs; None before."""
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
