"""A replica: the part of the register that is kept on one core machine. No I/O, no clock.

A replica answers from what its disk has synced. Calls name the epoch of the core that they are meant for, and
a replica answers none of another epoch than its own (the fence). On who the next core's are, and on which
document has a revision number (its claim), it votes by ballot: a promise, then an acceptance, so that of an
epoch there is one core, and of a number one document.

A replica whose disk was found empty though the system is not starting for the first time has forgotten what
it may have acknowledged: it recovers from R others before it answers anybody (docs/design/system.md has the
bound).
"""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from millfront.register.chunks import Archive
from millfront.register.values import (
    ACCEPTED,
    BALLOTS_PER_EPOCH,
    CLAIM_PREFIX,
    CONFIG,
    CORE,
    FIRST_AGREED_EPOCH,
    INCARNATION_PREFIX,
    LOCAL_PREFIX,
    MAX_CLAIMS,
    PROMISED,
    Message,
    Value,
    ballot_version,
    claim_key,
    claimed_number,
    is_internal,
)


class ReplicaState(Enum):
    """Whether a replica's answers count."""

    NEW = "new: the system starts for the first time"
    RECOVERING = "recovering: its disk was lost"
    VOTING = "voting"


@dataclass(slots=True)
class PersistRequest:
    """To be synced to the disk; then the replica is told by `synced`."""

    values: dict[str, Value]
    reply: tuple[Any, Message]  # whom to answer, and what
    epoch: int = 0  # of the core that asked for it; 0: whichever
    drop: tuple[str, ...] = ()  # keys that are not kept any longer
    ballot: tuple[str, Value] | None = None  # a promise or an acceptance: its key, and how high


