"""State of one gateway, shared with no other. Settings, events and actions: millfront/interface.py."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from millfront import interface as api

INITIAL_PRICE = 1.0  # φ of a new customer: gives the even share
INITIAL_CALL_RATE = 200.0  # counter calls/s of all gateways together, until its answers show what it sustains
RESERVE_SHARE, RESERVE_MARGIN = 0.7, 0.13  # of the burst: kept from a class worth 0; of that, from all
AIM_TO_LATENCY = 6.0  # the first estimate of a class's latency is its aim divided by this


@dataclass(slots=True)
class Customer:  # this gateway's view of it
    key: int
    plan: api.Plan
    gateways: int  # n
    bucket: float  # units this gateway may send
    refill_rate: float  # of the bucket, units/s
    refilled_us: int
    ceiling: float  # units this gateway may send under the ceiling
    active_us: int  # last request
    next_call_us: int
    share: float  # of the global bucket and the burst: by demand, at first 1/n
    global_bucket: float  # units left of the quota for all gateways, when the total was last read
    global_ceiling: float = 0.0  # the same of the ceiling; never below its first value within the quota
    total_read_us: int = 0  # when; at first the epoch's start, where the bucket is taken to be full
    price: float = INITIAL_PRICE
    others_rate: float = 0.0  # units/s that other gateways sent, by the last total
    sent: float = 0.0  # units not yet added to the counter; so is demand
    demand: float = 0.0
    epoch: int = -1  # of the two totals
    sent_total: int = -1  # last totals read, in quanta; -1: none in this epoch
    demand_total: int = 0
    open: int = 0  # attempts in flight
    mean_open: float = 0.0
    leased: float = 0.0  # units of reservations on top of the plan, from live plans (millfront/plans)
    live_plan_state: object = None  # owned by live plans; None: the plan comes from the settings


@dataclass(slots=True)
class Attempt:
    backend: "Backend"
    sent_us: int
    ended: bool = False
    may_have_run: bool = True
    slow: bool = False  # has shrunk the window, or may not (streaming)
    uncounted: bool = False  # not in the load: unanswered past its aim, or in transfer to or from the client


@dataclass(slots=True)
class Request:
    id: int
    cls: int
    kind: api.RequestClass  # as it was on arrival
    max_attempts: int
    customer: Customer
    arrived_us: int
    give_up_us: int
    units: float
    in_quota: bool = False
    reserved: bool = False
    finished: bool = False  # has its final answer
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
    slowness: float = 1.0  # EWMA of latency divided by its class's mean
    error_rate: float = 0.0  # EWMA of errors per answer
    in_flight: dict[tuple[int, int], tuple[int, int]] = field(default_factory=dict)  # -> sent_us, class
    load: int = 0  # of these, less the uncounted
    connections: int = 0  # assumed open: as many as were in use at once
    answered_us: int = 0
    failures: int = 0
    was_reset: bool = False  # its connections broke: once it is back, it is cold
    ejected_until_us: int = 0
    ejections: int = 0
    paused_until_us: int = 0
    credit: float = 0.0  # sends, while cold


@dataclass(slots=True)
class Call:  # one call to the counter; sent and demand in quanta
    customer: int
    epoch: int
    sent: int
    demand: int
    made_us: int
    quantum: float  # units
    request: Request | None  # waits for the answer; its units are included


class State:
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.started_us, self.processes = -1, 1  # 2 while a new version takes over (millfront/takeover.py)
        self.on_plan_change: Callable[[int, Customer, api.Plan], None]  # set by the host of live plans
        self.actions: list[api.Action] = []
        self.customers: dict[int, Customer] = {}
        self.requests: dict[int, Request] = {}
        self.backends: dict[int, Backend] = {}
        self.calls: dict[int, list[Call]] = {}  # by counter name, in order
        self.call_rate = INITIAL_CALL_RATE / settings.peers  # calls/s that the counter is assumed to sustain
        self.call_tokens, self.call_tokens_us, self.rate_cut_us = 1.0, 0, 0
        self.latency_us: list[float] = []  # by class: EWMA of latency
        self.mean_worth, self.mean_units, self.mean_latency_s = 0.0, 0.0, 0.0  # last two: of answers
        self.update_classes()
        self.hedge_tokens = 0.0
        self.window = 0.0  # attempts that this gateway may have in flight
        self.load, self.mean_load, self.load_us = 0, 0.0, 0  # in flight, not at ejected ones; EWMA; its time

    def update_classes(self) -> None:
        """Reserves quota for the classes of more worth: a unit goes where it earns most."""
        classes = self.settings.classes
        self.latency_us += [c.aim_us / AIM_TO_LATENCY for c in classes[len(self.latency_us) :]]
        max_worth = max(c.worth for c in classes) or 1.0
        self.class_reserve = [RESERVE_SHARE * (1.0 + RESERVE_MARGIN - c.worth / max_worth) for c in classes]
