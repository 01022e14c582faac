"""The gatekeeper's side of operation keys: it claims a key at the core before it sends a request, and reports
the result afterwards. No I/O, no clock.

A request may be sent once a majority of the core has granted its claim: two majorities share a member, and a
member grants a key to one request only. The nearest majority is asked first, the other members if that does
not suffice. Everything else is refused early, with a promise that it has not run. A majority that comes later
than `DECISION_TIMEOUT_S` does not count: a replica that lost its disk relies on it.

The answer is stored by the key's owner and its successor: the first two by rendezvous hashing among the core
members in regions where it may be stored.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from millfront.invariants import Invariant, Invariants
from millfront.operations.answer_transfer import answer_holders
from millfront.operations.messages import (
    Claim,
    ClaimReply,
    Finish,
    FinishAck,
    Message,
    State,
    StoredAnswer,
    Verdict,
    Withdraw,
)
from millfront.register.values import Core, digest_of

DECISION_TIMEOUT_S = 0.9  # a claim that no majority has granted by then is refused, whoever grants it later


class Outcome(Enum):
    """What happens to a request with a key."""

    RUN = "the request may be sent to a server"
    REPEAT = "another request has run, and its answer is known"
    AT_WORK = "another request is running"
    UNKNOWN = "another request was sent, but its answer is not known"
    REFUSED = "no majority of the core grants the claim now"


class Peers(Protocol):
    """What claims need from the process they run in."""

    name: str

    def now(self) -> float:
        """The present time in seconds on the monotonic clock."""

    def core(self) -> Core | None:
        """The core in force."""

    def region_of(self, name: str) -> str | None:
        """The region of a member; None if unknown."""

    def nearest(self) -> list[str]:
        """The members of the core, the nearest and healthiest first."""

    def reachable(self, name: str) -> bool:
        """Whether a member can be expected to answer."""

    def send(self, name: str, message: Message) -> None:
        """Send to the replica of a member; the message may be lost."""


DecisionCallback = Callable[[Outcome, StoredAnswer | None], None]


@dataclass(slots=True, eq=False)
class PendingClaim:
    """One request's claim, from `OperationClaims.begin` until the request has ended."""

    operation: str
    attempt: str
    core: Core
    begun_at: float
    max_running_s: float  # longest time that another request with this key may be running
    on_decision: DecisionCallback | None
    asked: set[str] = field(default_factory=set)
    granted: set[str] = field(default_factory=set)
    conflicts: dict[str, ClaimReply] = field(default_factory=dict)
    abstained: set[str] = field(default_factory=set)  # members that can't decide
    missing_acks: set[str] = field(default_factory=set)  # members that have not confirmed the answer yet
    on_stored: Callable[[], None] | None = None


