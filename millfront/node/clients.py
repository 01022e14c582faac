"""The client side: the virtual server, its connections, and the answers that go out on them."""

from collections import Counter, OrderedDict
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import anyio
import h11
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskStatus

from millfront.logs import Log
from millfront.node.config import Address
from millfront.node.endings import Ended, Ending
from millfront.node.host import Clock, Host, OpenRequest
from millfront.node.http import FRAMING, MOST_BODY, MOST_HEAD, NO_ROOM, Message, Wire
from millfront.node.stages import relay
from millfront.node.stages.admit import Admit
from millfront.node.stages.take_in import NotTaken, TakeIn

log = Log(__name__)

BACKLOG = 1024
READY_PATH = b"/healthz"
# A request begun and not whole by then is given up; the first one of a connection counts from its start, so
# that one that says nothing ends too. 3 s are owed, and an answer takes its time to go out.
PARTIAL_US = 2_300_000
PARTIAL_LAST_US = 500_000  # the same while the gatekeeper ends
UNREAD_US = 10_000_000  # an answer that the client has not taken by then: guards buffers and descriptors
AT_REST_US = (
    15_000_000  # an idle connection is closed: guards the table against clients that ask once and stay
)
RESTED_US = 200_000  # before one gives way to another when there is no room
LINGER_S = 1.0  # for the client to read a last answer: closed at once, a reset could overtake it
SWEEP_S = 0.25
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
NO_ROOM_S = 0.05
AT_ONCE = 16  # when there is no room, this part of the connections makes some


