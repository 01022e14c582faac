"""A whole system of real processes on loopback, with doors on every link between them (`links.py`).

Each process is `python -m millfront gatekeeper` with a disk in the run's folder. Its `ctl` and `plain`
addresses
are called directly, so that a process that is cut off from the others can still be asked. Waiting is until a
condition holds, with a deadline.
"""

import contextlib
import http.client
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from types import TracebackType
from typing import Any, Self

from millfront.rehearsal.links import Links

ROOT = Path(__file__).parents[2]
REGIONS = {"north": "a", "south": "a", "east": "b", "west": "b", "far": "b"}  # zone, which is the name, too
HOST = "shop.example"
START_S = 20.0
LOOK_S = 0.05
CALL_S = 8.0  # a PUT is answered 4 s after it came, at the latest
PAUSE_S = 0.3  # as Retry-After says


class Late(Exception):
    """A condition did not hold by its deadline."""


@dataclass(frozen=True, slots=True)
class Answer:
    """Of one call; status 0: there was none."""

    status: int
    text: str = ""
    fields: Mapping[str, str] = field(default_factory=dict)

    def json(self) -> Any:
        return json.loads(self.text)


def until(what: str, condition: Callable[[], Any], within: float = START_S) -> float:
    """Seconds until the condition held.

    :raises Late: it did not by then
    """
    began, pause = time.monotonic(), threading.Event()
    while not condition():
        if time.monotonic() - began > within:
            raise Late(f"{what}: not within {within:g} s")
        pause.wait(LOOK_S)
    return time.monotonic() - began


def document(version: int, keys: Iterable[str], routes: int = 1, note: str = "", orders: bool = False) -> str:
    """A configuration: one service, `routes` routes, a tenant for each key.

    :param note: makes documents of one version differ
    :param orders: there is a route /orders/ whose requests carry an operation key
    """
    paths = ["/pages/", *(f"/more{number}/" for number in range(1, routes))]
    route = {"host": HOST, "variant_tag": "idempotent", "deadline": "3s", "target_time": "800ms",
             "rank": 1, "target": "shop", "max_tries": 2}  # fmt: skip
    tenant = {"rate_per_s": 1000, "burst_size": 1000}
    return json.dumps({
        "revision": f"{version:08x}",
        "resources": [
            {"variant": "services", "meta": {"name": "shop"}, "spec": {"warmup": "3s", "warmup_rate_s": 2}},
            *({"variant": "routes", "meta": {"name": f"r{number}"}, "spec": route | {"path_prefix": path}}
              for number, path in enumerate(paths)),
            *([{"variant": "routes", "meta": {"name": "orders"},
                "spec": route | {"path_prefix": "/orders/", "variant_tag": "keyed"}}] if orders else []),
            *({"variant": "tenants", "meta": {"name": f"of-{key}"}, "spec": tenant | {"api_keys": [key]}}
              for key in [*keys, *([note] if note else [])]),
        ],
    })  # fmt: skip


class PeerServer(ThreadingHTTPServer):
    """Listens for `Peer`, and keeps which orders ran."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), Peer)
        self.orders: dict[str, list[str]] = {}  # by operation key, the seal of each run
        self.lost_share = 0.0  # of the orders that run, whose answer is lost
        self.random = random.Random(0)
        self._lock = threading.Lock()

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Who asked was killed."""

    def run_order(self, key: str) -> tuple[str, bool]:
        """An order runs: its seal, and whether its answer is lost."""
        with self._lock:
            runs = self.orders.setdefault(key, [])
            runs.append(f"{key}.{len(runs)}")
            return runs[-1], self.random.random() < self.lost_share


class Peer(BaseHTTPRequestHandler):
    """The platform's list of one server, and that server."""

    protocol_version = "HTTP/1.1"

    def log_message(self, format: str, *args: object) -> None:
        pass

    def do_GET(self) -> None:
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        stamps = {"Millfront-Attempt-Id": self.headers.get("Millfront-Attempt-Id", "")}
        if self.path.startswith("/instances"):
            assert isinstance(self.server, ThreadingHTTPServer)
            here = f"127.0.0.1:{self.server.server_port}"
            server = {"target": "shop", "address": here, "zone": "north", "revision": "v1",
                      "capacity": 8, "phase": "ready", "warm_left": "0ms"}  # fmt: skip
            body, stamps = json.dumps({"instances": {"i-0": server}, "next_token": None}).encode(), {}
        else:
            body, stamps = b"a page\n", stamps | {"Millfront-Server-Seal": "i-0.1"}
        self.send_response(200)
        for name, value in stamps.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        with contextlib.suppress(OSError):  # who asked was killed
            self.end_headers()
            self.wfile.write(body)

    def do_POST(self) -> None:
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        assert isinstance(self.server, PeerServer)
        seal, lost = self.server.run_order(self.headers.get("Millfront-Operation-Key", ""))
        if lost:
            self.close_connection = True
            return
        body = f"order {seal}\n".encode()
        self.send_response(200)
        self.send_header("Millfront-Attempt-Id", self.headers.get("Millfront-Attempt-Id", ""))
        self.send_header("Millfront-Server-Seal", seal)
        self.send_header("Content-Length", str(len(body)))
        with contextlib.suppress(OSError):  # who asked was killed
            self.end_headers()
            self.wfile.write(body)


