"""The client side of HTTP/2: a connection with its streams, each an Arrival with one final answer.

h2 holds the protocol's states and checks; this module turns its events into what the host knows, and
answers into frames. No task: it works when bytes come, when the host answers, and in the virtual server's
sweep.
"""

import re
import socket
from contextlib import suppress

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from hyperframe.frame import GoAwayFrame

from millfront.http2.conduct import Conduct
from millfront.http2.turns import Turns, urgency_of
from millfront.logs import Log
from millfront.node.clients import (
    HEALTH_REQUESTS,
    IDLE_TIMEOUT_US,
    LINGER_US,
    RESPONSE_STALL_TIMEOUT_US,
    MessageCaller,
    VirtualServer,
)
from millfront.node.endings import Ending
from millfront.node.host import OpenRequest
from millfront.node.http import HOP_BY_HOP, MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES, Fields, Message
from millfront.node.link import Link
from millfront.node.stages import relay
from millfront.node.stages.take_in import RequestRejected

log = Log(__name__)

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
PATH = re.compile(rb"/[!-~]*")
NAME = re.compile(rb"[-!#$%&'*+.^_`|~0-9a-z]+")
VALUE = re.compile(rb"[\t -~\x80-\xff]*")
HIGH_WATER = 64 * 1024  # bytes that wait for the kernel; above it no more frames are made
MOST_HELD = 1024 * 1024  # bytes of unfinished bodies, over all streams of a connection
LAST_STREAM = 2**31 - 1
PING_US = 10_000_000  # a connection with open streams that has been silent for so long is asked
PONG_US = 5_000_000  # and is given up if it has not answered after so much more
Codes = h2.errors.ErrorCodes


class ClientStream(MessageCaller):
    """One request and its answer: the host's Caller."""

    __slots__ = (
        "answered",
        "begun_us",
        "body",
        "connection",
        "fields",
        "headless",
        "id",
        "opened",
        "pending",
        "since_us",
        "start",
        "urgency",
        "whole",
    )

    def __init__(self, connection: "Http2Connection", number: int, now_us: int) -> None:
        self.connection = connection
        self.id = number
        self.begun_us = now_us
        self.start: tuple[bytes, bytes] = (b"", b"")
        self.fields: Fields = []
        self.body = bytearray()
        self.headless = False
        self.whole = False  # the client has ended its side
        self.answered = False
        self.opened: OpenRequest | None = None
        self.pending: memoryview | None = None  # of the answer's body: not made into frames yet
        self.since_us = 0  # since when the client has given no window for it
        self.urgency = 3

    def send_response(self, answer: Message) -> None:
        if not self.answered:
            self.answered = True
            self.opened = None
            self.connection.give(self, answer)


