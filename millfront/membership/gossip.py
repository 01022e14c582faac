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
from millfront.membership.record import PARTIAL, Liveness, MemberRecord, Message, UnreachableMark, WireRecord

TICK_S = 1.0
MAX_MESH = 64  # of a region that are told directly; of a larger one a view that is shuffled, and passes on
VIEW_SIZE = 8  # members in such a view
SUSPECT_TICKS = 2.2  # a record that late may be one lost datagram
UNREACHABLE_TICKS = 3.2  # three lost in a row at 2% each would be one in 100,000
FORGET_S = 60.0
UNREACHABLE_RETENTION_S = 10.0 * FORGET_S  # so long it is remembered by which record a member was judged lost
UNREACHABLE_SWEEP_TICKS = 64
RECORDS_PER_DATAGRAM = 10  # records in one datagram: keeps it near a kilobyte or two
BUNDLE_SENDERS = 2  # of a region that tell another one: one may be gone without being missed yet
RELAYS = 2  # of another region that get a single record and pass it on there
MAX_BUNDLED_REGION = (
    9  # a larger region is not carried whole by a few: each process sends its own record to relays
)
SHUFFLE_TICKS = 5

OutMessage = tuple[str, Message]  # address, message


@dataclass(frozen=True, slots=True)
class Received:
    """What became of a message: the records in it that were news, and what is to be sent."""

    newer: list[WireRecord]
    out: list[OutMessage]


def weight(key: str, name: str) -> bytes:
    """Rendezvous weight: who has most of a key's is its owner."""
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def owners(key: str, names: list[str], count: int = 1) -> list[str]:
    """The first by weight: ownership by key, the same wherever the names are the same."""
    return sorted(names, key=lambda name: weight(key, name), reverse=True)[:count]


