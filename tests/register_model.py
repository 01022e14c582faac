"""Drivers for the production replicas, coordinators and recovery, so that a search or a state machine can
take them step by step."""

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

FETCH_REF = "fetched"
WIPED = "a"  # name of the replica that may lose its disk
T = TypeVar("T")


def encoded(message: Message) -> str:
    """A message as JSON text; equal messages have equal texts."""
    return json.dumps(message, sort_keys=True)


def hashable(found: Any) -> Hashable:
    """A hashable form of an object: equal if and only if two objects are in the same state."""
    match found:
        case enum.Enum() | str() | int() | float() | None:
            return found
        case dict():
            return tuple(sorted((key, hashable(value)) for key, value in found.items()))
        case list() | tuple():
            return tuple(hashable(each) for each in found)
        case set() | frozenset():
            return frozenset(hashable(each) for each in found)
    if dataclasses.is_dataclass(found):
        return tuple(hashable(getattr(found, each.name)) for each in dataclasses.fields(found))
    return tuple((key, hashable(value)) for key, value in sorted(vars(found).items()))


class StoredReplica:
    """A replica with its disk, and the sync requests that are not done yet."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.disk = {CORE: core.to_value()}
        self.replica = Replica(self.disk, False)
        self.unsynced: list[PersistRequest] = []

    def call(self, back: str, message: Message) -> list[tuple[str, Message]]:
        """Handle a call; a repeated call waits for the same sync."""
        answers, persists = self.replica.handle(back, message)
        for persist in persists:
            if hashable(persist) not in [hashable(other) for other in self.unsynced]:
                self.unsynced.append(persist)
        self.unsynced.sort(key=lambda persist: repr(hashable(persist)))
        return answers

    def sync(self, at: int) -> list[tuple[str, Message]]:
        """Complete one of the pending syncs, in any order."""
        return self._synced(self.unsynced.pop(at))

    def _synced(self, persist: PersistRequest) -> list[tuple[str, Message]]:
        for key, value in persist.values.items():  # as in `Disk.store`
            self.disk[key] = max(value, self.disk.get(key, value))
        for key in persist.drop:
            self.disk.pop(key, None)
        return self.replica.synced(persist, True)

    def restart(self) -> None:
        """Kill and start again: synced values are still there."""
        self.replica, self.unsynced = Replica(self.disk, False), []

    def wipe(self) -> None:
        self.disk = {}
        self.restart()

    def recovered(self, persist: PersistRequest) -> None:
        """A sync request of a recovery is done (as in `Gatekeeper.synced`)."""
        self._synced(persist)
        self.replica.recovered()

    def synced_state(self) -> Hashable:
        """The state that determines its behaviour: replaced texts do not matter here."""
        replica = {key: value for key, value in vars(self.replica).items() if key != "archive"}
        return hashable((self.disk, replica))

    def state(self) -> Hashable:
        return self.synced_state(), hashable(self.unsynced)

    def visible_version(self) -> int | None:
        """The configuration version that a reader gets; None: the replica does not answer."""
        core = self.replica.values.get(CORE)
        call = {"t": "fetch", "r": "look", "e": core.version if core else 0, "k": [CONFIG]}
        for _, answer in self.replica.handle("reader", call)[0]:
            if answer["t"] == "found":
                return Value.from_wire(answer["v"].get(CONFIG, [0, "", ""])).version
        return None


class RecoveryDriver:
    """Drives the recovery of a replica whose disk was lost, in place of a gatekeeper."""

    def __init__(self, name: str, core: Core, incarnation: int = 0) -> None:
        """:param incarnation: of the process"""
        self.core = core
        self.core = core
        self.calls: list[tuple[str, Message]] = []
        self.persists: list[PersistRequest] = []
        gatekeeper: Any = SimpleNamespace(name=name, replica=Replica({}, False))
        gatekeeper.subscriber = SimpleNamespace(core=core, values={CORE: core.to_value()}, fetch=self._fetch)
        self.subscriber = gatekeeper.subscriber
        gatekeeper.coordinator = SimpleNamespace(name=f"{name}.{incarnation}")
        gatekeeper.note = _nothing
        gatekeeper.send_to_replica = self._call
        gatekeeper.io = SimpleNamespace(persist=self._persist)
        self.recovery = Part(gatekeeper)

    def _call(self, now: float, name: str, address: str, message: Message) -> None:
        self.calls.append((name, message))

    def _fetch(self, now: float, source: str, keys: list[str]) -> list[tuple[str, Message]]:
        """A subscriber's request for long values, without deltas and chunks."""
        return [(source, {"t": "fetch", "r": FETCH_REF, "e": self.core.epoch, "k": keys})]

    def _persist(self, persist: PersistRequest) -> None:
        self.persists.append(persist)

    def state(self) -> Hashable:
        """Without the source of long values: any replica may be asked."""
        left_out = ("office", "_ticks", "_sources")
        state = {key: value for key, value in vars(self.recovery).items() if key not in left_out}
        return hashable((state, self.subscriber.values))

    def tick(self) -> list[tuple[str, Message]]:
        """The calls it makes now, regardless of the time between repeated calls."""
        self.calls.clear()
        self.recovery._ticks = 0
        self.recovery.tick(0.0, self.core)
        return list(self.calls)

    def handle_answer(self, sender: str, message: Message) -> list[PersistRequest]:
        """Handle an answer; returns the requests to sync before the replica votes."""
        self.persists.clear()
        if message["t"] == "found":  # as the gatekeeper does it
            if message["r"] != FETCH_REF:
                self.recovery.handle_answer(0.0, sender, message)
                return list(self.persists)
            if self.recovery.stage is Stage.FETCHING:
                for key, wire in message["v"].items():  # as in `Subscriber.adopt`
                    value = Value.from_wire(wire)
                    self.subscriber.values[key] = max(value, self.subscriber.values.get(key, value))
                self.tick()
        return list(self.persists)


