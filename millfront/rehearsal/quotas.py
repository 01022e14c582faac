"""Tenants' limits in a rehearsal: clumps of requests over held connections, and the windows that servers saw.

A window is judged by the rule alone: of the requests that a client sent and a server ran within any
`window_s`, at most (rate x window + burst) x (1 + excess) + extra. What processes say of themselves counts
for nothing here. Times are seconds on the machine's steady clock, which clients and servers share.
"""

import bisect
import contextlib
import selectors
import socket
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from millfront.rehearsal.system import System

CONNECT_TIMEOUT_S = 0.5  # a process that stands still takes no more after a while
READ_BYTES = 65536


@dataclass(frozen=True, slots=True)
class QuotaRule:
    """What the rule allows beyond a tenant's limit."""

    window_s: float = 5.0
    excess: float = 0.1
    extra: float = 20.0

    def allowed(self, rate: float, burst: float) -> float:
        """Requests that may run in any window.

        >>> QuotaRule().allowed(5.0, 5.0)
        53.0
        """
        return (rate * self.window_s + burst) * (1.0 + self.excess) + self.extra


@dataclass(frozen=True, slots=True)
class Run:
    """A request that ran: when its client sent it, and when a server began it."""

    sent: float
    arrived: float


def max_requests_in_window(runs: Iterable[Run], window_s: float) -> int:
    """The most requests both sent and begun within any span of that length.

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
    """What clients have sent with which key."""

    sent: dict[str, float] = field(default_factory=dict)  # by attempt id, when
    keys: dict[str, str] = field(default_factory=dict)  # by attempt id

    def record(self, attempt: str, key: str, now: float) -> None:
        """A request is about to be sent."""
        self.sent[attempt], self.keys[attempt] = now, key

    def runs(self, key: str, arrived: Mapping[str, float]) -> list[Run]:
        """The requests with that key that ran.

        :param arrived: by attempt id, when a server began it
        """
        return [
            Run(self.sent[attempt], at) for attempt, at in arrived.items() if self.keys.get(attempt) == key
        ]


class KeptConnections:
    """One open connection to each gatekeeper, which stays open until that process is gone."""

    def __init__(self, system: System, log: SentLog) -> None:
        self.system, self.log = system, log
        self.sockets: dict[int, socket.socket] = {}

    def open(self) -> int:
        """Connect to whomever there is no connection to; returns how many are open."""
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
        """Send `each` requests to every gatekeeper in one go; nobody waits for an answer."""
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
        """Take what comes for so long; a connection whose process is gone is dropped."""
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
        """Whether the connection is still open."""
        try:
            return bool(sock.recv(READ_BYTES))
        except OSError:
            return False

    def drop(self, number: int) -> None:
        """Forget a connection."""
        self.sockets.pop(number).close()

    def close(self) -> None:
        """End all connections."""
        for number in list(self.sockets):
            self.drop(number)
