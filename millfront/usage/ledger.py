"""The usage ledger on the local disk: one gatekeeper appends to it and never rewrites it.

A folder holds segments (`seg-FIRST.log`, FIRST being the first sequence number in hex), `ledger.json` (its
identity), `lock`, `sent/` (batches as they were exported) and `receipts.jsonl` (batches that the receiver
has, one per line).

Each record is written with one write() when it is made, so it survives a crash of the process at any
instant. The `fsync` setting determines what a power failure may lose. A new segment is written to a temporary
file and put in place by a rename; the previous one is sealed and synced, and may be exported only then.

Disk faults never affect a request: attempts that can't be recorded are counted, and the count is recorded as
a gap once writing is possible again.
"""

import fcntl
import hashlib
import json
import os
import secrets
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from millfront.logs import Log
from millfront.operators.document import Usage
from millfront.operators.files import fsync_path, write_atomically
from millfront.usage.batches import Batch
from millfront.usage.records import (
    FORMAT,
    Gap,
    Head,
    Kind,
    Opened,
    Result,
    Scan,
    Settled,
    encode_frame,
    read_records,
)

log = Log(__name__)

MAX_PENDING = 10_000  # settled attempts kept in memory while the disk fails
SECOND_US = 1_000_000
SENT_BYTES_SHARE = 0.25  # of most_bytes, for exported batches kept for reconciling


class LedgerLocked(OSError):
    """Another process has the ledger open."""


class UnsupportedFormat(Exception):
    """The folder holds a ledger that this version can't read."""


class Receipt(msgspec.Struct, frozen=True):
    """Proof that the receiver has a batch."""

    batch: str
    first: int
    last: int
    digest: str
    lines: int
    tries: int
    units: float
    at_us: int
    chain: str  # digest over the previous chain and this receipt; reveals removed or changed lines


@dataclass(frozen=True, slots=True)
class Segment:
    first: int
    next_seq: int  # first sequence number after the segment
    path: Path
    size: int


@dataclass(slots=True)
class Recovered:
    """What opening a ledger found."""

    abandoned: int = 0  # attempts open when the gatekeeper died
    torn_bytes: int = 0
    missing: list[tuple[int, int]] = field(default_factory=list)
    segments: int = 0


