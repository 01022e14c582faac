"""The module's decisions: the mechanism on hand-worked numbers, each rule, each failure found."""

from dataclasses import replace

import pytest

from millfront import choice
from millfront import interface as api
from millfront.choice import Gateway
from millfront.decisions import attempts, cold, members, prices, state
from millfront.settings import SettingsError, check

SECOND = 1_000_000
START = 5 * SECOND

SAFE = api.RequestClass(
    aim_us=1_200_000,
    deadline_us=5_000_000,
    worth=1.0,
    late_worth=0.0,
    repeat=api.Repeat.SAFE,
    group=api.Group.ALL,
    window_us=5_000_000,
    stream=False,
)
UNSAFE = replace(SAFE, repeat=api.Repeat.UNSAFE, worth=1.0)
KEYED = replace(SAFE, repeat=api.Repeat.KEYED, group=api.Group.CELL, window_us=300_000)
FREE = api.Plan(0.0, 0.0, 0, 1.0, 0.0, 0.5, 0.0, 0.0, 0.0)
QUOTA = api.Plan(6.0, 12.0, 0, 1.0, 0.0, 0.5, 0.0, 0.0, 0.0)
CEILING = api.Plan(6.0, 12.0, 0, 1.0, 0.3, 0.0, 12.0, 24.0, 2.4)
OPEN = api.Plan(0.0, 0.0, 2, 1.0, 0.0, 0.6, 0.0, 0.0, 0.0)
SETTINGS = api.Settings(
    me=0,
    peers=3,
    zone=0,
    classes=(SAFE, UNSAFE, KEYED),
    plans=(FREE, QUOTA, CEILING, OPEN),
    allowed=api.Allowed(True, True, True, False, 3, 0),
    rules=api.Rules(250_000, 0.2, 17_000_000, 2.5, 1_500_000),
    weights_known=False,
    counter=True,
    counter_timeout_us=50_000,
)


class Bench:
    """A gateway with a clock; keeps the last answer of the gateway."""

    def __init__(self, settings: api.Settings = SETTINGS, backends: int = 4, cells: int = 2) -> None:
        self.gateway = Gateway(settings, 1)
        self.now = START
        self.next = 0
        self.handle(api.Started())
        self.entries = tuple(
            api.BackendEntry(i, 0, 0, i % cells, api.BackendState.READY, 1.0, 0) for i in range(backends)
        )
        self.handle(api.BackendList(api.ListKind.CACHED, self.entries))

    def handle(self, event: api.Event) -> list[api.Action]:
        return self.gateway.handle(self.now, event)

    def ask(
        self, cls: int = 0, plan: int = 0, customer: int = 1, units: float = 1.0, spread: int = 3
    ) -> list[api.Action]:
        self.next += 1
        return self.handle(api.RequestArrived(self.next, cls, plan, customer, 4_000_000, units, spread, 0))

    def end(
        self,
        send: api.Send,
        outcome: api.Outcome,
        attempt: int = 0,
        latency: int = 100_000,
        closed: bool = False,
    ) -> list[api.Action]:
        over = closed or outcome is api.Outcome.OK
        return self.handle(api.AttemptEnded(send.request, attempt, send.backend, outcome, over, latency, 0.0))

    def run_timers(self, seconds: float) -> list[api.Action]:
        actions: list[api.Action] = []
        until = self.now + int(seconds * SECOND)
        while self.now < until:
            self.now += choice.TIMER_PERIOD_US
            actions += self.handle(api.TimerFired(choice.TIMER_TOKEN))
        return actions

    def serve(self, **asked: int) -> api.Send | None:
        """Ask and have it answered in time."""
        (action,) = self.ask(**asked)
        if not isinstance(action, api.Send):
            return None
        self.end(action, api.Outcome.OK)
        return action


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]


def finals(actions: list[api.Action]) -> list[api.Action]:
    return [a for a in actions if isinstance(a, api.Refuse | api.Fail)]


def counts(actions: list[api.Action]) -> list[api.Count]:
    return [a for a in actions if isinstance(a, api.Count)]


# ---- the mechanism


