"""The registry: versioned values on a majority of the core's disks. No log, no leader, no I/O, no clock.

A value is (version, tie, data); of two the higher (version, tie) holds, wherever it is. A *keeper* stands on
each core machine and answers from what its disk has synced. A *clerk*, in any process, writes to all keepers
and is done with a majority W = N // 2 + 1; it reads from a majority and writes back what it found before it
answers. A follower's question which versions are newest needs only R = N - W + 1 answers: W + R > N, so one
of those asked has what was acknowledged.

Who the keepers are changes through the keepers themselves: a clerk *decides* who the next core's are, by a
ballot over a majority of the present one (a promise, then an acceptance), so that of an epoch there is one
core (`postings` has the rest). Calls name the epoch of the core that they are meant for, and a keeper
answers none of another epoch than its own.

A keeper whose disk was found empty though the system is not starting for the first time has forgotten what it
may have acknowledged: it recovers from R others before it answers anybody (docs/design/system.md has the
bound).
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

Message = dict[str, Any]
CORE = "core"  # the key of the core itself
LIFE = "life/"  # and a keeper's name: the key of its life, which ends with its disk
FOUNDED = 2  # the first epoch that all members have agreed to
# What this keeper has promised and accepted of the next core, by epoch and ballot: each keeper's own
PROMISED, ACCEPTED = "own/promised", "own/accepted"
OWN = "own/"
BALLOTS = 1_000_000  # of one epoch


def write_quorum(core: int) -> int:
    """W: acknowledged is what so many keepers have synced.

    >>> [(n, write_quorum(n), read_quorum(n)) for n in (1, 3, 4, 6, 8)]
    [(1, 1, 1), (3, 2, 2), (4, 3, 2), (6, 4, 3), (8, 5, 4)]
    """
    return core // 2 + 1


def read_quorum(core: int) -> int:
    """R: of so many answers one knows what was acknowledged."""
    return core - write_quorum(core) + 1


@dataclass(frozen=True, slots=True, order=True)
class Value:
    """One version of one key."""

    version: int
    tie: str
    data: str = field(compare=False)

    @property
    def stamp(self) -> list[Any]:
        return [self.version, self.tie]

    def wire(self) -> list[Any]:
        return [self.version, self.tie, self.data]

    @classmethod
    def of(cls, wire: Any) -> "Value":
        """:raises ValueError: it is no value"""
        match wire:
            case [int() as version, str() as tie, str() as data]:
                return cls(version, tie, data)
        raise ValueError("no value")


def ballot_version(epoch: int, number: int) -> int:
    """Of the next core after `epoch`: later epochs, then later ballots, are higher."""
    return epoch * BALLOTS + min(number, BALLOTS - 1)


class Voting(Enum):
    """Whether a keeper's word counts."""

    NEW = "new: the system starts for the first time"
    RECOVERING = "recovering: its disk was lost"
    VOTING = "voting"


@dataclass(slots=True)
class Persist:
    """To be synced to the disk; then the keeper is told by `synced`."""

    values: dict[str, Value]
    then: tuple[Any, Message]  # whom to answer, and what
    epoch: int = 0  # of the core that asked for it; 0: whichever


@dataclass(frozen=True, slots=True)
class Core:
    """Who keeps the registry: names and addresses, of one epoch. While it changes (``old`` is not empty),
    both the old and the new members must agree to everything."""

    epoch: int
    members: dict[str, str]
    old: dict[str, str] = field(default_factory=dict)

    @classmethod
    def of(cls, value: Value) -> "Core":
        """:raises ValueError: it is no core"""
        told = json.loads(value.data)
        return cls(value.version, dict(told["m"]), dict(told.get("o") or {}))

    def value(self, tie: str = "") -> Value:
        return Value(self.epoch, tie, json.dumps({"m": self.members, "o": self.old}, sort_keys=True))

    @property
    def sets(self) -> tuple[dict[str, str], ...]:
        return (self.members, self.old) if self.old else (self.members,)

    @property
    def all(self) -> dict[str, str]:
        return {**self.old, **self.members}

    def majority(self, names: Iterable[str]) -> bool:
        """Whether what these have synced is acknowledged."""
        had = set(names)
        return all(len(had & set(part)) >= write_quorum(len(part)) for part in self.sets)

    def covers(self, names: Iterable[str]) -> bool:
        """Whether one of these knows what was acknowledged."""
        had = set(names)
        return all(len(had & set(part)) >= read_quorum(len(part)) for part in self.sets)


