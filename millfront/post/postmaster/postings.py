"""Postings (reconfiguration): who keeps the registry. No I/O, no clock.

At the first start the core is *founded* over all processes with a disk. Later it *changes* through the
registry itself: a machine with a disk that has joined is posted to it, one that is lost for good is relieved.
A change goes through a core that holds both sets, in which both must agree to everything:

    core e ──decide──> core e+1 (new, old) ──carry over──> core e+2 (new)

What e+1 is, is decided by a ballot over a majority of e, so that there is one; e+2 follows from e+1, so that
whoever finds the one may bring about the other. Between them all that is held is read from, and written back
to, majorities of both. The derivation is in docs/design/registered-mail.md.

A keeper that lost its disk *recovers* (recovery.py). Times are seconds on the caller's clock.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from millfront.post.neighbours import Neighbours, Standing, holders
from millfront.post.postmaster.clerk import Clerk, Phase, Round
from millfront.post.postmaster.keeper import Keeper, Persist, Voting
from millfront.post.postmaster.recovery import SELF, Recovery
from millfront.post.postmaster.rounds import Follower
from millfront.post.postmaster.values import CORE, FOUNDED, Core, Value

SETTLED_S = 1.2  # the roster unchanged for so long, the core is founded
FOUNDING_S = 1.6  # the least time from the start: all start together, each in its own time
PATIENT_S = 4.0  # the same while a seed is missing
AGAIN_S = 0.7
JOINED_S = 5.0  # a machine with a disk that was heard of for so long is posted
RELIEVED_S = 120.0  # a member that was not heard of for so long is lost for good
BETWEEN_S = 3.0  # two tries of a change
DECIDE_S, CARRY_S = 3.0, 6.0
Message = dict[str, Any]


class Doors(Protocol):
    """What postings ask of their process's I/O."""

    def datagram(self, address: str, message: Message) -> None: ...
    def persist(self, persist: Persist) -> None: ...


class Desk(Protocol):
    """What postings ask of the process that they belong to."""

    name: str
    born: float
    now: float
    beats: int
    seeds_ctl: list[str]
    keeper: Keeper | None
    clerk: Clerk
    follower: Follower
    neighbours: Neighbours

    @property
    def post_address(self) -> str: ...
    @property
    def doors(self) -> Doors: ...
    def trusted(self, now: float) -> bool: ...
    def note(self, part: str, text: str, **facts: Any) -> None: ...
    def start(self, now: float, round: Round, then: Callable[[Round], None]) -> None: ...
    def to_keeper(self, now: float, name: str, address: str, message: Message) -> None: ...


class Change(Enum):
    """How far a change of the core has come, as its coordinator sees it."""

    NONE = "none"
    DECIDING = "deciding"
    OPENING = "opening: the core of both is written"
    CARRYING = "carrying over"
    CLOSING = "closing: the new core is written"


@dataclass(slots=True)
class Founding:
    core: Value
    members: dict[str, str]
    agreed: set[str]
    sent: float = -1e9


def wanted(members: dict[str, str], joined: dict[str, str], lost: set[str]) -> dict[str, str] | None:
    """Who is to keep the registry, or None where nothing is to change. Lost ones are relieved only as far as
    a majority of the present core stays: without one nothing could be decided.

    >>> wanted({"a": "1", "b": "2", "c": "3"}, {"d": "4"}, {"a"})
    {'b': '2', 'c': '3', 'd': '4'}
    >>> wanted({"a": "1", "b": "2"}, {}, {"a"}), wanted({"a": "1"}, {"a": "1"}, set())
    (None, None)
    """
    stay = {name: address for name, address in members.items() if name not in lost}
    if not Core(0, members).majority(stay):
        return None
    found = stay | {name: address for name, address in joined.items() if name not in lost}
    return found if found.keys() != members.keys() else None


