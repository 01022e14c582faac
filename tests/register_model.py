"""The register's very parts, held so that a search or a state machine can drive them step by step."""

import copy
import dataclasses
import enum
import json
from collections.abc import Callable, Hashable
from functools import partial
from types import SimpleNamespace
from typing import Any, Generic, TypeVar

import pytest

from millfront.register.coordinator import Coordinator, Phase, Round
from millfront.register.recovery import Recovery as Part
from millfront.register.recovery import Stage
from millfront.register.replica import PersistRequest, Replica
from millfront.register.values import CONFIG, CORE, Core, Message, Value, claim_key

FETCHED = "fetched"
WIPED = "a"  # the replica that may lose its disk
T = TypeVar("T")


def text(message: Message) -> str:
    """A message as it goes over the wire; of equal messages one text."""
    return json.dumps(message, sort_keys=True)


def frozen(found: Any) -> Hashable:
    """What is equal and hashable if, and only if, two parts are in the same state."""
    match found:
        case enum.Enum() | str() | int() | float() | None:
            return found
        case dict():
            return tuple(sorted((key, frozen(value)) for key, value in found.items()))
        case list() | tuple():
            return tuple(frozen(each) for each in found)
        case set() | frozenset():
            return frozenset(frozen(each) for each in found)
    if dataclasses.is_dataclass(found):
        return tuple(frozen(getattr(found, each.name)) for each in dataclasses.fields(found))
    return tuple((key, frozen(value)) for key, value in sorted(vars(found).items()))