class Http2Connection:
    """One client's connection. What the virtual server asks of a connection, it answers as a whole."""

    def __init__(
        self, server: VirtualServer, sock: socket.socket, streams: int, link: Link | None = None
    ) -> None:
        self.server = server
        now = server.clock.now()
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False, header_encoding=None, logger=None)
        )
        self.h2.local_settings = h2.settings.Settings(
            client=False,
            initial_values={
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: streams,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEAD_BYTES,
                h2.settings.SettingCodes.ENABLE_PUSH: 0,
            },
        )
        self.streams: dict[int, ClientStream] = {}
        self.turns = Turns()
        self.conduct = Conduct(now)
        self.ending = Ending.CLOSED
        self.over = False
        self.had_request = False  # a request came whole
        self.finished_us = 0  # since when nothing more goes out
        self.idle_since_us = now
        # of a request that is not whole: told by its stream, not by the connection
        self.request_started_us = 0
        self.input_closed = False
        self.held = 0  # bytes of unfinished bodies
        self.heard_us = now
        self.pinged_us = 0
        self.last = 0  # the highest stream that was taken
        self.leaving = 0  # 1: told to go elsewhere, 2: told the last stream
        self.unread_us = 0  # since when the kernel takes nothing more
        self._pumping = False
        self.h2.initiate_connection()
        if link is None:
            link = Link(sock, self, server.loop)
        else:
            link.owner = self
        self.link = link
        self.pump()

    @property
    def busy(self) -> bool:
        return bool(self.streams)

    # ---- in: what the link tells -------------------------------------------------------------

    def received(self, data: bytes) -> None:
        if self.input_closed:
            return
        self.heard_us = self.server.clock.now()
        self.pinged_us = 0
        try:
            for event in self.h2.receive_data(data):
                self.take(event)
                if self.input_closed:
                    break
        except h2.exceptions.ProtocolError as wrong:
            code = getattr(wrong, "error_code", Codes.PROTOCOL_ERROR)
            closed = self.h2.state_machine.state is h2.connection.ConnectionState.CLOSED
            self.turn_out(code, str(wrong), told=closed)
            return
        if not self.input_closed:
            self.check_hoard()
        self.pump()

    def check_hoard(self) -> None:
        if (found := hoards(self.h2)) is not None:
            self.turn_out(*found)

    def take(self, event: h2.events.Event) -> None:
        now = self.heard_us
        match event:
            case h2.events.RequestReceived():
                self.begin(event, now)
            case h2.events.DataReceived():
                self.body(event, now)
            case h2.events.StreamEnded():
                if (stream := self.streams.get(event.stream_id)) is not None:
                    self.whole(stream)
            case h2.events.StreamReset():
                self.reset_by_client(event.stream_id, now)
            case h2.events.WindowUpdated():
                self.bears("window", now)
                self.may_send(event.stream_id)
            case h2.events.RemoteSettingsChanged():
                self.bears("settings", now)
                self.may_send(0)  # windows may have grown
            case h2.events.PingReceived():
                self.bears("ping", now)
            case h2.events.PriorityUpdated():
                self.bears("priority", now)
            case h2.events.TrailersReceived():
                self.bears("empty", now)
            case h2.events.ConnectionTerminated():
                if not self.streams:
                    self.close()

    def bears(self, kind: str, now: int) -> None:
        if not self.input_closed and not self.conduct.bears(kind, now):
            self.turn_out(Codes.ENHANCE_YOUR_CALM, f"too many of a kind: {kind}")

    def begin(self, event: h2.events.RequestReceived, now: int) -> None:
        number = event.stream_id or 0
        if self.leaving == 2:
            self.reset(number, Codes.REFUSED_STREAM)  # it certainly never ran: the client may ask elsewhere
            return
        self.last = max(self.last, number)
        stream = ClientStream(self, number, now)
        self.streams[number] = stream
        pseudo: dict[bytes, bytes] = {}
        cookies: list[bytes] = []
        for name, value in event.headers or []:
            name, value = bytes(name), bytes(value)
            if name.startswith(b":"):
                pseudo[name] = value
            elif name == b"cookie":
                cookies.append(value)
            else:
                stream.fields.append((name, value))
        if cookies:
            stream.fields.append((b"cookie", b"; ".join(cookies)))  # RFC 9113, 8.2.3
        if b":authority" in pseudo and not any(name == b"host" for name, _ in stream.fields):
            stream.fields.insert(0, (b"host", pseudo[b":authority"]))
        stream.start = (pseudo.get(b":method", b""), pseudo.get(b":path", b""))
        stream.headless = stream.start[0] == b"HEAD"
        stream.urgency = urgency_of(next((v for n, v in stream.fields if n == b"priority"), b""))
        why = unfit(stream.start, stream.fields)
        if why:
            self.bears("refused", now)
            stream.send_response(relay.own_response(400, why + b"\n"))

    def body(self, event: h2.events.DataReceived, now: int) -> None:
        number, data = event.stream_id or 0, event.data or b""
        size = event.flow_controlled_length or 0
        stream = self.streams.get(number)
        if not data and event.stream_ended is None:
            self.bears("empty", now)
        if self.input_closed:
            return
        if stream is not None and not stream.answered:
            stream.body += data
            self.held += len(data)
            if len(stream.body) > MAX_BUFFERED_BODY_BYTES:
                self.let_go(stream)
                stream.send_response(relay.own_response(413, b"body too long\n"))
            elif self.held > MOST_HELD:
                self.let_go(stream)
                self.leave(stream)
                self.reset(number, Codes.ENHANCE_YOUR_CALM)
        if size:
            self.h2.acknowledge_received_data(size, number)

    def let_go(self, stream: ClientStream) -> None:
        self.held -= len(stream.body)
        stream.body.clear()

    def whole(self, stream: ClientStream) -> None:
        """The client has ended its side: the request is taken."""
        stream.whole = self.had_request = True
        if stream.answered:
            self.forget_if_done(stream)
            return
        body = bytes(stream.body)
        self.let_go(stream)
        told = [value for name, value in stream.fields if name == b"content-length"]
        if any(not value.isdigit() or int(value) != len(body) for value in told):
            self.leave(
                stream
            )  # malformed (RFC 9113, 8.1.1): one that reads the length would read another body
            self.reset(stream.id, Codes.PROTOCOL_ERROR)
            self.bears("refused", self.heard_us)
            return
        message = Message(stream.start, stream.fields, stream.fields, body)
        if message.start in HEALTH_REQUESTS:
            stream.send_response(self.server.health())
            return
        try:
            opened = self.server.admit(self.server.take_in(message, stream.begun_us), stream)
        except RequestRejected as wrong:
            self.bears("refused", self.heard_us)
            stream.send_response(relay.own_response(wrong.status, f"{wrong}\n".encode()))
            return
        if opened is not None and not opened.finished:
            stream.opened = opened

    def reset_by_client(self, number: int | None, now: int) -> None:
        """The client has left this request: what its class and the settings allow is called off, no more."""
        stream = self.streams.get(number or 0)
        if stream is not None:
            if stream.pending is None or not stream.answered:
                self.bears("reset", now)
            self.leave(stream)
            self.rest()

    def leave(self, stream: ClientStream) -> None:
        """No answer is owed on it any more."""
        self.streams.pop(stream.id, None)
        self.turns.drop(stream.id)
        self.let_go(stream)
        stream.pending, stream.answered = None, True
        opened, stream.opened = stream.opened, None
        if opened is not None:
            self.server.host.client_left(opened)

    def ended(self, why: str) -> None:
        if why and not self.input_closed:
            self.ending = Ending.BROKEN
        self.close()

    # ---- out ---------------------------------------------------------------------------------

    def give(self, stream: ClientStream, answer: Message) -> None:
        """The one answer of a stream, made into frames as windows allow."""
        if self.over or stream.id not in self.streams:
            return
        assert isinstance(answer.start, int)
        fields = [(b":status", b"%d" % answer.start)]
        fields += [
            (name.lower(), value) for name, value in answer.raw_fields if name.lower() not in HOP_BY_HOP
        ]
        fields.append((b"content-length", b"%d" % len(answer.body)))
        body = b"" if stream.headless else answer.body
        try:
            self.h2.send_headers(stream.id, fields, end_stream=not body)
        except h2.exceptions.ProtocolError as wrong:  # closed by the client in the same read
            log.warning("an answer could not be sent", why=wrong)
            self.leave(stream)
            return
        if body:
            stream.pending = memoryview(body)
            stream.since_us = self.server.clock.now()
            self.turns.add(stream.id, stream.urgency)
        else:
            self.sent(stream)
        if not self._pumping:
            self.pump()

    def may_send(self, number: int | None) -> None:
        """A window has grown: of one stream, or of the connection."""
        if number:
            stream = self.streams.get(number)
            if stream is not None and stream.pending is not None:
                self.turns.add(stream.id, stream.urgency)
            return
        for stream in self.streams.values():
            if stream.pending is not None:
                self.turns.add(stream.id, stream.urgency)

    def pump(self) -> None:
        """Frames in turn while the kernel takes them. What waits is the answers themselves, and no more."""
        if self.over or self._pumping:
            return
        self._pumping = True
        try:
            while len(self.turns) and self.link.unsent < HIGH_WATER:
                if not self.frame():
                    break
                if self.h2.outbound_flow_control_window <= 0:
                    break
                if len(self.turns) > 1:
                    self.flush()
            self.flush()
            if self.finished_us and not self.link.unsent:
                self.link.shutdown_write()  # behind the last frame, never before it
        except OSError:
            self.end(Ending.CONNECT_FAILED)
        finally:
            self._pumping = False

    def frame(self) -> bool:
        """One frame of whose turn it is; False if nobody can send."""
        number = self.turns.next()
        if number is None:
            return False
        stream = self.streams[number]
        assert stream.pending is not None
        window = self.h2.local_flow_control_window(number)
        size = min(window, self.h2.max_outbound_frame_size, len(stream.pending))
        if size <= 0:
            self.turns.drop(number)  # out of the ring until its window grows
            return len(self.turns) > 0
        last = size == len(stream.pending)
        self.h2.send_data(number, stream.pending[:size].tobytes(), end_stream=last)
        stream.pending = None if last else stream.pending[size:]
        stream.since_us = self.server.clock.now()
        if last:
            self.sent(stream)
        return True

    def flush(self) -> None:
        data = self.h2.data_to_send()
        if data:
            self.link.write(data)
        self.unread_us = (self.unread_us or self.server.clock.now()) if self.link.unsent else 0

    def sent(self, stream: ClientStream) -> None:
        """All of its answer is in frames."""
        stream.pending = None
        self.turns.drop(stream.id)
        if not stream.whole:
            # Answered before the request had ended: the rest of it is not wanted (RFC 9113, 8.1)
            self.reset(stream.id, Codes.NO_ERROR)
            stream.whole = True
        self.forget_if_done(stream)

    def forget_if_done(self, stream: ClientStream) -> None:
        if stream.answered and stream.pending is None and self.streams.pop(stream.id, None) is not None:
            self.let_go(stream)
            self.rest()

    def rest(self) -> None:
        if not self.streams:
            self.idle_since_us = self.server.clock.now()
            self.server.connection_idle(self)
            if self.leaving == 2:
                self.linger()

    def drained(self) -> None:
        self.unread_us = 0
        self.pump()

    def reset(self, number: int, code: h2.errors.ErrorCodes) -> None:
        with suppress(h2.exceptions.ProtocolError):  # the client was faster
            self.h2.reset_stream(number, code)

    # ---- ends --------------------------------------------------------------------------------

    def turn_out(self, code: int, why: str, told: bool = False) -> None:
        """A connection error: GOAWAY with the code, and nothing more is taken. Open requests are left."""
        log.warning("a client's HTTP/2 connection is ended", why=why, code=int(code))
        self.input_closed = True
        self.ending = Ending.MALFORMED
        if not told:
            self.goaway(self.last, code)
        for stream in list(self.streams.values()):
            self.leave(stream)
        self.linger()

    def goaway(self, last: int, code: int = 0) -> None:
        """Beside h2, which would take no frame after its own: streams that are open go on to their end."""
        self.flush_quietly(GoAwayFrame(0, last_stream_id=last, error_code=int(code)).serialize())

    def flush_quietly(self, data: bytes) -> None:
        if self.over:
            return
        try:
            self.flush()
            self.link.write(data)
        except OSError:
            self.end(Ending.CONNECT_FAILED)

    def drain(self) -> None:
        """The first of two steps: no number is named yet, for requests may be on the way."""
        if not self.leaving and not self.input_closed:
            self.leaving = 1
            self.goaway(LAST_STREAM)

    def close_if_idle(self) -> None:
        """The second step: what is above the last stream taken will be refused, and may be asked
        elsewhere."""
        if self.input_closed:
            return
        if self.leaving < 2:
            self.leaving = 2
            self.goaway(self.last)
        if not self.streams and not self.finished_us:
            self.linger()

    def linger(self) -> None:
        """Say that nothing more comes and let the client close first."""
        if self.over:
            return
        self.input_closed = True
        self.finished_us = self.finished_us or self.server.clock.now()
        self.pump()

    def check_timeouts(self, now_us: int, read_timeout_us: int) -> None:
        if self.finished_us:
            if self.finished_us < now_us - LINGER_US:
                self.close()
            return
        for stream in list(self.streams.values()):
            if not stream.whole and not stream.answered and stream.begun_us < now_us - read_timeout_us:
                stream.send_response(relay.own_response(408, b"request not finished in time\n"))
            elif stream.pending is not None and stream.since_us < now_us - RESPONSE_STALL_TIMEOUT_US:
                self.leave(stream)
                self.reset(stream.id, Codes.CANCEL)  # a window that never opens: guards memory
        if self.unread_us and self.unread_us < now_us - RESPONSE_STALL_TIMEOUT_US:
            self.end(Ending.TIMED_OUT)
        elif not self.had_request and not self.streams and self.idle_since_us < now_us - read_timeout_us:
            self.end(Ending.TIMED_OUT)  # it says nothing, or plays with frames alone
        elif not self.streams and self.idle_since_us < now_us - IDLE_TIMEOUT_US:
            self.close_if_idle()
        elif self.streams and self.heard_us < now_us - PING_US:
            if not self.pinged_us:
                self.pinged_us = now_us
                self.h2.ping(b"millfrnt")
            elif self.pinged_us < now_us - PONG_US:
                self.end(Ending.TIMED_OUT)
        if not self.over:
            self.pump()

    def is_idle(self) -> bool:
        return not self.streams

    def end(self, ending: Ending) -> None:
        self.ending = ending
        self.close()

    def close(self) -> None:
        """Ends the connection; requests that are open are left, each once."""
        if self.over:
            return
        self.over = True
        self.link.close()
        if any(stream.opened is not None for stream in self.streams.values()):
            self.ending = Ending.CLIENT_LEFT
        self.server.connection_closed(self)
        for stream in list(self.streams.values()):
            self.leave(stream)


