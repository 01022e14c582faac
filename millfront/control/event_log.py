"""The event log: the latest decisions of this process and the facts behind them, for diagnosis. No I/O, no
clock.

One entry for each change of membership, ownership, version or core; never one per request. Bounded.
"""

from collections import deque
from dataclasses import asdict, dataclass, field
from typing import Any

MAX_ENTRIES = 256


@dataclass(frozen=True, slots=True)
class Entry:
    """`at`: seconds on the process's steady clock; `facts`: what the decision was based on."""

    at: float
    part: str
    text: str
    facts: dict[str, Any] = field(default_factory=dict)


class EventLog:
    """The latest entries.

    >>> log = EventLog(max_entries=2)
    >>> for number in range(3):
    ...     log.write(number, "register", f"entry {number}", epoch=2)
    >>> [(entry["text"], entry["ago"], entry["facts"]) for entry in log.entries(3.0)]
    [('entry 1', 2.0, {'epoch': 2}), ('entry 2', 1.0, {'epoch': 2})]
    >>> log.entries(3.0, part="delivery")
    []
    """

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self._entries: deque[Entry] = deque(maxlen=max_entries)

    def write(self, at: float, part: str, text: str, **facts: Any) -> None:
        """Append an entry; ``at`` in seconds on the steady clock. A full log drops its oldest entry."""
        self._entries.append(Entry(at, part, text, facts))

    def entries(self, now: float, part: str = "") -> list[dict[str, Any]]:
        """The entries of one part, or of all, oldest first; ``ago``: seconds since the entry."""
        return [
            asdict(entry) | {"ago": round(now - entry.at, 3)}
            for entry in self._entries
            if not part or entry.part == part
        ]
