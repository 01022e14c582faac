"""The directory: which gatekeepers clients of a region are told to go to. No I/O, no clock.

A client holds on to an answer for seconds, so nobody is named who may be gone: its record must be recent, by
when it was written.
"""

from millfront.environment import Settings
from millfront.invariants import Invariant, Invariants
from millfront.membership.gossip import Membership
from millfront.membership.record import Liveness, MemberRecord

MAX_OVERDUE_S = 1.7  # records of the own region are due each second; an older member is not listed
LISTED_SLACK_S = 2.0  # beyond `contact`, after its record was written, a member is named at the latest
MAX_LISTED_SLACK_S = 3.0  # beyond `contact` clients may not be told of a member that is gone
MIN_NEAR = 2  # of a region: with fewer its clients are told of all
MAX_ADDRESSES = 64  # addresses in one answer


class Directory:
    """What one gatekeeper answers clients that ask where to go."""

    def __init__(self, membership: Membership, settings: Settings, invariants: Invariants) -> None:
        self.membership, self.settings, self.invariants = membership, settings, invariants
        self.answers = 0
        self.max_record_age_s = 0.0  # the greatest age of a record by which a member was named

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
                self._check_record_age(now, record)
            all_.append(record.identity["plain"])
            if record.identity["region"] == region:
                near.append(record.identity["plain"])
        self.answers += 1
        return sorted(near if len(near) >= MIN_NEAR else all_)[:MAX_ADDRESSES]

    def _serves_clients(self, now: float, record: MemberRecord) -> bool:
        """Whether clients may be sent to another gatekeeper, by its newest record here."""
        if not record.ready or record.liveness is not Liveness.UP:
            return False
        if now - record.written_at > self.settings.bounds.contact + LISTED_SLACK_S:
            return False
        near = (record.identity or {}).get("region") == self.settings.region
        return not near or self.membership.ticks_overdue(now, record) < MAX_OVERDUE_S

    def _check_record_age(self, now: float, record: MemberRecord) -> None:
        age = now - record.written_at
        self.max_record_age_s = max(self.max_record_age_s, age)
        bound = self.settings.bounds.contact + MAX_LISTED_SLACK_S
        detail = f"{record.name} is named {age:.1f} s after its record"
        self.invariants.check(Invariant.DIRECTORY_NAMES_LIVE, age < bound, detail)
