"""The pool members (page servers) and the connections to them."""

import asyncio
import socket
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from millfront.node.bodies import Upload
from millfront.node.config import Address
from millfront.node.endings import Ending, ExchangeError
from millfront.node.host import Clock
from millfront.node.http import Fields, Message, connect_error
from millfront.node.http1 import LAST_CHUNK, ResponseParser, encode_chunk, request_bytes
from millfront.node.link import ConnectAttempt, Link

IDLE_SHARE = 0.5  # of KeepaliveUs: a request written after the member has closed counts as a reset
MAX_BROKEN_SHARE = 0.15  # of the requests on connections that were idle for a given time
MIN_BROKEN = 3.0  # broken requests; below that the share is not significant
BUCKETS = 32  # of idle times, up to half an hour
DECAY = 0.99  # of the counts, each sweep: an idle time is tried again after a minute or so
SWEEP_INTERVAL_S = 0.5


MemberId = int | str  # a number from the list, or the name of one incarnation of a server


@dataclass(eq=False, slots=True)
class PoolMember:
    id: MemberId
    host: str
    address: Address
    ready: bool = True  # neither draining nor gone, as far as the list says
    stopped_us: int = 0
    idle_connections: "list[MemberConnection]" = field(default_factory=list)  # the most recently used last


class ResponseHandler(Protocol):
    """Handles the response to a request on a connection."""

    streaming: bool  # a response is being forwarded

    def on_partial_response(self) -> None: ...
    def on_response_head(self, response: Message) -> None:
        """A response too long to buffer: its head, and what has arrived of its body."""

    def on_body(self, data: bytes, last: bool) -> None:
        """The next part of its body."""

    def on_body_progress(self) -> None:
        """All that was written of the request's body so far is with the kernel."""

    def on_response(self, response: Message) -> None: ...
    def on_malformed(self, why: str) -> None: ...
    def on_broken(self, error: ExchangeError) -> None: ...


class Exchange(Protocol):
    """Carries one request to a member and its response back: a connection, or a stream on one."""

    flow: ResponseHandler | None

    def request(
        self, start: tuple[bytes, bytes], fields: Fields, body: bytes, upload: Upload | None = None
    ) -> None:
        """Writes it, and its body as it arrives. Raises ExchangeError: CONNECT_FAILED, nothing of it ran."""

    def pause(self) -> None:
        """Delivers no more of a response until resumed."""

    def resume(self) -> None: ...

    def deliver_buffered(self) -> None:
        """Delivers what arrived together with a response's head, or while paused."""

    def deliver_partial(self) -> None:
        """Delivers what has arrived so far of a response without a length."""

    def request_flushed(self) -> bool:
        """Whether nothing of the request is waiting to be accepted by the member."""
        ...

    def release(self) -> bool:
        """The response is complete. False: not reusable, and the caller must drop() it."""
        ...

    def drop(self) -> None:
        """Gives the exchange up; the member sees its connection closed or its stream reset."""

    def record_outcome(self, ok: bool) -> None:
        """Records whether the request that was written on it succeeded, for IdleReuseStats."""


ConnectCallback = Callable[[Exchange | None, ExchangeError | None], None]


class SharedConnections(Protocol):
    """Connections that carry several exchanges at once. See Members.obtain()."""

    def obtain(self, member: PoolMember, on_connected: ConnectCallback) -> Exchange | Callable[[], None]: ...


