"""Builds the billing batch of a sealed segment; the same segment always gives the same bytes. No I/O.

A batch is a head line and one line for each period and key, as JSON, in a fixed order. Its name contains the
source, the ledger and the range of sequence numbers, so a batch that is rebuilt after a crash has the same
name and digest.
"""

import hashlib
import math
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from millfront.usage.records import (
    RESULT_NAMES,
    STANDING_NAMES,
    Gap,
    Head,
    Result,
    Scan,
    Settled,
    read_records,
)

RECORDS_PER_SLICE = 200  # takes about a millisecond
Key = tuple[
    int, str, str, int, str, str, str
]  # the fields period to figure of a Line, without the gatekeeper
UNIT_DIGITS = 6  # decimal places, so that float sums don't depend on the order of addition


class BatchHead(msgspec.Struct, frozen=True):
    batch: str
    source: str
    ledger: str
    first: int  # sequence numbers, both included
    last: int
    tries: int  # attempts settled and billed
    units: float  # billed, over all lines
    never_ran: int  # attempts settled and not billed
    unrecorded_tries: int  # sent but could not be recorded; their units are not in the lines
    unrecorded_units: float
    missing: list[tuple[int, int]]  # ranges of records lost by the disk
    lines: int


class Line(msgspec.Struct, frozen=True, order=True):
    """Usage of one key in one period."""

    period: int  # start, s of Unix time
    customer: str
    plan: str
    plan_version: int
    cls: str = msgspec.field(name="class")
    standing: str  # inside, reserved or beyond
    figure: str  # told, guessed or abandoned: see records.Result
    gatekeeper: str
    tries: int
    units: float


@dataclass(frozen=True, slots=True)
class Batch:
    name: str
    first: int
    last: int
    head: BatchHead
    text: bytes  # JSON lines
    digest: str  # SHA-256 of the text, hex

    @property
    def lines(self) -> int:
        return self.head.lines


def batch_name(source: str, ledger: str, first: int, last: int) -> str:
    return f"{source}.{ledger}.{first:016x}-{last:016x}"


def build_in_slices(data: bytes, first: int, next_seq: int, period_s: int) -> Iterator[Batch | None]:
    """Builds the batch of a segment's bytes in slices: yields None between them and the batch last.

    :param next_seq: first sequence number of the following segment; records between the last valid one and it
        count as missing
    """
    scan = Scan()
    sums: dict[Key, list[float]] = {}
    never_ran = gap_tries = 0
    gap_units = 0.0
    source = ledger = ""
    for records, (_, _, record) in enumerate(read_records(data, scan), 1):
        if isinstance(record, Settled):
            if record.result == Result.NEVER:
                never_ran += 1
            else:
                attempt = record.attempt
                period = record.at_us // 1_000_000 // period_s * period_s
                figure = RESULT_NAMES[record.result]
                standing = STANDING_NAMES[attempt.standing]
                key = (
                    period,
                    f"{attempt.customer:016x}",
                    attempt.plan,
                    attempt.version,
                    attempt.cls,
                    standing,
                    figure,
                )
                found = sums.setdefault(key, [0, 0.0])
                found[0] += 1
                found[1] += record.units
        elif isinstance(record, Gap):
            gap_tries += record.tries
            gap_units += record.units
        elif isinstance(record, Head):
            source, ledger = record.source, record.ledger
        if records % RECORDS_PER_SLICE == 0:
            yield None
    missing = list(scan.missing)
    if scan.next_seq < next_seq:
        missing.append((scan.next_seq, next_seq - 1))
    lines = [_line(key, source, *sums[key]) for key in sorted(sums)]
    head = BatchHead(
        batch_name(source, ledger, first, next_seq - 1),
        source,
        ledger,
        first,
        next_seq - 1,
        sum(line.tries for line in lines),
        round(math.fsum(line.units for line in lines), UNIT_DIGITS),
        never_ran,
        gap_tries,
        round(gap_units, UNIT_DIGITS),
        missing,
        len(lines),
    )
    text = b"".join(msgspec.json.encode(entry) + b"\n" for entry in (head, *lines))
    yield Batch(head.batch, first, next_seq - 1, head, text, hashlib.sha256(text).hexdigest())


def _line(key: Key, source: str, tries: float, units: float) -> Line:
    period, customer, plan, version, cls, standing, figure = key
    count, billed = int(tries), round(units, UNIT_DIGITS)
    return Line(period, customer, plan, version, cls, standing, figure, source, count, billed)


def line_key(line: Line) -> tuple[str, ...]:
    """The fields by which both sides sum up units, in the order of Line."""
    return (
        str(line.period),
        line.customer,
        line.plan,
        str(line.plan_version),
        line.cls,
        line.standing,
        line.figure,
        line.gatekeeper,
    )


def parse_batch(text: bytes) -> tuple[BatchHead, list[Line]]:
    """Decodes a batch.

    :raises msgspec.MsgspecError: the text is not a batch
    """
    head, *lines = text.splitlines()
    return msgspec.json.decode(head, type=BatchHead), [msgspec.json.decode(line, type=Line) for line in lines]
