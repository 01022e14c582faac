"""Which stored answers a replica sends to other members when the core changes. No I/O, no clock.

An answer is held by its owner and its successor: the first two by rendezvous hashing among the members of the
core in regions where it may be stored. When the core changes, the two may be others. So that no answer leaves
with a member that shuts down in order, one of its holders sends it to each member that holds it under the new
members and did not before. Derivation: docs/design/operation-keys.md, "Answers".
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import islice

from millfront.membership.gossip import owners
from millfront.register.values import Core

ANSWER_COPIES = 2  # one at the key's owner, one at its successor
ANSWERS_PER_TICK = 256  # looked at on each tick, so that requests are not held up
LEAVING_ANSWERS_PER_TICK = 4096  # by a member that leaves, which serves nobody any more and soon exits
RegionOf = Callable[[str], str | None]


def answer_holders(
    operation: str, members: Iterable[str], regions: Iterable[str], region_of: RegionOf
) -> list[str]:
    """The members that hold an operation's answer, the first first.

    :param regions: where the answer may be stored; empty: everywhere
    """
    allowed = frozenset(regions)
    names = [name for name in members if not allowed or region_of(name) in allowed]
    return owners(operation, names, ANSWER_COPIES)


@dataclass(frozen=True, slots=True)
class WaitingAnswer:
    """A stored answer that other members may have to be sent."""

    operation: str
    chosen_among: frozenset[str]  # the members of which its holders were the first two; empty: not known


class AnswerTransfer:
    """The answers that one replica may have to send to others, since the last change of the core."""

    def __init__(self, name: str, region_of: RegionOf) -> None:
        """:param name: of the process of this replica"""
        self.name, self.region_of = name, region_of
        self._core: Core | None = None
        self._waiting: dict[str, WaitingAnswer] = {}  # by operation

    def core_changed(self, core: Core, answered: Callable[[], Iterable[str]]) -> None:
        """This replica has learned of a newer core. What still waits since the one before keeps the members
        of that time.

        :param answered: returns the operations whose answers are stored here, those to be sent first at the
            front; called only if some may have to be sent
        """
        known, self._core = self._core, core
        joint_core_missed = known is not None and not core.old_members and known.members != core.members
        if not core.old_members and not joint_core_missed:
            return
        waiting, chosen_among = self._waiting, frozenset(core.old_members)
        begun = (waiting.get(name) or WaitingAnswer(name, chosen_among) for name in answered())
        self._waiting = {answer.operation: answer for answer in begun}

    def add(self, operation: str) -> None:
        """An answer was stored here. During a change its sender may have chosen among old or new members."""
        if self._core is not None and self._core.old_members:
            self._waiting[operation] = WaitingAnswer(operation, frozenset())

    def take(self) -> list[WaitingAnswer]:
        """The answers to look at on this tick; they wait no longer."""
        if self._core is None or not self._waiting:
            return []
        stays = self.name in self._core.members
        limit = ANSWERS_PER_TICK if stays else LEAVING_ANSWERS_PER_TICK
        taken = list(islice(self._waiting.values(), limit))
        for answer in taken:
            del self._waiting[answer.operation]
        return taken

    def receivers(self, answer: WaitingAnswer, regions: Iterable[str]) -> list[str]:
        """The members to which this replica sends an answer.

        :param regions: where it may be stored; empty: everywhere
        """
        core = self._core
        if core is None:
            return []
        before = answer_holders(answer.operation, answer.chosen_among, regions, self.region_of)
        after = answer_holders(answer.operation, core.members, regions, self.region_of)
        if self.name not in before:  # not known, or one of these was unreachable when it was stored
            return [name for name in after if name != self.name]
        staying = [name for name in before if name in core.members]
        leaving = [name for name in before if name in core.old_members]
        sender = next(iter(staying or leaving), self.name)
        return [name for name in after if name not in before] if sender == self.name else []
