"""The carrier (data plane): takes a request, admits it, has a server chosen, sends it on and relays the
answer.

Reading and writing HTTP/1.1, connections of both sides and long bodies are the present program's
(`millfront.node`); what is decided is `franking`, `sorting` and `forwarding`. This module ties them to the
loop.
"""

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from millfront.control.configuration import Route, Tenant
from millfront.dataplane.load_balancer import Seen, Sorting
from millfront.dataplane.retries import Course, Purse
from millfront.gatekeeper.node import Office
from millfront.node.bodies import EACH, PART, ROOM_PART, Room, Ways
from millfront.node.clients import VirtualServer
from millfront.node.config import Address
from millfront.node.endings import Ended, Ending
from millfront.node.host import Caller, Clock
from millfront.node.http import Fields, Message, passed_on
from millfront.node.members import Members, PoolMember
from millfront.node.stages import relay
from millfront.node.stages.send import Send, ServerSideFlow
from millfront.node.stages.take_in import NotTaken

ID, DEADLINE = b"millfront-attempt-id", b"millfront-deadline-ms"
TENANT, TARGET = b"millfront-tenant-name", b"millfront-target-instance"
SEAL, NOT_RUN, LOAD = b"millfront-server-seal", b"millfront-not-executed", b"millfront-server-load"
OWN_FIELDS = (b"authorization", DEADLINE, TENANT, TARGET)
CONNECT_US = 350_000  # several ways there and back: a server that is dark says nothing
KEEPALIVE_US = 16_000_000  # halved by Members: below what servers let connections lie idle
HOLD_SHARE = 0.22  # of the target time that a request may wait for a server that takes it
HOLD_S = 0.04
COPY_SHARE = 0.5  # of the target time after which a repeatable request that is silent gets a second server
COPY_WORKS = 2.5  # and of its service's mean time
SPARE_SOCKETS = 300  # files, the system's own connections, operators and clients that ask where to go
AGAIN_S = 0.4  # a client that comes to one that is out of touch with the registry is told to wait so long
HURRY_S = 0.06  # clumps share a card
FLOW = itertools.count(1)


def promise(answer: Message | None) -> bool:
    """Whether to the client this says that it has not run and never will, which a server says by
    Millfront-Not-Executed alone."""
    return answer is not None and answer.start in (408, 429, 503)


@dataclass(frozen=True, slots=True)
class Arrival:
    """What the flows of the present program ask of a request."""

    message: Message
    timeout_us: int


@dataclass(frozen=True, slots=True)
class Sending:
    backend: str
    timeout_us: int = 0


@dataclass(slots=True, eq=False)
class Letter:
    """One client's request, open until its one answer."""

    arrival: Arrival
    attempt: bytes
    route: Route
    service: str
    host: str
    path: str
    key: str
    tenant: Tenant | None
    came_us: int
    course: Course
    caller: Any = None
    over: bool = False
    whole: bool = True
    streams: int = -1
    counted: bool = False
    flows: dict[int, ServerSideFlow] = field(default_factory=dict)
    seen: dict[int, Seen] = field(default_factory=dict)
    timer: asyncio.TimerHandle | None = None
    answer: Message | None = None  # a server's own error, to be relayed if nothing better comes
    revoked: bool = False

    @property
    def deadline_us(self) -> int:
        return self.came_us + self.arrival.timeout_us


class Road:
    """Route, for the flows: asked again just before a request is written."""

    def __init__(self, carrier: "Carrier") -> None:
        self.carrier = carrier

    def __call__(self, backend: Any) -> PoolMember:
        member = self.carrier.members.get(backend)
        if member is None:
            raise Ended(Ending.NOT_SENT, "no such server")
        self.check(member)
        return member

    def check(self, member: PoolMember, flow: Any = None) -> None:
        if not member.ready:
            raise Ended(Ending.NOT_SENT, f"{member.id} is draining or gone")
        if flow is None:
            return
        if not self.carrier.still_allowed(flow.opened):
            raise Ended(Ending.NOT_SENT, "not allowed any more")
        if self.carrier.evacuated(flow):
            raise Ended(Ending.NOT_SENT, f"the zone of {member.id} is evacuated")


