"""Live plans without I/O: validation and lookup of the book, allowances after a change of plan, leases."""

import datetime
import json
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millfront import interface as api
from millfront.decisions.state import Customer
from millfront.operators.faults import InvalidDocument
from millfront.operators.slices import run_to_end
from millfront.plans import book as books
from millfront.plans.carry import change_plan
from millfront.plans.leases import EPOCH_US, ReservationSpec
from tests.fleet import BEGIN_US, Fleet
from tests.test_choice import SECOND

CASUAL = api.Plan(2.0, 8.0, 0, 1.0, 0.0, 0.6, 0.0, 0.0, 0.0)
REGULAR = api.Plan(8.0, 30.0, 0, 1.0, 0.0, 0.6, 16.0, 60.0, 8.0)
COLLECTOR = api.Plan(30.0, 60.0, 0, 1.0, 0.0, 1.2, 0.0, 0.0, 0.0)
SETTLED = {"casual": CASUAL, "collector": COLLECTOR}
ONE, OTHER = "00000000b4d65521", "00000000000000ff"
INSIDE, RESERVED = api.Standing.INSIDE, api.Standing.RESERVED


def instant(second: int) -> str:
    return datetime.datetime.fromtimestamp(second, datetime.UTC).isoformat()


def book(**entries: object) -> books.Book:
    return books.decode(json.dumps({"version": 3} | entries).encode())


# ---- the book


@pytest.mark.parametrize(
    ("entries", "named"),
    [
        ({"assignment": []}, "$.assignment: no such field; did you mean 'assignments'?"),
        ({"version": 0}, "$.version: Expected `int` >= 1"),
        ({"assignments": [{"customer": "b4", "plan": "casual"}]}, "$.assignments[0].customer: "),
        (
            {"assignments": [{"customer": ONE, "plan": "gold"}]},
            "$.assignments[0].plan: no plan is named 'gold'",
        ),
        ({"assignments": [{"customer": ONE, "plan": "casual"}] * 2}, "$.assignments[1]: customer"),
        ({"assignments": [{"customer": ONE, "plan": "casual", "from": "2026-12-01T00:00:00"}]}, "timezone"),
        (
            {"assignments": [{"customer": ONE, "plan": "casual", "from": instant(9), "until": instant(9)}]},
            "$.assignments[0]: until: must be after from",
        ),
        ({"plans": [{"name": "a", "rate": 1, "burst": 0}]}, "$.plans[0]: burst"),
        ({"plans": [{"name": "a", "rate": -1, "burst": 1}]}, "$.plans[0].rate: "),
        ({"plans": [{"name": "a", "rate": 1, "burst": 1}] * 2}, "$.plans[1]: plan 'a' is defined twice"),
        (
            {"reservations": [{"name": "r", "customer": ONE, "from": instant(1), "until": instant(9)}]},
            "$.reservations[0]: exactly one of rate and units is required",
        ),
    ],
)
def test_a_books_fault_is_named_by_its_path(entries: dict[str, object], named: str) -> None:
    try:
        faults = books.check(book(**entries), SETTLED, 50.0)
    except InvalidDocument as wrong:
        faults = wrong.faults
    assert any(named in str(fault) for fault in faults), faults


def test_all_faults_are_named_at_once() -> None:
    with pytest.raises(InvalidDocument) as wrong:
        book(plans=[{"name": "a"}], reservations=[{"rate": -1}], assignments=[{"customer": ONE}, {"plan": 3}])
    paths = {fault.path for fault in wrong.value.faults}
    assert {"$.plans[0].rate", "$.plans[0].burst", "$.reservations[0].name", "$.assignments[0].plan"} <= paths


