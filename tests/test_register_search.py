"""Exhaustive search over the register: production replicas, coordinators and recovery run two operations,
wipes of one replica with their recoveries, and kills, in every possible order.

A message that was sent may be delivered late, twice, out of order or never; a set of messages that only grows
covers all of these cases. Anything that a replica can answer, or ask its disk for, without a change of its
values is assumed to have happened: nobody has to process an answer, and no disk has to complete a sync. For
coordinators and the recovery, all answers that exist are tried in every order. Each step of a replica, a
coordinator or the recovery is executed once, by production code, and then looked up. Replicas that lose no
disk are interchangeable: of states that differ only in their names one is examined.

Not covered: answers that reach a recovery after its process was killed. The references of its requests are
valid in one incarnation of the process only; test_register_machine.py delivers such answers.
"""

import json
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from typing import Any

import pytest

from millfront.register import chunks, recovery
from millfront.register.coordinator import Coordinator, Round
from millfront.register.replica import PersistRequest, Replica, ReplicaState
from millfront.register.values import CLAIM_PREFIX, LOCAL_PREFIX, Core, Message
from tests.register_model import (
    WIPED,
    ClientOperation,
    RecoveryDriver,
    StoredReplica,
    TransitionTable,
    claim_of,
    encoded,
    hashable,
    small_majority,
    votes_after_disk_loss,
    write_of,
)

RECOVERY = "recovery"
Calls = frozenset[tuple[str, str]]  # sender and message
PlantedFault = Callable[[pytest.MonkeyPatch], None]


