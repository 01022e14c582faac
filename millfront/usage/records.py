"""The ledger's records and how they lie in a file. No I/O.

A segment is a run of frames: `\\xa7u`, kind, length, sequence number, CRC-32 (zlib) of all that beside
itself, payload (MessagePack). The first frame is the head. Sequence numbers go up by one from frame to
frame, over all segments of a ledger, so that what is missing can be named.
"""

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

import msgspec

from millfront.interface import Standing

FORMAT = 1
MAGIC = b"\xa7u"
FRAME = struct.Struct("<2sBHQI")
MAX_PAYLOAD_BYTES = 0xFFFF
# In a head's frame: its length stands in the payload's first four bytes, as it may be long
HEAD_LENGTH_MARKER = 0


class Kind(IntEnum):
    HEAD = 0
    OPENED = 1  # a try is about to go out
    SETTLED = 2  # nothing of it is out any more
    GAP = 3  # tries that could not be recorded


class Result(IntEnum):
    """What a settled try costs its customer."""

    TOLD = 0  # a good answer told the true units
    GUESSED = 1  # it may have run and no answer told: the guess, as the quota took it
    NEVER = 2  # it certainly never ran: nothing
    ABANDONED = 3  # the gatekeeper died with it out: the guess


STANDINGS = {Standing.INSIDE: 0, Standing.RESERVED: 1, Standing.BEYOND: 2}
STANDING_NAMES = ("inside", "reserved", "beyond")
RESULT_NAMES = ("told", "guessed", "never", "abandoned")


class Opened(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A try as it goes out: times in µs of Unix time, units as guessed on arrival."""

    at_us: int
    request: str
    customer: int
    plan: str
    version: int
    cls: str
    standing: int
    guess: float


class Settled(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Holds the whole try again: a segment is read without the ones before it."""

    opened_seq: int  # the sequence number of its OPENED
    at_us: int
    result: int
    units: float  # what is billed
    attempt: Opened


class Gap(msgspec.Struct, array_like=True, frozen=True, gc=False):
    at_us: int
    tries: int
    units: float


class Head(msgspec.Struct, array_like=True, frozen=True):
    format: int
    ledger: str  # drawn when the ledger was made: another disk under the same name is another ledger
    source: str
    created_us: int
    chain: str  # digest of the segment before, as far as it is sound; empty at the first
    open: list[tuple[int, Opened]]  # tries out when the segment was begun


Payload = Opened | Settled | Gap | Head
_encode = msgspec.msgpack.Encoder().encode
_decoders: dict[int, msgspec.msgpack.Decoder[Any]] = {
    Kind.HEAD: msgspec.msgpack.Decoder(Head),
    Kind.OPENED: msgspec.msgpack.Decoder(Opened),
    Kind.SETTLED: msgspec.msgpack.Decoder(Settled),
    Kind.GAP: msgspec.msgpack.Decoder(Gap),
}


def encode_frame(kind: Kind, seq: int, what: Payload) -> bytes:
    payload = _encode(what)
    length = len(payload)
    if kind is Kind.HEAD:
        payload, length = struct.pack("<I", length) + payload, HEAD_LENGTH_MARKER
    elif length > MAX_PAYLOAD_BYTES:
        raise ValueError(f"a record of {length} bytes")
    crc = zlib.crc32(payload, zlib.crc32(struct.pack("<BHQ", kind, length, seq)))
    return FRAME.pack(MAGIC, kind, length, seq, crc) + payload


@dataclass(slots=True)
class Scan:
    """What reading a segment found beside its records."""

    end: int = 0  # after the last sound frame
    next_seq: int = 0
    missing: list[tuple[int, int]] = field(default_factory=list)  # first and last sequence numbers, damaged
    torn_bytes: int = 0  # behind the last sound frame: a write that was cut


def read_records(data: bytes, scan: Scan) -> Iterator[tuple[int, int, Payload]]:
    """The sound records of a segment, as (kind, sequence number, record).

    Damage in the middle is stepped over to the next sound frame; what lies behind the last one is torn.
    """
    at, first = 0, True
    while at < len(data):
        found = _frame_at(data, at)
        if found is None:
            after = data.find(MAGIC, at + 1)
            while after >= 0 and (found := _frame_at(data, after)) is None:
                after = data.find(MAGIC, after + 1)
            if after < 0 or found is None:
                break
            at = after
        kind, seq, payload, size = found
        if not first and seq > scan.next_seq:
            scan.missing.append((scan.next_seq, seq - 1))
        first = False
        at += size
        scan.end, scan.next_seq = at, seq + 1
        yield kind, seq, payload
    scan.torn_bytes = len(data) - scan.end


def _frame_at(data: bytes, at: int) -> tuple[int, int, Payload, int] | None:
    """A sound frame there, or none."""
    if len(data) - at < FRAME.size:
        return None
    magic, kind, length, seq, crc = FRAME.unpack_from(data, at)
    if magic != MAGIC or kind not in _decoders:
        return None
    start = at + FRAME.size
    size = length
    if kind == Kind.HEAD:
        if len(data) < start + 4:
            return None
        size = 4 + int.from_bytes(data[start : start + 4], "little")
    payload = data[start : start + size]
    if len(payload) != size:
        return None
    if zlib.crc32(payload, zlib.crc32(struct.pack("<BHQ", kind, length, seq))) != crc:
        return None
    try:
        return (
            kind,
            seq,
            _decoders[kind].decode(payload[4:] if kind == Kind.HEAD else payload),
            FRAME.size + size,
        )
    except msgspec.MsgspecError:
        return None