class MemberConnection:
    """One HTTP/1.1 connection, one request at a time."""

    __slots__ = (
        "address",
        "flow",
        "idle_since_us",
        "idle_us",
        "link",
        "member",
        "members",
        "parser",
        "request_size",
        "request_written",
        "upload",
    )

    def __init__(self, members: "Members", member: PoolMember, sock: socket.socket) -> None:
        self.members = members
        self.member = member
        self.address = member.address
        self.parser = ResponseParser()
        self.flow: ResponseHandler | None = None
        self.request_written = False  # the request's last byte is with the kernel
        self.request_size = 0  # bytes of the request that were passed to the link
        self.upload: Upload | None = None  # the rest of the request's body
        self.idle_since_us = 0
        self.idle_us = 0  # how long it was idle before this request; 0: new
        self.link = Link(sock, self, asyncio.get_running_loop())

    def request(
        self, start: tuple[bytes, bytes], fields: Fields, body: bytes, upload: Upload | None = None
    ) -> None:
        """:raises ExchangeError: CONNECT_FAILED, it broke before the last byte was written"""
        length = len(body) if upload is None else upload.length
        if length is None:
            fields = [*fields, (b"Transfer-Encoding", b"chunked")]
            body = encode_chunk(body)
        elif length > len(body):
            fields = [*fields, (b"Content-Length", b"%d" % length)]
        elif body or start[0] == b"POST":
            fields = [*fields, (b"Content-Length", b"%d" % len(body))]
        request = request_bytes(start, fields, body)
        self.parser.expect(start[0])
        self.request_written, self.upload, self.request_size = False, upload, len(request)
        try:
            self.link.write(request)
        except OSError as error:
            raise ExchangeError(Ending.CONNECT_FAILED, repr(error), retryable=True) from None
        if upload is not None:
            upload.attach(self)
        else:
            self.request_written = not self.link.unsent

    def write_body(self, data: bytes, last: bool) -> bool:
        """Writes more of the request's body. The link's reading side reports a broken connection."""
        upload = self.upload
        if upload is None or self.link.closed:
            return True
        if upload.length is None:
            data = encode_chunk(data) + (LAST_CHUNK if last else b"")
        try:
            if data:
                self.request_size += len(data)
                self.link.write(data)
        except OSError as error:
            self.ended(repr(error))
            return True
        if not self.link.unsent:
            self.drained()
        return not self.link.unsent

    def request_flushed(self) -> bool:
        return not self.link.unsent

    def pause(self) -> None:
        self.link.pause()

    def resume(self) -> None:
        self.link.resume()

    def release(self) -> bool:
        return self.members.release(self)

    def drop(self) -> None:
        self.members.drop(self)

    def record_outcome(self, ok: bool) -> None:
        if self.idle_us:
            self.members.idle_reuse.record(self.idle_us, ok)

    def drained(self) -> None:
        upload, flow = self.upload, self.flow
        if upload is None:
            self.request_written = True
            return
        self.request_written = upload.ended
        if flow is not None:
            flow.on_body_progress()
        upload.drained(self)

    def received(self, data: bytes) -> None:
        flow = self.flow
        if flow is None:  # no request is open: the next response could not be trusted
            self.members.connection_lost(self)
            return
        try:
            if self.parser.body_pending:
                part = self.parser.read_body(data)
                flow.on_body(part, not self.parser.body_pending)
                return
            response = self.parser.feed(data)
        except ExchangeError as error:
            self._fail(flow, error)
            return
        if response is None:
            flow.on_partial_response()
        elif response.body_incomplete:
            flow.on_response_head(response)
        else:
            flow.on_response(response)

    def deliver_buffered(self) -> None:
        """Delivers what arrived with the response's head, once the head has been forwarded."""
        if self.flow is not None and self.parser.body_pending and not self.link.closed:
            try:
                data = self.parser.read_body(b"")
            except ExchangeError as error:
                self._fail(self.flow, error)
                return
            self.flow.on_body(data, not self.parser.body_pending)

    def deliver_partial(self) -> None:
        """Delivers what has arrived of a response without a length."""
        if self.flow is not None and (response := self.parser.partial_response()) is not None:
            self.flow.on_response_head(response)

    def ended(self, why: str) -> None:
        flow = self.flow
        if flow is None:
            self.members.connection_lost(self)
            return
        if not self.request_written:
            partially_sent = self.link.unsent < self.request_size
            flow.on_broken(
                ExchangeError(
                    Ending.CONNECT_FAILED, why or "ended", retryable=True, partially_sent=partially_sent
                )
            )
            return
        if why:
            flow.on_broken(ExchangeError(Ending.BROKEN, why))
            return
        try:
            response = self.parser.end_of_stream()
        except ExchangeError as error:
            self._fail(flow, error)
            return
        assert response is not None
        if flow.streaming:
            flow.on_body(response.body, True)
        else:
            flow.on_response(response)

    def _fail(self, flow: ResponseHandler, error: ExchangeError) -> None:
        if error.ending is Ending.MALFORMED:
            flow.on_malformed(str(error))
        else:
            flow.on_broken(error)


