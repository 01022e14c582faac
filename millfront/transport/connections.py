"""Messages between the system's own processes: JSON lines on persistent connections, and JSON datagrams.

A long message is sent in an envelope, ``{"z": base64 of zlib}``: an object with this key alone. A message
that has such a key itself is always sent in one, so that no reader takes it for an envelope. A malformed
datagram is dropped, a malformed line ends its connection. Sizes are derived in docs/design/catching-up.md.
"""

import asyncio
import base64
import json
import socket
import zlib
from collections.abc import Callable
from typing import Any

from loguru import logger

COMPRESS_FROM_BYTES = 600
ENVELOPE_KEY = "z"
MAX_LINE_BYTES = 16 * 1024 * 1024  # uncompressed: a document of 12 MB in a JSON string
MAX_BUFFERED_BYTES = 8 * 1024 * 1024  # compressed, for one peer that reads nothing
MAX_QUEUED_MESSAGES = 256  # for one connection that is being opened
CONNECT_TIMEOUT_S = 0.9
USER_TIMEOUT_MS = 2000  # a peer that acknowledges nothing for this long is lost: a cut link gives no error
Message = dict[str, Any]


class DecodeError(Exception):
    """A line or a datagram is not a valid message."""


def encode_message(message: Message) -> bytes:
    """Encode a message as JSON without the line end; long ones are sent in an envelope."""
    data = json.dumps(message, separators=(",", ":")).encode()
    if len(data) > MAX_LINE_BYTES:
        logger.warning("transport: a message of {} bytes exceeds the limit of peers", len(data))
    if len(data) >= COMPRESS_FROM_BYTES or ENVELOPE_KEY in message:
        data = b'{"%s":"%s"}' % (ENVELOPE_KEY.encode(), base64.b64encode(zlib.compress(data, 6)))
    return data


def decode_message(data: bytes) -> Message:
    """Decode a line or a datagram.

    :raises DecodeError: not a JSON object with a string ``t``, or too long
    """
    try:
        message = json.loads(data)
        if isinstance(message, dict) and message.keys() == {ENVELOPE_KEY}:
            decompressor = zlib.decompressobj()
            data = decompressor.decompress(base64.b64decode(message[ENVELOPE_KEY]), MAX_LINE_BYTES)
            if decompressor.unconsumed_tail:
                raise DecodeError(f"line too long: over {MAX_LINE_BYTES} bytes uncompressed")
            message = json.loads(data)
        if isinstance(message, dict) and isinstance(message.get("t"), str):
            return message
    except (ValueError, TypeError, zlib.error) as error:
        raise DecodeError(str(error)) from None
    raise DecodeError("expected a JSON object with a string in 't'")


class Connection(asyncio.Protocol):
    """One persistent connection, opened by either end."""

    def __init__(self, owner: "Transport", address: str = "") -> None:
        self.owner = owner
        self.address = address  # of the peer if this end opened the connection, else empty
        self.transport: asyncio.Transport | None = None
        self.queued: list[bytes] = []
        self.closed = False
        self._buffer = bytearray()

    def connection_made(self, transport: Any) -> None:
        """Send the queued messages."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        if self.closed:
            transport.abort()
        elif self.queued:
            transport.write(b"".join(self.queued))
            self.queued.clear()

    def send(self, message: Message) -> None:
        """Write one message or queue it while connecting; dropped if closed or if buffer or queue is full."""
        data = self.owner.encode_cached(message) + b"\n"
        if self.transport is not None:
            if not self.closed and self.transport.get_write_buffer_size() < MAX_BUFFERED_BYTES:
                self.transport.write(data)
        elif len(self.queued) < MAX_QUEUED_MESSAGES:
            self.queued.append(data)

    def data_received(self, data: bytes) -> None:
        """Split the bytes into lines and pass on each message; a malformed line ends the connection."""
        self._buffer += data
        if b"\n" not in data:
            if len(self._buffer) > MAX_LINE_BYTES:
                self.close()
            return
        *lines, rest = self._buffer.split(b"\n")
        self._buffer = bytearray(rest)
        for line in lines:
            try:
                self.owner.on_message(self, decode_message(bytes(line)))
            except DecodeError as error:
                logger.warning("transport: malformed line, connection closed: {}", error)
                self.close()
                return
            except Exception:  # a fault in one message must not affect the others
                logger.exception("transport: handling a message failed")

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended; the next message to its address opens a new one."""
        self.closed = True
        self.owner.forget(self)

    def close(self) -> None:
        """Abort the connection; data not sent yet is lost."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()
        self.owner.forget(self)


class DatagramReceiver(asyncio.DatagramProtocol):
    """The one UDP socket of a process."""

    def __init__(self, owner: "Transport") -> None:
        self.owner = owner

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass on one message; a malformed one is logged and dropped."""
        try:
            self.owner.on_datagram(f"{addr[0]}:{addr[1]}", decode_message(data))
        except DecodeError as error:
            logger.warning("transport: malformed datagram dropped: {}", error)
        except Exception:
            logger.exception("transport: handling a datagram failed")

    def error_received(self, exc: Exception) -> None:
        """Ignored: nobody listens on the peer's port yet."""
        pass


class Transport:
    """The connections and the UDP socket between one process and the others of the system."""

    def __init__(
        self,
        on_message: Callable[[Connection, Message], None],
        on_datagram: Callable[[str, Message], None],
        local_address: str = "",
    ) -> None:
        """:param local_address: source address of connections opened here; empty: the kernel's choice"""
        self.on_message, self.on_datagram = on_message, on_datagram
        self.local_address = (local_address, 0) if local_address else None
        self.connections: dict[str, Connection] = {}
        self._datagrams: asyncio.DatagramTransport | None = None
        self._last_encoded: tuple[Message, bytes] = ({}, b"")
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, host: str, port: int) -> None:
        """Listen for connections and datagrams.

        :raises OSError: the address is not available
        """
        loop = asyncio.get_running_loop()
        self._datagrams, _ = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(self), local_addr=(host, port)
        )
        self._server = await loop.create_server(lambda: Connection(self), host, port, backlog=256)

    def send_datagram(self, address: str, message: Message) -> None:
        """Send one datagram to ``host:port``; dropped before `listen`."""
        if self._datagrams is not None:
            host, _, port = address.rpartition(":")
            self._datagrams.sendto(self.encode_cached(message), (host, int(port)))

    def encode_cached(self, message: Message) -> bytes:
        """Encode a message, once if it is sent to several peers in a row."""
        if message is not self._last_encoded[0]:
            self._last_encoded = (message, encode_message(message))
        return self._last_encoded[1]

    def send(self, address: str, message: Message) -> None:
        """Send on the connection to ``host:port``, which is opened if there is none."""
        connection = self.connections.get(address)
        if connection is None or connection.closed:
            connection = self.connections[address] = Connection(self, address)
            task = asyncio.get_running_loop().create_task(self._connect(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        connection.send(message)

    async def _connect(self, connection: Connection) -> None:
        host, _, port = connection.address.rpartition(":")
        try:
            loop = asyncio.get_running_loop()
            connecting = loop.create_connection(
                lambda: connection, host, int(port), local_addr=self.local_address
            )
            await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            connection.closed = True
            self.forget(connection)

    def forget(self, connection: Connection) -> None:
        """Remove a connection that has ended, unless another has replaced it."""
        if self.connections.get(connection.address) is connection:
            del self.connections[connection.address]
