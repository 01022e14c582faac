"""An office: one process's part of the control state, put together from the pure modules. No I/O, no clock.

What it wants done goes out through `Doors`; time comes in with each call. The daemon and the simpy worlds of
the tests run this very class.
"""

import math
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from pyrsistent import PSet, pset
from result import Err, Ok

from millfront.control import configuration as standing
from millfront.control.admin import EVACUATION, Window
from millfront.control.delivery import FETCHED, LEASE_SHARE, Follower
from millfront.control.event_log import Daybook
from millfront.control.hinted_handoff import Restante
from millfront.dataplane.admission import Franking
from millfront.discovery.server_list import Addresses
from millfront.environment import Settings
from millfront.membership.gossip import PART, Neighbours, Standing, holders
from millfront.register.coordinator import Clerk
from millfront.register.reconfiguration import Postings
from millfront.register.recovery import SELF
from millfront.register.replica import Keeper, Persist
from millfront.register.values import CONFIG, CORE, FOUNDED, Core, Value, inner

REST = "rest"  # the reference of what a neighbour that is back asks for
FOLLOWERS_S = 4.0  # a line on which nobody asked for so long is pushed nothing
FRESH_S = 1.7  # a card of the own region is due each second: clients are told of nobody whose card is later
GONE_S = 1.5  # beyond its lease: the card may have been late, and it asked for it a moment after
BEAT_S = 0.25
SURE_SHARE = 0.66  # of apply_within: what is held refuses a route or key that no newer one allows
STILL_S = 2.0  # without a beat: this process was frozen, and what it knows of others is from before
WHOLE = 12  # totals of so many tenants go with each tick's card; of more, those that moved
WHOLE_TICKS = 16  # and all of them each so many ticks
MOVED_S = 5.5  # several ticks: a few letters may be lost
HURRIED_S = 0.5
TICK_BEATS = 4  # of the neighbours' and the prices' tick, about a second
Message = dict[str, Any]


class Doors(Protocol):
    """What an office asks of its I/O."""

    def datagram(self, address: str, message: Message) -> None: ...
    def line(self, address: str, message: Message) -> None:
        """On a held connection; lost where it can't be had."""

    def back(self, via: Any, message: Message) -> None:
        """On the connection that something came on."""

    def persist(self, persist: Persist) -> None:
        """Sync it, then tell `Office.synced`."""

    def poll(self, number: int) -> None:
        """Ask the platform for its list, then tell `Office.polled`."""

    def say(self, part: str, text: str) -> None:
        """A log line."""