class Keeper:
    """The part of the registry that stands on one core machine."""

    def __init__(self, kept: dict[str, Value], fresh: bool) -> None:
        """:param kept: what the disk has; nothing, and not fresh: the disk was lost"""
        self.values = dict(kept)
        held = kept.get(CORE)
        founded = held is not None and held.version >= FOUNDED
        begun = held is not None or fresh  # a founding that was cut off goes on
        self.state = Voting.VOTING if founded else Voting.NEW if begun else Voting.RECOVERING

    def become(self, state: Voting) -> None:
        """The one change of state."""
        self.state = state

    @property
    def votes(self) -> bool:
        return self.state is Voting.VOTING

    def lives(self) -> dict[str, int]:
        """Of keepers that have lost a disk, as far as this one was told; the first life is 0."""
        return {key[len(LIFE) :]: held.version for key, held in self.values.items() if key.startswith(LIFE)}

    def stamps(self) -> dict[str, list[Any]]:
        return {key: value.stamp for key, value in self.values.items() if not key.startswith(OWN)}

    def handle(self, back: Any, message: Message) -> tuple[list[tuple[Any, Message]], list[Persist]]:
        """A clerk's, a follower's or a founder's call; answers go to `back`."""
        ref, kind = message.get("r"), message["t"]
        held = self.values.get(CORE)
        if kind == "found?":
            return self._propose(back, ref, Value.of(message["v"]))
        epoch = message.get("e", 0)
        if not self.votes or held is None or epoch != held.version:  # the fence: of another core
            # One that recovers keeps nothing by itself: what it had on its disk then would count as whole
            if kind == "store" and CORE in message["v"] and self.state is not Voting.RECOVERING:
                return self._store(back, ref, {CORE: message["v"][CORE]})
            behind = {"behind": True} if held is not None and epoch > held.version else {}
            return [(back, self._no(ref) | behind)], []
        match kind:
            case "store":
                return self._store(back, ref, message["v"], epoch)
            case "recover":
                return self._heir(back, ref, message["n"], message["l"])
            case "promise?" | "accept?":
                return self._ballot(back, ref, epoch, message)
            case "fetch":
                keys = message.get("k")
                return [(back, self._told(ref, keys))], []
            case "ask":
                return [(back, {"t": "newest", "r": ref, "s": self.stamps()})], []
        return [(back, self._no(ref))], []

    def _no(self, ref: Any) -> Message:
        held = self.values.get(CORE)
        return {"t": "no", "r": ref} | ({"core": held.wire()} if held is not None and self.votes else {})

    def _propose(self, back: Any, ref: Any, core: Value) -> tuple[list[tuple[Any, Message]], list[Persist]]:
        """At the first start: every member agrees to the core, then it is marked with epoch 2."""
        held = self.values.get(CORE)
        if held is None and self.state is not Voting.NEW:
            return [(back, self._no(ref))], []
        if held is not None and core < held:
            return [(back, {"t": "no", "r": ref, "core": held.wire()})], []
        if held == core:
            return [(back, {"t": "agreed", "r": ref})], []
        return [], [Persist({CORE: core}, (back, {"t": "agreed", "r": ref}))]

    def _ballot(
        self, back: Any, ref: Any, epoch: int, message: Message
    ) -> tuple[list[tuple[Any, Message]], list[Persist]]:
        """On the core after this one: promise to accept no lower ballot, or accept what this one proposes."""
        number, whose = message["b"]
        mine = Value(ballot_version(epoch, number), whose, "")
        promised = self.values.get(PROMISED)
        if promised is not None and mine < promised:
            return [(back, {"t": "no", "r": ref, "b": promised.version % BALLOTS})], []
        if message["t"] == "accept?":
            taken = Value(mine.version, whose, message["v"])
            return [], [Persist({PROMISED: mine, ACCEPTED: taken}, (back, {"t": "accepted", "r": ref}))]
        return [], [Persist({PROMISED: mine}, (back, {"t": "promised", "r": ref}))]

    def _told(self, ref: Any, keys: list[str] | None = None) -> Message:
        found = {k: v.wire() for k, v in self.values.items() if keys is None or k in keys}
        return {"t": "found", "r": ref, "v": found, "l": self.lives()}

    def _heir(
        self, back: Any, ref: Any, name: str, life: int
    ) -> tuple[list[tuple[Any, Message]], list[Persist]]:
        """A keeper begins a new life: whoever asks here from now on learns that what it answered in an
        earlier one is worth nothing; then it is told all that is held here."""
        if self.lives().get(name, 0) >= life:
            return [(back, self._told(ref))], []
        return [], [Persist({LIFE + name: Value(life, "", "")}, (back, {"t": "heir", "r": ref}))]

    def _store(
        self, back: Any, ref: Any, wire: dict[str, Any], epoch: int = 0
    ) -> tuple[list[tuple[Any, Message]], list[Persist]]:
        told = {key: Value.of(value) for key, value in wire.items()}
        newer = {k: v for k, v in told.items() if k not in self.values or v > self.values[k]}
        answer: Message = {"t": "stored", "r": ref}
        if not newer:
            return [(back, answer | {"l": self.lives()} if self.votes else self._no(ref))], []
        return [], [Persist(newer, (back, answer), epoch)]

    def synced(self, persist: Persist, well: bool) -> list[tuple[Any, Message]]:
        """The disk has answered."""
        back, answer = persist.then
        if not well:
            return [(back, {"t": "no", "r": answer["r"]})]
        self._keep(persist.values)
        held = self.values.get(CORE)
        if self.state is Voting.NEW and held is not None and held.version >= FOUNDED:
            self.become(Voting.VOTING)
        if answer["t"] == "heir":
            return [(back, self._told(answer["r"]))]
        if answer["t"] in ("promised", "accepted"):
            if not self._still(persist.values[PROMISED]):
                return [(back, {"t": "no", "r": answer["r"]})]
            accepted = self.values.get(ACCEPTED)
            if accepted is not None and accepted.version // BALLOTS == self.values[CORE].version:
                answer = answer | {"a": accepted.wire()}
        if (
            persist.epoch
            and held is not None
            and persist.epoch != held.version
            and CORE not in persist.values
        ):
            return [(back, self._no(answer["r"]))]  # the core changed while the disk was at it
        if not self.votes and answer["t"] == "stored":
            return [(back, {"t": "no", "r": answer["r"]})]
        return [(back, answer | {"l": self.lives()})]

    def _still(self, ballot: Value) -> bool:
        """Whether, now that it is synced, no higher one was promised and the epoch is the same."""
        held = self.values[CORE]
        return ballot >= self.values[PROMISED] and held.version == ballot.version // BALLOTS

    def recovered(self) -> None:
        """What others had is synced here."""
        self.become(Voting.VOTING)

    def _keep(self, values: dict[str, Value]) -> None:
        for key, value in values.items():
            if key not in self.values or value > self.values[key]:
                self.values[key] = value


