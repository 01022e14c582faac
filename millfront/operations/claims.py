"""A gatekeeper's side of operation keys: it claims a key at the core before it sends a request, and tells how
the request ended. No I/O, no clock.

A request may be sent once a majority of the core has granted its claim: two majorities have a member in
common, and a member grants a key to one request only. The nearest majority is asked first, the others where
that does not do. Everything else is refused early, with a promise that it has not run. The answer is kept by
the key's owner and its successor: of the core members in regions where it may be stored, the first two by
rendezvous hashing.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from millfront.invariants import Invariant, Invariants
from millfront.membership.gossip import owners
from millfront.operations.messages import (
    Claim,
    Claimed,
    Finish,
    Finished,
    Message,
    State,
    StoredAnswer,
    Verdict,
    Withdraw,
)
from millfront.register.values import Core, digest_of

COPIES = 2  # of an answer: the key's owner has it, and its successor


class Outcome(Enum):
    """What becomes of a request with a key."""

    RUN = "it may be sent to a server"
    REPEAT = "another request has run, and this is its answer"
    AT_WORK = "another request is at work"
    UNKNOWN = "another request was sent, and no answer of it is known"
    REFUSED = "no majority of the core grants it now"


class Peers(Protocol):
    """What claims need to know of the process they run in."""

    name: str

    def core(self) -> Core | None:
        """The core in force."""

    def region_of(self, name: str) -> str | None:
        """Where a member is; None where that is not known."""

    def nearest(self) -> list[str]:
        """The members of the core, the nearest and soundest first."""

    def reachable(self, name: str) -> bool:
        """Whether a member can be expected to answer."""

    def send(self, name: str, message: Message) -> None:
        """To the replica of a member; it may be lost."""


Decided = Callable[[Outcome, StoredAnswer | None], None]


@dataclass(slots=True, eq=False)
class PendingClaim:
    """One request's claim, from its begin until the request has ended."""

    operation: str
    attempt: str
    core: Core
    at_work_s: float  # so long another request may be at work
    decided: Decided | None
    asked: set[str] = field(default_factory=set)
    granted: set[str] = field(default_factory=set)
    had: dict[str, Claimed] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)  # members that can't say
    kept_by: set[str] = field(default_factory=set)  # who is yet to have the answer
    kept: Callable[[], None] | None = None


