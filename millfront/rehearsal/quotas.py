"""Tenants' limits in a rehearsal: bursts of requests over kept connections, and the requests that then ran.

The rule for any window: of the requests that clients sent and servers began within `window_s`, there are at
most (rate x window + burst) x (1 + excess) + extra. Reports of the processes about themselves are not used.
Times are seconds of the machine's monotonic clock, which clients and servers share.
"""

import bisect
import contextlib
import selectors
import socket
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from millfront.rehearsal.system import System

CONNECT_TIMEOUT_S = 0.5  # a frozen process accepts no more connections once its backlog is full
READ_BYTES = 65536


@dataclass(frozen=True, slots=True)
class QuotaRule:
    """The window of the rule, and what it allows beyond a tenant's limit."""

    window_s: float = 5.0
    excess: float = 0.1
    extra: float = 20.0

    def allowed(self, rate: float, burst: float) -> float:
        """The most requests that may run in any window.

        >>> QuotaRule().allowed(5.0, 5.0)
        53.0
        """
        return (rate * self.window_s + burst) * (1.0 + self.excess) + self.extra


@dataclass(frozen=True, slots=True)
class Run:
    """A request that ran: when its client sent it, and when a server began to run it."""

    sent: float
    arrived: float


def max_requests_in_window(runs: Iterable[Run], window_s: float) -> int:
    """The highest number of requests both sent and begun within any window of that length.

    >>> most_in_window([Run(0.0, 0.1), Run(0.0, 6.0), Run(4.0, 4.9), Run(5.2, 5.3)], 5.0)
    2
    """
    highest = 0
    arrivals: list[float] = []  # sorted, of the requests sent at `run.sent` or later
    for run in sorted(runs, key=lambda run: run.sent, reverse=True):
        bisect.insort(arrivals, run.arrived)
        highest = max(highest, bisect.bisect_right(arrivals, run.sent + window_s))
    return highest


@dataclass(slots=True)
class SentLog:
    """Requests that clients sent: their times and API keys."""

    sent: dict[str, float] = field(default_factory=dict)  # by attempt id, when
    keys: dict[str, str] = field(default_factory=dict)  # by attempt id

    def record(self, attempt: str, key: str, now: float) -> None:
        """Record a request that is about to be sent."""
        self.sent[attempt], self.keys[attempt] = now, key

    def runs(self, key: str, arrived: Mapping[str, float]) -> list[Run]:
        """The requests with that key that ran.

        :param arrived: by attempt id, when a server began to run it
        """
        return [
            Run(self.sent[attempt], at) for attempt, at in arrived.items() if self.keys.get(attempt) == key
        ]


class KeptConnections:
    """One connection to each gatekeeper, kept open until the process has exited."""

    def __init__(self, system: System, log: SentLog) -> None:
        self.system, self.log = system, log
        self.sockets: dict[int, socket.socket] = {}

    def open(self) -> int:
        """Connect to each gatekeeper without a connection; returns how many are open."""
        for number in range(self.system.count):
            if number not in self.sockets:
                with contextlib.suppress(OSError):
                    self.sockets[number] = self._connect(number)
        return len(self.sockets)

    def _connect(self, number: int) -> socket.socket:
        address = (self.system.links.advertised_ip(number), self.system.plain)
        sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def send_burst(self, key: str, per_process: int = 1) -> None:
        """Send `per_process` requests to every gatekeeper at once, without waiting for answers."""
        requests = {number: self._requests(number, key, per_process) for number in self.sockets}
        now = time.monotonic()
        for number, (attempts, data) in requests.items():
            for attempt in attempts:
                self.log.record(attempt, key, now)
            try:
                self.sockets[number].sendall(data)
            except OSError:
                self.drop(number)

    def _requests(self, number: int, key: str, per_process: int) -> tuple[list[str], bytes]:
        attempts = [self.system.new_attempt_id(number) for _ in range(per_process)]
        heads = []
        for attempt in attempts:
            fields = self.system.client_fields(key, attempt)
            lines = ["GET /pages/1 HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
            heads.append("\r\n".join(lines) + "\r\n\r\n")
        return attempts, "".join(heads).encode()

    def read(self, seconds: float) -> None:
        """Read and discard answers for that long; drop connections that were closed."""
        deadline = time.monotonic() + seconds
        with selectors.DefaultSelector() as selector:
            for number, sock in self.sockets.items():
                selector.register(sock, selectors.EVENT_READ, number)
            while (left := deadline - time.monotonic()) > 0.0:
                for ready, _ in selector.select(left):
                    sock = self.sockets[ready.data]
                    if not self._receive(sock):
                        selector.unregister(sock)
                        self.drop(ready.data)
                if not selector.get_map():
                    return

    @staticmethod
    def _receive(sock: socket.socket) -> bool:
        """Read once; returns whether the connection is still open."""
        try:
            return bool(sock.recv(READ_BYTES))
        except OSError:
            return False

    def drop(self, number: int) -> None:
        """Close a connection and forget it."""
        self.sockets.pop(number).close()

    def close(self) -> None:
        """Close all connections."""
        for number in list(self.sockets):
            self.drop(number)
