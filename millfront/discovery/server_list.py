"""Service discovery: which servers exist, by the platform's list. No I/O, no clock.

One process polls the platform (`polling.py` says when) and publishes the changes to the others, under a
fencing number higher than any that it has seen, and its own name. While the role moves, two processes may
poll at once and give their lists the same number; so a change is applied only to the very list that it was
made from. A message with a lower number comes from a former poller and is ignored. The phase of a server
instance (``ident``) only advances: ready, draining, gone; so an old list brings no instance back. Times are
seconds on the caller's clock.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Any

from millfront.discovery.polling import CHECK_INTERVAL_S, SOLO_START_S, TOLERATED_LOSSES, PollTiming, ReadCost
from millfront.discovery.warm_up import NEVER, WarmUp

GONE_RETENTION_S = 30.0
ENDED_RETENTION_S = 600.0  # how long the ident of an instance that is gone is remembered

Message = dict[str, Any]


class Phase(IntEnum):
    """Of one server instance; it only rises."""

    READY = 0
    DRAINING = 1
    GONE = 2


@dataclass(slots=True)
class Server:
    """One instance of a server. While it is cold it takes little load; ``first_seen``: when this process
    first heard of it."""

    ident: str
    service: str
    address: str
    zone: str
    capacity: int
    phase: Phase
    warm_up: WarmUp
    first_seen: float
    gone_at: float = 0.0

    def is_cold(self, now: float) -> bool:
        """Whether it is still warming up."""
        return now < self.warm_up.ends_at

    def advance(self, phase: Phase, now: float) -> None:
        """Advance to a later phase; the only place where the phase changes."""
        if phase > self.phase:
            self.phase = phase
            if phase is Phase.GONE:
                self.gone_at = now


Stamp = tuple[int, str]
NO_LIST: Stamp = (0, "")
ServerEntry = list[Any]  # ident, service, address, zone, capacity, draining, cold seconds left


class ReadFailure(Enum):
    """Why a read of the platform's list failed."""

    REFUSED = "rate limit of the platform exceeded"
    UNREACHABLE = "no complete and valid answer in time"


@dataclass(slots=True)
class PlatformList:
    """The platform's answer: all entries, and how many calls they took."""

    entries: list[ServerEntry]
    calls: int = 1


def parse_platform_entries(instances: dict[str, Any], parse_seconds: Any) -> list[ServerEntry]:
    """The entries of the platform's answer, from ident to fields; invalid ones are skipped.

    :param parse_seconds: parses a duration
    """
    out: list[ServerEntry] = []
    for ident, entry in instances.items():
        try:
            cold = parse_seconds(entry.get("warm_left") or "0s")
            draining = int(entry["phase"] != "ready")
            fields = [
                ident,
                entry["target"],
                entry["address"],
                entry["zone"],
                int(entry["capacity"]),
                draining,
            ]
        except (KeyError, TypeError, ValueError, AttributeError):
            continue
        out.append([*fields, cold])
    return out


