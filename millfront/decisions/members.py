"""Choice of a backend, and what is known of each."""

import math

from millfront import interface as api
from millfront.decisions.cold import ColdBackends
from millfront.decisions.prices import SECOND_US
from millfront.decisions.state import Backend, Request

ERROR_COST, SLOWNESS_HALF_LIFE_S = 10.0, 3.0  # cost factor if all answers are errors
CONNECT_COST = 12.0  # services, times the price of a handshake: cost of a connection that has to be set up
LOAD_WEIGHT, AGE_WEIGHT = 2.0, 0.5  # cost of an own attempt in flight, in services; of the oldest one's age
COST_JITTER = 0.1  # of the cost, drawn at random: gateways that see alike must not choose alike
INITIAL_DEPTH = 6.0  # attempts in flight a backend, by all gateways together, before anything is known
MIN_WINDOW = 0.1  # attempts: with hundreds of gateways a share of the fleet may be less than one
CHANCE_ATTEMPTS, LOAD_MEAN_S = 2, 3.0  # attempts that may coincide; time constant of the mean
EJECT_FAILURES = 3  # time-outs or resets in a row; a refused connection counts for all three
EJECT_US, MAX_EJECT_US = SECOND_US, 8 * SECOND_US  # first ejection; doubles up to the most
SILENT_SHARE = 0.6  # of the aim: no answer at all for so long while attempts are out
COLD_PREFERENCE = 0.5  # of its cost: chosen before others as idle as it is, when a whole send is saved


class Backends(ColdBackends):
    def pressure(self) -> float:
        """Mean attempts in flight over the window; what lies at an ejected backend is lost, not load."""
        return max(self.mean_load, self.load - CHANCE_ATTEMPTS) / max(self.window, MIN_WINDOW)

    def add_load(self, now: int, attempts: int) -> None:
        """The mean is long for a window of few attempts: guards against taking two that met for overload."""
        seconds = (now - self.load_us) / SECOND_US
        share = 1.0 - math.exp(-seconds * max(self.window, 1.0) / LOAD_MEAN_S)
        self.mean_load += share * (self.load - self.mean_load)
        self.load_us = now
        self.load += attempts

    def pick(self, now: int, request: Request) -> Backend | None:
        """The usable backend where the attempt is expected to end first."""
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
        """No answer while attempts are out: a dead or stalled backend, before any time-out says so."""
        for sent_us, cls in backend.in_flight.values():  # the oldest comes first
            since = max(sent_us, backend.answered_us)
            return now - since > SILENT_SHARE * self.settings.classes[cls].aim_us
        return False

    def expected_cost(self, now: int, backend: Backend) -> float:
        # Told slow and then left alone, a backend would stay unused for ever: the estimate fades to the mean.
        decay: float = 0.5 ** ((now - backend.answered_us) / SECOND_US / SLOWNESS_HALF_LIFE_S)
        latency = 1.0 + (backend.slowness - 1.0) * decay if backend.slowness > 1.0 else backend.slowness
        for sent_us, cls in backend.in_flight.values():
            latency = max(latency, AGE_WEIGHT * (now - sent_us) / self.latency_us[cls])
            break
        capacity = self.capacity_share(now, backend)
        load = LOAD_WEIGHT * len(backend.in_flight) / (backend.weight / self.mean_weight * capacity)
        # Errors are no load and come back fast: unpriced, they would draw traffic to a backend that fails.
        errors = 1.0 + ERROR_COST * backend.error_rate * decay
        setup = CONNECT_COST * self.settings.handshake_price * (len(backend.in_flight) >= backend.connections)
        return latency * errors * (1.0 + load) * (COLD_PREFERENCE if capacity < 1.0 else 1.0 + setup)

    def may_send_to(self, now: int, request: Request, backend: Backend) -> bool:
        """Rule 2: what may have run goes again only as its class allows."""
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
