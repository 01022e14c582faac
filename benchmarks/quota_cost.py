"""Cost of quota tokens: real processes on loopback, clients with a limit compared to clients without.

    python -m benchmarks.quota_cost               # 11 processes, 4 of them with a disk
    python -m benchmarks.quota_cost --processes 69 --disks 8

Requests go one by one to processes drawn at random, at 0.6 of the tenant's limit, for 20 s. Figures: time
from sending a request to its arrival at a server, with a limit and without; refusals; token requests of all
processes per client request; and the bytes of a token request and its reply. Loopback has no cross-region
delay.
"""

import argparse
import http.client
import random
import statistics
import tempfile
import threading
import time
from pathlib import Path

from millfront.quotas.messages import TokenReply, TokenRequest
from millfront.rehearsal.system import Limit, System, document, wait_until
from millfront.transport.connections import encode_message

LIMITED, UNLIMITED = "limited", "free"
RATE = 30.0
LOAD = 0.6  # share of RATE
SECONDS = 20.0
CLIENTS = 6
HEADER_BYTES = 28  # bytes of IP and UDP
WARM_S = 6.0


class Clients:
    """Clients that send each request to a random process, on a new connection."""

    def __init__(self, system: System, key: str, seed: int) -> None:
        self.system, self.key, self.random = system, key, random.Random(seed)
        self.sent: dict[str, float] = {}
        self.statuses: list[int] = []

    def run(self, rate: float, seconds: float) -> None:
        """Send `rate` requests per second for `seconds`."""
        deadline, pause = time.monotonic() + seconds, threading.Event()
        while time.monotonic() < deadline:
            pause.wait(self.random.expovariate(rate))
            self._ask(self.random.randrange(self.system.count))

    def _ask(self, process: int) -> None:
        attempt = self.system.new_attempt_id(process)
        address = self.system.links.advertised_ip(process)
        connection = http.client.HTTPConnection(address, self.system.plain, timeout=5.0)
        connection.connect()
        self.sent[attempt] = time.monotonic()
        connection.request("GET", "/pages/1", headers=self.system.client_fields(self.key, attempt))
        self.statuses.append(connection.getresponse().status)
        connection.close()


def run_clients(system: System, key: str, rate: float) -> tuple[list[float], int, int]:
    """Returns the milliseconds until arrival at a server, the number of refusals and that of requests."""
    clients = [Clients(system, key, seed) for seed in range(CLIENTS)]
    threads = [threading.Thread(target=client.run, args=[rate / CLIENTS, SECONDS]) for client in clients]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    arrived = system.peer.observed.attempts
    delays_ms = [
        1e3 * (arrived[a] - sent_at)
        for client in clients
        for a, sent_at in client.sent.items()
        if a in arrived
    ]
    statuses = [status for client in clients for status in client.statuses]
    return sorted(delays_ms), sum(status != 200 for status in statuses), len(statuses)


def count_token_requests(system: System) -> float:
    """Token requests sent by all processes so far."""
    return sum(system.metrics(n).get("millfront_quota_questions_total", 0.0) for n in range(system.count))


def print_line(label: str, delays_ms: list[float], refused: int, total: int) -> None:
    """Print the delays and refusals of one run."""
    p99 = delays_ms[int(0.99 * len(delays_ms))]
    print(
        f"{label}: p50 {statistics.median(delays_ms):.2f} ms, p99 {p99:.2f} ms, {refused} of {total} refused"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--processes", type=int, default=11)
    parser.add_argument("--disks", type=int, default=4)
    args = parser.parse_args()
    limits = {LIMITED: Limit(RATE, RATE), UNLIMITED: Limit(0.0, 0.0)}
    with (
        tempfile.TemporaryDirectory() as folder,
        System(Path(folder), args.processes, disks=args.disks, relays=False, servers=6) as system,
    ):
        text = document(1, limits, limits=limits)
        system.retry_call(0, lambda number: system.put(number, text), 60.0)
        numbers = range(args.processes)
        wait_until("all are ready", lambda: all(system.ready(number) == 200 for number in numbers), 60.0)
        threading.Event().wait(WARM_S)
        print_line("without a limit", *run_clients(system, UNLIMITED, LOAD * RATE))
        before = count_token_requests(system)
        delays_ms, refused, total = run_clients(system, LIMITED, LOAD * RATE)
        print_line("with a limit", delays_ms, refused, total)
        print(f"{(count_token_requests(system) - before) / total:.2f} token requests per request")
    request_bytes = len(encode_message(TokenRequest(2**31, "tenant01", 1.0).to_wire())) + HEADER_BYTES
    reply_bytes = len(encode_message(TokenReply(2**31, 1.0, 0.0).to_wire())) + HEADER_BYTES
    print(f"{request_bytes} bytes per token request, {reply_bytes} per reply")


if __name__ == "__main__":
    main()
