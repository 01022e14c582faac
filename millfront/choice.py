"""The gateway: time and events come in, actions go out; a request's way, the beat and the counter."""

from millfront import interface as api
from millfront.decisions.attempts import MOST_HEDGES, Attempts
from millfront.decisions.customers import TICK_US
from millfront.decisions.prices import EPOCH_US, PACK, SECOND, grain_of
from millfront.decisions.state import Call, Customer, Request

BEAT_US, BEAT = 20_000, 1  # timer of all periodic work: fine beside any aim, coarse beside CPU; its token
SPARE = 100  # units: sent may fall below nothing, where units are given back under the next epoch's name
NAME_TTL_US = 2 * EPOCH_US  # outlives its epoch whoever called first; under the 60 s a counter grants
FIRST_MORE, MORE_CALLS = 0.5, 40.0  # a call answered soon adds, before the first cut; a second of them, after
FEWER_CALLS, CUT_REST, LEAST_CALLS = 0.8, 3.0, 0.5  # a cut; waits till the next, for the line to go; at least
SLOW_CALL = 0.3  # of the wait for an answer: a line that long grows until no answer comes in time
IDLE_US = 30 * SECOND  # least idle time before a customer is forgotten
QUIET_SHARE = 0.25  # of a tick's even slice: until so much was asked, no total can change what is let in
HEDGE_BUDGET = 0.05  # copies per request; each attempt found lost pays for one more


class Gateway(Attempts):
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

    def asks_first(self, now: int, request: Request) -> bool:
        """Whether a thin customer's request, which the slice does not hold, waits for its total."""
        customer, units = request.customer, request.units
        if not self.thin(customer) or (now < customer.due_us and customer.store < units):
            return False
        holds = customer.bucket >= units and self.odds_inside(customer, units, request.cls) >= 1.0
        holds = holds and self.ceiling_allows(customer, units)
        return not holds and self.may_call(now, self.reserve[request.cls])

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
