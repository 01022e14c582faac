"""Choice of a backend, by what is known of each: cost, silence, failures."""

import math

from millfront import interface as api
from millfront.decisions.cold import ColdBackends
from millfront.decisions.prices import SECOND_US
from millfront.decisions.state import Backend, Request

ERROR_COST, SLOWNESS_HALF_LIFE_S = 10.0, 3.0  # added factor if all answers are errors; of errors too
CONNECT_COST = 12.0  # service times per unit of handshake price: cost of setting up a connection
LOAD_WEIGHT, AGE_WEIGHT = 2.0, 0.5  # cost in service times: own attempt in flight; oldest one's age
COST_JITTER = 0.1  # of the cost, at random: gateways with the same view must not choose the same backend
INITIAL_DEPTH = 6.0  # attempts in flight a backend, by all gateways together, until more is known
MIN_WINDOW = 0.1  # attempts: with hundreds of gateways a share of the fleet may be less than one
CHANCE_ATTEMPTS, LOAD_MEAN_S = 2, 3.0  # attempts that may coincide; time constant of the mean
EJECT_FAILURES = 3  # time-outs or resets in a row; a refused connection counts for all three
EJECT_US, MAX_EJECT_US = SECOND_US, 8 * SECOND_US  # first ejection; doubles up to the maximum
SILENT_SHARE = 0.6  # of the aim: without any answer for so long while attempts are in flight
COLD_PREFERENCE = 0.5  # of its cost: preferred to others that are as idle, once a whole send is credited


class Backends(ColdBackends):
    def pressure(self) -> float:
        """Mean attempts in flight over the window; those at an ejected backend do not count."""
        return max(self.mean_load, self.load - CHANCE_ATTEMPTS) / max(self.window, MIN_WINDOW)

    def add_load(self, now: int, attempts: int) -> None:
        """The smaller the window, the longer the mean: two attempts that coincide are no overload."""
        seconds = (now - self.load_us) / SECOND_US
        share = 1.0 - math.exp(-seconds * max(self.window, 1.0) / LOAD_MEAN_S)
        self.mean_load += share * (self.load - self.mean_load)
        self.load_us = now
        self.load += attempts

    def pick(self, now: int, request: Request) -> Backend | None:
        """The usable backend where the attempt is expected to end first; None if there is none."""
        tried = [a.backend.id for a in request.attempts]
        usable = [b for b in self.backends.values() if b.id not in tried and self.usable(now, b, request)]
        cost = {b.id: self.expected_cost(now, b) * (1.0 + COST_JITTER * self.random.random()) for b in usable}
        return min(usable, key=lambda b: cost[b.id], default=None)

    def usable(self, now: int, backend: Backend, request: Request) -> bool:
        unavailable = backend.stopped or backend.ejected_until_us or now < backend.paused_until_us
        if unavailable or self.is_silent(now, backend):
            return False
        if self.capacity_share(now, backend) < 1.0 and backend.credit < 1.0:
            return False
        return self.may_send_to(now, request, backend)

    def is_silent(self, now: int, backend: Backend) -> bool:
        """No answer while attempts are in flight: a dead or stalled backend, known before any time-out."""
        for sent_us, cls in backend.in_flight.values():  # the oldest is first
            since = max(sent_us, backend.answered_us)
            return now - since > SILENT_SHARE * self.settings.classes[cls].aim_us
        return False

    def expected_cost(self, now: int, backend: Backend) -> float:
        # A backend rated slow would stay unused for ever: without answers its estimate decays to the mean.
        decay: float = 0.5 ** ((now - backend.answered_us) / SECOND_US / SLOWNESS_HALF_LIFE_S)
        latency = 1.0 + (backend.slowness - 1.0) * decay if backend.slowness > 1.0 else backend.slowness
        for sent_us, cls in backend.in_flight.values():
            latency = max(latency, AGE_WEIGHT * (now - sent_us) / self.latency_us[cls])
            break
        capacity = self.capacity_share(now, backend)
        load = LOAD_WEIGHT * len(backend.in_flight) / (backend.weight / self.mean_weight * capacity)
        # Errors are no load and return fast: without a cost they would draw traffic to a failing backend.
        errors = 1.0 + ERROR_COST * backend.error_rate * decay
        setup = CONNECT_COST * self.settings.handshake_price * (len(backend.in_flight) >= backend.connections)
        return latency * errors * (1.0 + load) * (COLD_PREFERENCE if capacity < 1.0 else 1.0 + setup)

    def may_send_to(self, now: int, request: Request, backend: Backend) -> bool:
        """Rule 2: a request that may have run is sent again only as its class allows."""
        ran = [a for a in request.attempts if a.may_have_run]
        kind = request.kind
        if not ran or kind.repeat is api.Repeat.SAFE:
            return True
        if kind.repeat is api.Repeat.UNSAFE or now >= ran[0].sent_us + kind.window_us:
            return False
        return all(same_group(kind.group, a.backend, backend) for a in ran)

    def record_failures(self, now: int, backend: Backend, failures: int) -> None:
        backend.failures += failures
        if backend.failures >= EJECT_FAILURES and not backend.ejected_until_us:
            backend.ejected_until_us = now + min(EJECT_US << backend.ejections, MAX_EJECT_US)
            backend.ejections = min(backend.ejections + 1, 3)
            self.add_load(now, -backend.load)
            self.actions.append(api.Log(f"backend {backend.id} ejected"))

    def readmit(self, now: int, backend: Backend) -> None:
        backend.failures = 0
        if not backend.ejected_until_us:
            return
        backend.ejected_until_us = 0
        backend.slowness = 1.0
        self.add_load(now, backend.load)
        if backend.was_reset:
            self.mark_restarted(backend, now)
        self.actions.append(api.Log(f"backend {backend.id} readmitted"))

    def on_list(self, now: int, event: api.BackendList) -> None:
        if event.kind is api.ListKind.FAILED:
            return
        if event.kind is not api.ListKind.DELTA:
            listed = {entry.backend for entry in event.entries}
            for backend in self.backends.values():
                backend.stopped = backend.stopped or backend.id not in listed
        for entry in event.entries:
            self.apply_entry(now, entry)
        if self.window <= 0.0:
            self.window = max(MIN_WINDOW, INITIAL_DEPTH * len(self.backends) / self.settings.peers)
        for key in [k for k, b in self.backends.items() if b.stopped and not b.in_flight]:
            del self.backends[key]
        weights = [b.weight for b in self.backends.values()]
        self.mean_weight = sum(weights) / len(weights) if weights else 1.0

    def apply_entry(self, now: int, entry: api.BackendEntry) -> None:
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
            self.mark_restarted(backend, entry.started_us)
        backend.stopped = False
        backend.weight = weight


def same_group(group: api.Group, one: Backend, other: Backend) -> bool:
    same = one.zone == other.zone if group is api.Group.ZONE else one.cell == other.cell
    return group is api.Group.ALL or same
