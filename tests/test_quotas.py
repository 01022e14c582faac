"""Tenant quotas: shares sum to at most 1 through any changes of the core, buckets grant no more than their
limits allow, and a request gets a token or a time to retry."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from millfront.control.configuration import Tenant
from millfront.environment import Bounds
from millfront.quotas.allowance import Allowance, allowance_of, max_requests_in_window, token_lifetime_s
from millfront.quotas.granter import Grant, Granter, TokenBucket
from millfront.quotas.messages import MessageError, TokenReply, TokenRequest
from millfront.quotas.requester import (
    ADMITTED,
    MAX_SENDS,
    NEAR_TIMEOUT_S,
    SILENT_BACKOFF_S,
    Decision,
    GranterInfo,
    Outcome,
    TokenRequester,
)
from millfront.quotas.share import ShareOfAllowance, StoredShare
from millfront.register.values import FIRST_AGREED_EPOCH, Core, read_quorum, write_quorum

LEASE_S, LIFE_S = 4.0, 0.25
NAMES = "abcdef"


def limited_tenant(rate: float, burst: float, name: str = "t") -> Tenant:
    return Tenant(name, frozenset(), None, rate, burst, frozenset())


# ---- allowances ----------------------------------------------------------------------------------


@pytest.mark.parametrize("rate", [0.2, 1.0, 5.0, 30.0, 1000.0])
@pytest.mark.parametrize("burst", [0.0, 1.0, 30.0, 5000.0])
@pytest.mark.parametrize(
    "bounds", [Bounds(), Bounds(rate_excess=0.0, rate_extra=0.0), Bounds(rate_window=1.0)]
)
def test_an_allowance_satisfies_the_rule_and_grants_the_tenant_s_rate_and_burst(
    rate: float, burst: float, bounds: Bounds
) -> None:
    tenant = limited_tenant(rate, burst)
    allowance = allowance_of(tenant, bounds)
    span, most = bounds.rate_window + token_lifetime_s(bounds), max_requests_in_window(tenant, bounds)
    assert allowance.capacity + allowance.rate * span <= (most if most >= 2.5 else most + 1.0) + 1e-9
    assert allowance.capacity >= max(1.0, burst) - 1e-9 and allowance.rate >= 0.5 * rate
    if bounds.rate_extra:
        assert allowance.rate >= rate


# ---- shares: random search over changes of the core ----------------------------------------------


@dataclass
class Member:
    """One process of the model: the core that it knows, and its lease."""

    name: str
    share: ShareOfAllowance
    core: Core | None = None
    lease_until: float = -1.0
    stored: StoredShare | None = None
    up: bool = True


@dataclass
class Cluster:
    """Replicas that answer only in their own epoch, and subscribers that read a quorum of them. A change of
    the core passes through an epoch with both sets, as in reconfiguration. Messages are lost at random."""

    random: random.Random
    now: float = 0.0
    replicas: dict[str, Core] = field(default_factory=dict)
    members: dict[str, Member] = field(default_factory=dict)
    proposed: Core | None = None

    def bootstrap(self) -> None:
        core = Core(FIRST_AGREED_EPOCH, {name: name for name in NAMES[:4]})
        for name in NAMES:
            self.replicas[name] = core
            self.members[name] = Member(name, ShareOfAllowance(name, LEASE_S, None), core)

    def is_written(self, core: Core) -> bool:
        """Whether majorities of all its member sets hold it or a later one."""
        holders = [name for name, held in self.replicas.items() if held.epoch >= core.epoch]
        return core.is_write_quorum(holders)

    def change_core(self) -> None:
        """Take the next step of a change of the core, or begin a change."""
        newest = max(self.replicas.values(), key=lambda core: core.epoch)
        if not self.is_written(newest):  # some process continues to write it
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

    def read_replicas(self, member: Member) -> None:
        """The member reads some of the replicas that it knows."""
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
            member.stored = member.share.stored() if self.random.random() < 0.8 else member.stored

    def restart(self, member: Member) -> None:
        """The member loses its memory and knows only the core on its disk."""
        if self.random.random() < 0.3:
            member.stored = None  # its disk is lost
        member.share = ShareOfAllowance(member.name, LEASE_S, member.stored)
        member.lease_until = -1.0
        member.core = self.replicas[member.name]
        self.update(member, [])

    def step(self) -> None:
        self.now += self.random.uniform(0.0, 0.3)
        member = self.members[self.random.choice(NAMES)]
        chance = self.random.random()
        if chance < 0.15:
            self.change_core()
        elif chance < 0.2:
            self.restart(member)
        else:
            self.read_replicas(member)

    def granted_shares(self) -> float:
        """The sum of the shares that may be granted now, by members with a lease."""
        return sum(
            member.share.in_force() for member in self.members.values() if self.now < member.lease_until
        )


def search_core_changes(seeds: range, steps: int = 300) -> tuple[float, int]:
    """The largest sum of shares found, and the number of core epochs."""
    largest, cores = 0.0, 0
    for seed in seeds:
        cluster = Cluster(random.Random(seed))
        cluster.bootstrap()
        for _ in range(steps):
            cluster.step()
            largest = max(largest, cluster.granted_shares())
        cores += max(core.epoch for core in cluster.replicas.values()) - FIRST_AGREED_EPOCH
    return largest, cores


def test_shares_sum_to_1_at_most_through_any_changes_of_the_core() -> None:
    largest, cores = search_core_changes(range(300))
    assert 0.99 <= largest <= 1.0 + 1e-9
    assert cores > 1000


@pytest.mark.parametrize(
    ("name", "planted"),
    [
        ("_growth_delay_s", 0.0),  # a share grows as soon as a majority has answered
        ("_settled", True),  # a share grows even before that
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
        self._reset(core.epoch)
        self.share = self._even_share(core)

    monkeypatch.setattr(ShareOfAllowance, "__init__", faulty)
    if name == "_settled":
        monkeypatch.setattr(ShareOfAllowance, "_enter_epoch", taken)
    assert search_core_changes(range(300))[0] > 1.01


def test_a_restarted_member_keeps_its_share_in_the_same_epoch_and_waits_after_a_missed_one() -> None:
    core = Core(FIRST_AGREED_EPOCH + 4, {name: name for name in "abcd"})
    goes_on = ShareOfAllowance("a", LEASE_S, StoredShare(core.epoch, 0.25))
    assert not goes_on.update(0.0, core, False)
    assert goes_on.in_force() == 0.25
    missed = ShareOfAllowance("a", LEASE_S, StoredShare(core.epoch - 4, 0.25))
    missed.update(0.0, core, True)
    assert missed.in_force() == 0.0
    assert not missed.update(LEASE_S, core, True)
    assert missed.update(1.1 * LEASE_S, core, True)
    assert missed.in_force() == 0.25 and missed.stored() == StoredShare(core.epoch, 0.25)


def test_a_majority_in_an_epoch_rules_out_lease_renewals_in_earlier_ones() -> None:
    """Once a majority answers in an epoch, too few replicas are left to renew a lease in an earlier one. The
    growth delay of a share depends on that."""
    assert all(n - write_quorum(n) < read_quorum(n) for n in range(1, 12))


# ---- buckets -------------------------------------------------------------------------------------


def test_a_bucket_never_grants_more_than_its_largest_limits_allow() -> None:
    """Random sequences of changed limits, a tenant that comes and goes, and shares that grow and shrink."""
    for seed in range(40):
        rng, granted = random.Random(seed), list[tuple[float, float]]()
        granter, rates = Granter(Bounds(), 0.0), (5.0, 10.0, 0.5)
        granter.set_share(0.0, 0.25)
        now = 0.0
        for _ in range(400):
            now += rng.expovariate(8.0)
            match rng.randrange(8):
                case 0:
                    rate = rng.choice(rates)
                    granter.set_tenants(now, {"t": limited_tenant(rate, rate)})
                case 1:
                    granter.set_tenants(now, {})
                case 2:
                    granter.set_share(now, rng.choice((0.0, 0.2, 0.25)))
                case 3:
                    granter.tick(now)
                case _:
                    grant = granter.grant(now, "t", float(rng.randint(1, 4)))
                    granted.append((now, grant.tokens if grant is not None else 0.0))
        most = allowance_of(limited_tenant(10.0, 10.0), Bounds()).scaled(0.25)
        for at, _ in granted:
            inside = sum(tokens for when, tokens in granted if at <= when <= at + 5.0)
            assert inside <= most.capacity + 5.0 * most.rate + 1e-9


def test_buckets_start_full_only_at_the_very_first_start() -> None:
    tenant = limited_tenant(5.0, 5.0)
    for full in (True, False):
        granter = Granter(Bounds(), 0.0)
        granter.set_share(3.0, 0.5, full)
        granter.set_tenants(3.0, {"t": tenant})
        grant = granter.grant(3.0, "t", 5.0)
        assert grant is not None and grant.tokens == (5.0 if full else 0.0)


def test_a_small_bucket_grants_fractions_of_a_token() -> None:
    bucket = TokenBucket(Allowance(0.4, 0.1), 0.4, 0.0)
    grant = bucket.take(0.0, 1.0)
    assert grant.tokens == pytest.approx(0.4) and grant.retry_after_s > 0.0


def test_a_granter_without_a_share_or_a_limit_of_the_tenant_grants_nothing() -> None:
    granter = Granter(Bounds(), 0.0)
    granter.set_tenants(0.0, {"t": limited_tenant(5.0, 5.0), "free": limited_tenant(0.0, 0.0, "free")})
    assert granter.grant(9.0, "t", 1.0) is None
    granter.set_share(9.0, 1.0)
    assert granter.grant(9.0, "nobody", 1.0) is None
    assert granter.grant(9.0, "free", 3.0) == Grant(3.0, 0.0)


# ---- requests ------------------------------------------------------------------------------------


@dataclass
class Process:
    """A requesting process: token requests are recorded, and only the test answers them."""

    names: list[str]
    local_grant: Grant | None = None
    now: float = 100.0
    sent: list[tuple[str, TokenRequest]] = field(default_factory=list)
    timers: list[tuple[float, Callable[[], None]]] = field(default_factory=list)

    def granters(self) -> list[GranterInfo]:
        return [GranterInfo(name) for name in self.names]

    def grant_locally(self, tenant: str, tokens: float) -> Grant | None:
        return self.local_grant

    def send_request(self, name: str, request: TokenRequest) -> None:
        self.sent.append((name, request))

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        self.timers.append((self.now + seconds, callback))

    def now_s(self) -> float:
        return self.now

    def wait(self, seconds: float) -> None:
        """Advance the time and run the timers that are due."""
        ends = self.now + seconds
        while due := [timer for timer in self.timers if timer[0] <= ends]:
            first = min(due, key=lambda timer: timer[0])
            self.timers.remove(first)
            self.now = first[0]
            first[1]()
        self.now = ends


def request_token(process: Process, requester: TokenRequester, wait: float = 0.2) -> list[Decision]:
    """One client's request; the list will hold its decision."""
    decisions: list[Decision] = []
    decision = requester.request(process.now, "t", wait, 0, decisions.append)
    return [decision] if decision is not None else decisions


