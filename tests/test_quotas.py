"""Tokens of tenants' allowances: shares sum to 1 at most through any changes of the core, buckets grant what
they were given, and a request gets its token or is told when to come again."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from millfront.control.configuration import Tenant
from millfront.environment import Bounds
from millfront.quotas.allowance import Allowance, allowance_of, most_in_window, token_life_s
from millfront.quotas.granter import Grant, Granter, TokenBucket
from millfront.quotas.messages import MessageError, TokenReply, TokenRequest
from millfront.quotas.requester import (
    ADMITTED,
    NEAR_S,
    SILENT_S,
    TRIES,
    Decision,
    Outcome,
    Owner,
    TokenRequester,
)
from millfront.quotas.share import KeptShare, ShareOfAllowance
from millfront.register.values import FIRST_AGREED_EPOCH, Core, read_quorum, write_quorum

LEASE_S, LIFE_S = 4.0, 0.25
NAMES = "abcdef"


def limited(rate: float, burst: float, name: str = "t") -> Tenant:
    return Tenant(name, frozenset(), None, rate, burst, frozenset())


# ---- what may be granted -------------------------------------------------------------------------


@pytest.mark.parametrize("rate", [0.2, 1.0, 5.0, 30.0, 1000.0])
@pytest.mark.parametrize("burst", [0.0, 1.0, 30.0, 5000.0])
@pytest.mark.parametrize(
    "bounds", [Bounds(), Bounds(rate_excess=0.0, rate_extra=0.0), Bounds(rate_window=1.0)]
)
def test_an_allowance_fits_into_the_rule_and_gives_what_is_owed(
    rate: float, burst: float, bounds: Bounds
) -> None:
    tenant = limited(rate, burst)
    allowance = allowance_of(tenant, bounds)
    span, most = bounds.rate_window + token_life_s(bounds), most_in_window(tenant, bounds)
    assert allowance.capacity + allowance.rate * span <= (most if most >= 2.5 else most + 1.0) + 1e-9
    assert allowance.capacity >= max(1.0, burst) - 1e-9 and allowance.rate >= 0.5 * rate
    if bounds.rate_extra:
        assert allowance.rate >= rate


# ---- shares: a search over changes of the core ---------------------------------------------------


@dataclass
class Member:
    """One process of the model: what it holds of the core, and the lease that it has."""

    name: str
    share: ShareOfAllowance
    core: Core | None = None
    lease_until: float = -1.0
    kept: KeptShare | None = None
    up: bool = True


@dataclass
class Cluster:
    """Replicas that answer in their own epoch only, and subscribers that read a quorum of them; a change of
    the core goes through one of both sets, as in reconfiguration. Messages come or not, as the dice have
    it."""

    random: random.Random
    now: float = 0.0
    replicas: dict[str, Core] = field(default_factory=dict)
    members: dict[str, Member] = field(default_factory=dict)
    proposed: Core | None = None

    def begin(self) -> None:
        core = Core(FIRST_AGREED_EPOCH, {name: name for name in NAMES[:4]})
        for name in NAMES:
            self.replicas[name] = core
            self.members[name] = Member(name, ShareOfAllowance(name, LEASE_S, None), core)

    def written(self, core: Core) -> bool:
        """Whether majorities of all its sets hold it, or a later one."""
        had = [name for name, held in self.replicas.items() if held.epoch >= core.epoch]
        return core.is_write_quorum(had)

    def change(self) -> None:
        """The next step of a change of the core, or a new change."""
        newest = max(self.replicas.values(), key=lambda core: core.epoch)
        if not self.written(newest):  # somebody goes on writing it
            self.replicas[self.random.choice(sorted(newest.all_members))] = newest
            return
        if newest.old_members:
            later = Core(newest.epoch + 1, newest.members)
        elif self.random.random() < 0.3:
            to = self.random.sample(NAMES, self.random.randint(3, 5))
            later = Core(newest.epoch + 1, {name: name for name in to}, newest.members)
        else:
            return
        self.replicas[self.random.choice(sorted(later.all_members))] = later

    def ask(self, member: Member) -> None:
        """It asks some of the replicas that it knows, and learns what they hold."""
        assert member.core is not None
        answered = []
        for name in member.core.all_members:
            if self.random.random() < 0.6:
                held = self.replicas[name]
                if held.epoch == member.core.epoch:
                    answered.append(name)
                elif held.epoch > member.core.epoch and self.random.random() < 0.5:
                    member.core = held
                    self.update(member, [])
                    return
        if member.core.is_read_quorum(answered):
            member.lease_until = self.now + LEASE_S
        self.update(member, answered)

    def update(self, member: Member, answered: list[str]) -> None:
        assert member.core is not None
        if member.share.update(self.now, member.core, member.core.is_write_quorum(answered)):
            member.kept = member.share.kept() if self.random.random() < 0.8 else member.kept

    def restart(self, member: Member) -> None:
        """It has lost what it had in memory, and knows the core that its disk has."""
        if self.random.random() < 0.3:
            member.kept = None  # its disk is lost
        member.share = ShareOfAllowance(member.name, LEASE_S, member.kept)
        member.lease_until = -1.0
        member.core = self.replicas[member.name]
        self.update(member, [])

    def step(self) -> None:
        self.now += self.random.uniform(0.0, 0.3)
        member = self.members[self.random.choice(NAMES)]
        chance = self.random.random()
        if chance < 0.15:
            self.change()
        elif chance < 0.2:
            self.restart(member)
        else:
            self.ask(member)

    def granted(self) -> float:
        """The sum of the shares that may be granted now."""
        return sum(
            member.share.in_force() for member in self.members.values() if self.now < member.lease_until
        )


def search(seeds: range, steps: int = 300) -> tuple[float, int]:
    """The largest sum of shares that was met, and how many cores there were."""
    largest, cores = 0.0, 0
    for seed in seeds:
        cluster = Cluster(random.Random(seed))
        cluster.begin()
        for _ in range(steps):
            cluster.step()
            largest = max(largest, cluster.granted())
        cores += max(core.epoch for core in cluster.replicas.values()) - FIRST_AGREED_EPOCH
    return largest, cores


def test_shares_sum_to_1_at_most_through_any_changes_of_the_core() -> None:
    largest, cores = search(range(300))
    assert 0.99 <= largest <= 1.0 + 1e-9
    assert cores > 1000


@pytest.mark.parametrize(
    ("name", "planted"),
    [
        ("_waits_s", 0.0),  # a share grows as soon as a majority has answered
        ("_final", True),  # and before
    ],
)
def test_shares_that_grow_too_early_are_found(
    name: str, planted: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    made = ShareOfAllowance.__init__

    def faulty(self: ShareOfAllowance, *args: object) -> None:
        made(self, *args)  # type: ignore[arg-type]
        setattr(self, name, planted)

    def taken(self: ShareOfAllowance, core: Core) -> None:
        self._missed(core.epoch)
        self.share = self._even(core)

    monkeypatch.setattr(ShareOfAllowance, "__init__", faulty)
    if name == "_final":
        monkeypatch.setattr(ShareOfAllowance, "_next", taken)
    assert search(range(300))[0] > 1.01


def test_a_member_that_restarts_in_the_same_epoch_goes_on_and_one_that_has_missed_an_epoch_waits() -> None:
    core = Core(FIRST_AGREED_EPOCH + 4, {name: name for name in "abcd"})
    goes_on = ShareOfAllowance("a", LEASE_S, KeptShare(core.epoch, 0.25))
    assert not goes_on.update(0.0, core, False)
    assert goes_on.in_force() == 0.25
    missed = ShareOfAllowance("a", LEASE_S, KeptShare(core.epoch - 4, 0.25))
    missed.update(0.0, core, True)
    assert missed.in_force() == 0.0
    assert not missed.update(LEASE_S, core, True)
    assert missed.update(1.1 * LEASE_S, core, True)
    assert missed.in_force() == 0.25 and missed.kept() == KeptShare(core.epoch, 0.25)


def test_quorums_are_what_the_wait_of_a_share_stands_on() -> None:
    """Where a majority answers in an epoch, too few are left to renew a lease in an earlier one."""
    assert all(n - write_quorum(n) < read_quorum(n) for n in range(1, 12))


# ---- buckets -------------------------------------------------------------------------------------


def test_whatever_befalls_a_bucket_it_grants_no_more_than_its_largest_limits_give() -> None:
    """Chains of changed limits, a tenant that comes and goes, and shares that grow and shrink."""
    for seed in range(40):
        rng, granted = random.Random(seed), list[tuple[float, float]]()
        granter, rates = Granter(Bounds(), 0.0), (5.0, 10.0, 0.5)
        granter.shared(0.0, 0.25)
        now = 0.0
        for _ in range(400):
            now += rng.expovariate(8.0)
            match rng.randrange(8):
                case 0:
                    rate = rng.choice(rates)
                    granter.configured(now, {"t": limited(rate, rate)})
                case 1:
                    granter.configured(now, {})
                case 2:
                    granter.shared(now, rng.choice((0.0, 0.2, 0.25)))
                case 3:
                    granter.tick(now)
                case _:
                    grant = granter.grant(now, "t", float(rng.randint(1, 4)))
                    granted.append((now, grant.tokens if grant is not None else 0.0))
        most = allowance_of(limited(10.0, 10.0), Bounds()).part(0.25)
        for at, _ in granted:
            inside = sum(tokens for when, tokens in granted if at <= when <= at + 5.0)
            assert inside <= most.capacity + 5.0 * most.rate + 1e-9


def test_buckets_begin_full_at_the_very_first_start_alone() -> None:
    tenant = limited(5.0, 5.0)
    for full in (True, False):
        granter = Granter(Bounds(), 0.0)
        granter.shared(3.0, 0.5, full)
        granter.configured(3.0, {"t": tenant})
        grant = granter.grant(3.0, "t", 5.0)
        assert grant is not None and grant.tokens == (5.0 if full else 0.0)


def test_a_small_bucket_grants_parts_of_a_token() -> None:
    bucket = TokenBucket(Allowance(0.4, 0.1), 0.4, 0.0)
    grant = bucket.take(0.0, 1.0)
    assert grant.tokens == pytest.approx(0.4) and grant.after_s > 0.0


def test_a_granter_without_a_share_or_a_limit_of_the_tenant_grants_nothing() -> None:
    granter = Granter(Bounds(), 0.0)
    granter.configured(0.0, {"t": limited(5.0, 5.0), "free": limited(0.0, 0.0, "free")})
    assert granter.grant(9.0, "t", 1.0) is None
    granter.shared(9.0, 1.0)
    assert granter.grant(9.0, "nobody", 1.0) is None
    assert granter.grant(9.0, "free", 3.0) == Grant(3.0, 0.0)


# ---- requests ------------------------------------------------------------------------------------


@dataclass
class Process:
    """A process that asks: questions go nowhere until the test answers them."""

    names: list[str]
    here: Grant | None = None
    now: float = 100.0
    sent: list[tuple[str, TokenRequest]] = field(default_factory=list)
    timers: list[tuple[float, Callable[[], None]]] = field(default_factory=list)

    def owners(self) -> list[Owner]:
        return [Owner(name) for name in self.names]

    def grant_here(self, tenant: str, tokens: float) -> Grant | None:
        return self.here

    def to_owner(self, name: str, request: TokenRequest) -> None:
        self.sent.append((name, request))

    def later(self, seconds: float, then: Callable[[], None]) -> None:
        self.timers.append((self.now + seconds, then))

    def now_s(self) -> float:
        return self.now

    def wait(self, seconds: float) -> None:
        """Time passes, and what is due is called."""
        ends = self.now + seconds
        while due := [timer for timer in self.timers if timer[0] <= ends]:
            first = min(due, key=lambda timer: timer[0])
            self.timers.remove(first)
            self.now = first[0]
            first[1]()
        self.now = ends


def asked(process: Process, requester: TokenRequester, wait: float = 0.2) -> list[Decision]:
    """One request; the list holds what becomes of it."""
    decisions: list[Decision] = []
    decision = requester.request(process.now, "t", wait, 0, decisions.append)
    return [decision] if decision is not None else decisions


def test_the_nearest_granter_is_asked_and_its_token_lets_the_request_in() -> None:
    process = Process(["p", "q"])
    requester = TokenRequester(process, "me", LIFE_S, 0)
    decisions = asked(process, requester)
    (name, request) = process.sent.pop()
    assert (name, request.tenant, request.tokens, decisions) == ("p", "t", 1.0, [])
    requester.take(process.now, TokenReply(request.ref, 1.0, 0.0))
    assert decisions == [ADMITTED]


def test_a_granter_that_is_empty_is_passed_over_until_it_may_have_a_token_again() -> None:
    process = Process(["p", "q"])
    requester = TokenRequester(process, "me", LIFE_S, 0)
    decisions = asked(process, requester)
    requester.take(process.now, TokenReply(process.sent[0][1].ref, 0.0, 0.7))
    assert process.sent[1][0] == "q"
    requester.take(process.now, TokenReply(process.sent[1][1].ref, 0.0, 0.4))
    assert decisions[0].outcome is Outcome.EXHAUSTED and decisions[0].after_s == pytest.approx(0.4)
    assert asked(process, requester)[0].outcome is Outcome.EXHAUSTED and len(process.sent) == 2
    process.wait(0.5)
    asked(process, requester)
    assert process.sent[2][0] == "q"


def test_one_question_is_under_way_for_all_that_wait() -> None:
    process = Process(["p"])
    requester = TokenRequester(process, "me", LIFE_S, 0)
    waiting = [asked(process, requester) for _ in range(4)]
    assert len(process.sent) == 1
    requester.take(process.now, TokenReply(process.sent[0][1].ref, 1.0, 0.0))
    assert waiting[0] == [ADMITTED] and process.sent[1][1].tokens == 3.0
    requester.take(process.now, TokenReply(process.sent[1][1].ref, 2.0, 0.3))
    assert [decisions[0].outcome for decisions in waiting] == [Outcome.ADMITTED] * 3 + [Outcome.EXHAUSTED]


def test_a_silent_granter_is_asked_the_same_again_and_then_left_out_for_a_while() -> None:
    process = Process(["p", "q"])
    requester = TokenRequester(process, "me", LIFE_S, 0)
    asked(process, requester)
    process.wait(TRIES * NEAR_S + 0.001)
    assert [name for name, _ in process.sent] == ["p"] * TRIES + ["q"]
    assert len({request.ref for name, request in process.sent if name == "p"}) == 1
    requester.take(process.now, TokenReply(process.sent[-1][1].ref, 1.0, 0.0))
    asked(process, requester)
    assert process.sent[-1][0] == "q"
    requester.take(process.now, TokenReply(process.sent[-1][1].ref, 1.0, 0.0))
    process.wait(SILENT_S)
    asked(process, requester)
    assert process.sent[-1][0] == "p"


def test_a_token_that_comes_late_lets_in_nothing_once_it_is_void() -> None:
    for late, outcome in ((0.9 * LIFE_S, Outcome.ADMITTED), (1.1 * LIFE_S, None)):
        process = Process(["p"])
        requester = TokenRequester(process, "me", LIFE_S, 0)
        asked(process, requester)
        process.wait(late)
        requester.take(process.now, TokenReply(process.sent[0][1].ref, 1.0, 0.0))
        decisions = asked(process, requester)
        assert [decision.outcome for decision in decisions] == ([outcome] if outcome else [])


def test_a_granter_that_is_slow_is_waited_for_where_nobody_else_is_left() -> None:
    process = Process(["p"])
    requester = TokenRequester(process, "me", LIFE_S, 0)
    in_time, too_late = asked(process, requester), asked(process, requester, wait=0.08)
    process.wait(TRIES * NEAR_S + 0.01)
    assert in_time == too_late == []
    requester.take(process.now, TokenReply(process.sent[0][1].ref, 1.0, 0.0))
    assert in_time == [ADMITTED]
    process.wait(0.1)
    assert [decision.outcome for decision in too_late] == [Outcome.UNREACHABLE]


def test_who_reaches_no_granter_refuses_within_its_time_and_says_when_to_come_again() -> None:
    process = Process(["p", "q", "r", "s"])
    requester = TokenRequester(process, "me", LIFE_S, 0)
    decisions = asked(process, requester, wait=0.1)
    process.wait(0.1 + TRIES * NEAR_S)
    assert decisions[0].outcome is Outcome.UNREACHABLE and decisions[0].after_s > 0.0
    alone = TokenRequester(Process([]), "me", LIFE_S, 0)
    assert asked(process, alone)[0].outcome is Outcome.UNREACHABLE


def test_a_member_of_the_core_takes_its_own_tokens_at_once() -> None:
    process = Process(["me", "p"], here=Grant(1.0, 0.0))
    requester = TokenRequester(process, "me", LIFE_S, 0)
    assert asked(process, requester) == [ADMITTED] and not process.sent
    process.here = None
    asked(process, requester)
    assert process.sent[0][0] == "p"


def test_answers_to_nobody_and_messages_that_cannot_be_read_change_nothing() -> None:
    process = Process(["p"])
    requester = TokenRequester(process, "me", LIFE_S, 5)
    requester.take(process.now, TokenReply(77, 9.0, 0.0))
    decisions = asked(process, requester)
    assert decisions == [] and process.sent[0][1].ref == 6
    for wire in ({"r": 1}, {"r": 1, "k": "t", "n": 0.0}, {"r": "x", "k": "t", "n": 1.0}):
        with pytest.raises(MessageError):
            TokenRequest.of(wire)
    with pytest.raises(MessageError):
        TokenReply.of({"r": 1, "n": "2", "a": 0.0, "u": False})
    assert TokenReply.of(TokenReply(1, 2.0, 0.5, False).wire()) == TokenReply(1, 2.0, 0.5, False)
