"""The client side of HTTP/2: a connection with its streams, each an Arrival with one final response.

The library h2 keeps the protocol's state and validates frames; this module turns its events into calls of the
host, and responses into frames. It has no task: it runs when bytes arrive, when the host responds, and in the
virtual server's periodic sweep.
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

from millfront.http2.abuse_limits import RateLimits
from millfront.http2.scheduler import StreamScheduler, parse_urgency
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
PATH_PATTERN = re.compile(rb"/[!-~]*")
FIELD_NAME = re.compile(rb"[-!#$%&'*+.^_`|~0-9a-z]+")
FIELD_VALUE = re.compile(rb"[\t -~\x80-\xff]*")
HIGH_WATER = 64 * 1024  # unsent bytes of the link above which no more frames are made
MAX_UNFINISHED_BODY_BYTES = 1024 * 1024  # incomplete request bodies of all streams of a connection
MAX_STREAM_ID = 2**31 - 1
PING_AFTER_US = 10_000_000  # a connection with open streams gets a PING after that much silence
PING_TIMEOUT_US = 5_000_000  # and is closed if nothing arrives for that long after it
ErrorCodes = h2.errors.ErrorCodes


class ClientStream(MessageCaller):
    """One request and its response; the host's Caller."""

    __slots__ = (
        "answered",
        "body",
        "connection",
        "fields",
        "id",
        "is_head_request",
        "open_request",
        "request_complete",
        "stalled_since_us",
        "start",
        "started_us",
        "unsent_body",
        "urgency",
    )

    def __init__(self, connection: "Http2Connection", stream_id: int, now_us: int) -> None:
        self.connection = connection
        self.id = stream_id
        self.started_us = now_us
        self.start: tuple[bytes, bytes] = (b"", b"")
        self.fields: Fields = []
        self.body = bytearray()
        self.is_head_request = False
        self.request_complete = False  # END_STREAM was received
        self.answered = False
        self.open_request: OpenRequest | None = None
        self.unsent_body: memoryview | None = None  # rest of the response's body, not framed yet
        self.stalled_since_us = 0  # last progress of unsent_body
        self.urgency = 3

    def send_response(self, response: Message) -> None:
        if not self.answered:
            self.answered = True
            self.open_request = None
            self.connection.start_response(self, response)


