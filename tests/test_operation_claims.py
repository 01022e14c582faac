"""Operation keys in whole fleets in simulated time: clients repeat keys at any gatekeeper while processes are
killed, disks are wiped, nodes are cut off and all machines lose power. No key runs twice, and repeats receive
the first run's answer. Each checker must find a planted fault."""

import random
from collections.abc import Callable
from typing import Any

import pytest

from millfront.invariants import Invariant
from millfront.operations.claims import Outcome
from millfront.operations.gathering import Knowledge
from millfront.operations.messages import (
    Claim,
    ClaimReply,
    Gather,
    Records,
    State,
    StoredAnswer,
    Verdict,
    Withdraw,
    operation_id,
)
from millfront.operations.rows import INTACT_KEY, Operation, Reply
from millfront.operations.store import PAGE_RECORDS, WINDOW_MARGIN_S, OperationStore
from tests.claim_clients import Process, begin_claim, world_in_service
from tests.system_world import Node

EVERY_EPOCH = 1_000_000
WINDOW_S = 60.0
Disturbance = Callable[["Scenario"], Process]


class Scenario:
    """One fleet, clients that repeat a few keys, and the attempts that ran."""

    def __init__(self, seed: int, n: int = 11, disks: int = 4) -> None:
        self.random = random.Random(seed)
        self.world = world_in_service(n, disks, seed)
        self.runs: dict[str, list[str]] = {}  # key: attempts that were sent to a server
        self.wrong_answers: list[str] = []
        self.outcomes = dict.fromkeys(Outcome, 0)

    def request(self, node: Node, key: str) -> None:
        """One client's request, claimed and completed as the proxy does it."""
        gatekeeper, incarnation = node.gatekeeper, node.incarnation
        if gatekeeper is None or node.backlog is not None:
            return
        claims, pending = gatekeeper.operations.claims, None

        def on_decision(outcome: Outcome, answer: StoredAnswer | None) -> None:
            self.outcomes[outcome] += 1
            if outcome is Outcome.RUN:
                self.world.env.process(run())
            elif outcome is Outcome.REPEAT:
                assert answer is not None
                if answer.body.decode() not in self.runs.get(key, []):
                    self.wrong_answers.append(f"{key}: repeat received {answer.body!r}")

        def run() -> Process:
            yield self.world.env.timeout(0.0)
            assert pending is not None
            if self.random.random() < 0.1:  # no server accepts it
                claims.withdraw(pending)
                return
            self.runs.setdefault(key, []).append(pending.attempt)
            yield self.world.env.timeout(self.random.uniform(0.02, 0.5))
            if node.incarnation == incarnation and self.random.random() < 0.9:
                stored = StoredAnswer(200, (), pending.attempt.encode())
                claims.finish(pending, stored, frozenset(), lambda: None)

        pending = begin_claim(self.world, node, key, on_decision)

    def clients(self, seconds: float, keys: int) -> None:
        """Requests at random gatekeepers, each key several times within the window."""
        ends = self.world.env.now + seconds
        while self.world.env.now < ends:
            self.world.run(self.random.uniform(0.005, 0.05))
            self.request(self.random.choice(self.world.nodes), f"k{self.random.randrange(keys)}")

    def faults(self) -> list[str]:
        twice = [
            f"{key}: ran {len(attempts)} times" for key, attempts in self.runs.items() if len(attempts) > 1
        ]
        return twice + self.wrong_answers


def wipes(scenario: Scenario) -> Process:
    """One disk at a time is lost: as many as the fleet tolerates at once."""
    for _ in range(3):
        yield scenario.world.env.timeout(scenario.random.uniform(2.0, 4.0))
        node = scenario.world.nodes[scenario.random.randrange(4)]
        node.wipe()
        yield scenario.world.env.timeout(0.8)
        node.start()
        yield scenario.world.env.timeout(4.0)


