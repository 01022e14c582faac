"""Cost of a request over HTTP/1.1 and HTTP/2, compared to a bare relay in the same run.

    python -m benchmarks.protocols [--against FOLDER] [--rounds 12] [--requests 1200]

Every variant is a process that runs all the time; each round sends each a block of requests, in random order:
the relay, HTTP/1.1 on persistent connections, HTTP/1.1 with a connection for each request (both also of
another checkout), and HTTP/2 with 1, 10 and 100 concurrent streams on a connection. CPU is that of the
process's threads.
"""

import argparse
import asyncio
import json
import os
import random
import re
import statistics
import subprocess
import sys
import tempfile
import threading
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import h2.config
import h2.connection
import h2.events

from benchmarks.kills import LoadRecord, ask
from benchmarks.request_cost import FastPageServer, cpu_s, load, rss_mb
from tests.h2client import head
from tests.peers import configuration, row, settings

Loader = Callable[[str, int], Awaitable[None]]


class Process:
    def __init__(self, folder: Path, tree: Path, page: str, relay: bool, http2: bool = False) -> None:
        folder.mkdir(parents=True)
        if relay:
            command = [sys.executable, "-B", "-m", "benchmarks.relay", "127.0.0.1:0", page]
            environment = dict(os.environ)
        else:
            node_settings = settings(MaxOpen=1000)
            node_settings["Packages"][0] |= {"Refill": 1e6, "MostAtOnce": 1e7}
            known = [row(f"s-{i}", page) for i in range(40)]
            (folder / "config.json").write_text(
                json.dumps(configuration(known, "127.0.0.1:1", node_settings))
            )
            command = [sys.executable, "-B", "-m", "millfront"]
            environment = os.environ | {"NODE_CONFIG": str(folder / "config.json")}
            if http2:
                part = {"listen": "127.0.0.1:0", "streams": 200, "connections": 200}
                (folder / "operators.json").write_text(json.dumps({"http2": part}))
                environment["MILLFRONT_OPERATOR"] = str(folder / "operators.json")
        self.process = subprocess.Popen(command, cwd=tree, env=environment, stderr=subprocess.PIPE, text=True)
        assert self.process.stderr is not None
        self.http2 = ""
        for line in self.process.stderr:
            match = re.search(r"127\.0\.0\.1:\d+", line)
            if "HTTP/2 listens" in line and match:
                self.http2 = match[0]
            if "serves" in line and match:
                self.address = match[0]
                break
        threading.Thread(target=self.process.stderr.read, daemon=True).start()

    @property
    def pid(self) -> int:
        return self.process.pid


async def keep_alive_load(address: str, requests: int) -> None:
    await load(address, LoadRecord(), random.Random(), requests)


