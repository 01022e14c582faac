"""A replica: the part of the register that one core machine stores. No I/O, no clock.

A replica answers only from values that its disk has synced. Calls carry the epoch of the core that they are
meant for, and a replica rejects calls of another epoch than its own (the fence). On the members of the next
core, and on which document gets a revision number (a claim), it votes by ballot: a promise, then an
acceptance, so that there is one core per epoch and one document per number.

A replica whose disk was found empty although the system is not starting for the first time may have forgotten
values that it acknowledged: it recovers from R others before it answers any call (docs/design/system.md has
the bound).
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
    """State of a replica: whether its answers count."""

    NEW = "new: the system starts for the first time"
    RECOVERING = "recovering: its disk was lost"
    VOTING = "voting"


@dataclass(slots=True)
class PersistRequest:
    """Values to be synced to the disk; `Replica.synced` is called with the result."""

    values: dict[str, Value]
    reply: tuple[Any, Message]  # recipient and content of the answer
    epoch: int = 0  # core that the call was for; 0: any
    drop: tuple[str, ...] = ()  # keys to delete
    ballot: tuple[str, Value] | None = None  # of a promise or an acceptance: key and ballot


class Replica:
    """The part of the register that one core machine stores."""

    def __init__(self, stored: dict[str, Value], fresh: bool) -> None:
        """
        :param stored: the values on the disk
        :param fresh: the system starts for the first time; if not, a disk without a core was lost
        """
        self.values = dict(stored)
        self.archive = Archive()  # deltas and chunks of long texts
        core = stored.get(CORE)
        agreed = core is not None and core.version >= FIRST_AGREED_EPOCH
        bootstrapping = core is not None or fresh  # an interrupted bootstrap continues
        self.state = (
            ReplicaState.VOTING if agreed else ReplicaState.NEW if bootstrapping else ReplicaState.RECOVERING
        )

    def enter_state(self, state: ReplicaState) -> None:
        """The only place where the state changes."""
        self.state = state

    @property
    def votes(self) -> bool:
        """Whether its answers count towards a quorum."""
        return self.state is ReplicaState.VOTING

    def incarnations(self) -> dict[str, int]:
        """Known incarnations, by name, of replicas that have lost a disk; the first incarnation is 0."""
        return {
            key[len(INCARNATION_PREFIX) :]: value.version
            for key, value in self.values.items()
            if key.startswith(INCARNATION_PREFIX)
        }

    def stamps(self) -> dict[str, list[Any]]:
        """[version, tie] by key, of all keys that are published to subscribers."""
        return {key: value.stamp for key, value in self.values.items() if not is_internal(key)}

    def handle(
        self, reply_to: Any, message: Message
    ) -> tuple[list[tuple[Any, Message]], list[PersistRequest]]:
        """A call of a coordinator, a subscriber or a bootstrapping process; answers go to `reply_to`."""
        ref, kind = message.get("r"), message["t"]
        core = self.values.get(CORE)
        if kind == "found?":
            return self._agree_to_core(reply_to, ref, Value.from_wire(message["v"]))
        epoch = message.get("e", 0)
        if not self.votes or core is None or epoch != core.version:  # the fence: another core
            # While recovering nothing is stored: after a restart a disk with a core would count as complete
            if kind == "store" and CORE in message["v"] and self.state is not ReplicaState.RECOVERING:
                return self._store(reply_to, ref, {CORE: message["v"][CORE]})
            behind = {"behind": True} if core is not None and epoch > core.version else {}
            return [(reply_to, self._refusal(ref) | behind)], []
        match kind:
            case "store":
                return self._store(reply_to, ref, message["v"], epoch)
            case "recover":
                return self._start_incarnation(reply_to, ref, message["n"], message["l"], message.get("h"))
            case "promise?" | "accept?":
                return self._vote(reply_to, ref, epoch, message)
            case "fetch":
                return [(reply_to, self._found_answer(ref, message.get("k"), message.get("h")))], []
            case "piece?" if (value := self.values.get(message["k"])) is not None:
                chunk = self.archive.chunk(message["k"], value, message["s"], message["o"])
                return [(reply_to, {"t": "piece", "r": ref} | chunk)], []
            case "ask":
                return [(reply_to, {"t": "newest", "r": ref, "s": self.stamps()})], []
        return [(reply_to, self._refusal(ref))], []

    def _refusal(self, ref: Any) -> Message:
        core = self.values.get(CORE)
        return {"t": "no", "r": ref} | ({"core": core.to_wire()} if core is not None and self.votes else {})

    def _agree_to_core(
        self, reply_to: Any, ref: Any, core: Value
    ) -> tuple[list[tuple[Any, Message]], list[PersistRequest]]:
        """At the first start every member agrees to the proposed core; then it is stored with epoch 2."""
        held = self.values.get(CORE)
        if held is None and self.state is not ReplicaState.NEW:
            return [(reply_to, self._refusal(ref))], []
        if held is not None and core < held:
            return [(reply_to, {"t": "no", "r": ref, "core": held.to_wire()})], []
        if held == core:
            return [(reply_to, {"t": "agreed", "r": ref})], []
        return [], [PersistRequest({CORE: core}, (reply_to, {"t": "agreed", "r": ref}))]

    def _vote(
        self, reply_to: Any, ref: Any, epoch: int, message: Message
    ) -> tuple[list[tuple[Any, Message]], list[PersistRequest]]:
        """On the next core, or on which document gets a revision number: promise to accept no lower ballot,
        or accept what this ballot proposes."""
        key = message.get("k", CORE)
        if key != CORE and not key.startswith(CLAIM_PREFIX):
            return [(reply_to, self._refusal(ref))], []
        if key != CORE and claimed_number(key) < self._oldest_kept_claim():
            return [(reply_to, {"t": "no", "r": ref, "old": True})], []
        if (claimant := self._confirmed_claimant(key)) is not None:
            return [(reply_to, {"t": "no", "r": ref, "won": claimant, "l": self.incarnations()})], []
        promise_key, acceptance_key = (PROMISED, ACCEPTED) if key == CORE else (LOCAL_PREFIX + key, key)
        number, proposer = message["b"]
        ballot = Value(ballot_version(epoch, number), proposer, "")
        promised = self.values.get(promise_key)
        if promised is not None and ballot < promised:
            return [(reply_to, {"t": "no", "r": ref, "b": promised.version % BALLOTS_PER_EPOCH})], []
        values, answer = {promise_key: ballot}, {"t": "promised", "r": ref}
        if message["t"] == "accept?":
            values[acceptance_key] = Value(ballot.version, proposer, message["v"])
            answer["t"] = "accepted"
        return [], [PersistRequest(values, (reply_to, answer), ballot=(key, ballot))]

    def _last_accepted(self, key: str) -> Value | None:
        """The last accepted value: of the next core in this epoch, or of a claim at any time."""
        if key == CORE:
            accepted = self.values.get(ACCEPTED)
            return (
                accepted
                if accepted and accepted.version // BALLOTS_PER_EPOCH == self.values[CORE].version
                else None
            )
        return self.values.get(key)

    def _confirmed_claimant(self, key: str) -> str | None:
        """Whose claim to a number was certainly chosen: a configuration is stored only after that."""
        stored = self.values.get(CONFIG)
        return stored.tie if stored is not None and claim_key(stored.version) == key else None

    def _claim_numbers(self) -> list[int]:
        return sorted(claimed_number(key) for key in self.values if key.startswith(CLAIM_PREFIX))

    def _oldest_kept_claim(self) -> int:
        """Claims below this number are deleted: a much higher configuration is stored."""
        claims = self._claim_numbers()
        return claims[-MAX_CLAIMS] if len(claims) >= MAX_CLAIMS else 0

    def _expired_claims(self, version: int) -> tuple[str, ...]:
        """Keys of the claims that a configuration of this version makes obsolete: all but MAX_CLAIMS."""
        claims = self._claim_numbers()
        if len(claims) < MAX_CLAIMS + MAX_CLAIMS // 8:  # not on every store
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
        """
        :param keys: None: all
        :param held: stamps of the receiver's versions: long texts are offered as deltas from them, or as
            chunks; None: all texts are sent whole
        """
        values = {k: v for k, v in self.values.items() if keys is None or k in keys}
        answer: Message = {"t": "found", "r": ref, "l": self.incarnations()}
        if held is None:
            return answer | {"v": {key: value.to_wire() for key, value in values.items()}}
        inline, offers = self.archive.inline_or_offer(values, held, stamps_only)
        return answer | {"v": inline, "d": offers}

    def _start_incarnation(
        self, reply_to: Any, ref: Any, name: str, incarnation: int, held: dict[str, Any] | None
    ) -> tuple[list[tuple[Any, Message]], list[PersistRequest]]:
        """A replica starts a new incarnation: from now on answers from here show that those of its earlier
        incarnations no longer count. Once that is synced, the replica is sent all values held here."""
        if self.incarnations().get(name, 0) >= incarnation:
            return [(reply_to, self._found_answer(ref, None, held, True))], []
        return [], [
            PersistRequest(
                {INCARNATION_PREFIX + name: Value(incarnation, "", "")},
                (reply_to, {"t": "heir", "r": ref, "h": held}),
            )
        ]

    def _store(
        self, reply_to: Any, ref: Any, wire: dict[str, Any], epoch: int = 0
    ) -> tuple[list[tuple[Any, Message]], list[PersistRequest]]:
        received = {key: Value.from_wire(value) for key, value in wire.items()}
        newer = {k: v for k, v in received.items() if k not in self.values or v > self.values[k]}
        answer: Message = {"t": "stored", "r": ref}
        if not newer:
            return [(reply_to, answer | {"l": self.incarnations()} if self.votes else self._refusal(ref))], []
        drop = self._expired_claims(newer[CONFIG].version) if CONFIG in newer else ()
        return [], [PersistRequest(newer, (reply_to, answer), epoch, drop)]

    def synced(self, persist: PersistRequest, ok: bool) -> list[tuple[Any, Message]]:
        """The disk has synced the request, or with `ok` false has failed to."""
        reply_to, answer = persist.reply
        if not ok:
            return [(reply_to, {"t": "no", "r": answer["r"]})]
        self._merge(persist.values)
        for key in persist.drop:
            self.values.pop(key, None)
        core = self.values.get(CORE)
        if self.state is ReplicaState.NEW and core is not None and core.version >= FIRST_AGREED_EPOCH:
            self.enter_state(ReplicaState.VOTING)
        if answer["t"] == "heir":
            return [(reply_to, self._found_answer(answer["r"], None, answer["h"], True))]
        if persist.ballot is not None:
            key, ballot = persist.ballot
            if (claimant := self._confirmed_claimant(key)) is not None:
                return [(reply_to, {"t": "no", "r": answer["r"], "won": claimant, "l": self.incarnations()})]
            if not self._ballot_holds(key, ballot):
                promised = self.values.get(PROMISED if key == CORE else LOCAL_PREFIX + key, ballot)
                return [(reply_to, {"t": "no", "r": answer["r"], "b": promised.version % BALLOTS_PER_EPOCH})]
            if (accepted := self._last_accepted(key)) is not None:
                answer = answer | {"a": accepted.to_wire()}
        if (
            persist.epoch
            and core is not None
            and persist.epoch != core.version
            and CORE not in persist.values
        ):
            return [(reply_to, self._refusal(answer["r"]))]  # the core changed during the sync
        if not self.votes and answer["t"] == "stored":
            return [(reply_to, {"t": "no", "r": answer["r"]})]
        return [(reply_to, answer | {"l": self.incarnations()})]

    def _ballot_holds(self, key: str, ballot: Value) -> bool:
        """Whether after the sync no higher ballot was promised and the epoch is unchanged."""
        promised = self.values.get(PROMISED if key == CORE else LOCAL_PREFIX + key)
        epoch = self.values[CORE].version
        return promised is not None and ballot >= promised and epoch == ballot.version // BALLOTS_PER_EPOCH

    def recovered(self) -> None:
        """The values of the other replicas are synced here: vote from now on."""
        self.enter_state(ReplicaState.VOTING)

    def _merge(self, values: dict[str, Value]) -> None:
        for key, value in values.items():
            held = self.values.get(key)
            if held is None or value > held:
                self.values[key] = value
                if held is not None:
                    self.archive.record_change(key, held, value)
