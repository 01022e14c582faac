"""Recovery: how a replica that lost its disk comes to vote again, and how one that was away catches up. No
I/O, no clock.

A *recovering* replica learns from R others which of its incarnations (lives) there were, makes a new one
known to R others, and takes over what these held when they learnt of it, or newer. These tell short values
whole and long ones by their stamps; the long ones come as to any subscriber, as deltas or chunks, and each is
whole by its digest before anything is synced. Until then the replica answers nobody and owns no key. A
replica that votes and was away lacks what was written meanwhile: it syncs what its process, which follows,
has learnt.

Proofs: docs/design/system.md, "Lives", and docs/design/catching-up.md. Times are seconds.
"""

from enum import Enum
from typing import TYPE_CHECKING, Any, Protocol

from millfront.register.chunks import Offer, Stamp
from millfront.register.coordinator import Coordinator
from millfront.register.replica import PersistRequest, Replica, ReplicaState
from millfront.register.values import CORE, INCARNATION_PREFIX, Core, Value

if TYPE_CHECKING:
    from millfront.control.delivery import Subscriber

SELF = "self"
RESEND_TICKS = 3  # between two times that the others are asked
SYNC_RETRY_TICKS = 16  # a disk that has not taken it by then, 4 s, is asked again
MAX_LAG_TICKS = 4  # what was learnt so long ago, 1 s, no coordinator is about to store here
Message = dict[str, Any]


class NodeIO(Protocol):
    """What a recovery asks of its process's I/O."""

    def persist(self, persist: PersistRequest) -> None:
        """Sync it; the process is told when that is done."""


class GatekeeperContext(Protocol):
    """What a recovery asks of the process that it belongs to."""

    name: str
    coordinator: Coordinator
    replica: Replica | None
    subscriber: "Subscriber"

    @property
    def io(self) -> NodeIO:
        """The process's I/O."""

    def note(self, part: str, text: str, **facts: Any) -> None:
        """Write an entry to the event log and a line to the log."""

    def send_to_replica(self, now: float, name: str, address: str, message: Message) -> None:
        """Send a message to a member's replica."""


class Stage(Enum):
    """How far a recovery is."""

    LEARNING_INCARNATIONS = "learning which lives there were"
    ANNOUNCING = "making the new life known"
    FETCHING = "fetching long values"
    SYNCING = "syncing what others held"