@pytest.mark.parametrize(
    ("price", "sent", "expected"),
    [(1.0, 3.0, 0.75), (0.5, 12.0, 1.0), (0.1, 0.0, 0.0), (0.4, 6.0, 0.4), (0.4, 7.2, 0.5)],
)
def test_price_moves_by_the_projected_step(price: float, sent: float, expected: float) -> None:
    assert prices.next_price(price, sent, 6.0) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("price", "own", "room", "share", "expected"),
    [
        (1.0, 9.0, 9.0, 1.0, 2.0),  # at the full price, the even slice of 6 over 3
        (0.5, 9.0, 9.0, 1.0, 4.0),  # the utility's level
        (0.0, 3.0, 2.0, 0.5, 4.0),  # the room cap
        (0.0, 0.0, 0.0, 0.0, 2.0),  # the floor
    ],
)
def test_level_is_utility_less_price_under_the_room_cap(
    price: float, own: float, room: float, share: float, expected: float
) -> None:
    assert prices.refill_rate(price, 6.0, 3, own, room, share) == pytest.approx(expected)


@pytest.mark.parametrize(("outcome", "later"), [(api.Outcome.RESET, False), (api.Outcome.FULL, True)])
def test_a_lost_connection_to_the_counter_does_not_slow_the_ticks(outcome: api.Outcome, later: bool) -> None:
    bench = Bench()
    bench.serve(plan=1)
    for _ in range(4):
        (call,) = counts(bench.run_timers(4.0))[:1]
        bench.handle(api.CounterAnswered(call.name, outcome, 0.0))
        bench.ask(plan=1)
    assert (bench.gateway.call_rate < state.INITIAL_CALL_RATE / SETTINGS.peers) is later
    (customer,) = bench.gateway.customers.values()
    assert (customer.sent > 1.0) is later  # what may have been added is not told again


def test_a_lost_attempt_gives_its_place_under_the_cap_back() -> None:
    bench = Bench()
    (first,) = sends(bench.ask(plan=3, spread=1))
    (second,) = sends(bench.ask(plan=3, spread=1))
    assert finals(bench.ask(plan=3, spread=1))  # both places are taken
    bench.now += SECOND
    for backend in bench.gateway.backends.values():
        backend.answered_us = bench.now  # answers others meanwhile: only the connection is silent
    withdrawn = [a for a in bench.run_timers(0.5) if isinstance(a, api.Cancel)]
    assert {a.request for a in withdrawn} == {first.request, second.request}


def test_the_last_of_a_store_is_kept_for_classes_of_more_worth() -> None:
    bench = Bench(replace(SETTINGS, classes=(SAFE, replace(UNSAFE, worth=5.0))))
    for _ in range(2):
        assert bench.serve(cls=0, plan=1)
    assert finals(bench.ask(cls=0, plan=1))  # six of twelve are left, for all gateways together
    assert bench.serve(cls=1, plan=1)


def test_the_busiest_gateway_is_given_its_part_of_the_store_and_no_more_than_is_left() -> None:
    bench = Bench()
    assert sum(bench.serve(plan=1) is not None for _ in range(9)) == 4  # an even part
    (call,) = counts(bench.run_timers(1.1))
    bench.handle(api.CounterAnswered(call.name, api.Outcome.OK, call.amount))  # nobody else sent or asked
    (customer,) = bench.gateway.customers.values()
    assert customer.share > 0.7 and customer.bucket == pytest.approx(customer.share * 8.0)
    for _ in range(9):
        bench.serve(plan=1)
    (call,) = counts(bench.run_timers(1.1))
    bench.handle(
        api.CounterAnswered(
            call.name, api.Outcome.OK, call.amount + 8 + 8 * prices.PACK_BASE + 4 * (1 + prices.PACK_BASE)
        )
    )
    assert customer.bucket <= state.RESERVE_MARGIN


def test_newcomer_starts_at_the_even_slice_and_is_refused_at_once_when_it_is_spent() -> None:
    bench = Bench()
    let_in = sum(bench.serve(plan=1) is not None for _ in range(12))
    assert let_in == 4  # a third of the burst of 12
    assert finals(bench.ask(plan=1))
    bench.now += SECOND
    assert sum(bench.serve(plan=1) is not None for _ in range(6)) == 2  # a third of 6 a second


