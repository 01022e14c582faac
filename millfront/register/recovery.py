"""Recovery: how a replica that lost its disk votes again, and how one that was unreachable catches up.

No I/O, no clock.

A *recovering* replica learns from R others which incarnations it has had, announces a new one to R others,
and takes over the values that these held when they learnt of it, or newer ones. They send short values whole,
and the stamps of long ones; the long ones are fetched as by any subscriber, as deltas or chunks, and checked
by their digests before anything is synced. Until then the replica answers no call and owns no key. A voting
replica that was unreachable lacks values written meanwhile: it syncs those that its process received as a
subscriber.

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
RESEND_TICKS = 3  # between two requests to the others
SYNC_RETRY_TICKS = 16  # a sync that has not completed by then, 4 s, is requested again
MAX_LAG_TICKS = 4  # a value received longer ago, 1 s, is no longer being stored here by a coordinator
Message = dict[str, Any]


class NodeIO(Protocol):
    """The I/O that a recovery needs."""

    def persist(self, persist: PersistRequest) -> None:
        """Sync the values to the disk; `Gatekeeper.synced` is called with the result."""


class GatekeeperContext(Protocol):
    """What a recovery needs of its gatekeeper."""

    name: str
    coordinator: Coordinator
    replica: Replica | None
    subscriber: "Subscriber"

    @property
    def io(self) -> NodeIO:
        """The I/O of the process."""

    def note(self, part: str, text: str, **facts: Any) -> None:
        """Write an entry to the event log and a line to the log."""

    def send_to_replica(self, now: float, name: str, address: str, message: Message) -> None:
        """Send a message to a member's replica."""


class Stage(Enum):
    """Stage of a recovery."""

    LEARNING = "learning the earlier incarnations"
    ANNOUNCING = "announcing the new incarnation"
    FETCHING = "fetching long values"
    SYNCING = "syncing the values of the others"


