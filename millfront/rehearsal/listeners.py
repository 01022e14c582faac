"""Faults on the links between gatekeepers and stand-ins: each link has a listener of its own on loopback.

A stand-in has one listener for each gatekeeper, so that a fault can cut one gatekeeper off from one peer and
leave the other links alone. The listener applies the link's fault to the bytes; the stand-in's handler does
not notice.

| effect | out (gatekeeper to peer) | in (peer to gatekeeper) |
| --- | --- | --- |
| delay | requests are delayed by `delay_ms` plus up to `jitter_ms` | answers likewise |
| blackhole | nothing arrives; connections stay open and silent | nothing is answered |
| reset | connections are reset at once, new ones on their first byte | the same |
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
LINGER_RESET = struct.pack("ii", 1, 0)  # close with RST, as a killed process does


@dataclass(slots=True)
class Link:
    """The fault on a link; `heal` is none."""

    effect: Effect = "heal"
    way: str = "both"
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    share: float = 1.0

    def affects(self, way: str) -> bool:
        return self.effect != "heal" and self.way in ("both", way)


class LinkCut(Exception):
    """The link was cut: the stand-in stops serving the connection."""


@dataclass(slots=True, eq=False)
class Conn:
    """One accepted connection, as the stand-in's handler uses it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    listener: "FaultListener"
    ran: bool = field(default=False)

    async def read(self, until: bytes = b"\r\n") -> bytes:
        """:raises asyncio.IncompleteReadError: the gatekeeper closed the connection"""
        data = await self.reader.readuntil(until)
        await self.listener.apply_fault("out", self)
        return data

    async def read_exactly(self, size: int) -> bytes:
        data = await self.reader.readexactly(size)
        await self.listener.apply_fault("out", self)
        return data

    async def write(self, data: bytes) -> None:
        """:raises LinkCut: the link is reset, or loses this answer"""
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
    """Accepts one gatekeeper's connections to one stand-in and applies the link's fault to them."""

    def __init__(self, handler: Handler, rng: random.Random, gatekeeper: int) -> None:
        self.handler = handler
        self.rng = rng
        self.gatekeeper = gatekeeper  # its number, from 0
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
        """Hold, cut or delay bytes that pass in one direction, as the link's fault says."""
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
            pass  # the gatekeeper disconnected, the link was cut, or the input was malformed
        except asyncio.CancelledError:
            pass  # from close(): asyncio's stream server would log a cancelled handler as an error
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
