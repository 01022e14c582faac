"""Configuration delivery: how a process follows the register, and until when it may trust what it holds. No
I/O, no clock.

A subscriber asks replicas which versions are newest, over held connections on which replicas also push
numbered updates, and fetches what it lacks. A replica's answer that names nothing newer than what is held
here confirms, as of the moment the question was sent, that nothing newer was acknowledged *if* so many
replicas say so that each majority has one of them (Core.is_read_quorum). The lease is that moment plus
LEASE_SHARE of ``revoke_within``: a key whose removal was acknowledged at t is refused here from t +
LEASE_SHARE * revoke_within on, whether this process is in touch or not, without the acknowledgement having
waited for anybody. Derivation: docs/design/system.md.
"""

from dataclasses import dataclass
from typing import Any

from millfront.register.chunks import MAX_INLINE_CHARS, Archive, IncomingTexts, Offer
from millfront.register.values import CORE, Core, Value

LEASE_SHARE = (
    0.8  # of revoke_within: the rest is for a clock that runs 1% slow and a request that waits to be sent
)
POLL_INTERVAL_S = 1.0
REPLICA_TIMEOUT_S = 0.45  # a replica that is silent for so long is passed over for another one
FETCH_REF_PREFIX = "f "  # with this begins the reference of a subscriber's fetches and of what answers them
Message = dict[str, Any]


@dataclass(slots=True)
class ReplicaAnswers:
    """What one replica has said last."""

    confirmed_at: float = -1e9  # when the last question went out that it confirmed by
    sent_at: float = -1e9  # when a question went out that is not answered yet
    waiting_since: float = 0.0  # 0: none is
    stamps: dict[str, list[Any]] | None = None  # of its last answer
    as_of: float = -1e9
    failed_at: float = -1e9
    last_update: int = 0  # the last numbered push