def test_the_nearest_granter_is_asked_and_its_token_admits_the_request() -> None:
    process = Process(["p", "q"])
    requester = TokenRequester(process, "me", LIFE_S, 0)
    decisions = request_token(process, requester)
    (name, request) = process.sent.pop()
    assert (name, request.tenant, request.tokens, decisions) == ("p", "t", 1.0, [])
    requester.handle_reply(process.now, TokenReply(request.request_id, 1.0, 0.0))
    assert decisions == [ADMITTED]


def test_an_empty_granter_is_skipped_until_it_may_have_a_token_again() -> None:
    process = Process(["p", "q"])
    requester = TokenRequester(process, "me", LIFE_S, 0)
    decisions = request_token(process, requester)
    requester.handle_reply(process.now, TokenReply(process.sent[0][1].request_id, 0.0, 0.7))
    assert process.sent[1][0] == "q"
    requester.handle_reply(process.now, TokenReply(process.sent[1][1].request_id, 0.0, 0.4))
    assert decisions[0].outcome is Outcome.EXHAUSTED and decisions[0].retry_after_s == pytest.approx(0.4)
    assert request_token(process, requester)[0].outcome is Outcome.EXHAUSTED and len(process.sent) == 2
    process.wait(0.5)
    request_token(process, requester)
    assert process.sent[2][0] == "q"


