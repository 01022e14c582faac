"""What a replica keeps of one operation, its row on the disk, and batches of rows that are synced together.
No I/O, no clock.
"""

import json
from dataclasses import dataclass, field
from typing import Any

from millfront.operations.messages import Claim, Message, State, StoredAnswer

INTACT_KEY = "complete"  # key of the row that marks an intact disk; its value is `known_before`
NO_EPOCH = 0  # before the first core is known


@dataclass(slots=True)
class Operation:
    """One operation that was claimed at this replica, or at one whose records were gathered.

    ``rivals``: further attempts that other replicas have granted, with the times of their claims. At most one
    of all attempts was granted by a majority, so all are kept until they are withdrawn or past the window."""

    attempt: str
    claimed_at: float  # time of the claim at this replica
    state: State = State.RUNNING
    answer: StoredAnswer | None = None
    exact_age: bool = True  # False: it was claimed before `claimed_at`
    rivals: dict[str, float] = field(default_factory=dict)
    regions: tuple[str, ...] = ()  # where the answer may be stored; empty: everywhere

    def to_row(self) -> str:
        """The row as stored on disk: ``[attempt, state, answer, attempts of rivals, regions]``; the last two
        are left out if there are none."""
        answer = self.answer.to_wire() if self.answer is not None else None
        return self._row(self.state, answer, self.regions)

    def to_row_without_answer(self) -> str:
        """The row as sent to another replica, which may be in a region where the answer may not be stored."""
        return self._row(State.UNKNOWN if self.state is State.ANSWERED else self.state, None, ())

    def _row(self, state: State, answer: list[Any] | None, regions: tuple[str, ...]) -> str:
        optional = [list(self.rivals), list(regions)]
        while optional and not optional[-1]:
            optional.pop()
        return json.dumps([self.attempt, state.value, answer, *optional], separators=(",", ":"))

    @classmethod
    def from_row(cls, row: str, now: float) -> "Operation":
        """Parse a row; its window starts now."""
        attempt, state, fields, *optional = json.loads(row)
        answer = StoredAnswer.from_wire(fields) if fields is not None else None
        rivals = dict.fromkeys(optional[0], now) if optional else {}
        regions = tuple(optional[1]) if len(optional) > 1 else ()
        return cls(attempt, now, State(state), answer, exact_age=False, rivals=rivals, regions=regions)

    def is_same_row(self, row: str) -> bool:
        """Whether a row tells of this attempt only."""
        return row.startswith(f'["{self.attempt}",') and row.endswith(",null]")

    def latest_rival(self) -> "Operation | None":
        """The operation as claimed by the rival that came last; None without one."""
        if not self.rivals:
            return None
        attempt = max(self.rivals, key=lambda rival: self.rivals[rival])
        others = {rival: at for rival, at in self.rivals.items() if rival != attempt}
        return Operation(attempt, self.rivals[attempt], exact_age=False, rivals=others)


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

    def mark_intact(self, known_before: int) -> None:
        """Mark the disk as intact, and as knowing every claim granted before this epoch."""
        self.put(INTACT_KEY, str(max(known_before, self.known_before or NO_EPOCH)))

    def remove_mark(self) -> None:
        """Leave the mark on the disk as it is."""
        self.rows.pop(INTACT_KEY, None)

    @property
    def known_before(self) -> int | None:
        """What this replica knows once this is synced; None: as before."""
        row = self.rows.get(INTACT_KEY)
        return int(row) if row is not None else None
