"""HTTP/2 to pool members: several attempts share a connection; each is a stream that ends exactly once."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from hyperframe.frame import GoAwayFrame

from millfront.http2.clients import find_oversized_input
from millfront.http2.connection_choice import Action, Choice, ConnectionState, choose, find_retirable
from millfront.logs import Log
from millfront.node.bodies import Upload
from millfront.node.endings import Ending, ExchangeError
from millfront.node.http import HOP_BY_HOP, MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES, Fields, Message
from millfront.node.link import Link
from millfront.node.members import ConnectCallback, MemberId, Members, PoolMember, ResponseHandler

log = Log(__name__)

INITIAL_MAX_STREAMS = 32  # streams that a new connection is assumed to allow before its SETTINGS arrive
PING_AFTER_US = 1_000_000  # a connection with open streams gets a PING after that much silence
PING_TIMEOUT_US = 400_000  # and is closed as dead if nothing arrives for that long after it
CONNECTION_WINDOW_BYTES = 1024 * 1024  # inbound; each response is limited by its stream's window
ErrorCodes = h2.errors.ErrorCodes


class MemberStream:
    """One attempt's stream; serves a ResponseHandler in place of an HTTP/1.1 connection."""

    __slots__ = ("body", "connection", "finished", "flow", "id", "response_head", "unsent_body", "written")

    def __init__(self, connection: "Http2MemberConnection") -> None:
        self.connection = connection
        self.flow: ResponseHandler | None = None
        self.id = 0  # 0: request not sent yet
        self.response_head: tuple[int, Fields] | None = None
        self.body = bytearray()
        self.unsent_body = b""  # rest of the request's body, waits for a flow-control window
        self.written = False  # the request's HEADERS were handed to h2
        self.finished = False

    def request(
        self, start: tuple[bytes, bytes], fields: Fields, body: bytes, upload: Upload | None = None
    ) -> None:
        """:raises ExchangeError: NOT_SENT or CONNECT_FAILED; nothing of it was written"""
        if upload is not None:
            raise ExchangeError(Ending.NOT_SENT, "request body too long to buffer for HTTP/2")
        self.connection.send_request(self, start, fields, body)

    # Bodies are buffered whole in both directions, so there is nothing to pause, resume or deliver in part.

    def pause(self) -> None:
        pass

    def resume(self) -> None:
        pass

    def deliver_buffered(self) -> None:
        pass

    def deliver_partial(self) -> None:
        pass

    def request_flushed(self) -> bool:
        return True

    def release(self) -> bool:
        """True if the exchange has ended by itself; the connection stays in use."""
        return self.finished

    def drop(self) -> None:
        """Gives the exchange up: resets the stream; the connection stays in use."""
        self.connection.cancel(self)

    def record_outcome(self, ok: bool) -> None:
        pass  # a shared connection breaks as a whole, not by the outcome of one exchange


