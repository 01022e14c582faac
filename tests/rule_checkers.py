"""Checkers of the rules that hold for the fleet, in a simulated world whose nodes have the daemon's data
plane. Each checker records operators' orders and nodes' behaviour, and lists its faults as text."""

from collections import deque
from dataclasses import dataclass, field
from math import inf

from millfront.control.configuration import Tenant
from millfront.dataplane.proxy import Proxy
from millfront.environment import Bounds
from millfront.gatekeeper.node import Gatekeeper
from millfront.quotas.allowance import allowance_of, max_requests_in_window
from tests.system_world import Node, World


class ServingNode(Node):
    """A node whose gatekeeper has a data plane, connected as in the daemon."""

    proxy: Proxy | None = None
    connected_since = 0.0  # since when it has been running and not cut off

    def __init__(self, world: World, number: int, disk: bool) -> None:
        super().__init__(world, number, disk)
        self.past_versions: list[list[int]] = []  # versions in force during each past incarnation

    def start(self, fresh: bool = False) -> None:
        super().start(fresh)
        assert self.gatekeeper is not None
        self.connected_since = float(self.world.env.now)
        record = self.gatekeeper.on_configuration_changed
        self.proxy = Proxy(self.gatekeeper, self.number * 1000 + self.incarnation, self.now)
        notify = self.gatekeeper.on_configuration_changed

        def changed() -> None:
            record()
            notify()

        self.gatekeeper.on_configuration_changed = changed
        record()  # the configuration from its disk

    def kill(self) -> None:
        super().kill()
        self.past_versions.append(self.versions)
        self.proxy = None

    def picks(self) -> set[str]:
        """The zones of all servers that its data plane would pick now, one after another."""
        gatekeeper, proxy = self.gatekeeper, self.proxy
        if (
            gatekeeper is None
            or proxy is None
            or gatekeeper.configuration is None
            or self.backlog is not None
        ):
            return set()
        service, tried, zones = gatekeeper.configuration.services["shop"], set[str](), set[str]()
        while state := proxy.load_balancer.pick(self.now(), service, True, frozenset(), 1000.0, tried):
            tried.add(state.server.ident)
            zones.add(state.server.zone)
        return zones


class ServingWorld(World):
    """A world of serving nodes."""

    def __init__(self, n: int, disks: int, seed: int) -> None:
        super().__init__(n, disks, seed)
        self.serving = [ServingNode(self, number, number < disks) for number in range(n)]
        self.nodes = list(self.serving)
        self.by_address = {node.address: node for node in self.nodes}
        self.isolated: set[int] = set()
        self.cut = lambda a, b: (a.number in self.isolated) != (b.number in self.isolated)

    def isolate(self, numbers: set[int]) -> None:
        """Cut off these nodes from the others from now on; an empty set ends the cut."""
        for number in self.isolated - numbers:
            self.serving[number].connected_since = float(self.env.now)
        self.isolated = set(numbers)

    def is_connected(self, node: ServingNode) -> bool:
        """Whether it has been running and not cut off for at least the bound `contact`."""
        duration = float(self.env.now) - node.connected_since
        return (
            node.gatekeeper is not None
            and node.number not in self.isolated
            and duration >= self.bounds.contact
        )


@dataclass(slots=True)
class Order:
    """An operator's order. One that was not acknowledged may or may not be in force."""

    sent: float
    acknowledged: float = inf


@dataclass(slots=True)
class Evacuation(Order):
    on: bool = True


@dataclass(slots=True)
class Put(Order):
    version: int = 0
    rate: float = 0.0


@dataclass(slots=True)
class EvacuationChecker:
    """EVAC: no connected node picks a server of a zone later than `evacuate_within` after the acknowledgement
    of its evacuation, until an operator orders it to be lifted."""

    bounds: Bounds
    orders: dict[str, list[Evacuation]] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    judged: int = 0  # picks of a node while an evacuation was binding

    def ordered(self, zone: str, on: bool, now: float) -> Evacuation:
        order = Evacuation(now, on=on)
        self.orders.setdefault(zone, []).append(order)
        return order

    def binding(self, now: float) -> set[str]:
        """The zones that no connected node may pick any more."""
        within = self.bounds.evacuate_within
        last = {zone: orders[-1] for zone, orders in self.orders.items()}
        return {zone for zone, order in last.items() if order.on and now > order.acknowledged + within}

    def standing(self) -> dict[str, bool]:
        """By zone the last order, where it was acknowledged."""
        last = {zone: orders[-1] for zone, orders in self.orders.items()}
        return {zone: order.on for zone, order in last.items() if order.acknowledged < inf}

    def picked(self, now: float, node: str, zones: set[str]) -> None:
        """Records the zones picked by a connected node."""
        bound = self.binding(now)
        self.judged += bool(bound)
        for zone in sorted(zones & bound):
            late = now - self.orders[zone][-1].acknowledged
            self.faults.append(f"EVAC: {node} picks in {zone}, {late:.1f} s after its evacuation")


