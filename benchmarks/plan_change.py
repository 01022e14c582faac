"""How soon a new plan holds at three gatekeepers, and what a large book does to the loop.

    python -m benchmarks.plan_change [--changes 60]

Three real gatekeepers follow one book. A customer is moved to and fro between a plan that lets all in and
one that lets nothing in; for each change and gatekeeper, the time from the file's replacement to the first
answer under the new plan. Then a node in this process applies books of 100,000 assignments, with a beat
every ms beside it: the longest gap.
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

from benchmarks.kills import serving
from benchmarks.request_cost import Pages
from millfront.node import config
from millfront.node.service import Node
from millfront.operators.document import Plans
from millfront.operators.slices import run_to_end
from millfront.plans import book as books
from millfront.plans.part import LivePlans
from tests.peers import configuration, row, settings

CUSTOMER = "00000000b4d65521"


def put(file: Path, version: int, plan: str) -> float:
    aside = file.with_suffix(".new")
    aside.write_text(json.dumps({"version": version, "assignments": [{"customer": CUSTOMER, "plan": plan}]}))
    os.replace(aside, file)
    return time.monotonic()


async def until(address: str, status: bytes, since: float) -> float:
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
    page = await loop.create_server(Pages, "127.0.0.1", 0)
    told = settings()
    told["Packages"][0] |= {"Refill": 1e6, "MostAtOnce": 1e7}
    told["Packages"][1] |= {"Refill": 1e-6, "MostAtOnce": 1e-3}
    known = [row("s-0", f"127.0.0.1:{page.sockets[0].getsockname()[1]}")]
    (folder / "config.json").write_text(json.dumps(configuration(known, "127.0.0.1:1", told)))
    book = folder / "book.json"
    (folder / "operators.json").write_text(
        json.dumps({"logs": {"format": "json"}, "plans": {"file": str(book), "fleet_units_per_s": 1e6}})
    )
    put(book, 1, "casual")
    given = {"NODE_CONFIG": str(folder / "config.json"), "MILLFRONT_OPERATOR": str(folder / "operators.json")}
    command = [sys.executable, "-B", "-m", "millfront"]
    processes, addresses = [], []
    for _ in range(3):
        process = subprocess.Popen(command, env=os.environ | given, stderr=subprocess.PIPE, text=True)
        addresses.append(serving(process))
        processes.append(process)
    found: list[float] = []
    for version in range(2, count + 2):
        await asyncio.sleep(random.uniform(0.05, 0.3))
        plan, status = ("spent", b" 503 ") if version % 2 == 0 else ("casual", b" 200 ")
        since = put(book, version, plan)
        found += await asyncio.gather(*(until(address, status, since) for address in addresses))
    for process in processes:
        process.send_signal(signal.SIGTERM)
        process.wait()
    return found


async def large(folder: Path) -> tuple[float, float, float]:
    """:returns: the longest gap of the loop in ms, the time to apply in s, MB of the book in force"""
    node = Node(config.from_json(configuration([row("s-0", "127.0.0.1:1")], "127.0.0.1:1", settings())))
    node.host.start()
    part = LivePlans(node, Plans(str(folder / "large.json"), 1e6))
    gaps: list[float] = []
    over = False

    async def beats() -> None:
        last = time.perf_counter()
        while not over:
            await anyio.sleep(0.001)
            now = time.perf_counter()
            gaps.append(now - last)
            last = now

    took = 0.0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(beats)
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
            at = time.perf_counter()
            await part.apply(await part.validate(text), str(version))
            took = time.perf_counter() - at
            most = max(gaps)
            print(f"  version {version}: longest gap {most * 1e3:.1f} ms, applied in {took:.2f} s")
        over = True
    tracemalloc.start()
    held = books.decode(text)
    compiled = run_to_end(books.compile_in_slices(held, part.settings_plans, None, 0))
    size = tracemalloc.get_traced_memory()[0] / 2**20
    tracemalloc.stop()
    del compiled
    return most * 1e3, took, size


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--changes", type=int, default=60)
    told = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        found = sorted(asyncio.run(changes(Path(folder), told.changes)))
        middle, late, most = (
            found[min(len(found) - 1, int(len(found) * share))] for share in (0.5, 0.99, 1.0)
        )
        print(f"{len(found)} changes heard: median {middle:.3f} s, p99 {late:.3f} s, most {most:.3f} s")
        gap, took, size = anyio.run(large, Path(folder), backend_options={"use_uvloop": True})
    print(f"100,000 assignments: longest gap {gap:.1f} ms, applied in {took:.2f} s, {size:.1f} MB")


if __name__ == "__main__":
    main()