class Http2Connection:
    """One client's connection. Answers the virtual server for all its streams together (see Connection)."""

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
        self.scheduler = StreamScheduler()
        self.limits = RateLimits(now)
        self.ending = Ending.CLOSED
        self.closed = False
        self.had_request = False  # a request arrived whole
        self.finished_us = 0  # when linger() began; 0: it did not
        self.idle_since_us = now
        # Always 0: each stream has its own started_us for an incomplete request.
        self.request_started_us = 0
        self.input_closed = False
        self.buffered_bytes = 0  # of incomplete request bodies
        self.last_received_us = now
        self.ping_sent_us = 0
        self.last_stream_id = 0  # the highest stream id that was accepted
        self.drain_step = 0  # 1: GOAWAY without a last stream id was sent, 2: with it
        self.blocked_since_us = 0  # since when bytes have waited for the kernel; 0: none do
        self._sending = False
        self.h2.initiate_connection()
        if link is None:
            link = Link(sock, self, server.loop)
        else:
            link.owner = self
        self.link = link
        self.send_frames()

    @property
    def busy(self) -> bool:
        return bool(self.streams)

    # ---- in: events from the link ------------------------------------------------------------

    def received(self, data: bytes) -> None:
        if self.input_closed:
            return
        self.last_received_us = self.server.clock.now()
        self.ping_sent_us = 0
        try:
            for event in self.h2.receive_data(data):
                self.handle_event(event)
                if self.input_closed:
                    break
        except h2.exceptions.ProtocolError as error:
            code = getattr(error, "error_code", ErrorCodes.PROTOCOL_ERROR)
            closed = self.h2.state_machine.state is h2.connection.ConnectionState.CLOSED
            self.fail(code, str(error), goaway_sent=closed)
            return
        if not self.input_closed:
            self.check_buffered_input()
        self.send_frames()

    def check_buffered_input(self) -> None:
        if (found := find_oversized_input(self.h2)) is not None:
            self.fail(*found)

    def handle_event(self, event: h2.events.Event) -> None:
        now = self.last_received_us
        match event:
            case h2.events.RequestReceived():
                self.start_request(event, now)
            case h2.events.DataReceived():
                self.handle_data(event, now)
            case h2.events.StreamEnded():
                if (stream := self.streams.get(event.stream_id)) is not None:
                    self.complete_request(stream)
            case h2.events.StreamReset():
                self.handle_reset(event.stream_id, now)
            case h2.events.WindowUpdated():
                self.charge("window", now)
                self.window_opened(event.stream_id)
            case h2.events.RemoteSettingsChanged():
                self.charge("settings", now)
                self.window_opened(0)  # windows may have grown
            case h2.events.PingReceived():
                self.charge("ping", now)
            case h2.events.PriorityUpdated():
                self.charge("priority", now)
            case h2.events.TrailersReceived():
                self.charge("empty", now)
            case h2.events.ConnectionTerminated():
                if not self.streams:
                    self.close()

    def charge(self, kind: str, now: int) -> None:
        if not self.input_closed and not self.limits.allow(kind, now):
            self.fail(ErrorCodes.ENHANCE_YOUR_CALM, f"rate limit exceeded: {kind}")

    def start_request(self, event: h2.events.RequestReceived, now: int) -> None:
        stream_id = event.stream_id or 0
        if self.drain_step == 2:
            # It never ran, so the client may retry it elsewhere.
            self.reset_stream(stream_id, ErrorCodes.REFUSED_STREAM)
            return
        self.last_stream_id = max(self.last_stream_id, stream_id)
        stream = ClientStream(self, stream_id, now)
        self.streams[stream_id] = stream
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
        stream.is_head_request = stream.start[0] == b"HEAD"
        stream.urgency = parse_urgency(next((v for n, v in stream.fields if n == b"priority"), b""))
        reason = rejection_reason(stream.start, stream.fields)
        if reason:
            self.charge("refused", now)
            stream.send_response(relay.own_response(400, reason + b"\n"))

    def handle_data(self, event: h2.events.DataReceived, now: int) -> None:
        stream_id, data = event.stream_id or 0, event.data or b""
        size = event.flow_controlled_length or 0
        stream = self.streams.get(stream_id)
        if not data and event.stream_ended is None:
            self.charge("empty", now)
        if self.input_closed:
            return
        if stream is not None and not stream.answered:
            stream.body += data
            self.buffered_bytes += len(data)
            if len(stream.body) > MAX_BUFFERED_BODY_BYTES:
                self.discard_body(stream)
                stream.send_response(relay.own_response(413, b"body too long\n"))
            elif self.buffered_bytes > MAX_UNFINISHED_BODY_BYTES:
                self.discard_body(stream)
                self.abandon(stream)
                self.reset_stream(stream_id, ErrorCodes.ENHANCE_YOUR_CALM)
        if size:
            self.h2.acknowledge_received_data(size, stream_id)

    def discard_body(self, stream: ClientStream) -> None:
        self.buffered_bytes -= len(stream.body)
        stream.body.clear()

    def complete_request(self, stream: ClientStream) -> None:
        """END_STREAM has arrived: validates the request and admits it."""
        stream.request_complete = self.had_request = True
        if stream.answered:
            self.remove_if_done(stream)
            return
        body = bytes(stream.body)
        self.discard_body(stream)
        lengths = [value for name, value in stream.fields if name == b"content-length"]
        if any(not value.isdigit() or int(value) != len(body) for value in lengths):
            # Malformed (RFC 9113, 8.1.1): a member that trusts the length would read a different body.
            self.abandon(stream)
            self.reset_stream(stream.id, ErrorCodes.PROTOCOL_ERROR)
            self.charge("refused", self.last_received_us)
            return
        message = Message(stream.start, stream.fields, stream.fields, body)
        if message.start in HEALTH_REQUESTS:
            stream.send_response(self.server.health())
            return
        try:
            open_request = self.server.admit(self.server.take_in(message, stream.started_us), stream)
        except RequestRejected as error:
            self.charge("refused", self.last_received_us)
            stream.send_response(relay.own_response(error.status, f"{error}\n".encode()))
            return
        if open_request is not None and not open_request.finished:
            stream.open_request = open_request

    def handle_reset(self, stream_id: int | None, now: int) -> None:
        """The client cancelled the request: only what its class and the settings allow is cancelled."""
        stream = self.streams.get(stream_id or 0)
        if stream is not None:
            if stream.unsent_body is None or not stream.answered:
                self.charge("reset", now)
            self.abandon(stream)
            self.check_idle()

    def abandon(self, stream: ClientStream) -> None:
        """Drops the stream without a response, and tells the host that its client has left."""
        self.streams.pop(stream.id, None)
        self.scheduler.remove(stream.id)
        self.discard_body(stream)
        stream.unsent_body, stream.answered = None, True
        open_request, stream.open_request = stream.open_request, None
        if open_request is not None:
            self.server.host.client_left(open_request)

    def ended(self, why: str) -> None:
        self.server.connection_ended(self, why)

    # ---- out ---------------------------------------------------------------------------------

    def start_response(self, stream: ClientStream, response: Message) -> None:
        """Sends the one response of a stream, framed as flow-control windows allow."""
        if self.closed or stream.id not in self.streams:
            return
        assert isinstance(response.start, int)
        fields = [(b":status", b"%d" % response.start)]
        fields += [
            (name.lower(), value) for name, value in response.raw_fields if name.lower() not in HOP_BY_HOP
        ]
        fields.append((b"content-length", b"%d" % len(response.body)))
        body = b"" if stream.is_head_request else response.body
        try:
            self.h2.send_headers(stream.id, fields, end_stream=not body)
        except h2.exceptions.ProtocolError as error:  # the client reset it in the same read
            log.warning("could not send a response on an HTTP/2 stream", why=error)
            self.abandon(stream)
            return
        if body:
            stream.unsent_body = memoryview(body)
            stream.stalled_since_us = self.server.clock.now()
            self.scheduler.add(stream.id, stream.urgency)
        else:
            self.response_sent(stream)
        if not self._sending:
            self.send_frames()

    def window_opened(self, stream_id: int | None) -> None:
        """A flow-control window has grown: that of one stream, or with 0 or None that of the connection."""
        if stream_id:
            stream = self.streams.get(stream_id)
            if stream is not None and stream.unsent_body is not None:
                self.scheduler.add(stream.id, stream.urgency)
            return
        for stream in self.streams.values():
            if stream.unsent_body is not None:
                self.scheduler.add(stream.id, stream.urgency)

    def send_frames(self) -> None:
        """Makes frames while the kernel accepts them; what waits is the responses themselves, and no more."""
        if self.closed or self._sending:
            return
        self._sending = True
        try:
            while len(self.scheduler) and self.link.unsent < HIGH_WATER:
                if not self.send_frame():
                    break
                if self.h2.outbound_flow_control_window <= 0:
                    break
                if len(self.scheduler) > 1:
                    self.flush()
            self.flush()
            if self.finished_us and not self.link.unsent:
                self.link.shutdown_write()  # after the last frame, never before it
        except OSError:
            self.end(Ending.CONNECT_FAILED)
        finally:
            self._sending = False

    def send_frame(self) -> bool:
        """Makes one frame of the next scheduled stream; False if none can send."""
        stream_id = self.scheduler.next()
        if stream_id is None:
            return False
        stream = self.streams[stream_id]
        assert stream.unsent_body is not None
        window = self.h2.local_flow_control_window(stream_id)
        size = min(window, self.h2.max_outbound_frame_size, len(stream.unsent_body))
        if size <= 0:
            self.scheduler.remove(stream_id)  # not scheduled until its window grows
            return len(self.scheduler) > 0
        last = size == len(stream.unsent_body)
        self.h2.send_data(stream_id, stream.unsent_body[:size].tobytes(), end_stream=last)
        stream.unsent_body = None if last else stream.unsent_body[size:]
        stream.stalled_since_us = self.server.clock.now()
        if last:
            self.response_sent(stream)
        return True

    def flush(self) -> None:
        data = self.h2.data_to_send()
        if data:
            self.link.write(data)
        self.blocked_since_us = (self.blocked_since_us or self.server.clock.now()) if self.link.unsent else 0

    def response_sent(self, stream: ClientStream) -> None:
        """The whole response was framed."""
        stream.unsent_body = None
        self.scheduler.remove(stream.id)
        if not stream.request_complete:
            # Responded before the request was complete: the rest is not wanted (RFC 9113, 8.1).
            self.reset_stream(stream.id, ErrorCodes.NO_ERROR)
            stream.request_complete = True
        self.remove_if_done(stream)

    def remove_if_done(self, stream: ClientStream) -> None:
        if stream.answered and stream.unsent_body is None and self.streams.pop(stream.id, None) is not None:
            self.discard_body(stream)
            self.check_idle()

    def check_idle(self) -> None:
        if not self.streams:
            self.idle_since_us = self.server.clock.now()
            self.server.connection_idle(self)
            if self.drain_step == 2:
                self.linger()

    def drained(self) -> None:
        self.blocked_since_us = 0
        self.send_frames()

    def reset_stream(self, stream_id: int, code: h2.errors.ErrorCodes) -> None:
        with suppress(h2.exceptions.ProtocolError):  # the client has closed it already
            self.h2.reset_stream(stream_id, code)

    # ---- ends --------------------------------------------------------------------------------

    def fail(self, code: int, why: str, goaway_sent: bool = False) -> None:
        """A connection error: sends GOAWAY with the code, reads no more, and abandons open requests."""
        log.warning("HTTP/2 connection error by a client", why=why, code=int(code))
        self.input_closed = True
        self.ending = Ending.MALFORMED
        if not goaway_sent:
            self.send_goaway(self.last_stream_id, code)
        for stream in list(self.streams.values()):
            self.abandon(stream)
        self.linger()

    def send_goaway(self, last_stream_id: int, code: int = 0) -> None:
        """Bypasses h2, which accepts no frames after its own GOAWAY, so that open streams can finish."""
        self.write_direct(GoAwayFrame(0, last_stream_id=last_stream_id, error_code=int(code)).serialize())

    def write_direct(self, data: bytes) -> None:
        if self.closed:
            return
        try:
            self.flush()
            self.link.write(data)
        except OSError:
            self.end(Ending.CONNECT_FAILED)

    def drain(self) -> None:
        """The first of two GOAWAYs: it names no last stream yet, since requests may be on their way."""
        if not self.drain_step and not self.input_closed:
            self.drain_step = 1
            self.send_goaway(MAX_STREAM_ID)

    def close_if_idle(self) -> None:
        """The second GOAWAY: streams above the last accepted one are refused and may be retried elsewhere."""
        if self.input_closed:
            return
        if self.drain_step < 2:
            self.drain_step = 2
            self.send_goaway(self.last_stream_id)
        if not self.streams and not self.finished_us:
            self.linger()

    def linger(self) -> None:
        """Shuts down writing after the last frame, and lets the client close first."""
        if self.closed:
            return
        self.input_closed = True
        self.finished_us = self.finished_us or self.server.clock.now()
        self.send_frames()

    def check_timeouts(self, now_us: int, read_timeout_us: int) -> None:
        if self.finished_us:
            if self.finished_us < now_us - LINGER_US:
                self.close()
            return
        for stream in list(self.streams.values()):
            if (
                not stream.request_complete
                and not stream.answered
                and stream.started_us < now_us - read_timeout_us
            ):
                stream.send_response(relay.own_response(408, b"request not finished in time\n"))
            elif (
                stream.unsent_body is not None
                and stream.stalled_since_us < now_us - RESPONSE_STALL_TIMEOUT_US
            ):
                self.abandon(stream)
                # Limits the memory held for a client that opens no window.
                self.reset_stream(stream.id, ErrorCodes.CANCEL)
        if self.blocked_since_us and self.blocked_since_us < now_us - RESPONSE_STALL_TIMEOUT_US:
            self.end(Ending.TIMED_OUT)
        elif not self.had_request and not self.streams and self.idle_since_us < now_us - read_timeout_us:
            self.end(Ending.TIMED_OUT)  # silent, or sent frames but never a request
        elif not self.streams and self.idle_since_us < now_us - IDLE_TIMEOUT_US:
            self.close_if_idle()
        elif self.streams and self.last_received_us < now_us - PING_AFTER_US:
            if not self.ping_sent_us:
                self.ping_sent_us = now_us
                self.h2.ping(b"millfrnt")
            elif self.ping_sent_us < now_us - PING_TIMEOUT_US:
                self.end(Ending.TIMED_OUT)
        if not self.closed:
            self.send_frames()

    def is_idle(self) -> bool:
        return not self.streams

    def end(self, ending: Ending) -> None:
        self.ending = ending
        self.close()

    def close(self) -> None:
        """Closes the connection and abandons its open requests, each once."""
        if self.closed:
            return
        self.closed = True
        self.link.close()
        if any(stream.open_request is not None for stream in self.streams.values()):
            self.ending = Ending.CLIENT_LEFT
        self.server.connection_closed(self)
        for stream in list(self.streams.values()):
            self.abandon(stream)