@dataclass(slots=True)
class QuotaChecker:
    """QUOTA: the requests of a tenant that all nodes admit in any `rate_window` are within the highest limit
    that may have been in force in that window. A limit may be in force from when it was sent until
    `apply_within` after a later one was acknowledged; burst is one second's rate (`document`)."""

    bounds: Bounds
    puts: list[Put]
    admitted: list[float] = field(default_factory=list)
    refused: int = 0
    max_ratio: float = 0.0  # highest ratio of admitted to allowed requests in any window

    def limit(self, begin: float, end: float) -> float:
        """The highest rate that may have been in force between `begin` and `end`."""
        highest, superseded = 0.0, inf
        for put in reversed(self.puts):  # by version
            if put.sent <= end and superseded > begin:
                highest = max(highest, put.rate)
            superseded = min(superseded, put.acknowledged + self.bounds.apply_within)
        return highest

    def allowed(self, rate: float) -> float:
        b = self.bounds
        return (rate * b.rate_window + rate) * (1 + b.rate_excess) + b.rate_extra

    def faults(self) -> list[str]:
        """The worst window, if it exceeds the limit; call once, at the end."""
        inside, window, worst = deque[float](), self.bounds.rate_window, ""
        for at in sorted(self.admitted):
            inside.append(at)
            while inside[0] <= at - window:
                inside.popleft()
            allowed = self.allowed(self.limit(at - window, at))
            if len(inside) / allowed > self.max_ratio:
                self.max_ratio = len(inside) / allowed
                worst = (
                    f"QUOTA: {len(inside)} admitted within {window:g} s up to {at:.2f}, {allowed:.1f} allowed"
                )
        return [worst] if self.max_ratio > 1.0 else []


def granted_beyond(world: ServingWorld, tenant: str, since: float, rate: float) -> float:
    """Tokens that the running nodes have granted to a tenant beyond its allowance, divided by the excess over
    the limit that the rule tolerates. Without restarts it is at most 0; a positive value shows a drifting
    bucket long before a window exceeds its limit.

    :param since: when the first token could be granted
    :param rate: the tenant's constant rate
    """
    limit, bounds = Tenant(tenant, frozenset(), None, rate, rate, frozenset()), world.bounds
    allowance = allowance_of(limit, bounds)
    granted = sum(gatekeeper.quotas.granter.granted_total for gatekeeper in world.gatekeepers())
    given = allowance.capacity + allowance.rate * (float(world.env.now) - since)
    return (granted - given) / (max_requests_in_window(limit, bounds) - (rate * bounds.rate_window + rate))


@dataclass(slots=True)
class VersionChecker:
    """CONFIG: a connected node holds the version that was acknowledged `apply_within` ago, or a newer one;
    MIXED: no node goes back to an older version within one incarnation."""

    bounds: Bounds
    puts: list[Put]
    faults: list[str] = field(default_factory=list)

    def acknowledged(self, before: float) -> int:
        return max((put.version for put in self.puts if put.acknowledged < before), default=0)

    def holds(self, now: float, node: str, version: int) -> None:
        """Checks the version of a connected node."""
        due = self.acknowledged(now - self.bounds.apply_within)
        if version < due:
            self.faults.append(f"CONFIG: {node} holds {version} at {now:.2f}, {due} is due")

    def check_order(self, node: str, versions: list[int]) -> None:
        if versions != sorted(versions):
            self.faults.append(f"MIXED: {node} went back: {versions}")


@dataclass(slots=True)
class LossChecker:
    """LOST: acknowledged orders are read back after all nodes lost power, and hold in every data plane."""

    versions: VersionChecker
    evacuations: EvacuationChecker
    faults: list[str] = field(default_factory=list)

    def read_back(self, revision: str | None) -> None:
        due = self.versions.acknowledged(inf)
        if revision is None or int(revision, 16) < due:
            self.faults.append(f"LOST: {revision} is read, {due:08x} was acknowledged")

    def holds(self, node: str, gatekeeper: Gatekeeper | None, proxy: Proxy | None) -> None:
        if gatekeeper is None or proxy is None:
            self.faults.append(f"LOST: {node} does not run")
            return
        held, due = gatekeeper.configuration, self.versions.acknowledged(inf)
        if due and (held is None or held.version < due):
            self.faults.append(f"LOST: {node} holds {held and held.version}, {due} was acknowledged")
        for zone, on in self.evacuations.standing().items():
            if (zone in proxy.load_balancer.evacuated) is not on:
                word = "evacuated" if on else "lifted"
                self.faults.append(f"LOST: {zone} was {word}, but the data plane of {node} does not know it")
