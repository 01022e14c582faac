"""Ways to keep a ledger, weighed: a segment log, SQLite in WAL mode, and a log in shared memory.

    python -m benchmarks.storage [--records 200000]

Each keeps the same records one by one as they are made, so that each survives the end of the process: the
segment log by a write(), SQLite by a transaction, the mapped file by a copy into its pages. Figures: CPU
per record, the slowest append and the 99.9th of a hundred, bytes per record, and the time to open what is
there and know the next number.
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


class Log:
    name = "segment log"

    def __init__(self, folder: Path) -> None:
        told = Usage(str(folder), segment_bytes=4 << 20, most_bytes=4 << 30)
        self.ledger = Ledger(folder, "n0", told, lambda: time.time_ns() // 1000)
        self.ledger.open()

    def append(self, seq: int) -> None:
        self.ledger.record_opened(ENTRY)
        if seq % 5000 == 0:
            self.ledger.tick()
            self.ledger._open.clear()  # a few hundred are out at once in service

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
        self.next = (row[0] or 0) + 1
        self.encode = msgspec.msgpack.Encoder().encode

    def append(self, seq: int) -> None:
        self.db.execute("INSERT INTO r VALUES (?, 1, ?)", (self.next, self.encode(ENTRY)))
        self.next += 1

    def close(self) -> None:
        self.db.close()


class Mapped:
    name = "mapped file, filled ahead"

    def __init__(self, folder: Path) -> None:
        folder.mkdir(exist_ok=True)
        path = folder / "ledger.map"
        fresh = not path.exists()
        self.fd = os.open(path, os.O_RDWR | os.O_CREAT)
        self.size = 64 << 20
        if fresh:
            os.posix_fallocate(self.fd, 0, self.size)
        self.map = mmap.mmap(self.fd, self.size)
        self.at = 0
        if not fresh:
            scan = Scan()
            for _ in read_records(self.map[:], scan):
                pass
            self.at = scan.end

    def append(self, seq: int) -> None:
        data = encode_frame(Kind.OPENED, seq, ENTRY)
        if self.at + len(data) > self.size:
            self.at = 0
        self.map[self.at : self.at + len(data)] = data
        self.at += len(data)

    def close(self) -> None:
        self.map.close()
        os.close(self.fd)


def cpu() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def measure(kind: Callable[[Path], Log | Sqlite | Mapped], folder: Path, records: int) -> str:
    made = kind(folder)
    gaps = []
    began = cpu()
    for seq in range(1, records + 1):
        at = time.perf_counter()
        made.append(seq)
        gaps.append(time.perf_counter() - at)
    used = cpu() - began
    made.close()
    size = sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())
    at = time.perf_counter()
    again = kind(folder)
    opened = time.perf_counter() - at
    again.close()
    gaps.sort()
    late, most = gaps[int(len(gaps) * 0.999)], gaps[-1]
    return (
        f"{used / records * 1e6:6.1f} µs of CPU, p99.9 {late * 1e6:6.0f} µs, slowest {most * 1e3:6.1f} ms, "
        f"{size / records:5.0f} bytes, opens in {opened * 1e3:6.0f} ms"
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--records", type=int, default=200_000)
    told = parser.parse_args()
    for kind in (Log, Sqlite, Mapped):
        with tempfile.TemporaryDirectory() as folder:
            said = measure(kind, Path(folder) / "ledger", told.records)
        print(f"{kind.name:36} {said}", flush=True)


if __name__ == "__main__":
    main()