def hoards(connection: h2.connection.H2Connection) -> tuple[Codes, str] | None:
    """h2 keeps a frame until it is whole, and only then looks at its length; and a header block until it
    ends, of up to 64 frames. Guards memory: both are bounded here as soon as they are seen."""
    waiting = connection.incoming_buffer._data
    blocks = connection.incoming_buffer._headers_buffer
    if len(waiting) >= 3 and int.from_bytes(waiting[:3]) > connection.max_inbound_frame_size:
        return Codes.FRAME_SIZE_ERROR, "a frame longer than allowed"
    if sum(len(block.data) for block in blocks) > 2 * MAX_HEAD_BYTES:
        return Codes.ENHANCE_YOUR_CALM, "a header block without end"
    return None


def unfit(start: tuple[bytes, bytes], fields: Fields) -> bytes:
    """Why a request that h2 lets through may not go on to members that speak HTTP/1.1; nothing if it may.

    A path or a value that reads otherwise there would hide a second request in the first.
    """
    method, path = start
    if not PATH.fullmatch(path):
        return b":path: not the absolute path of a resource"
    if not method.isalpha() or not method.isupper():
        return b":method: not a method"
    if any(not NAME.fullmatch(name) or not VALUE.fullmatch(value) for name, value in fields):
        return b"a field that can't be passed on"
    if any(value != value.strip(b" \t") for _, value in fields):
        return b"a field that can't be passed on"
    if sum(name == b"host" for name, _ in fields) > 1:
        return b"host: more than one"
    return b""
