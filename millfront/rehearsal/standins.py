"""Stand-ins for the gatekeepers' peers, from the platform's protocol: the counter, discovery's agents, page
servers. Each keeps what it saw on the wire, with the time (seconds of the rehearsal's clock) and the
gatekeeper it came from, for the auditors; none of them believes what a gatekeeper says of itself.
"""

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from millfront.rehearsal.doors import Conn
from millfront.rehearsal.scenario import Pages

NOT_STARTED = b"HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
WATCH_BEAT_S = 2.0  # discovery: an empty line while nothing changes
MOST_HEAD = 64 * 1024


class Clock:
    """Seconds since the rehearsal began, on the monotonic clock that every stand-in reads."""

    def __init__(self) -> None:
        self.zero = time.monotonic()

    def __call__(self) -> float:
        return time.monotonic() - self.zero


async def read_head(conn: Conn) -> tuple[bytes, dict[bytes, bytes]]:
    """The request line and the fields of an HTTP/1.1 head, names in lower case."""
    head = await conn.read(b"\r\n\r\n")
    if len(head) > MOST_HEAD:
        raise ConnectionError("a head without end")
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
class Named:
    total: float
    until: float


class Counter:
    """The tally desk: `add NAME AMOUNT LIFE_MS` and `ping`, one line each, answered in order."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.names: dict[str, Named] = {}
        self.calls: dict[int, int] = {}  # by gatekeeper
        self.added: list[tuple[float, int, str, float]] = []  # when, who, name, amount

    def add(self, name: str, amount: float, life_ms: int, who: int) -> float:
        now = self.clock()
        named = self.names.get(name)
        if named is None or named.until <= now:
            named = self.names[name] = Named(0.0, now + min(max(life_ms, 1), 60_000) / 1000)
        named.total += amount
        self.added.append((now, who, name, amount))
        return named.total

    async def serve(self, conn: Conn) -> None:
        while True:
            line = (await conn.read()).decode(errors="replace").split()
            self.calls[conn.door.who] = self.calls.get(conn.door.who, 0) + 1
            if line == ["ping"]:
                await conn.write(b"pong\r\n")
                continue
            try:
                verb, name, amount, life = line
                total = self.add(name, float(amount), int(life), conn.door.who) if verb == "add" else None
            except ValueError:
                total = None
            await conn.write(b"error\r\n" if total is None else f"ok {total:.10g}\r\n".encode())


# ---- discovery --------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Told:
    """A change of a member's health as one gatekeeper's agent wrote it to that gatekeeper."""

    at: float
    who: int
    member: int
    health: str
    seq: int


class Directory:
    """Discovery's list, by version; every gatekeeper has an agent that tells it the list, maybe late."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.seq = 1
        self.rows: dict[int, dict[str, object]] = {}  # by member, as first listed
        self.history: list[tuple[int, int, str]] = []  # seq, member, health: each change
        self.told: list[Told] = []
        self.agents: list[Agent] = []

    def change(self, member: int, health: str) -> None:
        self.seq += 1
        self.history.append((self.seq, member, health))
        for agent in self.agents:
            agent.changed(self.seq)

    def health(self, member: int, seq: int) -> str:
        """A member's health in the list of that version."""
        health = str(self.rows[member]["health"])
        for changed, which, told in self.history:
            if which == member and changed <= seq:
                health = told
        return health


