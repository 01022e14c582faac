"""Stand-ins for the gatekeepers' peers, after the platform's protocol: the counter, discovery's agents, page
servers. Each records what it receives with the time (seconds of the rehearsal's clock) and the gatekeeper
that sent it, for the checks, and relies on nothing that a gatekeeper reports about itself.
"""

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from millfront.rehearsal.listeners import Conn
from millfront.rehearsal.scenario import Pages

NOT_STARTED = b"HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
KEEPALIVE_INTERVAL_S = 2.0  # discovery: period of empty lines while nothing changes
MAX_HEAD_BYTES = 64 * 1024


class Clock:
    """Seconds of the monotonic clock since the rehearsal began; shared by all stand-ins."""

    def __init__(self) -> None:
        self.zero = time.monotonic()

    def __call__(self) -> float:
        return time.monotonic() - self.zero


async def read_head(conn: Conn) -> tuple[bytes, dict[bytes, bytes]]:
    """Read the request line and the fields of an HTTP/1.1 head; names are in lower case."""
    head = await conn.read(b"\r\n\r\n")
    if len(head) > MAX_HEAD_BYTES:
        raise ConnectionError(f"request head of {len(head)} bytes is longer than {MAX_HEAD_BYTES}")
    line, *rest = head[:-4].split(b"\r\n")
    fields = {}
    for row in rest:
        name, _, value = row.partition(b":")
        fields[name.strip().lower()] = value.strip()
    return line, fields


async def read_body(conn: Conn, fields: dict[bytes, bytes]) -> bytes:
    if fields.get(b"transfer-encoding", b"").lower() == b"chunked":
        body = b""
        while size := int((await conn.read()).split(b";")[0], 16):
            body += (await conn.read_exactly(size + 2))[:-2]
        await conn.read()
        return body
    return await conn.read_exactly(int(fields.get(b"content-length", b"0")))


# ---- the counter ----------------------------------------------------------------------------------------


@dataclass(slots=True)
class CounterEntry:
    total: float
    expires_at: float


class Counter:
    """The counter: `add NAME AMOUNT LIFETIME_MS` and `ping`, one line each, answered in order."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.entries: dict[str, CounterEntry] = {}
        self.calls: dict[int, int] = {}  # by gatekeeper
        self.additions: list[tuple[float, int, str, float]] = []  # (time, gatekeeper, name, amount)

    def add(self, name: str, amount: float, lifetime_ms: int, gatekeeper: int) -> float:
        now = self.clock()
        entry = self.entries.get(name)
        if entry is None or entry.expires_at <= now:
            entry = self.entries[name] = CounterEntry(0.0, now + min(max(lifetime_ms, 1), 60_000) / 1000)
        entry.total += amount
        self.additions.append((now, gatekeeper, name, amount))
        return entry.total

    async def serve(self, conn: Conn) -> None:
        while True:
            line = (await conn.read()).decode(errors="replace").split()
            self.calls[conn.listener.gatekeeper] = self.calls.get(conn.listener.gatekeeper, 0) + 1
            if line == ["ping"]:
                await conn.write(b"pong\r\n")
                continue
            try:
                verb, name, amount, lifetime = line
                total = (
                    self.add(name, float(amount), int(lifetime), conn.listener.gatekeeper)
                    if verb == "add"
                    else None
                )
            except ValueError:
                total = None
            await conn.write(b"error\r\n" if total is None else f"ok {total:.10g}\r\n".encode())


# ---- discovery --------------------------------------------------------------------------------------------


@dataclass(slots=True)
class HealthUpdate:
    """A member's health as an agent sent it to its gatekeeper."""

    at: float
    gatekeeper: int
    member: int
    health: str
    seq: int


class Directory:
    """Discovery's versioned list; each gatekeeper has an agent that sends it the list, possibly late."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.seq = 1
        self.rows: dict[int, dict[str, object]] = {}  # by member, as first listed
        self.history: list[tuple[int, int, str]] = []  # each change: (seq, member, health)
        self.updates_sent: list[HealthUpdate] = []
        self.agents: list[Agent] = []

    def change(self, member: int, health: str) -> None:
        self.seq += 1
        self.history.append((self.seq, member, health))
        for agent in self.agents:
            agent.on_change(self.seq)

    def health(self, member: int, seq: int) -> str:
        """A member's health in version `seq` of the list."""
        health = str(self.rows[member]["health"])
        for changed, which, new_health in self.history:
            if which == member and changed <= seq:
                health = new_health
        return health


