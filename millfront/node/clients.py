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
from millfront.node.bodies import Room, Source, Upload
from millfront.node.config import Address
from millfront.node.endings import Ending
from millfront.node.host import Clock
from millfront.node.http import MOST_BODY, MOST_HEAD, MOST_STREAMED, Message
from millfront.node.http1 import Requests
from millfront.node.link import NO_ROOM, Link, accept, listener_at
from millfront.node.stages import relay
from millfront.node.stages.take_in import NotTaken

log = Log(__name__)

BACKLOG = 1024
HEALTH = ((b"GET", b"/healthz"), (b"HEAD", b"/healthz"))
# A request begun and not whole by then is given up; the first one of a connection counts from its start, so
# that one that says nothing ends too. 3 s are owed, and an answer takes its time to go out.
PARTIAL_US = 2_300_000
PARTIAL_LAST_US = 2_100_000  # the same while the gatekeeper ends: a head may take 2 s
UNREAD_US = 10_000_000  # an answer that the client has not taken by then: guards buffers and descriptors
AT_REST_US = (
    15_000_000  # an idle connection is closed: guards the table against clients that ask once and stay
)
RESTED_US = 200_000  # before one gives way to another when there is no room
NEW_US = 600_000  # in a drain a new connection has so long to bring its request; it is closed after it
LINGER_US = 1_000_000  # for the client to read a last answer: closed at once, a reset could overtake it
LONGEST_LINGER_US = 10_000_000  # for one that was answered early and still sends its request
SWEEP_S = 0.25
NO_ROOM_S = 0.05
AT_ONCE = 16  # when there is no room, this part of the connections makes some
ACCEPTS = 32  # in one turn of the loop: requests that are there come before more of them


class Connection(Protocol):
    """What the virtual server asks of a client's connection, whatever it speaks."""

    begun_us: int
    deaf: bool
    asked: bool
    spent_us: int
    rests_since_us: int
    ending: Ending

    @property
    def busy(self) -> bool: ...
    def at_rest(self) -> bool: ...
    def expire(self, now_us: int, partial_us: int) -> None: ...
    def drain(self) -> None: ...
    def close_at_rest(self) -> None: ...
    def close(self) -> None: ...


class Taking(Protocol):
    """What a client's connection tells of a request that is taken (an OpenRequest, or the like)."""

    def whole(self, opened: Any) -> None:
        """Its body's last byte has come."""

    def leave(self, opened: Any) -> None:
        """Its client went away."""


class Answering:
    """A Caller whose answers are messages, whatever carries them."""

    __slots__ = ()
    streams = False

    def begin(self, answer: Any, source: Source) -> None:
        raise NotImplementedError

    def more(self, data: bytes) -> bool:
        raise NotImplementedError

    def cut(self) -> None:
        raise NotImplementedError

    def give(self, answer: Message) -> None:
        """Write the one answer."""
        raise NotImplementedError

    def served(self, answer: Any) -> None:
        self.give(relay.served(answer))

    def rejected(self, retry_after_us: int) -> None:
        self.give(relay.rejected(retry_after_us))

    def failed(self) -> None:
        self.give(relay.failed())


