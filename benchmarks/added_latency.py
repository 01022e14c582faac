"""Latency added by a gatekeeper of the system: a real process on loopback, in turns with the bare server.

    python -m benchmarks.added_latency [--requests 4000] [--rate 167]

One gatekeeper alone with one route; requests are sent one after the other on a persistent connection, at a
given rate. Part of docs/CAPACITY.md.
"""

import argparse
import asyncio
import signal
import tempfile
import time
from pathlib import Path

from benchmarks.gatekeeper_cost import Platform, ToyServer, request, start_gatekeeper


async def measure_request(streams: tuple[asyncio.StreamReader, asyncio.StreamWriter], number: int) -> float:
    reader, writer = streams
    started = time.perf_counter()
    writer.write(request(number))
    head = await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(2)
    assert b" 200 " in head[:20], head
    return time.perf_counter() - started


async def run(folder: Path, requests: int, rate: float) -> None:
    loop = asyncio.get_running_loop()
    shop = await loop.create_server(ToyServer, "127.0.0.1", 0)
    Platform.shop = f"127.0.0.1:{shop.sockets[0].getsockname()[1]}"
    cloud = await loop.create_server(Platform, "127.0.0.1", 0)
    process, address, _ = await start_gatekeeper(folder, f"127.0.0.1:{cloud.sockets[0].getsockname()[1]}")
    times: dict[str, list[float]] = {Platform.shop: [], address: []}
    streams = {}
    for server_address in times:
        host, _, port = server_address.rpartition(":")
        streams[server_address] = await asyncio.open_connection(host, int(port))
    due = loop.time()
    for number in range(1, requests + 1):
        for server_address, times_s in times.items():
            times_s.append(await measure_request(streams[server_address], number))
        due += 1.0 / rate
        await asyncio.sleep(max(0.0, due - loop.time()))
    for name, server_address in (("the server itself", Platform.shop), ("by the gatekeeper", address)):
        times_s = sorted(times[server_address][requests // 10 :])
        shown = [times_s[int(len(times_s) * part)] * 1e3 for part in (0.5, 0.99, 0.999)]
        print(f"{name:18} p50 {shown[0]:.2f}  p99 {shown[1]:.2f}  p99.9 {shown[2]:.2f} ms, of {len(times_s)}")
    process.send_signal(signal.SIGTERM)
    await asyncio.to_thread(process.wait)
    for server in (shop, cloud):
        server.close()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument("--rate", type=float, default=167.0)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(run(Path(folder), args.requests, args.rate))


if __name__ == "__main__":
    main()
