"""New operation keys while the core changes several times: how many are refused, and for how long.

`make claim-chains` reports both for each of many chains.
"""

import random

import pytest

from millfront.operations.claims import Outcome
from millfront.operations.messages import StoredAnswer
from tests.claim_clients import EXPIRE_S, Process, begin_claim, world_in_service
from tests.system_world import ZONES, Node

DISKS, MACHINES, SPARES = 7, 11, 3
HOME, ELSEWHERE = "a", "b"  # regions: four of seven disks are in the first one
KEYS_PER_S = 100
RETRY_AFTER_S = 0.3  # as the proxy tells clients
MOST_RETRIES = 3  # a change is two new cores, each of which may end one try, within a second
BEFORE_S = 1.5
AFTER_S = 3.0  # how long keys are sent once the chain has ended
SETTLE_S = 8.0  # after a machine has joined, until it is a member
CHAINS = {
    "leave+leave": [("leave", 4), ("leave", 5)],
    "leave+leave+leave+join": [("leave", 4), ("leave", 5), ("leave", 6), ("join", 11)],
    "join+leave+join+leave": [("join", 11), ("leave", 1), ("join", 12), ("leave", 2)],
    "wipe+leave+wipe+leave": [("wipe", 1), ("leave", 4), ("wipe", 2), ("leave", 5)],
}


class Clients:
    """Clients that send one key each, and try again when it is refused."""

    def __init__(self, seed: int, regions: frozenset[str] = frozenset()) -> None:
        """:param regions: where answers may be stored; empty: everywhere"""
        self.random, self.regions = random.Random(seed), regions
        self.world = world_in_service(MACHINES, DISKS, seed, SPARES)
        self.tries: dict[str, int] = {}  # of each key
        self.runs: dict[str, int] = {}
        self.given_up: list[str] = []
        self.sent_at: dict[str, float] = {}  # the first try of each key
        self.repeats: dict[str, Outcome] = {}  # what a repeat is given, of each key that ran
        self.wrong_answers: list[str] = []
        self.ended_at = float("inf")  # the chain
        self.longest_wait_s = 0.0  # from a key's first try until it may run

    @property
    def refused(self) -> list[str]:
        """The keys of which a try was refused."""
        return [key for key, tries in self.tries.items() if tries > 1]

    @property
    def refused_afterwards(self) -> list[str]:
        """Those of them that were first sent after the chain had ended."""
        return [key for key in self.refused if self.sent_at[key] > self.ended_at]

    def send(self, key: str, region: str, repeated: bool = False) -> None:
        """One try of a key at any machine of a region that is in service."""
        ready = [node for node in self.world.nodes if ZONES[node.zone] == region and self._serves(node)]
        node = self.random.choice(ready)
        gatekeeper, incarnation = node.gatekeeper, node.incarnation
        assert gatekeeper is not None
        claims, pending = gatekeeper.operations.claims, None
        if not repeated:
            self.tries[key] = self.tries.get(key, 0) + 1
            self.sent_at.setdefault(key, self.world.env.now)

        def on_decision(outcome: Outcome, answer: StoredAnswer | None) -> None:
            if repeated:
                self.repeats[key] = outcome
                if answer is not None and answer.body != key.encode():
                    self.wrong_answers.append(key)
            if outcome is Outcome.RUN:
                self.runs[key] = self.runs.get(key, 0) + 1
                self.longest_wait_s = max(self.longest_wait_s, self.world.env.now - self.sent_at[key])
                self.world.env.process(finish())
            elif outcome is Outcome.REFUSED and not repeated:
                if self.tries[key] > MOST_RETRIES:
                    self.given_up.append(key)
                else:
                    self.world.env.process(retry())

        def finish() -> Process:
            yield self.world.env.timeout(0.05)
            if node.incarnation == incarnation and pending is not None:
                answer = StoredAnswer(200, (), key.encode())
                claims.finish(pending, answer, self.regions, lambda: None)

        def retry() -> Process:
            yield self.world.env.timeout(RETRY_AFTER_S)
            self.send(key, region)

        pending = begin_claim(self.world, node, key, on_decision)

    @staticmethod
    def _serves(node: Node) -> bool:
        gatekeeper = node.gatekeeper
        return gatekeeper is not None and gatekeeper.ready(node.now())

    def change(self, chain: list[tuple[str, int]]) -> Process:
        """Make the changes one after the other, after a while without any."""
        yield self.world.env.timeout(BEFORE_S)
        for kind, number in chain:
            node = self.world.nodes[number]
            if kind == "leave":
                node.leave()
                while node.gatekeeper is not None:
                    yield self.world.env.timeout(0.1)
            elif kind == "join":
                node.start()
                yield self.world.env.timeout(SETTLE_S)
            else:
                node.wipe()
                yield self.world.env.timeout(0.8)
                node.start()
                yield self.world.env.timeout(SETTLE_S / 2)
        self.ended_at = self.world.env.now
        yield self.world.env.timeout(AFTER_S)


def play(chain: list[tuple[str, int]], seed: int, regions: frozenset[str] = frozenset()) -> Clients:
    """Clients send new keys while the chain is played, and try those again that are refused; afterwards all
    keys are sent again from another region."""
    clients = Clients(seed, regions)
    changes = clients.world.env.process(clients.change(chain))
    number = 0
    while changes.is_alive or number % KEYS_PER_S:
        clients.world.run(1.0 / KEYS_PER_S)
        clients.send(f"k{number}", HOME)
        number += 1
    clients.world.run(MOST_RETRIES * (RETRY_AFTER_S + EXPIRE_S) + 1.0)
    for key in list(clients.runs):
        clients.send(key, ELSEWHERE, repeated=True)
        clients.world.run(0.002)
    clients.world.run(1.0)
    return clients


@pytest.mark.parametrize("chain", CHAINS.values(), ids=CHAINS)
def test_keys_are_refused_for_a_moment_only_while_the_core_changes(chain: list[tuple[str, int]]) -> None:
    """Guards against a mend of review/1 that pays with refusals, and against review/1 in whole fleets."""
    clients = play(chain, 1)
    assert clients.given_up == [] and clients.refused_afterwards == []
    assert clients.runs.keys() == clients.tries.keys()
    assert [key for key, runs in clients.runs.items() if runs > 1] == []