def free_ports(count: int) -> list[int]:
    """On 127.0.0.1; the system's addresses are others, which nobody else uses."""
    with contextlib.ExitStack() as held:
        socks = [held.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [int(sock.getsockname()[1]) for sock in socks]


class System:
    """Gatekeepers 0 to `count` - 1, all of the core, zones in two regions; `with` ends what it started."""

    def __init__(self, folder: Path, count: int = 4, seed: int = 0, bounds: Mapping[str, str] = {}) -> None:
        """:param bounds: times of the rules, in the settings' form (``{"revoke_within": "5s"}``)"""
        assert count <= len(REGIONS)
        self.folder, self.count, self.bounds = folder, count, dict(bounds)
        self.plain, self.ctl, port = free_ports(3)
        self.links = Links(count, port, random.Random(seed))
        self.peer = PeerServer()
        self.running: dict[int, subprocess.Popen[bytes]] = {}
        self.names = list(REGIONS)[:count]
        self._attempt = itertools.count(1)

    def __enter__(self) -> Self:
        threading.Thread(target=self.peer.serve_forever, daemon=True).start()
        try:
            self.links.open()
            for number in range(self.count):
                self.start(number, fresh=True)
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(
        self, kind: type[BaseException] | None, wrong: BaseException | None, at: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        for number in list(self.running):
            self.kill(number)
        self.links.close()
        self.peer.shutdown()
        self.peer.server_close()

    # ---- processes ---------------------------------------------------------------------------------

    def disk(self, number: int) -> Path:
        return self.folder / self.names[number]

    def settings(self, number: int, fresh: bool) -> Path:
        """The settings file of one gatekeeper."""
        ip, zone = self.links.front(number), self.names[number]
        seeds = [f"{self.links.front(other)}:{self.ctl}" for other in range(min(3, self.count))]
        bound = dict.fromkeys(("ctl", "lookup", "readiness"), f"{ip}:{self.ctl}")
        bound["plain"] = f"{ip}:{self.plain}"
        lines = [
            "[self]", f'node_name = "{zone}"', f'ip_addr = "{ip}"', f'zone = "{zone}"',
            f'region = "{REGIONS[zone]}"', 'serves = ["edge", "control", "directory"]',
            f"fresh = {'true' if fresh else 'false'}", "counts_loss = true",
            f'state_dir = "{self.disk(number)}"', "[self.limits]", "fd_limit = 1000",
            "[network]", f"port_range = [{self.links.port}, {self.links.port}]",
            f'listen_ip = "{self.links.behind(number)}"', f"seed_nodes = {json.dumps(seeds)}",
            "[network.bindings]", *(f'{name} = "{address}"' for name, address in bound.items()),
            "[network.zones]", *(f'{name} = "{REGIONS[name]}"' for name in self.names),
            "[platform.cloud_api]", f'address = "127.0.0.1:{self.peer.server_port}"',
            "[terms.bounds]", *(f'{name} = "{value}"' for name, value in self.bounds.items()),
        ]  # fmt: skip
        path = self.folder / f"{zone}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start(self, number: int, fresh: bool = False) -> None:
        given = os.environ | {"MILLFRONT_CONFIG": str(self.settings(number, fresh))}
        command = [sys.executable, "-B", "-m", "millfront", "gatekeeper"]
        with (self.folder / f"{self.names[number]}.log").open("ab") as log:
            self.running[number] = subprocess.Popen(command, cwd=ROOT, env=given, stdout=log, stderr=log)

    def kill(self, number: int, wipe: bool = False) -> None:
        """:param wipe: its disk is lost, too"""
        process = self.running.pop(number)
        process.kill()
        process.wait(10)
        if wipe:
            shutil.rmtree(self.disk(number))

    def freeze(self, number: int) -> None:
        self.running[number].send_signal(signal.SIGSTOP)

    def thaw(self, number: int) -> None:
        self.running[number].send_signal(signal.SIGCONT)

    def disk_kb(self, number: int) -> float:
        """What its files take."""
        return sum(path.stat().st_blocks * 512 for path in self.disk(number).rglob("*")) / 1000

    # ---- calls -------------------------------------------------------------------------------------

    def call(
        self,
        number: int,
        method: str,
        path: str,
        body: str = "",
        *,
        fields: Mapping[str, str] = {},
        port: int = 0,
        within: float = CALL_S,
    ) -> Answer:
        """One call on a connection of its own; of `ctl`, where no other port is named."""
        connection = http.client.HTTPConnection(self.links.front(number), port or self.ctl, timeout=within)
        try:
            connection.request(method, path, body.encode() or None, dict(fields))
            answer = connection.getresponse()
            return Answer(answer.status, answer.read().decode(), dict(answer.getheaders()))
        except (OSError, http.client.HTTPException):
            return Answer(0)
        finally:
            connection.close()

    def put(self, number: int, text: str) -> Answer:
        return self.call(number, "PUT", "/v1/config", text)

    def get(self, number: int) -> Answer:
        return self.call(number, "GET", "/v1/config")

    def lose(self, number: int, text: str) -> None:
        """A PUT whose answer is lost: the connection is closed right after it was sent."""
        body = text.encode()
        head = f"PUT /v1/config HTTP/1.1\r\nHost: ctl\r\nContent-Length: {len(body)}\r\n\r\n"
        with socket.create_connection((self.links.front(number), self.ctl), CALL_S) as sock:
            sock.sendall(head.encode() + body)

    def settled(self, number: int, call: Callable[[int], Answer], within: float = START_S) -> Answer:
        """Called again while it is answered with 503 or not at all, as an operator does.

        :raises Late: it has no other answer by then
        """
        last = Answer(0)
        ends, pause = time.monotonic() + within, threading.Event()
        while time.monotonic() < ends:
            last = call(number)
            if last.status not in (0, 503):
                return last
            pause.wait(PAUSE_S)
        raise Late(f"office {number}: {last.status} {last.text} for {within:g} s")

    def statement(self, number: int) -> dict[str, Any]:
        """What the gatekeeper says of itself; empty where it does not answer."""
        answer = self.call(number, "GET", "/v1/gatekeeper", within=2.0)
        told = answer.json() if answer.status == 200 else {}
        assert isinstance(told, dict)
        return told

    def version(self, number: int) -> int:
        """In force there; 0: none, or no answer."""
        return int(self.statement(number).get("version", "0"), 16)

    def held(self, number: int) -> int:
        """The configuration's version that its replica has synced, if it votes."""
        replica = self.statement(number).get("replica") or {"state": "", "held": {}}
        return int(replica["held"].get("config", 0)) if replica["state"] == "voting" else 0

    def votes(self, number: int) -> bool:
        return (self.statement(number).get("replica") or {}).get("state") == "voting"

    def ready(self, number: int) -> int:
        """The status of readiness."""
        return self.call(number, "GET", "/v1/readiness", within=2.0).status

    def metrics(self, number: int) -> dict[str, float]:
        """Its figures by name; empty where it does not answer."""
        answer = self.call(number, "GET", "/v1/metrics", within=2.0)
        lines = answer.text.splitlines() if answer.status == 200 else []
        return {name: float(value) for name, _, value in (line.rpartition(" ") for line in lines)}

    def named(self, number: int, region: str) -> list[str]:
        """The addresses that clients of a region are told to go to; none where it does not answer."""
        answer = self.call(number, "GET", f"/v1/resolve?region={region}", within=1.0)
        return list(answer.json()["addresses"]) if answer.status == 200 else []

    def order(self, number: int, key: str, operation: str) -> Answer:
        """A client's request with an operation key."""
        fields = {"Host": HOST, "Authorization": f"Token {key}", "Millfront-Deadline-Ms": "3000",
                  "Millfront-Attempt-Id": str(next(self._attempt)),
                  "Millfront-Operation-Key": operation}  # fmt: skip
        return self.call(number, "POST", "/orders/1", "one", fields=fields, port=self.plain, within=4.0)

    def page(self, number: int, key: str) -> int:
        """The status of a client's request with that key."""
        fields = {"Host": HOST, "Authorization": f"Token {key}", "Millfront-Deadline-Ms": "3000",
                  "Millfront-Attempt-Id": str(next(self._attempt))}  # fmt: skip
        return self.call(number, "GET", "/pages/1", fields=fields, port=self.plain).status
