"""Delay until a new plan applies at three gatekeepers, and event-loop delay from a large book.

    python -m benchmarks.plan_change [--changes 60]

Three real gatekeepers follow one book. A customer is switched between a plan that admits everything and one
that admits nothing; measures, per change and gatekeeper, the time from the file's replacement to the first
answer under the new plan. Then a node in this process applies books of 100,000 assignments beside a timer of
1 ms; measures the longest gap between its ticks.
"""

import argparse
import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path

import anyio

from benchmarks.kills import wait_until_serving
from benchmarks.request_cost import FastPageServer
from millfront.node import config
from millfront.node.service import Node
from millfront.operators.document import Plans
from millfront.operators.slices import run_to_end
from millfront.plans import book as books
from millfront.plans.part import LivePlans
from tests.peers import configuration, row, settings

CUSTOMER = "00000000b4d65521"


def write_book(file: Path, version: int, plan: str) -> float:
    temporary = file.with_suffix(".new")
    temporary.write_text(
        json.dumps({"version": version, "assignments": [{"customer": CUSTOMER, "plan": plan}]})
    )
    os.replace(temporary, file)
    return time.monotonic()


async def wait_for_status(address: str, status: bytes, since: float) -> float:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    while True:
        head = f"GET /page-fetch/{CUSTOMER} HTTP/1.1\r\nHost: a\r\nRequest-Id: {random.getrandbits(64):x}\r\n"
        head += "Plan: casual\r\nRequest-Timeout: 3000m\r\nQuota-Info: units=2,spread=1,first=0\r\n\r\n"
        writer.write(head.encode())
        answer = await reader.readuntil(b"\r\n\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in answer.split(b"\r\n")[1:] if b": " in line)
        await reader.readexactly(int(fields[b"content-length"]))
        if status in answer[:15]:
            writer.close()
            return time.monotonic() - since
        await asyncio.sleep(0.005)


async def changes(folder: Path, count: int) -> list[float]:
    loop = asyncio.get_running_loop()
    page = await loop.create_server(FastPageServer, "127.0.0.1", 0)
    node_settings = settings()
    node_settings["Packages"][0] |= {"Refill": 1e6, "MostAtOnce": 1e7}
    node_settings["Packages"][1] |= {"Refill": 1e-6, "MostAtOnce": 1e-3}
    members = [row("s-0", f"127.0.0.1:{page.sockets[0].getsockname()[1]}")]
    (folder / "config.json").write_text(json.dumps(configuration(members, "127.0.0.1:1", node_settings)))
    book = folder / "book.json"
    (folder / "operators.json").write_text(
        json.dumps({"logs": {"format": "json"}, "plans": {"file": str(book), "fleet_units_per_s": 1e6}})
    )
    write_book(book, 1, "casual")
    environment = {
        "NODE_CONFIG": str(folder / "config.json"),
        "MILLFRONT_OPERATOR": str(folder / "operators.json"),
    }
    command = [sys.executable, "-B", "-m", "millfront"]
    processes, addresses = [], []
    for _ in range(3):
        process = subprocess.Popen(command, env=os.environ | environment, stderr=subprocess.PIPE, text=True)
        addresses.append(wait_until_serving(process))
        processes.append(process)
    delays: list[float] = []
    for version in range(2, count + 2):
        await asyncio.sleep(random.uniform(0.05, 0.3))
        plan, status = ("spent", b" 503 ") if version % 2 == 0 else ("casual", b" 200 ")
        since = write_book(book, version, plan)
        delays += await asyncio.gather(*(wait_for_status(address, status, since) for address in addresses))
    for process in processes:
        process.send_signal(signal.SIGTERM)
        process.wait()
    return delays


async def large(folder: Path) -> tuple[float, float, float]:
    """:returns: the longest gap of the loop in ms, the time to apply in s, MB of the book in force"""
    node = Node(config.from_json(configuration([row("s-0", "127.0.0.1:1")], "127.0.0.1:1", settings())))
    node.host.start()
    part = LivePlans(node, Plans(str(folder / "large.json"), 1e6))
    gaps: list[float] = []
    stopped = False

    async def measure_gaps() -> None:
        last = time.perf_counter()
        while not stopped:
            await anyio.sleep(0.001)
            now = time.perf_counter()
            gaps.append(now - last)
            last = now

    duration_s = 0.0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(measure_gaps)
        await anyio.sleep(0.1)
        gaps.clear()
        for version in (1, 2, 3):
            entries = [
                {"customer": f"{n:016x}", "plan": ("casual", "spent")[(n + version) % 2]}
                for n in range(100_000)
            ]
            text = json.dumps({"version": version, "assignments": entries}).encode()
            del entries
            await anyio.sleep(0.05)
            gaps.clear()
            started = time.perf_counter()
            await part.apply(await part.validate(text), str(version))
            duration_s = time.perf_counter() - started
            max_gap = max(gaps)
            print(f"  version {version}: longest gap {max_gap * 1e3:.1f} ms, applied in {duration_s:.2f} s")
        stopped = True
    tracemalloc.start()
    book = books.decode(text)
    compiled = run_to_end(books.compile_in_slices(book, part.settings_plans, None, 0))
    size = tracemalloc.get_traced_memory()[0] / 2**20
    tracemalloc.stop()
    del compiled
    return max_gap * 1e3, duration_s, size


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--changes", type=int, default=60)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        delays = sorted(asyncio.run(changes(Path(folder), args.changes)))
        median, p99, longest = (
            delays[min(len(delays) - 1, int(len(delays) * share))] for share in (0.5, 0.99, 1.0)
        )
        print(f"{len(delays)} changes applied: median {median:.3f} s, p99 {p99:.3f} s, most {longest:.3f} s")
        gap, duration_s, size = anyio.run(large, Path(folder), backend_options={"use_uvloop": True})
    print(f"100,000 assignments: longest gap {gap:.1f} ms, applied in {duration_s:.2f} s, {size:.1f} MB")


if __name__ == "__main__":
    main()
