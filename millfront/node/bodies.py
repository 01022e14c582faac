"""Bodies that are too long to be gathered: passed on as they come, each side read only as fast as the other
takes it.

A request's body is held up to one read (64 KiB) that the member's kernel has not taken, beside its beginning
of 64 KiB at most. An answer may be held longer, so that its attempt ends and its member is free while a slow
client still reads: up to a quarter of what the budget of all of them (BufferBudget) has left, and one read
always. The number of answers under way is bounded (BodySlots), and the next one waits unread.
"""

from collections import deque
from collections.abc import Callable
from typing import Protocol

BODY_BUFFER_BYTES = 64 * 1024  # bytes that one body always may hold: its beginning, then one read at a time
BODIES_MEMORY_DIVISOR = 4  # of the memory, as 1/4: for bodies under way, each with what it always has
RESPONSES_MEMORY_DIVISOR = 8  # of the memory, as 1/8: for what slow clients have not taken, beyond that


class Source(Protocol):
    """Whoever brings a body, and can be told to wait."""

    def resume(self) -> None:
        """Bring more: what came is with the kernel."""

    def abandon(self) -> None:
        """Nobody takes the rest."""


class Sink(Protocol):
    """Whoever passes a request's body on."""

    def write_body(self, data: bytes, last: bool) -> bool:
        """Write it; False: bring no more until drained."""


class BodySlots:
    """How many bodies may be under way at once."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.in_use = 0
        self._waiting: deque[Callable[[], None]] = deque()

    def acquire(self, start: Callable[[], None]) -> None:
        """Call `start` now, or when it is its turn. Whoever has started gives its way back once."""
        if self.in_use < self.limit:
            self.in_use += 1
            start()
        else:
            self._waiting.append(start)

    def release(self) -> None:
        self.in_use -= 1
        if self._waiting and self.in_use < self.limit:
            self.in_use += 1
            self._waiting.popleft()()


class BufferBudget:
    """For what slow clients have not taken yet of their answers."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0

    def allows_more(self, held: int) -> bool:
        """Whether one that holds so much may hold more."""
        return held < max(1, (self.limit - self.held) // 4)


class Upload:
    """A request's body under way, from its client to the one attempt that takes it."""

    def __init__(self, source: Source, length: int | None) -> None:
        self.source = source
        self.length = length  # None: it is told by its end
        self.ended = False
        self.forwarded = False  # something was passed on that is not kept
        self._held = b""
        self._sink: Sink | None = None

    def put(self, data: bytes, last: bool) -> bool:
        """What came next; False: bring no more until resumed."""
        self.ended = last
        if self._sink is None:
            self._held += data
            return False
        self.forwarded = True
        return self._sink.write_body(data, last)

    def attach(self, sink: Sink) -> None:
        """The sink has written the beginning, and takes the rest from here on."""
        self._sink = sink
        held, self._held = self._held, b""
        if held or self.ended:
            self.forwarded = self.forwarded or bool(held)
            if not sink.write_body(held, self.ended):
                return
        self.source.resume()

    def drained(self, sink: Sink) -> None:
        if sink is self._sink and not self.ended:
            self.source.resume()

    def detach(self, sink: Sink) -> None:
        if sink is self._sink:
            self._sink = None
