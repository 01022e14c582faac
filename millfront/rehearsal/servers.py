"""The platform's list of servers and those servers, all behind one address on loopback.

A request says by `Millfront-Target-Instance` which server it is for; one that is gone answers 421. Servers
can be replaced while requests come: the old one stands on the list as draining, then is gone. What ran, and
what reached a server that had been draining for long, is kept for whoever checks it.
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
    """One life of a server. Times are of the steady clock."""

    ident: str
    zone: str
    draining_since: float | None = None
    gone: bool = False

    def entry(self, address: str) -> dict[str, Any]:
        """As the platform lists it."""
        phase = "ready" if self.draining_since is None else "draining"
        return {"target": SERVICE, "address": address, "zone": self.zone, "revision": "v1",
                "capacity": CAPACITY, "phase": phase, "warm_left": "0ms"}  # fmt: skip


@dataclass(frozen=True, slots=True)
class LateArrival:
    """A request that reached a server which the list had shown as draining for so long."""

    attempt: str
    ident: str
    after_s: float
    at: float


@dataclass(slots=True)
class ObservedRequests:
    """What the servers saw."""

    orders: dict[str, list[str]] = field(default_factory=dict)  # by operation key, the seal of each run
    attempts: dict[str, float] = field(default_factory=dict)  # pages that ran, by attempt id, and when
    draining_arrivals: list[LateArrival] = field(default_factory=list)


class PeerServer(ThreadingHTTPServer):
    """Listens for `Peer`, and keeps what it saw."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, zones: list[str] | None = None) -> None:
        """:param zones: of a server each that there are from the start"""
        super().__init__(("127.0.0.1", 0), PeerHandler)
        self.observed = ObservedRequests()
        self.lost_answer_share = 0.0  # of the orders that run, whose answer is lost
        self.random = random.Random(0)
        self._lock = threading.Lock()
        self._next_number = itertools.count()
        self.instances: dict[str, Instance] = {}
        for zone in zones or ["north"]:
            self._add(zone)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Who asked was killed."""

    @property
    def orders(self) -> dict[str, list[str]]:
        """By operation key, the seal of each run."""
        return self.observed.orders

    def _add(self, zone: str) -> None:
        instance = Instance(f"i-{next(self._next_number)}", zone)
        self.instances[instance.ident] = instance

    def instance_list(self) -> dict[str, Any]:
        """The platform's list, by ident."""
        here = f"127.0.0.1:{self.server_port}"
        with self._lock:
            return {ident: one.entry(here) for ident, one in self.instances.items() if not one.gone}

    def replace(self) -> str:
        """A new server comes, and the oldest ready one begins to drain; returns that one's ident."""
        with self._lock:
            ready = [one for one in self.instances.values() if one.draining_since is None]
            self._add(ready[0].zone)
            ready[0].draining_since = time.monotonic()
            return ready[0].ident

    def remove(self, ident: str) -> None:
        """That one is gone."""
        with self._lock:
            self.instances[ident].gone = True

    def record_arrival(self, ident: str, attempt: str) -> bool:
        """A request for that server; whether it is there."""
        now = time.monotonic()
        with self._lock:
            instance = self.instances.get(ident)
            if instance is None or instance.gone:
                return False
            if instance.draining_since is not None:
                late = LateArrival(attempt, ident, now - instance.draining_since, now)
                self.observed.draining_arrivals.append(late)
            self.observed.attempts.setdefault(attempt, now)  # a copy, or a further try, is the same request
            return True

    def run_order(self, key: str) -> tuple[str, bool]:
        """An order runs: its seal, and whether its answer is lost."""
        with self._lock:
            runs = self.observed.orders.setdefault(key, [])
            runs.append(f"{key}.{len(runs)}")
            return runs[-1], self.random.random() < self.lost_answer_share


class PeerHandler(BaseHTTPRequestHandler):
    """One connection to the platform or to a server."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: PeerServer

    def log_message(self, format: str, *args: object) -> None:
        """Nothing is logged."""

    def do_GET(self) -> None:
        """The list, or a page."""
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path.startswith("/instances"):
            instance_list = json.dumps({"instances": self.server.instance_list(), "next_token": None})
            self._respond(200, {}, instance_list.encode())
        elif self._check_target():
            self._respond(200, self._response_fields(f"{self._target()}.1"), b"a page\n")

    def do_POST(self) -> None:
        """An order, which runs, whatever becomes of its answer."""
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
        """Whether the server that is meant is there; if not, the answer is given."""
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
        with contextlib.suppress(OSError):  # who asked was killed
            self.end_headers()
            self.wfile.write(body)
