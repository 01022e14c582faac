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

MAX_RECONNECTS = (
    2  # connections more: guards a member that is well against being blamed for one that broke at once
)
TIMER_SLACK_S = 0.001  # the loop's timers may come so much early
PARTIAL_DELIVERY_S = 0.2  # an answer without a length is gathered for so long, then what there is goes on
BODY_STALL_TIMEOUT_US = (
    10_000_000  # a body under way of which nothing moves for so long, and not for want of its taker
)
STALL_CHECK_INTERVAL_S = 1.0  # between two looks at that


class AttemptTarget(Protocol):
    """Where an attempt goes, and for how long at most; 0: until the client gives up."""

    @property
    def backend(self) -> MemberId: ...
    @property
    def timeout_us(self) -> int: ...


class MemberRouter(Protocol):
    """From a choice to a member that may be sent to. Both raise ExchangeError."""

    def __call__(self, backend: Any) -> PoolMember: ...
    def check(self, member: PoolMember, flow: Any) -> None: ...


class ServerSideFlow:
    """One attempt: ends once, however cancel, time-out, answer and break cross."""

    __slots__ = (
        "answer",
        "body_progress_us",
        "cancel_connect",
        "completion_timer",
        "connection",
        "deadline_us",
        "finished",
        "first_byte_us",
        "has_body_slot",
        "number",
        "open_request",
        "paused",
        "reconnects_left",
        "stage",
        "started_us",
        "streaming",
        "target",
        "timer",
    )

    def __init__(
        self, stage: "Send", open_request: Any, number: int, target: AttemptTarget, now_us: int
    ) -> None:
        self.stage = stage
        self.open_request = (
            open_request  # an OpenRequest, or the like: arrival, caller, flows, whole, deadline_us
        )
        self.number = number
        self.target = target
        self.started_us = now_us
        left_us = open_request.deadline_us - now_us
        self.deadline_us = now_us + (min(target.timeout_us, left_us) if target.timeout_us else left_us)
        self.reconnects_left = MAX_RECONNECTS
        self.finished = False
        self.connection: Exchange | None = None
        self.cancel_connect: Callable[[], None] | None = None  # gives the connection being set up up
        self.timer: asyncio.TimerHandle | None = None
        self.completion_timer: asyncio.TimerHandle | None = None  # from an answer's first bytes
        self.streaming = False  # the answer goes on as it comes
        self.answer: Message | None = None  # its beginning
        self.first_byte_us = 0  # when that came
        self.body_progress_us = now_us  # when something of a body under way moved last
        self.paused = False  # the client does not take the rest yet
        self.has_body_slot = False

    def cancel(self) -> None:
        self.end(Ending.CANCELLED)

    def end(self, ending: Ending, answer: Message | None = None) -> None:
        """The one ending. What is still up is closed: that tells the member that the attempt is given up."""
        if self.finished:
            return
        self.finished = True
        for timer in (self.timer, self.completion_timer):
            if timer is not None:
                timer.cancel()
        if self.cancel_connect is not None:
            self.cancel_connect()
        self.release_connection()
        if self.has_body_slot:
            self.has_body_slot = False
            self.stage.body_slots.release()
        self.stage.record(self, ending, answer)

    def release_connection(self) -> None:
        """Of the connection, which carries nothing more. A body under way must wait for the next one: put to
        this one, it would be lost between the two."""
        connection, self.connection = self.connection, None
        if connection is None:
            return
        connection.flow = None
        if (upload := self.open_request.arrival.message.upload) is not None:
            upload.detach(connection)
        connection.drop()

    def body_complete(self) -> None:
        """The request's last byte has come: the attempt's time begins."""
        now_us = self.stage.clock.now()
        self.started_us, self.deadline_us = now_us, self.open_request.deadline_us
        self.start_timer()

    def start_timer(self) -> None:
        """End with the attempt's time; a body under way ends by itself, or where nothing of it moves."""
        if self.timer is not None:
            self.timer.cancel()
        loop = asyncio.get_running_loop()
        if self.streaming or not self.open_request.body_received:
            self.timer = loop.call_later(STALL_CHECK_INTERVAL_S, self.check_stall)
        else:
            left_s = max(0.0, (self.deadline_us - self.stage.clock.now()) / 1e6)
            self.timer = loop.call_later(left_s + TIMER_SLACK_S, self.end, Ending.TIMED_OUT)

    def check_stall(self) -> None:
        stalled = not self.paused if self.streaming else self.upload_blocked()
        if stalled and self.body_progress_us < self.stage.clock.now() - BODY_STALL_TIMEOUT_US:
            self.end(Ending.TIMED_OUT)
        else:
            self.start_timer()

    def upload_blocked(self) -> bool:
        """The member does not take the request's body."""
        return self.connection is not None and not self.connection.request_flushed()

    # ---- what the connection tells -----------------------------------------------------------

    def on_partial_response(self) -> None:
        """An answer has begun and is not whole: what stalls inside a message will not end well. It may come
        in many pieces, and one without a length is not to wait until it is long."""
        loop = asyncio.get_running_loop()
        if self.completion_timer is not None:
            self.completion_timer.cancel()
        if self.first_byte_us == 0:
            self.first_byte_us = self.stage.clock.now()
            loop.call_later(PARTIAL_DELIVERY_S, self.deliver_partial)
        self.completion_timer = loop.call_later(
            self.stage.completion_timeout_s, self.on_malformed, "an answer begun and not ended"
        )

    def deliver_partial(self) -> None:
        if not self.finished and not self.streaming and self.answer is None and self.connection is not None:
            self.connection.deliver_partial()

    def on_response_head(self, answer: Message) -> None:
        if self.completion_timer is not None:
            self.completion_timer.cancel()
            self.completion_timer = None
        if (ending := self.stage.classify_answer(self, answer)) is not Ending.SERVED:
            self.end(ending)
            return
        if not self.open_request.caller.accepts_streaming:
            self.on_malformed("an answer too long to be gathered")
            return
        assert self.connection is not None
        self.connection.pause()
        self.answer, self.first_byte_us = answer, self.stage.clock.now()
        self.stage.body_slots.acquire(self.start_streaming)

    def start_streaming(self) -> None:
        """It is this answer's turn to go on."""
        if self.finished:  # while it waited
            self.stage.body_slots.release()
            return
        self.has_body_slot = True
        assert self.answer is not None
        self.streaming = self.stage.begin_stream(self)
        if not self.streaming:
            self.end(Ending.CANCELLED)
        elif not self.finished:
            self.body_progress_us = self.first_byte_us
            self.start_timer()

    def on_body(self, data: bytes, last: bool) -> None:
        if self.finished:
            return
        self.body_progress_us = self.stage.clock.now()
        accepts_more = not data or self.open_request.caller.send_body(data)
        connection = self.connection
        if self.finished or connection is None:
            return
        if last:
            connection.record_outcome(True)
            if connection.release():
                connection.flow, self.connection = None, None
                connection.resume()
            self.end(Ending.SERVED, self.answer)
        elif not accepts_more:
            self.paused = True
            connection.pause()

    def resume(self) -> None:
        """The client has taken what came."""
        self.paused, self.body_progress_us = False, self.stage.clock.now()
        connection = self.connection
        if connection is None:
            return
        connection.deliver_buffered()
        if not self.paused and not self.finished:
            connection.resume()

    def abandon(self) -> None:
        """The client is gone."""
        self.end(Ending.CANCELLED)

    def on_body_progress(self) -> None:
        self.body_progress_us = self.stage.clock.now()

    def on_malformed(self, why: str) -> None:
        if not self.finished:
            log.warning("a pool member answered nonsense", member=self.target.backend, why=why)
            if self.connection is not None:
                self.connection.record_outcome(True)
            self.end(Ending.MALFORMED)

    def on_response(self, answer: Message) -> None:
        connection = self.connection
        assert connection is not None
        connection.record_outcome(True)
        ending = self.stage.classify_answer(self, answer)
        if ending is not Ending.MALFORMED and connection.release():
            connection.flow, self.connection = None, None
        self.end(ending, answer)

    def on_broken(self, error: ExchangeError) -> None:
        """The connection has ended without an answer."""
        if self.connection is not None and error.ending is Ending.BROKEN:
            self.connection.record_outcome(False)
        self.release_connection()
        if error.partially_sent and self.stage.partial_may_run:
            error = ExchangeError(Ending.BROKEN)
        upload = self.open_request.arrival.message.upload
        replayable = upload is None or not upload.forwarded  # what has gone on is not there any more
        if (
            error.retryable
            and self.reconnects_left > 0
            and replayable
            and not self.finished
            and not self.streaming
        ):
            self.reconnects_left -= 1
            self.stage.start_attempt(self)
        else:
            self.end(error.ending)


