"""A ledger looked at from outside, offline: is it sound, and does everybody agree on what was used?"""

import hashlib
import json
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import zstandard

from millfront.operators.slices import run_to_end
from millfront.usage.batches import Batch, key_of, making, parsed
from millfront.usage.ledger import Receipt, Segment, chained, receipts_of, segments_of
from millfront.usage.records import Gap, Head, Opened, Result, Scan, Settled, read
from millfront.usage.sinks import SpoolEntry, SpoolSink, linked, unpacked


@dataclass(slots=True)
class Seen:
    """What lies in a ledger's folder."""

    source: str = ""
    ledger: str = ""
    receipts: list[Receipt] = field(default_factory=list)
    segments: list[Segment] = field(default_factory=list)
    records: int = 0
    open: dict[int, Opened] = field(default_factory=dict)
    waiting: Counter[str] = field(default_factory=Counter)  # tries by result, not yet exported
    waiting_units: float = 0.0
    unrecorded_tries: int = 0
    unrecorded_units: float = 0.0
    faults: list[str] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)  # what is as a crash leaves it, and harmless


def look(folder: Path) -> Seen:
    """Read the whole of a ledger; it may be in use meanwhile, then its last segment is as far as it was
    read."""
    seen = Seen()
    try:
        identity = json.loads((folder / "ledger.json").read_bytes())
        seen.ledger = str(identity["ledger"])
    except (OSError, ValueError, KeyError, TypeError) as wrong:
        seen.faults.append(f"ledger.json: {wrong}")
    _receipts(folder, seen)
    segments = segments_of(folder)
    chain: str | None = None
    after = -1
    for position, segment in enumerate(segments):
        chain, after = _segment(segment, seen, chain, after, position + 1 == len(segments))
    return seen


def _receipts(folder: Path, seen: Seen) -> None:
    before = ""
    try:
        for receipt in receipts_of(folder):
            if receipt.chain != chained(before, receipt):
                seen.faults.append(f"receipts.jsonl: {receipt.batch}: the chain is broken here")
            if seen.receipts and receipt.first <= seen.receipts[-1].last:
                seen.faults.append(f"receipts.jsonl: {receipt.batch}: overlaps the one before")
            before = receipt.chain
            seen.receipts.append(receipt)
    except (msgspec.MsgspecError, OSError) as wrong:
        seen.faults.append(f"receipts.jsonl: {wrong}")


def _segment(segment: Segment, seen: Seen, chain: str | None, after: int, last: bool) -> tuple[str, int]:
    data = segment.path.read_bytes()
    scan = Scan()
    name = segment.path.name
    acknowledged = seen.receipts[-1].last if seen.receipts else -1
    head: Head | None = None
    for _, seq, record in read(data, scan):
        seen.records += 1
        if isinstance(record, Head):
            head = record
            seen.source = record.source
            seen.open = dict(record.open)
            if record.ledger != seen.ledger:
                seen.faults.append(f"{name}: of another ledger, {record.ledger}")
            if chain is not None and record.chain != chain:
                seen.faults.append(f"{name}: does not follow the segment before it")
        elif isinstance(record, Opened):
            seen.open[seq] = record
        elif isinstance(record, Settled):
            if seen.open.pop(record.opened, None) is None and record.result != Result.ABANDONED:
                # A former life's tries are settled at the beginning of the next one, whose head names none
                seen.faults.append(f"{name}: {seq} settles {record.opened}, which is not out")
            if seq > acknowledged:
                seen.waiting[Result(record.result).name.lower()] += 1
                seen.waiting_units += record.units
        elif isinstance(record, Gap):
            seen.unrecorded_tries += record.tries
            seen.unrecorded_units += record.units
    if head is None:
        seen.faults.append(f"{name}: has no head")
    for first, end in scan.missing:
        seen.faults.append(f"{name}: records {first} to {end} are damaged")
    if not last and scan.next_seq < segment.next_seq:
        seen.faults.append(f"{name}: records {scan.next_seq} to {segment.next_seq - 1} are lost")
    if scan.torn_bytes:
        seen.notes.append(f"{name}: {scan.torn_bytes} bytes of a write that was cut")
    if 0 <= after < segment.first - 1 and after + 1 > acknowledged + 1:
        seen.faults.append(f"{name}: records {after + 1} to {segment.first - 1} are nowhere")
    seen.segments.append(Segment(segment.first, max(scan.next_seq, segment.first), segment.path, len(data)))
    return hashlib.blake2b(data[: scan.end], digest_size=16).hexdigest(), scan.next_seq - 1


