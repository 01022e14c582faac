"""Load balancing: picks the server expected to finish a request first, given distance and size. No I/O.

Times are seconds on the caller's clock. A server's load is its last report (running, waiting, slots),
decaying towards the mean of its service, plus the requests sent there since. Its state, as this process
sees it, changes in `_set_state` alone: a healthy server takes any request, an ejected one none, and one on
trial a single repeatable request at a time until it answers.
"""

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from millfront.control.configuration import Service
from millfront.discovery.server_list import Phase, Server

REPORT_DECAY_S = 1.0  # a load report's weight falls to 1/e in this time
LATENCY_WEIGHT = 0.15  # of one answer in its server's slowness
INITIAL_SERVICE_TIME_S = 0.3
EJECT_FAILURES = 3  # in a row
MIN_EJECT_S, MAX_EJECT_S = 1.0, 8.0  # of the first ejection; doubles with each further one
FULL_PAUSE_S = 0.4  # for a server that rejected a request as full
MAX_EJECTED_SHARE = 0.5  # of a service's servers; if more fail, the cause is more likely here or everywhere
MIN_SILENT_S = 1.2  # a server with requests in flight is suspect only after this long without an answer
SILENT_SERVICE_TIMES = 4.0  # and after this many mean service times
ZONE_ROUND_TRIP_S, REGION_ROUND_TRIP_S = 0.002, 0.045  # assumed, to another zone / region
ZONE_BYTE_COST_S, REGION_BYTE_COST_S = 1e-5, 1e-4  # cost per byte, to keep long bodies near
CONNECT_COST_S = 0.012
SAMPLE_SIZE = 10  # of many servers, only this many random ones are compared
COLD_SHARE = 0.9  # of the request rate that a cold server can take
MAX_COLD_CREDIT = 1.5
COST_JITTER = 0.15  # random share of the cost: processes with the same view must not all pick the same server


class State(Enum):
    """The state of a server, as this process sees it."""

    HEALTHY = "sound"
    EJECTED = "ejected"
    TRIAL = "trial"


@dataclass(slots=True)
class ServerState:
    """What this process knows of one incarnation of a server."""

    server: Server
    in_flight: dict[int, float] = field(default_factory=dict)  # time sent, by attempt
    state: State = State.HEALTHY
    ejected_until: float = 0.0
    ejections: int = 0
    failures: int = 0
    paused_until: float = 0.0
    slowness: float = 1.0  # its answer time over the service's mean
    last_answer_at: float = 0.0
    load: float = 0.0  # running and waiting requests of its last report per slot
    slots: int = 0
    reported_at: float = -1e9
    sent_since_report: int = 0
    idle_connections: int = 0  # as of the last attempt that ended
    credit: float = 1.0  # requests that may be sent while it is cold
    credit_at: float = 0.0


