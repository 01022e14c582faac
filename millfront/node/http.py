"""Shared by all peers that speak HTTP: limits, hop-by-hop fields, connecting, and a connection over h11."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

import anyio
import h11
from anyio.abc import SocketStream

from millfront.node.bodies import Upload
from millfront.node.config import Address
from millfront.node.endings import Ending, ExchangeError
from millfront.node.link import RESOURCE_ERRNOS

MAX_HEAD_BYTES = 16 * 1024
MAX_BUFFERED_BODY_BYTES = 64 * 1024  # buffered whole before it is forwarded; a longer body is streamed
MAX_STREAMED_BODY_BYTES = 33 * 1024 * 1024  # of a body that is streamed
MAX_INTERIM_RESPONSES = 8  # 1xx responses ahead of the final one: a peer could send them for ever
# From a response's first bytes to its last: one that stalls midway will not end well.
RESPONSE_COMPLETION_TIMEOUT_S = 0.5
READ_SIZE = 64 * 1024

# Fields that apply to one connection only (RFC 9110, 7.6.1). Content-Length is set again with the framing.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Both in one message: one could hide what the other shows.
FRAMING = (b"content-length", b"transfer-encoding")
Fields = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class Message:
    """A request or a response as received; what is forwarded of it is not rewritten."""

    start: tuple[bytes, bytes] | int  # method and target of a request, status of a response
    fields: Fields  # lower-case names, as parsed
    raw_fields: Fields  # the same with the names as received
    body: bytes
    body_incomplete: bool = False  # `body` holds only the beginning
    length: int | None = None  # of an incomplete message's whole body, in bytes, if known
    upload: Upload | None = None  # the rest of an incomplete request's body

    def field(self, name: bytes) -> bytes | None:
        for key, value in self.fields:
            if key == name:
                return value
        return None


def end_to_end_fields(message: Message, *exclude: bytes) -> Fields:
    """The fields to forward to the next hop as received, without those named in `exclude`."""
    named = message.field(b"connection")
    hop = {token.strip().lower() for token in named.split(b",")} if named else ()
    pairs = zip(message.fields, message.raw_fields, strict=True)
    return [
        raw for (name, _), raw in pairs if name not in HOP_BY_HOP and name not in exclude and name not in hop
    ]


class Stream(Protocol):
    async def receive(self, size: int) -> bytes: ...
    async def send(self, data: bytes) -> None: ...
    async def aclose(self) -> None: ...


class HttpConnection:
    """One TCP connection with HTTP/1.1 by h11, in the role of a client or a server."""

    def __init__(self, stream: Stream, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self.stream = stream
        self.h11 = h11.Connection(role, max_incomplete_event_size=MAX_HEAD_BYTES)

    async def write(self, *events: h11.Event) -> None:
        """Write a whole message in one call. A failure means that its last byte was not written."""
        await self.write_bytes(b"".join(self.encode(events)))

    def encode(self, events: Iterable[h11.Event]) -> Iterable[bytes]:
        for event in events:
            yield self.h11.send(event) or b""

    async def write_bytes(self, data: bytes) -> None:
        try:
            await self.stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            raise ExchangeError(Ending.CONNECT_FAILED, repr(error), retryable=True) from None

    async def read(self) -> bytes:
        """The next bytes; empty if the peer has finished sending."""
        try:
            return await self.stream.receive(READ_SIZE)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            raise ExchangeError(Ending.BROKEN, repr(error)) from None

    async def next_event(self) -> h11.Event:
        """The next event of the peer's message.

        :raises ExchangeError: BROKEN, the connection ended; MALFORMED, the bytes are not valid HTTP
        """
        try:
            while (event := self.h11.next_event()) is h11.NEED_DATA:
                self.h11.receive_data(await self.read())
        except h11.RemoteProtocolError as error:
            # h11 reports an end inside a message as a protocol error: here it is a broken connection
            cut = self.h11.trailing_data[1]
            raise ExchangeError(Ending.BROKEN if cut else Ending.MALFORMED, str(error)) from None
        if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            raise ExchangeError(Ending.BROKEN, "connection ended before a complete message")
        return event  # type: ignore[return-value]

    async def read_response(self) -> Message:
        """A whole response of bounded size. There is no time limit for its first bytes, only for the rest.

        :raises ExchangeError: BROKEN or MALFORMED
        """
        self.h11.receive_data(await self.read())
        with anyio.move_on_after(RESPONSE_COMPLETION_TIMEOUT_S):
            return await self._read_rest_of_response()
        raise ExchangeError(
            Ending.MALFORMED, f"response not completed within {RESPONSE_COMPLETION_TIMEOUT_S} s of its start"
        )

    async def _read_rest_of_response(self) -> Message:
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            head = await self.next_event()
            if not isinstance(head, h11.InformationalResponse):
                break
        if not isinstance(head, h11.Response):
            raise ExchangeError(
                Ending.MALFORMED,
                f"expected a final response after at most {MAX_INTERIM_RESPONSES} interim ones, "
                f"got {type(head).__name__}",
            )
        names = [name for name, _ in head.headers if name in FRAMING]
        if len(names) > 1:
            raise ExchangeError(Ending.MALFORMED, "response with both Content-Length and Transfer-Encoding")
        if any(
            name == b"content-length" and int(value) > MAX_BUFFERED_BODY_BYTES for name, value in head.headers
        ):
            raise ExchangeError(Ending.MALFORMED, f"response body over {MAX_BUFFERED_BODY_BYTES} bytes")
        body = bytearray()
        while isinstance(event := await self.next_event(), h11.Data):
            body += event.data
            if len(body) > MAX_BUFFERED_BODY_BYTES:
                raise ExchangeError(Ending.MALFORMED, f"response body over {MAX_BUFFERED_BODY_BYTES} bytes")
        return Message(head.status_code, list(head.headers), head.headers.raw_items(), bytes(body))

    def reusable(self) -> bool:
        """Whether both messages are complete and neither side closes. If so, prepares for the next one."""
        if self.h11.our_state is not h11.DONE or self.h11.their_state is not h11.DONE:
            return False
        if self.h11.trailing_data[0]:
            return False  # bytes that belong to no request: the next response could not be trusted
        self.h11.start_next_cycle()
        return True

    async def close(self) -> None:
        """Close at once, whatever is in flight. It never waits, so it may be shielded; a cancellation here
        could lose a response."""
        with anyio.CancelScope(shield=True):
            await self.stream.aclose()


async def dial(address: Address, timeout_us: int) -> SocketStream:
    """Connect within `timeout_us`; 0 means no limit.

    :raises ExchangeError: CONNECT_FAILED; NOT_SENT if this machine is out of descriptors or ports
    """
    try:
        with anyio.fail_after(timeout_us / 1e6 if timeout_us else math.inf):
            return await anyio.connect_tcp(address.host, address.port)
    except OSError as error:  # TimeoutError is an OSError
        cause = error.__cause__ or error  # anyio wraps the system's error
        raise connect_error(address, cause) from None


def connect_error(address: Address, cause: BaseException) -> ExchangeError:
    """The error for a failed connect: refused, unreachable and timed out are the same to the caller."""
    # Out of descriptors, buffers or ports is this machine's own fault, not the peer's.
    own = getattr(cause, "errno", None) in RESOURCE_ERRNOS
    ending = Ending.NOT_SENT if own else Ending.CONNECT_FAILED
    return ExchangeError(ending, f"{address}: {cause!r}", retryable=isinstance(cause, ConnectionResetError))
