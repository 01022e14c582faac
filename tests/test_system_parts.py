"""Unit tests of the system's parts: configuration, settings, messages, disk, retries and load balancing."""

import json
from pathlib import Path
from typing import Any

import pytest
from result import Err, Ok

from millfront import environment
from millfront.control import configuration
from millfront.control.configuration import Service
from millfront.dataplane.load_balancer import MAX_EJECTED_SHARE, LoadBalancer, State
from millfront.dataplane.retries import Outcome, RequestProgress, RetryBudget
from millfront.discovery.server_list import Phase, Server
from millfront.discovery.warm_up import WarmUp
from millfront.environment import Bounds
from millfront.node.endings import Ending
from millfront.operations import messages
from millfront.register.values import Value
from millfront.storage.disk import Disk
from millfront.storage.lmdb_folder import DiskError
from millfront.transport import connections
from tests.system_world import ZONES, document


def changed(where: str, **spec: Any) -> str:
    fields = json.loads(document(7, {"t": ["k"], "u": ["l"]}))
    for resource in fields["resources"]:
        if resource["variant"] == where:
            resource["spec"] |= spec
    return json.dumps(fields)


@pytest.mark.parametrize(
    ("text", "error"),
    [
        (document(7)[:300], "not JSON"),
        (changed("routes", target="nobody"), "route r: unknown service nobody"),
        (changed("routes", split=[{"target": "shop", "weight": 0}]), "weights sum to 0"),
        (changed("routes", target_time="64s"), "a minute or more"),
        (changed("routes", path_prefix="p/"), "starts with no slash"),
        (changed("routes", host=""), "host: is empty"),
        (changed("routes", variant_tag="other"), "variant_tag"),
        (changed("routes", deadline="soon"), "routes r: "),
        (changed("routes", deadline="soon"), "deadline"),
        (changed("routes", deadline="0ms"), "routes r: deadline: '0ms' leaves no time"),
        (changed("tenants", api_keys=["same"]), "shares a key"),
        (json.dumps({"revision": "7", "resources": []}), "revision"),
    ],
)
def test_an_invalid_configuration_is_refused_and_its_fault_named(text: str, error: str) -> None:
    match configuration.checked(text):
        case Err(fault):
            assert error in str(fault)
        case Ok(_):
            raise AssertionError("the invalid configuration was accepted")


def test_an_unusual_but_valid_configuration_is_accepted() -> None:
    for text in (
        changed("routes", target_time="63999ms"),
        changed("routes", home_regions=None, also="unknown"),
        changed("routes", split=[{"target": "shop", "weight": 0}, {"target": "shop", "weight": 1}]),
        changed("tenants", api_keys=None),
    ):
        assert configuration.checked(text).is_ok()


def test_of_the_routes_that_begin_a_path_the_longest_is_chosen() -> None:
    fields = json.loads(document(7))
    longer = json.loads(json.dumps(fields["resources"][0]))
    longer["meta"]["name"], longer["spec"]["path_prefix"] = "longer", "/p/q/"
    fields["resources"].append(longer)
    compiled = configuration.checked(json.dumps(fields)).unwrap()
    for path, name in (("/p/x", "r"), ("/p/q/x", "longer"), ("/p/q", "r"), ("/p", None), ("/x", None)):
        found = compiled.route_of("a.example", path)
        assert (found.name if found else None) == name


def test_a_prefix_that_ends_within_a_name_counts_by_its_length_among_the_others() -> None:
    fields = json.loads(document(7))
    for name, prefix in (("odd", "/p/q"), ("even", "/p/q/r/"), ("root", "/")):
        entry = json.loads(json.dumps(fields["resources"][0]))
        entry["meta"]["name"], entry["spec"]["path_prefix"] = name, prefix
        fields["resources"].append(entry)
    compiled = configuration.checked(json.dumps(fields)).unwrap()
    for path, name in (
        ("/p/qx/", "odd"),
        ("/p/q/r/s", "even"),
        ("/p/q/r", "odd"),
        ("/p/x", "r"),
        ("/x", "root"),
    ):
        found = compiled.route_of("a.example", path)
        assert found is not None and found.name == name


