"""Service discovery: which servers there are, by the platform's list. No I/O, no clock.

One process asks the platform, by its turn (`polling.py`), and tells the others what has changed, each time
under a number above all it has seen, and its own name: the fence. Two may ask at once while turns change and
give their lists one number; so a change is applied only to the very list that it was made from. What comes
under a lower number is of a process whose turn is over, and is not taken. Of one instance of a server
(``ident``) the phase only goes forward, ready, draining, gone, so that an old list brings nothing back. Times
are seconds on the caller's clock.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Any

from millfront.discovery.polling import CHECK_INTERVAL_S, SOLO_START_S, TOLERATED_LOSSES, PollTiming, ReadCost

GONE_RETENTION_S = 30.0
ENDED_RETENTION_S = 600.0  # so long it is remembered that a life has ended
NEVER = -1e9

Message = dict[str, Any]


class Phase(IntEnum):
    """Of one life of a server; it only rises."""

    READY = 0
    DRAINING = 1
    GONE = 2


@dataclass(slots=True)
class Server:
    """One life of a server. ``cold_until``: it bears little before; ``since``: first heard of here."""

    ident: str
    service: str
    address: str
    zone: str
    capacity: int
    phase: Phase
    cold_until: float
    first_seen: float
    gone_at: float = 0.0

    def advance(self, phase: Phase, now: float) -> None:
        """The one change of phase: forward only."""
        if phase > self.phase:
            self.phase = phase
            if phase is Phase.GONE:
                self.gone_at = now


Stamp = tuple[int, str]
NO_LIST: Stamp = (0, "")
ServerEntry = list[Any]  # ident, service, address, zone, capacity, draining, cold seconds left


class ReadFailure(Enum):
    """Why a read of the platform's list gave nothing."""

    REFUSED = "over the platform's bound on calls"
    UNREACHABLE = "no whole answer in time, or none that can be used"


@dataclass(slots=True)
class PlatformList:
    """What the platform gave: all entries, and how many calls that took."""

    entries: list[ServerEntry]
    calls: int = 1


