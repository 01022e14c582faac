"""The directory: which gatekeepers clients of a region are told to go to. No I/O, no clock.

A client holds on to an answer for seconds, so nobody is named who may be gone: its record must be recent, by
when it was written.
"""

from millfront.environment import Settings
from millfront.invariants import Invariant, Invariants
from millfront.membership.gossip import Membership
from millfront.membership.record import Liveness, MemberRecord

FRESH_S = 1.7  # records of the own region are due each second; clients are told of nobody later than this
NAMED_S = 2.0  # beyond `contact`, after its record was written, a member is named at the latest
NAMED_SLACK_S = 3.0  # beyond `contact` clients may not be told of a member that is gone
FEWEST_NEAR = 2  # of a region: with fewer its clients are told of all
MOST = 64  # addresses in one answer


class Directory:
    """What one gatekeeper answers clients that ask where to go."""

    def __init__(self, membership: Membership, settings: Settings, invariants: Invariants) -> None:
        self.membership, self.settings, self.invariants = membership, settings, invariants
        self.answers = 0
        self.oldest_s = 0.0  # the greatest age of a record by which a member was named

    def addresses(self, now: float, region: str, ready: bool) -> list[str]:
        """The gatekeepers of that region that are ready and heard of; else all such.

        :param ready: whether this process is
        """
        near, all_ = [], []
        for record in self.membership.live():
            own = record is self.membership.own_record
            if not (ready if own else self._serves_clients(now, record)):
                continue
            if record.identity is None or not record.identity["plain"]:
                continue
            if not own:
                self._named(now, record)
            all_.append(record.identity["plain"])
            if record.identity["region"] == region:
                near.append(record.identity["plain"])
        self.answers += 1
        return sorted(near if len(near) >= FEWEST_NEAR else all_)[:MOST]

    def _serves_clients(self, now: float, record: MemberRecord) -> bool:
        """Whether clients may be sent to another gatekeeper, by its newest record here."""
        if not record.ready or record.liveness is not Liveness.UP:
            return False
        if now - record.written_at > self.settings.bounds.contact + NAMED_S:
            return False
        near = (record.identity or {}).get("region") == self.settings.region
        return not near or self.membership.ticks_overdue(now, record) < FRESH_S

    def _named(self, now: float, record: MemberRecord) -> None:
        age = now - record.written_at
        self.oldest_s = max(self.oldest_s, age)
        bound = self.settings.bounds.contact + NAMED_SLACK_S
        detail = f"{record.name} is named {age:.1f} s after its record"
        self.invariants.check(Invariant.DIRECTORY_NAMES_LIVE, age < bound, detail)
