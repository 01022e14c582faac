"""Hollow gatekeepers: many of the very `Gatekeeper` in one process, on wires of memory, in simulated time.

A lean twin of tests/system_world.py for hundreds of them: deliveries wait in slots of 5 ms, and a message is
handed on as it is. A few gatekeepers are *measured*: whatever they send or get is encoded and decoded by
`millfront.transport.connections`, as the daemon does it, with its bytes counted, and their processor time is
charged to parts. No requests are carried. Times are seconds.
"""

import gc
import math
import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any

from millfront.control.configuration import Tenant
from millfront.discovery.server_list import PlatformList
from millfront.environment import Bounds, Settings
from millfront.gatekeeper.node import BEAT_S, Gatekeeper
from millfront.operations.store import Batch
from millfront.register.replica import Persist
from millfront.register.values import Value
from millfront.transport.connections import decoded, encoded

Message = dict[str, Any]
PORT = 7000
SLOT_S = 0.005
SYNC_S = 0.002
DATAGRAMS = frozenset(("cards", "hello", "want", "core", "core?"))


class Meter:
    """Of one gatekeeper: messages and bytes by kind, processor time by part (what a part calls is its
    own)."""

    def __init__(self) -> None:
        self.cpu: defaultdict[str, float] = defaultdict(float)
        self.count: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.records: Counter[str] = Counter()  # by way
        self.most = 0  # the longest datagram
        self._stack: list[str] = []
        self._mark = 0.0

    def enter(self, part: str) -> None:
        now = time.process_time()
        if self._stack:
            self.cpu[self._stack[-1]] += now - self._mark
        self._stack.append(part)
        self._mark = now

    def leave(self) -> None:
        now = time.process_time()
        self.cpu[self._stack.pop()] += now - self._mark
        self._mark = now

    def wrap(self, owner: Any, name: str, part: str) -> None:
        does = getattr(owner, name)

        def timed(*told: Any, **more: Any) -> Any:
            self.enter(part)
            try:
                return does(*told, **more)
            finally:
                self.leave()

        setattr(owner, name, timed)

    def clear(self) -> None:
        self.cpu.clear()
        self.count.clear()
        self.bytes.clear()
        self.records.clear()
        self.most = 0

    def passed(self, way: str, message: Message, size: int) -> None:
        kind = f"{way} {message['t']}"
        self.count[kind] += 1
        self.bytes[kind] += size
        self.records[way] += len(message.get("c", ()))
        if message["t"] in DATAGRAMS:
            self.most = max(self.most, size)

    def total(self, way: str, kinds: frozenset[str] | None = None) -> tuple[int, int]:
        """Messages and bytes: `out`, `in`; of some kinds or of all."""
        keys = [
            key for key in self.count if key.startswith(way) and (kinds is None or key.split()[1] in kinds)
        ]
        return sum(self.count[key] for key in keys), sum(self.bytes[key] for key in keys)