def test_one_token_request_is_in_flight_for_all_waiting_requests() -> None:
    process = Process(["p"])
    requester = TokenRequester(process, "me", LIFE_S, 0)
    waiting = [request_token(process, requester) for _ in range(4)]
    assert len(process.sent) == 1
    requester.handle_reply(process.now, TokenReply(process.sent[0][1].request_id, 1.0, 0.0))
    assert waiting[0] == [ADMITTED] and process.sent[1][1].tokens == 3.0
    requester.handle_reply(process.now, TokenReply(process.sent[1][1].request_id, 2.0, 0.3))
    assert [decisions[0].outcome for decisions in waiting] == [Outcome.ADMITTED] * 3 + [Outcome.EXHAUSTED]


def test_a_silent_granter_gets_the_same_request_again_and_is_then_skipped_for_a_while() -> None:
    process = Process(["p", "q"])
    requester = TokenRequester(process, "me", LIFE_S, 0)
    request_token(process, requester)
    process.wait(MAX_SENDS * NEAR_TIMEOUT_S + 0.001)
    assert [name for name, _ in process.sent] == ["p"] * MAX_SENDS + ["q"]
    assert len({request.request_id for name, request in process.sent if name == "p"}) == 1
    requester.handle_reply(process.now, TokenReply(process.sent[-1][1].request_id, 1.0, 0.0))
    request_token(process, requester)
    assert process.sent[-1][0] == "q"
    requester.handle_reply(process.now, TokenReply(process.sent[-1][1].request_id, 1.0, 0.0))
    process.wait(SILENT_BACKOFF_S)
    request_token(process, requester)
    assert process.sent[-1][0] == "p"


