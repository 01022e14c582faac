"""The directory: which gatekeepers clients of a region are directed to. No I/O, no clock.

A client uses an answer for seconds, so members that may be gone are left out: a member's record must be
recent by the time at which it was written.
"""

from millfront.environment import Bounds, Settings
from millfront.invariants import Invariant, Invariants
from millfront.membership.gossip import Membership
from millfront.membership.record import Liveness, MemberRecord

MAX_OVERDUE_S = 1.7  # records of the own region are due each second; older ones are not listed
LISTED_SLACK_S = 2.0  # a member is listed until `contact` plus this after its record was written
MAX_LISTED_SLACK_S = 3.0  # invariant: no member is listed `contact` plus this after its record
MIN_NEAR = 2  # with fewer gatekeepers in its region, a client gets those of all regions
MAX_ADDRESSES = 64  # in one answer
ANSWER_TTL_S = 2.0  # short, so that clients soon leave a gatekeeper that is gone


def answer_ttl(bounds: Bounds) -> float:
    """Seconds for which clients may use an answer."""
    return min(ANSWER_TTL_S, bounds.ttl_max)


class Directory:
    """One gatekeeper's answers to clients that look up gatekeepers."""

    def __init__(self, membership: Membership, settings: Settings, invariants: Invariants) -> None:
        self.membership, self.settings, self.invariants = membership, settings, invariants
        self.answers = 0
        self.max_record_age_s = 0.0  # of records by which members were listed

    def addresses(self, now: float, region: str, ready: bool) -> list[str]:
        """Addresses of the live, ready gatekeepers of a region, or of all regions if it has fewer than
        `MIN_NEAR`; sorted.

        :param ready: whether this process is ready
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
        """Whether clients may be directed to another gatekeeper, by its newest record here."""
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
        detail = f"{record.name} listed {age:.1f} s after its last record, bound {bound:.1f} s"
        self.invariants.check(Invariant.DIRECTORY_NAMES_LIVE, age < bound, detail)