def kills(scenario: Scenario) -> Process:
    """Any process is killed, and sometimes all processes with a disk at once."""
    for _ in range(5):
        yield scenario.world.env.timeout(scenario.random.uniform(1.0, 3.0))
        all_disks = scenario.random.random() < 0.4
        nodes = scenario.world.nodes[:4] if all_disks else [scenario.random.choice(scenario.world.nodes)]
        for node in nodes:
            node.kill()
        yield scenario.world.env.timeout(0.5)
        for node in nodes:
            node.start()


def cuts(scenario: Scenario) -> Process:
    """Some nodes, one of them with a disk, are cut off from all others."""
    for _ in range(3):
        yield scenario.world.env.timeout(scenario.random.uniform(1.0, 3.0))
        alone = {scenario.random.randrange(4), *scenario.random.sample(range(4, 11), 3)}
        scenario.world.cut = lambda a, b, alone=alone: (a.number in alone) != (b.number in alone)  # type: ignore[misc]
        yield scenario.world.env.timeout(scenario.random.uniform(0.5, 3.0))
        scenario.world.cut = lambda a, b: False


def freezes(scenario: Scenario) -> Process:
    """A node with a disk freezes; messages to it wait."""
    for _ in range(4):
        yield scenario.world.env.timeout(scenario.random.uniform(1.0, 3.0))
        node = scenario.world.nodes[scenario.random.randrange(4)]
        if node.gatekeeper is None:
            continue
        node.freeze()
        yield scenario.world.env.timeout(scenario.random.uniform(0.2, 3.0))
        node.thaw()


def restarts_in_turn(scenario: Scenario) -> Process:
    """Nodes with a disk get SIGTERM one after another; each restarts soon after it has exited."""
    for number in (0, 1, 2, 3, 0, 1):
        node = scenario.world.nodes[number]
        if node.gatekeeper is None:
            continue
        node.leave()
        while node.gatekeeper is not None:
            yield scenario.world.env.timeout(0.1)
        yield scenario.world.env.timeout(scenario.random.uniform(0.3, 1.0))
        node.start()
        yield scenario.world.env.timeout(scenario.random.uniform(0.5, 3.0))


def full_disks(scenario: Scenario) -> Process:
    """One disk after another refuses every write for a while; sometimes its process is killed too."""
    for _ in range(4):
        yield scenario.world.env.timeout(scenario.random.uniform(1.0, 2.0))
        node = scenario.world.nodes[scenario.random.randrange(4)]
        node.disk_refuses = True
        yield scenario.world.env.timeout(scenario.random.uniform(0.5, 2.5))
        node.disk_refuses = False
        if scenario.random.random() < 0.5:
            node.kill()
            yield scenario.world.env.timeout(0.5)
            node.start()


def run_scenario(seed: int, disturbances: tuple[Disturbance, ...]) -> Scenario:
    scenario = Scenario(seed)
    scenario.world.lost_answers = 0.02
    for disturbance in disturbances:
        scenario.world.env.process(disturbance(scenario))
    scenario.clients(20.0, keys=60)
    return scenario


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "disturbances",
    [(), (wipes,), (kills, cuts), (freezes, cuts), (wipes, freezes), (full_disks,)],
    ids=lambda them: "+".join(t.__name__ for t in them) or "calm",
)
def test_no_key_runs_twice_and_a_repeat_is_given_the_first_answer(
    seed: int, disturbances: tuple[Disturbance, ...]
) -> None:
    scenario = run_scenario(seed, disturbances)
    assert scenario.faults() == []
    assert len(scenario.runs) > 30  # keys run despite the disturbances
    assert scenario.outcomes[Outcome.REPEAT] > 50


@pytest.mark.parametrize("seed", range(6))
def test_no_key_runs_twice_while_members_end_in_order_and_come_back(seed: int) -> None:
    scenario = Scenario(seed)
    scenario.world.env.process(restarts_in_turn(scenario))
    scenario.clients(35.0, keys=120)
    assert scenario.faults() == []
    assert len(scenario.runs) > 60