class Agent:
    """Discovery's agent on one gatekeeper's machine: serves the full list on request, and a watch.

    `lag_s` delays changes for this gatekeeper; `address_of` gives each member's address for this gatekeeper
    (its own listener)."""

    def __init__(self, directory: Directory, gatekeeper: int, address_of: Callable[[int], str]) -> None:
        self.directory = directory
        self.gatekeeper = gatekeeper
        self.address_of = address_of
        self.lag_s = 0.0
        self.seq = directory.seq  # the version that this agent has
        self._update_ready = asyncio.Event()
        directory.agents.append(self)

    def on_change(self, seq: int) -> None:
        if self.lag_s <= 0:
            self._catch_up(seq)
        else:
            asyncio.get_running_loop().call_later(self.lag_s, self._catch_up, seq)

    def _catch_up(self, seq: int) -> None:
        self.seq = max(self.seq, seq)
        self._update_ready.set()

    def list_message(self, after: int | None) -> dict[str, object]:
        """The changes from version `after` to this agent's version, or the full list. Each row is recorded as
        sent."""
        directory = self.directory
        changed = sorted(
            {m for seq, m, _ in directory.history if after is not None and after < seq <= self.seq}
        )
        full = after is None or after < 1
        rows = []
        for member in sorted(directory.rows) if full else changed:
            health = directory.health(member, self.seq)
            rows.append(directory.rows[member] | {"dial": self.address_of(member), "health": health})
            directory.updates_sent.append(
                HealthUpdate(directory.clock(), self.gatekeeper, member, health, self.seq)
            )
        return {"seq": self.seq, "whole": full, "hosts": rows}

    async def serve(self, conn: Conn) -> None:
        while True:
            line, _ = await read_head(conn)
            target = line.split(b" ")[1].decode()
            if "watch=1" not in target:
                body = json.dumps(self.list_message(None)).encode()
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                await conn.write(head.encode() + body)
                continue
            after = int(target.partition("after=")[2].split("&")[0] or 0)
            await conn.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            await self._watch(conn, after)
            return

    async def _watch(self, conn: Conn, after: int) -> None:
        sent = after
        while True:
            if self.seq != sent:
                message = self.list_message(sent)
                sent = self.seq
                line = json.dumps(message).encode() + b"\n"
            else:
                self._update_ready.clear()
                try:
                    await asyncio.wait_for(self._update_ready.wait(), KEEPALIVE_INTERVAL_S)
                    continue
                except TimeoutError:
                    line = b"\n"
            await conn.write(f"{len(line):x}\r\n".encode() + line + b"\r\n")


# ---- page servers ----------------------------------------------------------------------------------------


@dataclass(slots=True)
class Arrival:
    """A request that a page server received completely, and its outcome there."""

    at: float
    gatekeeper: int
    member: int
    request: str
    request_class: str  # the class, from the path
    customer: str
    units: float
    outcome: str = "open"  # ok, error, not_started, lost (ran, answer cut off), cut (did not run)
    ended: float = 0.0

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have run it."""
        return self.outcome in ("ok", "error", "lost", "open")


@dataclass(slots=True)
class PageServer:
    member: int
    group: Pages
    clock: Clock
    rng: random.Random
    started_at: float = 0.0
    arrivals: list[Arrival] = field(default_factory=list)
    draining: bool = False

    def __post_init__(self) -> None:
        self.draining = self.group.behaviour == "draining"

    async def serve(self, conn: Conn) -> None:
        while True:
            line, fields = await read_head(conn)
            body = await read_body(conn, fields)
            del body
            parts = line.split(b" ")[1].decode().split("?")[0].strip("/").split("/")
            arrival = Arrival(
                self.clock(),
                conn.listener.gatekeeper,
                self.member,
                fields.get(b"request-id", b"").decode(),
                parts[0],
                parts[-1],
                _units(fields.get(b"quota-info", b"")),
            )
            self.arrivals.append(arrival)
            await self._respond(conn, arrival)

    async def _respond(self, conn: Conn, arrival: Arrival) -> None:
        behaviour = self.group.behaviour
        if self.draining:
            arrival.outcome = "not_started"
            return await self._send(conn, arrival, NOT_STARTED)
        delay = self.group.service_ms / 1000 * (4 if behaviour == "slow" else 1)
        await asyncio.sleep(delay)
        failed = behaviour == "failing" and self.rng.random() < self.group.failing_share
        status, body = (500, b"failed") if failed else (200, f"page {arrival.request}".encode())
        arrival.outcome = "error" if failed else "ok"
        reason = "OK" if status == 200 else "Internal Server Error"
        head = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        await self._send(conn, arrival, head + body)

    async def _send(self, conn: Conn, arrival: Arrival, data: bytes) -> None:
        try:
            await conn.write(data)
        except BaseException:
            arrival.outcome = "lost" if arrival.outcome in ("ok", "error") else "cut"
            raise
        finally:
            arrival.ended = self.clock()


def _units(quota_info: bytes) -> float:
    for part in quota_info.decode(errors="replace").split(","):
        name, _, value = part.partition("=")
        if name.strip() == "units":
            try:
                return float(value)
            except ValueError:
                return 0.0
    return 0.0
