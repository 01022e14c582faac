"""Which part of every tenant's allowance this process may grant. No I/O, no clock.

The allowance is shared out evenly among the members of the core, on which all agree by its epoch. At every
moment the shares of all processes that may grant sum to 1 at most, through any changes of the core:

- Only a process with a lease of the register grants. Once a majority of a new core answers in its epoch, no
  lease is renewed in an earlier one, and after `lease_s` none is left.
- A member that learns of the next core keeps the smaller of its two shares, and one that leaves has none; a
  share grows, or is taken up by a new member, only `lease_s` after that majority was seen.
- Who has missed an epoch can't know what it had in it, and starts from nothing in the same way.
- A share that has come into force is kept on disk, so that a member that restarts in the same epoch goes on.

While the core changes (it has an old and a new set of members) the shares are those of the old one.
"""

import json
from dataclasses import dataclass

from millfront.register.values import FOUNDED, Core, Value

LEASE_MARGIN = 1.05  # clocks may differ by a few percent
EPOCHS_PER_CHANGE = 2  # a change of the core takes two epochs: both sets of members, then the new one


@dataclass(frozen=True, slots=True)
class StoredShare:
    """A share in force, as it is kept on disk. ``epoch``: of the core that it is of."""

    epoch: int
    share: float

    def to_value(self) -> Value:
        """As a value of the replica's own."""
        return Value(self.epoch, "", json.dumps(self.share))

    @classmethod
    def from_value(cls, value: Value | None) -> "StoredShare | None":
        """What was kept; None where nothing was."""
        return None if value is None else cls(value.version, float(json.loads(value.data)))


class ShareOfAllowance:
    """This process's share. Times are seconds on the caller's steady clock."""

    def __init__(self, name: str, lease_s: float, stored: StoredShare | None) -> None:
        """:param lease_s: the longest that a lease lasts without being renewed
        :param kept: what an earlier incarnation had in force
        """
        self.name = name
        self._growth_delay_s = LEASE_MARGIN * lease_s
        self.epoch = stored.epoch if stored is not None else 0
        self.share = stored.share if stored is not None else 0.0
        self._settled = stored is not None  # it is the whole of what this epoch's core gives
        self._majority_at: float | None = None
        self._core_checked = False  # whether the core in force was compared with what was kept

    def update(self, now: float, core: Core | None, majority: bool) -> bool:
        """Bring the share up to the core in force here; whether one has come into force that is to be kept.

        :param majority: a majority of that core has answered in its epoch
        """
        if core is None:
            return False
        if core.old:
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
        """The part that may be granted now, 0 to 1, under a lease of the register."""
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
        if self._settled or core.epoch < FOUNDED:
            return False
        if self._majority_at is None and majority:
            self._majority_at = now
        first = core.epoch == FOUNDED  # there was no core before
        waited = self._majority_at is not None and now - self._majority_at >= self._growth_delay_s
        if not first and not waited:
            return False
        self.share, self._settled = self._even_share(core), True
        return True

    def stored(self) -> StoredShare:
        """What is to be kept on disk."""
        return StoredShare(self.epoch, self.share)