class Subscriber:
    """Holds the newest values known here, and how sure that is."""

    def __init__(self, name: str, lease_s: float, member: str = "") -> None:
        """:param name: of this life of the process: no other's answers are taken
        :param member: the process's name among the members of the core
        """
        self.name, self.member = name, member
        self.lease_s = lease_s
        self.values: dict[str, Value] = {}
        self.core: Core | None = None
        self.replicas: dict[str, ReplicaAnswers] = {}
        self._fetching: dict[str, float] = {}  # key -> when it was last asked for, or a piece came
        self._arrivals = IncomingTexts()
        self._archive = Archive()  # for members that are back and reach no replica yet
        self._lease_floor = -1e9  # a lease that an earlier core has given

    # ---- what is held ----------------------------------------------------------------------------

    def adopt(self, found: dict[str, Value]) -> list[str]:
        """Take what is newer; returns the keys that changed."""
        changed = [k for k, v in found.items() if k not in self.values or v > self.values[k]]
        for key in changed:
            if key in self.values:
                self._archive.record_change(key, self.values[key], found[key])
            self.values[key] = found[key]
            self._fetching.pop(key, None)
            self._arrivals.discard_superseded(key, found[key])
        if CORE in changed:
            self._fetching.clear()  # an answer that was meant for the core before is dropped
            # Nothing newer was acknowledged by then, whoever keeps it since.
            self._lease_floor = self.lease_until()
            self.core = Core.from_value(self.values[CORE])
            # What counted in the earlier core doesn't count here.
            self.replicas = {name: ReplicaAnswers() for name in self.core.all_members}
        if changed:
            for answers in self.replicas.values():
                self._confirm(answers)
        return changed

    def lease_until(self) -> float:
        """Nothing newer was acknowledged before this time less `lease_s`."""
        if self.core is None:
            return -1e9
        times = sorted({said.confirmed_at for said in self.replicas.values()}, reverse=True)
        for time in times:
            if self.core.is_read_quorum(
                name for name, said in self.replicas.items() if said.confirmed_at >= time
            ):
                return max(time + self.lease_s, self._lease_floor)
        return self._lease_floor

    def confirmed_by_majority(self) -> bool:
        """Whether a majority of the core in force here has answered in its epoch: no lease is renewed in an
        earlier one from then on."""
        answered = [name for name, said in self.replicas.items() if said.stamps is not None]
        return self.core is not None and self.core.is_write_quorum(answered)

    def as_of(self) -> float:
        """Nothing newer than what is held here was acknowledged before this time."""
        return self.lease_until() - self.lease_s

    # ---- asking ----------------------------------------------------------------------------------

    def tick(self, now: float, preferred: list[str]) -> list[tuple[str, Message]]:
        """Questions to be sent to replicas; `near` is the order of preference, nearest and soundest first."""
        if self.core is None:
            return []
        core = self.core
        order = [name for name in preferred if name in self.replicas]
        order += [name for name in self.replicas if name not in order]
        for answers in self.replicas.values():
            if answers.waiting_since and now - answers.waiting_since > REPLICA_TIMEOUT_S:
                answers.failed_at, answers.waiting_since = now, 0.0
        order.sort(key=lambda name: now - self.replicas[name].failed_at < 3.0 * POLL_INTERVAL_S)
        chosen: list[str] = []
        for name in order:
            if core.is_read_quorum(chosen):
                break
            chosen.append(name)
        # while the lease is not renewed in time all are asked, and by a member until a majority has answered
        late = self.lease_until() - self.lease_s < now - 2.0 * POLL_INTERVAL_S
        if late or (self.member in core.all_members and not self.confirmed_by_majority()):
            chosen = order
        out = []
        for name in chosen:
            answers = self.replicas[name]
            if now - answers.sent_at >= POLL_INTERVAL_S * 0.95 or now - answers.failed_at < 0.2:
                answers.sent_at = answers.waiting_since = now
                out.append((name, {"t": "ask", "r": f"{core.epoch} {now!r} {self.name}", "e": core.epoch}))
        return out

    def handle_answer(self, now: float, sender: str, message: Message) -> list[tuple[str, Message]]:
        """A replica's answer or push; returns what is to be fetched, and from whom."""
        answers = self.replicas.get(sender)
        if answers is None:
            return []
        if message["t"] == "news":
            answers.last_update = message["n"]
            return [(sender, {"t": "had", "n": message["n"]}), *self._fetch_newer(now, sender, message["s"])]
        epoch, sent_at, incarnation, *_ = [*str(message["r"]).split(" ", 2), "", ""]
        if incarnation != self.name or self.core is None or epoch != str(self.core.epoch):
            return []
        answers.waiting_since = 0.0
        if message["t"] != "newest":
            return []
        answers.failed_at = -1e9
        answers.stamps, answers.as_of = message["s"], float(sent_at)
        self._confirm(answers)
        return self._fetch_newer(now, sender, message["s"])

    def _fetch_ref(self) -> str:
        """Of fetches: of this core and this life of the process alone."""
        return f"{FETCH_REF_PREFIX}{self.core.epoch if self.core is not None else 0} {self.name}"

    def is_own_fetch(self, sender: str, message: Message) -> bool:
        """Whether an answer is to a fetch of this life of the process, from a member of the core in force."""
        return self.core is not None and sender in self.core.all_members and message["r"] == self._fetch_ref()

    def _confirm(self, answers: ReplicaAnswers) -> None:
        if answers.stamps is not None and not self._newer_keys(answers.stamps):
            answers.confirmed_at = max(answers.confirmed_at, answers.as_of)

    def _newer_keys(self, stamps: dict[str, list[Any]]) -> list[str]:
        lacking = []
        for key, (version, tie) in stamps.items():
            held = self.values.get(key)
            if held is None or (held.version, held.tie) < (version, tie):
                lacking.append(key)
        return lacking

    # ---- members that are back ------------------------------------------------------------------

    @staticmethod
    def handoff(values: dict[str, Value]) -> Message:
        """What one that is back is handed: short values, and the stamps of long ones."""
        short = {key: value.to_wire() for key, value in values.items() if len(value.data) <= MAX_INLINE_CHARS}
        return {"t": "rest", "v": short, "s": {k: v.stamp for k, v in values.items() if k not in short}}

    def answer_handoff(self, message: Message) -> Message:
        """The answer to one that asks for what it was told of so: as a replica's, but it confirms nothing."""
        if message["t"] == "piece?":
            value = self.values.get(message["k"], Value(0, "", ""))
            return {"t": "piece"} | self._archive.chunk(message["k"], value, message["s"], message["o"])
        values = {key: self.values[key] for key in message["k"] if key in self.values}
        found, offers = self._archive.inline_or_offer(values, message["h"])
        return {"t": "found", "v": found, "d": offers}

    def fetch_handoff(self, now: float, message: Message) -> list[tuple[str, Message]]:
        """What is to be asked of a member that has handed this over."""
        return self.fetch(now, "", self._newer_keys(message.get("s", {})))

    # ---- fetching ----------------------------------------------------------------------------------

    def _fetch_newer(
        self, now: float, sender: str, stamps: dict[str, list[Any]]
    ) -> list[tuple[str, Message]]:
        return self.fetch(now, sender, self._newer_keys(stamps))

    def fetch(self, now: float, sender: str, keys: list[str]) -> list[tuple[str, Message]]:
        """Ask that replica for what is not on its way already, and say which versions are here."""
        keys = [key for key in keys if now - self._fetching.get(key, -1e9) > REPLICA_TIMEOUT_S]
        if not keys or self.core is None:
            return []
        for key in keys:
            self._fetching[key] = now
        held = {key: self.values[key].stamp for key in keys if key in self.values}
        return [(sender, {"t": "fetch", "r": self._fetch_ref(), "e": self.core.epoch, "k": keys, "h": held})]

    def handle_fetched(
        self, now: float, sender: str, message: Message
    ) -> tuple[dict[str, Value], list[tuple[str, Message]]]:
        """A replica's answer to a fetch, or a piece. Returns the values that are whole here now, which are to
        be held, and the questions for the next chunks."""
        values = {key: Value.from_wire(wire) for key, wire in message.get("v", {}).items()}
        arrived: list[tuple[str, Value | Message | None]] = []
        if message["t"] == "piece":
            arrived.append((message["k"], self._arrivals.add_chunk(message)))
        for key, wire in message.get("d", {}).items():
            offer, held = Offer.from_wire(wire), self.values.get(key)
            if held is None or (held.version, held.tie) < offer.stamp:
                arrived.append((key, self._arrivals.accept_offer(key, offer, held)))
        out: list[tuple[str, Message]] = []
        for key, got in arrived:
            if isinstance(got, Value):
                values[key] = got
            elif got is not None and self.core is not None:
                self._fetching[key] = now
                out.append((sender, got | {"r": self._fetch_ref(), "e": self.core.epoch}))
        return values, out
