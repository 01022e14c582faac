"""Every decision of the gateway; its settings, events and actions are in millfront/interface.py.

In the order a request meets them; then what runs by itself: the beat, the counter, the list of backends.
The paper's letters stand in comments: φ price, ν step, S sent total, Q quota."""

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
SPARE = 100  # units: sent may fall below nothing, where units are given back under the next epoch's name
EPOCH_US = 15 * SECOND  # one name serves so long: short enough for exact totals
NAME_TTL_US = 2 * EPOCH_US  # outlives its epoch whoever called first; under the 60 s a counter grants
COUNTED_OVER = 3.0  # times the quota asked over an epoch that a total must hold exactly
FIRST_CALLS = 200.0  # counter calls a second, by all gateways together, until its answers tell more
FIRST_MORE, MORE_CALLS = 0.5, 40.0  # a call answered soon adds, before the first cut; a second of them, after
FEWER_CALLS, CUT_REST, LEAST_CALLS = 0.8, 3.0, 0.5  # a cut; waits till the next, for the line to go; at least
SLOW_CALL = 0.3  # of the wait for an answer: a line that long grows until no answer comes in time
THIN_SLICE = 2.0  # largest requests: an even slice of the store that holds no more decides nothing
SHARE_UNITS = 4.0  # asked by all in a tick for it to weigh half in a gateway's share
RESERVE = 0.7  # of the burst: what a request worth next to nothing leaves in the store for those worth more
MARGIN = 0.13  # of the reserve, left by the dearest too: others spend since the store was read
LEAST_SHARE = 0.3  # of the even share: for what comes here next
IDLE_US = 30 * SECOND  # least idle time before a customer is forgotten
OUT_S = 3.0  # time over which a customer's mean of attempts out is taken
QUIET_SHARE = 0.25  # of a tick's even slice: until so much was asked, no total can change what is let in
# Backends
LATENCY_WEIGHT = ERROR_WEIGHT = 0.1  # EWMA weight of one answer: about the last ten
CLASS_WEIGHT = 0.02  # the same for a class: fed by all backends, and the yardstick of each
ERROR_COST = 10.0  # times the cost for errors alone: an error is quick, and is a request lost or sent again
RELAX_S = 3.0  # a slowness nobody has confirmed for so long is half forgotten
AIM_TO_WORK = 6.0  # first guess of a class's time in service is its aim over this
NEW_LINK_WEIGHT = 12.0  # services, times the price of a handshake: cost of a connection that has to be set up
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
SILENT_SHARE = 0.6  # of the aim: no answer at all for so long while attempts are out
COLD_HEADROOM = 1.2  # of a cold backend's fair share: lets it catch up, far below any fall multiple
COLD_CREDIT = 2.0  # sends it may save up
COLD_PREFERENCE = 0.5  # of its cost: chosen before others as idle as it is, when a whole send is saved
# Further attempts
HEDGE_SHARE = 0.4  # of the aim before a second copy is sent
HEDGE_BUDGET = 0.05  # copies per request; each attempt found lost pays for one more
MOST_HEDGES = 5.0  # copies saved up
HEDGE_PRESSURE = 0.7  # no copies when the window is fuller than this
# Congestion: the least worthwhile request is let in up to this pressure, a mean one up to 1
CHEAP_PRESSURE = 0.3  # of the window
WORTH_WEIGHT = 0.02  # EWMA weight of one request in the mean worth per work

NEVER_RAN = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.MOOT)
STANDINGS = (api.Standing.BEYOND, api.Standing.INSIDE)
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
    cap: float = 0.0  # the same of its ceiling; within the quota it never holds less than at first
    read_us: int = 0  # then; at first the begin of the epoch, when the store is taken to be full
    price: float = FIRST_PRICE
    others: float = 0.0  # units a second that other gateways sent, by the last total
    sent: float = 0.0  # units since the last counter add
    asked: float = 0.0
    epoch: int = -1  # of the totals below
    sent_total: int = -1  # last totals read, in grains; -1: none in this epoch
    asked_total: int = 0
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
    lost: bool = False  # no load: out for too long, or on its way to or from the client


