"""Open-loop clients: requests are sent at times drawn from the seed, whether earlier ones were answered or
not, so that a stalled gatekeeper gets the same load as a fast one (no coordinated omission).

Clients send one request at a time on a connection, keep connections open, and open more when all are busy
(PROTOCOL). They never retry: every request id is one request, which the checks see once.
"""

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from millfront.rehearsal.scenario import Clients
from millfront.rehearsal.standins import Clock

SAFE_CLASSES = {"page-fetch"}
KEYED_CLASSES = {"issue-buy"}


class StaleConnection(Exception):
    """An idle connection was closed while a request was sent, before the gatekeeper read it."""


@dataclass(slots=True)
class SentRequest:
    """A request as its client saw it. Times are seconds of the rehearsal's clock."""

    request: str
    request_class: str
    customer: str
    gatekeeper: int  # the number of the one it was sent to
    sent: float
    timeout_s: float
    status: int = 0  # 0: no answer
    answered: float = 0.0
    ending: str = "open"  # connecting, answered, closed (without an answer), unreachable, late
    resent: float = 0.0  # when it was sent again, on a new connection, after a close crossed it


@dataclass(slots=True)
class Load:
    config: Clients
    gatekeepers: int
    address: Callable[[int], str]  # where a gatekeeper listens; "" if it does not run
    clock: Clock
    rng: random.Random
    requests: list[SentRequest] = field(default_factory=list)
    _idle: dict[int, list[tuple[asyncio.StreamReader, asyncio.StreamWriter, str]]] = field(
        default_factory=dict
    )
    _ids: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))
    _open: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self, until_s: float) -> None:
        """Send requests until `until_s`, or until the maximum number was sent."""
        config, names, weights = self.config, list(self.config.classes), list(self.config.classes.values())
        next_at = self.clock() + max(0.0, config.start_s - self.clock())
        for _ in range(config.most):
            if config.rate_per_s <= 0:
                return
            next_at += self.rng.expovariate(config.rate_per_s)
            if next_at >= until_s:
                break
            await asyncio.sleep(max(0.0, next_at - self.clock()))
            customer = self.rng.randrange(config.customers)
            first = customer % self.gatekeepers
            gatekeeper = (first + self.rng.randrange(config.spread)) % self.gatekeepers
            request_class = self.rng.choices(names, weights)[0]
            task = asyncio.create_task(self._send(gatekeeper, request_class, customer, first))
            self._open.add(task)
            task.add_done_callback(self._open.discard)
        await self.wait_for_answers()

    async def wait_for_answers(self) -> None:
        if self._open:
            await asyncio.wait(list(self._open))

    async def _send(self, gatekeeper: int, request_class: str, customer: int, first: int) -> None:
        config = self.config
        request = f"{next(self._ids):016x}"
        record = SentRequest(
            request, request_class, f"{customer:016x}", gatekeeper, self.clock(), config.timeout_ms / 1000
        )
        self.requests.append(record)
        address = self.address(gatekeeper)
        if not address:
            record.ending = "unreachable"
            return
        lines = [
            f"{'GET' if request_class in SAFE_CLASSES else 'POST'} /{request_class}/{customer:016x} HTTP/1.1",
            "Host: origin.svc",
            f"Request-Id: {request}",
            f"Plan: {config.plan}",
            f"Request-Timeout: {config.timeout_ms}m",
            f"Quota-Info: units=1,spread={config.spread},first={first}",
        ]
        body = b"" if request_class in SAFE_CLASSES else b"what is bought"
        if request_class in KEYED_CLASSES:
            lines.append(f"Idempotency-Key: {request:0>32}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        try:
            async with asyncio.timeout(record.timeout_s + 1.0):
                try:
                    await self._exchange(gatekeeper, address, data, record, reuse=True)
                except StaleConnection:  # PROTOCOL: the close crossed an unread request: send it again
                    record.resent = self.clock()
                    await self._exchange(gatekeeper, address, data, record, reuse=False)
        except TimeoutError:
            record.ending = "late"
        except (OSError, asyncio.IncompleteReadError, ValueError):
            record.ending = "unreachable" if record.ending == "connecting" else "closed"

    async def _exchange(
        self, gatekeeper: int, address: str, data: bytes, record: SentRequest, reuse: bool
    ) -> None:
        """:raises StaleConnection: a reused connection ended before the first byte of the answer"""
        idle = self._idle.setdefault(gatekeeper, [])
        while idle and idle[-1][2] != address:  # the gatekeeper was restarted on another port
            idle.pop()[1].close()
        if idle and reuse:
            reader, writer, _ = idle.pop()
            try:
                writer.write(data)
                await writer.drain()
                head = await reader.readuntil(b"\r\n\r\n")
            except (ConnectionError, asyncio.IncompleteReadError) as error:
                if isinstance(error, asyncio.IncompleteReadError) and error.partial:
                    raise
                writer.close()
                raise StaleConnection from None
            return await self._read_response(reader, writer, head, address, record)
        else:
            host, _, port = address.rpartition(":")
            record.ending = "connecting"
            reader, writer = await asyncio.open_connection(host, int(port))
        record.ending = "open"
        writer.write(data)
        await writer.drain()
        head = await reader.readuntil(b"\r\n\r\n")
        await self._read_response(reader, writer, head, address, record)

    async def _read_response(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        head: bytes,
        address: str,
        record: SentRequest,
    ) -> None:
        idle = self._idle.setdefault(record.gatekeeper, [])
        status = int(head.split(b" ", 2)[1])
        fields = {}
        for row in head.split(b"\r\n")[1:]:
            name, _, value = row.partition(b":")
            fields[name.strip().lower()] = value.strip()
        if fields.get(b"transfer-encoding", b"").lower() == b"chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                await reader.readexactly(size + 2)
            await reader.readuntil(b"\r\n")
        else:
            await reader.readexactly(int(fields.get(b"content-length", b"0")))
        record.status, record.answered, record.ending = status, self.clock(), "answered"
        if b"connection: close" in head.lower():
            writer.close()
        else:
            idle.append((reader, writer, address))

    def close(self) -> None:
        for idle in self._idle.values():
            for _, writer, _ in idle:
                writer.close()
        self._idle.clear()
