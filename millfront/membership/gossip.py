"""Membership: who there is, who is heard of, and what each tells of itself. No I/O, no clock.

Each process keeps a *record* of itself: an incarnation, a number that rises each tick, flags, and the
tenants' totals. Records spread by partial views that are shuffled: each tick a process tells its view within
the region, and the few owners of a key tell another region. A record of a higher (incarnation, number)
replaces a lower one, so that a late or a double one changes nothing. A process that finds a record of itself
above its own (it restarted, its clock went back) refutes it by a higher incarnation. Who is heard of is
judged by when a record was written, never by when it came: a record that is passed on says how old it is, so
that nobody learns of a member that is gone as if it had just spoken (`record.py`). What never changes in an
incarnation (addresses, zone) travels apart, and is asked for when it is wanting. Between regions a message
goes to one or two only, who pass it on to their own. A record may be told in part: of its totals only what
has moved lately. Times are seconds on the caller's steady clock.
"""

import hashlib
import itertools
import math
import random
from dataclasses import dataclass
from typing import Any

from millfront.invariants import Invariant, Invariants
from millfront.membership.record import PART, Liveness, Lost, MemberRecord, Message, ToldRecord

TICK_S = 1.0
MESH = 64  # of a region that are told directly; of a larger one a view that is shuffled, and passes on
VIEW = 8  # members in such a view
SUSPECT_TICKS = 2.2  # a record that late may be one lost datagram
LOST_TICKS = 3.2  # three lost in a row at 2% each would be one in 100,000
FORGET_S = 60.0
LOST_KEPT_S = 10.0 * FORGET_S  # so long it is remembered by which record a member was judged lost
LOST_SWEEP_TICKS = 64
PER_DATAGRAM = 10  # records in one datagram: keeps it near a kilobyte or two
CARRIERS = 2  # of a region that tell another one: one may be gone without being missed yet
RELAYS = 2  # of another region that get a single record and pass it on there
CARRIED = 9  # a larger region is not carried whole by a few: each process sends its own record to relays
SHUFFLE_TICKS = 5

Out = tuple[str, Message]  # address, message


@dataclass(frozen=True, slots=True)
class Received:
    """What became of a message: the records in it that were news, and what is to be sent."""

    taken: list[ToldRecord]
    out: list[Out]


def weight(key: str, name: str) -> bytes:
    """Rendezvous weight: who has most of a key's is its owner."""
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def holders(key: str, names: list[str], count: int = 1) -> list[str]:
    """The first by weight: ownership by key, the same wherever the names are the same."""
    return sorted(names, key=lambda name: weight(key, name), reverse=True)[:count]


