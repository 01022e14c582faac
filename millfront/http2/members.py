"""HTTP/2 to pool members: several attempts on one connection, each a stream that ends once."""

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

from millfront.http2.clients import hoards
from millfront.http2.fleet import Choice, Do, Seen, choose, retire
from millfront.logs import Log
from millfront.node.bodies import Upload
from millfront.node.endings import Ending, ExchangeError
from millfront.node.http import HOP_BY_HOP, MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES, Fields, Message
from millfront.node.link import Link
from millfront.node.members import ConnectCallback, MemberId, Members, PoolMember, ResponseHandler

log = Log(__name__)

FIRST_ALLOWED = 32  # streams on a connection whose settings have not come yet
PING_US = 1_000_000  # a connection with streams that has been silent for so long is asked
PONG_US = 400_000  # and is taken for dead if it has not answered after so much more
WINDOW = 1024 * 1024  # of a connection, inbound: answers are bounded by their streams' own
Codes = h2.errors.ErrorCodes


class MemberStream:
    """One attempt's exchange; for a flow it stands where a connection of HTTP/1.1 does."""

    __slots__ = ("body", "connection", "flow", "head", "id", "over", "pending", "written")

    def __init__(self, connection: "MemberConnection2") -> None:
        self.connection = connection
        self.flow: ResponseHandler | None = None
        self.id = 0  # not begun
        self.head: tuple[int, Fields] | None = None
        self.body = bytearray()
        self.pending = b""  # of the request's body: waits for a window
        self.written = False  # a frame of it is with h2
        self.over = False

    def request(
        self, start: tuple[bytes, bytes], fields: Fields, body: bytes, upload: Upload | None = None
    ) -> None:
        """:raises ExchangeError: CONNECT_FAILED, nothing of it was written"""
        if upload is not None:
            raise ExchangeError(Ending.NOT_SENT, "a body too long for HTTP/2 to members")
        self.connection.begin(self, start, fields, body)

    # Bodies are gathered here, both ways: nothing of them is ever under way.

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
        """The exchange has ended by itself: the connection goes on."""
        return self.over

    def drop(self) -> None:
        """Given up: the member is told, and the connection goes on."""
        self.connection.give_up(self)

    def record_outcome(self, well: bool) -> None:
        pass  # a connection that breaks is seen as a whole


