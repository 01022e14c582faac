"""Streaming of bodies that are too long to be buffered whole: forwarded as they arrive, each side read only
as fast as the other one takes the data.

Of a request body at most one read (64 KiB) is held that the kernel has not taken for the member, besides its
first 64 KiB. More of a response may be held, so that its attempt ends and its member is free while a slow
client still reads: up to a quarter of what is left of the budget for all responses (BufferBudget), and always
one read. The number of responses streamed at once is limited (BodySlots); the next one waits unread.
"""

from collections import deque
from collections.abc import Callable
from typing import Protocol

BODY_BUFFER_BYTES = 64 * 1024  # that each body may always hold: its beginning, then one read at a time
BODIES_MEMORY_DIVISOR = 4  # 1/4 of the memory is for streamed bodies, each with BODY_BUFFER_BYTES
RESPONSES_MEMORY_DIVISOR = 8  # 1/8 of the memory is for what slow clients have not read beyond that


class Source(Protocol):
    """Produces a body; stays paused until resumed."""

    def resume(self) -> None:
        """Produce more: the kernel has taken what came before."""

    def abandon(self) -> None:
        """The rest of the body is not wanted."""


class Sink(Protocol):
    """Forwards a request's body."""

    def write_body(self, data: bytes, last: bool) -> bool:
        """Write it. False: send no more until drained."""


class BodySlots:
    """Limits how many bodies are streamed at once; waiters are served in order."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.in_use = 0
        self._waiting: deque[Callable[[], None]] = deque()

    def acquire(self, start: Callable[[], None]) -> None:
        """Call `start` now or once a slot is free. Each started caller must call release() once."""
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
    """Bytes of responses that slow clients have not read yet, over all clients."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0

    def allows_more(self, held: int) -> bool:
        """Whether a response that holds `held` bytes may hold more."""
        return held < max(1, (self.limit - self.held) // 4)


class Upload:
    """A request's body that is still arriving, from its client to the one attempt that takes it."""

    def __init__(self, source: Source, length: int | None) -> None:
        self.source = source
        self.length = length  # in bytes; None: unknown until its end
        self.ended = False
        self.forwarded = False  # some of it was passed on and is no longer held here
        self._held = b""
        self._sink: Sink | None = None

    def put(self, data: bytes, last: bool) -> bool:
        """Take the next bytes. False: read no more until resumed."""
        self.ended = last
        if self._sink is None:
            self._held += data
            return False
        self.forwarded = True
        return self._sink.write_body(data, last)

    def attach(self, sink: Sink) -> None:
        """The sink has written the beginning of the body and takes the rest from now on."""
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
