"""The client side: the virtual server, its client connections, and the responses sent on them."""

import asyncio
import socket
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus
from typing import Any, Protocol

from anyio.abc import TaskStatus

from millfront.logs import Log
from millfront.node.bodies import BufferBudget, Source, Upload
from millfront.node.config import Address
from millfront.node.endings import Ending
from millfront.node.host import Clock
from millfront.node.http import MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES, MAX_STREAMED_BODY_BYTES, Message
from millfront.node.http1 import ServerCodec
from millfront.node.link import INTERNAL_ERROR, RESOURCE_ERRNOS, Link, accept, create_listener
from millfront.node.stages import relay
from millfront.node.stages.take_in import RequestRejected

log = Log(__name__)

BACKLOG = 1024
HEALTH_REQUESTS = ((b"GET", b"/healthz"), (b"HEAD", b"/healthz"))
# For a request to arrive whole; a connection's first one counts from the connection's start, so that a silent
# connection ends too. The client is owed a response within 3 s, and sending it takes time.
REQUEST_READ_TIMEOUT_US = 2_300_000
STOPPING_REQUEST_READ_TIMEOUT_US = 2_100_000  # the same while this process stops: a head may take 2 s
# Without any progress of a response: limits buffers and descriptors held for clients that do not read.
RESPONSE_STALL_TIMEOUT_US = 10_000_000
IDLE_TIMEOUT_US = 15_000_000  # keeps clients that send one request and stay from filling the connection table
MIN_IDLE_BEFORE_EVICTION_US = 200_000  # before a connection may be closed to make room for another
# During a drain, for a new connection to bring its request; it is closed after that time or that request.
FIRST_REQUEST_GRACE_US = 600_000
LINGER_US = 1_000_000  # for the client to read a last response: a reset by an early close could overtake it
MAX_LINGER_US = 10_000_000  # for a client that was answered early and still sends its request
SWEEP_INTERVAL_S = 0.25
ACCEPT_RETRY_S = 0.05
EVICTION_DIVISOR = 16  # without room, 1/16 of the connections are closed to make some
MAX_ACCEPTS_PER_TURN = 32  # per turn of the loop: requests that have arrived come before new connections


class Connection(Protocol):
    """What the virtual server needs of a client's connection, for any protocol; see ClientConnection."""

    request_started_us: int
    input_closed: bool
    had_request: bool
    finished_us: int
    idle_since_us: int
    ending: Ending
    link: Link

    @property
    def busy(self) -> bool: ...
    def is_idle(self) -> bool: ...
    def check_timeouts(self, now_us: int, read_timeout_us: int) -> None: ...
    def drain(self) -> None: ...
    def close_if_idle(self) -> None: ...
    def close(self) -> None: ...


class RequestHost(Protocol):
    """Receives a client connection's events about an admitted request (what admit() returned)."""

    def body_complete(self, open_request: Any) -> None:
        """The last byte of its body has arrived."""

    def client_left(self, open_request: Any) -> None:
        """Its client has gone, or its body can't be read: the host owes no response any more."""


class MessageCaller:
    """A Caller that gets its responses as messages, over any protocol."""

    __slots__ = ()
    accepts_streaming = False

    def begin_response(self, response: Any, source: Source) -> None:
        raise NotImplementedError

    def send_body(self, data: bytes) -> bool:
        raise NotImplementedError

    def abort_response(self) -> None:
        raise NotImplementedError

    def send_response(self, response: Message) -> None:
        """Send the one response."""
        raise NotImplementedError

    def served(self, response: Any) -> None:
        self.send_response(relay.served(response))

    def rejected(self, retry_after_us: int) -> None:
        self.send_response(relay.rejected(retry_after_us))

    def failed(self) -> None:
        self.send_response(relay.failed())


