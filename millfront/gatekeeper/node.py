"""A gatekeeper: one process's part of the control state, put together from the pure modules. No I/O, no
clock.

What it wants done goes out through `NodeIO`; time comes in with each call. The daemon and the simpy worlds of
the tests run this very class.
"""

import math
from collections.abc import Callable, Iterable
from typing import Any

from pyrsistent import PSet, pset
from result import Err, Ok

from millfront.control import configuration as configurations
from millfront.control.admin import EVACUATION, AdminOperations
from millfront.control.delivery import FETCH_REF_PREFIX, LEASE_SHARE, Subscriber
from millfront.control.event_log import EventLog
from millfront.control.hinted_handoff import HintedHandoff
from millfront.dataplane.admission import Admission
from millfront.discovery.server_list import PlatformList, ReadFailure
from millfront.environment import Settings
from millfront.gatekeeper.directory import Directory
from millfront.gatekeeper.node_io import Distance, NodeIO
from millfront.gatekeeper.operations import Operations
from millfront.gatekeeper.quota_grants import KINDS as QUOTA_KINDS
from millfront.gatekeeper.quota_grants import QuotaGrants
from millfront.gatekeeper.server_discovery import KINDS as DISCOVERY_KINDS
from millfront.gatekeeper.server_discovery import ServerDiscovery
from millfront.invariants import Invariant, Invariants
from millfront.membership.gossip import Membership, owners
from millfront.membership.record import Liveness
from millfront.operations.messages import PREFIX as OPERATION
from millfront.register.coordinator import Coordinator
from millfront.register.reconfiguration import Reconfiguration
from millfront.register.recovery import SELF
from millfront.register.replica import PersistRequest, Replica
from millfront.register.values import CONFIG, CORE, FIRST_AGREED_EPOCH, Core, Value, is_internal

HANDOFF_REF = "rest"  # the reference of what a member that is back asks for
SUBSCRIBER_TIMEOUT_S = 4.0  # a line on which nobody asked for so long is pushed nothing
LEASE_SLACK_S = 1.5  # beyond its lease: the record may have been late, and it asked for it a moment after
TICK_S = 0.25
RECENT_SHARE = 0.66  # of apply_within: what is held refuses a route or key that no newer one allows
FROZEN_AFTER_S = 2.0  # without a beat: this process was frozen, and what it knows of others is from before
RELEARN_S = 1.2  # after that, until all others have been heard of anew: their records are due each second
CATCH_UP_S = 0.25  # after that, until it has read all that came meanwhile
MAX_FULL_TOTALS = 12  # totals of so many tenants go with each tick's record; of more, those that moved
FULL_TOTALS_TICKS = 16  # and all of them each so many ticks
CHANGED_WITHIN_S = 5.5  # several ticks: a few messages may be lost
FLUSH_CHANGED_WITHIN_S = 0.5
GOSSIP_TICKS = 4  # of the members' and the prices' tick, about a second
Message = dict[str, Any]


