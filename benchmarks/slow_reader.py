"""Effect of clients that read nothing on the response time of others at the same gatekeeper.

    python -m benchmarks.slow_reader [--rounds 6]

HTTP/2 with 10 concurrent streams, in turns alone and beside 20 connections that each hold 20 responses of
60 KB without a flow-control window. Prints the 99th percentile of the others' response time, paired.
"""

import argparse
import asyncio
import statistics
import tempfile
from pathlib import Path
from typing import Any

import h2.config
import h2.connection
import h2.settings

from benchmarks.protocols import Process, multiplexed
from benchmarks.request_cost import FastPageServer
from tests.h2client import head


class LargePageServer(FastPageServer):
    """Sends 60 KB for paths with /stalled/."""

    def data_received(self, data: bytes) -> None:
        self.data += data
        if not self.data.endswith(b"\r\n\r\n"):
            return
        body = b"x" * 60_000 if b"/stalled/" in self.data else b"ok"
        self.data = b""
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


async def open_stalled(address: str) -> Any:
    """Open a connection with 20 responses that wait for a flow-control window that never opens."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    connection = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding=None))
    initial = {h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 0}
    connection.local_settings = h2.settings.Settings(client=True, initial_values=initial)
    connection.initiate_connection()
    for stream_id in range(1, 41, 2):
        fields = head(Path="/page-fetch/stalled/00000000b4d65521", Quota_Info="units=1,spread=1,first=0")
        connection.send_headers(stream_id, fields, end_stream=True)
    writer.write(connection.data_to_send())
    await reader.read(1000)
    return writer


async def run(folder: Path, rounds: int) -> None:
    loop = asyncio.get_running_loop()
    page = await loop.create_server(LargePageServer, "127.0.0.1", 0)
    page_address = f"127.0.0.1:{page.sockets[0].getsockname()[1]}"
    here = Path(__file__).parent.parent
    process = await asyncio.to_thread(Process, folder / "mine", here, page_address, False, True)
    await multiplexed(process.http2, 500, 10)
    ratios, alone_s = [], []
    for _ in range(rounds):
        p99_alone = sorted(await multiplexed(process.http2, 1500, 10))[1484]
        writers = [await open_stalled(process.http2) for _ in range(20)]
        await asyncio.sleep(0.5)
        p99_beside = sorted(await multiplexed(process.http2, 1500, 10))[1484]
        for writer in writers:
            writer.close()
        await asyncio.sleep(0.3)
        ratios.append(p99_beside / p99_alone)
        alone_s.append(p99_alone)
    median_ms = statistics.median(alone_s) * 1e3
    print(
        f"p99 alone {median_ms:.1f} ms; beside 400 stalled streams {statistics.median(ratios):.3f} of that",
        end=" ",
    )
    print(f"({min(ratios):.2f} to {max(ratios):.2f})")
    process.process.terminate()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=6)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(run(Path(folder), args.rounds))


if __name__ == "__main__":
    main()