class Membership:
    """One process's picture of the fleet."""

    def __init__(
        self,
        name: str,
        still: Message,
        seeds: list[str],
        incarnation: int,
        seed: int,
        invariants: Invariants | None = None,
    ) -> None:
        """:param still: ``post`` (address), ``zone``, ``region``, ``plain``, ``core`` (it has a disk)
        :param seeds: addresses that may know more
        """
        self.me = MemberRecord(name, incarnation, identity=still)
        self.records: dict[str, MemberRecord] = {name: self.me}
        self.seeds = seeds
        self.random = random.Random(seed)
        self.born = 0.0
        self.ticks = 0
        self.view: list[str] = []
        self.heard_any = False
        self.hops = 0.0  # as of the last tick
        self._wanting: set[str] = set()
        self.invariants = invariants or Invariants()
        self.forgotten_total = self.relearned_total = 0
        self._last_lost: dict[str, Lost] = {}  # of members that were judged lost, by name

    # ---- who there is --------------------------------------------------------------------------

    def others(self) -> list[MemberRecord]:
        """The records of all processes but this one, lost ones among them."""
        return [record for record in self.records.values() if record is not self.me]

    def live(self, region: str | None = None) -> list[MemberRecord]:
        """Those heard of lately that are not leaving, this one among them."""
        return [
            record
            for record in self.records.values()
            if (record is self.me or (record.liveness is not Liveness.LOST and not record.leaving))
            and record.identity is not None
            and (region is None or record.identity["region"] == region)
        ]

    def live_names(self, region: str | None = None) -> list[str]:
        """The sorted names of the live ones, of one region or of all."""
        return sorted(record.name for record in self.live(region))

    def count(self) -> int:
        """n: all that may be running, the lost among them until they are forgotten."""
        return len(self.records)

    def may_run(self, now: float, gone_after: float) -> tuple[set[str], set[str]]:
        """All processes that may be admitting, and of these the ones that are not heard of.

        :param gone_after: seconds after which a lost one is known to admit nothing; infinite if that can't be
        """
        names, silent = set(), set()
        oldest = now - gone_after - TICK_S * self.hops  # what is under way may still be heard
        for record in self.records.values():
            if record is not self.me and record.written < oldest:
                continue
            names.add(record.name)
            if record is not self.me and record.liveness is not Liveness.UP and not record.leaving:
                silent.add(record.name)
        return names, silent

    def has_duty(self, key: str, region: str | None = None, count: int = 1) -> bool:
        """Whether this process is among the ``count`` owners of a key, as far as it sees."""
        return self.me.name in holders(key, self.live_names(region), count)

    def succession(self, key: str) -> list[str]:
        """The live processes in the order in which they take over a key's duty.

        One with a disk is first: whoever is in touch hears it, and where it is lost nobody counts as in touch
        for a while. Then one without, since all that have a disk may be lost together; and so on in turn, by
        weight among equals."""
        live = {record.name: bool((record.identity or {}).get("core")) for record in self.live()}
        ordered = holders(key, list(live), len(live))
        with_disk = [name for name in ordered if live[name]]
        without = [name for name in ordered if not live[name]]
        pairs = itertools.zip_longest(with_disk, without)
        return [name for pair in pairs for name in pair if name is not None]

    def address(self, name: str) -> str | None:
        """Where a process is reached by others of the system; None where it is not known yet."""
        record = self.records.get(name)
        return record.identity["post"] if record is not None and record.identity is not None else None

    # ---- each tick -----------------------------------------------------------------------------

    def tick(self, now: float, moved: dict[str, list[float]] | None = None) -> list[Out]:
        """Write this process's record anew, judge the others', and tell the view.

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
            out += [(seed, self.hello()) for seed in self.seeds if seed != self.me.identity["post"]]  # type: ignore[index]
        out += self._to_a_lost_one()
        self._shuffle()
        wires = [self.me.wire(moved=moved)]
        if len(self.live(self._region)) > MESH:  # updates of others are passed on from here, too, once
            others = [c for c in self.others() if c.told < c.number and c.identity is not None]
            wires += [self._wire(now, record) for record in others]
            for record in others:
                record.told = record.number
        datagrams = self._datagrams(wires)
        out += [
            (address, datagram)
            for name in self.view
            if (address := self.address(name))
            for datagram in datagrams
        ]
        return out + self._to_other_regions(now, wires[0])

    @property
    def _region(self) -> str:
        return str(self.me.identity["region"])  # type: ignore[index]

    def flush(self, moved: dict[str, list[float]] | None) -> list[Out]:
        """This process's record before its tick: to all of its region, and to relays in the others.

        :param moved: of the totals those to be told; None: all
        """
        self.me.number += 1
        wire = self.me.wire(moved=moved)
        datagram = {"t": "cards", "c": [wire]}
        return [(post, datagram) for post in self._mates()] + self._to_relays(wire)

    def _mates(self) -> list[str]:
        """Addresses of the others of this region that are live."""
        return [
            c.identity["post"] for c in self.live(self._region) if c is not self.me and c.identity is not None
        ]

    def _regions(self) -> list[str]:
        return sorted({c.identity["region"] for c in self.live() if c.identity is not None} - {self._region})

    def _to_relays(self, wire: list[Any]) -> list[Out]:
        """One record to the few of each other region who pass this process's on."""
        datagram = {"t": "cards", "c": [wire], "p": 1}
        names = [name for region in self._regions() for name in self._relays(region)]
        return [(address, datagram) for name in names if (address := self.address(name))]

    def _relays(self, region: str) -> list[str]:
        up = [record.name for record in self.live(region) if record.liveness is Liveness.UP]
        return holders(f"relay {self.me.name}", up or self.live_names(region), RELAYS)

    def _to_other_regions(self, now: float, wire: list[Any]) -> list[Out]:
        """Each tick: of a small region a few carry all records, each to one there who passes them on."""
        near = self.live(self._region)
        if len(near) > CARRIED or wire[3] & PART:  # too much to be carried whole by a few
            return self._to_relays(wire)
        out: list[Out] = []
        for other in self._regions():
            if not self.has_duty(f"carry {self._region} {other}", self._region, CARRIERS):
                continue
            there = [c for c in self.live(other) if c.liveness is Liveness.UP] or self.live(other)
            if address := self.address(self.random.choice(there).name):
                datagrams = self._datagrams([self._wire(now, record) for record in near])
                out += [(address, datagram | {"p": 1}) for datagram in datagrams]
        return out

    def _passed_on(self, records: list[list[Any]]) -> list[Out]:
        """News from another region, for all of this one."""
        datagram = {"t": "cards", "c": records}
        mates = self._mates()
        if len(mates) > MESH:
            mates = self.random.sample(mates, VIEW)
        return [(post, datagram) for post in mates]

    def _to_a_lost_one(self) -> list[Out]:
        """A message now and then: parts of a fleet that was cut find each other though no seed is up."""
        lost = [
            c
            for c in self.others()
            if c.liveness is Liveness.LOST and not c.leaving and c.identity is not None
        ]
        if not lost or self.ticks % 2:
            return []
        return [(self.random.choice(lost).identity["post"], self.hello())]  # type: ignore[index]

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
        """Ticks that an update takes through views that are passed on, beyond what a mesh takes.

        About log n / log VIEW of them reach all but a few in a hundred, and a record rises each tick."""
        n = len(self.live(self._region))
        return 0.0 if n <= MESH else math.ceil(math.log(n) / math.log(VIEW)) + 1.0

    def silent(self, now: float, record: MemberRecord) -> float:
        """Ticks since another's record was due."""
        return (now - record.written) / TICK_S - self.hops

    def _judge(self, now: float) -> None:
        self.hops = self._hops()
        for record in self.others():
            self._stands(record, self._standing(now, record), now)
            if now - record.written > FORGET_S:
                del self.records[record.name]
                self.forgotten_total += 1
        if self.ticks % LOST_SWEEP_TICKS == 0:
            oldest = now - LOST_KEPT_S
            self._last_lost = {name: lost for name, lost in self._last_lost.items() if lost.at > oldest}

    def _standing(self, now: float, record: MemberRecord) -> Liveness:
        silent = self.silent(now, record)
        if silent > LOST_TICKS:
            return Liveness.LOST
        return Liveness.SUSPECT if silent > SUSPECT_TICKS else Liveness.UP

    def _stands(self, record: MemberRecord, standing: Liveness, now: float) -> None:
        """The one change of a record's standing."""
        if standing is Liveness.LOST:
            self._last_lost[record.name] = Lost(record.stamp, now)
        elif standing is Liveness.UP and (lost := self._last_lost.get(record.name)) is not None:
            # Another incarnation is another life, also a lower one, of a machine whose clock went back
            newer = record.stamp > lost.stamp or record.incarnation != lost.stamp[0]
            self.invariants.check(
                Invariant.MEMBER_NOT_REVIVED,
                newer,
                f"{record.name} is up by record {record.stamp}, lost at {lost.stamp}",
            )
        record.liveness = standing

    # ---- messages ---------------------------------------------------------------------------------

    def _wire(self, now: float, record: MemberRecord) -> list[Any]:
        """A record as this process passes it on: with how long ago it was written."""
        return record.wire() if record is self.me else record.wire(now - record.written)

    def _datagrams(self, wires: list[list[Any]]) -> list[Message]:
        """Cards in datagrams of bounded size."""
        parts = range(0, len(wires), PER_DATAGRAM)
        out: list[Message] = [{"t": "cards", "c": wires[at : at + PER_DATAGRAM]} for at in parts]
        if self._wanting:
            out[0]["w"] = sorted(self._wanting)[:PER_DATAGRAM]
        return out

    def hello(self) -> Message:
        """This process's record and what never changes of it; the answer names all that are known there."""
        return {"t": "hello", "c": [self.me.wire()], "x": {self.me.name: self.me.identity}}

    def bye(self) -> list[Out]:
        """This process ends: all that are known are told at once."""
        self.me.leaving, self.me.ready = True, False
        self.me.number += 1
        datagram = {"t": "cards", "c": [self.me.wire()]}
        return [(c.identity["post"], datagram) for c in self.others() if c.identity is not None]

    def take(self, now: float, back: str, message: Message, held_up: float = 0.0) -> Received:
        """A message from another process, whose address is `back`.

        :param held_up: seconds that it may have waited here before it was read, at the most
        """
        self.heard_any = True
        told = [ToldRecord.of(wire) for wire in message.get("c", ())]
        taken = [record for record in told if self._take_record(now, record, held_up)]
        for name, still in message.get("x", {}).items():
            self._introduce(name, still)
        # What was held up is passed on by nobody: it would arrive as if it had just been written
        out = self._passed_on(message["c"]) if message.get("p") and not held_up else []
        kind = message["t"]
        asked = [name for name in message.get("w", ()) if name in self.records]
        if kind == "hello":
            asked = [name for name in self.records if self.records[name].identity is not None]
        for at in range(0, len(asked), PER_DATAGRAM):
            records = [self.records[name] for name in asked[at : at + PER_DATAGRAM]]
            still = {record.name: record.identity for record in records if record.identity is not None}
            wires = [self._wire(now, record) for record in records]
            out.append((back, {"t": "cards", "c": wires, "x": still}))
        if self._wanting and kind == "cards":
            out.append((back, {"t": "want", "w": sorted(self._wanting)[:PER_DATAGRAM]}))
        return Received(taken, out)

    def _introduce(self, name: str, still: Message) -> None:
        """What never changes of a member whose record is known."""
        record = self.records.get(name)
        if record is None or record is self.me or not isinstance(still, dict):
            return
        record.identity = still
        self._wanting.discard(name)

    def _learn(self, name: str) -> MemberRecord:
        """A record for a name that is not known here, or is not any more."""
        self.relearned_total += name in self._last_lost
        record = self.records[name] = MemberRecord(name, -1, liveness=Liveness.LOST)
        return record

    def _take_record(self, now: float, told: ToldRecord, held_up: float) -> bool:
        """Whether it is newer than what is known of its process; then it is kept."""
        if told.name == self.me.name:
            if told.stamp > self.me.stamp:  # of an earlier life: refuted
                self.me.incarnation, self.me.number = told.incarnation + 1, 0
            return False
        written = now - told.silence - held_up
        record = self.records.get(told.name)
        if record is None:
            if now - written > FORGET_S:  # whoever told it is about to forget it
                return False
            record = self._learn(told.name)
        if record.identity is None:
            self._wanting.add(told.name)
        stamp, known = told.stamp, record.stamp
        if stamp == known:
            record.written = min(record.written, written)
        if stamp <= known:
            return False
        record.take(told, written)
        self._stands(record, self._standing(now, record), now)
        return True
