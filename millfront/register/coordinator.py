"""The coordinator: writes to and reads from a majority of the replicas, in any process. No log, no leader, no
I/O, no clock.

It writes to all replicas and is done with a majority; it reads from a majority and writes back what it found
before it answers. Who the replicas of the next core are, and which document has a revision number, it
*decides* by a ballot over a majority of the present one (single-decree Paxos).
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from millfront.register.values import CORE, LOCAL_PREFIX, Core, Message, Value


class Phase(Enum):
    """Of one round of a coordinator: a read (and its write-back), a write, or a decision on the next core."""

    PROMISING = "promising"
    ACCEPTING = "accepting"
    READING = "reading"
    WRITING = "writing"
    DONE = "done"
    FAILED = "failed"


@dataclass(slots=True)
class Round:
    """One write, one read with its write-back or one decision, over the replicas of one core.

    `ballot`, `decision_key`, `preferred` and `proposal` are used by a decision only: once DONE, `proposal` is
    the chosen value.
    """

    ref: str
    core: Core
    phase: Phase
    values: dict[str, Value]
    deadline: float
    keys: list[str] | None = None
    answered: dict[str, int] = field(default_factory=dict)  # who, and in which of its lives
    incarnations: dict[str, int] = field(default_factory=dict)  # the newest that any answer has told of
    last_sent: dict[str, float] = field(default_factory=dict)
    needs_write_back: bool = False  # a read found replicas that differ
    ballot: tuple[int, str] = (0, "")
    decision_key: str = CORE  # the key of what is decided
    preferred: str = ""  # what is proposed if nothing may have been chosen before
    proposal: str = ""
    confirmed_claimant: str | None = None  # whose a number is, as a replica that holds its document has told
    claim_expired: bool = False  # a claim of a number so low that a replica has forgotten whose it was
    highest_accepted: Value | None = None  # the highest that was accepted before
    promised: dict[str, int] = field(default_factory=dict)  # who did, and in which life
    highest_ballot: int = 0  # a ballot's number that stood in the way


RESEND_S = 0.7  # to a replica that has not answered


class Coordinator:
    """Writes to and reads from a majority. Each call is a round that ends once, with DONE or FAILED."""

    def __init__(self, name: str) -> None:
        """:param name: of this incarnation of the process: references of calls begin with it"""
        self.name = name
        self.rounds: dict[str, Round] = {}
        self._next = 0

    def write(self, now: float, core: Core, values: dict[str, Value], within: float) -> Round:
        """Store values on a majority; ``within`` in seconds, after which the round fails."""
        return self._start_round(now, core, Phase.WRITING, values, within)

    def read(self, now: float, core: Core, keys: list[str] | None, within: float) -> Round:
        """Read the newest of these keys, None: of all, from a majority; ``within`` in seconds."""
        made = self._start_round(now, core, Phase.READING, {}, within)
        made.keys = keys
        return made

    def decide(self, now: float, core: Core, number: int, wish: str, within: float, key: str = CORE) -> Round:
        """Who the next core's are, or with a claim's `key` whose digest has that revision number: `wish`,
        unless another may have been chosen by an earlier ballot.

        :param number: of the ballot; a higher one than was seen before. No two rounds have the same ballot:
            the round's reference is its second part
        """
        made = self._start_round(now, core, Phase.PROMISING, {}, within)
        made.ballot, made.preferred, made.proposal, made.decision_key = (number, made.ref), wish, wish, key
        return made

    def restart(self, round: Round, core: Core) -> None:
        """The core has changed under a read, a write or a claim: it begins anew with the new one."""
        self.rounds.pop(round.ref, None)
        self._next += 1
        round.ref, round.core = f"{self.name}/{self._next}", core
        round.answered, round.last_sent, round.incarnations = {}, {}, {}
        if round.phase is Phase.READING:
            round.values, round.needs_write_back = {}, False
        elif round.phase is not Phase.WRITING:
            round.phase, round.proposal, round.highest_accepted, round.promised = (
                Phase.PROMISING,
                round.preferred,
                None,
                {},
            )
        self.rounds[round.ref] = round

    def _start_round(
        self, now: float, core: Core, phase: Phase, values: dict[str, Value], within: float
    ) -> Round:
        self._next += 1
        made = Round(f"{self.name}/{self._next}", core, phase, values, now + within)
        self.rounds[made.ref] = made
        return made

    def drive(self, now: float, round: Round) -> list[tuple[str, Message]]:
        """What is to be sent now: first to all, then again to those that are silent or said no."""
        if round.phase in (Phase.DONE, Phase.FAILED):
            return []
        if now >= round.deadline:
            self._enter_phase(round, Phase.FAILED)
            return []
        message: Message = {"r": f"{round.ref}/{round.phase.value}", "e": round.core.epoch}
        match round.phase:
            case Phase.READING:
                message |= {"t": "fetch", "k": round.keys}
            case Phase.WRITING:
                message |= {"t": "store", "v": {key: value.to_wire() for key, value in round.values.items()}}
            case Phase.PROMISING:
                message |= {"t": "promise?", "b": round.ballot}
            case Phase.ACCEPTING:
                message |= {"t": "accept?", "b": round.ballot, "v": round.proposal}
        if round.decision_key != CORE:
            message["k"] = round.decision_key
        out = []
        for name in round.core.all_members:
            if name not in round.answered and now - round.last_sent.get(name, -1e9) >= RESEND_S:
                round.last_sent[name] = now
                out.append((name, message))
        return out

    def find_round(self, ref: Any) -> Round | None:
        """The open round that a call's reference is of, if it still is in the phase that the call was for."""
        name, _, phase = str(ref).rpartition("/")
        round = self.rounds.get(name)
        return round if round is not None and round.phase.value == phase else None

    def handle_answer(self, now: float, sender: str, message: Message) -> Round | None:
        """A replica's answer; the round it belongs to, which may have turned."""
        round = self.find_round(message.get("r"))
        if round is None or sender not in round.core.all_members:
            return None
        kind = message["t"]
        if kind == "found" and round.phase is Phase.READING:
            self._merge_values(round, message["v"])
            self._count_answer(round, sender, message["l"])
            if round.core.is_write_quorum(round.answered):
                self._enter_phase(
                    round, Phase.WRITING if round.needs_write_back and round.values else Phase.DONE
                )
        elif kind == "stored" and round.phase is Phase.WRITING:
            self._count_answer(round, sender, message["l"])
            if round.core.is_write_quorum(round.answered):
                self._enter_phase(round, Phase.DONE)
        elif round.phase in (Phase.PROMISING, Phase.ACCEPTING):
            self._handle_vote(round, sender, message)
        return round

    def _handle_vote(self, round: Round, sender: str, message: Message) -> None:
        """A replica's answer to a ballot. Whose a stored number is, is beyond doubt, and counts like all else
        once a majority has answered."""
        kind = message["t"]
        if kind == "no" and message.get("old"):
            round.claim_expired = True
            self._enter_phase(round, Phase.FAILED)
            return
        if kind == "no" and "b" in message:
            round.highest_ballot = message["b"]
            self._enter_phase(round, Phase.FAILED)
            return
        if kind == "no" and "won" in message:
            round.confirmed_claimant = message["won"]
        elif kind == "promised" and round.phase is Phase.PROMISING:
            if "a" in message:
                accepted = Value.from_wire(message["a"])
                round.highest_accepted = (
                    max(round.highest_accepted, accepted) if round.highest_accepted is not None else accepted
                )
        elif kind != "accepted" or round.phase is not Phase.ACCEPTING:
            return
        self._count_answer(round, sender, message["l"])
        if any(life < round.incarnations.get(name, 0) for name, life in round.promised.items()):
            self._enter_phase(round, Phase.FAILED)  # a promise was forgotten with its disk
        elif not round.core.is_write_quorum(round.answered):
            return
        elif round.confirmed_claimant is not None:
            round.proposal = round.confirmed_claimant
            self._enter_phase(round, Phase.DONE)
        elif round.phase is Phase.PROMISING:
            if round.highest_accepted is not None:
                round.proposal = round.highest_accepted.data
            round.promised = dict(round.answered)
            self._enter_phase(round, Phase.ACCEPTING)
        else:
            self._enter_phase(round, Phase.DONE)

    @staticmethod
    def _count_answer(round: Round, sender: str, lives: dict[str, int]) -> None:
        """Count an answer, and no longer what was answered in a life that has ended: a replica that recovered
        asked so many others that one of any majority beside it can tell."""
        for name, life in lives.items():
            round.incarnations[name] = max(life, round.incarnations.get(name, 0))
        round.answered[sender] = lives.get(sender, 0)
        for name in [n for n, life in round.answered.items() if life < round.incarnations.get(n, 0)]:
            del round.answered[name]

    def _merge_values(self, round: Round, wire: dict[str, Any]) -> None:
        """A replica's values; of a read of all neither the core, which has a way of its own, nor what is each
        replica's own."""
        found = {key: Value.from_wire(value) for key, value in wire.items()}
        if round.keys is None:
            found = {k: value for k, value in found.items() if k != CORE and not k.startswith(LOCAL_PREFIX)}
        if (round.answered or round.values) and found != round.values:
            round.needs_write_back = True
        for key, value in found.items():
            if key not in round.values or value > round.values[key]:
                round.values[key] = value

    def _enter_phase(self, round: Round, phase: Phase) -> None:
        """The one change of a round's phase."""
        round.phase = phase
        round.answered, round.last_sent = {}, {}
        if phase in (Phase.DONE, Phase.FAILED):
            self.rounds.pop(round.ref, None)