class Agent:
    """Discovery's agent on one gatekeeper's machine: the whole list on request, and a watch that stays open.

    `lag_s` holds what changed back from this gatekeeper; `dial` writes each member's address as this
    gatekeeper reaches it (its own door)."""

    def __init__(self, directory: Directory, who: int, dial: Callable[[int], str]) -> None:
        self.directory = directory
        self.who = who
        self.dial = dial
        self.lag_s = 0.0
        self.seq = directory.seq  # what this agent has been sent
        self._news = asyncio.Event()
        directory.agents.append(self)

    def changed(self, seq: int) -> None:
        if self.lag_s <= 0:
            self._catch_up(seq)
        else:
            asyncio.get_running_loop().call_later(self.lag_s, self._catch_up, seq)

    def _catch_up(self, seq: int) -> None:
        self.seq = max(self.seq, seq)
        self._news.set()

    def listed(self, after: int | None) -> dict[str, object]:
        """What changed after `after` up to what this agent has, or the whole list; each row counts as
        told."""
        directory = self.directory
        changed = sorted(
            {m for seq, m, _ in directory.history if after is not None and after < seq <= self.seq}
        )
        whole = after is None or after < 1
        rows = []
        for member in sorted(directory.rows) if whole else changed:
            health = directory.health(member, self.seq)
            rows.append(directory.rows[member] | {"dial": self.dial(member), "health": health})
            directory.told.append(Told(directory.clock(), self.who, member, health, self.seq))
        return {"seq": self.seq, "whole": whole, "hosts": rows}

    async def serve(self, conn: Conn) -> None:
        while True:
            line, _ = await read_head(conn)
            target = line.split(b" ")[1].decode()
            if "watch=1" not in target:
                body = json.dumps(self.listed(None)).encode()
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
                listed = self.listed(sent)
                sent = self.seq
                line = json.dumps(listed).encode() + b"\n"
            else:
                self._news.clear()
                try:
                    await asyncio.wait_for(self._news.wait(), WATCH_BEAT_S)
                    continue
                except TimeoutError:
                    line = b"\n"
            await conn.write(f"{len(line):x}\r\n".encode() + line + b"\r\n")


# ---- page servers ----------------------------------------------------------------------------------------


@dataclass(slots=True)
class Arrival:
    """A request that reached a page server whole, and what became of it there."""

    at: float
    who: int  # the gatekeeper
    member: int
    request: str
    kind: str  # the class, from the path
    customer: str
    units: float
    outcome: str = "open"  # ok, error, not_started, lost (ran, answer cut), cut (never ran)
    ended: float = 0.0

    @property
    def ran(self) -> bool:
        """Whether its work may have been done."""
        return self.outcome in ("ok", "error", "lost", "open")


@dataclass(slots=True)
class PageServer:
    member: int
    kind: Pages
    clock: Clock
    rng: random.Random
    born: float = 0.0
    arrivals: list[Arrival] = field(default_factory=list)
    draining: bool = False

    def __post_init__(self) -> None:
        self.draining = self.kind.behaviour == "draining"

    async def serve(self, conn: Conn) -> None:
        while True:
            line, fields = await read_head(conn)
            body = await read_body(conn, fields)
            del body
            parts = line.split(b" ")[1].decode().split("?")[0].strip("/").split("/")
            arrival = Arrival(
                self.clock(),
                conn.door.who,
                self.member,
                fields.get(b"request-id", b"").decode(),
                parts[0],
                parts[-1],
                _units(fields.get(b"quota-info", b"")),
            )
            self.arrivals.append(arrival)
            await self._answer(conn, arrival)

    async def _answer(self, conn: Conn, arrival: Arrival) -> None:
        behaviour = self.kind.behaviour
        if self.draining:
            arrival.outcome = "not_started"
            return await self._say(conn, arrival, NOT_STARTED)
        delay = self.kind.service_ms / 1000 * (4 if behaviour == "slow" else 1)
        await asyncio.sleep(delay)
        failed = behaviour == "failing" and self.rng.random() < self.kind.failing_share
        status, body = (500, b"failed") if failed else (200, f"page {arrival.request}".encode())
        arrival.outcome = "error" if failed else "ok"
        reason = "OK" if status == 200 else "Internal Server Error"
        head = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        await self._say(conn, arrival, head + body)

    async def _say(self, conn: Conn, arrival: Arrival, data: bytes) -> None:
        try:
            await conn.write(data)
        except BaseException:
            arrival.outcome = "lost" if arrival.outcome in ("ok", "error") else "cut"
            raise
        finally:
            arrival.ended = self.clock()


def _units(info: bytes) -> float:
    for part in info.decode(errors="replace").split(","):
        name, _, value = part.partition("=")
        if name.strip() == "units":
            try:
                return float(value)
            except ValueError:
                return 0.0
    return 0.0