def test_counter_call_adds_own_use_and_its_total_moves_price_and_level() -> None:
    bench = Bench()
    for _ in range(3):
        bench.serve(plan=1)
    (call,) = counts(bench.run_timers(1.1))
    assert call.amount == 3 + prices.PACK_BASE * 3
    bench.handle(api.CounterAnswered(call.name, api.Outcome.OK, call.amount))
    bench.serve(plan=1)
    (call,) = counts(bench.run_timers(1.1))
    bench.handle(api.CounterAnswered(call.name, api.Outcome.OK, 4 + prices.PACK_BASE * 4))
    customer = bench.gateway.customers[1]
    assert customer.price < 1.0
    assert customer.refill_rate > 2.0


@pytest.mark.parametrize("outcome", [api.Outcome.TIMEOUT, api.Outcome.FULL])
def test_counter_failure_keeps_the_price_and_opens_no_level(outcome: api.Outcome) -> None:
    bench = Bench()
    for _ in range(3):
        bench.serve(plan=1)
    (call,) = counts(bench.run_timers(1.1))
    bench.handle(api.CounterAnswered(call.name, outcome, 0.0))
    customer = bench.gateway.customers[1]
    assert (customer.price, customer.refill_rate) == (1.0, 2.0)
    told_again = customer.sent > 0
    assert told_again == (outcome is api.Outcome.FULL)  # a time-out may have been added
    assert bench.gateway.call_rate < state.INITIAL_CALL_RATE / SETTINGS.peers


def test_forgetful_counter_opens_no_level() -> None:
    bench = Bench()
    for total in (100 + prices.PACK_BASE * 100, 1 + prices.PACK_BASE):
        bench.serve(plan=1)
        (call,) = counts(bench.run_timers(1.1))
        bench.handle(api.CounterAnswered(call.name, api.Outcome.OK, float(total)))
    assert bench.gateway.customers[1].refill_rate == 2.0
    assert bench.gateway.customers[1].price == 1.0


def test_names_are_alike_at_all_gateways_and_differ_by_customer_and_epoch() -> None:
    names = {api.stable_hash(c, e) for c in range(300) for e in range(300)}
    assert len(names) == 90_000
    assert api.stable_hash(7, 3) == api.stable_hash(7, 3)


def test_cap_on_attempts_out_is_held() -> None:
    bench = Bench()
    assert sends(bench.ask(plan=3))
    assert sends(bench.ask(plan=3))
    assert finals(bench.ask(plan=3))


def test_true_units_are_taken_from_the_bucket() -> None:
    bench = Bench()
    (send,) = sends(bench.ask(plan=1))
    bench.handle(api.AttemptEnded(send.request, 0, send.backend, api.Outcome.OK, True, 1000, 4.0))
    assert bench.gateway.customers[1].bucket == 0.0


# ---- rule 5: ceilings


def test_ceiling_share_holds_with_the_counter_silent_and_after_a_restart() -> None:
    sent = 0
    for _life in range(3):  # each life starts with an empty share: dying refills nothing
        bench = Bench()
        for _ in range(100):
            bench.now += 10_000
            sent += bench.serve(plan=2) is not None
    assert 0 < sent <= 3 * 12.0 / 3  # three seconds at a third of the ceiling's rate


def test_forgetting_a_customer_refills_no_ceiling() -> None:
    bench = Bench()
    bench.now += 60 * SECOND
    for _ in range(30):
        bench.serve(plan=2)
    spent = bench.gateway.customers[1].ceiling
    bench.run_timers(1.5)
    assert 1 in bench.gateway.customers
    assert spent < 1.0
    bench.run_timers(choice.IDLE_US / SECOND + 2)
    assert 1 not in bench.gateway.customers
    assert sum(bench.serve(plan=2) is not None for _ in range(30)) <= 8  # a third of 24


# ---- rule 1: one final answer


