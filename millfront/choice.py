"""Every decision of the gateway; its settings, events and actions are in millfront/interface.py.

In the order a request meets them: quota price and bucket, ceiling, congestion, choice of backend,
outcome, further attempts; then what runs by itself: the beat, the counter, the list of backends.
The paper's letters stand in comments: φ price, ν step, S sent total, Q quota.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from millfront import interface as api

# Time, in microseconds
SECOND = 1_000_000
BEAT_US = 20_000  # timer of all periodic work: fine beside any aim, coarse beside a request's CPU
TICK_US = SECOND  # price step: long enough for a few requests of a customer, short beside its spikes
# Price
STEP = 0.5  # ν, price per tick at zero demand: two idle ticks open a level, two full ones close it
FIRST_PRICE = 1.0  # φ of a newcomer: the even slice
LEAST_PRICE = 1e-3  # keeps the level finite; the room cap binds long before
PACK = 2000  # units: asked and sent share one total, which is exact to seven digits
EPOCH_US = 15 * SECOND  # one name serves so long: short enough for exact totals
NAME_TTL_US = 2 * EPOCH_US  # outlives its epoch whoever called first; under the 60 s a counter grants
COUNTED_OVER = 3.0  # times the quota asked over an epoch that a total must hold exactly
STRETCH, RELAX, MOST_STRETCH = 1.5, 0.7, 4.0  # of the tick with many calls unanswered, with few; its most
MOST_UNANSWERED = 0.4  # of a tick's calls
SHARE_UNITS = 4.0  # asked by all in a tick for it to weigh half in a gateway's share
RESERVE = 0.7  # of the burst: what a request worth next to nothing leaves in the store for those worth more
MARGIN = 0.13  # of the reserve, left by the dearest too: others spend since the store was read
LEAST_SHARE = 0.3  # of the even share: for what comes here next
IDLE_US = 30 * SECOND  # least idle time before a customer is forgotten
OUT_S = 3.0  # time over which a customer's mean of attempts out is taken
QUIET_SHARE = 0.25  # of a tick's even slice: until so much was asked, no total can change what is let in
# Backends
LATENCY_WEIGHT = 0.1  # EWMA weight of one answer: about the last ten
CLASS_WEIGHT = 0.02  # the same for a class: fed by all backends, and the yardstick of each
ERROR_WEIGHT = 0.1  # EWMA weight of one answer in a backend's share of errors
ERROR_COST = 10.0  # times the cost for errors alone: an error is quick, and is a request lost or sent again
RELAX_S = 3.0  # a slowness nobody has confirmed for so long is half forgotten
AIM_TO_WORK = 6.0  # first guess of a class's time in service is its aim over this
LOAD_WEIGHT = 2.0  # cost of one own attempt in flight, in services of a backend of mean weight
TIE_SPREAD = 0.1  # of the cost, drawn at random: gateways that see alike must not choose alike
AGE_WEIGHT = 0.5  # of the oldest attempt's age: one long request must not condemn a backend
FIRST_DEPTH = 6.0  # attempts in flight a backend, by all gateways together, before anything is known
MOST_DEPTH = 32.0  # the same at most: deeper queues only add waiting
LEAST_WINDOW = 0.1  # attempts: with hundreds of gateways a share of the fleet may be less than one
CHANCE = 2  # attempts in flight that may have met by chance; what goes beyond counts at once
PRESSURE_S = 3.0  # over the window, and at most this: time over which attempts in flight are averaged
GOOD_SHARE = 0.3  # of the aim: an attempt out for longer votes for less, a faster answer for more
SHRINK, GROW = 0.97, 1.01  # window multiplier for a vote: at rest with a quarter of the votes slow
USED_SHARE = 0.5  # of the window: fast answers while less is in use say nothing of more
REST_US = SECOND // 2  # a backend that turned an attempt away (full, or draining before the list says so)
EJECT_FAILS = 3  # time-outs or resets in a row; a refused connection counts for all three
EJECT_US, EJECT_MOST_US = SECOND, 8 * SECOND  # first ejection; doubles up to the most
PROBE_US = SECOND  # between probes of an ejected backend
SILENT_SHARE = 0.6  # of the aim: no answer at all for so long while attempts are out
COLD_HEADROOM = 1.2  # of a cold backend's fair share: lets it catch up, far below any fall multiple
COLD_CREDIT = 2.0  # sends it may save up
COLD_PREFERENCE = 0.5  # of its cost: chosen before others as idle as it is, when a whole send is saved
# Further attempts
HEDGE_SHARE = 0.4  # of the aim before a second copy is sent
HEDGE_BUDGET = 0.05  # copies per request; each attempt found lost pays for one more
MOST_HEDGES = 5.0  # copies saved up
LOST_SHARE = 1.0  # of the aim: an attempt out for longer earns little and is no longer taken for load
HEDGE_PRESSURE = 0.7  # no copies when the window is fuller than this
# Congestion: the least worthwhile request is let in up to this pressure, a mean one up to 1
CHEAP_PRESSURE = 0.3  # of the window
WORTH_WEIGHT = 0.02  # EWMA weight of one request in the mean worth per work

NEVER_RAN = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.MOOT)
STANDINGS = (api.Standing.BEYOND, api.Standing.INSIDE)
MAY_BE_ADDED = (api.Outcome.TIMEOUT, api.Outcome.RESET)
BEAT = 1  # the only timer token


@dataclass(slots=True)
class Customer:  # as this gateway sees it
    key: int
    plan: api.Plan
    gateways: int  # n
    bucket: float
    level: float  # units a second
    filled_us: int
    ceiling: float
    seen_us: int
    due_us: int  # next counter call
    share: float  # of the customer's store and burst: by demand, at first the even one
    store: float  # what the customer's quota held for all gateways when the total was read last
    price: float = FIRST_PRICE
    sent: float = 0.0  # units since the last counter add
    asked: float = 0.0
    epoch: int = -1  # of the totals below
    sent_total: int = -1  # last totals read, in grains; -1: none in this epoch
    asked_total: int = 0
    read_us: int = 0
    out: int = 0
    mean_out: float = 0.0
    leased: float = 0.0  # units of reservations, above the plan: the live plans' (millfront/plans)
    carried: object = None  # the live plans' own; none: the plan is the settings' and stays


@dataclass(slots=True)
class Attempt:
    backend: "Backend"
    sent_us: int
    ended: bool = False
    may_have_run: bool = True
    slow: bool = False
    lost: bool = False  # out for so long that it is no longer load
    withdrawn: bool = False


@dataclass(slots=True)
class Request:
    id: int
    cls: int
    customer: Customer
    arrived_us: int
    give_up_us: int
    units: float
    inside: bool
    reserved: bool = False
    over: bool = False
    stream: bool = False
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True)
class Backend:
    id: int
    zone: int
    cell: int
    weight: float
    started_us: int = 0  # 0: long ago
    stopped: bool = False  # draining or gone
    slow: float = 1.0  # EWMA of latency over its class's mean
    errors: float = 0.0  # EWMA of errors over answers
    in_flight: dict[tuple[int, int], tuple[int, int]] = field(default_factory=dict)  # -> sent_us, class
    load: int = 0  # of these, out for no longer than a lost one
    answered_us: int = 0
    fails: int = 0
    reset: bool = False  # its connections broke: if it is back, it is cold
    ejected_until: int = 0
    ejections: int = 0
    probed_us: int = 0
    rests_until: int = 0
    credit: float = 0.0


@dataclass(slots=True)
class Call:  # what one counter call told, in grains
    customer: int
    epoch: int
    sent: int
    asked: int
    made_us: int
    grain: float


def mixed(*parts: int) -> int:
    """A 64-bit hash (splitmix), the same at every gateway."""
    state = 0
    for part in parts:
        state = (state ^ part) + 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
        state = (state ^ state >> 30) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
        state = (state ^ state >> 27) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
        state ^= state >> 31
    return state


def next_price(price: float, sent_total: float, quota: float) -> float:
    """The paper's projected step, φ ← min{max{φ - ν(1 - S/Q), 0}, 1}."""
    return min(max(price - STEP * (1.0 - sent_total / quota), 0.0), 1.0)


