"""The proxy (data plane): takes a request, admits it, has a server chosen, sends it on and relays the answer.

Reading and writing HTTP/1.1, connections of both sides and long bodies are the present program's
(`millfront.node`); decisions are taken in `admission`, `load_balancer` and `retries`. This module ties them
to the loop.
"""

import asyncio
import itertools
import random
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from millfront.control.configuration import Route
from millfront.dataplane.client_request import ATTEMPT_ID, Arrival, ClientRequest, Sending, promise
from millfront.dataplane.keyed_requests import KEY, KIND, KeyedRequests
from millfront.dataplane.load_balancer import LoadBalancer, ServerState
from millfront.dataplane.retries import RequestProgress, RetryBudget
from millfront.dataplane.router import Router
from millfront.invariants import Invariant
from millfront.node.bodies import (
    BODIES_MEMORY_DIVISOR,
    BODY_BUFFER_BYTES,
    RESPONSES_MEMORY_DIVISOR,
    BodySlots,
    BufferBudget,
)
from millfront.node.clients import VirtualServer
from millfront.node.config import Address
from millfront.node.endings import Ending
from millfront.node.host import Caller, Clock
from millfront.node.http import Fields, Message, end_to_end_fields
from millfront.node.members import Members, PoolMember
from millfront.node.stages import relay
from millfront.node.stages.send import Send, ServerSideFlow
from millfront.node.stages.take_in import RequestRejected
from millfront.quotas.requester import Decision, Outcome

if TYPE_CHECKING:
    from millfront.gatekeeper.node import Gatekeeper

DEADLINE = b"millfront-deadline-ms"
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
AGAIN_S = 0.4  # a client that comes to one that is out of touch with the register is told to wait so long
ADMIT_SHARE = 0.2  # of the target time that a request may wait for a token
AFTER_SPREAD = 0.3  # of Retry-After, so that those refused together don't come again together
FLOW = itertools.count(1)


