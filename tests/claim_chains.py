"""Chains of core changes over the production code of operation keys (`gatekeeper.operations.Operations`):
every message and sync is under the test's control, and every possible majority grants a claim in between,
also while only a minority has learned of the next core. Claims straddle each change: some members are asked
before it, the others after all have caught up. Processes crash between the syncs of what they gather.

The register is left out: the members of each core are set directly, in any order of members.
"""

import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from millfront.gatekeeper.operations import Operations
from millfront.invariants import Invariants
from millfront.operations.messages import GATHER, Claim, Message, Verdict
from millfront.operations.rows import Batch
from millfront.register.values import CORE, FIRST_AGREED_EPOCH, Core, write_quorum

TICK_S = 0.25
CATCH_UP_TICKS = 16  # longer than any gathering takes when no message is lost
WINDOW_S = 60.0
CLIENT = "client"  # where the replies to the test's own claims go
SMALLEST_CORE = 3
MOST_JOINT_MAJORITIES = 12  # of a joint core, drawn anew each time
STRADDLING_CLAIMS = 8  # for each new core, of majorities that are drawn
DISTURBED_SHARE = 0.5  # of the new cores: that few know of first, and while whose members catch up some crash
CRASHING_SHARES = (0.5, 1.0)  # of the members of such a core
MOST_SYNCS_BEFORE_CRASH = 3
KINDS = ("leave", "join", "replace", "wipe")
Step = tuple[str, int]  # kind of the change, and which member it is about: 0 the first, -1 the last


@dataclass
class Member:
    """One process with its replica and its disk, as far as operation keys need them."""

    fleet: "ClaimFleet"
    name: str
    fresh: bool
    rows: dict[str, str] = field(default_factory=dict)
    batches: list[Batch] = field(default_factory=list)  # not synced yet
    syncs_before_crash: int | None = None  # None: it does not crash

    def __post_init__(self) -> None:
        self.core: Core | None = None
        self.start(self.fresh)

    def start(self, fresh: bool = False) -> None:
        """Start the process with what its disk holds."""
        replica: Any = SimpleNamespace(votes=True, values={})
        if self.core is not None:
            replica.values[CORE] = self.core.to_value()
        self.batches, self.syncs_before_crash = [], None
        gatekeeper: Any = SimpleNamespace(
            name=self.name,
            now=self.fleet.now,
            invariants=Invariants(lambda *_: None),
            settings=SimpleNamespace(fresh=fresh, bounds=SimpleNamespace(dedupe_window=WINDOW_S)),
            replica=replica,
            subscriber=SimpleNamespace(core=self.core),
            membership=SimpleNamespace(records={}),
            reconfiguration=SimpleNamespace(close_when_caught_up=lambda now: None),
            near_replicas=lambda: sorted(self.core.all_members) if self.core is not None else [],
            note=lambda *_, **__: None,
            io=self,
        )
        self.gatekeeper = gatekeeper
        self.operations = Operations(self.gatekeeper, dict(self.rows), f"{self.name}.{self.fleet.now}")

    def wipe(self) -> None:
        """The disk is lost, and the process starts again without it."""
        self.rows = {}
        self.start()

    def set_core(self, core: Core) -> None:
        """The replica has stored this core."""
        self.core = self.gatekeeper.subscriber.core = core
        self.gatekeeper.replica.values[CORE] = core.to_value()

    # ---- the I/O of `Operations` ---------------------------------------------------------------------

    def send(self, address: str, message: Message) -> None:
        """Addresses are names here."""
        self.fleet.messages.append((self.name, address, message))

    def reply(self, via: Any, message: Message) -> None:
        """Answer a member or the test."""
        self.fleet.messages.append((self.name, via, message))

    def persist_operations(self, batch: Batch) -> None:
        """Synced by `sync`."""
        self.batches.append(batch)

    def sync(self) -> None:
        """Sync what is to be synced, and what that leads to."""
        while self.batches:
            self.sync_next()

    def sync_next(self) -> None:
        """Sync the next batch, if there is one."""
        if not self.batches:
            return
        batch = self.batches.pop(0)
        self.rows |= batch.rows
        for name in batch.drop:
            self.rows.pop(name, None)
        self.operations.synced(batch, True)
        if self.syncs_before_crash is not None:
            self.syncs_before_crash -= 1
            if self.syncs_before_crash == 0:
                self.start()

    def would_grant(self, operation: str, epoch: int) -> bool:
        """Whether this member would grant a further attempt under the core of this epoch."""
        store = self.operations.store
        assert store is not None
        self.operations._update_core(self.gatekeeper.now, store)
        knows = operation in store.operations
        return self.core is not None and self.core.epoch == epoch and store.complete and not knows


