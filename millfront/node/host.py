"""What hosts the decisions: the Gateway, its clock, timers and ids. Knows no protocol.

Requests come in through arrive() and leave through their Caller; attempts and counter calls go out through
the two ports and come back as events. Nothing else calls Gateway.handle().
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

DEADLINE_CHECK_US = 10_000  # between two looks for requests that are over their deadline
TIMER_RETRY_US = 20_000  # a timer's event that failed comes once more after so long
MAX_SLEEP_US = 1_000_000
DEADLINE_GRACE_US = (
    15_000  # past its deadline: the module had its time-out by then, and the rule's slack is still ahead
)


NO_DEADLINE_US = 3_600_000_000  # for a body under way: it ends by its own guards


class Clock:
    """Unix time in µs, read once and advanced by the monotonic clock: gatekeepers must agree on the counter's
    epochs, and a step of the system's clock must not move timers."""

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return (time.monotonic_ns() + self._offset_ns) // 1000


class Timers:
    """Callbacks by due time, run by one task."""

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
                except Exception:  # one bad callback must not stop the beat of all others
                    log.exception("a timer's callback failed")
            wait_us = self._heap[0][0] - self.clock.now() if self._heap else MAX_SLEEP_US
            # In whole ms, rounded up, and without a deadline: uvloop's timers come up to 1 ms early, and a
            # scope's deadline (or a sleep of what is left) would spin until it is really past.
            with anyio.CancelScope() as self._sleep:
                await anyio.sleep(max(1, -(-wait_us // 1000)) / 1000)


class Caller(Protocol):
    """Whoever brought a request in; is told its final answer once. One that begin() told of is ended by
    served() or cut()."""

    accepts_streaming: bool  # takes answers as they come

    def begin_response(self, answer: Any, source: Source) -> None:
        """The head of a served answer, and a part of its body."""

    def send_body(self, data: bytes) -> bool:
        """What came next of it; False: bring no more until the source is resumed."""
        ...

    def abort_response(self) -> None:
        """The rest of it does not come: the client must be able to tell."""

    def served(self, answer: Any) -> None: ...
    def rejected(self, retry_after_us: int) -> None: ...
    def failed(self) -> None: ...


class UnitLeaser(Protocol):
    """Live plans with reservations: leases units where a customer's plan runs short."""

    def on_short(self, short: api.Short) -> None: ...
    def handle_answer(self, answer: api.CounterAnswered) -> bool:
        """Whether that call was its own."""
        ...


class UsageRecorder(Protocol):
    """Is told of each try once as it is first sent on, and once when nothing of it is out any more."""

    def request_sent(self, opened: "OpenRequest", standing: api.Standing) -> None: ...
    def request_settled(self, opened: "OpenRequest") -> None: ...


class Flow(Protocol):
    """One attempt under way."""

    def cancel(self) -> None: ...
    def body_complete(self) -> None:
        """The request's last byte has come."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as the decisions need it, and as it came."""

    cls: int
    plan: int
    customer: int
    units: float
    spread: int
    first: int
    arrived_us: int
    timeout_us: int
    request_id: bytes = b""  # as its caller calls it; no two open ones share one
    message: Any = None
    plan_name: str = ""
    plan_version: int = 0  # of the plan book; 0: the settings'
    terms: api.Plan | None = None  # the plan book's, over `plan`
    reserves: bool = False


@dataclass(slots=True, eq=False)
class OpenRequest:
    id: int
    arrival: Arrival
    caller: Caller
    finished: bool = False
    attempts: int = 0
    may_have_run: bool = False  # an attempt may have run
    true_units: float = 0.0  # the true ones, where a good answer told them
    usage_mark: Any = None  # the tally's own mark
    max_attempts: int = 0
    body_received: bool = True  # else its body is under way, and its time has not begun
    streaming_flow: int = -1  # the attempt whose answer has begun to reach the client
    arrived_us: int = 0
    flows: dict[int, Flow] = field(default_factory=dict)

    @property
    def deadline_us(self) -> int:
        """Without an end while the request's body is under way."""
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
        self._open_request_ids: set[bytes] = set()  # of the open ones: entered and left together with them
        self._deadline_checks: dict[
            int, list[int]
        ] = {}  # by DEADLINE_CHECK_US: requests that are over by then
        self.unanswered = 0  # requests without their final answer
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
        """One event at a time: what comes up while actions are carried out waits its turn."""
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
        except Exception:  # a fault on one event must not take the program and all other requests down
            log.exception("the module failed", on=type(event).__name__)
            if isinstance(event, api.TimerFired):  # a beat lost once would be lost for good
                self._execute(api.SetTimer(TIMER_RETRY_US, event.token))
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                log.exception("an action could not be carried out", action=type(action).__name__)

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse(request, retry_after_us):
                if opened := self._finish(request):
                    opened.caller.rejected(min(retry_after_us, self.settings.allowed.max_retry_after_us))
            case api.Fail(request):
                if opened := self._finish(request):
                    opened.caller.failed()
            case api.Cancel(request, attempt):
                if (opened := self.open_requests.get(request)) and attempt in opened.flows:
                    if opened.streaming_flow == attempt and not opened.finished:
                        return  # its answer is the client's
                    opened.flows[attempt].cancel()
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
                pass  # the pool is always watched here
            case api.Probe() | api.Tell():
                log.warning("not possible on this platform", action=type(action).__name__)

    def counter_answered(self, answer: api.CounterAnswered) -> None:
        """A counter call's one answer, to whoever made the call."""
        if self.unit_leaser is None or not self.unit_leaser.handle_answer(answer):
            self.post_event(answer)

    def enable_live_plans(
        self, unit_leaser: UnitLeaser, on_plan_change: Callable[[int, Customer, api.Plan], None]
    ) -> None:
        """Switch live plans on: what leases units, and what becomes of an allowance on a change."""
        self.unit_leaser, self._gateway.on_plan_change = unit_leaser, on_plan_change

    @property
    def gateway(self) -> Gateway:
        """For a takeover, which moves what it holds; events go through tell() alone."""
        return self._gateway

    # ---- requests ----------------------------------------------------------------------------

    def start(self) -> None:
        self.post_event(api.Started())

    def apply_settings(self, retuned: api.Retuned) -> None:
        """New settings, for the module as for what is held to them here."""
        self.settings = retuned.settings
        self.post_event(retuned)

    def add_request(self, arrival: Arrival, caller: Caller, body_received: bool = True) -> OpenRequest:
        opened = OpenRequest(
            next(self._ids), arrival, caller, body_received=body_received, arrived_us=arrival.arrived_us
        )
        opened.max_attempts = self.settings.allowed.max_attempts
        self.open_requests[opened.id] = opened
        self._open_request_ids.add(arrival.request_id)
        self.unanswered += 1
        left_us = opened.deadline_us - self.clock.now()
        if body_received:
            self._schedule_overdue_check(opened.id, left_us + DEADLINE_GRACE_US)
        self.post_event(
            api.RequestArrived(
                opened.id,
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
        return opened

    def body_complete(self, opened: OpenRequest) -> None:
        """Its last byte has come: its time begins."""
        opened.body_received, opened.arrived_us = True, self.clock.now()
        if opened.finished:
            return
        self._schedule_overdue_check(opened.id, opened.arrival.timeout_us + DEADLINE_GRACE_US)
        for flow in list(opened.flows.values()):
            flow.body_complete()
        self.post_event(api.RequestWhole(opened.id, opened.arrival.timeout_us))

    def begin_stream(self, opened: OpenRequest, number: int, answer: Any, source: Source) -> bool:
        """An attempt's answer begins to go to the client; False: no answer is owed any more."""
        if opened.finished or opened.streaming_flow >= 0:
            return False
        opened.streaming_flow = number
        self.post_event(api.StreamStarted(opened.id, number))
        opened.caller.begin_response(answer, source)
        return True

    def _schedule_overdue_check(self, request: int, after_us: int) -> None:
        """Check the request once after this time. All checks of one DEADLINE_CHECK_US share a timer. Only the
        request's number is kept, so that its message can be freed before then."""
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

    def client_left(self, opened: OpenRequest) -> None:
        """The client went away: no answer is owed any more."""
        if self._finish(opened.id):
            self.post_event(api.RequestGone(opened.id))

    def _fail_overdue(self, request: int) -> None:
        """Guards the one final answer against a module that forgot the request."""
        opened = self.open_requests.get(request)
        if opened is not None and opened.streaming_flow >= 0:
            return  # the client's own since its answer has begun
        if opened := self._finish(request):
            log.error("request unanswered at its deadline")
            opened.caller.failed()
            self.post_event(api.RequestGone(opened.id))

    def _finish(self, request: int) -> OpenRequest | None:
        """The request, if its final answer was still owed."""
        opened = self.open_requests.get(request)
        if opened is None or opened.finished:
            return None
        opened.finished = True
        self.unanswered -= 1
        self._remove_if_done(opened)
        return opened

    def _remove_if_done(self, opened: OpenRequest) -> None:
        if opened.finished and not opened.flows and opened.id in self.open_requests:
            del self.open_requests[opened.id]
            self._open_request_ids.discard(opened.arrival.request_id)
            if opened.usage_mark is not None and self.usage_recorder is not None:
                self.usage_recorder.request_settled(opened)

    # ---- attempts ----------------------------------------------------------------------------

    def _send(self, send: api.Send) -> None:
        opened = self.open_requests.get(send.request)
        number = opened.attempts if opened else 0
        if opened:
            opened.attempts += 1
        late = opened is None or opened.finished or self.clock.now() >= opened.deadline_us
        if opened is None or late or number >= opened.max_attempts:
            self._report_attempt_ended(
                send.request, number, send.backend, api.Outcome.MOOT, opened is None or opened.finished
            )
            return
        if self.usage_recorder is not None and opened.usage_mark is None:
            self.usage_recorder.request_sent(opened, send.standing)
        self.start_flow(opened, number, send)

    def flow_ended(
        self,
        opened: OpenRequest,
        number: int,
        send: api.Send,
        outcome: api.Outcome,
        latency_us: int,
        answer: Any = None,
        units: float = 0.0,
    ) -> None:
        """The one event of an attempt; a first good answer is the request's final one."""
        opened.flows.pop(number, None)
        opened.may_have_run = opened.may_have_run or outcome not in NEVER_RAN
        opened.true_units = opened.true_units or units
        if outcome is api.Outcome.OK and opened.streaming_flow in (-1, number) and self._finish(opened.id):
            opened.caller.served(answer)
        elif opened.streaming_flow == number and self._finish(opened.id):
            opened.caller.abort_response()
        self._remove_if_done(opened)
        self._report_attempt_ended(
            opened.id, number, send.backend, outcome, opened.finished, latency_us, units
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
