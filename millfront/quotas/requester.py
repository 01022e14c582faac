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

NEAR_S, FAR_S = 0.03, 0.07  # in which a granter of this region, or of another one, answers
TRIES = 2  # a question is sent so often, the same one: it is granted once
SILENT_S = 0.5  # a granter that has not answered is asked again after so long
UNAVAILABLE_S = 0.3  # and one that grants nothing at all now
SCARCE_S = 1.0  # after a granter was empty
IDLE_S = 30.0
WHOLE = 1.0 - 1e-9  # tokens that a request needs; parts of a token may not add up exactly


class Outcome(Enum):
    """What became of a request."""

    ADMITTED = "admitted"
    EXHAUSTED = "no granter has a token left"
    UNREACHABLE = "no granter answers, or none grants now"


@dataclass(frozen=True, slots=True)
class Decision:
    """Of one request; ``after_s``: when a refused one may come again, seconds."""

    outcome: Outcome
    after_s: float = 0.0


ADMITTED = Decision(Outcome.ADMITTED)
Then = Callable[[Decision], None]


@dataclass(frozen=True, slots=True)
class Owner:
    """A process that grants. ``far``: it is in another region."""

    name: str
    far: bool = False


class Owners(Protocol):
    """What the requester asks of its process."""

    def owners(self) -> list[Owner]:
        """The granters, the nearest and soundest first."""

    def grant_here(self, tenant: str, tokens: float) -> Grant | None:
        """This process's own grant; None: it grants nothing now."""

    def to_owner(self, name: str, request: TokenRequest) -> None:
        """Send it a question, which may be lost."""

    def later(self, seconds: float, then: Callable[[], None]) -> None:
        """Call that after so long."""

    def now_s(self) -> float:
        """The time."""


