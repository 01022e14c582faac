"""Chunked state transfer: how a long text gets from a replica to a process that lacks it without holding up
anything. No I/O, no clock.

Who holds an earlier version says which, and is answered with deltas from there on where the replica has them,
else with the text's stamp, length and digest, and asks for its chunks (`piece`) one by one. A text counts
only once its digest is right; a delta that does not give it ends in asking for the whole. Lengths are
characters. Bounds: docs/design/catching-up.md.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from result import Err, Ok

from millfront.register import deltas
from millfront.register.values import Message, Value, digest_of

MAX_INLINE_CHARS = 4096  # goes whole in any answer
CHUNK_CHARS = 128 * 1024  # of one message
MAX_CHAIN_CHARS = 64 * 1024  # of the deltas kept for a key, as they go on a line
MAX_COPIED_CHARS = 64 * 1024 * 1024  # that following all deltas of a key copies at most
MIN_DELTA_GAIN = 4  # deltas that are longer than this part of the text save little: texts pack better
MAX_PINNED = 2  # texts that are handed out by chunks and may be older than what is held
MAX_PIN_CHANGES = 64  # a pinned text is let go after so many newer ones: eight a second for 8 s
# What is longer can't be on a line whole (MAX_LINE_BYTES of transport/connections.py), so is in no register
MAX_TEXT_CHARS = 12 * 1024 * 1024
Stamp = tuple[int, str]


class Offer(NamedTuple):
    """A long text that can be had: by these deltas from what the other end holds, else by chunks."""

    version: int
    tie: str
    length: int
    digest: str
    chain: list[deltas.Steps] | None

    @property
    def stamp(self) -> Stamp:
        """(version, tie) of the offered text."""
        return self.version, self.tie

    @classmethod
    def from_wire(cls, wire: Any) -> "Offer":
        """:raises ValueError: it is no offer"""
        match wire:
            case [int() as version, str() as tie, int() as length, str() as digest, list() | None as chain]:
                if 0 <= length <= MAX_TEXT_CHARS:
                    return cls(version, tie, length, digest, chain)
        raise ValueError("no offer")


@dataclass(slots=True)
class _EarlierVersion:
    """One version before, and the delta to the one after it."""

    stamp: Stamp
    steps: deltas.Steps
    size: int


@dataclass(slots=True)
class _Pin:
    value: Value
    changes: int = 0  # that came since


class Archive:
    """What a replica serves of long texts beyond the versions it holds: deltas from earlier versions, and
    texts whose chunks are being requested. In memory; bounded by MAX_CHAIN_CHARS and MAX_PINNED.

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
        """A newer version is held from now on."""
        for pin in [found for (of, _), found in self._pins.items() if of == key]:
            pin.changes += 1
        self._pins = {at: pin for at, pin in self._pins.items() if pin.changes <= MAX_PIN_CHANGES}
        chain = self._chains.setdefault(key, deque())
        steps = None
        if len(new.data) > MAX_INLINE_CHARS:
            steps = deltas.difference(old.data, new.data, min(MAX_CHAIN_CHARS, len(new.data) // 2))
        if steps is None:  # nothing earlier leads here
            del self._chains[key]
            return
        chain.append(_EarlierVersion((old.version, old.tie), steps, deltas.wire_size(steps)))
        while (
            sum(earlier.size for earlier in chain) > MAX_CHAIN_CHARS
            or len(chain) * len(new.data) > MAX_COPIED_CHARS
        ):
            chain.popleft()

    def offer(self, key: str, value: Value, held: Any) -> Offer:
        """:param held: the stamp of what the other end holds of it, or None"""
        stamp = (value.version, value.tie)
        if self._digests.get(key, ((-1, ""), ""))[0] != stamp:
            self._digests[key] = (stamp, digest_of(value.data))
        chain = None
        if isinstance(held, list):
            earlier = self._chains.get(key, deque())
            at = next((n for n, one in enumerate(earlier) if list(one.stamp) == held), None)
            found = list(earlier)[at:] if at is not None else []
            if found and sum(one.size for one in found) < len(value.data) // MIN_DELTA_GAIN:
                chain = [one.steps for one in found]
        return Offer(*stamp, len(value.data), self._digests[key][1], chain)

    def chunk(self, key: str, value: Value, stamp: Any, start: int) -> Message:
        """A piece of that version, as long as it is here; else the first of the one held. A text that changes
        while its chunks are handed out is kept until the last one, so that who asks gets on."""
        pin = self._pins.get((key, (stamp[0], stamp[1])))
        if pin is not None:
            value = pin.value
        elif value.stamp != stamp:
            start = 0
        at = (key, (value.version, value.tie))
        text = value.data[start : start + CHUNK_CHARS]
        if start + CHUNK_CHARS >= len(value.data):
            self._pins.pop(at, None)
        elif at not in self._pins:
            if len(self._pins) >= MAX_PINNED:
                del self._pins[next(iter(self._pins))]
            self._pins[at] = _Pin(value)
        digest = self._digests.get(key)
        if digest is None or digest[0] != at[1]:
            known = digest_of(value.data) if start == 0 else ""  # later ones go with what the first has told
        else:
            known = digest[1]
        return {"k": key, "s": value.stamp, "n": len(value.data), "h": known, "o": start, "x": text}

    def inline_or_offer(
        self, values: dict[str, Value], held: dict[str, Any], stamps_only: bool = False
    ) -> tuple[dict[str, Any], dict[str, Any]]:
        """What goes whole in one answer, and the offers of the rest.

        :param stamps_only: of a long one, whatever its length; else one of a piece's length goes whole
        """
        found, offers = {}, {}
        whole = 0 if stamps_only else CHUNK_CHARS
        for key, value in values.items():
            if len(value.data) <= MAX_INLINE_CHARS:
                found[key] = value.to_wire()
                continue
            offer = self.offer(key, value, held.get(key))
            if offer.chain is None and len(value.data) <= whole:
                whole -= len(value.data)
                found[key] = value.to_wire()
            else:
                offers[key] = list(offer)
        return found, offers


@dataclass(slots=True)
class _IncomingText:
    """A text on its way, as far as it is here."""

    stamp: Stamp
    length: int
    digest: str
    parts: list[str] = field(default_factory=list)
    received: int = 0


class IncomingTexts:
    """Long texts on their way to one process, one of each key.

    >>> archive, arrivals, one = Archive(), IncomingTexts(), Value(1, "a", "long " * 60000)
    >>> found = arrivals.accept_offer("k", archive.offer("k", one, None), None)
    >>> while not isinstance(found, Value):
    ...     found = arrivals.add_chunk(archive.chunk("k", one, found["s"], found["o"]))
    >>> found == one and found.data == one.data
    True
    """

    def __init__(self) -> None:
        self._incoming: dict[str, _IncomingText] = {}

    def accept_offer(self, key: str, offer: Offer, held: Value | None) -> Value | Message:
        """:param held: what is here of it
        :returns: the text, or the question for its next piece
        """
        if offer.chain is not None and held is not None:
            match deltas.apply_chain(held.data, offer.chain, offer.length, offer.digest):
                case Ok(text):
                    self._incoming.pop(key, None)
                    return Value(offer.version, offer.tie, text)
                case Err(_):
                    pass  # another text, or spoilt: the whole
        coming = self._incoming.get(key)
        if coming is None or (coming.stamp, coming.digest) != (offer.stamp, offer.digest):
            self._incoming[key] = _IncomingText(offer.stamp, offer.length, offer.digest)
        return self._next_request(key)

    def add_chunk(self, message: Message) -> Value | Message | None:
        """A piece has come. None: it is not the one that was asked for, or the whole is not what it should be
        and is forgotten."""
        key, stamp, start, text = message["k"], (message["s"][0], message["s"][1]), message["o"], message["x"]
        coming = self._incoming.get(key)
        if coming is None:
            return None
        if stamp > coming.stamp and start == 0 and 0 <= message["n"] <= MAX_TEXT_CHARS:
            # What was asked for is nowhere any more
            coming = self._incoming[key] = _IncomingText(stamp, message["n"], message["h"])
        if stamp != coming.stamp or start != coming.received or coming.received + len(text) > coming.length:
            return None
        if not text and coming.length:
            return None
        coming.parts.append(text)
        coming.received += len(text)
        if coming.received < coming.length:
            return self._next_request(key)
        del self._incoming[key]
        whole = "".join(coming.parts)
        return Value(*stamp, whole) if digest_of(whole) == coming.digest else None

    def discard_superseded(self, key: str, value: Value) -> None:
        """It is here by whichever way: no piece of this or an earlier version is waited for."""
        coming = self._incoming.get(key)
        if coming is not None and coming.stamp <= (value.version, value.tie):
            del self._incoming[key]

    def _next_request(self, key: str) -> Message:
        coming = self._incoming[key]
        return {"t": "piece?", "k": key, "s": list(coming.stamp), "o": coming.received}
