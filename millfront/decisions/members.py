"""Choice of a backend, and what is known of each."""

import math

from millfront import interface as api
from millfront.decisions.cold import Cold
from millfront.decisions.prices import SECOND
from millfront.decisions.state import Backend, Request

ERROR_COST, RELAX_S = 10.0, 3.0  # times the cost for errors alone; slowness is half forgotten after so long
NEW_LINK_WEIGHT = 12.0  # services, times the price of a handshake: cost of a connection that has to be set up
LOAD_WEIGHT, AGE_WEIGHT = 2.0, 0.5  # cost of an own attempt in flight, in services; of the oldest one's age
TIE_SPREAD = 0.1  # of the cost, drawn at random: gateways that see alike must not choose alike
FIRST_DEPTH = 6.0  # attempts in flight a backend, by all gateways together, before anything is known
LEAST_WINDOW = 0.1  # attempts: with hundreds of gateways a share of the fleet may be less than one
CHANCE, PRESSURE_S = 2, 3.0  # attempts that may have met by chance; time over which their mean is taken
EJECT_FAILS = 3  # time-outs or resets in a row; a refused connection counts for all three
EJECT_US, EJECT_MOST_US = SECOND, 8 * SECOND  # first ejection; doubles up to the most
SILENT_SHARE = 0.6  # of the aim: no answer at all for so long while attempts are out
COLD_PREFERENCE = 0.5  # of its cost: chosen before others as idle as it is, when a whole send is saved


class Members(Cold):
    def pressure(self) -> float:
        """Mean attempts in flight over the window; what lies at an ejected backend is lost, not load."""
        return max(self.mean_load, self.load - CHANCE) / max(self.window, LEAST_WINDOW)

    def add_load(self, now: int, attempts: int) -> None:
        """The mean is long for a window of few attempts: guards against taking two that met for overload."""
        seconds = (now - self.load_us) / SECOND
        share = 1.0 - math.exp(-seconds * max(self.window, 1.0) / PRESSURE_S)
        self.mean_load += share * (self.load - self.mean_load)
        self.load_us = now
        self.load += attempts

    def pick(self, now: int, request: Request) -> Backend | None:
        """The usable backend where the attempt is expected to end first."""
        tried = [a.backend.id for a in request.attempts]
        usable = [b for b in self.backends.values() if b.id not in tried and self.usable(now, b, request)]
        cost = {b.id: self.expected_cost(now, b) * (1.0 + TIE_SPREAD * self.random.random()) for b in usable}
        return min(usable, key=lambda b: cost[b.id], default=None)

    def usable(self, now: int, backend: Backend, request: Request) -> bool:
        away = backend.stopped or backend.ejected_until or now < backend.rests_until
        if away or self.is_silent(now, backend):
            return False
        if self.cold_share(now, backend) < 1.0 and backend.credit < 1.0:
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
        faded: float = 0.5 ** ((now - backend.answered_us) / SECOND / RELAX_S)
        slow = 1.0 + (backend.slow - 1.0) * faded if backend.slow > 1.0 else backend.slow
        for sent_us, cls in backend.in_flight.values():
            slow = max(slow, AGE_WEIGHT * (now - sent_us) / self.class_work[cls])
            break
        cold = self.cold_share(now, backend)
        load = LOAD_WEIGHT * len(backend.in_flight) / (backend.weight / self.mean_weight * cold)
        # Errors are no load and come back fast: unpriced, they would draw traffic to a backend that fails.
        errors = 1.0 + ERROR_COST * backend.errors * faded
        new = NEW_LINK_WEIGHT * self.settings.handshake_price * (len(backend.in_flight) >= backend.links)
        return slow * errors * (1.0 + load) * (COLD_PREFERENCE if cold < 1.0 else 1.0 + new)

    def may_send_to(self, now: int, request: Request, backend: Backend) -> bool:
        """Rule 2: what may have run goes again only as its class allows."""
        ran = [a for a in request.attempts if a.may_have_run]
        kind = request.kind
        if not ran or kind.repeat is api.Repeat.SAFE:
            return True
        if kind.repeat is api.Repeat.UNSAFE or now >= ran[0].sent_us + kind.window_us:
            return False
        return all(same_group(kind.group, a.backend, backend) for a in ran)

    def blame(self, now: int, backend: Backend, fails: int) -> None:
        backend.fails += fails
        if backend.fails >= EJECT_FAILS and not backend.ejected_until:
            backend.ejected_until = now + min(EJECT_US << backend.ejections, EJECT_MOST_US)
            backend.ejections = min(backend.ejections + 1, 3)
            self.add_load(now, -backend.load)
            self.actions.append(api.Log(f"backend {backend.id} ejected"))

    def readmit(self, now: int, backend: Backend) -> None:
        backend.fails = 0
        if not backend.ejected_until:
            return
        backend.ejected_until = 0
        backend.slow = 1.0
        self.add_load(now, backend.load)
        if backend.reset:
            self.restarted(backend, now)
        self.actions.append(api.Log(f"backend {backend.id} readmitted"))

    def on_list(self, now: int, event: api.BackendList) -> None:
        if event.kind is api.ListKind.FAILED:
            return
        if event.kind is not api.ListKind.DELTA:
            named = {entry.backend for entry in event.entries}
            for backend in self.backends.values():
                backend.stopped = backend.stopped or backend.id not in named
        for entry in event.entries:
            self.list_entry(now, entry)
        if self.window <= 0.0:
            self.window = max(LEAST_WINDOW, FIRST_DEPTH * len(self.backends) / self.settings.peers)
        for key in [k for k, b in self.backends.items() if b.stopped and not b.in_flight]:
            del self.backends[key]
        weights = [b.weight for b in self.backends.values()]
        self.mean_weight = sum(weights) / len(weights) if weights else 1.0

    def list_entry(self, now: int, entry: api.BackendEntry) -> None:
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
            self.restarted(backend, entry.started_us)
        backend.stopped = False
        backend.weight = weight


def same_group(group: api.Group, one: Backend, other: Backend) -> bool:
    same = one.zone == other.zone if group is api.Group.ZONE else one.cell == other.cell
    return group is api.Group.ALL or same
