"""Operation keys in whole fleets in simulated time: clients repeat keys at any gatekeeper while processes are
killed, disks are wiped, parts are cut off and all lose power. No key runs twice, and a repeat is given the
first run's answer. Each checker is shown a fault that it must find."""

import random
from collections.abc import Callable, Generator
from typing import Any

import pytest

from millfront.invariants import Invariant
from millfront.operations.claims import Outcome, PendingClaim
from millfront.operations.messages import Claim, Gather, StoredAnswer, operation_id
from millfront.operations.store import COMPLETE, MARGIN_S, PAGE, Operation, OperationStore, Reply
from tests.system_world import Node, World, document

WIDEN_S, EXPIRE_S = 0.1, 0.26
WINDOW_S = 60.0
Process = Generator[Any, Any, None]
Trouble = Callable[["Story"], Process]


class Story:
    """One fleet, clients that repeat a few keys, and what ran."""

    def __init__(self, seed: int, n: int = 11, disks: int = 4) -> None:
        self.random = random.Random(seed)
        self.world = World(n, disks, seed).start().run(6.0)
        self.world.put(5, document(1))
        self.world.run(3.0)
        self.runs: dict[str, list[str]] = {}  # by key, the attempts that were sent to a server
        self.wrong: list[str] = []
        self.outcomes = dict.fromkeys(Outcome, 0)

    def request(self, node: Node, key: str) -> None:
        """One client's request, as the proxy has it claimed and ended."""
        gatekeeper, life = node.gatekeeper, node.incarnation
        if gatekeeper is None or node.backlog is not None:
            return
        gatekeeper.now = node.now()
        claims, pending = gatekeeper.operations.claims, None

        def decided(outcome: Outcome, answer: StoredAnswer | None) -> None:
            self.outcomes[outcome] += 1
            if outcome is Outcome.RUN:
                self.world.env.process(runs())
            elif outcome is Outcome.REPEAT:
                assert answer is not None
                if answer.body.decode() not in self.runs.get(key, []):
                    self.wrong.append(f"{key}: given {answer.body!r}")

        def runs() -> Process:
            yield self.world.env.timeout(0.0)
            assert pending is not None
            if self.random.random() < 0.1:  # no server takes it
                claims.withdraw(pending)
                return
            self.runs.setdefault(key, []).append(pending.attempt)
            yield self.world.env.timeout(self.random.uniform(0.02, 0.5))
            if node.incarnation == life and self.random.random() < 0.9:
                told = StoredAnswer(200, (), pending.attempt.encode())
                claims.finish(pending, told, frozenset(), lambda: None)

        def waits(claim: PendingClaim) -> Process:
            yield self.world.env.timeout(WIDEN_S)
            if node.incarnation == life:
                claims.widen(claim)
            yield self.world.env.timeout(EXPIRE_S - WIDEN_S)
            if node.incarnation == life:
                claims.expire(claim)

        pending = claims.begin(operation_id("t", key), 4.0, decided)
        if pending is not None:
            self.world.env.process(waits(pending))

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
        return twice + self.wrong


def wipes(story: Story) -> Process:
    """One disk at a time is lost, as many as are borne at once."""
    for _ in range(3):
        yield story.world.env.timeout(story.random.uniform(2.0, 4.0))
        node = story.world.nodes[story.random.randrange(4)]
        node.wipe()
        yield story.world.env.timeout(0.8)
        node.start()
        yield story.world.env.timeout(4.0)


def kills(story: Story) -> Process:
    """Any process, and now and then all that have a disk at once."""
    for _ in range(5):
        yield story.world.env.timeout(story.random.uniform(1.0, 3.0))
        whole = story.random.random() < 0.4
        nodes = story.world.nodes[:4] if whole else [story.random.choice(story.world.nodes)]
        for node in nodes:
            node.kill()
        yield story.world.env.timeout(0.5)
        for node in nodes:
            node.start()


def cuts(story: Story) -> Process:
    """Some are cut off from all others, one with a disk among them."""
    for _ in range(3):
        yield story.world.env.timeout(story.random.uniform(1.0, 3.0))
        alone = {story.random.randrange(4), *story.random.sample(range(4, 11), 3)}
        story.world.cut = lambda a, b, alone=alone: (a.number in alone) != (b.number in alone)  # type: ignore[misc]
        yield story.world.env.timeout(story.random.uniform(0.5, 3.0))
        story.world.cut = lambda a, b: False


def freezes(story: Story) -> Process:
    """One with a disk stands still; what is sent to it waits."""
    for _ in range(4):
        yield story.world.env.timeout(story.random.uniform(1.0, 3.0))
        node = story.world.nodes[story.random.randrange(4)]
        if node.gatekeeper is None:
            continue
        node.freeze()
        yield story.world.env.timeout(story.random.uniform(0.2, 3.0))
        node.thaw()