class Office(Window):
    """One process. `orders` and `evacuated` are what is in force here."""

    def __init__(
        self,
        settings: Settings,
        doors: Doors,
        kept: dict[str, Value] | None,
        now: float,
        incarnation: int,
        seed: int,
    ) -> None:
        """:param kept: what the disk has; None: this process has no disk and keeps nothing"""
        self.settings, self.doors, self.name = settings, doors, settings.name
        still = {
            "post": settings.post_address,
            "zone": settings.zone,
            "region": settings.region,
            "plain": settings.bindings.get("plain", ""),
            "ctl": settings.bindings.get("ctl", ""),
            "core": kept is not None and "control" in settings.serves,
        }
        self.seeds_ctl = list(settings.seeds)
        seeds = self._posts(settings.seeds)
        self.neighbours = Neighbours(settings.name, still, seeds, incarnation, seed)
        self.keeper = Keeper(kept, settings.fresh) if kept is not None and still["core"] else None
        life = f"{settings.name}.{incarnation}.{seed:x}"
        follower = Follower(life, LEASE_SHARE * settings.bounds.revoke_within)
        super().__init__(Clerk(life), follower, now, seed)  # now: as of the last event
        self.addresses = Addresses()
        self.franking = Franking(settings.bounds, now, seed)
        self.orders: standing.Orders | None = None
        self.evacuated: PSet[str] = pset()
        self.changed: Callable[[], None] = lambda: None  # orders or evacuations have
        self.relisted: Callable[[], None] = lambda: None  # servers have
        self.followers: dict[Any, float] = {}
        self.pushed = 0  # the number of the last news
        self.had: set[Any] = set()  # who has acknowledged it
        self.to = 0  # how many it was pushed to
        self.born = now
        self.beats, self.beaten = 0, now
        self.daybook = Daybook()
        self.restante = Restante()
        self.disk_well = True  # as of the last sync
        self._standing: dict[str, str] = {}  # of the others, as last noted
        self._duty = False  # of the list of servers, as last noted
        self.postings = Postings(self)
        if self.keeper is not None and self.keeper.votes:
            self._hold(dict(self.keeper.values))

    def _posts(self, seeds: Iterable[str]) -> list[str]:
        """Where the system's own processes on those machines are reached: all have the same ports."""
        return [f"{seed.rpartition(':')[0]}:{self.settings.port}" for seed in seeds]

    @property
    def post_address(self) -> str:
        """Where the system's other processes reach this one."""
        return self.settings.post_address

    def reseed(self, seeds: Iterable[str]) -> None:
        """The settings name others that may know more."""
        self.seeds_ctl, self.neighbours.seeds = list(seeds), self._posts(seeds)

    def note(self, part: str, text: str, **facts: Any) -> None:
        """In the daybook, and as a line of the log."""
        self.daybook.write(self.now, part, text, **facts)
        self.doors.say(part, text)

    # ---- what is in force ------------------------------------------------------------------------

    def trusted(self, now: float) -> bool:
        """Whether nothing newer than what is held here can have been acknowledged `revoke_within` ago."""
        return not self.settings.bounds.revoke_global or now < self.follower.lease_until()

    def sure(self, now: float) -> bool:
        """Whether what is held here may refuse a route or a key: a newer version, if there is one, was
        acknowledged less than `apply_within` ago."""
        return now - self.follower.as_of() < SURE_SHARE * self.settings.bounds.apply_within

    def lacks(self, now: float) -> list[str]:
        """What it takes to be ready and is not there, in the order in which a start gets to it."""
        checks = (
            (self.orders is not None, "a configuration"),
            (self.addresses.known(), "a list of servers"),
            (self.trusted(now), "a lease"),
            (not self.neighbours.me.leaving, "to stay: it leaves"),
        )
        return [name for well, name in checks if not well]

    def ready(self, now: float) -> bool:
        return not self.lacks(now)

    def _hold(self, found: dict[str, Value]) -> None:
        """The one way in for values: what is newer is in force from here on, and nothing goes back."""
        changed = self.follower.hold({k: value for k, value in found.items() if not inner(k)})
        for key in changed:
            value = self.follower.values[key]
            if key == CONFIG:
                match standing.compiled(value.data):
                    case Ok(made):
                        self.orders = made
                        self.franking.tenants = made.by_name
                        self.note("registry", f"configuration {made.version:08x} is in force")
                    case Err(fault):
                        self.note("registry", f"configuration {value.version:08x} can't be used: {fault}")
            elif key.startswith(EVACUATION):
                zone = key.removeprefix(EVACUATION)
                on = value.data == "1"
                self.evacuated = self.evacuated.add(zone) if on else self.evacuated.discard(zone)
                self.note("registry", f"zone {zone} is {'evacuated' if on else 'taken back'}")
            elif key == CORE:
                self.note("registry", f"core {value.version} is {' '.join(sorted(Core.of(value).members))}")
        if CORE in changed and self.beats:
            self._move()
            self._follow(self.now)  # at once: a process that starts has clients waiting
        if changed:
            self.changed()
            self._stand(self.now)

    def _move(self) -> None:
        """The core has changed: what is under way goes on with the new one."""
        self.postings.core_changed()
        core = self.follower.core
        assert core is not None
        self.renew_rounds(core)

    def _stand(self, now: float) -> None:
        """Ready, a whole copy or not: neighbours, who send clients or change the core, learn it at once."""
        me = self.neighbours.me
        ready, keeps = self.ready(now), self.postings.keeps()
        if (ready, keeps) != (me.ready, me.keeps) and self.neighbours.ticks:
            me.ready, me.keeps = ready, keeps
            self.hurry(now)

    # ---- time ------------------------------------------------------------------------------------

    def beat(self, now: float) -> None:
        """Every BEAT_S."""
        self.now = self.beaten = now
        self.beats += 1
        if self.beats % TICK_BEATS == 1:
            self._tick(now)
        self.beat_rounds(now)
        self.postings.beat(now)
        self._follow(now)
        self._stand(now)
        duty = self.neighbours.has_duty("list")
        deputy = self.neighbours.has_duty("list", self.settings.region)
        if self.addresses.due(now, duty, deputy) and self._may_poll(now):
            self.doors.poll(self.addresses.begin())
        self.followers = {via: at for via, at in self.followers.items() if now - at < FOLLOWERS_S}

    def _gone_after(self) -> float:
        """A process that nobody here hears of is in another part of the fleet, or dead. If a majority of the
        core is in this part, it can't have a lease for long: it admits nothing with a key any more."""
        core, cards = self.follower.core, self.neighbours.cards
        if core is None or not self.settings.bounds.revoke_global:
            return math.inf
        here = [n for n in core.all if n == self.name or (n in cards and cards[n].standing is Standing.UP)]
        return GONE_S + self.follower.lease_s if core.majority(here) else math.inf

    def hurry(self, now: float) -> None:
        """Units were let in on the common store: the others learn of it now."""
        self.franking.hurry = False
        me = self.neighbours.me
        me.totals, me.age = self.franking.totals(), now - self.neighbours.born
        # Of few tenants all are named: that one has not moved lowers what it is taken to send
        moved = self.franking.moved(now, HURRIED_S) if len(me.totals) > WHOLE else None
        for address, message in self.neighbours.hurry(moved):
            self.doors.datagram(address, message)

    def _may_poll(self, now: float) -> bool:
        """At the start the neighbours are heard first, so that not all ask the platform."""
        return self.neighbours.heard_any or now - self.born > 1.0

    def _follow(self, now: float) -> None:
        for name, message in self.follower.tick(now, self._near()):
            self.to_keeper(now, name, self.follower.core.all[name], message)  # type: ignore[union-attr]

    def _near(self) -> list[str]:
        """Core members by distance: this one, its zone, its region, the others; lost ones last."""
        cards, settings = self.neighbours.cards, self.settings

        def distance(name: str) -> tuple[bool, int, str]:
            card = cards.get(name)
            still = card.still if card is not None else None
            if name == self.name:
                return False, 0, name
            if card is None or still is None:
                return False, 3, name
            lost = card.standing.value == "lost" or card.leaving
            if still["zone"] == settings.zone:
                return lost, 1, name
            return lost, 2 if still["region"] == settings.region else 3, name

        return sorted(self.follower.keepers, key=distance)

    def _tick(self, now: float) -> None:
        if self.to:
            self.note("rounds", f"news {self.pushed} was had by {len(self.had)} of {self.to}")
            self.to = 0
        me = self.neighbours.me
        me.ready, me.totals = self.ready(now), self.franking.totals()
        me.version = self.orders.version if self.orders is not None else 0
        sparse = len(me.totals) > WHOLE and self.neighbours.ticks > 3 and self.neighbours.ticks % WHOLE_TICKS
        moved = self.franking.moved(now, MOVED_S) if sparse else None
        for address, message in self.neighbours.tick(now, moved):
            self.doors.datagram(address, message)
        self.franking.tick(now, *self.neighbours.may_run(now, self._gone_after()))
        self.postings.tick(now)
        self._hand_over()
        self._note_others(now)

    def _hand_over(self) -> None:
        """Who is heard of again gets what it has missed, from one of its region by duty, one without
        a disk, where there is one, so that the core is asked last."""
        known = [card for card in self.neighbours.others() if card.still is not None]
        for name, values in self.restante.look(known, self.follower.values).items():
            still = self.neighbours.cards[name].still
            assert still is not None
            others = [card for card in self.neighbours.live() if card.name != name and card.still is not None]
            near = [card for card in others if card.still["region"] == still["region"]]  # type: ignore[index]
            plain = [card for card in near if not card.still["core"]]  # type: ignore[index]
            names = [card.name for card in plain or near or others]
            if not values or holders(f"rest {name}", names) != [self.name]:
                continue
            self.doors.line(still["post"], self.follower.rest(values))
            if self.addresses.known():
                self.doors.line(still["post"], self.addresses.whole(self.now))

    def _note_others(self, now: float) -> None:
        """For the daybook alone: who is heard of, and whose the list is."""
        standing = {card.name: card.standing.value for card in self.neighbours.others()}
        for name, word in standing.items():
            before = self._standing.get(name, "new")
            if word != before and "suspect" not in (word, before):
                heard = round(now - self.neighbours.cards[name].heard, 2)
                self.daybook.write(now, "neighbours", f"{name} is {word}", before=before, heard_ago=heard)
        kept = {name: word for name, word in self._standing.items() if standing.get(name) == "suspect"}
        self._standing = standing | kept
        if (duty := self.neighbours.has_duty("list")) is not self._duty:
            self._duty = duty
            text = "the list of servers is this one's duty" if duty else "the list is another's duty"
            self.daybook.write(now, "addresses", text, fence=self.addresses.number)

    # ---- messages --------------------------------------------------------------------------------

    def to_keeper(self, now: float, name: str, address: str, message: Message) -> None:
        if name == self.name and self.keeper is not None:
            self._keep(now, SELF, message)
        else:
            self.doors.line(address, message)

    def _keep(self, now: float, via: Any, message: Message) -> None:
        """A call to this process's keeper."""
        if self.keeper is None:
            self._answer(now, via, {"t": "no", "r": message.get("r")})
            return
        if message["t"] == "ask" and via is not SELF:
            self.followers[via] = now
        answers, persists = self.keeper.handle(via, message)
        for to, answer in answers:
            self._answer(now, to, answer)
        for persist in persists:
            self.doors.persist(persist)

    def _answer(self, now: float, via: Any, message: Message) -> None:
        message["m"] = self.name
        if via is SELF:
            self._reply(now, message)
        else:
            self.doors.back(via, message)

    def synced(self, now: float, persist: Persist, well: bool) -> None:
        """The disk is done with it."""
        self.now = now
        keeper = self.keeper
        assert keeper is not None
        if not well:
            self.note("registry", "the disk takes nothing: this keeper does not count")
        answer, self.disk_well = persist.then[1], well
        for to, message in keeper.synced(persist, well):
            if answer["t"] == "recovered" and well:
                keeper.recovered()
                self.note("registry", "recovered, and votes")
            else:
                self._answer(now, to, message)
        if well and keeper.votes:
            self._hold(dict(keeper.values))
            if any(not inner(key) for key in persist.values):
                self._push()

    def _push(self) -> None:
        """Numbered news to whoever follows here."""
        assert self.keeper is not None
        self.pushed += 1
        news = {"t": "news", "n": self.pushed, "s": self.keeper.stamps(), "m": self.name}
        self.had, self.to = set(), len(self.followers)
        for via in self.followers:
            self.doors.back(via, news)

    def message(self, now: float, via: Any, message: Message) -> None:
        """Something came on a held connection; answers go back on it."""
        self.now = now
        match message["t"]:
            case "fetch" | "piece?" if message["r"] == REST:
                self.doors.back(via, self.follower.handed(message) | {"r": REST})
            case "found" | "piece" if message["r"] == REST:
                values, further = self.follower.found(now, "", message)
                self._hold(values)
                self._ask_neighbour(via, further)
            case "store" | "fetch" | "piece?" | "ask" | "found?" | "recover" | "promise?" | "accept?":
                self._keep(now, via, message)
            case "had" if message["n"] == self.pushed:
                self.had.add(via)
            case "list":
                if not self.addresses.take(now, message):
                    self.doors.back(via, {"t": "list?"})
                else:
                    self.relisted()
                    self._stand(now)
            case "rest":
                self._hold({key: Value.of(value) for key, value in message["v"].items()})
                self._ask_neighbour(via, self.follower.lacking(now, message))
            case "list?":
                if self.addresses.known():
                    self.doors.back(via, self.addresses.whole(now))
            case _:
                self._reply(now, message)

    def _reply(self, now: float, message: Message) -> None:
        sender, kind = message.get("m", ""), message["t"]
        if kind == "no":
            self._fenced(now, sender, message)
        if kind == "agreed":
            self.postings.agreed(now, sender, message["r"])
        elif kind == "found" and message["r"].startswith(("lives ", "heir ")):
            self.postings.recovery.take(now, sender, message)
        elif kind in ("found", "piece") and str(message["r"]).startswith(FETCHED):
            if self.follower.asked(sender, message):
                values, further = self.follower.found(now, sender, message)
                self._hold(values)
                self._ask_keepers(now, further)
        elif kind in ("found", "stored", "promised", "accepted") or self.clerk.round_of(message.get("r")):
            if (round := self.clerk.take(now, sender, message)) is not None:
                self._drive(now, round)
        else:
            self._ask_keepers(now, self.follower.take(now, sender, message))

    def _ask_neighbour(self, via: Any, asked: list[tuple[str, Message]]) -> None:
        for _, out in asked:
            self.doors.back(via, out | {"r": REST})

    def _ask_keepers(self, now: float, asked: list[tuple[str, Message]]) -> None:
        for name, out in asked:
            if self.follower.core is not None and name in self.follower.core.all:
                self.to_keeper(now, name, self.follower.core.all[name], out)

    def _fenced(self, now: float, sender: str, message: Message) -> None:
        """A keeper is of another core than the call was for: one of the two has missed a change."""
        core = self.follower.core
        if "core" in message:
            self._hear_of_core(message["core"])
        if message.get("behind") and core is not None and sender in core.all:
            store = {"t": "store", "r": "core", "e": core.epoch}
            store["v"] = {CORE: self.follower.values[CORE].wire()}
            self.to_keeper(now, sender, core.all[sender], store)

    def _hear_of_core(self, wire: Any) -> None:
        core = Value.of(wire)
        if core.version >= FOUNDED:
            self._hold({CORE: core})

    def datagram(self, now: float, back: str, message: Message) -> None:
        """Something came from another process, whose address is `back`."""
        self.now = now
        kind = message["t"]
        if kind == "core?":
            if self.follower.core is not None:
                self.doors.datagram(back, {"t": "core", "v": self.follower.values[CORE].wire()})
            return
        if kind == "core":
            self._hear_of_core(message["v"])
            return
        for address, answer in self.neighbours.take(now, back, message):
            self.doors.datagram(address, answer)
        for name, incarnation, _, flags, age, totals, *_ in message.get("c", ()):
            card = self.neighbours.cards.get(name)
            if card is not None and card is not self.neighbours.me and card.heard == now:
                self.franking.heard(now, name, incarnation, age, totals, not flags & PART)

    def polled(self, now: float, number: int, entries: list[Any] | None) -> None:
        """The platform's answer, or None where it gave none."""
        self.now = now
        if entries is None:
            self.addresses.failed(now)
            return
        news = self.addresses.polled(now, number, entries)
        self.relisted()
        self._stand(now)
        if news is not None:
            for card in self.neighbours.live():
                if card is not self.neighbours.me and card.still is not None:
                    self.doors.line(card.still["post"], news)

    # ---- the directory -----------------------------------------------------------------------------

    def resolve(self, now: float, region: str) -> list[str]:
        """Where clients of that region go: its gatekeepers that are ready and heard of; else all such."""
        near, all_ = [], []
        if now - self.beaten >= STILL_S:
            return []
        for card in self.neighbours.live():
            own = card is self.neighbours.me
            fresh = now - card.heard < FRESH_S or (card.still or {}).get("region") != self.settings.region
            well = self.ready(now) if own else card.ready and fresh and card.standing is Standing.UP
            if well and card.still is not None and card.still["plain"]:
                all_.append(card.still["plain"])
                if card.still["region"] == region:
                    near.append(card.still["plain"])
        return sorted(near if len(near) >= 2 else all_)[:64]
