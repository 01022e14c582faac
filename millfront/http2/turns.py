"""Whose turn it is to send: streams of one connection, fairly. No I/O.

Streams of the lowest urgency number go first (RFC 9218, 4.1: 0 to 7, 3 where nothing is said); among equals
a frame each in turn. A stream without window is out of the ring until it has some, so it delays nobody.
"""

from collections import OrderedDict

URGENCIES = 8
DEFAULT = 3


def urgency_of(priority: bytes) -> int:
    """The `u` of a Priority field (RFC 9218, 5); what can't be read is the default."""
    for part in priority.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name == b"u" and len(value) == 1 and b"0" <= value <= b"7":
            return int(value)
    return DEFAULT


class Turns:
    """The streams that have something to send and may."""

    def __init__(self) -> None:
        self._rings: list[OrderedDict[int, None]] = [OrderedDict() for _ in range(URGENCIES)]
        self._at: dict[int, int] = {}  # the ring that a stream is in

    def __len__(self) -> int:
        return len(self._at)

    def add(self, stream: int, urgency: int) -> None:
        """Behind those of its urgency; one that is there already stays where it is."""
        if stream not in self._at:
            self._at[stream] = urgency
            self._rings[urgency][stream] = None

    def drop(self, stream: int) -> None:
        urgency = self._at.pop(stream, None)
        if urgency is not None:
            del self._rings[urgency][stream]

    def move(self, stream: int, urgency: int) -> None:
        """The client has changed its mind (PRIORITY_UPDATE or a second field)."""
        if stream in self._at:
            self.drop(stream)
            self.add(stream, urgency)

    def next(self) -> int | None:
        """The stream that sends a frame now; it goes to the end of its ring."""
        for ring in self._rings:
            for stream in ring:
                ring.move_to_end(stream)
                return stream
        return None