class Carrier:
    """Clients' side and servers' side of one process."""

    def __init__(self, office: Office, seed: int, now: Callable[[], float]) -> None:
        settings = office.settings
        self.office, self.now = office, now
        self.random = random.Random(seed)
        self.sorting = Sorting(settings.zone, settings.zones, seed)
        self.clock = Clock()
        sockets = max(64, settings.fd_limit - SPARE_SOCKETS)
        self.members = Members(self.clock, CONNECT_US, KEEPALIVE_US, sockets // 3)
        memory = settings.ram_mb * 1024 * 1024
        ways = Ways(max(4, memory // 2 // PART // EACH))
        self.send = Send(
            self.clock, self.members, Road(self), self.book, ways, self.begin, self.judge, self.fields
        )
        self.send.rest_s = 3.0
        self.send.part_may_run = True  # servers begin work when they like
        self.server = VirtualServer(self.clock, self, self.take_in, self.admit, None, sockets * 2 // 3)
        self.server.room = Room(memory // ROOM_PART)
        self.server.may_promise = lambda letter: letter.course.promises()
        self.purses: dict[str, Purse] = {}
        self.sizes: dict[str, float] = {}  # by route: bytes of an answer
        self.open = 0
        self.hurries = False
        office.relisted = self.relisted
        office.changed = self.changed
        self.changed()  # what the disk had is in force already

    # ---- what the office tells -------------------------------------------------------------------

    def relisted(self) -> None:
        """The servers have changed."""
        stopped = self.sorting.listed(self.office.addresses.servers.values())
        for server in self.office.addresses.servers.values():
            if server.ident not in stopped:
                self.members.listed(server.ident, server.address, Address.parse(server.address, "address"))
        for ident in stopped:
            self.members.stopped(ident)
        self.share_cold()

    def share_cold(self) -> None:
        """A cold server's trickle is one process's, in its region where there is one: a duty by key."""
        now, office = self.now(), self.office
        mine = {}
        for ident, seen in self.sorting.seen.items():
            if self.sorting.cold(now, seen):
                region = self.sorting.zones.get(seen.server.zone, "")
                where = region if office.neighbours.live(region) else None
                mine[ident] = office.neighbours.has_duty(f"cold {ident}", where)
        self.sorting.cold_mine = mine

    def changed(self) -> None:
        """Another configuration or evacuation is in force."""
        was, self.sorting.evacuated = self.sorting.evacuated, frozenset(self.office.evacuated)
        now = self.now()
        for zone in was - self.sorting.evacuated:  # its servers may have turned cold meanwhile
            for seen in self.sorting.seen.values():
                if seen.server.zone == zone and self.office.orders is not None:
                    service = self.office.orders.services.get(seen.server.service)
                    warmup = service.warmup if service is not None else 0.0
                    seen.server.cold_until = max(seen.server.cold_until, now + warmup)
                    seen.credited, seen.credit = now, 0.0
        self.share_cold()
        if (orders := self.office.orders) is not None:
            idle = orders.limits.idle_timeout
            self.server.at_rest_us = int(idle * 1e6)
            self.server.most_body = orders.limits.max_body
            self.server.keep_alive = b"timeout=%d" % (idle - 1.0) if idle >= 2.0 else b""  # a second to spare
            self.server.partial_us = int(orders.limits.header_deadline * 1e6) + 300_000

    # ---- a request comes ---------------------------------------------------------------------------

    def take_in(self, message: Message, came_us: int) -> Letter:
        """What decisions need of a request.

        :raises NotTaken: it is not allowed, and why
        """
        orders = self.office.orders
        if orders is None:
            raise NotTaken(503, "no configuration yet", AGAIN_S)
        assert isinstance(message.start, tuple)
        fields = dict(reversed(message.fields))  # of several of a name the first counts
        host = fields.get(b"host", b"").decode("latin-1").lower().partition(":")[0]
        path = message.start[1].partition(b"?")[0].decode("latin-1")
        route = orders.route_of(host, path)
        if route is None:
            raise self._denied(404, "no such route")
        key = ""
        told = fields.get(b"authorization", b"").decode("latin-1")
        if told[:6].lower() == "token ":
            key = told[6:].strip()
        tenant = orders.tenants.get(key) if key else None
        if tenant is None and orders.tenants and not route.public:
            raise self._denied(401, "key not known")
        wait = route.deadline
        if (text := fields.get(DEADLINE)) is not None:
            if not text.isdigit():
                raise NotTaken(400, "Millfront-Deadline-Ms: not a number")
            wait = min(wait, int(text) / 1e3)
        course = Course(route.repeatable, route.max_tries)
        arrival = Arrival(message, max(1000, int(wait * 1e6)))
        attempt = fields.get(ID, b"")
        return Letter(
            arrival, attempt, route, "", host, path, key, tenant, came_us, course, whole=not message.more
        )

    def _denied(self, status: int, why: str) -> NotTaken:
        """What is held here does not allow it. A client tries no more after that: where a newer version may
        have been in force elsewhere for long, it is told to come again instead."""
        if self.office.sure(self.now()):
            return NotTaken(status, why)
        return NotTaken(503, "out of touch with the registry", AGAIN_S)

    def admit(self, letter: Letter, caller: Caller) -> Letter | None:
        """Refused at once, or on its way."""
        letter.caller = caller
        now = self.now()
        self.open += 1
        if letter.tenant is not None:
            if not self.office.trusted(now):
                self.refuse(letter, 503, AGAIN_S)
                return None
            wait = self.office.franking.admit(now, letter.tenant)
            if self.office.franking.hurry and not self.hurries:
                self.hurries = True
                asyncio.get_running_loop().call_later(HURRY_S, self._hurry)
            if wait:
                self.refuse(letter, 429, wait * (1.0 + 0.3 * self.random.random()))
                return None
            letter.counted = True
        letter.service = self._arm(letter.route)
        self.purse(letter.service).request(now, self.office.neighbours.count())
        self.go(letter)
        return None if letter.over else letter

    def _hurry(self) -> None:
        self.hurries = False
        self.office.hurry(self.now())

    def _arm(self, route: Route) -> str:
        if len(route.arms) == 1:
            return route.arms[0][0]
        names, weights = zip(*route.arms, strict=True)
        return str(self.random.choices(names, weights)[0])

    def purse(self, service: str) -> Purse:
        found = self.purses.get(service)
        if found is None:
            found = self.purses[service] = Purse(self.office.settings.bounds, self.now())
        return found

    def still_allowed(self, letter: Letter) -> bool:
        """Whether the configuration in force lets it go to the service it was meant for, with its key."""
        orders = self.office.orders
        if orders is None or letter.over:
            return not letter.over
        if letter.tenant is not None:
            tenant = orders.tenants.get(letter.key)
            if tenant is None or tenant.name != letter.tenant.name:
                letter.revoked = True
                return False
            if not self.office.trusted(self.now()):
                return False
        route = orders.route_of(letter.host, letter.path)
        return route is not None and any(name == letter.service for name, _ in route.arms)

    def evacuated(self, flow: ServerSideFlow) -> bool:
        """Whether the zone of the server that was chosen is evacuated by now."""
        seen = flow.opened.seen.get(flow.number)
        return seen is not None and seen.server.zone in self.sorting.evacuated

    # ---- tries ---------------------------------------------------------------------------------------

    def go(self, letter: Letter) -> None:
        """Send it to a server, hold it a moment where none takes it, or give up."""
        now, orders = self.now(), self.office.orders
        assert orders is not None
        route = orders.route_of(letter.host, letter.path)
        if route is None or letter.revoked:
            self.give_up(letter)
            return
        if all(name != letter.service for name, _ in route.arms):
            letter.service = self._arm(route)
        service = orders.services.get(letter.service)
        homes, possible = self._homes(letter)
        if not possible:  # a home of the route and another of the tenant: no server may have it
            self.give_up(letter)
            return
        seen = None
        if service is not None:
            size: float = (
                len(letter.arrival.message.body)
                if letter.whole
                else (letter.arrival.message.length or 100_000)
            )
            size += self.sizes.get(route.name, 1000.0)
            most_out = max(2, service.max_conns // max(1, self.office.neighbours.count()))
            seen = self.sorting.pick(
                now, service, letter.course.repeatable, homes, size, letter.course.tried, most_out
            )
        if seen is None:
            self._hold(letter)
            return
        number = next(FLOW)
        letter.course.sending(seen.server.ident)
        letter.seen[number] = seen
        self.sorting.sent(now, seen, number)
        self.send(letter, number, Sending(seen.server.ident))
        if letter.course.repeatable and not letter.over and letter.timer is None:
            work = self.sorting.work.get(letter.service, 0.3)
            after = max(COPY_SHARE * letter.route.target, COPY_WORKS * work)
            letter.timer = asyncio.get_running_loop().call_later(after, self._copy, letter)

    def _homes(self, letter: Letter) -> tuple[frozenset[str], bool]:
        homes = letter.route.homes
        if letter.tenant is not None and letter.tenant.homes:
            homes = homes & letter.tenant.homes if homes else letter.tenant.homes
            return homes, bool(homes)
        return homes, True

    def _hold(self, letter: Letter) -> None:
        """No server takes it now."""
        if letter.course.out:
            return
        held_us = self.clock.now() - letter.came_us
        if held_us < HOLD_SHARE * letter.route.target * 1e6 and not letter.revoked:
            if letter.timer is not None:
                letter.timer.cancel()
            letter.timer = asyncio.get_running_loop().call_later(HOLD_S, self._again, letter)
        else:
            self.give_up(letter)

    def _again(self, letter: Letter) -> None:
        letter.timer = None
        if not letter.over:
            self.go(letter)

    def _copy(self, letter: Letter) -> None:
        """It is silent: a second server, where the purse allows a copy."""
        letter.timer = None
        if letter.over or letter.streams >= 0 or letter.course.out != 1 or not letter.course.may_go_on():
            return
        if letter.arrival.message.upload is not None:
            return  # one at a time takes what follows of a long body
        left_us = letter.deadline_us - self.clock.now()
        if left_us > 100_000 and self.purse(letter.service).spend(
            self.now(), self.office.neighbours.count(), True
        ):
            self.go(letter)

    def judge(self, flow: ServerSideFlow, answer: Message) -> Ending:
        """What an answer's head means, before a byte of it goes to the client."""
        letter: Letter = flow.opened
        fields = dict(reversed(answer.fields))
        seen = letter.seen.get(flow.number)
        if fields.get(ID, b"") != letter.attempt:
            return Ending.MALFORMED
        if seen is not None and (told := fields.get(LOAD)) is not None:
            self._reported(seen, told)
        status = answer.start
        assert isinstance(status, int)
        if NOT_RUN in fields or status == 421:
            if status == 421 and seen is not None:
                self.sorting.misdirected(seen)
            return Ending.TURNED_AWAY
        if 200 <= status < 300:
            if SEAL not in fields or b"content-encoding" in fields:
                return Ending.MALFORMED
            return Ending.SERVED
        return Ending.ERRORED

    def _reported(self, seen: Seen, told: bytes) -> None:
        try:
            running, waiting, slots = (int(part) for part in told.split(b","))
        except ValueError:
            return
        self.sorting.reported(self.now(), seen, running, waiting, slots)

    def fields(self, flow: ServerSideFlow, member: PoolMember, message: Message) -> Fields:
        """The header of a request as it goes to a server."""
        letter: Letter = flow.opened
        left_ms = max(1, (flow.ends_us - self.clock.now()) // 1000)
        fields = passed_on(message, *OWN_FIELDS)
        fields.append((b"Millfront-Deadline-Ms", b"%d" % left_ms))
        fields.append((b"Millfront-Target-Instance", str(member.id).encode()))
        if letter.tenant is not None:
            fields.append((b"Millfront-Tenant-Name", letter.tenant.name.encode()))
        return fields

    def begin(self, flow: ServerSideFlow) -> bool:
        """A long answer begins to go to the client."""
        letter: Letter = flow.opened
        if letter.over or letter.streams >= 0:
            return False
        letter.streams = flow.number
        letter.caller.begin(flow.answer, flow)
        return True

    def book(self, flow: ServerSideFlow, ending: Ending, answer: Message | None) -> None:
        """A try has ended."""
        letter: Letter = flow.opened
        letter.flows.pop(flow.number, None)
        now = self.now()
        seen = letter.seen.pop(flow.number, None)
        letter.course.ended(ending)
        if seen is not None:
            self._learn(now, seen, flow.number, ending, letter)
        if letter.over or letter.streams not in (-1, flow.number):
            return  # another's answer is, or was, the client's
        if ending is Ending.SERVED:
            if answer is not None:
                size = self.sizes.get(letter.route.name, 1000.0)
                self.sizes[letter.route.name] = size + 0.05 * (len(answer.body) - size)
            self.finish(letter)
            letter.caller.served(answer)
            return
        if letter.streams == flow.number:
            self.finish(letter)
            letter.caller.cut()
            return
        if ending is Ending.ERRORED and (letter.course.repeatable or not promise(answer)):
            letter.answer = answer
        if letter.course.out:
            return  # another one is under way
        self.next_try(letter, ending)

    def _learn(self, now: float, seen: Seen, number: int, ending: Ending, letter: Letter) -> None:
        took = self.sorting.ended(now, seen, number)
        member = self.members.get(seen.server.ident)
        seen.links = len(member.idle) if member is not None else 0
        if ending in (Ending.SERVED, Ending.ERRORED):
            self.sorting.answered(now, seen, took, False)
        elif ending is Ending.TURNED_AWAY:
            self.sorting.answered(now, seen, took, True)
        elif ending is Ending.UNCONNECTED:
            self.sorting.failed(now, seen, 3)
        elif ending in (Ending.BROKEN, Ending.MALFORMED, Ending.TIMED_OUT):
            self.sorting.failed(now, seen, 1)

    def next_try(self, letter: Letter, ending: Ending) -> None:
        """Nothing is under way any more, and no answer came."""
        message = letter.arrival.message
        kept = message.upload is None or not message.upload.moved
        left_us = letter.deadline_us - self.clock.now()
        free = ending in (Ending.UNCONNECTED, Ending.NOT_SENT)  # it did not arrive anywhere
        if kept and left_us > 50_000 and letter.course.may_go_on() and not letter.revoked:
            if free and letter.course.arrivals == 0 and len(letter.course.tried) < 5:
                self.go(letter)
                return
            if self.purse(letter.service).spend(self.now(), self.office.neighbours.count()):
                self.go(letter)
                return
        self.give_up(letter)

    def give_up(self, letter: Letter) -> None:
        """The final answer is the system's own, or a server's error."""
        if letter.course.out:
            return  # a copy could not go: the one under way ends it
        if letter.answer is not None:
            self.finish(letter)
            answer, letter.answer = letter.answer, None
            letter.caller.served(answer)
        elif letter.course.promises():
            if letter.counted and letter.tenant is not None:
                self.office.franking.give_back(letter.tenant)
            if letter.revoked and self.office.sure(self.now()):
                self.refuse(letter, 401, 0.0)
            else:
                self.refuse(letter, 503, 0.15 + 0.25 * self.random.random())
        else:
            late = self.clock.now() >= letter.deadline_us - 5_000
            self.refuse(letter, 504 if late else 502, 0.0)

    def refuse(self, letter: Letter, status: int, after_s: float) -> None:
        fields: Fields = [(b"Retry-After", b"%.3f" % after_s)] if after_s > 0 else []
        self.finish(letter)
        letter.caller.give(relay.own(status, b"", fields))

    def finish(self, letter: Letter) -> None:
        """Its one answer is about to go out."""
        letter.over = True
        self.open -= 1
        if letter.timer is not None:
            letter.timer.cancel()
            letter.timer = None

    # ---- what the clients' side tells ------------------------------------------------------------------

    def whole(self, letter: Letter) -> None:
        """The body's last byte has come."""
        letter.whole = True
        for flow in list(letter.flows.values()):
            flow.whole()

    def leave(self, letter: Letter) -> None:
        """The client went away. What may be repeated is given up; an order is left to end."""
        if letter.over:
            return
        self.finish(letter)
        for flow in list(letter.flows.values()):
            if letter.course.repeatable or not letter.whole:
                flow.cancel()