def test_every_request_gets_one_final_answer_before_the_client_gives_up() -> None:
    bench = Bench()
    asked = {1, 2}
    assert sends(bench.ask(cls=0))
    assert sends(bench.ask(cls=1))
    actions = bench.run_timers(3.9)
    assert {a.request for a in finals(actions) if isinstance(a, api.Refuse | api.Fail)} == asked
    assert len(finals(actions)) == 2
    assert not sends(bench.run_timers(2.0))


def test_gone_request_is_dropped_and_late_events_are_ignored() -> None:
    bench = Bench()
    (send,) = sends(bench.ask())
    assert bench.handle(api.RequestGone(send.request)) == [api.Cancel(send.request, 0)]
    assert bench.end(send, api.Outcome.CANCELLED, closed=True) == []
    assert not bench.gateway.requests
    assert bench.handle(api.RequestGone(99)) == []
    assert bench.end(send, api.Outcome.OK) == []


# ---- rule 2: no effect twice


def test_unsafe_request_that_may_have_run_is_failed_not_repeated_nor_refused() -> None:
    bench = Bench()
    (send,) = sends(bench.ask(cls=1))
    assert bench.end(send, api.Outcome.RESET)[-1] == api.Fail(send.request)


def test_unsafe_request_that_never_ran_is_sent_elsewhere() -> None:
    bench = Bench()
    (send,) = sends(bench.ask(cls=1))
    (again,) = sends(bench.end(send, api.Outcome.CONNECT_FAILED))
    assert again.backend != send.backend


def test_keyed_request_stays_in_its_cell_and_window() -> None:
    bench = Bench()
    (send,) = sends(bench.ask(cls=2))
    (again,) = sends(bench.end(send, api.Outcome.ERROR))
    assert again.backend % 2 == send.backend % 2
    bench = Bench()
    (send,) = sends(bench.ask(cls=2))
    bench.now += 300_000
    assert finals(bench.end(send, api.Outcome.ERROR)) == [api.Fail(send.request)]


# ---- rule 3: drains


@pytest.mark.parametrize("state", [api.BackendState.DRAINING, api.BackendState.GONE])
def test_nothing_new_goes_to_a_backend_told_draining_or_gone(state: api.BackendState) -> None:
    bench = Bench(backends=2)
    out = [s for _ in range(4) for s in sends(bench.ask())]
    assert {s.backend for s in out} == {0, 1}  # work still out keeps the backend known
    bench.handle(api.BackendList(api.ListKind.DELTA, (replace(bench.entries[0], state=state),)))
    for send in out:
        if send.backend == 1:
            bench.end(send, api.Outcome.OK)
    bench.gateway.backends[1].slowness = 50.0  # the draining one would be the better choice
    picked = {s.backend for s in (bench.serve() for _ in range(20)) if s}
    assert picked == {1}


def test_backend_absent_from_a_full_list_is_gone() -> None:
    bench = Bench(backends=2)
    bench.handle(api.BackendList(api.ListKind.FULL, bench.entries[1:]))
    assert {s.backend for s in (bench.serve() for _ in range(20)) if s} == {1}
    assert 0 not in bench.gateway.backends


# ---- rule 4: cold backends


def test_cold_backend_gets_its_cold_share_of_a_fair_part() -> None:
    bench = Bench()
    bench.handle(api.BackendList(api.ListKind.DELTA, (replace(bench.entries[0], started_us=START),)))
    picked, out = [], []
    for _ in range(200):
        out += sends(bench.ask())
        picked.append(out[-1].backend)
        if len(out) > 4:
            bench.end(out.pop(0), api.Outcome.OK)
    fair = 200 * 0.2 / 3.2  # by capacity: it has a fifth of each of the three warm ones'
    assert 1 <= picked.count(0) <= fair * cold.COLD_HEADROOM + cold.MAX_COLD_CREDIT