class Phase(Enum):
    """Of one round of a clerk: a read (and its write-back), a write, or a decision on the next core."""

    PROMISING = "promising"
    ACCEPTING = "accepting"
    READING = "reading"
    WRITING = "writing"
    DONE = "done"
    FAILED = "failed"


@dataclass(slots=True)
class Round:
    """One write, one read with its write-back or one decision, over the keepers of one core.

    `ballot` and `proposal` are a decision's; once it is DONE, `proposal` is what was chosen.
    """

    ref: str
    core: Core
    phase: Phase
    values: dict[str, Value]
    until: float
    keys: list[str] | None = None
    answered: dict[str, int] = field(default_factory=dict)  # who, and in which of its lives
    lives: dict[str, int] = field(default_factory=dict)  # the newest that any answer has told of
    sent: dict[str, float] = field(default_factory=dict)
    stale: bool = False  # a read found keepers that differ
    ballot: tuple[int, str] = (0, "")
    proposal: str = ""
    found: Value | None = None  # the highest that was accepted before
    promised: dict[str, int] = field(default_factory=dict)  # who did, and in which life
    highest: int = 0  # a ballot's number that stood in the way


AGAIN_S = 0.7  # to a keeper that has not answered


class Clerk:
    """Writes to and reads from a majority. Each call is a round that ends once, with DONE or FAILED."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.rounds: dict[str, Round] = {}
        self._next = 0

    def write(self, now: float, core: Core, values: dict[str, Value], within: float) -> Round:
        return self._begin(now, core, Phase.WRITING, values, within)

    def read(self, now: float, core: Core, keys: list[str] | None, within: float) -> Round:
        made = self._begin(now, core, Phase.READING, {}, within)
        made.keys = keys
        return made

    def decide(self, now: float, core: Core, number: int, proposal: str, within: float) -> Round:
        """Who the next core's are: `proposal`, unless another may have been chosen by an earlier ballot.

        :param number: of the ballot; a higher one than was seen before
        """
        made = self._begin(now, core, Phase.PROMISING, {}, within)
        made.ballot, made.proposal = (number, self.name), proposal
        return made

    def renew(self, round: Round, core: Core) -> None:
        """The core has changed under a read or a write: it begins anew with the new one."""
        self.rounds.pop(round.ref, None)
        self._next += 1
        round.ref, round.core = f"{self.name}/{self._next}", core
        round.answered, round.sent, round.lives = {}, {}, {}
        if round.phase is Phase.READING:
            round.values, round.stale = {}, False
        self.rounds[round.ref] = round

    def _begin(self, now: float, core: Core, phase: Phase, values: dict[str, Value], within: float) -> Round:
        self._next += 1
        made = Round(f"{self.name}/{self._next}", core, phase, values, now + within)
        self.rounds[made.ref] = made
        return made

    def drive(self, now: float, round: Round) -> list[tuple[str, Message]]:
        """What is to be sent now: first to all, then again to those that are silent or said no."""
        if round.phase in (Phase.DONE, Phase.FAILED):
            return []
        if now >= round.until:
            self._turn(round, Phase.FAILED)
            return []
        message: Message = {"r": round.ref, "e": round.core.epoch}
        match round.phase:
            case Phase.READING:
                message |= {"t": "fetch", "k": round.keys}
            case Phase.WRITING:
                message |= {"t": "store", "v": {key: value.wire() for key, value in round.values.items()}}
            case Phase.PROMISING:
                message |= {"t": "promise?", "b": round.ballot}
            case Phase.ACCEPTING:
                message |= {"t": "accept?", "b": round.ballot, "v": round.proposal}
        out = []
        for name in round.core.all:
            if name not in round.answered and now - round.sent.get(name, -1e9) >= AGAIN_S:
                round.sent[name] = now
                out.append((name, message))
        return out

    def take(self, now: float, sender: str, message: Message) -> Round | None:
        """A keeper's answer; the round it belongs to, which may have turned."""
        round = self.rounds.get(message.get("r", ""))
        if round is None or sender not in round.core.all:
            return None
        kind = message["t"]
        if kind == "found" and round.phase is Phase.READING:
            self._found(round, message["v"])
            self._count(round, sender, message["l"])
            if round.core.majority(round.answered):
                self._turn(round, Phase.WRITING if round.stale and round.values else Phase.DONE)
        elif kind == "stored" and round.phase is Phase.WRITING:
            self._count(round, sender, message["l"])
            if round.core.majority(round.answered):
                self._turn(round, Phase.DONE)
        elif round.phase in (Phase.PROMISING, Phase.ACCEPTING):
            self._decided(round, sender, message)
        return round

    def _decided(self, round: Round, sender: str, message: Message) -> None:
        """A keeper's word on a ballot."""
        kind = message["t"]
        if kind == "no" and "b" in message:
            round.highest = message["b"]
            self._turn(round, Phase.FAILED)
        elif kind == "promised" and round.phase is Phase.PROMISING:
            if "a" in message:
                accepted = Value.of(message["a"])
                round.found = max(round.found, accepted) if round.found is not None else accepted
            self._count(round, sender, message["l"])
            if round.core.majority(round.answered):
                if round.found is not None:
                    round.proposal = round.found.data
                round.promised = dict(round.answered)
                self._turn(round, Phase.ACCEPTING)
        elif kind == "accepted" and round.phase is Phase.ACCEPTING:
            self._count(round, sender, message["l"])
            if any(life < round.lives.get(name, 0) for name, life in round.promised.items()):
                self._turn(round, Phase.FAILED)  # a promise was forgotten with its disk
            elif round.core.majority(round.answered):
                self._turn(round, Phase.DONE)

    @staticmethod
    def _count(round: Round, sender: str, lives: dict[str, int]) -> None:
        """Count an answer, and no longer what was answered in a life that has ended: a keeper that recovered
        asked so many others that one of any majority beside it can tell."""
        for name, life in lives.items():
            round.lives[name] = max(life, round.lives.get(name, 0))
        round.answered[sender] = lives.get(sender, 0)
        for name in [n for n, life in round.answered.items() if life < round.lives.get(n, 0)]:
            del round.answered[name]

    def _found(self, round: Round, wire: dict[str, Any]) -> None:
        """A keeper's values; of a read of all neither the core, which has a way of its own, nor what is each
        keeper's own."""
        found = {key: Value.of(value) for key, value in wire.items()}
        if round.keys is None:
            found = {k: value for k, value in found.items() if k != CORE and not k.startswith(OWN)}
        if round.answered and found != round.values:
            round.stale = True
        for key, value in found.items():
            if key not in round.values or value > round.values[key]:
                round.values[key] = value

    def _turn(self, round: Round, phase: Phase) -> None:
        """The one change of a round's phase."""
        round.phase = phase
        round.answered, round.sent = {}, {}
        if phase in (Phase.DONE, Phase.FAILED):
            self.rounds.pop(round.ref, None)