def parse_platform_entries(instances: dict[str, Any], parse_seconds: Any) -> list[ServerEntry]:
    """Entries of the platform's answer; one that can't be read is left out.

    :param parse_seconds: reads a time
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
    """The servers as this process knows them."""

    def __init__(self, name: str = "", timing: PollTiming | None = None, now: float = NEVER) -> None:
        """:param name: of this incarnation of the process
        :param now: when it started
        """
        self.name, self.timing = name, timing or PollTiming()
        self.polls_from = now + SOLO_START_S  # unless others are heard of before
        self.cost = ReadCost()  # of the last whole read here, or as told
        self.servers: dict[str, Server] = {}
        self.list_number = 0  # the fence: of the list held
        self.poller = ""  # who asked the platform for it: two may ask at once, and give it one number
        self.as_of = NEVER  # as of when it is held: the platform was asked for it then, or later
        self.unavailable_as_of = (
            NEVER  # as of when the platform is known to have given nothing to whose turn it was
        )
        self.poll_began = NEVER  # when the call under way began
        self.polling = False
        self.backoff_until = NEVER
        self.reads = self.reads_failed = 0
        self.version = 0  # rises with each change of what is known of servers
        self._ended: dict[str, float] = {}  # lives that are over and forgotten, and when that was noted

    @property
    def stamp(self) -> Stamp:
        """Of the list held: its number, and who asked for it. A list with a higher one replaces it."""
        return self.list_number, self.poller

    def has_list(self) -> bool:
        """Whether any list has been received yet."""
        return self.list_number > 0

    def age(self, now: float) -> float:
        """Seconds since the platform was asked for what is held, at most; infinite where nothing is."""
        return now - self.as_of if self.has_list() else math.inf

    def usable(self, now: float) -> bool:
        """Whether a request may be sent by this list: no server that it calls ready can drain for too long.

        While the platform gives nothing no later list could be had, and what is held goes on."""
        return self.has_list() and now - max(self.as_of, self.unavailable_as_of) <= self.timing.max_age()

    def overdue(self, now: float) -> bool:
        """Whether the first two in turn have missed their polls, as far as heard here."""
        return self.age(now) > self.timing.poll_age(TOLERATED_LOSSES, self.cost)

    def members_known(self, now: float) -> None:
        """Who there is is known: from now on it goes by turns."""
        self.polls_from = min(self.polls_from, now)

    def due(self, now: float, position: Callable[[], int]) -> bool:
        """Whether this process is to ask the platform now.

        :param position: tells how many are to ask before this one; not called while nobody is due
        """
        if self.polling or now < self.backoff_until:
            return False
        if not self.has_list():
            waited = now - self.polls_from
            return waited >= 0.0 and waited >= self.timing.startup_wait(position(), self.cost)
        age = self.age(now) + CHECK_INTERVAL_S / 2
        return age >= self.timing.interval(self.cost) and age >= self.timing.poll_age(position(), self.cost)

    def begin_poll(self, now: float) -> int:
        """A call to the platform begins; returns its number."""
        self.polling, self.poll_began = True, now
        return self.list_number + 1

    def poll_failed(
        self, now: float, position: int = 0, failure: ReadFailure = ReadFailure.UNREACHABLE
    ) -> Message | None:
        """The read gave nothing: this process rests before it asks again.

        :return: what the others are to be told; None: it says nothing of the platform, since others used up
            its calls, or it was hardly this one's turn, and the cause may lie here
        """
        self.polling, self.backoff_until = False, now + self.timing.retry_delay(position)
        self.reads_failed += 1
        if failure is ReadFailure.REFUSED or position > TOLERATED_LOSSES:
            return None
        self.unavailable_as_of = max(self.unavailable_as_of, self.poll_began)
        return {"t": "unlisted", "a": round(now - self.poll_began, 3)}

    def handle_unavailable(self, now: float, message: Message) -> None:
        """Another process's word that the platform gave it nothing."""
        self.unavailable_as_of = max(self.unavailable_as_of, now - message["a"])

    def poll_succeeded(
        self, now: float, number: int, entries: list[ServerEntry], calls: int = 1
    ) -> Message | None:
        """The platform's whole answer to the read of that number: what the others are to be told.

        :param calls: that it took
        """
        self.polling = False
        self.reads += 1
        self.cost = ReadCost.clamped(now - self.poll_began, calls)
        if number <= self.list_number:
            return None  # somebody else's came in between
        before, earlier = self.stamp, {s.ident: (s.phase, s.cold_until > now) for s in self._present()}
        gone = self._replace(now, (number, self.name), entries, self.poll_began)
        changed = []
        for entry in entries:
            server = self.servers.get(entry[0])
            if server is None:
                continue
            if earlier.get(entry[0]) != (server.phase, server.cold_until > now):
                changed.append(entry)
        message = {"t": "list", "f": number, "w": self.name, "p": before[0], "q": before[1]}
        cost = {"d": self.cost.seconds, "l": self.cost.calls}
        return message | cost | {"e": changed, "g": gone, "a": round(now - self.poll_began, 3)}

    def full_list(self, now: float) -> Message:
        """For one that has missed something; it says how old it is."""
        entries = [
            [s.ident, s.service, s.address, s.zone, s.capacity, int(s.phase), max(0.0, s.cold_until - now)]
            for s in self._present()
        ]
        age = round(now - self.as_of, 3)
        message = {"t": "list", "f": self.list_number, "w": self.poller, "p": 0, "q": ""}
        cost = {"d": self.cost.seconds, "l": self.cost.calls}
        return message | cost | {"e": entries, "g": [], "a": age}

    def list_request(self, whole: bool = False) -> Message:
        """To another process: its list, if that is newer than this one.

        :param whole: in any case; a change could not be applied here
        """
        return {"t": "list?"} if whole else {"t": "list?", "f": self.list_number, "w": self.poller}

    def newer_than(self, request: Message) -> bool:
        """Whether there is something to hand over to who asks."""
        return self.has_list() and self.stamp > (request.get("f", -1), request.get("w", ""))

    def handle_list(self, now: float, message: Message) -> bool:
        """What another process was told; False: this one lacks what came before, and asks for the whole."""
        # An earlier version, beside which this one is started, names nobody and tells no age and no cost
        stamp, before = (message["f"], message.get("w", "")), (message["p"], message.get("q", ""))
        as_of = now - message.get("a", 0.0)
        if stamp < self.stamp or (stamp == self.stamp and before != NO_LIST):
            return True
        if before not in (NO_LIST, self.stamp):
            return False
        self.cost = ReadCost.clamped(message.get("d", self.cost.seconds), message.get("l", self.cost.calls))
        if before != NO_LIST:
            for entry in message["e"]:
                self._apply_entry(now, entry)
            for ident in message["g"]:
                if ident in self.servers:
                    self._advance(self.servers[ident], Phase.GONE, now)
            self._set_stamp(now, stamp, as_of)
        else:
            self._replace(now, stamp, message["e"], max(as_of, self.as_of) if stamp == self.stamp else as_of)
        return True

    def _present(self) -> list[Server]:
        return [s for s in self.servers.values() if s.phase is not Phase.GONE]

    def _replace(self, now: float, stamp: Stamp, entries: list[ServerEntry], as_of: float) -> list[str]:
        """Hold that list in place of the one before; returns the idents of servers that are gone by it."""
        for entry in entries:
            self._apply_entry(now, entry)
        named = {entry[0] for entry in entries}
        gone = [server for server in self._present() if server.ident not in named]
        for server in gone:
            self._advance(server, Phase.GONE, now)
        self._set_stamp(now, stamp, as_of)
        return [server.ident for server in gone]

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

    def _apply_entry(self, now: float, entry: ServerEntry) -> None:
        ident, service, address, zone, capacity, draining, cold = entry
        server = self.servers.get(ident)
        if ident in self._ended:
            return  # an old list: this life has ended, and is forgotten
        if server is None or server.address != address:
            server = Server(ident, service, address, zone, capacity, Phase.READY, 0.0, now)
            self.servers[ident] = server
            self.version += 1
        elif server.phase is Phase.GONE and not draining:
            return  # an old list: this life has ended
        self._advance(server, Phase(min(int(draining), 1)), now)
        server.cold_until = now + cold if cold > 0 else min(server.cold_until, now)
