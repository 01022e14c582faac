"""Send: runs one attempt (a server-side flow), from getting a connection to its response or failure."""

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

MAX_RECONNECTS = 2  # more connections: a healthy member is not blamed for one that broke at once
TIMER_SLACK_S = 0.001  # the event loop's timers can fire this early
PARTIAL_DELIVERY_S = 0.2  # a response without a length is buffered this long, then forwarded
BODY_STALL_TIMEOUT_US = 10_000_000  # a body without progress; a wait for the client does not count
STALL_CHECK_INTERVAL_S = 1.0


class AttemptTarget(Protocol):
    """The member that an attempt goes to, and its timeout; 0: until the request's deadline."""

    @property
    def backend(self) -> MemberId: ...
    @property
    def timeout_us(self) -> int: ...


class MemberRouter(Protocol):
    """Finds the member for a choice and checks that it may be sent to. Both methods raise ExchangeError."""

    def __call__(self, backend: Any) -> PoolMember: ...
    def check(self, member: PoolMember, flow: Any) -> None: ...


class ServerSideFlow:
    """One attempt. It ends exactly once, in whatever order cancel, timeout, response and failure arrive."""

    __slots__ = (
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
        "response",
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
        # An OpenRequest or similar: arrival, caller, flows, body_received, deadline_us
        self.open_request = open_request
        self.number = number
        self.target = target
        self.started_us = now_us
        left_us = open_request.deadline_us - now_us
        self.deadline_us = now_us + (min(target.timeout_us, left_us) if target.timeout_us else left_us)
        self.reconnects_left = MAX_RECONNECTS
        self.finished = False
        self.connection: Exchange | None = None
        self.cancel_connect: Callable[[], None] | None = None  # aborts the connect under way
        self.timer: asyncio.TimerHandle | None = None
        self.completion_timer: asyncio.TimerHandle | None = None  # started by a response's first bytes
        self.streaming = False  # the response is forwarded as it arrives
        self.response: Message | None = None  # the head of a streamed response
        self.first_byte_us = 0  # when the response's first bytes arrived
        self.body_progress_us = now_us  # last progress of a body
        self.paused = False  # until the client has taken what was forwarded
        self.has_body_slot = False

    def cancel(self) -> None:
        self.end(Ending.CANCELLED)

    def end(self, ending: Ending, response: Message | None = None) -> None:
        """Ends the attempt, once. Closing an open connection tells the member that it was given up."""
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
        self.stage.record(self, ending, response)

    def release_connection(self) -> None:
        """Closes the connection. An upload in progress is detached and waits for the next connection: what is
        written to this one would be lost."""
        connection, self.connection = self.connection, None
        if connection is None:
            return
        connection.flow = None
        if (upload := self.open_request.arrival.message.upload) is not None:
            upload.detach(connection)
        connection.drop()

    def body_complete(self) -> None:
        """The request's last byte has arrived: the attempt's time starts now."""
        now_us = self.stage.clock.now()
        self.started_us, self.deadline_us = now_us, self.open_request.deadline_us
        self.start_timer()

    def start_timer(self) -> None:
        """Starts the attempt's timeout; while a body is in transfer, the check for a stall instead."""
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
        """The member has not accepted all that was written to it."""
        return self.connection is not None and not self.connection.request_flushed()

    # ---- callbacks of the connection ---------------------------------------------------------

    def on_partial_response(self) -> None:
        """A response has begun and is incomplete; it may arrive in many pieces. One that then stalls is taken
        for malformed. One without a length is forwarded after a while, not only once it is long."""
        loop = asyncio.get_running_loop()
        if self.completion_timer is not None:
            self.completion_timer.cancel()
        if self.first_byte_us == 0:
            self.first_byte_us = self.stage.clock.now()
            loop.call_later(PARTIAL_DELIVERY_S, self.deliver_partial)
        self.completion_timer = loop.call_later(
            self.stage.completion_timeout_s, self.on_malformed, "response begun and not completed in time"
        )

    def deliver_partial(self) -> None:
        if not self.finished and not self.streaming and self.response is None and self.connection is not None:
            self.connection.deliver_partial()

    def on_response_head(self, response: Message) -> None:
        if self.completion_timer is not None:
            self.completion_timer.cancel()
            self.completion_timer = None
        if (ending := self.stage.classify_response(self, response)) is not Ending.SERVED:
            self.end(ending)
            return
        if not self.open_request.caller.accepts_streaming:
            self.on_malformed("response too long to buffer")
            return
        assert self.connection is not None
        self.connection.pause()
        self.response, self.first_byte_us = response, self.stage.clock.now()
        self.stage.body_slots.acquire(self.start_streaming)

    def start_streaming(self) -> None:
        """A body slot is free: forwards the response to the client."""
        if self.finished:  # while waiting for the slot
            self.stage.body_slots.release()
            return
        self.has_body_slot = True
        assert self.response is not None
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
            self.end(Ending.SERVED, self.response)
        elif not accepts_more:
            self.paused = True
            connection.pause()

    def resume(self) -> None:
        """The client has taken what was forwarded."""
        self.paused, self.body_progress_us = False, self.stage.clock.now()
        connection = self.connection
        if connection is None:
            return
        connection.deliver_buffered()
        if not self.paused and not self.finished:
            connection.resume()

    def abandon(self) -> None:
        """The client has disconnected."""
        self.end(Ending.CANCELLED)

    def on_body_progress(self) -> None:
        self.body_progress_us = self.stage.clock.now()

    def on_malformed(self, why: str) -> None:
        if not self.finished:
            log.warning("malformed response from a pool member", member=self.target.backend, why=why)
            if self.connection is not None:
                self.connection.record_outcome(True)
            self.end(Ending.MALFORMED)

    def on_response(self, response: Message) -> None:
        connection = self.connection
        assert connection is not None
        connection.record_outcome(True)
        ending = self.stage.classify_response(self, response)
        if ending is not Ending.MALFORMED and connection.release():
            connection.flow, self.connection = None, None
        self.end(ending, response)

    def on_broken(self, error: ExchangeError) -> None:
        """The connection has ended without a complete response. Reconnects if the request may be resent."""
        if self.connection is not None and error.ending is Ending.BROKEN:
            self.connection.record_outcome(False)
        self.release_connection()
        if error.partially_sent and self.stage.partial_may_run:
            error = ExchangeError(Ending.BROKEN)
        upload = self.open_request.arrival.message.upload
        replayable = upload is None or not upload.forwarded  # forwarded bytes are not kept
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
        classify_response: "Callable[[ServerSideFlow, Message], Ending] | None" = None,
        fields: "Callable[[ServerSideFlow, PoolMember, Message], Fields] | None" = None,
    ) -> None:
        """:param route: finds and checks the member of a target
        :param record: called once for each finished attempt
        :param begin_stream: starts a streamed response to the client; False: none is owed any more
        :param classify_response: the ending that a response's head means, before any byte goes to the client
        :param fields: the header fields of a request to a member
        """
        self.classify_response = classify_response or (lambda _, response: ending_of(response))
        self.fields = fields or self._default_fields
        self.completion_timeout_s = RESPONSE_COMPLETION_TIMEOUT_S
        self.partial_may_run = False  # whether a request of which a member has seen a part may have run
        self.body_slots = body_slots
        self.begin_stream = begin_stream
        self.clock = clock
        self.members = members
        self.route = route
        self.record = record

    def __call__(self, open_request: Any, number: int, target: AttemptTarget) -> None:
        """Starts an attempt. Its ending is recorded once, possibly before this returns."""
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
        except Exception:  # a fault ends this attempt, not the process
            log.exception("attempt failed by an internal error")
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
            log.exception("attempt failed by an internal error")
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
        if message.field(b"host") is None:  # optional in HTTP/1.0, required in 1.1
            fields.insert(0, (b"Host", str(member.address).encode()))
        fields.append((b"Request-Timeout", b"%du" % left_us))
        return fields


def ending_of(response: Message) -> Ending:
    """Only 503 and 504 with `Not-Started: 1` are certain never to have run."""
    if response.start == 200:
        return Ending.SERVED
    if response.start in (503, 504) and response.field(b"not-started") == b"1":
        return Ending.NOT_STARTED
    return Ending.ERRORED
