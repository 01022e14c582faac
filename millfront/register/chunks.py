"""Chunked state transfer: sends a long text from a replica to a process that lacks it, without delaying other
messages. No I/O, no clock.

A process that holds an earlier version names it. It is answered with deltas from that version where the
replica has them, else with the text's stamp, length and digest, and then requests the chunks (`piece`) one by
one. A text is accepted only if its digest matches; after deltas that give another digest the whole text is
requested. Lengths are in characters. Bounds: docs/design/catching-up.md.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from result import Err, Ok

from millfront.register import deltas
from millfront.register.values import Message, Value, digest_of

MAX_INLINE_CHARS = 4096  # up to this length a text is part of any answer
CHUNK_CHARS = 128 * 1024  # of one message
MAX_CHAIN_CHARS = 64 * 1024  # encoded size of the deltas kept for a key
MAX_COPIED_CHARS = 64 * 1024 * 1024  # copied at most when all deltas of a key are applied
MIN_DELTA_GAIN = 4  # deltas longer than 1/4 of the text save little, as whole texts compress better
MAX_PINNED = 2  # texts of which chunks are being sent, and which may be older than the current version
MAX_PIN_CHANGES = 64  # a pinned text is dropped after this many newer versions: 8 s at 8 changes a second
# A longer text does not fit in a message (line limit in transport/connections.py), so no register holds one
MAX_TEXT_CHARS = 12 * 1024 * 1024
Stamp = tuple[int, str]


class Offer(NamedTuple):
    """Announces a long text: `chain` builds it from the version the receiver holds; None: request chunks."""

    version: int
    tie: str
    length: int
    digest: str
    chain: list[deltas.Steps] | None

    @property
    def stamp(self) -> Stamp:
        """(version, tie) of the announced text."""
        return self.version, self.tie

    @classmethod
    def from_wire(cls, wire: Any) -> "Offer":
        """
        :raises ValueError: not [version, tie, length, digest, chain], or longer than MAX_TEXT_CHARS
        """
        match wire:
            case [int() as version, str() as tie, int() as length, str() as digest, list() | None as chain]:
                if 0 <= length <= MAX_TEXT_CHARS:
                    return cls(version, tie, length, digest, chain)
        raise ValueError("expected an offer [version, tie, length <= MAX_TEXT_CHARS, digest, chain]")


@dataclass(slots=True)
class _EarlierVersion:
    """An earlier version, and the delta to the next one."""

    stamp: Stamp
    steps: deltas.Steps
    size: int


@dataclass(slots=True)
class _Pin:
    value: Value
    changes: int = 0  # newer versions since then


class Archive:
    """Serves long texts: deltas from earlier versions, and texts whose chunks are being requested. Held in
    memory; bounded by MAX_CHAIN_CHARS and MAX_PINNED.

    >>> archive, one, two = Archive(), Value(1, "a", "x" * 5000), Value(2, "b", "x" * 5000 + "y")
    >>> archive.record_change("k", one, two)
    >>> archive.offer("k", two, [1, "a"]).chain, archive.offer("k", two, None).chain
    ([[[0, 5000], 'y']], None)
    """

    def __init__(self) -> None:
        self._chains: dict[str, deque[_EarlierVersion]] = {}
        self._pins: dict[tuple[str, Stamp], _Pin] = {}
        self._digests: dict[str, tuple[Stamp, str]] = {}

    def record_change(self, key: str, old: Value, new: Value) -> None:
        """Version `new` replaces `old`: extend the chain of deltas."""
        for pin in [found for (pinned_key, _), found in self._pins.items() if pinned_key == key]:
            pin.changes += 1
        self._pins = {pin_key: pin for pin_key, pin in self._pins.items() if pin.changes <= MAX_PIN_CHANGES}
        chain = self._chains.setdefault(key, deque())
        steps = None
        if len(new.data) > MAX_INLINE_CHARS:
            steps = deltas.difference(old.data, new.data, min(MAX_CHAIN_CHARS, len(new.data) // 2))
        if steps is None:  # no earlier version can be brought up to this one
            del self._chains[key]
            return
        chain.append(_EarlierVersion((old.version, old.tie), steps, deltas.wire_size(steps)))
        while (
            sum(version.size for version in chain) > MAX_CHAIN_CHARS
            or len(chain) * len(new.data) > MAX_COPIED_CHARS
        ):
            chain.popleft()

    def offer(self, key: str, value: Value, held: Any) -> Offer:
        """The offer of a value.

        :param held: stamp of the version that the receiver holds, or None
        """
        stamp = (value.version, value.tie)
        if self._digests.get(key, ((-1, ""), ""))[0] != stamp:
            self._digests[key] = (stamp, digest_of(value.data))
        chain = None
        if isinstance(held, list):
            earlier = self._chains.get(key, deque())
            start = next((n for n, version in enumerate(earlier) if list(version.stamp) == held), None)
            since = list(earlier)[start:] if start is not None else []
            if since and sum(version.size for version in since) < len(value.data) // MIN_DELTA_GAIN:
                chain = [version.steps for version in since]
        return Offer(*stamp, len(value.data), self._digests[key][1], chain)

    def chunk(self, key: str, value: Value, stamp: Any, start: int) -> Message:
        """A chunk of the version with that stamp if it is still here, else the first chunk of `value`. A text
        that is replaced while its chunks are sent is kept until the last one, so that the transfer completes.

        :param start: offset in the text
        """
        pin = self._pins.get((key, (stamp[0], stamp[1])))
        if pin is not None:
            value = pin.value
        elif value.stamp != stamp:
            start = 0
        pin_key = (key, (value.version, value.tie))
        text = value.data[start : start + CHUNK_CHARS]
        if start + CHUNK_CHARS >= len(value.data):
            self._pins.pop(pin_key, None)
        elif pin_key not in self._pins:
            if len(self._pins) >= MAX_PINNED:
                del self._pins[next(iter(self._pins))]
            self._pins[pin_key] = _Pin(value)
        digest = self._digests.get(key)
        if digest is None or digest[0] != pin_key[1]:
            known = digest_of(value.data) if start == 0 else ""  # the receiver has it from the first chunk
        else:
            known = digest[1]
        return {"k": key, "s": value.stamp, "n": len(value.data), "h": known, "o": start, "x": text}

    def inline_or_offer(
        self, values: dict[str, Value], held: dict[str, Any], stamps_only: bool = False
    ) -> tuple[dict[str, Any], dict[str, Any]]:
        """The texts that one answer carries whole, and the offers of the others.

        :param held: stamps of the versions that the receiver holds, by key
        :param stamps_only: offer every long text; otherwise long texts of CHUNK_CHARS in all are sent whole
        """
        found, offers = {}, {}
        remaining = 0 if stamps_only else CHUNK_CHARS
        for key, value in values.items():
            if len(value.data) <= MAX_INLINE_CHARS:
                found[key] = value.to_wire()
                continue
            offer = self.offer(key, value, held.get(key))
            if offer.chain is None and len(value.data) <= remaining:
                remaining -= len(value.data)
                found[key] = value.to_wire()
            else:
                offers[key] = list(offer)
        return found, offers


@dataclass(slots=True)
class _IncomingText:
    """A text being received."""

    stamp: Stamp
    length: int
    digest: str
    parts: list[str] = field(default_factory=list)
    received: int = 0


class IncomingTexts:
    """Long texts being received by one process, one for each key.

    >>> archive, incoming, one = Archive(), IncomingTexts(), Value(1, "a", "long " * 60000)
    >>> found = incoming.accept_offer("k", archive.offer("k", one, None), None)
    >>> while not isinstance(found, Value):
    ...     found = incoming.add_chunk(archive.chunk("k", one, found["s"], found["o"]))
    >>> found == one and found.data == one.data
    True
    """

    def __init__(self) -> None:
        self._incoming: dict[str, _IncomingText] = {}

    def accept_offer(self, key: str, offer: Offer, held: Value | None) -> Value | Message:
        """Build the text from the offer's deltas, or start to receive it in chunks.

        :param held: the version held here
        :returns: the text, or the request for its next chunk
        """
        if offer.chain is not None and held is not None:
            match deltas.apply_chain(held.data, offer.chain, offer.length, offer.digest):
                case Ok(text):
                    self._incoming.pop(key, None)
                    return Value(offer.version, offer.tie, text)
                case Err(_):
                    pass  # another text or damaged deltas: request the whole text
        incoming = self._incoming.get(key)
        if incoming is None or (incoming.stamp, incoming.digest) != (offer.stamp, offer.digest):
            self._incoming[key] = _IncomingText(offer.stamp, offer.length, offer.digest)
        return self._next_request(key)

    def add_chunk(self, message: Message) -> Value | Message | None:
        """A chunk was received: returns the complete text or the request for the next chunk; None if it is
        not the requested chunk, or if the digest of the text does not match and the text is dropped."""
        key, stamp, start, text = message["k"], (message["s"][0], message["s"][1]), message["o"], message["x"]
        incoming = self._incoming.get(key)
        if incoming is None:
            return None
        if stamp > incoming.stamp and start == 0 and 0 <= message["n"] <= MAX_TEXT_CHARS:
            # The requested version is no longer available
            incoming = self._incoming[key] = _IncomingText(stamp, message["n"], message["h"])
        if (
            stamp != incoming.stamp
            or start != incoming.received
            or incoming.received + len(text) > incoming.length
        ):
            return None
        if not text and incoming.length:
            return None
        incoming.parts.append(text)
        incoming.received += len(text)
        if incoming.received < incoming.length:
            return self._next_request(key)
        del self._incoming[key]
        complete = "".join(incoming.parts)
        return Value(*stamp, complete) if digest_of(complete) == incoming.digest else None

    def discard_superseded(self, key: str, value: Value) -> None:
        """The value was received by other means: drop a transfer of this or an earlier version."""
        incoming = self._incoming.get(key)
        if incoming is not None and incoming.stamp <= (value.version, value.tie):
            del self._incoming[key]

    def _next_request(self, key: str) -> Message:
        incoming = self._incoming[key]
        return {"t": "piece?", "k": key, "s": list(incoming.stamp), "o": incoming.received}