class Gatekeeper(AdminOperations):
    """One process. `configuration` and `evacuated` are what is in force here."""

    def __init__(
        self,
        settings: Settings,
        io: NodeIO,
        stored: dict[str, Value] | None,
        now: float,
        incarnation: int,
        seed: int,
        stored_operations: dict[str, str] | None = None,
    ) -> None:
        """:param stored: what the disk has; None: this process has no disk and keeps nothing
        :param stored_operations: the disk's rows of operation keys
        """
        self.settings, self.io, self.name = settings, io, settings.name
        still = {
            "post": settings.post_address,
            "zone": settings.zone,
            "region": settings.region,
            "plain": settings.bindings.get("plain", ""),
            "ctl": settings.bindings.get("ctl", ""),
            "core": stored is not None and "control" in settings.serves,
        }
        self.seeds_ctl = list(settings.seeds)
        seeds = self._post_addresses(settings.seeds)
        self.invariants = Invariants(self._report_violation)
        self.membership = Membership(settings.name, still, seeds, incarnation, seed, self.invariants)
        self.replica = Replica(stored, settings.fresh) if stored is not None and still["core"] else None
        life = f"{settings.name}.{incarnation}.{seed:x}"
        subscriber = Subscriber(life, LEASE_SHARE * settings.bounds.revoke_within, settings.name)
        super().__init__(Coordinator(life), subscriber, now, seed)  # now: as of the last event
        self.discovery = ServerDiscovery(self, life, now)
        self.server_list = self.discovery.server_list
        self.quotas = QuotaGrants(self, now)
        self.admission = Admission(settings.bounds, now, self.quotas, settings.name)
        self.configuration: configurations.Configuration | None = None
        self.evacuated: PSet[str] = pset()
        # Called when the configuration or the evacuations have changed, and when the servers have
        self.on_configuration_changed: Callable[[], None] = lambda: None
        self.on_servers_changed: Callable[[], None] = lambda: None
        self.subscribers: dict[Any, float] = {}
        self.update_number = 0  # the number of the last update pushed
        self.acknowledged_by: set[Any] = set()  # who has acknowledged it
        self.pushed_to = 0  # how many it was pushed to
        self.started_at = now
        self.ticks, self.last_tick = 0, now
        self.frozen_s, self.catching_up_until, self.members_current_at = 0.0, now, now
        self.event_log = EventLog()
        self.hinted_handoff = HintedHandoff()
        self.directory = Directory(self.membership, settings, self.invariants)
        self.disk_ok = True  # as of the last sync
        self._noted_liveness: dict[str, str] = {}  # of the others, as last noted
        rows = (stored_operations or {}) if self.replica is not None else None
        self.operations = Operations(self, rows, life)
        self.reconfiguration = Reconfiguration(self)
        if self.replica is not None and self.replica.votes:
            self._adopt(dict(self.replica.values))

    def _post_addresses(self, seeds: Iterable[str]) -> list[str]:
        """Where the system's own processes on those machines are reached: all have the same ports."""
        return [f"{seed.rpartition(':')[0]}:{self.settings.port}" for seed in seeds]

    @property
    def post_address(self) -> str:
        """Where the system's other processes reach this one."""
        return self.settings.post_address

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """The settings name others that may know more."""
        self.seeds_ctl, self.membership.seeds = list(seeds), self._post_addresses(seeds)

    def note(self, part: str, text: str, **facts: Any) -> None:
        """In the event log, and as a line of the log."""
        self.event_log.write(self.now, part, text, **facts)
        self.io.log(part, text)

    def _report_violation(self, invariant: Invariant, detail: str) -> None:
        self.note("invariant", f"{invariant.value} is violated: {detail}")

    # ---- what is in force ------------------------------------------------------------------------

    def trusted(self, now: float) -> bool:
        """Whether nothing newer than what is held here can have been acknowledged `revoke_within` ago."""
        return not self.settings.bounds.revoke_global or now < self.subscriber.lease_until()

    def recent_enough(self, now: float) -> bool:
        """Whether what is held here may refuse a route or a key: a newer version, if there is one, was
        acknowledged less than `apply_within` ago."""
        return now - self.subscriber.as_of() < RECENT_SHARE * self.settings.bounds.apply_within

    def missing_to_be_ready(self, now: float) -> list[str]:
        """What it takes to be ready and is not there, in the order in which a start gets to it."""
        checks = (
            (self.configuration is not None, "a configuration"),
            (self.server_list.has_list(), "a list of servers"),
            (self.server_list.usable(now), "a list of servers that is in time"),
            (self.trusted(now), "a lease"),
            (not self.membership.own_record.leaving, "to stay: it leaves"),
        )
        return [name for well, name in checks if not well]

    def ready(self, now: float) -> bool:
        """Whether this process may serve clients: `missing_to_be_ready` names nothing."""
        return not self.missing_to_be_ready(now)

    def _adopt(self, found: dict[str, Value]) -> None:
        """The one way in for values: what is newer is in force from here on, and nothing goes back."""
        changed = self.subscriber.adopt({k: value for k, value in found.items() if not is_internal(k)})
        for key in changed:
            value = self.subscriber.values[key]
            if key == CONFIG:
                match configurations.compiled(value.data):
                    case Ok(made):
                        self.configuration = made
                        self.admission.tenants = made.by_name
                        self.quotas.granter.set_tenants(self.io.now(), made.by_name)
                        self.note("register", f"configuration {made.version:08x} is in force")
                    case Err(fault):
                        self.note("register", f"configuration {value.version:08x} can't be used: {fault}")
            elif key.startswith(EVACUATION):
                zone = key.removeprefix(EVACUATION)
                on = value.data == "1"
                self.evacuated = self.evacuated.add(zone) if on else self.evacuated.discard(zone)
                self.note("register", f"zone {zone} is {'evacuated' if on else 'taken back'}")
            elif key == CORE:
                self.note(
                    "register", f"core {value.version} is {' '.join(sorted(Core.from_value(value).members))}"
                )
        if CORE in changed:
            self.quotas.core_changed(self.io.now())
        if CORE in changed and self.ticks:
            self._on_core_changed()
            self._poll_subscriber(self.now)  # at once: a process that starts has clients waiting
        if changed:
            self.on_configuration_changed()
            self._publish_state(self.now)

    def _on_core_changed(self) -> None:
        """The core has changed: what is under way goes on with the new one."""
        self.reconfiguration.core_changed()
        core = self.subscriber.core
        assert core is not None
        self.renew_rounds(core)

    def _publish_state(self, now: float) -> None:
        """Ready, a whole copy or not: members, who send clients or change the core, learn it at once."""
        me = self.membership.own_record
        ready, keeps = self.ready(now), self.reconfiguration.has_full_copy()
        if (ready, keeps) != (me.ready, me.has_full_copy) and self.membership.ticks:
            me.ready, me.has_full_copy = ready, keeps
            self.flush(now)

    # ---- time ------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Every TICK_S."""
        if now - self.last_tick >= FROZEN_AFTER_S:
            self.frozen_s, self.catching_up_until = now - self.last_tick, now + CATCH_UP_S
            self.members_current_at = now + RELEARN_S
        self.now = self.last_tick = now
        self.ticks += 1
        if self.ticks % GOSSIP_TICKS == 1:
            self._gossip_tick(now)
        self.tick_rounds(now)
        self.reconfiguration.tick(now)
        self.quotas.tick(now)
        self.operations.tick(now)
        self._poll_subscriber(now)
        self._publish_state(now)
        self.discovery.tick(now)
        self.subscribers = {
            via: at for via, at in self.subscribers.items() if now - at < SUBSCRIBER_TIMEOUT_S
        }

    def _gone_after_s(self) -> float:
        """A process that nobody here hears of is in another part of the fleet, or dead. If a majority of the
        core is in this part, it can't have a lease for long: it admits nothing with a key any more."""
        core, records = self.subscriber.core, self.membership.records
        if core is None or not self.settings.bounds.revoke_global:
            return math.inf
        here = [
            n
            for n in core.all_members
            if n == self.name or (n in records and records[n].liveness is Liveness.UP)
        ]
        return LEASE_SLACK_S + self.subscriber.lease_s if core.is_write_quorum(here) else math.inf

    def flush(self, now: float) -> None:
        """This process's record has changed in what others act on at once."""
        me = self.membership.own_record
        me.totals, me.uptime = self.admission.totals(), now - self.membership.started_at
        # Of few tenants all are named: that one has not moved lowers what it is taken to send
        moved = (
            self.admission.changed_totals(now, FLUSH_CHANGED_WITHIN_S)
            if len(me.totals) > MAX_FULL_TOTALS
            else None
        )
        for address, message in self.membership.flush(moved):
            self.io.send_datagram(address, message)

    def _poll_subscriber(self, now: float) -> None:
        for name, message in self.subscriber.tick(now, self.near_replicas()):
            self.send_to_replica(now, name, self.subscriber.core.all_members[name], message)  # type: ignore[union-attr]

    def near_replicas(self) -> list[str]:
        """Core members by distance: this one, its zone, its region, the others; lost ones last."""
        return sorted(self.subscriber.replicas, key=lambda name: (self.distance(name), name))

    def distance(self, name: str) -> Distance:
        """Of another process, or of this one, by its zone and region."""
        if name == self.name:
            return Distance(unreachable=False, other_region=False, other_zone=False, other_process=False)
        record = self.membership.records.get(name)
        identity = record.identity if record is not None else None
        if record is None or identity is None:
            return Distance(unreachable=False, other_region=True, other_zone=True, other_process=True)
        unreachable = record.liveness is Liveness.UNREACHABLE or record.leaving
        other_region = identity["region"] != self.settings.region
        return Distance(unreachable, other_region, identity["zone"] != self.settings.zone, other_process=True)

    def _gossip_tick(self, now: float) -> None:
        if self.pushed_to:
            self.note(
                "delivery",
                f"news {self.update_number} was had by {len(self.acknowledged_by)} of {self.pushed_to}",
            )
            self.pushed_to = 0
        me = self.membership.own_record
        me.ready, me.totals = self.ready(now), self.admission.totals()
        me.config_version = self.configuration.version if self.configuration is not None else 0
        sparse = (
            len(me.totals) > MAX_FULL_TOTALS
            and self.membership.ticks > 3
            and self.membership.ticks % FULL_TOTALS_TICKS
        )
        moved = self.admission.changed_totals(now, CHANGED_WITHIN_S) if sparse else None
        for address, message in self.membership.tick(now, moved):
            self.io.send_datagram(address, message)
        self.admission.tick(now, *self.membership.possibly_running(now, self._gone_after_s()))
        self.quotas.gossip_tick(now)
        self.reconfiguration.gossip_tick(now)
        self._hand_off_hints()
        self._note_liveness(now)

    def _hand_off_hints(self) -> None:
        """Who is heard of again gets what it has missed, from one of its region by duty, one without
        a disk, where there is one, so that the core is asked last."""
        known = [record for record in self.membership.others() if record.identity is not None]
        for name, values in self.hinted_handoff.update(known, self.subscriber.values).items():
            still = self.membership.records[name].identity
            assert still is not None
            others = [
                record
                for record in self.membership.live()
                if record.name != name and record.identity is not None
            ]
            near = [record for record in others if record.identity["region"] == still["region"]]  # type: ignore[index]
            plain = [record for record in near if not record.identity["core"]]  # type: ignore[index]
            names = [record.name for record in plain or near or others]
            if not values or owners(f"rest {name}", names) != [self.name]:
                continue
            self.io.send(still["post"], self.subscriber.handoff(values))
            if self.server_list.has_list():
                self.io.send(still["post"], self.server_list.full_list(self.now))

    def _note_liveness(self, now: float) -> None:
        """For the event log alone: who is heard of, and whose the list is."""
        configurations = {record.name: record.liveness.value for record in self.membership.others()}
        for name, word in configurations.items():
            before = self._noted_liveness.get(name, "new")
            if word != before and "suspect" not in (word, before):
                heard = round(now - self.membership.records[name].written_at, 2)
                self.event_log.write(now, "membership", f"{name} is {word}", before=before, heard_ago=heard)
        kept = {
            name: word for name, word in self._noted_liveness.items() if configurations.get(name) == "suspect"
        }
        self._noted_liveness = configurations | kept
        self.discovery.note_poller(now)

    # ---- messages --------------------------------------------------------------------------------

    def send_to_replica(self, now: float, name: str, address: str, message: Message) -> None:
        """Send a message to a core member's replica, or handle it here if it is this process's own."""
        if name == self.name and self.replica is not None:
            self._call_replica(now, SELF, message)
        else:
            self.io.send(address, message)

    def _call_replica(self, now: float, via: Any, message: Message) -> None:
        """A call to this process's replica."""
        if self.replica is None:
            self._send_answer(now, via, {"t": "no", "r": message.get("r")})
            return
        if message["t"] == "ask" and via is not SELF:
            self.subscribers[via] = now
        answers, persists = self.replica.handle(via, message)
        for to, answer in answers:
            self._send_answer(now, to, answer)
        for persist in persists:
            self.io.persist(persist)

    def _send_answer(self, now: float, via: Any, message: Message) -> None:
        message["m"] = self.name
        if via is SELF:
            self._reply(now, message)
        else:
            self.io.reply(via, message)

    def synced(self, now: float, persist: PersistRequest, well: bool) -> None:
        """The disk is done with it."""
        self.now = now
        replica = self.replica
        assert replica is not None
        if not well:
            self.note("register", "the disk takes nothing: this replica does not count")
        answer, self.disk_ok = persist.reply[1], well
        for to, message in replica.synced(persist, well):
            if answer["t"] == "recovered" and well:
                replica.recovered()
                self.note("register", "recovered, and votes")
            else:
                self._send_answer(now, to, message)
        if well and replica.votes:
            self._adopt(dict(replica.values))
            if any(not is_internal(key) for key in persist.values):
                self._push_update()

    def _push_update(self) -> None:
        """A numbered update to the subscribers of this replica."""
        assert self.replica is not None
        self.update_number += 1
        news = {"t": "news", "n": self.update_number, "s": self.replica.stamps(), "m": self.name}
        self.acknowledged_by, self.pushed_to = set(), len(self.subscribers)
        for via in self.subscribers:
            self.io.reply(via, news)

    def handle_message(self, now: float, via: Any, message: Message) -> None:
        """Something came on a held connection; answers go back on it."""
        self.now = now
        match message["t"]:
            case str() as kind if kind.startswith(OPERATION):
                self.operations.handle_message(via, message)
            case "fetch" | "piece?" if message["r"] == HANDOFF_REF:
                self.io.reply(via, self.subscriber.answer_handoff(message) | {"r": HANDOFF_REF})
            case "found" | "piece" if message["r"] == HANDOFF_REF:
                values, further = self.subscriber.handle_fetched(now, "", message)
                self._adopt(values)
                self._ask_sender(via, further)
            case "store" | "fetch" | "piece?" | "ask" | "found?" | "recover" | "promise?" | "accept?":
                self._call_replica(now, via, message)
            case "had" if message["n"] == self.update_number:
                self.acknowledged_by.add(via)
            case kind if kind in DISCOVERY_KINDS:
                self.discovery.handle_message(now, via, message)
                self._publish_state(now)
            case "rest":
                self._adopt({key: Value.from_wire(value) for key, value in message["v"].items()})
                self._ask_sender(via, self.subscriber.fetch_handoff(now, message))
            case _:
                self._reply(now, message)

    def _reply(self, now: float, message: Message) -> None:
        sender, kind = message.get("m", ""), message["t"]
        if kind == "no":
            self._on_fenced(now, sender, message)
        if kind == "agreed":
            self.reconfiguration.handle_agreement(now, sender, message["r"])
        elif kind == "found" and message["r"].startswith(("lives ", "heir ")):
            self.reconfiguration.recovery.handle_answer(now, sender, message)
        elif kind in ("found", "piece") and str(message["r"]).startswith(FETCH_REF_PREFIX):
            if self.subscriber.is_own_fetch(sender, message):
                values, further = self.subscriber.handle_fetched(now, sender, message)
                self._adopt(values)
                self._ask_replicas(now, further)
        elif kind in ("found", "stored", "promised", "accepted") or self.coordinator.find_round(
            message.get("r")
        ):
            if (round := self.coordinator.handle_answer(now, sender, message)) is not None:
                self._drive(now, round)
        else:
            self._ask_replicas(now, self.subscriber.handle_answer(now, sender, message))

    def _ask_sender(self, via: Any, asked: list[tuple[str, Message]]) -> None:
        for _, out in asked:
            self.io.reply(via, out | {"r": HANDOFF_REF})

    def _ask_replicas(self, now: float, asked: list[tuple[str, Message]]) -> None:
        for name, out in asked:
            if self.subscriber.core is not None and name in self.subscriber.core.all_members:
                self.send_to_replica(now, name, self.subscriber.core.all_members[name], out)

    def _on_fenced(self, now: float, sender: str, message: Message) -> None:
        """A replica is of another core than the call was for: one of the two has missed a change."""
        core = self.subscriber.core
        if "core" in message:
            self._adopt_core(message["core"])
        if message.get("behind") and core is not None and sender in core.all_members:
            store = {"t": "store", "r": "core", "e": core.epoch}
            store["v"] = {CORE: self.subscriber.values[CORE].to_wire()}
            self.send_to_replica(now, sender, core.all_members[sender], store)

    def _adopt_core(self, wire: Any) -> None:
        core = Value.from_wire(wire)
        if core.version >= FIRST_AGREED_EPOCH:
            self._adopt({CORE: core})

    def handle_datagram(self, now: float, back: str, message: Message) -> None:
        """Something came from another process, whose address is `back`."""
        self.now = now
        kind = message["t"]
        if kind == "core?":
            if self.subscriber.core is not None:
                self.io.send_datagram(back, {"t": "core", "v": self.subscriber.values[CORE].to_wire()})
            return
        if kind == "core":
            self._adopt_core(message["v"])
            return
        if kind in QUOTA_KINDS:
            self.quotas.handle_message(back, message)
            return
        received = self.membership.handle_message(now, back, message, self._receive_delay_s(now))
        for address, answer in received.out:
            self.io.send_datagram(address, answer)
        if received.newer:
            self.discovery.members_known(now)
        for told in received.newer:
            self.admission.handle_totals(now, told.name, told.incarnation, told.uptime, told.totals)

    def _receive_delay_s(self, now: float) -> float:
        """Seconds that what is read now may have waited here: this process did nothing since its last beat,
        or has only just gone on and still reads what came meanwhile."""
        if now - self.last_tick >= FROZEN_AFTER_S:
            return now - self.last_tick
        return self.frozen_s if now < self.catching_up_until else 0.0

    def polled(self, now: float, number: int, found: PlatformList | ReadFailure) -> None:
        """The platform's answer, or why there is none."""
        self.now = now
        self.discovery.polled(now, number, found)
        self._publish_state(now)

    # ---- the directory -----------------------------------------------------------------------------

    def resolve(self, now: float, region: str) -> list[str]:
        """Where clients of that region go: its gatekeepers that are ready and heard of; else all such."""
        if now - self.last_tick >= FROZEN_AFTER_S or now < self.members_current_at:
            return []
        return self.directory.addresses(now, region, self.ready(now))