class LoadBalancer:
    """The servers of all services."""

    def __init__(self, zone: str, zones: Mapping[str, str], seed: int) -> None:
        self.zone, self.zones = zone, zones
        self.region = zones.get(zone, "")
        self.random = random.Random(seed)
        self.server_states: dict[str, ServerState] = {}
        self.by_service: dict[str, list[ServerState]] = {}
        self.service_times: dict[str, float] = {}  # mean, by service
        self.mean_loads: dict[str, float] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.cold_owned: dict[str, bool] = {}  # whether this process may send to a cold server

    # ---- list of servers ---------------------------------------------------------------------------

    def update_servers(self, servers: Iterable[Server]) -> list[str]:
        """Apply a new list of servers; returns the ids of those that are gone or draining."""
        stopped = []
        self.by_service = {}
        listed_ids = set()
        for server in servers:
            listed_ids.add(server.ident)
            server_state = self.server_states.get(server.ident)
            if server_state is None or server_state.server is not server:
                server_state = self.server_states[server.ident] = ServerState(
                    server, slots=max(1, server.capacity)
                )
            if server.phase is Phase.READY:
                self.by_service.setdefault(server.service, []).append(server_state)
            else:
                stopped.append(server.ident)
        for ident in [i for i, s in self.server_states.items() if i not in listed_ids and not s.in_flight]:
            del self.server_states[ident]
        return stopped

    def _set_state(self, now: float, server_state: ServerState, state: State) -> None:
        """Change a server's state; nothing else does."""
        if state is State.EJECTED:
            server_state.ejected_until = now + min(MIN_EJECT_S * 2.0**server_state.ejections, MAX_EJECT_S)
            server_state.ejections = min(server_state.ejections + 1, 3)
        elif state is State.HEALTHY:
            server_state.failures = 0
        server_state.state = state

    # ---- choice --------------------------------------------------------------------------------------

    def pick(
        self,
        now: float,
        service: Service,
        repeatable: bool,
        homes: frozenset[str],
        size: float,
        tried: Iterable[str] = (),
        max_in_flight: int = 1 << 30,
    ) -> ServerState | None:
        """The server expected to answer first; None if no server may take the request.

        :param homes: regions that may serve it; empty: all
        :param size: bytes of the request and its answer, as far as known
        :param tried: servers to leave out
        :param max_in_flight: requests of this process that one server may have
        """
        tried = set(tried)
        near: list[ServerState] = []
        far: list[ServerState] = []
        for server_state in self.by_service.get(service.name, ()):
            server = server_state.server
            if server.ident in tried or server.zone in self.evacuated:
                continue
            region = self.zones.get(server.zone, "")
            if homes and region not in homes:
                continue
            if (
                self._may_send(now, server_state, service, repeatable)
                and len(server_state.in_flight) < max_in_flight
            ):
                (near if region == self.region else far).append(server_state)
        best = self._best(now, near, size)
        cost = self.cost(now, best, size) if best is not None else math.inf
        if far and cost > REGION_ROUND_TRIP_S + 0.5 * self.service_times.get(
            service.name, INITIAL_SERVICE_TIME_S
        ):
            other = self._best(now, far, size)
            if other is not None and self.cost(now, other, size) < cost:
                best = other
        return best

    def _best(self, now: float, candidates: list[ServerState], size: float) -> ServerState | None:
        if len(candidates) > SAMPLE_SIZE:
            candidates = self.random.sample(candidates, SAMPLE_SIZE)
        best, lowest_cost = None, math.inf
        for server_state in candidates:
            cost = self.cost(now, server_state, size) * (1.0 + COST_JITTER * self.random.random())
            if cost < lowest_cost:
                best, lowest_cost = server_state, cost
        return best

    def _may_send(self, now: float, server_state: ServerState, service: Service, repeatable: bool) -> bool:
        if server_state.state is State.EJECTED:
            if now < server_state.ejected_until:
                return False
            self._set_state(now, server_state, State.TRIAL)
        if server_state.state is State.TRIAL and (not repeatable or server_state.in_flight):
            return False
        if now < server_state.paused_until or self._is_silent(now, server_state):
            return False
        if self.is_cold(now, server_state):
            return (
                self.cold_owned.get(server_state.server.ident, False)
                and self._refill_credit(now, server_state, service) >= 1.0
            )
        return True

    def is_cold(self, now: float, server_state: ServerState) -> bool:
        """Whether a server is still warming up, so that only the process that owns it may send to it."""
        return server_state.server.is_cold(now)

    def assume_cold(self, now: float, zone: str, services: Mapping[str, Service]) -> None:
        """The servers of a zone may just have become cold, as they have had no requests for a while."""
        for server_state in self.server_states.values():
            server = server_state.server
            if server.zone == zone and (service := services.get(server.service)) is not None:
                server.warm_up.assume(now, service.warmup)
                server_state.credit_at, server_state.credit = now, 0.0

    def _refill_credit(self, now: float, server_state: ServerState, service: Service) -> float:
        rate = COLD_SHARE * service.warmup_rate
        server_state.credit = min(
            server_state.credit + rate * max(0.0, now - server_state.credit_at), MAX_COLD_CREDIT
        )
        server_state.credit_at = now
        return server_state.credit

    def _is_silent(self, now: float, server_state: ServerState) -> bool:
        """Whether it has had requests in flight for a long time without any answer."""
        if not server_state.in_flight:
            return False
        service_time = self.service_times.get(server_state.server.service, INITIAL_SERVICE_TIME_S)
        since = max(min(server_state.in_flight.values()), server_state.last_answer_at)
        return now - since > max(MIN_SILENT_S, SILENT_SERVICE_TIMES * service_time)

    def expected_load(self, now: float, server_state: ServerState) -> float:
        """Expected requests at the server per slot."""
        report_weight = math.exp(-max(0.0, now - server_state.reported_at) / REPORT_DECAY_S)
        mean = self.mean_loads.get(server_state.server.service, 0.3)
        own = len(server_state.in_flight) / max(1, server_state.slots)
        return max(
            own,
            report_weight * server_state.load
            + (1.0 - report_weight) * mean
            + server_state.sent_since_report / max(1, server_state.slots),
        )

    def cost(self, now: float, server_state: ServerState, size: float) -> float:
        """Expected seconds until the answer, plus the cost of distance, bytes and a new connection."""
        server = server_state.server
        service_time = self.service_times.get(server.service, INITIAL_SERVICE_TIME_S) * server_state.slowness
        load = self.expected_load(now, server_state)
        wait = max(0.0, load + 1.0 / max(1, server_state.slots) - 1.0)
        cost = service_time * (1.0 + wait + 0.35 * min(load, 1.0) ** 2)
        if server.zone != self.zone:
            if self.zones.get(server.zone, "") != self.region:
                cost += REGION_ROUND_TRIP_S + REGION_BYTE_COST_S * size
            else:
                cost += ZONE_ROUND_TRIP_S + ZONE_BYTE_COST_S * size
        if server_state.idle_connections <= 0:
            cost += CONNECT_COST_S
        return cost * (1.0 + server_state.failures)

    # ---- attempts ------------------------------------------------------------------------------------

    def record_sent(self, now: float, server_state: ServerState, flow: int) -> None:
        """A request was sent to this server; ``flow`` identifies the attempt until it ends."""
        server_state.in_flight[flow] = now
        server_state.sent_since_report += 1
        if self.is_cold(now, server_state):
            server_state.credit -= 1.0

    def record_ended(self, now: float, server_state: ServerState, flow: int) -> float:
        """An attempt has ended; returns how many seconds it took."""
        return now - server_state.in_flight.pop(flow, now)

    def record_answer(self, now: float, server_state: ServerState, elapsed_s: float, full: bool) -> None:
        """The server answered: with success, an error of its own, or that it is full (``full``)."""
        server_state.last_answer_at = now
        server_state.ejections = 0
        if server_state.state is not State.HEALTHY or server_state.failures:
            self._set_state(now, server_state, State.HEALTHY)
        if full:
            server_state.paused_until = now + FULL_PAUSE_S
            return
        service = server_state.server.service
        service_time = self.service_times.setdefault(service, INITIAL_SERVICE_TIME_S)
        self.service_times[service] = service_time + 0.02 * (
            min(elapsed_s, 10.0 * service_time) - service_time
        )
        server_state.slowness += LATENCY_WEIGHT * (
            min(max(elapsed_s / service_time, 0.2), 8.0) - server_state.slowness
        )

    def record_load(
        self, now: float, server_state: ServerState, running: int, waiting: int, slots: int
    ) -> None:
        """Apply the load report in a server's answer."""
        server_state.slots = max(1, slots)
        server_state.load = (running + waiting) / server_state.slots
        server_state.reported_at, server_state.sent_since_report = now, 0
        service = server_state.server.service
        mean = self.mean_loads.get(service, server_state.load)
        self.mean_loads[service] = mean + 0.05 * (server_state.load - mean)

    def record_failure(self, now: float, server_state: ServerState, failures: int) -> None:
        """The server broke off, was silent or was unreachable (which counts as EJECT_FAILURES failures)."""
        server_state.failures += failures
        if server_state.state is State.TRIAL or (
            server_state.failures >= EJECT_FAILURES and server_state.state is State.HEALTHY
        ):
            peers = self.by_service.get(server_state.server.service, [])
            ejected = sum(1 for other in peers if other.state is State.EJECTED)
            if ejected < max(1.0, MAX_EJECTED_SHARE * len(peers)):
                self._set_state(now, server_state, State.EJECTED)

    def record_misdirected(self, server_state: ServerState) -> None:
        """Another server has its address now: this one is gone, although still listed."""
        server_state.server.advance(Phase.GONE, server_state.last_answer_at)
        peers = self.by_service.get(server_state.server.service, [])
        if server_state in peers:
            peers.remove(server_state)
