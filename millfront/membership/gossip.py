"""Neighbours (membership): who there is, who is heard of, and what each tells of itself. No I/O, no clock.

Each process keeps a *card* of itself: an incarnation, a number that rises each tick, flags, and the tenants'
totals. Cards spread by partial views that are shuffled: each tick a process tells its view within the region,
and the few whose duty it is tell another region. A card of a higher (incarnation, number) replaces a lower
one, so that a late or a double one changes nothing. A process that finds a card of itself above its own (it
restarted, its clock went back) refutes it by a higher incarnation. What never changes in a life (addresses,
zone) travels apart, and is asked for when it is wanting. Between regions a
letter goes to one or two only, who pass it on to their own. A card may be told in part: of its totals only
what has moved lately. Times are seconds on the caller's steady clock.
"""

import hashlib
import math
import random
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

TICK_S = 1.0
MESH = 64  # of a region that are told directly; of a larger one a view that is shuffled, and passes on
VIEW = 8  # neighbours in such a view
SUSPECT_TICKS = 2.2  # a card that late may be one lost datagram
LOST_TICKS = 3.2  # three lost in a row at 2% each would be one in 100,000
FORGET_S = 60.0
PER_LETTER = 10  # cards in one datagram: keeps it near a kilobyte or two
CARRIERS = 2  # of a region that tell another one: one may be gone without being missed yet
RELAYS = 2  # of another region that get a single card and pass it on there
CARRIED = 9  # a larger region is not carried whole by a few: each process sends its own card to relays
READY, LEAVING, PART, KEEPS = 1, 2, 4, 8  # flags of a card
SHUFFLE_TICKS = 5

Message = dict[str, Any]
Out = tuple[str, Message]  # address, message


class Standing(Enum):
    """Of another process, as seen from here."""

    UP = "up"
    SUSPECT = "suspect"
    LOST = "lost"


@dataclass(slots=True)
class Card:
    """What one process tells of itself. ``totals``: tenant -> [sent, asked], units since its start."""

    name: str
    incarnation: int
    number: int = 0
    ready: bool = False
    leaving: bool = False
    keeps: bool = False  # its keeper votes and has caught up
    version: int = 0  # of the configuration in force there
    totals: dict[str, list[float]] = field(default_factory=dict)
    age: float = 0.0  # seconds that its process had run when it was written
    still: Message | None = None  # what never changes: post, zone, region, plain, core
    heard: float = 0.0  # when it last rose here
    standing: Standing = Standing.UP
    told: int = -1  # number when last passed on by us
    part: bool = False  # not all of its totals were heard in this life

    @property
    def stamp(self) -> tuple[int, int]:
        return self.incarnation, self.number

    def wire(self, moved: dict[str, list[float]] | None = None) -> list[Any]:
        """:param moved: of its totals these alone"""
        flags = READY * self.ready | LEAVING * self.leaving | PART * (self.part or moved is not None)
        flags |= KEEPS * self.keeps
        totals, age = self.totals if moved is None else moved, round(self.age, 3)
        return [self.name, self.incarnation, self.number, flags, age, totals, self.version]


def weight(key: str, name: str) -> bytes:
    """Rendezvous weight: who has most of a key's has its duty."""
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def holders(key: str, names: list[str], count: int = 1) -> list[str]:
    """The first by weight: duties cut by key, the same wherever the names are the same."""
    return sorted(names, key=lambda name: weight(key, name), reverse=True)[:count]


