"""Load balancing: the server where the next request is expected to end first, bytes and distance weighed in.
No I/O.

Times are seconds on the caller's clock. A server's load is what it last told of itself (running, waiting,
slots), aged towards the mean of its service, plus what was sent there since. States of a server as seen from
here change by `_become` alone: a *sound* one takes anything; an *ejected* one nothing; a *trial* one only
what may be repeated, until it answers.
"""

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from millfront.control.configuration import Service
from millfront.discovery.server_list import Phase, Server

REPORT_S = 1.0  # a load report is worth 1/e after so long
LATENCY_WEIGHT = 0.15
FIRST_WORK_S = 0.3
EJECT_FAILS = 3
EJECT_S, EJECT_MOST_S = 1.0, 8.0
REST_S = 0.4  # a server that turned one away as full
MOST_EJECTED = 0.5  # of a service's servers: beyond that the fault is likelier here or everywhere
SILENT_S = 1.2  # the least time without an answer after which a server with requests out is suspected
SILENT_WORKS = 4.0  # and the same in mean works
ZONE_S, REGION_S = 0.002, 0.045  # of a way there and back, where nothing was measured
ZONE_BYTE_S, REGION_BYTE_S = 1e-5, 1e-4  # a byte weighed as time, so that long bodies stay near
NEW_LINK_S = 0.012
SAMPLE = 10  # of many servers, as many are looked at
COLD_SHARE = 0.9  # of what a cold server bears
COLD_CREDIT = 1.5
SPREAD = 0.15  # of the cost, at random: processes that see alike must not choose alike


class State(Enum):
    """Of a server, as seen from here."""

    SOUND = "sound"
    EJECTED = "ejected"
    TRIAL = "trial"


@dataclass(slots=True)
class ServerState:
    """What this process has seen of one life of a server."""

    server: Server
    out: dict[int, float] = field(default_factory=dict)  # requests under way -> since
    state: State = State.SOUND
    until: float = 0.0  # ejected
    ejections: int = 0
    fails: int = 0
    rests_until: float = 0.0
    slowness: float = 1.0  # of its times over its service's
    answered: float = 0.0
    load: float = 0.0  # requests there by its last report, over its slots
    slots: int = 0
    told: float = -1e9
    sent_since: int = 0
    links: int = 0  # connections taken to be idle
    credit: float = 1.0  # while cold
    credited: float = 0.0


