"""Service discovery: which servers there are, by the platform's list. No I/O, no clock.

One process asks the platform (the owner of a key) and tells the others what has changed, each time under a
number above all it has seen, and its own name: the fence. Two may ask at once while ownership moves and give
their lists one number; so a change is applied only to the very list that it was made from. What comes under a
lower number is of a process that owns the key no longer, and is not taken. Who has heard nothing for STALE_S
asks the platform itself. Of one instance of a server (``ident``) the phase only goes forward, ready,
draining, gone, so that an old list brings nothing back. Times are seconds on the caller's clock.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

POLL_S = 0.8
DEPUTY_S = 1.7  # a poll missed, by the region's deputy
STALE_S = 2.2  # by anybody; what it asks then is there well inside drain_within
REST_S = 0.5  # after a call that failed
FORGET_S = 30.0

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
    since: float
    gone_at: float = 0.0

    def become(self, phase: Phase, now: float) -> None:
        """The one change of phase: forward only."""
        if phase > self.phase:
            self.phase = phase
            if phase is Phase.GONE:
                self.gone_at = now


Stamp = tuple[int, str]
NO_LIST: Stamp = (0, "")
Told = list[Any]  # ident, service, address, zone, capacity, draining, cold seconds left


def told_by_platform(instances: dict[str, Any], seconds: Any) -> list[Told]:
    """Entries of the platform's answer; one that can't be read is left out.

    :param seconds: reads a time
    """
    out: list[Told] = []
    for ident, entry in instances.items():
        try:
            cold = seconds(entry.get("warm_left") or "0s")
            draining = int(entry["phase"] != "ready")
            told = [ident, entry["target"], entry["address"], entry["zone"], int(entry["capacity"]), draining]
        except (KeyError, TypeError, ValueError, AttributeError):
            continue
        out.append([*told, cold])
    return out


class ServerList:
    """The servers as this process knows them."""

    def __init__(self, name: str = "") -> None:
        """:param name: of this life of the process"""
        self.name = name
        self.servers: dict[str, Server] = {}
        self.number = 0  # the fence: of the list held
        self.asker = ""  # who asked the platform for it: two may ask at once, and give it one number
        self.heard = -1e9  # as of when it is held: the platform was asked for it then, or later
        self.asked = -1e9  # when the call under way began
        self.asking = False
        self.rests_until = -1e9
        self.version = 0  # rises with each change

    @property
    def stamp(self) -> Stamp:
        """Of the list held: its number, and who asked for it. A list with a higher one replaces it."""
        return self.number, self.asker

    def known(self) -> bool:
        """Whether any list has been received yet."""
        return self.number > 0

    def due(self, now: float, duty: bool, deputy: bool) -> bool:
        """Whether this process is to ask the platform now: who has the duty does, its region's deputy where
        nothing was heard for a while, and in the end anybody."""
        if self.asking or now < self.rests_until:
            return False
        return now - self.heard >= (POLL_S if duty else DEPUTY_S if deputy else STALE_S)

    def begin(self, now: float) -> int:
        """A call to the platform begins; returns its number."""
        self.asking, self.asked = True, now
        return self.number + 1

    def failed(self, now: float) -> None:
        """The call to the platform gave nothing: this process does not ask again for `REST_S`."""
        self.asking, self.rests_until = False, now + REST_S

    def polled(self, now: float, number: int, entries: list[Told]) -> Message | None:
        """The platform's whole answer to the call of that number: what the others are to be told."""
        self.asking = False
        if number <= self.number:
            return None  # somebody else's came in between
        before, had = self.stamp, {s.ident: (s.phase, s.cold_until > now) for s in self._listed()}
        self._replace(now, (number, self.name), entries, self.asked)
        changed = []
        for entry in entries:
            server = self.servers[entry[0]]
            if had.get(entry[0]) != (server.phase, server.cold_until > now):
                changed.append(entry)
        gone = [ident for ident in had if self.servers[ident].phase is Phase.GONE]
        told = {"t": "list", "f": number, "w": self.name, "p": before[0], "q": before[1]}
        return told | {"e": changed, "g": gone, "a": round(now - self.asked, 3)}

    def whole(self, now: float) -> Message:
        """For one that has missed something; it says how old it is."""
        entries = [
            [s.ident, s.service, s.address, s.zone, s.capacity, int(s.phase), max(0.0, s.cold_until - now)]
            for s in self._listed()
        ]
        age = round(now - self.heard, 3)
        told = {"t": "list", "f": self.number, "w": self.asker, "p": 0, "q": ""}
        return told | {"e": entries, "g": [], "a": age}

    def take(self, now: float, message: Message) -> bool:
        """What another process was told; False: this one lacks what came before, and asks for the whole."""
        # An earlier version, beside which this one is started, names nobody and tells no age
        stamp, before = (message["f"], message.get("w", "")), (message["p"], message.get("q", ""))
        as_of = now - message.get("a", 0.0)
        if stamp < self.stamp or (stamp == self.stamp and before != NO_LIST):
            return True
        if before not in (NO_LIST, self.stamp):
            return False
        if before != NO_LIST:
            for entry in message["e"]:
                self._entry(now, entry)
            for ident in message["g"]:
                if ident in self.servers:
                    self.servers[ident].become(Phase.GONE, now)
            self._note(now, stamp, as_of)
        else:
            self._replace(now, stamp, message["e"], max(as_of, self.heard) if stamp == self.stamp else as_of)
        return True

    def _listed(self) -> list[Server]:
        return [s for s in self.servers.values() if s.phase is not Phase.GONE]

    def _replace(self, now: float, stamp: Stamp, entries: list[Told], as_of: float) -> None:
        for entry in entries:
            self._entry(now, entry)
        named = {entry[0] for entry in entries}
        for server in self._listed():
            if server.ident not in named:
                server.become(Phase.GONE, now)
        self._note(now, stamp, as_of)

    def _note(self, now: float, stamp: Stamp, as_of: float) -> None:
        (self.number, self.asker), self.heard = stamp, as_of
        self.version += 1
        for ident in [s.ident for s in self.servers.values() if s.gone_at and now - s.gone_at > FORGET_S]:
            del self.servers[ident]

    def _entry(self, now: float, entry: Told) -> None:
        ident, service, address, zone, capacity, draining, cold = entry
        server = self.servers.get(ident)
        if server is None or server.address != address:
            server = Server(ident, service, address, zone, capacity, Phase.READY, 0.0, now)
            self.servers[ident] = server
        elif server.phase is Phase.GONE and not draining:
            return  # an old list: this life has ended
        server.become(Phase(min(int(draining), 1)), now)
        server.cold_until = now + cold if cold > 0 else min(server.cold_until, now)
