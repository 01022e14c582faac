"""The register by exhaustive search: the very replicas, coordinators and recovery; two orders, wipes of one
replica and their recoveries, kills, in every order there is.

What is sent stays on its way for ever: it may come late, twice, out of order or never, so a set of messages
that only grows stands for all of that. What a replica can answer, or ask its disk for, without a change of
what it holds is taken to have happened (having an answer obliges nobody to take it, nor a disk to sync). How
far a coordinator or a recovery may come is asked of all the answers that there are, over every order of
them. Each
part's steps are taken once, by its own code, and then looked up. Replicas that lose no disk are alike: of
states that differ by their names one is looked at.

Not in it: answers to a recovery that come after its process was killed. Its references are of one life of the
process, and test_register_machine.py has such answers.
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
    Order,
    Recovery,
    Steps,
    StoredReplica,
    claims,
    fewer,
    frozen,
    hasty,
    text,
    writes,
)

RECOVERY = "recovery"
Calls = frozenset[tuple[str, str]]  # who sent it, and what
Fault = Callable[[pytest.MonkeyPatch], None]


@dataclass(frozen=True, slots=True)
class Column:
    """One replica, and all that it has answered: whom, and what."""

    replica: int
    answers: frozenset[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class State:
    wiped: int  # the columns of the one that may be wiped, and of the others
    others: tuple[int, ...]
    callers: tuple[int, ...]  # how far the orders and the recovery are
    calls: Calls  # that they have sent
    begun: int = 0  # recoveries


class Search:
    """Breadth first over all states, from replicas that hold nothing but the core."""

    def __init__(self, wipes: int, configuration: list[Order]) -> None:
        """:param wipes: of one replica, at any time, also while it recovers from the one before"""
        self.core = configuration[0].core
        self.names = list(self.core.members)
        self.wipes = wipes
        self.replicas: Steps[StoredReplica] = Steps(StoredReplica(self.core), self.act, StoredReplica.state)
        self.callers: dict[str, Steps[Any]] = {
            order.coordinator.name: Steps(order, take, Order.state) for order in configuration
        }
        self.callers[RECOVERY] = Steps(Recovery(WIPED, self.core), take, Recovery.state)
        self.persists: dict[Any, PersistRequest] = {}  # that a recovery asked for
        self.columns: list[Column] = []
        self.numbers: dict[Column, int] = {}
        self.seen: set[State] = set()
        self._alone: dict[Any, set[int]] = {}
        self._answering: dict[Any, int] = {}
        self._heeded: dict[Any, int] = {}
        self._held: dict[int, Any] = {}
        self._sent: dict[Any, tuple[Calls, Calls, Calls]] = {}
        self._settled: dict[tuple[int, Calls, Calls], int] = {}
        self._recovering: dict[int, bool] = {}
        self.same: dict[Calls, Calls] = {}  # of equal sets one is kept: they are compared faster
        self._fed: dict[Any, tuple[set[int], set[Any]]] = {}
        self._calling: dict[tuple[str, int], Calls] = {}
        self._bags: dict[tuple[int, str], frozenset[str]] = {}
        self._told: dict[int, int | None] = {}

    # ---- one replica ------------------------------------------------------------------------------

    def act(self, stored: StoredReplica, step: tuple[str, Any]) -> list[tuple[str, str]]:
        """One step of a replica; what it answers. (A `no` that names no ballot moves no coordinator.)"""
        answers: list[tuple[str, Message]] = []
        match step:
            case ("kill", _):
                stored.kill()
            case ("wipe", _):
                stored.wipe()
            case ("recovered", wanted):
                stored.recovered(self.persists[wanted])
            case ("sync", at):
                answers = stored.sync(at)
            case ("call", (back, called)):
                answers = stored.call(back, json.loads(called))
        return [(to, text(answer)) for to, answer in answers if answer["t"] != "no" or "b" in answer]

    def number(self, column: Column) -> int:
        number = self.numbers.setdefault(column, len(self.columns))
        if number == len(self.columns):
            self.columns.append(column)
        return number

    def stored(self, column: int) -> StoredReplica:
        return self.replicas.parts[self.columns[column].replica]

    def moved(self, column: int, step: tuple[str, Any], calls: Calls) -> int:
        replica, answers = self.replicas(self.columns[column].replica, step)
        return self.answering(
            self.number(Column(replica, self.columns[column].answers | set(answers))), calls
        )

    def answering(self, column: int, calls: Calls) -> int:
        """With all that has come or was synced, as far as that leaves what is held as it is."""
        key = column, calls
        if (found := self._answering.get(key)) is None:
            replica, answers = self.columns[column].replica, set(self.columns[column].answers)
            for call in sorted(calls):
                after, given = self.replicas(replica, ("call", call))
                if self.held(after) == self.held(replica):
                    replica = after
                    answers.update(given)
            for at in reversed(range(len(self.replicas.parts[replica].unsynced))):
                after, given = self.replicas(replica, ("sync", at))
                if self.held(after) == self.held(replica):
                    replica = after
                    answers.update(given)
            found = self._answering[key] = self.number(Column(replica, frozenset(answers)))
        return found

    def held(self, replica: int) -> Any:
        if replica not in self._held:
            self._held[replica] = self.replicas.parts[replica].held()
        return self._held[replica]

    def heeded(self, column: int, calls: Calls, callers: tuple[int, ...]) -> int:
        """Without answers to calls that nobody makes any longer: they change nothing for who made them."""
        if (found := self._heeded.get((column, calls))) is None:
            refs = {(who, json.loads(call)["r"]) for who, call in calls}
            answers = self.columns[column].answers
            kept = frozenset((to, answer) for to, answer in answers if (to, json.loads(answer)["r"]) in refs)
            making = dict(zip(self.callers, callers, strict=True))
            for to, answer in answers - kept:  # of a recovery that has ended there is nobody left to take it
                if to != RECOVERY or any(who == RECOVERY for who, _ in calls):
                    assert self.callers[to](making[to], (self.names[-1], answer)) == (making[to], []), answer
            found = self._heeded[column, calls] = self.number(Column(self.columns[column].replica, kept))
        return found

    def bags(self, to: str, columns: Iterable[int]) -> tuple[frozenset[str], ...]:
        for column in columns:
            if (column, to) not in self._bags:
                answers = self.columns[column].answers
                self._bags[column, to] = frozenset(answer for whom, answer in answers if whom == to)
        return tuple(self._bags[column, to] for column in columns)

    def told(self, column: int) -> int | None:
        if column not in self._told:
            self._told[column] = self.stored(column).told()
        return self._told[column]

    # ---- the callers: orders and the recovery -----------------------------------------------------

    def calling(self, name: str, caller: int) -> Calls:
        """What it sends, as far as it is."""
        if (name, caller) not in self._calling:
            sent = self.callers[name].parts[caller].beat()
            self._calling[name, caller] = frozenset((name, text(message)) for _, message in sent)
        return self._calling[name, caller]

    def fed(self, name: str, caller: int, columns: tuple[int, ...]) -> tuple[set[int], set[Any]]:
        """How far it may come by the answers there are (until it calls anew), and what may come out."""
        key = name, caller, self.bags(name, columns)
        if (found := self._fed.get(key)) is None:
            told = [(who, answer) for who, bag in zip(self.names, key[2], strict=True) for answer in bag]
            found = self._fed[key] = set(), set()
            seen, waiting = {caller}, [caller]
            while waiting:
                number = waiting.pop()
                for each in told:
                    after, out = self.callers[name](number, each)
                    for came in out:
                        found[1].add(frozen(came))
                        if isinstance(came, PersistRequest):
                            self.persists[frozen(came)] = came
                    if self.calling(name, after) != self.calling(name, caller):
                        if self.calling(name, after):  # else it has ended
                            found[0].add(after)
                    elif after not in seen:
                        seen.add(after)
                        waiting.append(after)
        return found

    def came(self, state: State) -> list[set[Any]]:
        """Of each order, what it may come to."""
        columns = (state.wiped, *state.others)
        pairs = zip(self.callers, state.callers, strict=True)
        return [self.fed(name, caller, columns)[1] for name, caller in pairs if name != RECOVERY]

    # ---- all together ----------------------------------------------------------------------------

    def recovering(self, column: int) -> bool:
        if column not in self._recovering:
            self._recovering[column] = self.stored(column).replica.state is ReplicaState.RECOVERING
        return self._recovering[column]

    def state(self, wiped: int, others: Iterable[int], callers: tuple[int, ...], was: State | None) -> State:
        """With all that may be called, and all that may be answered to that."""
        if not self.recovering(wiped):
            callers = (*callers[:-1], self.callers[RECOVERY].first)
        key = self.recovering(wiped), callers, was.calls if was else frozenset()
        if (known := self._sent.get(key)) is None:
            pairs = zip(self.callers, callers, strict=True)
            made = frozenset().union(
                *(self.calling(*each) for each in pairs if each[0] != RECOVERY or key[0])
            )
            calls = self.same.setdefault(made | key[2], made | key[2])
            known = self._sent[key] = self.same.setdefault(made, made), calls, to_wiped(calls)
        made, calls, of_wiped = known
        wiped = self.settled(wiped, of_wiped, made, callers)
        rest = sorted([self.settled(column, calls, made, callers) for column in others])
        return State(wiped, tuple(rest), callers, calls, was.begun if was else 0)

    def settled(self, column: int, calls: Calls, made: Calls, callers: tuple[int, ...]) -> int:
        key = column, calls, made
        if (found := self._settled.get(key)) is None:
            found = self._settled[key] = self.heeded(self.answering(column, calls), made, callers)
        return found

    def steps(self, now: State) -> Iterator[State]:
        wiped, others, callers = now.wiped, now.others, now.callers
        for after in self.alone(wiped, to_wiped(now.calls)):
            yield self.state(after, others, callers, now)
        for at, column in enumerate(others):
            if not at or column != others[at - 1]:  # else it is the same as the one before it
                for after in self.alone(column, now.calls):
                    yield self.state(wiped, (*others[:at], after, *others[at + 1 :]), callers, now)
        for at, (name, caller) in enumerate(zip(self.callers, callers, strict=True)):
            if name != RECOVERY or self.recovering(wiped):
                further, came = self.fed(name, caller, (wiped, *others))
                for each in further:
                    yield self.state(wiped, others, (*callers[:at], each, *callers[at + 1 :]), now)
                for each in came if name == RECOVERY else ():
                    yield self.state(
                        self.moved(wiped, ("recovered", each), frozenset()), others, callers, now
                    )
        if now.begun < self.wipes:
            lost = self.moved(wiped, ("wipe", 0), frozenset())
            again = (*callers[:-1], self.callers[RECOVERY].first)
            rest = [self.heeded(each, to_wiped(now.calls), again) for each in others]
            yield self.state(lost, rest, again, replace(now, begun=now.begun + 1))

    def alone(self, column: int, calls: Calls) -> set[int]:
        """Steps of one replica: a call comes, a sync is done, it is killed and started again."""
        if (found := self._alone.get((column, calls))) is None:
            steps: list[tuple[str, Any]] = [("call", call) for call in sorted(calls)]
            steps += [("sync", at) for at in range(len(self.stored(column).unsynced))] + [("kill", 0)]
            found = self._alone[column, calls] = {self.moved(column, step, calls) for step in steps} - {
                column
            }
        return found

    def run(self, wrong: Callable[["Search", State], bool], deep: bool = False) -> State | None:
        """The first state that is wrong.

        :param deep: the newest state is looked at next: what is wrong is found sooner
        """
        first = self.number(Column(self.replicas.first, frozenset()))
        callers = tuple(steps.first for steps in self.callers.values())
        start = self.state(first, [first] * (len(self.names) - 1), callers, None)
        self.seen, waiting = {start}, deque([start])
        while waiting:
            state = waiting.pop() if deep else waiting.popleft()
            if wrong(self, state):
                return state
            for after in self.steps(state):
                if after not in self.seen:
                    self.seen.add(after)
                    waiting.append(after)
        return None


def take(part: Any, told: tuple[str, str]) -> list[Any]:
    found: list[Any] = part.take(told[0], json.loads(told[1]))
    return found


def to_wiped(calls: Calls) -> Calls:
    """Its own recovery doesn't call it."""
    return frozenset(call for call in calls if call[0] != RECOVERY)


