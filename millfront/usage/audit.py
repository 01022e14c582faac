"""Offline audit of a ledger: checks its integrity and compares its usage with the receiving side's."""

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
from millfront.usage.batches import Batch, build_in_slices, line_key, parse_batch
from millfront.usage.ledger import Receipt, Segment, list_segments, read_receipts, receipt_chain
from millfront.usage.records import Gap, Head, Opened, Result, Scan, Settled, read_records
from millfront.usage.sinks import SpoolEntry, SpoolSink, decompress, manifest_chain


@dataclass(slots=True)
class LedgerContents:
    """What was read from a ledger's folder."""

    source: str = ""
    ledger: str = ""
    receipts: list[Receipt] = field(default_factory=list)
    segments: list[Segment] = field(default_factory=list)
    records: int = 0
    open: dict[int, Opened] = field(default_factory=dict)
    waiting: Counter[str] = field(default_factory=Counter)  # attempts by result, not exported yet
    waiting_units: float = 0.0
    unrecorded_tries: int = 0
    unrecorded_units: float = 0.0
    faults: list[str] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)  # harmless traces of a crash


def read_ledger(folder: Path) -> LedgerContents:
    """Reads a whole ledger. If the ledger is in use, its last segment counts as far as it was read."""
    contents = LedgerContents()
    try:
        identity = json.loads((folder / "ledger.json").read_bytes())
        contents.ledger = str(identity["ledger"])
    except (OSError, ValueError, KeyError, TypeError) as error:
        contents.faults.append(f"ledger.json: {error}")
    _load_receipts(folder, contents)
    segments = list_segments(folder)
    chain: str | None = None
    after = -1
    for position, segment in enumerate(segments):
        chain, after = _load_segment(segment, contents, chain, after, position + 1 == len(segments))
    return contents


def _load_receipts(folder: Path, contents: LedgerContents) -> None:
    before = ""
    try:
        for receipt in read_receipts(folder):
            if receipt.chain != receipt_chain(before, receipt):
                contents.faults.append(f"receipts.jsonl: {receipt.batch}: the chain is broken here")
            if contents.receipts and receipt.first <= contents.receipts[-1].last:
                contents.faults.append(
                    f"receipts.jsonl: {receipt.batch}: its range overlaps the receipt before it"
                )
            before = receipt.chain
            contents.receipts.append(receipt)
    except (msgspec.MsgspecError, OSError) as error:
        contents.faults.append(f"receipts.jsonl: {error}")


def _load_segment(
    segment: Segment, contents: LedgerContents, chain: str | None, after: int, last: bool
) -> tuple[str, int]:
    data = segment.path.read_bytes()
    scan = Scan()
    name = segment.path.name
    acknowledged = contents.receipts[-1].last if contents.receipts else -1
    head: Head | None = None
    for _, seq, record in read_records(data, scan):
        contents.records += 1
        if isinstance(record, Head):
            head = record
            contents.source = record.source
            contents.open = dict(record.open)
            if record.ledger != contents.ledger:
                contents.faults.append(f"{name}: belongs to another ledger, {record.ledger}")
            if chain is not None and record.chain != chain:
                contents.faults.append(f"{name}: its chain does not match the segment before it")
        elif isinstance(record, Opened):
            contents.open[seq] = record
        elif isinstance(record, Settled):
            if contents.open.pop(record.opened_seq, None) is None and record.result != Result.ABANDONED:
                # After a crash the next segment starts by settling the open attempts; its head lists none
                contents.faults.append(f"{name}: record {seq} settles {record.opened_seq}, which is not open")
            if seq > acknowledged:
                contents.waiting[Result(record.result).name.lower()] += 1
                contents.waiting_units += record.units
        elif isinstance(record, Gap):
            contents.unrecorded_tries += record.tries
            contents.unrecorded_units += record.units
    if head is None:
        contents.faults.append(f"{name}: has no head record")
    for first, end in scan.missing:
        contents.faults.append(f"{name}: records {first} to {end} are damaged")
    if not last and scan.next_seq < segment.next_seq:
        contents.faults.append(f"{name}: records {scan.next_seq} to {segment.next_seq - 1} are lost")
    if scan.torn_bytes:
        contents.notes.append(f"{name}: {scan.torn_bytes} bytes of an incomplete write at the end")
    if 0 <= after < segment.first - 1 and after + 1 > acknowledged + 1:
        contents.faults.append(f"{name}: records {after + 1} to {segment.first - 1} before it are missing")
    contents.segments.append(
        Segment(segment.first, max(scan.next_seq, segment.first), segment.path, len(data))
    )
    return hashlib.blake2b(data[: scan.end], digest_size=16).hexdigest(), scan.next_seq - 1