def settings_document(**me: Any) -> dict[str, Any]:
    return {
        "self": {"node_name": "n", "ip_addr": "10.0.0.1", "zone": "aa", "region": "a", "serves": ["edge"],
                 "limits": {}, "new": 1} | me,
        "network": {"port_range": [7000, 7010], "seed_nodes": ["10.0.0.1:81"], "zones": ZONES},
        "platform": {"cloud_api": {"address": "10.0.0.9:1"}},
        "terms": {"bounds": {"contact": "4000ms", "rate_extra": 20}},
    }  # fmt: skip


def test_the_log_s_level_and_form_are_settings_and_checked() -> None:
    assert not environment.read(settings_document()).unwrap().log_json
    settings = environment.read(settings_document() | {"log": {"level": "ERROR", "format": "json"}}).unwrap()
    assert (settings.log_level, settings.log_json) == ("ERROR", True)
    assert "log.level" in str(environment.read(settings_document() | {"log": {"level": "loud"}}).unwrap_err())


def test_settings_are_read_with_unknown_fields_ignored_and_a_bad_one_named() -> None:
    settings = environment.read(settings_document()).unwrap()
    assert settings.bounds.contact == 4.0 and settings.post_address == "10.0.0.1:7000"
    for bad, name in (({"fresh": "yes"}, "fresh"), ({"zone": ""}, "zone"), ({"limits": 3}, "limits")):
        assert name in str(environment.read(settings_document(**bad)).unwrap_err())


@pytest.mark.parametrize("cut", [b"{", b"[]", b'{"t":1}', b'{"z":"AAAA"}', b"\xff", b"{}"])
def test_a_malformed_line_raises_a_decode_error(cut: bytes) -> None:
    with pytest.raises(connections.DecodeError):
        connections.decode_message(cut)


def test_a_long_message_is_compressed_and_decoded_unchanged() -> None:
    message = {"t": "store", "v": {"config": [1, "x", "y" * 9000]}}
    data = connections.encode_message(message)
    assert len(data) < 400 and connections.decode_message(data) == message


OPERATION_MESSAGES = [
    messages.Claim("o", "a", 2),
    messages.ClaimReply("o", "a", messages.Verdict.GRANTED),
    messages.ClaimReply("o", "a", messages.Verdict.CONFLICT, messages.State.UNKNOWN, 1.5),
    messages.Withdraw("o", "a"),
    messages.Finish("o", "a", None),
    messages.FinishAck("o", "a"),
    messages.Gather(3, "o"),
    messages.Records(3, "", {}, (), last=True, known_before=2),
    messages.Records(3, "", {"o" * 32: "row" * 400}, (1.5,), last=False, known_before=2),
    messages.CaughtUp(3),
]


@pytest.mark.parametrize("sent", OPERATION_MESSAGES, ids=lambda sent: type(sent).__name__)
def test_each_message_of_operation_keys_arrives_as_it_was_sent(sent: Any) -> None:
    """Guards against a short message that is taken for a compressed one, also by the version before."""
    line = connections.encode_message(sent.to_wire())
    received = connections.decode_message(line)
    assert type(sent).from_wire(received) == sent
    # The version before takes each object with a key "z" for an envelope
    assert "z" not in json.loads(line) or isinstance(json.loads(line)["z"], str)


def test_a_disk_keeps_the_higher_value_and_sets_aside_what_it_can_not_read(tmp_path: Path) -> None:
    disk = Disk(str(tmp_path))
    assert disk.load() == ({}, "")
    disk.store({"config": Value(4, "a", "four"), "core": Value(2, "", "{}")})
    disk.store({"config": Value(3, "z", "three")})
    disk.close()
    again = Disk(str(tmp_path))
    kept, why = again.load()
    assert (kept["config"].data, why) == ("four", "")
    again.close()
    data = tmp_path / "registry" / "data.mdb"
    data.write_bytes(b"torn" * 2000)
    kept, why = Disk(str(tmp_path)).load()
    assert kept == {} and why
    assert (tmp_path / "registry.aside-0" / "data.mdb").read_bytes()[:4] == b"torn"