class LoadBalancer:
    """All servers, by service."""

    def __init__(self, zone: str, zones: Mapping[str, str], seed: int) -> None:
        self.zone, self.zones = zone, zones
        self.region = zones.get(zone, "")
        self.random = random.Random(seed)
        self.seen: dict[str, ServerState] = {}
        self.by_service: dict[str, list[ServerState]] = {}
        self.work: dict[str, float] = {}  # by service: mean time in service
        self.mean_load: dict[str, float] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.cold_mine: dict[str, bool] = {}  # cold servers whose trickle is this process's

    # ---- which there are ---------------------------------------------------------------------------

    def listed(self, servers: Iterable[Server]) -> list[str]:
        """The list of servers has changed; returns the servers that are gone or drain."""
        stopped = []
        self.by_service = {}
        named = set()
        for server in servers:
            named.add(server.ident)
            seen = self.seen.get(server.ident)
            if seen is None or seen.server is not server:
                seen = self.seen[server.ident] = ServerState(server, slots=max(1, server.capacity))
            if server.phase is Phase.READY:
                self.by_service.setdefault(server.service, []).append(seen)
            else:
                stopped.append(server.ident)
        for ident in [i for i, s in self.seen.items() if i not in named and not s.out]:
            del self.seen[ident]
        return stopped

    def _become(self, now: float, seen: ServerState, state: State) -> None:
        """The one change of a server's state."""
        if state is State.EJECTED:
            seen.until = now + min(EJECT_S * 2.0**seen.ejections, EJECT_MOST_S)
            seen.ejections = min(seen.ejections + 1, 3)
        elif state is State.SOUND:
            seen.fails = 0
        seen.state = state

    # ---- choice --------------------------------------------------------------------------------------

    def pick(
        self,
        now: float,
        service: Service,
        repeatable: bool,
        homes: frozenset[str],
        size: float,
        tried: Iterable[str] = (),
        most_out: int = 1 << 30,
    ) -> ServerState | None:
        """The server expected to answer first, or None.

        :param homes: regions that may serve it; empty: all
        :param size: bytes both ways, as far as known
        :param most_out: requests of this process that one server may have
        """
        tried = set(tried)
        near: list[ServerState] = []
        far: list[ServerState] = []
        for seen in self.by_service.get(service.name, ()):
            server = seen.server
            if server.ident in tried or server.zone in self.evacuated:
                continue
            region = self.zones.get(server.zone, "")
            if homes and region not in homes:
                continue
            if self._may(now, seen, service, repeatable) and len(seen.out) < most_out:
                (near if region == self.region else far).append(seen)
        best = self._best(now, near, size)
        cost = self.cost(now, best, size) if best is not None else math.inf
        if far and cost > REGION_S + 0.5 * self.work.get(service.name, FIRST_WORK_S):
            other = self._best(now, far, size)
            if other is not None and self.cost(now, other, size) < cost:
                best = other
        return best

    def _best(self, now: float, among: list[ServerState], size: float) -> ServerState | None:
        if len(among) > SAMPLE:
            among = self.random.sample(among, SAMPLE)
        best, least = None, math.inf
        for seen in among:
            cost = self.cost(now, seen, size) * (1.0 + SPREAD * self.random.random())
            if cost < least:
                best, least = seen, cost
        return best

    def _may(self, now: float, seen: ServerState, service: Service, repeatable: bool) -> bool:
        if seen.state is State.EJECTED:
            if now < seen.until:
                return False
            self._become(now, seen, State.TRIAL)
        if seen.state is State.TRIAL and (not repeatable or seen.out):
            return False
        if now < seen.rests_until or self._silent(now, seen):
            return False
        if self.cold(now, seen):
            return self.cold_mine.get(seen.server.ident, False) and self._credit(now, seen, service) >= 1.0
        return True

    def cold(self, now: float, seen: ServerState) -> bool:
        """Whether a server is still warming up, so that only its holder may send to it."""
        return now < seen.server.cold_until

    def _credit(self, now: float, seen: ServerState, service: Service) -> float:
        rate = COLD_SHARE * service.warmup_rate
        seen.credit = min(seen.credit + rate * max(0.0, now - seen.credited), COLD_CREDIT)
        seen.credited = now
        return seen.credit

    def _silent(self, now: float, seen: ServerState) -> bool:
        """Requests are out there for long and nothing has come back."""
        if not seen.out:
            return False
        work = self.work.get(seen.server.service, FIRST_WORK_S)
        since = max(min(seen.out.values()), seen.answered)
        return now - since > max(SILENT_S, SILENT_WORKS * work)

    def expected_load(self, now: float, seen: ServerState) -> float:
        """Requests there over its slots."""
        fresh = math.exp(-max(0.0, now - seen.told) / REPORT_S)
        mean = self.mean_load.get(seen.server.service, 0.3)
        own = len(seen.out) / max(1, seen.slots)
        return max(own, fresh * seen.load + (1.0 - fresh) * mean + seen.sent_since / max(1, seen.slots))

    def cost(self, now: float, seen: ServerState, size: float) -> float:
        """Seconds until the answer, and what the way is worth."""
        server = seen.server
        work = self.work.get(server.service, FIRST_WORK_S) * seen.slowness
        load = self.expected_load(now, seen)
        wait = max(0.0, load + 1.0 / max(1, seen.slots) - 1.0)
        cost = work * (1.0 + wait + 0.35 * min(load, 1.0) ** 2)
        if server.zone != self.zone:
            if self.zones.get(server.zone, "") != self.region:
                cost += REGION_S + REGION_BYTE_S * size
            else:
                cost += ZONE_S + ZONE_BYTE_S * size
        if seen.links <= 0:
            cost += NEW_LINK_S
        return cost * (1.0 + seen.fails)

    # ---- what becomes of requests --------------------------------------------------------------------

    def sent(self, now: float, seen: ServerState, flow: int) -> None:
        """A request was sent to this server; ``flow`` identifies the try until it ends."""
        seen.out[flow] = now
        seen.sent_since += 1
        if self.cold(now, seen):
            seen.credit -= 1.0

    def ended(self, now: float, seen: ServerState, flow: int) -> float:
        """A request there is over; how long it took."""
        return now - seen.out.pop(flow, now)

    def answered(self, now: float, seen: ServerState, took: float, full: bool) -> None:
        """It answered: well, with an error of its own, or that it is full."""
        seen.answered = now
        seen.ejections = 0
        if seen.state is not State.SOUND or seen.fails:
            self._become(now, seen, State.SOUND)
        if full:
            seen.rests_until = now + REST_S
            return
        service = seen.server.service
        work = self.work.setdefault(service, FIRST_WORK_S)
        self.work[service] = work + 0.02 * (min(took, 10.0 * work) - work)
        seen.slowness += LATENCY_WEIGHT * (min(max(took / work, 0.2), 8.0) - seen.slowness)

    def reported(self, now: float, seen: ServerState, running: int, waiting: int, slots: int) -> None:
        """A server's own report of its load, from an answer."""
        seen.slots = max(1, slots)
        seen.load = (running + waiting) / seen.slots
        seen.told, seen.sent_since = now, 0
        service = seen.server.service
        mean = self.mean_load.get(service, seen.load)
        self.mean_load[service] = mean + 0.05 * (seen.load - mean)

    def failed(self, now: float, seen: ServerState, fails: int) -> None:
        """It broke off, was silent, or could not be reached (which counts for all of EJECT_FAILS)."""
        seen.fails += fails
        if seen.state is State.TRIAL or (seen.fails >= EJECT_FAILS and seen.state is State.SOUND):
            peers = self.by_service.get(seen.server.service, [])
            ejected = sum(1 for other in peers if other.state is State.EJECTED)
            if ejected < max(1.0, MOST_EJECTED * len(peers)):
                self._become(now, seen, State.EJECTED)

    def misdirected(self, seen: ServerState) -> None:
        """Another server has its address: it is gone, though the list doesn't say so yet."""
        seen.server.advance(Phase.GONE, seen.answered)
        peers = self.by_service.get(seen.server.service, [])
        if seen in peers:
            peers.remove(seen)
