"""Gets a token for each request of a tenant with a limit, from the members of the core. No I/O, no clock.

The granters are asked one after another, the nearest first, until one grants; who has said that it is empty
is left out until it may have a token again, and who is silent for a moment. A token is void when its life is
over, which begins when it is asked for, on this process's clock alone. Of one tenant there is one question
under way at a time, for all of its requests that wait. Times are seconds on the caller's steady clock.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from millfront.quotas.granter import Grant
from millfront.quotas.messages import TokenReply, TokenRequest

NEAR_TIMEOUT_S, FAR_TIMEOUT_S = 0.03, 0.07  # in which a granter of this region, or of another one, answers
MAX_SENDS = 2  # a question is sent so often, the same one: it is granted once
SILENT_BACKOFF_S = 0.5  # a granter that has not answered is asked again after so long
UNAVAILABLE_BACKOFF_S = 0.3  # and one that grants nothing at all now
SCARCITY_S = 1.0  # after a granter was empty
IDLE_TIMEOUT_S = 30.0
ONE_TOKEN = 1.0 - 1e-9  # tokens that a request needs; parts of a token may not add up exactly


class Outcome(Enum):
    """What became of a request."""

    ADMITTED = "admitted"
    EXHAUSTED = "no granter has a token left"
    UNREACHABLE = "no granter answers, or none grants now"


@dataclass(frozen=True, slots=True)
class Decision:
    """Of one request; ``after_s``: when a refused one may come again, seconds."""

    outcome: Outcome
    retry_after_s: float = 0.0


ADMITTED = Decision(Outcome.ADMITTED)
DecisionCallback = Callable[[Decision], None]


@dataclass(frozen=True, slots=True)
class GranterInfo:
    """A process that grants. ``far``: it is in another region."""

    name: str
    in_other_region: bool = False


class RequesterContext(Protocol):
    """What the requester asks of its process."""

    def granters(self) -> list[GranterInfo]:
        """The granters, the nearest and soundest first."""

    def grant_locally(self, tenant: str, tokens: float) -> Grant | None:
        """This process's own grant; None: it grants nothing now."""

    def send_request(self, name: str, request: TokenRequest) -> None:
        """Send it a question, which may be lost."""

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call that after so long."""

    def now_s(self) -> float:
        """The time."""


@dataclass(slots=True)
class HeldTokens:
    """Tokens that may be used before a time."""

    tokens: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request without a token yet, which is answered by that time."""

    callback: DecisionCallback
    deadline: float


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request for tokens that is under way."""

    request_id: int
    tenant: str
    granter: str
    asked_at: float


@dataclass(slots=True)
class TenantState:
    """One tenant, as this process carries it."""

    last_used: float
    held: list[HeldTokens] = field(default_factory=list)
    waiting: deque[WaitingRequest] = field(default_factory=deque)
    pending: PendingRequest | None = None
    unanswered: dict[int, float] = field(default_factory=dict)  # questions, and until when a token would do
    empty_until: dict[str, float] = field(default_factory=dict)  # by granter
    scarce_until: float = -1e9

    def valid_tokens(self, now: float) -> float:
        """Tokens that are not void yet."""
        self.held = [held for held in self.held if held.expires_at > now and held.tokens > 0.0]
        return sum(held.tokens for held in self.held)

    def late_reply_possible(self, now: float) -> bool:
        """Whether a granter that was passed over, since it was silent, may still answer in time."""
        return any(until > now for until in self.unanswered.values())

    def use_token(self) -> None:
        """One token, of those that are void first."""
        needed = 1.0
        for held in self.held:
            taken = min(held.tokens, needed)
            held.tokens -= taken
            needed -= taken


class TokenRequester:
    """The tokens of one process."""

    def __init__(
        self, context: RequesterContext, name: str, token_lifetime_s: float, first_request_id: int
    ) -> None:
        """:param life_s: of a token
        :param first_ref: drawn anew in each incarnation: an answer to an earlier one is not taken"""
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
        """A request that needs a token.

        :param most_wait_s: it is decided within so long
        :param ahead: tokens that are asked for besides, for requests that will come soon
        :param then: called once with what became of it, where None is returned
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
        """Whether a granter was empty a moment ago."""
        state = self._tenants.get(tenant)
        return state is not None and now < state.scarce_until

    def handle_reply(self, now: float, reply: TokenReply) -> None:
        """A granter's answer."""
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
        """Each second: forget what is over."""
        expired = [
            request_id
            for request_id, pending in self._pending.items()
            if now - pending.asked_at > self.token_lifetime_s
        ]
        for request_id in expired:
            pending = self._pending.pop(request_id)
            if (state := self._tenants.get(pending.tenant)) is not None:
                state.unanswered.pop(request_id, None)
        for name, state in list(self._tenants.items()):
            if now - state.last_used > IDLE_TIMEOUT_S and not state.waiting:
                del self._tenants[name]

    # ---- the next step of one tenant -----------------------------------------------------------------

    def _advance(self, now: float, tenant: str, state: TenantState, prefetch: int = 0) -> None:
        """Admit who waits, and ask the next granter for the others."""
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
        """The granter has had its time."""
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
        """The first request that waits has waited for as long as it may."""
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
            state.held.append(HeldTokens(grant.tokens, pending.asked_at + self.token_lifetime_s))
        if grant.retry_after_s > 0.0:
            state.empty_until[pending.granter] = now + grant.retry_after_s
            state.scarce_until = now + SCARCITY_S

    def _refuse_all(self, now: float, state: TenantState) -> None:
        """Nobody is left to be asked."""
        while state.waiting:
            state.waiting.popleft().callback(self._refusal(now, state))

    def _refusal(self, now: float, state: TenantState) -> Decision:
        outcome = Outcome.EXHAUSTED if now < state.scarce_until else Outcome.UNREACHABLE
        waits = [until - now for until in state.empty_until.values() if until > now]
        return Decision(outcome, max(0.05, min(waits, default=UNAVAILABLE_BACKOFF_S)))