def loses(search: Search, state: State) -> bool:
    """Whether a reader may be told less than was acknowledged."""
    columns = (state.wiped, *state.others)
    told = [(name, search.told(column)) for name, column in zip(search.names, columns, strict=True)]
    for version, came in enumerate(search.came(state), 1):
        if (
            search.core.is_read_quorum(name for name, held in told if held is not None and held < version)
            and came
        ):
            return True
    return False


def differs(search: Search, state: State) -> bool:
    """Whether of one number two documents may be chosen."""
    return len(set().union(*search.came(state))) > 1


def writing(size: int, wipes: int) -> Search:
    core = Core(2, dict.fromkeys("abcdef"[:size], ""))
    return Search(wipes, [Order(f"w{version}", core, writes(version)) for version in (1, 2)])


def claiming(size: int, wipes: int, ballots: tuple[int, int]) -> Search:
    """:param ballots: that each of the two claimants may try"""
    core = Core(2, dict.fromkeys("abcdef"[:size], ""))
    return Search(wipes, [Order(f"for {d}", core, claims(d), n) for d, n in zip("xy", ballots, strict=True)])


@pytest.mark.parametrize(("size", "wipes", "at_least"), [(3, 1, 300), (3, 2, 3_500), (4, 1, 1_400)])
def test_no_order_of_stores_kills_wipes_and_recoveries_loses_what_was_acknowledged(
    size: int, wipes: int, at_least: int
) -> None:
    search = writing(size, wipes)
    assert search.run(loses) is None
    print(f"{len(search.seen)} states")
    assert len(search.seen) >= at_least