class ClientConnection(Answering):
    """One client's connection: requests one after another, each with one answer. No task: it reads when
    something comes, for that is also how a client's leaving shows, and writes when the host has an
    answer."""

    __slots__ = (
        "answering_us",
        "asked",
        "begun_us",
        "busy",
        "codec",
        "deaf",
        "ending",
        "finishing",
        "first",
        "held",
        "in_body",
        "link",
        "moved_us",
        "opened",
        "over",
        "rest_us",
        "rests_since_us",
        "server",
        "source",
        "spent_us",
        "unsent",
        "upload",
    )
    streams = True

    def __init__(self, server: "VirtualServer", sock: socket.socket) -> None:
        self.server = server
        self.codec = Requests(server.most_body)
        self.opened: Any = None  # what admit() made of the request that is taken
        self.busy = False  # from a request's last byte to its answer's
        self.deaf = False  # nothing more is taken on it
        self.asked = False  # a request came whole
        self.spent_us = 0  # since when its last answer is written
        self.rests_since_us = server.clock.now()
        self.rest_us = server.at_rest_us  # how long it may lie idle, as its client was told
        self.answering_us = 0  # since when an answer waits for the client to read
        self.unsent = 0  # how much of it waited then
        self.source: Source | None = None  # of an answer that goes on as it comes
        self.held = 0  # of the room for slow clients' answers
        self.finishing: bool | None = None  # its answer is whole and not taken: whether it goes on after
        self.upload: Upload | None = None  # a request's body under way
        self.moved_us = 0  # since when nothing of that has come
        self.ending = Ending.CLOSED
        self.in_body = False  # of a request whose head is whole
        self.begun_us = 0  # first byte of a request that is not whole yet
        self.over = False
        self.first = b""  # bytes that may be the preface of another protocol
        self.link = Link(sock, self, server.loop)

    # ---- in: what the link tells -------------------------------------------------------------

    def received(self, data: bytes) -> None:
        if self.deaf:
            self.moved_us = self.server.clock.now()
            return
        if self.upload is not None:
            self.codec.feed(data)
            self.bring()
            return
        if not self.begun_us:
            self.begun_us = self.server.clock.now()
        if self.server.preface and not self.asked:
            self.first += data
            preface = self.server.preface
            if self.first.startswith(preface):
                self.server.upgraded(self, self.first)
                return
            if preface.startswith(self.first):
                return
            data, self.first = self.first, b""
        self.codec.feed(data)
        self.advance()
        if not self.busy and not self.in_body and self.codec.in_body:
            self.in_body, self.begun_us = True, self.server.clock.now()  # it has a time of its own
        if not self.busy and self.codec.asks_to_go_on:
            self.write(self.codec.go_on())
        if self.busy and self.codec.buffered > MOST_HEAD + MOST_BODY:
            self.link.pause()  # guards the buffer against a client that sends on and on

    def ended(self, why: str) -> None:
        """The client has closed or broken the connection: it has gone away."""
        if why and not self.deaf:
            self.ending = Ending.BROKEN
        self.close()

    def drained(self) -> None:
        self.answering_us = 0
        self.hold(0)
        if self.finishing is not None:
            goes_on, self.finishing = self.finishing, None
            self.answered(goes_on)
        elif self.spent_us:
            self.linger()
        elif self.source is not None:
            self.source.resume()

    def advance(self) -> None:
        """Take the next request if it is whole, until its answer is written."""
        if self.busy or self.deaf:
            return
        try:
            message = self.codec.next()
        except NotTaken as wrong:
            self.refuse(wrong.status, str(wrong))
            return
        if message is not None:
            self.begun_us, self.in_body = 0, False
            self.busy = self.asked = True
            if message.more:
                self.upload = Upload(self, message.length)
                message = replace(message, upload=self.upload)
            self.take(message, self.server.clock.now())  # a request's time counts from its last byte

    def take(self, message: Message, came_us: int) -> None:
        if message.start in HEALTH and self.server.ready is not None:
            self.give(self.server.health())
            return
        try:
            opened = self.server.admit(self.server.take_in(message, came_us), self)
        except NotTaken as wrong:
            self.give(relay.own(wrong.status, f"{wrong}\n".encode(), wrong.fields))
            return
        if opened is not None and not opened.over:  # it may have been answered by now
            self.opened = opened
            if self.upload is not None:
                self.moved_us = self.server.clock.now()
                if self.codec.asks_to_go_on:
                    self.write(self.codec.go_on())
                self.bring()

    def bring(self) -> None:
        """Pass on what has come of a body under way."""
        upload, opened = self.upload, self.opened
        if upload is None or opened is None:
            return
        try:
            data = self.codec.piece()
        except NotTaken as wrong:
            self.turn_away(wrong.status, str(wrong))
            return
        last = not self.codec.under_way
        if not data and not last:
            return
        self.moved_us = self.server.clock.now()
        if last:
            self.upload = None
            self.server.host.whole(opened)
        if not upload.put(data, last) and self.upload is not None:
            self.link.pause()

    def resume(self) -> None:
        """The member has taken what came of the body."""
        self.moved_us = self.server.clock.now()
        self.link.resume()

    def abandon(self) -> None:
        """Nobody takes the rest: it is read and dropped, so that the client gets its answer."""
        self.link.resume()

    def turn_away(self, status: int, why: str) -> None:
        """The rest of a body under way can't be had: its attempt is left, and the client told why."""
        opened, self.opened, self.upload = self.opened, None, None
        if opened is not None:
            self.server.host.leave(opened)
            if status == HTTPStatus.REQUEST_TIMEOUT and not self.server.may_promise(opened):
                status = HTTPStatus.BAD_GATEWAY
        self.refuse(status, why)

    def refuse(self, status: int, why: str) -> None:
        """A message that can't be read to its end: say so, and take nothing more from this connection."""
        self.deaf = self.busy = True
        self.ending = Ending.TIMED_OUT if status == HTTPStatus.REQUEST_TIMEOUT else Ending.MALFORMED
        self.give(relay.own(status, f"{why}\n".encode()))

    def expire(self, now_us: int, partial_us: int) -> None:
        begun_us = self.begun_us if self.asked or self.in_body else self.rests_since_us
        if self.spent_us and not self.link.unsent:
            heard_us = min(self.moved_us, self.spent_us + LONGEST_LINGER_US)
            if max(self.spent_us, heard_us) < now_us - LINGER_US:
                self.close()
        elif self.upload is not None and not self.link.paused and self.moved_us < now_us - partial_us:
            self.turn_away(HTTPStatus.REQUEST_TIMEOUT, "body not finished in time")
        elif not self.busy and begun_us and begun_us < now_us - partial_us:
            if self.begun_us:
                self.refuse(HTTPStatus.REQUEST_TIMEOUT, "request not finished in time")
            elif self.link.quiet():
                self.end(Ending.TIMED_OUT)
        elif self.answering_us and self.answering_us < now_us - UNREAD_US:
            if (unsent := self.link.unsent + self.link.unread()) < self.unsent:  # slowly, but it reads
                self.answering_us, self.unsent = now_us, unsent
            else:
                self.end(Ending.TIMED_OUT)
        elif self.rested_out(now_us) and self.link.quiet():  # a request that has come is answered first
            self.end(Ending.CLOSED)

    def at_rest(self) -> bool:
        return not self.busy and not self.begun_us

    def rested_out(self, now_us: int) -> bool:
        """Idle for longer than its client was told, and than the limit in force allows."""
        return self.at_rest() and self.rests_since_us < now_us - max(self.rest_us, self.server.at_rest_us)

    def drain(self) -> None:
        """Its next answer says `Connection: close`."""

    def close_at_rest(self) -> None:
        """Not one on which a request is just coming: a look costs less than a request turned back."""
        new = not self.asked and self.rests_since_us > self.server.clock.now() - NEW_US
        if self.at_rest() and not new and self.link.quiet():
            self.close()

    def end(self, ending: Ending) -> None:
        self.ending = ending
        self.close()

    def close(self) -> None:
        """Ends the connection; a request that is open is left."""
        if self.over:
            return
        self.over = True
        self.hold(0)
        opened, self.opened = self.opened, None
        self.link.close()
        if opened is not None:
            self.ending = Ending.LEFT
        self.server.gone(self)
        if opened is not None:
            self.server.host.leave(opened)
        if (source := self.source) is not None:
            self.source = None
            source.abandon()

    # ---- out: what the host calls ------------------------------------------------------------

    def give(self, answer: Message) -> None:
        """Write the one answer of the request that is taken."""
        if self.over:
            return
        if self.source is not None:  # another answer has begun: this one can't be told
            self.cut()
            return
        self.opened = None
        data, goes_on = self.codec.answer(self.told(answer), self.server.closing or self.deaf)
        if self.write(data):
            self.answered(goes_on)

    def begin(self, answer: Message, source: Source) -> None:
        """An answer that goes on as it comes."""
        if self.over:
            return
        self.source = source
        told = self.told(replace(relay.served(answer), length=answer.length))
        data = self.codec.begin(told, self.server.closing or self.deaf) + self.codec.body(answer.body)
        if self.write(data) and not self.link.unsent:
            self.server.loop.call_soon(self.drained)

    def told(self, answer: Message) -> Message:
        """With how long the connection may lie idle after it, where clients are told."""
        if self.server.closing or self.deaf or not self.server.keep_alive:
            return answer
        return replace(answer, raw=[*answer.raw, (b"Keep-Alive", self.server.keep_alive)])

    def more(self, data: bytes) -> bool:
        if self.over or not self.write(self.codec.body(data)):
            return False
        self.hold(self.link.unsent)
        return self.server.room.allows(self.held)

    def hold(self, held: int) -> None:
        """Of the room for all; between two pieces it is less than is counted, never more."""
        self.server.room.held += held - self.held
        self.held = held

    def cut(self) -> None:
        """Before its end, so that the client can tell: no last chunk, or fewer bytes than were said."""
        self.opened = self.source = None
        self.end(Ending.BROKEN)

    def served(self, answer: Message) -> None:
        if self.source is None:
            self.give(relay.served(answer))
            return
        self.opened = self.source = None
        data, goes_on = self.codec.finish()
        if data and not self.write(data):
            return
        if self.link.unsent:
            self.finishing = goes_on  # the member is done, its client still reads
        else:
            self.answered(goes_on)

    def answered(self, goes_on: bool) -> None:
        """The answer's last byte is written."""
        if self.upload is not None:
            self.upload, goes_on = None, False
            self.link.resume()
        if not goes_on:
            self.deaf = True
            self.spent_us = self.server.clock.now()
            if not self.link.unsent:
                self.linger()
            return
        self.busy = False
        self.rests_since_us = self.server.clock.now()
        self.rest_us = self.server.at_rest_us
        self.server.rested(self)
        if self.codec.buffered:
            self.begun_us = self.rests_since_us
            self.link.resume()
            # Not from here: the host is in the middle of an event, and a client may have sent many at once
            self.server.loop.call_soon(self.next)

    def next(self) -> None:
        try:
            if not self.over:
                self.advance()
        except Exception:  # one connection's fault is its own
            log.exception("a client connection failed")
            self.end(Ending.BROKEN)

    def write(self, data: bytes) -> bool:
        try:
            self.link.write(data)
        except OSError:
            self.end(Ending.UNCONNECTED)
            return False
        self.unsent = self.link.unsent
        self.answering_us = 0
        if self.unsent:
            self.unsent += self.link.unread()
            self.answering_us = self.server.clock.now()
        return True

    def linger(self) -> None:
        """Say that nothing more comes and let the client close first. Reading goes on meanwhile."""
        self.spent_us = self.server.clock.now()
        self.link.finish_sending()