def test_most_of_the_pool_cold_takes_its_part_of_the_work() -> None:
    """After a release that replaced most members, the warm ones left stood under queues of ten each while the
    cold ones were given their part of a fleet that was no longer there."""
    bench = Bench(backends=5)
    newcomers = tuple(replace(entry, started_us=START) for entry in bench.entries[1:])
    bench.handle(api.BackendList(api.ListKind.DELTA, newcomers))
    out: list[api.Send] = []
    picked = []
    for _ in range(200):
        out += sends(bench.ask())
        picked.append(out[-1].backend)
        if len(out) > 8:
            bench.end(out.pop(0), api.Outcome.OK)
    fair = 200 * 0.2 / 1.8  # of each, by capacity: one warm, four with a fifth
    parts = [picked.count(backend) for backend in range(1, 5)]
    assert all(0.8 * fair <= part <= fair * cold.COLD_HEADROOM + cold.MAX_COLD_CREDIT for part in parts)


# ---- failures found


def test_overload_shuts_the_window_until_answers_are_fast_again() -> None:
    """Incidents of the first version: overload that fed itself."""
    bench = Bench()
    first = bench.gateway.window
    for _ in range(6):
        slow = sends(bench.ask())
        bench.run_timers(attempts.FAST_SHARE * SAFE.aim_us / SECOND + 0.1)
        for send in slow:
            bench.end(send, api.Outcome.OK)
    assert bench.gateway.window < 0.9 * first


def test_window_bears_a_tenth_of_slow_answers_but_not_half() -> None:
    """Incident iff0f4a: a few requests heavy by themselves shut the window of an idle fleet."""

    def window_after(slow_every: int) -> float:
        bench = Bench()
        gateway, backend = bench.gateway, bench.gateway.backends[0]
        customer = gateway.customer_of(bench.now, api.RequestArrived(1, 0, 0, 7, SAFE.deadline_us, 1.0, 1, 0))
        gateway.load = gateway.mean_load = 6
        for i in range(1, 101):
            age = int(attempts.FAST_SHARE * SAFE.aim_us) + 1 if i % slow_every == 0 else 0
            attempt = state.Attempt(backend, bench.now - age, ended=True)
            request = state.Request(i, 0, SAFE, 4, customer, 0, bench.now, 1.0, attempts=[attempt])
            gateway.adjust_window(bench.now, request, 0)
        return gateway.window

    assert window_after(10) >= 8.0
    assert window_after(2) < 4.0


def test_slowness_fades_when_nobody_confirms_it() -> None:
    """Trace of a quiet day: a backend once measured slow was never tried again."""
    bench = Bench()
    backend = bench.gateway.backends[0]
    backend.slowness, backend.answered_us = 3.0, bench.now
    fresh = bench.gateway.expected_cost(bench.now, backend)
    later = bench.gateway.expected_cost(bench.now + 10 * SECOND, backend)
    assert fresh == pytest.approx(3.0)
    assert later < 1.5


def test_full_backend_rests() -> None:
    bench = Bench(backends=2)
    (send,) = sends(bench.ask())
    (again,) = sends(bench.end(send, api.Outcome.FULL))
    assert again.backend != send.backend
    bench.end(again, api.Outcome.OK, attempt=1)
    assert {s.backend for s in (bench.serve() for _ in range(10)) if s} == {again.backend}


def test_refused_connection_ejects_until_its_time_is_up() -> None:
    bench = Bench(backends=2)
    (send,) = sends(bench.ask())
    (again,) = sends(bench.end(send, api.Outcome.CONNECT_FAILED))
    bench.end(again, api.Outcome.OK, attempt=1)
    assert {s.backend for s in (bench.serve() for _ in range(10)) if s} == {1 - send.backend}
    bench.run_timers(members.EJECT_US / SECOND + 0.1)
    assert {s.backend for _ in range(3) for s in sends(bench.ask())} == {0, 1}


def test_silent_backend_is_left_before_any_time_out() -> None:
    bench = Bench(backends=2)
    (send,) = sends(bench.ask(cls=1))
    bench.now += int(members.SILENT_SHARE * SAFE.aim_us) + 1
    assert {s.backend for s in (bench.serve() for _ in range(10)) if s} == {1 - send.backend}