async def connection_per_request_load(address: str, requests: int) -> None:
    """A connection for each request."""
    host, _, port = address.rpartition(":")

    async def client() -> None:
        for _ in range(requests // 8):
            reader, writer = await asyncio.open_connection(host, int(port))
            await ask(reader, writer, LoadRecord(), random.Random())
            writer.close()
            await writer.wait_closed()

    await asyncio.gather(*(client() for _ in range(8)))


def multiplexed_load(at_once: int) -> Loader:
    async def loader(address: str, requests: int) -> None:
        await multiplexed(address, requests, at_once)

    return loader


async def multiplexed(address: str, requests: int, at_once: int) -> list[float]:
    """Send requests over one connection; returns the response times in s."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    connection = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding=None))
    connection.initiate_connection()
    sent, done, stream_id = 0, 0, 1
    sent_at: dict[int, float] = {}
    durations: list[float] = []
    now = asyncio.get_running_loop().time
    while done < requests:
        while sent < requests and sent - done < at_once:
            connection.send_headers(stream_id, head(Quota_Info="units=1,spread=1,first=0"), end_stream=True)
            sent_at[stream_id] = now()
            sent, stream_id = sent + 1, stream_id + 2
        writer.write(connection.data_to_send())
        for event in connection.receive_data(await reader.read(65_536)):
            if isinstance(event, h2.events.DataReceived) and event.flow_controlled_length:
                connection.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            elif isinstance(event, h2.events.StreamEnded | h2.events.StreamReset):
                durations.append(now() - sent_at.pop(event.stream_id or 0))
                done += 1
            elif isinstance(event, h2.events.ConnectionTerminated):
                raise RuntimeError(f"connection ended by GOAWAY with error code {event.error_code}")
    writer.close()
    return durations


async def run(folder: Path, against: Path | None, rounds: int, requests: int) -> None:
    loop = asyncio.get_running_loop()
    page = await loop.create_server(FastPageServer, "127.0.0.1", 0)
    page_address = f"127.0.0.1:{page.sockets[0].getsockname()[1]}"
    here = Path(__file__).parent.parent

    def start(name: str, *arguments: Any) -> Process:
        return Process(folder / name, *arguments)

    relay = await asyncio.to_thread(start, "relay", here, page_address, True)
    current = await asyncio.to_thread(start, "mine", here, page_address, False, True)
    other = await asyncio.to_thread(start, "other", against, page_address, False) if against else None
    variants: dict[str, tuple[Process, str, Loader]] = {
        "relay, kept": (relay, relay.address, keep_alive_load),
        "relay, one each": (relay, relay.address, connection_per_request_load),
        "HTTP/1.1, kept": (current, current.address, keep_alive_load),
        "HTTP/1.1, one each": (current, current.address, connection_per_request_load),
        "HTTP/2, 1 stream": (current, current.http2, multiplexed_load(1)),
        "HTTP/2, 10 streams": (current, current.http2, multiplexed_load(10)),
        "HTTP/2, 100 streams": (current, current.http2, multiplexed_load(100)),
    }
    if other is not None:
        variants |= {
            "before, kept": (other, other.address, keep_alive_load),
            "before, one each": (other, other.address, connection_per_request_load),
        }
    cost: dict[str, list[float]] = {name: [] for name in variants}
    for round_number in range(-1, rounds):
        for name in random.sample(sorted(variants), len(variants)):
            process, address, loader = variants[name]
            before = cpu_s(process.pid)
            await loader(address, requests)
            if round_number >= 0:
                cost[name].append((cpu_s(process.pid) - before) / requests * 1e6)
    for name, costs in cost.items():
        base = cost["relay, one each" if "one each" in name else "relay, kept"]
        ratios = sorted(cost_us / relay_us for cost_us, relay_us in zip(costs, base, strict=True))
        print(
            f"{name:20} {statistics.median(costs):6.0f} µs, {statistics.median(ratios):5.2f} of the relay's",
            flush=True,
        )
    await at_size(current)
    for process in (relay, current, *([other] if other else [])):
        process.process.terminate()
        process.process.wait()


async def at_size(current: Process) -> None:
    """10,000 streams over 100 connections, and the memory of an idle connection."""
    before = rss_mb(current.pid)
    durations = sorted(
        t
        for one in await asyncio.gather(*(multiplexed(current.http2, 100, 5) for _ in range(100)))
        for t in one
    )
    p99_ms, extra_mb = durations[9899] * 1e3, rss_mb(current.pid) - before
    print(f"10,000 streams over 100 connections: p99 {p99_ms:.0f} ms, {extra_mb:.1f} MB more")
    for name, address, preface in (("HTTP/1.1", current.address, b""), ("HTTP/2", current.http2, None)):
        writers = []
        before = rss_mb(current.pid)
        for _ in range(150):
            reader, writer = await asyncio.open_connection(*address.split(":"))
            if preface is None:
                connection = h2.connection.H2Connection()
                connection.initiate_connection()
                writer.write(connection.data_to_send())
                await reader.read(100)
            writers.append(writer)
        await asyncio.sleep(0.3)
        print(f"an idle connection of {name}: {(rss_mb(current.pid) - before) / 150 * 1024:.1f} KB")
        for writer in writers:
            writer.close()
        await asyncio.sleep(0.5)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--against", type=Path)
    parser.add_argument("--rounds", type=int, default=12)
    parser.add_argument("--requests", type=int, default=1200)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(run(Path(folder), args.against, args.rounds, args.requests))


if __name__ == "__main__":
    main()
