"""Configuration delivery: how a process follows the register, and how long it may rely on what it holds. No
I/O, no clock.

A subscriber asks replicas for their newest versions, over held connections on which replicas also push
numbered updates, and fetches what it lacks. Answers that name nothing newer than the values held here
confirm, as of the time the requests were sent, that nothing newer was acknowledged, *if* they come from so
many replicas that each majority has one of them (Core.is_read_quorum). The lease lasts from that time for
LEASE_SHARE of ``revoke_within``: a key whose removal was acknowledged at t is refused here from t +
LEASE_SHARE * revoke_within on, whether this process is connected or not, and the acknowledgement need not
wait for any subscriber. Derivation: docs/design/system.md.
"""

from dataclasses import dataclass
from typing import Any

from millfront.register.chunks import MAX_INLINE_CHARS, Archive, IncomingTexts, Offer
from millfront.register.values import CORE, Core, Value

LEASE_SHARE = 0.8  # of revoke_within: the rest allows for a clock 1% slow and a request waiting to be sent
POLL_INTERVAL_S = 1.0
REPLICA_TIMEOUT_S = 0.45  # a replica that has not answered by then is passed over for another one
FETCH_REF_PREFIX = "f "  # prefix of the reference in a subscriber's fetches and in their answers
Message = dict[str, Any]


@dataclass(slots=True)
class ReplicaAnswers:
    """The latest answers of one replica."""

    confirmed_at: float = -1e9  # send time of the latest request whose answer named nothing newer
    sent_at: float = -1e9  # when the latest request was sent
    waiting_since: float = 0.0  # since when a request is unanswered; 0: none is
    stamps: dict[str, list[Any]] | None = None  # key -> (version, tie) in its latest answer
    as_of: float = -1e9  # when the request of that answer was sent
    failed_at: float = -1e9  # when a request last timed out
    last_update: int = 0  # number of the latest update pushed by it


