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

    def holds(self, way: str) -> bool:
        return self.effect != "heal" and self.way in ("both", way)


class Cut(Exception):
    """The link was cut under a connection: the stand-in stops serving it."""


@dataclass(slots=True, eq=False)
class Conn:
    """One connection through a door, as its stand-in sees it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    door: "Door"
    ran: bool = field(default=False)

    async def read(self, until: bytes = b"\r\n") -> bytes:
        """:raises asyncio.IncompleteReadError: the gatekeeper closed"""
        data = await self.reader.readuntil(until)
        await self.door.passing("out", self)
        return data

    async def read_exactly(self, size: int) -> bytes:
        data = await self.reader.readexactly(size)
        await self.door.passing("out", self)
        return data

    async def write(self, data: bytes) -> None:
        """:raises Cut: the answer is not to arrive"""
        await self.door.passing("in", self)
        link = self.door.link
        if link.holds("in") and link.effect == "lose_answers" and self.door.rng.random() < link.share:
            self.reset()
            raise Cut
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        with contextlib.suppress(OSError, AttributeError):
            self.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.writer.close()


class Door:
    """A listener of one stand-in for one gatekeeper."""

    def __init__(self, handler: Handler, rng: random.Random, who: int) -> None:
        self.handler = handler
        self.rng = rng
        self.who = who  # the gatekeeper's place
        self.link = Link()
        self.port = 0
        self._server: asyncio.Server | None = None
        self._open: set[Conn] = set()
        self._serving: set[asyncio.Task[None]] = set()
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
            for conn in list(self._open):
                conn.reset()

    async def passing(self, way: str, conn: Conn) -> None:
        """Bytes cross the door one way: held, cut or delayed by the link."""
        link = self.link
        if not link.holds(way):
            return
        if link.effect == "reset":
            conn.reset()
            raise Cut
        if link.effect == "blackhole":
            await self._healed.wait()
        elif link.effect == "delay":
            await asyncio.sleep((link.delay_ms + self.rng.random() * link.jitter_ms) / 1000)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conn = Conn(reader, writer, self)
        task = asyncio.current_task()
        assert task is not None
        self._open.add(conn)
        self._serving.add(task)
        try:
            await self.handler(conn)
        except (Cut, ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass  # the gatekeeper went, the link was cut, or it sent what a stand-in can't read
        except asyncio.CancelledError:
            pass  # close(): asyncio's stream server would log a cancelled handler as a failure
        finally:
            self._open.discard(conn)
            self._serving.discard(task)
            writer.close()

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for conn in list(self._open):
            conn.reset()
        self._healed.set()
        for task in list(self._serving):
            task.cancel()
        if self._serving:
            await asyncio.wait(list(self._serving))