class ClientConnection(Wire):
    """One client's connection: requests one after another, each with one answer. Two tasks: one reads all the
    time, for that is how a client's leaving shows, the other writes."""

    def __init__(self, server: "VirtualServer", stream: SocketStream) -> None:
        super().__init__(stream, h11.SERVER)
        self.socket = stream
        self.server = server
        self.scope = anyio.CancelScope()
        self.opened: OpenRequest | None = None
        self.busy = False  # from a request's last byte to its answer's
        self.deaf = False  # nothing more is taken on it
        self.asked = False  # a request came whole
        self.spent = False  # its last answer is written
        self.rests_since_us = server.clock.now()
        self.answering_us = 0  # since when an answer is being written
        self.ending = Ending.CLOSED
        self.begun_us = 0  # first byte of a request that is not whole yet
        self._request: h11.Request | None = None
        self._headless = False
        self._body = bytearray()
        self._answer: Message | None = None
        self._answered = anyio.Event()
        self._written = anyio.Event()

    async def serve(self) -> None:
        try:
            with self.scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write_answers, tasks.cancel_scope)
                    await self._read_requests()
                    tasks.cancel_scope.cancel()
        finally:
            if self.opened is not None:
                self.ending = Ending.LEFT
                self.server.host.leave(self.opened)
            self.server.endings[self.ending] += 1
            await self.close()

    # ---- in ----------------------------------------------------------------------------------

    async def _read_requests(self) -> None:
        """Returns when the client has closed or broken the connection: it has gone away."""
        try:
            while data := await self.read():
                if self.deaf:
                    continue
                if not self.begun_us:
                    self.begun_us = self.server.clock.now()
                self.h11.receive_data(data)
                self.advance()
                if self.h11.they_are_waiting_for_100_continue and not self.busy:
                    await self.write(h11.InformationalResponse(status_code=100, headers=[]))
                while self.busy and len(self.h11.trailing_data[0]) > MOST_HEAD + MOST_BODY:
                    await self._written.wait()  # guards the buffer against a client that sends on and on
        except Ended as ended:
            self.ending = ended.ending

    def advance(self) -> None:
        """Take what is whole; ends at the first request, until its answer is written."""
        try:
            while not self.busy and not self.deaf:
                event = self.h11.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return
                self._take(event)
        except h11.RemoteProtocolError as wrong:
            self._refuse(wrong.error_status_hint, str(wrong))
        except NotTaken as wrong:
            self._refuse(wrong.status, str(wrong))

    def _take(self, event: Any) -> None:
        if isinstance(event, h11.Request):
            self._request = event
            self._headless = event.method == b"HEAD"
            framing = {name: value for name, value in event.headers if name in FRAMING}
            # Passed on, the one could hide a second request in the body that the other shows
            if len(framing) > 1 or (b"transfer-encoding" in framing and event.http_version < b"1.1"):
                raise NotTaken(400, "Content-Length or HTTP/1.0 with Transfer-Encoding")
            if int(framing.get(b"content-length", b"0")) > MOST_BODY:
                raise NotTaken(413, "body too long")
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > MOST_BODY:
                raise NotTaken(413, "body too long")
        elif isinstance(event, h11.EndOfMessage) and self._request is not None:
            request, body = self._request, bytes(self._body)
            came_us, self.begun_us = self.begun_us, 0
            self._request, self._body = None, bytearray()
            self.busy = self.asked = True
            fields, raw = list(request.headers), request.headers.raw_items()
            self._whole(Message((request.method, request.target), fields, raw, body), came_us)

    def _whole(self, message: Message, came_us: int) -> None:
        if message.start in ((b"GET", READY_PATH), (b"HEAD", READY_PATH)):
            self._give(relay.own(200, b"ready\n") if self.server.ready() else relay.own(503, b"not ready\n"))
            return
        try:
            self.opened = self.server.admit(self.server.take_in(message, came_us), self)
        except NotTaken as wrong:
            self._give(relay.own(wrong.status, f"{wrong}\n".encode()))

    def _refuse(self, status: int, why: str) -> None:
        """A message that can't be read to its end: say so, and take nothing more from this connection."""
        self.deaf = True
        self.busy = True
        self.ending = Ending.TIMED_OUT if status == HTTPStatus.REQUEST_TIMEOUT else Ending.MALFORMED
        self._give(relay.own(status, f"{why}\n".encode()))

    def expire(self, now_us: int, partial_us: int) -> None:
        begun_us = self.begun_us if self.asked else self.rests_since_us
        if not self.busy and begun_us and begun_us < now_us - partial_us:
            if self.begun_us:
                self._refuse(HTTPStatus.REQUEST_TIMEOUT, "request not finished in time")
            else:
                self._end(Ending.TIMED_OUT)
        elif self.answering_us and self.answering_us < now_us - UNREAD_US:
            self._end(Ending.TIMED_OUT)
        elif self.at_rest() and self.rests_since_us < now_us - AT_REST_US:
            self._end(Ending.CLOSED)

    def at_rest(self) -> bool:
        return not self.busy and not self.begun_us

    def _end(self, ending: Ending) -> None:
        self.ending = ending
        self.scope.cancel()

    # ---- out: what the host calls ------------------------------------------------------------

    def served(self, answer: Any) -> None:
        self._give(relay.served(answer))

    def rejected(self, retry_after_us: int) -> None:
        self._give(relay.rejected(retry_after_us))

    def failed(self) -> None:
        self._give(relay.failed())

    def _give(self, answer: Message) -> None:
        self._answer = answer
        self._answered.set()

    async def _write_answers(self, scope: anyio.CancelScope) -> None:
        while True:
            await self._answered.wait()
            self._answered = anyio.Event()
            answer, self._answer, self.opened = self._answer, None, None
            assert answer is not None
            self.answering_us = self.server.clock.now()
            try:
                await self._write(answer)
            except Ended as ended:
                self.ending = ended.ending
                break
            self.answering_us = 0
            if self.h11.our_state is not h11.DONE or self.h11.their_state is not h11.DONE:
                await self._linger()
                break
            self.h11.start_next_cycle()
            self.busy = False
            self.rests_since_us = self.server.clock.now()
            self._written.set()
            self._written = anyio.Event()
            self.server.rested(self)
            if self.h11.trailing_data[0]:
                self.begun_us = self.begun_us or self.server.clock.now()
                self.advance()
        scope.cancel()

    async def _write(self, answer: Message) -> None:
        assert isinstance(answer.start, int)
        fields = [*answer.raw, (b"Content-Length", b"%d" % len(answer.body))]
        if self.server.closing or self.deaf:
            fields.append((b"Connection", b"close"))
        head = h11.Response(status_code=answer.start, headers=fields, reason=REASONS.get(answer.start, b""))
        body = b"" if self._headless else answer.body  # HEAD is told a length and sent nothing
        await self.write(head, h11.Data(data=body), h11.EndOfMessage())

    async def _linger(self) -> None:
        """Say that nothing more comes and let the client close first. Reading goes on meanwhile."""
        self.deaf = self.spent = True
        try:
            await self.socket.send_eof()
            await anyio.sleep(LINGER_S)
        except (OSError, anyio.ClosedResourceError, anyio.BrokenResourceError):
            pass