class Recovery:
    """The recovery of one replica. It starts over when the core changes."""

    def __init__(self, gatekeeper: GatekeeperContext) -> None:
        self.gatekeeper = gatekeeper
        self._ticks_behind = 0  # ticks for which a voting replica lacked values that its process has
        self._complete = False
        self._enter_stage(Stage.LEARNING)

    def _enter_stage(
        self, stage: Stage, incarnation: int = 0, values: dict[str, Value] | None = None
    ) -> None:
        """Enter a stage; what was gathered in the previous one is dropped."""
        self.stage, self.incarnation = stage, incarnation
        self._ticks = 0  # in this stage
        self._answers: dict[str, tuple[dict[str, Value], dict[str, Offer]]] = {}  # by sender
        self._short_values = values or {}  # the newest of those that R others sent whole
        self._long_stamps: dict[str, Stamp] = {}  # the newest stamps of the values that they did not send
        self._sources: list[str] = []

    def core_changed(self) -> None:
        """Answers from members of the previous core do not count in the new one."""
        self._enter_stage(Stage.LEARNING)

    # ---- a replica that recovers --------------------------------------------------------------------

    def tick(self, now: float, core: Core) -> None:
        """Called every 0.25 s while the replica recovers."""
        gatekeeper, elapsed = self.gatekeeper, self._ticks
        self._ticks += 1
        match self.stage:
            case Stage.LEARNING | Stage.ANNOUNCING if elapsed % RESEND_TICKS == 0:
                for name, address in core.all_members.items():
                    if name != gatekeeper.name:
                        gatekeeper.send_to_replica(now, name, address, self._request(core))
            case Stage.FETCHING:
                missing = self._missing_long_keys()
                if not missing:
                    self._sync()
                elif elapsed % RESEND_TICKS == 0:  # one source after the other; keys in transfer are left out
                    source = self._sources[elapsed // RESEND_TICKS % len(self._sources)]
                    for name, message in gatekeeper.subscriber.fetch(now, source, missing):
                        if name in core.all_members:
                            gatekeeper.send_to_replica(now, name, core.all_members[name], message)
            case Stage.SYNCING if elapsed >= SYNC_RETRY_TICKS:
                self._sync()

    def _request(self, core: Core) -> Message:
        name = self.gatekeeper.name
        if self.stage is Stage.LEARNING:
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
        """Reference of requests, unique to this core, this step and this incarnation of the process."""
        step = "lives" if self.stage is Stage.LEARNING else "heir"
        return f"{step} {core.epoch} {self.incarnation} {self.gatekeeper.coordinator.name}"

    def handle_answer(self, now: float, sender: str, message: Message) -> None:
        """A voting replica sent the incarnations it knows or, having synced the new one, its values."""
        gatekeeper = self.gatekeeper
        replica, core = gatekeeper.replica, gatekeeper.subscriber.core
        if replica is None or core is None or replica.state is not ReplicaState.RECOVERING:
            return
        if self.stage not in (Stage.LEARNING, Stage.ANNOUNCING) or message["r"] != self._ref(core):
            return
        if sender not in core.all_members:
            return
        inline = {key: Value.from_wire(value) for key, value in message["v"].items()}
        self._answers[sender] = (
            inline,
            {key: Offer.from_wire(offer) for key, offer in message.get("d", {}).items()},
        )
        if not core.is_read_quorum(self._answers):
            return
        newest: dict[str, Value] = {}
        long_stamps: dict[str, Stamp] = {}
        for values, offers in self._answers.values():
            for key, value in values.items():
                newest[key] = max(newest.get(key, value), value)
            for key, offer in offers.items():
                long_stamps[key] = max(long_stamps.get(key, offer.stamp), offer.stamp)
        if self.stage is Stage.LEARNING:
            previous = newest.get(INCARNATION_PREFIX + gatekeeper.name)
            self._enter_stage(Stage.ANNOUNCING, (previous.version if previous else 0) + 1)
            return
        sources = sorted(self._answers)
        self._enter_stage(Stage.FETCHING, self.incarnation, newest)
        self._long_stamps, self._sources = long_stamps, sources
        gatekeeper.note(
            "register",
            f"recovers {len(newest | long_stamps)} values",
            life=self.incarnation,
            long=len(long_stamps),
        )
        self.tick(now, core)

    def _missing_long_keys(self) -> list[str]:
        """Keys of long values that are not here yet in the version the others have, or a newer one."""
        held = self.gatekeeper.subscriber.values
        return [
            k
            for k, stamp in self._long_stamps.items()
            if k not in held or (held[k].version, held[k].tie) < stamp
        ]

    def _sync(self) -> None:
        """All values of the others are here: sync them, then vote (`Gatekeeper.synced`)."""
        held = self.gatekeeper.subscriber.values
        values = dict(self._short_values)
        for key in self._long_stamps:
            values[key] = max(values.get(key, held[key]), held[key])
        if self.stage is Stage.FETCHING:
            long_stamps = self._long_stamps
            self._enter_stage(Stage.SYNCING, self.incarnation, values)
            self._long_stamps = long_stamps
        self._ticks = 0
        self.gatekeeper.io.persist(PersistRequest(values, (SELF, {"t": "recovered", "r": ""})))

    # ---- a replica that votes -----------------------------------------------------------------------

    def catch_up(self, now: float) -> None:
        """Called every 0.25 s while the replica votes: sync values that it missed and its process received.
        An additional copy cannot harm an acknowledged value; the core is excluded (the fence)."""
        missing = self.missing_values()
        self._ticks_behind = self._ticks_behind + 1 if missing else 0
        overdue = self._ticks_behind - MAX_LAG_TICKS
        if overdue == 0:
            self.gatekeeper.note("register", f"catches up with {len(missing)} values")
        if overdue >= 0 and overdue % SYNC_RETRY_TICKS == 0:
            self.gatekeeper.io.persist(PersistRequest(missing, (SELF, {"t": "stored", "r": ""})))
        if now >= self.gatekeeper.subscriber.lease_until() or overdue >= 0:
            self._complete = False
        elif not missing:
            self._complete = True

    def missing_values(self) -> dict[str, Value]:
        """Values, by key, that this process holds as a subscriber and its replica lacks or holds older."""
        replica = self.gatekeeper.replica
        if replica is None:
            return {}
        held = replica.values
        subscribed = self.gatekeeper.subscriber.values.items()
        return {k: v for k, v in subscribed if k != CORE and (k not in held or held[k] < v)}

    def caught_up(self) -> bool:
        """Whether this replica may own keys: it votes, its process has a lease (nothing newer was
        acknowledged a moment ago), and its disk has had all values since and is less than 1 s behind now."""
        replica = self.gatekeeper.replica
        return replica is not None and replica.votes and self._complete
