"""Speed of the usage ledger: recording tries on one core, and opening a large ledger.

    python -m benchmarks.ledger_speed

Records are written at 20,000 per second (one when a try is sent, one when it ends) with sealing, syncing in a
thread and building batches alongside, as in a node; prints the CPU used. Then a ledger of a million records
is opened.
"""

import resource
import tempfile
import threading
import time
from pathlib import Path

from millfront.operators.document import Usage
from millfront.operators.slices import run_to_end
from millfront.usage.batches import build_in_slices
from millfront.usage.ledger import Ledger
from millfront.usage.records import Opened, Result

RATE = 20_000
SECONDS = 20.0


def cpu_s() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def entry(number: int) -> Opened:
    return Opened(time.time_ns() // 1000, f"{number:016x}", number % 997, "casual", 1, "page-fetch", 0, 2.0)


def record_try(ledger: Ledger, number: int) -> None:
    opened = entry(number)
    ledger.record_settled(ledger.record_opened(opened), opened, Result.TOLD, 3.0)


def at_rate(folder: Path) -> None:
    options = Usage(str(folder), segment_s=2.0, segment_bytes=8 << 20, most_bytes=1 << 30)
    ledger = Ledger(folder, "n0", options, lambda: time.time_ns() // 1000)
    ledger.open()
    started, cpu_before, recorded, batches, max_lag_s = time.perf_counter(), cpu_s(), 0, 0, 0.0
    syncing: threading.Thread | None = None
    while (now := time.perf_counter() - started) < SECONDS:
        due_records = int(now * RATE / 2)
        for number in range(recorded, min(due_records, recorded + 200)):
            record_try(ledger, number)
        max_lag_s = max(max_lag_s, (due_records - recorded) / RATE * 2)
        recorded = min(due_records, recorded + 200)
        ledger.tick()
        if ledger.unsynced and (syncing is None or not syncing.is_alive()):
            pending = list(ledger.unsynced)
            ledger.mark_synced([one for one in pending if one[0].first < 0])
            syncing = threading.Thread(target=ledger.sync)
            syncing.start()
            syncing.join()
            ledger.mark_synced(pending)
        if (segment := ledger.oldest_sealed()) is not None and segment.path.exists():
            run_to_end(build_in_slices(segment.path.read_bytes(), segment.first, segment.next_seq, 60))
            ledger.sealed.pop(0)
            batches += 1
        time.sleep(0.001)
    wall, cpu_spent = time.perf_counter() - started, cpu_s() - cpu_before
    print(
        f"{2 * recorded / wall:.0f} records a second, {cpu_spent / wall * 100:.0f}% of a core, "
        f"{batches} batches made"
    )
    print(
        f"{cpu_spent / recorded * 1e6:.1f} µs of CPU per try with its batch; "
        f"never more than {max_lag_s * 1e3:.0f} ms behind"
    )
    ledger.close()


def start(folder: Path, records: int) -> None:
    options = Usage(str(folder), segment_bytes=4 << 20, most_bytes=1 << 30)
    ledger = Ledger(folder, "n0", options, lambda: time.time_ns() // 1000)
    ledger.open()
    for number in range(records // 2):
        record_try(ledger, number)
        if number % 1000 == 0:
            ledger.tick()
    ledger.close()
    started = time.perf_counter()
    reopened = Ledger(folder, "n0", options, lambda: time.time_ns() // 1000)
    recovered = reopened.open()
    duration_s = time.perf_counter() - started
    reopened.close()
    print(
        f"a ledger of {reopened.next_seq} records in {recovered.segments} segments "
        f"opens in {duration_s * 1e3:.0f} ms"
    )


def main() -> None:
    with tempfile.TemporaryDirectory() as folder:
        at_rate(Path(folder) / "a")
        start(Path(folder) / "b", 1_000_000)


if __name__ == "__main__":
    main()
