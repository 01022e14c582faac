"""The coordinator: writes to and reads from a majority of the replicas; any process can run one. There is no
log and no leader. No I/O, no clock.

A write goes to all replicas and is complete once a majority has stored it; a read asks a majority and writes
back what it found before it returns. The members of the next core, and which document has a revision number,
are *decided* by a ballot over a majority of the present core (single-decree Paxos).
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from millfront.register.values import CORE, LOCAL_PREFIX, Core, Message, Value


class Phase(Enum):
    """Phase of a round: of a read and its write-back, a write, or a decision by ballot."""

    PROMISING = "promising"
    ACCEPTING = "accepting"
    READING = "reading"
    WRITING = "writing"
    DONE = "done"
    FAILED = "failed"


@dataclass(slots=True)
class Round:
    """One write, one read with its write-back, or one decision, over the replicas of one core.

    `ballot`, `decision_key`, `preferred` and `proposal` are used by decisions only; once DONE, `proposal` is
    the chosen value.
    """

    ref: str
    core: Core
    phase: Phase
    values: dict[str, Value]
    deadline: float
    keys: list[str] | None = None
    answered: dict[str, int] = field(default_factory=dict)  # incarnation of each replica that answered
    incarnations: dict[str, int] = field(default_factory=dict)  # newest that any answer named
    last_sent: dict[str, float] = field(default_factory=dict)
    needs_write_back: bool = False  # a read found replicas with different values
    ballot: tuple[int, str] = (0, "")
    decision_key: str = CORE  # key of the value that is decided
    preferred: str = ""  # proposed unless another value may have been chosen
    proposal: str = ""
    confirmed_claimant: str | None = None  # owner of the number, from a replica with its document
    claim_expired: bool = False  # the number is so low that a replica has deleted its claim
    highest_accepted: Value | None = None  # the highest value accepted before
    promised: dict[str, int] = field(default_factory=dict)  # incarnation of each replica that promised
    highest_ballot: int = 0  # number of the higher ballot that stopped this one


RESEND_S = 0.7  # interval of repeated calls to a replica that has not answered


class Coordinator:
    """Writes to and reads from a majority. Each call starts a round, which ends once, as DONE or FAILED."""

    def __init__(self, name: str) -> None:
        """:param name: unique to this incarnation of the process; prefix of its rounds' references"""
        self.name = name
        self.rounds: dict[str, Round] = {}
        self._next = 0

    def write(self, now: float, core: Core, values: dict[str, Value], timeout_s: float) -> Round:
        """Store values on a majority; the round fails after `timeout_s`."""
        return self._start_round(now, core, Phase.WRITING, values, timeout_s)

    def read(self, now: float, core: Core, keys: list[str] | None, timeout_s: float) -> Round:
        """Read the newest values of these keys (None: all keys) from a majority; fails after `timeout_s`."""
        round = self._start_round(now, core, Phase.READING, {}, timeout_s)
        round.keys = keys
        return round

    def decide(
        self, now: float, core: Core, number: int, preferred: str, timeout_s: float, key: str = CORE
    ) -> Round:
        """Decide the members of the next core, or for a claim's `key` the digest that gets the revision
        number: `preferred`, unless an earlier ballot may have chosen another value.

        :param number: of the ballot, higher than those seen before. No two rounds have the same ballot: its
            second part is the round's reference
        """
        round = self._start_round(now, core, Phase.PROMISING, {}, timeout_s)
        round.ballot, round.preferred, round.proposal, round.decision_key = (
            (number, round.ref),
            preferred,
            preferred,
            key,
        )
        return round

    def restart(self, round: Round, core: Core) -> None:
        """Restart a read, a write or a claim with a new core, after the core has changed."""
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
        self, now: float, core: Core, phase: Phase, values: dict[str, Value], timeout_s: float
    ) -> Round:
        self._next += 1
        round = Round(f"{self.name}/{self._next}", core, phase, values, now + timeout_s)
        self.rounds[round.ref] = round
        return round

    def drive(self, now: float, round: Round) -> list[tuple[str, Message]]:
        """Messages to send now: first to all replicas, then again to those that are silent or refused."""
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
        """The open round with this reference, if it still is in the phase that the call was made in."""
        name, _, phase = str(ref).rpartition("/")
        round = self.rounds.get(name)
        return round if round is not None and round.phase.value == phase else None

    def handle_answer(self, now: float, sender: str, message: Message) -> Round | None:
        """A replica's answer; returns the round that it belongs to, which may have changed its phase."""
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
        """A replica's answer to a ballot. If it names the owner of a number whose document is stored, that
        owner is certain; the answer counts like any other, once a majority has answered."""
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
        if any(incarnation < round.incarnations.get(name, 0) for name, incarnation in round.promised.items()):
            self._enter_phase(round, Phase.FAILED)  # the promise was lost with its disk
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
    def _count_answer(round: Round, sender: str, incarnations: dict[str, int]) -> None:
        """Count an answer, and drop answers of incarnations that have ended: a replica that recovered has
        announced its new incarnation to so many others that any majority contains one that reports it."""
        for name, incarnation in incarnations.items():
            round.incarnations[name] = max(incarnation, round.incarnations.get(name, 0))
        round.answered[sender] = incarnations.get(sender, 0)
        for name in [
            n for n, incarnation in round.answered.items() if incarnation < round.incarnations.get(n, 0)
        ]:
            del round.answered[name]

    def _merge_values(self, round: Round, wire: dict[str, Any]) -> None:
        """Merge a replica's values. A read of all keys leaves out the core, which changes by reconfiguration
        only, and keys that are local to a replica."""
        found = {key: Value.from_wire(value) for key, value in wire.items()}
        if round.keys is None:
            found = {k: value for k, value in found.items() if k != CORE and not k.startswith(LOCAL_PREFIX)}
        if (round.answered or round.values) and found != round.values:
            round.needs_write_back = True
        for key, value in found.items():
            if key not in round.values or value > round.values[key]:
                round.values[key] = value

    def _enter_phase(self, round: Round, phase: Phase) -> None:
        """Enter a phase; answers to calls of the previous one no longer count."""
        round.phase = phase
        round.answered, round.last_sent = {}, {}
        if phase in (Phase.DONE, Phase.FAILED):
            self.rounds.pop(round.ref, None)