class Neighbours:
    """One process's picture of the fleet."""

    def __init__(self, name: str, still: Message, seeds: list[str], incarnation: int, seed: int) -> None:
        """:param still: ``post`` (address), ``zone``, ``region``, ``plain``, ``core`` (it has a disk)
        :param seeds: addresses that may know more
        """
        self.me = Card(name, incarnation, still=still)
        self.cards: dict[str, Card] = {name: self.me}
        self.seeds = seeds
        self.random = random.Random(seed)
        self.born = 0.0
        self.ticks = 0
        self.view: list[str] = []
        self.heard_any = False
        self._wanting: set[str] = set()

    # ---- who there is --------------------------------------------------------------------------

    def others(self) -> list[Card]:
        return [card for card in self.cards.values() if card is not self.me]

    def live(self, region: str | None = None) -> list[Card]:
        """Those heard of lately that are not leaving, this one among them."""
        return [
            card
            for card in self.cards.values()
            if (card is self.me or (card.standing is not Standing.LOST and not card.leaving))
            and card.still is not None
            and (region is None or card.still["region"] == region)
        ]

    def live_names(self, region: str | None = None) -> list[str]:
        return sorted(card.name for card in self.live(region))

    def count(self) -> int:
        """n: all that may be running, the lost among them until they are forgotten."""
        return len(self.cards)

    def may_run(self, now: float, gone_after: float) -> tuple[set[str], set[str]]:
        """All processes that may be admitting, and of these the ones that are not heard of.

        :param gone_after: seconds after which a lost one is known to admit nothing; infinite if that can't be
        """
        names, silent = set(), set()
        for card in self.cards.values():
            if card is not self.me and now - card.heard > gone_after:
                continue
            names.add(card.name)
            if card is not self.me and card.standing is not Standing.UP and not card.leaving:
                silent.add(card.name)
        return names, silent

    def has_duty(self, key: str, region: str | None = None, count: int = 1) -> bool:
        return self.me.name in holders(key, self.live_names(region), count)

    def address(self, name: str) -> str | None:
        card = self.cards.get(name)
        return card.still["post"] if card is not None and card.still is not None else None

    # ---- each tick -----------------------------------------------------------------------------

    def tick(self, now: float, moved: dict[str, list[float]] | None = None) -> list[Out]:
        """Write this process's card anew, judge the others', and tell the view.

        :param moved: of the totals those to be told; None: all
        """
        if not self.born:
            self.born = now
        self.ticks += 1
        self.me.number += 1
        self.me.age = now - self.born
        self._judge(now)
        out: list[Out] = []
        if not self.heard_any or self.ticks % SHUFFLE_TICKS == 1:
            out += [(seed, self._hello()) for seed in self.seeds if seed != self.me.still["post"]]  # type: ignore[index]
        out += self._to_a_lost_one()
        self._shuffle()
        wires = [self.me.wire(moved)]
        if len(self.live(self._region)) > MESH:  # news of others go on from here, too, once
            others = [c for c in self.others() if c.told < c.number and c.still is not None]
            wires += [card.wire() for card in others]
            for card in others:
                card.told = card.number
        letters = self._letters(wires)
        out += [
            (address, letter) for name in self.view if (address := self.address(name)) for letter in letters
        ]
        return out + self._to_other_regions(wires[0])

    @property
    def _region(self) -> str:
        return str(self.me.still["region"])  # type: ignore[index]

    def hurry(self, moved: dict[str, list[float]] | None) -> list[Out]:
        """This process's card before its tick: to all of its region, and to relays in the others.

        :param moved: of the totals those to be told; None: all
        """
        self.me.number += 1
        wire = self.me.wire(moved)
        letter = {"t": "cards", "c": [wire]}
        return [(post, letter) for post in self._mates()] + self._to_relays(wire)

    def _mates(self) -> list[str]:
        """Addresses of the others of this region that are live."""
        return [c.still["post"] for c in self.live(self._region) if c is not self.me and c.still is not None]

    def _regions(self) -> list[str]:
        return sorted({c.still["region"] for c in self.live() if c.still is not None} - {self._region})

    def _to_relays(self, wire: list[Any]) -> list[Out]:
        """One card to the few of each other region who pass this process's on."""
        letter = {"t": "cards", "c": [wire], "p": 1}
        names = [name for region in self._regions() for name in self._relays(region)]
        return [(address, letter) for name in names if (address := self.address(name))]

    def _relays(self, region: str) -> list[str]:
        up = [card.name for card in self.live(region) if card.standing is Standing.UP]
        return holders(f"relay {self.me.name}", up or self.live_names(region), RELAYS)

    def _to_other_regions(self, wire: list[Any]) -> list[Out]:
        """Each tick: of a small region a few carry all cards, each to one there who passes them on."""
        near = self.live(self._region)
        if len(near) > CARRIED or wire[3] & PART:  # too much to be carried whole by a few
            return self._to_relays(wire)
        out: list[Out] = []
        for other in self._regions():
            if not self.has_duty(f"carry {self._region} {other}", self._region, CARRIERS):
                continue
            there = [c for c in self.live(other) if c.standing is Standing.UP] or self.live(other)
            if address := self.address(self.random.choice(there).name):
                letters = self._letters([card.wire() for card in near])
                out += [(address, letter | {"p": 1}) for letter in letters]
        return out

    def _passed_on(self, cards: list[list[Any]]) -> list[Out]:
        """News from another region, for all of this one."""
        letter = {"t": "cards", "c": cards}
        mates = self._mates()
        if len(mates) > MESH:
            mates = self.random.sample(mates, VIEW)
        return [(post, letter) for post in mates]

    def _to_a_lost_one(self) -> list[Out]:
        """A word now and then, so that parts of a fleet that was cut find each other though no seed is up."""
        lost = [
            c for c in self.others() if c.standing is Standing.LOST and not c.leaving and c.still is not None
        ]
        if not lost or self.ticks % 2:
            return []
        return [(self.random.choice(lost).still["post"], self._hello())]  # type: ignore[index]

    def _shuffle(self) -> None:
        """The view: all of a small region; of a large one half stays and half is drawn anew."""
        known = [c.name for c in self.live(self._region) if c is not self.me]
        if len(known) <= MESH:
            self.view = known
            return
        kept = [name for name in self.view if name in known]
        most = (
            VIEW // 2 if self.ticks % SHUFFLE_TICKS == 0 else VIEW
        )  # the region may have been a mesh till now
        kept = self.random.sample(kept, min(len(kept), most))
        fresh = [name for name in known if name not in kept]
        self.view = kept + self.random.sample(fresh, min(len(fresh), VIEW - len(kept)))

    def _hops(self) -> float:
        """Ticks that news take through views that are passed on, beyond what a mesh takes.

        About log n / log VIEW of them reach all but a few in a hundred, and a card rises each tick."""
        n = len(self.live(self._region))
        return 0.0 if n <= MESH else math.ceil(math.log(n) / math.log(VIEW)) + 1.0

    def silent(self, now: float, card: Card) -> float:
        """Ticks since another's card was due."""
        return (now - card.heard) / TICK_S - self._hops()

    def _judge(self, now: float) -> None:
        hops = self._hops()
        for card in self.others():
            silent = (now - card.heard) / TICK_S - hops
            standing = Standing.UP
            if silent > LOST_TICKS:
                standing = Standing.LOST
            elif silent > SUSPECT_TICKS:
                standing = Standing.SUSPECT
            self._stands(card, standing)
            if now - card.heard > FORGET_S:
                del self.cards[card.name]

    def _stands(self, card: Card, standing: Standing) -> None:
        """The one change of a card's standing."""
        card.standing = standing

    # ---- letters ---------------------------------------------------------------------------------

    def _letters(self, wires: list[list[Any]]) -> list[Message]:
        """Cards in datagrams of bounded size."""
        parts = range(0, len(wires), PER_LETTER)
        out: list[Message] = [{"t": "cards", "c": wires[at : at + PER_LETTER]} for at in parts]
        if self._wanting:
            out[0]["w"] = sorted(self._wanting)[:PER_LETTER]
        return out

    def _hello(self) -> Message:
        return {"t": "hello", "c": [self.me.wire()], "x": {self.me.name: self.me.still}}

    def bye(self) -> list[Out]:
        """This process ends: all that are known are told at once."""
        self.me.leaving, self.me.ready = True, False
        self.me.number += 1
        letter = {"t": "cards", "c": [self.me.wire()]}
        return [(c.still["post"], letter) for c in self.others() if c.still is not None]

    def take(self, now: float, back: str, message: Message) -> list[Out]:
        """A letter from another process, whose address is `back`."""
        self.heard_any = True
        for name, still in message.get("x", {}).items():
            self._introduce(now, name, still)
        for incarnation_card in message.get("c", ()):
            self._take_card(now, incarnation_card)
        out = self._passed_on(message["c"]) if message.get("p") else []
        kind = message["t"]
        asked = [name for name in message.get("w", ()) if name in self.cards]
        if kind == "hello":
            asked = [name for name in self.cards if self.cards[name].still is not None]
        for at in range(0, len(asked), PER_LETTER):
            cards = [self.cards[name] for name in asked[at : at + PER_LETTER]]
            still = {card.name: card.still for card in cards if card.still is not None}
            out.append((back, {"t": "cards", "c": [card.wire() for card in cards], "x": still}))
        if self._wanting and kind == "cards":
            out.append((back, {"t": "want", "w": sorted(self._wanting)[:PER_LETTER]}))
        return out

    def _introduce(self, now: float, name: str, still: Message) -> None:
        if name == self.me.name or not isinstance(still, dict):
            return
        card = self.cards.get(name)
        if card is None:
            card = self.cards[name] = Card(name, -1, heard=now)
        card.still = still
        self._wanting.discard(name)

    def _take_card(self, now: float, wire: list[Any]) -> None:
        name, incarnation, number, flags, age, totals, *more = wire
        if name == self.me.name:
            if (incarnation, number) > self.me.stamp:  # of an earlier life: refuted
                self.me.incarnation, self.me.number = incarnation + 1, 0
            return
        card = self.cards.get(name)
        if card is None:
            card = self.cards[name] = Card(name, -1, heard=now)
        if card.still is None:
            self._wanting.add(name)
        if (incarnation, number) <= card.stamp:
            return
        if incarnation != card.incarnation:
            card.told, card.part, card.totals = -1, True, {}
        card.incarnation, card.number, card.age = incarnation, number, age
        card.ready, card.leaving, card.keeps = bool(flags & READY), bool(flags & LEAVING), bool(flags & KEEPS)
        card.part = card.part and bool(flags & PART)
        card.totals = card.totals | totals if flags & PART else totals
        card.version = more[0] if more else 0
        card.heard = now
        self._stands(card, Standing.UP)
