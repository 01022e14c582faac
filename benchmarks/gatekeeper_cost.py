"""Cost of a request at a gatekeeper of the whole system, in turns with a single gatekeeper (NODE_*).

    python -m benchmarks.gatekeeper_cost [--rounds 24] [--requests 400]

One real process of each, both running at once, between simulated servers and a client with persistent
connections on loopback; each round sends both a block of requests, in random order. CPU is that of the
process's threads. The system's gatekeeper (`office` in the output) runs alone: it has bootstrapped a core of
one on its disk and enforces the quota of a tenant, which is never reached.
"""

import argparse
import asyncio
import json
import os
import random
import re
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.kills import LoadRecord, PageServer
from benchmarks.request_cost import CONNECTIONS, FastPageServer, RunningGatekeeper, cpu_s, load, rss_mb

HERE = Path(__file__).parent.parent
ID = re.compile(rb"Millfront-Attempt-Id: ([^\r]*)\r")
READY_S = 20.0


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class ToyServer(PageServer):
    """A server of the system's protocol that always succeeds at once."""

    def data_received(self, data: bytes) -> None:
        self.data += data
        if self.data.endswith(b"\r\n\r\n"):
            match, self.data = ID.search(self.data), b""
            attempt_id = match[1] if match else b""
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nMillfront-Attempt-Id: "
                + attempt_id
                + b"\r\nMillfront-Server-Seal: 1\r\n"
                b"Millfront-Server-Load: 1,0,100\r\nContent-Length: 2\r\n\r\nok"
            )


class Platform(asyncio.Protocol):
    """A simulated platform that lists one server, on one page."""

    shop = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        entry = {"target": "shop", "address": self.shop, "zone": "aa", "revision": "v1", "capacity": 100,
                 "phase": "ready", "warm_left": "0ms"}  # fmt: skip
        page = json.dumps({"instances": {"i-1": entry}, "next_token": None}).encode()
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(page), page))


SETTINGS = """
[self]
node_name = "bench"
ip_addr = "127.0.0.1"
zone = "aa"
region = "a"
serves = ["edge", "control", "directory"]
fresh = true
state_dir = "{folder}"
[self.limits]
fd_limit = 1000
[network]
port_range = [{port}, {port}]
seed_nodes = ["{ctl}"]
[network.bindings]
plain = "{plain}"
ctl = "{ctl}"
[network.zones]
aa = "a"
[platform.cloud_api]
address = "{cloud}"
[terms.bounds]
"""
CONFIGURATION = {
    "revision": "00000001",
    "resources": [
        {"variant": "routes", "meta": {"name": "r"}, "spec": {
            "host": "a.example", "path_prefix": "/p/", "variant_tag": "idempotent", "deadline": "4s",
            "target_time": "1s", "rank": 1, "target": "shop", "max_tries": 2}},
        {"variant": "services", "meta": {"name": "shop"}, "spec": {"max_conns": 100}},
        {"variant": "tenants", "meta": {"name": "t"}, "spec": {
            "api_keys": ["k"], "rate_per_s": 1000000, "burst_size": 1000000}},
    ],
}  # fmt: skip


async def call(address: str, request: bytes) -> int:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request)
        return int((await reader.readuntil(b"\r\n\r\n")).split()[1])
    finally:
        writer.close()