class Hollow:
    """One machine and its doors."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.fleet, self.number = fleet, number
        self.zone = f"z{number % fleet.zones}"
        self.region = fleet.regions[self.zone]
        self.ip = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
        self.address = f"{self.ip}:{PORT}"
        self.name = f"{self.zone}-{number:04d}"
        self.disk: dict[str, Value] | None = {} if number < fleet.disks else None
        self.gatekeeper: Gatekeeper | None = None
        self.life = 0
        self.meter: Meter | None = None
        self._last: tuple[Message, bytes] = ({}, b"")
        self.requests = 0.0

    def start(self, fresh: bool) -> None:
        fleet = self.fleet
        self.life += 1
        settings = Settings(
            name=self.name, ip=self.ip, zone=self.zone, region=self.region, fresh=fresh,
            counts_loss=self.disk is not None, state_dir=None, serves=("edge", "control", "directory"),
            ram_mb=128, fd_limit=4096, port=PORT, seeds=fleet.seeds,
            bindings={"plain": f"{self.ip}:80", "ctl": f"{self.ip}:81"}, zones=fleet.regions,
            cloud="10.255.0.1:1", cloud_rate=40.0, cloud_lag=0.8, bounds=fleet.bounds,
        )  # fmt: skip
        kept = dict(self.disk) if self.disk is not None else None
        incarnation = int(fleet.now * 1000) + 1
        self.gatekeeper = Gatekeeper(
            settings, self, kept, fleet.now, incarnation, self.number * 1000 + self.life
        )
        if self.meter is not None:
            self.measure()
        fleet.after(fleet.random.random() * BEAT_S, self, self._beat)

    def kill(self) -> None:
        self.gatekeeper, self.life = None, self.life + 1

    def measure(self) -> Meter:
        """Count what this gatekeeper sends and gets, and charge its time."""
        self.meter = meter = self.meter or Meter()
        gatekeeper = self.gatekeeper
        assert gatekeeper is not None
        for owner, name, part in (
            (gatekeeper.membership, "tick", "roster: tick"),
            (gatekeeper.membership, "take", "roster: take"),
            (gatekeeper.membership, "has_duty", "duties"),
            (gatekeeper.admission, "heard", "tenants: heard"),
            (gatekeeper.admission, "tick", "tenants: tick"),
            (gatekeeper.admission, "admit", "tenants: admit"),
            (gatekeeper, "_hand_over", "poste restante"),
            (gatekeeper, "_note_others", "daybook"),
            (gatekeeper, "near_replicas", "follower"),
            (gatekeeper.subscriber, "tick", "follower"),
            (gatekeeper.subscriber, "take", "follower"),
            (gatekeeper, "_keep", "keeper"),
            (gatekeeper, "_hold", "in force"),
        ):
            meter.wrap(owner, name, part)
        return meter

    # ---- doors -----------------------------------------------------------------------------------

    def _sends(self, message: Message, same: bool) -> None:
        if self.meter is not None:
            self.meter.enter("wire: encode")
            if not same or message is not self._last[0]:
                self._last = (message, encoded(message))
            self.meter.leave()
            self.meter.passed("out", message, len(self._last[1]))

    def datagram(self, address: str, message: Message) -> None:
        self._sends(message, True)
        fleet = self.fleet
        if fleet.random.random() >= fleet.loss:
            fleet.carry(self, address, message)

    def line(self, address: str, message: Message) -> None:
        self._sends(message, False)
        self.fleet.carry(self, address, message)

    def back(self, via: Any, message: Message) -> None:
        self.line(str(via), message)

    def persist(self, persist: Persist) -> None:
        def synced() -> None:
            if self.disk is not None and self.gatekeeper is not None:
                self.disk.update(persist.values)
                self.gatekeeper.synced(self.fleet.now, persist, True)

        self.fleet.after(SYNC_S, self, synced)

    def persist_operations(self, batch: Batch) -> None:
        def synced() -> None:
            if self.gatekeeper is not None:
                self.gatekeeper.operations.synced(batch, True)

        self.fleet.after(SYNC_S, self, synced)

    def poll(self, number: int) -> None:
        self.fleet.polls += 1
        gatekeeper = self.gatekeeper
        assert gatekeeper is not None
        self.fleet.after(
            0.05, self, lambda: gatekeeper.polled(self.fleet.now, number, PlatformList(self.fleet.servers))
        )

    def say(self, part: str, text: str) -> None:
        pass

    # ---- what comes --------------------------------------------------------------------------------

    def take(self, back: str, message: Message) -> None:
        gatekeeper, now = self.gatekeeper, self.fleet.now
        if gatekeeper is None:
            return
        take = gatekeeper.datagram if message["t"] in DATAGRAMS else gatekeeper.message
        if self.meter is None:
            take(now, back, message)
            return
        data = encoded(message)
        self.meter.passed("in", message, len(data))
        self.meter.enter("wire: decode")
        message = decoded(data)
        self.meter.leave()
        self.meter.enter("office")
        take(now, back, message)
        self.meter.leave()

    def _beat(self) -> None:
        gatekeeper, fleet = self.gatekeeper, self.fleet
        assert gatekeeper is not None
        if self.meter is not None:
            self.meter.enter("office")
        gatekeeper.beat(fleet.now)
        self.requests += fleet.rate * BEAT_S
        while self.requests >= 1.0:
            self.requests -= 1.0
            gatekeeper.admission.admit(fleet.now, fleet.random.choice(fleet.tenants))
        if gatekeeper.admission.flush:
            gatekeeper.flush(fleet.now)
        if self.meter is not None:
            self.meter.leave()
        fleet.after(BEAT_S, self, self._beat)


class Fleet:
    """n machines over so many regions and zones, the first `disks` of them the core."""

    def __init__(
        self, n: int, disks: int = 4, regions: int = 2, zones: int = 4, loss: float = 0.02, seed: int = 1
    ) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self.disks, self.zones, self.loss = disks, max(zones, regions), loss
        self.regions = {f"z{k}": f"r{k % regions}" for k in range(self.zones)}
        self.bounds = Bounds()
        self.servers: list[Any] = [["i-1", "shop", "10.200.0.1:80", "z0", 3, 0, 0.0]]
        self.tenants: list[Tenant] = []
        self.rate = 0.0  # requests a second that each lets in
        self.polls = 0
        self.cut: Callable[[Hollow, Hollow], bool] = lambda a, b: False
        self.nodes: list[Hollow] = []
        self.nodes = [Hollow(self, number) for number in range(n)]
        self.seeds = tuple(f"{node.ip}:81" for node in self.nodes[:3])
        self.by_address = {node.address: node for node in self.nodes}
        self._slots: dict[int, list[tuple[Hollow, int, Callable[[], None]]]] = {}
        self._slot = 0

    def after(self, delay: float, node: Hollow, does: Callable[[], None]) -> None:
        """Unless the node's life ends before."""
        slot = max(self._slot + 1, int((self.now + delay) / SLOT_S))
        self._slots.setdefault(slot, []).append((node, node.life, does))

    def carry(self, sender: Hollow, address: str, message: Message) -> None:
        to = self.by_address.get(address)
        if to is None or self.cut(sender, to):
            return
        near = sender.region == to.region
        delay = (0.001 if near else 0.02) * (1.0 + self.random.random())
        self.after(delay, to, lambda: to.take(sender.address, message))

    def run(self, seconds: float) -> "Fleet":
        end = int((self.now + seconds) / SLOT_S)
        while self._slot < end:
            self._slot += 1
            self.now = self._slot * SLOT_S
            for node, life, does in self._slots.pop(self._slot, ()):
                if node.life == life:
                    does()
        return self

    def until(self, holds: Callable[[], bool], most: float = 60.0, step: float = 0.1) -> float:
        """Seconds until it holds; infinite: it did not."""
        began = self.now
        while not holds():
            if self.now - began > most:
                return math.inf
            self.run(step)
        return self.now - began

    def gatekeepers(self) -> list[Gatekeeper]:
        return [node.gatekeeper for node in self.nodes if node.gatekeeper is not None]

    def put(self, number: int, text: str) -> list[int]:
        answers: list[int] = []
        gatekeeper = self.nodes[number].gatekeeper
        assert gatekeeper is not None
        gatekeeper.put(self.now, text, lambda status, text: answers.append(status))
        return answers

    def whole(self) -> bool:
        """Whether all know all, and hear of them."""
        live = len(self.gatekeepers())
        return all(len(gatekeeper.membership.live()) == live for gatekeeper in self.gatekeepers())

    def ready(self) -> bool:
        return all(gatekeeper.ready(self.now) for gatekeeper in self.gatekeepers())

    def in_force(self, version: int) -> bool:
        return all(
            o.configuration is not None and o.configuration.version >= version for o in self.gatekeepers()
        )


def settled(fleet: Fleet, text: str, but: int = 0) -> Fleet:
    """Started for the first time (`but` the last so many), a core founded, a first configuration in force."""
    gc.collect()
    gc.freeze()
    gc.disable()  # the daemon's heap is small; here it is that of hundreds
    for node in fleet.nodes[: len(fleet.nodes) - but]:
        node.start(True)
    fleet.until(
        lambda: all(gatekeeper.subscriber.core is not None for gatekeeper in fleet.gatekeepers()), 60.0
    )
    answers = fleet.put(len(fleet.nodes) - but - 1, text)
    fleet.until(lambda: bool(answers) and fleet.in_force(1), 30.0)
    if answers != [200]:
        raise RuntimeError(f"the first configuration: {answers}")
    return fleet
