"""The proxy: parses and admits a request, has a server chosen, forwards the request and relays the answer.

`millfront.node` reads and writes HTTP/1.1 and handles connections and long bodies; `admission`,
`load_balancer` and `retries` take the decisions. This module connects them to the event loop.
"""

import asyncio
import itertools
import random
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from millfront.control.configuration import Route
from millfront.dataplane.client_request import (
    ATTEMPT_ID,
    Arrival,
    AttemptTarget,
    ClientRequest,
    promises_not_run,
)
from millfront.dataplane.keyed_requests import KEYED_KIND, OPERATION_KEY, KeyedRequests
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
CONNECT_TIMEOUT_US = 350_000  # several round trips; an unreachable server does not answer at all
KEEPALIVE_US = 16_000_000  # halved by Members, to stay below the idle timeouts of servers
HOLD_SHARE = 0.22  # of the target time: the longest wait for a server that can take the request
HOLD_RETRY_S = 0.04
HEDGE_TARGET_SHARE = 0.5  # of the target time without an answer: a repeatable request is hedged
HEDGE_SERVICE_TIMES = 2.5  # but not before this many mean service times of its service
RESERVED_SOCKETS = 300  # for files, internal connections, operators and clients that resolve addresses
RETRY_AFTER_S = 0.4  # for clients while this process is out of touch with the register
SHUTDOWN_RETRY_AFTER_S = 0.05  # for clients that other gatekeepers can serve at once
ADMIT_SHARE = 0.2  # of the target time: the longest wait for a token
RETRY_AFTER_JITTER = 0.3  # of Retry-After, so that clients refused together don't return together
FLOW_NUMBERS = itertools.count(1)