class OperationClaims:
    """The claims of one gatekeeper."""

    def __init__(self, peers: Peers, incarnation: str, invariants: Invariants) -> None:
        """:param incarnation: identifies this run of the process, unique among all runs"""
        self.peers, self.invariants = peers, invariants
        self.incarnation = digest_of(incarnation)  # prefix of every attempt id
        self.outcomes = dict.fromkeys(Outcome, 0)
        self._pending: dict[str, PendingClaim] = {}  # by attempt
        self._count = 0

    # ---- claiming ------------------------------------------------------------------------------------

    def begin(
        self, operation: str, max_running_s: float, on_decision: DecisionCallback
    ) -> PendingClaim | None:
        """Claim an operation; ``on_decision`` is called once, possibly before this returns.

        :param max_running_s: longest time in seconds that a request with this key can be running
        :returns: None if there is no core, and the request is refused
        """
        core = self.peers.core()
        if core is None:
            self._decide(on_decision, Outcome.REFUSED)
            return None
        self._count += 1
        attempt = f"{self.incarnation}.{self._count:x}"
        pending = PendingClaim(operation, attempt, core, self.peers.now(), max_running_s, on_decision)
        self._pending[attempt] = pending
        self._ask(pending, self._nearest_majority(core))
        return pending

    def _nearest_majority(self, core: Core) -> list[str]:
        """The nearest members that form a majority by themselves."""
        chosen: list[str] = []
        for name in self.peers.nearest():
            if core.is_write_quorum(chosen):
                break
            chosen.append(name)
        return chosen

    def _ask(self, pending: PendingClaim, names: list[str]) -> None:
        pending.asked.update(names)
        message = Claim(pending.operation, pending.attempt, pending.core.epoch).to_wire()
        # This process's own replica may answer immediately and end the claim, so it is asked last
        for name in sorted(names, key=lambda name: name == self.peers.name):
            self.peers.send(name, message)

    def widen(self, pending: PendingClaim) -> None:
        """Ask the remaining members too: some of those asked refuse the claim or are slow."""
        rest = [name for name in pending.core.all_members if name not in pending.asked]
        if rest and pending.on_decision is not None:
            self._ask(pending, rest)

    def _decide(
        self, on_decision: DecisionCallback, outcome: Outcome, answer: StoredAnswer | None = None
    ) -> None:
        self.outcomes[outcome] += 1
        on_decision(outcome, answer)

    def handle_claim_reply(self, sender: str, reply: ClaimReply) -> None:
        """A replica's answer to a claim."""
        pending = self._pending.get(reply.attempt)
        if pending is None or sender not in pending.core.all_members:
            return
        if reply.verdict is Verdict.GRANTED:
            pending.granted.add(sender)
        elif reply.verdict is Verdict.CONFLICT:
            pending.conflicts[sender] = reply
        else:
            pending.abstained.add(sender)
        if pending.on_decision is not None:
            self._evaluate(pending)

    def _evaluate(self, pending: PendingClaim) -> None:
        if self.peers.now() - pending.begun_at > DECISION_TIMEOUT_S:
            self._decide_without_majority(pending)
            return
        if pending.core.is_write_quorum(pending.granted):
            self._grant(pending)
            return
        for reply in pending.conflicts.values():
            if reply.answer is not None:
                self._end(pending, Outcome.REPEAT, reply.answer)
                return
        answered = pending.granted | pending.conflicts.keys() | pending.abstained
        if pending.conflicts or pending.abstained:
            self.widen(pending)
        if pending.on_decision is None or pending.asked != pending.core.all_members.keys():
            return
        if all(name in answered or not self.peers.reachable(name) for name in pending.core.all_members):
            self._decide_without_majority(pending)

    def _grant(self, pending: PendingClaim) -> None:
        ran = [
            name
            for name, reply in pending.conflicts.items()
            if reply.exact_age and reply.state is not State.RUNNING
        ]
        detail = f"{pending.operation} is granted, but {' '.join(ran)} report that it has run"
        self.invariants.check(Invariant.OPERATION_RUNS_ONCE, not ran, detail)
        on_decision, pending.on_decision = pending.on_decision, None
        if on_decision is not None:
            self._decide(on_decision, Outcome.RUN)

    def expire(self, pending: PendingClaim) -> None:
        """Stop waiting for a majority, and decide from the replies received so far."""
        if pending.on_decision is not None:
            self._decide_without_majority(pending)

    def _decide_without_majority(self, pending: PendingClaim) -> None:
        if not pending.conflicts:
            self._end(pending, Outcome.REFUSED)
            return
        states = {reply.state for reply in pending.conflicts.values()}
        oldest = max(reply.age for reply in pending.conflicts.values())
        ended = State.UNKNOWN in states or oldest > pending.max_running_s
        self._end(pending, Outcome.UNKNOWN if ended else Outcome.AT_WORK)

    def _end(self, pending: PendingClaim, outcome: Outcome, answer: StoredAnswer | None = None) -> None:
        on_decision, pending.on_decision = pending.on_decision, None
        self.withdraw(pending)
        if on_decision is not None:
            self._decide(on_decision, outcome, answer)

    # ---- reporting the result ------------------------------------------------------------------------

    def withdraw(self, pending: PendingClaim) -> None:
        """Release the claim: no server has run the request or will run it."""
        pending.on_decision = None
        if self._pending.pop(pending.attempt, None) is None:
            return
        core = self.peers.core()
        gatherers = core.all_members.keys() if core is not None else set()  # may have it from those asked
        message = Withdraw(pending.operation, pending.attempt).to_wire()
        for name in pending.asked | gatherers:
            self.peers.send(name, message)

    def finish(
        self,
        pending: PendingClaim,
        answer: StoredAnswer | None,
        regions: frozenset[str],
        on_stored: Callable[[], None],
    ) -> None:
        """The operation has run. ``on_stored`` is called once owner and successor have stored the answer.

        :param answer: None if none came or it can't be stored
        :param regions: where the answer may be stored; empty: everywhere
        """
        names = self._answer_holders(pending.operation, regions)
        if not names or pending.attempt not in self._pending:
            self._pending.pop(pending.attempt, None)
            on_stored()
            return
        pending.missing_acks, pending.on_stored = set(names), on_stored
        message = Finish(pending.operation, pending.attempt, answer, tuple(sorted(regions))).to_wire()
        for name in names:
            self.peers.send(name, message)

    def _answer_holders(self, operation: str, regions: frozenset[str]) -> list[str]:
        core = self.peers.core()
        members = core.members if core is not None else ()  # not those that a change removes
        names = [name for name in members if self.peers.reachable(name)]
        return answer_holders(operation, names, regions, self.peers.region_of)

    def handle_finish_ack(self, sender: str, ack: FinishAck) -> None:
        """A replica has synced the result of an operation."""
        pending = self._pending.get(ack.attempt)
        if pending is not None:
            pending.missing_acks.discard(sender)
            if not pending.missing_acks:
                self.stop_waiting(pending)

    def stop_waiting(self, pending: PendingClaim) -> None:
        """Stop waiting for owner and successor, so that the client gets its answer."""
        self._pending.pop(pending.attempt, None)
        on_stored, pending.on_stored = pending.on_stored, None
        if on_stored is not None:
            on_stored()

    def stop_all_waiting(self) -> None:
        """Deliver all answers that are still being stored, because this process is about to exit."""
        for pending in list(self._pending.values()):
            if pending.on_stored is not None:
                self.stop_waiting(pending)