class StoredReplica:
    """A replica with its disk, and what it asked to be synced and is not yet."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.disk = {CORE: core.to_value()}
        self.replica = Replica(self.disk, False)
        self.unsynced: list[PersistRequest] = []

    def call(self, back: str, message: Message) -> list[tuple[str, Message]]:
        """A call; the same one twice waits for one sync."""
        answers, persists = self.replica.handle(back, message)
        for persist in persists:
            if frozen(persist) not in [frozen(other) for other in self.unsynced]:
                self.unsynced.append(persist)
        self.unsynced.sort(key=lambda persist: repr(frozen(persist)))
        return answers

    def sync(self, at: int) -> list[tuple[str, Message]]:
        """The disk is done with one of these: in whatever order."""
        return self._synced(self.unsynced.pop(at))

    def _synced(self, persist: PersistRequest) -> list[tuple[str, Message]]:
        for key, value in persist.values.items():  # as `Disk.store` does it
            self.disk[key] = max(value, self.disk.get(key, value))
        for key in persist.drop:
            self.disk.pop(key, None)
        return self.replica.synced(persist, True)

    def kill(self) -> None:
        """And started again: what was synced is there."""
        self.replica, self.unsynced = Replica(self.disk, False), []

    def wipe(self) -> None:
        self.disk = {}
        self.kill()

    def recovered(self, persist: PersistRequest) -> None:
        """What a recovery asked for is synced (as `Gatekeeper.synced` does it)."""
        self._synced(persist)
        self.replica.recovered()

    def held(self) -> Hashable:
        """What it goes by: texts that were replaced are of no consequence here."""
        replica = {key: value for key, value in vars(self.replica).items() if key != "archive"}
        return frozen((self.disk, replica))

    def state(self) -> Hashable:
        return self.held(), frozen(self.unsynced)

    def told(self) -> int | None:
        """The version that a reader is told; None: it is told nothing."""
        held = self.replica.values.get(CORE)
        call = {"t": "fetch", "r": "look", "e": held.version if held else 0, "k": [CONFIG]}
        for _, answer in self.replica.handle("reader", call)[0]:
            if answer["t"] == "found":
                return Value.from_wire(answer["v"].get(CONFIG, [0, "", ""])).version
        return None


class Recovery:
    """The part of a gatekeeper that gets a replica whose disk was lost to vote again."""

    def __init__(self, name: str, core: Core, life: int = 0) -> None:
        """:param life: of the process"""
        self.core = core
        self.core = core
        self.calls: list[tuple[str, Message]] = []
        self.persists: list[PersistRequest] = []
        gatekeeper: Any = SimpleNamespace(name=name, replica=Replica({}, False))
        gatekeeper.subscriber = SimpleNamespace(core=core, values={CORE: core.to_value()}, fetch=self._fetch)
        self.subscriber = gatekeeper.subscriber
        gatekeeper.coordinator = SimpleNamespace(name=f"{name}.{life}")
        gatekeeper.note = _nothing
        gatekeeper.send_to_replica = self._call
        gatekeeper.io = SimpleNamespace(persist=self._persist)
        self.part = Part(gatekeeper)

    def _call(self, now: float, name: str, address: str, message: Message) -> None:
        self.calls.append((name, message))

    def _fetch(self, now: float, teller: str, keys: list[str]) -> list[tuple[str, Message]]:
        """What a subscriber asks for long values, without differences and pieces."""
        return [(teller, {"t": "fetch", "r": FETCHED, "e": self.core.epoch, "k": keys})]

    def _persist(self, persist: PersistRequest) -> None:
        self.persists.append(persist)

    def state(self) -> Hashable:
        """Without whom it asks for long values: any replica may be asked."""
        left_out = ("office", "_ticks", "_sources")
        part = {key: value for key, value in vars(self.part).items() if key not in left_out}
        return frozen((part, self.subscriber.values))

    def beat(self) -> list[tuple[str, Message]]:
        """Whom it calls now: that it is not time yet is left out."""
        self.calls.clear()
        self.part._ticks = 0
        self.part.tick(0.0, self.core)
        return list(self.calls)

    def take(self, sender: str, message: Message) -> list[PersistRequest]:
        """An answer; what is to be synced before its replica votes."""
        self.persists.clear()
        if message["t"] == "found":  # as `Gatekeeper._reply` has it
            if message["r"] != FETCHED:
                self.part.handle_answer(0.0, sender, message)
                return list(self.persists)
            if self.part.stage is Stage.FETCHING:
                for key, wire in message["v"].items():  # as `Subscriber.adopt` has it
                    value = Value.from_wire(wire)
                    self.subscriber.values[key] = max(value, self.subscriber.values.get(key, value))
                self.beat()
        return list(self.persists)


def _nothing(*_: Any, **__: Any) -> None:
    pass


class Order:
    """A coordinator with one order: a write, or a claim that is tried again with a higher ballot."""

    def __init__(
        self, name: str, core: Core, begin: Callable[[Coordinator, Core, int], Round], tries: int = 1
    ) -> None:
        self.core, self.begin, self.tries = core, begin, tries
        self.coordinator = Coordinator(name)
        self.round = begin(self.coordinator, core, 1)

    def state(self) -> Hashable:
        """Without what is of no consequence: when what was sent, and promises of those that lose no disk."""
        round = self.round
        promised = round.promised.get(WIPED)
        kept = (
            round.phase,
            round.ballot,
            round.proposal,
            round.highest_accepted,
            round.answered,
            round.incarnations,
        )
        return frozen((self.tries, round.ref, promised, kept))

    def beat(self) -> list[tuple[str, Message]]:
        self.round.last_sent.clear()
        return self.coordinator.drive(0.0, self.round)

    def take(self, sender: str, message: Message) -> list[Any]:
        """:return: what it came to, if it did"""
        round = self.coordinator.handle_answer(0.0, sender, message)
        if round is not None and round.phase is Phase.FAILED and round.highest_ballot and self.tries > 1:
            self.tries -= 1
            self.round = self.begin(self.coordinator, self.core, round.highest_ballot + 1)
        return [round.proposal] if round is not None and round.phase is Phase.DONE else []


def writes(version: int) -> Callable[[Coordinator, Core, int], Round]:
    return partial(_write, version)


def claims(digest: str) -> Callable[[Coordinator, Core, int], Round]:
    return partial(_claim, digest)


def _write(version: int, coordinator: Coordinator, core: Core, height: int) -> Round:
    return coordinator.write(0.0, core, {CONFIG: Value(version, "", "x")}, 9.0)


def _claim(digest: str, coordinator: Coordinator, core: Core, height: int) -> Round:
    return coordinator.decide(0.0, core, height, digest, 9.0, claim_key(7))


class Steps(Generic[T]):
    """A part's states under numbers; each step from each of them is taken once, by the part's own code."""

    def __init__(
        self, first: T, run: Callable[[T, Any], Any], state: Callable[[T], Hashable] = frozen
    ) -> None:
        self.run, self.state = run, state
        self.known: dict[Hashable, int] = {}
        self.parts: list[T] = []
        self.taken: dict[tuple[int, Any], tuple[int, Any]] = {}
        self.first = self._number(first)

    def _number(self, part: T) -> int:
        number = self.known.setdefault(self.state(part), len(self.parts))
        if number == len(self.parts):
            self.parts.append(part)
        return number

    def __call__(self, number: int, step: Any) -> tuple[int, Any]:
        """:return: the state after it, and what came out"""
        if (found := self.taken.get((number, step))) is None:
            part = copy.deepcopy(self.parts[number])
            out = self.run(part, step)
            found = self.taken[number, step] = (self._number(part), out)
        return found


# ---- faults that are planted --------------------------------------------------------------------


def fewer(monkeypatch: pytest.MonkeyPatch) -> None:
    """A majority is one less than it is: two of four, one of three."""
    monkeypatch.setattr(
        Core, "is_write_quorum", lambda self, names: len(set(names)) >= len(self.members) // 2
    )


def hasty(monkeypatch: pytest.MonkeyPatch) -> None:
    """A lost disk votes at once."""
    whole = StoredReplica.wipe

    def wipe(self: StoredReplica) -> None:
        whole(self)
        self.disk = {CORE: self.core.to_value()}
        self.kill()

    monkeypatch.setattr(StoredReplica, "wipe", wipe)