def test_same_events_give_the_same_actions() -> None:
    def run() -> list[api.Action]:
        bench = Bench()
        actions: list[api.Action] = []
        for i in range(40):
            actions += bench.ask(cls=i % 3, plan=i % 4, customer=i % 5)
            actions += bench.run_timers(0.1)
        return actions

    assert run() == run()


def test_state_is_bounded() -> None:
    bench = Bench()
    for customer in range(500):
        bench.serve(plan=1, customer=customer)
    made = counts(bench.run_timers(choice.IDLE_US / SECOND + 3))
    assert made
    for call in made:
        bench.handle(api.CounterAnswered(call.name, api.Outcome.TIMEOUT, 0.0))
    assert not bench.gateway.customers
    assert not bench.gateway.requests
    assert not bench.gateway.calls


def test_single_resets_do_not_eject_a_backend_that_answers() -> None:
    """Incident i10285b: a fifth of the attempts to some backends were reset; each reset ejected one."""
    bench = Bench(backends=1)
    (send,) = sends(bench.ask(cls=1))
    bench.end(send, api.Outcome.RESET)
    assert bench.serve()
    for _ in range(members.EJECT_FAILURES):
        (send,) = sends(bench.ask(cls=1))
        bench.end(send, api.Outcome.RESET)
    assert finals(bench.ask())


def test_attempts_at_a_backend_that_answers_nothing_do_not_shut_the_window() -> None:
    """Incident i9d2bcf: a gateway cut off from most backends took the loss for overload."""
    bench = Bench()
    first = bench.gateway.window
    bench.ask(cls=1)
    bench.run_timers(1.0)
    assert bench.gateway.window == first


@pytest.mark.parametrize(
    ("field", "bad"),
    [
        ("peers", replace(SETTINGS, peers=0)),
        ("plans", replace(SETTINGS, plans=())),
        ("plans.rate", replace(SETTINGS, plans=(replace(QUOTA, rate=-1.0),))),
        ("rules.cold_from", replace(SETTINGS, rules=replace(SETTINGS.rules, cold_from=0.0))),
    ],
)
def test_bad_settings_are_named(field: str, bad: api.Settings) -> None:
    with pytest.raises(SettingsError, match=f"^{field} "):
        check(bad)


def test_large_request_is_not_sent_on_the_last_of_the_bucket() -> None:
    """Talca's price for over quota: eight units on a bucket of a fraction are beyond the quota, and cost."""
    bench = Bench()
    bench.serve(plan=1)
    bench.gateway.customers[1].bucket = 0.5
    assert finals(bench.ask(plan=1, units=8.0))
    assert sends(bench.ask(plan=1, units=1.0))


def test_two_requests_that_meet_are_not_overload() -> None:
    """At 100 gateways a window holds less than two attempts: one in flight must not refuse the next."""
    bench = Bench(replace(SETTINGS, peers=100, classes=(replace(SAFE, worth=0.5), SAFE)), backends=25)
    for cls in (1, 1, 0):
        assert isinstance(bench.ask(cls=cls)[-1], api.Send)


def test_attempts_in_flight_for_long_are_overload_however_small_the_window() -> None:
    bench = Bench(replace(SETTINGS, peers=100), backends=25)
    for _ in range(3):
        bench.ask()
    bench.now += 5 * SECOND
    assert isinstance(bench.ask()[-1], api.Refuse)


def test_many_gateways_use_a_cold_backend_from_the_start() -> None:
    """Half of a grown fleet stood idle after a release: no gateway saved a whole send within the ramp."""
    sent_cold = 0
    for seed in range(60):
        bench = Bench(replace(SETTINGS, peers=60), backends=30)
        bench.gateway.random.seed(seed)
        newcomer = api.BackendEntry(99, 0, 0, 0, api.BackendState.READY, 1.0, bench.now)
        bench.handle(api.BackendList(api.ListKind.DELTA, (newcomer,)))
        for _ in range(15):
            bench.now += SECOND // 2
            send = bench.serve()
            sent_cold += send is not None and send.backend == 99
    fair = 60 * 15 / 31
    assert 0.2 * fair <= sent_cold <= 0.8 * fair