async def start_gatekeeper(folder: Path, cloud: str) -> tuple[subprocess.Popen[str], str, float]:
    """Start a gatekeeper of the system; returns it when ready, its address and the seconds taken."""
    plain, ctl = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
    settings = SETTINGS.format(folder=folder / "disk", port=free_port(), ctl=ctl, plain=plain, cloud=cloud)
    (folder / "node.toml").write_text(settings)
    (folder / "disk").mkdir()
    environment = os.environ | {"MILLFRONT_CONFIG": str(folder / "node.toml")}
    started = time.monotonic()
    command = [sys.executable, "-B", "-m", "millfront", "gatekeeper"]
    process = subprocess.Popen(command, cwd=HERE, env=environment, stderr=subprocess.DEVNULL, text=True)
    body = json.dumps(CONFIGURATION).encode()
    put = b"PUT /v1/config HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    while time.monotonic() < started + READY_S:
        try:
            if await call(ctl, put) == 200 and await ask_once(plain) == 200:
                return process, plain, time.monotonic() - started
        except (OSError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.05)
    process.kill()
    raise SystemExit(f"gatekeeper not ready within {READY_S:g} s")


def request(number: int) -> bytes:
    return (
        f"GET /p/{number} HTTP/1.1\r\nHost: a.example\r\nMillfront-Attempt-Id: {number:016x}\r\n"
        "Millfront-Deadline-Ms: 2000\r\nAuthorization: Token k\r\n\r\n"
    ).encode()


async def ask_once(address: str) -> int:
    return await call(address, request(0))


async def gatekeeper_load(address: str, requests: int) -> None:
    host, _, port = address.rpartition(":")

    async def client(first_number: int) -> None:
        reader, writer = await asyncio.open_connection(host, int(port))
        for number in range(requests // CONNECTIONS):
            writer.write(request(first_number + number))
            head = await reader.readuntil(b"\r\n\r\n")
            assert b" 200 " in head[:20], head
            await reader.readexactly(2)
        writer.close()

    await asyncio.gather(*(client(1_000_000 * k) for k in range(CONNECTIONS)))


async def rounds(folder: Path, count: int, requests: int) -> None:
    loop = asyncio.get_running_loop()
    page = await loop.create_server(FastPageServer, "127.0.0.1", 0)
    shop = await loop.create_server(ToyServer, "127.0.0.1", 0)
    Platform.shop = f"127.0.0.1:{shop.sockets[0].getsockname()[1]}"
    cloud = await loop.create_server(Platform, "127.0.0.1", 0)
    page_address = f"127.0.0.1:{page.sockets[0].getsockname()[1]}"
    node = await asyncio.to_thread(RunningGatekeeper, folder / "gatekeeper", "off", HERE, page_address)
    process, address, startup_s = await start_gatekeeper(
        folder, f"127.0.0.1:{cloud.sockets[0].getsockname()[1]}"
    )
    cost: dict[str, list[float]] = {"gatekeeper": [], "office": []}
    record, rng = LoadRecord(), random.Random(1)
    for round_number in range(-1, count):  # round -1 warms up
        for name in random.sample(sorted(cost), 2):
            pid = process.pid if name == "office" else node.process.pid
            before = cpu_s(pid)
            if name == "office":
                await gatekeeper_load(address, requests)
            else:
                await load(node.address, record, rng, requests)
            if round_number >= 0:
                cost[name].append((cpu_s(pid) - before) / requests * 1e6)
    ratios = sorted(a / b for a, b in zip(cost["office"], cost["gatekeeper"], strict=True))
    low, high = ratios[len(ratios) // 4], ratios[len(ratios) * 3 // 4]
    for name, pid in (("gatekeeper", node.process.pid), ("office", process.pid)):
        print(f"{name:10} {statistics.median(cost[name]):6.0f} µs a request, {rss_mb(pid):.1f} MB")
    print(
        f"office over gatekeeper {statistics.median(ratios):.2f} (half of the pairs {low:.2f} to {high:.2f})"
    )
    print(f"the office served {startup_s:.2f} s after its start, with a core of one bootstrapped")
    process.send_signal(signal.SIGTERM)
    await asyncio.to_thread(process.wait)
    await asyncio.to_thread(node.stop)
    for server in (page, shop, cloud):
        server.close()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=24)
    parser.add_argument("--requests", type=int, default=400)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(rounds(Path(folder), args.rounds, args.requests))


if __name__ == "__main__":
    main()