# ---- reconciling ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RemoteAccount:
    """The receiving side's account of one ledger."""

    digests: Mapping[str, tuple[str, int]]  # by batch: digest and number of lines
    lines: Counter[tuple[str, ...]] | None  # units by key, in millionths; None: not known completely


def from_receiver(batches: list[dict[str, Any]], lines: list[dict[str, Any]], ledger: str) -> RemoteAccount:
    digests = {
        str(b["batch"]): (str(b["digest"]), int(b["lines"])) for b in batches if f".{ledger}." in b["batch"]
    }
    names = ("period", "customer", "plan", "plan_version", "class", "standing", "figure", "gatekeeper")
    return RemoteAccount(
        digests, Counter({tuple(str(line[n]) for n in names): round(line["units"] * 1e6) for line in lines})
    )


def from_spool(folder: Path, ledger: str) -> tuple[RemoteAccount, list[str]]:
    """A spool folder's account, and the faults in its own chain and files."""
    faults: list[str] = []
    digests: dict[str, tuple[str, int]] = {}
    lines: Counter[tuple[str, ...]] = Counter()
    before = ""
    complete = True
    for entry in SpoolSink(folder).entries():
        faults += _check_manifest_entry(entry, before)
        before = entry.chain
        if f".{ledger}." not in entry.batch:
            continue
        digests[entry.batch] = (entry.digest, entry.lines)
        path = folder / f"{entry.batch}.jsonl.zst"
        if not path.exists():
            complete = False  # already collected from the folder
            continue
        try:
            text = decompress(path.read_bytes())
        except zstandard.ZstdError as error:
            faults.append(f"{path.name}: {error}")
            continue
        if hashlib.sha256(text).hexdigest() != entry.digest:
            faults.append(f"{path.name}: its digest differs from the manifest")
        for line in parse_batch(text)[1]:
            lines[line_key(line)] += round(line.units * 1e6)
    return RemoteAccount(digests, lines if complete else None), faults


def _check_manifest_entry(entry: SpoolEntry, before: str) -> list[str]:
    good = entry.chain == manifest_chain(before, entry.batch, entry.digest)
    return [] if good else [f"manifest.jsonl: {entry.batch}: the chain is broken here"]


def compare(folder: Path, contents: LedgerContents, other: RemoteAccount, period_s: int) -> list[str]:
    """Every difference between the ledger with its receipts and the receiving side, one line each."""
    differences: list[str] = []
    own: Counter[tuple[str, ...]] = Counter()
    kept_all = True
    names = {receipt.batch: receipt for receipt in contents.receipts}
    for name, receipt in names.items():
        remote = other.digests.get(name)
        if remote is None:
            differences.append(f"{name}: has a receipt here, but the receiving side does not have it")
        elif remote != (receipt.digest, receipt.lines):
            differences.append(
                f"{name}: differs on the receiving side: {remote[1]} lines, digest {remote[0][:12]}"
            )
        path = folder / "sent" / f"{name}.jsonl.zst"
        if not path.exists():
            kept_all = False
            continue
        text = decompress(path.read_bytes())
        if hashlib.sha256(text).hexdigest() != receipt.digest:
            differences.append(f"{name}: the copy kept here does not match its receipt")
        for line in parse_batch(text)[1]:
            own[line_key(line)] += round(line.units * 1e6)
    for name, (digest, _) in other.digests.items():
        if name in names:
            continue
        batch = _rebuild_batch(contents, name, period_s)
        if batch is None or batch.digest != digest:
            differences.append(f"{name}: received, but has no receipt here and matches no waiting segment")
            continue
        for line in parse_batch(batch.text)[1]:
            own[line_key(line)] += round(line.units * 1e6)
    if kept_all and other.lines is not None:
        for key in sorted(set(own) | set(other.lines)):
            if own[key] != other.lines[key]:
                differences.append(
                    f"{' '.join(key)}: {own[key] / 1e6:g} units here, {other.lines[key] / 1e6:g} received"
                )
    return differences


def _rebuild_batch(contents: LedgerContents, name: str, period_s: int) -> Batch | None:
    """Rebuilds the batch of that name from its segment, if the segment is still here."""
    for segment in contents.segments:
        if f".{segment.first:016x}-" in name:
            data = segment.path.read_bytes()
            batch = run_to_end(build_in_slices(data, segment.first, segment.next_seq, period_s))
            return batch if batch.name == name else None
    return None