class MemberConnection2:
    """One connection to a member."""

    def __init__(
        self, pool: "Http2Members", member: PoolMember, sock: socket.socket, link: Link | None = None
    ) -> None:
        self.pool = pool
        self.member = member
        self.address = member.address
        now = pool.members.clock.now()
        self.born_us = self.used_us = self.heard_us = now
        self.pinged_us = 0
        self.requests = 0
        self.reserved = 0  # streams handed out and not begun
        self.draining = False
        self.over = False
        self.streams: dict[int, MemberStream] = {}
        self.h2 = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding=None))
        self.h2.local_settings = h2.settings.Settings(
            client=True,
            initial_values={
                h2.settings.SettingCodes.ENABLE_PUSH: 0,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEAD_BYTES,
            },
        )
        # h2 takes no frame after a GOAWAY; streams at or below its last go on (RFC 9113, 6.8)
        self.h2._frame_dispatch_table[GoAwayFrame] = self._told_to_go
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(WINDOW)
        self.link = link or Link(sock, self, asyncio.get_running_loop())
        self.flush()

    def seen(self) -> Seen:
        remote = min(self.h2.remote_settings.max_concurrent_streams, self.pool.streams)
        open_ = len(self.streams) + self.reserved
        return Seen(open_, remote, self.draining, self.born_us, self.used_us, self.requests)

    # ---- out ---------------------------------------------------------------------------------

    def begin(self, stream: MemberStream, start: tuple[bytes, bytes], fields: Fields, body: bytes) -> None:
        self.reserved -= 1
        if self.over or self.draining:
            stream.over = True
            raise ExchangeError(Ending.CONNECT_FAILED, "the connection is draining", retryable=True)
        method, path = start
        told = [(b":method", method), (b":scheme", b"http"), (b":path", path)]
        host = next((value for name, value in fields if name.lower() == b"host"), str(self.address).encode())
        told.append((b":authority", host))
        told += [(n.lower(), v) for n, v in fields if n.lower() not in HOP_BY_HOP and n.lower() != b"host"]
        if body or method == b"POST":
            told.append((b"content-length", b"%d" % len(body)))
        try:
            stream.id = self.h2.get_next_available_stream_id()
            self.h2.send_headers(stream.id, told, end_stream=not body)
        except h2.exceptions.ProtocolError as wrong:  # the member allows fewer by now, or numbers are used up
            stream.over = True
            raise ExchangeError(Ending.CONNECT_FAILED, str(wrong), retryable=True) from None
        self.requests += 1
        stream.written = True
        self.streams[stream.id] = stream
        stream.pending = body
        try:
            self.send_more(stream)
            self.flush()
        except OSError as wrong:
            self.dead(repr(wrong))

    def send_more(self, stream: MemberStream) -> None:
        while stream.pending:
            size = min(self.h2.local_flow_control_window(stream.id), self.h2.max_outbound_frame_size)
            size = min(size, len(stream.pending))
            if size <= 0:
                return
            part, stream.pending = stream.pending[:size], stream.pending[size:]
            self.h2.send_data(stream.id, part, end_stream=not stream.pending)

    def flush(self) -> None:
        if data := self.h2.data_to_send():
            self.link.write(data)

    def drained(self) -> None:
        pass

    def give_up(self, stream: MemberStream) -> None:
        if stream.over:
            return
        stream.over = True
        if not stream.id:
            self.reserved -= 1
        elif self.streams.pop(stream.id, None) is not None and not self.over:
            with suppress(h2.exceptions.ProtocolError):
                self.h2.reset_stream(stream.id, Codes.CANCEL)
            try:
                self.flush()
            except OSError as wrong:
                self.dead(repr(wrong))
        self.rest()

    def rest(self) -> None:
        if not self.streams and not self.reserved and not self.over:
            self.used_us = self.pool.members.clock.now()
            if self.draining:
                self.close()
        self.pool.room(self.member)

    # ---- in ----------------------------------------------------------------------------------

    def received(self, data: bytes) -> None:
        self.heard_us, self.pinged_us = self.pool.members.clock.now(), 0
        try:
            for event in self.h2.receive_data(data):
                self.take(event)
                if self.over:
                    return
            if (found := hoards(self.h2)) is not None:
                raise h2.exceptions.ProtocolError(found[1])
        except h2.exceptions.ProtocolError as wrong:
            log.warning("a pool member spoke nonsense", member=self.member.host, why=wrong)
            with suppress(OSError):
                self.flush()
            self.dead(str(wrong), Ending.MALFORMED)
            return
        try:
            self.flush()
        except OSError as wrong:
            self.dead(repr(wrong))

    def take(self, event: h2.events.Event) -> None:
        match event:
            case h2.events.ResponseReceived():
                if (stream := self.streams.get(event.stream_id or 0)) is not None:
                    fields = [(bytes(n), bytes(v)) for n, v in event.headers or []]
                    status = next((v for n, v in fields if n == b":status"), b"0")
                    stream.head = (int(status), [f for f in fields if not f[0].startswith(b":")])
                    if stream.flow is not None:
                        stream.flow.on_partial_response()
            case h2.events.DataReceived():
                self.data(event)
            case h2.events.StreamEnded():
                self.ended_well(event.stream_id or 0)
            case h2.events.StreamReset():
                self.was_reset(event.stream_id or 0, int(event.error_code or 0))
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                for stream in list(self.streams.values()):
                    self.send_more(stream)
                self.pool.room(self.member)

    def data(self, event: h2.events.DataReceived) -> None:
        number = event.stream_id or 0
        stream = self.streams.get(number)
        if event.flow_controlled_length:
            self.h2.acknowledge_received_data(event.flow_controlled_length, number)
        if stream is None or stream.flow is None:
            return
        stream.body += event.data or b""
        if len(stream.body) > MAX_BUFFERED_BODY_BYTES:
            stream.flow.on_malformed(f"an answer of over {MAX_BUFFERED_BODY_BYTES} bytes")

    def ended_well(self, number: int) -> None:
        stream = self.streams.pop(number, None)
        if stream is None:
            return
        stream.over = True
        flow, unsent = stream.flow, stream.pending
        if unsent:  # answered before it had all of the request: the rest is not wanted
            with suppress(h2.exceptions.ProtocolError):
                self.h2.reset_stream(number, Codes.NO_ERROR)
        if flow is not None and stream.head is not None:
            status, fields = stream.head
            flow.on_response(Message(status, fields, fields, bytes(stream.body)))
        elif flow is not None:
            flow.on_broken(ExchangeError(Ending.MALFORMED, "no answer's head"))
        self.rest()

    def was_reset(self, number: int, code: int) -> None:
        stream = self.streams.pop(number, None)
        if stream is None:
            return
        stream.over = True
        if stream.flow is not None:
            stream.flow.on_broken(ExchangeError(reset_ending(code), f"reset with {code}"))
        self.rest()

    def _told_to_go(self, frame: Any) -> tuple[list[Any], list[Any]]:
        """The member drains: nothing new on this connection, and what lies above its last stream never
        ran."""
        self.draining = True
        for number in sorted(n for n in self.streams if n > frame.last_stream_id):
            stream = self.streams.pop(number)
            stream.over = True
            if stream.flow is not None:
                stream.flow.on_broken(
                    ExchangeError(Ending.CONNECT_FAILED, "above the last stream told", retryable=True)
                )
        asyncio.get_running_loop().call_soon(self.rest)
        return [], []

    def ended(self, why: str) -> None:
        self.dead(why or "ended")

    def dead(self, why: str, ending: Ending = Ending.BROKEN) -> None:
        """Each attempt ends once: what a frame was written of may have run."""
        if self.over:
            return
        streams, self.streams = self.streams, {}
        self.close()
        for stream in streams.values():
            stream.over = True
            if stream.flow is not None:
                stream.flow.on_broken(ExchangeError(ending, why))

    def close(self) -> None:
        if not self.over:
            self.over = self.draining = True
            self.link.close()
            self.pool.gone(self)

    def look(self, now: int) -> None:
        """Some times a second: a silent connection is found before the deadlines of what is out on it."""
        if not self.member.ready or self.address != self.member.address:
            self.draining = True
        if self.draining and not self.streams and not self.reserved:
            self.close()
        elif self.streams and self.heard_us < now - PING_US:
            if not self.pinged_us:
                self.pinged_us = now
                self.h2.ping(b"millfrnt")
                try:
                    self.flush()
                except OSError as wrong:
                    self.dead(repr(wrong))
            elif self.pinged_us < now - PONG_US:
                self.dead("silent")