def level_at(price: float, quota: float, gateways: int, own: float, room: float, share: float) -> float:
    """ℓ maximises (Q/n)·log ℓ - φ·ℓ, capped by own use plus its share of room, floored at the even slice."""
    even = quota / gateways
    return max(min(even / max(price, LEAST_PRICE), own + room * share), even)


def grain_of(plan: api.Plan) -> float:
    """Units counted as one, so that an epoch's totals stay exact."""
    return max(1.0, COUNTED_OVER * plan.rate * EPOCH_US / SECOND / PACK)


def check(settings: api.Settings) -> None:
    """Refuse settings that no decision could be made on, by the name of the field."""
    wrong = {
        "peers": settings.peers < 1,
        "me": not 0 <= settings.me < max(1, settings.peers),
        "classes": not settings.classes,
        "plans": not settings.plans,
        "classes.aim_us": any(c.aim_us <= 0 for c in settings.classes),
        "classes.repeat": any(not isinstance(c.repeat, api.Repeat) for c in settings.classes),
        "plans.rate": any(p.rate < 0 or (p.rate > 0 and p.burst <= 0) for p in settings.plans),
        "plans.open_limit": any(p.open_limit < 0 for p in settings.plans),
        "plans.ceiling_rate": any(p.ceiling_rate < 0 for p in settings.plans),
        "rules.cold_from": not 0 < settings.rules.cold_from <= 1,
    }
    for name, bad in wrong.items():
        if bad:
            raise ValueError(f"settings: {name} is missing or out of range")