class VirtualServer:
    """Listens for clients, and holds their connections within bounds."""

    def __init__(
        self, clock: Clock, host: Host, take_in: TakeIn, admit: Admit, ready: Callable[[], bool], most: int
    ) -> None:
        self.clock = clock
        self.host = host
        self.take_in = take_in
        self.admit = admit
        self.ready = ready
        self.most = most
        self.endings: Counter[Ending] = Counter()  # of client connections
        self.closing = False  # answers say Connection: close
        self.address: Address | None = None
        self._accepting = anyio.CancelScope()
        self._connections: OrderedDict[ClientConnection, None] = OrderedDict()  # the longest at rest first

    async def run(self, address: Address, *, task_status: TaskStatus[Address]) -> None:
        """Accept until stop_accepting(), then serve what is there until nobody is left."""
        listeners = await anyio.create_tcp_listener(
            local_host=address.host, local_port=address.port, backlog=BACKLOG
        )
        listener = listeners.listeners[0]
        assert isinstance(listener, SocketListener)
        self.address = Address(address.host, listener.extra(SocketAttribute.local_port))
        task_status.started(self.address)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._sweep, tasks.cancel_scope)
            with self._accepting:
                while True:
                    await self._room()
                    if (stream := await self._accept(listener)) is not None:
                        connection = ClientConnection(self, stream)
                        self._connections[connection] = None
                        tasks.start_soon(self._serve, connection)
            await listeners.aclose()

    async def _accept(self, listener: SocketListener) -> SocketStream | None:
        try:
            return await listener.accept()
        except (
            OSError
        ) as wrong:  # out of descriptors, or a client gone before it was accepted: neither ends us
            if wrong.errno in NO_ROOM:
                log.warning("accept failed", why=wrong.strerror)
                self._close_some_at_rest(1)
                await anyio.sleep(NO_ROOM_S)
            return None

    async def _room(self) -> None:
        while len(self._connections) >= self.most:
            self._close_some_at_rest(1 + self.most // AT_ONCE)
            await anyio.sleep(NO_ROOM_S / 10)

    def _close_some_at_rest(self, count: int) -> None:
        """Those that have had their last answer first, then those that say nothing, then the longest at rest;
        none that has just come, its first request is on the way. Several at once: guards the usual clients,
        who wait to be accepted, against a crowd."""
        now = self.clock.now()
        spent: list[ClientConnection] = []
        silent: list[ClientConnection] = []
        resting: list[ClientConnection] = []
        for connection in self._connections:
            if connection.scope.cancel_called:
                count -= 1  # on its way out
            elif connection.spent:
                spent.append(connection)
            elif connection.at_rest() and connection.rests_since_us < now - RESTED_US:
                (resting if connection.asked else silent).append(connection)
        for connection in [*spent, *silent, *resting][: max(0, count)]:
            connection.scope.cancel()

    async def _serve(self, connection: ClientConnection) -> None:
        try:
            await connection.serve()
        except Exception:  # one connection's fault is its own
            log.exception("a client connection failed")
        finally:
            self._connections.pop(connection, None)

    def rested(self, connection: ClientConnection) -> None:
        if connection in self._connections:
            self._connections.move_to_end(connection)

    async def _sweep(self, scope: anyio.CancelScope) -> None:
        while not (self.closing and self._accepting.cancel_called and not self._connections):
            await anyio.sleep(0.05 if self.closing else SWEEP_S)
            for connection in list(self._connections):
                connection.expire(self.clock.now(), PARTIAL_LAST_US if self.closing else PARTIAL_US)
        scope.cancel()

    # ---- a planned end -----------------------------------------------------------------------

    def stop_accepting(self) -> None:
        self._accepting.cancel()

    def close_at_rest(self) -> None:
        for connection in list(self._connections):
            if connection.at_rest():
                connection.scope.cancel()

    def connected(self) -> int:
        return len(self._connections)

    def unanswered(self) -> int:
        """Connections with a request that was taken, or is just coming."""
        return sum(1 for c in self._connections if (c.busy or c.begun_us) and not c.deaf)