def ends_in_turn(story: Story) -> Process:
    """Those with a disk get SIGTERM one after another, and each starts again soon after its end."""
    for number in (0, 1, 2, 3, 0, 1):
        node = story.world.nodes[number]
        if node.gatekeeper is None:
            continue
        node.leave()
        while node.gatekeeper is not None:
            yield story.world.env.timeout(0.1)
        yield story.world.env.timeout(story.random.uniform(0.3, 1.0))
        node.start()
        yield story.world.env.timeout(story.random.uniform(0.5, 3.0))


def full_disks(story: Story) -> Process:
    """One disk after another refuses every write for a while; now and then its process is killed, too."""
    for _ in range(4):
        yield story.world.env.timeout(story.random.uniform(1.0, 2.0))
        node = story.world.nodes[story.random.randrange(4)]
        node.disk_refuses = True
        yield story.world.env.timeout(story.random.uniform(0.5, 2.5))
        node.disk_refuses = False
        if story.random.random() < 0.5:
            node.kill()
            yield story.world.env.timeout(0.5)
            node.start()


def play(seed: int, troubles: tuple[Trouble, ...]) -> Story:
    story = Story(seed)
    story.world.lost_answers = 0.02
    for trouble in troubles:
        story.world.env.process(trouble(story))
    story.clients(20.0, keys=60)
    return story


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "troubles",
    [(), (wipes,), (kills, cuts), (freezes, cuts), (wipes, freezes), (full_disks,)],
    ids=lambda them: "+".join(t.__name__ for t in them) or "calm",
)
def test_no_key_runs_twice_and_a_repeat_is_given_the_first_answer(
    seed: int, troubles: tuple[Trouble, ...]
) -> None:
    story = play(seed, troubles)
    assert story.faults() == []
    assert len(story.runs) > 30  # keys run, whatever happens
    assert story.outcomes[Outcome.REPEAT] > 50


@pytest.mark.parametrize("seed", range(6))
def test_no_key_runs_twice_while_members_end_in_order_and_come_back(seed: int) -> None:
    story = Story(seed)
    story.world.env.process(ends_in_turn(story))
    story.clients(35.0, keys=120)
    assert story.faults() == []
    assert len(story.runs) > 60


def test_what_a_full_disk_did_not_take_is_kept_once_it_does() -> None:
    """A replica that gathers while its disk is full is complete once all that it was told is on its disk."""
    made = store({})
    made.gathered(1.0, {"o": Operation("a", 0.0).row()}, epoch=2)
    batch = made.next_batch()
    assert batch is not None and "o" in batch.rows
    made.synced(batch, well=False)
    assert not made.complete and made.next_batch() is None  # not at once: the disk would be asked without end
    made.tick(1.25, epoch=2)
    again = made.next_batch()
    assert again is not None and again.rows.keys() == {"o", COMPLETE}
    made.synced(again, well=True)
    assert made.complete


def test_after_a_loss_of_power_of_all_no_key_runs_again() -> None:
    story = Story(7)
    story.clients(6.0, keys=40)
    ran = set(story.runs)
    story.world.power_off()
    story.world.run(6.0)
    before = dict(story.outcomes)
    story.clients(6.0, keys=40)
    assert story.faults() == [] and ran
    assert story.outcomes[Outcome.REPEAT] > before[Outcome.REPEAT]  # the answers were on disks


def test_a_key_that_was_withdrawn_runs_and_one_past_the_window_runs_again() -> None:
    story = Story(3)
    node = story.world.nodes[6]
    for again in range(2):
        story.clients(1.0, keys=1)
        assert len(story.runs["k0"]) == again + 1
        story.world.run(WINDOW_S + MARGIN_S + 6.0)
    assert node.gatekeeper is not None


def test_a_planted_replica_that_forgets_is_found(
    monkeypatch: pytest.MonkeyPatch, violations: list[tuple[Invariant, str]]
) -> None:
    """The check itself: replicas whose lost disks count as complete let keys run twice."""
    made = OperationStore.__init__

    def forgets(self: OperationStore, kept: dict[str, str], *more: Any) -> None:
        made(self, kept, *more)
        self.complete = True

    monkeypatch.setattr(OperationStore, "__init__", forgets)
    story = Story(2)
    story.clients(5.0, keys=20)
    for node in story.world.nodes[:2]:  # a majority of four is three: two that forget and one that never knew
        node.operation_rows.clear()
        node.kill()
        node.start()
    story.world.run(4.0)
    story.clients(5.0, keys=20)
    assert any("ran 2 times" in fault for fault in story.faults())
    violations.clear()