class ServerList:
    """The list of servers as this process holds it."""

    def __init__(self, name: str = "", timing: PollTiming | None = None, now: float = NEVER) -> None:
        """:param name: of this incarnation of the process
        :param now: when the process started
        """
        self.name, self.timing = name, timing or PollTiming()
        self.polls_from = now + SOLO_START_S  # earlier once other processes are known
        self.cost = ReadCost()  # of the latest read, by this process or as received
        self.servers: dict[str, Server] = {}
        self.list_number = 0  # fencing number of the list held; 0: none
        self.poller = ""  # who read it: two may poll at once and use the same number
        # Start of the read that gave it: the platform was asked then, or later. For a received list it may be
        # later than that start by the transit times of its messages, which are not measured.
        self.as_of = NEVER
        self.unavailable_as_of = NEVER  # start of the latest read, by a poller in turn, known to have failed
        self.poll_began = NEVER  # start of the latest read
        self.polling = False
        self.backoff_until = NEVER
        self.reads = self.reads_failed = 0
        self.version = 0  # rises with each change to `servers`
        self._ended: dict[str, float] = {}  # ident -> when the instance, long gone, was removed

    @property
    def stamp(self) -> Stamp:
        """(number, poller) of the list held. A list with a higher stamp replaces it."""
        return self.list_number, self.poller

    def has_list(self) -> bool:
        """Whether any list has been read or received yet."""
        return self.list_number > 0

    def age(self, now: float) -> float:
        """Seconds since the read that gave the list began, less the transit times of a received one; infinite
        without a list."""
        return now - self.as_of if self.has_list() else math.inf

    def usable(self, now: float) -> bool:
        """Whether requests may be routed by this list: no server that it shows as ready can have been
        draining for longer than `drain_within`, apart from the transit times that `as_of` leaves out.

        While the platform is unavailable no newer list exists, and the one held stays in use."""
        return self.has_list() and now - max(self.as_of, self.unavailable_as_of) <= self.timing.max_age()

    def overdue(self, now: float) -> bool:
        """Whether the first two pollers have missed their polls, as far as this process has heard."""
        return self.age(now) > self.timing.poll_age(TOLERATED_LOSSES, self.cost)

    def members_known(self, now: float) -> None:
        """Other processes are known: from now on polls go by position."""
        self.polls_from = min(self.polls_from, now)

    def due(self, now: float, position: Callable[[], int]) -> bool:
        """Whether this process is to poll the platform now.

        :param position: returns how many processes poll before this one; not called while nobody is due
        """
        if self.polling or now < self.backoff_until:
            return False
        if not self.has_list():
            waited = now - self.polls_from
            return waited >= 0.0 and waited >= self.timing.startup_wait(position(), self.cost)
        age = self.age(now) + CHECK_INTERVAL_S / 2
        return age >= self.timing.interval(self.cost) and age >= self.timing.poll_age(position(), self.cost)

    def begin_poll(self, now: float) -> int:
        """A read of the platform's list starts; returns the number that its list will have."""
        self.polling, self.poll_began = True, now
        return self.list_number + 1

    def poll_failed(
        self, now: float, position: int = 0, failure: ReadFailure = ReadFailure.UNREACHABLE
    ) -> Message | None:
        """The read failed: this process backs off before the next.

        :return: what to send to the others; None: the failure says nothing of the platform, since others used
            up its rate limit, or this process is so late in the order that the cause may lie with itself
        """
        self.polling, self.backoff_until = False, now + self.timing.retry_delay(position)
        self.reads_failed += 1
        if failure is ReadFailure.REFUSED or position > TOLERATED_LOSSES:
            return None
        self.unavailable_as_of = max(self.unavailable_as_of, self.poll_began)
        return {"t": "unlisted", "a": round(now - self.poll_began, 3)}

    def handle_unavailable(self, now: float, message: Message) -> None:
        """Another process reports that it found the platform unavailable."""
        self.unavailable_as_of = max(self.unavailable_as_of, now - message["a"])

    def poll_succeeded(
        self, now: float, number: int, entries: list[ServerEntry], calls: int = 1
    ) -> Message | None:
        """The platform's complete answer to the read with that number; returns what to send to the others.

        :param calls: how many calls the read took
        """
        self.polling = False
        self.reads += 1
        self.cost = ReadCost.clamped(now - self.poll_began, calls)
        if number <= self.list_number:
            return None  # another process's list arrived meanwhile
        before, shows_state_of = self.stamp, self.timing.shows_state_of(self.poll_began)
        changed, gone = self._replace(now, (number, self.name), entries, self.poll_began, shows_state_of)
        message = {"t": "list", "f": number, "w": self.name, "p": before[0], "q": before[1]}
        cost = {"d": self.cost.seconds, "l": self.cost.calls}
        return message | cost | {"e": changed, "g": gone, "a": round(now - self.poll_began, 3)}

    def full_list(self, now: float) -> Message:
        """The full list and its age, for a process that has missed a change."""
        entries = [
            [
                s.ident,
                s.service,
                s.address,
                s.zone,
                s.capacity,
                int(s.phase),
                max(0.0, s.warm_up.ends_at - now),
            ]
            for s in self._present()
        ]
        age = round(now - self.as_of, 3)
        message = {"t": "list", "f": self.list_number, "w": self.poller, "p": 0, "q": ""}
        cost = {"d": self.cost.seconds, "l": self.cost.calls}
        return message | cost | {"e": entries, "g": [], "a": age}

    def list_request(self, whole: bool = False) -> Message:
        """Asks another process for its list if it is newer than this one.

        :param whole: ask for the full list in any case, since a change could not be applied here
        """
        return {"t": "list?"} if whole else {"t": "list?", "f": self.list_number, "w": self.poller}

    def newer_than(self, request: Message) -> bool:
        """Whether this list is newer than that of the process that asks."""
        return self.has_list() and self.stamp > (request.get("f", -1), request.get("w", ""))

    def handle_list(self, now: float, message: Message) -> bool:
        """Apply another process's list or change.

        :return: False: this process lacks the list that the change was made from, and needs the full one
        """
        # A process of an earlier software version sends no poller, age or cost
        stamp, before = (message["f"], message.get("w", "")), (message["p"], message.get("q", ""))
        as_of = now - message.get("a", 0.0)
        if stamp < self.stamp or (stamp == self.stamp and before != NO_LIST):
            return True
        if before not in (NO_LIST, self.stamp):
            return False
        self.cost = ReadCost.clamped(message.get("d", self.cost.seconds), message.get("l", self.cost.calls))
        if before != NO_LIST:
            for entry in message["e"]:
                self._apply_entry(now, entry, self.timing.shows_state_of(as_of))
            for ident in message["g"]:
                if ident in self.servers:
                    self._advance(self.servers[ident], Phase.GONE, now)
            self._set_stamp(now, stamp, as_of)
        else:
            self._replace_with_received(now, stamp, message["e"], as_of)
        return True

    def _replace_with_received(
        self, now: float, stamp: Stamp, entries: list[ServerEntry], as_of: float
    ) -> None:
        """Replace the list held by another process's full list.

        It may have been passed on several times, so it ends no assumption that a server is cold. Its sender
        may have made such an assumption after the state that the list shows, which is then made here, too."""
        self._replace(now, stamp, entries, max(as_of, self.as_of) if stamp == self.stamp else as_of, NEVER)
        for ident, *_, cold in entries:
            if cold > 0 and (server := self.servers.get(ident)) is not None:
                server.warm_up.assume(now, cold)

    def _present(self) -> list[Server]:
        return [s for s in self.servers.values() if s.phase is not Phase.GONE]

    def _replace(
        self, now: float, stamp: Stamp, entries: list[ServerEntry], as_of: float, shows_state_of: float
    ) -> tuple[list[ServerEntry], list[str]]:
        """Replace the list held; returns the entries that change it, and the idents of servers that are gone.

        :param shows_state_of: the entries are sure to show what happened until this time
        """
        changed = [entry for entry in entries if self._apply_entry(now, entry, shows_state_of)]
        named = {entry[0] for entry in entries}
        gone = [server for server in self._present() if server.ident not in named]
        for server in gone:
            self._advance(server, Phase.GONE, now)
        self._set_stamp(now, stamp, as_of)
        return changed, [server.ident for server in gone]

    def _advance(self, server: Server, phase: Phase, now: float) -> None:
        self.version += phase > server.phase
        server.advance(phase, now)

    def _set_stamp(self, now: float, stamp: Stamp, as_of: float) -> None:
        (self.list_number, self.poller), self.as_of = stamp, as_of
        for ident in [
            s.ident for s in self.servers.values() if s.gone_at and now - s.gone_at > GONE_RETENTION_S
        ]:
            del self.servers[ident]
            self._ended[ident] = now
            self.version += 1
        while self._ended and now - self._ended[first := next(iter(self._ended))] > ENDED_RETENTION_S:
            del self._ended[first]

    def _apply_entry(self, now: float, entry: ServerEntry, shows_state_of: float) -> bool:
        """Apply one server's entry of a list; returns whether processes with the list before lack it."""
        ident, service, address, zone, capacity, draining, cold = entry
        if ident in self._ended:
            return False  # an old list: this instance is gone and was removed
        server = self.servers.get(ident)
        if server is None or server.address != address:
            server = Server(ident, service, address, zone, capacity, Phase.READY, WarmUp(), now)
            self.servers[ident] = server
            self.version += 1
            self._apply_state(now, server, draining, cold, shows_state_of)
            return True
        if server.phase is Phase.GONE and not draining:
            return True  # an old list, or only this process knows that the instance is gone
        return self._apply_state(now, server, draining, cold, shows_state_of)

    def _apply_state(
        self, now: float, server: Server, draining: int, cold: float, shows_state_of: float
    ) -> bool:
        """Apply what a list shows of a known server; returns whether others with the list before lack it."""
        phase = server.phase
        self._advance(server, Phase(min(int(draining), 1)), now)
        warm_up_changed = server.warm_up.update(now, cold, shows_state_of)
        known_to_others = phase is server.phase and phase is not Phase.GONE
        return warm_up_changed or not known_to_others