def reset_ending(code: int) -> Ending:
    """REFUSED_STREAM says that it never ran (RFC 9113, 8.7); any other reset may come after it did."""
    return Ending.NOT_STARTED if code == Codes.REFUSED_STREAM else Ending.BROKEN


class Http2Members:
    """The connections to members that speak HTTP/2; takes the place of the idle ones for these."""

    def __init__(self, members: Members, streams: int, most: int) -> None:
        self.members = members
        self.streams = streams
        self.most = most
        self.connections: dict[MemberId, list[MemberConnection2]] = {}
        self.dialling: dict[MemberId, int] = {}
        self.waiting: dict[MemberId, list[ConnectCallback]] = {}

    def obtain(self, member: PoolMember, up: ConnectCallback) -> "MemberStream | Callable[[], None]":
        """A stream at once, or what gives the wait for one up.

        :raises ExchangeError: NOT_SENT, all connections are full
        """
        choice = self._choose(member)
        if choice.do is Do.USE:
            return self._stream(member, choice)
        if choice.do is Do.FULL:
            raise ExchangeError(Ending.NOT_SENT, "all streams are in use")
        waiting = self.waiting.setdefault(member.id, [])
        waiting.append(up)
        if choice.do is Do.DIAL:
            try:
                self._dial(member)
            except ExchangeError:
                waiting.remove(up)
                raise

        def give_up() -> None:
            if up in waiting:
                waiting.remove(up)

        return give_up

    def _choose(self, member: PoolMember) -> Choice:
        seen = [connection.seen() for connection in self.connections.get(member.id, [])]
        dialling, waiting = self.dialling.get(member.id, 0), len(self.waiting.get(member.id, []))
        return choose(seen, dialling, waiting, min(FIRST_ALLOWED, self.streams), self.most)

    def _stream(self, member: PoolMember, choice: Choice) -> MemberStream:
        connection = self.connections[member.id][choice.which]
        connection.reserved += 1
        return MemberStream(connection)

    def _dial(self, member: PoolMember) -> None:
        def up(sock: socket.socket | None, ended: ExchangeError | None) -> None:
            self.dialling[member.id] -= 1
            if sock is not None:
                made = MemberConnection2(self, member, sock)
                self.connections.setdefault(member.id, []).append(made)
                self.room(member)
                return
            waiting = self.waiting.pop(member.id, []) if not self.dialling[member.id] else []
            for one in waiting:
                one(None, ended)

        self.members.connect_socket(member, up)
        self.dialling[member.id] = self.dialling.get(member.id, 0) + 1

    def room(self, member: PoolMember) -> None:
        """There may be room for attempts that wait."""
        waiting = self.waiting.get(member.id)
        while waiting and (choice := self._choose(member)).do is Do.USE:
            waiting.pop(0)(self._stream(member, choice), None)

    def gone(self, connection: MemberConnection2) -> None:
        held = self.connections.get(connection.member.id, [])
        if connection in held:
            held.remove(connection)
            self.members.connection_count -= 1
        if not held:
            self.connections.pop(connection.member.id, None)

    def look(self) -> None:
        now = self.members.clock.now()
        for held in list(self.connections.values()):
            for position in retire([connection.seen() for connection in held], now):
                held[position].draining = True
            for connection in list(held):
                connection.look(now)