@dataclass(frozen=True, slots=True)
class ReplicaHistory:
    """The state of one replica, and all answers it has given, with their recipients."""

    replica: int
    answers: frozenset[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class State:
    wiped: int  # number of the history of the replica that may be wiped, and those of the others
    others: tuple[int, ...]
    callers: tuple[int, ...]  # states of the operations and of the recovery
    calls: Calls  # that these have sent
    recoveries: int = 0  # started so far


class Search:
    """Breadth-first search over all states, starting from replicas that hold nothing but the core."""

    def __init__(self, wipes: int, operations: list[ClientOperation]) -> None:
        """:param wipes: number of wipes of one replica, at any time, also during an earlier recovery"""
        self.core = operations[0].core
        self.names = list(self.core.members)
        self.wipes = wipes
        self.replicas: TransitionTable[StoredReplica] = TransitionTable(
            StoredReplica(self.core), self.step_replica, StoredReplica.state
        )
        self.callers: dict[str, TransitionTable[Any]] = {
            operation.coordinator.name: TransitionTable(operation, handle_answer, ClientOperation.state)
            for operation in operations
        }
        self.callers[RECOVERY] = TransitionTable(
            RecoveryDriver(WIPED, self.core), handle_answer, RecoveryDriver.state
        )
        self.persists: dict[Any, PersistRequest] = {}  # sync requests of recoveries
        self.histories: list[ReplicaHistory] = []
        self.numbers: dict[ReplicaHistory, int] = {}
        self.seen: set[State] = set()
        self._replica_steps: dict[Any, set[int]] = {}
        self._with_answers: dict[Any, int] = {}
        self._without_obsolete: dict[Any, int] = {}
        self._synced_states: dict[int, Any] = {}
        self._calls: dict[Any, tuple[Calls, Calls, Calls]] = {}
        self._settled: dict[tuple[int, Calls, Calls], int] = {}
        self._recovering: dict[int, bool] = {}
        self.interned: dict[Calls, Calls] = {}  # one object for equal sets, for faster comparison
        self._reachable: dict[Any, tuple[set[int], set[Any]]] = {}
        self._calls_of: dict[tuple[str, int], Calls] = {}
        self._answers_to: dict[tuple[int, str], frozenset[str]] = {}
        self._visible_versions: dict[int, int | None] = {}

    # ---- one replica ------------------------------------------------------------------------------

    def step_replica(self, stored: StoredReplica, step: tuple[str, Any]) -> list[tuple[str, str]]:
        """One step of a replica; returns its answers, but for refusals without a ballot (without effect)."""
        answers: list[tuple[str, Message]] = []
        match step:
            case ("kill", _):
                stored.restart()
            case ("wipe", _):
                stored.wipe()
            case ("recovered", request):
                stored.recovered(self.persists[request])
            case ("sync", at):
                answers = stored.sync(at)
            case ("call", (reply_to, message)):
                answers = stored.call(reply_to, json.loads(message))
        return [(to, encoded(answer)) for to, answer in answers if answer["t"] != "no" or "b" in answer]

    def number_of(self, history: ReplicaHistory) -> int:
        number = self.numbers.setdefault(history, len(self.histories))
        if number == len(self.histories):
            self.histories.append(history)
        return number

    def stored(self, history: int) -> StoredReplica:
        return self.replicas.states[self.histories[history].replica]

    def after_step(self, history: int, step: tuple[str, Any], calls: Calls) -> int:
        replica, answers = self.replicas(self.histories[history].replica, step)
        return self.with_answers(
            self.number_of(ReplicaHistory(replica, self.histories[history].answers | set(answers))), calls
        )

    def with_answers(self, history: int, calls: Calls) -> int:
        """After all calls and syncs that leave the stored values as they are."""
        key = history, calls
        if (found := self._with_answers.get(key)) is None:
            replica, answers = self.histories[history].replica, set(self.histories[history].answers)
            for call in sorted(calls):
                after, given = self.replicas(replica, ("call", call))
                if self.synced_state(after) == self.synced_state(replica):
                    replica = after
                    answers.update(given)
            for at in reversed(range(len(self.replicas.states[replica].unsynced))):
                after, given = self.replicas(replica, ("sync", at))
                if self.synced_state(after) == self.synced_state(replica):
                    replica = after
                    answers.update(given)
            found = self._with_answers[key] = self.number_of(ReplicaHistory(replica, frozenset(answers)))
        return found

    def synced_state(self, replica: int) -> Any:
        if replica not in self._synced_states:
            self._synced_states[replica] = self.replicas.states[replica].synced_state()
        return self._synced_states[replica]

    def without_obsolete_answers(self, history: int, calls: Calls, callers: tuple[int, ...]) -> int:
        """Without answers to calls that are no longer made: these do not affect the callers."""
        if (found := self._without_obsolete.get((history, calls))) is None:
            refs = {(who, json.loads(call)["r"]) for who, call in calls}
            answers = self.histories[history].answers
            kept = frozenset((to, answer) for to, answer in answers if (to, json.loads(answer)["r"]) in refs)
            making = dict(zip(self.callers, callers, strict=True))
            for to, answer in answers - kept:  # an ended recovery takes no answers
                if to != RECOVERY or any(who == RECOVERY for who, _ in calls):
                    assert self.callers[to](making[to], (self.names[-1], answer)) == (making[to], []), answer
            found = self._without_obsolete[history, calls] = self.number_of(
                ReplicaHistory(self.histories[history].replica, kept)
            )
        return found

    def answers_to(self, to: str, histories: Iterable[int]) -> tuple[frozenset[str], ...]:
        for history in histories:
            if (history, to) not in self._answers_to:
                answers = self.histories[history].answers
                self._answers_to[history, to] = frozenset(answer for whom, answer in answers if whom == to)
        return tuple(self._answers_to[history, to] for history in histories)

    def visible_version(self, history: int) -> int | None:
        if history not in self._visible_versions:
            self._visible_versions[history] = self.stored(history).visible_version()
        return self._visible_versions[history]

    # ---- the callers: operations and the recovery -------------------------------------------------

    def calls_of(self, name: str, caller: int) -> Calls:
        """The calls that a caller makes in this state."""
        if (name, caller) not in self._calls_of:
            sent = self.callers[name].states[caller].tick()
            self._calls_of[name, caller] = frozenset((name, encoded(message)) for _, message in sent)
        return self._calls_of[name, caller]

    def reachable(self, name: str, caller: int, histories: tuple[int, ...]) -> tuple[set[int], set[Any]]:
        """States that a caller may reach with the existing answers, until it makes new calls; its outputs."""
        key = name, caller, self.answers_to(name, histories)
        if (found := self._reachable.get(key)) is None:
            answers = [
                (who, answer) for who, given in zip(self.names, key[2], strict=True) for answer in given
            ]
            found = self._reachable[key] = set(), set()
            seen, waiting = {caller}, [caller]
            while waiting:
                number = waiting.pop()
                for each in answers:
                    after, outputs = self.callers[name](number, each)
                    for output in outputs:
                        found[1].add(hashable(output))
                        if isinstance(output, PersistRequest):
                            self.persists[hashable(output)] = output
                    if self.calls_of(name, after) != self.calls_of(name, caller):
                        if self.calls_of(name, after):  # otherwise it has ended
                            found[0].add(after)
                    elif after not in seen:
                        seen.add(after)
                        waiting.append(after)
        return found

    def outcomes(self, state: State) -> list[set[Any]]:
        """The possible outcomes of each operation."""
        histories = (state.wiped, *state.others)
        pairs = zip(self.callers, state.callers, strict=True)
        return [self.reachable(name, caller, histories)[1] for name, caller in pairs if name != RECOVERY]

    # ---- the whole system ---------------------------------------------------------------------------

    def recovering(self, history: int) -> bool:
        if history not in self._recovering:
            self._recovering[history] = self.stored(history).replica.state is ReplicaState.RECOVERING
        return self._recovering[history]

    def saturated_state(
        self, wiped: int, others: Iterable[int], callers: tuple[int, ...], previous: State | None
    ) -> State:
        """The state after all possible calls, and all answers to these that change no replica."""
        if not self.recovering(wiped):
            callers = (*callers[:-1], self.callers[RECOVERY].initial)
        key = self.recovering(wiped), callers, previous.calls if previous else frozenset()
        if (found := self._calls.get(key)) is None:
            pairs = zip(self.callers, callers, strict=True)
            open_calls = frozenset().union(
                *(self.calls_of(*each) for each in pairs if each[0] != RECOVERY or key[0])
            )
            calls = self.interned.setdefault(open_calls | key[2], open_calls | key[2])
            found = self._calls[key] = (
                self.interned.setdefault(open_calls, open_calls),
                calls,
                calls_to_wiped(calls),
            )
        open_calls, calls, wiped_calls = found
        wiped = self.settled(wiped, wiped_calls, open_calls, callers)
        rest = sorted([self.settled(history, calls, open_calls, callers) for history in others])
        return State(wiped, tuple(rest), callers, calls, previous.recoveries if previous else 0)

    def settled(self, history: int, calls: Calls, open_calls: Calls, callers: tuple[int, ...]) -> int:
        key = history, calls, open_calls
        if (found := self._settled.get(key)) is None:
            found = self._settled[key] = self.without_obsolete_answers(
                self.with_answers(history, calls), open_calls, callers
            )
        return found

    def successors(self, state: State) -> Iterator[State]:
        wiped, others, callers = state.wiped, state.others, state.callers
        for after in self.replica_steps(wiped, calls_to_wiped(state.calls)):
            yield self.saturated_state(after, others, callers, state)
        for at, history in enumerate(others):
            if not at or history != others[at - 1]:  # otherwise equal to the previous one
                for after in self.replica_steps(history, state.calls):
                    yield self.saturated_state(
                        wiped, (*others[:at], after, *others[at + 1 :]), callers, state
                    )
        for at, (name, caller) in enumerate(zip(self.callers, callers, strict=True)):
            if name != RECOVERY or self.recovering(wiped):
                states, outputs = self.reachable(name, caller, (wiped, *others))
                for each in states:
                    yield self.saturated_state(
                        wiped, others, (*callers[:at], each, *callers[at + 1 :]), state
                    )
                for each in outputs if name == RECOVERY else ():
                    yield self.saturated_state(
                        self.after_step(wiped, ("recovered", each), frozenset()), others, callers, state
                    )
        if state.recoveries < self.wipes:
            lost = self.after_step(wiped, ("wipe", 0), frozenset())
            restarted = (*callers[:-1], self.callers[RECOVERY].initial)
            rest = [
                self.without_obsolete_answers(each, calls_to_wiped(state.calls), restarted) for each in others
            ]
            yield self.saturated_state(lost, rest, restarted, replace(state, recoveries=state.recoveries + 1))

    def replica_steps(self, history: int, calls: Calls) -> set[int]:
        """Steps of one replica: it handles a call, completes a sync, or is killed and started again."""
        if (found := self._replica_steps.get((history, calls))) is None:
            steps: list[tuple[str, Any]] = [("call", call) for call in sorted(calls)]
            steps += [("sync", at) for at in range(len(self.stored(history).unsynced))] + [("kill", 0)]
            found = self._replica_steps[history, calls] = {
                self.after_step(history, step, calls) for step in steps
            } - {history}
        return found

    def run(self, violates: Callable[["Search", State], bool], deep: bool = False) -> State | None:
        """The first state that violates the property.

        :param violates: whether a state violates the property
        :param deep: search depth first, which finds a violation sooner
        """
        first = self.number_of(ReplicaHistory(self.replicas.initial, frozenset()))
        callers = tuple(steps.initial for steps in self.callers.values())
        start = self.saturated_state(first, [first] * (len(self.names) - 1), callers, None)
        self.seen, waiting = {start}, deque([start])
        while waiting:
            state = waiting.pop() if deep else waiting.popleft()
            if violates(self, state):
                return state
            for after in self.successors(state):
                if after not in self.seen:
                    self.seen.add(after)
                    waiting.append(after)
        return None


def handle_answer(caller: Any, answer: tuple[str, str]) -> list[Any]:
    found: list[Any] = caller.handle_answer(answer[0], json.loads(answer[1]))
    return found


def calls_to_wiped(calls: Calls) -> Calls:
    """The calls to the wiped replica: its own recovery does not call it."""
    return frozenset(call for call in calls if call[0] != RECOVERY)


def loses_acknowledged(search: Search, state: State) -> bool:
    """Whether a reader may get less than was acknowledged."""
    histories = (state.wiped, *state.others)
    visible = [
        (name, search.visible_version(history)) for name, history in zip(search.names, histories, strict=True)
    ]
    for version, outputs in enumerate(search.outcomes(state), 1):
        if (
            search.core.is_read_quorum(name for name, seen in visible if seen is not None and seen < version)
            and outputs
        ):
            return True
    return False


def two_chosen(search: Search, state: State) -> bool:
    """Whether two documents may be chosen for one number."""
    return len(set().union(*search.outcomes(state))) > 1


def write_search(size: int, wipes: int) -> Search:
    core = Core(2, dict.fromkeys("abcdef"[:size], ""))
    return Search(wipes, [ClientOperation(f"w{version}", core, write_of(version)) for version in (1, 2)])


def claim_search(size: int, wipes: int, ballots: tuple[int, int]) -> Search:
    """:param ballots: number of ballots that each of the two claimants may try"""
    core = Core(2, dict.fromkeys("abcdef"[:size], ""))
    return Search(
        wipes, [ClientOperation(f"for {d}", core, claim_of(d), n) for d, n in zip("xy", ballots, strict=True)]
    )


@pytest.mark.parametrize(("size", "wipes", "at_least"), [(3, 1, 300), (3, 2, 3_500), (4, 1, 1_400)])
def test_no_order_of_stores_kills_wipes_and_recoveries_loses_what_was_acknowledged(
    size: int, wipes: int, at_least: int
) -> None:
    search = write_search(size, wipes)
    assert search.run(loses_acknowledged) is None
    print(f"{len(search.seen)} states")
    assert len(search.seen) >= at_least


def test_nor_where_a_recovery_takes_long_values_by_their_stamps(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(chunks, "MAX_INLINE_CHARS", 0)
    for size, wipes, at_least in (3, 1, 550), (3, 2, 6_500), (4, 1, 7_000):
        search = write_search(size, wipes)
        assert search.run(loses_acknowledged) is None
        print(f"{len(search.seen)} states")
        assert len(search.seen) >= at_least


def counts_ended_incarnations(monkeypatch: pytest.MonkeyPatch) -> None:
    """Answers of an incarnation that has ended are counted."""

    def count(round: Round, sender: str, incarnations: dict[str, int]) -> None:
        round.answered[sender] = incarnations.get(sender, 0)

    monkeypatch.setattr(Coordinator, "_count_answer", staticmethod(count))


def answers_before_incarnation_is_synced(monkeypatch: pytest.MonkeyPatch) -> None:
    """A replica sends its values to a recovering one before the new incarnation is synced."""
    original = Replica._start_incarnation

    def start_incarnation(self: Replica, back: Any, ref: Any, *how: Any) -> Any:
        answers, persists = original(self, back, ref, *how)
        return answers or [(back, self._found_answer(ref, None, None))], persists

    monkeypatch.setattr(Replica, "_start_incarnation", start_incarnation)


def skips_incarnation(monkeypatch: pytest.MonkeyPatch) -> None:
    """A recovery takes over values before the others know its new incarnation."""
    monkeypatch.setattr(
        Replica,
        "_start_incarnation",
        lambda self, back, ref, *_: ([(back, self._found_answer(ref, None, None))], []),
    )


def answers_store_before_sync(monkeypatch: pytest.MonkeyPatch) -> None:
    """A store is answered before it is synced."""
    original = Replica._store

    def store(self: Replica, back: Any, ref: Any, *how: Any) -> Any:
        answers, persists = original(self, back, ref, *how)
        return answers or [(back, {"t": "stored", "r": ref, "l": self.incarnations()})], persists

    monkeypatch.setattr(Replica, "_store", store)


def accepts_older_long_values(monkeypatch: pytest.MonkeyPatch) -> None:
    """A recovery accepts any version of a long value."""

    def missing(self: recovery.Recovery) -> list[str]:
        return [key for key in self._long_stamps if key not in self.gatekeeper.subscriber.values]

    monkeypatch.setattr(chunks, "MAX_INLINE_CHARS", 0)
    monkeypatch.setattr(recovery.Recovery, "_missing_long_keys", missing)


@pytest.mark.parametrize("size", [3, 4])
@pytest.mark.parametrize(
    "fault",
    [
        small_majority,
        counts_ended_incarnations,
        answers_before_incarnation_is_synced,
        skips_incarnation,
        answers_store_before_sync,
        votes_after_disk_loss,
        accepts_older_long_values,
    ],
)
def test_a_planted_fault_loses(
    fault: Callable[[pytest.MonkeyPatch], None], size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    fault(monkeypatch)
    assert write_search(size, 1).run(loses_acknowledged) is not None


@pytest.mark.parametrize(
    ("size", "wipes", "ballots", "at_least"),
    [(3, 1, (1, 1), 38_000), (4, 0, (1, 1), 4_000), (3, 0, (2, 1), 30_000)],
)
def test_no_order_of_claims_kills_a_wipe_and_its_recovery_gives_a_number_to_two_documents(
    size: int, wipes: int, ballots: tuple[int, int], at_least: int
) -> None:
    search = claim_search(size, wipes, ballots)
    assert search.run(two_chosen) is None
    print(f"{len(search.seen)} states")
    assert len(search.seen) >= at_least


def breaks_promises(monkeypatch: pytest.MonkeyPatch) -> None:
    """Promises are not kept."""
    original = Replica._vote

    def ballot(self: Replica, *how: Any) -> Any:
        self.values = {key: value for key, value in self.values.items() if not key.startswith(LOCAL_PREFIX)}
        return original(self, *how)

    monkeypatch.setattr(Replica, "_vote", ballot)
    monkeypatch.setattr(Replica, "_ballot_holds", lambda *_: True)


def ignores_accepted_values(monkeypatch: pytest.MonkeyPatch) -> None:
    """A higher ballot does not adopt the value accepted before."""
    monkeypatch.setattr(Replica, "_last_accepted", lambda *_: None)


def loses_claims(monkeypatch: pytest.MonkeyPatch) -> None:
    """A recovering replica does not take over claims."""
    original = RecoveryDriver.handle_answer

    def take(self: RecoveryDriver, sender: str, message: Message) -> list[PersistRequest]:
        found = original(self, sender, message)
        return [
            replace(each, values={k: v for k, v in each.values.items() if CLAIM_PREFIX not in k})
            for each in found
        ]

    monkeypatch.setattr(RecoveryDriver, "handle_answer", take)


@pytest.mark.parametrize(
    "fault",
    [
        breaks_promises,
        ignores_accepted_values,
        loses_claims,
        counts_ended_incarnations,
        skips_incarnation,
        votes_after_disk_loss,
    ],
)
def test_a_planted_fault_gives_a_number_to_two_documents(
    fault: PlantedFault, monkeypatch: pytest.MonkeyPatch
) -> None:
    fault(monkeypatch)
    assert claim_search(3, 1, (1, 1)).run(two_chosen, deep=True) is not None
