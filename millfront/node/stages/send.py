"""Send: one server-side flow, from a connection to an answer or an ending."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from millfront.logs import Log
from millfront.node.bodies import BodySlots
from millfront.node.endings import Ending, ExchangeError
from millfront.node.host import Clock
from millfront.node.http import RESPONSE_COMPLETION_TIMEOUT_S, Fields, Message, end_to_end_fields
from millfront.node.members import Exchange, MemberId, Members, PoolMember

log = Log(__name__)

AGAIN = 2  # connections more: guards a member that is well against being blamed for one that broke at once
LATE_S = 0.001  # the loop's timers may come so much early
BEGIN_S = 0.2  # an answer without a length is gathered for so long, then what there is goes on
STALL_US = 10_000_000  # a body under way of which nothing moves for so long, and not for want of its taker
LOOK_S = 1.0  # between two looks at that


class Sending(Protocol):
    """Where an attempt goes, and for how long at most; 0: until the client gives up."""

    @property
    def backend(self) -> MemberId: ...
    @property
    def timeout_us(self) -> int: ...


class Road(Protocol):
    """From a choice to a member that may be sent to. Both raise ExchangeError."""

    def __call__(self, backend: Any) -> PoolMember: ...
    def check(self, member: PoolMember, flow: Any) -> None: ...


class ServerSideFlow:
    """One attempt: ends once, however cancel, time-out, answer and break cross."""

    __slots__ = (
        "again",
        "answer",
        "connection",
        "dialling",
        "ends_us",
        "first_us",
        "has_way",
        "moved_us",
        "number",
        "opened",
        "over",
        "paused",
        "rest",
        "send",
        "stage",
        "started_us",
        "streams",
        "timer",
    )

    def __init__(self, stage: "Send", opened: Any, number: int, send: Sending, now_us: int) -> None:
        self.stage = stage
        self.opened = opened  # an OpenRequest, or the like: arrival, caller, flows, whole, deadline_us
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
        self.streams = False  # the answer goes on as it comes
        self.answer: Message | None = None  # its beginning
        self.first_us = 0  # when that came
        self.moved_us = now_us  # when something of a body under way moved last
        self.paused = False  # the client does not take the rest yet
        self.has_way = False

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
        self.let_go()
        if self.has_way:
            self.has_way = False
            self.stage.ways.release()
        self.stage.book(self, ending, answer)

    def let_go(self) -> None:
        """Of the connection, which carries nothing more. A body under way must wait for the next one: put to
        this one, it would be lost between the two."""
        connection, self.connection = self.connection, None
        if connection is None:
            return
        connection.flow = None
        if (upload := self.opened.arrival.message.upload) is not None:
            upload.detach(connection)
        connection.drop()

    def whole(self) -> None:
        """The request's last byte has come: the attempt's time begins."""
        now_us = self.stage.clock.now()
        self.started_us, self.ends_us = now_us, self.opened.deadline_us
        self.limit()

    def limit(self) -> None:
        """End with the attempt's time; a body under way ends by itself, or where nothing of it moves."""
        if self.timer is not None:
            self.timer.cancel()
        loop = asyncio.get_running_loop()
        if self.streams or not self.opened.whole:
            self.timer = loop.call_later(LOOK_S, self.look)
        else:
            left_s = max(0.0, (self.ends_us - self.stage.clock.now()) / 1e6)
            self.timer = loop.call_later(left_s + LATE_S, self.end, Ending.TIMED_OUT)

    def look(self) -> None:
        stalls = not self.paused if self.streams else self.held_up()
        if stalls and self.moved_us < self.stage.clock.now() - STALL_US:
            self.end(Ending.TIMED_OUT)
        else:
            self.limit()

    def held_up(self) -> bool:
        """The member does not take the request's body."""
        return self.connection is not None and not self.connection.takes()

    # ---- what the connection tells -----------------------------------------------------------

    def answering(self) -> None:
        """An answer has begun and is not whole: what stalls inside a message will not end well. It may come
        in many pieces, and one without a length is not to wait until it is long."""
        loop = asyncio.get_running_loop()
        if self.rest is not None:
            self.rest.cancel()
        if self.first_us == 0:
            self.first_us = self.stage.clock.now()
            loop.call_later(BEGIN_S, self.begin_now)
        self.rest = loop.call_later(self.stage.rest_s, self.nonsense, "an answer begun and not ended")

    def begin_now(self) -> None:
        if not self.over and not self.streams and self.answer is None and self.connection is not None:
            self.connection.begin()

    def begun(self, answer: Message) -> None:
        if self.rest is not None:
            self.rest.cancel()
            self.rest = None
        if (ending := self.stage.judge(self, answer)) is not Ending.SERVED:
            self.end(ending)
            return
        if not self.opened.caller.streams:
            self.nonsense("an answer too long to be gathered")
            return
        assert self.connection is not None
        self.connection.pause()
        self.answer, self.first_us = answer, self.stage.clock.now()
        self.stage.ways.acquire(self.go)

    def go(self) -> None:
        """It is this answer's turn to go on."""
        if self.over:  # while it waited
            self.stage.ways.release()
            return
        self.has_way = True
        assert self.answer is not None
        self.streams = self.stage.begin(self)
        if not self.streams:
            self.end(Ending.CANCELLED)
        elif not self.over:
            self.moved_us = self.first_us
            self.limit()

    def piece(self, data: bytes, last: bool) -> None:
        if self.over:
            return
        self.moved_us = self.stage.clock.now()
        goes_on = not data or self.opened.caller.more(data)
        connection = self.connection
        if self.over or connection is None:
            return
        if last:
            connection.fared(True)
            if connection.release():
                connection.flow, self.connection = None, None
                connection.resume()
            self.end(Ending.SERVED, self.answer)
        elif not goes_on:
            self.paused = True
            connection.pause()

    def resume(self) -> None:
        """The client has taken what came."""
        self.paused, self.moved_us = False, self.stage.clock.now()
        connection = self.connection
        if connection is None:
            return
        connection.rest()
        if not self.paused and not self.over:
            connection.resume()

    def abandon(self) -> None:
        """The client is gone."""
        self.end(Ending.CANCELLED)

    def passed_on(self) -> None:
        self.moved_us = self.stage.clock.now()

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
        ending = self.stage.judge(self, answer)
        if ending is not Ending.MALFORMED and connection.release():
            connection.flow, self.connection = None, None
        self.end(ending, answer)

    def broken(self, ended: ExchangeError) -> None:
        """The connection has ended without an answer."""
        if self.connection is not None and ended.ending is Ending.BROKEN:
            self.connection.fared(False)
        self.let_go()
        if ended.partially_sent and self.stage.part_may_run:
            ended = ExchangeError(Ending.BROKEN)
        upload = self.opened.arrival.message.upload
        kept = upload is None or not upload.forwarded  # what has gone on is not there any more
        if ended.retryable and self.again > 0 and kept and not self.over and not self.streams:
            self.again -= 1
            self.stage.attempt(self)
        else:
            self.end(ended.ending)


