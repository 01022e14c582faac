"""What the cases share: a fleet of real processes on loopback, and stand-ins for clients, servers, platform.

The processes are started with the command of the deploy file. Servers, platform and clients follow the
operators' pages; all of them run on one event loop, so that all times come from one clock. Only the standard
library is used.
"""

import asyncio
import contextlib
import itertools
import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HOLDS, BROKEN, CANNOT_RUN = 0, 1, 2  # exit codes
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START_TIMEOUT_S = 30.0
READ_LIMIT = 1 << 22


class CannotRunError(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """The record of a run: a line for each event, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        """:param path: of the file, which is written anew"""
        self.file = path.open("w")
        self.started = time.monotonic()

    def write(self, kind: str, **facts: Any) -> None:
        """Write one event."""
        at = f"{time.monotonic() - self.started:8.3f}"
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        self.file.write(f"{at} {kind} {text}\n")
        self.file.flush()


# ---- HTTP/1.1 ------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Head:
    """A parsed message: its first line, its fields in lower case, and its body."""

    start: str
    fields: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start.split(" ", 2)[1])


async def read_message(reader: asyncio.StreamReader) -> Head | None:
    """Read a whole message with a length or in chunks; None if the connection ends before its first byte.

    :raises OSError, asyncio.IncompleteReadError: it ends inside the message
    """
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    start, *lines = text[:-4].split("\r\n")
    fields: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields.setdefault(name.strip().lower(), value.strip())
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif length := int(fields.get("content-length", "0")):
        body = await reader.readexactly(length)
    return Head(start, fields, body)


def message_bytes(start: str, fields: Mapping[str, str], body: bytes = b"", length: bool = True) -> bytes:
    """The bytes of a message with a body of known length."""
    lines = [start, *(f"{name}: {value}" for name, value in fields.items())]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(
    address: str,
    method: str,
    path: str,
    fields: Mapping[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Head | None:
    """One call on a new connection; None: no complete answer came."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=READ_LIMIT)
            start = f"{method} {path} HTTP/1.1"
            has_body = bool(body) or method in ("POST", "PUT")
            writer.write(message_bytes(start, {"Host": host} | dict(fields or {}), body, has_body))
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


# ---- servers and the platform ----------------------------------------------------------------------------


@dataclass(slots=True)
class Run:
    """One request that a server has begun to work on."""

    server: str
    attempt: str
    key: str
    at: float
    seal: str
    tenant: str = ""
    ended: str = "at work"


@dataclass(eq=False)
class Server:
    """A server of a service: works on `capacity` requests at once, queues a few, and turns others away."""

    ident: str
    service: str
    zone: str
    record: Record
    work_s: Callable[[Head], float]
    capacity: int = 8
    queue: int = 16
    phase: str = "ready"
    address: str = ""
    cold_from: float = -1.0
    cold_until: float = -1.0
    runs: list[Run] = field(default_factory=list)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    waiting: int = 0
    down: bool = False
    _busy: asyncio.Semaphore | None = None
    _numbers: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port of 127.0.0.1."""
        self._busy = asyncio.Semaphore(self.capacity)
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=READ_LIMIT, backlog=256)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def is_cold(self, now: float) -> bool:
        """Whether it is cold at that time."""
        return self.cold_from <= now < self.cold_until

    def turn_cold(self, now: float, seconds: float) -> None:
        """It becomes cold for so long."""
        self.cold_from, self.cold_until = now, now + seconds
        self.record.write("cold", server=self.ident, for_s=seconds)

    def fall_over(self, seconds: float) -> None:
        """Break off all connections, and serve nobody for so long."""
        self.down = True
        self.record.write("fell-over", server=self.ident, at_work=self.capacity - self._busy._value)  # type: ignore[union-attr]
        for writer in list(self._writers):
            writer.transport.abort()

        def come_back() -> None:
            self.down = False

        asyncio.get_running_loop().call_later(seconds, come_back)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.down:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if not await self._answer(request, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.CancelledError:
            return  # the run is over
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def _answer(
        self, request: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; returns whether the connection goes on."""
        assert self._busy is not None
        now = time.monotonic()
        attempt = request.fields.get("millfront-attempt-id", "")
        stamp = {"Millfront-Attempt-Id": attempt}
        if request.start.split(" ")[1] == "/health":
            left_ms = max(0, int(1000 * (self.cold_until - now))) if self.is_cold(now) else 0
            fields = {"Millfront-Instance-Id": self.ident, "Millfront-Warmup-Ms": str(left_ms)}
            writer.write(message_bytes("HTTP/1.1 200 OK", fields, b"well\n"))
            return True
        if request.fields.get("millfront-target-instance", self.ident) != self.ident:
            writer.write(message_bytes("HTTP/1.1 421 Misdirected Request", stamp))
            return True
        not_run = stamp | {"Millfront-Not-Executed": "1"}
        if not attempt:
            writer.write(message_bytes("HTTP/1.1 400 Bad Request", not_run))
            return True
        self.arrivals.append((now, attempt))
        if self.waiting >= self.queue:
            writer.write(message_bytes("HTTP/1.1 503 Service Unavailable", not_run))
            return True
        self.waiting += 1
        try:
            await self._busy.acquire()
        finally:
            self.waiting -= 1
        try:
            return await self._work(request, reader, writer, stamp)
        finally:
            self._busy.release()

    async def _work(
        self, request: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, stamp: dict[str, str]
    ) -> bool:
        attempt = stamp["Millfront-Attempt-Id"]
        key = request.fields.get("millfront-operation-key", "")
        seal = f"{self.ident}.{next(self._numbers)}"
        tenant = request.fields.get("millfront-tenant-name", "")
        run = Run(self.ident, attempt, key, time.monotonic(), seal, tenant)
        self.runs.append(run)
        self.record.write("run", server=self.ident, attempt=attempt, key=key or "-", seal=seal)
        work_s = self.work_s(request)
        deadline_ms = request.fields.get("millfront-deadline-ms", "")
        left_s = int(deadline_ms) / 1e3 if deadline_ms.isdigit() else 1e9
        gone = asyncio.ensure_future(_until_closed(reader))
        done, _ = await asyncio.wait([gone], timeout=min(work_s, left_s))
        gone.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await gone
        if done:
            run.ended = "its connection closed"
            self.record.write("dropped", server=self.ident, attempt=attempt, seal=seal)
            return False
        if left_s < work_s:
            run.ended = "deadline"
            writer.write(message_bytes("HTTP/1.1 504 Gateway Timeout", stamp))
            return True
        run.ended = "done"
        self.record.write("done", server=self.ident, attempt=attempt, seal=seal)
        load = f"{self.capacity - self._busy._value},{self.waiting},{self.capacity}"  # type: ignore[union-attr]
        fields = stamp | {"Millfront-Server-Seal": seal, "Millfront-Server-Load": load}
        writer.write(message_bytes("HTTP/1.1 200 OK", fields, f"{key or attempt} by {seal}\n".encode()))
        await writer.drain()
        return True


async def _until_closed(reader: asyncio.StreamReader) -> None:
    """Wait until the peer has closed; a caller sends nothing while it waits for an answer."""
    with contextlib.suppress(OSError):
        await reader.read(1)


class Platform:
    """The platform: its list of servers runs `lag_s` behind."""

    def __init__(self, record: Record, lag_s: float, rate_per_s: float) -> None:
        """:param rate_per_s: calls per second that it accepts; others get 429"""
        self.record, self.lag_s, self.rate_per_s = record, lag_s, rate_per_s
        self.servers: list[Server] = []
        self.address = ""
        self._past: list[tuple[float, dict[str, Any]]] = []
        self._calls: list[float] = []

    async def start(self) -> None:
        """Listen, and keep what the list showed at each moment."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self._past.append((time.monotonic() - self.lag_s, self._now()))
        self._task = asyncio.create_task(self._keep())

    def _now(self) -> dict[str, Any]:
        now = time.monotonic()
        return {
            one.ident: {
                "target": one.service,
                "address": one.address,
                "zone": one.zone,
                "revision": "v1",
                "capacity": one.capacity,
                "phase": one.phase,
                "cold_until": one.cold_until if one.is_cold(now) else -1.0,
            }
            for one in self.servers
        }

    async def _keep(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            self._past.append((time.monotonic(), self._now()))
            while len(self._past) > 1 and self._past[1][0] < time.monotonic() - self.lag_s:
                del self._past[0]

    def shown(self) -> dict[str, Any]:
        """The list as it is shown now."""
        now, out = time.monotonic(), {}
        for ident, entry in self._past[0][1].items():
            left_s = max(0.0, entry["cold_until"] - now)
            out[ident] = {k: v for k, v in entry.items() if k != "cold_until"} | {
                "warm_left": f"{int(left_s * 1000)}ms"
            }
        return out

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                now = time.monotonic()
                self._calls = [at for at in self._calls if at > now - 1.0]
                if len(self._calls) >= self.rate_per_s:
                    writer.write(message_bytes("HTTP/1.1 429 Too Many Requests", {}))
                    continue
                self._calls.append(now)
                zone = request.start.split(" ")[1].partition("zone=")[2].partition("&")[0]
                found = {k: v for k, v in self.shown().items() if not zone or v["zone"] == zone}
                body = json.dumps({"instances": found, "next_token": None}).encode()
                writer.write(message_bytes("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body))
        writer.close()


# ---- the fleet ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Machine:
    """One machine of the system; only those with a disk count for `hosts_lost`."""

    name: str
    zone: str
    disk: bool = True


def free_port() -> int:
    """A port that is free on 127.0.0.1; the machines use it at addresses of their own."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Fleet:
    """The processes of one deployment, one on each machine, each at a loopback address of its own."""

    def __init__(
        self,
        record: Record,
        machines: list[Machine],
        zones: Mapping[str, str],
        platform: Platform,
        bounds: Mapping[str, Any],
        tolerance: Mapping[str, int],
    ) -> None:
        """:param zones: the region of each zone"""
        self.record, self.machines, self.zones = record, machines, dict(zones)
        self.platform, self.bounds, self.tolerance = platform, bounds, tolerance
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.ports = {name: free_port() for name in ("post", "plain", "ctl", "readiness", "lookup")}
        self.subnet = 10 + os.getpid() % 200
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = shlex.split(deploy["roles"]["gatekeeper"]["run"])

    def ip(self, name: str) -> str:
        """The address of a machine."""
        number = [machine.name for machine in self.machines].index(name)
        return f"127.{self.subnet}.0.{number + 1}"

    def address(self, name: str, binding: str) -> str:
        """The address at which a machine serves one of its bindings."""
        return f"{self.ip(name)}:{self.ports[binding]}"

    def extra_network(self, name: str) -> list[str]:
        """Further lines of the table `network`; none here."""
        return []

    def _settings(self, machine: Machine, fresh: bool) -> Path:
        ip, region = self.ip(machine.name), self.zones[machine.zone]
        seeds = [self.address(one.name, "ctl") for one in self.machines[:3]]
        lines = [
            "[self]",
            f'node_name = "{machine.name}"',
            'role = "gatekeeper"',
            'machine_class = "edge"',
            'serves = ["edge", "control", "directory"]',
            f'ip_addr = "{ip}"',
            f'zone = "{machine.zone}"',
            f'region = "{region}"',
            f"counts_loss = {'true' if machine.disk else 'false'}",
            f"fresh = {'true' if fresh else 'false'}",
            *([f'state_dir = "{self.folder / machine.name}"'] if machine.disk else []),
            "[self.limits]",
            "ram_mb = 300",
            "fd_limit = 4100",
            "[network]",
            f"port_range = [{self.ports['post']}, {self.ports['post']}]",
            f"seed_nodes = {json.dumps(seeds)}",
            *self.extra_network(machine.name),
            "[network.bindings]",
            *(f'{one} = "{self.address(machine.name, one)}"' for one in self.ports if one != "post"),
            "[network.zones]",
            *(f'{zone} = "{of}"' for zone, of in self.zones.items()),
            "[platform]",
            'discovery = "cloud_api"',
            'ingress = "directory"',
            "[platform.cloud_api]",
            f'address = "{self.platform.address}"',
            f"rate_per_s = {self.platform.rate_per_s}",
            f'max_lag = "{int(self.platform.lag_s * 1000)}ms"',
            "[terms]",
            'invariants = ["base", "drain", "config", "cost", "retry", "places", "keys", "quota"]',
            "[terms.tolerance]",
            *(f"{name} = {value}" for name, value in self.tolerance.items()),
            "[terms.bounds]",
            *(f"{name} = {json.dumps(value)}" for name, value in self.bounds.items()),
        ]
        path = self.folder / f"{machine.name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start(self, name: str, fresh: bool) -> None:
        """Start the process of one machine."""
        machine = next(one for one in self.machines if one.name == name)
        if machine.disk:
            (self.folder / name).mkdir(exist_ok=True)
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["MILLFRONT_CONFIG"] = str(self._settings(machine, fresh))
        with (self.folder / f"{name}.log").open("ab") as log:
            self.running[name] = subprocess.Popen(
                self.command, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        self.record.write("started", machine=name, pid=self.running[name].pid)

    def start_all(self, spares: Iterable[str] = ()) -> None:
        """The first start of the whole system, but for its spare machines."""
        for machine in self.machines:
            if machine.name not in spares:
                self.start(machine.name, True)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process of one machine."""
        self.record.write("signal", machine=name, signal=number.name)
        self.running[name].send_signal(number)

    async def wait_exit(self, name: str, timeout_s: float) -> bool:
        """Wait until a process has ended; whether it did in time. The platform kills one that did not."""
        process, deadline = self.running[name], time.monotonic() + timeout_s
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        ended = process.poll() is not None
        if not ended:
            process.kill()
            process.wait(5)
        self.record.write("exited", machine=name, code=process.returncode, in_time=ended)
        del self.running[name]
        return ended

    async def until_ready(self, names: Iterable[str], timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until all of these machines answer 200 to the platform's check.

        :raises CannotRunError: not in time
        """
        deadline = time.monotonic() + timeout_s
        for name in names:
            while True:
                answer = await call(self.address(name, "readiness"), "GET", "/v1/readiness", timeout_s=1.0)
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{name} is not ready in time")
                await asyncio.sleep(0.1)

    async def order(self, method: str, path: str, body: bytes = b"", timeout_s: float = 20.0) -> float:
        """An order of the operator: sent to one gatekeeper after another until it is acknowledged.

        :returns: when the acknowledgement came
        :raises CannotRunError: not in time
        """
        deadline = time.monotonic() + timeout_s
        for machine in itertools.cycle(self.machines):
            if time.monotonic() > deadline:
                raise CannotRunError(f"{method} {path} is not acknowledged")
            if machine.name not in self.running:
                continue
            answer = await call(self.address(machine.name, "ctl"), method, path, body=body, timeout_s=2.0)
            if answer is not None and answer.status == 200:
                self.record.write("acknowledged", order=f"{method} {path}", by=machine.name)
                return time.monotonic()
            await asyncio.sleep(0.2)
        raise CannotRunError("no machine")

    async def report(self, name: str) -> dict[str, Any]:
        """What a process says of itself; empty without an answer."""
        answer = await call(self.address(name, "ctl"), "GET", "/v1/gatekeeper", timeout_s=2.0)
        return dict(json.loads(answer.body)) if answer is not None and answer.status == 200 else {}

    def close(self) -> None:
        """End all processes that were started, and remove the folder."""
        for process in self.running.values():
            process.kill()
        for process in self.running.values():
            process.wait(5)
        self.running.clear()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def document(version: int, resources: list[dict[str, Any]]) -> bytes:
    """A configuration."""
    return json.dumps({"revision": f"{version:08x}", "resources": resources}).encode()


def resource(variant: str, name: str, **spec: Any) -> dict[str, Any]:
    """One entry of a configuration."""
    return {"variant": variant, "meta": {"name": name} if name else {}, "spec": spec}


LIMITS = resource(
    "limits",
    "",
    max_header_bytes=16384,
    max_body_bytes=67108864,
    header_deadline="3000ms",
    idle_timeout="15000ms",
)


def main(folder: Path, case: Callable[[Record], Awaitable[bool]], limit_s: float = 110.0) -> None:
    """Run a case and exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    record = Record(folder / "record.txt")
    record.write("case", trouble=TROUBLE)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))  # ends what was started, too

    async def limited() -> bool:
        async with asyncio.timeout(limit_s):
            return await case(record)

    try:
        holds = asyncio.run(limited())
    except (CannotRunError, TimeoutError, OSError) as error:
        record.write("cannot-run", why=repr(error))
        print(f"the case could not run: {error!r}")
        sys.exit(CANNOT_RUN)
    record.write("result", rule="held" if holds else "broken")
    sys.exit(HOLDS if holds else BROKEN)