class VirtualServer:
    """Listens for clients, and holds their connections within bounds."""

    def __init__(
        self,
        clock: Clock,
        host: Taking,
        take_in: Callable[[Message, int], Any],
        admit: Callable[[Any, Any], Any],
        ready: Callable[[], bool] | None,
        most: int,
        made: "Callable[[VirtualServer, socket.socket], Connection]" = ClientConnection,
    ) -> None:
        self.clock = clock
        self.host = host
        self.take_in = take_in
        self.admit = admit
        self.ready = ready
        self.most = most
        self.made = made
        self.room = Room(0)  # for answers that clients take slowly
        # Whether a request that was left may be told 408, which to some clients says that it never runs
        self.may_promise: Callable[[Any], bool] = lambda opened: True
        self.preface = b""  # with which another protocol begins on this port
        self.upgraded: Callable[[ClientConnection, bytes], None]  # told of a connection that began with it
        self.endings: Counter[Ending] = Counter()  # of client connections
        self.closing = False  # answers say Connection: close
        self.partial_us, self.at_rest_us = PARTIAL_US, AT_REST_US
        self.most_body = MOST_STREAMED
        self.keep_alive = b""  # told with each answer; empty: nothing is told
        self.address: Address | None = None
        self.loop: asyncio.AbstractEventLoop
        self._listener: socket.socket | None = None
        self._waits: asyncio.TimerHandle | None = None  # for room
        self._connections: OrderedDict[Connection, None] = OrderedDict()  # the longest at rest first

    async def run(self, address: Address, *, task_status: TaskStatus[Address]) -> None:
        """Accept until stop_accepting(), and serve what is there until cancelled or nobody is left."""
        task_status.started(self.listen(address))
        await self.sweep()

    def listen(self, address: Address) -> Address:
        """Accept from now on; returns where. Raises OSError."""
        self.loop = asyncio.get_running_loop()
        listener = self._listener = listener_at(address.host, address.port, BACKLOG)
        self.address = Address(address.host, listener.getsockname()[1])
        self.loop.add_reader(listener.fileno(), self._acceptable)
        return self.address

    async def sweep(self) -> None:
        """See to it that what should end does."""
        try:
            while self._listener is not None or self._connections:
                ends = self._listener is None
                await asyncio.sleep(0.05 if ends else SWEEP_S)
                now = self.clock.now()
                for connection in list(self._connections):
                    connection.expire(now, PARTIAL_LAST_US if ends else self.partial_us)
        finally:
            self.stop_accepting()
            for connection in list(self._connections):
                connection.close()

    def _acceptable(self) -> None:
        for _ in range(ACCEPTS):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """False: nobody waits, or there is no room now."""
        if self._listener is None or not self._room():
            return False
        try:
            sock = accept(self._listener)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as wrong:
            # Out of descriptors, or a client gone before it was accepted: neither ends us
            if wrong.errno in NO_ROOM:
                log.warning("accept failed", why=wrong.strerror)
                self._close_some_at_rest(1)
                self._wait(NO_ROOM_S)
                return False
            return True
        made = self.made(self, sock)
        self._connections[made] = None
        if self.closing:
            made.drain()
        return True

    def _room(self) -> bool:
        """Room for one more, made where there is none; else it is looked for again soon."""
        if len(self._connections) >= self.most:
            self._close_some_at_rest(1 + self.most // AT_ONCE)
            if len(self._connections) >= self.most:
                self._wait(NO_ROOM_S / 10)
                return False
        return True

    def _wait(self, seconds: float) -> None:
        """Accept nothing for so long."""
        if self._listener is not None and self._waits is None:
            self.loop.remove_reader(self._listener.fileno())
            self._waits = self.loop.call_later(seconds, self._go_on)

    def _go_on(self) -> None:
        self._waits = None
        if self._listener is not None:
            self.loop.add_reader(self._listener.fileno(), self._acceptable)

    def _close_some_at_rest(self, count: int) -> None:
        """Those that have had their last answer first, then those that say nothing, then the longest at rest;
        none that has just come, its first request is on the way. Several at once: guards the usual clients,
        who wait to be accepted, against a crowd."""
        now = self.clock.now()
        spent: list[Connection] = []
        silent: list[Connection] = []
        resting: list[Connection] = []
        for connection in self._connections:
            if connection.spent_us:
                spent.append(connection)
            elif connection.at_rest() and connection.rests_since_us < now - RESTED_US:
                (resting if connection.asked else silent).append(connection)
        for connection in [*spent, *silent, *resting][:count]:
            connection.close()

    def health(self) -> Message:
        """What the front asks before it brings clients."""
        return (
            relay.own(200, b"ready\n")
            if self.ready is None or self.ready()
            else relay.own(503, b"not ready\n")
        )

    def gone(self, connection: Connection) -> None:
        self.endings[connection.ending] += 1
        self._connections.pop(connection, None)

    def replace(self, before: Connection, after: Connection) -> None:
        """The same socket speaks another protocol from here on."""
        self._connections.pop(before, None)
        self._connections[after] = None

    def rested(self, connection: Connection) -> None:
        if connection in self._connections:
            self._connections.move_to_end(connection)

    # ---- clients are sent away ------------------------------------------------------------------

    def send_away(self, away: bool) -> None:
        """Whether clients are asked to go elsewhere from now on."""
        if away and not self.closing:
            for connection in list(self._connections):
                connection.drain()
        self.closing = away

    def stop_accepting(self) -> None:
        """What waits to be accepted is taken first: closed with its listener it would be reset, also where
        another process listens at the same address."""
        while self._accept_one():
            pass
        if self._waits is not None:
            self._waits.cancel()
            self._waits = None
        if self._listener is not None:
            self.loop.remove_reader(self._listener.fileno())
            self._listener.close()
            self._listener = None

    def close_at_rest(self) -> None:
        for connection in list(self._connections):
            connection.close_at_rest()

    def connected(self) -> int:
        return len(self._connections)

    def unanswered(self) -> int:
        """Connections with a request that was taken, or is just coming."""
        return sum(1 for c in self._connections if (c.busy or c.begun_us) and not c.deaf)

    def untaken(self) -> int:
        """Connections with a last answer that the client has not taken whole."""
        return sum(1 for c in self._connections if isinstance(c, ClientConnection) and c.link.unsent)