class Gateway:
    """One ingress. All state is this instance's own; time and events come in, actions go out."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        check(settings)
        self.settings = settings
        self.random = random.Random(seed)
        self.born_us = -1
        self.carry: Callable[[int, Customer, api.Plan], None]  # of live plans, whose host puts it here
        self.actions: list[api.Action] = []
        self.customers: dict[int, Customer] = {}
        self.requests: dict[int, Request] = {}
        self.backends: dict[int, Backend] = {}
        self.calls: dict[int, list[Call]] = {}  # by name, in order
        self.stretch = 1.0  # of the tick, while the counter does not keep up
        # calls since the stretch was judged; as of
        self.told, self.unanswered, self.heeded_us = 0, 0, -TICK_US
        self.class_work = [c.aim_us / AIM_TO_WORK for c in settings.classes]  # EWMA of latency, µs
        self.mean_worth = 0.0
        most = max(c.worth for c in settings.classes)  # a unit of quota goes where it earns most
        dear = [c.worth / most if most > 0 else 1.0 for c in settings.classes]
        self.reserve = [RESERVE * (1.0 + MARGIN - worth) for worth in dear]
        self.hedges = 0.0
        self.mean_weight = 1.0
        self.window = 0.0  # attempts this gateway may have in flight
        self.load, self.mean_load, self.load_us = 0, 0.0, 0  # out, not at ejected ones; its mean; as of

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take one event; what to do comes back, in order."""
        self.actions = []
        match event:
            case api.RequestArrived():
                self.on_request(now, event)
            case api.AttemptEnded():
                self.on_attempt_ended(now, event)
            case api.TimerFired():
                self.on_beat(now)
            case api.CounterAnswered():
                self.on_counter(now, event)
            case api.UnitsLeased(key, units):
                if key in self.customers:
                    self.customers[key].leased = max(0.0, self.customers[key].leased + units)
            case api.ProbeEnded():
                self.on_probe(now, event)
            case api.BackendList():
                self.on_list(now, event)
            case api.RequestGone():
                self.on_gone(event)
            case api.StreamStarted():
                if event.request in self.requests:
                    self.requests[event.request].stream = True
            case api.Started():
                self.born_us = now
                self.actions.append(api.SetTimer(BEAT_US, BEAT))
                if self.settings.list_on_request:
                    self.actions.append(api.Watch(True))
        return self.actions

    # ---- a request arrives -------------------------------------------------------------------

    def on_request(self, now: int, event: api.RequestArrived) -> None:
        customer = self.customer_of(now, event)
        self.refill(now, customer)
        customer.asked += event.units
        customer.seen_us = now
        odds = self.odds_inside(customer, event.units, event.cls)
        if event.reserves and odds < 1.0:
            short = api.Short(customer.key, event.units, customer.leased, customer.gateways)
            self.actions.append(short)
        reserved = odds < 1.0 and customer.leased >= event.units
        odds = 1.0 if reserved else odds
        end = now + event.patience_us
        request = Request(event.request, event.cls, customer, now, end, event.units, odds > 0.0, reserved)
        net = odds + (1.0 - odds) * (customer.plan.over_worth - customer.plan.over_cost)
        if net <= 0.0 or not (reserved or self.ceiling_allows(customer, event.units)):
            self.actions.append(self.refusal(request))
            return
        backend = self.pick(now, request) if self.worth_its_work(now, request, net) else None
        if backend is None:
            self.actions.append(self.refusal(request))
            return
        self.requests[request.id] = request
        if customer.plan.ceiling_rate > 0 and not reserved:
            customer.ceiling -= event.units
        if reserved:
            customer.leased -= event.units
        elif request.inside:
            customer.bucket -= event.units
            customer.sent += event.units
        self.hedges = min(self.hedges + HEDGE_BUDGET, MOST_HEDGES)
        self.send(now, request, backend)

    def customer_of(self, now: int, event: api.RequestArrived) -> Customer:
        plan = event.terms or self.settings.plans[event.plan]
        if (known := self.customers.get(event.customer)) is not None:
            if (event.terms or known.carried) and plan is not known.plan:
                self.refill(now, known)
                self.carry(now, known, plan)
            return known
        gateways = max(1, min(event.spread, self.settings.peers))
        # A forgotten customer's ceiling store is full again, one never seen fills from this gateway's start:
        # a gateway that was killed cannot tell that it had spent its share before.
        ceiling = (now - self.born_us) / SECOND * plan.ceiling_rate / gateways
        customer = Customer(
            event.customer,
            plan,
            gateways,
            bucket=plan.burst / gateways,
            level=plan.rate / gateways,
            filled_us=now,
            ceiling=min(ceiling, plan.ceiling_burst / gateways),
            seen_us=now,
            due_us=now + mixed(event.customer, self.settings.me) % TICK_US,
            share=1.0 / gateways,
            store=plan.burst,
            carried=event.terms,
        )
        self.customers[event.customer] = customer
        return customer

    def refill(self, now: int, customer: Customer) -> None:
        plan, n = customer.plan, customer.gateways
        seconds = (now - customer.filled_us) / SECOND
        customer.filled_us = now
        customer.mean_out += (1.0 - math.exp(-seconds / OUT_S)) * (customer.out - customer.mean_out)
        customer.bucket = min(customer.bucket + customer.level * seconds, plan.burst * customer.share)
        customer.ceiling = min(customer.ceiling + plan.ceiling_rate / n * seconds, plan.ceiling_burst / n)

    def odds_inside(self, customer: Customer, units: float, cls: int) -> float:
        """The chance that the try is inside the quota. The customer's store is taken to hold this bucket over
        its share, less what is reserved for classes of more worth: a request larger than that is the less
        likely inside. Harm: a customer far beyond its quota is served its cheap classes last. A cap on
        attempts out is shared with gateways not seen: each is taken to have as many out as this one, at
        random (Poisson)."""
        plan, odds = customer.plan, 1.0
        if plan.rate > 0:
            store = customer.bucket / customer.share - self.reserve[cls] * plan.burst
            odds = min(1.0, max(0.0, store / max(units, 1e-9)))
        if not plan.open_limit or odds <= 0.0:
            return odds
        others = customer.mean_out * (customer.gateways - 1)
        free = plan.open_limit - customer.out
        return odds * sum(math.exp(-others) * others**k / math.factorial(k) for k in range(free))

    def ceiling_allows(self, customer: Customer, units: float) -> bool:
        """Rule 5 by this gateway alone: an equal share of rate and store; all shares are within the whole."""
        return customer.plan.ceiling_rate <= 0 or customer.ceiling >= units

    def refusal(self, request: Request) -> api.Refuse:
        """A refusal that says when to come back: once the bucket lets such a request in, and not before an
        attempt's time has passed, for what was refused or given up for another reason."""
        customer, plan = request.customer, request.customer.plan
        loss = plan.over_cost - plan.over_worth
        least_odds = loss / (1.0 + loss) if loss > 0.0 else 0.0
        lacks = least_odds * request.units * customer.share - customer.bucket if plan.rate > 0 else 0.0
        wait_us = max(self.class_work[request.cls], lacks / max(customer.level, 1e-9) * SECOND)
        allowed = self.settings.allowed
        return api.Refuse(request.id, int(min(wait_us, allowed.max_retry_after_us)) * allowed.retry_after)

    def worth_its_work(self, now: int, request: Request, net: float) -> bool:
        """Utility less the price of congestion: what earns least for its work is refused first."""
        cls = self.settings.classes[request.cls]
        value = net * cls.worth * request.customer.plan.worth_factor / self.class_work[request.cls]
        self.mean_worth += WORTH_WEIGHT * (value - self.mean_worth) if self.mean_worth else value
        relative = min(1.0, value / self.mean_worth)
        self.add_load(now, 0)
        return self.pressure() <= CHEAP_PRESSURE + (1.0 - CHEAP_PRESSURE) * relative

    def pressure(self) -> float:
        """Mean attempts in flight over the window; what lies at an ejected backend is lost, not load."""
        return max(self.mean_load, self.load - CHANCE) / max(self.window, LEAST_WINDOW)

    def add_load(self, now: int, attempts: int) -> None:
        """The mean is short for a wide window and long for one of few attempts: guards against taking two
        requests that met for overload. Harm: a gateway with little traffic sees a jam seconds late."""
        seconds = (now - self.load_us) / SECOND
        share = 1.0 - math.exp(-seconds * max(self.window, 1.0) / PRESSURE_S)
        self.mean_load += share * (self.load - self.mean_load)
        self.load_us = now
        self.load += attempts

    # ---- choice of backend -------------------------------------------------------------------

    def pick(self, now: int, request: Request) -> Backend | None:
        """The usable backend where the attempt is expected to end first."""
        best, best_cost = None, 0.0
        tried = [a.backend.id for a in request.attempts]
        for backend in self.backends.values():
            if backend.id in tried or not self.usable(now, backend, request):
                continue
            cost = self.expected_cost(now, backend) * (1.0 + TIE_SPREAD * self.random.random())
            if best is None or cost < best_cost:
                best, best_cost = backend, cost
        return best

    def usable(self, now: int, backend: Backend, request: Request) -> bool:
        away = backend.stopped or backend.ejected_until or now < backend.rests_until
        if away or self.is_silent(now, backend):
            return False
        if self.cold_share(now, backend) < 1.0 and backend.credit < 1.0:
            return False
        return self.may_send_to(now, request, backend)

    def is_silent(self, now: int, backend: Backend) -> bool:
        """No answer while attempts are out: a dead, cut off or stalled backend, before any time-out says so.
        Harm: a backend with one very heavy request alone in flight rests until it answers."""
        for sent_us, cls in backend.in_flight.values():  # the oldest comes first
            since = max(sent_us, backend.answered_us)
            return now - since > SILENT_SHARE * self.settings.classes[cls].aim_us
        return False

    def expected_cost(self, now: int, backend: Backend) -> float:
        # Told slow and then left alone, a backend would stay unused for ever: the estimate fades to the mean.
        faded: float = 0.5 ** ((now - backend.answered_us) / SECOND / RELAX_S)
        slow = 1.0 + (backend.slow - 1.0) * faded if backend.slow > 1.0 else backend.slow
        for sent_us, cls in backend.in_flight.values():
            slow = max(slow, AGE_WEIGHT * (now - sent_us) / self.class_work[cls])
            break
        cold = self.cold_share(now, backend)
        load = LOAD_WEIGHT * len(backend.in_flight) / (backend.weight / self.mean_weight * cold)
        # Errors are no load and come back fast: unpriced, they would draw traffic to a backend that fails.
        errors = 1.0 + ERROR_COST * backend.errors * faded
        # A cold backend is usable with a whole credit only: owed by now, or many gateways leave it idle.
        return slow * errors * (1.0 + load) * (COLD_PREFERENCE if cold < 1.0 else 1.0)

    def cold_share(self, now: int, backend: Backend) -> float:
        """The least capacity the backend may have, as a share of its full one."""
        rules = self.settings.rules
        if not backend.started_us:
            return 1.0
        age = max(0, now - backend.started_us) / max(1, rules.ramp_us)
        return min(1.0, rules.cold_from + (1.0 - rules.cold_from) * age)

    def may_send_to(self, now: int, request: Request, backend: Backend) -> bool:
        """Rule 2: what may have run goes again only as its class allows."""
        ran = [a for a in request.attempts if a.may_have_run]
        cls = self.settings.classes[request.cls]
        if not ran or cls.repeat is api.Repeat.SAFE:
            return True
        if cls.repeat is api.Repeat.UNSAFE or now >= ran[0].sent_us + cls.window_us:
            return False
        return all(same_group(cls.group, a.backend, backend) for a in ran)

    def send(self, now: int, request: Request, backend: Backend) -> None:
        number = len(request.attempts)
        request.attempts.append(Attempt(backend, now))
        request.customer.out += 1
        backend.in_flight[(request.id, number)] = (now, request.cls)
        backend.load += 1
        self.add_load(now, 1)
        self.spend_credit(now, backend)
        standing = api.Standing.RESERVED if request.reserved else STANDINGS[request.inside]
        self.actions.append(api.Send(request.id, backend.id, max(1, request.give_up_us - now), standing))

    def spend_credit(self, now: int, chosen: Backend) -> None:
        """Rule 4 by this gateway alone: a send anywhere earns every cold backend its part by capacity of now,
        or few warm ones would be left with what most of the pool should take.
        The first credit is drawn: of many gateways that all save from none, none would come in time."""
        able = [(b, b.weight * self.cold_share(now, b)) for b in self.backends.values() if not b.stopped]
        whole = sum(capacity for _, capacity in able) or 1.0
        for backend, capacity in able:
            if capacity < backend.weight:
                backend.credit = min(COLD_CREDIT, backend.credit + COLD_HEADROOM * capacity / whole)
        chosen.credit -= 1.0

    # ---- an attempt ends ---------------------------------------------------------------------

    def on_attempt_ended(self, now: int, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        attempt.ended = True
        attempt.may_have_run = event.outcome not in NEVER_RAN
        request.customer.out -= 1
        attempt.backend.in_flight.pop((request.id, event.attempt), None)
        if not attempt.lost:
            self.unload(now, attempt.backend)
        self.learn(now, attempt.backend, request, event)
        if event.outcome is api.Outcome.OK and event.true_units > 0 and request.reserved:
            request.customer.leased -= event.true_units - request.units
        elif event.outcome is api.Outcome.OK and event.true_units > 0 and request.inside:
            request.customer.bucket -= event.true_units - request.units
            request.customer.sent += event.true_units - request.units
        if event.closed and not request.over:
            self.close(request)
        elif not request.over and all(a.ended for a in request.attempts):
            self.go_on(now, request)
        if request.over and all(a.ended for a in request.attempts):
            del self.requests[request.id]

    def learn(self, now: int, backend: Backend, request: Request, event: api.AttemptEnded) -> None:
        attempt = request.attempts[event.attempt]
        if event.outcome is api.Outcome.OK:
            backend.ejections = 0
            backend.slow += LATENCY_WEIGHT * (event.latency_us / self.class_work[request.cls] - backend.slow)
            self.class_work[request.cls] += CLASS_WEIGHT * (event.latency_us - self.class_work[request.cls])
            self.judge(now, attempt, request.cls, True)
        if event.outcome in (api.Outcome.OK, api.Outcome.ERROR):
            backend.errors += ERROR_WEIGHT * ((event.outcome is api.Outcome.ERROR) - backend.errors)
        if event.outcome in (api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL):
            backend.answered_us = now
            backend.fails = 0
            if not backend.ejected_until:
                backend.reset = False  # it answered without having been away
            self.readmit(now, backend)
        if event.outcome is api.Outcome.FULL:
            backend.rests_until = now + REST_US
            self.window = max(LEAST_WINDOW, self.window * SHRINK)
        if event.outcome is api.Outcome.TIMEOUT and attempt.slow:
            self.blame(now, backend, 1)
        if event.outcome is api.Outcome.RESET:  # one alone may be the connection's fault
            backend.reset = True
            self.blame(now, backend, 1)
        if event.outcome is api.Outcome.CONNECT_FAILED:
            self.blame(now, backend, EJECT_FAILS)

    def judge(self, now: int, attempt: Attempt, cls: int, ended: bool) -> None:
        """The price of congestion: attempts slow beside their aim shrink the window, fast answers grow it.
        Guards against overload from any cause (floods, lost capacity, retries), seen as time alone. Harm:
        a class whose requests turned heavy by themselves looks like overload until the window grows back.
        An attempt out past its aim is lost, not load, and pays for a copy of another: guards against backends
        that leave some requests unanswered. Harm: in a jam copies add work, while pressure allows them."""
        aim_us = self.settings.classes[cls].aim_us
        slow = now - attempt.sent_us > GOOD_SHARE * aim_us
        if not ended and not attempt.lost and now - attempt.sent_us > LOST_SHARE * aim_us:
            attempt.lost = True
            self.hedges = min(self.hedges + 1.0, MOST_HEDGES)
            self.unload(now, attempt.backend)
        if not ended and attempt.backend.answered_us < attempt.sent_us:
            return  # silence may be loss (a dead or cut off backend), which less load would not cure
        if slow and not attempt.slow:
            attempt.slow = True
            self.window = max(LEAST_WINDOW, self.window * SHRINK)
        elif ended and not slow and self.pressure() >= USED_SHARE:
            depth = MOST_DEPTH * len(self.backends) / self.settings.peers
            self.window = min(self.window * GROW, max(depth, LEAST_WINDOW))

    def unload(self, now: int, backend: Backend) -> None:
        backend.load -= 1
        if not backend.ejected_until:
            self.add_load(now, -1)

    def blame(self, now: int, backend: Backend, fails: int) -> None:
        backend.fails += fails
        if backend.fails >= EJECT_FAILS and not backend.ejected_until:
            backend.ejected_until = now + min(EJECT_US << backend.ejections, EJECT_MOST_US)
            backend.ejections = min(backend.ejections + 1, 3)
            backend.probed_us = now
            self.add_load(now, -backend.load)
            self.actions.append(api.Log(f"backend {backend.id} ejected"))

    def readmit(self, now: int, backend: Backend) -> None:
        backend.fails = 0
        if not backend.ejected_until:
            return
        backend.ejected_until = 0
        backend.slow = 1.0
        self.add_load(now, backend.load)
        if backend.reset:
            self.restarted(backend, now)
        self.actions.append(api.Log(f"backend {backend.id} readmitted"))

    def restarted(self, backend: Backend, started_us: int) -> None:
        backend.started_us, backend.credit = started_us, self.random.random()
        backend.slow, backend.errors, backend.rests_until, backend.reset = 1.0, 0.0, 0, False

    def close(self, request: Request) -> None:
        """The request has its final answer: withdraw the copies still out."""
        request.over = True
        if self.settings.allowed.cancel:
            for number, attempt in enumerate(request.attempts):
                if not attempt.ended:
                    self.actions.append(api.Cancel(request.id, number))

    def go_on(self, now: int, request: Request) -> None:
        """Nothing is out any more and no answer came: another attempt, or the final answer."""
        if self.time_left(now, request) > 0 and len(request.attempts) < self.settings.allowed.max_attempts:
            backend = self.pick(now, request)
            if backend is not None:
                self.send(now, request, backend)
                return
        request.over = True
        self.actions.append(self.final_answer(request))

    def final_answer(self, request: Request) -> api.Action:
        """Rule 2: a refusal says that another try is harmless, a failure promises nothing."""
        cls = self.settings.classes[request.cls]
        ran = any(a.may_have_run for a in request.attempts)
        keyed_anywhere = cls.repeat is api.Repeat.KEYED and cls.group is api.Group.ALL
        harmless = cls.repeat is api.Repeat.SAFE or keyed_anywhere
        return self.refusal(request) if harmless or not ran else api.Fail(request.id)

    def too_late(self, now: int, request: Request) -> bool:
        """An answer would earn nothing any more. The attempts stay out: the backend works on them all the
        same, and when they end tells whether it is slow or dead."""
        cls = self.settings.classes[request.cls]
        late = now > request.arrived_us + cls.aim_us
        return not request.over and not request.stream and cls.late_worth <= 0 and late

    def time_left(self, now: int, request: Request) -> float:
        """Until an answer earns too little, less the time that an attempt takes."""
        cls = self.settings.classes[request.cls]
        aim_end_us = request.arrived_us + cls.aim_us
        end_us = request.give_up_us if cls.late_worth > 0 else min(request.give_up_us, aim_end_us)
        return end_us - now - self.class_work[request.cls]

    def on_gone(self, event: api.RequestGone) -> None:
        request = self.requests.get(event.request)
        if request is not None and not request.over:
            self.close(request)
            if all(a.ended for a in request.attempts):
                del self.requests[request.id]

    # ---- by itself ---------------------------------------------------------------------------

    def on_beat(self, now: int) -> None:
        self.actions.append(api.SetTimer(BEAT_US, BEAT))
        for request in list(self.requests.values()):
            for attempt in request.attempts:
                if not attempt.ended:
                    self.judge(now, attempt, request.cls, False)
            if request.customer.plan.open_limit and self.settings.allowed.cancel:
                self.withdraw_lost(request)
            if self.too_late(now, request):
                request.over = True
                self.actions.append(self.final_answer(request))
            elif self.wants_hedge(now, request):
                backend = self.pick(now, request)
                if backend is not None:
                    self.hedges -= 1.0
                    self.send(now, request, backend)
        for customer in list(self.customers.values()):
            if now >= customer.due_us:
                self.tell_counter(now, customer)
        for backend in self.backends.values():
            self.check_ejected(now, backend)

    def withdraw_lost(self, request: Request) -> None:
        """Guards a cap on attempts out against connections that fell silent: each would hold a place till its
        deadline, long after its answer has lost its worth."""
        for number, attempt in enumerate(request.attempts):
            if attempt.lost and not attempt.ended and not attempt.withdrawn:
                attempt.withdrawn = True
                self.actions.append(api.Cancel(request.id, number))

    def wants_hedge(self, now: int, request: Request) -> bool:
        cls = self.settings.classes[request.cls]
        return (
            not request.over
            and not request.stream
            and cls.repeat is not api.Repeat.UNSAFE
            and not request.customer.plan.open_limit  # a copy would take a place of the customer's next try
            and len(request.attempts) == 1 < self.settings.allowed.max_attempts
            and self.settings.allowed.second_copies
            and now - request.arrived_us >= HEDGE_SHARE * cls.aim_us
            and self.hedges >= 1.0
            and self.pressure() < HEDGE_PRESSURE
            and self.time_left(now, request) > 0
        )

    def check_ejected(self, now: int, backend: Backend) -> None:
        """An ejected backend is probed; without probes it is tried again when its time is up."""
        if not backend.ejected_until or backend.stopped:
            return
        if not self.settings.allowed.probes:
            if now >= backend.ejected_until:
                self.readmit(now, backend)
        elif now - backend.probed_us >= PROBE_US:
            backend.probed_us = now
            self.actions.append(api.Probe(backend.id))

    def on_probe(self, now: int, event: api.ProbeEnded) -> None:
        backend = self.backends.get(event.backend)
        if backend is not None and event.outcome is api.Outcome.OK:
            backend.answered_us = now
            self.readmit(now, backend)

    # ---- the counter -------------------------------------------------------------------------

    def tell_counter(self, now: int, customer: Customer) -> None:
        """One call adds this tick's units and reads S: the name lives an epoch, so what came since the last
        call is everybody's last tick, whatever the phases of their ticks."""
        customer.due_us = now + int(TICK_US * self.stretch)
        plan, n = customer.plan, customer.gateways
        if now - customer.seen_us > max(IDLE_US, self.full_after_us(plan, n)) and not customer.out:
            del self.customers[customer.key]
            return
        if plan.rate <= 0 or n == 1 or not self.settings.counter:
            return
        if customer.asked < QUIET_SHARE * plan.rate / n * TICK_US / SECOND:
            self.set_level(customer, None, 0.0, 0.0)
            return
        grain, epoch = grain_of(plan), now // EPOCH_US
        sent = min(max(0, round(customer.sent / grain)), PACK - 1)
        asked = min(round(customer.asked / grain), PACK - 1)
        customer.sent -= sent * grain
        customer.asked -= asked * grain
        # Gateways that hold another version of a live plan must not read totals of another grain as theirs.
        name = mixed(customer.key, epoch) if grain == 1.0 else mixed(customer.key, epoch, int(grain * 1e6))
        self.calls.setdefault(name, []).append(Call(customer.key, epoch, sent, asked, now, grain))
        self.actions.append(api.Count(name, float(sent + PACK * asked), NAME_TTL_US))

    def full_after_us(self, plan: api.Plan, gateways: int) -> int:
        """Idle for so long, every store of the customer is full: forgetting it gives nothing away."""
        ceiling = plan.ceiling_burst / plan.ceiling_rate if plan.ceiling_rate > 0 else 0.0
        quota = 2.0 * plan.burst / plan.rate if plan.rate > 0 else 0.0
        return int(max(ceiling, quota) * SECOND)

    def on_counter(self, now: int, event: api.CounterAnswered) -> None:
        waiting = self.calls.get(event.name)
        if not waiting:
            return
        call = waiting.pop(0)
        if not waiting:
            del self.calls[event.name]
        answered = event.outcome is api.Outcome.OK
        if event.outcome is not api.Outcome.RESET:  # a lost connection says nothing of the counter's load
            self.heed(now, answered)
        customer = self.customers.get(call.customer)
        if customer is None:
            return
        self.refill(now, customer)
        grain = call.grain
        if not answered:
            if event.outcome not in MAY_BE_ADDED:  # surely not: told again
                customer.sent += call.sent * grain
                customer.asked += call.asked * grain
            self.set_level(customer, None, 0.0, 0.0)
            return
        if grain != grain_of(customer.plan):  # of the plan before: its totals are not the new one's
            return
        asked, sent = divmod(round(event.total), PACK)
        new_sent, new_asked = sent - customer.sent_total, asked - customer.asked_total
        known = customer.epoch == call.epoch and customer.sent_total >= 0
        seconds = max(call.made_us - customer.read_us, BEAT_US) / SECOND
        if customer.epoch != call.epoch:  # a new name counts from nothing; the old one's last is missed
            new_sent, new_asked = sent, asked
        customer.epoch, customer.sent_total, customer.asked_total = call.epoch, sent, asked
        customer.read_us = call.made_us
        own, share = call.sent * grain / seconds, call.asked / max(new_asked, 1)
        if new_sent < call.sent or new_asked < call.asked:  # it forgot
            self.set_level(customer, None, own, 0.0)
            return
        self.scale_burst(customer, new_sent * grain, share, new_asked * grain, seconds)
        self.set_level(customer, new_sent * grain / seconds if known else None, own, share * known)

    def heed(self, now: int, answered: bool) -> None:
        """Longer ticks while the counter does not keep up, judged once a tick by all answers: guards against
        a connection that falls silent, which fails many calls at once and is soon replaced."""
        self.told += 1
        self.unanswered += not answered
        if now - self.heeded_us < TICK_US:
            return
        factor = STRETCH if self.unanswered > MOST_UNANSWERED * self.told else RELAX
        self.stretch = min(MOST_STRETCH, max(1.0, self.stretch * factor))
        self.told, self.unanswered, self.heeded_us = 0, 0, now

    def scale_burst(
        self, customer: Customer, sent: float, share: float, asked: float, seconds: float
    ) -> None:
        """The quota's store as the totals tell it; this gateway's part of it goes by its part of the demand.
        Guards against even parts: the busiest gateway would refuse while most of the store lies unused."""
        plan, n = customer.plan, customer.gateways
        customer.store = min(customer.store + plan.rate * seconds, plan.burst) - sent
        customer.store = min(max(customer.store, 0.0), plan.burst)
        weight = asked / (asked + SHARE_UNITS)
        customer.share += weight * (share - customer.share)
        customer.share = max(customer.share, LEAST_SHARE / n)
        customer.bucket = customer.share * customer.store - customer.sent

    def set_level(self, customer: Customer, sent_rate: float | None, own: float, share: float) -> None:
        """One price step, in units a second. Without a total (counter silent, refusing, forgetful) the price
        stays and no room is known: the level is what the gateway used, at least the even slice."""
        quota, room = customer.plan.rate, 0.0
        if sent_rate is not None:
            customer.price = next_price(customer.price, sent_rate, quota)
            room = max(quota - sent_rate, 0.0)
        customer.level = level_at(customer.price, quota, customer.gateways, own, room, share)

    # ---- the list of backends ----------------------------------------------------------------

    def on_list(self, now: int, event: api.BackendList) -> None:
        if event.kind is api.ListKind.FAILED:
            if self.settings.list_on_request:
                self.actions.append(api.Watch(True))
            return
        if event.kind is not api.ListKind.DELTA:
            named = {entry.backend for entry in event.entries}
            for backend in self.backends.values():
                backend.stopped = backend.stopped or backend.id not in named
        for entry in event.entries:
            self.list_entry(now, entry)
        if self.window <= 0.0:
            self.window = max(LEAST_WINDOW, FIRST_DEPTH * len(self.backends) / self.settings.peers)
        for key in [k for k, b in self.backends.items() if b.stopped and not b.in_flight]:
            del self.backends[key]
        weights = [b.weight for b in self.backends.values()]
        self.mean_weight = sum(weights) / len(weights) if weights else 1.0

    def list_entry(self, now: int, entry: api.BackendEntry) -> None:
        backend = self.backends.get(entry.backend)
        if entry.state is not api.BackendState.READY:
            if backend is not None:
                backend.stopped = True
            return
        weight = entry.weight if self.settings.weights_known and entry.weight > 0 else 1.0
        if backend is None:
            self.backends[entry.backend] = backend = Backend(entry.backend, entry.zone, entry.cell, weight)
        if entry.started_us > backend.started_us:
            self.readmit(now, backend)
            self.restarted(backend, entry.started_us)
        backend.stopped = False
        backend.weight = weight


def same_group(group: api.Group, one: Backend, other: Backend) -> bool:
    if group is api.Group.ALL:
        return True
    return one.zone == other.zone if group is api.Group.ZONE else one.cell == other.cell
