"""Send: one server-side flow, from a connection to an answer or an ending."""

import asyncio
from collections.abc import Callable

from millfront import interface as api
from millfront.logs import Log
from millfront.node.endings import Ended, Ending
from millfront.node.host import Clock, OpenRequest
from millfront.node.http import REST_S, Fields, Message, passed_on
from millfront.node.members import Exchange, Members, PoolMember
from millfront.node.stages.route import Route

log = Log(__name__)

AGAIN = 2  # connections more: guards a member that is well against being blamed for one that broke at once
LATE_S = 0.001  # the loop's timers may come so much early


class ServerSideFlow:
    """One attempt: ends once, however cancel, time-out, answer and break cross."""

    __slots__ = (
        "again",
        "connection",
        "dialling",
        "ends_us",
        "number",
        "opened",
        "over",
        "rest",
        "send",
        "stage",
        "started_us",
        "timer",
    )

    def __init__(self, stage: "Send", opened: OpenRequest, number: int, send: api.Send, now_us: int) -> None:
        self.stage = stage
        self.opened = opened
        self.number = number
        self.send = send
        self.started_us = now_us
        left_us = opened.deadline_us - now_us
        self.ends_us = now_us + (min(send.timeout_us, left_us) if send.timeout_us else left_us)
        self.again = AGAIN
        self.over = False
        self.connection: Exchange | None = None
        self.dialling: Callable[[], None] | None = None  # gives the connection being set up up
        self.timer: asyncio.TimerHandle | None = None
        self.rest: asyncio.TimerHandle | None = None  # from an answer's first bytes

    def cancel(self) -> None:
        self.end(Ending.CANCELLED)

    def end(self, ending: Ending, answer: Message | None = None) -> None:
        """The one ending. What is still up is closed: that tells the member that the attempt is given up."""
        if self.over:
            return
        self.over = True
        for timer in (self.timer, self.rest):
            if timer is not None:
                timer.cancel()
        if self.dialling is not None:
            self.dialling()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.flow = None
            connection.drop()
        self.stage.book(self, ending, answer)

    # ---- what the connection tells -----------------------------------------------------------

    def answering(self) -> None:
        """An answer has begun and is not whole: what stalls inside a message will not end well."""
        if self.rest is None:
            loop = asyncio.get_running_loop()
            self.rest = loop.call_later(REST_S, self.nonsense, "an answer begun and not ended")

    def nonsense(self, why: str) -> None:
        if not self.over:
            log.warning("a pool member answered nonsense", member=self.send.backend, why=why)
            if self.connection is not None:
                self.connection.fared(True)
            self.end(Ending.MALFORMED)

    def answered(self, answer: Message) -> None:
        connection = self.connection
        assert connection is not None
        connection.fared(True)
        if connection.release():
            connection.flow, self.connection = None, None
        self.end(ending_of(answer), answer)

    def broken(self, ended: Ended) -> None:
        """The connection has ended without an answer."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.flow = None
            if ended.ending is Ending.BROKEN:
                connection.fared(False)
            connection.drop()
        if ended.again and self.again > 0 and not self.over:
            self.again -= 1
            self.stage.attempt(self)
        else:
            self.end(ended.ending)


class Send:
    def __init__(
        self,
        clock: Clock,
        members: Members,
        route: Route,
        book: Callable[[ServerSideFlow, Ending, Message | None], None],
    ) -> None:
        self.clock = clock
        self.members = members
        self.route = route
        self.book = book

    def __call__(self, opened: OpenRequest, number: int, send: api.Send) -> None:
        """Begin a flow; its ending is booked once, perhaps before this returns."""
        flow = ServerSideFlow(self, opened, number, send, self.clock.now())
        opened.flows[number] = flow
        left_s = max(0.0, (flow.ends_us - flow.started_us) / 1e6)
        flow.timer = asyncio.get_running_loop().call_later(left_s + LATE_S, flow.end, Ending.TIMED_OUT)
        self.attempt(flow)

    def attempt(self, flow: ServerSideFlow) -> None:
        try:
            member = self.route(flow.send.backend)
            got = self.members.obtain(member, lambda made, ended: self._up(flow, member, made, ended))
            if callable(got):
                flow.dialling = got
            else:
                self._write(flow, member, got)
        except Ended as ended:
            flow.broken(ended)
        except Exception:  # a fault in one flow is that flow's ending, not the program's
            log.exception("a flow failed")
            flow.end(Ending.BROKEN)

    def _up(
        self, flow: ServerSideFlow, member: PoolMember, made: Exchange | None, ended: Ended | None
    ) -> None:
        flow.dialling = None
        try:
            if made is None:
                assert ended is not None
                raise ended
            self._write(flow, member, made)
        except Ended as wrong:
            flow.broken(wrong)
        except Exception:
            log.exception("a flow failed")
            flow.end(Ending.BROKEN)

    def _write(self, flow: ServerSideFlow, member: PoolMember, connection: Exchange) -> None:
        flow.connection, connection.flow = connection, flow
        self.route.check(member)
        message = flow.opened.arrival.message
        connection.request(message.start, self._fields(flow, member, message), message.body)

    def _fields(self, flow: ServerSideFlow, member: PoolMember, message: Message) -> Fields:
        left_us = max(1, flow.ends_us - self.clock.now())
        fields = passed_on(message, b"request-timeout")
        if message.field(b"host") is None:  # HTTP/1.0 has none, and 1.1 must have one
            fields.insert(0, (b"Host", str(member.dial).encode()))
        fields.append((b"Request-Timeout", b"%du" % left_us))
        return fields


def ending_of(answer: Message) -> Ending:
    """Only 503 and 504 with Not-Started certainly never ran."""
    if answer.start == 200:
        return Ending.SERVED
    if answer.start in (503, 504) and answer.field(b"not-started") == b"1":
        return Ending.TURNED_AWAY
    return Ending.ERRORED
