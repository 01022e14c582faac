"""Customers: which of their requests may be admitted."""

import math

from millfront import interface as api
from millfront.decisions.members import Backends
from millfront.decisions.prices import EPOCH_US, SECOND_US, next_price, refill_rate
from millfront.decisions.state import Customer, Request

COUNTER_PERIOD_US = SECOND_US  # and of price steps: long enough for a few requests, short beside a spike
SMALL_SHARE_REQUESTS = 2.0  # largest requests: an even share of the burst that holds no more can't decide
SHARE_WEIGHT_UNITS, MIN_SHARE = 4.0, 0.3  # all demand that weighs half in a share; of the even one
OPEN_MEAN_S = 3.0  # time constant of a customer's mean of attempts in flight
LOW_WORTH_PRESSURE, WORTH_WEIGHT = 0.3, 0.02  # pressure that refuses the least worth; EWMA weight


class Customers(Backends):
    def customer_of(self, now: int, event: api.RequestArrived) -> Customer:
        plan = event.terms or self.settings.plans[event.plan]
        if (known := self.customers.get(event.customer)) is not None:
            if (event.terms or known.live_plan_state) and plan is not known.plan:
                self.refill(now, known)
                self.on_plan_change(now, known, plan)
            return known
        n = max(1, min(event.spread, self.settings.peers)) * self.processes
        # Fills from this gateway's start: a killed gateway can't know that it had spent its share.
        ceiling = min((now - self.started_us) / SECOND_US * plan.ceiling_rate, plan.ceiling_burst) / n
        next_call_us = now + api.stable_hash(event.customer, self.settings.me) % COUNTER_PERIOD_US
        initial = plan.burst / n, plan.rate / n, now, ceiling, now, next_call_us, 1.0 / n, plan.burst
        customer = Customer(event.customer, plan, n, *initial, plan.ceiling_burst - plan.burst)
        customer.total_read_us, customer.live_plan_state = now // EPOCH_US * EPOCH_US, event.terms
        self.customers[event.customer] = customer
        return customer

    def refill(self, now: int, customer: Customer) -> None:
        plan, n = customer.plan, customer.gateways
        seconds = (now - customer.refilled_us) / SECOND_US
        customer.refilled_us = now
        customer.mean_open += (1.0 - math.exp(-seconds / OPEN_MEAN_S)) * (customer.open - customer.mean_open)
        customer.bucket = min(customer.bucket + customer.refill_rate * seconds, plan.burst * customer.share)
        customer.ceiling = min(customer.ceiling + plan.ceiling_rate / n * seconds, plan.ceiling_burst / n)

    def quota_probability(self, customer: Customer, units: float, cls: int) -> float:
        """Chance of being within the quota. Others' open attempts: as many as here, or by Little's law."""
        plan, probability = customer.plan, 1.0
        if plan.rate > 0:
            remaining = customer.bucket / customer.share - self.class_reserve[cls] * plan.burst
            probability = min(1.0, max(0.0, remaining / max(units, 1e-9)))
        if not plan.open_limit or probability <= 0.0:
            return probability
        others = customer.mean_open * (customer.gateways - 1)
        if self.small_share(customer) and customer.total_read_us % EPOCH_US and self.mean_units:
            others = customer.others_rate * self.mean_latency_s / self.mean_units
        free = plan.open_limit - customer.open
        return probability * sum(math.exp(-others) * others**k / math.factorial(k) for k in range(free))

    def small_share(self, customer: Customer) -> bool:
        """The even share of the burst is less than a few requests: no gateway sees enough to decide alone."""
        needed, plan = SMALL_SHARE_REQUESTS * self.settings.most_units * customer.gateways, customer.plan
        return self.settings.counter and customer.gateways > 1 and plan.rate > 0 and plan.burst < needed

    def ceiling_allows(self, customer: Customer, units: float) -> bool:
        """Rule 5: a share of what totals leave of the ceiling; without totals, an even share of its rate."""
        return customer.plan.ceiling_rate <= 0 or customer.ceiling >= units

    def refusal(self, request: Request) -> api.Refuse:
        """Says when to retry: once the bucket admits the request, and not before an attempt's latency."""
        customer, plan = request.customer, request.customer.plan
        loss = plan.over_cost - plan.over_worth
        min_probability = loss / (1.0 + loss) if loss > 0.0 else 0.0
        deficit = min_probability * request.units * customer.share - customer.bucket if plan.rate > 0 else 0.0
        wait_us = max(self.latency_us[request.cls], deficit / max(customer.refill_rate, 1e-9) * SECOND_US)
        allowed = self.settings.allowed
        return api.Refuse(request.id, int(min(wait_us, allowed.max_retry_after_us)) * allowed.retry_after)

    def worth_sending(self, now: int, request: Request, net: float) -> bool:
        """Utility less the price of congestion: the least worth per service time is refused first."""
        value = net * request.kind.worth * request.customer.plan.worth_factor / self.latency_us[request.cls]
        self.mean_worth += WORTH_WEIGHT * (value - self.mean_worth) if self.mean_worth else value
        relative = min(1.0, value / self.mean_worth)
        self.add_load(now, 0)
        return self.pressure() <= LOW_WORTH_PRESSURE + (1.0 - LOW_WORTH_PRESSURE) * relative

    def refill_time_us(self, plan: api.Plan, gateways: int) -> int:
        """After this idle time every bucket of the customer is full: forgetting it gives nothing away."""
        ceiling = plan.ceiling_burst / plan.ceiling_rate if plan.ceiling_rate > 0 else 0.0
        quota = 2.0 * plan.burst / plan.rate if plan.rate > 0 else 0.0
        return int(max(ceiling, quota) * SECOND_US)

    def rebalance(self, customer: Customer, sent: float, share: float, demand: float, seconds: float) -> None:
        """Updates the global bucket by the totals, and this gateway's share by its part of the demand."""
        plan, n = customer.plan, customer.gateways
        refilled = customer.others_rate * max(0.0, seconds - plan.burst / plan.rate)  # has filled up again
        left = min(customer.global_bucket + plan.rate * seconds, plan.burst) + refilled - sent
        customer.global_bucket = min(max(left, 0.0), plan.burst)
        weight = demand / (demand + SHARE_WEIGHT_UNITS)
        customer.share += weight * (share - customer.share)
        customer.share = max(customer.share, MIN_SHARE / n)
        customer.bucket = customer.share * customer.global_bucket - customer.sent
        if plan.ceiling_rate > 0:
            customer.global_ceiling = (
                min(customer.global_ceiling + plan.ceiling_rate * seconds, plan.ceiling_burst) - sent
            )
            customer.ceiling = customer.share * max(customer.global_ceiling, 0.0) - customer.sent

    def update_rate(self, customer: Customer, sent_rate: float | None, own_rate: float, share: float) -> None:
        """One price step, in units/s. Without a total the price stays and no quota is known to be unused."""
        quota, unused = customer.plan.rate, 0.0
        if sent_rate is not None:
            customer.price = next_price(customer.price, sent_rate, quota)
            unused = max(quota - sent_rate, 0.0)
        customer.refill_rate = refill_rate(customer.price, quota, customer.gateways, own_rate, unused, share)
