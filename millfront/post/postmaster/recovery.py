"""Recovery: how a keeper that lost its disk comes to vote again. No I/O, no clock.

It learns from R others which of its lives there were, makes a new one known to R others, and takes over what
these held when they learnt of it. Why that is enough: docs/design/system.md, "Lives". Times are seconds.
"""

from enum import Enum
from typing import Any, Protocol

from millfront.post.postmaster.keeper import Keeper, Persist, Voting
from millfront.post.postmaster.rounds import Follower
from millfront.post.postmaster.values import LIFE, Core, Value

SELF = "self"
AGAIN_BEATS = 3  # between two times that the others are asked
Message = dict[str, Any]


class Doors(Protocol):
    def persist(self, persist: Persist) -> None: ...


class Desk(Protocol):
    """What a recovery asks of the process that it belongs to."""

    name: str
    beats: int
    keeper: Keeper | None
    follower: Follower

    @property
    def doors(self) -> Doors: ...
    def note(self, part: str, text: str, **facts: Any) -> None: ...
    def to_keeper(self, now: float, name: str, address: str, message: Message) -> None: ...


class Stage(Enum):
    """How far a recovery is."""

    LIVES = "learning which lives there were"
    HEIR = "making the new life known"
    KEEPING = "syncing what others held"


class Recovery:
    """One keeper's. It begins anew with another core."""

    def __init__(self, office: Desk) -> None:
        self.office = office
        self._turn(Stage.LIVES)

    def _turn(self, stage: Stage, life: int = 0) -> None:
        """The one change of state."""
        self.stage, self.life = stage, life
        self._told: dict[str, dict[str, Value]] = {}  # by whom

    def core_changed(self) -> None:
        """What others of another core have said does not count in this one."""
        self._turn(Stage.LIVES)

    def beat(self, now: float, core: Core) -> None:
        """Every beat while the keeper recovers: ask those who vote."""
        office = self.office
        if office.beats % AGAIN_BEATS:
            return
        for name, address in core.all.items():
            if name != office.name:
                message: Message = {"t": "fetch", "r": self._ref(core)}
                if self.stage is not Stage.LIVES:
                    message = {"t": "recover", "r": self._ref(core), "n": office.name, "l": self.life}
                office.to_keeper(now, name, address, message | {"e": core.epoch})

    def _ref(self, core: Core) -> str:
        return f"lives {core.epoch}" if self.stage is Stage.LIVES else f"heir {core.epoch} {self.life}"

    def take(self, sender: str, message: Message) -> None:
        """A voting keeper has told what it has."""
        office = self.office
        keeper, core = office.keeper, office.follower.core
        if keeper is None or core is None or keeper.state is not Voting.RECOVERING:
            return
        if message["r"] != self._ref(core):
            return
        self._told[sender] = {key: Value.of(value) for key, value in message["v"].items()}
        if not core.covers(self._told):
            return
        best: dict[str, Value] = {}
        for values in self._told.values():
            for key, value in values.items():
                if key not in best or value > best[key]:
                    best[key] = value
        if self.stage is Stage.LIVES:
            before = best.get(LIFE + office.name)
            self._turn(Stage.HEIR, (before.version if before else 0) + 1)
            return
        self._turn(Stage.KEEPING, self.life)
        office.note("registry", f"recovers {len(best)} values", life=self.life)
        office.doors.persist(Persist(best, (SELF, {"t": "recovered", "r": ""})))
