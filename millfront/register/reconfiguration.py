"""Reconfiguration: which processes are members of the register. No I/O, no clock.

At the first start the core is *bootstrapped* (bootstrap.py). Later it *changes* through the register itself:
a machine with a disk that has joined is added, one that is lost for good is removed. A change passes through
a core that holds both member sets, in which both must agree to everything:

    core e ──decide──> core e+1 (new, old) ──carry over, catch up──> core e+2 (new)

Core e+1 is decided by a ballot over a majority of e, so that there is only one; e+2 follows from e+1, so that
any process that knows e+1 can complete the change. In between, all values are read from, and written back to,
majorities of both sets, and the new members catch up with the claims on operation keys
(docs/design/operation-keys.md). The derivation is in docs/design/register.md.

A replica that lost its disk *recovers* (recovery.py). `placement` chooses the members of the next core. Times
are seconds on the caller's clock.
"""

from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol

from millfront.control.delivery import Subscriber
from millfront.environment import Settings
from millfront.membership.gossip import SUSPECT_TICKS, TICK_S, Membership, owners
from millfront.membership.record import Liveness
from millfront.register.bootstrap import Bootstrap
from millfront.register.coordinator import Coordinator, Phase, Round
from millfront.register.placement import Choice, Seat, choose_members, min_members
from millfront.register.recovery import SELF, Recovery
from millfront.register.replica import PersistRequest, Replica, ReplicaState
from millfront.register.values import (
    BALLOTS_PER_EPOCH,
    CORE,
    PROMISED,
    Core,
    Value,
    write_quorum,
)

JOIN_DELAY_S = 1.0  # a machine with a disk that was up for so long is added where that gains a vote
NO_GAIN_JOIN_DELAY_S = 5.0  # and after so long where it does not gain one
REMOVAL_DELAY_S = 120.0  # a member that was unreachable for so long is lost for good
RETRY_DELAY_S = 1.0  # between a failed or unfinished change, of any process, and the next attempt
WAIT_NOTE_DELAY_S = 1.5  # a leaving member that was not removed for so long is reported as waiting
DECIDE_TIMEOUT_S, CARRY_TIMEOUT_S = 3.0, 6.0
CATCH_UP_SPREAD_S = 0.5  # a change waits so long for more than a majority of the new members to catch up
CATCH_UP_TIMEOUT_S = 6.0  # a change waits so long for a majority of them
# Decide (two rounds), open, carry over (a read and its write-back), close: six round trips of 80 ms
CHANGE_DURATION_S = 0.5
# Longest hand-over to a successor that is already up: the notice that a member leaves is lost and sent again
# one gossip tick later, the successor is first heard of then, added JOIN_DELAY_S later, and the core changes
MAX_HANDOVER_S = TICK_S + JOIN_DELAY_S + CHANGE_DURATION_S
REQUEST_TICKS = 2  # a leaving process requests records: 0.5 s and a round trip are less than JOIN_DELAY_S
Message = dict[str, Any]


class NodeIO(Protocol):
    """The I/O that reconfiguration needs."""

    def send_datagram(self, address: str, message: Message) -> None:
        """Send a datagram; it may be lost."""

    def persist(self, persist: PersistRequest) -> None:
        """Sync the values to the disk; `Gatekeeper.synced` is called with the result."""


class GatekeeperContext(Protocol):
    """What reconfiguration needs of its gatekeeper."""

    name: str
    settings: Settings
    started_at: float
    now: float
    ticks: int
    seeds_ctl: list[str]
    replica: Replica | None
    coordinator: Coordinator
    subscriber: Subscriber
    membership: Membership

    @property
    def post_address(self) -> str:
        """``host:port`` at which other processes of the system reach this one."""

    @property
    def io(self) -> NodeIO:
        """The I/O of the process."""

    def trusted(self, now: float) -> bool:
        """Whether this process has a lease at ``now``."""

    def note(self, part: str, text: str, **facts: Any) -> None:
        """Write an entry to the event log and a line to the log."""

    def start(self, now: float, round: Round, then: Callable[[Round], None]) -> None:
        """Drive a round until it is done or failed, then call `then` with it once."""

    def send_to_replica(self, now: float, name: str, address: str, message: Message) -> None:
        """Send a message to a member's replica."""

    def caught_up_members(self, core: Core) -> set[str]:
        """The new members that know every claim on an operation key granted before this core."""


