"""Faults on the links between the system's own processes: a relay before each process, all in one thread.

Others reach process N at its advertised address 127.P.0.N+1, where its relay listens (TCP and UDP, the
system's port); N itself listens at, and connects from, 127.P.1.N+1 (`listen_ip` of its settings). The relay
so knows the sender by its source address, and forwards a datagram from the sender's advertised address, to
which the answer then goes. Each ordered pair of processes is a link of its own:

| effect | connections | datagrams |
| --- | --- | --- |
| blackhole | data is held silently; the sender's end is reset after SEND_TIMEOUT_S | lost |
| blackhole, `keep_open` | data is held, never reset, and delivered at the heal | lost |
| reset | reset at once, new ones when accepted | lost |
| delay | delayed by `delay_ms` plus up to `jitter_ms`, in order | the same, in any order |
| heal | forwarded, after the link's base delay (`set_base_delay`) | the same |

SEND_TIMEOUT_S stands for the sender's TCP_USER_TIMEOUT, which a real network failure would trigger.
A new connection needs both directions. The end of a connection is delayed or held like its bytes.
"""

import asyncio
import contextlib
import os
import random
import socket
import struct
import threading
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from typing import Any, TypeVar

from millfront.rehearsal.scenario import Effect

SEND_TIMEOUT_S = 2.0  # as in millfront/transport/connections.py
MAX_QUEUED_CHUNKS = 1024  # chunks of a connection that wait in the relay, per direction
CHUNK_BYTES = 65536
LINGER_RESET = struct.pack("ii", 1, 0)  # close with RST
T = TypeVar("T")


class LinkCut(Exception):
    """The link ends the connection."""


@dataclass(eq=False)
class Link:
    """One direction between two processes."""

    effect: Effect = "heal"
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    keep_open: bool = False
    base_delay_ms: tuple[float, float] = (0.0, 0.0)  # delay and jitter without a fault
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    forwarded: int = 0  # chunks and datagrams
    lost: int = 0  # datagrams, and connections reset

    def set_effect(self, effect: Effect, delay_ms: float, jitter_ms: float, keep_open: bool) -> None:
        """Change the link's effect, and wake whoever waits for a change."""
        if effect == "heal" and any(self.base_delay_ms):
            effect, (delay_ms, jitter_ms) = "delay", self.base_delay_ms
        self.effect, self.delay_ms, self.jitter_ms, self.keep_open = effect, delay_ms, jitter_ms, keep_open
        self.changed.set()
        self.changed = asyncio.Event()


class Endpoint:
    """The relay's socket of one end of a relayed connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def cut(self) -> None:
        with contextlib.suppress(OSError, AttributeError):
            self.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.writer.close()


class Relay(asyncio.DatagramProtocol):
    """The relay before one process: others reach the process here, and see its datagrams come from here."""

    def __init__(self, links: "Links", number: int) -> None:
        self.links, self.number = links, number
        self.datagrams: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        loop, host, port = asyncio.get_running_loop(), self.links.advertised_ip(self.number), self.links.port
        self.datagrams, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        self.server = await asyncio.start_server(self._on_connection, host, port, limit=CHUNK_BYTES)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        sender = self.links.sender(addr[0])
        if sender is None:
            return
        link, delay = self.links.between[sender, self.number], 0.0
        if link.effect in ("blackhole", "reset"):
            link.lost += 1
            return
        link.forwarded += 1
        if link.effect == "delay":
            delay = self.links.delay(link)
        if delay:
            asyncio.get_running_loop().call_later(delay, self._forward, sender, data)
        else:
            self._forward(sender, data)

    def _forward(self, sender: int, data: bytes) -> None:
        source = self.links.relays[sender].datagrams
        if source is not None and not source.is_closing():
            source.sendto(data, (self.links.listen_ip(self.number), self.links.port))

    def error_received(self, exc: Exception) -> None:
        pass  # the process does not listen

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.links.tasks.add(task)
        near = Endpoint(reader, writer)
        try:
            sender = self.links.sender(writer.get_extra_info("peername")[0])
            if sender is not None:
                await self._serve(sender, near)
        except (LinkCut, OSError, asyncio.CancelledError):
            pass  # the link was cut, the process does not listen, or the relay closes
        finally:
            self.links.tasks.discard(task)
            near.cut()

    async def _serve(self, sender: int, near: Endpoint) -> None:
        there, back = self.links.between[sender, self.number], self.links.between[self.number, sender]
        for link in (there, back):
            await _wait_to_forward(link, near, 0.0)
        far = Endpoint(*await asyncio.open_connection(self.links.listen_ip(self.number), self.links.port))
        ways = [
            asyncio.create_task(self._relay(there, near, far)),
            asyncio.create_task(self._relay(back, far, near)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            far.cut()
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)

    async def _relay(self, link: Link, source: Endpoint, sink: Endpoint) -> None:
        """Forward one direction of one connection until it ends."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        reading = asyncio.create_task(self._read(link, source, queue))
        try:
            while True:
                due, data = await _next_chunk(queue, link)
                await _wait_to_forward(link, source, due)
                if not data:
                    return
                link.forwarded += 1
                sink.writer.write(data)
                await sink.writer.drain()
        finally:
            reading.cancel()

    async def _read(self, link: Link, source: Endpoint, queue: "asyncio.Queue[tuple[float, bytes]]") -> None:
        """Queue what is read from `source`, each chunk with the time it is due; an empty chunk is the end."""
        data = b"more"
        while data:
            try:
                data = await source.reader.read(CHUNK_BYTES)
            except OSError:
                data = b""
            delay = self.links.delay(link) if link.effect == "delay" else 0.0
            await queue.put((asyncio.get_running_loop().time() + delay, data))


