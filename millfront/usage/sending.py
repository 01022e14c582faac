"""Decides what to export next and when, and tracks what is acknowledged. No I/O.

One batch at a time, oldest first. A batch counts as received when the receiver confirms it with its digest
and number of lines, or when the receiver's high-water mark is past it. After anything else (no answer, an
error, half a batch) the outcome is unknown: the mark is read before the batch is sent again. Names and
digests make a second delivery harmless.
"""

import random
from dataclasses import dataclass
from enum import Enum

SECOND_US = 1_000_000
MAX_RETRY_AFTER_S = 3600.0  # a longer Retry-After is taken for a mistake


class StepKind(Enum):
    ASK_MARK = "ask for the mark"
    SEND = "send the oldest batch"
    WAIT = "wait"
    IDLE = "nothing to send"


@dataclass(frozen=True, slots=True)
class Step:
    kind: StepKind
    until_us: int = 0


@dataclass(frozen=True, slots=True)
class PendingBatch:
    """The oldest unacknowledged batch."""

    name: str
    last: int
    digest: str
    lines: int


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a batch, or to a request for the mark (`next_seq`)."""

    status: int  # 0: no readable answer
    digest: str = ""
    lines: int = -1
    next_seq: int = -1
    retry_after_s: float = 0.0
    why: str = ""  # if there was no answer


class ExportState:
    """The state of one ledger's export. Times in µs."""

    def __init__(self, first_wait_s: float, max_wait_s: float, rng: random.Random) -> None:
        self.first_wait_s = first_wait_s
        self.max_wait_s = max_wait_s
        self.rng = rng
        self.acknowledged = -1  # last sequence number that the receiver has
        self.mark_known = False
        self.failures = 0
        self.paused_until = 0
        self.last_error = ""  # empty after a success
        self.partial_answers = 0  # count of answers that acknowledged less than was sent
        self.conflicts = 0  # count of answers that another batch has the same name

    def next_step(self, now: int, has_batch: bool) -> Step:
        if now < self.paused_until:
            return Step(StepKind.WAIT, self.paused_until)
        if not has_batch:
            return Step(StepKind.IDLE)
        return Step(StepKind.SEND if self.mark_known else StepKind.ASK_MARK)

    def handle_mark(self, now: int, answer: Answer) -> None:
        """Handles the answer to a request for the mark; 404: the receiver has nothing of the ledger yet."""
        if answer.status == 404 or (answer.status == 200 and answer.next_seq >= 0):
            self.mark_known = True
            self.acknowledged = max(self.acknowledged, answer.next_seq - 1)
            return
        self._back_off(now, answer, f"reading the mark: {_describe(answer)}")

    def handle_answer(self, now: int, pending: PendingBatch, answer: Answer) -> bool:
        """Handles the answer to a batch; returns True if the batch was received."""
        success = answer.status in (200, 201)
        if success and answer.digest == pending.digest and answer.lines == pending.lines:
            self.acknowledged = max(self.acknowledged, pending.last)
            self.failures, self.last_error, self.paused_until = 0, "", 0
            return True
        if success:
            self.partial_answers += 1
            why = f"acknowledged {answer.lines} of {pending.lines} lines"
        elif answer.status == 409:
            self.conflicts += 1
            why = f"holds another batch named {pending.name}: compare both by hand"
        else:
            why = _describe(answer)
        self._back_off(now, answer, why)
        return False

    def _back_off(self, now: int, answer: Answer, why: str) -> None:
        """Waits for capped exponential backoff with full jitter or Retry-After, whichever is longer."""
        self.mark_known = False
        self.last_error = why
        max_s = min(self.max_wait_s, self.first_wait_s * 2 ** min(self.failures, 30))
        self.failures += 1
        wait_s = max(self.rng.uniform(0.0, max_s), min(answer.retry_after_s, MAX_RETRY_AFTER_S))
        self.paused_until = now + int(wait_s * SECOND_US)


def _describe(answer: Answer) -> str:
    return f"status {answer.status}" if answer.status else f"no answer: {answer.why or 'in time'}"


def compactable(segments: list[tuple[int, int]], acknowledged: int) -> list[tuple[int, int]]:
    """Of sealed segments, given as (first, last), those that the receiver has completely."""
    return [segment for segment in segments if segment[1] <= acknowledged]
