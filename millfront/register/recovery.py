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
from millfront.register.replica import Persist, Replica, Voting
from millfront.register.values import CORE, LIFE, Core, Value

if TYPE_CHECKING:
    from millfront.control.delivery import Subscriber

SELF = "self"
AGAIN_BEATS = 3  # between two times that the others are asked
SYNC_BEATS = 16  # a disk that has not taken it by then, 4 s, is asked again
LAG_BEATS = 4  # what was learnt so long ago, 1 s, no coordinator is about to store here
Message = dict[str, Any]


class NodeIO(Protocol):
    """What a recovery asks of its process's I/O."""

    def persist(self, persist: Persist) -> None:
        """Sync it; the process is told when that is done."""


class Desk(Protocol):
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

    def to_replica(self, now: float, name: str, address: str, message: Message) -> None:
        """Send a message to a member's replica."""


class Stage(Enum):
    """How far a recovery is."""

    LIVES = "learning which lives there were"
    HEIR = "making the new life known"
    FETCHING = "fetching long values"
    KEEPING = "syncing what others held"


class Recovery:
    """One replica's. It begins anew with another core."""

    def __init__(self, gatekeeper: Desk) -> None:
        self.gatekeeper = gatekeeper
        self._behind = 0  # beats for which a voting replica lacked what its process has
        self._whole = False
        self._turn(Stage.LIVES)

    def _turn(self, stage: Stage, life: int = 0, found: dict[str, Value] | None = None) -> None:
        """The one change of state."""
        self.stage, self.life = stage, life
        self._beats = 0  # of this stage
        self._told: dict[str, tuple[dict[str, Value], dict[str, Offer]]] = {}  # by whom
        self._found = found or {}  # the highest that R have told whole
        self._long: dict[str, Stamp] = {}  # the highest that they have told by its stamp
        self._tellers: list[str] = []

    def core_changed(self) -> None:
        """What others of another core have said does not count in this one."""
        self._turn(Stage.LIVES)

    # ---- a replica that recovers --------------------------------------------------------------------

    def beat(self, now: float, core: Core) -> None:
        """Every beat while the replica recovers."""
        gatekeeper, passed = self.gatekeeper, self._beats
        self._beats += 1
        match self.stage:
            case Stage.LIVES | Stage.HEIR if passed % AGAIN_BEATS == 0:
                for name, address in core.all.items():
                    if name != gatekeeper.name:
                        gatekeeper.to_replica(now, name, address, self._question(core))
            case Stage.FETCHING:
                lacking = self._lacking()
                if not lacking:
                    self._sync()
                elif passed % AGAIN_BEATS == 0:  # one after the other; what is on its way is not asked for
                    teller = self._tellers[passed // AGAIN_BEATS % len(self._tellers)]
                    for name, message in gatekeeper.subscriber.fetch(now, teller, lacking):
                        if name in core.all:
                            gatekeeper.to_replica(now, name, core.all[name], message)
            case Stage.KEEPING if passed >= SYNC_BEATS:
                self._sync()

    def _question(self, core: Core) -> Message:
        name = self.gatekeeper.name
        if self.stage is Stage.LIVES:
            return {"t": "fetch", "r": self._ref(core), "e": core.epoch, "k": [LIFE + name]}
        return {"t": "recover", "r": self._ref(core), "e": core.epoch, "n": name, "l": self.life, "h": {}}

    def _ref(self, core: Core) -> str:
        """Of this core, this step and this life of the process alone."""
        step = "lives" if self.stage is Stage.LIVES else "heir"
        return f"{step} {core.epoch} {self.life} {self.gatekeeper.coordinator.name}"

    def take(self, now: float, sender: str, message: Message) -> None:
        """A voting replica has told which lives there were, or, the new one synced, what it has."""
        gatekeeper = self.gatekeeper
        replica, core = gatekeeper.replica, gatekeeper.subscriber.core
        if replica is None or core is None or replica.state is not Voting.RECOVERING:
            return
        if self.stage not in (Stage.LIVES, Stage.HEIR) or message["r"] != self._ref(core):
            return
        if sender not in core.all:
            return
        whole = {key: Value.of(value) for key, value in message["v"].items()}
        self._told[sender] = whole, {key: Offer.of(offer) for key, offer in message.get("d", {}).items()}
        if not core.covers(self._told):
            return
        best: dict[str, Value] = {}
        long: dict[str, Stamp] = {}
        for values, offers in self._told.values():
            for key, value in values.items():
                best[key] = max(best.get(key, value), value)
            for key, offer in offers.items():
                long[key] = max(long.get(key, offer.stamp), offer.stamp)
        if self.stage is Stage.LIVES:
            before = best.get(LIFE + gatekeeper.name)
            self._turn(Stage.HEIR, (before.version if before else 0) + 1)
            return
        tellers = sorted(self._told)
        self._turn(Stage.FETCHING, self.life, best)
        self._long, self._tellers = long, tellers
        gatekeeper.note("register", f"recovers {len(best | long)} values", life=self.life, long=len(long))
        self.beat(now, core)

    def _lacking(self) -> list[str]:
        """Long values that are not here yet, as told or newer."""
        held = self.gatekeeper.subscriber.values
        return [k for k, told in self._long.items() if k not in held or (held[k].version, held[k].tie) < told]

    def _sync(self) -> None:
        """All that was told is here: keep it, and then vote (`Gatekeeper.synced`)."""
        held = self.gatekeeper.subscriber.values
        found = dict(self._found)
        for key in self._long:
            found[key] = max(found.get(key, held[key]), held[key])
        if self.stage is Stage.FETCHING:
            long = self._long
            self._turn(Stage.KEEPING, self.life, found)
            self._long = long
        self._beats = 0
        self.gatekeeper.io.persist(Persist(found, (SELF, {"t": "recovered", "r": ""})))

    # ---- a replica that votes -----------------------------------------------------------------------

    def keep_up(self, now: float) -> None:
        """Every beat while the replica votes: what it missed while it was away, its process has learnt. A
        copy more takes nothing away from what was acknowledged; the core has a way of its own (the fence)."""
        missed = self.missed()
        self._behind = self._behind + 1 if missed else 0
        late = self._behind - LAG_BEATS
        if late == 0:
            self.gatekeeper.note("register", f"catches up with {len(missed)} values")
        if late >= 0 and late % SYNC_BEATS == 0:
            self.gatekeeper.io.persist(Persist(missed, (SELF, {"t": "stored", "r": ""})))
        if now >= self.gatekeeper.subscriber.lease_until() or late >= 0:
            self._whole = False
        elif not missed:
            self._whole = True

    def missed(self) -> dict[str, Value]:
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
        return replica is not None and replica.votes and self._whole