def test_a_disk_that_is_not_there_is_a_fault(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    with pytest.raises(DiskError):
        Disk(str(tmp_path / "file")).load()


# ---- outcomes and the retry budget ------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("ending", "repeatable", "outcome", "retried", "known_not_run"),
    [
        (Ending.NOT_STARTED, False, Outcome.NOT_RUN, True, True),
        (Ending.CONNECT_FAILED, False, Outcome.NOT_RUN, True, True),
        (Ending.BROKEN, False, Outcome.UNKNOWN, False, False),
        (Ending.BROKEN, True, Outcome.UNKNOWN, True, False),
        (Ending.MALFORMED, False, Outcome.UNKNOWN, False, False),
        (Ending.TIMED_OUT, False, Outcome.UNKNOWN, False, False),
        (Ending.ERRORED, False, Outcome.UNKNOWN, False, False),
        (Ending.SERVED, False, Outcome.DONE, True, True),
    ],
)
def test_only_a_request_known_not_to_have_run_is_retried_unless_it_is_repeatable(
    ending: Ending, repeatable: bool, outcome: Outcome, retried: bool, known_not_run: bool
) -> None:
    progress = RequestProgress(repeatable, 2)
    progress.attempt_started("i-1")
    progress.attempt_ended(ending)
    assert (progress.outcome, progress.may_retry(), progress.known_not_run()) == (
        outcome,
        retried,
        known_not_run,
    )


def test_a_request_with_a_hedge_in_flight_is_not_known_not_to_have_run() -> None:
    progress = RequestProgress(True, 3)
    progress.attempt_started("i-1")
    progress.attempt_started("i-2")
    progress.attempt_ended(Ending.NOT_STARTED)
    assert not progress.known_not_run()
    progress.attempt_ended(Ending.BROKEN)
    assert progress.outcome is Outcome.UNKNOWN and not progress.known_not_run()


@pytest.mark.parametrize("n", [1, 11, 82])
def test_all_retry_budgets_together_stay_within_the_budget_of_a_window(n: int) -> None:
    bounds = Bounds(retry_ratio=0.2, retry_window=10.0, retry_extra=62.0)
    retry_budgets = [RetryBudget(bounds, 0.0) for _ in range(n)]
    spent: list[float] = []
    requests: list[float] = []
    for step in range(4000):  # 40 s; all retry whenever they may, and 40 requests per second arrive
        now = step / 100
        retry_budget = retry_budgets[step * 7 % n]
        if step % 5 < 2:
            requests.append(now)
            retry_budget.record_request(now, n)
        spent += [now for one in retry_budgets if one.spend(now, n)]
    for at in range(31):
        window = [t for t in spent if at <= t < at + 10]
        came = [t for t in requests if at <= t < at + 10]
        most = bounds.retry_ratio * len(came) + bounds.retry_extra
        assert len(window) <= most + max(
            0, n - 62
        )  # more gatekeepers than retries: each may hold one at the start
    assert len([t for t in spent if t >= 20]) > 0.5 * bounds.retry_ratio * len(
        [t for t in requests if t >= 20]
    )


# ---- load balancing --------------------------------------------------------------------------------

SHOP = Service("shop", "/health", 100, 3.0, 2.0)
ANY: frozenset[str] = frozenset()


def load_balancer(count: int = 6, cold: float = 0.0) -> LoadBalancer:
    balancer = LoadBalancer("aa", ZONES, 1)
    balancer.update_servers(
        Server(f"i-{k}", "shop", f"10.0.2.{k}:80", list(ZONES)[k % 4], 3, Phase.READY, WarmUp(cold), 0.0)
        for k in range(count)
    )
    return balancer


def picks(balancer: LoadBalancer, now: float, count: int, **how: Any) -> list[str]:
    found = [
        balancer.pick(now, SHOP, how.get("repeatable", True), how.get("homes", ANY), 500.0)
        for _ in range(count)
    ]
    return [seen.server.ident for seen in found if seen is not None]