class Membership:
    """One process's picture of the fleet."""

    def __init__(
        self,
        name: str,
        identity: Message,
        seeds: list[str],
        incarnation: int,
        seed: int,
        invariants: Invariants | None = None,
    ) -> None:
        """:param identity: ``post`` (address), ``zone``, ``region``, ``plain``, ``core`` (it has a disk)
        :param seeds: addresses that may know more
        """
        self.own_record = MemberRecord(name, incarnation, identity=identity)
        self.records: dict[str, MemberRecord] = {name: self.own_record}
        self.seeds = seeds
        self.random = random.Random(seed)
        self.started_at = 0.0
        self.ticks = 0
        self.view: list[str] = []
        self.heard_any = False
        self.relay_ticks = 0.0  # as of the last tick
        self._unidentified: set[str] = set()
        self.invariants = invariants or Invariants()
        self.forgotten_total = self.relearned_total = 0
        self._last_unreachable: dict[str, UnreachableMark] = {}  # of members that were judged lost, by name

    # ---- who there is --------------------------------------------------------------------------

    def others(self) -> list[MemberRecord]:
        """The records of all processes but this one, lost ones among them."""
        return [record for record in self.records.values() if record is not self.own_record]

    def live(self, region: str | None = None) -> list[MemberRecord]:
        """Those heard of lately that are not leaving, this one among them."""
        return [
            record
            for record in self.records.values()
            if (
                record is self.own_record
                or (record.liveness is not Liveness.UNREACHABLE and not record.leaving)
            )
            and record.identity is not None
            and (region is None or record.identity["region"] == region)
        ]

    def live_names(self, region: str | None = None) -> list[str]:
        """The sorted names of the live ones, of one region or of all."""
        return sorted(record.name for record in self.live(region))

    def count(self) -> int:
        """n: all that may be running, the lost among them until they are forgotten."""
        return len(self.records)

    def possibly_running(self, now: float, gone_after: float) -> tuple[set[str], set[str]]:
        """All processes that may be admitting, and of these the ones that are not heard of.

        :param gone_after: seconds after which a lost one is known to admit nothing; infinite if that can't be
        """
        names, silent = set(), set()
        oldest = now - gone_after - TICK_S * self.relay_ticks  # what is under way may still be heard
        for record in self.records.values():
            if record is not self.own_record and record.written_at < oldest:
                continue
            names.add(record.name)
            if record is not self.own_record and record.liveness is not Liveness.UP and not record.leaving:
                silent.add(record.name)
        return names, silent

    def owns(self, key: str, region: str | None = None, count: int = 1) -> bool:
        """Whether this process is among the ``count`` owners of a key, as far as it sees."""
        return self.own_record.name in owners(key, self.live_names(region), count)

    def succession(self, key: str) -> list[str]:
        """The live processes in the order in which they take over a key's duty.

        One with a disk is first: whoever is in touch hears it, and where it is lost nobody counts as in touch
        for a while. Then one without, since all that have a disk may be lost together; and so on in turn, by
        weight among equals."""
        live = {record.name: bool((record.identity or {}).get("core")) for record in self.live()}
        ordered = owners(key, list(live), len(live))
        with_disk = [name for name in ordered if live[name]]
        without = [name for name in ordered if not live[name]]
        pairs = itertools.zip_longest(with_disk, without)
        return [name for pair in pairs for name in pair if name is not None]

    def address(self, name: str) -> str | None:
        """Where a process is reached by others of the system; None where it is not known yet."""
        record = self.records.get(name)
        return record.identity["post"] if record is not None and record.identity is not None else None

    # ---- each tick -----------------------------------------------------------------------------

    def tick(self, now: float, changed: dict[str, list[float]] | None = None) -> list[OutMessage]:
        """Write this process's record anew, judge the others', and tell the view.

        :param changed: of the totals those to be told; None: all
        """
        if not self.started_at:
            self.started_at = now
        self.ticks += 1
        self.own_record.sequence += 1
        self.own_record.uptime = now - self.started_at
        self._assess_all(now)
        out: list[OutMessage] = []
        if not self.heard_any or self.ticks % SHUFFLE_TICKS == 1:
            out += [(seed, self.hello()) for seed in self.seeds if seed != self.own_record.identity["post"]]  # type: ignore[index]
        out += self._to_unreachable()
        self._shuffle()
        wires = [self.own_record.to_wire(changed=changed)]
        if len(self.live(self._region)) > MAX_MESH:  # updates of others are passed on from here, too, once
            others = [c for c in self.others() if c.forwarded < c.sequence and c.identity is not None]
            wires += [self._to_wire(now, record) for record in others]
            for record in others:
                record.forwarded = record.sequence
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
        return str(self.own_record.identity["region"])  # type: ignore[index]

    def flush(self, changed: dict[str, list[float]] | None) -> list[OutMessage]:
        """This process's record before its tick: to all of its region, and to relays in the others.

        :param changed: of the totals those to be told; None: all
        """
        self.own_record.sequence += 1
        wire = self.own_record.to_wire(changed=changed)
        datagram = {"t": "cards", "c": [wire]}
        return [(post, datagram) for post in self._region_addresses()] + self._to_relays(wire)

    def _region_addresses(self) -> list[str]:
        """Addresses of the others of this region that are live."""
        return [
            c.identity["post"]
            for c in self.live(self._region)
            if c is not self.own_record and c.identity is not None
        ]

    def _other_regions(self) -> list[str]:
        return sorted({c.identity["region"] for c in self.live() if c.identity is not None} - {self._region})

    def _to_relays(self, wire: list[Any]) -> list[OutMessage]:
        """One record to the few of each other region who pass this process's on."""
        datagram = {"t": "cards", "c": [wire], "p": 1}
        names = [name for region in self._other_regions() for name in self._relays(region)]
        return [(address, datagram) for name in names if (address := self.address(name))]

    def _relays(self, region: str) -> list[str]:
        up = [record.name for record in self.live(region) if record.liveness is Liveness.UP]
        return owners(f"relay {self.own_record.name}", up or self.live_names(region), RELAYS)

    def _to_other_regions(self, now: float, wire: list[Any]) -> list[OutMessage]:
        """Each tick: of a small region a few carry all records, each to one there who passes them on."""
        near = self.live(self._region)
        if len(near) > MAX_BUNDLED_REGION or wire[3] & PARTIAL:  # too much to be carried whole by a few
            return self._to_relays(wire)
        out: list[OutMessage] = []
        for other in self._other_regions():
            if not self.owns(f"carry {self._region} {other}", self._region, BUNDLE_SENDERS):
                continue
            there = [c for c in self.live(other) if c.liveness is Liveness.UP] or self.live(other)
            if address := self.address(self.random.choice(there).name):
                datagrams = self._datagrams([self._to_wire(now, record) for record in near])
                out += [(address, datagram | {"p": 1}) for datagram in datagrams]
        return out

    def _forward(self, records: list[list[Any]]) -> list[OutMessage]:
        """News from another region, for all of this one."""
        datagram = {"t": "cards", "c": records}
        addresses = self._region_addresses()
        if len(addresses) > MAX_MESH:
            addresses = self.random.sample(addresses, VIEW_SIZE)
        return [(post, datagram) for post in addresses]

    def _to_unreachable(self) -> list[OutMessage]:
        """A message now and then: parts of a fleet that was cut find each other though no seed is up."""
        unreachable = [
            c
            for c in self.others()
            if c.liveness is Liveness.UNREACHABLE and not c.leaving and c.identity is not None
        ]
        if not unreachable or self.ticks % 2:
            return []
        return [(self.random.choice(unreachable).identity["post"], self.hello())]  # type: ignore[index]

    def _shuffle(self) -> None:
        """The view: all of a small region; of a large one half stays and half is drawn anew."""
        known = [c.name for c in self.live(self._region) if c is not self.own_record]
        if len(known) <= MAX_MESH:
            self.view = known
            return
        kept = [name for name in self.view if name in known]
        max_kept = (
            VIEW_SIZE // 2 if self.ticks % SHUFFLE_TICKS == 0 else VIEW_SIZE
        )  # the region may have been a mesh till now
        kept = self.random.sample(kept, min(len(kept), max_kept))
        fresh = [name for name in known if name not in kept]
        self.view = kept + self.random.sample(fresh, min(len(fresh), VIEW_SIZE - len(kept)))

    def _count_relay_ticks(self) -> float:
        """Ticks that an update takes through views that are passed on, beyond what a mesh takes.

        About log n / log VIEW of them reach all but a few in a hundred, and a record rises each tick."""
        n = len(self.live(self._region))
        return 0.0 if n <= MAX_MESH else math.ceil(math.log(n) / math.log(VIEW_SIZE)) + 1.0

    def ticks_overdue(self, now: float, record: MemberRecord) -> float:
        """Ticks since another's record was due."""
        return (now - record.written_at) / TICK_S - self.relay_ticks

    def _assess_all(self, now: float) -> None:
        self.relay_ticks = self._count_relay_ticks()
        for record in self.others():
            self._set_liveness(record, self._assess(now, record), now)
            if now - record.written_at > FORGET_S:
                del self.records[record.name]
                self.forgotten_total += 1
        if self.ticks % UNREACHABLE_SWEEP_TICKS == 0:
            oldest = now - UNREACHABLE_RETENTION_S
            self._last_unreachable = {
                name: lost for name, lost in self._last_unreachable.items() if lost.at > oldest
            }

    def _assess(self, now: float, record: MemberRecord) -> Liveness:
        overdue = self.ticks_overdue(now, record)
        if overdue > UNREACHABLE_TICKS:
            return Liveness.UNREACHABLE
        return Liveness.SUSPECT if overdue > SUSPECT_TICKS else Liveness.UP

    def _set_liveness(self, record: MemberRecord, liveness: Liveness, now: float) -> None:
        """The one change of a record's standing."""
        if liveness is Liveness.UNREACHABLE:
            self._last_unreachable[record.name] = UnreachableMark(record.stamp, now)
        elif liveness is Liveness.UP and (mark := self._last_unreachable.get(record.name)) is not None:
            # Another incarnation is another life, also a lower one, of a machine whose clock went back
            newer = record.stamp > mark.stamp or record.incarnation != mark.stamp[0]
            self.invariants.check(
                Invariant.MEMBER_NOT_REVIVED,
                newer,
                f"{record.name} is up by record {record.stamp}, lost at {mark.stamp}",
            )
        record.liveness = liveness

    # ---- messages ---------------------------------------------------------------------------------

    def _to_wire(self, now: float, record: MemberRecord) -> list[Any]:
        """A record as this process passes it on: with how long ago it was written."""
        return record.to_wire() if record is self.own_record else record.to_wire(now - record.written_at)

    def _datagrams(self, wires: list[list[Any]]) -> list[Message]:
        """Cards in datagrams of bounded size."""
        parts = range(0, len(wires), RECORDS_PER_DATAGRAM)
        out: list[Message] = [{"t": "cards", "c": wires[at : at + RECORDS_PER_DATAGRAM]} for at in parts]
        if self._unidentified:
            out[0]["w"] = sorted(self._unidentified)[:RECORDS_PER_DATAGRAM]
        return out

    def hello(self) -> Message:
        """This process's record and what never changes of it; the answer names all that are known there."""
        return {
            "t": "hello",
            "c": [self.own_record.to_wire()],
            "x": {self.own_record.name: self.own_record.identity},
        }

    def bye(self) -> list[OutMessage]:
        """This process ends: all that are known are told at once."""
        self.own_record.leaving, self.own_record.ready = True, False
        self.own_record.sequence += 1
        datagram = {"t": "cards", "c": [self.own_record.to_wire()]}
        return [(c.identity["post"], datagram) for c in self.others() if c.identity is not None]

    def handle_message(self, now: float, reply_to: str, message: Message, delay: float = 0.0) -> Received:
        """A message from another process, whose address is `back`.

        :param delay: seconds that it may have waited here before it was read, at the most
        """
        self.heard_any = True
        records = [WireRecord.from_wire(wire) for wire in message.get("c", ())]
        newer = [record for record in records if self._handle_record(now, record, delay)]
        for name, identity in message.get("x", {}).items():
            self._set_identity(name, identity)
        # What was held up is passed on by nobody: it would arrive as if it had just been written
        out = self._forward(message["c"]) if message.get("p") and not delay else []
        kind = message["t"]
        asked = [name for name in message.get("w", ()) if name in self.records]
        if kind == "hello":
            asked = [name for name in self.records if self.records[name].identity is not None]
        for at in range(0, len(asked), RECORDS_PER_DATAGRAM):
            named = [self.records[name] for name in asked[at : at + RECORDS_PER_DATAGRAM]]
            identity = {record.name: record.identity for record in named if record.identity is not None}
            wires = [self._to_wire(now, record) for record in named]
            out.append((reply_to, {"t": "cards", "c": wires, "x": identity}))
        if self._unidentified and kind == "cards":
            out.append((reply_to, {"t": "want", "w": sorted(self._unidentified)[:RECORDS_PER_DATAGRAM]}))
        return Received(newer, out)

    def _set_identity(self, name: str, identity: Message) -> None:
        """What never changes of a member whose record is known."""
        record = self.records.get(name)
        if record is None or record is self.own_record or not isinstance(identity, dict):
            return
        record.identity = identity
        self._unidentified.discard(name)

    def _add_record(self, name: str) -> MemberRecord:
        """A record for a name that is not known here, or is not any more."""
        self.relearned_total += name in self._last_unreachable
        record = self.records[name] = MemberRecord(name, -1, liveness=Liveness.UNREACHABLE)
        return record

    def _handle_record(self, now: float, received: WireRecord, delay: float) -> bool:
        """Whether it is newer than what is known of its process; then it is kept."""
        if received.name == self.own_record.name:
            if received.stamp > self.own_record.stamp:  # of an earlier life: refuted
                self.own_record.incarnation, self.own_record.sequence = received.incarnation + 1, 0
            return False
        written_at = now - received.staleness - delay
        record = self.records.get(received.name)
        if record is None:
            if now - written_at > FORGET_S:  # whoever told it is about to forget it
                return False
            record = self._add_record(received.name)
        if record.identity is None:
            self._unidentified.add(received.name)
        stamp, known = received.stamp, record.stamp
        if stamp == known:
            record.written_at = min(record.written_at, written_at)
        if stamp <= known:
            return False
        record.update(received, written_at)
        self._set_liveness(record, self._assess(now, record), now)
        return True