def test_unanswered_attempts_are_no_load_and_pay_for_copies() -> None:
    """Serdang's class_fail: some backends leave one class unanswered; its attempts filled the window."""
    bench = Bench()
    for _ in range(3):
        assert sends(bench.ask())
    gateway = bench.gateway
    assert gateway.load == 3
    before = gateway.hedge_tokens
    bench.run_timers(SAFE.aim_us / SECOND + 0.1)
    assert gateway.load == 0 and gateway.hedge_tokens >= before + 1.0
    bench.handle(api.AttemptEnded(1, 0, 0, api.Outcome.TIMEOUT, False, 4_000_000, 0.0))
    assert gateway.load == 0


def test_load_is_kept_through_ejection_and_return() -> None:
    bench = Bench(backends=1)
    first = sends(bench.ask())[0]
    assert sends(bench.ask())
    backend = bench.gateway.backends[0]
    bench.gateway.record_failures(bench.now, backend, members.EJECT_FAILURES)
    assert bench.gateway.load == 0
    bench.gateway.readmit(bench.now, backend)
    assert bench.gateway.load == 2
    bench.end(first, api.Outcome.OK)
    assert bench.gateway.load == 1


def test_a_burst_is_overload_at_once_even_if_the_mean_has_not_seen_it() -> None:
    """Gateways that stood still find all at once; the mean alone let all of it in (serdang's overload)."""
    bench = Bench(replace(SETTINGS, peers=100), backends=25)
    assert any(isinstance(bench.ask()[-1], api.Refuse) for _ in range(8))


@pytest.mark.parametrize(
    ("retry_after", "most_us", "expected_us"),
    [(True, 2_000_000, 375_000), (True, 200_000, 200_000), (False, 2_000_000, 0)],
)
def test_a_refusal_says_when_the_bucket_will_let_the_request_in(
    retry_after: bool, most_us: int, expected_us: int
) -> None:
    allowed = replace(SETTINGS.allowed, retry_after=retry_after, max_retry_after_us=most_us)
    bench = Bench(replace(SETTINGS, allowed=allowed))
    # The bucket starts with 4 units and fills at 2 a second. A try beyond costs half its worth, so odds of a
    # third are worth it: 9 units of 3 gateways need a bucket of 1, and an eighth of a second has passed.
    bench.ask(plan=1, customer=9, units=4.0, spread=3)
    bench.now += 125_000
    (refusal,) = bench.ask(plan=1, customer=9, units=9.0, spread=3)
    assert isinstance(refusal, api.Refuse) and refusal.retry_after_us == expected_us


def test_a_backend_that_fails_fast_does_not_draw_the_traffic() -> None:
    bench = Bench(backends=4)
    sent = [0, 0, 0, 0]
    for _ in range(400):
        bench.now += 10_000
        send = next(a for a in bench.ask(cls=1) if isinstance(a, api.Send))
        sent[send.backend] += 1
        fails = send.backend == 2 and bench.next % 3 > 0
        bench.end(send, api.Outcome.ERROR if fails else api.Outcome.OK, latency=5_000 if fails else 100_000)
    # unpriced, it would get more than its quarter, for its errors end soonest
    assert sent[2] < 400 / 4 / 2 and min(sent) > 0


# ---- many gateways, each of which sees little of a customer

THIN = replace(SETTINGS, peers=30, plans=(FREE, QUOTA, CEILING, OPEN), most_units=8.0)


def thin_bench(plan: int = 1) -> tuple[Bench, api.Count]:
    """A gateway that has asked the counter about the first request of a customer of thirty gateways."""
    bench = Bench(THIN)
    bench.now += SECOND  # calls are saved up
    asked = bench.ask(plan=plan, spread=30)
    assert not sends(asked) and not finals(asked)
    return bench, counts(asked)[0]


