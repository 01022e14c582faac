"""Messages between a gatekeeper that has a keyed request and the replicas that hold its key. No I/O.

Each message is a typed value: `to_wire` returns the JSON object that is sent over a held connection, and
`from_wire` reads it. Its key ``t`` names the kind of message.
"""

import base64
import hashlib
from dataclasses import dataclass
from enum import Enum
from typing import Any

PREFIX = "op."
CLAIM, CLAIM_REPLY, WITHDRAW, FINISH, FINISH_ACK, GATHER, RECORDS, CAUGHT_UP = (
    PREFIX + kind
    for kind in ("claim", "claimed", "withdraw", "finish", "finished", "gather", "records", "caught-up")
)
AGE_TICKS_PER_S = 10  # resolution of the ages in `Records` and `Finish`
Message = dict[str, Any]


def operation_id(tenant: str, key: str) -> str:
    """The id of a tenant's operation, the same in every process: a hash that does not reveal the key.

    >>> operation_id("a", "k") == operation_id("a", "k") != operation_id("b", "k")
    True
    """
    return hashlib.blake2b(f"{tenant}\0{key}".encode(), digest_size=16).hexdigest()


class State(Enum):
    """What a replica knows about an operation that has been claimed."""

    RUNNING = "running"
    """It may be sent to a server now, or was sent by a gatekeeper that has not reported the result."""

    ANSWERED = "answered"
    """A server has run it, and its answer is stored here."""

    UNKNOWN = "unknown"
    """It was sent to a server, but no answer came or the answer could not be stored."""


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A server's answer as repeats receive it."""

    status: int
    fields: tuple[tuple[str, str], ...]  # (name, value) as the server sent them
    body: bytes

    def to_wire(self) -> list[Any]:
        """``[status, [[name, value], ...], body in base64]``."""
        return [self.status, [list(pair) for pair in self.fields], base64.b64encode(self.body).decode()]

    @classmethod
    def from_wire(cls, wire: list[Any]) -> "StoredAnswer":
        """Parse what `to_wire` returned."""
        status, fields, body = wire
        return cls(status, tuple((name, value) for name, value in fields), base64.b64decode(body))

    @property
    def size(self) -> int:
        """Approximate size in bytes."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.fields)


@dataclass(frozen=True, slots=True)
class Claim:
    """A gatekeeper asks to run an operation; ``attempt`` is unique to its request."""

    operation: str
    attempt: str
    epoch: int  # of the core that the claim is addressed to

    def to_wire(self) -> Message:
        """The message as a JSON object; `from_wire` reads it."""
        return {"t": CLAIM, "o": self.operation, "a": self.attempt, "e": self.epoch}

    @classmethod
    def from_wire(cls, message: Message) -> "Claim":
        """Parse what `to_wire` returned."""
        return cls(message["o"], message["a"], message["e"])


class Verdict(Enum):
    """A replica's decision about a claim."""

    GRANTED = "granted"
    CONFLICT = "had"  # another request has claimed the operation
    ABSTAINED = "no"  # this replica can't decide: other epoch, not complete, or its disk refuses writes


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """A replica's answer to a claim; on a conflict also what it knows about the other request."""

    operation: str
    attempt: str  # the attempt whose claim this answers
    verdict: Verdict
    state: State | None = None  # of the other request's operation
    age: float = 0.0  # seconds since the other request's claim reached this replica
    answer: StoredAnswer | None = None
    exact_age: bool = True  # False: claimed longer ago than `age`, before this replica started

    def to_wire(self) -> Message:
        """The message as a JSON object; `from_wire` reads it."""
        message: Message = {"t": CLAIM_REPLY, "o": self.operation, "a": self.attempt, "v": self.verdict.value}
        if self.state is not None:
            message |= {"s": self.state.value, "y": round(self.age, 3)} | ({} if self.exact_age else {"x": 0})
        if self.answer is not None:
            message["w"] = self.answer.to_wire()
        return message

    @classmethod
    def from_wire(cls, message: Message) -> "ClaimReply":
        """Parse what `to_wire` returned."""
        state = State(message["s"]) if "s" in message else None
        answer = StoredAnswer.from_wire(message["w"]) if "w" in message else None
        verdict = Verdict(message["v"])
        exact_age = "x" not in message
        return cls(message["o"], message["a"], verdict, state, message.get("y", 0.0), answer, exact_age)


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Releases the claim of a request that no server has run or will run."""

    operation: str
    attempt: str

    def to_wire(self) -> Message:
        """The message as a JSON object; `from_wire` reads it."""
        return {"t": WITHDRAW, "o": self.operation, "a": self.attempt}

    @classmethod
    def from_wire(cls, message: Message) -> "Withdraw":
        """Parse what `to_wire` returned."""
        return cls(message["o"], message["a"])


@dataclass(frozen=True, slots=True)
class Finish:
    """The operation has run; ``answer`` is None if none came or it is too long to be stored.

    Sent by the gatekeeper that ran it, or by another replica that passes its stored answer on."""

    operation: str
    attempt: str
    answer: StoredAnswer | None
    regions: tuple[str, ...] = ()  # where the answer may be stored; empty: everywhere
    age: float | None = None  # seconds since the claim reached the sender, a replica; None: it has just run

    def to_wire(self) -> Message:
        """The message as a JSON object; `from_wire` reads it."""
        answer = self.answer.to_wire() if self.answer is not None else None
        message: Message = {"t": FINISH, "o": self.operation, "a": self.attempt, "w": answer}
        if self.regions:
            message["g"] = list(self.regions)
        if self.age is not None:
            message["y"] = int(self.age * AGE_TICKS_PER_S)
        return message

    @classmethod
    def from_wire(cls, message: Message) -> "Finish":
        """Parse what `to_wire` returned."""
        answer = StoredAnswer.from_wire(message["w"]) if message["w"] is not None else None
        age = message["y"] / AGE_TICKS_PER_S if "y" in message else None
        return cls(message["o"], message["a"], answer, tuple(message.get("g", ())), age)


@dataclass(frozen=True, slots=True)
class FinishAck:
    """A replica has synced the result of an operation to its disk."""

    operation: str
    attempt: str

    def to_wire(self) -> Message:
        """The message as a JSON object; `from_wire` reads it."""
        return {"t": FINISH_ACK, "o": self.operation, "a": self.attempt}

    @classmethod
    def from_wire(cls, message: Message) -> "FinishAck":
        """Parse what `to_wire` returned."""
        return cls(message["o"], message["a"])


@dataclass(frozen=True, slots=True)
class Gather:
    """A replica that may lack claims asks another one for its records with ids above ``after``."""

    epoch: int
    after: str = ""

    def to_wire(self) -> Message:
        """The message as a JSON object; `from_wire` reads it."""
        return {"t": GATHER, "e": self.epoch, "k": self.after}

    @classmethod
    def from_wire(cls, message: Message) -> "Gather":
        """Parse what `to_wire` returned."""
        return cls(message["e"], message["k"])


@dataclass(frozen=True, slots=True)
class Records:
    """A page of an intact replica's records: rows in the disk's format, by operation id.

    ``after``: as in the request; None if not told. ``last``: no more pages follow. ``ages``: seconds since
    each row's claim, in the order of the rows, rounded down. ``known_before``: the sender knows every claim
    that was granted under an earlier epoch."""

    epoch: int
    after: str | None
    rows: dict[str, str]
    ages: tuple[float, ...]
    last: bool
    known_before: int

    def to_wire(self) -> Message:
        """The message as a JSON object; `from_wire` reads it."""
        ages = [int(age * AGE_TICKS_PER_S) for age in self.ages]
        return {
            "t": RECORDS, "e": self.epoch, "k": self.after, "v": self.rows, "y": ages, "z": self.last,
            "b": self.known_before,
        }  # fmt: skip

    @classmethod
    def from_wire(cls, message: Message) -> "Records":
        """Parse what `to_wire` returned."""
        rows = message["v"]
        ticks = message.get("y", [0] * len(rows))  # a process of the version before tells no age
        ages = tuple(age / AGE_TICKS_PER_S for age in ticks)
        return cls(message["e"], message.get("k"), rows, ages, message["z"], message.get("b", 0))


@dataclass(frozen=True, slots=True)
class CaughtUp:
    """The sender knows, on its disk, every claim that was granted under an epoch before ``known_before``."""

    known_before: int

    def to_wire(self) -> Message:
        """The message as a JSON object; `from_wire` reads it."""
        return {"t": CAUGHT_UP, "b": self.known_before}

    @classmethod
    def from_wire(cls, message: Message) -> "CaughtUp":
        """Parse what `to_wire` returned."""
        return cls(message["b"])