class Replica:
    """The part of the register that is kept on one core machine."""

    def __init__(self, kept: dict[str, Value], fresh: bool) -> None:
        """:param kept: what the disk has; nothing, and not fresh: the disk was lost"""
        self.values = dict(kept)
        self.archive = Archive()  # of long texts: deltas from earlier ones, and chunks
        held = kept.get(CORE)
        founded = held is not None and held.version >= FIRST_AGREED_EPOCH
        begun = held is not None or fresh  # a founding that was cut off goes on
        self.state = (
            ReplicaState.VOTING if founded else ReplicaState.NEW if begun else ReplicaState.RECOVERING
        )

    def enter_state(self, state: ReplicaState) -> None:
        """The one change of state."""
        self.state = state

    @property
    def votes(self) -> bool:
        """Whether its answers count towards a majority."""
        return self.state is ReplicaState.VOTING

    def incarnations(self) -> dict[str, int]:
        """Of replicas that have lost a disk, as far as this one was told; the first life is 0."""
        return {
            key[len(INCARNATION_PREFIX) :]: held.version
            for key, held in self.values.items()
            if key.startswith(INCARNATION_PREFIX)
        }

    def stamps(self) -> dict[str, list[Any]]:
        """[version, tie] by key, of all keys that subscribers are told of."""
        return {key: value.stamp for key, value in self.values.items() if not is_internal(key)}

    def handle(self, back: Any, message: Message) -> tuple[list[tuple[Any, Message]], list[PersistRequest]]:
        """A coordinator's, a subscriber's or a founder's call; answers go to `back`."""
        ref, kind = message.get("r"), message["t"]
        held = self.values.get(CORE)
        if kind == "found?":
            return self._agree_to_core(back, ref, Value.from_wire(message["v"]))
        epoch = message.get("e", 0)
        if not self.votes or held is None or epoch != held.version:  # the fence: of another core
            # One that recovers keeps nothing by itself: what it had on its disk then would count as whole
            if kind == "store" and CORE in message["v"] and self.state is not ReplicaState.RECOVERING:
                return self._store(back, ref, {CORE: message["v"][CORE]})
            behind = {"behind": True} if held is not None and epoch > held.version else {}
            return [(back, self._refusal(ref) | behind)], []
        match kind:
            case "store":
                return self._store(back, ref, message["v"], epoch)
            case "recover":
                return self._start_incarnation(back, ref, message["n"], message["l"], message.get("h"))
            case "promise?" | "accept?":
                return self._vote(back, ref, epoch, message)
            case "fetch":
                return [(back, self._found_answer(ref, message.get("k"), message.get("h")))], []
            case "piece?" if (value := self.values.get(message["k"])) is not None:
                piece = self.archive.chunk(message["k"], value, message["s"], message["o"])
                return [(back, {"t": "piece", "r": ref} | piece)], []
            case "ask":
                return [(back, {"t": "newest", "r": ref, "s": self.stamps()})], []
        return [(back, self._refusal(ref))], []

    def _refusal(self, ref: Any) -> Message:
        held = self.values.get(CORE)
        return {"t": "no", "r": ref} | ({"core": held.to_wire()} if held is not None and self.votes else {})

    def _agree_to_core(
        self, back: Any, ref: Any, core: Value
    ) -> tuple[list[tuple[Any, Message]], list[PersistRequest]]:
        """At the first start: every member agrees to the core, then it is marked with epoch 2."""
        held = self.values.get(CORE)
        if held is None and self.state is not ReplicaState.NEW:
            return [(back, self._refusal(ref))], []
        if held is not None and core < held:
            return [(back, {"t": "no", "r": ref, "core": held.to_wire()})], []
        if held == core:
            return [(back, {"t": "agreed", "r": ref})], []
        return [], [PersistRequest({CORE: core}, (back, {"t": "agreed", "r": ref}))]

    def _vote(
        self, back: Any, ref: Any, epoch: int, message: Message
    ) -> tuple[list[tuple[Any, Message]], list[PersistRequest]]:
        """On the core after this one, or on whose a revision number is: promise to accept no lower ballot, or
        accept what this one proposes."""
        key = message.get("k", CORE)
        if key != CORE and not key.startswith(CLAIM_PREFIX):
            return [(back, self._refusal(ref))], []
        if key != CORE and claimed_number(key) < self._oldest_kept_claim():
            return [(back, {"t": "no", "r": ref, "old": True})], []
        if (won := self._confirmed_claimant(key)) is not None:
            return [(back, {"t": "no", "r": ref, "won": won, "l": self.incarnations()})], []
        promise, acceptance = (PROMISED, ACCEPTED) if key == CORE else (LOCAL_PREFIX + key, key)
        number, whose = message["b"]
        mine = Value(ballot_version(epoch, number), whose, "")
        promised = self.values.get(promise)
        if promised is not None and mine < promised:
            return [(back, {"t": "no", "r": ref, "b": promised.version % BALLOTS_PER_EPOCH})], []
        values, answer = {promise: mine}, {"t": "promised", "r": ref}
        if message["t"] == "accept?":
            values[acceptance] = Value(mine.version, whose, message["v"])
            answer["t"] = "accepted"
        return [], [PersistRequest(values, (back, answer), ballot=(key, mine))]

    def _last_accepted(self, key: str) -> Value | None:
        """What was accepted here before: of the core, for this epoch; of a number, ever."""
        if key == CORE:
            found = self.values.get(ACCEPTED)
            return (
                found if found and found.version // BALLOTS_PER_EPOCH == self.values[CORE].version else None
            )
        return self.values.get(key)

    def _confirmed_claimant(self, key: str) -> str | None:
        """Whose a number is beyond doubt: nothing is stored whose claim was not chosen before."""
        held = self.values.get(CONFIG)
        return held.tie if held is not None and claim_key(held.version) == key else None

    def _claim_numbers(self) -> list[int]:
        return sorted(claimed_number(key) for key in self.values if key.startswith(CLAIM_PREFIX))

    def _oldest_kept_claim(self) -> int:
        """Below this number claims are forgotten: a configuration far above it is held."""
        claims = self._claim_numbers()
        return claims[-MAX_CLAIMS] if len(claims) >= MAX_CLAIMS else 0

    def _expired_claims(self, version: int) -> tuple[str, ...]:
        """Keys of claims that a configuration of this version makes obsolete: all but the last MAX_CLAIMS."""
        claims = self._claim_numbers()
        if len(claims) < MAX_CLAIMS + MAX_CLAIMS // 8:  # not at each store
            return ()
        floor = min(claims[-MAX_CLAIMS], version)
        return tuple(
            key
            for key in self.values
            if key.startswith((CLAIM_PREFIX, LOCAL_PREFIX + CLAIM_PREFIX)) and claimed_number(key) < floor
        )

    def _found_answer(
        self, ref: Any, keys: list[str] | None, held: dict[str, Any] | None, stamps_only: bool = False
    ) -> Message:
        """:param held: stamps of what the other end holds of them: long texts go by deltas from there,
        or by pieces; None: all go whole
        """
        values = {k: v for k, v in self.values.items() if keys is None or k in keys}
        answer: Message = {"t": "found", "r": ref, "l": self.incarnations()}
        if held is None:
            return answer | {"v": {key: value.to_wire() for key, value in values.items()}}
        found, offers = self.archive.inline_or_offer(values, held, stamps_only)
        return answer | {"v": found, "d": offers}

    def _start_incarnation(
        self, back: Any, ref: Any, name: str, life: int, held: dict[str, Any] | None
    ) -> tuple[list[tuple[Any, Message]], list[PersistRequest]]:
        """A replica begins a new life: whoever asks here from now on learns that what it answered in an
        earlier one is worth nothing; then it is told all that is held here."""
        if self.incarnations().get(name, 0) >= life:
            return [(back, self._found_answer(ref, None, held, True))], []
        return [], [
            PersistRequest(
                {INCARNATION_PREFIX + name: Value(life, "", "")}, (back, {"t": "heir", "r": ref, "h": held})
            )
        ]

    def _store(
        self, back: Any, ref: Any, wire: dict[str, Any], epoch: int = 0
    ) -> tuple[list[tuple[Any, Message]], list[PersistRequest]]:
        told = {key: Value.from_wire(value) for key, value in wire.items()}
        newer = {k: v for k, v in told.items() if k not in self.values or v > self.values[k]}
        answer: Message = {"t": "stored", "r": ref}
        if not newer:
            return [(back, answer | {"l": self.incarnations()} if self.votes else self._refusal(ref))], []
        drop = self._expired_claims(newer[CONFIG].version) if CONFIG in newer else ()
        return [], [PersistRequest(newer, (back, answer), epoch, drop)]

    def synced(self, persist: PersistRequest, well: bool) -> list[tuple[Any, Message]]:
        """The disk has answered."""
        back, answer = persist.reply
        if not well:
            return [(back, {"t": "no", "r": answer["r"]})]
        self._merge(persist.values)
        for key in persist.drop:
            self.values.pop(key, None)
        held = self.values.get(CORE)
        if self.state is ReplicaState.NEW and held is not None and held.version >= FIRST_AGREED_EPOCH:
            self.enter_state(ReplicaState.VOTING)
        if answer["t"] == "heir":
            return [(back, self._found_answer(answer["r"], None, answer["h"], True))]
        if persist.ballot is not None:
            key, ballot = persist.ballot
            if (won := self._confirmed_claimant(key)) is not None:
                return [(back, {"t": "no", "r": answer["r"], "won": won, "l": self.incarnations()})]
            if not self._ballot_holds(key, ballot):
                promised = self.values.get(PROMISED if key == CORE else LOCAL_PREFIX + key, ballot)
                return [(back, {"t": "no", "r": answer["r"], "b": promised.version % BALLOTS_PER_EPOCH})]
            if (accepted := self._last_accepted(key)) is not None:
                answer = answer | {"a": accepted.to_wire()}
        if (
            persist.epoch
            and held is not None
            and persist.epoch != held.version
            and CORE not in persist.values
        ):
            return [(back, self._refusal(answer["r"]))]  # the core changed while the disk was at it
        if not self.votes and answer["t"] == "stored":
            return [(back, {"t": "no", "r": answer["r"]})]
        return [(back, answer | {"l": self.incarnations()})]

    def _ballot_holds(self, key: str, ballot: Value) -> bool:
        """Whether, now that it is synced, no higher one was promised and the epoch is the same."""
        promised = self.values.get(PROMISED if key == CORE else LOCAL_PREFIX + key)
        epoch = self.values[CORE].version
        return promised is not None and ballot >= promised and epoch == ballot.version // BALLOTS_PER_EPOCH

    def recovered(self) -> None:
        """What others had is synced here."""
        self.enter_state(ReplicaState.VOTING)

    def _merge(self, values: dict[str, Value]) -> None:
        for key, value in values.items():
            held = self.values.get(key)
            if held is None or value > held:
                self.values[key] = value
                if held is not None:
                    self.archive.record_change(key, held, value)
