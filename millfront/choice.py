"""The gateway: time and events come in, actions go out; a request's way, the beat and the counter."""

from millfront import interface as api
from millfront.decisions.attempts import MAX_HEDGE_TOKENS, Attempts
from millfront.decisions.customers import COUNTER_PERIOD_US
from millfront.decisions.prices import EPOCH_US, PACK_BASE, SECOND_US, counter_quantum
from millfront.decisions.state import Call, Customer, Request

TIMER_PERIOD_US, TIMER_TOKEN = 20_000, 1  # short beside any aim, long beside the CPU time of a run
SENT_OFFSET = 100  # units; the sent count is negative when units are given back in the next epoch
NAME_TTL_US = 2 * EPOCH_US  # outlives its epoch whoever called first; under the 60 s a counter grants
INITIAL_RATE_STEP, RATE_STEP = 0.5, 40.0  # per fast answer: until the first cut; after it, in all calls' sum
RATE_CUT, CUT_INTERVAL, MIN_CALL_RATE = 0.8, 3.0, 0.5  # factor; in counter time-outs; calls a second
SLOW_CALL_SHARE = 0.3  # of the wait for an answer: a line that long grows until no answer comes in time
IDLE_US = 30 * SECOND_US  # least idle time before a customer is forgotten
QUIET_SHARE = 0.25  # of a tick's even slice: until so much was asked, no total can change what is let in
HEDGE_RATIO = 0.05  # copies per request; each attempt found lost pays for one more


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
                self.on_timer(now)
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
                self.started_us = self.call_tokens_us = now
                self.actions.append(api.SetTimer(TIMER_PERIOD_US, TIMER_TOKEN))
        return self.actions

    def on_retuned(self, event: api.Retuned) -> None:
        """Decide by them from now on; open requests keep what they came under, customers what they hold."""
        plans = {id(self.settings.plans[old]): event.settings.plans[new] for old, new in event.plans}
        self.settings = event.settings
        for customer in self.customers.values():
            customer.plan = plans.get(id(customer.plan), customer.plan)
        self.update_classes()

    def on_request(self, now: int, event: api.RequestArrived) -> None:
        customer = self.customer_of(now, event)
        self.refill(now, customer)
        customer.demand += event.units
        customer.active_us = now
        end, since = now + event.patience_us, now if event.whole else now + event.patience_us
        kind, max_attempts = self.settings.classes[event.cls], self.settings.allowed.max_attempts
        max_attempts = max_attempts if event.whole else 1
        request = Request(event.request, event.cls, kind, max_attempts, customer, since, end, event.units)
        if not event.reserves and self.awaits_total(now, request):
            self.requests[request.id] = request
            customer.sent += request.units
            self.call_counter(now, customer, request)
        else:
            self.admit(now, request, event.reserves)

    def admit(self, now: int, request: Request, reserves: bool = False) -> None:
        customer, units = request.customer, request.units
        probability = self.quota_probability(customer, units, request.cls)
        if reserves and probability < 1.0:
            self.actions.append(api.Short(customer.key, units, customer.leased, customer.gateways))
        request.reserved = probability < 1.0 and customer.leased >= units
        probability = 1.0 if request.reserved else probability
        request.in_quota = probability > 0.0
        net = probability + (1.0 - probability) * (customer.plan.over_worth - customer.plan.over_cost)
        backend = None
        if net > 0.0 and (request.reserved or self.ceiling_allows(customer, units)):
            backend = self.pick(now, request) if self.worth_sending(now, request, net) else None
        if backend is None:
            self.actions.append(self.refusal(request))
            return
        self.requests[request.id] = request
        if customer.plan.ceiling_rate > 0 and not request.reserved:
            customer.ceiling -= units
        if request.reserved:
            customer.leased -= units
        elif request.in_quota:
            customer.bucket -= units
            customer.sent += units
        self.hedge_tokens = min(self.hedge_tokens + HEDGE_RATIO, MAX_HEDGE_TOKENS)
        self.send(now, request, backend)

    def awaits_total(self, now: int, request: Request) -> bool:
        """Whether a thin customer's request, which the slice does not hold, waits for its total."""
        customer, units = request.customer, request.units
        if not self.small_share(customer) or (now < customer.next_call_us and customer.global_bucket < units):
            return False
        covered = customer.bucket >= units and self.quota_probability(customer, units, request.cls) >= 1.0
        covered = covered and self.ceiling_allows(customer, units)
        return not covered and self.take_call_token(now, self.class_reserve[request.cls])

    def on_timer(self, now: int) -> None:
        self.actions.append(api.SetTimer(TIMER_PERIOD_US, TIMER_TOKEN))
        for request in [r for r in self.requests.values() if not r.streaming]:
            for number, attempt in enumerate(request.attempts):
                if not attempt.ended:
                    self.adjust_window(now, request, number)
            if self.too_late(now, request):
                request.finished = True
                self.actions.append(self.final_answer(request))
            elif self.wants_hedge(now, request):
                backend = self.pick(now, request)
                if backend is not None:
                    self.hedge_tokens -= 1.0
                    self.send(now, request, backend)
        due = [customer for customer in self.customers.values() if now >= customer.next_call_us]
        for customer in sorted(due, key=lambda one: one.next_call_us):
            self.update_customer(now, customer)
        for backend in self.backends.values():
            if backend.ejected_until_us and not backend.stopped and now >= backend.ejected_until_us:
                self.readmit(now, backend)

    def update_customer(self, now: int, customer: Customer) -> None:
        """One call adds this tick's units and reads S: what came since the last one is everybody's tick."""
        plan, n = customer.plan, customer.gateways
        if now - customer.active_us > max(IDLE_US, self.refill_time_us(plan, n)) and not customer.open:
            del self.customers[customer.key]
            return
        quiet = customer.demand < QUIET_SHARE * plan.rate / n * COUNTER_PERIOD_US / SECOND_US
        quiet = quiet and (not self.small_share(customer) or abs(customer.sent) < 1.0)
        if quiet or plan.rate <= 0 or n == 1 or not self.settings.counter:
            customer.next_call_us = now + COUNTER_PERIOD_US
            self.update_rate(customer, None, 0.0, 0.0)
        elif self.take_call_token(now, 0.5 * self.small_share(customer)):
            self.call_counter(now, customer, None)

    def take_call_token(self, now: int, reserved: float) -> bool:
        """Calls go at the rate that the counter bears: a line of all gateways' calls answers none in time."""
        tokens = self.call_tokens + (now - self.call_tokens_us) / SECOND_US * self.call_rate
        max_tokens = max(1.0, self.call_rate * COUNTER_PERIOD_US / SECOND_US)
        self.call_tokens, self.call_tokens_us = min(tokens, max_tokens), now
        if self.call_tokens < 1.0 + reserved * (max_tokens - 1.0):
            return False
        self.call_tokens -= 1.0
        return True

    def call_counter(self, now: int, customer: Customer, request: Request | None) -> None:
        customer.next_call_us = now + COUNTER_PERIOD_US
        quantum, epoch = counter_quantum(customer.plan), now // EPOCH_US
        sent = min(round(customer.sent / quantum), PACK_BASE - 1)  # below 0: counted, then not let in
        demand = min(round(customer.demand / quantum), PACK_BASE - 1)
        customer.sent -= sent * quantum
        customer.demand -= demand * quantum
        # Gateways that hold another version of a live plan must not read totals of another grain as theirs.
        quantum_part = () if quantum == 1.0 else (int(quantum * 1e6),)
        name = api.stable_hash(customer.key, epoch, *quantum_part)
        self.calls.setdefault(name, []).append(Call(customer.key, epoch, sent, demand, now, quantum, request))
        self.actions.append(api.Count(name, float(sent + PACK_BASE * demand), NAME_TTL_US))

    def on_counter(self, now: int, event: api.CounterAnswered) -> None:
        waiting = self.calls.get(event.name)
        if not waiting:
            return
        call = waiting.pop(0)
        if not waiting:
            del self.calls[event.name]
        if event.outcome is not api.Outcome.RESET:  # a lost connection says nothing of the counter's load
            self.adjust_call_rate(now, call, event.outcome is api.Outcome.OK)
        if (customer := self.customers.get(call.customer)) is not None:
            self.refill(now, customer)
            self.apply_total(customer, call, event)
        if (request := call.request) is not None:
            request.customer.sent -= request.units  # told as let in, before that was known
            if self.requests.pop(request.id, request) is request and not request.finished:
                self.admit(now, request)

    def apply_total(self, customer: Customer, call: Call, event: api.CounterAnswered) -> None:
        quantum = call.quantum
        if event.outcome is not api.Outcome.OK:
            if event.outcome not in (api.Outcome.TIMEOUT, api.Outcome.RESET):  # surely not: told again
                customer.sent += call.sent * quantum
                customer.demand += call.demand * quantum
            self.update_rate(customer, None, 0.0, 0.0)
            return
        if quantum != counter_quantum(customer.plan) or customer.plan.rate <= 0:  # the plan before's totals
            return
        demand, sent = divmod(round(event.total) + SENT_OFFSET, PACK_BASE)
        sent -= SENT_OFFSET
        known = customer.epoch == call.epoch  # a new name counts from nothing; the old one's last is missed
        new_sent = sent - customer.sent_total if known else sent
        new_demand = demand - customer.demand_total if known else demand
        seconds = max(call.made_us - customer.total_read_us, TIMER_PERIOD_US) / SECOND_US
        customer.epoch, customer.sent_total, customer.demand_total = call.epoch, sent, demand
        customer.total_read_us = call.made_us
        own_rate, share = call.sent * quantum / seconds, call.demand / max(new_demand, 1)
        if new_demand < call.demand:  # it forgot
            self.update_rate(customer, None, own_rate, 0.0)
            return
        customer.others_rate = max(0, new_sent - call.sent) * quantum / seconds
        self.rebalance(customer, new_sent * quantum, share, new_demand * quantum, seconds)
        if call.request is not None:  # its own units are in the total: this bucket is what it found
            customer.bucket += call.request.units * customer.share
            customer.ceiling = max(customer.ceiling, min(customer.global_ceiling, call.request.units))
        self.update_rate(customer, new_sent * quantum / seconds if known else None, own_rate, share * known)

    def adjust_call_rate(self, now: int, call: Call, answered: bool) -> None:
        """Fewer calls when answers come late, one cut for all that were out; more while they come soon."""
        if answered and now - call.made_us < SLOW_CALL_SHARE * self.settings.counter_timeout_us:
            step = RATE_STEP / self.settings.peers / self.call_rate
            self.call_rate += step if self.rate_cut_us else INITIAL_RATE_STEP
        elif call.made_us >= self.rate_cut_us + CUT_INTERVAL * self.settings.counter_timeout_us:
            self.call_rate, self.rate_cut_us = max(MIN_CALL_RATE, self.call_rate * RATE_CUT), now
