"""A replica's records of operations: which request may run each one, and the answers of those that ran. No
I/O, no clock.

A claim is granted to the first request that asks, and to no other until it is withdrawn or the window has
passed; it is synced before it is granted. Syncs are batched: changes made during a sync wait for the next.

Two things are kept apart. A replica is *intact* while it has forgotten nothing that it granted; one that lost
its disk, or is new, is not. And it *knows* every claim that any replica granted under an epoch before
`Knowledge.known_before`. It grants only if it is intact and knows what the core in force requires
(`required_knowledge`); what it lacks it gathers from other members, or waits until it is past the window. The
row that marks a disk as intact holds `known_before`.

Times are seconds on the caller's clock. The window of a row read from disk starts at the time of reading:
longer than necessary, never shorter. Derivation: docs/design/operation-keys.md.
"""

import bisect
import itertools
from typing import Any

from millfront.operations.gathering import Knowledge
from millfront.operations.messages import (
    Claim,
    ClaimReply,
    Finish,
    FinishAck,
    Gather,
    Records,
    State,
    Verdict,
    Withdraw,
)
from millfront.operations.rows import INTACT_KEY, NO_EPOCH, Batch, Operation, Reply
from millfront.register.values import FIRST_AGREED_EPOCH

WINDOW_MARGIN_S = 5.0  # added to the window: a request is claimed a moment after it was sent
PAGE_RECORDS = 500  # records per page sent to a gathering replica
WITHDRAWN_KEPT_S = 10.0  # records with a withdrawn claim may arrive so long after the withdrawal
MAX_ANSWERS_BYTES = 16 * 1024 * 1024  # total size of stored answers; beyond it operations end as UNKNOWN
SWEEP_INTERVAL_S = 5.0


