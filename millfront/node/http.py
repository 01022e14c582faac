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
from millfront.node.endings import Ended, Ending
from millfront.node.link import NO_ROOM

MOST_HEAD = 16 * 1024
MOST_BODY = 64 * 1024  # gathered before it goes on; a longer one is passed on as it comes
MOST_STREAMED = 33 * 1024 * 1024  # of one that is passed on as it comes
MOST_AHEAD = 8  # 1xx answers ahead of one: guards against a peer that never comes to the point
REST_S = 0.5  # from an answer's first bytes to its last: what stalls inside a message will not end well
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
    raw: Fields  # the same, with the names as they came
    body: bytes
    more: bool = False  # the body is only its beginning
    length: int | None = None  # of the whole body of such a message, where it is told
    upload: Upload | None = None  # the rest of such a request

    def field(self, name: bytes) -> bytes | None:
        for key, value in self.fields:
            if key == name:
                return value
        return None


def passed_on(message: Message, *but: bytes) -> Fields:
    """The fields that go on to the next hop, as they came."""
    named = message.field(b"connection")
    hop = {token.strip().lower() for token in named.split(b",")} if named else ()
    pairs = zip(message.fields, message.raw, strict=True)
    return [raw for (name, _), raw in pairs if name not in HOP_BY_HOP and name not in but and name not in hop]


class Stream(Protocol):
    async def receive(self, size: int) -> bytes: ...
    async def send(self, data: bytes) -> None: ...
    async def aclose(self) -> None: ...


class Wire:
    """One TCP connection under h11, in the role of a client or a server."""

    def __init__(self, stream: Stream, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self.stream = stream
        self.h11 = h11.Connection(role, max_incomplete_event_size=MOST_HEAD)

    async def write(self, *events: h11.Event) -> None:
        """All of one message at once. A failure here means that its last byte was not written."""
        await self.write_bytes(b"".join(self.encoded(events)))

    def encoded(self, events: Iterable[h11.Event]) -> Iterable[bytes]:
        for event in events:
            yield self.h11.send(event) or b""

    async def write_bytes(self, data: bytes) -> None:
        try:
            await self.stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as wrong:
            raise Ended(Ending.UNCONNECTED, repr(wrong), again=True) from None

    async def read(self) -> bytes:
        """What has come; nothing means that the other side has ended."""
        try:
            return await self.stream.receive(READ_SIZE)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as wrong:
            raise Ended(Ending.BROKEN, repr(wrong)) from None

    async def next_event(self) -> h11.Event:
        """The next event of the other side's message; a break or nonsense raises Ended."""
        try:
            while (event := self.h11.next_event()) is h11.NEED_DATA:
                self.h11.receive_data(await self.read())
        except h11.RemoteProtocolError as wrong:
            # h11 words an end inside a message as a fault of protocol: it is a break like any other
            cut = self.h11.trailing_data[1]
            raise Ended(Ending.BROKEN if cut else Ending.MALFORMED, str(wrong)) from None
        if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            raise Ended(Ending.BROKEN, "ended before an answer")
        return event  # type: ignore[return-value]

    async def read_answer(self) -> Message:
        """A whole answer of bounded size. Its first bytes may take as long as they like, the rest may not."""
        self.h11.receive_data(await self.read())
        with anyio.move_on_after(REST_S):
            return await self._rest_of_answer()
        raise Ended(Ending.MALFORMED, "an answer begun and not ended")

    async def _rest_of_answer(self) -> Message:
        for _ in range(MOST_AHEAD + 1):
            head = await self.next_event()
            if not isinstance(head, h11.InformationalResponse):
                break
        if not isinstance(head, h11.Response):
            raise Ended(Ending.MALFORMED, "no answer's head")
        names = [name for name, _ in head.headers if name in FRAMING]
        if len(names) > 1:
            raise Ended(Ending.MALFORMED, "Content-Length and Transfer-Encoding")
        if any(name == b"content-length" and int(value) > MOST_BODY for name, value in head.headers):
            raise Ended(Ending.MALFORMED, f"an answer of over {MOST_BODY} bytes")
        body = bytearray()
        while isinstance(event := await self.next_event(), h11.Data):
            body += event.data
            if len(body) > MOST_BODY:
                raise Ended(Ending.MALFORMED, f"an answer of over {MOST_BODY} bytes")
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
    except OSError as wrong:  # a time-out is one too
        cause = wrong.__cause__ or wrong  # anyio words the system's error anew
        raise unconnected(address, cause) from None


def unconnected(address: Address, cause: BaseException) -> Ended:
    """Refused, unreachable and silent are one thing to the caller."""
    # Out of descriptors or ports is this machine's own want: the other side is not to blame for it
    own = getattr(cause, "errno", None) in NO_ROOM
    ending = Ending.NOT_SENT if own else Ending.UNCONNECTED
    return Ended(ending, f"{address}: {cause!r}", again=isinstance(cause, ConnectionResetError))
