"""Hosts the decision module: the Gateway, its clock, timers and ids. Knows no protocol.

Requests enter through add_request() and leave through their Caller. Attempts and counter calls go out through
start_flow and start_count and come back as events. Nothing else calls Gateway.handle().
"""

import heapq
import itertools
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import anyio

from millfront import interface as api
from millfront.choice import Gateway
from millfront.decisions.attempts import NEVER_RAN
from millfront.decisions.state import Customer
from millfront.logs import Log
from millfront.node.bodies import Source

log = Log(__name__)

DEADLINE_CHECK_US = 10_000  # between two checks for requests past their deadline
TIMER_RETRY_US = 20_000  # until a timer event that failed is posted again
MAX_SLEEP_US = 1_000_000
# After a request's deadline: the decision module has had its timeout, and the slack that the platform's rule
# allows is not used up yet.
DEADLINE_GRACE_US = 15_000
NO_DEADLINE_US = 3_600_000_000  # while a body is in transfer, which has its own timeouts


class Clock:
    """Unix time in µs, read once and advanced by the monotonic clock: gatekeepers must agree on the counter's
    epochs, and a step of the system clock must not move timers."""

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return (time.monotonic_ns() + self._offset_ns) // 1000


class Timers:
    """Callbacks ordered by due time, run by one task."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._sleep = anyio.CancelScope()

    def after(self, delay_us: int, call: Callable[[], None]) -> None:
        entry = (self.clock.now() + delay_us, next(self._order), call)
        heapq.heappush(self._heap, entry)
        if self._heap[0] is entry:
            self._sleep.cancel()

    async def run(self) -> None:
        while True:
            while self._heap and self._heap[0][0] <= self.clock.now():
                call = heapq.heappop(self._heap)[2]
                try:
                    call()
                except Exception:  # one failing callback must not stop the others
                    log.exception("timer callback failed")
            wait_us = self._heap[0][0] - self.clock.now() if self._heap else MAX_SLEEP_US
            # In whole ms, rounded up, and without a deadline: uvloop's timers fire up to 1 ms early, and a
            # scope's deadline (or a sleep for the exact remainder) would spin until it has really passed.
            with anyio.CancelScope() as self._sleep:
                await anyio.sleep(max(1, -(-wait_us // 1000)) / 1000)


class Caller(Protocol):
    """The origin of a request; receives its final response once. A response that begin_response() has started
    is ended by served() or abort_response()."""

    accepts_streaming: bool  # can forward a response while it arrives

    def begin_response(self, response: Any, source: Source) -> None:
        """Starts a streamed response: its head and the first part of its body."""

    def send_body(self, data: bytes) -> bool:
        """Sends the next part of the body; False: send no more until the source is resumed."""
        ...

    def abort_response(self) -> None:
        """The rest of the response is lost; the client must be able to tell."""

    def served(self, response: Any) -> None: ...
    def rejected(self, retry_after_us: int) -> None: ...
    def failed(self) -> None: ...


class UnitLeaser(Protocol):
    """Live plans with reservations: leases units when a customer's plan runs short."""

    def on_short(self, short: api.Short) -> None: ...
    def handle_answer(self, answer: api.CounterAnswered) -> bool:
        """Handles the answer to a counter call; False if the call was not its own."""
        ...


class UsageRecorder(Protocol):
    """Notified of each request once when it is first sent, and once when it is over with all its attempts."""

    def request_sent(self, open_request: "OpenRequest", standing: api.Standing) -> None: ...
    def request_settled(self, open_request: "OpenRequest") -> None: ...


class Flow(Protocol):
    """One attempt in progress."""

    def cancel(self) -> None: ...
    def body_complete(self) -> None:
        """The request's last byte has arrived."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as the decisions need it, and its message."""

    cls: int
    plan: int
    customer: int
    units: float
    spread: int
    first: int
    arrived_us: int
    timeout_us: int
    request_id: bytes = b""  # the client's; unique among open requests
    message: Any = None
    plan_name: str = ""
    plan_version: int = 0  # of the plan book; 0: the plan is from the settings
    terms: api.Plan | None = None  # from the plan book; overrides `plan`
    reserves: bool = False


@dataclass(slots=True, eq=False)
class OpenRequest:
    id: int
    arrival: Arrival
    caller: Caller
    finished: bool = False
    attempts: int = 0
    may_have_run: bool = False  # some attempt may have run
    true_units: float = 0.0  # as stated by a successful response
    usage_mark: Any = None  # of the usage recorder
    max_attempts: int = 0
    body_received: bool = True  # until then the body is in transfer, without a deadline
    streaming_flow: int = -1  # the attempt whose response is streamed to the client; -1: none
    arrived_us: int = 0
    flows: dict[int, Flow] = field(default_factory=dict)

    @property
    def deadline_us(self) -> int:
        """In µs; effectively none while the request's body is in transfer."""
        return (
            self.arrived_us + self.arrival.timeout_us
            if self.body_received
            else self.arrived_us + NO_DEADLINE_US
        )