def test_nor_where_a_recovery_takes_long_values_by_their_stamps(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(chunks, "MAX_INLINE_CHARS", 0)
    for size, wipes, at_least in (3, 1, 550), (3, 2, 6_500), (4, 1, 7_000):
        search = writing(size, wipes)
        assert search.run(loses) is None
        print(f"{len(search.seen)} states")
        assert len(search.seen) >= at_least


def forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    """Answers of a life that has ended are counted."""

    def count(round: Round, sender: str, lives: dict[str, int]) -> None:
        round.answered[sender] = lives.get(sender, 0)

    monkeypatch.setattr(Coordinator, "_count_answer", staticmethod(count))


def rash(monkeypatch: pytest.MonkeyPatch) -> None:
    """An heir tells all before the new life is synced."""
    whole = Replica._start_incarnation

    def heir(self: Replica, back: Any, ref: Any, *how: Any) -> Any:
        answers, persists = whole(self, back, ref, *how)
        return answers or [(back, self._found_answer(ref, None, None))], persists

    monkeypatch.setattr(Replica, "_start_incarnation", heir)


def unasked(monkeypatch: pytest.MonkeyPatch) -> None:
    """A recovery takes over what it was told before others knew of its new life."""
    monkeypatch.setattr(
        Replica,
        "_start_incarnation",
        lambda self, back, ref, *_: ([(back, self._found_answer(ref, None, None))], []),
    )


def early(monkeypatch: pytest.MonkeyPatch) -> None:
    """A store is answered before it is synced."""
    whole = Replica._store

    def store(self: Replica, back: Any, ref: Any, *how: Any) -> Any:
        answers, persists = whole(self, back, ref, *how)
        return answers or [(back, {"t": "stored", "r": ref, "l": self.incarnations()})], persists

    monkeypatch.setattr(Replica, "_store", store)


def older(monkeypatch: pytest.MonkeyPatch) -> None:
    """Of a long value a recovery takes any version that comes."""

    def lacking(self: recovery.Recovery) -> list[str]:
        return [key for key in self._long_stamps if key not in self.gatekeeper.subscriber.values]

    monkeypatch.setattr(chunks, "MAX_INLINE_CHARS", 0)
    monkeypatch.setattr(recovery.Recovery, "_missing_long_keys", lacking)


@pytest.mark.parametrize("size", [3, 4])
@pytest.mark.parametrize("fault", [fewer, forgotten, rash, unasked, early, hasty, older])
def test_a_planted_fault_loses(
    fault: Callable[[pytest.MonkeyPatch], None], size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    fault(monkeypatch)
    assert writing(size, 1).run(loses) is not None


@pytest.mark.parametrize(
    ("size", "wipes", "ballots", "at_least"),
    [(3, 1, (1, 1), 38_000), (4, 0, (1, 1), 4_000), (3, 0, (2, 1), 30_000)],
)
def test_no_order_of_claims_kills_a_wipe_and_its_recovery_gives_a_number_to_two_documents(
    size: int, wipes: int, ballots: tuple[int, int], at_least: int
) -> None:
    search = claiming(size, wipes, ballots)
    assert search.run(differs) is None
    print(f"{len(search.seen)} states")
    assert len(search.seen) >= at_least


def faithless(monkeypatch: pytest.MonkeyPatch) -> None:
    """Promises are not kept."""
    whole = Replica._vote

    def ballot(self: Replica, *how: Any) -> Any:
        self.values = {key: value for key, value in self.values.items() if not key.startswith(LOCAL_PREFIX)}
        return whole(self, *how)

    monkeypatch.setattr(Replica, "_vote", ballot)
    monkeypatch.setattr(Replica, "_ballot_holds", lambda *_: True)


def headstrong(monkeypatch: pytest.MonkeyPatch) -> None:
    """What was accepted before is not adopted by a higher ballot."""
    monkeypatch.setattr(Replica, "_last_accepted", lambda *_: None)


def bare(monkeypatch: pytest.MonkeyPatch) -> None:
    """Claims are not taken over by a replica that recovers."""
    whole = Recovery.take

    def take(self: Recovery, sender: str, message: Message) -> list[PersistRequest]:
        found = whole(self, sender, message)
        return [
            replace(each, values={k: v for k, v in each.values.items() if CLAIM_PREFIX not in k})
            for each in found
        ]

    monkeypatch.setattr(Recovery, "take", take)


@pytest.mark.parametrize("fault", [faithless, headstrong, bare, forgotten, unasked, hasty])
def test_a_planted_fault_gives_a_number_to_two_documents(
    fault: Fault, monkeypatch: pytest.MonkeyPatch
) -> None:
    fault(monkeypatch)
    assert claiming(3, 1, (1, 1)).run(differs, deep=True) is not None