async def _next_chunk(queue: "asyncio.Queue[tuple[float, bytes]]", link: Link) -> tuple[float, bytes]:
    """The next chunk and the time it is due. Notices a reset also while nothing is sent.

    :raises LinkCut: the link is reset
    """
    next_item = asyncio.create_task(queue.get())
    try:
        while not next_item.done():
            changed = asyncio.create_task(link.changed.wait())
            try:
                await asyncio.wait([next_item, changed], return_when=asyncio.FIRST_COMPLETED)
            finally:
                changed.cancel()
            if link.effect == "reset":
                link.lost += 1
                raise LinkCut
        return next_item.result()
    finally:
        next_item.cancel()


async def _wait_to_forward(link: Link, source: Endpoint, due: float) -> None:
    """Wait until a chunk from `source` may be forwarded.

    :raises LinkCut: the link was reset, or held it for longer than SEND_TIMEOUT_S
    """
    loop = asyncio.get_running_loop()
    since = loop.time()
    while True:
        changed = link.changed.wait()
        if link.effect == "reset":
            changed.close()
            link.lost += 1
            raise LinkCut
        if link.effect == "blackhole":
            left = None if link.keep_open else since + SEND_TIMEOUT_S - loop.time()
        elif loop.time() < due:
            left = due - loop.time()
        else:
            changed.close()
            return
        try:
            await asyncio.wait_for(changed, left)
        except TimeoutError:
            if link.effect == "blackhole":  # the other end must notice by itself, or at the heal
                link.lost += 1
                source.cut()
                while link.effect == "blackhole":
                    await link.changed.wait()
                raise LinkCut from None


class Links:
    """All links of one system. Its methods may be called from any thread but its own event loop's."""

    def __init__(self, count: int, port: int, rng: random.Random, subnet: int = 0) -> None:
        """:param subnet: P of the addresses, 2 to 254; 0: from the process id, so that runs differ"""
        self.count, self.port, self.rng = count, port, rng
        self.subnet = subnet or 2 + os.getpid() % 250
        self.relays: list[Relay] = []
        self.between: dict[tuple[int, int], Link] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def advertised_ip(self, number: int) -> str:
        """The address at which others reach the process."""
        return f"127.{self.subnet}.0.{number + 1}"

    def listen_ip(self, number: int) -> str:
        """The address at which the process listens and from which it connects."""
        return f"127.{self.subnet}.1.{number + 1}"

    def sender(self, address: str) -> int | None:
        number = int(address.rpartition(".")[2]) - 1
        return number if 0 <= number < self.count and address == self.listen_ip(number) else None

    def delay(self, link: Link) -> float:
        return (link.delay_ms + self.rng.random() * link.jitter_ms) / 1000

    def open(self) -> None:
        """:raises OSError: the port is taken"""
        self._thread.start()
        self._run(self._open())

    async def _open(self) -> None:
        numbers = range(self.count)
        self.between = {(one, other): Link() for one in numbers for other in numbers if one != other}
        for number in numbers:
            self.relays.append(Relay(self, number))
            await self.relays[-1].open()

    def _run(self, work: Coroutine[Any, Any, T]) -> T:
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(10)

    def set(
        self,
        senders: Iterable[int],
        others: Iterable[int],
        effect: Effect,
        *,
        way: str = "both",
        delay_ms: float = 0.0,
        jitter_ms: float = 0.0,
        keep_open: bool = False,
    ) -> None:
        """Set the effect of the links from `senders` to `others`.

        :param way: out: from `senders`; in: towards them; both
        """
        pairs = [(one, other) for one in senders for other in others if one != other]
        chosen = [pair for pair in pairs if way in ("out", "both")]
        chosen += [(other, one) for one, other in pairs if way in ("in", "both")]

        async def apply() -> None:
            for pair in chosen:
                self.between[pair].set_effect(effect, delay_ms, jitter_ms, keep_open)

        self._run(apply())

    def set_base_delay(
        self, numbers: Iterable[int], others: Iterable[int], delay_ms: float, jitter_ms: float
    ) -> None:
        """Set the delay without a fault of the links between the two groups, each way."""

        async def apply() -> None:
            for one, other in [(one, other) for one in numbers for other in others]:
                for link in (self.between[one, other], self.between[other, one]):
                    link.base_delay_ms = (delay_ms, jitter_ms)
                    link.set_effect("heal", 0.0, 0.0, False)

        self._run(apply())

    def cut(self, one: int, way: str = "both", keep_open: bool = False) -> None:
        """Cut one process off from all others, without resetting connections at once."""
        self.set([one], range(self.count), "blackhole", way=way, keep_open=keep_open)

    def heal(self) -> None:
        """Heal all links."""
        self.set(range(self.count), range(self.count), "heal", way="out")

    def close(self) -> None:
        async def end() -> None:
            for relay in self.relays:
                if relay.server is not None:
                    relay.server.close()
                if relay.datagrams is not None:
                    relay.datagrams.close()
            for task in list(self.tasks):
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

        if self._thread.is_alive():
            self._run(end())
            stop: Callable[[], None] = self._loop.stop
            self._loop.call_soon_threadsafe(stop)
            self._thread.join(10)
            self._loop.close()
