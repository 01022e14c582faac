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

from millfront.register.values import FIRST_AGREED_EPOCH, Core, Value

LEASE_MARGIN = 1.05  # clocks may differ by a few percent
SETTLED_STEP = 2  # a change of the core takes two epochs: both sets of members, then the new one


@dataclass(frozen=True, slots=True)
class KeptShare:
    """A share in force, as it is kept on disk. ``epoch``: of the core that it is of."""

    epoch: int
    share: float

    def value(self) -> Value:
        """As a value of the replica's own."""
        return Value(self.epoch, "", json.dumps(self.share))

    @classmethod
    def of(cls, value: Value | None) -> "KeptShare | None":
        """What was kept; None where nothing was."""
        return None if value is None else cls(value.version, float(json.loads(value.data)))


class ShareOfAllowance:
    """This process's share. Times are seconds on the caller's steady clock."""

    def __init__(self, name: str, lease_s: float, kept: KeptShare | None) -> None:
        """:param lease_s: the longest that a lease lasts without being renewed
        :param kept: what an earlier incarnation had in force
        """
        self.name = name
        self._waits_s = LEASE_MARGIN * lease_s
        self.epoch = kept.epoch if kept is not None else 0
        self.share = kept.share if kept is not None else 0.0
        self._final = kept is not None  # it is the whole of what this epoch's core gives
        self._majority_at: float | None = None
        self._known = False  # whether the core in force was compared with what was kept

    def update(self, now: float, core: Core | None, majority: bool) -> bool:
        """Bring the share up to the core in force here; whether one has come into force that is to be kept.

        :param majority: a majority of that core has answered in its epoch
        """
        if core is None:
            return False
        if core.old_members:
            if core.epoch != self.epoch + 1:
                self._missed(core.epoch - 1)
            self._known = True
            return False
        if core.epoch != self.epoch:
            self._next(core)
        else:
            self.share = min(self.share, self._even(core))
        self._known = True
        return self._grow(now, core, majority)

    def in_force(self) -> float:
        """The part that may be granted now, 0 to 1, under a lease of the register."""
        return self.share if self._known else 0.0

    def _missed(self, epoch: int) -> None:
        self.epoch, self.share, self._final, self._majority_at = epoch, 0.0, False, None

    def _even(self, core: Core) -> float:
        return 1.0 / len(core.members) if self.name in core.members else 0.0

    def _next(self, core: Core) -> None:
        followed = core.epoch == self.epoch + SETTLED_STEP
        kept = min(self.share, self._even(core)) if followed else 0.0
        self._missed(core.epoch)
        self.share = kept

    def _grow(self, now: float, core: Core, majority: bool) -> bool:
        if self._final or core.epoch < FIRST_AGREED_EPOCH:
            return False
        if self._majority_at is None and majority:
            self._majority_at = now
        first = core.epoch == FIRST_AGREED_EPOCH  # there was no core before
        waited = self._majority_at is not None and now - self._majority_at >= self._waits_s
        if not first and not waited:
            return False
        self.share, self._final = self._even(core), True
        return True

    def kept(self) -> KeptShare:
        """What is to be kept on disk."""
        return KeptShare(self.epoch, self.share)