@dataclass(slots=True)
class Request:
    id: int
    cls: int
    kind: api.RequestClass  # it came under this one, and keeps it
    tries: int  # attempts at most
    customer: Customer
    arrived_us: int
    give_up_us: int
    units: float
    inside: bool = False
    reserved: bool = False
    over: bool = False  # it has its final answer
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
    links: int = 0  # connections taken to be open: as many as were in use at once
    answered_us: int = 0
    fails: int = 0
    reset: bool = False  # its connections broke: if it is back, it is cold
    ejected_until: int = 0
    ejections: int = 0
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
    request: Request | None  # waits for this call's answer; its units are in it


def next_price(price: float, sent_total: float, quota: float, most: float = 1.0) -> float:
    """The paper's projected step, φ ← min{max{φ - ν(1 - S/Q), 0}, most}; 1 is the even slice's price."""
    return min(max(price - STEP * (1.0 - sent_total / quota), 0.0), most)


def level_at(price: float, quota: float, gateways: int, own: float, room: float, share: float) -> float:
    """ℓ maximises (Q/n)·log ℓ - φ·ℓ, capped by own use plus its share of room, floored at the even slice."""
    even = quota / gateways
    return max(min(even / max(price, LEAST_PRICE), own + room * share), even)


def grain_of(plan: api.Plan) -> float:
    """Units counted as one, so that an epoch's totals stay exact."""
    return max(1.0, COUNTED_OVER * plan.rate * EPOCH_US / SECOND / PACK)