class Ledger:
    def __init__(
        self, folder: str | os.PathLike[str], source: str, options: Usage, now_us: Callable[[], int]
    ) -> None:
        self.folder = Path(folder)
        self.source = source
        self.options = options
        self.now_us = now_us
        self.id = ""
        self.next_seq = 0
        self.sealed: list[Segment] = []  # oldest first; synced, not yet removed
        self.unsynced: deque[tuple[Segment, int]] = deque()  # sealed segments and their open descriptors
        self.fault = ""  # disk fault, while it lasts
        self.unrecorded_tries = 0
        self.unrecorded_units = 0.0
        self.receipts_chain = ""
        self.acknowledged = -1
        self._gap_tries = 0  # of the unrecorded attempts, those not covered by a gap record yet
        self._gap_units = 0.0
        self._open: dict[int, Opened] = {}
        self._pending: deque[tuple[int, Opened, Result, float, int]] = deque()
        self._lock = -1
        self._fd = -1
        self._first_seq = 0
        self._size = 0
        self._started_us = 0
        self._segment_path = Path()
        self._digest = hashlib.blake2b(digest_size=16)  # of the segment so far: the next one's chain
        self._dirty = False
        self._last_us = 0
        self._bytes_sealed = 0
        self._sent_bytes = 0

    # ---- opening -----------------------------------------------------------------------------

    def open(self) -> Recovered:
        """Locks the folder, recovers what the previous run left, and starts a segment.

        :raises LedgerLocked: another process has the ledger open
        :raises UnsupportedFormat: the ledger's identity is unreadable or of a newer format
        :raises OSError: the disk refuses a read or write
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        self._take_lock()
        try:
            return self._recover()
        except BaseException:
            self.close()
            raise

    def _take_lock(self) -> None:
        self._lock = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            self._lock = -1
            raise LedgerLocked(
                error.errno, "another process has this ledger open", str(self.folder)
            ) from None

    def _recover(self) -> Recovered:
        for leftover in self.folder.glob("*.new"):
            leftover.unlink()
        (self.folder / "sent").mkdir(exist_ok=True)
        self.id = self._identity()
        self._read_receipts()
        found = Recovered()
        segments = list_segments(self.folder)
        found.segments = len(segments)
        opened: dict[int, Opened] = {}
        chain = ""
        if segments:
            data = segments[-1].path.read_bytes()
            scan = Scan()
            for kind, seq, record in read_records(data, scan):
                if isinstance(record, Head):
                    opened = dict(record.open)
                elif isinstance(record, Opened):
                    opened[seq] = record
                elif isinstance(record, Settled):
                    opened.pop(record.opened_seq, None)
                if kind != Kind.HEAD:
                    self._last_us = max(self._last_us, record.at_us)  # type: ignore[union-attr]
            self.next_seq = max(scan.next_seq, segments[-1].first)
            chain = hashlib.blake2b(data[: scan.end], digest_size=16).hexdigest()
            found.torn_bytes, found.missing = scan.torn_bytes, scan.missing
            segments[-1] = Segment(segments[-1].first, self.next_seq, segments[-1].path, len(data))
        self.next_seq = max(self.next_seq, self.acknowledged + 1)
        self.sealed = [s for s in segments if s.next_seq > s.first]
        for segment in self.sealed:  # the previous run may have ended before it synced them
            fsync_path(segment.path)
        self._bytes_sealed = sum(s.size for s in self.sealed)
        self._sent_bytes = sum(p.stat().st_size for p in (self.folder / "sent").iterdir())
        now = self._monotonic_us()
        abandoned = [
            Settled(seq, now, Result.ABANDONED, entry.guess, entry) for seq, entry in sorted(opened.items())
        ]
        found.abandoned = len(abandoned)
        self._start_segment(chain, abandoned)
        fsync_path(self.folder)
        self.compact(self.acknowledged)
        return found

    def _identity(self) -> str:
        path = self.folder / "ledger.json"
        try:
            identity = json.loads(path.read_bytes())
        except FileNotFoundError:
            identity = {"format": FORMAT, "ledger": secrets.token_hex(8)}
            write_atomically(path, json.dumps(identity).encode() + b"\n")
        except ValueError:
            raise UnsupportedFormat(f"{path} is not a ledger's identity: expected JSON") from None
        if identity.get("format", 0) > FORMAT:
            raise UnsupportedFormat(
                f"{path}: format {identity.get('format')}; this version reads up to {FORMAT}"
            )
        if identity.get("format", 0) < FORMAT:
            # Older segments are read by their own frames; new ones are written in the current format.
            identity = {"format": FORMAT, "ledger": identity.get("ledger") or secrets.token_hex(8)}
            write_atomically(path, json.dumps(identity).encode() + b"\n")
        return str(identity["ledger"])

    def _read_receipts(self) -> None:
        """Drops an incomplete last line: its segment still exists, and the receiver's mark covers it."""
        path = self.folder / "receipts.jsonl"
        valid_bytes, receipts = 0, list[Receipt]()
        try:
            data = path.read_bytes()
        except FileNotFoundError:
            return
        for line in data.splitlines(keepends=True):
            try:
                receipts.append(msgspec.json.decode(line, type=Receipt))
            except msgspec.MsgspecError:
                break
            if not line.endswith(b"\n"):
                receipts.pop()
                break
            valid_bytes += len(line)
        if valid_bytes < len(data):
            os.truncate(path, valid_bytes)
        if receipts:
            self.receipts_chain = receipts[-1].chain
            self.acknowledged = max(receipt.last for receipt in receipts)

    def _monotonic_us(self) -> int:
        """The time, never before the last record: a clock that steps back between runs must not move usage
        into a period that is billed already."""
        self._last_us = max(self._last_us, self.now_us())
        return self._last_us

    # ---- appending ---------------------------------------------------------------------------

    def record_opened(self, entry: Opened) -> int:
        """Records an attempt that is about to be sent; returns its sequence number, or -1 if that failed."""
        if self._fd < 0 or self.fault or self._is_full():
            return -1
        seq = self.next_seq
        if not self._append(encode_frame(Kind.OPENED, seq, entry)):
            return -1
        self.next_seq = seq + 1
        self._open[seq] = entry
        return seq

    def record_settled(self, seq: int, entry: Opened, result: Result, units: float) -> None:
        """Records the end of an attempt.

        :param seq: as returned by record_opened()
        :param units: to bill
        """
        if seq < 0:
            if result is not Result.NEVER:
                self._count_unrecorded(units)
            return
        if self._pending or self.fault or not self._settle(seq, entry, result, units, self._monotonic_us()):
            if len(self._pending) >= MAX_PENDING:
                self._open.pop(seq, None)
                self._count_unrecorded(units)
            else:
                self._pending.append((seq, entry, result, units, self._monotonic_us()))

    def _settle(self, seq: int, entry: Opened, result: Result, units: float, at_us: int) -> bool:
        record = Settled(seq, at_us, result, units, entry)
        if self._fd < 0 or not self._append(encode_frame(Kind.SETTLED, self.next_seq, record)):
            return False
        self.next_seq += 1
        self._open.pop(seq, None)
        return True

    def _count_unrecorded(self, units: float) -> None:
        self.unrecorded_tries += 1
        self.unrecorded_units += units
        self._gap_tries += 1
        self._gap_units += units

    def _append(self, data: bytes) -> bool:
        try:
            written = os.write(self._fd, data)
        except OSError as error:
            self._set_fault(error)
            return False
        if written != len(data):  # a partial record would stop readers, so it is removed
            try:
                os.ftruncate(self._fd, self._size)
            except OSError as error:
                self._set_fault(error)
            self.fault = self.fault or "a short write"
            return False
        self._size += written
        self._digest.update(data)
        self._dirty = True
        return True

    def _set_fault(self, error: OSError) -> None:
        if not self.fault:
            log.error(
                "the usage ledger can't be written; usage is not recorded",
                why=error.strerror,
                folder=self.folder,
            )
        self.fault = error.strerror or str(error)

    def _is_full(self) -> bool:
        return self._bytes_sealed + self._size >= self.options.most_bytes

    def tick(self) -> None:
        """Called a few times a second: retries failed writes, and seals the segment when it is due."""
        if self._fd < 0:
            return
        if self.fault:
            self._probe_disk()
        if self.fault:
            return
        while self._pending:
            if not self._settle(*self._pending[0]):
                return
            self._pending.popleft()
        if self._gap_tries and not self._is_full():
            gap = Gap(self._monotonic_us(), self._gap_tries, self._gap_units)
            if self._append(encode_frame(Kind.GAP, self.next_seq, gap)):
                self.next_seq += 1
                self._gap_tries, self._gap_units = 0, 0.0
        used = self.next_seq - self._first_seq > 1
        old = self.now_us() - self._started_us >= self.options.segment_s * SECOND_US
        if used and (old or self._size >= self.options.segment_bytes):
            self.seal()

    def _probe_disk(self) -> None:
        """Checks the disk by writing about as many bytes as a record has, and removes them at once."""
        try:
            os.ftruncate(self._fd, self._size)
            written = os.write(self._fd, bytes(256))
            os.ftruncate(self._fd, self._size)
        except OSError as error:
            self.fault = error.strerror or str(error)
            return
        if written == 256:
            log.info("the usage ledger records again", unrecorded=self.unrecorded_tries)
            self.fault = ""

    # ---- segments ----------------------------------------------------------------------------

    def seal(self) -> None:
        """Starts a new segment; the previous one may be exported once sync() has made it durable."""
        previous = Segment(self._first_seq, self.next_seq, self._segment_path, self._size)
        fd = self._fd
        try:
            self._start_segment(self._digest.hexdigest(), [])
        except OSError as error:
            self._fd = fd
            self._set_fault(error)
            return
        self._bytes_sealed += previous.size
        self.unsynced.append((previous, fd))

    def _start_segment(self, chain: str, abandoned: list[Settled]) -> None:
        """Writes head and first records to a temporary file and renames it, so no segment is half started."""
        first = self.next_seq
        head = Head(
            FORMAT,
            self.id,
            self.source,
            self._monotonic_us(),
            chain,
            [] if abandoned else sorted(self._open.items()),
        )
        frames = [encode_frame(Kind.HEAD, first, head)]
        frames += [encode_frame(Kind.SETTLED, first + 1 + i, record) for i, record in enumerate(abandoned)]
        data = b"".join(frames)
        path = self.folder / f"seg-{first:016x}.log"
        temporary = path.with_suffix(".new")
        fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600)
        try:
            if os.write(fd, data) != len(data):
                raise OSError(28, "a short write")
            if abandoned and self.options.fsync != "never":
                os.fsync(fd)
            os.rename(temporary, path)
        except BaseException:
            os.close(fd)
            raise
        self._fd, self._segment_path, self._first_seq, self._size = fd, path, first, len(data)
        self.next_seq = first + len(frames)
        self._digest = hashlib.blake2b(data, digest_size=16)
        self._started_us = self.now_us()
        self._dirty = True

    def sync(self) -> None:
        """Makes what is written durable. Blocks on the disk, so it is called in a thread of its own.

        It only touches descriptors; mark_synced() then updates the state.
        """
        if self._dirty:
            self._dirty = False
            os.fsync(self._fd)
        for _, fd in list(self.unsynced):
            os.fsync(fd)
        fsync_path(self.folder)

    def mark_synced(self, sealed: list[tuple[Segment, int]]) -> None:
        """Marks segments as durable: they may be exported now."""
        for segment, fd in sealed:
            if self.unsynced and self.unsynced[0][0] is segment:
                self.unsynced.popleft()
                os.close(fd)
                self.sealed.append(segment)

    # ---- export ------------------------------------------------------------------------------

    def oldest_sealed(self) -> Segment | None:
        """The oldest segment that has not been exported."""
        return self.sealed[0] if self.sealed else None

    def keep_sent(self, batch: Batch, compressed: bytes) -> None:
        """Keeps a batch as it will be sent, for reconciling."""
        write_atomically(self.folder / "sent" / f"{batch.name}.jsonl.zst", compressed)
        self._sent_bytes += len(compressed)

    def record_receipt(self, batch: Batch) -> None:
        """Records that the receiver has the batch, then removes its segment."""
        head = batch.head
        unchained = Receipt(
            batch.name,
            batch.first,
            batch.last,
            batch.digest,
            batch.lines,
            head.tries,
            head.units,
            self.now_us(),
            "",
        )
        chain = receipt_chain(self.receipts_chain, unchained)
        line = msgspec.json.encode(msgspec.structs.replace(unchained, chain=chain)) + b"\n"
        fd = os.open(
            self.folder / "receipts.jsonl", os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600
        )
        try:
            size = os.fstat(fd).st_size
            if os.write(fd, line) != len(line):
                os.ftruncate(fd, size)
                raise OSError(28, "a short write")
            os.fsync(fd)
        finally:
            os.close(fd)
        self.receipts_chain = chain
        self.acknowledged = max(self.acknowledged, batch.last)
        self.compact(batch.last)

    def compact(self, acknowledged: int) -> None:
        """Removes segments that the receiver has completely, and the oldest kept batches over the limit."""
        for segment in [s for s in self.sealed if s.next_seq - 1 <= acknowledged]:
            segment.path.unlink(missing_ok=True)
            self.sealed.remove(segment)
            self._bytes_sealed -= segment.size
        max_bytes = int(self.options.most_bytes * SENT_BYTES_SHARE)
        if self._sent_bytes > max_bytes:
            for path in sorted((self.folder / "sent").iterdir(), key=lambda p: p.stat().st_mtime):
                if self._sent_bytes <= max_bytes:
                    break
                self._sent_bytes -= path.stat().st_size
                path.unlink()

    # ---- shutdown ----------------------------------------------------------------------------

    def finish(self) -> None:
        """Planned shutdown: settles open attempts as guessed, seals the segment and syncs."""
        for seq, entry in list(self._open.items()):
            if not any(item[0] == seq for item in self._pending):
                self.record_settled(seq, entry, Result.GUESSED, entry.guess)
        self.tick()
        if self._fd >= 0 and not self.fault:
            if self.next_seq - self._first_seq > 1:
                self.seal()
            pending = list(self.unsynced)
            self.sync()
            self.mark_synced(pending)

    def close(self) -> None:
        for _, fd in self.unsynced:
            os.close(fd)
        self.unsynced.clear()
        for fd in (self._fd, self._lock):
            if fd >= 0:
                os.close(fd)
        self._fd = self._lock = -1

    def status(self) -> dict[str, object]:
        return {
            "ledger": self.id,
            "next": self.next_seq,
            "open": len(self._open),
            "bytes": self._bytes_sealed + self._size,
            "segments_to_export": len(self.sealed) + len(self.unsynced),
            "acknowledged": self.acknowledged,
            "unrecorded_tries": self.unrecorded_tries,
            "unrecorded_units": round(self.unrecorded_units, 6),
            "fault": self.fault or ("full" if self._fd >= 0 and self._is_full() else ""),
        }


def receipt_chain(previous: str, receipt: Receipt) -> str:
    """The next chain value: BLAKE2b over the previous one and the receipt with an empty chain."""
    unchained = msgspec.json.encode(msgspec.structs.replace(receipt, chain=""))
    return hashlib.blake2b(previous.encode() + unchained, digest_size=16).hexdigest()


def list_segments(folder: Path) -> list[Segment]:
    """A folder's segments, oldest first. Each ends where the next one begins; the end of the last one is only
    known by reading it."""
    paths = sorted(folder.glob("seg-*.log"))
    firsts = [int(path.stem.removeprefix("seg-"), 16) for path in paths]
    nexts = [*firsts[1:], *firsts[-1:]]
    return [
        Segment(first, after, path, path.stat().st_size)
        for path, first, after in zip(paths, firsts, nexts, strict=True)
    ]


def read_receipts(folder: Path) -> Iterator[Receipt]:
    """:raises msgspec.MsgspecError: a line is not a receipt"""
    path = folder / "receipts.jsonl"
    if path.exists():
        for line in path.read_bytes().splitlines():
            yield msgspec.json.decode(line, type=Receipt)