class Proxy:
    """The client side and the server side of one process."""

    def __init__(self, gatekeeper: "Gatekeeper", seed: int, now: Callable[[], float]) -> None:
        settings = gatekeeper.settings
        self.gatekeeper, self.now = gatekeeper, now
        self.random = random.Random(seed)
        self.load_balancer = LoadBalancer(settings.zone, settings.zones, seed)
        self.clock = Clock()
        sockets = max(64, settings.fd_limit - RESERVED_SOCKETS)
        self.members = Members(self.clock, CONNECT_TIMEOUT_US, KEEPALIVE_US, sockets // 3)
        memory = settings.ram_mb * 1024 * 1024
        body_slots = BodySlots(max(4, memory // 2 // BODIES_MEMORY_DIVISOR // BODY_BUFFER_BYTES))
        self.send = Send(
            self.clock,
            self.members,
            Router(self),
            self.attempt_ended,
            body_slots,
            self.begin_stream,
            self.classify_response,
            self.server_fields,
        )
        self.send.completion_timeout_s = 3.0
        self.send.partial_may_run = True  # a server may run a request that it has received in part
        self.server = VirtualServer(self.clock, self, self.parse_request, self.admit, None, sockets * 2 // 3)
        self.server.buffer_budget = BufferBudget(memory // RESPONSES_MEMORY_DIVISOR)
        self.server.may_send_408 = lambda request: request.progress.known_not_run()
        self.keyed = KeyedRequests(self, gatekeeper.operations.claims)
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.answer_sizes: dict[str, float] = {}  # mean bytes of an answer, by route
        self.open_requests: set[ClientRequest] = set()  # admitted or waiting for that, and not yet answered
        self.admitting = True  # False: this process shuts down, and refuses all further requests
        gatekeeper.on_servers_changed = self.on_servers_changed
        gatekeeper.on_configuration_changed = self.on_configuration_changed
        self.on_configuration_changed()  # the configuration loaded from disk is already in force

    # ---- callbacks of the gatekeeper -----------------------------------------------------------------

    def on_servers_changed(self) -> None:
        """Apply a changed list of servers."""
        stopped = self.load_balancer.update_servers(self.gatekeeper.server_list.servers.values())
        for server in self.gatekeeper.server_list.servers.values():
            if server.ident not in stopped:
                known = self.members.get(server.ident)
                detail = f"server {server.ident} is ready again after it was draining or gone"
                self.gatekeeper.invariants.check(
                    Invariant.SERVER_NOT_REVIVED, known is None or known.ready, detail
                )
                self.members.set_ready(server.ident, server.address, Address.parse(server.address, "address"))
        for ident in stopped:
            self.members.set_stopped(ident)
        self.update_cold_owners()

    def update_cold_owners(self) -> None:
        """Only one process sends to a cold server: its owner by key, in the server's region if possible."""
        now, gatekeeper = self.now(), self.gatekeeper
        owned = {}
        for ident, server_state in self.load_balancer.server_states.items():
            if self.load_balancer.is_cold(now, server_state):
                region = self.load_balancer.zones.get(server_state.server.zone, "")
                scope = region if gatekeeper.membership.live(region) else None
                owned[ident] = gatekeeper.membership.owns(f"cold {ident}", scope)
        self.load_balancer.cold_owned = owned

    def on_configuration_changed(self) -> None:
        """Apply a changed configuration or set of evacuated zones."""
        previous, self.load_balancer.evacuated = (
            self.load_balancer.evacuated,
            frozenset(self.gatekeeper.evacuated),
        )
        configuration = self.gatekeeper.configuration
        if configuration is not None:
            for zone in previous - self.load_balancer.evacuated:
                self.load_balancer.assume_cold(self.now(), zone, configuration.services)
        self.update_cold_owners()
        if configuration is not None:
            idle = configuration.limits.idle_timeout
            self.server.idle_timeout_us = int(idle * 1e6)
            self.server.max_body = configuration.limits.max_body
            self.server.keep_alive = b"timeout=%d" % (idle - 1.0) if idle >= 2.0 else b""  # 1 s of margin
            self.server.request_read_timeout_us = int(configuration.limits.header_deadline * 1e6) + 300_000

    # ---- incoming requests -------------------------------------------------------------------------

    def parse_request(self, message: Message, arrived_us: int) -> ClientRequest:
        """Extract from a request what decisions need.

        :raises RequestRejected: the request is not allowed; with status and reason
        """
        configuration = self.gatekeeper.configuration
        if configuration is None:
            raise RequestRejected(503, "no configuration yet", RETRY_AFTER_S)
        assert isinstance(message.start, tuple)
        fields = dict(reversed(message.fields))  # the first field of a name counts
        host = fields.get(b"host", b"").decode("latin-1").lower().partition(":")[0]
        path = message.start[1].partition(b"?")[0].decode("latin-1")
        route = configuration.route_of(host, path)
        if route is None:
            raise self._denied(404, "no such route")
        key = ""
        authorization = fields.get(b"authorization", b"").decode("latin-1")
        if authorization[:6].lower() == "token ":
            key = authorization[6:].strip()
        tenant = configuration.tenants.get(key) if key else None
        if tenant is None and configuration.tenants and not route.public:
            raise self._denied(401, "key not known")
        timeout_s = route.deadline
        if (text := fields.get(DEADLINE)) is not None:
            if not text.isdigit():
                raise RequestRejected(400, "Millfront-Deadline-Ms: not a number")
            timeout_s = min(timeout_s, int(text) / 1e3)
        progress = RequestProgress(route.repeatable, route.max_tries)
        arrival = Arrival(message, max(1000, int(timeout_s * 1e6)))
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
            arrived_us,
            progress,
            body_received=not message.body_incomplete,
        )
        if route.kind == KEYED_KIND:
            request.operation_key = fields.get(OPERATION_KEY, b"")
        return request

    def _denied(self, status: int, reason: str) -> RequestRejected:
        """The rejection of a request that the configuration here does not allow. Clients take it as final, so
        if a newer version may have been in force elsewhere for long, the client is told to retry instead."""
        if self.gatekeeper.recent_enough(self.now()):
            return RequestRejected(status, reason)
        return RequestRejected(503, "out of touch with the registry", RETRY_AFTER_S)

    def admit(self, request: ClientRequest, caller: Caller) -> ClientRequest | None:
        """Start a request or refuse it; returns None if it is already answered."""
        request.caller = caller
        now = self.now()
        self.open_requests.add(request)
        if not self.admitting:
            self.refuse(request, 503, SHUTDOWN_RETRY_AFTER_S)
            return None
        if not self.gatekeeper.server_list.usable(now):
            self.refuse(request, 503, RETRY_AFTER_S)
            return None
        if request.tenant is not None:
            if not self.gatekeeper.trusted(now):
                self.refuse(request, 503, RETRY_AFTER_S)
                return None
            wait = ADMIT_SHARE * request.route.target_time
            callback = partial(self._on_quota_decision, request)
            decision = self.gatekeeper.admission.admit(now, request.tenant, wait, callback)
            if decision is None:
                return request
            if not self._apply_quota_decision(request, decision):
                return None
        self._start(request)
        return None if request.finished else request

    def _on_quota_decision(self, request: ClientRequest, decision: Decision) -> None:
        """Handle the decision on a request that waited for a token."""
        if request.finished:  # its client has disconnected
            if decision.outcome is Outcome.ADMITTED and request.tenant is not None:
                self.gatekeeper.admission.refund(request.tenant)
        elif self._apply_quota_decision(request, decision):
            self._start(request)

    def _apply_quota_decision(self, request: ClientRequest, decision: Decision) -> bool:
        """Count a request that its tenant's quota admits, refuse others; returns whether it is admitted."""
        if decision.outcome is Outcome.ADMITTED:
            request.quota_counted = True
            return True
        status = 429 if decision.outcome is Outcome.EXHAUSTED else 503
        self.refuse(
            request, status, decision.retry_after_s * (1.0 + RETRY_AFTER_JITTER * self.random.random())
        )
        return False

    def _start(self, request: ClientRequest) -> None:
        """Start forwarding an admitted request."""
        request.service = self._choose_service(request.route)
        self.retry_budget(request.service).record_request(self.now(), self.gatekeeper.membership.count())
        if request.operation_key:
            self.keyed.begin(request, request.operation_key)
        else:
            self.dispatch(request)

    def _choose_service(self, route: Route) -> str:
        if len(route.split) == 1:
            return route.split[0][0]
        names, weights = zip(*route.split, strict=True)
        return str(self.random.choices(names, weights)[0])

    def retry_budget(self, service: str) -> RetryBudget:
        """The retry budget of a service, created at its first use with one token in it."""
        found = self.retry_budgets.get(service)
        if found is None:
            found = self.retry_budgets[service] = RetryBudget(self.gatekeeper.settings.bounds, self.now())
        return found

    def still_allowed(self, request: ClientRequest) -> bool:
        """Whether the configuration in force still allows the request's key and its chosen service."""
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

    def in_evacuated_zone(self, flow: ServerSideFlow) -> bool:
        """Whether the chosen server's zone is being evacuated."""
        server_state = flow.open_request.server_states.get(flow.number)
        return server_state is not None and server_state.server.zone in self.load_balancer.evacuated

    # ---- attempts ------------------------------------------------------------------------------------

    def dispatch(self, request: ClientRequest) -> None:
        """Send the request to a server; hold it for a moment if none can take it, or give up."""
        now, configuration = self.now(), self.gatekeeper.configuration
        assert configuration is not None
        route = configuration.route_of(request.host, request.path)
        if route is None or request.revoked:
            self.give_up(request)
            return
        if all(name != request.service for name, _ in route.split):
            request.service = self._choose_service(route)
        service = configuration.services.get(request.service)
        homes, possible = self.homes(request)
        if not possible:  # the homes of route and tenant don't overlap: no server may have it
            self.give_up(request)
            return
        server_state = None
        if service is not None:
            size: float = (
                len(request.arrival.message.body)
                if request.body_received
                else (request.arrival.message.length or 100_000)
            )
            size += self.answer_sizes.get(route.name, 1000.0)
            max_in_flight = max(2, service.max_conns // max(1, self.gatekeeper.membership.count()))
            server_state = self.load_balancer.pick(
                now, service, request.progress.repeatable, homes, size, request.progress.tried, max_in_flight
            )
        if server_state is None:
            self._hold(request)
            return
        number = next(FLOW_NUMBERS)
        request.progress.attempt_started(server_state.server.ident)
        request.server_states[number] = server_state
        self.load_balancer.record_sent(now, server_state, number)
        self.send(request, number, AttemptTarget(server_state.server.ident))
        if request.progress.repeatable and not request.finished and request.timer is None:
            service_time = self.load_balancer.service_times.get(request.service, 0.3)
            after = max(HEDGE_TARGET_SHARE * request.route.target_time, HEDGE_SERVICE_TIMES * service_time)
            request.timer = asyncio.get_running_loop().call_later(after, self._hedge, request)

    def homes(self, request: ClientRequest) -> tuple[frozenset[str], bool]:
        """Regions in which it may be served and stored (empty: all), and whether any region is possible."""
        homes = request.route.home_regions
        if request.tenant is not None and request.tenant.home_regions:
            homes = homes & request.tenant.home_regions if homes else request.tenant.home_regions
            return homes, bool(homes)
        return homes, True

    def _hold(self, request: ClientRequest) -> None:
        """No server can take the request now: retry soon, or give up."""
        if request.progress.in_flight:
            return
        held_us = self.clock.now() - request.arrived_us
        if held_us < HOLD_SHARE * request.route.target_time * 1e6 and not request.revoked:
            if request.timer is not None:
                request.timer.cancel()
            request.timer = asyncio.get_running_loop().call_later(HOLD_RETRY_S, self._retry_held, request)
        else:
            self.give_up(request)

    def _retry_held(self, request: ClientRequest) -> None:
        request.timer = None
        if not request.finished:
            self.dispatch(request)

    def _hedge(self, request: ClientRequest) -> None:
        """Send an unanswered request to a second server if the retry budget allows it."""
        request.timer = None
        if (
            request.finished
            or request.streaming_flow >= 0
            or request.progress.in_flight != 1
            or not request.progress.may_retry()
        ):
            return
        if request.arrival.message.upload is not None:
            return  # only one attempt at a time can read the rest of a long body
        left_us = request.deadline_us - self.clock.now()
        if left_us > 100_000 and self.retry_budget(request.service).spend(
            self.now(), self.gatekeeper.membership.count(), True
        ):
            self.dispatch(request)

    def classify_response(self, flow: ServerSideFlow, answer: Message) -> Ending:
        """Classify an answer by its head, before any byte of it goes to the client."""
        request: ClientRequest = flow.open_request
        fields = dict(reversed(answer.fields))
        server_state = request.server_states.get(flow.number)
        if fields.get(ATTEMPT_ID, b"") != request.attempt_id:
            return Ending.MALFORMED
        if server_state is not None and (load := fields.get(LOAD)) is not None:
            self._record_load(server_state, load)
        status = answer.start
        assert isinstance(status, int)
        if NOT_RUN in fields or status == 421:
            if status == 421 and server_state is not None:
                self.load_balancer.record_misdirected(server_state)
            return Ending.NOT_STARTED
        if 200 <= status < 300:
            if SEAL not in fields or b"content-encoding" in fields:
                return Ending.MALFORMED
            return Ending.SERVED
        return Ending.ERRORED

    def _record_load(self, server_state: ServerState, report: bytes) -> None:
        try:
            running, waiting, slots = (int(part) for part in report.split(b","))
        except ValueError:
            return
        self.load_balancer.record_load(self.now(), server_state, running, waiting, slots)

    def server_fields(self, flow: ServerSideFlow, member: PoolMember, message: Message) -> Fields:
        """The header fields of a request as sent to a server."""
        request: ClientRequest = flow.open_request
        left_ms = max(1, (flow.deadline_us - self.clock.now()) // 1000)
        fields = end_to_end_fields(message, *OWN_FIELDS)
        fields.append((b"Millfront-Deadline-Ms", b"%d" % left_ms))
        fields.append((b"Millfront-Target-Instance", str(member.id).encode()))
        if request.tenant is not None:
            fields.append((b"Millfront-Tenant-Name", request.tenant.name.encode()))
        return fields

    def begin_stream(self, flow: ServerSideFlow) -> bool:
        """Start streaming a long answer to the client; returns False if the client has an answer already."""
        request: ClientRequest = flow.open_request
        if request.finished or request.streaming_flow >= 0:
            return False
        request.streaming_flow = flow.number
        request.caller.begin_response(flow.response, flow)
        return True

    def attempt_ended(self, flow: ServerSideFlow, ending: Ending, answer: Message | None) -> None:
        """Handle the end of an attempt."""
        request: ClientRequest = flow.open_request
        request.flows.pop(flow.number, None)
        now = self.now()
        server_state = request.server_states.pop(flow.number, None)
        request.progress.attempt_ended(ending)
        if server_state is not None:
            self._update_load_balancer(now, server_state, flow.number, ending, request)
        if request.finished:
            self._ended_after_client_left(request, ending, answer)
            return
        if request.streaming_flow not in (-1, flow.number):
            return  # the client gets, or got, another attempt's answer
        if ending is Ending.SERVED:
            self._on_success(request, answer)
            return
        if request.streaming_flow == flow.number:
            self.keyed.complete_unknown(request)
            self.finish(request)
            request.caller.abort_response()
            return
        if ending is Ending.ERRORED and (request.progress.repeatable or not promises_not_run(answer)):
            request.fallback_answer = answer
        if request.progress.in_flight:
            return  # another attempt is in flight
        self.next_attempt(request, ending)

    def _on_success(self, request: ClientRequest, answer: Message | None) -> None:
        """Handle a server's success: a whole `answer`, or the end of one streamed to the client."""
        if answer is None or request.streaming_flow >= 0:
            self.keyed.complete_unknown(request)
            self.finish(request)
            request.caller.served(answer)
            return
        size = self.answer_sizes.get(request.route.name, 1000.0)
        self.answer_sizes[request.route.name] = size + 0.05 * (len(answer.body) - size)
        self.keyed.complete(request, answer, lambda: self._deliver(request, answer))

    def _deliver(self, request: ClientRequest, answer: Message) -> None:
        if not request.finished:
            self.finish(request)
            request.caller.served(answer)

    def _ended_after_client_left(
        self, request: ClientRequest, ending: Ending, answer: Message | None
    ) -> None:
        """Handle the end of an attempt whose client has disconnected: its operation key is still settled."""
        if request.claim is None or request.progress.in_flight:
            return
        kept = answer if ending in (Ending.SERVED, Ending.ERRORED) and request.streaming_flow < 0 else None
        if kept is not None and not promises_not_run(kept):
            self.keyed.complete(request, kept, lambda: None)
        elif request.progress.known_not_run():
            self.keyed.withdraw(request)
        else:
            self.keyed.complete_unknown(request)

    def _update_load_balancer(
        self, now: float, server_state: ServerState, number: int, ending: Ending, request: ClientRequest
    ) -> None:
        elapsed_s = self.load_balancer.record_ended(now, server_state, number)
        member = self.members.get(server_state.server.ident)
        server_state.idle_connections = len(member.idle_connections) if member is not None else 0
        if ending in (Ending.SERVED, Ending.ERRORED):
            self.load_balancer.record_answer(now, server_state, elapsed_s, False)
        elif ending is Ending.NOT_STARTED:
            self.load_balancer.record_answer(now, server_state, elapsed_s, True)
        elif ending is Ending.CONNECT_FAILED:
            self.load_balancer.record_failure(now, server_state, 3)
        elif ending in (Ending.BROKEN, Ending.MALFORMED, Ending.TIMED_OUT):
            self.load_balancer.record_failure(now, server_state, 1)

    def next_attempt(self, request: ClientRequest, ending: Ending) -> None:
        """Retry or give up after the last attempt in flight ended without an answer."""
        message = request.arrival.message
        kept = message.upload is None or not message.upload.forwarded
        left_us = request.deadline_us - self.clock.now()
        never_arrived = ending in (Ending.CONNECT_FAILED, Ending.NOT_SENT)  # at any server
        if kept and left_us > 50_000 and request.progress.may_retry() and not request.revoked:
            if never_arrived and request.progress.arrivals == 0 and len(request.progress.tried) < 5:
                self.dispatch(request)
                return
            if self.retry_budget(request.service).spend(self.now(), self.gatekeeper.membership.count()):
                self.dispatch(request)
                return
        self.give_up(request)

    def give_up(self, request: ClientRequest) -> None:
        """Answer with a server's error, or with an error of the gatekeeper."""
        if request.progress.in_flight:
            return  # a hedge could not be sent: the attempt in flight decides
        if request.fallback_answer is not None:
            answer, request.fallback_answer = request.fallback_answer, None
            self.keyed.complete(request, answer, lambda: self._deliver(request, answer))
        elif request.progress.known_not_run():
            self.keyed.withdraw(request)
            self.refund_quota(request)
            if request.revoked and self.gatekeeper.recent_enough(self.now()):
                self.refuse(request, 401, 0.0)
            else:
                self.refuse(request, 503, 0.15 + 0.25 * self.random.random())
        else:
            self.keyed.complete_unknown(request)
            late = self.clock.now() >= request.deadline_us - 5_000
            self.refuse(request, 504 if late else 502, 0.0)

    def give_up_waiting(self) -> None:
        """Answer every request that no server is at work on, because this process is about to exit."""
        self.keyed.claims.stop_all_waiting()
        for request in list(self.open_requests):
            self.give_up(request)

    def refund_quota(self, request: ClientRequest) -> None:
        """Uncount the request in its tenant's quota, because it reaches no server."""
        if request.quota_counted and request.tenant is not None:
            request.quota_counted = False
            self.gatekeeper.admission.refund(request.tenant)

    def refuse(self, request: ClientRequest, status: int, retry_after_s: float) -> None:
        """Answer with a status of the gatekeeper.

        :param retry_after_s: seconds of ``Retry-After``; 0 for none
        """
        fields: Fields = [(b"Retry-After", b"%.3f" % retry_after_s)] if retry_after_s > 0 else []
        self.finish(request)
        request.caller.send_response(relay.own_response(status, b"", fields))

    def finish(self, request: ClientRequest) -> None:
        """Mark the request as answered; its only answer is about to be sent."""
        request.finished = True
        self.open_requests.discard(request)
        if request.timer is not None:
            request.timer.cancel()
            request.timer = None

    # ---- callbacks of the client side ------------------------------------------------------------------

    def body_complete(self, request: ClientRequest) -> None:
        """The last byte of the body has arrived."""
        request.body_received = True
        for flow in list(request.flows.values()):
            flow.body_complete()

    def client_left(self, request: ClientRequest) -> None:
        """The client disconnected: cancel a repeatable or incomplete request, let others run to their end."""
        if request.finished:
            return
        self.finish(request)
        for flow in list(request.flows.values()):
            if request.progress.repeatable or not request.body_received:
                flow.cancel()
        # The claim is granted, but the request was not sent to any server
        held = request.claim is not None and request.claim.on_decision is None
        if held and not request.flows and request.progress.known_not_run():
            self.keyed.withdraw(request)