class Host:
    def __init__(self, settings: api.Settings, seed: int, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.timers = Timers(clock)
        self.open_requests: dict[int, OpenRequest] = {}
        self._open_request_ids: set[bytes] = set()  # of open_requests
        # Requests to check, by time in units of DEADLINE_CHECK_US
        self._deadline_checks: dict[int, list[int]] = {}
        self.unanswered = 0  # requests without their final response
        self.start_flow: Callable[[OpenRequest, int, api.Send], None]
        self.start_count: Callable[[api.Count], None]
        self.close_idle: Callable[[int], None]
        self.unit_leaser: UnitLeaser | None = None
        self.usage_recorder: UsageRecorder | None = None
        self._gateway = Gateway(settings, seed)
        self._ids = itertools.count(1)
        self._events: deque[api.Event] = deque()
        self._processing = False

    def post_event(self, event: api.Event) -> None:
        """Queues an event. Events are processed one at a time, also if posted while an action is executed."""
        self._events.append(event)
        if self._processing:
            return
        self._processing = True
        try:
            while self._events:
                self._process_event(self._events.popleft())
        finally:
            self._processing = False

    def _process_event(self, event: api.Event) -> None:
        try:
            actions = self._gateway.handle(self.clock.now(), event)
        except Exception:  # a fault on one event must not end the process and all requests
            log.exception("decision module failed on an event", on=type(event).__name__)
            if isinstance(event, api.TimerFired):  # a periodic timer would otherwise be lost for good
                self._execute(api.SetTimer(TIMER_RETRY_US, event.token))
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                log.exception("action failed", action=type(action).__name__)

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse(request, retry_after_us):
                if open_request := self._finish(request):
                    open_request.caller.rejected(
                        min(retry_after_us, self.settings.allowed.max_retry_after_us)
                    )
            case api.Fail(request):
                if open_request := self._finish(request):
                    open_request.caller.failed()
            case api.Cancel(request, attempt):
                if (open_request := self.open_requests.get(request)) and attempt in open_request.flows:
                    if open_request.streaming_flow == attempt and not open_request.finished:
                        return  # its response is being sent to the client
                    open_request.flows[attempt].cancel()
            case api.SetTimer(delay_us, token):
                self.timers.after(delay_us, lambda: self.post_event(api.TimerFired(token)))
            case api.Count():
                self.start_count(action)
            case api.Short():
                if self.unit_leaser is not None:
                    self.unit_leaser.on_short(action)
            case api.CloseIdle(backend):
                self.close_idle(backend)
            case api.Log(text):
                log.info(text)
            case api.Watch() | api.FetchList():
                pass  # this host always watches the pool
            case api.Probe() | api.Tell():
                log.warning("action not supported on this platform", action=type(action).__name__)

    def counter_answered(self, answer: api.CounterAnswered) -> None:
        """Passes the one answer of a counter call to whoever made the call."""
        if self.unit_leaser is None or not self.unit_leaser.handle_answer(answer):
            self.post_event(answer)

    def enable_live_plans(
        self, unit_leaser: UnitLeaser, on_plan_change: Callable[[int, Customer, api.Plan], None]
    ) -> None:
        """Enables live plans.

        :param unit_leaser: leases units when a plan runs short
        :param on_plan_change: carries a customer's allowance over to a changed plan
        """
        self.unit_leaser, self._gateway.on_plan_change = unit_leaser, on_plan_change

    @property
    def gateway(self) -> Gateway:
        """For a takeover, which moves its state; events go through post_event() only."""
        return self._gateway

    # ---- requests ----------------------------------------------------------------------------

    def start(self) -> None:
        self.post_event(api.Started())

    def apply_settings(self, retuned: api.Retuned) -> None:
        """Applies new settings, here and in the decision module."""
        self.settings = retuned.settings
        self.post_event(retuned)

    def add_request(self, arrival: Arrival, caller: Caller, body_received: bool = True) -> OpenRequest:
        open_request = OpenRequest(
            next(self._ids), arrival, caller, body_received=body_received, arrived_us=arrival.arrived_us
        )
        open_request.max_attempts = self.settings.allowed.max_attempts
        self.open_requests[open_request.id] = open_request
        self._open_request_ids.add(arrival.request_id)
        self.unanswered += 1
        left_us = open_request.deadline_us - self.clock.now()
        if body_received:
            self._schedule_overdue_check(open_request.id, left_us + DEADLINE_GRACE_US)
        self.post_event(
            api.RequestArrived(
                open_request.id,
                arrival.cls,
                arrival.plan,
                arrival.customer,
                max(1, left_us),
                arrival.units,
                arrival.spread,
                arrival.first,
                arrival.terms,
                arrival.reserves,
                body_received,
            )
        )
        return open_request

    def body_complete(self, open_request: OpenRequest) -> None:
        """The request's last byte has arrived: its time starts now."""
        open_request.body_received, open_request.arrived_us = True, self.clock.now()
        if open_request.finished:
            return
        self._schedule_overdue_check(open_request.id, open_request.arrival.timeout_us + DEADLINE_GRACE_US)
        for flow in list(open_request.flows.values()):
            flow.body_complete()
        self.post_event(api.RequestWhole(open_request.id, open_request.arrival.timeout_us))

    def begin_stream(self, open_request: OpenRequest, number: int, response: Any, source: Source) -> bool:
        """Starts streaming an attempt's response to the client; False: no response is owed any more."""
        if open_request.finished or open_request.streaming_flow >= 0:
            return False
        open_request.streaming_flow = number
        self.post_event(api.StreamStarted(open_request.id, number))
        open_request.caller.begin_response(response, source)
        return True

    def _schedule_overdue_check(self, request: int, after_us: int) -> None:
        """Checks the request once, after this time. Checks within one DEADLINE_CHECK_US share a timer. Only
        the request's id is kept, so that its message can be freed before then."""
        now = self.clock.now()
        tick = (now + after_us) // DEADLINE_CHECK_US + 1
        if tick in self._deadline_checks:
            self._deadline_checks[tick].append(request)
        else:
            self._deadline_checks[tick] = [request]
            self.timers.after(tick * DEADLINE_CHECK_US - now, lambda: self._check_deadlines(tick))

    def _check_deadlines(self, tick: int) -> None:
        for request in self._deadline_checks.pop(tick):
            self._fail_overdue(request)

    def is_open(self, request_id: bytes) -> bool:
        return request_id in self._open_request_ids

    def client_left(self, open_request: OpenRequest) -> None:
        """The client has disconnected: no response is owed any more."""
        if self._finish(open_request.id):
            self.post_event(api.RequestGone(open_request.id))

    def _fail_overdue(self, request: int) -> None:
        """Ensures the final response if the decision module has forgotten the request."""
        open_request = self.open_requests.get(request)
        if open_request is not None and open_request.streaming_flow >= 0:
            return  # its response is being streamed
        if open_request := self._finish(request):
            log.error("no decision for a request by its deadline; failing it")
            open_request.caller.failed()
            self.post_event(api.RequestGone(open_request.id))

    def _finish(self, request: int) -> OpenRequest | None:
        """Marks the request as finished; returns it if its final response was still owed."""
        open_request = self.open_requests.get(request)
        if open_request is None or open_request.finished:
            return None
        open_request.finished = True
        self.unanswered -= 1
        self._remove_if_done(open_request)
        return open_request

    def _remove_if_done(self, open_request: OpenRequest) -> None:
        if open_request.finished and not open_request.flows and open_request.id in self.open_requests:
            del self.open_requests[open_request.id]
            self._open_request_ids.discard(open_request.arrival.request_id)
            if open_request.usage_mark is not None and self.usage_recorder is not None:
                self.usage_recorder.request_settled(open_request)

    # ---- attempts ----------------------------------------------------------------------------

    def _send(self, send: api.Send) -> None:
        open_request = self.open_requests.get(send.request)
        number = open_request.attempts if open_request else 0
        if open_request:
            open_request.attempts += 1
        late = open_request is None or open_request.finished or self.clock.now() >= open_request.deadline_us
        if open_request is None or late or number >= open_request.max_attempts:
            self._report_attempt_ended(
                send.request,
                number,
                send.backend,
                api.Outcome.MOOT,
                open_request is None or open_request.finished,
            )
            return
        if self.usage_recorder is not None and open_request.usage_mark is None:
            self.usage_recorder.request_sent(open_request, send.standing)
        self.start_flow(open_request, number, send)

    def flow_ended(
        self,
        open_request: OpenRequest,
        number: int,
        send: api.Send,
        outcome: api.Outcome,
        latency_us: int,
        response: Any = None,
        units: float = 0.0,
    ) -> None:
        """Reports the end of an attempt, once. The first success is the request's final response."""
        open_request.flows.pop(number, None)
        open_request.may_have_run = open_request.may_have_run or outcome not in NEVER_RAN
        open_request.true_units = open_request.true_units or units
        if (
            outcome is api.Outcome.OK
            and open_request.streaming_flow in (-1, number)
            and self._finish(open_request.id)
        ):
            open_request.caller.served(response)
        elif open_request.streaming_flow == number and self._finish(open_request.id):
            open_request.caller.abort_response()
        self._remove_if_done(open_request)
        self._report_attempt_ended(
            open_request.id, number, send.backend, outcome, open_request.finished, latency_us, units
        )

    def _report_attempt_ended(
        self,
        request: int,
        number: int,
        backend: int,
        outcome: api.Outcome,
        closed: bool,
        latency_us: int = 0,
        units: float = 0.0,
    ) -> None:
        self.post_event(api.AttemptEnded(request, number, backend, outcome, closed, latency_us, units))