def test_a_planted_grant_to_whoever_asks_is_found(
    monkeypatch: pytest.MonkeyPatch, violations: list[tuple[Invariant, str]]
) -> None:
    real = OperationStore.claim

    def grants(self: OperationStore, now: float, via: Any, claim: Claim, epoch: int) -> list[Reply]:
        self.operations.pop(claim.operation, None)
        return real(self, now, via, claim, epoch)

    monkeypatch.setattr(OperationStore, "claim", grants)
    assert play(1, ()).faults()
    violations.clear()


# ---- one replica -------------------------------------------------------------------------------------


def store(kept: dict[str, str], now: float = 0.0) -> OperationStore:
    return OperationStore(kept, False, WINDOW_S, now)


def test_a_replica_that_may_have_forgotten_grants_nothing_until_the_window_has_passed() -> None:
    empty = store({})
    [reply] = empty.claim(1.0, "via", Claim("o", "a", 2), 2)
    assert reply.message["v"] == "no"
    empty.tick(WINDOW_S + MARGIN_S + 1.0, epoch=2)
    batch = empty.next_batch()
    assert batch is not None and batch.rows == {COMPLETE: "2"} and not empty.complete
    empty.synced(batch, well=True)
    assert empty.complete


def test_one_that_is_out_of_the_core_does_not_become_complete_by_waiting() -> None:
    out = store({COMPLETE: "2"})
    out.core_is(1.0, 4, stays=False)
    for at in range(2, 200, 5):
        out.tick(float(at), epoch=0)
    out.core_is(200.0, 6, stays=False)
    out.tick(201.0, epoch=6)
    assert not out.complete
    batch = out.next_batch()
    assert batch is not None and batch.drop == {COMPLETE} and not batch.completes


@pytest.mark.parametrize(
    ("epoch", "stays", "complete"),
    [(2, True, True), (3, True, True), (4, True, True), (5, True, False), (4, False, False)],
)
def test_the_mark_of_a_disk_holds_for_cores_that_follow_without_a_gap(
    epoch: int, stays: bool, complete: bool
) -> None:
    made = store({COMPLETE: "2"})
    made.core_is(1.0, epoch, stays)
    assert made.complete is complete


def test_a_claim_is_granted_once_it_is_synced_and_not_by_a_disk_that_refuses() -> None:
    made = store({COMPLETE: "1"})
    assert made.claim(1.0, "via", Claim("o", "a", 2), 2) == []
    batch = made.next_batch()
    assert batch is not None
    [reply] = made.synced(batch, well=False)
    assert reply.message["v"] == "no"
    assert made.claim(2.0, "via", Claim("o", "b", 2), 2) == []  # nothing stands in its way


def test_a_claim_for_another_epoch_is_not_granted() -> None:
    [reply] = store({COMPLETE: "1"}).claim(1.0, "via", Claim("o", "a", 3), 2)
    assert reply.message["v"] == "no"


def test_records_are_told_in_pages_and_without_answers() -> None:
    answer = StoredAnswer(200, (), b"private")
    kept = {f"{number:04d}": Operation("a", 0.0, answer=answer).row() for number in range(PAGE + 5)}
    full, after, found = store({COMPLETE: "1", **kept}), "", dict[str, str]()
    for last in (False, True):
        records = full.page(Gather(2, after), 2)
        assert records is not None and records.last is last
        found |= records.rows
        after = max(records.rows)
    assert found.keys() == kept.keys()
    assert all(Operation.of(row, 0.0).answer is None for row in found.values())
    assert store({}).page(Gather(2), 2) is None


# ---- who has the answer ------------------------------------------------------------------------------


def test_an_answer_is_kept_only_where_it_may_be_stored() -> None:
    """By the owner and its successor of the allowed region; the claim, which tells nothing, by a majority."""
    story = Story(4)
    node, operation = story.world.nodes[9], operation_id("t", "homed")
    gatekeeper = node.gatekeeper
    assert gatekeeper is not None
    gatekeeper.now = node.now()
    granted: list[Outcome] = []
    claims = gatekeeper.operations.claims
    pending = claims.begin(operation, 4.0, lambda outcome, _: granted.append(outcome))
    assert pending is not None
    story.world.run(1.0)
    assert granted == [Outcome.RUN]
    kept: list[bool] = []
    claims.finish(pending, StoredAnswer(200, (), b"private"), frozenset({"b"}), lambda: kept.append(True))
    story.world.run(1.0)
    assert kept == [True]
    holders = {
        other.zone[0]
        for other in story.world.nodes[:4]
        for row in other.operation_rows.items()
        if row[0] == operation and Operation.of(row[1], 0.0).answer is not None
    }
    assert holders == {"b"}
