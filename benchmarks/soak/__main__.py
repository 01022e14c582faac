"""The command line of the soak."""

import argparse
import os
import sys

import benchmarks.soak
from benchmarks.soak.faults import Fleet
from benchmarks.soak.play import SoakSettings, run_soak
from benchmarks.soak.record import Record

PROCESSES, DISKS = 8, 4
MANY_DISKS, MAX_MANY = 6, 200
MEMORY_MB = 40  # per process, including its sockets
SMALL_S, LONG_S = 60.0, 90.0


def max_processes() -> int:
    """The number of processes that fit in half of the machine's memory, at most MAX_MANY."""
    memory_mb = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") // 2**20
    return min(MAX_MANY, memory_mb // 2 // MEMORY_MB)


def seed_line(seed: int, record: Record) -> str:
    """The result line of a seed."""
    shown = "; ".join(record.broken[:3])
    verdict = f"BROKEN ({len(record.broken)}): {shown}" if record.broken else "held"
    counts = " ".join(f"{name}={count}" for name, count in sorted(record.counts.items()))
    return f"seed={seed}: {verdict}  [keys={len(record.seals)} version={record.acknowledged} {counts}]"


def main() -> int:
    parser = argparse.ArgumentParser(description=(benchmarks.soak.__doc__ or "").partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=LONG_S)
    parser.add_argument("--small", action="store_true", help="one short seed")
    parser.add_argument(
        "--many", type=int, nargs="?", const=max_processes(), default=0, help="processes, without relays"
    )
    args = parser.parse_args()
    seeds, seconds = (1, SMALL_S) if args.small else (args.seeds, args.seconds)
    fleet = Fleet(args.many, MANY_DISKS, relays=False) if args.many else Fleet(PROCESSES, DISKS)
    broken = 0
    for seed in range(args.first, args.first + seeds):
        record = run_soak(SoakSettings(seed, seconds, fleet))
        broken += bool(record.broken)
        print(seed_line(seed, record), flush=True)
    return min(1, broken)


if __name__ == "__main__":
    sys.exit(main())
