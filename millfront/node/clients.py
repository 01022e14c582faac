"""The client side: the virtual server, its connections, and the answers that go out on them."""

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
from millfront.node.link import RESOURCE_ERRNOS, Link, accept, create_listener
from millfront.node.stages import relay
from millfront.node.stages.take_in import RequestRejected

log = Log(__name__)

BACKLOG = 1024
HEALTH_REQUESTS = ((b"GET", b"/healthz"), (b"HEAD", b"/healthz"))
# A request begun and not whole by then is given up; the first one of a connection counts from its start, so
# that one that says nothing ends too. 3 s are owed, and an answer takes its time to go out.
REQUEST_READ_TIMEOUT_US = 2_300_000
STOPPING_REQUEST_READ_TIMEOUT_US = 2_100_000  # the same while the gatekeeper ends: a head may take 2 s
RESPONSE_STALL_TIMEOUT_US = (
    10_000_000  # an answer that the client has not taken by then: guards buffers and descriptors
)
IDLE_TIMEOUT_US = (
    15_000_000  # an idle connection is closed: guards the table against clients that ask once and stay
)
MIN_IDLE_BEFORE_EVICTION_US = 200_000  # before one gives way to another when there is no room
FIRST_REQUEST_GRACE_US = (
    600_000  # in a drain a new connection has so long to bring its request; it is closed after it
)
LINGER_US = 1_000_000  # for the client to read a last answer: closed at once, a reset could overtake it
MAX_LINGER_US = 10_000_000  # for one that was answered early and still sends its request
SWEEP_INTERVAL_S = 0.25
ACCEPT_RETRY_S = 0.05
EVICTION_DIVISOR = 16  # when there is no room, this part of the connections makes some
MAX_ACCEPTS_PER_TURN = 32  # in one turn of the loop: requests that are there come before more of them


class Connection(Protocol):
    """What the virtual server asks of a client's connection, whatever it speaks."""

    request_started_us: int
    input_closed: bool
    had_request: bool
    finished_us: int
    idle_since_us: int
    ending: Ending

    @property
    def busy(self) -> bool: ...
    def is_idle(self) -> bool: ...
    def check_timeouts(self, now_us: int, read_timeout_us: int) -> None: ...
    def drain(self) -> None: ...
    def close_if_idle(self) -> None: ...
    def close(self) -> None: ...


class RequestHost(Protocol):
    """What a client's connection tells of a request that is taken (an OpenRequest, or the like)."""

    def body_complete(self, opened: Any) -> None:
        """Its body's last byte has come."""

    def client_left(self, opened: Any) -> None:
        """Its client went away."""


class MessageCaller:
    """A Caller whose answers are messages, whatever carries them."""

    __slots__ = ()
    accepts_streaming = False

    def begin_response(self, response: Any, source: Source) -> None:
        raise NotImplementedError

    def send_body(self, data: bytes) -> bool:
        raise NotImplementedError

    def abort_response(self) -> None:
        raise NotImplementedError

    def send_response(self, response: Message) -> None:
        """Write the one answer."""
        raise NotImplementedError

    def served(self, response: Any) -> None:
        self.send_response(relay.served(response))

    def rejected(self, retry_after_us: int) -> None:
        self.send_response(relay.rejected(retry_after_us))

    def failed(self) -> None:
        self.send_response(relay.failed())


