"""Data model of the register: versioned values, and the core (the replica group) that stores them. No I/O, no
clock.

A value is (version, tie, data); of two values of a key the one with the higher (version, tie) wins on every
replica. Of N replicas a write quorum W = N // 2 + 1 acknowledges a value, and any read quorum R = N - W + 1
contains a replica that has it, since W + R > N (docs/design/system.md, "The core").
"""

import hashlib
import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

Message = dict[str, Any]
CORE = "core"  # key of the core itself
# Followed by a replica's name: the number of its disk incarnation, which ends when the disk is lost
INCARNATION_PREFIX = "life/"
FIRST_AGREED_EPOCH = 2  # the first epoch whose core all members have agreed to
# What this replica has promised and accepted for the next core, by epoch and ballot; not replicated
PROMISED, ACCEPTED = "own/promised", "own/accepted"
LOCAL_PREFIX = "own/"
CONFIG = "config"  # key of the configuration
# Followed by a revision number: which document has it (docs/design/control-faults.md)
CLAIM_PREFIX = "claim/"
EVACUATION_COUNT_PREFIX = "turn/"  # followed by a zone: how many changes of its evacuation were started
MAX_CLAIMS = 512  # newest revision numbers whose claims are kept: 20 h at 620 changes a day
BALLOTS_PER_EPOCH = 1_000_000


def digest_of(text: str) -> str:
    """A 64-bit hash of a text as 16 hexadecimal digits, the same in every process."""
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def write_quorum(size: int) -> int:
    """W: a value is acknowledged once this many replicas have synced it.

    >>> [(n, write_quorum(n), read_quorum(n)) for n in (1, 3, 4, 6, 8)]
    [(1, 1, 1), (3, 2, 2), (4, 3, 2), (6, 4, 3), (8, 5, 4)]
    """
    return size // 2 + 1


def read_quorum(size: int) -> int:
    """R: any acknowledged value is on at least one of this many replicas."""
    return size - write_quorum(size) + 1


@dataclass(frozen=True, slots=True, order=True)
class Value:
    """One version of one key."""

    version: int
    tie: str
    data: str = field(compare=False)

    @property
    def stamp(self) -> list[Any]:
        """[version, tie], as sent in messages."""
        return [self.version, self.tie]

    def to_wire(self) -> list[Any]:
        """[version, tie, data], as sent in messages; `from_wire` parses it."""
        return [self.version, self.tie, self.data]

    @classmethod
    def from_wire(cls, wire: Any) -> "Value":
        """:raises ValueError: not [version, tie, data]"""
        match wire:
            case [int() as version, str() as tie, str() as data]:
                return cls(version, tie, data)
        raise ValueError("expected a register value [version: int, tie: str, data: str]")


def ballot_version(epoch: int, number: int) -> int:
    """Version of a ballot on the core after `epoch`: ordered by epoch, then by ballot number."""
    return epoch * BALLOTS_PER_EPOCH + min(number, BALLOTS_PER_EPOCH - 1)


def claim_key(number: int) -> str:
    """
    >>> claim_key(12), claimed_number(claim_key(12))
    ('claim/0000000c', 12)
    """
    return f"{CLAIM_PREFIX}{number:08x}"


def claimed_number(key: str) -> int:
    """The revision number in a claim's key, with or without LOCAL_PREFIX."""
    return int(key.removeprefix(LOCAL_PREFIX).removeprefix(CLAIM_PREFIX), 16)


def is_internal(key: str) -> bool:
    """Whether a key is used by replicas only and not published to subscribers."""
    return key.startswith((LOCAL_PREFIX, CLAIM_PREFIX, EVACUATION_COUNT_PREFIX))


@dataclass(frozen=True, slots=True)
class Core:
    """The members of the register in one epoch: addresses by name.

    During a change (``old_members`` is not empty), both the old and the new members must agree to everything.
    """

    epoch: int
    members: dict[str, str]
    old_members: dict[str, str] = field(default_factory=dict)

    @classmethod
    def from_value(cls, value: Value) -> "Core":
        """:raises ValueError: the data is not valid JSON"""
        decoded = json.loads(value.data)
        return cls(value.version, dict(decoded["m"]), dict(decoded.get("o") or {}))

    def to_value(self, tie: str = "") -> Value:
        """This core as the value of the key `CORE`; its version is the epoch."""
        return Value(self.epoch, tie, json.dumps({"m": self.members, "o": self.old_members}, sort_keys=True))

    @property
    def member_sets(self) -> tuple[dict[str, str], ...]:
        """The member groups that each need a quorum: one, or two during a change of the core."""
        return (self.members, self.old_members) if self.old_members else (self.members,)

    @property
    def all_members(self) -> dict[str, str]:
        """Addresses of the old and the new members by name."""
        return {**self.old_members, **self.members}

    def is_write_quorum(self, names: Iterable[str]) -> bool:
        """Whether a value that these replicas have synced is acknowledged."""
        replicas = set(names)
        return all(len(replicas & set(group)) >= write_quorum(len(group)) for group in self.member_sets)

    def is_read_quorum(self, names: Iterable[str]) -> bool:
        """Whether any acknowledged value is on at least one of these replicas."""
        replicas = set(names)
        return all(len(replicas & set(group)) >= read_quorum(len(group)) for group in self.member_sets)
