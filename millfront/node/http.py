"""What the peers that speak HTTP share, over h11: limits, headers of one hop, reading and dialling."""

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
MAX_BUFFERED_BODY_BYTES = 64 * 1024  # gathered before it goes on; a longer one is passed on as it comes
MAX_STREAMED_BODY_BYTES = 33 * 1024 * 1024  # of one that is passed on as it comes
MAX_INTERIM_RESPONSES = 8  # 1xx answers ahead of one: guards against a peer that never comes to the point
RESPONSE_COMPLETION_TIMEOUT_S = (
    0.5  # from an answer's first bytes to its last: what stalls inside a message will not end well
)
READ_SIZE = 64 * 1024

# RFC 9110, 7.6.1: these speak of one connection only. Content-Length is set anew with the framing.
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
FRAMING = (b"content-length", b"transfer-encoding")  # both in one message: one may hide what the other shows
Fields = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class Message:
    """A request or an answer as it came: what passes on of it is not rewritten."""

    start: tuple[bytes, bytes] | int  # method and target, or the status
    fields: Fields  # lower-case names, as parsed
    raw_fields: Fields  # the same, with the names as they came
    body: bytes
    body_incomplete: bool = False  # the body is only its beginning
    length: int | None = None  # of the whole body of such a message, where it is told
    upload: Upload | None = None  # the rest of such a request

    def field(self, name: bytes) -> bytes | None:
        for key, value in self.fields:
            if key == name:
                return value
        return None


def end_to_end_fields(message: Message, *exclude: bytes) -> Fields:
    """The fields that go on to the next hop, as they came."""
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
    """One TCP connection under h11, in the role of a client or a server."""

    def __init__(self, stream: Stream, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self.stream = stream
        self.h11 = h11.Connection(role, max_incomplete_event_size=MAX_HEAD_BYTES)

    async def write(self, *events: h11.Event) -> None:
        """All of one message at once. A failure here means that its last byte was not written."""
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
        """What has come; nothing means that the other side has ended."""
        try:
            return await self.stream.receive(READ_SIZE)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            raise ExchangeError(Ending.BROKEN, repr(error)) from None

    async def next_event(self) -> h11.Event:
        """The next event of the other side's message; a break or nonsense raises ExchangeError."""
        try:
            while (event := self.h11.next_event()) is h11.NEED_DATA:
                self.h11.receive_data(await self.read())
        except h11.RemoteProtocolError as error:
            # h11 words an end inside a message as a fault of protocol: it is a break like any other
            cut = self.h11.trailing_data[1]
            raise ExchangeError(Ending.BROKEN if cut else Ending.MALFORMED, str(error)) from None
        if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            raise ExchangeError(Ending.BROKEN, "ended before an answer")
        return event  # type: ignore[return-value]

    async def read_response(self) -> Message:
        """A whole answer of bounded size. Its first bytes may take as long as they like, the rest may not."""
        self.h11.receive_data(await self.read())
        with anyio.move_on_after(RESPONSE_COMPLETION_TIMEOUT_S):
            return await self._read_rest_of_response()
        raise ExchangeError(Ending.MALFORMED, "an answer begun and not ended")

    async def _read_rest_of_response(self) -> Message:
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            head = await self.next_event()
            if not isinstance(head, h11.InformationalResponse):
                break
        if not isinstance(head, h11.Response):
            raise ExchangeError(Ending.MALFORMED, "no answer's head")
        names = [name for name, _ in head.headers if name in FRAMING]
        if len(names) > 1:
            raise ExchangeError(Ending.MALFORMED, "Content-Length and Transfer-Encoding")
        if any(
            name == b"content-length" and int(value) > MAX_BUFFERED_BODY_BYTES for name, value in head.headers
        ):
            raise ExchangeError(Ending.MALFORMED, f"an answer of over {MAX_BUFFERED_BODY_BYTES} bytes")
        body = bytearray()
        while isinstance(event := await self.next_event(), h11.Data):
            body += event.data
            if len(body) > MAX_BUFFERED_BODY_BYTES:
                raise ExchangeError(Ending.MALFORMED, f"an answer of over {MAX_BUFFERED_BODY_BYTES} bytes")
        return Message(head.status_code, list(head.headers), head.headers.raw_items(), bytes(body))

    def reusable(self) -> bool:
        """Whether both sides ended their messages and neither closes; makes ready for the next."""
        if self.h11.our_state is not h11.DONE or self.h11.their_state is not h11.DONE:
            return False
        if self.h11.trailing_data[0]:
            return False  # bytes that answer nothing: the next answer on it could not be trusted
        self.h11.start_next_cycle()
        return True

    async def close(self) -> None:
        """At once, whatever is on the way. It never waits, so no cancel may cut in and lose an answer."""
        with anyio.CancelScope(shield=True):
            await self.stream.aclose()


async def dial(address: Address, timeout_us: int) -> SocketStream:
    """Connect within the time; 0 is without a limit."""
    try:
        with anyio.fail_after(timeout_us / 1e6 if timeout_us else math.inf):
            return await anyio.connect_tcp(address.host, address.port)
    except OSError as error:  # a time-out is one too
        cause = error.__cause__ or error  # anyio words the system's error anew
        raise connect_error(address, cause) from None


def connect_error(address: Address, cause: BaseException) -> ExchangeError:
    """Refused, unreachable and silent are one thing to the caller."""
    # Out of descriptors or ports is this machine's own want: the other side is not to blame for it
    own = getattr(cause, "errno", None) in RESOURCE_ERRNOS
    ending = Ending.NOT_SENT if own else Ending.CONNECT_FAILED
    return ExchangeError(ending, f"{address}: {cause!r}", retryable=isinstance(cause, ConnectionResetError))
