"""Obtains a token from the members of the core for each request of a limited tenant. No I/O, no clock.

Granters are tried one after another, nearest first, until one grants. One that reported itself empty is
skipped until it may have a token again; one that did not answer is skipped for a short while. A token's
lifetime starts when it is requested and is measured on this process's clock alone. Each tenant has at most
one token request in flight, on behalf of all its waiting requests. Times are seconds on the caller's steady
clock.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from millfront.quotas.granter import Grant
from millfront.quotas.messages import TokenReply, TokenRequest

NEAR_TIMEOUT_S, FAR_TIMEOUT_S = 0.03, 0.07  # reply time of a granter in this / another region
MAX_SENDS = 2  # of the same token request; resending is safe because a granter grants it only once
SILENT_BACKOFF_S = 0.5  # before a granter that did not answer is asked again
UNAVAILABLE_BACKOFF_S = 0.3  # before a granter that can't grant anything is asked again
SCARCITY_S = 1.0  # tokens count as scarce for this long after a granter was empty
IDLE_TIMEOUT_S = 30.0
ONE_TOKEN = 1.0 - 1e-9  # fractions of a token may not add up to exactly 1


class Outcome(Enum):
    """How a request was decided."""

    ADMITTED = "admitted"
    EXHAUSTED = "no granter has a token left"
    UNREACHABLE = "no granter answers, or none grants now"


@dataclass(frozen=True, slots=True)
class Decision:
    """The decision on one request; ``retry_after_s``: seconds until a refused request may be retried."""

    outcome: Outcome
    retry_after_s: float = 0.0


ADMITTED = Decision(Outcome.ADMITTED)
DecisionCallback = Callable[[Decision], None]


@dataclass(frozen=True, slots=True)
class GranterInfo:
    """A process that grants tokens."""

    name: str
    in_other_region: bool = False


class RequesterContext(Protocol):
    """What the requester needs from its process."""

    def granters(self) -> list[GranterInfo]:
        """All usable granters, nearest first."""

    def grant_locally(self, tenant: str, tokens: float) -> Grant | None:
        """Grant tokens from this process's own share; None if it can't grant anything now."""

    def send_request(self, name: str, request: TokenRequest) -> None:
        """Send a token request to a granter; it may be lost."""

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call `callback` after that many seconds."""

    def now_s(self) -> float:
        """The current time in seconds."""


@dataclass(slots=True)
class HeldTokens:
    """Tokens that may be used until they expire."""

    tokens: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request without a token yet, to be decided by its deadline."""

    callback: DecisionCallback
    deadline: float


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A token request in flight."""

    request_id: int
    tenant: str
    granter: str
    requested_at: float


@dataclass(slots=True)
class TenantState:
    """One tenant's tokens and waiting requests in this process."""

    last_used: float
    held: list[HeldTokens] = field(default_factory=list)
    waiting: deque[WaitingRequest] = field(default_factory=deque)
    pending: PendingRequest | None = None
    unanswered: dict[int, float] = field(default_factory=dict)  # by request id: when its tokens would expire
    empty_until: dict[str, float] = field(default_factory=dict)  # by granter
    scarce_until: float = -1e9

    def valid_tokens(self, now: float) -> float:
        """The number of held tokens that have not expired; drops the others."""
        self.held = [held for held in self.held if held.expires_at > now and held.tokens > 0.0]
        return sum(held.tokens for held in self.held)

    def late_reply_possible(self, now: float) -> bool:
        """Whether a granter that missed its reply time may still answer before its tokens expire."""
        return any(until > now for until in self.unanswered.values())

    def use_token(self) -> None:
        """Use one token, the earliest to expire first."""
        needed = 1.0
        for held in self.held:
            taken = min(held.tokens, needed)
            held.tokens -= taken
            needed -= taken