class Gateway:
    """One ingress. All state is this instance's own; time and events come in, actions go out."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.born_us, self.processes = -1, 1  # two while a new version takes over (millfront/takeover.py)
        self.carry: Callable[[int, Customer, api.Plan], None]  # of live plans, whose host puts it here
        self.actions: list[api.Action] = []
        self.customers: dict[int, Customer] = {}
        self.requests: dict[int, Request] = {}
        self.backends: dict[int, Backend] = {}
        self.calls: dict[int, list[Call]] = {}  # by name, in order
        self.call_rate = FIRST_CALLS / settings.peers  # calls a second that the counter is taken to bear
        self.calls_left, self.paced_us, self.cut_us = 1.0, 0, 0
        self.class_work: list[float] = []  # EWMA of latency, µs
        self.mean_worth, self.mean_units, self.mean_out_s = 0.0, 0.0, 0.0  # the latter of answered attempts
        self.weigh_classes()
        self.hedges = 0.0
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
            case api.UnitsLeased(key, units) if key in self.customers:
                self.customers[key].leased = max(0.0, self.customers[key].leased + units)
            case api.BackendList():
                self.on_list(now, event)
            case api.RequestGone():
                self.on_gone(event)
            case api.Retuned():
                self.on_retuned(event)
            case api.RequestWhole():
                self.on_whole(now, event)
            case api.StreamStarted():
                self.on_stream(now, event)
            case api.Started():
                self.born_us = self.paced_us = now
                self.actions.append(api.SetTimer(BEAT_US, BEAT))
        return self.actions

    def on_retuned(self, event: api.Retuned) -> None:
        """Decide by them from now on; open requests keep what they came under, customers what they hold."""
        plans = {id(self.settings.plans[old]): event.settings.plans[new] for old, new in event.plans}
        self.settings = event.settings
        for customer in self.customers.values():
            customer.plan = plans.get(id(customer.plan), customer.plan)
        self.weigh_classes()

    def weigh_classes(self) -> None:
        """A unit of quota goes where it earns most."""
        classes = self.settings.classes
        self.class_work += [c.aim_us / AIM_TO_WORK for c in classes[len(self.class_work) :]]
        most = max(c.worth for c in classes) or 1.0
        self.reserve = [RESERVE * (1.0 + MARGIN - c.worth / most) for c in classes]

    # ---- a request arrives -------------------------------------------------------------------

    def on_request(self, now: int, event: api.RequestArrived) -> None:
        customer = self.customer_of(now, event)
        self.refill(now, customer)
        customer.asked += event.units
        customer.seen_us = now
        end, since = now + event.patience_us, now if event.whole else now + event.patience_us
        kind, tries = self.settings.classes[event.cls], self.settings.allowed.max_attempts
        tries = tries if event.whole else 1
        request = Request(event.request, event.cls, kind, tries, customer, since, end, event.units)
        if not event.reserves and self.asks_first(now, request):
            self.requests[request.id] = request
            customer.sent += request.units
            self.call_counter(now, customer, request)
        else:
            self.admit(now, request, event.reserves)

    def admit(self, now: int, request: Request, reserves: bool = False) -> None:
        customer, units = request.customer, request.units
        odds = self.odds_inside(customer, units, request.cls)
        if reserves and odds < 1.0:
            self.actions.append(api.Short(customer.key, units, customer.leased, customer.gateways))
        request.reserved = odds < 1.0 and customer.leased >= units
        odds = 1.0 if request.reserved else odds
        request.inside = odds > 0.0
        net = odds + (1.0 - odds) * (customer.plan.over_worth - customer.plan.over_cost)
        backend = None
        if net > 0.0 and (request.reserved or self.ceiling_allows(customer, units)):
            backend = self.pick(now, request) if self.worth_its_work(now, request, net) else None
        if backend is None:
            self.actions.append(self.refusal(request))
            return
        self.requests[request.id] = request
        if customer.plan.ceiling_rate > 0 and not request.reserved:
            customer.ceiling -= units
        if request.reserved:
            customer.leased -= units
        elif request.inside:
            customer.bucket -= units
            customer.sent += units
        self.hedges = min(self.hedges + HEDGE_BUDGET, MOST_HEDGES)
        self.send(now, request, backend)

    def on_whole(self, now: int, event: api.RequestWhole) -> None:
        """Until now neither the request nor its attempt had a time that says anything."""
        if (request := self.requests.get(event.request)) is not None:
            request.arrived_us, request.give_up_us = now, now + event.patience_us
            for number, attempt in enumerate(request.attempts):
                attempt.sent_us = now
                self.count_load(now, request, number)

    def on_stream(self, now: int, event: api.StreamStarted) -> None:
        """An answer has begun to reach the client: it is no load any more, and others are withdrawn."""
        if (request := self.requests.get(event.request)) is not None:
            request.stream = True
            for number, attempt in enumerate(request.attempts):
                attempt.slow = True  # its time says no more
                self.unload(now, attempt)
                attempt.backend.in_flight.pop((request.id, number), None)
                if number != event.attempt and not attempt.ended and self.settings.allowed.cancel:
                    self.actions.append(api.Cancel(request.id, number))

    def customer_of(self, now: int, event: api.RequestArrived) -> Customer:
        plan = event.terms or self.settings.plans[event.plan]
        if (known := self.customers.get(event.customer)) is not None:
            if (event.terms or known.carried) and plan is not known.plan:
                self.refill(now, known)
                self.carry(now, known, plan)
            return known
        gateways = max(1, min(event.spread, self.settings.peers)) * self.processes
        # It fills from this gateway's start: one that was killed cannot tell that it had spent its share.
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
            due_us=now + api.mixed(event.customer, self.settings.me) % TICK_US,
            share=1.0 / gateways,
            store=plan.burst,
            cap=plan.ceiling_burst - plan.burst,
            read_us=now // EPOCH_US * EPOCH_US,
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
        """The chance that the try is inside the quota. Others' attempts out: as many, or by Little's law."""
        plan, odds = customer.plan, 1.0
        if plan.rate > 0:
            store = customer.bucket / customer.share - self.reserve[cls] * plan.burst
            odds = min(1.0, max(0.0, store / max(units, 1e-9)))
        if not plan.open_limit or odds <= 0.0:
            return odds
        others = customer.mean_out * (customer.gateways - 1)
        if self.thin(customer) and customer.read_us % EPOCH_US and self.mean_units:
            others = customer.others * self.mean_out_s / self.mean_units
        free = plan.open_limit - customer.out
        return odds * sum(math.exp(-others) * others**k / math.factorial(k) for k in range(free))

    def thin(self, customer: Customer) -> bool:
        """The even slice of the store is less than a few requests: no gateway sees enough to decide alone."""
        few, plan = THIN_SLICE * self.settings.most_units * customer.gateways, customer.plan
        return self.settings.counter and customer.gateways > 1 and plan.rate > 0 and plan.burst < few

    def asks_first(self, now: int, request: Request) -> bool:
        """Whether a thin customer's request, which the slice does not hold, waits for its total."""
        customer, units = request.customer, request.units
        if not self.thin(customer) or (now < customer.due_us and customer.store < units):
            return False
        holds = customer.bucket >= units and self.odds_inside(customer, units, request.cls) >= 1.0
        holds = holds and self.ceiling_allows(customer, units)
        return not holds and self.may_call(now, self.reserve[request.cls])

    def ceiling_allows(self, customer: Customer, units: float) -> bool:
        """Rule 5: a share of what totals leave of the store; without totals an equal share of the rate."""
        return customer.plan.ceiling_rate <= 0 or customer.ceiling >= units

    def refusal(self, request: Request) -> api.Refuse:
        """It says when to come back: once the bucket lets it in, not before an attempt's time has passed."""
        customer, plan = request.customer, request.customer.plan
        loss = plan.over_cost - plan.over_worth
        least_odds = loss / (1.0 + loss) if loss > 0.0 else 0.0
        lacks = least_odds * request.units * customer.share - customer.bucket if plan.rate > 0 else 0.0
        wait_us = max(self.class_work[request.cls], lacks / max(customer.level, 1e-9) * SECOND)
        allowed = self.settings.allowed
        return api.Refuse(request.id, int(min(wait_us, allowed.max_retry_after_us)) * allowed.retry_after)

    def worth_its_work(self, now: int, request: Request, net: float) -> bool:
        """Utility less the price of congestion: what earns least for its work is refused first."""
        value = net * request.kind.worth * request.customer.plan.worth_factor / self.class_work[request.cls]
        self.mean_worth += WORTH_WEIGHT * (value - self.mean_worth) if self.mean_worth else value
        relative = min(1.0, value / self.mean_worth)
        self.add_load(now, 0)
        return self.pressure() <= CHEAP_PRESSURE + (1.0 - CHEAP_PRESSURE) * relative

    def pressure(self) -> float:
        """Mean attempts in flight over the window; what lies at an ejected backend is lost, not load."""
        return max(self.mean_load, self.load - CHANCE) / max(self.window, LEAST_WINDOW)

    def add_load(self, now: int, attempts: int) -> None:
        """The mean is long for a window of few attempts: guards against taking two that met for overload."""
        seconds = (now - self.load_us) / SECOND
        share = 1.0 - math.exp(-seconds * max(self.window, 1.0) / PRESSURE_S)
        self.mean_load += share * (self.load - self.mean_load)
        self.load_us = now
        self.load += attempts

    # ---- choice of backend -------------------------------------------------------------------

    def pick(self, now: int, request: Request) -> Backend | None:
        """The usable backend where the attempt is expected to end first."""
        tried = [a.backend.id for a in request.attempts]
        usable = [b for b in self.backends.values() if b.id not in tried and self.usable(now, b, request)]
        cost = {b.id: self.expected_cost(now, b) * (1.0 + TIE_SPREAD * self.random.random()) for b in usable}
        return min(usable, key=lambda b: cost[b.id], default=None)

    def usable(self, now: int, backend: Backend, request: Request) -> bool:
        away = backend.stopped or backend.ejected_until or now < backend.rests_until
        if away or self.is_silent(now, backend):
            return False
        if self.cold_share(now, backend) < 1.0 and backend.credit < 1.0:
            return False
        return self.may_send_to(now, request, backend)

    def is_silent(self, now: int, backend: Backend) -> bool:
        """No answer while attempts are out: a dead or stalled backend, before any time-out says so."""
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
        new = NEW_LINK_WEIGHT * self.settings.handshake_price * (len(backend.in_flight) >= backend.links)
        return slow * errors * (1.0 + load) * (COLD_PREFERENCE if cold < 1.0 else 1.0 + new)

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
        kind = request.kind
        if not ran or kind.repeat is api.Repeat.SAFE:
            return True
        if kind.repeat is api.Repeat.UNSAFE or now >= ran[0].sent_us + kind.window_us:
            return False
        return all(same_group(kind.group, a.backend, backend) for a in ran)

    def send(self, now: int, request: Request, backend: Backend) -> None:
        number = len(request.attempts)
        request.attempts.append(Attempt(backend, max(now, request.arrived_us), lost=True))
        if request.arrived_us <= now:  # else its body is still coming
            self.count_load(now, request, number)
        backend.links = max(backend.links, len(backend.in_flight))
        self.spend_credit(now, backend)
        standing = api.Standing.RESERVED if request.reserved else STANDINGS[request.inside]
        self.actions.append(api.Send(request.id, backend.id, max(1, request.give_up_us - now), standing))

    def count_load(self, now: int, request: Request, number: int) -> None:
        attempt = request.attempts[number]
        request.customer.out += 1
        attempt.lost = False
        attempt.backend.in_flight[(request.id, number)] = (now, request.cls)
        attempt.backend.load += 1
        self.add_load(now, 1)

    def spend_credit(self, now: int, chosen: Backend) -> None:
        """Rule 4 by this gateway alone: any send earns each cold backend its part by capacity of now."""
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
        request.customer.out -= request.arrived_us <= now  # it counts as out once it is whole
        attempt.backend.in_flight.pop((request.id, event.attempt), None)
        self.unload(now, attempt)
        self.learn(now, attempt.backend, request, event)
        more = event.true_units - request.units if event.true_units > 0 else 0.0  # told by a good answer
        if request.reserved:
            request.customer.leased -= more
        elif request.inside:
            request.customer.bucket -= more
            request.customer.sent += more
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
            self.judge(now, request, event.attempt)
            self.mean_units += CLASS_WEIGHT * (request.units - self.mean_units)
            self.mean_out_s += CLASS_WEIGHT * (event.latency_us / SECOND - self.mean_out_s)
        if event.outcome in (api.Outcome.OK, api.Outcome.ERROR):
            backend.errors += ERROR_WEIGHT * ((event.outcome is api.Outcome.ERROR) - backend.errors)
        if event.outcome in (api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL):
            backend.answered_us = now
            if not backend.ejected_until:
                backend.reset = False  # it answered without having been away
            self.readmit(now, backend)
        else:
            backend.links = max(0, backend.links - 1)
        if event.outcome is api.Outcome.FULL:
            backend.rests_until = now + REST_US
            self.window = max(LEAST_WINDOW, self.window * SHRINK)
        backend.reset = backend.reset or event.outcome is api.Outcome.RESET
        if event.outcome is api.Outcome.RESET or (event.outcome is api.Outcome.TIMEOUT and attempt.slow):
            self.blame(now, backend, 1)  # one alone may be the connection's fault
        if event.outcome is api.Outcome.CONNECT_FAILED:
            if backend.links and now - backend.answered_us < request.kind.aim_us:
                backend.rests_until = now + REST_US  # short of connections: another one is up and answers
            else:
                self.blame(now, backend, EJECT_FAILS)

    def judge(self, now: int, request: Request, number: int) -> None:
        """The price of congestion: attempts slow beside their aim shrink the window, fast answers grow it.
        One out past its aim is lost, not load, and pays for a copy of another: some are never answered."""
        attempt, aim_us = request.attempts[number], request.kind.aim_us
        slow = now - attempt.sent_us > GOOD_SHARE * aim_us
        if not attempt.ended and not attempt.lost and now - attempt.sent_us > aim_us:
            self.hedges = min(self.hedges + 1.0, MOST_HEDGES)
            self.unload(now, attempt)
            if request.customer.plan.open_limit and self.settings.allowed.cancel:
                self.actions.append(api.Cancel(request.id, number))  # it would hold a place to its deadline
        if not attempt.ended and attempt.backend.answered_us < attempt.sent_us:
            return  # silence may be loss (a dead or cut off backend), which less load would not cure
        if slow and not attempt.slow:
            attempt.slow = True
            self.window = max(LEAST_WINDOW, self.window * SHRINK)
        elif attempt.ended and not slow and self.pressure() >= USED_SHARE:
            depth = MOST_DEPTH * len(self.backends) / self.settings.peers
            self.window = min(self.window * GROW, max(depth, LEAST_WINDOW))

    def unload(self, now: int, attempt: Attempt) -> None:
        if attempt.lost:
            return
        attempt.lost = True
        attempt.backend.load -= 1
        if not attempt.backend.ejected_until:
            self.add_load(now, -1)

    def blame(self, now: int, backend: Backend, fails: int) -> None:
        backend.fails += fails
        if backend.fails >= EJECT_FAILS and not backend.ejected_until:
            backend.ejected_until = now + min(EJECT_US << backend.ejections, EJECT_MOST_US)
            backend.ejections = min(backend.ejections + 1, 3)
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
        if self.time_left(now, request) > 0 and len(request.attempts) < request.tries:
            backend = self.pick(now, request)
            if backend is not None:
                self.send(now, request, backend)
                return
        request.over = True
        self.actions.append(self.final_answer(request))

    def final_answer(self, request: Request) -> api.Action:
        """Rule 2: a refusal says that another try is harmless, a failure promises nothing."""
        kind, ran = request.kind, any(a.may_have_run for a in request.attempts)
        keyed_anywhere = kind.repeat is api.Repeat.KEYED and kind.group is api.Group.ALL
        harmless = kind.repeat is api.Repeat.SAFE or keyed_anywhere
        return self.refusal(request) if harmless or not ran else api.Fail(request.id)

    def too_late(self, now: int, request: Request) -> bool:
        """An answer would earn nothing. The attempts stay out: their end tells whether a backend is slow."""
        late = now > request.arrived_us + request.kind.aim_us
        return not request.over and request.kind.late_worth <= 0 and late

    def time_left(self, now: int, request: Request) -> float:
        """Until an answer earns too little, less the time that an attempt takes."""
        aim_end_us = request.arrived_us + request.kind.aim_us
        end_us = request.give_up_us if request.kind.late_worth > 0 else min(request.give_up_us, aim_end_us)
        return end_us - now - self.class_work[request.cls]

    def on_gone(self, event: api.RequestGone) -> None:
        if (request := self.requests.get(event.request)) is not None and not request.over:
            self.close(request)
            if all(a.ended for a in request.attempts):
                del self.requests[request.id]

    # ---- by itself ---------------------------------------------------------------------------

    def on_beat(self, now: int) -> None:
        self.actions.append(api.SetTimer(BEAT_US, BEAT))
        for request in [r for r in self.requests.values() if not r.stream]:
            for number, attempt in enumerate(request.attempts):
                if not attempt.ended:
                    self.judge(now, request, number)
            if self.too_late(now, request):
                request.over = True
                self.actions.append(self.final_answer(request))
            elif self.wants_hedge(now, request):
                backend = self.pick(now, request)
                if backend is not None:
                    self.hedges -= 1.0
                    self.send(now, request, backend)
        due = [customer for customer in self.customers.values() if now >= customer.due_us]
        for customer in sorted(due, key=lambda one: one.due_us):
            self.tell_counter(now, customer)
        for backend in self.backends.values():
            if backend.ejected_until and not backend.stopped and now >= backend.ejected_until:
                self.readmit(now, backend)

    def wants_hedge(self, now: int, request: Request) -> bool:
        return (
            not request.over
            and request.kind.repeat is not api.Repeat.UNSAFE
            and not request.customer.plan.open_limit  # a copy would take a place of the customer's next try
            and len(request.attempts) == 1 < request.tries
            and self.settings.allowed.second_copies
            and now - request.arrived_us >= HEDGE_SHARE * request.kind.aim_us
            and self.hedges >= 1.0
            and self.pressure() < HEDGE_PRESSURE
            and self.time_left(now, request) > 0
        )

    # ---- the counter -------------------------------------------------------------------------

    def tell_counter(self, now: int, customer: Customer) -> None:
        """One call adds this tick's units and reads S: what came since the last one is everybody's tick."""
        plan, n = customer.plan, customer.gateways
        if now - customer.seen_us > max(IDLE_US, self.full_after_us(plan, n)) and not customer.out:
            del self.customers[customer.key]
            return
        quiet = customer.asked < QUIET_SHARE * plan.rate / n * TICK_US / SECOND
        quiet = quiet and (not self.thin(customer) or abs(customer.sent) < 1.0)
        if quiet or plan.rate <= 0 or n == 1 or not self.settings.counter:
            customer.due_us = now + TICK_US
            self.set_level(customer, None, 0.0, 0.0)
        elif self.may_call(now, 0.5 * self.thin(customer)):
            self.call_counter(now, customer, None)

    def may_call(self, now: int, kept: float) -> bool:
        """Calls go at the rate that the counter bears: a line of all gateways' calls answers none in time."""
        saved = self.calls_left + (now - self.paced_us) / SECOND * self.call_rate
        most = max(1.0, self.call_rate * TICK_US / SECOND)
        self.calls_left, self.paced_us = min(saved, most), now
        if self.calls_left < 1.0 + kept * (most - 1.0):
            return False
        self.calls_left -= 1.0
        return True

    def call_counter(self, now: int, customer: Customer, request: Request | None) -> None:
        customer.due_us = now + TICK_US
        grain, epoch = grain_of(customer.plan), now // EPOCH_US
        sent = min(round(customer.sent / grain), PACK - 1)  # less than none: units told and then not let in
        asked = min(round(customer.asked / grain), PACK - 1)
        customer.sent -= sent * grain
        customer.asked -= asked * grain
        # Gateways that hold another version of a live plan must not read totals of another grain as theirs.
        grains = () if grain == 1.0 else (int(grain * 1e6),)
        name = api.mixed(customer.key, epoch, *grains)
        self.calls.setdefault(name, []).append(Call(customer.key, epoch, sent, asked, now, grain, request))
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
        if event.outcome is not api.Outcome.RESET:  # a lost connection says nothing of the counter's load
            self.heed(now, call, event.outcome is api.Outcome.OK)
        if (customer := self.customers.get(call.customer)) is not None:
            self.refill(now, customer)
            self.take_total(customer, call, event)
        if (request := call.request) is not None:
            request.customer.sent -= request.units  # told as let in, before that was known
            if self.requests.pop(request.id, request) is request and not request.over:
                self.admit(now, request)

    def take_total(self, customer: Customer, call: Call, event: api.CounterAnswered) -> None:
        grain = call.grain
        if event.outcome is not api.Outcome.OK:
            if event.outcome not in (api.Outcome.TIMEOUT, api.Outcome.RESET):  # surely not: told again
                customer.sent += call.sent * grain
                customer.asked += call.asked * grain
            self.set_level(customer, None, 0.0, 0.0)
            return
        if grain != grain_of(customer.plan) or customer.plan.rate <= 0:  # the plan before's totals
            return
        asked, sent = divmod(round(event.total) + SPARE, PACK)
        sent -= SPARE
        known = customer.epoch == call.epoch  # a new name counts from nothing; the old one's last is missed
        new_sent = sent - customer.sent_total if known else sent
        new_asked = asked - customer.asked_total if known else asked
        seconds = max(call.made_us - customer.read_us, BEAT_US) / SECOND
        customer.epoch, customer.sent_total, customer.asked_total = call.epoch, sent, asked
        customer.read_us = call.made_us
        own, share = call.sent * grain / seconds, call.asked / max(new_asked, 1)
        if new_asked < call.asked:  # it forgot
            self.set_level(customer, None, own, 0.0)
            return
        customer.others = max(0, new_sent - call.sent) * grain / seconds
        self.scale(customer, new_sent * grain, share, new_asked * grain, seconds)
        if call.request is not None:  # its own units are in the total: this bucket is what it found
            customer.bucket += call.request.units * customer.share
            customer.ceiling = max(customer.ceiling, min(customer.cap, call.request.units))
        self.set_level(customer, new_sent * grain / seconds if known else None, own, share * known)

    def heed(self, now: int, call: Call, answered: bool) -> None:
        """Fewer calls when answers come late, one cut for all that were out; more while they come soon."""
        if answered and now - call.made_us < SLOW_CALL * self.settings.counter_timeout_us:
            more = MORE_CALLS / self.settings.peers / self.call_rate
            self.call_rate += more if self.cut_us else FIRST_MORE
        elif call.made_us >= self.cut_us + CUT_REST * self.settings.counter_timeout_us:
            self.call_rate, self.cut_us = max(LEAST_CALLS, self.call_rate * FEWER_CALLS), now

    def scale(self, customer: Customer, sent: float, share: float, asked: float, seconds: float) -> None:
        """The quota's store by the totals, and this gateway's part of it by its part of the demand."""
        plan, n = customer.plan, customer.gateways
        older = customer.others * max(0.0, seconds - plan.burst / plan.rate)  # has filled up again
        left = min(customer.store + plan.rate * seconds, plan.burst) + older - sent
        customer.store = min(max(left, 0.0), plan.burst)
        weight = asked / (asked + SHARE_UNITS)
        customer.share += weight * (share - customer.share)
        customer.share = max(customer.share, LEAST_SHARE / n)
        customer.bucket = customer.share * customer.store - customer.sent
        if plan.ceiling_rate > 0:
            customer.cap = min(customer.cap + plan.ceiling_rate * seconds, plan.ceiling_burst) - sent
            customer.ceiling = customer.share * max(customer.cap, 0.0) - customer.sent

    def set_level(self, customer: Customer, sent_rate: float | None, own: float, share: float) -> None:
        """One price step, in units a second. Without a total the price stays and no room is known."""
        quota, room = customer.plan.rate, 0.0
        if sent_rate is not None:
            customer.price = next_price(customer.price, sent_rate, quota)
            room = max(quota - sent_rate, 0.0)
        customer.level = level_at(customer.price, quota, customer.gateways, own, room, share)

    # ---- the list of backends ----------------------------------------------------------------

    def on_list(self, now: int, event: api.BackendList) -> None:
        if event.kind is api.ListKind.FAILED:
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