def test_rows_refused_by_a_full_disk_are_stored_once_it_has_room() -> None:
    """A replica that gathers while its disk is full is complete once all gathered rows are on its disk."""
    made = store({})
    made.add_records(1.0, records("a"))
    made.mark_known(2)
    batch = made.next_batch()
    assert batch is not None and "o" in batch.rows
    made.synced(batch, ok=False)
    assert not made.complete and made.next_batch() is None  # no immediate retry: it would loop on a full disk
    made.tick(1.25)
    again = made.next_batch()
    assert again is not None and again.rows.keys() == {"o", INTACT_KEY}
    made.synced(again, ok=True)
    assert made.complete


def test_no_key_runs_again_after_all_lost_power() -> None:
    scenario = Scenario(7)
    scenario.clients(6.0, keys=40)
    ran = set(scenario.runs)
    scenario.world.power_off()
    scenario.world.run(6.0)
    before = dict(scenario.outcomes)
    scenario.clients(6.0, keys=40)
    assert scenario.faults() == [] and ran
    assert scenario.outcomes[Outcome.REPEAT] > before[Outcome.REPEAT]  # the answers were on disk


def test_a_key_that_was_withdrawn_runs_and_one_past_the_window_runs_again() -> None:
    scenario = Scenario(3)
    node = scenario.world.nodes[6]
    for again in range(2):
        scenario.clients(1.0, keys=1)
        assert len(scenario.runs["k0"]) == again + 1
        scenario.world.run(WINDOW_S + WINDOW_MARGIN_S + 6.0)
    assert node.gatekeeper is not None


def test_a_planted_replica_that_forgets_is_found(
    monkeypatch: pytest.MonkeyPatch, violations: list[tuple[Invariant, str]]
) -> None:
    """Checks the checker: replicas that count lost disks as complete let keys run twice."""
    init = OperationStore.__init__

    def forgets(self: OperationStore, stored: dict[str, str], *more: Any) -> None:
        init(self, stored, *more)
        self.knowledge = Knowledge(True, EVERY_EPOCH)

    monkeypatch.setattr(OperationStore, "__init__", forgets)
    scenario = Scenario(2)
    scenario.clients(5.0, keys=20)
    # A majority of four is three: two replicas that forget and one that never had the claim
    for node in scenario.world.nodes[:2]:
        node.operation_rows.clear()
        node.kill()
        node.start()
    scenario.world.run(4.0)
    scenario.clients(5.0, keys=20)
    assert any("ran 2 times" in fault for fault in scenario.faults())
    violations.clear()


def test_a_planted_grant_to_whoever_asks_is_found(
    monkeypatch: pytest.MonkeyPatch, violations: list[tuple[Invariant, str]]
) -> None:
    claim_operation = OperationStore.claim

    def grants(self: OperationStore, now: float, via: Any, claim: Claim, epoch: int) -> list[Reply]:
        self.operations.pop(claim.operation, None)
        return claim_operation(self, now, via, claim, epoch)

    monkeypatch.setattr(OperationStore, "claim", grants)
    assert run_scenario(1, ()).faults()
    violations.clear()


@pytest.mark.parametrize("keys", [0, 1, 40])
def test_a_replica_that_lost_its_disk_grants_again_however_few_records_there_are(keys: int) -> None:
    """Guards against a short page of records that readers took for a compressed message and refused."""
    scenario = Scenario(5)
    if keys:
        scenario.clients(2.0, keys)
    node = scenario.world.nodes[1]
    node.wipe()
    node.start()
    scenario.world.run(4.0)
    assert node.gatekeeper is not None and node.gatekeeper.operations.store is not None
    assert node.gatekeeper.operations.store.complete


# ---- one replica -------------------------------------------------------------------------------------


def records(attempt: str, age: float = 1.0) -> Records:
    return Records(3, "", {"o": Operation(attempt, 0.0).to_row()}, (age,), last=True, known_before=2)


def store(rows: dict[str, str], now: float = 0.0) -> OperationStore:
    return OperationStore(rows, False, WINDOW_S, now)