# ---- reconciling ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Other:
    """The other side's account of one ledger."""

    digests: Mapping[str, tuple[str, int]]  # batch to digest and lines
    lines: Counter[tuple[str, ...]] | None  # units by key, in millionths


def from_receiver(batches: list[dict[str, Any]], lines: list[dict[str, Any]], ledger: str) -> Other:
    digests = {
        str(b["batch"]): (str(b["digest"]), int(b["lines"])) for b in batches if f".{ledger}." in b["batch"]
    }
    names = ("period", "customer", "plan", "plan_version", "class", "standing", "figure", "gatekeeper")
    return Other(
        digests, Counter({tuple(str(line[n]) for n in names): round(line["units"] * 1e6) for line in lines})
    )


def from_spool(folder: Path, ledger: str) -> tuple[Other, list[str]]:
    """A spool folder's account, and what is wrong with its own chain and files."""
    faults: list[str] = []
    digests: dict[str, tuple[str, int]] = {}
    lines: Counter[tuple[str, ...]] = Counter()
    before = ""
    whole = True
    for entry in SpoolSink(folder).entries():
        faults += _spooled(entry, before)
        before = entry.chain
        if f".{ledger}." not in entry.batch:
            continue
        digests[entry.batch] = (entry.digest, entry.lines)
        path = folder / f"{entry.batch}.jsonl.zst"
        if not path.exists():
            whole = False  # whoever empties the folder has it by now
            continue
        try:
            text = unpacked(path.read_bytes())
        except zstandard.ZstdError as wrong:
            faults.append(f"{path.name}: {wrong}")
            continue
        if hashlib.sha256(text).hexdigest() != entry.digest:
            faults.append(f"{path.name}: is not what the manifest says")
        for line in parsed(text)[1]:
            lines[key_of(line)] += round(line.units * 1e6)
    return Other(digests, lines if whole else None), faults


def _spooled(entry: SpoolEntry, before: str) -> list[str]:
    good = entry.chain == linked(before, entry.batch, entry.digest)
    return [] if good else [f"manifest.jsonl: {entry.batch}: the chain is broken here"]


def compare(folder: Path, seen: Seen, other: Other, period_s: int) -> list[str]:
    """Every difference between the ledger with its receipts and the other side, a line each."""
    told: list[str] = []
    own: Counter[tuple[str, ...]] = Counter()
    kept_all = True
    names = {receipt.batch: receipt for receipt in seen.receipts}
    for name, receipt in names.items():
        held = other.digests.get(name)
        if held is None:
            told.append(f"{name}: has a receipt here, and is not there")
        elif held != (receipt.digest, receipt.lines):
            told.append(f"{name}: is another one there: {held[1]} lines, digest {held[0][:12]}")
        path = folder / "sent" / f"{name}.jsonl.zst"
        if not path.exists():
            kept_all = False
            continue
        text = unpacked(path.read_bytes())
        if hashlib.sha256(text).hexdigest() != receipt.digest:
            told.append(f"{name}: the batch kept here is not what its receipt says")
        for line in parsed(text)[1]:
            own[key_of(line)] += round(line.units * 1e6)
    for name, (digest, _) in other.digests.items():
        if name in names:
            continue
        batch = _waiting(seen, name, period_s)
        if batch is None or batch.digest != digest:
            told.append(f"{name}: is there, and neither has a receipt nor waits here")
            continue
        for line in parsed(batch.text)[1]:
            own[key_of(line)] += round(line.units * 1e6)
    if kept_all and other.lines is not None:
        for key in sorted(set(own) | set(other.lines)):
            if own[key] != other.lines[key]:
                told.append(f"{' '.join(key)}: {own[key] / 1e6:g} here, {other.lines[key] / 1e6:g} there")
    return told


def _waiting(seen: Seen, name: str, period_s: int) -> Batch | None:
    """The batch of that name, made from a segment that is still here."""
    for segment in seen.segments:
        if f".{segment.first:016x}-" in name:
            data = segment.path.read_bytes()
            made = run_to_end(making(data, segment.first, segment.next_seq, period_s))
            return made if made.name == name else None
    return None
