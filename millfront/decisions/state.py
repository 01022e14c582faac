"""What a gateway holds; all of it is its own. Settings, events and actions: millfront/interface.py."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from millfront import interface as api

INITIAL_PRICE = 1.0  # φ of a newcomer: the even slice
INITIAL_CALL_RATE = 200.0  # counter calls a second, by all gateways together, until its answers tell more
RESERVE_SHARE, RESERVE_MARGIN = 0.7, 0.13  # of the burst: kept from a class worth 0; of that, from all
AIM_TO_LATENCY = 6.0  # first guess of a class's time in service is its aim over this


@dataclass(slots=True)
class Customer:  # as this gateway sees it
    key: int
    plan: api.Plan
    gateways: int  # n
    bucket: float
    refill_rate: float  # units a second
    refilled_us: int
    ceiling: float
    active_us: int
    next_call_us: int  # next counter call
    share: float  # of the customer's store and burst: by demand, at first the even one
    global_bucket: float  # what the customer's quota held for all gateways when the total was read last
    global_ceiling: float = 0.0  # the same of its ceiling; within the quota it never holds less than at first
    total_read_us: int = 0  # then; at first the begin of the epoch, when the store is taken to be full
    price: float = INITIAL_PRICE
    others_rate: float = 0.0  # units a second that other gateways sent, by the last total
    sent: float = 0.0  # units since the last counter add
    demand: float = 0.0
    epoch: int = -1  # of the totals below
    sent_total: int = -1  # last totals read, in grains; -1: none in this epoch
    demand_total: int = 0
    open: int = 0
    mean_open: float = 0.0
    leased: float = 0.0  # units of reservations, above the plan: the live plans' (millfront/plans)
    live_plan_state: object = None  # the live plans' own; none: the plan is the settings' and stays


@dataclass(slots=True)
class Attempt:
    backend: "Backend"
    sent_us: int
    ended: bool = False
    may_have_run: bool = True
    slow: bool = False
    uncounted: bool = False  # no load: out for too long, or on its way to or from the client


@dataclass(slots=True)
class Request:
    id: int
    cls: int
    kind: api.RequestClass  # it came under this one, and keeps it
    max_attempts: int  # attempts at most
    customer: Customer
    arrived_us: int
    give_up_us: int
    units: float
    in_quota: bool = False
    reserved: bool = False
    finished: bool = False  # it has its final answer
    streaming: bool = False
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True)
class Backend:
    id: int
    zone: int
    cell: int
    weight: float
    started_us: int = 0  # 0: long ago
    stopped: bool = False  # draining or gone
    slowness: float = 1.0  # EWMA of latency over its class's mean
    error_rate: float = 0.0  # EWMA of errors over answers
    in_flight: dict[tuple[int, int], tuple[int, int]] = field(default_factory=dict)  # -> sent_us, class
    load: int = 0  # of these, out for no longer than a lost one
    connections: int = 0  # connections taken to be open: as many as were in use at once
    answered_us: int = 0
    failures: int = 0
    was_reset: bool = False  # its connections broke: if it is back, it is cold
    ejected_until_us: int = 0
    ejections: int = 0
    paused_until_us: int = 0
    credit: float = 0.0


@dataclass(slots=True)
class Call:  # what one counter call told, in grains
    customer: int
    epoch: int
    sent: int
    demand: int
    made_us: int
    quantum: float
    request: Request | None  # waits for this call's answer; its units are in it


class State:
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.started_us, self.processes = -1, 1  # two while a new version takes over (millfront/takeover.py)
        self.on_plan_change: Callable[[int, Customer, api.Plan], None]  # set by live plans
        self.actions: list[api.Action] = []
        self.customers: dict[int, Customer] = {}
        self.requests: dict[int, Request] = {}
        self.backends: dict[int, Backend] = {}
        self.calls: dict[int, list[Call]] = {}  # by name, in order
        self.call_rate = INITIAL_CALL_RATE / settings.peers  # calls a second
        self.call_tokens, self.call_tokens_us, self.rate_cut_us = 1.0, 0, 0
        self.latency_us: list[float] = []  # EWMA of latency, µs
        self.mean_worth, self.mean_units, self.mean_latency_s = 0.0, 0.0, 0.0  # of answered ones
        self.update_classes()
        self.hedge_tokens = 0.0
        self.window = 0.0  # attempts this gateway may have in flight
        self.load, self.mean_load, self.load_us = 0, 0.0, 0  # out, not at ejected ones; its mean; as of

    def update_classes(self) -> None:
        """A unit of quota goes where it earns most."""
        classes = self.settings.classes
        self.latency_us += [c.aim_us / AIM_TO_LATENCY for c in classes[len(self.latency_us) :]]
        max_worth = max(c.worth for c in classes) or 1.0
        self.class_reserve = [RESERVE_SHARE * (1.0 + RESERVE_MARGIN - c.worth / max_worth) for c in classes]