class Recovery:
    """One replica's. It begins anew with another core."""

    def __init__(self, gatekeeper: GatekeeperContext) -> None:
        self.gatekeeper = gatekeeper
        self._ticks_behind = 0  # beats for which a voting replica lacked what its process has
        self._complete = False
        self._enter_stage(Stage.LEARNING_INCARNATIONS)

    def _enter_stage(self, stage: Stage, life: int = 0, found: dict[str, Value] | None = None) -> None:
        """The one change of state."""
        self.stage, self.incarnation = stage, life
        self._ticks = 0  # of this stage
        self._answers: dict[str, tuple[dict[str, Value], dict[str, Offer]]] = {}  # by whom
        self._short_values = found or {}  # the highest that R have told whole
        self._long_stamps: dict[str, Stamp] = {}  # the highest that they have told by its stamp
        self._sources: list[str] = []

    def core_changed(self) -> None:
        """What others of another core have said does not count in this one."""
        self._enter_stage(Stage.LEARNING_INCARNATIONS)

    # ---- a replica that recovers --------------------------------------------------------------------

    def tick(self, now: float, core: Core) -> None:
        """Every beat while the replica recovers."""
        gatekeeper, passed = self.gatekeeper, self._ticks
        self._ticks += 1
        match self.stage:
            case Stage.LEARNING_INCARNATIONS | Stage.ANNOUNCING if passed % RESEND_TICKS == 0:
                for name, address in core.all_members.items():
                    if name != gatekeeper.name:
                        gatekeeper.send_to_replica(now, name, address, self._request(core))
            case Stage.FETCHING:
                lacking = self._missing_long_keys()
                if not lacking:
                    self._sync()
                elif passed % RESEND_TICKS == 0:  # one after the other; what is on its way is not asked for
                    teller = self._sources[passed // RESEND_TICKS % len(self._sources)]
                    for name, message in gatekeeper.subscriber.fetch(now, teller, lacking):
                        if name in core.all_members:
                            gatekeeper.send_to_replica(now, name, core.all_members[name], message)
            case Stage.SYNCING if passed >= SYNC_RETRY_TICKS:
                self._sync()

    def _request(self, core: Core) -> Message:
        name = self.gatekeeper.name
        if self.stage is Stage.LEARNING_INCARNATIONS:
            return {"t": "fetch", "r": self._ref(core), "e": core.epoch, "k": [INCARNATION_PREFIX + name]}
        return {
            "t": "recover",
            "r": self._ref(core),
            "e": core.epoch,
            "n": name,
            "l": self.incarnation,
            "h": {},
        }

    def _ref(self, core: Core) -> str:
        """Of this core, this step and this life of the process alone."""
        step = "lives" if self.stage is Stage.LEARNING_INCARNATIONS else "heir"
        return f"{step} {core.epoch} {self.incarnation} {self.gatekeeper.coordinator.name}"

    def handle_answer(self, now: float, sender: str, message: Message) -> None:
        """A voting replica has told which lives there were, or, the new one synced, what it has."""
        gatekeeper = self.gatekeeper
        replica, core = gatekeeper.replica, gatekeeper.subscriber.core
        if replica is None or core is None or replica.state is not ReplicaState.RECOVERING:
            return
        if self.stage not in (Stage.LEARNING_INCARNATIONS, Stage.ANNOUNCING) or message["r"] != self._ref(
            core
        ):
            return
        if sender not in core.all_members:
            return
        whole = {key: Value.from_wire(value) for key, value in message["v"].items()}
        self._answers[sender] = (
            whole,
            {key: Offer.from_wire(offer) for key, offer in message.get("d", {}).items()},
        )
        if not core.is_read_quorum(self._answers):
            return
        best: dict[str, Value] = {}
        long: dict[str, Stamp] = {}
        for values, offers in self._answers.values():
            for key, value in values.items():
                best[key] = max(best.get(key, value), value)
            for key, offer in offers.items():
                long[key] = max(long.get(key, offer.stamp), offer.stamp)
        if self.stage is Stage.LEARNING_INCARNATIONS:
            before = best.get(INCARNATION_PREFIX + gatekeeper.name)
            self._enter_stage(Stage.ANNOUNCING, (before.version if before else 0) + 1)
            return
        tellers = sorted(self._answers)
        self._enter_stage(Stage.FETCHING, self.incarnation, best)
        self._long_stamps, self._sources = long, tellers
        gatekeeper.note(
            "register", f"recovers {len(best | long)} values", life=self.incarnation, long=len(long)
        )
        self.tick(now, core)

    def _missing_long_keys(self) -> list[str]:
        """Long values that are not here yet, as told or newer."""
        held = self.gatekeeper.subscriber.values
        return [
            k
            for k, told in self._long_stamps.items()
            if k not in held or (held[k].version, held[k].tie) < told
        ]

    def _sync(self) -> None:
        """All that was told is here: keep it, and then vote (`Gatekeeper.synced`)."""
        held = self.gatekeeper.subscriber.values
        found = dict(self._short_values)
        for key in self._long_stamps:
            found[key] = max(found.get(key, held[key]), held[key])
        if self.stage is Stage.FETCHING:
            long = self._long_stamps
            self._enter_stage(Stage.SYNCING, self.incarnation, found)
            self._long_stamps = long
        self._ticks = 0
        self.gatekeeper.io.persist(PersistRequest(found, (SELF, {"t": "recovered", "r": ""})))

    # ---- a replica that votes -----------------------------------------------------------------------

    def catch_up(self, now: float) -> None:
        """Every beat while the replica votes: what it missed while it was away, its process has learnt. A
        copy more takes nothing away from what was acknowledged; the core has a way of its own (the fence)."""
        missed = self.missing_values()
        self._ticks_behind = self._ticks_behind + 1 if missed else 0
        late = self._ticks_behind - MAX_LAG_TICKS
        if late == 0:
            self.gatekeeper.note("register", f"catches up with {len(missed)} values")
        if late >= 0 and late % SYNC_RETRY_TICKS == 0:
            self.gatekeeper.io.persist(PersistRequest(missed, (SELF, {"t": "stored", "r": ""})))
        if now >= self.gatekeeper.subscriber.lease_until() or late >= 0:
            self._complete = False
        elif not missed:
            self._complete = True

    def missing_values(self) -> dict[str, Value]:
        """The values, by key, that this process holds as a subscriber and its replica lacks or has older."""
        replica = self.gatekeeper.replica
        if replica is None:
            return {}
        held = replica.values
        followed = self.gatekeeper.subscriber.values.items()
        return {k: v for k, v in followed if k != CORE and (k not in held or held[k] < v)}

    def caught_up(self) -> bool:
        """Whether this replica may hold duties: it votes, its process has a lease (nothing newer was
        acknowledged a moment ago), and since then the disk has had all, and is no second late now."""
        replica = self.gatekeeper.replica
        return replica is not None and replica.votes and self._complete
