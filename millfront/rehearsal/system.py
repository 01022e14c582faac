"""A whole system of real processes on loopback, with a relay on every link between them (`links.py`).

Each process is `python -m millfront gatekeeper` with its disk in the run's folder. Its `ctl` and `plain`
addresses are called directly, so that a process that is cut off from the others can still be reached. Waiting
is for a condition, with a deadline.
"""

import contextlib
import http.client
import itertools
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any, Self

from millfront.rehearsal.links import Links
from millfront.rehearsal.servers import PeerServer

ROOT = Path(__file__).parents[2]
# By zone; a zone's first gatekeeper has the zone's name
REGIONS = {"north": "a", "south": "a", "east": "b", "west": "b", "far": "b"}
HOST = "shop.example"
START_TIMEOUT_S = 20.0
MAX_PROCESSES = 1000
EXIT_TIMEOUT_S = 10.0  # of a killed process
POLL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 8.0  # a PUT is answered within 4 s
RETRY_DELAY_S = 0.3  # as in Retry-After


class ConditionTimeout(Exception):
    """A condition did not hold by its deadline."""


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a call; status 0: no answer."""

    status: int
    text: str = ""
    fields: Mapping[str, str] = field(default_factory=dict)

    def json(self) -> Any:
        return json.loads(self.text)


def wait_until(name: str, condition: Callable[[], Any], timeout_s: float = START_TIMEOUT_S) -> float:
    """Wait for a condition; returns how many seconds it took.

    :raises ConditionTimeout: the condition did not hold in time
    """
    started, pause = time.monotonic(), threading.Event()
    while not condition():
        if time.monotonic() - started > timeout_s:
            raise ConditionTimeout(f"{name}: did not hold within {timeout_s:g} s")
        pause.wait(POLL_INTERVAL_S)
    return time.monotonic() - started


@dataclass(frozen=True, slots=True)
class Limit:
    """A tenant's limit: requests per second, and the burst."""

    rate: float = 1000.0
    burst: float = 1000.0


def document(
    version: int,
    keys: Iterable[str],
    routes: int = 1,
    note: str = "",
    orders: bool = False,
    limits: Mapping[str, Limit] = {},
) -> str:
    """A configuration document: one service, `routes` routes, and a tenant for each API key.

    :param note: the key of an additional tenant, by which documents of one version differ
    :param orders: add a route /orders/ whose requests carry an operation key
    :param limits: by key, limits of tenants other than the large default
    """
    paths = ["/pages/", *(f"/more{number}/" for number in range(1, routes))]
    route = {"host": HOST, "variant_tag": "idempotent", "deadline": "3s", "target_time": "800ms",
             "rank": 1, "target": "shop", "max_tries": 2}  # fmt: skip

    def tenant(key: str) -> dict[str, Any]:
        limit = limits.get(key, Limit())
        return {"rate_per_s": limit.rate, "burst_size": limit.burst, "api_keys": [key]}

    return json.dumps({
        "revision": f"{version:08x}",
        "resources": [
            {"variant": "services", "meta": {"name": "shop"}, "spec": {"warmup": "3s", "warmup_rate_s": 2}},
            *({"variant": "routes", "meta": {"name": f"r{number}"}, "spec": route | {"path_prefix": path}}
              for number, path in enumerate(paths)),
            *([{"variant": "routes", "meta": {"name": "orders"},
                "spec": route | {"path_prefix": "/orders/", "variant_tag": "keyed"}}] if orders else []),
            *({"variant": "tenants", "meta": {"name": f"of-{key}"}, "spec": tenant(key)}
              for key in [*keys, *([note] if note else [])]),
        ],
    })  # fmt: skip


