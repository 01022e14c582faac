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

GUARD_US = 10_000  # between two looks for requests that are over their deadline
AGAIN_US = 20_000  # a timer's event that failed comes once more after so long
MOST_SLEEP_US = 1_000_000
OVERDUE_US = (
    15_000  # past its deadline: the module had its time-out by then, and the rule's slack is still ahead
)


NEVER_US = 3_600_000_000  # for a body under way: it ends by its own guards


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
            wait_us = self._heap[0][0] - self.clock.now() if self._heap else MOST_SLEEP_US
            # In whole ms, rounded up, and without a deadline: uvloop's timers come up to 1 ms early, and a
            # scope's deadline (or a sleep of what is left) would spin until it is really past.
            with anyio.CancelScope() as self._sleep:
                await anyio.sleep(max(1, -(-wait_us // 1000)) / 1000)


class Caller(Protocol):
    """Whoever brought a request in; is told its final answer once. One that begin() told of is ended by
    served() or cut()."""

    streams: bool  # takes answers as they come

    def begin(self, answer: Any, source: Source) -> None:
        """The head of a served answer, and a part of its body."""

    def more(self, data: bytes) -> bool:
        """What came next of it; False: bring no more until the source is resumed."""
        ...

    def cut(self) -> None:
        """The rest of it does not come: the client must be able to tell."""

    def served(self, answer: Any) -> None: ...
    def rejected(self, retry_after_us: int) -> None: ...
    def failed(self) -> None: ...


class Reserving(Protocol):
    """Live plans with reservations: leases units where a customer's plan runs short."""

    def short(self, short: api.Short) -> None: ...
    def answered(self, answer: api.CounterAnswered) -> bool:
        """Whether that call was its own."""
        ...


class Tally(Protocol):
    """Is told of each try once as it is first sent on, and once when nothing of it is out any more."""

    def sending(self, opened: "OpenRequest", standing: api.Standing) -> None: ...
    def settled(self, opened: "OpenRequest") -> None: ...


class Flow(Protocol):
    """One attempt under way."""

    def cancel(self) -> None: ...
    def whole(self) -> None:
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
    came_us: int
    timeout_us: int
    name: bytes = b""  # as its caller calls it; no two open ones share one
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
    over: bool = False
    sends: int = 0
    ran: bool = False  # an attempt may have run
    units: float = 0.0  # the true ones, where a good answer told them
    tallied: Any = None  # the tally's own mark
    most_sends: int = 0
    whole: bool = True  # else its body is under way, and its time has not begun
    streams: int = -1  # the attempt whose answer has begun to reach the client
    came_us: int = 0
    flows: dict[int, Flow] = field(default_factory=dict)

    @property
    def deadline_us(self) -> int:
        """Without an end while the request's body is under way."""
        return self.came_us + self.arrival.timeout_us if self.whole else self.came_us + NEVER_US


class Host:
    def __init__(self, settings: api.Settings, seed: int, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.timers = Timers(clock)
        self.open: dict[int, OpenRequest] = {}
        self._names: set[bytes] = set()  # of the open ones: entered and left together with them
        self._due: dict[int, list[int]] = {}  # by GUARD_US: requests that are over by then
        self.owed = 0  # requests without their final answer
        self.start_flow: Callable[[OpenRequest, int, api.Send], None]
        self.start_count: Callable[[api.Count], None]
        self.close_idle: Callable[[int], None]
        self.reserving: Reserving | None = None
        self.tally: Tally | None = None
        self._gateway = Gateway(settings, seed)
        self._ids = itertools.count(1)
        self._events: deque[api.Event] = deque()
        self._telling = False

    def tell(self, event: api.Event) -> None:
        """One event at a time: what comes up while actions are carried out waits its turn."""
        self._events.append(event)
        if self._telling:
            return
        self._telling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._telling = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self._gateway.handle(self.clock.now(), event)
        except Exception:  # a fault on one event must not take the program and all other requests down
            log.exception("the module failed", on=type(event).__name__)
            if isinstance(event, api.TimerFired):  # a beat lost once would be lost for good
                self._carry_out(api.SetTimer(AGAIN_US, event.token))
            return
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:
                log.exception("an action could not be carried out", action=type(action).__name__)

    def _carry_out(self, action: api.Action) -> None:
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
                if (opened := self.open.get(request)) and attempt in opened.flows:
                    if opened.streams == attempt and not opened.over:
                        return  # its answer is the client's
                    opened.flows[attempt].cancel()
            case api.SetTimer(delay_us, token):
                self.timers.after(delay_us, lambda: self.tell(api.TimerFired(token)))
            case api.Count():
                self.start_count(action)
            case api.Short():
                if self.reserving is not None:
                    self.reserving.short(action)
            case api.CloseIdle(backend):
                self.close_idle(backend)
            case api.Log(text):
                log.info(text)
            case api.Watch() | api.FetchList():
                pass  # the pool is always watched here
            case api.Probe() | api.Tell():
                log.warning("not possible on this platform", action=type(action).__name__)

    def counted(self, answer: api.CounterAnswered) -> None:
        """A counter call's one answer, to whoever made the call."""
        if self.reserving is None or not self.reserving.answered(answer):
            self.tell(answer)

    def live_plans(self, reserving: Reserving, carry: Callable[[int, Customer, api.Plan], None]) -> None:
        """Switch live plans on: what leases units, and what becomes of an allowance on a change."""
        self.reserving, self._gateway.on_plan_change = reserving, carry

    @property
    def gateway(self) -> Gateway:
        """For a takeover, which moves what it holds; events go through tell() alone."""
        return self._gateway

    # ---- requests ----------------------------------------------------------------------------

    def start(self) -> None:
        self.tell(api.Started())

    def retune(self, retuned: api.Retuned) -> None:
        """New settings, for the module as for what is held to them here."""
        self.settings = retuned.settings
        self.tell(retuned)

    def arrive(self, arrival: Arrival, caller: Caller, whole: bool = True) -> OpenRequest:
        opened = OpenRequest(next(self._ids), arrival, caller, whole=whole, came_us=arrival.came_us)
        opened.most_sends = self.settings.allowed.max_attempts
        self.open[opened.id] = opened
        self._names.add(arrival.name)
        self.owed += 1
        left_us = opened.deadline_us - self.clock.now()
        if whole:
            self._guard(opened.id, left_us + OVERDUE_US)
        self.tell(
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
                whole,
            )
        )
        return opened

    def body_complete(self, opened: OpenRequest) -> None:
        """Its last byte has come: its time begins."""
        opened.whole, opened.came_us = True, self.clock.now()
        if opened.over:
            return
        self._guard(opened.id, opened.arrival.timeout_us + OVERDUE_US)
        for flow in list(opened.flows.values()):
            flow.whole()
        self.tell(api.RequestWhole(opened.id, opened.arrival.timeout_us))

    def begin(self, opened: OpenRequest, number: int, answer: Any, source: Source) -> bool:
        """An attempt's answer begins to go to the client; False: no answer is owed any more."""
        if opened.over or opened.streams >= 0:
            return False
        opened.streams = number
        self.tell(api.StreamStarted(opened.id, number))
        opened.caller.begin(answer, source)
        return True

    def _guard(self, request: int, after_us: int) -> None:
        """Look at the request once after so long. All of one GUARD_US share a timer, and only the number is
        kept: the message must not stay until then."""
        now = self.clock.now()
        tick = (now + after_us) // GUARD_US + 1
        if tick in self._due:
            self._due[tick].append(request)
        else:
            self._due[tick] = [request]
            self.timers.after(tick * GUARD_US - now, lambda: self._look(tick))

    def _look(self, tick: int) -> None:
        for request in self._due.pop(tick):
            self._overdue(request)

    def is_open(self, name: bytes) -> bool:
        return name in self._names

    def client_left(self, opened: OpenRequest) -> None:
        """The client went away: no answer is owed any more."""
        if self._finish(opened.id):
            self.tell(api.RequestGone(opened.id))

    def _overdue(self, request: int) -> None:
        """Guards the one final answer against a module that forgot the request."""
        opened = self.open.get(request)
        if opened is not None and opened.streams >= 0:
            return  # the client's own since its answer has begun
        if opened := self._finish(request):
            log.error("request unanswered at its deadline")
            opened.caller.failed()
            self.tell(api.RequestGone(opened.id))

    def _finish(self, request: int) -> OpenRequest | None:
        """The request, if its final answer was still owed."""
        opened = self.open.get(request)
        if opened is None or opened.over:
            return None
        opened.over = True
        self.owed -= 1
        self._forget(opened)
        return opened

    def _forget(self, opened: OpenRequest) -> None:
        if opened.over and not opened.flows and opened.id in self.open:
            del self.open[opened.id]
            self._names.discard(opened.arrival.name)
            if opened.tallied is not None and self.tally is not None:
                self.tally.settled(opened)

    # ---- attempts ----------------------------------------------------------------------------

    def _send(self, send: api.Send) -> None:
        opened = self.open.get(send.request)
        number = opened.sends if opened else 0
        if opened:
            opened.sends += 1
        late = opened is None or opened.over or self.clock.now() >= opened.deadline_us
        if opened is None or late or number >= opened.most_sends:
            self._ended(send.request, number, send.backend, api.Outcome.MOOT, opened is None or opened.over)
            return
        if self.tally is not None and opened.tallied is None:
            self.tally.sending(opened, send.standing)
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
        opened.ran = opened.ran or outcome not in NEVER_RAN
        opened.units = opened.units or units
        if outcome is api.Outcome.OK and opened.streams in (-1, number) and self._finish(opened.id):
            opened.caller.served(answer)
        elif opened.streams == number and self._finish(opened.id):
            opened.caller.cut()
        self._forget(opened)
        self._ended(opened.id, number, send.backend, outcome, opened.over, latency_us, units)

    def _ended(
        self,
        request: int,
        number: int,
        backend: int,
        outcome: api.Outcome,
        closed: bool,
        latency_us: int = 0,
        units: float = 0.0,
    ) -> None:
        self.tell(api.AttemptEnded(request, number, backend, outcome, closed, latency_us, units))