class ClientConnection(MessageCaller):
    """One client's HTTP/1.1 connection: requests in turn, each with one response. It has no task: it reads
    whenever the socket is readable, which also shows that a client has left, and writes when the host
    responds."""

    __slots__ = (
        "body_progress_us",
        "busy",
        "closed",
        "codec",
        "ending",
        "finished_us",
        "had_request",
        "held",
        "idle_since_us",
        "idle_timeout_us",
        "in_body",
        "input_closed",
        "link",
        "open_request",
        "preface_bytes",
        "request_started_us",
        "reuse_when_drained",
        "server",
        "source",
        "stalled_since_us",
        "stalled_unsent",
        "upload",
    )
    accepts_streaming = True

    def __init__(self, server: "VirtualServer", sock: socket.socket) -> None:
        self.server = server
        self.codec = ServerCodec(server.max_body)
        self.open_request: Any = None  # what admit() returned for the current request
        self.busy = False  # from a request's last byte to its response's
        self.input_closed = False  # no more requests are read
        self.had_request = False  # a request has arrived whole
        self.finished_us = 0  # since when its last response is written
        self.idle_since_us = server.clock.now()
        self.idle_timeout_us = server.idle_timeout_us  # as its client was told
        self.stalled_since_us = 0  # since when a response waits for the client to read
        self.stalled_unsent = 0  # how many bytes waited then
        self.source: Source | None = None  # of a streamed response
        self.held = 0  # bytes counted in the budget for slow clients' responses
        # Set while a whole response waits for the client to read: whether another request may follow it.
        self.reuse_when_drained: bool | None = None
        self.upload: Upload | None = None  # a request's body that is still arriving
        self.body_progress_us = 0  # when some of that body last moved
        self.ending = Ending.CLOSED
        self.in_body = False  # the head of a request is complete, its body is not
        self.request_started_us = 0  # time of the first byte of an incomplete request; 0: none
        self.closed = False
        self.preface_bytes = b""  # that may be the preface of another protocol
        self.link = Link(sock, self, server.loop)

    # ---- callbacks of the link ---------------------------------------------------------------

    def received(self, data: bytes) -> None:
        if self.input_closed:
            self.body_progress_us = self.server.clock.now()
            return
        if self.upload is not None:
            self.codec.feed(data)
            self.forward_body()
            return
        if not self.request_started_us:
            self.request_started_us = self.server.clock.now()
        if self.server.preface and not self.had_request:
            self.preface_bytes += data
            preface = self.server.preface
            if self.preface_bytes.startswith(preface):
                self.server.on_preface(self, self.preface_bytes)
                return
            if preface.startswith(self.preface_bytes):
                return
            data, self.preface_bytes = self.preface_bytes, b""
        self.codec.feed(data)
        self.take_next_request()
        if not self.busy and not self.in_body and self.codec.in_body:
            self.in_body, self.request_started_us = True, self.server.clock.now()  # the body has its own time
        if not self.busy and self.codec.awaits_continue:
            self.write(self.codec.encode_continue())
        if self.busy and self.codec.buffered > MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES:
            self.link.pause()  # bounds the buffer for a client that never stops sending

    def ended(self, why: str) -> None:
        """The client has closed or broken the connection, or a callback has failed."""
        self.server.connection_ended(self, why)

    def drained(self) -> None:
        self.stalled_since_us = 0
        self.account_held(0)
        if self.reuse_when_drained is not None:
            reusable, self.reuse_when_drained = self.reuse_when_drained, None
            self.response_sent(reusable)
        elif self.finished_us:
            self.linger()
        elif self.source is not None:
            self.source.resume()

    def take_next_request(self) -> None:
        """Handle the next request if it is complete; only one at a time, until its response is written."""
        if self.busy or self.input_closed:
            return
        try:
            message = self.codec.next_request()
        except RequestRejected as error:
            self.reject_message(error.status, str(error))
            return
        if message is not None:
            self.request_started_us, self.in_body = 0, False
            self.busy = self.had_request = True
            if message.body_incomplete:
                self.upload = Upload(self, message.length)
                message = replace(message, upload=self.upload)
            # A request's time counts from its last byte.
            self.handle_request(message, self.server.clock.now())

    def handle_request(self, message: Message, arrived_us: int) -> None:
        if message.start in HEALTH_REQUESTS and self.server.ready is not None:
            self.send_response(self.server.health())
            return
        try:
            open_request = self.server.admit(self.server.take_in(message, arrived_us), self)
        except RequestRejected as error:
            self.send_response(relay.own_response(error.status, f"{error}\n".encode(), error.fields))
            return
        if open_request is not None and not open_request.finished:  # admit() may have answered it
            self.open_request = open_request
            if self.upload is not None:
                self.body_progress_us = self.server.clock.now()
                if self.codec.awaits_continue:
                    self.write(self.codec.encode_continue())
                self.forward_body()

    def forward_body(self) -> None:
        """Pass on what has arrived of the request's body."""
        upload, open_request = self.upload, self.open_request
        if upload is None or open_request is None:
            return
        try:
            data = self.codec.read_body()
        except RequestRejected as error:
            self.abort_upload(error.status, str(error))
            return
        last = not self.codec.body_pending
        if not data and not last:
            return
        self.body_progress_us = self.server.clock.now()
        if last:
            self.upload = None
            self.server.host.body_complete(open_request)
        if not upload.put(data, last) and self.upload is not None:
            self.link.pause()

    def resume(self) -> None:
        """The member has taken what was passed on of the body."""
        self.body_progress_us = self.server.clock.now()
        self.link.resume()

    def abandon(self) -> None:
        """The rest of the body is not wanted: read and drop it, so that the client gets its response."""
        self.link.resume()

    def abort_upload(self, status: int, why: str) -> None:
        """The rest of the body can't be read: give up its attempt and send the client the reason."""
        open_request, self.open_request, self.upload = self.open_request, None, None
        if open_request is not None:
            self.server.host.client_left(open_request)
            if status == HTTPStatus.REQUEST_TIMEOUT and not self.server.may_send_408(open_request):
                status = HTTPStatus.BAD_GATEWAY
        self.reject_message(status, why)

    def reject_message(self, status: int, why: str) -> None:
        """Answer a message that can't be read to its end; no more requests are read on this connection."""
        self.input_closed = self.busy = True
        self.ending = Ending.TIMED_OUT if status == HTTPStatus.REQUEST_TIMEOUT else Ending.MALFORMED
        self.send_response(relay.own_response(status, f"{why}\n".encode()))

    def check_timeouts(self, now_us: int, read_timeout_us: int) -> None:
        started_us = self.request_started_us if self.had_request or self.in_body else self.idle_since_us
        if self.finished_us and not self.link.unsent:
            heard_us = min(self.body_progress_us, self.finished_us + MAX_LINGER_US)
            if max(self.finished_us, heard_us) < now_us - LINGER_US:
                self.close()
        elif (
            self.upload is not None
            and not self.link.paused
            and self.body_progress_us < now_us - read_timeout_us
        ):
            self.abort_upload(HTTPStatus.REQUEST_TIMEOUT, "body not finished in time")
        elif not self.busy and started_us and started_us < now_us - read_timeout_us:
            if self.request_started_us:
                self.reject_message(HTTPStatus.REQUEST_TIMEOUT, "request not finished in time")
            elif self.link.nothing_to_read():
                self.end(Ending.TIMED_OUT)
        elif self.stalled_since_us and self.stalled_since_us < now_us - RESPONSE_STALL_TIMEOUT_US:
            # a client that reads, however slowly, is not stalled
            if (unsent := self.link.unsent + self.link.unacknowledged()) < self.stalled_unsent:
                self.stalled_since_us, self.stalled_unsent = now_us, unsent
            else:
                self.end(Ending.TIMED_OUT)
        elif self.idle_expired(now_us) and self.link.nothing_to_read():  # a request that arrived goes first
            self.end(Ending.CLOSED)

    def is_idle(self) -> bool:
        return not self.busy and not self.request_started_us

    def idle_expired(self, now_us: int) -> bool:
        """Whether it is idle for longer than its client was told and than the limit in force."""
        return self.is_idle() and self.idle_since_us < now_us - max(
            self.idle_timeout_us, self.server.idle_timeout_us
        )

    def drain(self) -> None:
        """Nothing to do here: its next response says `Connection: close`."""

    def close_if_idle(self) -> None:
        """Close it unless a request is just arriving: checking costs less than turning a request away."""
        new = not self.had_request and self.idle_since_us > self.server.clock.now() - FIRST_REQUEST_GRACE_US
        if self.is_idle() and not new and self.link.nothing_to_read():
            self.close()

    def end(self, ending: Ending) -> None:
        self.ending = ending
        self.close()

    def close(self) -> None:
        """Close the connection; the host is told that an open request's client has gone."""
        if self.closed:
            return
        self.closed = True
        self.account_held(0)
        open_request, self.open_request = self.open_request, None
        self.link.close()
        if open_request is not None:
            self.ending = Ending.CLIENT_LEFT
        self.server.connection_closed(self)
        if open_request is not None:
            self.server.host.client_left(open_request)
        if (source := self.source) is not None:
            self.source = None
            source.abandon()

    # ---- called by the host ------------------------------------------------------------------

    def send_response(self, response: Message) -> None:
        """Write the one response to the current request."""
        if self.closed:
            return
        if self.source is not None:  # another response has begun: this one can't be sent
            self.abort_response()
            return
        self.open_request = None
        data, reusable = self.codec.encode_response(
            self.with_keep_alive(response), self.server.closing or self.input_closed
        )
        if self.write(data):
            self.response_sent(reusable)

    def begin_response(self, response: Message, source: Source) -> None:
        """Begin a streamed response: its head and the first part of its body."""
        if self.closed:
            return
        self.source = source
        head = self.with_keep_alive(replace(relay.served(response), length=response.length))
        data = self.codec.encode_head(
            head, self.server.closing or self.input_closed
        ) + self.codec.encode_body(response.body)
        if self.write(data) and not self.link.unsent:
            self.server.loop.call_soon(self.drained)

    def with_keep_alive(self, response: Message) -> Message:
        """Add Keep-Alive (how long the connection may be idle afterwards), if that is configured."""
        if self.server.closing or self.input_closed or not self.server.keep_alive:
            return response
        return replace(response, raw_fields=[*response.raw_fields, (b"Keep-Alive", self.server.keep_alive)])

    def send_body(self, data: bytes) -> bool:
        if self.closed or not self.write(self.codec.encode_body(data)):
            return False
        self.account_held(self.link.unsent)
        return self.server.buffer_budget.allows_more(self.held)

    def account_held(self, held: int) -> None:
        """Count `held` bytes in the shared budget. Between two parts fewer may be held, not more."""
        self.server.buffer_budget.held += held - self.held
        self.held = held

    def abort_response(self) -> None:
        """End a response early, so that the client notices: no last chunk, or fewer bytes than announced."""
        self.open_request = self.source = None
        self.end(Ending.BROKEN)

    def served(self, response: Message) -> None:
        if self.source is None:
            self.send_response(relay.served(response))
            return
        self.open_request = self.source = None
        data, reusable = self.codec.encode_end()
        if data and not self.write(data):
            return
        if self.link.unsent:
            self.reuse_when_drained = reusable  # the member has finished; the client still reads
        else:
            self.response_sent(reusable)

    def response_sent(self, reusable: bool) -> None:
        """The last byte of the response is written."""
        if self.upload is not None:
            self.upload, reusable = None, False
            self.link.resume()
        if not reusable:
            self.input_closed = True
            self.finished_us = self.server.clock.now()
            if not self.link.unsent:
                self.linger()
            return
        self.busy = False
        self.idle_since_us = self.server.clock.now()
        self.idle_timeout_us = self.server.idle_timeout_us
        self.server.connection_idle(self)
        if self.codec.buffered:
            self.request_started_us = self.idle_since_us
            self.link.resume()
            # Not directly: the host is inside an event, and a client may have pipelined many requests.
            self.server.loop.call_soon(self.take_pipelined)

    def take_pipelined(self) -> None:
        if not self.closed:
            self.server.contain(self, lambda _: self.take_next_request())

    def write(self, data: bytes) -> bool:
        try:
            self.link.write(data)
        except OSError:
            self.end(Ending.CONNECT_FAILED)
            return False
        self.stalled_unsent = self.link.unsent
        self.stalled_since_us = 0
        if self.stalled_unsent:
            self.stalled_unsent += self.link.unacknowledged()
            self.stalled_since_us = self.server.clock.now()
        return True

    def linger(self) -> None:
        """Finish sending and let the client close first; reading goes on meanwhile."""
        self.finished_us = self.server.clock.now()
        self.link.shutdown_write()