class Send:
    def __init__(
        self,
        clock: Clock,
        members: Members,
        route: Road,
        book: Callable[[ServerSideFlow, Ending, Message | None], None],
        ways: BodySlots,
        begin: Callable[[ServerSideFlow], bool],
        judge: "Callable[[ServerSideFlow, Message], Ending] | None" = None,
        fields: "Callable[[ServerSideFlow, PoolMember, Message], Fields] | None" = None,
    ) -> None:
        """:param judge: what an answer's head means, before a byte of it goes to the client
        :param fields: the header of a request as it goes to a member
        """
        self.judge = judge or (lambda _, answer: ending_of(answer))
        self.fields = fields or self._fields
        self.rest_s = RESPONSE_COMPLETION_TIMEOUT_S
        self.part_may_run = False  # a request that a member has seen in part only
        self.ways = ways
        self.begin = begin
        self.clock = clock
        self.members = members
        self.route = route
        self.book = book

    def __call__(self, opened: Any, number: int, send: Sending) -> None:
        """Begin a flow; its ending is booked once, perhaps before this returns."""
        flow = ServerSideFlow(self, opened, number, send, self.clock.now())
        opened.flows[number] = flow
        flow.limit()
        self.attempt(flow)

    def attempt(self, flow: ServerSideFlow) -> None:
        try:
            member = self.route(flow.send.backend)
            got = self.members.obtain(member, lambda made, ended: self._up(flow, member, made, ended))
            if callable(got):
                flow.dialling = got
            else:
                self._write(flow, member, got)
        except ExchangeError as ended:
            flow.broken(ended)
        except Exception:  # a fault in one flow is that flow's ending, not the program's
            log.exception("a flow failed")
            flow.end(Ending.BROKEN)

    def _up(
        self, flow: ServerSideFlow, member: PoolMember, made: Exchange | None, ended: ExchangeError | None
    ) -> None:
        flow.dialling = None
        try:
            if made is None:
                assert ended is not None
                raise ended
            self._write(flow, member, made)
        except ExchangeError as wrong:
            flow.broken(wrong)
        except Exception:
            log.exception("a flow failed")
            flow.end(Ending.BROKEN)

    def _write(self, flow: ServerSideFlow, member: PoolMember, connection: Exchange) -> None:
        flow.connection, connection.flow = connection, flow
        self.route.check(member, flow)
        message = flow.opened.arrival.message
        connection.request(message.start, self.fields(flow, member, message), message.body, message.upload)

    def _fields(self, flow: ServerSideFlow, member: PoolMember, message: Message) -> Fields:
        left_us = max(1, flow.ends_us - self.clock.now())
        if not flow.opened.whole:
            left_us = flow.opened.arrival.timeout_us
        fields = end_to_end_fields(message, b"request-timeout")
        if message.field(b"host") is None:  # HTTP/1.0 has none, and 1.1 must have one
            fields.insert(0, (b"Host", str(member.dial).encode()))
        fields.append((b"Request-Timeout", b"%du" % left_us))
        return fields


def ending_of(answer: Message) -> Ending:
    """Only 503 and 504 with Not-Started certainly never ran."""
    if answer.start == 200:
        return Ending.SERVED
    if answer.start in (503, 504) and answer.field(b"not-started") == b"1":
        return Ending.NOT_STARTED
    return Ending.ERRORED