class TokenRequester:
    """Requests, holds and hands out the tokens of one process."""

    def __init__(
        self, context: RequesterContext, name: str, token_lifetime_s: float, first_request_id: int
    ) -> None:
        """:param first_request_id: random in each incarnation: replies to an earlier one are ignored"""
        self.context, self.name, self.token_lifetime_s = context, name, token_lifetime_s
        self._last_request_id = first_request_id
        self._tenants: dict[str, TenantState] = {}
        self._pending: dict[int, PendingRequest] = {}
        self._silent_until: dict[str, float] = {}
        self.token_requests_total = self.unanswered_total = 0
        self.outcomes = dict.fromkeys(Outcome, 0)

    def request(
        self, now: float, tenant: str, max_wait_s: float, prefetch: int, callback: DecisionCallback
    ) -> Decision | None:
        """Decide a client's request, which needs one token; None if it has to wait.

        :param max_wait_s: time within which it is decided
        :param prefetch: additional tokens to request for requests expected soon
        :param callback: called once with the decision if None is returned
        """
        state = self._tenants.get(tenant)
        if state is None:
            state = self._tenants[tenant] = TenantState(now)
        state.last_used = now
        if not state.waiting and state.valid_tokens(now) >= ONE_TOKEN:
            state.use_token()
            self.outcomes[Outcome.ADMITTED] += 1
            return ADMITTED
        decided: list[Decision] = []
        returned = False

        def decide(decision: Decision) -> None:
            self.outcomes[decision.outcome] += 1
            if returned:
                callback(decision)
            else:
                decided.append(decision)

        state.waiting.append(WaitingRequest(decide, now + max_wait_s))
        self._advance(now, tenant, state, prefetch)
        returned = True
        return decided[0] if decided else None

    def is_scarce(self, now: float, tenant: str) -> bool:
        """Whether a granter was empty within the last `SCARCITY_S`."""
        state = self._tenants.get(tenant)
        return state is not None and now < state.scarce_until

    def handle_reply(self, now: float, reply: TokenReply) -> None:
        """Handle a granter's reply; an unknown request id is ignored."""
        pending = self._pending.pop(reply.request_id, None)
        state = self._tenants.get(pending.tenant) if pending is not None else None
        if pending is None or state is None:
            return
        state.unanswered.pop(reply.request_id, None)
        self._apply_grant(
            now, state, pending, Grant(reply.tokens, reply.retry_after_s) if reply.available else None
        )
        if state.pending is pending:
            state.pending = None
        self._advance(now, pending.tenant, state)

    def tick(self, now: float) -> None:
        """Called every second: drop expired token requests and idle tenants."""
        expired = [
            request_id
            for request_id, pending in self._pending.items()
            if now - pending.requested_at > self.token_lifetime_s
        ]
        for request_id in expired:
            pending = self._pending.pop(request_id)
            if (state := self._tenants.get(pending.tenant)) is not None:
                state.unanswered.pop(request_id, None)
        for name, state in list(self._tenants.items()):
            if now - state.last_used > IDLE_TIMEOUT_S and not state.waiting:
                del self._tenants[name]

    # ---- one tenant ----------------------------------------------------------------------------------

    def _advance(self, now: float, tenant: str, state: TenantState, prefetch: int = 0) -> None:
        """Admit waiting requests, and request tokens from the next granter for the rest."""
        while True:
            self._admit(now, state)
            if not state.waiting or state.pending is not None:
                return
            granter = self._next_granter(now, state)
            if granter is None and state.late_reply_possible(now):
                self.context.call_later(state.waiting[0].deadline - now, lambda: self._on_deadline(tenant))
                return
            if granter is None:
                self._refuse_all(now, state)
                return
            missing = len(state.waiting) - state.valid_tokens(now) + prefetch
            if granter.name != self.name:
                self._request_tokens(now, tenant, state, granter, missing)
                return
            pending = PendingRequest(0, tenant, granter.name, now)
            self._apply_grant(now, state, pending, self.context.grant_locally(tenant, missing))

    def _admit(self, now: float, state: TenantState) -> None:
        held = state.valid_tokens(now)
        while state.waiting and held >= ONE_TOKEN:
            state.use_token()
            held -= 1.0
            state.waiting.popleft().callback(ADMITTED)
        while state.waiting and state.waiting[0].deadline <= now:
            state.waiting.popleft().callback(self._refusal(now, state))

    def _next_granter(self, now: float, state: TenantState) -> GranterInfo | None:
        for granter in self.context.granters():
            empty = state.empty_until.get(granter.name, 0.0) > now
            silent = self._silent_until.get(granter.name, 0.0) > now
            if not empty and not silent:
                return granter
        return None

    def _request_tokens(
        self, now: float, tenant: str, state: TenantState, granter: GranterInfo, tokens: float
    ) -> None:
        self._last_request_id += 1
        self.token_requests_total += 1
        pending = PendingRequest(self._last_request_id, tenant, granter.name, now)
        state.pending = self._pending[self._last_request_id] = pending
        state.unanswered[self._last_request_id] = now + self.token_lifetime_s
        self._send(
            pending,
            TokenRequest(self._last_request_id, tenant, tokens),
            FAR_TIMEOUT_S if granter.in_other_region else NEAR_TIMEOUT_S,
            1,
        )

    def _send(self, pending: PendingRequest, request: TokenRequest, timeout_s: float, sends: int) -> None:
        self.context.send_request(pending.granter, request)
        self.context.call_later(timeout_s, lambda: self._on_timeout(pending, request, timeout_s, sends))

    def _on_timeout(
        self, pending: PendingRequest, request: TokenRequest, timeout_s: float, sends: int
    ) -> None:
        """The granter has not answered in time: resend, or move on to the next granter."""
        state = self._tenants.get(pending.tenant)
        if state is None or state.pending is not pending:
            return
        if sends < MAX_SENDS:
            self._send(pending, request, timeout_s, sends + 1)
            return
        now = self.context.now_s()
        self.unanswered_total += 1
        self._silent_until[pending.granter] = now + SILENT_BACKOFF_S
        state.pending = None
        self._advance(now, pending.tenant, state)

    def _on_deadline(self, tenant: str) -> None:
        """The first waiting request has reached its deadline."""
        state = self._tenants.get(tenant)
        if state is not None:
            self._advance(self.context.now_s(), tenant, state)

    def _apply_grant(
        self, now: float, state: TenantState, pending: PendingRequest, grant: Grant | None
    ) -> None:
        self._silent_until.pop(pending.granter, None)
        if grant is None:
            state.empty_until[pending.granter] = now + UNAVAILABLE_BACKOFF_S
            return
        if grant.tokens > 0.0:
            state.held.append(HeldTokens(grant.tokens, pending.requested_at + self.token_lifetime_s))
        if grant.retry_after_s > 0.0:
            state.empty_until[pending.granter] = now + grant.retry_after_s
            state.scarce_until = now + SCARCITY_S

    def _refuse_all(self, now: float, state: TenantState) -> None:
        """Refuse all waiting requests: no granter is left to ask."""
        while state.waiting:
            state.waiting.popleft().callback(self._refusal(now, state))

    def _refusal(self, now: float, state: TenantState) -> Decision:
        outcome = Outcome.EXHAUSTED if now < state.scarce_until else Outcome.UNREACHABLE
        waits = [until - now for until in state.empty_until.values() if until > now]
        return Decision(outcome, max(0.05, min(waits, default=UNAVAILABLE_BACKOFF_S)))
