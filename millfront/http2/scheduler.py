"""Decides which stream of a connection sends the next frame. No I/O.

Streams with the lowest urgency number go first (RFC 9218, 4.1: 0 to 7, by default 3); those of equal urgency
take turns, one frame each. A stream without a flow-control window is not scheduled until it has one, so that
it delays no other stream.
"""

from collections import OrderedDict

URGENCY_LEVELS = 8
DEFAULT_URGENCY = 3


def parse_urgency(priority: bytes) -> int:
    """Returns the `u` of a Priority field (RFC 9218, 5); the default if there is no valid one."""
    for part in priority.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name == b"u" and len(value) == 1 and b"0" <= value <= b"7":
            return int(value)
    return DEFAULT_URGENCY


class StreamScheduler:
    """The streams that have data to send and a window to send it in, by urgency."""

    def __init__(self) -> None:
        self._rings: list[OrderedDict[int, None]] = [OrderedDict() for _ in range(URGENCY_LEVELS)]
        self._urgencies: dict[int, int] = {}  # by stream: the ring that it is in

    def __len__(self) -> int:
        return len(self._urgencies)

    def add(self, stream: int, urgency: int) -> None:
        """Queues a stream behind those of its urgency; one that is queued already keeps its place."""
        if stream not in self._urgencies:
            self._urgencies[stream] = urgency
            self._rings[urgency][stream] = None

    def remove(self, stream: int) -> None:
        urgency = self._urgencies.pop(stream, None)
        if urgency is not None:
            del self._rings[urgency][stream]

    def set_urgency(self, stream: int, urgency: int) -> None:
        """Moves a queued stream to another urgency (PRIORITY_UPDATE or a second Priority field)."""
        if stream in self._urgencies:
            self.remove(stream)
            self.add(stream, urgency)

    def next(self) -> int | None:
        """Returns the stream that sends a frame now, and moves it to the end of its ring."""
        for ring in self._rings:
            for stream in ring:
                ring.move_to_end(stream)
                return stream
        return None
