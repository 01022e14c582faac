"""The ledger at rate: tries recorded on one core, and the start on a large ledger.

    python -m benchmarks.ledger_speed

Records are made at 20,000 a second (a record for the send, one for the end of each try) with sealing,
syncing in a thread and batches made beside it, as a node does; what the core had left is told. Then a
ledger of a million records is opened.
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


def cpu() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def entry(number: int) -> Opened:
    return Opened(time.time_ns() // 1000, f"{number:016x}", number % 997, "casual", 1, "page-fetch", 0, 2.0)


def a_try(ledger: Ledger, number: int) -> None:
    held = entry(number)
    ledger.record_settled(ledger.record_opened(held), held, Result.TOLD, 3.0)


def at_rate(folder: Path) -> None:
    told = Usage(str(folder), segment_s=2.0, segment_bytes=8 << 20, most_bytes=1 << 30)
    ledger = Ledger(folder, "n0", told, lambda: time.time_ns() // 1000)
    ledger.open()
    began, used, made, batches, late = time.perf_counter(), cpu(), 0, 0, 0.0
    syncing: threading.Thread | None = None
    while (now := time.perf_counter() - began) < SECONDS:
        due = int(now * RATE / 2)
        for number in range(made, min(due, made + 200)):
            a_try(ledger, number)
        late = max(late, (due - made) / RATE * 2)
        made = min(due, made + 200)
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
    wall, spent = time.perf_counter() - began, cpu() - used
    print(
        f"{2 * made / wall:.0f} records a second, {spent / wall * 100:.0f}% of a core, {batches} batches made"
    )
    print(
        f"{spent / made * 1e6:.1f} µs of CPU a try with its batch; never more than {late * 1e3:.0f} ms behind"
    )
    ledger.close()


def start(folder: Path, records: int) -> None:
    told = Usage(str(folder), segment_bytes=4 << 20, most_bytes=1 << 30)
    ledger = Ledger(folder, "n0", told, lambda: time.time_ns() // 1000)
    ledger.open()
    for number in range(records // 2):
        a_try(ledger, number)
        if number % 1000 == 0:
            ledger.tick()
    ledger.close()
    at = time.perf_counter()
    again = Ledger(folder, "n0", told, lambda: time.time_ns() // 1000)
    found = again.open()
    took = time.perf_counter() - at
    again.close()
    print(f"a ledger of {again.next_seq} records in {found.segments} segments opens in {took * 1e3:.0f} ms")


def main() -> None:
    with tempfile.TemporaryDirectory() as folder:
        at_rate(Path(folder) / "a")
        start(Path(folder) / "b", 1_000_000)


if __name__ == "__main__":
    main()