class VirtualServer:
    """Listens for clients and limits their connections, in number and in time."""

    def __init__(
        self,
        clock: Clock,
        host: RequestHost,
        take_in: Callable[[Message, int], Any],
        admit: Callable[[Any, Any], Any],
        ready: Callable[[], bool] | None,
        max_connections: int,
        make_connection: "Callable[[VirtualServer, socket.socket], Connection]" = ClientConnection,
    ) -> None:
        """:param take_in: makes of a message and its time (µs) what `admit` needs; may raise RequestRejected
        :param admit: admits that for a caller; returns the open request or None
        :param ready: the health; None: HTTP/1.1 health checks are handled like other requests
        """
        self.clock = clock
        self.host = host
        self.take_in = take_in
        self.admit = admit
        self.ready = ready
        self.max_connections = max_connections
        self.make_connection = make_connection
        self.buffer_budget = BufferBudget(0)  # for responses that clients read slowly
        # Whether a request given up for its body may be answered 408: some clients take that for "never ran".
        self.may_send_408: Callable[[Any], bool] = lambda open_request: True
        self.preface = b""  # the first bytes of another protocol on this port; empty: none
        self.on_preface: Callable[[ClientConnection, bytes], None]  # takes over such a connection
        self.endings: Counter[Ending] = Counter()  # of client connections
        self.on_fault: Callable[[], None] = lambda: None  # an exception out of one connection ended it
        self.closing = False  # responses say `Connection: close`
        self.request_read_timeout_us, self.idle_timeout_us = REQUEST_READ_TIMEOUT_US, IDLE_TIMEOUT_US
        self.max_body = MAX_STREAMED_BODY_BYTES
        self.keep_alive = b""  # value of the Keep-Alive field in responses; empty: none
        self.address: Address | None = None
        self.loop: asyncio.AbstractEventLoop
        self._listener: socket.socket | None = None
        self._accept_timer: asyncio.TimerHandle | None = None  # set while accepting is paused
        self._connections: OrderedDict[Connection, None] = OrderedDict()  # the longest idle first

    async def run(self, address: Address, *, task_status: TaskStatus[Address]) -> None:
        """Accept until stop_accepting(), and serve until cancelled or until no connection is left."""
        task_status.started(self.listen(address))
        await self.sweep()

    def listen(self, address: Address) -> Address:
        """Accept from now on. Returns the address with the actual port; raises OSError."""
        self.loop = asyncio.get_running_loop()
        listener = self._listener = create_listener(address.host, address.port, BACKLOG)
        self.address = Address(address.host, listener.getsockname()[1])
        self.loop.add_reader(listener.fileno(), self._on_acceptable)
        return self.address

    async def sweep(self) -> None:
        """Check all connections' time-outs periodically, until no listener and no connection is left."""
        try:
            while self._listener is not None or self._connections:
                stopping = self._listener is None
                await asyncio.sleep(0.05 if stopping else SWEEP_INTERVAL_S)
                self._check_timeouts(
                    STOPPING_REQUEST_READ_TIMEOUT_US if stopping else self.request_read_timeout_us
                )
        finally:
            self.stop_accepting()
            self._for_each(lambda connection: connection.close())

    def _check_timeouts(self, read_timeout_us: int) -> None:
        now_us = self.clock.now()
        self._for_each(lambda connection: connection.check_timeouts(now_us, read_timeout_us))

    def _for_each(self, step: Callable[[Connection], None]) -> None:
        """Do something with each connection; a fault of one closes that one."""
        for connection in list(self._connections):
            self.contain(connection, step)

    def contain(self, connection: Connection, step: Callable[[Connection], None]) -> None:
        """Do something with one connection; its fault closes it, and reaches no other."""
        try:
            step(connection)
        except Exception:
            self.on_fault()
            log.exception("client connection handler failed; connection closed", peer=connection.link.peer)
            self._discard(connection)

    def _discard(self, connection: Connection) -> None:
        """Close a connection that is in an unknown state: whatever its parts raise, it is gone."""
        connection.ending = Ending.BROKEN
        try:
            connection.close()
        except Exception:
            log.exception("client connection could not be closed in order")
            connection.link.close()
        self._connections.pop(connection, None)

    def _on_acceptable(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept one connection. False: none is waiting, or there is no room now."""
        if self._listener is None or not self._make_room():
            return False
        try:
            sock = accept(self._listener)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            # Out of descriptors, or a client gone before it was accepted: neither ends the server.
            if error.errno in RESOURCE_ERRNOS:
                log.warning("accept failed", why=error.strerror)
                self._evict(1)
                self._pause_accepting(ACCEPT_RETRY_S)
                return False
            return True
        try:
            connection = self.make_connection(self, sock)
        except Exception:
            self.on_fault()
            log.exception("client connection could not be set up")
            sock.close()
            return True
        self._connections[connection] = None
        if self.closing:
            self.contain(connection, lambda connection: connection.drain())
        return True

    def _make_room(self) -> bool:
        """Make room for one more connection if there is none. False: there is none yet, try again soon."""
        if len(self._connections) >= self.max_connections:
            self._evict(1 + self.max_connections // EVICTION_DIVISOR)
            if len(self._connections) >= self.max_connections:
                self._pause_accepting(ACCEPT_RETRY_S / 10)
                return False
        return True

    def _pause_accepting(self, seconds: float) -> None:
        """Accept nothing for `seconds`."""
        if self._listener is not None and self._accept_timer is None:
            self.loop.remove_reader(self._listener.fileno())
            self._accept_timer = self.loop.call_later(seconds, self._resume_accepting)

    def _resume_accepting(self) -> None:
        self._accept_timer = None
        if self._listener is not None:
            self.loop.add_reader(self._listener.fileno(), self._on_acceptable)

    def _evict(self, count: int) -> None:
        """Close up to `count` connections: those that have had their last response, then those without any
        request, then the longest idle; none that has just come, as its first request is on the way.
        Several at once, so that regular clients waiting to be accepted are not kept out by a crowd."""
        now = self.clock.now()
        finished: list[Connection] = []
        silent: list[Connection] = []
        idle: list[Connection] = []
        for connection in self._connections:
            if connection.finished_us:
                finished.append(connection)
            elif connection.is_idle() and connection.idle_since_us < now - MIN_IDLE_BEFORE_EVICTION_US:
                (idle if connection.had_request else silent).append(connection)
        for connection in [*finished, *silent, *idle][:count]:
            self.contain(connection, lambda connection: connection.close())

    def health(self) -> Message:
        """The response to a health check of the load balancer in front."""
        return (
            relay.own_response(200, b"ready\n")
            if self.ready is None or self.ready()
            else relay.own_response(503, b"not ready\n")
        )

    def connection_ended(self, connection: Connection, why: str) -> None:
        """Close a connection whose link has ended, and count it if one of its callbacks has failed."""
        if why == INTERNAL_ERROR:
            self.on_fault()
        if why and not connection.input_closed:
            connection.ending = Ending.BROKEN
        connection.close()

    def connection_closed(self, connection: Connection) -> None:
        self.endings[connection.ending] += 1
        self._connections.pop(connection, None)

    def replace(self, before: Connection, after: Connection) -> None:
        """The same socket goes on with another protocol, as `after`."""
        self._connections.pop(before, None)
        self._connections[after] = None

    def connection_idle(self, connection: Connection) -> None:
        if connection in self._connections:
            self._connections.move_to_end(connection)

    # ---- draining -------------------------------------------------------------------------------

    def set_closing(self, closing: bool) -> None:
        """Set whether clients are asked to go elsewhere."""
        if closing and not self.closing:
            self._for_each(lambda connection: connection.drain())
        self.closing = closing

    def stop_accepting(self) -> None:
        """Close the listener. Waiting connections are accepted first: closed with the listener they would be
        reset, even where another process listens at the same address."""
        while self._accept_one():
            pass
        if self._accept_timer is not None:
            self._accept_timer.cancel()
            self._accept_timer = None
        if self._listener is not None:
            self.loop.remove_reader(self._listener.fileno())
            self._listener.close()
            self._listener = None

    def close_idle(self) -> None:
        self._for_each(lambda connection: connection.close_if_idle())

    def connection_count(self) -> int:
        return len(self._connections)

    def unanswered_count(self) -> int:
        """Number of connections with a request that was admitted or is just arriving."""
        return sum(1 for c in self._connections if (c.busy or c.request_started_us) and not c.input_closed)

    def unsent_count(self) -> int:
        """Number of connections with response bytes that the kernel has not taken."""
        return sum(1 for c in self._connections if isinstance(c, ClientConnection) and c.link.unsent)
