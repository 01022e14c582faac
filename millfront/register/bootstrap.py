"""Bootstrap: how the first core comes about, at the first start of the whole system. No I/O, no clock.

One process proposes a core of all processes with a disk: the first of them in the order of the seeds, if it
sees a majority of the seeds. Each member agrees to one core, synced, and later only to one that ranks higher;
once all have agreed, it is written with the first agreed epoch. Proof: docs/design/register.md. Times are
seconds on the caller's clock.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from millfront.membership.gossip import Membership
from millfront.membership.record import MemberRecord
from millfront.register.coordinator import Coordinator, Phase, Round
from millfront.register.values import CORE, FIRST_AGREED_EPOCH, Core, Value

SETTLE_S = 1.2  # the core is proposed once the known processes were unchanged for so long
MIN_UPTIME_S = 1.6  # minimum time from the start: processes start together, but not equally fast
MISSING_SEED_MIN_UPTIME_S = 4.0  # the same minimum while a seed is missing
RESEND_S = 0.7  # of the proposal to a member that has not agreed
WRITE_TIMEOUT_S = 10.0  # of the core that all have agreed to
MAX_TIE_RANK = 99  # the tie of a proposal sorts the first seed's above the others'
Message = dict[str, Any]


class CoreHolder(Protocol):
    """Knows the core in force."""

    @property
    def core(self) -> Core | None:
        """The core in force; None if none is known."""


class GatekeeperContext(Protocol):
    """What a bootstrap needs of its gatekeeper."""

    started_at: float
    seeds_ctl: list[str]
    coordinator: Coordinator
    membership: Membership

    @property
    def subscriber(self) -> CoreHolder:
        """The values that this process is subscribed to."""

    def note(self, part: str, text: str, **facts: Any) -> None:
        """Write an entry to the event log and a line to the log."""

    def start(self, now: float, round: Round, then: Callable[[Round], None]) -> None:
        """Drive a round until it is done or failed, then call `then` with it once."""

    def send_to_replica(self, now: float, name: str, address: str, message: Message) -> None:
        """Send a message to a member's replica."""


@dataclass(slots=True)
class Proposal:
    """The proposal of the first core: addresses of its members by name, who agreed, when it was last sent."""

    core: Value
    members: dict[str, str]
    agreed: set[str]
    last_sent: float = -1e9


class Bootstrap:
    """The part of one process in founding the first core."""

    def __init__(self, gatekeeper: GatekeeperContext, on_bootstrapped: Callable[[Value], None]) -> None:
        """:param on_bootstrapped: called with the core once it is written"""
        self.gatekeeper, self.on_bootstrapped = gatekeeper, on_bootstrapped
        self.proposal: Proposal | None = None
        self._peers: frozenset[str] = frozenset()
        self._peers_since = gatekeeper.started_at

    def gossip_tick(self, now: float) -> None:
        """Called on every gossip tick, about 1 s: note the known processes."""
        peers = frozenset(
            record.name for record in self.gatekeeper.membership.others() if record.identity is not None
        )
        if peers != self._peers:
            self._peers, self._peers_since = peers, now

    def core_changed(self) -> None:
        """A core is in force here: this process proposes none."""
        self.proposal = None

    def tick(self, now: float) -> None:
        """Propose the first core, or propose it again to the members that have not agreed."""
        members = [
            record
            for record in self.gatekeeper.membership.live()
            if record.identity is not None and record.identity["core"]
        ]
        first = min(members, key=self._rank)
        if first is not self.gatekeeper.membership.own_record or not self._sees_enough_seeds(now):
            return
        if self.proposal is None and self._is_settled(now):
            self.proposal = self._new_proposal(members)
            self.gatekeeper.note("register", f"founds a core of {len(members)}")
        if self.proposal is not None and now - self.proposal.last_sent >= RESEND_S:
            self._send(now, self.proposal)

    def _rank(self, record: MemberRecord) -> tuple[int, str]:
        """Its place among the seeds, and its name."""
        assert record.identity is not None
        ctl, seeds = record.identity["ctl"], self.gatekeeper.seeds_ctl
        return (seeds.index(ctl) if ctl in seeds else len(seeds), record.name)

    def _sees_enough_seeds(self, now: float) -> bool:
        """Whether a majority of the seeds is known, of which two partitions can't both know one; and all of
        them, until the time is up."""
        seeds = self.gatekeeper.seeds_ctl
        heard = {
            record.identity["ctl"]
            for record in self.gatekeeper.membership.live()
            if record.identity is not None
        }
        known = len(heard.intersection(seeds))
        if 2 * known <= len(seeds):
            return False
        return known == len(seeds) or now - self.gatekeeper.started_at >= MISSING_SEED_MIN_UPTIME_S

    def _is_settled(self, now: float) -> bool:
        return now - self._peers_since >= SETTLE_S and now - self.gatekeeper.started_at >= MIN_UPTIME_S

    def _new_proposal(self, members: list[MemberRecord]) -> Proposal:
        addresses = {
            record.name: record.identity["post"] for record in members if record.identity is not None
        }
        place, _ = self._rank(self.gatekeeper.membership.own_record)
        core = Core(FIRST_AGREED_EPOCH - 1, addresses)
        return Proposal(core.to_value(f"{MAX_TIE_RANK - place:02d}"), addresses, set())

    def _send(self, now: float, proposal: Proposal) -> None:
        proposal.last_sent = now
        for name, address in proposal.members.items():
            if name not in proposal.agreed:
                message = {"t": "found?", "r": self._ref(), "v": proposal.core.to_wire()}
                self.gatekeeper.send_to_replica(now, name, address, message)

    def _ref(self) -> str:
        return f"found {self.gatekeeper.coordinator.name}"

    def handle_agreement(self, now: float, sender: str, ref: str) -> None:
        """A process agrees to the first core that this one proposes."""
        proposal, gatekeeper = self.proposal, self.gatekeeper
        if proposal is None or ref != self._ref():
            return
        proposal.agreed.add(sender)
        if proposal.agreed >= set(proposal.members) and gatekeeper.subscriber.core is None:
            self.proposal = None
            core = Core(FIRST_AGREED_EPOCH, proposal.members)
            write = gatekeeper.coordinator.write(now, core, {CORE: core.to_value()}, WRITE_TIMEOUT_S)
            gatekeeper.start(now, write, self._written)

    def _written(self, round: Round) -> None:
        if round.phase is Phase.DONE:
            self.on_bootstrapped(round.values[CORE])