class Http2MemberConnection:
    """One HTTP/2 connection to a member."""

    def __init__(
        self, pool: "Http2Members", member: PoolMember, sock: socket.socket, link: Link | None = None
    ) -> None:
        self.pool = pool
        self.member = member
        self.address = member.address
        now = pool.members.clock.now()
        self.created_us = self.idle_since_us = self.last_received_us = now
        self.ping_sent_us = 0
        self.requests = 0
        self.reserved = 0  # streams handed out whose request was not sent yet
        self.draining = False
        self.closed = False
        self.streams: dict[int, MemberStream] = {}
        self.h2 = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding=None))
        self.h2.local_settings = h2.settings.Settings(
            client=True,
            initial_values={
                h2.settings.SettingCodes.ENABLE_PUSH: 0,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEAD_BYTES,
            },
        )
        # h2 accepts no frame after a GOAWAY, but streams up to its last stream id continue (RFC 9113, 6.8)
        self.h2._frame_dispatch_table[GoAwayFrame] = self._handle_goaway
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(CONNECTION_WINDOW_BYTES)
        self.link = link or Link(sock, self, asyncio.get_running_loop())
        self.flush()

    def state(self) -> ConnectionState:
        remote = min(self.h2.remote_settings.max_concurrent_streams, self.pool.max_streams)
        open_ = len(self.streams) + self.reserved
        return ConnectionState(
            open_, remote, self.draining, self.created_us, self.idle_since_us, self.requests
        )

    # ---- out ---------------------------------------------------------------------------------

    def send_request(
        self, stream: MemberStream, start: tuple[bytes, bytes], fields: Fields, body: bytes
    ) -> None:
        self.reserved -= 1
        if self.closed or self.draining:
            stream.finished = True
            raise ExchangeError(Ending.CONNECT_FAILED, "the connection is closed or draining", retryable=True)
        method, path = start
        headers = [(b":method", method), (b":scheme", b"http"), (b":path", path)]
        host = next((value for name, value in fields if name.lower() == b"host"), str(self.address).encode())
        headers.append((b":authority", host))
        headers += [(n.lower(), v) for n, v in fields if n.lower() not in HOP_BY_HOP and n.lower() != b"host"]
        if body or method == b"POST":
            headers.append((b"content-length", b"%d" % len(body)))
        try:
            stream.id = self.h2.get_next_available_stream_id()
            self.h2.send_headers(stream.id, headers, end_stream=not body)
        except h2.exceptions.ProtocolError as error:  # the member lowered its limit, or stream ids ran out
            stream.finished = True
            raise ExchangeError(Ending.CONNECT_FAILED, str(error), retryable=True) from None
        self.requests += 1
        stream.written = True
        self.streams[stream.id] = stream
        stream.unsent_body = body
        try:
            self.send_body(stream)
            self.flush()
        except OSError as error:
            self.fail(repr(error))

    def send_body(self, stream: MemberStream) -> None:
        while stream.unsent_body:
            size = min(self.h2.local_flow_control_window(stream.id), self.h2.max_outbound_frame_size)
            size = min(size, len(stream.unsent_body))
            if size <= 0:
                return
            part, stream.unsent_body = stream.unsent_body[:size], stream.unsent_body[size:]
            self.h2.send_data(stream.id, part, end_stream=not stream.unsent_body)

    def flush(self) -> None:
        if data := self.h2.data_to_send():
            self.link.write(data)

    def drained(self) -> None:
        pass

    def cancel(self, stream: MemberStream) -> None:
        if stream.finished:
            return
        stream.finished = True
        if not stream.id:
            self.reserved -= 1
        elif self.streams.pop(stream.id, None) is not None and not self.closed:
            with suppress(h2.exceptions.ProtocolError):
                self.h2.reset_stream(stream.id, ErrorCodes.CANCEL)
            try:
                self.flush()
            except OSError as error:
                self.fail(repr(error))
        self.stream_ended()

    def stream_ended(self) -> None:
        if not self.streams and not self.reserved and not self.closed:
            self.idle_since_us = self.pool.members.clock.now()
            if self.draining:
                self.close()
        self.pool.assign_waiting(self.member)

    # ---- in ----------------------------------------------------------------------------------

    def received(self, data: bytes) -> None:
        self.last_received_us, self.ping_sent_us = self.pool.members.clock.now(), 0
        try:
            for event in self.h2.receive_data(data):
                self.handle_event(event)
                if self.closed:
                    return
            if (found := find_oversized_input(self.h2)) is not None:
                raise h2.exceptions.ProtocolError(found[1])
        except h2.exceptions.ProtocolError as error:
            log.warning("HTTP/2 protocol error by a pool member", member=self.member.host, why=error)
            with suppress(OSError):
                self.flush()
            self.fail(str(error), Ending.MALFORMED)
            return
        try:
            self.flush()
        except OSError as error:
            self.fail(repr(error))

    def handle_event(self, event: h2.events.Event) -> None:
        match event:
            case h2.events.ResponseReceived():
                if (stream := self.streams.get(event.stream_id or 0)) is not None:
                    fields = [(bytes(n), bytes(v)) for n, v in event.headers or []]
                    status = next((v for n, v in fields if n == b":status"), b"0")
                    stream.response_head = (int(status), [f for f in fields if not f[0].startswith(b":")])
                    if stream.flow is not None:
                        stream.flow.on_partial_response()
            case h2.events.DataReceived():
                self.handle_data(event)
            case h2.events.StreamEnded():
                self.complete_stream(event.stream_id or 0)
            case h2.events.StreamReset():
                self.handle_reset(event.stream_id or 0, int(event.error_code or 0))
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                for stream in list(self.streams.values()):
                    self.send_body(stream)
                self.pool.assign_waiting(self.member)

    def handle_data(self, event: h2.events.DataReceived) -> None:
        stream_id = event.stream_id or 0
        stream = self.streams.get(stream_id)
        if event.flow_controlled_length:
            self.h2.acknowledge_received_data(event.flow_controlled_length, stream_id)
        if stream is None or stream.flow is None:
            return
        stream.body += event.data or b""
        if len(stream.body) > MAX_BUFFERED_BODY_BYTES:
            stream.flow.on_malformed(f"response body over {MAX_BUFFERED_BODY_BYTES} bytes")

    def complete_stream(self, stream_id: int) -> None:
        stream = self.streams.pop(stream_id, None)
        if stream is None:
            return
        stream.finished = True
        flow, unsent = stream.flow, stream.unsent_body
        if unsent:  # answered before the whole request was sent: the rest is not wanted
            with suppress(h2.exceptions.ProtocolError):
                self.h2.reset_stream(stream_id, ErrorCodes.NO_ERROR)
        if flow is not None and stream.response_head is not None:
            status, fields = stream.response_head
            flow.on_response(Message(status, fields, fields, bytes(stream.body)))
        elif flow is not None:
            flow.on_broken(ExchangeError(Ending.MALFORMED, "stream ended without a response head"))
        self.stream_ended()

    def handle_reset(self, stream_id: int, code: int) -> None:
        stream = self.streams.pop(stream_id, None)
        if stream is None:
            return
        stream.finished = True
        if stream.flow is not None:
            stream.flow.on_broken(
                ExchangeError(reset_ending(code), f"stream reset by the member with error code {code}")
            )
        self.stream_ended()

    def _handle_goaway(self, frame: Any) -> tuple[list[Any], list[Any]]:
        """The member drains: no new streams on this connection; those above the last stream id never ran."""
        self.draining = True
        for stream_id in sorted(n for n in self.streams if n > frame.last_stream_id):
            stream = self.streams.pop(stream_id)
            stream.finished = True
            if stream.flow is not None:
                stream.flow.on_broken(
                    ExchangeError(
                        Ending.CONNECT_FAILED, "stream id above the GOAWAY's last stream id", retryable=True
                    )
                )
        asyncio.get_running_loop().call_soon(self.stream_ended)
        return [], []

    def ended(self, why: str) -> None:
        self.fail(why or "ended")

    def fail(self, why: str, ending: Ending = Ending.BROKEN) -> None:
        """Closes the connection and ends each of its attempts once. They may have run."""
        if self.closed:
            return
        streams, self.streams = self.streams, {}
        self.close()
        for stream in streams.values():
            stream.finished = True
            if stream.flow is not None:
                stream.flow.on_broken(ExchangeError(ending, why))

    def close(self) -> None:
        if not self.closed:
            self.closed = self.draining = True
            self.link.close()
            self.pool.remove(self)

    def check(self, now: int) -> None:
        """Called several times a second, to find a dead connection before its requests' deadlines."""
        if not self.member.ready or self.address != self.member.address:
            self.draining = True
        if self.draining and not self.streams and not self.reserved:
            self.close()
        elif self.streams and self.last_received_us < now - PING_AFTER_US:
            if not self.ping_sent_us:
                self.ping_sent_us = now
                self.h2.ping(b"millfrnt")
                try:
                    self.flush()
                except OSError as error:
                    self.fail(repr(error))
            elif self.ping_sent_us < now - PING_TIMEOUT_US:
                self.fail("silent")


