"""How long a gatekeeper waits for a majority that grants its claim, beside replicas that lose their disks."""

import random

from millfront.invariants import Invariants
from millfront.operations.claims import OperationClaims, Outcome, PendingClaim
from millfront.operations.messages import ClaimReply, Message, StoredAnswer
from millfront.register.values import Core
from tests.claim_chains import CATCH_UP_TICKS, CLIENT, ClaimFleet

MEMBERS = 5
LONGEST_RUNNING_S = 10.0


class Requester:
    """A gatekeeper with one request. What it sends waits until the test delivers it."""

    def __init__(self, fleet: ClaimFleet, name: str, nearest: list[str]) -> None:
        self.fleet, self.name, self._nearest = fleet, name, nearest
        self.sent: dict[str, Message] = {}
        self.outcome: Outcome | None = None
        self.claims = OperationClaims(self, name, Invariants(lambda *_: None))

    # ---- Peers ---------------------------------------------------------------------------------------

    def now(self) -> float:
        return self.fleet.now

    def core(self) -> Core | None:
        return self.fleet.core

    def region_of(self, name: str) -> str | None:
        return None

    def nearest(self) -> list[str]:
        return self._nearest

    def reachable(self, name: str) -> bool:
        return True

    def send(self, name: str, message: Message) -> None:
        self.sent[name] = message

    # ---- the test's side -----------------------------------------------------------------------------

    def claim(self, key: str) -> PendingClaim | None:
        return self.claims.begin(key, LONGEST_RUNNING_S, self._decided)

    def _decided(self, outcome: Outcome, answer: StoredAnswer | None) -> None:
        self.outcome = outcome

    def deliver(self, *names: str) -> None:
        """Deliver the claim to these members, and their replies to this gatekeeper."""
        self.fleet.replies.clear()
        for name in names:
            self.fleet.members[name].operations.handle_message(CLIENT, self.sent.pop(name))
        self.fleet.deliver()
        for sender, reply in self.fleet.replies:
            self.claims.handle_claim_reply(sender, ClaimReply.from_wire(reply))


def test_no_key_runs_twice_if_a_disk_is_lost_while_a_majority_is_slow() -> None:
    """Guards against a replica that has gathered while a claim it granted before is not decided yet."""
    fleet = ClaimFleet(MEMBERS, random.Random(1))
    first, second, third, fourth, fifth = sorted(fleet.members)
    slow = Requester(fleet, "slow", [first, second, third, fourth, fifth])
    quick = Requester(fleet, "quick", [first, fourth, fifth, second, third])
    slow.claim("k")
    slow.deliver(first)
    fleet.members[first].wipe()
    fleet.run(CATCH_UP_TICKS)
    slow.deliver(second, third)
    quick.claim("k")
    quick.deliver(first, fourth, fifth)
    assert (slow.outcome, quick.outcome) == (Outcome.REFUSED, Outcome.RUN)
