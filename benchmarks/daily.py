"""Daily operation on real processes: upgrades under load, and many large responses read slowly.

    python -m benchmarks.daily [--upgrades 50] [--bodies 200] [--seconds 20]

Upgrades: a successor starts beside its predecessor; once the successor's operators' line reports success, the
predecessor gets SIGTERM. Meanwhile clients send requests, half of them on a new connection each. A request
counts as turned back if its connection is refused or ends before a complete answer; on a reused connection
it is retried once on a new one, as the platform's clients do, and counted only if that fails too.

Bodies: responses of 32 MB, each read at 64 kB/s; the process's resident memory is sampled ten times a second.
"""

import argparse
import asyncio
import json
import os
import random
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from contextlib import suppress
from pathlib import Path

from benchmarks.request_cost import FastPageServer, rss_mb
from tests.peers import configuration, request, row, settings

CLIENTS = 24
BODY_BYTES = 32 * 1024 * 1024


class LargePageServer(FastPageServer):
    """Sends 32 MB in response to each request, as fast as they are read."""

    def data_received(self, data: bytes) -> None:
        self.unsent_bytes = BODY_BYTES
        self.transport.set_write_buffer_limits(256 * 1024)
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES)
        self.resume_writing()

    paused = False

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        while self.unsent_bytes and not self.paused:
            self.unsent_bytes -= 65536
            self.transport.write(b"x" * 65536)


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as server:
        return int(server.getsockname()[1])


class Gatekeeper:
    """A gatekeeper process with an operators' line."""

    def __init__(self, folder: Path, listen: str, page: str, memory_mb: int = 192) -> None:
        node_settings = settings()
        node_settings["Packages"][0] |= {"Refill": 1e6, "MostAtOnce": 1e7}
        node_settings["Allowed"]["MaxOpen"] = 1000
        self.admin = f"127.0.0.1:{free_port()}"
        config = configuration([row("s-0", page)], "127.0.0.1:1", node_settings)
        config |= {"listen": listen, "admin_addr": self.admin}
        config["limits"]["memory_mb"] = memory_mb
        file = folder / f"{self.admin}.json"
        file.write_text(json.dumps(config))
        environment = os.environ | {"NODE_CONFIG": str(file), "TMPDIR": str(folder)}
        command = [sys.executable, "-B", "-m", "millfront"]
        self.process = subprocess.Popen(command, env=environment, stderr=subprocess.PIPE, text=True)
        assert self.process.stderr is not None
        threading.Thread(target=self.process.stderr.read, daemon=True).start()

    async def wait_ready(self) -> float:
        """Seconds until the operators' line reports success."""
        started = time.monotonic()
        host, _, port = self.admin.rpartition(":")
        while True:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"check\n")
                reply = await reader.read(100)
                writer.close()
                if reply.startswith(b"SUCCESS"):
                    return time.monotonic() - started
            await asyncio.sleep(0.02)

    async def stop(self) -> float:
        started = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(self.process.wait)
        return time.monotonic() - started


async def exchange(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> tuple[bool, bool]:
    """Send a request; returns whether it was answered, and whether the connection can be reused."""
    try:
        writer.write(request())
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
        await reader.readexactly(length)
    except (OSError, asyncio.IncompleteReadError):
        return False, False
    return True, b"Connection: close" not in head


async def client(port: int, keep_alive: bool, counts: dict[str, int], stop: asyncio.Event) -> None:
    connection = None
    while not stop.is_set():
        counts["requests"] += 1
        for may_retry in (True, False):
            is_new = connection is None
            if connection is None:
                try:
                    connection = await asyncio.open_connection("127.0.0.1", port)
                except OSError:
                    counts["refused"] += 1
                    break
            ok, reusable = await exchange(*connection)
            if not (ok and reusable and keep_alive):
                connection[1].close()
                connection = None
            if ok:
                break
            if is_new or not may_retry:
                counts["turned back"] += 1
                break
            counts["asked again"] += 1
        await asyncio.sleep(random.uniform(0.005, 0.02))


async def upgrades(folder: Path, count: int) -> None:
    page = await asyncio.get_running_loop().create_server(FastPageServer, "127.0.0.1", 0)
    page_address = f"127.0.0.1:{page.sockets[0].getsockname()[1]}"
    port = free_port()
    current = Gatekeeper(folder, f"127.0.0.1:{port}", page_address)
    await current.wait_ready()
    counts = dict.fromkeys(("requests", "refused", "turned back", "asked again"), 0)
    stop = asyncio.Event()
    clients = [asyncio.create_task(client(port, n % 2 == 0, counts, stop)) for n in range(CLIENTS)]
    ready_s, stop_s, rss_alone, rss_both = [], [], [], []
    for _ in range(count):
        rss_alone.append(rss_mb(current.process.pid))
        successor = Gatekeeper(folder, f"127.0.0.1:{port}", page_address)
        ready_s.append(await successor.wait_ready())
        rss_both.append(rss_mb(current.process.pid) + rss_mb(successor.process.pid))
        stop_s.append(await current.stop())
        current = successor
    stop.set()
    await asyncio.gather(*clients)
    await current.stop()
    print(
        f"{count} upgrades: {counts}; ready after {max(ready_s):.2f} s at most, "
        f"ended {max(stop_s):.2f} s after"
    )
    print(f"resident: one {statistics.median(rss_alone):.1f} MB, two {max(rss_both):.1f} MB at most")


async def bodies(folder: Path, count: int, seconds: float) -> None:
    page = await asyncio.get_running_loop().create_server(LargePageServer, "127.0.0.1", 0)
    port = free_port()
    gatekeeper = Gatekeeper(folder, f"127.0.0.1:{port}", f"127.0.0.1:{page.sockets[0].getsockname()[1]}", 80)
    await gatekeeper.wait_ready()
    before, received, reading = rss_mb(gatekeeper.process.pid), [0], [0]
    all_reading = asyncio.Event()

    async def read_slowly() -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        sock.connect(("127.0.0.1", port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=32 * 1024)
        while True:  # more than are admitted at once
            writer.write(request())
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith(b"HTTP/1.1 200"):
                break
            await reader.readexactly(int(head.partition(b"Content-Length: ")[2].partition(b"\r\n")[0]))
            await asyncio.sleep(random.uniform(0.1, 0.3))
        reading[0] += 1
        if reading[0] == count:
            all_reading.set()
        deadline = 0.0
        while (not deadline or time.monotonic() < deadline) and (data := await reader.read(6_400)):
            received[0] += len(data)
            await asyncio.sleep(0.1)
            if all_reading.is_set() and not deadline:
                deadline = time.monotonic() + seconds
        writer.close()

    tasks = [asyncio.create_task(read_slowly()) for _ in range(count)]
    max_rss = before
    while not all(task.done() for task in tasks):
        max_rss = max(max_rss, rss_mb(gatekeeper.process.pid))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    print(f"{count} responses of 32 MB read slowly, all at once for {seconds:.0f} s:", end=" ")
    print(f"{received[0] / 1e6:.0f} MB received,", end=" ")
    print(f"{before:.1f} MB before, {max_rss:.1f} MB at most, with a limit of 80")
    await gatekeeper.stop()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--upgrades", type=int, default=50)
    parser.add_argument("--bodies", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=20.0)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(upgrades(Path(folder), args.upgrades))
        asyncio.run(bodies(Path(folder), args.bodies, args.seconds))


if __name__ == "__main__":
    main()