def reset_ending(code: int) -> Ending:
    """REFUSED_STREAM means that the request never ran (RFC 9113, 8.7); after any other reset it may have."""
    return Ending.NOT_STARTED if code == ErrorCodes.REFUSED_STREAM else Ending.BROKEN


class Http2Members:
    """Connections to members that speak HTTP/2; used in place of the pool of idle HTTP/1.1 connections."""

    def __init__(self, members: Members, max_streams: int, max_connections: int) -> None:
        self.members = members
        self.max_streams = max_streams
        self.max_connections = max_connections
        self.connections: dict[MemberId, list[Http2MemberConnection]] = {}
        self.connecting: dict[MemberId, int] = {}
        self.waiting: dict[MemberId, list[ConnectCallback]] = {}

    def obtain(
        self, member: PoolMember, on_connected: ConnectCallback
    ) -> "MemberStream | Callable[[], None]":
        """Returns a stream, or a function that cancels the wait for one.

        :raises ExchangeError: NOT_SENT, all connections are full; or that of a failed connect
        """
        choice = self._choose(member)
        if choice.action is Action.USE:
            return self._reserve_stream(member, choice)
        if choice.action is Action.FULL:
            raise ExchangeError(Ending.NOT_SENT, "all streams of all connections to the member are in use")
        waiting = self.waiting.setdefault(member.id, [])
        waiting.append(on_connected)
        if choice.action is Action.CONNECT:
            try:
                self._connect(member)
            except ExchangeError:
                waiting.remove(on_connected)
                raise

        def give_up() -> None:
            if on_connected in waiting:
                waiting.remove(on_connected)

        return give_up

    def _choose(self, member: PoolMember) -> Choice:
        states = [connection.state() for connection in self.connections.get(member.id, [])]
        connecting, waiting = self.connecting.get(member.id, 0), len(self.waiting.get(member.id, []))
        return choose(
            states, connecting, waiting, min(INITIAL_MAX_STREAMS, self.max_streams), self.max_connections
        )

    def _reserve_stream(self, member: PoolMember, choice: Choice) -> MemberStream:
        connection = self.connections[member.id][choice.index]
        connection.reserved += 1
        return MemberStream(connection)

    def _connect(self, member: PoolMember) -> None:
        def on_done(sock: socket.socket | None, error: ExchangeError | None) -> None:
            self.connecting[member.id] -= 1
            if sock is not None:
                connection = Http2MemberConnection(self, member, sock)
                self.connections.setdefault(member.id, []).append(connection)
                self.assign_waiting(member)
                return
            waiting = self.waiting.pop(member.id, []) if not self.connecting[member.id] else []
            for callback in waiting:
                callback(None, error)

        self.members.connect_socket(member, on_done)
        self.connecting[member.id] = self.connecting.get(member.id, 0) + 1

    def assign_waiting(self, member: PoolMember) -> None:
        """Gives streams to waiting attempts while there is room."""
        waiting = self.waiting.get(member.id)
        while waiting and (choice := self._choose(member)).action is Action.USE:
            waiting.pop(0)(self._reserve_stream(member, choice), None)

    def remove(self, connection: Http2MemberConnection) -> None:
        connections = self.connections.get(connection.member.id, [])
        if connection in connections:
            connections.remove(connection)
            self.members.connection_count -= 1
        if not connections:
            self.connections.pop(connection.member.id, None)

    def check_connections(self) -> None:
        now = self.members.clock.now()
        for connections in list(self.connections.values()):
            for index in find_retirable([connection.state() for connection in connections], now):
                connections[index].draining = True
            for connection in list(connections):
                connection.check(now)