def free_ports(count: int) -> list[int]:
    """Ports free on 127.0.0.1; the system uses them at other addresses, which nothing else uses."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [int(sock.getsockname()[1]) for sock in socks]


class System:
    """Gatekeepers 0 to `count` - 1, of which the first `disks` have a disk and count for the core, in zones
    of two regions. A context manager that starts the processes and kills them at the end."""

    def __init__(
        self,
        folder: Path,
        count: int = 4,
        seed: int = 0,
        bounds: Mapping[str, str] = {},
        *,
        disks: int | None = None,
        relays: bool = True,
        servers: int = 1,
    ) -> None:
        """:param bounds: times of the rules, as in the settings file (``{"revoke_within": "5s"}``)
        :param disks: number of gatekeepers with a disk; None: all
        :param relays: put a relay on each link; without them, for many processes, no link can be cut
        :param servers: number of servers at the start, over all zones
        """
        self.folder, self.count, self.bounds = folder, count, dict(bounds)
        self.disks, self.relays = count if disks is None else disks, relays
        self.plain, self.ctl, port = free_ports(3)
        self.links = Links(count, port, random.Random(seed))
        self.zones = list(REGIONS)[:count]
        self.peer = PeerServer([self.zone(number) for number in range(servers)])
        self.running: dict[int, subprocess.Popen[bytes]] = {}
        rounds = [number // len(self.zones) for number in range(count)]
        self.names = [f"{self.zone(n)}-{rounds[n]}" if rounds[n] else self.zone(n) for n in range(count)]
        self._attempt = itertools.count(1)

    def zone(self, number: int) -> str:
        """The zone of a gatekeeper."""
        return self.zones[number % len(self.zones)]

    def has_disk(self, number: int) -> bool:
        """Whether a gatekeeper stores control state, and so counts for the core."""
        return number < self.disks

    def __enter__(self) -> Self:
        threading.Thread(target=self.peer.serve_forever, daemon=True).start()
        try:
            if self.relays:
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
        for process in self.running.values():
            process.kill()
        for process in self.running.values():
            process.wait(EXIT_TIMEOUT_S)
        self.running.clear()
        self.links.close()
        self.peer.shutdown()
        self.peer.server_close()

    # ---- processes ---------------------------------------------------------------------------------

    def disk(self, number: int) -> Path:
        return self.folder / self.names[number]

    def settings(self, number: int, fresh: bool) -> Path:
        """Write the settings file of a gatekeeper; returns its path."""
        ip, zone, name = self.links.advertised_ip(number), self.zone(number), self.names[number]
        seeds = [f"{self.links.advertised_ip(other)}:{self.ctl}" for other in range(min(3, self.count))]
        bound = dict.fromkeys(("ctl", "lookup", "readiness"), f"{ip}:{self.ctl}")
        bound["plain"] = f"{ip}:{self.plain}"
        lines = [
            "[self]", f'node_name = "{name}"', f'ip_addr = "{ip}"', f'zone = "{zone}"',
            f'region = "{REGIONS[zone]}"', 'serves = ["edge", "control", "directory"]',
            f"fresh = {'true' if fresh else 'false'}",
            *([f'state_dir = "{self.disk(number)}"', "counts_loss = true"] if self.has_disk(number) else []),
            "[self.limits]", "fd_limit = 1000",
            "[network]", f"port_range = [{self.links.port}, {self.links.port}]",
            *([f'listen_ip = "{self.links.listen_ip(number)}"'] if self.relays else []),
            f"seed_nodes = {json.dumps(seeds)}",
            "[network.bindings]", *(f'{binding} = "{address}"' for binding, address in bound.items()),
            "[network.zones]", *(f'{one} = "{REGIONS[one]}"' for one in self.zones),
            "[platform.cloud_api]", f'address = "127.0.0.1:{self.peer.server_port}"',
            "[terms.bounds]", *(f'{one} = "{value}"' for one, value in self.bounds.items()),
        ]  # fmt: skip
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start(self, number: int, fresh: bool = False) -> None:
        environment = os.environ | {"MILLFRONT_CONFIG": str(self.settings(number, fresh))}
        command = [sys.executable, "-B", "-m", "millfront", "gatekeeper"]
        with (self.folder / f"{self.names[number]}.log").open("ab") as log:
            self.running[number] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def pid(self, number: int) -> int | None:
        """The id of the gatekeeper's running process, or None."""
        process = self.running.get(number)
        return process.pid if process is not None else None

    def kill(self, number: int, wipe: bool = False) -> None:
        """Kill a process (SIGKILL).

        :param wipe: delete its disk, too
        """
        self.lose_power([number], [number] if wipe else [])

    def terminate(self, number: int) -> subprocess.Popen[bytes]:
        """Send SIGTERM; the caller waits for the returned process and removes it from `running`."""
        process = self.running[number]
        process.terminate()
        return process

    def reload(self, number: int) -> None:
        """Make a process reload its settings file (SIGHUP)."""
        self.running[number].send_signal(signal.SIGHUP)

    def fill_disk(self, number: int, full: bool) -> None:
        """Make each write to a file fail, as on a full disk, or end that; the log stays silent, too."""
        limit = 0 if full else resource.RLIM_INFINITY
        resource.prlimit(self.running[number].pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))

    def lose_power(self, numbers: Iterable[int], wipe: Iterable[int] = ()) -> None:
        """Kill processes at the same moment; delete the disks of some."""
        for number in numbers:
            self.running[number].send_signal(signal.SIGKILL)
        for number in numbers:
            self.running.pop(number).wait(EXIT_TIMEOUT_S)
        for number in wipe:
            shutil.rmtree(self.disk(number), ignore_errors=True)

    def freeze(self, number: int) -> None:
        self.running[number].send_signal(signal.SIGSTOP)

    def thaw(self, number: int) -> None:
        self.running[number].send_signal(signal.SIGCONT)

    def disk_kb(self, number: int) -> float:
        """The disk space of a gatekeeper's files, in kB."""
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
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Answer:
        """Make one call on a new connection; to `ctl` unless another port is given."""
        connection = http.client.HTTPConnection(
            self.links.advertised_ip(number), port or self.ctl, timeout=timeout_s
        )
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

    def put_and_disconnect(self, number: int, text: str) -> None:
        """Send a PUT and close the connection at once, so that its answer is lost."""
        body = text.encode()
        head = f"PUT /v1/config HTTP/1.1\r\nHost: ctl\r\nContent-Length: {len(body)}\r\n\r\n"
        with socket.create_connection((self.links.advertised_ip(number), self.ctl), CALL_TIMEOUT_S) as sock:
            sock.sendall(head.encode() + body)

    def retry_call(
        self, number: int, call: Callable[[int], Answer], timeout_s: float = START_TIMEOUT_S
    ) -> Answer:
        """Repeat a call while it is answered with 503 or not at all, as an operator does.

        :raises ConditionTimeout: there was no other answer in time
        """
        last = Answer(0)
        deadline, pause = time.monotonic() + timeout_s, threading.Event()
        while time.monotonic() < deadline:
            last = call(number)
            if last.status not in (0, 503):
                return last
            pause.wait(RETRY_DELAY_S)
        raise ConditionTimeout(f"gatekeeper {number}: still {last.status} {last.text} after {timeout_s:g} s")

    def status_report(self, number: int) -> dict[str, Any]:
        """The gatekeeper's report about itself; empty if it does not answer."""
        answer = self.call(number, "GET", "/v1/gatekeeper", timeout_s=2.0)
        report = answer.json() if answer.status == 200 else {}
        assert isinstance(report, dict)
        return report

    def version(self, number: int) -> int:
        """The configuration version in force at a gatekeeper; 0: none, or no answer."""
        return int(self.status_report(number).get("version", "0"), 16)

    def synced(self, number: int) -> int:
        """The configuration version that its replica has synced, if the replica votes, else 0."""
        replica = self.status_report(number).get("replica") or {"state": "", "held": {}}
        return int(replica["held"].get("config", 0)) if replica["state"] == "voting" else 0

    def is_voting(self, number: int) -> bool:
        return (self.status_report(number).get("replica") or {}).get("state") == "voting"

    def ready(self, number: int) -> int:
        """The HTTP status of its readiness."""
        return self.call(number, "GET", "/v1/readiness", timeout_s=2.0).status

    def metrics(self, number: int) -> dict[str, float]:
        """Its metrics by name; empty if it does not answer."""
        answer = self.call(number, "GET", "/v1/metrics", timeout_s=2.0)
        lines = answer.text.splitlines() if answer.status == 200 else []
        return {name: float(value) for name, _, value in (line.rpartition(" ") for line in lines)}

    def resolve_addresses(self, number: int, region: str) -> list[str]:
        """The addresses that the directory gives to clients of a region; none if it does not answer."""
        answer = self.call(number, "GET", f"/v1/resolve?region={region}", timeout_s=1.0)
        return list(answer.json()["addresses"]) if answer.status == 200 else []

    def new_attempt_id(self, number: int) -> str:
        """The id of a new attempt, which encodes the gatekeeper."""
        return str(next(self._attempt) * MAX_PROCESSES + number)

    def process_of(self, attempt: str) -> int | None:
        """The gatekeeper at which an attempt was made; None for an id from elsewhere."""
        return int(attempt) % MAX_PROCESSES if attempt.isdecimal() else None

    def client_fields(self, key: str, attempt: str) -> dict[str, str]:
        """The header fields of a client's request."""
        return {"Host": HOST, "Authorization": f"Token {key}", "Millfront-Deadline-Ms": "3000",
                "Millfront-Attempt-Id": attempt}  # fmt: skip

    def order(self, number: int, key: str, operation: str) -> Answer:
        """Send a client's request with an operation key."""
        fields = self.client_fields(key, self.new_attempt_id(number)) | {"Millfront-Operation-Key": operation}
        return self.call(number, "POST", "/orders/1", "one", fields=fields, port=self.plain, timeout_s=4.0)

    def page(self, number: int, key: str) -> int:
        """Send a client's request with an API key; returns its status."""
        fields = self.client_fields(key, self.new_attempt_id(number))
        return self.call(number, "GET", "/pages/1", fields=fields, port=self.plain).status

    def evacuate(self, number: int, zone: str, on: bool) -> Answer:
        """Evacuate a zone, so that its servers get no requests, or end that."""
        return self.call(number, "POST" if on else "DELETE", f"/v1/evacuation/{zone}")