def test_a_token_that_arrives_after_its_expiry_admits_nothing() -> None:
    for late, outcome in ((0.9 * LIFE_S, Outcome.ADMITTED), (1.1 * LIFE_S, None)):
        process = Process(["p"])
        requester = TokenRequester(process, "me", LIFE_S, 0)
        request_token(process, requester)
        process.wait(late)
        requester.handle_reply(process.now, TokenReply(process.sent[0][1].request_id, 1.0, 0.0))
        decisions = request_token(process, requester)
        assert [decision.outcome for decision in decisions] == ([outcome] if outcome else [])


def test_a_slow_granter_is_waited_for_if_no_other_is_left() -> None:
    process = Process(["p"])
    requester = TokenRequester(process, "me", LIFE_S, 0)
    in_time, too_late = request_token(process, requester), request_token(process, requester, wait=0.08)
    process.wait(MAX_SENDS * NEAR_TIMEOUT_S + 0.01)
    assert in_time == too_late == []
    requester.handle_reply(process.now, TokenReply(process.sent[0][1].request_id, 1.0, 0.0))
    assert in_time == [ADMITTED]
    process.wait(0.1)
    assert [decision.outcome for decision in too_late] == [Outcome.UNREACHABLE]


def test_without_a_reachable_granter_a_request_is_refused_in_time_and_told_when_to_retry() -> None:
    process = Process(["p", "q", "r", "s"])
    requester = TokenRequester(process, "me", LIFE_S, 0)
    decisions = request_token(process, requester, wait=0.1)
    process.wait(0.1 + MAX_SENDS * NEAR_TIMEOUT_S)
    assert decisions[0].outcome is Outcome.UNREACHABLE and decisions[0].retry_after_s > 0.0
    alone = TokenRequester(Process([]), "me", LIFE_S, 0)
    assert request_token(process, alone)[0].outcome is Outcome.UNREACHABLE


def test_a_core_member_uses_its_own_tokens_at_once() -> None:
    process = Process(["me", "p"], local_grant=Grant(1.0, 0.0))
    requester = TokenRequester(process, "me", LIFE_S, 0)
    assert request_token(process, requester) == [ADMITTED] and not process.sent
    process.local_grant = None
    request_token(process, requester)
    assert process.sent[0][0] == "p"


def test_unknown_replies_are_ignored_and_invalid_messages_are_rejected() -> None:
    process = Process(["p"])
    requester = TokenRequester(process, "me", LIFE_S, 5)
    requester.handle_reply(process.now, TokenReply(77, 9.0, 0.0))
    decisions = request_token(process, requester)
    assert decisions == [] and process.sent[0][1].request_id == 6
    for wire in ({"r": 1}, {"r": 1, "k": "t", "n": 0.0}, {"r": "x", "k": "t", "n": 1.0}):
        with pytest.raises(MessageError):
            TokenRequest.from_wire(wire)
    with pytest.raises(MessageError):
        TokenReply.from_wire({"r": 1, "n": "2", "a": 0.0, "u": False})
    assert TokenReply.from_wire(TokenReply(1, 2.0, 0.5, False).to_wire()) == TokenReply(1, 2.0, 0.5, False)