class OperationStore:
    """The operations held by one replica."""

    def __init__(self, stored: dict[str, str], fresh: bool, window: float, now: float) -> None:
        """:param stored: the rows on disk
        :param fresh: the whole system starts for the first time, so no claim can be missing
        :param window: seconds during which an operation runs at most once
        """
        self.window, self.started_at = window, now
        self.knowledge = Knowledge(INTACT_KEY in stored, int(stored.get(INTACT_KEY, NO_EPOCH)))
        self.epoch, self.joint, self.epoch_since = NO_EPOCH, False, now  # the core that this replica knows
        self.operations = {
            name: Operation.from_row(row, now) for name, row in stored.items() if name != INTACT_KEY
        }
        self.answers_bytes = sum(self._size(operation) for operation in self.operations.values())
        self._pending_batch, self._syncing = Batch(), False
        self._refused = Batch()  # rows that the disk refused, to be retried
        self._marked = self.knowledge.known_before if self.knowledge.intact else NO_EPOCH - 1  # or soon
        self._withdrawn: dict[str, float] = {}  # attempts, and when they were withdrawn
        self._page_names: list[str] = []  # sorted, as of the last request for a first page
        self._last_sweep = now
        if fresh and not self.knowledge.intact:
            self.knowledge = Knowledge(True, FIRST_AGREED_EPOCH)
            self.mark_known(FIRST_AGREED_EPOCH)

    @staticmethod
    def _size(operation: Operation) -> int:
        return operation.answer.size if operation.answer is not None else 0

    # ---- the core ----------------------------------------------------------------------------------

    def on_core_change(self, now: float, epoch: int, joint: bool) -> None:
        """This replica has learned of a newer core.

        :param joint: it has old and new members, both of which must agree
        """
        self.epoch, self.joint, self.epoch_since = epoch, joint, now

    @property
    def complete(self) -> bool:
        """Whether this replica may grant claims under the core that it knows."""
        return self.knowledge.may_grant(self.epoch, self.joint)

    # ---- requests ----------------------------------------------------------------------------------

    def claim(self, now: float, via: Any, claim: Claim, epoch: int) -> list[Reply]:
        """Grant an operation to the first request; the grant is sent once it is synced.

        :param epoch: of the core that this replica votes in; 0 if it does not vote
        """
        if not self.complete or claim.epoch != epoch:
            return [self._claim_reply(via, claim, Verdict.ABSTAINED)]
        self._expire(now, claim.operation)
        held = self.operations.get(claim.operation)
        if held is None:
            operation = self.operations[claim.operation] = Operation(claim.attempt, now)
            self._pending_batch.put(claim.operation, operation.to_row())
            self._pending_batch.grants.append((via, claim))
            return []
        if held.attempt == claim.attempt and not held.rivals:
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

    def withdraw(self, now: float, withdraw: Withdraw) -> None:
        """Release the claim of a request that was not and will not be sent: another one may claim it."""
        self._withdrawn[withdraw.attempt] = now
        held = self.operations.get(withdraw.operation)
        if held is not None and held.rivals.pop(withdraw.attempt, None) is not None:
            self._pending_batch.put(withdraw.operation, held.to_row())
        else:
            self._release_attempt(withdraw.operation, withdraw.attempt)

    def _release_attempt(self, name: str, attempt: str) -> None:
        """Forget this attempt if it is the one held here and has no result."""
        held = self.operations.get(name)
        if held is not None and held.attempt == attempt and held.state is State.RUNNING:
            self._release(name)

    def _release(self, name: str) -> None:
        """The attempt held here has ended without a result: forget it, but not its rivals."""
        rival = self.operations[name].latest_rival()
        self._forget(name)
        if rival is None:
            self._pending_batch.remove(name)
        else:
            self.operations[name] = rival
            self._pending_batch.put(name, rival.to_row())

    def _window_start(self, now: float) -> float:
        """What was claimed before this time is past the window."""
        return now - self.window - WINDOW_MARGIN_S

    def _expire(self, now: float, name: str) -> None:
        """Forget what is past the window."""
        oldest = self._window_start(now)
        while (held := self.operations.get(name)) is not None and held.claimed_at < oldest:
            self._release(name)

    def finish(self, now: float, via: Any, finish: Finish) -> bool:
        """Store the result of an operation; the reply is sent once it is synced.

        :returns: whether its answer was stored here just now
        """
        held = self.operations.get(finish.operation)
        if held is None:  # this replica did not answer the claim in time
            claimed_at = now - (finish.age or 0.0)
            held = Operation(finish.attempt, claimed_at, exact_age=finish.age is None)
            self.operations[finish.operation] = held
        elif (rival_claimed_at := held.rivals.get(finish.attempt)) is not None:
            # A majority has granted this one, so those that it was a rival of never run
            self._forget(finish.operation)
            held = Operation(finish.attempt, rival_claimed_at, exact_age=False)
            self.operations[finish.operation] = held
        if held.attempt != finish.attempt:
            return False
        stored = self._set_result(held, finish)
        self._pending_batch.put(finish.operation, held.to_row())
        self._pending_batch.replies.append(Reply(via, FinishAck(finish.operation, finish.attempt).to_wire()))
        return stored

    def _set_result(self, held: Operation, finish: Finish) -> bool:
        """An answer also takes the place of a result that is unknown here: records are gathered without.

        :returns: whether an answer was stored
        """
        answer = finish.answer
        if answer is not None and self.answers_bytes + answer.size > MAX_ANSWERS_BYTES:
            answer = None
        if held.state is State.ANSWERED or (held.state is State.UNKNOWN and answer is None):
            return False
        held.state = State.ANSWERED if answer is not None else State.UNKNOWN
        held.answer, held.regions = answer, finish.regions if answer is not None else ()
        self.answers_bytes += self._size(held)
        return answer is not None

    def answered(self) -> list[str]:
        """The operations whose answers are stored here, the one that was claimed last first."""
        names = [name for name, held in self.operations.items() if held.answer is not None]
        return sorted(names, key=lambda name: self.operations[name].claimed_at, reverse=True)

    def stored_result(self, now: float, name: str) -> Finish | None:
        """The message that passes a stored answer on to another replica; None without one."""
        held = self.operations.get(name)
        if held is None or held.answer is None:
            return None
        return Finish(name, held.attempt, held.answer, held.regions, now - held.claimed_at)

    def page(self, now: float, gather: Gather, epoch: int) -> Records | None:
        """Records for a gathering replica; None if this one is not intact or of another epoch.

        Answers are left out: they may be restricted to regions that the other replica is not in."""
        if not self.knowledge.intact or gather.epoch != epoch:
            return None
        if not gather.after or not self._page_names:
            self._page_names = sorted(self.operations)
        start = bisect.bisect_right(self._page_names, gather.after)
        held = (name for name in self._page_names[start:] if name in self.operations)
        names = list(itertools.islice(held, PAGE_RECORDS + 1))
        last, names = len(names) <= PAGE_RECORDS, names[:PAGE_RECORDS]
        rows = {name: self.operations[name].to_row_without_answer() for name in names}
        ages = tuple(now - self.operations[name].claimed_at for name in names)
        return Records(epoch, gather.after, rows, ages, last, self.knowledge.known_before)

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
        verdict = Verdict.GRANTED if ok else Verdict.ABSTAINED
        replies = [self._claim_reply(via, claim, verdict) for via, claim in batch.grants]
        if ok:
            if batch.known_before is not None:
                self.knowledge = Knowledge(True, max(batch.known_before, self.knowledge.known_before))
            return replies + batch.replies
        for _, claim in batch.grants:
            self._release_attempt(claim.operation, claim.attempt)
            batch.rows.pop(claim.operation, None)
        self._refused.drop |= batch.drop
        self._refused.rows |= batch.rows
        for refused in (batch, self._pending_batch):  # no mark is synced before the rows that it counts on
            if refused.known_before is not None:
                self._refused.mark_intact(refused.known_before)
        self._pending_batch.remove_mark()
        return replies

    def _retry_refused(self) -> None:
        """Put refused rows into the next batch, except where it has a newer row."""
        refused, self._refused = self._refused, Batch()
        for name in refused.drop - self._pending_batch.rows.keys():
            self._pending_batch.remove(name)
        for name, row in refused.rows.items():
            if name not in self._pending_batch.rows and name not in self._pending_batch.drop:
                self._pending_batch.put(name, row)
        if refused.known_before is not None:
            self._pending_batch.mark_intact(refused.known_before)

    # ---- time --------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Drop operations past the window and retry what the disk refused; called periodically."""
        self._retry_refused()
        if now - self._last_sweep < SWEEP_INTERVAL_S:
            return
        self._last_sweep = now
        oldest = self._window_start(now)
        for name in [name for name, held in self.operations.items() if held.claimed_at < oldest]:
            self._expire(now, name)
        self._withdrawn = {
            attempt: at for attempt, at in self._withdrawn.items() if now - at < WITHDRAWN_KEPT_S
        }
        if self.started_at < oldest:
            self.mark_known(NO_EPOCH)  # what it granted before its disk was lost is past the window
        if self.epoch_since < oldest:
            self.mark_known(self.epoch - 1)  # what was granted under the cores before it, too

    def add_records(self, now: float, records: Records) -> None:
        """Add another replica's records: beside what is held here, not in its place."""
        for (name, row), age in zip(records.rows.items(), records.ages, strict=True):
            held = self.operations.get(name)
            if held is None or not held.is_same_row(row):
                self._add_row(now, name, row, now - age)

    def _add_row(self, now: float, name: str, row: str, row_claimed_at: float) -> None:
        received = Operation.from_row(row, now)
        for attempt, claimed_at in ((received.attempt, row_claimed_at), *received.rivals.items()):
            held = self.operations.get(name)
            if attempt in self._withdrawn or (held is not None and held.attempt == attempt):
                continue
            if held is None:
                state = received.state if attempt == received.attempt else State.RUNNING
                held = self.operations[name] = Operation(attempt, claimed_at, state, exact_age=False)
            else:
                held.rivals[attempt] = max(claimed_at, held.rivals.get(attempt, claimed_at))
            self._pending_batch.put(name, held.to_row())

    def mark_known(self, known_before: int) -> None:
        """Mark the disk as intact, and as knowing every claim granted before this epoch: once synced."""
        if known_before > self._marked:
            self._marked = known_before
            self._retry_refused()
            self._pending_batch.mark_intact(known_before)

    def _forget(self, name: str) -> None:
        held = self.operations.pop(name, None)
        if held is not None:
            self.answers_bytes -= self._size(held)
