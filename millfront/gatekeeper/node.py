"""The composition root of one gatekeeper process: it connects the pure modules. No I/O, no clock.

Effects go out through `NodeIO`; the time is passed to each call. The daemon and the simpy worlds of the tests
run this same class.
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

HANDOFF_REF = "rest"  # request reference of a returning member that fetches what it missed from a neighbour
SUBSCRIBER_TIMEOUT_S = 4.0  # updates are not pushed to a connection without a poll for this long
LEASE_SLACK_S = 1.5  # beyond the lease: a member's last record may be late, its lease renewed after it
TICK_S = 0.25
RECENT_SHARE = 0.66  # of apply_within: state confirmed within it may refuse unknown routes and keys
FROZEN_AFTER_S = 2.0  # without a tick: the process was frozen, and its view of other members is outdated
RELEARN_S = 1.2  # after a freeze, until every member has been heard from again: records are due each second
CATCH_UP_S = 0.25  # after a freeze, until all input that arrived during it has been read
MAX_FULL_TOTALS = 12  # tenants; each record carries the totals of up to so many, else only changed totals
FULL_TOTALS_TICKS = 16  # gossip ticks between records that carry all totals
CHANGED_WITHIN_S = 5.5  # several gossip ticks, since a few messages may be lost
FLUSH_CHANGED_WITHIN_S = 0.5
GOSSIP_TICKS = 4  # ticks per gossip tick (membership, prices), about a second
Message = dict[str, Any]


class Gatekeeper(AdminOperations):
    """One process. `configuration` and `evacuated` hold the state in force in this process."""

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
        """:param stored: the register's values on disk; None: this process has no disk and no replica
        :param stored_operations: the rows of operation keys on disk
        """
        self.settings, self.io, self.name = settings, io, settings.name
        identity = {
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
        self.membership = Membership(settings.name, identity, seeds, incarnation, seed, self.invariants)
        self.replica = Replica(stored, settings.fresh) if stored is not None and identity["core"] else None
        incarnation_name = f"{settings.name}.{incarnation}.{seed:x}"
        subscriber = Subscriber(incarnation_name, LEASE_SHARE * settings.bounds.revoke_within, settings.name)
        super().__init__(Coordinator(incarnation_name), subscriber, now, seed)  # now: as of the last event
        self.discovery = ServerDiscovery(self, incarnation_name, now)
        self.server_list = self.discovery.server_list
        self.quotas = QuotaGrants(self, now)
        self.admission = Admission(settings.bounds, now, self.quotas, settings.name)
        self.configuration: configurations.Configuration | None = None
        self.evacuated: PSet[str] = pset()
        # Callbacks of the data plane; the first also when evacuations or the core change
        self.on_configuration_changed: Callable[[], None] = lambda: None
        self.on_servers_changed: Callable[[], None] = lambda: None
        self.subscribers: dict[Any, float] = {}  # connection -> time of its last poll
        self.update_number = 0  # of the last update pushed
        self.acknowledged_by: set[Any] = set()  # connections that acknowledged that update
        self.pushed_to = 0  # number of connections it was pushed to
        self.started_at = now
        self.ticks, self.last_tick = 0, now
        self.frozen_s, self.catching_up_until, self.members_current_at = 0.0, now, now
        self.event_log = EventLog()
        self.hinted_handoff = HintedHandoff()
        self.directory = Directory(self.membership, settings, self.invariants)
        self.disk_ok = True  # as of the last sync
        self.connection_faults = 0  # exceptions out of single client connections, each of which was closed
        self._noted_liveness: dict[str, str] = {}  # of other members, as last written to the event log
        rows = (stored_operations or {}) if self.replica is not None else None
        self.operations = Operations(self, rows, incarnation_name)
        self.reconfiguration = Reconfiguration(self)
        if self.replica is not None and self.replica.votes:
            self._adopt(dict(self.replica.values))

    def _post_addresses(self, seeds: Iterable[str]) -> list[str]:
        """The internal addresses of the processes on the seeds' machines: all use the same port."""
        return [f"{seed.rpartition(':')[0]}:{self.settings.port}" for seed in seeds]

    @property
    def post_address(self) -> str:
        """``host:port`` where the system's other processes reach this one."""
        return self.settings.post_address

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seeds by those of a changed settings file."""
        self.seeds_ctl, self.membership.seeds = list(seeds), self._post_addresses(seeds)

    def note(self, part: str, text: str, **facts: Any) -> None:
        """Write an entry to the event log and a line to the log."""
        self.event_log.write(self.now, part, text, **facts)
        self.io.log(part, text)

    def _report_violation(self, invariant: Invariant, detail: str) -> None:
        self.note("invariant", f"{invariant.value} violated: {detail}")

    def count_connection_fault(self) -> None:
        """An exception out of one client connection has ended that connection."""
        self.connection_faults += 1

    # ---- what is in force ------------------------------------------------------------------------

    def trusted(self, now: float) -> bool:
        """Whether no version newer than the one held here can have been acknowledged more than
        `revoke_within` ago: the lease is valid, or keys are not revoked globally."""
        return not self.settings.bounds.revoke_global or now < self.subscriber.lease_until()

    def recent_enough(self, now: float) -> bool:
        """Whether the held configuration may refuse a route or a key: a newer version, if there is one, was
        acknowledged less than `apply_within` ago."""
        return now - self.subscriber.as_of() < RECENT_SHARE * self.settings.bounds.apply_within

    def missing_to_be_ready(self, now: float) -> list[str]:
        """The unmet conditions of readiness, in the order in which a start meets them."""
        checks = (
            (self.configuration is not None, "a configuration"),
            (self.server_list.has_list(), "a list of servers"),
            (self.server_list.usable(now), "a list of servers that is in time"),
            (self.trusted(now), "a lease"),
            (not self.membership.own_record.leaving, "to stay: it leaves"),
        )
        return [name for met, name in checks if not met]

    def ready(self, now: float) -> bool:
        """Whether this process may serve clients: `missing_to_be_ready` is empty."""
        return not self.missing_to_be_ready(now)

    def _adopt(self, values: dict[str, Value]) -> None:
        """Put newer values in force; the only place that does. Older values never replace newer ones."""
        changed = self.subscriber.adopt({k: value for k, value in values.items() if not is_internal(k)})
        for key in changed:
            value = self.subscriber.values[key]
            if key == CONFIG:
                match configurations.compiled(value.data):
                    case Ok(configuration):
                        self.configuration = configuration
                        self.admission.tenants = configuration.by_name
                        self.quotas.granter.set_tenants(self.io.now(), configuration.by_name)
                        self.note("register", f"configuration {configuration.version:08x} is in force")
                    case Err(fault):
                        self.note("register", f"configuration {value.version:08x} is invalid: {fault}")
            elif key.startswith(EVACUATION):
                zone = key.removeprefix(EVACUATION)
                on = value.data == "1"
                self.evacuated = self.evacuated.add(zone) if on else self.evacuated.discard(zone)
                self.note("register", f"zone {zone} is {'evacuated' if on else 'back in service'}")
            elif key == CORE:
                self.note(
                    "register", f"core {value.version}: {' '.join(sorted(Core.from_value(value).members))}"
                )
        if CORE in changed:
            self.quotas.core_changed(self.io.now())
        if CORE in changed and self.ticks:
            self._on_core_changed()
            self.operations.tick(self.now)
            self._poll_subscriber(self.now)  # at once: clients may wait for a process that starts
        if changed:
            self.on_configuration_changed()
            self._publish_state(self.now)

    def _on_core_changed(self) -> None:
        """Continue open rounds with the new core."""
        self.reconfiguration.core_changed()
        core = self.subscriber.core
        assert core is not None
        self.renew_rounds(core)

    def _publish_state(self, now: float) -> None:
        """Gossip a change of readiness or of the full copy at once: others direct clients and change the core
        by them."""
        own = self.membership.own_record
        ready, full_copy = self.ready(now), self.reconfiguration.has_full_copy()
        if (ready, full_copy) != (own.ready, own.has_full_copy) and self.membership.ticks:
            own.ready, own.has_full_copy = ready, full_copy
            self.flush(now)

    def caught_up_members(self, core: Core) -> set[str]:
        """The new members that know every claim on an operation key granted before this core."""
        return self.operations.caught_up_members(core)

    # ---- time ------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Run the periodic work of all parts; called every `TICK_S`."""
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
        """Seconds without records after which another process admits no keyed requests; infinite if unknown.

        It is dead or on the other side of a network partition. If a majority of the core is on this side, it
        can't renew its lease, and without a lease it admits no request with a key.
        """
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
        """Gossip this process's record now, after a change that others act on at once."""
        own = self.membership.own_record
        own.totals, own.uptime = self.admission.totals(), now - self.membership.started_at
        # All totals if there are few: an unchanged total lowers the rate that others assume for it
        changed = (
            self.admission.changed_totals(now, FLUSH_CHANGED_WITHIN_S)
            if len(own.totals) > MAX_FULL_TOTALS
            else None
        )
        for address, message in self.membership.flush(changed):
            self.io.send_datagram(address, message)

    def _poll_subscriber(self, now: float) -> None:
        for name, message in self.subscriber.tick(now, self.near_replicas()):
            self.send_to_replica(now, name, self.subscriber.core.all_members[name], message)  # type: ignore[union-attr]

    def near_replicas(self) -> list[str]:
        """Core members by distance: this one, its zone, its region, the others; unreachable ones last."""
        return sorted(self.subscriber.replicas, key=lambda name: (self.distance(name), name))

    def distance(self, name: str) -> Distance:
        """The distance of a member, or of this process itself."""
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
                f"update {self.update_number}: {len(self.acknowledged_by)} of {self.pushed_to} acknowledged",
            )
            self.pushed_to = 0
        own = self.membership.own_record
        own.ready, own.totals = self.ready(now), self.admission.totals()
        own.config_version = self.configuration.version if self.configuration is not None else 0
        sparse = (
            len(own.totals) > MAX_FULL_TOTALS
            and self.membership.ticks > 3
            and self.membership.ticks % FULL_TOTALS_TICKS
        )
        changed = self.admission.changed_totals(now, CHANGED_WITHIN_S) if sparse else None
        for address, message in self.membership.tick(now, changed):
            self.io.send_datagram(address, message)
        self.admission.tick(now, *self.membership.possibly_running(now, self._gone_after_s()))
        self.quotas.gossip_tick(now)
        self.reconfiguration.gossip_tick(now)
        self._hand_off_hints()
        self._note_liveness(now)

    def _hand_off_hints(self) -> None:
        """Send returning members the values that they missed. One owner per member does it: a process of the
        member's region, preferably without a disk, so as not to load the core."""
        known = [record for record in self.membership.others() if record.identity is not None]
        for name, values in self.hinted_handoff.update(known, self.subscriber.values).items():
            identity = self.membership.records[name].identity
            assert identity is not None
            others = [
                record
                for record in self.membership.live()
                if record.name != name and record.identity is not None
            ]
            near = [record for record in others if record.identity["region"] == identity["region"]]  # type: ignore[index]
            plain = [record for record in near if not record.identity["core"]]  # type: ignore[index]
            names = [record.name for record in plain or near or others]
            if not values or owners(f"rest {name}", names) != [self.name]:
                continue
            self.io.send(identity["post"], self.subscriber.handoff(values))
            if self.server_list.has_list():
                self.io.send(identity["post"], self.server_list.full_list(self.now))

    def _note_liveness(self, now: float) -> None:
        """Write changes of members' liveness and of the platform's poller to the event log only."""
        liveness = {record.name: record.liveness.value for record in self.membership.others()}
        for name, word in liveness.items():
            before = self._noted_liveness.get(name, "new")
            if word != before and "suspect" not in (word, before):
                heard_ago = round(now - self.membership.records[name].written_at, 2)
                self.event_log.write(
                    now, "membership", f"{name} is {word}", before=before, heard_ago=heard_ago
                )
        suspected = {
            name: word for name, word in self._noted_liveness.items() if liveness.get(name) == "suspect"
        }
        self._noted_liveness = liveness | suspected
        self.discovery.note_poller(now)

    # ---- messages --------------------------------------------------------------------------------

    def send_to_replica(self, now: float, name: str, address: str, message: Message) -> None:
        """Send a message to a core member's replica, or handle it here if it is this process's own."""
        if name == self.name and self.replica is not None:
            self._call_replica(now, SELF, message)
        else:
            self.io.send(address, message)

    def _call_replica(self, now: float, via: Any, message: Message) -> None:
        """Pass a request to this process's replica; send its answers and persist its values."""
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
            self._handle_reply(now, message)
        else:
            self.io.reply(via, message)

    def synced(self, now: float, persist: PersistRequest, ok: bool) -> None:
        """The disk has synced the request (`ok`) or has failed to."""
        self.now = now
        replica = self.replica
        assert replica is not None
        if not ok:
            self.note("register", "the disk failed to sync: this replica acknowledges nothing")
        answer, self.disk_ok = persist.reply[1], ok
        for to, message in replica.synced(persist, ok):
            if answer["t"] == "recovered" and ok:
                replica.recovered()
                self.note("register", "recovered: the replica votes")
            else:
                self._send_answer(now, to, message)
        if ok and replica.votes:
            self._adopt(dict(replica.values))
            if any(not is_internal(key) for key in persist.values):
                self._push_update()

    def _push_update(self) -> None:
        """Push a numbered update with the values' stamps to the subscribers of this replica."""
        assert self.replica is not None
        self.update_number += 1
        update = {"t": "news", "n": self.update_number, "s": self.replica.stamps(), "m": self.name}
        self.acknowledged_by, self.pushed_to = set(), len(self.subscribers)
        for via in self.subscribers:
            self.io.reply(via, update)

    def handle_message(self, now: float, via: Any, message: Message) -> None:
        """Dispatch a message that arrived on connection `via`; answers go back on it."""
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
                self._handle_reply(now, message)

    def _handle_reply(self, now: float, message: Message) -> None:
        sender, kind = message.get("m", ""), message["t"]
        if kind == "no":
            self._on_fenced(now, sender, message)
        if kind == "agreed":
            self.reconfiguration.bootstrap.handle_agreement(now, sender, message["r"])
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

    def _ask_sender(self, via: Any, requests: list[tuple[str, Message]]) -> None:
        for _, request in requests:
            self.io.reply(via, request | {"r": HANDOFF_REF})

    def _ask_replicas(self, now: float, requests: list[tuple[str, Message]]) -> None:
        for name, request in requests:
            if self.subscriber.core is not None and name in self.subscriber.core.all_members:
                self.send_to_replica(now, name, self.subscriber.core.all_members[name], request)

    def _on_fenced(self, now: float, sender: str, message: Message) -> None:
        """A replica refused a request of another core epoch: it or this process missed a change. Adopt its
        newer core, or send it ours."""
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
        """Dispatch a datagram from the process at address `back`."""
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
        for record in received.newer:
            self.admission.handle_totals(now, record.name, record.incarnation, record.uptime, record.totals)

    def _receive_delay_s(self, now: float) -> float:
        """Seconds that a message read now may have waited in this process's buffers: since the last tick if
        it was frozen, or the length of the freeze while the backlog is read; else 0."""
        if now - self.last_tick >= FROZEN_AFTER_S:
            return now - self.last_tick
        return self.frozen_s if now < self.catching_up_until else 0.0

    def polled(self, now: float, number: int, result: PlatformList | ReadFailure) -> None:
        """Handle the platform's answer to poll `number`, or the reason why there is none."""
        self.now = now
        self.discovery.polled(now, number, result)
        self._publish_state(now)

    # ---- the directory -----------------------------------------------------------------------------

    def resolve(self, now: float, region: str) -> list[str]:
        """Addresses for clients of a region (`Directory.addresses`); none while this process is frozen or has
        just been."""
        if now - self.last_tick >= FROZEN_AFTER_S or now < self.members_current_at:
            return []
        return self.directory.addresses(now, region, self.ready(now))
