"""The gateway: time and events in, actions out; admission of requests, the timer and calls to the counter."""

from millfront import interface as api
from millfront.decisions.attempts import MAX_HEDGE_TOKENS, Attempts
from millfront.decisions.customers import COUNTER_PERIOD_US
from millfront.decisions.prices import EPOCH_US, PACK_BASE, SECOND_US, counter_quantum
from millfront.decisions.state import Call, Customer, Request

TIMER_PERIOD_US, TIMER_TOKEN = 20_000, 1  # all periodic work: short beside any aim, cheap in CPU time
SENT_OFFSET = 100  # units: sent is negative where units are given back under the next epoch's name
NAME_TTL_US = 2 * EPOCH_US  # outlives its epoch whoever called first; under the 60 s that a counter grants
INITIAL_RATE_STEP, RATE_STEP = 0.5, 40.0  # calls/s: per fast answer; after a cut, per second by all gateways
RATE_CUT, CUT_INTERVAL, MIN_CALL_RATE = 0.8, 3.0, 0.5  # factor; in time-outs, for the queue to drain; calls/s
SLOW_CALL_SHARE = 0.3  # of the time-out: a queue that long grows until no answer is in time
IDLE_US = 30 * SECOND_US  # minimum idle time before a customer is forgotten
QUIET_SHARE = 0.25  # of an even share of a period's quota: below it no total can change a decision
HEDGE_RATIO = 0.05  # hedges per request; an attempt unanswered past its aim allows one more


class Gateway(Attempts):
    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Processes one event; returns the actions to take, in order."""
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
        """Applies new settings to later decisions; open requests keep their class, customers their units."""
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
        """Whether a request that the gateway's small share doesn't cover waits for the counter's total."""
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
        """Forgets an idle customer, or adds its units to the counter, whose increase S is what all sent."""
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
        """Paces calls to what the counter sustains: if all gateways' calls queue, none is in time."""
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
        sent = min(round(customer.sent / quantum), PACK_BASE - 1)  # < 0: counted, then not admitted
        demand = min(round(customer.demand / quantum), PACK_BASE - 1)
        customer.sent -= sent * quantum
        customer.demand -= demand * quantum
        # Gateways with another version of a live plan may use another quantum: their totals have other names.
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
        if event.outcome is not api.Outcome.RESET:  # a lost connection says nothing about the counter's load
            self.adjust_call_rate(now, call, event.outcome is api.Outcome.OK)
        if (customer := self.customers.get(call.customer)) is not None:
            self.refill(now, customer)
            self.apply_total(customer, call, event)
        if (request := call.request) is not None:
            request.customer.sent -= request.units  # counted as sent before it was decided
            if self.requests.pop(request.id, request) is request and not request.finished:
                self.admit(now, request)

    def apply_total(self, customer: Customer, call: Call, event: api.CounterAnswered) -> None:
        quantum = call.quantum
        if event.outcome is not api.Outcome.OK:
            if event.outcome not in (api.Outcome.TIMEOUT, api.Outcome.RESET):  # not added: sent again
                customer.sent += call.sent * quantum
                customer.demand += call.demand * quantum
            self.update_rate(customer, None, 0.0, 0.0)
            return
        if quantum != counter_quantum(customer.plan) or customer.plan.rate <= 0:  # the former plan's
            return
        demand, sent = divmod(round(event.total) + SENT_OFFSET, PACK_BASE)
        sent -= SENT_OFFSET
        known = customer.epoch == call.epoch  # a new name starts at 0; the old one's last units are missed
        new_sent = sent - customer.sent_total if known else sent
        new_demand = demand - customer.demand_total if known else demand
        seconds = max(call.made_us - customer.total_read_us, TIMER_PERIOD_US) / SECOND_US
        customer.epoch, customer.sent_total, customer.demand_total = call.epoch, sent, demand
        customer.total_read_us = call.made_us
        own_rate, share = call.sent * quantum / seconds, call.demand / max(new_demand, 1)
        if new_demand < call.demand:  # the counter lost its total
            self.update_rate(customer, None, own_rate, 0.0)
            return
        customer.others_rate = max(0, new_sent - call.sent) * quantum / seconds
        self.rebalance(customer, new_sent * quantum, share, new_demand * quantum, seconds)
        if call.request is not None:  # the total includes its own units: gives them back
            customer.bucket += call.request.units * customer.share
            customer.ceiling = max(customer.ceiling, min(customer.global_ceiling, call.request.units))
        self.update_rate(customer, new_sent * quantum / seconds if known else None, own_rate, share * known)

    def adjust_call_rate(self, now: int, call: Call, answered: bool) -> None:
        """Cuts the rate on a late answer, once for all calls then pending; raises it on a fast one."""
        if answered and now - call.made_us < SLOW_CALL_SHARE * self.settings.counter_timeout_us:
            step = RATE_STEP / self.settings.peers / self.call_rate
            self.call_rate += step if self.rate_cut_us else INITIAL_RATE_STEP
        elif call.made_us >= self.rate_cut_us + CUT_INTERVAL * self.settings.counter_timeout_us:
            self.call_rate, self.rate_cut_us = max(MIN_CALL_RATE, self.call_rate * RATE_CUT), now