def test_a_replica_that_may_have_forgotten_grants_nothing_until_the_window_has_passed() -> None:
    empty = store({})
    [reply] = empty.claim(1.0, "via", Claim("o", "a", 2), 2)
    assert reply.message["v"] == "no"
    empty.on_core_change(1.0, 2, joint=False)
    empty.tick(WINDOW_S + WINDOW_MARGIN_S + 2.0)
    batch = empty.next_batch()
    assert batch is not None and batch.rows == {INTACT_KEY: "1"} and not empty.complete
    empty.synced(batch, ok=True)
    assert empty.complete


def test_a_replica_outside_the_core_does_not_become_complete_by_waiting() -> None:
    """By waiting it knows what was granted before the last core that it knows, not before a later one."""
    out = store({INTACT_KEY: "2"})
    out.on_core_change(1.0, 4, joint=False)
    for at in range(2, 200, 5):
        out.tick(float(at))
        while (batch := out.next_batch()) is not None:
            out.synced(batch, ok=True)
    assert out.knowledge == Knowledge(True, 3)
    out.on_core_change(200.0, 6, joint=False)
    out.tick(201.0)
    assert not out.complete and out.next_batch() is None
    [reply] = out.claim(201.0, "via", Claim("o", "a", 6), 6)
    assert reply.message["v"] == "no"


@pytest.mark.parametrize(
    ("epoch", "joint", "complete"),
    [
        (2, False, True),
        (3, True, True),
        (3, False, True),
        (4, True, True),
        (4, False, False),
        (5, True, False),
    ],
)
def test_a_replica_grants_under_cores_that_share_members_with_those_that_it_knows(
    epoch: int, joint: bool, complete: bool
) -> None:
    """Guards against review/1: a member of two cores counted as complete without what was claimed before."""
    made = store({INTACT_KEY: "2"})
    made.on_core_change(1.0, epoch, joint)
    assert made.complete is complete


def test_a_claim_is_granted_once_it_is_synced_and_not_by_a_disk_that_refuses() -> None:
    made = store({INTACT_KEY: "1"})
    assert made.claim(1.0, "via", Claim("o", "a", 2), 2) == []
    batch = made.next_batch()
    assert batch is not None
    [reply] = made.synced(batch, ok=False)
    assert reply.message["v"] == "no"
    assert made.claim(2.0, "via", Claim("o", "b", 2), 2) == []  # the refused claim does not block it


def test_a_claim_for_another_epoch_is_not_granted() -> None:
    [reply] = store({INTACT_KEY: "1"}).claim(1.0, "via", Claim("o", "a", 3), 2)
    assert reply.message["v"] == "no"


def synced(made: OperationStore) -> list[Reply]:
    batch = made.next_batch()
    assert batch is not None
    return made.synced(batch, ok=True)


def test_what_another_replica_granted_is_kept_beside_a_claim_that_is_withdrawn_later() -> None:
    """Guards against a gathered claim that a minority's claim hides, and that is forgotten with it."""
    made = store({INTACT_KEY: "2"})
    made.on_core_change(0.0, 3, joint=True)
    made.claim(1.0, "via", Claim("o", "minority", 3), 3)
    made.add_records(1.1, records("majority"))
    synced(made)
    made.withdraw(1.2, Withdraw("o", "minority"))
    batch = made.next_batch()
    assert batch is not None and Operation.from_row(batch.rows["o"], 0.0).attempt == "majority"
    [reply] = made.claim(1.3, "via", Claim("o", "other", 3), 3)
    assert ClaimReply.from_wire(reply.message).verdict is Verdict.CONFLICT


def test_a_key_claimed_anew_after_its_window_is_kept_beside_the_run_that_is_still_held_here() -> None:
    """A restart lengthens a window here: what others granted meanwhile must not be forgotten with it."""
    ran = Operation("first", 0.0, State.UNKNOWN)
    made = store({INTACT_KEY: "2", "o": ran.to_row()})  # its window begins anew now
    made.on_core_change(0.0, 3, joint=True)
    made.add_records(50.0, records("second"))
    synced(made)
    ends = WINDOW_S + WINDOW_MARGIN_S
    [reply] = made.claim(ends + 1.0, "via", Claim("o", "third", 3), 3)
    assert ClaimReply.from_wire(reply.message).verdict is Verdict.CONFLICT


