"""The share of every tenant's allowance that this process may grant. No I/O, no clock.

The allowance is divided evenly among the members of the core, whose epoch identifies the agreed set of
members. The shares of all processes that may grant sum to at most 1 at any time, through any changes of the
core:

- Only a process with a lease of the register grants. Once a majority of a new core answers in its epoch, no
  lease is renewed in an earlier epoch, and after `lease_s` the last one has ended.
- A member that learns of the next core keeps the smaller of its two shares, and a departing member has
  none. A share grows, or starts at a new member, only `lease_s` after that majority was seen.
- A member that missed an epoch can't know its share in it, so it starts from 0 and waits in the same way.
- A share in force is stored on disk, so a member that restarts within the same epoch keeps it.

While the core changes (it has an old and a new set of members), the shares of the old set apply.
"""

import json
from dataclasses import dataclass

from millfront.register.values import FIRST_AGREED_EPOCH, Core, Value

LEASE_MARGIN = 1.05  # clock rates may differ by a few percent
EPOCHS_PER_CHANGE = 2  # a change of the core takes two epochs: both sets of members, then the new set


@dataclass(frozen=True, slots=True)
class StoredShare:
    """A share in force, as stored on disk, with the epoch of its core."""

    epoch: int
    share: float

    def to_value(self) -> Value:
        """As a local value of the replica."""
        return Value(self.epoch, "", json.dumps(self.share))

    @classmethod
    def from_value(cls, value: Value | None) -> "StoredShare | None":
        """The stored share; None if nothing was stored."""
        return None if value is None else cls(value.version, float(json.loads(value.data)))


class ShareOfAllowance:
    """This process's share. Times are seconds on the caller's steady clock."""

    def __init__(self, name: str, lease_s: float, stored: StoredShare | None) -> None:
        """:param lease_s: the longest that a lease lasts without being renewed
        :param stored: the share that an earlier incarnation had in force
        """
        self.name = name
        self._growth_delay_s = LEASE_MARGIN * lease_s
        self.epoch = stored.epoch if stored is not None else 0
        self.share = stored.share if stored is not None else 0.0
        self._settled = stored is not None  # the share is the even share of this epoch's core
        self._majority_at: float | None = None
        self._core_checked = False  # whether the core in force was compared with the stored share

    def update(self, now: float, core: Core | None, majority: bool) -> bool:
        """Update the share for the core in force here; returns whether a new share must be stored.

        :param majority: whether a majority of that core has answered in its epoch
        """
        if core is None:
            return False
        if core.old_members:
            if core.epoch != self.epoch + 1:
                self._reset(core.epoch - 1)
            self._core_checked = True
            return False
        if core.epoch != self.epoch:
            self._enter_epoch(core)
        else:
            self.share = min(self.share, self._even_share(core))
        self._core_checked = True
        return self._grow_if_due(now, core, majority)

    def in_force(self) -> float:
        """The share that may be granted now, 0 to 1, while this process has a lease of the register."""
        return self.share if self._core_checked else 0.0

    def _reset(self, epoch: int) -> None:
        self.epoch, self.share, self._settled, self._majority_at = epoch, 0.0, False, None

    def _even_share(self, core: Core) -> float:
        return 1.0 / len(core.members) if self.name in core.members else 0.0

    def _enter_epoch(self, core: Core) -> None:
        consecutive = core.epoch == self.epoch + EPOCHS_PER_CHANGE
        kept = min(self.share, self._even_share(core)) if consecutive else 0.0
        self._reset(core.epoch)
        self.share = kept

    def _grow_if_due(self, now: float, core: Core, majority: bool) -> bool:
        if self._settled or core.epoch < FIRST_AGREED_EPOCH:
            return False
        if self._majority_at is None and majority:
            self._majority_at = now
        first = core.epoch == FIRST_AGREED_EPOCH  # no earlier core exists
        waited = self._majority_at is not None and now - self._majority_at >= self._growth_delay_s
        if not first and not waited:
            return False
        self.share, self._settled = self._even_share(core), True
        return True

    def stored(self) -> StoredShare:
        """The share to store on disk."""
        return StoredShare(self.epoch, self.share)
