"""Cost of a request at a gatekeeper, in turns with and without optional parts, also compared to another
checkout.

    python -m benchmarks.request_cost [--against FOLDER] [--rounds 40] [--requests 400]

A real gatekeeper process for each variant, all running at once, between a simulated page server and a client
with persistent connections, on loopback. Each round sends every variant a block of requests, in random order:
`off`, `ledger` (usage exported to a spool), `plans` (a book of 100,000 assignments), and `other` (another
checkout). CPU is that of the gatekeeper's threads.
"""

import argparse
import asyncio
import json
import os
import random
import re
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from benchmarks.kills import LoadRecord, PageServer, ask
from tests.peers import configuration, row, settings

CONNECTIONS = 8


class FastPageServer(PageServer):
    """A page server that always succeeds at once."""

    def data_received(self, data: bytes) -> None:
        self.data += data
        if self.data.endswith(b"\r\n\r\n"):
            self.data = b""
            self.transport.write(b"HTTP/1.1 200 OK\r\nBilled-Units: 2\r\nContent-Length: 2\r\n\r\nok")


def cpu_s(pid: int) -> float:
    """CPU time of all threads, from the scheduler's statistics in ns."""
    files = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(file.read_text().split()[0]) for file in files) / 1e9


def rss_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line.split()[1] for line in lines if line.startswith("VmRSS"))) / 1024


def operators(folder: Path, variant: str) -> dict[str, Any] | None:
    if variant == "ledger":
        return {"usage": {"folder": str(folder / "ledger"), "export": {"spool": str(folder / "spool")}}}
    if variant == "plans":
        entries = [{"customer": f"{n:016x}", "plan": "casual"} for n in range(100_000)]
        (folder / "book.json").write_text(json.dumps({"version": 1, "assignments": entries}))
        return {"plans": {"file": str(folder / "book.json"), "fleet_units_per_s": 1e6}}
    return None


class RunningGatekeeper:
    """A gatekeeper process of one variant."""

    def __init__(self, folder: Path, variant: str, tree: Path, page: str) -> None:
        folder.mkdir(parents=True)
        node_settings = settings()
        node_settings["Packages"][0] |= {"Refill": 1e6, "MostAtOnce": 1e7}
        (folder / "config.json").write_text(
            json.dumps(configuration([row("s-0", page)], "127.0.0.1:1", node_settings))
        )
        environment = os.environ | {"NODE_CONFIG": str(folder / "config.json")}
        if (document := operators(folder, variant)) is not None:
            (folder / "operators.json").write_text(json.dumps(document))
            environment["MILLFRONT_OPERATOR"] = str(folder / "operators.json")
        started = time.monotonic()
        command = [sys.executable, "-B", "-m", "millfront"]
        self.process = subprocess.Popen(command, cwd=tree, env=environment, stderr=subprocess.PIPE, text=True)
        assert self.process.stderr is not None
        line = next(line for line in self.process.stderr if "serves" in line)
        self.startup_s = time.monotonic() - started
        threading.Thread(target=self.process.stderr.read, daemon=True).start()
        match = re.search(r"127\.0\.0\.1:\d+", line)
        assert match is not None
        self.address = match[0]

    def stop(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        self.process.wait()


async def rounds(
    folder: Path, variants: dict[str, Path], count: int, requests: int
) -> dict[str, tuple[list[float], float, float]]:
    """Returns by variant: µs of CPU per request in each round, resident MB at the end, seconds from start to
    serving."""
    loop = asyncio.get_running_loop()
    page = await loop.create_server(FastPageServer, "127.0.0.1", 0)
    page_address = f"127.0.0.1:{page.sockets[0].getsockname()[1]}"
    running = {}
    for name, tree in variants.items():
        running[name] = await asyncio.to_thread(RunningGatekeeper, folder / name, name, tree, page_address)
    cost: dict[str, list[float]] = {name: [] for name in variants}
    record, rng = LoadRecord(), random.Random(1)
    for round_number in range(-1, count):  # round -1 warms up
        for name in random.sample(sorted(running), len(running)):
            pid = running[name].process.pid
            before = cpu_s(pid)
            await load(running[name].address, record, rng, requests)
            if round_number >= 0:
                cost[name].append((cpu_s(pid) - before) / requests * 1e6)
    results = {
        name: (cost[name], rss_mb(gatekeeper.process.pid), gatekeeper.startup_s)
        for name, gatekeeper in running.items()
    }
    for gatekeeper in running.values():
        await asyncio.to_thread(gatekeeper.stop)
    page.close()
    return results


async def load(address: str, record: LoadRecord, rng: random.Random, requests: int) -> None:
    host, _, port = address.rpartition(":")

    async def client() -> None:
        reader, writer = await asyncio.open_connection(host, int(port))
        for _ in range(requests // CONNECTIONS):
            await ask(reader, writer, record, rng)
        writer.close()

    await asyncio.gather(*(client() for _ in range(CONNECTIONS)))


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--against", type=Path)
    parser.add_argument("--rounds", type=int, default=40)
    parser.add_argument("--requests", type=int, default=400)
    args = parser.parse_args()
    here = Path(__file__).parent.parent
    variants = {"off": here, "ledger": here, "plans": here} | (
        {"other": args.against} if args.against else {}
    )
    with tempfile.TemporaryDirectory() as folder:
        results = asyncio.run(rounds(Path(folder), variants, args.rounds, args.requests))
    off = results["off"][0]
    for name, (cost, memory_mb, startup_s) in results.items():
        ratios = sorted(variant_cost / off_cost for variant_cost, off_cost in zip(cost, off, strict=True))
        low, high = ratios[len(ratios) // 4], ratios[len(ratios) * 3 // 4]
        print(
            f"{name:7} {statistics.median(cost):6.0f} µs a request, {statistics.median(ratios):.3f} of off "
            f"(half of the pairs {low:.3f} to {high:.3f}), {memory_mb:.1f} MB, starts in {startup_s:.2f} s"
        )


if __name__ == "__main__":
    main()
