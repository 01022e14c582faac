"""Checkers of the rules that hold for the whole fleet, over a simulated world whose nodes have the daemon's
data plane. Each checker is told what operators ordered and what nodes did, and lists its faults as text."""

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
    """A node whose gatekeeper has a data plane, tied to it as in the daemon."""

    proxy: Proxy | None = None
    touch_since = 0.0  # since when it runs and nothing cuts it off

    def __init__(self, world: World, number: int, disk: bool) -> None:
        super().__init__(world, number, disk)
        self.lives: list[list[int]] = []  # the versions of those that ended

    def start(self, fresh: bool = False) -> None:
        super().start(fresh)
        assert self.gatekeeper is not None
        self.touch_since = float(self.world.env.now)
        record = self.gatekeeper.on_configuration_changed
        self.proxy = Proxy(self.gatekeeper, self.number * 1000 + self.incarnation, self.now)
        tell = self.gatekeeper.on_configuration_changed

        def changed() -> None:
            record()
            tell()

        self.gatekeeper.on_configuration_changed = changed
        record()  # what its disk had

    def kill(self) -> None:
        super().kill()
        self.lives.append(self.versions)
        self.proxy = None

    def picks(self) -> set[str]:
        """The zones of all servers that its data plane would choose now, one after another."""
        gatekeeper, proxy = self.gatekeeper, self.proxy
        if (
            gatekeeper is None
            or proxy is None
            or gatekeeper.configuration is None
            or self.backlog is not None
        ):
            return set()
        service, tried, zones = gatekeeper.configuration.services["shop"], set[str](), set[str]()
        while seen := proxy.load_balancer.pick(self.now(), service, True, frozenset(), 1000.0, tried):
            tried.add(seen.server.ident)
            zones.add(seen.server.zone)
        return zones


class ServingWorld(World):
    """A world of such nodes."""

    def __init__(self, n: int, disks: int, seed: int) -> None:
        super().__init__(n, disks, seed)
        self.serving = [ServingNode(self, number, number < disks) for number in range(n)]
        self.nodes = list(self.serving)
        self.by_address = {node.address: node for node in self.nodes}
        self.isolated: set[int] = set()
        self.cut = lambda a, b: (a.number in self.isolated) != (b.number in self.isolated)

    def isolate(self, numbers: set[int]) -> None:
        """Nothing passes between these and the others from now on; with none the cut ends."""
        for number in self.isolated - numbers:
            self.serving[number].touch_since = float(self.env.now)
        self.isolated = set(numbers)

    def in_touch(self, node: ServingNode) -> bool:
        """Whether it has been running, and not cut off, for `contact`."""
        lasted = float(self.env.now) - node.touch_since
        return (
            node.gatekeeper is not None and node.number not in self.isolated and lasted >= self.bounds.contact
        )


@dataclass(slots=True)
class Order:
    """What an operator ordered. One that was not acknowledged may be in force or not."""

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
    """EVAC: no node in touch picks a server of a zone later than `evacuate_within` after the acknowledgement
    of its evacuation, until somebody orders it to be taken back."""

    bounds: Bounds
    orders: dict[str, list[Evacuation]] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    judged: int = 0  # picks of a node while an evacuation bound it

    def ordered(self, zone: str, on: bool, now: float) -> Evacuation:
        order = Evacuation(now, on=on)
        self.orders.setdefault(zone, []).append(order)
        return order

    def binding(self, now: float) -> set[str]:
        """The zones that nobody in touch may pick any more."""
        within = self.bounds.evacuate_within
        last = {zone: orders[-1] for zone, orders in self.orders.items()}
        return {zone for zone, order in last.items() if order.on and now > order.acknowledged + within}

    def standing(self) -> dict[str, bool]:
        """By zone what was acknowledged last, and nobody has ordered anything since."""
        last = {zone: orders[-1] for zone, orders in self.orders.items()}
        return {zone: order.on for zone, order in last.items() if order.acknowledged < inf}

    def picked(self, now: float, node: str, zones: set[str]) -> None:
        """By a node in touch."""
        bound = self.binding(now)
        self.judged += bool(bound)
        for zone in sorted(zones & bound):
            late = now - self.orders[zone][-1].acknowledged
            self.faults.append(f"EVAC: {node} picks in {zone}, {late:.1f} s after its evacuation")


@dataclass(slots=True)
class QuotaChecker:
    """QUOTA: what all nodes let in of a tenant in any `rate_window` is within the highest limit that may have
    been in force in that window. A limit may be from when it was sent until `apply_within` after a later one
    was acknowledged; burst is a second's rate (`document`)."""

    bounds: Bounds
    puts: list[Put]
    let_in: list[float] = field(default_factory=list)
    refused: int = 0
    fullest: float = 0.0  # of all windows: let in over allowed

    def limit(self, begin: float, end: float) -> float:
        """The rate that binds from `begin` to `end`."""
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
        """To be asked once, at the end: the worst window, if it is one too many."""
        inside, window, worst = deque[float](), self.bounds.rate_window, ""
        for at in sorted(self.let_in):
            inside.append(at)
            while inside[0] <= at - window:
                inside.popleft()
            allowed = self.allowed(self.limit(at - window, at))
            if len(inside) / allowed > self.fullest:
                self.fullest = len(inside) / allowed
                worst = (
                    f"QUOTA: {len(inside)} let in within {window:g} s up to {at:.2f}, {allowed:.1f} allowed"
                )
        return [worst] if self.fullest > 1.0 else []


def granted_beyond(world: ServingWorld, tenant: str, since: float, rate: float) -> float:
    """Tokens that the running nodes have granted of a tenant beyond what its allowance gives, over what the
    rule leaves beyond the limit. Where nobody restarts it is 0 at most; more is a bucket that drifts, long
    before a window is broken.

    :param since: when the first of them could be granted
    :param rate: the tenant's, all the time
    """
    limit, bounds = Tenant(tenant, frozenset(), None, rate, rate, frozenset()), world.bounds
    whole = allowance_of(limit, bounds)
    granted = sum(gatekeeper.quotas.granter.granted_total for gatekeeper in world.gatekeepers())
    given = whole.capacity + whole.rate * (float(world.env.now) - since)
    return (granted - given) / (max_requests_in_window(limit, bounds) - (rate * bounds.rate_window + rate))


@dataclass(slots=True)
class VersionChecker:
    """CONFIG: a node in touch holds what was acknowledged `apply_within` ago, or something newer; MIXED: no
    node goes back to an older version in one life."""

    bounds: Bounds
    puts: list[Put]
    faults: list[str] = field(default_factory=list)

    def acknowledged(self, before: float) -> int:
        return max((put.version for put in self.puts if put.acknowledged < before), default=0)

    def holds(self, now: float, node: str, version: int) -> None:
        """A node in touch."""
        due = self.acknowledged(now - self.bounds.apply_within)
        if version < due:
            self.faults.append(f"CONFIG: {node} holds {version} at {now:.2f}, {due} is due")

    def lived(self, node: str, versions: list[int]) -> None:
        if versions != sorted(versions):
            self.faults.append(f"MIXED: {node} went back: {versions}")


@dataclass(slots=True)
class LossChecker:
    """LOST: what was acknowledged is read back after all lost power, and holds in every data plane."""

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
                word = "evacuated" if on else "taken back"
                self.faults.append(f"LOST: {zone} was {word}, the data plane of {node} doesn't know")
