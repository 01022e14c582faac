"""Real gateways that share one counter, in simulated time: what they send on for a customer."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import replace

from millfront import choice
from millfront import interface as api
from millfront.choice import Gateway
from millfront.plans.carry import change_plan
from millfront.plans.leases import LeaseAction, Leased, Leases
from tests.test_choice import SAFE, SECOND, SETTINGS

BEGIN_US = 1_700_000_000 * SECOND + 7_300_000


class Counter:
    """Totals by name, which expire; answers are lost at random, or calls fail while it is down."""

    def __init__(self, draws: random.Random, lost: float = 0.0) -> None:
        self.names: dict[int, tuple[int, float]] = {}  # expiry and total
        self.draws = draws
        self.lost = lost  # share of the answers that never come, though the amount was added
        self.down = False

    def add(self, now: int, count: api.Count) -> tuple[api.Outcome, float]:
        if self.down:
            return api.Outcome.CONNECT_FAILED, 0.0
        ends, total = self.names.get(count.name, (0, 0.0))
        if ends <= now:
            ends, total = now + min(count.ttl_us, 60 * SECOND), 0.0
        self.names[count.name] = (ends, total + count.amount)
        if self.draws.random() < self.lost:
            return api.Outcome.TIMEOUT, 0.0
        return api.Outcome.OK, float(f"{total + count.amount:.7g}")


class Fleet:
    """Gateways with one clock; each attempt is answered with OK after 90 ms."""

    def __init__(self, gateways: int, plan: api.Plan, seed: int = 1, lost: float = 0.0) -> None:
        self.draws = random.Random(seed)
        self.counter = Counter(self.draws, lost)
        self.now = BEGIN_US
        self.plans: list[api.Plan | None] = [None] * gateways
        self.reserves = False
        self.sent: list[tuple[int, int, float, api.Standing]] = []  # time, gateway, units, standing
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._ids = itertools.count(1)
        classes = (replace(SAFE, worth=1.0),)
        self.gateways = []
        self.leases = [Leases(True) for _ in range(gateways)]
        for me in range(gateways):
            settings = replace(SETTINGS, me=me, peers=gateways, classes=classes, plans=(plan,))
            self.gateways.append(Gateway(settings, seed + me))
            self._start(me)

    def _start(self, me: int) -> None:
        self.gateways[me].on_plan_change = change_plan
        entries = tuple(api.BackendEntry(i, 0, 0, 0, api.BackendState.READY, 1.0, 0) for i in range(40))
        self._handle(me, api.Started())
        self._handle(me, api.BackendList(api.ListKind.CACHED, entries))

    def restart(self, me: int) -> None:
        self.gateways[me] = Gateway(self.gateways[me].settings, me + 77)
        self.leases[me] = Leases(True)
        self._start(me)

    def at(self, when_us: int, call: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when_us, next(self._order), call))

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self._queue and self._queue[0][0] <= end:
            when, _, call = heapq.heappop(self._queue)
            self.now = max(self.now, when)
            call()
        self.now = end

    def asks(self, me: int, rate: float, units: float, seconds: float, start_s: float = 0.0) -> None:
        """Schedules requests at one gateway: a Poisson process of so many a second."""
        at = self.now + int(start_s * SECOND)
        end = at + int(seconds * SECOND)
        while rate > 0 and (at := at + int(self.draws.expovariate(rate) * SECOND)) < end:
            self.at(at, lambda: self._ask(me, units))

    def _ask(self, me: int, units: float) -> None:
        terms = self.plans[me]
        asked = api.RequestArrived(
            next(self._ids), 0, 0, 7, 4 * SECOND, units, len(self.gateways), 0, terms, self.reserves
        )
        self._handle(me, asked)

    def _handle(self, me: int, event: api.Event) -> None:
        for action in self.gateways[me].handle(self.now, event):
            match action:
                case api.Send(request, backend, _, standing):
                    units = self.gateways[me].requests[request].units
                    self.sent.append((self.now, me, units, standing))
                    ended = api.AttemptEnded(request, 0, backend, api.Outcome.OK, True, 90_000, 0.0)
                    self.at(self.now + 90_000, lambda e=ended: self._handle(me, e))  # type: ignore[misc]
                case api.SetTimer(delay, token):
                    gateway = self.gateways[me]
                    self.at(self.now + delay, lambda t=token, g=gateway: self._fire(me, g, t))  # type: ignore[misc]
                case api.Count():
                    self._count(me, action)
                case api.Short(customer, short, held, spread):
                    self._carry_out(me, self.leases[me].on_short(self.now, customer, short, held, spread))

    def _fire(self, me: int, gateway: Gateway, token: int) -> None:
        if self.gateways[me] is gateway:  # the timer of a gateway that was restarted since is dropped
            self._handle(me, api.TimerFired(token))
            if token == choice.TIMER_TOKEN and self.draws.random() < choice.TIMER_PERIOD_US / SECOND:
                self._carry_out(me, self.leases[me].tick(self.now))

    def _count(self, me: int, count: api.Count) -> None:
        gateway = self.gateways[me]
        outcome, total = self.counter.add(self.now, count)
        delay = 80_000 if outcome is api.Outcome.TIMEOUT else self.draws.randrange(300, 3000)

        def answered() -> None:
            if self.gateways[me] is not gateway:
                return
            asks = self.leases[me].handle_answer(self.now, count.name, outcome, total)
            if asks is None:
                self._handle(me, api.CounterAnswered(count.name, outcome, total))
            else:
                self._carry_out(me, asks)

        self.at(self.now + delay, answered)

    def _carry_out(self, me: int, asks: list[LeaseAction]) -> None:
        for ask in asks:
            if isinstance(ask, Leased):
                self._handle(me, api.UnitsLeased(ask.customer, ask.units))
            else:
                self._count(me, ask)

    def units(self, *standings: api.Standing, since: int = 0, until: int = 1 << 62) -> float:
        return sum(u for at, _, u, s in self.sent if s in standings and since <= at < until)