def find_oversized_input(connection: h2.connection.H2Connection) -> tuple[ErrorCodes, str] | None:
    """Returns an error code and a reason if h2 buffers more than is allowed. Limits memory: h2 checks the
    length of a frame only once it is whole, and keeps a header block of up to 64 frames until it ends."""
    waiting = connection.incoming_buffer._data
    blocks = connection.incoming_buffer._headers_buffer
    if len(waiting) >= 3 and int.from_bytes(waiting[:3]) > connection.max_inbound_frame_size:
        return ErrorCodes.FRAME_SIZE_ERROR, "frame longer than SETTINGS_MAX_FRAME_SIZE"
    if sum(len(block.data) for block in blocks) > 2 * MAX_HEAD_BYTES:
        return ErrorCodes.ENHANCE_YOUR_CALM, "header block too long"
    return None


def rejection_reason(start: tuple[bytes, bytes], fields: Fields) -> bytes:
    """Why a request that h2 accepts must not be forwarded to members that speak HTTP/1.1; empty if it may be.

    A path or value that they parse differently could smuggle a second request.
    """
    method, path = start
    if not PATH_PATTERN.fullmatch(path):
        return b":path: not the absolute path of a resource"
    if not method.isalpha() or not method.isupper():
        return b":method: not a method"
    if any(not FIELD_NAME.fullmatch(name) or not FIELD_VALUE.fullmatch(value) for name, value in fields):
        return b"a field that can't be passed on"
    if any(value != value.strip(b" \t") for _, value in fields):
        return b"a field that can't be passed on"
    if sum(name == b"host" for name, _ in fields) > 1:
        return b"host: more than one"
    return b""