class Postings:
    """One process's part in who keeps the registry."""

    def __init__(self, office: Desk) -> None:
        self.office = office
        self.change = Change.NONE
        self.founding: Founding | None = None
        self._tried = -1e9
        self._number = 0  # of the highest ballot seen
        self._known: dict[str, float] = {}  # processes with a disk, and since when they are heard of
        self._missed: dict[str, float] = {}  # members, and since when they are not
        self._roster: frozenset[str] = frozenset()
        self._roster_since = office.born
        self.recovery = Recovery(office)

    def beat(self, now: float) -> None:
        """Every beat of the office."""
        keeper = self.office.keeper
        if keeper is not None and keeper.votes:
            self.recovery.keep_up(now)
        elif keeper is not None:
            self._grow_up(now, keeper)
        self.office.neighbours.me.keeps = self.recovery.caught_up()

    def tick(self, now: float) -> None:
        """Every tick of the office: look at who there is; change the core where that is this one's duty."""
        office = self.office
        roster = frozenset(card.name for card in office.neighbours.others() if card.still is not None)
        if roster != self._roster:
            self._roster, self._roster_since = roster, now
        if office.follower.core is None or not office.trusted(now):
            for seed in office.neighbours.seeds:
                if seed != office.post_address:
                    office.doors.datagram(seed, {"t": "core?"})
        if (core := office.follower.core) is not None:
            self._look(now, core)
            if self._due(now, core):
                self._tried = now
                self._begin(now, core)

    def core_changed(self) -> None:
        """Another core is in force here: what was gathered for the one before is not for this one."""
        self.founding = None
        self.recovery.core_changed()

    # ---- changes -----------------------------------------------------------------------------------

    def _turn(self, change: Change) -> None:
        """The one change of state of a change."""
        self.change = change

    def _look(self, now: float, core: Core) -> None:
        """Who with a disk is heard of since when, and which members are not."""
        cards = self.office.neighbours.cards
        up = {
            card.name: card.still["post"]
            for card in self.office.neighbours.live()
            if card.still is not None and card.still["core"] and card.standing is Standing.UP
        }
        self._known = {name: self._known.get(name, now) for name in up}
        self._missed = {
            name: self._missed.get(name, now)
            for name in core.members
            if name not in up and (name not in cards or cards[name].standing is Standing.LOST)
        }

    def holder(self, core: Core) -> str:
        """Whose duty the core's changes are: cut by key over the members that are up and say that their
        keepers have caught up; nobody's where there is none."""
        keep = {card.name for card in self.office.neighbours.live() if card.keeps}
        return "".join(holders("core", [name for name in core.all if name in self._known and name in keep]))

    def _due(self, now: float, core: Core) -> bool:
        mine = self.holder(core) == self.office.name
        return mine and self.change is Change.NONE and now - self._tried >= BETWEEN_S

    def _begin(self, now: float, core: Core) -> None:
        if core.old:  # somebody's, perhaps this one's, that is not whole yet
            self._carry(core)
            return
        cards = self.office.neighbours.cards
        joined = {
            name: cards[name].still["post"]  # type: ignore[index]
            for name, since in self._known.items()
            if name not in core.members and now - since >= JOINED_S
        }
        lost = {name for name, since in self._missed.items() if now - since >= RELIEVED_S}
        if (to := wanted(core.members, joined, lost)) is None:
            return
        self._turn(Change.DECIDING)
        self._number += 1
        facts = {"epoch": core.epoch, "joined": sorted(joined), "lost": sorted(lost), "ballot": self._number}
        self.office.note("registry", f"proposes a core of {' '.join(sorted(to))}", **facts)
        proposal = Core(core.epoch + 1, to, core.members).value().data
        round = self.office.clerk.decide(now, core, self._number, proposal, DECIDE_S)
        self.office.start(now, round, self._decided)

    def _decided(self, round: Round) -> None:
        if round.phase is not Phase.DONE:
            self._number = max(self._number, round.highest)
            self._turn(Change.NONE)
            return
        value = Value(round.core.epoch + 1, "", round.proposal)
        self._turn(Change.OPENING)
        self._write(Core.of(value), value, self._opened)

    def _write(self, core: Core, value: Value, then: Callable[[Round], None]) -> None:
        office = self.office
        office.start(office.now, office.clerk.write(office.now, core, {CORE: value}, CARRY_S), then)

    def _opened(self, round: Round) -> None:
        if round.phase is Phase.DONE:
            self._carry(round.core)
        else:
            self._turn(Change.NONE)

    def _carry(self, core: Core) -> None:
        """Read all from majorities of both sets, and write back what they lack."""
        self._turn(Change.CARRYING)
        office = self.office
        office.start(office.now, office.clerk.read(office.now, core, None, CARRY_S), self._carried)

    def _carried(self, round: Round) -> None:
        core = round.core
        if round.phase is not Phase.DONE or not core.old:
            self._turn(Change.NONE)
            return
        self._turn(Change.CLOSING)
        self._write(core, Core(core.epoch + 1, core.members).value(), self._closed)

    def _closed(self, round: Round) -> None:
        self._turn(Change.NONE)
        if round.phase is Phase.DONE:
            self._spread(round.values[CORE])

    def _spread(self, core: Value) -> None:
        for card in self.office.neighbours.others():
            if card.still is not None:
                self.office.doors.datagram(card.still["post"], {"t": "core", "v": core.wire()})

    # ---- the first start, and a lost disk ------------------------------------------------------------

    def _grow_up(self, now: float, keeper: Keeper) -> None:
        """A keeper that does not vote yet: found a core, or recover what the disk had."""
        office, core = self.office, self.office.follower.core
        if keeper.state is Voting.NEW and core is None:
            self._found(now)
        elif core is not None and office.name in core.all:
            if keeper.state is Voting.NEW:  # it never answered anybody: it has only missed what there was
                value = office.follower.values[CORE]
                office.doors.persist(Persist({CORE: value}, (SELF, {"t": "stored", "r": ""})))
                return
            self.recovery.beat(now, core)

    def _found(self, now: float) -> None:
        office = self.office
        seeds = office.seeds_ctl
        cards = [c for c in office.neighbours.live() if c.still is not None and c.still["core"]]

        def rank(card: Any) -> tuple[int, str]:
            ctl = card.still["ctl"]
            return (seeds.index(ctl) if ctl in seeds else len(seeds), card.name)

        first = min(cards, key=rank)
        heard = {card.still["ctl"] for card in office.neighbours.live() if card.still is not None}
        known = len(heard.intersection(seeds))
        if first is not office.neighbours.me or 2 * known <= len(seeds):
            return  # two parts of a fleet that is cut can't both see most of the seeds
        if known < len(seeds) and now - office.born < PATIENT_S:
            return
        founding = self.founding
        if founding is None:
            if now - self._roster_since < SETTLED_S or now - office.born < FOUNDING_S:
                return
            members = {card.name: card.still["post"] for card in cards if card.still is not None}
            core = Core(FOUNDED - 1, members)
            founding = self.founding = Founding(core.value(f"{99 - rank(first)[0]:02d}"), members, set())
            office.note("registry", f"founds a core of {len(members)}")
        if now - founding.sent < AGAIN_S:
            return
        founding.sent = now
        for name, address in founding.members.items():
            if name not in founding.agreed:
                message = {"t": "found?", "r": f"found {office.clerk.name}", "v": founding.core.wire()}
                office.to_keeper(now, name, address, message)

    def agreed(self, now: float, sender: str, ref: str) -> None:
        """A process agrees to the core that this one founds."""
        founding, office = self.founding, self.office
        if founding is None or ref != f"found {office.clerk.name}":
            return
        founding.agreed.add(sender)
        if founding.agreed >= set(founding.members) and office.follower.core is None:
            self.founding = None
            core = Core(FOUNDED, founding.members)
            office.start(now, office.clerk.write(now, core, {CORE: core.value()}, 10.0), self._founded)

    def _founded(self, round: Round) -> None:
        if round.phase is Phase.DONE:
            self._spread(round.values[CORE])