class Change(Enum):
    """Stage of a change of the core, as seen by the process that makes it."""

    NONE = "none"
    DECIDING = "deciding"
    OPENING = "opening: the core of both is written"
    CARRYING = "carrying over"
    CATCHING_UP = "the new members catch up with the claims on operation keys"
    CLOSING = "closing: the new core is written"


class Reconfiguration:
    """The part of one process in choosing the members of the register."""

    def __init__(self, gatekeeper: GatekeeperContext) -> None:
        self.gatekeeper = gatekeeper
        self.change = Change.NONE
        self.bootstrap = Bootstrap(gatekeeper, self._broadcast_core)
        self._failed_at = -1e9  # when the last change failed
        self._catching_up: Core | None = None  # the core whose change waits for its members to catch up
        self._catching_up_since = -1e9
        self._core_since = gatekeeper.started_at  # when the current core came into force here
        self._departed: set[str] = set()  # members known to shut down, or to have shut down, in order
        self._leaving_since: float | None = None  # when this process began to shut down
        self._no_successor_since: float | None = None  # leaving: since when no successor is in sight
        self._waiting: tuple[str, ...] = ()  # members that cannot be removed yet, as last logged
        self._ballot = 0  # number of the highest ballot seen
        self._up_since: dict[str, float] = {}  # processes with a disk, and since when they are up
        self._missing_since: dict[str, float] = {}  # members, and since when they are unreachable
        self.recovery = Recovery(gatekeeper)

    def tick(self, now: float) -> None:
        """Called every 0.25 s: drive the replica, the changes of the core and the leaving of this process."""
        replica = self.gatekeeper.replica
        if replica is not None and replica.votes:
            self.recovery.catch_up(now)
        elif replica is not None:
            self._bring_up_replica(now, replica)
        if replica is not None and (core := self.gatekeeper.subscriber.core) is not None:
            self._update_liveness(now, core)
            self.close_when_caught_up(now)
            if self._is_change_due(now, core):
                self._begin_change(now, core)
            if self._leaving_since is not None:
                self._look_for_successor(now, core, replica)
                if self.gatekeeper.ticks % REQUEST_TICKS == 0:
                    self._request_records(core)
            if not self.may_exit(now):
                self._note_own_wait(now, core)

    def gossip_tick(self, now: float) -> None:
        """Called on every gossip tick, about 1 s: ask the seeds for the core while it is unknown or this
        process has no lease."""
        gatekeeper = self.gatekeeper
        self.bootstrap.gossip_tick(now)
        if gatekeeper.subscriber.core is None or not gatekeeper.trusted(now):
            for seed in gatekeeper.membership.seeds:
                if seed != gatekeeper.post_address:
                    gatekeeper.io.send_datagram(seed, {"t": "core?"})
        if (core := gatekeeper.subscriber.core) is not None and gatekeeper.replica is None:
            self._update_liveness(now, core)

    def core_changed(self) -> None:
        """Another core is in force here: what was gathered for the previous one does not count."""
        self.bootstrap.core_changed()
        self._core_since = self.gatekeeper.now
        if self.change is Change.CATCHING_UP and self.gatekeeper.subscriber.core != self._catching_up:
            self._enter(Change.NONE)  # another process has completed the change
        self.recovery.core_changed()

    # ---- copies, and orderly shutdown ---------------------------------------------------------------

    def has_full_copy(self) -> bool:
        """Whether this process's disk has every acknowledged value: the process is a member of the core in
        force here, and its replica has caught up in that core."""
        gatekeeper, replica = self.gatekeeper, self.gatekeeper.replica
        core = gatekeeper.subscriber.core
        if (
            replica is None
            or core is None
            or gatekeeper.name not in core.all_members
            or not self.recovery.caught_up()
        ):
            return False
        return replica.values.get(CORE) == gatekeeper.subscriber.values[CORE]

    def leave(self, now: float) -> None:
        """This process shuts down: its record announces it, and a process that stays changes the core."""
        gatekeeper = self.gatekeeper
        gatekeeper.now = self._leaving_since = now
        self._waiting = ()
        self._no_successor_since = None
        for address, message in gatekeeper.membership.bye():
            gatekeeper.io.send_datagram(address, message)

    def _request_records(self, core: Core) -> None:
        """A leaving process is no longer sent records: it requests them from the members of the core."""
        gatekeeper = self.gatekeeper
        if gatekeeper.name in core.all_members and not self._can_shrink(core):
            for name, address in core.all_members.items():
                if name != gatekeeper.name:
                    gatekeeper.io.send_datagram(address, gatekeeper.membership.hello())

    def _can_shrink(self, core: Core) -> bool:
        """Whether a member may be removed without a successor."""
        return len(core.members) > min_members(self.gatekeeper.settings.hosts_lost)

    def _look_for_successor(self, now: float, core: Core, replica: Replica) -> None:
        """While leaving, on each tick: note since when no process can or is about to take its seat."""
        if self._may_be_replaced(core, replica):
            self._no_successor_since = None
        elif self._no_successor_since is None:
            self._no_successor_since = now

    def _may_be_replaced(self, core: Core, replica: Replica) -> bool:
        """Whether this process may still be replaced, or its copy is needed: a change is known to be in
        progress; the core can do with one member fewer; a process with a disk is up outside the core; or the
        members that stay are not a majority with every acknowledged value."""
        promised = replica.values.get(PROMISED)
        ballot = promised is not None and promised.version // BALLOTS_PER_EPOCH == core.epoch
        if core.old_members or ballot or self.change is not Change.NONE or self._can_shrink(core):
            return True
        me = self.gatekeeper.membership.own_record
        stay = [record for record in self.gatekeeper.membership.live() if record is not me]
        sound = [r for r in stay if r.name in core.members and r.has_full_copy and r.liveness is Liveness.UP]
        if len(sound) < write_quorum(len(core.members)):
            return True
        return any(r.identity is not None and r.identity["core"] and r.name not in core.members for r in stay)

    def may_exit(self, now: float) -> bool:
        """Whether a leaving process may exit: it is no member, no successor was in sight for as long as a
        hand-over takes, or no member stays."""
        gatekeeper, core = self.gatekeeper, self.gatekeeper.subscriber.core
        if (
            self._leaving_since is None
            or core is None
            or gatekeeper.replica is None
            or gatekeeper.name not in core.all_members
        ):
            return True
        if self._no_successor_since is not None and now - self._no_successor_since >= MAX_HANDOVER_S:
            return True
        records = gatekeeper.membership.records
        return not any(name in records and not records[name].leaving for name in core.all_members)

    def _note_own_wait(self, now: float, core: Core) -> None:
        """Log once that this leaving process waits to be replaced."""
        if self._leaving_since is None or now - self._leaving_since < WAIT_NOTE_DELAY_S or self._waiting:
            return
        self._waiting = (self.gatekeeper.name,)
        seats = {name: seat.name.lower() for name, seat in self._seats(now, core).items()}
        text = "waits for a successor to take its seat before it exits"
        self.gatekeeper.note("register", text, seats=seats, hosts_lost=self.gatekeeper.settings.hosts_lost)

    # ---- changes -----------------------------------------------------------------------------------

    def _enter(self, change: Change) -> None:
        """The only place where the stage of a change is set."""
        self.change = change

    def _abandon_change(self) -> None:
        self._enter(Change.NONE)
        self._failed_at = self.gatekeeper.now

    def _update_liveness(self, now: float, core: Core) -> None:
        """Update which processes with a disk are up and stay, and which members are unreachable or leave."""
        records, me = self.gatekeeper.membership.records, self.gatekeeper.membership.own_record
        stay = {
            record.name
            for record in self.gatekeeper.membership.live()
            if record.identity is not None and record.identity["core"] and record.liveness is Liveness.UP
            if not (record is me and me.leaving)
        }
        self._up_since = {name: self._up_since.get(name, now) for name in stay}
        self._missing_since = {
            name: self._missing_since.get(name, now)
            for name in core.members
            if name not in stay and (name not in records or records[name].liveness is Liveness.UNREACHABLE)
        }
        leaving = {name for name in core.members if name in records and records[name].leaving}
        self._departed = (self._departed | leaving) & (core.members.keys() - stay)

    def _seats(self, now: float, core: Core) -> dict[str, Seat]:
        """State of each member, as far as this process knows."""
        others, me = self.gatekeeper.membership, self.gatekeeper.membership.own_record
        records = others.records

        def seat(name: str) -> Seat:
            if name in self._departed:
                there = name in records and records[name].liveness is not Liveness.UNREACHABLE
                return Seat.LEAVING if there else Seat.LEFT
            if name == me.name:
                return Seat.SOUND if me.has_full_copy else Seat.BEHIND
            if name in self._up_since and others.ticks_overdue(now, records[name]) <= SUSPECT_TICKS:
                return Seat.SOUND if records[name].has_full_copy else Seat.BEHIND
            lost = name in self._missing_since and now - self._missing_since[name] >= REMOVAL_DELAY_S
            return Seat.LOST if lost else Seat.DARK

        return {name: seat(name) for name in sorted(core.members)}

    def coordinator_of(self, core: Core) -> str:
        """The process that makes changes of the core: the owner of the key "core" among the members that are
        up, stay, and report a full copy; "" if there is none."""
        complete = {record.name for record in self.gatekeeper.membership.live() if record.has_full_copy}
        return "".join(
            owners("core", [name for name in core.all_members if name in self._up_since and name in complete])
        )

    def _is_change_due(self, now: float, core: Core) -> bool:
        if self.change is not Change.NONE or now - self._failed_at < RETRY_DELAY_S:
            return False
        if core.old_members and now - self._core_since < RETRY_DELAY_S:
            return False  # the process that started the change continues it
        return self.coordinator_of(core) == self.gatekeeper.name

    def _begin_change(self, now: float, core: Core) -> None:
        if core.old_members:  # an unfinished change, of this or another process
            self._carry(core)
            return
        records = self.gatekeeper.membership.records
        joined = {
            name: records[name].identity["post"]  # type: ignore[index]
            for name, since in self._up_since.items()
            if name not in core.members and now - since >= JOIN_DELAY_S
        }
        seats = self._seats(now, core)
        recent = {name for name in joined if now - self._up_since[name] < NO_GAIN_JOIN_DELAY_S}
        choice = choose_members(core.members, seats, joined, recent, self.gatekeeper.settings.hosts_lost)
        seat_names = {name: seat.name.lower() for name, seat in seats.items()}
        self._note_waits(choice, seat_names)
        proposed = choice.members
        if proposed.keys() == core.members.keys():
            return
        self._enter(Change.DECIDING)
        self._ballot += 1
        facts = {"epoch": core.epoch, "joined": sorted(joined), "seats": seat_names, "ballot": self._ballot}
        self.gatekeeper.note("register", f"proposes a core of {' '.join(sorted(proposed))}", **facts)
        proposal = Core(core.epoch + 1, proposed, core.members).to_value().data
        round = self.gatekeeper.coordinator.decide(now, core, self._ballot, proposal, DECIDE_TIMEOUT_S)
        self.gatekeeper.start(now, round, self._decided)

    def _note_waits(self, choice: Choice, seats: dict[str, str]) -> None:
        if choice.waiting != self._waiting:
            self._waiting = choice.waiting
            if choice.waiting:
                text = f"the seats of {' '.join(choice.waiting)} wait for successors"
                self.gatekeeper.note(
                    "register", text, seats=seats, hosts_lost=self.gatekeeper.settings.hosts_lost
                )

    def _decided(self, round: Round) -> None:
        if round.phase is not Phase.DONE:
            self._ballot = max(self._ballot, round.highest_ballot)
            self._abandon_change()
            return
        value = Value(round.core.epoch + 1, "", round.proposal)
        self._enter(Change.OPENING)
        self._write(Core.from_value(value), value, self._opened)

    def _write(self, core: Core, value: Value, then: Callable[[Round], None]) -> None:
        gatekeeper = self.gatekeeper
        gatekeeper.start(
            gatekeeper.now,
            gatekeeper.coordinator.write(gatekeeper.now, core, {CORE: value}, CARRY_TIMEOUT_S),
            then,
        )

    def _opened(self, round: Round) -> None:
        if round.phase is Phase.DONE:
            self._carry(round.core)
        else:
            self._abandon_change()

    def _carry(self, core: Core) -> None:
        """Read all values from majorities of both member sets, and write back those that they lack."""
        self._enter(Change.CARRYING)
        gatekeeper = self.gatekeeper
        gatekeeper.start(
            gatekeeper.now,
            gatekeeper.coordinator.read(gatekeeper.now, core, None, CARRY_TIMEOUT_S),
            self._carried,
        )

    def _carried(self, round: Round) -> None:
        core = round.core
        if round.phase is not Phase.DONE or not core.old_members:
            self._abandon_change()
            return
        self._catching_up, self._catching_up_since = core, self.gatekeeper.now
        self._enter(Change.CATCHING_UP)
        self.close_when_caught_up(self.gatekeeper.now)

    def close_when_caught_up(self, now: float) -> None:
        """Complete a change whose values are carried over, once the new members have caught up."""
        core = self._catching_up
        if self.change is not Change.CATCHING_UP or core is None or not self._is_caught_up(now, core):
            return
        self._enter(Change.CLOSING)
        self._write(core, Core(core.epoch + 1, core.members).to_value(), self._closed)

    def _is_caught_up(self, now: float, core: Core) -> bool:
        """Whether as many new members have caught up as the change waits for. None of them grants a claim
        before it has, so this decides only whether claims are refused for a while."""
        waited = now - self._catching_up_since
        if waited >= CATCH_UP_TIMEOUT_S:
            return True
        caught_up = self.gatekeeper.caught_up_members(core)
        if not Core(core.epoch, core.members).is_write_quorum(caught_up):
            return False
        up = core.members.keys() & self._up_since.keys()
        return up <= caught_up or waited >= CATCH_UP_SPREAD_S

    def _closed(self, round: Round) -> None:
        if round.phase is Phase.DONE:
            self._enter(Change.NONE)
            self._broadcast_core(round.values[CORE])
        else:
            self._abandon_change()

    def _broadcast_core(self, core: Value) -> None:
        for record in self.gatekeeper.membership.others():
            if record.identity is not None:
                self.gatekeeper.io.send_datagram(record.identity["post"], {"t": "core", "v": core.to_wire()})

    # ---- the first start, and a lost disk ------------------------------------------------------------

    def _bring_up_replica(self, now: float, replica: Replica) -> None:
        """Bring a replica to vote: bootstrap the core, or recover the values of a lost disk."""
        gatekeeper, core = self.gatekeeper, self.gatekeeper.subscriber.core
        if replica.state is ReplicaState.NEW and core is None:
            self.bootstrap.tick(now)
        elif core is not None and gatekeeper.name in core.all_members:
            if replica.state is ReplicaState.NEW:  # it never answered a call: it has only missed values
                value = gatekeeper.subscriber.values[CORE]
                gatekeeper.io.persist(PersistRequest({CORE: value}, (SELF, {"t": "stored", "r": ""})))
                return
            self.recovery.tick(now, core)
