"""Whose turn it is to send: streams of one connection, fairly. No I/O.

Streams of the lowest urgency number go first (RFC 9218, 4.1: 0 to 7, 3 where nothing is said); among equals
a frame each in turn. A stream without window is out of the ring until it has some, so it delays nobody.
"""

from collections import OrderedDict

URGENCY_LEVELS = 8
DEFAULT_URGENCY = 3


def parse_urgency(priority: bytes) -> int:
    """The `u` of a Priority field (RFC 9218, 5); what can't be read is the default."""
    for part in priority.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name == b"u" and len(value) == 1 and b"0" <= value <= b"7":
            return int(value)
    return DEFAULT_URGENCY


class StreamScheduler:
    """The streams that have something to send and may."""

    def __init__(self) -> None:
        self._rings: list[OrderedDict[int, None]] = [OrderedDict() for _ in range(URGENCY_LEVELS)]
        self._urgencies: dict[int, int] = {}  # the ring that a stream is in

    def __len__(self) -> int:
        return len(self._urgencies)

    def add(self, stream: int, urgency: int) -> None:
        """Behind those of its urgency; one that is there already stays where it is."""
        if stream not in self._urgencies:
            self._urgencies[stream] = urgency
            self._rings[urgency][stream] = None

    def remove(self, stream: int) -> None:
        urgency = self._urgencies.pop(stream, None)
        if urgency is not None:
            del self._rings[urgency][stream]

    def set_urgency(self, stream: int, urgency: int) -> None:
        """The client has changed its mind (PRIORITY_UPDATE or a second field)."""
        if stream in self._urgencies:
            self.remove(stream)
            self.add(stream, urgency)

    def next(self) -> int | None:
        """The stream that sends a frame now; it goes to the end of its ring."""
        for ring in self._rings:
            for stream in ring:
                ring.move_to_end(stream)
                return stream
        return None