def test_reservations_add_up_and_are_held_to_the_share_at_every_instant() -> None:
    def reserved(*spans: tuple[int, int, float]) -> list[dict[str, object]]:
        return [
            {"name": f"r{i}", "customer": ONE, "rate": rate, "from": instant(a), "until": instant(b)}
            for i, (a, b, rate) in enumerate(spans)
        ]

    fits = book(reservations=reserved((10, 20, 30.0), (20, 30, 40.0), (15, 20, 20.0)))
    assert books.check(fits, SETTLED, 50.0) == []
    (fault,) = books.check(book(reservations=reserved((10, 20, 30.0), (19, 30, 40.0))), SETTLED, 50.0)
    assert "70 units a second" in fault.why and "1970-01-01T00:00:19" in fault.why


def test_the_book_grants_terms_by_instant_and_none_elsewhere() -> None:
    held = book(
        plans=[{"name": "gold", "rate": 50, "burst": 9, "from": instant(100)}],
        assignments=[
            {"customer": ONE, "plan": "collector", "from": instant(10), "until": instant(20)},
            {"customer": ONE, "plan": "gold", "from": instant(90)},
        ],
        reservations=[{"name": "r", "customer": OTHER, "rate": 1, "from": instant(10), "until": instant(20)}],
    )
    made, _ = run_to_end(books.compile_in_slices(held, SETTLED, None, 0))

    def asked(second: float, customer: str = ONE, named: str = "casual") -> books.Terms | None:
        return made.terms(int(customer, 16), named, int(second * SECOND))

    assert asked(9.999999) is None
    assert asked(10) == books.Terms(COLLECTOR, "collector", 3)
    assert asked(20) is None  # the request's plan applies again
    assert asked(95) is None  # assigned, but the plan is not defined yet
    gold = asked(100)
    assert gold is not None and gold.plan is not None and gold.plan.rate == 50
    assert asked(100, "1", "gold") == gold  # a request that names a plan of the book
    assert asked(15, OTHER) == books.Terms(None, "casual", 3, True)
    assert asked(20, OTHER) is None


def test_late_entries_are_reported_and_unchanged_plans_keep_their_identity() -> None:
    first, _ = run_to_end(
        books.compile_in_slices(book(plans=[{"name": "a", "rate": 1, "burst": 1}]), {}, None, 0)
    )
    entries = [{"customer": ONE, "plan": "a", "from": instant(10)}]
    second = book(version=4, plans=[{"name": "a", "rate": 1, "burst": 1}], assignments=entries)
    made, late = run_to_end(books.compile_in_slices(second, {}, first, 12_500_000))
    assert late == books.Lateness(1, 2_500_000)
    _, again = run_to_end(books.compile_in_slices(second, {}, made, 99_000_000))
    assert again == books.Lateness(0, 0)
    assert made.defined["a"][0][2] is first.defined["a"][0][2]


# ---- a change of plan, over all gateways together


def allowed(plans: list[tuple[float, api.Plan]], end: float, heard_s: float) -> float:
    """The bound of docs/design/live-plans.md in units: a burst, the rates over time, and late gateways."""
    edges = [at for at, _ in plans[1:]] + [end]
    given = sum(plan.rate * (edge - at) for (at, plan), edge in zip(plans, edges, strict=True))
    most = max(plan.rate for _, plan in plans)
    return max(plan.burst for _, plan in plans) + given + most * heard_s * (len(plans) - 1)


def overdrawn(seconds: float) -> float:
    """The normal path's own error in units, with or without changes: a request per gateway and tick."""
    return 3 * 2.0 * (seconds + 1.0)