@dataclass(slots=True)
class HeldTokens:
    """Tokens that may be used before a time."""

    tokens: float
    until: float


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request without a token yet, which is answered by that time."""

    then: Then
    until: float


@dataclass(frozen=True, slots=True)
class Question:
    """A request for tokens that is under way."""

    ref: int
    tenant: str
    owner: str
    asked_at: float


@dataclass(slots=True)
class TenantState:
    """One tenant, as this process carries it."""

    used: float
    held: list[HeldTokens] = field(default_factory=list)
    waiting: deque[WaitingRequest] = field(default_factory=deque)
    question: Question | None = None
    unanswered: dict[int, float] = field(default_factory=dict)  # questions, and until when a token would do
    empty_until: dict[str, float] = field(default_factory=dict)  # by granter
    scarce_until: float = -1e9

    def held_now(self, now: float) -> float:
        """Tokens that are not void yet."""
        self.held = [held for held in self.held if held.until > now and held.tokens > 0.0]
        return sum(held.tokens for held in self.held)

    def answer_may_come(self, now: float) -> bool:
        """Whether a granter that was passed over, since it was silent, may still answer in time."""
        return any(until > now for until in self.unanswered.values())

    def use(self) -> None:
        """One token, of those that are void first."""
        needed = 1.0
        for held in self.held:
            taken = min(held.tokens, needed)
            held.tokens -= taken
            needed -= taken


class TokenRequester:
    """The tokens of one process."""

    def __init__(self, process: Owners, name: str, life_s: float, first_ref: int) -> None:
        """:param life_s: of a token
        :param first_ref: drawn anew in each incarnation: an answer to an earlier one is not taken"""
        self.process, self.name, self.life_s = process, name, life_s
        self._ref = first_ref
        self._tenants: dict[str, TenantState] = {}
        self._questions: dict[int, Question] = {}
        self._silent_until: dict[str, float] = {}
        self.questions_total = self.silent_total = 0
        self.outcomes = dict.fromkeys(Outcome, 0)

    def request(self, now: float, tenant: str, most_wait_s: float, ahead: int, then: Then) -> Decision | None:
        """A request that needs a token.

        :param most_wait_s: it is decided within so long
        :param ahead: tokens that are asked for besides, for requests that will come soon
        :param then: called once with what became of it, where None is returned
        """
        state = self._tenants.get(tenant)
        if state is None:
            state = self._tenants[tenant] = TenantState(now)
        state.used = now
        if not state.waiting and state.held_now(now) >= WHOLE:
            state.use()
            self.outcomes[Outcome.ADMITTED] += 1
            return ADMITTED
        decided: list[Decision] = []
        returned = False

        def tell(decision: Decision) -> None:
            self.outcomes[decision.outcome] += 1
            if returned:
                then(decision)
            else:
                decided.append(decision)

        state.waiting.append(WaitingRequest(tell, now + most_wait_s))
        self._go_on(now, tenant, state, ahead)
        returned = True
        return decided[0] if decided else None

    def scarce(self, now: float, tenant: str) -> bool:
        """Whether a granter was empty a moment ago."""
        state = self._tenants.get(tenant)
        return state is not None and now < state.scarce_until

    def take(self, now: float, reply: TokenReply) -> None:
        """A granter's answer."""
        question = self._questions.pop(reply.ref, None)
        state = self._tenants.get(question.tenant) if question is not None else None
        if question is None or state is None:
            return
        state.unanswered.pop(reply.ref, None)
        self._answered(now, state, question, Grant(reply.tokens, reply.after_s) if reply.available else None)
        if state.question is question:
            state.question = None
        self._go_on(now, question.tenant, state)

    def tick(self, now: float) -> None:
        """Each second: forget what is over."""
        void = [ref for ref, question in self._questions.items() if now - question.asked_at > self.life_s]
        for ref in void:
            question = self._questions.pop(ref)
            if (state := self._tenants.get(question.tenant)) is not None:
                state.unanswered.pop(ref, None)
        for name, state in list(self._tenants.items()):
            if now - state.used > IDLE_S and not state.waiting:
                del self._tenants[name]

    # ---- the next step of one tenant -----------------------------------------------------------------

    def _go_on(self, now: float, tenant: str, state: TenantState, ahead: int = 0) -> None:
        """Admit who waits, and ask the next granter for the others."""
        while True:
            self._admit(now, state)
            if not state.waiting or state.question is not None:
                return
            owner = self._next_owner(now, state)
            if owner is None and state.answer_may_come(now):
                self.process.later(state.waiting[0].until - now, lambda: self._expire(tenant))
                return
            if owner is None:
                self._refuse(now, state)
                return
            missing = len(state.waiting) - state.held_now(now) + ahead
            if owner.name != self.name:
                self._ask(now, tenant, state, owner, missing)
                return
            question = Question(0, tenant, owner.name, now)
            self._answered(now, state, question, self.process.grant_here(tenant, missing))

    def _admit(self, now: float, state: TenantState) -> None:
        held = state.held_now(now)
        while state.waiting and held >= WHOLE:
            state.use()
            held -= 1.0
            state.waiting.popleft().then(ADMITTED)
        while state.waiting and state.waiting[0].until <= now:
            state.waiting.popleft().then(self._refusal(now, state))

    def _next_owner(self, now: float, state: TenantState) -> Owner | None:
        for owner in self.process.owners():
            empty = state.empty_until.get(owner.name, 0.0) > now
            silent = self._silent_until.get(owner.name, 0.0) > now
            if not empty and not silent:
                return owner
        return None

    def _ask(self, now: float, tenant: str, state: TenantState, owner: Owner, tokens: float) -> None:
        self._ref += 1
        self.questions_total += 1
        question = Question(self._ref, tenant, owner.name, now)
        state.question = self._questions[self._ref] = question
        state.unanswered[self._ref] = now + self.life_s
        self._send(question, TokenRequest(self._ref, tenant, tokens), FAR_S if owner.far else NEAR_S, 1)

    def _send(self, question: Question, request: TokenRequest, answers_s: float, tries: int) -> None:
        self.process.to_owner(question.owner, request)
        self.process.later(answers_s, lambda: self._waited(question, request, answers_s, tries))

    def _waited(self, question: Question, request: TokenRequest, answers_s: float, tries: int) -> None:
        """The granter has had its time."""
        state = self._tenants.get(question.tenant)
        if state is None or state.question is not question:
            return
        if tries < TRIES:
            self._send(question, request, answers_s, tries + 1)
            return
        now = self.process.now_s()
        self.silent_total += 1
        self._silent_until[question.owner] = now + SILENT_S
        state.question = None
        self._go_on(now, question.tenant, state)

    def _expire(self, tenant: str) -> None:
        """The first request that waits has waited for as long as it may."""
        state = self._tenants.get(tenant)
        if state is not None:
            self._go_on(self.process.now_s(), tenant, state)

    def _answered(self, now: float, state: TenantState, question: Question, grant: Grant | None) -> None:
        self._silent_until.pop(question.owner, None)
        if grant is None:
            state.empty_until[question.owner] = now + UNAVAILABLE_S
            return
        if grant.tokens > 0.0:
            state.held.append(HeldTokens(grant.tokens, question.asked_at + self.life_s))
        if grant.after_s > 0.0:
            state.empty_until[question.owner] = now + grant.after_s
            state.scarce_until = now + SCARCE_S

    def _refuse(self, now: float, state: TenantState) -> None:
        """Nobody is left to be asked."""
        while state.waiting:
            state.waiting.popleft().then(self._refusal(now, state))

    def _refusal(self, now: float, state: TenantState) -> Decision:
        outcome = Outcome.EXHAUSTED if now < state.scarce_until else Outcome.UNREACHABLE
        waits = [until - now for until in state.empty_until.values() if until > now]
        return Decision(outcome, max(0.05, min(waits, default=UNAVAILABLE_S)))