@pytest.mark.parametrize(
    ("outcome", "others", "sent"),
    [
        (api.Outcome.OK, 4.0, True),  # a total that leaves room
        (api.Outcome.OK, 60.0, False),  # the store is spent, by all together
        (api.Outcome.TIMEOUT, 0.0, True),  # no answer: as this gateway alone would decide
    ],
)
def test_a_request_that_the_slice_does_not_hold_waits_for_the_total(
    outcome: api.Outcome, others: float, sent: bool
) -> None:
    """A third of the worth was refused with half of the quota unused: a slice of 1/30 held no request, and
    the total came when it had been refused."""
    bench, call = thin_bench()
    bench.now += 5_000
    after = bench.handle(
        api.CounterAnswered(call.name, outcome, call.amount + others * (1 + prices.PACK_BASE))
    )
    assert bool(sends(after)) is sent
    assert bool(finals(after)) is not sent


def test_a_request_whose_client_left_while_it_waits_is_not_sent_and_its_units_are_given_back() -> None:
    bench, call = thin_bench()
    bench.handle(api.RequestGone(bench.next))
    assert not bench.handle(api.CounterAnswered(call.name, api.Outcome.OK, call.amount))
    assert not bench.gateway.requests
    (back,) = counts(bench.run_timers(1.1))
    assert back.amount == -1.0


def test_a_first_total_opens_the_ceiling_by_what_all_have_left_of_it() -> None:
    """The first seconds after a start refused nearly all of a plan with a ceiling: its share began empty."""
    bench, call = thin_bench(plan=2)
    (send,) = sends(bench.handle(api.CounterAnswered(call.name, api.Outcome.OK, call.amount)))
    bench.end(send, api.Outcome.OK)
    bench, call = thin_bench(plan=2)
    total = call.amount + 60.0 * (1 + prices.PACK_BASE)  # sent on by all before this gateway was killed
    assert finals(bench.handle(api.CounterAnswered(call.name, api.Outcome.OK, total)))


def test_calls_become_few_while_the_counter_answers_late_and_come_back() -> None:
    """Forty gateways made a line at the counter that answered no call in time, for the whole day."""
    bench = Bench(THIN)
    bench.now += SECOND
    for customer in range(20):
        bench.ask(plan=1, customer=customer, spread=30)
    out = sum(len(waiting) for waiting in bench.gateway.calls.values())
    assert 0 < out <= state.INITIAL_CALL_RATE / THIN.peers  # the others find no call left
    rates = [bench.gateway.call_rate]
    for late in (True, True, False, False):
        for _ in range(50):
            for call in counts(bench.run_timers(0.02)):
                bench.now += THIN.counter_timeout_us if late else 1_000
                outcome = api.Outcome.TIMEOUT if late else api.Outcome.OK
                bench.handle(api.CounterAnswered(call.name, outcome, call.amount))
        for customer in range(20):
            bench.ask(plan=1, customer=customer, spread=30)
        rates.append(bench.gateway.call_rate)
    assert rates[0] > rates[1] > rates[2] < rates[4]
    assert (
        rates[2] >= rates[0] * choice.RATE_CUT**8
    )  # the line of one jam is not answered with ever more cuts


def test_a_connection_that_is_up_is_used_again_where_a_new_one_has_its_price() -> None:
    """Forty gateways opened connections to all of sixty members, who then turned new ones away."""
    used = []
    for price in (0.0, 0.08):
        bench = Bench(replace(SETTINGS, handshake_price=price), backends=40)
        picked = set()
        for _ in range(60):
            (send,) = sends(bench.ask())
            bench.end(send, api.Outcome.OK, latency=int(bench.gateway.latency_us[0]))
            picked.add(send.backend)
        used.append(len(picked))
    assert used[0] >= 20 and used[1] <= 4


def test_a_member_short_of_connections_is_not_ill() -> None:
    """Members at their most connections were ejected for seconds, with connections to them up and idle."""
    bench = Bench(backends=1)
    (first,) = sends(bench.ask())
    bench.end(first, api.Outcome.OK)
    (kept,) = sends(bench.ask())
    (more,) = sends(bench.ask())
    bench.end(more, api.Outcome.CONNECT_FAILED)
    assert finals(bench.ask())  # not asked again at once
    bench.end(kept, api.Outcome.OK)
    bench.now += attempts.PAUSE_US
    assert bench.serve()
