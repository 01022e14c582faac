"""Stand-ins for the platform's list of servers and for the servers, all at one address on loopback.

A request names its server in `Millfront-Target-Instance`; one that is gone answers 421. Servers can be
replaced while requests come in: the old one is listed as draining, then removed. Requests that ran, and
requests that reached a draining server, are recorded for the checks.
"""

import contextlib
import itertools
import json
import random
import threading
import time
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

SERVICE = "shop"
CAPACITY = 8
MISDIRECTED = 421


@dataclass(slots=True)
class Instance:
    """One server, from its start to its end. Times are of the monotonic clock."""

    ident: str
    zone: str
    draining_since: float | None = None
    gone: bool = False

    def entry(self, address: str) -> dict[str, Any]:
        """The server's entry in the platform's list."""
        phase = "ready" if self.draining_since is None else "draining"
        return {"target": SERVICE, "address": address, "zone": self.zone, "revision": "v1",
                "capacity": CAPACITY, "phase": phase, "warm_left": "0ms"}  # fmt: skip


@dataclass(frozen=True, slots=True)
class LateArrival:
    """A request that reached a server `after_s` seconds after the list first showed it as draining."""

    attempt: str
    ident: str
    after_s: float
    at: float


@dataclass(slots=True)
class ObservedRequests:
    """The requests that the servers received."""

    orders: dict[str, list[str]] = field(default_factory=dict)  # by operation key, each run's seal
    attempts: dict[str, float] = field(default_factory=dict)  # by attempt id, when a request ran first
    draining_arrivals: list[LateArrival] = field(default_factory=list)


class PeerServer(ThreadingHTTPServer):
    """The HTTP server behind `PeerHandler`; records what it receives."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, zones: list[str] | None = None) -> None:
        """:param zones: the zone of each server that exists from the start"""
        super().__init__(("127.0.0.1", 0), PeerHandler)
        self.observed = ObservedRequests()
        self.lost_answer_share = 0.0  # share of the orders that run but whose answer is lost
        self.random = random.Random(0)
        self._lock = threading.Lock()
        self._next_number = itertools.count()
        self.instances: dict[str, Instance] = {}
        for zone in zones or ["north"]:
            self._add(zone)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore errors: the client of the request was killed."""

    @property
    def orders(self) -> dict[str, list[str]]:
        """By operation key, the server seal of each run."""
        return self.observed.orders

    def _add(self, zone: str) -> None:
        instance = Instance(f"i-{next(self._next_number)}", zone)
        self.instances[instance.ident] = instance

    def instance_list(self) -> dict[str, Any]:
        """The platform's list, by instance id."""
        here = f"127.0.0.1:{self.server_port}"
        with self._lock:
            return {ident: one.entry(here) for ident, one in self.instances.items() if not one.gone}

    def replace(self) -> str:
        """Add a server and drain the oldest ready one; returns the id of the latter."""
        with self._lock:
            ready = [one for one in self.instances.values() if one.draining_since is None]
            self._add(ready[0].zone)
            ready[0].draining_since = time.monotonic()
            return ready[0].ident

    def remove(self, ident: str) -> None:
        """Remove a server from the list; requests for it are answered 421."""
        with self._lock:
            self.instances[ident].gone = True

    def record_arrival(self, ident: str, attempt: str) -> bool:
        """Record a request for a server; returns whether the server exists."""
        now = time.monotonic()
        with self._lock:
            instance = self.instances.get(ident)
            if instance is None or instance.gone:
                return False
            if instance.draining_since is not None:
                late = LateArrival(attempt, ident, now - instance.draining_since, now)
                self.observed.draining_arrivals.append(late)
            self.observed.attempts.setdefault(attempt, now)  # a hedge or a retry is the same request
            return True

    def run_order(self, key: str) -> tuple[str, bool]:
        """Run an order; returns its server seal, and whether its answer is lost."""
        with self._lock:
            runs = self.observed.orders.setdefault(key, [])
            runs.append(f"{key}.{len(runs)}")
            return runs[-1], self.random.random() < self.lost_answer_share


class PeerHandler(BaseHTTPRequestHandler):
    """One connection to the platform's list or to a server."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: PeerServer

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing."""

    def do_GET(self) -> None:
        """Answer with the list, or with a page."""
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path.startswith("/instances"):
            instance_list = json.dumps({"instances": self.server.instance_list(), "next_token": None})
            self._respond(200, {}, instance_list.encode())
        elif self._check_target():
            self._respond(200, self._response_fields(f"{self._target()}.1"), b"a page\n")

    def do_POST(self) -> None:
        """Run an order, even if its answer is lost."""
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if not self._check_target():
            return
        seal, lost = self.server.run_order(self.headers.get("Millfront-Operation-Key", ""))
        if lost:
            self.close_connection = True
            return
        self._respond(200, self._response_fields(seal), f"order {seal}\n".encode())

    def _target(self) -> str:
        return str(self.headers.get("Millfront-Target-Instance", ""))

    def _response_fields(self, seal: str) -> dict[str, str]:
        attempt = self.headers.get("Millfront-Attempt-Id", "")
        return {"Millfront-Attempt-Id": attempt, "Millfront-Server-Seal": seal}

    def _check_target(self) -> bool:
        """Whether the target server exists; if not, answers 421."""
        attempt = self.headers.get("Millfront-Attempt-Id", "")
        if self.server.record_arrival(self._target(), attempt):
            return True
        self._respond(MISDIRECTED, {"Millfront-Attempt-Id": attempt}, b"")
        return False

    def _respond(self, status: int, fields: dict[str, str], body: bytes) -> None:
        self.send_response(status)
        for name, value in fields.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        with contextlib.suppress(OSError):  # the client was killed
            self.end_headers()
            self.wfile.write(body)