class Send:
    def __init__(
        self,
        clock: Clock,
        members: Members,
        route: MemberRouter,
        record: Callable[[ServerSideFlow, Ending, Message | None], None],
        body_slots: BodySlots,
        begin_stream: Callable[[ServerSideFlow], bool],
        classify_answer: "Callable[[ServerSideFlow, Message], Ending] | None" = None,
        fields: "Callable[[ServerSideFlow, PoolMember, Message], Fields] | None" = None,
    ) -> None:
        """:param judge: what an answer's head means, before a byte of it goes to the client
        :param fields: the header of a request as it goes to a member
        """
        self.classify_answer = classify_answer or (lambda _, answer: ending_of(answer))
        self.fields = fields or self._default_fields
        self.completion_timeout_s = RESPONSE_COMPLETION_TIMEOUT_S
        self.partial_may_run = False  # a request that a member has seen in part only
        self.body_slots = body_slots
        self.begin_stream = begin_stream
        self.clock = clock
        self.members = members
        self.route = route
        self.record = record

    def __call__(self, open_request: Any, number: int, target: AttemptTarget) -> None:
        """Begin a flow; its ending is booked once, perhaps before this returns."""
        flow = ServerSideFlow(self, open_request, number, target, self.clock.now())
        open_request.flows[number] = flow
        flow.start_timer()
        self.start_attempt(flow)

    def start_attempt(self, flow: ServerSideFlow) -> None:
        try:
            member = self.route(flow.target.backend)
            obtained = self.members.obtain(
                member, lambda connection, error: self._on_connected(flow, member, connection, error)
            )
            if callable(obtained):
                flow.cancel_connect = obtained
            else:
                self._write(flow, member, obtained)
        except ExchangeError as error:
            flow.on_broken(error)
        except Exception:  # a fault in one flow is that flow's ending, not the program's
            log.exception("a flow failed")
            flow.end(Ending.BROKEN)

    def _on_connected(
        self,
        flow: ServerSideFlow,
        member: PoolMember,
        connection: Exchange | None,
        error: ExchangeError | None,
    ) -> None:
        flow.cancel_connect = None
        try:
            if connection is None:
                assert error is not None
                raise error
            self._write(flow, member, connection)
        except ExchangeError as failure:
            flow.on_broken(failure)
        except Exception:
            log.exception("a flow failed")
            flow.end(Ending.BROKEN)

    def _write(self, flow: ServerSideFlow, member: PoolMember, connection: Exchange) -> None:
        flow.connection, connection.flow = connection, flow
        self.route.check(member, flow)
        message = flow.open_request.arrival.message
        connection.request(message.start, self.fields(flow, member, message), message.body, message.upload)

    def _default_fields(self, flow: ServerSideFlow, member: PoolMember, message: Message) -> Fields:
        left_us = max(1, flow.deadline_us - self.clock.now())
        if not flow.open_request.body_received:
            left_us = flow.open_request.arrival.timeout_us
        fields = end_to_end_fields(message, b"request-timeout")
        if message.field(b"host") is None:  # HTTP/1.0 has none, and 1.1 must have one
            fields.insert(0, (b"Host", str(member.address).encode()))
        fields.append((b"Request-Timeout", b"%du" % left_us))
        return fields


def ending_of(answer: Message) -> Ending:
    """Only 503 and 504 with Not-Started certainly never ran."""
    if answer.start == 200:
        return Ending.SERVED
    if answer.start in (503, 504) and answer.field(b"not-started") == b"1":
        return Ending.NOT_STARTED
    return Ending.ERRORED