@settings(max_examples=15, deadline=None)
@given(
    st.lists(st.tuples(st.floats(1.0, 6.0), st.sampled_from([CASUAL, REGULAR, COLLECTOR])), max_size=6),
    st.integers(0, 1000),
    st.floats(0.0, 1.0),
)
def test_over_changes_of_plan_no_more_is_sent_on_than_the_bound(
    moves: list[tuple[float, api.Plan]], seed: int, heard_s: float
) -> None:
    fleet = Fleet(3, CASUAL, seed)
    fleet.plans = [CASUAL] * 3
    plans = [(0.0, CASUAL)]
    for gap, plan in moves:
        at = plans[-1][0] + gap
        plans.append((at, plan))
        for me in range(3):  # each hears of it at a time of its own
            when = BEGIN_US + int((at + heard_s * me / 3) * SECOND)
            fleet.at(when, lambda me=me, plan=plan: fleet.plans.__setitem__(me, plan))  # type: ignore[misc]
    end = plans[-1][0] + 8.0
    for me, rate in enumerate((60.0, 20.0, 5.0)):  # far over each quota, unevenly
        fleet.asks(me, rate, 2.0, end)
    fleet.run(end)
    slack = 1.5 * max(plan.rate for _, plan in plans) + overdrawn(end)
    assert fleet.units(INSIDE) <= allowed(plans, end, heard_s) + slack


def test_switching_plans_back_and_forth_in_a_burst_gains_nothing() -> None:
    def sent(moves: bool) -> float:
        fleet = Fleet(3, COLLECTOR)
        fleet.plans = [COLLECTOR] * 3
        for me in range(3):
            fleet.asks(me, 60.0, 2.0, 10.0)
        for step in range(1, 21 if moves else 0):
            to = CASUAL if step % 2 else COLLECTOR
            at = BEGIN_US + int((2.0 + step * 0.2) * SECOND)
            fleet.at(at, lambda to=to: fleet.plans.__setitem__(slice(None), [to] * 3))  # type: ignore[misc]
        fleet.run(10.0)
        return fleet.units(INSIDE)

    assert sent(True) <= sent(False)


def test_a_downgrade_takes_effect_within_the_burst() -> None:
    def second_half(first: api.Plan) -> float:
        fleet = Fleet(3, first)
        fleet.plans = [first] * 3
        for me in range(3):
            fleet.asks(me, 80.0, 2.0, 12.0)  # eight times the larger quota
        fleet.run(6.0)
        fleet.plans = [CASUAL] * 3
        fleet.run(6.0)
        return fleet.units(INSIDE, since=BEGIN_US + 6 * SECOND)

    assert second_half(COLLECTOR) <= second_half(CASUAL) + 3 * 2.0