@dataclass(frozen=True, slots=True)
class StraddlingClaim:
    """A key that is claimed at some members before a change, and at the others after it."""

    operation: str
    core: Core
    granted_before: frozenset[str]
    asked_after: tuple[str, ...]


class ClaimFleet:
    """The members of a core that changes, and the keys that majorities have granted."""

    def __init__(self, size: int, chance: random.Random) -> None:
        self.now, self.chance = 0.0, chance
        self.lost_gathers = 0.0  # the share of the requests for records that are lost now
        self.messages: list[tuple[str, Any, Message]] = []
        self.replies: list[tuple[str, Message]] = []
        self.members = {name: Member(self, name, True) for name in map(self._name, range(size))}
        self.joined = size
        self.core = Core(FIRST_AGREED_EPOCH, {name: name for name in self.members})
        self.claimed = 0
        self.granted: list[str] = []
        self.granted_twice: set[str] = set()  # keys that a majority would have granted again at some moment
        self._set_core(self.core, self.members)
        self.run(2)

    @staticmethod
    def _name(number: int) -> str:
        return f"m{number:02d}"

    # ---- messages, syncs and time --------------------------------------------------------------------

    def deliver(self) -> None:
        """Deliver all messages, and those that they lead to, and sync all disks."""
        while self.messages or any(member.batches for member in self.members.values()):
            while self.messages:
                sender, to, message = self.messages.pop(0)
                if to == CLIENT:
                    self.replies.append((sender, message))
                elif to in self.members and sender in self.members:
                    if message["t"] == GATHER and self.chance.random() < self.lost_gathers:
                        continue
                    self.members[to].operations.handle_message(sender, message)
            for member in self.members.values():
                member.sync()

    def run(self, ticks: int) -> None:
        """Let this many ticks pass."""
        for _ in range(ticks):
            self.now += TICK_S
            for member in self.members.values():
                member.gatekeeper.now = self.now
                member.operations.tick(self.now)
            self.deliver()

    # ---- claims --------------------------------------------------------------------------------------

    def grant_by_every_majority(self) -> None:
        """For each smallest majority of the core, one key that exactly these members are asked for."""
        for holders in self._majorities():
            self._claim(self._next_key(), holders)

    def _majorities(self) -> Iterable[tuple[str, ...]]:
        groups = [sorted(group) for group in self.core.member_sets]
        by_group = [itertools.combinations(group, write_quorum(len(group))) for group in groups]
        if len(groups) == 1:
            return by_group[0]
        both = sorted({tuple(sorted({*new, *old})) for new, old in itertools.product(*by_group)})
        return self.chance.sample(both, k=min(MOST_JOINT_MAJORITIES, len(both)))

    def _next_key(self) -> str:
        self.claimed += 1
        return f"k{self.claimed:04d}"

    def _claim(
        self, operation: str, holders: Iterable[str], before_sync: Callable[[], None] = lambda: None
    ) -> None:
        """Claim a key at these members; it counts as granted if a majority grants it."""
        core = self.core
        if core.is_write_quorum(self._ask(operation, core, holders, before_sync)):
            self.granted.append(operation)

    def _ask(
        self,
        operation: str,
        core: Core,
        names: Iterable[str],
        before_sync: Callable[[], None] = lambda: None,
    ) -> frozenset[str]:
        """Claim a key under this core at these members; returns those that grant it."""
        self.replies.clear()
        for name in names:
            self.members[name].operations.handle_message(CLIENT, Claim(operation, "a", core.epoch).to_wire())
        before_sync()
        self.deliver()
        return frozenset(sender for sender, reply in self.replies if reply.get("v") == Verdict.GRANTED.value)

    def _begin_straddling(self) -> list[StraddlingClaim]:
        """Claim keys at a part of a majority, which may be empty."""
        begun = []
        for holders in self.chance.choices(list(self._majorities()), k=STRADDLING_CLAIMS):
            before = self.chance.sample(holders, k=self.chance.randrange(len(holders)))
            after = tuple(name for name in holders if name not in before)
            key = self._next_key()
            begun.append(StraddlingClaim(key, self.core, self._ask(key, self.core, before), after))
        return begun

    def _finish_straddling(self, claims: list[StraddlingClaim]) -> None:
        """Claim the keys at the other members of their majorities, under the core that they began with."""
        for claim in claims:
            granted_after = self._ask(claim.operation, claim.core, claim.asked_after)
            if claim.core.is_write_quorum(claim.granted_before | granted_after):
                self.granted.append(claim.operation)

    def _check(self) -> None:
        """Note the keys that a majority would grant to another attempt now."""
        core = self.core
        for operation in self.granted:
            able = [
                name for name in core.all_members if self.members[name].would_grant(operation, core.epoch)
            ]
            if core.is_write_quorum(able):
                self.granted_twice.add(operation)

    def grants_new_keys(self) -> bool:
        """Whether a majority can grant a key that nobody has claimed."""
        core = self.core
        able = [name for name in core.all_members if self.members[name].would_grant("new", core.epoch)]
        return core.is_write_quorum(able)

    # ---- changes -------------------------------------------------------------------------------------

    def change(self, step: Step) -> bool:
        """Make one change, with claims before it, in its middle and across it; whether it is possible."""
        kind, position = step
        members = dict(self.core.members)
        name = sorted(members)[position]
        if kind == "wipe":
            self.grant_by_every_majority()
            self.members[name].wipe()
            self.run(CATCH_UP_TICKS)
            self._check()
            return True
        if kind in ("leave", "replace"):
            del members[name]
        if kind in ("join", "replace"):
            joiner = self._start_joiner()
            members[joiner] = joiner
            self.run(CATCH_UP_TICKS // 2)
        if len(members) < SMALLEST_CORE:
            return False
        old = self.core
        self._advance(Core(old.epoch + 1, members, old.members))
        self._advance(Core(old.epoch + 2, members))
        self.members = {name: member for name, member in self.members.items() if name in members}
        return True

    def _advance(self, core: Core) -> None:
        """A new core comes into force, and its members catch up."""
        self.grant_by_every_majority()
        straddling = self._begin_straddling()
        if self.chance.random() < DISTURBED_SHARE:
            self._grant_while_few_know(core)
        self._claim_across(core)
        self._check()
        if self.chance.random() < DISTURBED_SHARE:
            self._let_some_crash()
        self.run(CATCH_UP_TICKS)
        self._finish_straddling(straddling)
        self._check()

    def _grant_while_few_know(self, core: Core) -> None:
        """A minority has learned of the next core and catches up as far as it can; the others grant keys."""
        minority = min((len(group) - 1) // 2 for group in self.core.member_sets)
        names = sorted(self.core.all_members)  # the first ones gather from one another
        informed = self.chance.choice((names[:minority], self.chance.sample(names, k=minority)))
        self._inform(core, informed)
        self.run(CATCH_UP_TICKS)
        self._claim(self._next_key(), [name for name in self.core.all_members if name not in informed])

    def _start_joiner(self) -> str:
        """Start a further process without anything on its disk; returns its name."""
        joiner = self._name(self.joined)
        self.joined += 1
        self.members[joiner] = Member(self, joiner, False)
        return joiner

    def _let_some_crash(self) -> None:
        """Some members, or all of them, crash after one of their next syncs, and start again."""
        share = self.chance.choice(CRASHING_SHARES)
        syncs = self.chance.randint(1, MOST_SYNCS_BEFORE_CRASH)
        for member in self.members.values():
            if self.chance.random() < share:
                member.syncs_before_crash = syncs

    def _claim_across(self, core: Core) -> None:
        """The core changes between the claim of a key at some members and its sync; then at the others."""
        group = sorted(self.core.all_members)
        early = self.chance.sample(group, k=len(group) // 2)
        self._claim(self._next_key(), group, lambda: self._inform(core, early))
        self._set_core(core, core.all_members)

    def _set_core(self, core: Core, names: Iterable[str]) -> None:
        self.core = core
        self._inform(core, names)

    def _inform(self, core: Core, names: Iterable[str]) -> None:
        """These members learn of a core."""
        for name in names:
            self.members[name].set_core(core)


def chains(length: int, kinds: Iterable[str] = KINDS) -> Iterable[tuple[Step, ...]]:
    """All chains of that many changes: each kind, of the member that was there first or came last."""
    steps = [(kind, position) for kind in kinds for position in (0, -1) if kind != "join" or position == 0]
    return itertools.product(steps, repeat=length)


def first_key_granted_twice(
    size: int, chain: tuple[Step, ...], lost_gathers: tuple[float, ...] = (0.0,), seed: int = 1
) -> str:
    """Play a chain on a core of that size; empty if every majority meets every earlier one.

    :param lost_gathers: the share of the requests for records that are lost during each change, in turn
    """
    fleet = ClaimFleet(size, random.Random(seed))
    for number, step in enumerate(chain):
        fleet.lost_gathers = lost_gathers[number % len(lost_gathers)]
        if not fleet.change(step):
            return ""
        if fleet.granted_twice:
            counts = f"{len(fleet.granted_twice)} of {len(fleet.granted)} keys granted twice"
            return f"{size} members, {chain[: number + 1]}: {counts}"
        if not any(lost_gathers) and not fleet.grants_new_keys():
            return f"{size} members, {chain[: number + 1]}: no majority grants a new key"
    return ""
