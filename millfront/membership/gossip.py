"""Gossip membership: members, their liveness, and the state that each publishes. No I/O, no clock.

Each process keeps a *record* of itself: an incarnation, a sequence number that rises each tick, flags, and
the tenants' totals. Records spread by shuffled partial views: each tick a process sends to its view within
the region, and the few owners of a key send to another region. A record with a higher (incarnation, sequence)
replaces a lower one, so that late and duplicate records change nothing. A process that receives a record of
itself above its own (it restarted, or its clock went back) refutes it by a higher incarnation. Liveness
follows from when a record was written, never from when it arrived: a forwarded record carries its age, so
that nobody takes a member that is gone for one that has just been heard (`record.py`). The identity, which
never changes within an incarnation (addresses, zone), is sent separately, and requested where it is missing.
Between regions a message goes to one or two processes only, which forward it within their region. A record
may be partial: of its totals only those that changed lately. Times are seconds on the caller's steady clock.
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
MAX_MESH = 64  # members of a region that all send to each other; a larger one gossips by shuffled views
VIEW_SIZE = 8  # members in a shuffled view
SUSPECT_TICKS = 2.2  # a record this late may be due to one lost datagram
UNREACHABLE_TICKS = 3.2  # three datagrams lost in a row: at 2% loss one in 100,000
FORGET_S = 60.0
UNREACHABLE_RETENTION_S = 10.0 * FORGET_S  # how long the mark of an unreachable member is kept
UNREACHABLE_SWEEP_TICKS = 64
RECORDS_PER_DATAGRAM = 10  # keeps a datagram near one or two kilobytes
BUNDLE_SENDERS = 2  # members that send a region's records to another: one may have failed unnoticed
RELAYS = 2  # members of another region that receive a single record and forward it there
MAX_BUNDLED_REGION = 9  # in a larger region each member sends its own record to relays
SHUFFLE_TICKS = 5

OutMessage = tuple[str, Message]  # address, message


@dataclass(frozen=True, slots=True)
class Received:
    """Result of a message: the records in it that were newer than those held, and what to send."""

    newer: list[WireRecord]
    out: list[OutMessage]


def weight(key: str, name: str) -> bytes:
    """Rendezvous weight: the member with the highest weight for a key is its owner."""
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def owners(key: str, names: list[str], count: int = 1) -> list[str]:
    """Rendezvous hashing: the ``count`` names with the highest weights, the same for the same names."""
    return sorted(names, key=lambda name: weight(key, name), reverse=True)[:count]


class Membership:
    """The members as one process knows them."""

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
        :param seeds: addresses of processes that may know other members
        """
        self.own_record = MemberRecord(name, incarnation, identity=identity)
        self.records: dict[str, MemberRecord] = {name: self.own_record}
        self.seeds = seeds
        self.random = random.Random(seed)
        self.started_at = 0.0
        self.ticks = 0
        self.view: list[str] = []
        self.heard_any = False
        self.relay_ticks = 0.0  # delay of records by forwarding, as of the last tick
        self._unidentified: set[str] = set()
        self.invariants = invariants or Invariants()
        self.forgotten_total = self.relearned_total = 0
        self._last_unreachable: dict[str, UnreachableMark] = {}  # by name, of members judged unreachable

    # ---- members -------------------------------------------------------------------------------

    def others(self) -> list[MemberRecord]:
        """The records of all other processes, including unreachable ones."""
        return [record for record in self.records.values() if record is not self.own_record]

    def live(self, region: str | None = None) -> list[MemberRecord]:
        """Members that are reachable and not leaving, including this one."""
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
        """Sorted names of the live members, of one region or of all."""
        return sorted(record.name for record in self.live(region))

    def count(self) -> int:
        """All members that may be running, unreachable ones included until they are forgotten."""
        return len(self.records)

    def possibly_running(self, now: float, gone_after: float) -> tuple[set[str], set[str]]:
        """All processes that may be admitting requests, and of these the ones that are not heard of.

        :param gone_after: seconds after which an unreachable process is known to admit nothing; infinite if
            that can't be known
        """
        names, unheard = set(), set()
        oldest = now - gone_after - TICK_S * self.relay_ticks  # a record still being relayed may yet arrive
        for record in self.records.values():
            if record is not self.own_record and record.written_at < oldest:
                continue
            names.add(record.name)
            if record is not self.own_record and record.liveness is not Liveness.UP and not record.leaving:
                unheard.add(record.name)
        return names, unheard

    def owns(self, key: str, region: str | None = None, count: int = 1) -> bool:
        """Whether this process is among the ``count`` owners of a key, by the members that it knows."""
        return self.own_record.name in owners(key, self.live_names(region), count)

    def succession(self, key: str) -> list[str]:
        """The live processes in the order in which they take over the role that belongs to a key.

        One with a disk is first: every connected process hears it, and when it is lost no process counts as
        connected for a while. Next is one without, since all that have a disk may be lost together; and so on
        alternately, by weight within each group."""
        live = {record.name: bool((record.identity or {}).get("core")) for record in self.live()}
        ordered = owners(key, list(live), len(live))
        with_disk = [name for name in ordered if live[name]]
        without = [name for name in ordered if not live[name]]
        pairs = itertools.zip_longest(with_disk, without)
        return [name for pair in pairs for name in pair if name is not None]

    def address(self, name: str) -> str | None:
        """Address at which other members reach this one; None where its identity is not known yet."""
        record = self.records.get(name)
        return record.identity["post"] if record is not None and record.identity is not None else None

    # ---- each tick -----------------------------------------------------------------------------

    def tick(self, now: float, changed: dict[str, list[float]] | None = None) -> list[OutMessage]:
        """Update this process's record, assess the liveness of the others, and send to the view.

        :param changed: the totals to send; None: all
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
        if len(self.live(self._region)) > MAX_MESH:  # each record of another is also forwarded once
            others = [
                member
                for member in self.others()
                if member.forwarded < member.sequence and member.identity is not None
            ]
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
        """Send this process's record ahead of its tick, to all of its region and to relays in the others.

        :param changed: the totals to send; None: all
        """
        self.own_record.sequence += 1
        wire = self.own_record.to_wire(changed=changed)
        datagram = {"t": "cards", "c": [wire]}
        return [(address, datagram) for address in self._region_addresses()] + self._to_relays(wire)

    def _region_addresses(self) -> list[str]:
        """Addresses of the other live members of this region."""
        return [
            member.identity["post"]
            for member in self.live(self._region)
            if member is not self.own_record and member.identity is not None
        ]

    def _other_regions(self) -> list[str]:
        return sorted(
            {member.identity["region"] for member in self.live() if member.identity is not None}
            - {self._region}
        )

    def _to_relays(self, wire: list[Any]) -> list[OutMessage]:
        """This process's record to its relays in each other region."""
        datagram = {"t": "cards", "c": [wire], "p": 1}
        names = [name for region in self._other_regions() for name in self._relays(region)]
        return [(address, datagram) for name in names if (address := self.address(name))]

    def _relays(self, region: str) -> list[str]:
        up = [record.name for record in self.live(region) if record.liveness is Liveness.UP]
        return owners(f"relay {self.own_record.name}", up or self.live_names(region), RELAYS)

    def _to_other_regions(self, now: float, wire: list[Any]) -> list[OutMessage]:
        """Each tick: for a small region a few members send all records, each to one relay in the other
        region; in a larger one each member sends its own."""
        near = self.live(self._region)
        if len(near) > MAX_BUNDLED_REGION or wire[3] & PARTIAL:  # too much for a few members to send in full
            return self._to_relays(wire)
        out: list[OutMessage] = []
        for other in self._other_regions():
            if not self.owns(f"carry {self._region} {other}", self._region, BUNDLE_SENDERS):
                continue
            there = [member for member in self.live(other) if member.liveness is Liveness.UP] or self.live(
                other
            )
            if address := self.address(self.random.choice(there).name):
                datagrams = self._datagrams([self._to_wire(now, record) for record in near])
                out += [(address, datagram | {"p": 1}) for datagram in datagrams]
        return out

    def _forward(self, records: list[list[Any]]) -> list[OutMessage]:
        """Forward records from another region within this one."""
        datagram = {"t": "cards", "c": records}
        addresses = self._region_addresses()
        if len(addresses) > MAX_MESH:
            addresses = self.random.sample(addresses, VIEW_SIZE)
        return [(address, datagram) for address in addresses]

    def _to_unreachable(self) -> list[OutMessage]:
        """A hello to an unreachable member every second tick: after a partition its sides find each other
        even if no seed is up."""
        unreachable = [
            member
            for member in self.others()
            if member.liveness is Liveness.UNREACHABLE and not member.leaving and member.identity is not None
        ]
        if not unreachable or self.ticks % 2:
            return []
        return [(self.random.choice(unreachable).identity["post"], self.hello())]  # type: ignore[index]

    def _shuffle(self) -> None:
        """Choose the view: all of a small region; of a large one half is kept and half is drawn anew."""
        known = [member.name for member in self.live(self._region) if member is not self.own_record]
        if len(known) <= MAX_MESH:
            self.view = known
            return
        kept = [name for name in self.view if name in known]
        # Until now the region may have been a mesh, so that the view is larger than VIEW_SIZE
        max_kept = VIEW_SIZE // 2 if self.ticks % SHUFFLE_TICKS == 0 else VIEW_SIZE
        kept = self.random.sample(kept, min(len(kept), max_kept))
        fresh = [name for name in known if name not in kept]
        self.view = kept + self.random.sample(fresh, min(len(fresh), VIEW_SIZE - len(kept)))

    def _count_relay_ticks(self) -> float:
        """Ticks that an update takes by forwarding through views, beyond what it takes in a mesh.

        About log n / log VIEW_SIZE ticks reach all but a few percent of the members, and each tick brings a
        newer record."""
        n = len(self.live(self._region))
        return 0.0 if n <= MAX_MESH else math.ceil(math.log(n) / math.log(VIEW_SIZE)) + 1.0

    def ticks_overdue(self, now: float, record: MemberRecord) -> float:
        """Ticks by which the record of another member is overdue."""
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
                name: mark for name, mark in self._last_unreachable.items() if mark.at > oldest
            }

    def _assess(self, now: float, record: MemberRecord) -> Liveness:
        overdue = self.ticks_overdue(now, record)
        if overdue > UNREACHABLE_TICKS:
            return Liveness.UNREACHABLE
        return Liveness.SUSPECT if overdue > SUSPECT_TICKS else Liveness.UP

    def _set_liveness(self, record: MemberRecord, liveness: Liveness, now: float) -> None:
        """Set the liveness of a record; the only place where it changes."""
        if liveness is Liveness.UNREACHABLE:
            self._last_unreachable[record.name] = UnreachableMark(record.stamp, now)
        elif liveness is Liveness.UP and (mark := self._last_unreachable.get(record.name)) is not None:
            # Another incarnation is another run of the process; also a lower one, where the clock went back
            newer = record.stamp > mark.stamp or record.incarnation != mark.stamp[0]
            self.invariants.check(
                Invariant.MEMBER_NOT_REVIVED,
                newer,
                f"{record.name} is up by record {record.stamp}, was unreachable at record {mark.stamp}",
            )
        record.liveness = liveness

    # ---- messages ---------------------------------------------------------------------------------

    def _to_wire(self, now: float, record: MemberRecord) -> list[Any]:
        """A record as this process sends it: one of another member with how long ago it was written."""
        return record.to_wire() if record is self.own_record else record.to_wire(now - record.written_at)

    def _datagrams(self, wires: list[list[Any]]) -> list[Message]:
        """Records in datagrams of bounded size."""
        parts = range(0, len(wires), RECORDS_PER_DATAGRAM)
        out: list[Message] = [{"t": "cards", "c": wires[at : at + RECORDS_PER_DATAGRAM]} for at in parts]
        if self._unidentified:
            out[0]["w"] = sorted(self._unidentified)[:RECORDS_PER_DATAGRAM]
        return out

    def hello(self) -> Message:
        """This process's record and identity; the answer has all members known to the receiver."""
        return {
            "t": "hello",
            "c": [self.own_record.to_wire()],
            "x": {self.own_record.name: self.own_record.identity},
        }

    def bye(self) -> list[OutMessage]:
        """This process exits: notify all known members at once."""
        self.own_record.leaving, self.own_record.ready = True, False
        self.own_record.sequence += 1
        datagram = {"t": "cards", "c": [self.own_record.to_wire()]}
        return [
            (member.identity["post"], datagram) for member in self.others() if member.identity is not None
        ]

    def handle_message(self, now: float, reply_to: str, message: Message, delay: float = 0.0) -> Received:
        """Handle a message from another process.

        :param reply_to: the address of its sender
        :param delay: upper bound of the seconds that it waited here before it was read
        """
        self.heard_any = True
        records = [WireRecord.from_wire(wire) for wire in message.get("c", ())]
        newer = [record for record in records if self._handle_record(now, record, delay)]
        for name, identity in message.get("x", {}).items():
            self._set_identity(name, identity)
        # Delayed records are not forwarded: they would arrive as if they had just been written
        out = self._forward(message["c"]) if message.get("p") and not delay else []
        kind = message["t"]
        requested = [name for name in message.get("w", ()) if name in self.records]
        if kind == "hello":
            requested = [name for name in self.records if self.records[name].identity is not None]
        for at in range(0, len(requested), RECORDS_PER_DATAGRAM):
            named = [self.records[name] for name in requested[at : at + RECORDS_PER_DATAGRAM]]
            identity = {record.name: record.identity for record in named if record.identity is not None}
            wires = [self._to_wire(now, record) for record in named]
            out.append((reply_to, {"t": "cards", "c": wires, "x": identity}))
        if self._unidentified and kind == "cards":
            out.append((reply_to, {"t": "want", "w": sorted(self._unidentified)[:RECORDS_PER_DATAGRAM]}))
        return Received(newer, out)

    def _set_identity(self, name: str, identity: Message) -> None:
        """Store the identity of a member whose record is known."""
        record = self.records.get(name)
        if record is None or record is self.own_record or not isinstance(identity, dict):
            return
        record.identity = identity
        self._unidentified.discard(name)

    def _add_record(self, name: str) -> MemberRecord:
        """Add a record for a name that is not known here, or was forgotten."""
        self.relearned_total += name in self._last_unreachable
        record = self.records[name] = MemberRecord(name, -1, liveness=Liveness.UNREACHABLE)
        return record

    def _handle_record(self, now: float, received: WireRecord, delay: float) -> bool:
        """Store a received record if it is newer than the one held; returns whether it was."""
        if received.name == self.own_record.name:
            if received.stamp > self.own_record.stamp:  # of an earlier run of this process: refuted
                self.own_record.incarnation, self.own_record.sequence = received.incarnation + 1, 0
            return False
        written_at = now - received.staleness - delay
        record = self.records.get(received.name)
        if record is None:
            if now - written_at > FORGET_S:  # its sender is about to forget it
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
