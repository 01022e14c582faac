"""A replica's records of operations: which request may run each one, and the answers of those that ran. No
I/O, no clock.

A claim is granted to the first request that asks, and to no other until it is withdrawn or the window has
passed; it is synced before it is granted. Syncs are batched: changes made during a sync wait for the next.
A replica that may lack claims (its disk was lost, it is a new member, it was out of the core for a while) is
not complete: it grants nothing until it has gathered the records of so many other members that every majority
includes one of them, or until every claim that it may lack is past the window. The row that marks a disk as
complete holds the epoch of the core under which it was written.

Times are seconds on the caller's clock. The window of a row read from disk starts at the time of reading:
longer than necessary, never shorter. Derivation: docs/design/operation-keys.md.
"""

import json
from dataclasses import dataclass, field
from typing import Any

from millfront.operations.messages import (
    Claim,
    ClaimReply,
    Finish,
    FinishAck,
    Gather,
    Message,
    Records,
    State,
    StoredAnswer,
    Verdict,
    Withdraw,
)

COMPLETE_KEY = "complete"  # key of the row that marks a complete disk; its value is the epoch
NO_EPOCH = 0  # in a row written before the first core
MAX_EPOCH_GAP = 2  # a core value names the members of two epochs: its own and the one before
WINDOW_MARGIN_S = 5.0  # added to the window: a request is claimed a moment after it was sent
PAGE_RECORDS = 300  # records per page sent to a gathering replica
MAX_ANSWERS_BYTES = 16 * 1024 * 1024  # total size of stored answers; beyond it operations end as UNKNOWN
SWEEP_INTERVAL_S = 5.0


@dataclass(slots=True)
class Operation:
    """One operation that was claimed at this replica."""

    attempt: str
    claimed_at: float  # time of the claim at this replica
    state: State = State.RUNNING
    answer: StoredAnswer | None = None
    exact_age: bool = True  # False: it was claimed before `claimed_at`

    def to_row(self) -> str:
        """The row as stored on disk."""
        answer = self.answer.to_wire() if self.answer is not None else None
        return json.dumps([self.attempt, self.state.value, answer], separators=(",", ":"))

    @classmethod
    def from_row(cls, row: str, now: float) -> "Operation":
        """Parse a row; its window starts now."""
        attempt, state, fields = json.loads(row)
        answer = StoredAnswer.from_wire(fields) if fields is not None else None
        return cls(attempt, now, State(state), answer, exact_age=False)


@dataclass(frozen=True, slots=True)
class Reply:
    """A message to the peer at the other end of ``via``."""

    via: Any
    message: Message


@dataclass(slots=True)
class Batch:
    """Rows to sync together; afterwards `OperationStore.synced` is called with the batch."""

    rows: dict[str, str] = field(default_factory=dict)
    drop: set[str] = field(default_factory=set)
    grants: list[tuple[Any, Claim]] = field(default_factory=list)
    replies: list[Reply] = field(default_factory=list)
    marks_complete: bool = False

    def __bool__(self) -> bool:
        return bool(self.rows or self.drop)

    def put(self, name: str, row: str) -> None:
        """Store a row."""
        self.rows[name] = row
        self.drop.discard(name)

    def remove(self, name: str) -> None:
        """Delete a row."""
        self.rows.pop(name, None)
        self.drop.add(name)