class ClientConnection(MessageCaller):
    """One client's connection: requests one after another, each with one answer. No task: it reads when
    something comes, for that is also how a client's leaving shows, and writes when the host has an
    answer."""

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
        self.open_request: Any = None  # what admit() made of the request that is taken
        self.busy = False  # from a request's last byte to its answer's
        self.input_closed = False  # nothing more is taken on it
        self.had_request = False  # a request came whole
        self.finished_us = 0  # since when its last answer is written
        self.idle_since_us = server.clock.now()
        self.idle_timeout_us = server.idle_timeout_us  # how long it may lie idle, as its client was told
        self.stalled_since_us = 0  # since when an answer waits for the client to read
        self.stalled_unsent = 0  # how much of it waited then
        self.source: Source | None = None  # of an answer that goes on as it comes
        self.held = 0  # of the room for slow clients' answers
        self.reuse_when_drained: bool | None = (
            None  # its answer is whole and not taken: whether it goes on after
        )
        self.upload: Upload | None = None  # a request's body under way
        self.body_progress_us = 0  # since when nothing of that has come
        self.ending = Ending.CLOSED
        self.in_body = False  # of a request whose head is whole
        self.request_started_us = 0  # first byte of a request that is not whole yet
        self.closed = False
        self.preface_bytes = b""  # bytes that may be the preface of another protocol
        self.link = Link(sock, self, server.loop)

    # ---- in: what the link tells -------------------------------------------------------------

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
            self.in_body, self.request_started_us = True, self.server.clock.now()  # it has a time of its own
        if not self.busy and self.codec.awaits_continue:
            self.write(self.codec.encode_continue())
        if self.busy and self.codec.buffered > MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES:
            self.link.pause()  # guards the buffer against a client that sends on and on

    def ended(self, why: str) -> None:
        """The client has closed or broken the connection: it has gone away."""
        if why and not self.input_closed:
            self.ending = Ending.BROKEN
        self.close()

    def drained(self) -> None:
        self.stalled_since_us = 0
        self.account_held(0)
        if self.reuse_when_drained is not None:
            goes_on, self.reuse_when_drained = self.reuse_when_drained, None
            self.response_sent(goes_on)
        elif self.finished_us:
            self.linger()
        elif self.source is not None:
            self.source.resume()

    def take_next_request(self) -> None:
        """Take the next request if it is whole, until its answer is written."""
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
            self.handle_request(
                message, self.server.clock.now()
            )  # a request's time counts from its last byte

    def handle_request(self, message: Message, came_us: int) -> None:
        if message.start in HEALTH_REQUESTS and self.server.ready is not None:
            self.send_response(self.server.health())
            return
        try:
            opened = self.server.admit(self.server.take_in(message, came_us), self)
        except RequestRejected as error:
            self.send_response(relay.own_response(error.status, f"{error}\n".encode(), error.fields))
            return
        if opened is not None and not opened.finished:  # it may have been answered by now
            self.open_request = opened
            if self.upload is not None:
                self.body_progress_us = self.server.clock.now()
                if self.codec.awaits_continue:
                    self.write(self.codec.encode_continue())
                self.forward_body()

    def forward_body(self) -> None:
        """Pass on what has come of a body under way."""
        upload, opened = self.upload, self.open_request
        if upload is None or opened is None:
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
            self.server.host.body_complete(opened)
        if not upload.put(data, last) and self.upload is not None:
            self.link.pause()

    def resume(self) -> None:
        """The member has taken what came of the body."""
        self.body_progress_us = self.server.clock.now()
        self.link.resume()

    def abandon(self) -> None:
        """Nobody takes the rest: it is read and dropped, so that the client gets its answer."""
        self.link.resume()

    def abort_upload(self, status: int, why: str) -> None:
        """The rest of a body under way can't be had: its attempt is left, and the client told why."""
        opened, self.open_request, self.upload = self.open_request, None, None
        if opened is not None:
            self.server.host.client_left(opened)
            if status == HTTPStatus.REQUEST_TIMEOUT and not self.server.may_send_408(opened):
                status = HTTPStatus.BAD_GATEWAY
        self.reject_message(status, why)

    def reject_message(self, status: int, why: str) -> None:
        """A message that can't be read to its end: say so, and take nothing more from this connection."""
        self.input_closed = self.busy = True
        self.ending = Ending.TIMED_OUT if status == HTTPStatus.REQUEST_TIMEOUT else Ending.MALFORMED
        self.send_response(relay.own_response(status, f"{why}\n".encode()))

    def check_timeouts(self, now_us: int, read_timeout_us: int) -> None:
        begun_us = self.request_started_us if self.had_request or self.in_body else self.idle_since_us
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
        elif not self.busy and begun_us and begun_us < now_us - read_timeout_us:
            if self.request_started_us:
                self.reject_message(HTTPStatus.REQUEST_TIMEOUT, "request not finished in time")
            elif self.link.nothing_to_read():
                self.end(Ending.TIMED_OUT)
        elif self.stalled_since_us and self.stalled_since_us < now_us - RESPONSE_STALL_TIMEOUT_US:
            if (
                unsent := self.link.unsent + self.link.unacknowledged()
            ) < self.stalled_unsent:  # slowly, but it reads
                self.stalled_since_us, self.stalled_unsent = now_us, unsent
            else:
                self.end(Ending.TIMED_OUT)
        elif (
            self.idle_expired(now_us) and self.link.nothing_to_read()
        ):  # a request that has come is answered first
            self.end(Ending.CLOSED)

    def is_idle(self) -> bool:
        return not self.busy and not self.request_started_us

    def idle_expired(self, now_us: int) -> bool:
        """Idle for longer than its client was told, and than the limit in force allows."""
        return self.is_idle() and self.idle_since_us < now_us - max(
            self.idle_timeout_us, self.server.idle_timeout_us
        )

    def drain(self) -> None:
        """Its next answer says `Connection: close`."""

    def close_if_idle(self) -> None:
        """Not one on which a request is just coming: a look costs less than a request turned back."""
        new = not self.had_request and self.idle_since_us > self.server.clock.now() - FIRST_REQUEST_GRACE_US
        if self.is_idle() and not new and self.link.nothing_to_read():
            self.close()

    def end(self, ending: Ending) -> None:
        self.ending = ending
        self.close()

    def close(self) -> None:
        """Ends the connection; a request that is open is left."""
        if self.closed:
            return
        self.closed = True
        self.account_held(0)
        opened, self.open_request = self.open_request, None
        self.link.close()
        if opened is not None:
            self.ending = Ending.CLIENT_LEFT
        self.server.connection_closed(self)
        if opened is not None:
            self.server.host.client_left(opened)
        if (source := self.source) is not None:
            self.source = None
            source.abandon()

    # ---- out: what the host calls ------------------------------------------------------------

    def send_response(self, response: Message) -> None:
        """Write the one answer of the request that is taken."""
        if self.closed:
            return
        if self.source is not None:  # another answer has begun: this one can't be told
            self.abort_response()
            return
        self.open_request = None
        data, goes_on = self.codec.encode_response(
            self.with_keep_alive(response), self.server.closing or self.input_closed
        )
        if self.write(data):
            self.response_sent(goes_on)

    def begin_response(self, response: Message, source: Source) -> None:
        """An answer that goes on as it comes."""
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
        """With how long the connection may lie idle after it, where clients are told."""
        if self.server.closing or self.input_closed or not self.server.keep_alive:
            return response
        return replace(response, raw_fields=[*response.raw_fields, (b"Keep-Alive", self.server.keep_alive)])

    def send_body(self, data: bytes) -> bool:
        if self.closed or not self.write(self.codec.encode_body(data)):
            return False
        self.account_held(self.link.unsent)
        return self.server.buffer_budget.allows_more(self.held)

    def account_held(self, held: int) -> None:
        """Of the room for all; between two pieces it is less than is counted, never more."""
        self.server.buffer_budget.held += held - self.held
        self.held = held

    def abort_response(self) -> None:
        """Before its end, so that the client can tell: no last chunk, or fewer bytes than were said."""
        self.open_request = self.source = None
        self.end(Ending.BROKEN)

    def served(self, response: Message) -> None:
        if self.source is None:
            self.send_response(relay.served(response))
            return
        self.open_request = self.source = None
        data, goes_on = self.codec.encode_end()
        if data and not self.write(data):
            return
        if self.link.unsent:
            self.reuse_when_drained = goes_on  # the member is done, its client still reads
        else:
            self.response_sent(goes_on)

    def response_sent(self, goes_on: bool) -> None:
        """The answer's last byte is written."""
        if self.upload is not None:
            self.upload, goes_on = None, False
            self.link.resume()
        if not goes_on:
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
            # Not from here: the host is in the middle of an event, and a client may have sent many at once
            self.server.loop.call_soon(self.take_pipelined)

    def take_pipelined(self) -> None:
        try:
            if not self.closed:
                self.take_next_request()
        except Exception:  # one connection's fault is its own
            log.exception("a client connection failed")
            self.end(Ending.BROKEN)

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
        """Say that nothing more comes and let the client close first. Reading goes on meanwhile."""
        self.finished_us = self.server.clock.now()
        self.link.shutdown_write()


