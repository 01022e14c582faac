"""The ledger's records and their file format. No I/O.

A segment is a sequence of frames: `\\xa7u`, kind, length, sequence number, CRC-32 (zlib) over kind, length,
sequence number and payload, payload (MessagePack). The first frame is the head. Sequence numbers go up by one
from frame to frame, over all segments of a ledger, so that missing records can be identified.
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
# In a head's frame, whose real length may not fit: the payload's first four bytes hold it
HEAD_LENGTH_MARKER = 0


class Kind(IntEnum):
    HEAD = 0
    OPENED = 1  # an attempt is about to be sent
    SETTLED = 2  # the attempt has ended
    GAP = 3  # attempts that could not be recorded


class Result(IntEnum):
    """How the units that a settled attempt costs its customer were determined."""

    TOLD = 0  # a successful answer reported the true units
    GUESSED = 1  # it may have run, but no answer reported units: the guess, as charged to the quota
    NEVER = 2  # it certainly never ran: no units
    ABANDONED = 3  # the gatekeeper died while it was open: the guess


STANDINGS = {Standing.INSIDE: 0, Standing.RESERVED: 1, Standing.BEYOND: 2}
STANDING_NAMES = ("inside", "reserved", "beyond")
RESULT_NAMES = ("told", "guessed", "never", "abandoned")


class Opened(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """An attempt when it is sent: time in µs of Unix time, units as guessed on the request's arrival."""

    at_us: int
    request: str
    customer: int
    plan: str
    version: int
    cls: str
    standing: int
    guess: float


class Settled(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Repeats the whole attempt, so that a segment can be read without earlier ones."""

    opened_seq: int  # sequence number of the attempt's OPENED record
    at_us: int
    result: int
    units: float  # to bill
    attempt: Opened


class Gap(msgspec.Struct, array_like=True, frozen=True, gc=False):
    at_us: int
    tries: int
    units: float


class Head(msgspec.Struct, array_like=True, frozen=True):
    format: int
    ledger: str  # random id drawn at creation, so another disk under the same source name is another ledger
    source: str
    created_us: int
    chain: str  # digest of the valid part of the previous segment; empty in the first one
    open: list[tuple[int, Opened]]  # attempts open when the segment was started


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
        raise ValueError(f"record of {length} bytes is longer than a frame holds")
    crc = zlib.crc32(payload, zlib.crc32(struct.pack("<BHQ", kind, length, seq)))
    return FRAME.pack(MAGIC, kind, length, seq, crc) + payload


@dataclass(slots=True)
class Scan:
    """What reading a segment found besides its records."""

    end: int = 0  # offset after the last valid frame
    next_seq: int = 0
    missing: list[tuple[int, int]] = field(default_factory=list)  # ranges (first, last) of damaged records
    torn_bytes: int = 0  # after the last valid frame: an incomplete write


def read_records(data: bytes, scan: Scan) -> Iterator[tuple[int, int, Payload]]:
    """Yields the valid records of a segment as (kind, sequence number, record).

    Skips damage in the middle up to the next valid frame; bytes after the last one count as torn.
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
    """The valid frame at that offset as (kind, sequence number, record, size in bytes), or None."""
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
