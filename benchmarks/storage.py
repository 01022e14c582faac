"""Compares ways to store a ledger: a segment log, SQLite in WAL mode, and a log in a mapped file.

    python -m benchmarks.storage [--records 200000]

Each stores the same records one by one, so that each record survives the end of the process: the segment log
by a write(), SQLite by a transaction, the mapped file by a copy into its pages. Figures: CPU per record,
slowest append and its 99.9th percentile, bytes per record, and the time to open an existing ledger and find
the next number.
"""

import argparse
import mmap
import os
import resource
import sqlite3
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from millfront.operators.document import Usage
from millfront.usage.ledger import Ledger
from millfront.usage.records import Kind, Opened, Scan, encode_frame, read_records

ENTRY = Opened(1_700_000_000_000_000, "9b1f03aa5c7e2d41", 0xB4D65521, "collector", 12, "page-fetch", 0, 2.0)


class SegmentLog:
    name = "segment log"

    def __init__(self, folder: Path) -> None:
        options = Usage(str(folder), segment_bytes=4 << 20, most_bytes=4 << 30)
        self.ledger = Ledger(folder, "n0", options, lambda: time.time_ns() // 1000)
        self.ledger.open()

    def append(self, seq: int) -> None:
        self.ledger.record_opened(ENTRY)
        if seq % 5000 == 0:
            self.ledger.tick()
            self.ledger._open.clear()  # in service, a few hundred tries are in flight at once

    def close(self) -> None:
        self.ledger.close()


class Sqlite:
    name = "SQLite, WAL, a transaction a record"

    def __init__(self, folder: Path) -> None:
        folder.mkdir(exist_ok=True)
        self.db = sqlite3.connect(folder / "ledger.db", isolation_level=None)
        self.db.execute("PRAGMA journal_mode=WAL")
        self.db.execute("PRAGMA synchronous=NORMAL")
        self.db.execute("CREATE TABLE IF NOT EXISTS r (seq INTEGER PRIMARY KEY, kind INTEGER, what BLOB)")
        row = self.db.execute("SELECT max(seq) FROM r").fetchone()
        self.next_seq = (row[0] or 0) + 1
        self.encode = msgspec.msgpack.Encoder().encode

    def append(self, seq: int) -> None:
        self.db.execute("INSERT INTO r VALUES (?, 1, ?)", (self.next_seq, self.encode(ENTRY)))
        self.next_seq += 1

    def close(self) -> None:
        self.db.close()


class MappedFile:
    name = "mapped file, preallocated"

    def __init__(self, folder: Path) -> None:
        folder.mkdir(exist_ok=True)
        path = folder / "ledger.map"
        is_new = not path.exists()
        self.fd = os.open(path, os.O_RDWR | os.O_CREAT)
        self.size = 64 << 20
        if is_new:
            os.posix_fallocate(self.fd, 0, self.size)
        self.map = mmap.mmap(self.fd, self.size)
        self.offset = 0
        if not is_new:
            scan = Scan()
            for _ in read_records(self.map[:], scan):
                pass
            self.offset = scan.end

    def append(self, seq: int) -> None:
        data = encode_frame(Kind.OPENED, seq, ENTRY)
        if self.offset + len(data) > self.size:
            self.offset = 0
        self.map[self.offset : self.offset + len(data)] = data
        self.offset += len(data)

    def close(self) -> None:
        self.map.close()
        os.close(self.fd)


def cpu_s() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def measure(kind: Callable[[Path], SegmentLog | Sqlite | MappedFile], folder: Path, records: int) -> str:
    store = kind(folder)
    gaps = []
    cpu_before = cpu_s()
    for seq in range(1, records + 1):
        started = time.perf_counter()
        store.append(seq)
        gaps.append(time.perf_counter() - started)
    cpu_used = cpu_s() - cpu_before
    store.close()
    size = sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())
    started = time.perf_counter()
    reopened = kind(folder)
    open_s = time.perf_counter() - started
    reopened.close()
    gaps.sort()
    p999, slowest = gaps[int(len(gaps) * 0.999)], gaps[-1]
    return (
        f"{cpu_used / records * 1e6:6.1f} µs of CPU, p99.9 {p999 * 1e6:6.0f} µs, "
        f"slowest {slowest * 1e3:6.1f} ms, {size / records:5.0f} bytes, opens in {open_s * 1e3:6.0f} ms"
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--records", type=int, default=200_000)
    args = parser.parse_args()
    for kind in (SegmentLog, Sqlite, MappedFile):
        with tempfile.TemporaryDirectory() as folder:
            line = measure(kind, Path(folder) / "ledger", args.records)
        print(f"{kind.name:36} {line}", flush=True)


if __name__ == "__main__":
    main()