class VirtualServer:
    """Listens for clients, and holds their connections within bounds."""

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
        self.clock = clock
        self.host = host
        self.take_in = take_in
        self.admit = admit
        self.ready = ready
        self.max_connections = max_connections
        self.make_connection = make_connection
        self.buffer_budget = BufferBudget(0)  # for answers that clients take slowly
        # Whether a request that was left may be told 408, which to some clients says that it never runs
        self.may_send_408: Callable[[Any], bool] = lambda opened: True
        self.preface = b""  # with which another protocol begins on this port
        self.on_preface: Callable[[ClientConnection, bytes], None]  # told of a connection that began with it
        self.endings: Counter[Ending] = Counter()  # of client connections
        self.closing = False  # answers say Connection: close
        self.request_read_timeout_us, self.idle_timeout_us = REQUEST_READ_TIMEOUT_US, IDLE_TIMEOUT_US
        self.max_body = MAX_STREAMED_BODY_BYTES
        self.keep_alive = b""  # told with each answer; empty: nothing is told
        self.address: Address | None = None
        self.loop: asyncio.AbstractEventLoop
        self._listener: socket.socket | None = None
        self._accept_timer: asyncio.TimerHandle | None = None  # for room
        self._connections: OrderedDict[Connection, None] = OrderedDict()  # the longest at rest first

    async def run(self, address: Address, *, task_status: TaskStatus[Address]) -> None:
        """Accept until stop_accepting(), and serve what is there until cancelled or nobody is left."""
        task_status.started(self.listen(address))
        await self.sweep()

    def listen(self, address: Address) -> Address:
        """Accept from now on; returns where. Raises OSError."""
        self.loop = asyncio.get_running_loop()
        listener = self._listener = create_listener(address.host, address.port, BACKLOG)
        self.address = Address(address.host, listener.getsockname()[1])
        self.loop.add_reader(listener.fileno(), self._on_acceptable)
        return self.address

    async def sweep(self) -> None:
        """See to it that what should end does."""
        try:
            while self._listener is not None or self._connections:
                ends = self._listener is None
                await asyncio.sleep(0.05 if ends else SWEEP_INTERVAL_S)
                now = self.clock.now()
                for connection in list(self._connections):
                    connection.check_timeouts(
                        now, STOPPING_REQUEST_READ_TIMEOUT_US if ends else self.request_read_timeout_us
                    )
        finally:
            self.stop_accepting()
            for connection in list(self._connections):
                connection.close()

    def _on_acceptable(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """False: nobody waits, or there is no room now."""
        if self._listener is None or not self._make_room():
            return False
        try:
            sock = accept(self._listener)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            # Out of descriptors, or a client gone before it was accepted: neither ends us
            if error.errno in RESOURCE_ERRNOS:
                log.warning("accept failed", why=error.strerror)
                self._evict(1)
                self._pause_accepting(ACCEPT_RETRY_S)
                return False
            return True
        connection = self.make_connection(self, sock)
        self._connections[connection] = None
        if self.closing:
            connection.drain()
        return True

    def _make_room(self) -> bool:
        """Room for one more, made where there is none; else it is looked for again soon."""
        if len(self._connections) >= self.max_connections:
            self._evict(1 + self.max_connections // EVICTION_DIVISOR)
            if len(self._connections) >= self.max_connections:
                self._pause_accepting(ACCEPT_RETRY_S / 10)
                return False
        return True

    def _pause_accepting(self, seconds: float) -> None:
        """Accept nothing for so long."""
        if self._listener is not None and self._accept_timer is None:
            self.loop.remove_reader(self._listener.fileno())
            self._accept_timer = self.loop.call_later(seconds, self._resume_accepting)

    def _resume_accepting(self) -> None:
        self._accept_timer = None
        if self._listener is not None:
            self.loop.add_reader(self._listener.fileno(), self._on_acceptable)

    def _evict(self, count: int) -> None:
        """Those that have had their last answer first, then those that say nothing, then the longest at rest;
        none that has just come, its first request is on the way. Several at once: guards the usual clients,
        who wait to be accepted, against a crowd."""
        now = self.clock.now()
        spent: list[Connection] = []
        silent: list[Connection] = []
        resting: list[Connection] = []
        for connection in self._connections:
            if connection.finished_us:
                spent.append(connection)
            elif connection.is_idle() and connection.idle_since_us < now - MIN_IDLE_BEFORE_EVICTION_US:
                (resting if connection.had_request else silent).append(connection)
        for connection in [*spent, *silent, *resting][:count]:
            connection.close()

    def health(self) -> Message:
        """What the front asks before it brings clients."""
        return (
            relay.own_response(200, b"ready\n")
            if self.ready is None or self.ready()
            else relay.own_response(503, b"not ready\n")
        )

    def connection_closed(self, connection: Connection) -> None:
        self.endings[connection.ending] += 1
        self._connections.pop(connection, None)

    def replace(self, before: Connection, after: Connection) -> None:
        """The same socket speaks another protocol from here on."""
        self._connections.pop(before, None)
        self._connections[after] = None

    def connection_idle(self, connection: Connection) -> None:
        if connection in self._connections:
            self._connections.move_to_end(connection)

    # ---- clients are sent away ------------------------------------------------------------------

    def set_closing(self, closing: bool) -> None:
        """Whether clients are asked to go elsewhere from now on."""
        if closing and not self.closing:
            for connection in list(self._connections):
                connection.drain()
        self.closing = closing

    def stop_accepting(self) -> None:
        """What waits to be accepted is taken first: closed with its listener it would be reset, also where
        another process listens at the same address."""
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
        for connection in list(self._connections):
            connection.close_if_idle()

    def connection_count(self) -> int:
        return len(self._connections)

    def unanswered_count(self) -> int:
        """Connections with a request that was taken, or is just coming."""
        return sum(1 for c in self._connections if (c.busy or c.request_started_us) and not c.input_closed)

    def unsent_count(self) -> int:
        """Connections with a last answer that the client has not taken whole."""
        return sum(1 for c in self._connections if isinstance(c, ClientConnection) and c.link.unsent)
