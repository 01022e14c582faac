"""Two processes of one gatekeeper: how they share limits, and the state that the later one starts with. No
I/O.

While both run they count as two gateways of each customer: shares, levels and ceilings are halved in both, so
that together they admit what one would. When one has ended, the other counts as one again and refills from
what it holds. What the ended one had not used is lost, never doubled.
"""

import json
import math
from collections.abc import Mapping
from typing import Any

from millfront.choice import Gateway
from millfront.decisions.customers import COUNTER_PERIOD_US
from millfront.decisions.state import Backend, Customer
from millfront.interface import stable_hash

VERSION = 1
MAX_CUSTOMERS = 20_000  # the most recently active; limits the state to about 5 MB
HALVED = ("bucket", "ceiling", "share", "mean_open")
COPIED = ("refill_rate", "global_bucket", "global_ceiling", "price", "others_rate")
COUNTER_TOTALS = ("epoch", "sent_total", "demand_total")  # of the counter's totals
BACKEND_FIELDS = (
    "slowness",
    "error_rate",
    "ejected_until_us",
    "ejections",
    "paused_until_us",
    "started_us",
    "answered_us",
)


class InvalidState(Exception):
    """The state can't be used; nothing of it has been applied."""


def halve_shares(gateway: Gateway) -> None:
    """Another process of this gatekeeper has started."""
    gateway.processes = 2
    for customer in gateway.customers.values():
        customer.gateways *= 2
        for name in HALVED:
            setattr(customer, name, getattr(customer, name) / 2)
        customer.refill_rate /= 2


def restore_shares(gateway: Gateway) -> None:
    """The other process has ended."""
    if gateway.processes == 1:
        return
    gateway.processes = 1
    for customer in gateway.customers.values():
        customer.gateways = max(1, customer.gateways // 2)
        customer.share = min(1.0, customer.share * 2)


def dump_state(gateway: Gateway, plans: list[str], members: Mapping[int, str]) -> bytes:
    """The state that a successor starts with, as JSON; call halve_shares() first.

    :param plans: names by place
    :param members: names by the decision module's number
    """
    recent = [c for c in gateway.customers.values() if c.live_plan_state is None]
    recent.sort(key=lambda c: -c.active_us)
    places = {id(plan): place for place, plan in enumerate(gateway.settings.plans)}
    customers = [
        [c.key, plans[places[id(c.plan)]], c.gateways, c.refilled_us, c.active_us, c.total_read_us]
        + [getattr(c, name) for name in (*HALVED, *COPIED, *COUNTER_TOTALS)]
        for c in recent[:MAX_CUSTOMERS]
        if id(c.plan) in places
    ]
    backends = {
        members[b.id]: [getattr(b, name) for name in BACKEND_FIELDS]
        for b in gateway.backends.values()
        if b.id in members
    }
    state = {"version": VERSION, "customers": customers, "members": backends, "call_rate": gateway.call_rate}
    return json.dumps(state | {"window": gateway.window}).encode()


def load_state(
    gateway: Gateway, text: bytes, plans: Mapping[str, int], members: Mapping[str, int], now: int
) -> int:
    """Starts with a predecessor's state; returns the number of customers.

    :raises InvalidState: truncated, another version, or invalid values; the caller starts without it
    """
    try:
        state = json.loads(text)
        if state["version"] != VERSION:
            raise InvalidState(f"version: expected {VERSION}, got {state['version']!r}")
        customers = [_load_customer(gateway, row, plans, now) for row in state["customers"][:MAX_CUSTOMERS]]
        backend_values = {
            members[name]: _check_numbers(row, BACKEND_FIELDS)
            for name, row in state["members"].items()
            if name in members
        }
        window, rate = (_check_numbers([state[name]], (name,))[name] for name in ("window", "call_rate"))
    except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
        raise InvalidState(repr(error)) from None
    gateway.processes = 2
    gateway.customers = {customer.key: customer for customer in customers if customer is not None}
    gateway.window, gateway.call_rate = window, rate
    for number, values in backend_values.items():
        if (backend := gateway.backends.get(number)) is not None:
            _update_backend(backend, values)
    return len(gateway.customers)


def _load_customer(gateway: Gateway, row: list[Any], plans: Mapping[str, int], now: int) -> Customer | None:
    names = (
        "key",
        "gateways",
        "refilled_us",
        "active_us",
        "total_read_us",
        *HALVED,
        *COPIED,
        *COUNTER_TOTALS,
    )
    values = _check_numbers([row[0], *row[2:]], names)
    if row[1] not in plans:
        return None
    for name in ("refilled_us", "active_us", "total_read_us"):
        values[name] = min(values[name], now)  # clocks differ slightly; no time may lie in the future
    next_call_us = now + stable_hash(values["key"], gateway.settings.me) % COUNTER_PERIOD_US
    return Customer(plan=gateway.settings.plans[plans[row[1]]], next_call_us=next_call_us, **values)


def _update_backend(backend: Backend, values: dict[str, Any]) -> None:
    if values["started_us"] < backend.started_us:
        return  # it has restarted since
    for name, value in values.items():
        setattr(backend, name, value)
    backend.credit = 0.0  # the other process has the current credit for a cold member


def _check_numbers(row: list[Any], names: tuple[str, ...]) -> dict[str, Any]:
    values = dict(zip(names, row, strict=True))
    for name, value in values.items():
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise InvalidState(f"{name}: expected a finite number, got {value!r}")
    return values
