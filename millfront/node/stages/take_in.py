"""Parses a client's message into what the decisions need, or rejects it."""

import re
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from millfront import interface as api
from millfront.node.host import Arrival
from millfront.node.http import Message
from millfront.node.retune import ActiveSettings

CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
CUSTOMER_LIMIT = 1 << 33
REQUEST_ID = re.compile(rb"[0-9a-fA-F]{1,16}")
TIMEOUT = re.compile(rb"([0-9]{1,10}(?:\.[0-9]{1,20})?)([mu])")
QUOTA = re.compile(rb"\s*(?:(units)=([0-9]{1,6}(?:\.[0-9]{1,20})?)|(spread|first)=([0-9]{1,6}))\s*")
METHODS = {api.Repeat.SAFE: b"GET", api.Repeat.KEYED: b"POST", api.Repeat.UNSAFE: b"POST"}
MICROSECONDS = {b"m": 1000, b"u": 1}


class LivePlan(Protocol):
    """A customer's plan as the plan book has it."""

    @property
    def plan(self) -> api.Plan | None: ...
    @property
    def name(self) -> str: ...
    @property
    def version(self) -> int: ...
    @property
    def reserves(self) -> bool: ...


class RequestRejected(Exception):
    """A rejection before any decision: the request violates the protocol."""

    def __init__(self, status: int, why: str, retry_after_s: float = 0.0) -> None:
        """:param retry_after_s: when the client may retry; 0: no Retry-After"""
        super().__init__(why)
        self.status = status
        self.fields = [(b"Retry-After", b"%.3f" % retry_after_s)] if retry_after_s > 0 else []


class RequestParser:
    def __init__(self, active_settings: ActiveSettings, max_units: float) -> None:
        self.update(active_settings, max_units)
        # Live plans: (customer, request's plan, Unix time in µs) -> the plan that applies instead, or None
        self.live_plan: Callable[[int, str, int], LivePlan | None] | None = None

    def update(self, active_settings: ActiveSettings, max_units: float) -> None:
        """Applies new settings. Names are kept as bytes, as they arrive on the wire."""
        self.settings, self.max_units = active_settings.settings, max_units
        self.classes = {name.encode(): places for name, places in active_settings.accepted_classes().items()}
        self.plans = {name.encode(): place for name, place in active_settings.plans.items()}

    def __call__(self, message: Message, arrived_us: int) -> Arrival:
        assert isinstance(message.start, tuple)
        method, target = message.start
        parts = target.partition(b"?")[0].split(b"/")
        if len(parts) < 3 or parts[0] or parts[1] not in self.classes:
            raise RequestRejected(404, "no such class")
        if not CUSTOMER.fullmatch(parts[-1]) or (customer := int(parts[-1], 16)) >= CUSTOMER_LIMIT:
            raise RequestRejected(404, "no such customer")
        fields = dict(reversed(message.fields))  # of repeated fields the first counts
        cls = self._class_of(self.classes[parts[1]], method, fields)
        plan_name = fields.get(b"plan", b"")
        plan, live_plan = self.plans.get(plan_name), None
        if self.live_plan is not None:
            live_plan = self.live_plan(customer, plan_name.decode("latin-1"), arrived_us)
        terms = live_plan.plan if live_plan is not None else None
        if plan is None:
            if terms is None:
                raise RequestRejected(400, "Plan: unknown")
            plan = 0  # the plan book takes precedence over the request
        request_id = fields.get(b"request-id", b"")
        if not REQUEST_ID.fullmatch(request_id):
            raise RequestRejected(400, "Request-Id: not 64 bits in hex")
        timeout = TIMEOUT.fullmatch(fields.get(b"request-timeout", b""))
        if timeout is None:
            raise RequestRejected(400, "Request-Timeout: not a number and m or u")
        if not float(timeout[1]) > 0:
            raise RequestRejected(400, "Request-Timeout: no time at all")
        units, spread, first = self._quota(fields.get(b"quota-info", b""))
        timeout_us = min(
            int(float(timeout[1]) * MICROSECONDS[timeout[2]]), self.settings.classes[cls].deadline_us
        )
        arrival = Arrival(
            cls, plan, customer, units, spread, first, arrived_us, timeout_us, request_id.lower(), message
        )
        if live_plan is None:
            return arrival
        version = live_plan.version if terms is not None else 0
        return replace(
            arrival, plan_name=live_plan.name, plan_version=version, terms=terms, reserves=live_plan.reserves
        )

    def _class_of(self, places: tuple[int, ...], method: bytes, fields: dict[bytes, bytes]) -> int:
        """The class of a request. During an overlap of settings a name can have several places: the one whose
        method and idempotency key match is taken."""
        keyed = bool(fields.get(b"idempotency-key"))
        for cls in places if len(places) > 1 else ():
            repeat = self.settings.classes[cls].repeat
            if method == METHODS[repeat] and keyed is (repeat is api.Repeat.KEYED):
                return cls
        cls = places[0]
        repeat = self.settings.classes[cls].repeat
        if method != METHODS[repeat]:
            raise RequestRejected(405, "not this class's method")
        if repeat is api.Repeat.KEYED and not keyed:
            # Without its key, a repeat of the request would run twice
            raise RequestRejected(400, "Idempotency-Key: missing")
        return cls

    def _quota(self, text: bytes) -> tuple[float, int, int]:
        values = {}
        parts = text.split(b",")
        for part in parts:
            if pair := QUOTA.fullmatch(part):
                values[pair[1] or pair[3]] = pair[2] or pair[4]
        if len(parts) != 3 or len(values) != 3:
            raise RequestRejected(400, "Quota-Info: needs units, spread and first")
        units, spread, first = float(values[b"units"]), int(values[b"spread"]), int(values[b"first"])
        # Out of range, one request would spend the allowance of the customer's other requests
        if not 0 < units <= self.max_units:
            raise RequestRejected(400, "Quota-Info: units out of range")
        if not 1 <= spread <= self.settings.peers or first >= self.settings.peers:
            raise RequestRejected(400, "Quota-Info: no such set of gatekeepers")
        return units, spread, first
