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
CLAIM, CLAIM_REPLY, WITHDRAW, FINISH, FINISH_ACK, GATHER, RECORDS = (
    PREFIX + kind for kind in ("claim", "claimed", "withdraw", "finish", "finished", "gather", "records")
)
Message = dict[str, Any]


def operation_id(tenant: str, key: str) -> str:
    """One operation of one tenant, the same in every process; it tells nothing of the key.

    >>> operation_id("a", "k") == operation_id("a", "k") != operation_id("b", "k")
    True
    """
    return hashlib.blake2b(f"{tenant}\0{key}".encode(), digest_size=16).hexdigest()


class State(Enum):
    """What a replica knows of an operation that has been claimed."""

    RUNNING = "running"
    """It may be sent to a server now, or have been sent by a gatekeeper that told no more."""

    ANSWERED = "answered"
    """A server has run it, and its answer is kept here."""

    UNKNOWN = "unknown"
    """It was sent to a server, and no answer came or none could be kept."""


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A server's answer as a repeat is given it."""

    status: int
    fields: tuple[tuple[str, str], ...]  # names and values as the server sent them
    body: bytes

    def to_wire(self) -> list[Any]:
        """[status, [[name, value], ...], body in base64]."""
        return [self.status, [list(pair) for pair in self.fields], base64.b64encode(self.body).decode()]

    @classmethod
    def from_wire(cls, wire: list[Any]) -> "StoredAnswer":
        """Read what `to_wire` made."""
        status, fields, body = wire
        return cls(status, tuple((name, value) for name, value in fields), base64.b64decode(body))

    @property
    def size(self) -> int:
        """Bytes that it takes, about."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.fields)


@dataclass(frozen=True, slots=True)
class Claim:
    """A gatekeeper asks to run an operation; ``attempt`` is unique to this request."""

    operation: str
    attempt: str
    epoch: int  # of the core that it is meant for

    def to_wire(self) -> Message:
        """Read again by `from_wire`."""
        return {"t": CLAIM, "o": self.operation, "a": self.attempt, "e": self.epoch}

    @classmethod
    def from_wire(cls, message: Message) -> "Claim":
        """Read what `to_wire` made."""
        return cls(message["o"], message["a"], message["e"])


class Verdict(Enum):
    """A replica's answer to a claim."""

    GRANTED = "granted"
    CONFLICT = "had"  # another request has claimed the operation
    ABSTAINED = "no"  # this replica can't say: of another epoch, not complete, or its disk refuses


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """A replica's answer to a claim, and what it knows where another request has it."""

    operation: str
    attempt: str  # whose claim this answers
    verdict: Verdict
    state: State | None = None  # of the other request's
    age: float = 0.0  # seconds since that was claimed here
    answer: StoredAnswer | None = None
    exact_age: bool = True  # the age is; else it was claimed longer ago, before this replica started

    def to_wire(self) -> Message:
        """Read again by `from_wire`."""
        message: Message = {"t": CLAIM_REPLY, "o": self.operation, "a": self.attempt, "v": self.verdict.value}
        if self.state is not None:
            message |= {"s": self.state.value, "y": round(self.age, 3)} | ({} if self.exact_age else {"x": 0})
        if self.answer is not None:
            message["w"] = self.answer.to_wire()
        return message

    @classmethod
    def from_wire(cls, message: Message) -> "ClaimReply":
        """Read what `to_wire` made."""
        state = State(message["s"]) if "s" in message else None
        answer = StoredAnswer.from_wire(message["w"]) if "w" in message else None
        verdict = Verdict(message["v"])
        exact_age = "x" not in message
        return cls(message["o"], message["a"], verdict, state, message.get("y", 0.0), answer, exact_age)


@dataclass(frozen=True, slots=True)
class Withdraw:
    """The request has not been sent to a server and never will: its claim holds no longer."""

    operation: str
    attempt: str

    def to_wire(self) -> Message:
        """Read again by `from_wire`."""
        return {"t": WITHDRAW, "o": self.operation, "a": self.attempt}

    @classmethod
    def from_wire(cls, message: Message) -> "Withdraw":
        """Read what `to_wire` made."""
        return cls(message["o"], message["a"])


@dataclass(frozen=True, slots=True)
class Finish:
    """The operation has run; ``answer`` is None where none came or it is too long to be kept."""

    operation: str
    attempt: str
    answer: StoredAnswer | None

    def to_wire(self) -> Message:
        """Read again by `from_wire`."""
        kept = self.answer.to_wire() if self.answer is not None else None
        return {"t": FINISH, "o": self.operation, "a": self.attempt, "w": kept}

    @classmethod
    def from_wire(cls, message: Message) -> "Finish":
        """Read what `to_wire` made."""
        kept = StoredAnswer.from_wire(message["w"]) if message["w"] is not None else None
        return cls(message["o"], message["a"], kept)


@dataclass(frozen=True, slots=True)
class FinishAck:
    """A replica has synced how an operation ended."""

    operation: str
    attempt: str

    def to_wire(self) -> Message:
        """Read again by `from_wire`."""
        return {"t": FINISH_ACK, "o": self.operation, "a": self.attempt}

    @classmethod
    def from_wire(cls, message: Message) -> "FinishAck":
        """Read what `to_wire` made."""
        return cls(message["o"], message["a"])


@dataclass(frozen=True, slots=True)
class Gather:
    """A replica that is not complete asks another for its records behind ``after``, by name."""

    epoch: int
    after: str = ""

    def to_wire(self) -> Message:
        """Read again by `from_wire`."""
        return {"t": GATHER, "e": self.epoch, "k": self.after}

    @classmethod
    def from_wire(cls, message: Message) -> "Gather":
        """Read what `to_wire` made."""
        return cls(message["e"], message["k"])


@dataclass(frozen=True, slots=True)
class Records:
    """A page of a complete replica's records, by operation, each as it is kept.

    ``last``: there are no more."""

    epoch: int
    rows: dict[str, str]
    last: bool

    def to_wire(self) -> Message:
        """Read again by `from_wire`."""
        return {"t": RECORDS, "e": self.epoch, "v": self.rows, "z": self.last}

    @classmethod
    def from_wire(cls, message: Message) -> "Records":
        """Read what `to_wire` made."""
        return cls(message["e"], message["v"], message["z"])
