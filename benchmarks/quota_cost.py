"""What a token costs: real processes on loopback, clients with a limit beside clients without.

    python -m benchmarks.quota_cost               # 11 processes, 4 of them with a disk
    python -m benchmarks.quota_cost --processes 69 --disks 8

Requests come one by one at processes drawn at random, at 0.6 of the tenant's limit, for 20 s. Told: from the
sending of a request to its arrival at a server, with a limit and without; refusals; questions a request that
came, of all processes; and the bytes of a question with its answer. Loopback has no way to another region.
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

LIMITED, FREE = "limited", "free"
RATE = 30.0
LOAD = 0.6  # of the rate
SECONDS = 20.0
CLIENTS = 6
HEADERS = 28  # bytes of IP and UDP
WARM_S = 6.0


class Clients:
    """They ask one process after another, each on a connection of its own."""

    def __init__(self, system: System, key: str, seed: int) -> None:
        self.system, self.key, self.random = system, key, random.Random(seed)
        self.sent: dict[str, float] = {}
        self.statuses: list[int] = []

    def run(self, rate: float, seconds: float) -> None:
        """So many requests a second, for so long."""
        ends, pause = time.monotonic() + seconds, threading.Event()
        while time.monotonic() < ends:
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


def played(system: System, key: str, rate: float) -> tuple[list[float], int, int]:
    """Milliseconds to a server, how many were refused, and how many came."""
    clients = [Clients(system, key, seed) for seed in range(CLIENTS)]
    threads = [threading.Thread(target=one.run, args=[rate / CLIENTS, SECONDS]) for one in clients]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    arrived = system.peer.observed.attempts
    took = [1e3 * (arrived[a] - at) for one in clients for a, at in one.sent.items() if a in arrived]
    statuses = [status for one in clients for status in one.statuses]
    return sorted(took), sum(status != 200 for status in statuses), len(statuses)


def questions(system: System) -> float:
    """That all processes have asked."""
    return sum(system.metrics(n).get("millfront_quota_questions_total", 0.0) for n in range(system.count))


def told(what: str, took: list[float], refused: int, came: int) -> None:
    """A line."""
    p99 = took[int(0.99 * len(took))]
    print(f"{what}: p50 {statistics.median(took):.2f} ms, p99 {p99:.2f} ms, {refused} of {came} refused")


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--processes", type=int, default=11)
    parser.add_argument("--disks", type=int, default=4)
    given = parser.parse_args()
    limits = {LIMITED: Limit(RATE, RATE), FREE: Limit(0.0, 0.0)}
    with (
        tempfile.TemporaryDirectory() as folder,
        System(Path(folder), given.processes, disks=given.disks, relays=False, servers=6) as system,
    ):
        text = document(1, limits, limits=limits)
        system.retry_call(0, lambda number: system.put(number, text), 60.0)
        numbers = range(given.processes)
        wait_until("all are ready", lambda: all(system.ready(number) == 200 for number in numbers), 60.0)
        threading.Event().wait(WARM_S)
        told("without a limit", *played(system, FREE, LOAD * RATE))
        before = questions(system)
        took, refused, came = played(system, LIMITED, LOAD * RATE)
        told("with a limit", took, refused, came)
        print(f"{(questions(system) - before) / came:.2f} questions a request")
    question = len(encode_message(TokenRequest(2**31, "tenant01", 1.0).to_wire())) + HEADERS
    answer = len(encode_message(TokenReply(2**31, 1.0, 0.0).to_wire())) + HEADERS
    print(f"{question} bytes a question, {answer} an answer")


if __name__ == "__main__":
    main()
