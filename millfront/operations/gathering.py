"""A replica that may lack claims gathers them from other members before it grants any. No I/O, no clock.

Records are fetched page by page. What a replica has to know before it may grant depends on the core in force
(`required_knowledge`), and how many members it has to hear on what it lacks:

- An *intact* replica has forgotten nothing that it granted, but may lack what others granted. During a change
  it needs the records of R old members (itself included), because every claim granted so far is held by W of
  them; or those of one member that knows all of these claims already.
- A replica that is not intact (it lost its disk, or is new) needs those of R others of each member set.

Derivation: docs/design/operation-keys.md, "The core changes".
"""

from collections.abc import Iterable
from dataclasses import dataclass

from millfront.operations.claims import DECISION_TIMEOUT_S
from millfront.operations.messages import Gather, Message, Records
from millfront.register.values import Core, read_quorum

RESEND_S = 0.24  # a page that has not arrived is requested again on the next tick
STALLED_S = 0.5  # a member that has sent nothing for so long is not waited for: another one is asked
START_DELAY_S = DECISION_TIMEOUT_S + 0.1  # after a start without a disk: claims made before it are decided


def required_knowledge(epoch: int, joint: bool) -> int:
    """The epoch before which a replica must know every granted claim, so that it may grant under this one.

    Two cores that share a member set need no such knowledge: their majorities have a member in common. A core
    shares one with the joint cores before and after it; a joint core also with the one that precedes the core
    it changes.

    :param joint: the core has old and new members, both of which must agree

    >>> required_knowledge(6, joint=False), required_knowledge(7, joint=True)
    (5, 5)
    """
    return epoch - 2 if joint else epoch - 1


@dataclass(frozen=True, slots=True)
class Knowledge:
    """What a replica knows of the claims that were granted, as synced to its disk."""

    intact: bool  # it has forgotten no claim that it granted itself
    known_before: int  # it knows every claim granted under an earlier epoch

    def may_grant(self, epoch: int, joint: bool) -> bool:
        """Whether a replica that knows this may grant claims under a core."""
        return self.intact and self.known_before >= required_knowledge(epoch, joint)

    def is_caught_up(self, core: Core) -> bool:
        """Whether a replica that knows this may grant now, and once this core's change is completed."""
        completed_epoch = core.epoch + 1 if core.old_members else core.epoch
        return self.may_grant(completed_epoch, joint=False)


@dataclass(slots=True)
class MemberRecords:
    """How far one member's records have been received."""

    after: str = ""
    known_before: int | None = None  # as told with the first page
    requested_at: float = -1e9
    last_heard: float = -1e9  # or since when it is asked
    complete: bool = False


class Gathering:
    """Requests other members' records for one replica; starts over when the core changes. The caller stores
    the rows of each page before it passes the page on."""

    def __init__(self, name: str, now: float) -> None:
        self.name, self.started_at = name, now
        self._epoch = 0
        self._by_member: dict[str, MemberRecords] = {}

    def tick(
        self, now: float, core: Core, own: Knowledge, nearest: Iterable[str]
    ) -> list[tuple[str, Message]]:
        """Requests to send now, as (member, message).

        :param nearest: the members of the core in the order in which they are to be asked
        """
        if not own.intact and now - self.started_at < START_DELAY_S:
            return []
        if core.epoch != self._epoch:
            self._epoch, self._by_member = core.epoch, {}
        self._ask_more(now, core, own, nearest)
        requests = []
        for name, progress in self._by_member.items():
            if not progress.complete and now - progress.requested_at > RESEND_S:
                progress.requested_at = now
                requests.append((name, Gather(core.epoch, progress.after).to_wire()))
        return requests

    def _ask_more(self, now: float, core: Core, own: Knowledge, nearest: Iterable[str]) -> None:
        """Choose further members until enough of those asked have answered or still may."""
        for name in nearest:
            if name == self.name or name in self._by_member or name not in core.all_members:
                continue
            counted = {
                member
                for member, progress in self._by_member.items()
                if progress.complete or now - progress.last_heard < STALLED_S
            }
            if own.intact and self._are_enough(core, own, counted) and self._may_know(core, own, counted):
                return
            self._by_member[name] = MemberRecords(last_heard=now)

    def _are_enough(self, core: Core, own: Knowledge, members: set[str]) -> bool:
        """Whether the records of these other members suffice, if one of them knows enough (`_may_know`)."""
        if not own.intact:
            return bool(members) and all(
                len(members & group.keys()) >= min(read_quorum(len(group)), len(group) - 1)
                for group in core.member_sets
            )
        if core.old_members:
            return len((members | {self.name}) & core.old_members.keys()) >= read_quorum(
                len(core.old_members)
            )
        return bool(members)

    def _may_know(self, core: Core, own: Knowledge, members: set[str]) -> bool:
        """Whether this replica or one of these members knows enough of the cores before, or has not told."""
        wanted = required_knowledge(core.epoch, bool(core.old_members))
        told = [self._by_member[name].known_before for name in members]
        return own.known_before >= wanted or any(known is None or known >= wanted for known in told)

    def handle_records(self, now: float, sender: str, records: Records) -> Message | None:
        """Take a page of records; returns the request for the sender's next page, or None."""
        progress = self._by_member.get(sender)
        if progress is None or records.epoch != self._epoch or progress.complete:
            return None
        if records.after not in (None, progress.after):
            return None  # a page that was requested twice
        if progress.known_before is None:
            progress.known_before = records.known_before
        progress.after = max(records.rows, default=progress.after)
        progress.complete, progress.last_heard = records.last, now
        if progress.complete:
            return None
        progress.requested_at = now
        return Gather(records.epoch, progress.after).to_wire()

    def known_before(self, core: Core, own: Knowledge) -> int | None:
        """The epoch before which all granted claims are known here now; None if too few members have sent all
        of their records."""
        if core.epoch != self._epoch:
            return None
        complete = {name: progress for name, progress in self._by_member.items() if progress.complete}
        told = max((progress.known_before or 0 for progress in complete.values()), default=0)
        if own.intact and Knowledge(True, told).is_caught_up(core):
            return told
        if own.intact and not core.old_members:
            return None  # only a member that knows enough can help
        most = max(told, own.known_before) if own.intact else told
        if most < required_knowledge(core.epoch, bool(core.old_members)):
            return None
        return core.epoch if self._are_enough(core, own, set(complete)) else None
