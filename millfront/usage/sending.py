"""What to send next, and when; what is acknowledged. Decisions without I/O.

One batch at a time, the oldest first. A batch counts as received when the receiver says so with its digest
and its number of lines, or when its high-water mark lies behind it. After anything else (no answer, an
error, half a batch) nobody knows: the mark is read before the batch is sent again. Names and digests make a
second arrival harmless.
"""

import random
from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000
MOST_ASKED_S = 3600.0  # a Retry-After beyond it is taken for a mistake


class What(Enum):
    ASK_MARK = "ask for the mark"
    SEND = "send the oldest batch"
    WAIT = "wait"
    IDLE = "nothing to send"


@dataclass(frozen=True, slots=True)
class Next:
    what: What
    until_us: int = 0


@dataclass(frozen=True, slots=True)
class Offer:
    """The oldest batch that is not acknowledged."""

    name: str
    last: int
    digest: str
    lines: int


@dataclass(frozen=True, slots=True)
class Told:
    """What came back for a batch, or for a question after the mark (`next_seq`)."""

    status: int  # 0: nothing that could be read
    digest: str = ""
    lines: int = -1
    next_seq: int = -1
    retry_after_s: float = 0.0
    why: str = ""  # where there was no answer


class Sending:
    """The state of one export. Times in µs."""

    def __init__(self, first_wait_s: float, most_wait_s: float, draws: random.Random) -> None:
        self.first_wait_s = first_wait_s
        self.most_wait_s = most_wait_s
        self.draws = draws
        self.acknowledged = -1  # the last sequence number that the receiver has
        self.mark_known = False
        self.failures = 0
        self.rests_until = 0
        self.trouble = ""  # what the receiver's last word was, if it was no good one
        self.partial = 0  # times that it acknowledged less than was sent
        self.conflicts = 0  # times that it held another batch under the same name

    def next(self, now: int, offered: bool) -> Next:
        if now < self.rests_until:
            return Next(What.WAIT, self.rests_until)
        if not offered:
            return Next(What.IDLE)
        return Next(What.SEND if self.mark_known else What.ASK_MARK)

    def mark(self, now: int, told: Told) -> None:
        """The answer to the question after the mark; 404 says that the source is not known yet."""
        if told.status == 404 or (told.status == 200 and told.next_seq >= 0):
            self.mark_known = True
            self.acknowledged = max(self.acknowledged, told.next_seq - 1)
            return
        self._fails(now, told, f"the mark: {_word(told)}")

    def sent(self, now: int, offer: Offer, told: Told) -> bool:
        """The answer to a batch; True if it is received."""
        good = told.status in (200, 201)
        if good and told.digest == offer.digest and told.lines == offer.lines:
            self.acknowledged = max(self.acknowledged, offer.last)
            self.failures, self.trouble, self.rests_until = 0, "", 0
            return True
        if good:
            self.partial += 1
            why = f"acknowledged {told.lines} of {offer.lines} lines"
        elif told.status == 409:
            self.conflicts += 1
            why = f"holds another batch named {offer.name}: compare both by hand"
        else:
            why = _word(told)
        self._fails(now, told, why)
        return False

    def _fails(self, now: int, told: Told, why: str) -> None:
        """Capped exponential backoff with full jitter, or what the receiver asks for, whichever is longer."""
        self.mark_known = False
        self.trouble = why
        most = min(self.most_wait_s, self.first_wait_s * 2 ** min(self.failures, 30))
        self.failures += 1
        wait_s = max(self.draws.uniform(0.0, most), min(told.retry_after_s, MOST_ASKED_S))
        self.rests_until = now + int(wait_s * SECOND)


def _word(told: Told) -> str:
    return f"status {told.status}" if told.status else f"no answer: {told.why or 'in time'}"


def compactable(segments: list[tuple[int, int]], acknowledged: int) -> list[tuple[int, int]]:
    """Of sealed segments, as (first, last), those that the receiver has whole."""
    return [segment for segment in segments if segment[1] <= acknowledged]