class Proxy:
    """Clients' side and servers' side of one process."""

    def __init__(self, gatekeeper: "Gatekeeper", seed: int, now: Callable[[], float]) -> None:
        settings = gatekeeper.settings
        self.gatekeeper, self.now = gatekeeper, now
        self.random = random.Random(seed)
        self.load_balancer = LoadBalancer(settings.zone, settings.zones, seed)
        self.clock = Clock()
        sockets = max(64, settings.fd_limit - SPARE_SOCKETS)
        self.members = Members(self.clock, CONNECT_US, KEEPALIVE_US, sockets // 3)
        memory = settings.ram_mb * 1024 * 1024
        ways = BodySlots(max(4, memory // 2 // BODIES_MEMORY_DIVISOR // BODY_BUFFER_BYTES))
        self.send = Send(
            self.clock, self.members, Router(self), self.book, ways, self.begin, self.judge, self.fields
        )
        self.send.completion_timeout_s = 3.0
        self.send.partial_may_run = True  # servers begin work when they like
        self.server = VirtualServer(self.clock, self, self.take_in, self.admit, None, sockets * 2 // 3)
        self.server.buffer_budget = BufferBudget(memory // RESPONSES_MEMORY_DIVISOR)
        self.server.may_send_408 = lambda request: request.progress.promises()
        self.keyed = KeyedRequests(self, gatekeeper.operations.claims)
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.sizes: dict[str, float] = {}  # by route: bytes of an answer
        self.open = 0
        gatekeeper.relisted = self.relisted
        gatekeeper.changed = self.changed
        self.changed()  # what the disk had is in force already

    # ---- what the gatekeeper tells -------------------------------------------------------------------

    def relisted(self) -> None:
        """The servers have changed."""
        stopped = self.load_balancer.listed(self.gatekeeper.server_list.servers.values())
        for server in self.gatekeeper.server_list.servers.values():
            if server.ident not in stopped:
                known = self.members.get(server.ident)
                detail = f"{server.ident} is ready again"
                self.gatekeeper.invariants.check(
                    Invariant.SERVER_NOT_REVIVED, known is None or known.ready, detail
                )
                self.members.set_ready(server.ident, server.address, Address.parse(server.address, "address"))
        for ident in stopped:
            self.members.set_stopped(ident)
        self.share_cold()

    def share_cold(self) -> None:
        """A cold server's trickle is one process's, in its region where there is one: a duty by key."""
        now, gatekeeper = self.now(), self.gatekeeper
        mine = {}
        for ident, seen in self.load_balancer.seen.items():
            if self.load_balancer.cold(now, seen):
                region = self.load_balancer.zones.get(seen.server.zone, "")
                where = region if gatekeeper.membership.live(region) else None
                mine[ident] = gatekeeper.membership.owns(f"cold {ident}", where)
        self.load_balancer.cold_mine = mine

    def changed(self) -> None:
        """Another configuration or evacuation is in force."""
        was, self.load_balancer.evacuated = self.load_balancer.evacuated, frozenset(self.gatekeeper.evacuated)
        now = self.now()
        for zone in was - self.load_balancer.evacuated:  # its servers may have turned cold meanwhile
            for seen in self.load_balancer.seen.values():
                if seen.server.zone == zone and self.gatekeeper.configuration is not None:
                    service = self.gatekeeper.configuration.services.get(seen.server.service)
                    warmup = service.warmup if service is not None else 0.0
                    seen.server.cold_until = max(seen.server.cold_until, now + warmup)
                    seen.credited, seen.credit = now, 0.0
        self.share_cold()
        if (configuration := self.gatekeeper.configuration) is not None:
            idle = configuration.limits.idle_timeout
            self.server.idle_timeout_us = int(idle * 1e6)
            self.server.max_body = configuration.limits.max_body
            self.server.keep_alive = b"timeout=%d" % (idle - 1.0) if idle >= 2.0 else b""  # a second to spare
            self.server.request_read_timeout_us = int(configuration.limits.header_deadline * 1e6) + 300_000

    # ---- a request comes ---------------------------------------------------------------------------

    def take_in(self, message: Message, came_us: int) -> ClientRequest:
        """What decisions need of a request.

        :raises RequestRejected: it is not allowed, and why
        """
        configuration = self.gatekeeper.configuration
        if configuration is None:
            raise RequestRejected(503, "no configuration yet", AGAIN_S)
        assert isinstance(message.start, tuple)
        fields = dict(reversed(message.fields))  # of several of a name the first counts
        host = fields.get(b"host", b"").decode("latin-1").lower().partition(":")[0]
        path = message.start[1].partition(b"?")[0].decode("latin-1")
        route = configuration.route_of(host, path)
        if route is None:
            raise self._denied(404, "no such route")
        key = ""
        told = fields.get(b"authorization", b"").decode("latin-1")
        if told[:6].lower() == "token ":
            key = told[6:].strip()
        tenant = configuration.tenants.get(key) if key else None
        if tenant is None and configuration.tenants and not route.public:
            raise self._denied(401, "key not known")
        wait = route.deadline
        if (text := fields.get(DEADLINE)) is not None:
            if not text.isdigit():
                raise RequestRejected(400, "Millfront-Deadline-Ms: not a number")
            wait = min(wait, int(text) / 1e3)
        progress = RequestProgress(route.repeatable, route.max_tries)
        arrival = Arrival(message, max(1000, int(wait * 1e6)))
        attempt = fields.get(ATTEMPT_ID, b"")
        request = ClientRequest(
            arrival,
            attempt,
            route,
            "",
            host,
            path,
            key,
            tenant,
            came_us,
            progress,
            body_received=not message.body_incomplete,
        )
        if route.kind == KIND:
            request.operation_key = fields.get(KEY, b"")
        return request

    def _denied(self, status: int, why: str) -> RequestRejected:
        """What is held here does not allow it. A client tries no more after that: where a newer version may
        have been in force elsewhere for long, it is told to come again instead."""
        if self.gatekeeper.sure(self.now()):
            return RequestRejected(status, why)
        return RequestRejected(503, "out of touch with the registry", AGAIN_S)

    def admit(self, request: ClientRequest, caller: Caller) -> ClientRequest | None:
        """Refused at once, or on its way."""
        request.caller = caller
        now = self.now()
        self.open += 1
        if not self.gatekeeper.server_list.usable(now):
            self.refuse(request, 503, AGAIN_S)
            return None
        if request.tenant is not None:
            if not self.gatekeeper.trusted(now):
                self.refuse(request, 503, AGAIN_S)
                return None
            wait = ADMIT_SHARE * request.route.target_time
            then = partial(self._decided, request)
            decision = self.gatekeeper.admission.admit(now, request.tenant, wait, then)
            if decision is None:
                return request
            if not self._admitted(request, decision):
                return None
        self._start(request)
        return None if request.finished else request

    def _decided(self, request: ClientRequest, decision: Decision) -> None:
        """Of a request that waited for a token."""
        if request.finished:  # its client left meanwhile
            if decision.outcome is Outcome.ADMITTED and request.tenant is not None:
                self.gatekeeper.admission.give_back(request.tenant)
        elif self._admitted(request, decision):
            self._start(request)

    def _admitted(self, request: ClientRequest, decision: Decision) -> bool:
        """Whether its tenant's quota lets it in; if not, it is answered."""
        if decision.outcome is Outcome.ADMITTED:
            request.counted = True
            return True
        status = 429 if decision.outcome is Outcome.EXHAUSTED else 503
        self.refuse(request, status, decision.after_s * (1.0 + AFTER_SPREAD * self.random.random()))
        return False

    def _start(self, request: ClientRequest) -> None:
        """It is let in: on its way."""
        request.service = self._arm(request.route)
        self.retry_budget(request.service).request(self.now(), self.gatekeeper.membership.count())
        if request.operation_key:
            self.keyed.begin(request, request.operation_key)
        else:
            self.go(request)

    def _arm(self, route: Route) -> str:
        if len(route.split) == 1:
            return route.split[0][0]
        names, weights = zip(*route.split, strict=True)
        return str(self.random.choices(names, weights)[0])

    def retry_budget(self, service: str) -> RetryBudget:
        """The retry budget of a service; at its first use a new one with one try in it."""
        found = self.retry_budgets.get(service)
        if found is None:
            found = self.retry_budgets[service] = RetryBudget(self.gatekeeper.settings.bounds, self.now())
        return found

    def still_allowed(self, request: ClientRequest) -> bool:
        """Whether the configuration in force lets it go to the service it was meant for, with its key."""
        configuration = self.gatekeeper.configuration
        if configuration is None or request.finished:
            return not request.finished
        if request.tenant is not None:
            tenant = configuration.tenants.get(request.key)
            if tenant is None or tenant.name != request.tenant.name:
                request.revoked = True
                return False
            if not self.gatekeeper.trusted(self.now()):
                return False
        route = configuration.route_of(request.host, request.path)
        return route is not None and any(name == request.service for name, _ in route.split)

    def evacuated(self, flow: ServerSideFlow) -> bool:
        """Whether the zone of the server that was chosen is evacuated by now."""
        seen = flow.open_request.seen.get(flow.number)
        return seen is not None and seen.server.zone in self.load_balancer.evacuated

    # ---- tries ---------------------------------------------------------------------------------------

    def go(self, request: ClientRequest) -> None:
        """Send it to a server, hold it a moment where none takes it, or give up."""
        now, configuration = self.now(), self.gatekeeper.configuration
        assert configuration is not None
        route = configuration.route_of(request.host, request.path)
        if route is None or request.revoked:
            self.give_up(request)
            return
        if all(name != request.service for name, _ in route.split):
            request.service = self._arm(route)
        service = configuration.services.get(request.service)
        homes, possible = self.homes(request)
        if not possible:  # a home of the route and another of the tenant: no server may have it
            self.give_up(request)
            return
        seen = None
        if service is not None:
            size: float = (
                len(request.arrival.message.body)
                if request.body_received
                else (request.arrival.message.length or 100_000)
            )
            size += self.sizes.get(route.name, 1000.0)
            most_out = max(2, service.max_conns // max(1, self.gatekeeper.membership.count()))
            seen = self.load_balancer.pick(
                now, service, request.progress.repeatable, homes, size, request.progress.tried, most_out
            )
        if seen is None:
            self._hold(request)
            return
        number = next(FLOW)
        request.progress.sending(seen.server.ident)
        request.seen[number] = seen
        self.load_balancer.sent(now, seen, number)
        self.send(request, number, Sending(seen.server.ident))
        if request.progress.repeatable and not request.finished and request.timer is None:
            work = self.load_balancer.work.get(request.service, 0.3)
            after = max(COPY_SHARE * request.route.target_time, COPY_WORKS * work)
            request.timer = asyncio.get_running_loop().call_later(after, self._copy, request)

    def homes(self, request: ClientRequest) -> tuple[frozenset[str], bool]:
        """Regions in which it may be served and stored (none named: all), and whether there can be any."""
        homes = request.route.home_regions
        if request.tenant is not None and request.tenant.home_regions:
            homes = homes & request.tenant.home_regions if homes else request.tenant.home_regions
            return homes, bool(homes)
        return homes, True

    def _hold(self, request: ClientRequest) -> None:
        """No server takes it now."""
        if request.progress.out:
            return
        held_us = self.clock.now() - request.came_us
        if held_us < HOLD_SHARE * request.route.target_time * 1e6 and not request.revoked:
            if request.timer is not None:
                request.timer.cancel()
            request.timer = asyncio.get_running_loop().call_later(HOLD_S, self._again, request)
        else:
            self.give_up(request)

    def _again(self, request: ClientRequest) -> None:
        request.timer = None
        if not request.finished:
            self.go(request)

    def _copy(self, request: ClientRequest) -> None:
        """It is silent: a second server, where the retry budget allows a copy."""
        request.timer = None
        if (
            request.finished
            or request.streams >= 0
            or request.progress.out != 1
            or not request.progress.may_go_on()
        ):
            return
        if request.arrival.message.upload is not None:
            return  # one at a time takes what follows of a long body
        left_us = request.deadline_us - self.clock.now()
        if left_us > 100_000 and self.retry_budget(request.service).spend(
            self.now(), self.gatekeeper.membership.count(), True
        ):
            self.go(request)

    def judge(self, flow: ServerSideFlow, answer: Message) -> Ending:
        """What an answer's head means, before a byte of it goes to the client."""
        request: ClientRequest = flow.open_request
        fields = dict(reversed(answer.fields))
        seen = request.seen.get(flow.number)
        if fields.get(ATTEMPT_ID, b"") != request.attempt:
            return Ending.MALFORMED
        if seen is not None and (told := fields.get(LOAD)) is not None:
            self._reported(seen, told)
        status = answer.start
        assert isinstance(status, int)
        if NOT_RUN in fields or status == 421:
            if status == 421 and seen is not None:
                self.load_balancer.misdirected(seen)
            return Ending.NOT_STARTED
        if 200 <= status < 300:
            if SEAL not in fields or b"content-encoding" in fields:
                return Ending.MALFORMED
            return Ending.SERVED
        return Ending.ERRORED

    def _reported(self, seen: ServerState, told: bytes) -> None:
        try:
            running, waiting, slots = (int(part) for part in told.split(b","))
        except ValueError:
            return
        self.load_balancer.reported(self.now(), seen, running, waiting, slots)

    def fields(self, flow: ServerSideFlow, member: PoolMember, message: Message) -> Fields:
        """The header of a request as it goes to a server."""
        request: ClientRequest = flow.open_request
        left_ms = max(1, (flow.deadline_us - self.clock.now()) // 1000)
        fields = end_to_end_fields(message, *OWN_FIELDS)
        fields.append((b"Millfront-Deadline-Ms", b"%d" % left_ms))
        fields.append((b"Millfront-Target-Instance", str(member.id).encode()))
        if request.tenant is not None:
            fields.append((b"Millfront-Tenant-Name", request.tenant.name.encode()))
        return fields

    def begin(self, flow: ServerSideFlow) -> bool:
        """A long answer begins to go to the client."""
        request: ClientRequest = flow.open_request
        if request.finished or request.streams >= 0:
            return False
        request.streams = flow.number
        request.caller.begin_response(flow.answer, flow)
        return True

    def book(self, flow: ServerSideFlow, ending: Ending, answer: Message | None) -> None:
        """A try has ended."""
        request: ClientRequest = flow.open_request
        request.flows.pop(flow.number, None)
        now = self.now()
        seen = request.seen.pop(flow.number, None)
        request.progress.ended(ending)
        if seen is not None:
            self._learn(now, seen, flow.number, ending, request)
        if request.finished:
            self._end_of_left(request, ending, answer)
            return
        if request.streams not in (-1, flow.number):
            return  # another's answer is, or was, the client's
        if ending is Ending.SERVED:
            self._served(request, answer)
            return
        if request.streams == flow.number:
            self.keyed.unknown(request)
            self.finish(request)
            request.caller.abort_response()
            return
        if ending is Ending.ERRORED and (request.progress.repeatable or not promise(answer)):
            request.answer = answer
        if request.progress.out:
            return  # another one is under way
        self.next_try(request, ending)

    def _served(self, request: ClientRequest, answer: Message | None) -> None:
        """A server's success, whole (`answer`), or the end of one that went to the client as it came."""
        if answer is None or request.streams >= 0:
            self.keyed.unknown(request)
            self.finish(request)
            request.caller.served(answer)
            return
        size = self.sizes.get(request.route.name, 1000.0)
        self.sizes[request.route.name] = size + 0.05 * (len(answer.body) - size)
        self.keyed.answered(request, answer, lambda: self._deliver(request, answer))

    def _deliver(self, request: ClientRequest, answer: Message) -> None:
        if not request.finished:
            self.finish(request)
            request.caller.served(answer)

    def _end_of_left(self, request: ClientRequest, ending: Ending, answer: Message | None) -> None:
        """A try has ended whose client has gone: what became of its operation key is told all the same."""
        if request.claim is None or request.progress.out:
            return
        kept = answer if ending in (Ending.SERVED, Ending.ERRORED) and request.streams < 0 else None
        if kept is not None and not promise(kept):
            self.keyed.answered(request, kept, lambda: None)
        elif request.progress.promises():
            self.keyed.withdraw(request)
        else:
            self.keyed.unknown(request)

    def _learn(
        self, now: float, seen: ServerState, number: int, ending: Ending, request: ClientRequest
    ) -> None:
        took = self.load_balancer.ended(now, seen, number)
        member = self.members.get(seen.server.ident)
        seen.links = len(member.idle_connections) if member is not None else 0
        if ending in (Ending.SERVED, Ending.ERRORED):
            self.load_balancer.answered(now, seen, took, False)
        elif ending is Ending.NOT_STARTED:
            self.load_balancer.answered(now, seen, took, True)
        elif ending is Ending.CONNECT_FAILED:
            self.load_balancer.failed(now, seen, 3)
        elif ending in (Ending.BROKEN, Ending.MALFORMED, Ending.TIMED_OUT):
            self.load_balancer.failed(now, seen, 1)

    def next_try(self, request: ClientRequest, ending: Ending) -> None:
        """Nothing is under way any more, and no answer came."""
        message = request.arrival.message
        kept = message.upload is None or not message.upload.forwarded
        left_us = request.deadline_us - self.clock.now()
        free = ending in (Ending.CONNECT_FAILED, Ending.NOT_SENT)  # it did not arrive anywhere
        if kept and left_us > 50_000 and request.progress.may_go_on() and not request.revoked:
            if free and request.progress.arrivals == 0 and len(request.progress.tried) < 5:
                self.go(request)
                return
            if self.retry_budget(request.service).spend(self.now(), self.gatekeeper.membership.count()):
                self.go(request)
                return
        self.give_up(request)

    def give_up(self, request: ClientRequest) -> None:
        """The final answer is the system's own, or a server's error."""
        if request.progress.out:
            return  # a copy could not go: the one under way ends it
        if request.answer is not None:
            answer, request.answer = request.answer, None
            self.keyed.answered(request, answer, lambda: self._deliver(request, answer))
        elif request.progress.promises():
            self.keyed.withdraw(request)
            self.not_counted(request)
            if request.revoked and self.gatekeeper.sure(self.now()):
                self.refuse(request, 401, 0.0)
            else:
                self.refuse(request, 503, 0.15 + 0.25 * self.random.random())
        else:
            self.keyed.unknown(request)
            late = self.clock.now() >= request.deadline_us - 5_000
            self.refuse(request, 504 if late else 502, 0.0)

    def not_counted(self, request: ClientRequest) -> None:
        """It reaches no server: its tenant's quota gets back what it was let in for."""
        if request.counted and request.tenant is not None:
            request.counted = False
            self.gatekeeper.admission.give_back(request.tenant)

    def refuse(self, request: ClientRequest, status: int, after_s: float) -> None:
        """Answer with the gatekeeper's own status.

        :param after_s: seconds of ``Retry-After``; 0: the answer has none
        """
        fields: Fields = [(b"Retry-After", b"%.3f" % after_s)] if after_s > 0 else []
        self.finish(request)
        request.caller.send_response(relay.own_response(status, b"", fields))

    def finish(self, request: ClientRequest) -> None:
        """Its one answer is about to go out."""
        request.finished = True
        self.open -= 1
        if request.timer is not None:
            request.timer.cancel()
            request.timer = None

    # ---- what the clients' side tells ------------------------------------------------------------------

    def body_complete(self, request: ClientRequest) -> None:
        """The body's last byte has come."""
        request.body_received = True
        for flow in list(request.flows.values()):
            flow.body_complete()

    def client_left(self, request: ClientRequest) -> None:
        """The client went away. What may be repeated is given up; a request with an effect is left to end."""
        if request.finished:
            return
        self.finish(request)
        for flow in list(request.flows.values()):
            if request.progress.repeatable or not request.body_received:
                flow.cancel()
        held = request.claim is not None and request.claim.decided is None  # granted, and sent to none
        if held and not request.flows and request.progress.promises():
            self.keyed.withdraw(request)
