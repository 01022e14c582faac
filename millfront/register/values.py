"""What the register holds: versioned values, and the core that keeps them. No I/O, no clock.

A value is (version, tie, data); of two the higher (version, tie) holds, wherever it is. Of N replicas a
majority W = N // 2 + 1 acknowledges, and of any R = N - W + 1 one knows what was acknowledged, since W + R >
N (docs/design/system.md, "The core").
"""

import hashlib
import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

Message = dict[str, Any]
CORE = "core"  # the key of the core itself
INCARNATION_PREFIX = "life/"  # and a replica's name: the key of its life, which ends with its disk
FIRST_AGREED_EPOCH = 2  # the first epoch that all members have agreed to
# What this replica has promised and accepted of the next core, by epoch and ballot: each replica's own
PROMISED, ACCEPTED = "own/promised", "own/accepted"
LOCAL_PREFIX = "own/"
CONFIG = "config"  # the key of the configuration
CLAIM_PREFIX = "claim/"  # and a revision number: which document has it (docs/design/control-faults.md)
EVACUATION_COUNT_PREFIX = "turn/"  # and a zone: how many changes of its evacuation were begun
MAX_CLAIMS = 512  # numbers that are kept, the newest: 20 h of 620 changes a day
BALLOTS_PER_EPOCH = 1_000_000  # of one epoch


def digest_of(text: str) -> str:
    """Sixteen hexadecimal digits that tell a text from others, the same in every process."""
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def write_quorum(core: int) -> int:
    """W: acknowledged is what so many replicas have synced.

    >>> [(n, write_quorum(n), read_quorum(n)) for n in (1, 3, 4, 6, 8)]
    [(1, 1, 1), (3, 2, 2), (4, 3, 2), (6, 4, 3), (8, 5, 4)]
    """
    return core // 2 + 1


def read_quorum(core: int) -> int:
    """R: of so many answers one knows what was acknowledged."""
    return core - write_quorum(core) + 1


@dataclass(frozen=True, slots=True, order=True)
class Value:
    """One version of one key."""

    version: int
    tie: str
    data: str = field(compare=False)

    @property
    def stamp(self) -> list[Any]:
        """[version, tie], as it goes in a message."""
        return [self.version, self.tie]

    def to_wire(self) -> list[Any]:
        """[version, tie, data], as it goes in a message; `of` reads it."""
        return [self.version, self.tie, self.data]

    @classmethod
    def from_wire(cls, wire: Any) -> "Value":
        """:raises ValueError: it is no value"""
        match wire:
            case [int() as version, str() as tie, str() as data]:
                return cls(version, tie, data)
        raise ValueError("no value")


def ballot_version(epoch: int, number: int) -> int:
    """Of the next core after `epoch`: later epochs, then later ballots, are higher."""
    return epoch * BALLOTS_PER_EPOCH + min(number, BALLOTS_PER_EPOCH - 1)


def claim_key(number: int) -> str:
    """
    >>> claim_key(12), claimed_number(claim_key(12))
    ('claim/0000000c', 12)
    """
    return f"{CLAIM_PREFIX}{number:08x}"


def claimed_number(key: str) -> int:
    """The revision number that a claim's key names."""
    return int(key.removeprefix(LOCAL_PREFIX).removeprefix(CLAIM_PREFIX), 16)


def is_internal(key: str) -> bool:
    """Whether a key is the replicas' own affair: subscribers are not told of it."""
    return key.startswith((LOCAL_PREFIX, CLAIM_PREFIX, EVACUATION_COUNT_PREFIX))


@dataclass(frozen=True, slots=True)
class Core:
    """The members of the register: names and addresses, of one epoch.

    While it changes (``old`` is not empty), both the old and the new members must agree to everything."""

    epoch: int
    members: dict[str, str]
    old_members: dict[str, str] = field(default_factory=dict)

    @classmethod
    def from_value(cls, value: Value) -> "Core":
        """:raises ValueError: it is no core"""
        told = json.loads(value.data)
        return cls(value.version, dict(told["m"]), dict(told.get("o") or {}))

    def to_value(self, tie: str = "") -> Value:
        """This core as a value of the key `CORE`; its version is the epoch."""
        return Value(self.epoch, tie, json.dumps({"m": self.members, "o": self.old_members}, sort_keys=True))

    @property
    def member_sets(self) -> tuple[dict[str, str], ...]:
        """The groups of members of which each must have a majority: one, or two while the core changes."""
        return (self.members, self.old_members) if self.old_members else (self.members,)

    @property
    def all_members(self) -> dict[str, str]:
        """Addresses of all members by name, the old and the new."""
        return {**self.old_members, **self.members}

    def is_write_quorum(self, names: Iterable[str]) -> bool:
        """Whether what these have synced is acknowledged."""
        had = set(names)
        return all(len(had & set(part)) >= write_quorum(len(part)) for part in self.member_sets)

    def is_read_quorum(self, names: Iterable[str]) -> bool:
        """Whether one of these knows what was acknowledged."""
        had = set(names)
        return all(len(had & set(part)) >= read_quorum(len(part)) for part in self.member_sets)