def test_an_upgrade_grants_its_burst_less_what_was_spent_and_its_rate() -> None:
    fleet = Fleet(3, CASUAL)
    fleet.plans = [CASUAL] * 3
    for me in range(3):
        fleet.asks(me, 40.0, 2.0, 14.0)
    fleet.run(6.0)
    fleet.plans = [COLLECTOR] * 3
    fleet.run(8.0)
    start = BEGIN_US + 6 * SECOND
    at_once = fleet.units(INSIDE, since=start, until=start + SECOND // 2)
    granted = COLLECTOR.burst - CASUAL.burst  # the whole casual burst was spent
    assert 0.8 * granted <= at_once <= granted + COLLECTOR.rate * 0.5 + overdrawn(0.0)
    assert fleet.units(INSIDE, since=start + 2 * SECOND) >= 0.8 * COLLECTOR.rate * 6.0


@pytest.mark.parametrize(
    ("moves", "level"),
    [  # 6 of 8 units are spent; the levels of the bucket after the last change
        ([COLLECTOR], 54.0),
        ([COLLECTOR, CASUAL], 2.0),
        ([COLLECTOR, CASUAL, COLLECTOR], 54.0),
        ([REGULAR, COLLECTOR], 54.0),
        ([], 2.0),
    ],
)
def test_a_deficit_carries_over_to_each_plan_and_back(moves: list[api.Plan], level: float) -> None:
    customer = Customer(7, CASUAL, 2, 1.0, 1.0, 0, 0.0, 0, 0, 0.5, 2.0)
    for plan in moves:
        change_plan(0, customer, plan)
    assert customer.bucket / customer.share == level
    if moves:
        assert (customer.price, customer.refill_rate) == (1.0, moves[-1].rate / 2)


def test_a_refilled_bucket_leaves_no_deficit() -> None:
    customer = Customer(7, COLLECTOR, 1, 0.0, 30.0, 0, 0.0, 0, 0, 1.0, 0.0)
    change_plan(0, customer, CASUAL)
    assert customer.bucket == 0.0  # a deficit of 60: the bucket shows 8, 52 are remembered
    customer.bucket = 8.0  # full again, but not for long enough
    change_plan(20 * SECOND, customer, COLLECTOR)
    assert customer.bucket == 8.0
    change_plan(20 * SECOND, customer, CASUAL)
    customer.bucket = 8.0
    change_plan(50 * SECOND, customer, COLLECTOR)
    assert customer.bucket == 60.0


def test_a_ceiling_starts_empty_after_a_plan_without_one() -> None:
    fleet = Fleet(1, COLLECTOR)
    fleet.plans = [COLLECTOR]
    fleet.asks(0, 30.0, 1.0, 3.0)
    fleet.run(2.9)
    fleet.plans = [REGULAR]
    fleet.run(0.05)
    customer = fleet.gateways[0].customers[7]
    assert customer.ceiling <= REGULAR.ceiling_rate * 0.06


# ---- reservations


def reserving(rate: float | None, units: float | None, seconds: float = 60.0, **fleet: float) -> Fleet:
    made = Fleet(3, CASUAL, int(fleet.get("seed", 1)), fleet.get("lost", 0.0))
    made.reserves = True
    held = ReservationSpec(99, 7, BEGIN_US, BEGIN_US + int(seconds * SECOND), rate, units)
    for leases in made.leases:
        leases.update(BEGIN_US, [held])
    return made


@pytest.mark.parametrize("rates", [(30.0, 30.0, 30.0), (80.0, 8.0, 2.0)])
def test_a_reserved_rate_is_honoured_and_held_over_all_gateways(rates: tuple[float, ...]) -> None:
    fleet = reserving(20.0, None)
    for me, rate in enumerate(rates):
        fleet.asks(me, rate, 2.0, 12.0)
    fleet.run(12.0)
    got = fleet.units(RESERVED)
    assert 0.85 * 20.0 * 12.0 <= got <= 20.0 * 14.0
    plan = fleet.units(INSIDE)
    assert plan <= CASUAL.burst + 12.0 * CASUAL.rate + overdrawn(12.0)  # the plan's quota is unchanged


def test_reserved_units_in_all_are_honoured_once_over_the_counters_epochs() -> None:
    fleet = reserving(None, 900.0)
    for me, rate in enumerate((20.0, 8.0, 2.0)):
        fleet.asks(me, rate, 2.0, 50.0)
    fleet.run(50.0)
    assert 0.95 * 900.0 <= fleet.units(RESERVED) <= 900.0
    assert fleet.sent[-1][0] - BEGIN_US > 2 * EPOCH_US


def test_what_a_dead_gateway_had_spent_stays_spent() -> None:
    fleet = reserving(None, 600.0)
    fleet.asks(0, 10.0, 2.0, 12.0)
    fleet.run(13.0)
    spent = fleet.units(RESERVED)
    assert 150.0 < spent < 300.0
    fleet.restart(0)  # loses all its state
    fleet.leases[0].update(fleet.now, [ReservationSpec(99, 7, BEGIN_US, BEGIN_US + 99 * SECOND, None, 600.0)])
    for me in range(3):
        # By then the counter has forgotten the name that the dead gateway spent under
        fleet.asks(me, 20.0, 2.0, 40.0, start_s=25.0)
    fleet.run(70.0)
    assert 500.0 <= fleet.units(RESERVED) <= 600.0


def test_a_reservation_that_ends_or_is_cancelled_in_a_burst_grants_nothing_more() -> None:
    for cancelled in (False, True):
        fleet = reserving(20.0, None, seconds=99.0 if cancelled else 5.0)
        for me in range(3):
            fleet.asks(me, 30.0, 2.0, 10.0)
        fleet.run(5.0)
        if cancelled:
            for me, leases in enumerate(fleet.leases):
                fleet._carry_out(me, leases.update(fleet.now, []))
        fleet.run(5.0)
        assert fleet.units(RESERVED, since=BEGIN_US + 6 * SECOND + SECOND // 2) == 0.0


TROUBLES = st.sampled_from(["restart", "down", "up"])


@settings(max_examples=15, deadline=None)
@given(
    st.integers(0, 1000),
    st.floats(0.0, 0.5),
    st.lists(
        st.tuples(st.floats(2.0, 40.0), st.integers(0, 2), st.sampled_from(["restart", "down", "up"])),
        max_size=4,
    ),
)
def test_reserved_units_are_never_exceeded_whatever_is_lost(
    seed: int, lost: float, troubles: list[tuple[float, int, str]]
) -> None:
    fleet = reserving(None, 400.0, seed=seed, lost=lost)
    held = ReservationSpec(99, 7, BEGIN_US, BEGIN_US + 60 * SECOND, None, 400.0)
    at_risk = 0.0

    def trouble(me: int, kind: str) -> None:
        nonlocal at_risk
        if kind == "restart":
            # Stated: what a dead gatekeeper leased since any other one has read a total is forgotten
            at_risk += sum(u for _, at, u, s in fleet.sent if at == me and s is RESERVED)
            fleet.restart(me)
            fleet.leases[me].update(fleet.now, [held])
        else:
            fleet.counter.down = kind == "down"

    for when, me, kind in troubles:
        fleet.at(BEGIN_US + int(when * SECOND), lambda me=me, kind=kind: trouble(me, kind))  # type: ignore[misc]
    for me, rate in enumerate((6.0, 4.0, 2.0)):
        fleet.asks(me, rate, 2.0, 50.0)
    fleet.run(55.0)
    assert fleet.units(RESERVED) <= 400.0 + at_risk


def test_without_a_counter_each_gateway_leases_its_even_part() -> None:
    fleet = reserving(None, 90.0)
    for leases in fleet.leases:
        leases.counter = False
    fleet.asks(0, 50.0, 2.0, 10.0)
    fleet.run(10.0)
    assert 24.0 <= fleet.units(RESERVED) <= 30.0


def test_units_spent_before_the_counter_forgot_are_not_leased_again() -> None:
    fleet = reserving(None, 200.0)
    for me in range(3):
        fleet.asks(me, 30.0, 2.0, 12.0)
    fleet.at(BEGIN_US + SECOND, fleet.counter.names.clear)
    fleet.run(12.0)
    # Allowed: what the others leased between this gateway's last read and the loss
    assert fleet.units(RESERVED) <= 200.0 * 1.1


def test_true_units_are_settled_with_what_was_leased() -> None:
    fleet = reserving(20.0, None)
    gateway = fleet.gateways[0]
    fleet.asks(0, 30.0, 2.0, 2.0)
    while not any(request.reserved for request in gateway.requests.values()):
        fleet.run(0.01)
    customer = gateway.customers[7]
    request = next(r for r in gateway.requests.values() if r.reserved)
    before = customer.leased
    number = request.attempts[0]
    ended = api.AttemptEnded(request.id, 0, number.backend.id, api.Outcome.OK, True, 90_000, 5.0)
    gateway.handle(fleet.now, ended)
    assert customer.leased == before - 3.0


def test_a_plan_with_another_quantum_counts_under_another_name() -> None:
    large = replace(COLLECTOR, rate=500.0, burst=900.0)
    fleet = Fleet(2, COLLECTOR)
    fleet.plans = [COLLECTOR, large]  # a version apart
    for me in range(2):
        fleet.asks(me, 50.0, 2.0, 2.0)
    fleet.run(2.0)  # within one epoch
    totals = [total for _, total in fleet.counter.names.values()]
    assert len(totals) == 2
