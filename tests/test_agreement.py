"""Agreement through the counter alone: several views over one model counter in simulated time, with version
changes at any moment; and interim settings that contradict neither version."""

import copy
from dataclasses import replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from millfront import interface as api
from millfront.agreement import interim
from millfront.agreement.part import AgreementPart
from millfront.agreement.view import AgreementView, BucketCounts, Mode, bucket_of, counter_names
from millfront.node.config import from_json
from millfront.node.retune import ActiveSettings
from millfront.operators import document
from tests.peers import configuration
from tests.peers import settings as peer_settings

PERIOD = 1_000_000
NO_TIME_LIMIT = 10**12  # interims end by agreement only


def play(
    count: int, takes: list[tuple[int, int, str]], silent: set[int], end_us: int
) -> list[list[AgreementView]]:
    """Every gatekeeper publishes at a bucket's start (those in `silent` never reach the counter) and reads
    the bucket half a period after its end. :returns: the views after every step"""
    fleet = [AgreementView("v0", 0, count, NO_TIME_LIMIT) for _ in range(count)]
    counter: dict[str, int] = {}
    events = [(at, 1, who, version) for at, who, version in takes]
    for bucket in range(end_us // PERIOD):
        events += [(bucket * PERIOD + 1, 0, who, "") for who in range(count)]
        events += [(bucket * PERIOD + PERIOD * 3 // 2, 2, who, "") for who in range(count)]
    seen = []
    for at, kind, who, version in sorted(events):
        view, bucket = fleet[who], bucket_of(at, PERIOD)
        if kind == 1:
            view.set_version(version, at)
        elif who not in silent and kind == 0:
            roll_call, versioned = counter_names("agree", "settings", bucket, view.version_to_publish(bucket))
            counter[roll_call] = counter.get(roll_call, 0) + 1
            counter[versioned] = counter.get(versioned, 0) + 1
        elif who not in silent and kind == 2:
            roll_call, versioned = counter_names("agree", "settings", bucket - 1, view.version)
            view.record_bucket(
                BucketCounts(bucket - 1, counter.get(roll_call, 0), counter.get(versioned, 0)), at
            )
        seen.append([copy.copy(v) for v in fleet])
    return seen


takes = st.lists(
    st.tuples(st.integers(0, 8 * PERIOD), st.integers(0, 4), st.sampled_from(["v1", "v2", "v0"])),
    max_size=8,
)


@settings(max_examples=150, deadline=None)
@given(takes)
def test_no_two_gatekeepers_agree_on_contradicting_versions(changes: list[tuple[int, int, str]]) -> None:
    """Against a gatekeeper leaving its interim while another acts alone on another version."""
    for views in play(5, changes, set(), 12 * PERIOD):
        agreed = {v.version for v in views if v.mode is Mode.AGREED}
        for version in agreed:
            assert all(version in v.interim_versions for v in views), (
                version,
                [(v.mode, v.interim_versions) for v in views],
            )


@settings(max_examples=100, deadline=None)
@given(takes)
def test_the_fleet_comes_to_agree_within_three_periods_of_the_last_change(
    changes: list[tuple[int, int, str]],
) -> None:
    """Against an interim that never ends once every gatekeeper has one version."""
    last = max((at for at, _, _ in changes), default=0)
    finals = {who: version for _, who, version in sorted(changes)}
    if len({finals.get(who, "v0") for who in range(5)}) > 1:
        return  # the fleet was left on two versions: it must stay unsure, as the test above says
    views = play(5, changes, set(), last + 4 * PERIOD)[-1]
    assert all(v.mode is Mode.AGREED for v in views), [(v.mode, v.interim_versions) for v in views]


def test_a_missing_gatekeeper_keeps_the_others_unsure_until_the_interim_times_out() -> None:
    views = play(3, [(500_000, 0, "v1"), (500_000, 1, "v1"), (600_000, 2, "v1")], {2}, 5 * PERIOD)[-1]
    assert [v.mode for v in views] == [Mode.UNSURE] * 3
    unsure = views[0]
    unsure.max_unsure_us = 3 * PERIOD
    unsure.tick(500_000 + 3 * PERIOD)
    assert unsure.mode is Mode.AGREED and unsure.timed_out


def test_a_rollback_keeps_both_versions_in_the_interim() -> None:
    view = AgreementView("v0", 0, 2, NO_TIME_LIMIT)
    view.record_bucket(BucketCounts(0, 2, 2), 1)  # ignored: nothing was published in bucket 0
    assert view.mode is Mode.UNSURE
    view.version_to_publish(1)
    view.record_bucket(BucketCounts(1, 2, 2), 2)
    assert view.history[-1][1] is Mode.AGREED
    view.set_version("v1", 3)
    view.set_version("v0", 4)
    assert view.mode is Mode.UNSURE and view.interim_versions == ("v1", "v0")


def test_a_counter_name_stays_within_64_bytes() -> None:
    assert counter_names("agree", "settings", 1_764_000_000, "80c5c706e1f7b3f8")[1].count(":") == 3
    try:
        counter_names("agree", "x" * 40, 1, "y" * 20)
    except ValueError:
        return
    raise AssertionError("a name over 64 bytes was made")


def plan(**changes: Any) -> api.Plan:
    base = api.Plan(10.0, 20.0, 0, 1.0, 0.0, 0.6, 0.0, 0.0, 0.0)
    return replace(base, **changes)


def test_the_interim_plan_is_the_tighter_where_0_means_none() -> None:
    merged = interim.merge_plan(
        plan(rate=10, open_limit=0, ceiling_rate=0), plan(rate=6, open_limit=4, ceiling_rate=16)
    )
    assert (merged.rate, merged.open_limit, merged.ceiling_rate) == (6, 4, 16)
    both = interim.merge_plan(
        plan(ceiling_rate=20, ceiling_burst=40), plan(ceiling_rate=16, ceiling_burst=50)
    )
    assert (both.ceiling_rate, both.ceiling_burst) == (16, 40)


def test_a_class_changed_from_safe_to_unsafe_is_unsafe_in_the_interim() -> None:
    safe = api.RequestClass(1_000_000, 4_000_000, 1.0, 0.2, api.Repeat.SAFE, api.Group.ALL, 8_000_000, False)
    never = replace(safe, repeat=api.Repeat.UNSAFE, window_us=5_000_000)
    for one, other in ((safe, never), (never, safe)):
        merged = interim.merge_request_class(one, other)
        assert (merged.repeat, merged.window_us) == (api.Repeat.UNSAFE, 5_000_000)


def test_a_bucket_counted_under_its_own_old_version_wants_no_reload() -> None:
    """Guards against a gatekeeper that reloads its file again and again because it takes its own old
    version for that of another."""
    view = AgreementView("v0", 0, 3, NO_TIME_LIMIT)
    view.version_to_publish(4)
    view.set_version("v1", 4_100_000)
    view.record_bucket(BucketCounts(4, 3, 0), 5_500_000)  # all three on v0, itself among them
    assert not view.wants_reload and view.mode is Mode.UNSURE
    view.version_to_publish(5)
    view.record_bucket(BucketCounts(5, 3, 2), 6_500_000)
    assert view.wants_reload


class Node:
    """What the agreement part uses of a node. Keeps the settings that the decision module gets."""

    def __init__(self, raw_settings: dict[str, Any]) -> None:
        self.config = from_json(configuration([], "127.0.0.1:1", raw_settings))
        self.active_settings = ActiveSettings(self.config.settings, self.config.node)
        self.interim: Any = None
        self.sent: list[api.Settings] = []

    def resend_settings(self) -> None:
        self.sent.append(self.interim(self.active_settings.settings))

    def sighup(self, raw_settings: dict[str, Any], part: AgreementPart) -> None:
        self.config = from_json(configuration([], "127.0.0.1:1", raw_settings))
        self.active_settings.update(self.config.settings, self.config.node, 0)
        part.reload()


def test_while_unsure_the_module_gets_what_both_versions_allow() -> None:
    """Guards against a gatekeeper that acts alone on a new version: a stricter repeat rule and fewer attempts
    hold at once; a larger quota waits for agreement; a new class keeps its own rules."""
    before = peer_settings()
    after = peer_settings(MostTries=2)
    after["Classes"] = [
        entry | {"Repeat": "unsafe"} if entry["Name"] == "page-fetch" else entry for entry in after["Classes"]
    ]
    after["Classes"].append(after["Classes"][0] | {"Name": "page-save", "Repeat": "safe"})
    after["Packages"] = [plan | {"Refill": plan["Refill"] * 2} for plan in after["Packages"]]
    node = Node(before)
    part = AgreementPart(node, document.Agreement())  # type: ignore[arg-type]
    assert (
        node.interim is not None
        and node.interim(node.active_settings.settings) is node.active_settings.settings
    )
    node.sighup(after, part)
    sent = node.sent[-1]
    fetch, save = node.active_settings.classes["page-fetch"], node.active_settings.classes["page-save"]
    assert sent.classes[fetch].repeat is api.Repeat.UNSAFE and sent.classes[save].repeat is api.Repeat.SAFE
    assert sent.allowed.max_attempts == 2
    casual = node.active_settings.plans["casual"]
    assert sent.plans[casual].rate == node.config.settings.plans[0].rate / 2  # the old, lower rate
    part.view.mode = Mode.AGREED
    part._report_changes()
    assert node.sent[-1].plans[casual].rate == node.config.settings.plans[0].rate