def test_home_regions_evacuations_and_phases_restrict_the_choice() -> None:
    balancer = load_balancer(8)
    assert {
        balancer.server_states[i].server.zone for i in picks(balancer, 1.0, 50, homes=frozenset({"b"}))
    } <= {
        "ba",
        "bb",
    }
    balancer.evacuated = frozenset({"aa"})
    assert all(balancer.server_states[i].server.zone != "aa" for i in picks(balancer, 1.0, 50))
    for seen in balancer.server_states.values():
        seen.server.advance(Phase.DRAINING, 1.0)
    balancer.update_servers([seen.server for seen in balancer.server_states.values()])
    assert picks(balancer, 1.0, 5) == []


def test_a_server_that_fails_to_connect_is_ejected_and_returns_on_trial() -> None:
    balancer = load_balancer(2)
    first = balancer.server_states["i-0"]
    balancer.record_failure(1.0, first, 3)
    assert first.state.name == "EJECTED" and "i-0" not in picks(balancer, 1.5, 20)
    assert "i-0" not in picks(balancer, 2.5, 20, repeatable=False)
    assert first.state.name == "TRIAL"
    balancer.record_sent(2.5, first, 1)
    assert "i-0" not in picks(balancer, 2.5, 20)  # one trial request at a time
    balancer.record_ended(2.8, first, 1)
    balancer.record_answer(2.8, first, 0.3, False)
    assert first.state.name == "HEALTHY"


def test_never_more_than_a_share_of_a_service_is_ejected() -> None:
    balancer = load_balancer(8)
    for seen in balancer.server_states.values():
        balancer.record_failure(1.0, seen, 3)
    ejected = [seen for seen in balancer.server_states.values() if seen.state is State.EJECTED]
    assert len(ejected) == MAX_EJECTED_SHARE * 8 and picks(balancer, 1.1, 5)


def test_a_silent_server_gets_no_more_requests_until_it_answers() -> None:
    balancer = load_balancer(2)
    silent = balancer.server_states["i-0"]
    balancer.record_sent(1.0, silent, 1)
    assert "i-0" not in picks(balancer, 4.0, 20)
    balancer.record_ended(4.1, silent, 1)
    balancer.record_answer(4.1, silent, 3.1, False)
    assert balancer._may_send(4.2, silent, SHOP, False)


def test_a_loaded_server_is_avoided_and_a_long_body_stays_in_its_zone() -> None:
    balancer = load_balancer(8)
    for ident, load in (("i-0", 3), ("i-4", 0)):
        balancer.record_load(1.0, balancer.server_states[ident], load, load, 3)
    assert "i-0" not in picks(balancer, 1.1, 30)
    assert {balancer.server_states[i].server.zone for i in picks(balancer, 1.1, 30)} <= {"aa", "ab"}
    large = balancer.pick(1.1, SHOP, True, ANY, 300_000.0)
    assert large is not None and large.server.zone == "aa"


def test_a_cold_server_gets_few_requests_and_only_from_its_owner() -> None:
    balancer = load_balancer(1, cold=100.0)
    assert picks(balancer, 1.0, 3) == []
    balancer.cold_owned = {"i-0": True}
    sent = 0
    for step in range(400):
        now = 1.0 + step / 100
        seen = balancer.pick(now, SHOP, True, ANY, 500.0)
        if seen is not None:
            balancer.record_sent(now, seen, step)
            balancer.record_ended(now, seen, step)
            sent += 1
    assert 4 * SHOP.warmup_rate * 0.7 < sent <= 4 * SHOP.warmup_rate + 2


def test_data_under_a_role_s_earlier_name_is_found_and_not_mixed_with_the_present_one_s(
    tmp_path: Path,
) -> None:
    earlier = Disk(str(tmp_path / "office"))
    earlier.load()
    earlier.store({"config": Value(3, "", "kept")}, ())
    earlier.close()
    renamed = Disk(str(tmp_path / "gatekeeper"))
    assert renamed.load() == ({"config": Value(3, "", "kept")}, "")
    renamed.close()
    (tmp_path / "gatekeeper" / "registry").mkdir(parents=True)
    own = Disk(str(tmp_path / "gatekeeper"))
    assert own.load()[0] == {}
    own.close()
