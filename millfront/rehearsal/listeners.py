"""The faults between processes: every link that a rehearsal names is a door of its own on loopback.

A stand-in listens at one door for each gatekeeper, so that a fault can cut one gatekeeper from one peer and
leave the others be. The door does to the bytes what the link's fault says; the stand-in behind it never
knows.

| effect | out (gatekeeper to peer) | in (peer to gatekeeper) |
| --- | --- | --- |
| delay | what arrives waits `delay_ms` plus up to `jitter_ms` | what is answered waits as long |
| blackhole | nothing arrives; connections stay open and silent | nothing is answered |
| reset | connections are cut at once, new ones on their first byte | the same |
| lose_answers | | a share of the answers is dropped and its connection closed, after the peer did its work |
"""

import asyncio
import contextlib
import random
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from millfront.rehearsal.scenario import Effect

Handler = Callable[["Conn"], Awaitable[None]]
LINGER_RESET = struct.pack("ii", 1, 0)  # close with RST, as a process that dies does


@dataclass(slots=True)
class Link:
    """What a link does now; a heal puts it back to `heal`."""

    effect: Effect = "heal"
    way: str = "both"
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    share: float = 1.0

    def affects(self, way: str) -> bool:
        return self.effect != "heal" and self.way in ("both", way)


class LinkCut(Exception):
    """The link was cut under a connection: the stand-in stops serving it."""


@dataclass(slots=True, eq=False)
class Conn:
    """One connection through a door, as its stand-in sees it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    listener: "FaultListener"
    ran: bool = field(default=False)

    async def read(self, until: bytes = b"\r\n") -> bytes:
        """:raises asyncio.IncompleteReadError: the gatekeeper closed"""
        data = await self.reader.readuntil(until)
        await self.listener.apply_fault("out", self)
        return data

    async def read_exactly(self, size: int) -> bytes:
        data = await self.reader.readexactly(size)
        await self.listener.apply_fault("out", self)
        return data

    async def write(self, data: bytes) -> None:
        """:raises Cut: the answer is not to arrive"""
        await self.listener.apply_fault("in", self)
        link = self.listener.link
        if link.affects("in") and link.effect == "lose_answers" and self.listener.rng.random() < link.share:
            self.reset()
            raise LinkCut
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        with contextlib.suppress(OSError, AttributeError):
            self.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.writer.close()


class FaultListener:
    """A listener of one stand-in for one gatekeeper."""

    def __init__(self, handler: Handler, rng: random.Random, gatekeeper: int) -> None:
        self.handler = handler
        self.rng = rng
        self.gatekeeper = gatekeeper  # the gatekeeper's place
        self.link = Link()
        self.port = 0
        self._server: asyncio.Server | None = None
        self._connections: set[Conn] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._healed = asyncio.Event()

    async def open(self) -> int:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def set(self, link: Link) -> None:
        self.link = link
        if link.effect == "heal":
            self._healed.set()
            return
        self._healed = asyncio.Event()
        if link.effect == "reset":
            for conn in list(self._connections):
                conn.reset()

    async def apply_fault(self, way: str, conn: Conn) -> None:
        """Bytes cross the door one way: held, cut or delayed by the link."""
        link = self.link
        if not link.affects(way):
            return
        if link.effect == "reset":
            conn.reset()
            raise LinkCut
        if link.effect == "blackhole":
            await self._healed.wait()
        elif link.effect == "delay":
            await asyncio.sleep((link.delay_ms + self.rng.random() * link.jitter_ms) / 1000)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conn = Conn(reader, writer, self)
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(conn)
        self._tasks.add(task)
        try:
            await self.handler(conn)
        except (LinkCut, ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass  # the gatekeeper went, the link was cut, or it sent what a stand-in can't read
        except asyncio.CancelledError:
            pass  # close(): asyncio's stream server would log a cancelled handler as a failure
        finally:
            self._connections.discard(conn)
            self._tasks.discard(task)
            writer.close()

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for conn in list(self._connections):
            conn.reset()
        self._healed.set()
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks))
