"""Customers: what of their requests may be let in."""

import math

from millfront import interface as api
from millfront.decisions.members import Members
from millfront.decisions.prices import EPOCH_US, SECOND, level_at, next_price
from millfront.decisions.state import Customer, Request

TICK_US = SECOND  # price step: long enough for a few requests of a customer, short beside its spikes
THIN_SLICE = 2.0  # largest requests: an even slice of the store that holds no more decides nothing
SHARE_UNITS, LEAST_SHARE = 4.0, 0.3  # asked by all to weigh half in a share; of the even share, at least
OUT_S = 3.0  # time over which a customer's mean of attempts out is taken
CHEAP_PRESSURE, WORTH_WEIGHT = 0.3, 0.02  # of the window, for the least worthwhile; EWMA of mean worth


class Customers(Members):
    def customer_of(self, now: int, event: api.RequestArrived) -> Customer:
        plan = event.terms or self.settings.plans[event.plan]
        if (known := self.customers.get(event.customer)) is not None:
            if (event.terms or known.carried) and plan is not known.plan:
                self.refill(now, known)
                self.carry(now, known, plan)
            return known
        n = max(1, min(event.spread, self.settings.peers)) * self.processes
        # It fills from this gateway's start: one that was killed cannot tell that it had spent its share.
        ceiling = min((now - self.born_us) / SECOND * plan.ceiling_rate, plan.ceiling_burst) / n
        due_us = now + api.mixed(event.customer, self.settings.me) % TICK_US
        at_first = plan.burst / n, plan.rate / n, now, ceiling, now, due_us, 1.0 / n, plan.burst
        customer = Customer(event.customer, plan, n, *at_first, plan.ceiling_burst - plan.burst)
        customer.read_us, customer.carried = now // EPOCH_US * EPOCH_US, event.terms
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

    def full_after_us(self, plan: api.Plan, gateways: int) -> int:
        """Idle for so long, every store of the customer is full: forgetting it gives nothing away."""
        ceiling = plan.ceiling_burst / plan.ceiling_rate if plan.ceiling_rate > 0 else 0.0
        quota = 2.0 * plan.burst / plan.rate if plan.rate > 0 else 0.0
        return int(max(ceiling, quota) * SECOND)

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