def _nothing(*_: Any, **__: Any) -> None:
    pass


class ClientOperation:
    """A coordinator with one operation: a write, or a claim that is retried with a higher ballot."""

    def __init__(
        self, name: str, core: Core, start: Callable[[Coordinator, Core, int], Round], attempts: int = 1
    ) -> None:
        self.core, self.start, self.attempts = core, start, attempts
        self.coordinator = Coordinator(name)
        self.round = start(self.coordinator, core, 1)

    def state(self) -> Hashable:
        """Without what does not matter: times of messages, and promises of replicas that lose no disk."""
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
        return hashable((self.attempts, round.ref, promised, kept))

    def tick(self) -> list[tuple[str, Message]]:
        self.round.last_sent.clear()
        return self.coordinator.drive(0.0, self.round)

    def handle_answer(self, sender: str, message: Message) -> list[Any]:
        """:return: the chosen proposal, once the round is done"""
        round = self.coordinator.handle_answer(0.0, sender, message)
        if round is not None and round.phase is Phase.FAILED and round.highest_ballot and self.attempts > 1:
            self.attempts -= 1
            self.round = self.start(self.coordinator, self.core, round.highest_ballot + 1)
        return [round.proposal] if round is not None and round.phase is Phase.DONE else []


def write_of(version: int) -> Callable[[Coordinator, Core, int], Round]:
    return partial(_write, version)


def claim_of(digest: str) -> Callable[[Coordinator, Core, int], Round]:
    return partial(_claim, digest)


def _write(version: int, coordinator: Coordinator, core: Core, ballot: int) -> Round:
    return coordinator.write(0.0, core, {CONFIG: Value(version, "", "x")}, 9.0)


def _claim(digest: str, coordinator: Coordinator, core: Core, ballot: int) -> Round:
    return coordinator.decide(0.0, core, ballot, digest, 9.0, claim_key(7))


class TransitionTable(Generic[T]):
    """Numbers the states of an object; each step from each state is executed once, by production code."""

    def __init__(
        self, initial: T, apply: Callable[[T, Any], Any], state: Callable[[T], Hashable] = hashable
    ) -> None:
        self.apply, self.state = apply, state
        self.numbers: dict[Hashable, int] = {}
        self.states: list[T] = []
        self.transitions: dict[tuple[int, Any], tuple[int, Any]] = {}
        self.initial = self._number(initial)

    def _number(self, item: T) -> int:
        number = self.numbers.setdefault(self.state(item), len(self.states))
        if number == len(self.states):
            self.states.append(item)
        return number

    def __call__(self, number: int, step: Any) -> tuple[int, Any]:
        """:return: number of the next state, and the output of the step"""
        if (found := self.transitions.get((number, step))) is None:
            item = copy.deepcopy(self.states[number])
            out = self.apply(item, step)
            found = self.transitions[number, step] = (self._number(item), out)
        return found


# ---- planted faults -----------------------------------------------------------------------------


def small_majority(monkeypatch: pytest.MonkeyPatch) -> None:
    """A write quorum has one replica less: two of four, one of three."""
    monkeypatch.setattr(
        Core, "is_write_quorum", lambda self, names: len(set(names)) >= len(self.members) // 2
    )


def votes_after_disk_loss(monkeypatch: pytest.MonkeyPatch) -> None:
    """A replica votes at once after it lost its disk."""
    original = StoredReplica.wipe

    def wipe(self: StoredReplica) -> None:
        original(self)
        self.disk = {CORE: self.core.to_value()}
        self.restart()

    monkeypatch.setattr(StoredReplica, "wipe", wipe)