class IdleReuseStats:
    """Outcomes of requests on reused connections, by the connection's idle time in powers of two. Guards
    against members, or middleboxes, that silently drop an idle connection sooner than the settings say: the
    next request on it fails, and may have run."""

    def __init__(self) -> None:
        self._broken, self._all = [0.0] * BUCKETS, [0.0] * BUCKETS

    @staticmethod
    def bucket(idle_us: int) -> int:
        return min(idle_us.bit_length(), BUCKETS - 1)

    def record(self, idle_us: int, ok: bool) -> None:
        self._all[self.bucket(idle_us)] += 1.0
        self._broken[self.bucket(idle_us)] += not ok

    def is_unreliable(self, idle_us: int) -> bool:
        broken, seen = self._broken[self.bucket(idle_us)], self._all[self.bucket(idle_us)]
        return broken >= MIN_BROKEN and broken > MAX_BROKEN_SHARE * seen

    def decay(self) -> None:
        self._broken = [count * DECAY for count in self._broken]
        self._all = [count * DECAY for count in self._all]


class Members:
    def __init__(
        self, clock: Clock, connect_timeout_us: int, keepalive_us: int, max_connections: int
    ) -> None:
        self.clock = clock
        self.set_timeouts(connect_timeout_us, keepalive_us)
        self.max_connections = max_connections
        self.idle_reuse = IdleReuseStats()
        self.connection_count = 0
        self.shared: SharedConnections | None = None  # set if members speak HTTP/2
        self._by_id: dict[MemberId, PoolMember] = {}
        # Of all members, the longest idle first
        self._idle: OrderedDict[MemberConnection, None] = OrderedDict()

    def set_timeouts(self, connect_timeout_us: int, keepalive_us: int) -> None:
        self.connect_timeout_us = connect_timeout_us
        self.max_idle_us = int(keepalive_us * IDLE_SHARE)

    # ---- updates from the pool ---------------------------------------------------------------

    def get(self, member: MemberId) -> PoolMember | None:
        return self._by_id.get(member)

    def set_ready(self, member: MemberId, host: str, address: Address) -> None:
        entry = self._by_id.get(member)
        if entry is None:
            self._by_id[member] = PoolMember(member, host, address)
            return
        entry.ready = True
        entry.address = address  # connections to the old address are not reused

    def set_stopped(self, member: MemberId) -> None:
        entry = self._by_id.get(member)
        if entry is not None and entry.ready:
            entry.ready, entry.stopped_us = False, self.clock.now()

    def forget(self, before_us: int) -> None:
        """Forgets the members that stopped before that time. Flows in progress keep theirs."""
        for member in list(self._by_id.values()):
            if not member.ready and member.stopped_us < before_us and not member.idle_connections:
                del self._by_id[member.id]

    def any_ready(self) -> bool:
        return any(member.ready for member in self._by_id.values())

    # ---- connections -------------------------------------------------------------------------

    def obtain(self, member: PoolMember, on_connected: ConnectCallback) -> Exchange | Callable[[], None]:
        """An exchange if one is available. Otherwise sets one up, calls `on_connected` with it, and returns a
        function that cancels this.

        :raises ExchangeError: none can be had
        """
        if self.shared is not None:
            return self.shared.obtain(member, on_connected)
        return self.take_idle(member) or self.connect(member, on_connected)

    def take_idle(self, member: PoolMember) -> MemberConnection | None:
        """The most recently used idle connection that is fit for reuse, or None."""
        while member.idle_connections:
            found = member.idle_connections.pop()
            del self._idle[found]
            # Nothing may be unread on it: a second response or noise would be taken for the next request's
            # response. The caller writes at once, so nothing can arrive in between.
            found.idle_us = self.clock.now() - found.idle_since_us
            if (
                found.address == member.address
                and found.link.nothing_to_read()
                and not self.idle_reuse.is_unreliable(found.idle_us)
            ):
                return found
            self.drop(found)
        return None

    def connect(self, member: PoolMember, on_connected: ConnectCallback) -> Callable[[], None]:
        """Sets up a new HTTP/1.1 connection; returns a function that cancels this."""

        def on_socket(sock: socket.socket | None, error: ExchangeError | None) -> None:
            on_connected(MemberConnection(self, member, sock) if sock is not None else None, error)

        return self.connect_socket(member, on_socket)

    def connect_socket(
        self, member: PoolMember, on_done: Callable[[socket.socket | None, ExchangeError | None], None]
    ) -> Callable[[], None]:
        """Connects a socket to the member; returns a function that cancels this. Unless cancelled, `on_done`
        is called once.

        :raises ExchangeError: NOT_SENT if connections or descriptors run out, CONNECT_FAILED if it fails at
            once
        """
        while self.connection_count >= self.max_connections and self._idle:
            # descriptors are limited: close the connection that has been idle longest
            self._drop_idle(next(iter(self._idle)))
        if self.connection_count >= self.max_connections:
            raise ExchangeError(
                Ending.NOT_SENT, f"all {self.max_connections} connections to pool members are in use"
            )
        address = member.address

        def on_connected(sock: socket.socket | None, error: OSError | None) -> None:
            if sock is None:
                assert error is not None
                self.connection_count -= 1
                on_done(None, connect_error(address, error))
                return
            on_done(sock, None)

        def give_up() -> None:
            self.connection_count -= 1
            attempt.cancel()

        timeout_s = self.connect_timeout_us / 1e6
        try:
            attempt = ConnectAttempt(
                address.host, address.port, timeout_s, asyncio.get_running_loop(), on_connected
            )
        except OSError as error:
            raise connect_error(address, error) from None
        self.connection_count += 1
        return give_up

    def release(self, connection: MemberConnection) -> bool:
        """Returns a connection to the idle ones; False if it can't carry another request."""
        member = connection.member
        if not member.ready or connection.address != member.address:
            return False
        if not connection.parser.reusable or not connection.request_written:
            return False  # or the response came before the request's end
        connection.idle_since_us = self.clock.now()
        member.idle_connections.append(connection)
        self._idle[connection] = None
        return True

    def drop(self, connection: MemberConnection) -> None:
        self.connection_count -= 1
        connection.link.close()

    def connection_lost(self, connection: MemberConnection) -> None:
        """An idle connection received data, or its member has closed it."""
        if connection in self._idle:
            self._drop_idle(connection)
        else:
            connection.link.close()

    def _drop_idle(self, connection: MemberConnection) -> None:
        del self._idle[connection]
        connection.member.idle_connections.remove(connection)
        self.drop(connection)

    def close_idle(self, member: PoolMember) -> None:
        for connection in list(member.idle_connections):
            self._drop_idle(connection)

    async def run(self) -> None:
        """Closes idle connections that are too old or unreliable, and those to stopped members."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.idle_reuse.decay()
            idle_before = self.clock.now() - self.max_idle_us
            for connection in list(self._idle):
                gone = not connection.member.ready or connection.address != connection.member.address
                unreliable = self.idle_reuse.is_unreliable(self.clock.now() - connection.idle_since_us)
                if gone or unreliable or connection.idle_since_us < idle_before:
                    self._drop_idle(connection)
            for member in [m for m in self._by_id.values() if not m.ready]:
                self.close_idle(member)