class Subscriber:
    """Holds the newest values known here, and the lease under which they may be used."""

    def __init__(self, name: str, lease_s: float, member: str = "") -> None:
        """:param name: of this incarnation of the process: answers to another one are ignored
        :param lease_s: how long values may be used after they were confirmed
        :param member: the name of the process among the members of the core
        """
        self.name, self.member = name, member
        self.lease_s = lease_s
        self.values: dict[str, Value] = {}
        self.core: Core | None = None
        self.replicas: dict[str, ReplicaAnswers] = {}
        self._fetching: dict[str, float] = {}  # key -> when it was last requested, or a chunk arrived
        self._incoming_texts = IncomingTexts()
        self._archive = Archive()  # for members that are back and do not reach a replica yet
        self._lease_floor = -1e9  # end of the lease under earlier cores

    # ---- values held -----------------------------------------------------------------------------

    def adopt(self, found: dict[str, Value]) -> list[str]:
        """Store the values that are newer than those held; returns the keys that changed."""
        changed = [k for k, v in found.items() if k not in self.values or v > self.values[k]]
        for key in changed:
            if key in self.values:
                self._archive.record_change(key, self.values[key], found[key])
            self.values[key] = found[key]
            self._fetching.pop(key, None)
            self._incoming_texts.discard_superseded(key, found[key])
        if CORE in changed:
            self._fetching.clear()  # answers for the previous core are dropped
            self._lease_floor = self.lease_until()  # still valid: nothing newer was acknowledged by then
            self.core = Core.from_value(self.values[CORE])
            # Answers to the earlier core do not count in this one
            self.replicas = {name: ReplicaAnswers() for name in self.core.all_members}
        if changed:
            for answers in self.replicas.values():
                self._confirm(answers)
        return changed

    def lease_until(self) -> float:
        """End of the lease: nothing newer was acknowledged before this time less `lease_s`."""
        if self.core is None:
            return -1e9
        times = sorted({answers.confirmed_at for answers in self.replicas.values()}, reverse=True)
        for time in times:
            if self.core.is_read_quorum(
                name for name, answers in self.replicas.items() if answers.confirmed_at >= time
            ):
                return max(time + self.lease_s, self._lease_floor)
        return self._lease_floor

    def confirmed_by_majority(self) -> bool:
        """Whether a majority of the core in force here has answered in its epoch: from then on no lease is
        renewed in an earlier epoch."""
        answered = [name for name, answers in self.replicas.items() if answers.stamps is not None]
        return self.core is not None and self.core.is_write_quorum(answered)

    def as_of(self) -> float:
        """Nothing newer than the values held here was acknowledged before this time."""
        return self.lease_until() - self.lease_s

    # ---- polling replicas ------------------------------------------------------------------------

    def tick(self, now: float, preferred: list[str]) -> list[tuple[str, Message]]:
        """Requests to send to replicas.

        :param preferred: replicas in order of preference, nearest and healthiest first
        """
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
        # All are asked while the lease is renewed late, and by a core member until a majority has answered
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
        """Handle an answer or a push of a replica; returns (replica, fetch) for what is missing here."""
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
        """Reference of fetches; it belongs to this core and this incarnation of the process alone."""
        return f"{FETCH_REF_PREFIX}{self.core.epoch if self.core is not None else 0} {self.name}"

    def is_own_fetch(self, sender: str, message: Message) -> bool:
        """Whether this is a core member's answer to a fetch of this incarnation, in the core in force."""
        return self.core is not None and sender in self.core.all_members and message["r"] == self._fetch_ref()

    def _confirm(self, answers: ReplicaAnswers) -> None:
        if answers.stamps is not None and not self._newer_keys(answers.stamps):
            answers.confirmed_at = max(answers.confirmed_at, answers.as_of)

    def _newer_keys(self, stamps: dict[str, list[Any]]) -> list[str]:
        newer = []
        for key, (version, tie) in stamps.items():
            held = self.values.get(key)
            if held is None or (held.version, held.tie) < (version, tie):
                newer.append(key)
        return newer

    # ---- hinted handoff -------------------------------------------------------------------------

    @staticmethod
    def handoff(values: dict[str, Value]) -> Message:
        """Message to a member that is back: short values, and the stamps of long ones."""
        short = {key: value.to_wire() for key, value in values.items() if len(value.data) <= MAX_INLINE_CHARS}
        return {"t": "rest", "v": short, "s": {k: v.stamp for k, v in values.items() if k not in short}}

    def answer_handoff(self, message: Message) -> Message:
        """Answer a member that fetches values named in a handoff: like a replica's answer, but it confirms
        nothing."""
        if message["t"] == "piece?":
            value = self.values.get(message["k"], Value(0, "", ""))
            return {"t": "piece"} | self._archive.chunk(message["k"], value, message["s"], message["o"])
        values = {key: self.values[key] for key in message["k"] if key in self.values}
        found, offers = self._archive.inline_or_offer(values, message["h"])
        return {"t": "found", "v": found, "d": offers}

    def fetch_handoff(self, now: float, message: Message) -> list[tuple[str, Message]]:
        """Fetches to send to the member whose handoff this is."""
        return self.fetch(now, "", self._newer_keys(message.get("s", {})))

    # ---- fetching ----------------------------------------------------------------------------------

    def _fetch_newer(
        self, now: float, sender: str, stamps: dict[str, list[Any]]
    ) -> list[tuple[str, Message]]:
        return self.fetch(now, sender, self._newer_keys(stamps))

    def fetch(self, now: float, sender: str, keys: list[str]) -> list[tuple[str, Message]]:
        """Fetch the keys that are not being fetched already; the message has the versions held here."""
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
        """Handle the answer to a fetch, or a chunk.

        :return: the values that are now complete, for `adopt`, and the requests for further chunks
        """
        values = {key: Value.from_wire(wire) for key, wire in message.get("v", {}).items()}
        arrived: list[tuple[str, Value | Message | None]] = []
        if message["t"] == "piece":
            arrived.append((message["k"], self._incoming_texts.add_chunk(message)))
        for key, wire in message.get("d", {}).items():
            offer, held = Offer.from_wire(wire), self.values.get(key)
            if held is None or (held.version, held.tie) < offer.stamp:
                arrived.append((key, self._incoming_texts.accept_offer(key, offer, held)))
        out: list[tuple[str, Message]] = []
        for key, result in arrived:
            if isinstance(result, Value):
                values[key] = result
            elif result is not None and self.core is not None:
                self._fetching[key] = now
                out.append((sender, result | {"r": self._fetch_ref(), "e": self.core.epoch}))
        return values, out
