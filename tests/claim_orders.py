"""Operation keys while the core changes, in random orders of events: messages are delayed, lost or overtaken,
members learn of a core at different times, disks are lost, and several requests claim each key.

The production code of operation keys runs in the fleet of `claim_chains`; the register is left out, but a
core follows another one only as the register allows it: a majority knows the core before.
"""

import random
from dataclasses import dataclass, field

from millfront.operations.claims import DECISION_TIMEOUT_S
from millfront.operations.messages import CLAIM_REPLY, Claim, ClaimReply, Message, Verdict, Withdraw
from millfront.register.values import Core
from tests.claim_chains import CLIENT, SMALLEST_CORE, ClaimFleet, Member

KEYS = 12
STEP_S = 0.002
DECISIVE_S = 1.2  # a disk that was lost gathers after a second: claims made before are decided by then
LOST_SHARE = 0.03
CHECK_STEPS = 20
EVENTS = ("deliver", "sync", "tick", "claim", "learn", "change", "wipe", "crash")
WEIGHTS = (80, 14, 6, 2, 8, 0.3, 0.2, 0.3)


@dataclass
class Attempt:
    """One request's claim."""

    operation: str
    name: str
    core: Core
    until: float
    granted: set[str] = field(default_factory=set)
    runs: bool = False
    withdrawn: bool = False


class RandomFleet(ClaimFleet):
    """A fleet in which the next event is drawn."""

    def __init__(self, size: int, seed: int) -> None:
        super().__init__(size, random.Random(seed))
        self.attempts: dict[str, Attempt] = {}
        self.changes = 0
        self.wiped_at = -1e9

    # ---- events --------------------------------------------------------------------------------------

    def step(self) -> None:
        """One event."""
        self.now += STEP_S
        for member in self.members.values():
            member.gatekeeper.now = self.now
        for attempt in [a for a in self.attempts.values() if not a.runs and not a.withdrawn]:
            if self.now > attempt.until:
                self._withdraw(attempt)
        match self.chance.choices(EVENTS, WEIGHTS)[0]:
            case "deliver" if self.messages:
                self._deliver(*self.messages.pop(self.chance.randrange(len(self.messages))))
            case "sync":
                self._draw_member().sync_next()
            case "tick":
                self._draw_member().operations.tick(self.now)
            case "claim":
                self._claim_any()
            case "learn":
                self._learn(self._draw_member())
            case "change":
                self._change_core()
            case "wipe":
                self._wipe()
            case "crash":
                self._end_process(self._draw_member()).start()

    def _draw_member(self) -> Member:
        return self.chance.choice(sorted(self.members.values(), key=lambda member: member.name))

    def _deliver(self, sender: str, to: str, message: Message) -> None:
        if self.chance.random() < LOST_SHARE:
            return
        if to == CLIENT:
            self._handle_reply(sender, message)
        elif to in self.members:
            self.members[to].operations.handle_message(sender, message)

    # ---- requests ------------------------------------------------------------------------------------

    def _claim_any(self) -> None:
        """A request with one of the keys, at a gatekeeper that knows the core of one of the members."""
        core = self._draw_member().core
        if core is None:
            return
        name = f"a{len(self.attempts)}"
        attempt = Attempt(f"k{self.chance.randrange(KEYS)}", name, core, self.now + DECISION_TIMEOUT_S)
        self.attempts[name] = attempt
        for member in core.all_members:
            if self.chance.random() < 0.8:
                self.messages.append((CLIENT, member, Claim(attempt.operation, name, core.epoch).to_wire()))

    def _handle_reply(self, sender: str, message: Message) -> None:
        if message["t"] != CLAIM_REPLY:
            return
        reply = ClaimReply.from_wire(message)
        attempt = self.attempts[reply.attempt]
        if reply.verdict is Verdict.GRANTED and not attempt.withdrawn:
            attempt.granted.add(sender)
            attempt.runs = attempt.core.is_write_quorum(attempt.granted)

    def _withdraw(self, attempt: Attempt) -> None:
        attempt.withdrawn = True
        for member in self.members:
            self.messages.append((CLIENT, member, Withdraw(attempt.operation, attempt.name).to_wire()))

    def ran_twice(self) -> list[str]:
        """The keys of which two attempts run."""
        run = [attempt.operation for attempt in self.attempts.values() if attempt.runs]
        return sorted({operation for operation in run if run.count(operation) > 1})

    # ---- the core ------------------------------------------------------------------------------------

    def _learn(self, member: Member) -> None:
        if member.core is None or member.core.epoch < self.core.epoch:
            member.set_core(self.core)

    def _change_core(self) -> None:
        """The next core, if majorities of the one in force know it."""
        core = self.core
        informed = [name for name in core.all_members if self.members[name].core == core]
        if not core.is_write_quorum(informed):
            return
        if core.old_members:
            self._begin_core(Core(core.epoch + 1, core.members))
            return
        members = dict(core.members)
        kind = self.chance.choice(("leave", "join", "replace"))
        if kind != "join":
            del members[self.chance.choice(sorted(members))]
        if kind != "leave":
            joiner = self._start_joiner()
            members[joiner] = joiner
        if len(members) >= SMALLEST_CORE:
            self._begin_core(Core(core.epoch + 1, members, core.members))

    def _begin_core(self, core: Core) -> None:
        self.core = core
        self.changes += 1
        self._learn(self.members[self.chance.choice(sorted(core.members))])

    def _wipe(self) -> None:
        """One disk at a time is lost. Its process comes back with the core that majorities know."""
        names = sorted(self.core.all_members)
        if self.now - self.wiped_at < DECISIVE_S or not all(map(self._is_intact, names)):
            return
        self.wiped_at = self.now
        self._end_process(self.members[self.chance.choice(names)]).wipe()

    def _end_process(self, member: Member) -> Member:
        """What is on its way to the process is lost, and what it has not synced."""
        self.messages = [message for message in self.messages if message[1] != member.name]
        return member

    def _is_intact(self, name: str) -> bool:
        store = self.members[name].operations.store
        return store is not None and store.knowledge.intact


def first_key_that_ran_twice(size: int, seed: int, steps: int) -> str:
    """Play that many events; empty if no key ran twice."""
    fleet = RandomFleet(size, seed)
    for step in range(steps):
        fleet.step()
        if step % CHECK_STEPS == 0 and (twice := fleet.ran_twice()):
            return f"{size} members, seed {seed}, step {step}, core {fleet.core.epoch}: {twice} ran twice"
    return ""