class OperationClaims:
    """The claims of one gatekeeper."""

    def __init__(self, peers: Peers, life: str, invariants: Invariants) -> None:
        """:param life: of this life of the process, which no other one has"""
        self.peers, self.invariants = peers, invariants
        self.life = digest_of(life)  # begins the name of each attempt
        self.outcomes = dict.fromkeys(Outcome, 0)
        self._pending: dict[str, PendingClaim] = {}  # by attempt
        self._count = 0

    # ---- a request comes -----------------------------------------------------------------------------

    def begin(self, operation: str, at_work_s: float, decided: Decided) -> PendingClaim | None:
        """Claim an operation; ``decided`` is told once, perhaps at once.

        :param at_work_s: seconds that a request with this key can be at work
        """
        core = self.peers.core()
        if core is None:
            self._decide(decided, Outcome.REFUSED)
            return None
        self._count += 1
        attempt = f"{self.life}.{self._count:x}"
        pending = PendingClaim(operation, attempt, core, at_work_s, decided)
        self._pending[attempt] = pending
        self._ask(pending, self._fewest(core))
        return pending

    def _fewest(self, core: Core) -> list[str]:
        """The nearest that are a majority by themselves."""
        chosen: list[str] = []
        for name in self.peers.nearest():
            if core.is_write_quorum(chosen):
                break
            chosen.append(name)
        return chosen

    def _ask(self, pending: PendingClaim, names: list[str]) -> None:
        pending.asked.update(names)
        wire = Claim(pending.operation, pending.attempt, pending.core.epoch).wire()
        # This process's own replica may answer at once, and end the claim: it is asked last
        for name in sorted(names, key=lambda name: name == self.peers.name):
            self.peers.send(name, wire)

    def widen(self, pending: PendingClaim) -> None:
        """Those who were asked don't all grant it, or are slow: the others are asked as well."""
        rest = [name for name in pending.core.all_members if name not in pending.asked]
        if rest and pending.decided is not None:
            self._ask(pending, rest)

    def _decide(self, decided: Decided, outcome: Outcome, answer: StoredAnswer | None = None) -> None:
        self.outcomes[outcome] += 1
        decided(outcome, answer)

    def claimed(self, sender: str, claimed: Claimed) -> None:
        """A replica's answer to a claim."""
        pending = self._pending.get(claimed.attempt)
        if pending is None or sender not in pending.core.all_members:
            return
        if claimed.verdict is Verdict.GRANTED:
            pending.granted.add(sender)
        elif claimed.verdict is Verdict.HAD:
            pending.had[sender] = claimed
        else:
            pending.silent.add(sender)
        if pending.decided is not None:
            self._look(pending)

    def _look(self, pending: PendingClaim) -> None:
        if pending.core.is_write_quorum(pending.granted):
            self._run(pending)
            return
        for told in pending.had.values():
            if told.answer is not None:
                self._end(pending, Outcome.REPEAT, told.answer)
                return
        heard = pending.granted | pending.had.keys() | pending.silent
        if pending.had or pending.silent:
            self.widen(pending)
        if pending.decided is None or pending.asked != pending.core.all_members.keys():
            return
        if all(name in heard or not self.peers.reachable(name) for name in pending.core.all_members):
            self._without_majority(pending)

    def _run(self, pending: PendingClaim) -> None:
        ran = [name for name, told in pending.had.items() if told.exact and told.state is not State.RUNNING]
        detail = f"{pending.operation} is granted, and {' '.join(ran)} know that it has run"
        self.invariants.check(Invariant.OPERATION_RUNS_ONCE, not ran, detail)
        decided, pending.decided = pending.decided, None
        if decided is not None:
            self._decide(decided, Outcome.RUN)

    def expire(self, pending: PendingClaim) -> None:
        """So long nobody may wait for a majority: decide by what is known."""
        if pending.decided is not None:
            self._without_majority(pending)

    def _without_majority(self, pending: PendingClaim) -> None:
        if not pending.had:
            self._end(pending, Outcome.REFUSED)
            return
        states = {told.state for told in pending.had.values()}
        oldest = max(told.age for told in pending.had.values())
        over = State.UNKNOWN in states or oldest > pending.at_work_s
        self._end(pending, Outcome.UNKNOWN if over else Outcome.AT_WORK)

    def _end(self, pending: PendingClaim, outcome: Outcome, answer: StoredAnswer | None = None) -> None:
        decided, pending.decided = pending.decided, None
        self.withdraw(pending)
        if decided is not None:
            self._decide(decided, outcome, answer)

    # ---- how it ended --------------------------------------------------------------------------------

    def withdraw(self, pending: PendingClaim) -> None:
        """The request was not sent to any server that ran it, and never will be."""
        pending.decided = None
        if self._pending.pop(pending.attempt, None) is None:
            return
        wire = Withdraw(pending.operation, pending.attempt).wire()
        for name in pending.asked:
            self.peers.send(name, wire)

    def finish(
        self,
        pending: PendingClaim,
        answer: StoredAnswer | None,
        regions: frozenset[str],
        kept: Callable[[], None],
    ) -> None:
        """The operation has run. ``kept`` is called once its owner and successor have the answer.

        :param answer: None: none came, or it can't be kept
        :param regions: where it may be stored; empty: everywhere
        """
        names = self._copies(pending.operation, regions)
        if not names or pending.attempt not in self._pending:
            self._pending.pop(pending.attempt, None)
            kept()
            return
        pending.kept_by, pending.kept = set(names), kept
        wire = Finish(pending.operation, pending.attempt, answer).wire()
        for name in names:
            self.peers.send(name, wire)

    def _copies(self, operation: str, regions: frozenset[str]) -> list[str]:
        core = self.peers.core()
        names = [
            name
            for name in (core.all_members if core is not None else ())
            if self.peers.reachable(name) and (not regions or self.peers.region_of(name) in regions)
        ]
        return owners(operation, names, COPIES)

    def finished(self, sender: str, finished: Finished) -> None:
        """A replica has synced how an operation ended."""
        pending = self._pending.get(finished.attempt)
        if pending is not None:
            pending.kept_by.discard(sender)
            if not pending.kept_by:
                self.let_go(pending)

    def let_go(self, pending: PendingClaim) -> None:
        """Wait no longer for the owner and the successor: the client gets its answer."""
        self._pending.pop(pending.attempt, None)
        kept, pending.kept = pending.kept, None
        if kept is not None:
            kept()