def test_a_claim_withdrawn_before_the_records_with_it_arrive_is_not_kept() -> None:
    """Its key may run: a repeat would else be refused for the whole window."""
    made = store({INTACT_KEY: "2"})
    made.on_core_change(0.0, 3, joint=True)
    made.withdraw(1.0, Withdraw("o", "withdrawn"))
    made.add_records(1.1, records("withdrawn"))
    assert made.claim(1.2, "via", Claim("o", "other", 3), 3) == []


def test_a_gathered_claim_is_kept_until_the_end_of_its_own_window() -> None:
    made = store({INTACT_KEY: "2"})
    made.on_core_change(0.0, 3, joint=True)
    made.add_records(50.0, records("a", age=40.0))
    synced(made)
    ends = 10.0 + WINDOW_S + WINDOW_MARGIN_S
    [reply] = made.claim(ends - 0.1, "via", Claim("o", "b", 3), 3)
    assert reply.message["v"] == "had"
    assert made.claim(ends + 0.1, "via", Claim("o", "b", 3), 3) == []


def test_no_mark_is_synced_before_rows_that_the_disk_has_refused() -> None:
    """Guards against a disk that tells after a crash that it knows claims which it never took."""
    made = store({INTACT_KEY: "2"})
    made.on_core_change(0.0, 3, joint=True)
    made.add_records(1.0, records("a"))
    refused = made.next_batch()
    assert refused is not None
    made.on_core_change(1.1, 5, joint=True)
    made.mark_known(5)
    made.synced(refused, ok=False)
    assert made.next_batch() is None and made.knowledge.known_before == 2
    made.tick(1.5)
    batch = made.next_batch()
    assert batch is not None and batch.rows.keys() == {"o", INTACT_KEY}


def test_records_are_sent_in_pages_and_without_answers() -> None:
    answer = StoredAnswer(200, (), b"private")
    kept = {
        f"{number:04d}": Operation("a", 0.0, answer=answer).to_row() for number in range(PAGE_RECORDS + 5)
    }
    full, after, found = store({INTACT_KEY: "1", **kept}), "", dict[str, str]()
    for last in (False, True):
        page = full.page(9.0, Gather(2, after), 2)
        assert page is not None and page.last is last
        found |= page.rows
        after = max(page.rows)
    assert found.keys() == kept.keys()
    assert all(Operation.from_row(row, 0.0).answer is None for row in found.values())
    assert store({}).page(9.0, Gather(2), 2) is None


# ---- where answers are stored ------------------------------------------------------------------------


def test_an_answer_is_kept_only_where_it_may_be_stored() -> None:
    """Owner and successor in the allowed region store it; a majority has the claim, which reveals nothing."""
    scenario = Scenario(4)
    node, operation = scenario.world.nodes[9], operation_id("t", "homed")
    gatekeeper = node.gatekeeper
    assert gatekeeper is not None
    gatekeeper.now = node.now()
    granted: list[Outcome] = []
    claims = gatekeeper.operations.claims
    pending = claims.begin(operation, 4.0, lambda outcome, _: granted.append(outcome))
    assert pending is not None
    scenario.world.run(1.0)
    assert granted == [Outcome.RUN]
    stored: list[bool] = []
    claims.finish(pending, StoredAnswer(200, (), b"private"), frozenset({"b"}), lambda: stored.append(True))
    scenario.world.run(1.0)
    assert stored == [True]
    holders = {
        other.zone[0]
        for other in scenario.world.nodes[:4]
        for row in other.operation_rows.items()
        if row[0] == operation and Operation.from_row(row[1], 0.0).answer is not None
    }
    assert holders == {"b"}