class OperationStore:
    """The operations held by one replica."""

    def __init__(self, stored: dict[str, str], fresh: bool, window: float, now: float) -> None:
        """:param stored: the rows on disk
        :param fresh: the whole system starts for the first time, so no claim can be missing
        :param window: seconds during which an operation runs at most once
        """
        self.window, self.started_at = window, now
        self.complete = COMPLETE_KEY in stored or fresh
        self.epoch = int(stored.get(COMPLETE_KEY, NO_EPOCH))  # as of which this replica is complete
        self.incomplete_since = now
        self.operations = {
            name: Operation.from_row(row, now) for name, row in stored.items() if name != COMPLETE_KEY
        }
        self.answers_bytes = sum(self._size(operation) for operation in self.operations.values())
        self._pending_batch, self._syncing = Batch(), False
        self._last_sweep = now
        if self.complete and COMPLETE_KEY not in stored:
            self._pending_batch.put(COMPLETE_KEY, str(self.epoch))
        self._refused = Batch()  # rows that the disk refused, to be retried

    @staticmethod
    def _size(operation: Operation) -> int:
        return operation.answer.size if operation.answer is not None else 0

    # ---- the core ----------------------------------------------------------------------------------

    def on_core_change(self, now: float, epoch: int, remains_member: bool) -> None:
        """A core of this epoch is in force. A replica that was out of a core lacks the claims made under it.

        :param remains_member: whether this replica belongs to this core and belonged to the one before
        """
        if epoch <= self.epoch or not self.complete:
            return
        if remains_member and epoch - self.epoch <= MAX_EPOCH_GAP:
            self.epoch = epoch
            self._pending_batch.put(COMPLETE_KEY, str(epoch))
            return
        self.complete, self.incomplete_since = False, now
        self._pending_batch.remove(COMPLETE_KEY)

    # ---- requests ----------------------------------------------------------------------------------

    def claim(self, now: float, via: Any, claim: Claim, epoch: int) -> list[Reply]:
        """Grant an operation to the first request; the grant is sent once it is synced.

        :param epoch: of the core that this replica votes in; 0 if it does not vote
        """
        if not self.complete or claim.epoch != epoch:
            return [self._claim_reply(via, claim, Verdict.ABSTAINED)]
        held = self.operations.get(claim.operation)
        if held is None or now - held.claimed_at > self.window + WINDOW_MARGIN_S:
            self._forget(claim.operation)
            operation = self.operations[claim.operation] = Operation(claim.attempt, now)
            self._pending_batch.put(claim.operation, operation.to_row())
            self._pending_batch.grants.append((via, claim))
            return []
        if held.attempt == claim.attempt:
            # A repeated claim: the first one may not be synced yet
            self._pending_batch.put(claim.operation, held.to_row())
            self._pending_batch.grants.append((via, claim))
            return []
        age = now - held.claimed_at
        reply = ClaimReply(
            claim.operation, claim.attempt, Verdict.CONFLICT, held.state, age, held.answer, held.exact_age
        )
        return [Reply(via, reply.to_wire())]

    @staticmethod
    def _claim_reply(via: Any, claim: Claim, verdict: Verdict) -> Reply:
        return Reply(via, ClaimReply(claim.operation, claim.attempt, verdict).to_wire())

    def withdraw(self, withdraw: Withdraw) -> None:
        """Release the claim of a request that was not and will not be sent: another one may claim it."""
        held = self.operations.get(withdraw.operation)
        if held is not None and held.attempt == withdraw.attempt and held.state is State.RUNNING:
            self._forget(withdraw.operation)
            self._pending_batch.remove(withdraw.operation)

    def finish(self, now: float, via: Any, finish: Finish) -> None:
        """Store the result of an operation; the reply is sent once it is synced."""
        held = self.operations.get(finish.operation)
        if held is None:  # this replica did not answer the claim in time
            held = self.operations[finish.operation] = Operation(finish.attempt, now)
        if held.attempt != finish.attempt:
            return
        answer = finish.answer
        if answer is not None and self.answers_bytes + answer.size > MAX_ANSWERS_BYTES:
            answer = None
        if held.state is State.RUNNING:
            held.state = State.ANSWERED if answer is not None else State.UNKNOWN
            held.answer = answer
            self.answers_bytes += self._size(held)
        self._pending_batch.put(finish.operation, held.to_row())
        self._pending_batch.replies.append(Reply(via, FinishAck(finish.operation, finish.attempt).to_wire()))

    def page(self, gather: Gather, epoch: int) -> Records | None:
        """Records for a gathering replica; None if this one is not complete or of another epoch.

        Answers are left out: they may be restricted to regions that the other replica is not in."""
        if not self.complete or gather.epoch != epoch:
            return None
        names = sorted(name for name in self.operations if name > gather.after)
        rows = {name: self._row_without_answer(name) for name in names[:PAGE_RECORDS]}
        return Records(epoch, rows, len(names) <= PAGE_RECORDS)

    def _row_without_answer(self, name: str) -> str:
        held = self.operations[name]
        state = State.UNKNOWN if held.state is State.ANSWERED else held.state
        return Operation(held.attempt, held.claimed_at, state).to_row()

    # ---- the disk ----------------------------------------------------------------------------------

    def next_batch(self) -> Batch | None:
        """The batch to sync now; None if there is nothing to sync or a sync is in progress."""
        if self._syncing or not self._pending_batch:
            return None
        batch, self._pending_batch, self._syncing = self._pending_batch, Batch(), True
        return batch

    def synced(self, batch: Batch, ok: bool) -> list[Reply]:
        """The disk has synced (``ok``) or refused a batch; returns the replies to send now."""
        self._syncing = False
        if batch.marks_complete and ok:
            self.complete = True
        verdict = Verdict.GRANTED if ok else Verdict.ABSTAINED
        replies = [self._claim_reply(via, claim, verdict) for via, claim in batch.grants]
        if ok:
            return replies + batch.replies
        for _, claim in batch.grants:
            self.withdraw(Withdraw(claim.operation, claim.attempt))
            batch.rows.pop(claim.operation, None)
        self._refused.drop |= batch.drop
        self._refused.rows |= batch.rows
        self._refused.marks_complete |= batch.marks_complete
        return replies

    def _retry_refused(self) -> None:
        """Put refused rows into the next batch, except where it has a newer row."""
        refused, self._refused = self._refused, Batch()
        for name in refused.drop - self._pending_batch.rows.keys():
            self._pending_batch.remove(name)
        for name, row in refused.rows.items():
            if name not in self._pending_batch.rows and name not in self._pending_batch.drop:
                self._pending_batch.put(name, row)
        self._pending_batch.marks_complete |= (
            refused.marks_complete and COMPLETE_KEY in self._pending_batch.rows
        )

    # ---- time --------------------------------------------------------------------------------------

    def tick(self, now: float, epoch: int) -> None:
        """Drop operations past the window and retry what the disk refused; called periodically.

        :param epoch: of the core in force, if this replica votes in it, else `NO_EPOCH`
        """
        self._retry_refused()
        if now - self._last_sweep < SWEEP_INTERVAL_S:
            return
        self._last_sweep = now
        oldest = now - self.window - WINDOW_MARGIN_S
        for name in [name for name, held in self.operations.items() if held.claimed_at < oldest]:
            self._forget(name)
            self._pending_batch.remove(name)
        if epoch == NO_EPOCH:
            self.incomplete_since = now  # claims made now don't reach this replica
        elif not self.complete and self.incomplete_since < oldest:
            self._mark_complete(epoch)  # every claim it may lack is past the window

    def add_gathered(self, now: float, rows: dict[str, str], epoch: int) -> None:
        """Add the rows gathered from enough members of this epoch's core; complete once they are synced."""
        for name, row in rows.items():
            if name not in self.operations:
                self.operations[name] = Operation.from_row(row, now)
                self._pending_batch.put(name, row)
        self._mark_complete(epoch)

    def _mark_complete(self, epoch: int) -> None:
        self.epoch = epoch
        self._pending_batch.put(COMPLETE_KEY, str(epoch))
        self._pending_batch.marks_complete = True

    def _forget(self, name: str) -> None:
        held = self.operations.pop(name, None)
        if held is not None:
            self.answers_bytes -= self._size(held)
