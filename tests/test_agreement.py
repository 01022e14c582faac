"""Agreement through the counter alone: a fleet of views over one model counter, in simulated time, with
versions taken at any moment; and the interim that contradicts neither version."""

import copy
from dataclasses import replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from millfront import interface as api
from millfront.agreement import interim
from millfront.agreement.part import Agreeing
from millfront.agreement.register import Agreement, Heard, Mode, bucket_of, names
from millfront.node.config import from_json
from millfront.node.retune import ActiveSettings
from millfront.operators import document
from tests.peers import configuration
from tests.peers import settings as peer_settings

PERIOD = 1_000_000
NEVER = 10**12  # no interim ends by time: agreement alone ends it


def play(
    count: int, takes: list[tuple[int, int, str]], silent: set[int], end_us: int
) -> list[list[Agreement]]:
    """Every gatekeeper publishes at a bucket's start (those in `silent` never reach the counter) and reads
    the bucket half a period after its end. :returns: the views after every step"""
    fleet = [Agreement("v0", 0, count, NEVER) for _ in range(count)]
    counter: dict[str, int] = {}
    events = [(at, 1, who, version) for at, who, version in takes]
    for bucket in range(end_us // PERIOD):
        events += [(bucket * PERIOD + 1, 0, who, "") for who in range(count)]
        events += [(bucket * PERIOD + PERIOD * 3 // 2, 2, who, "") for who in range(count)]
    seen = []
    for at, kind, who, version in sorted(events):
        view, bucket = fleet[who], bucket_of(at, PERIOD)
        if kind == 1:
            view.took(version, at)
        elif who not in silent and kind == 0:
            roll, named = names("agree", "settings", bucket, view.publishing(bucket))
            counter[roll] = counter.get(roll, 0) + 1
            counter[named] = counter.get(named, 0) + 1
        elif who not in silent and kind == 2:
            roll, named = names("agree", "settings", bucket - 1, view.mine)
            view.heard(Heard(bucket - 1, counter.get(roll, 0), counter.get(named, 0)), at)
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
        agreed = {v.mine for v in views if v.mode is Mode.AGREED}
        for version in agreed:
            assert all(version in v.merge_of for v in views), (version, [(v.mode, v.merge_of) for v in views])


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
    assert all(v.mode is Mode.AGREED for v in views), [(v.mode, v.merge_of) for v in views]


def test_a_gatekeeper_unheard_keeps_the_others_unsure_until_its_time_is_up() -> None:
    views = play(3, [(500_000, 0, "v1"), (500_000, 1, "v1"), (600_000, 2, "v1")], {2}, 5 * PERIOD)[-1]
    assert [v.mode for v in views] == [Mode.UNSURE] * 3
    unsure = views[0]
    unsure.most_unsure_us = 3 * PERIOD
    unsure.tick(500_000 + 3 * PERIOD)
    assert unsure.mode is Mode.AGREED and unsure.left_by_time


def test_a_rollback_keeps_both_versions_in_the_interim() -> None:
    view = Agreement("v0", 0, 2, NEVER)
    view.heard(Heard(0, 2, 2), 1)  # nothing published in bucket 0: says nothing
    assert view.mode is Mode.UNSURE
    view.publishing(1)
    view.heard(Heard(1, 2, 2), 2)
    assert view.history[-1][1] is Mode.AGREED
    view.took("v1", 3)
    view.took("v0", 4)
    assert view.mode is Mode.UNSURE and view.merge_of == ("v1", "v0")


def test_a_counter_name_stays_within_64_bytes() -> None:
    assert names("agree", "settings", 1_764_000_000, "80c5c706e1f7b3f8")[1].count(":") == 3
    try:
        names("agree", "x" * 40, 1, "y" * 20)
    except ValueError:
        return
    raise AssertionError("a name over 64 bytes was made")


def plan(**told: Any) -> api.Plan:
    base = api.Plan(10.0, 20.0, 0, 1.0, 0.0, 0.6, 0.0, 0.0, 0.0)
    return replace(base, **told)


def test_the_interim_plan_is_the_tighter_where_0_means_none() -> None:
    merged = interim.plan(
        plan(rate=10, open_limit=0, ceiling_rate=0), plan(rate=6, open_limit=4, ceiling_rate=16)
    )
    assert (merged.rate, merged.open_limit, merged.ceiling_rate) == (6, 4, 16)
    both = interim.plan(plan(ceiling_rate=20, ceiling_burst=40), plan(ceiling_rate=16, ceiling_burst=50))
    assert (both.ceiling_rate, both.ceiling_burst) == (16, 40)


def test_a_class_turned_from_safe_to_never_is_never_meanwhile() -> None:
    safe = api.RequestClass(1_000_000, 4_000_000, 1.0, 0.2, api.Repeat.SAFE, api.Group.ALL, 8_000_000, False)
    never = replace(safe, repeat=api.Repeat.UNSAFE, window_us=5_000_000)
    for one, other in ((safe, never), (never, safe)):
        merged = interim.request_class(one, other)
        assert (merged.repeat, merged.window_us) == (api.Repeat.UNSAFE, 5_000_000)


def test_a_bucket_counted_under_its_own_old_version_asks_for_no_reread() -> None:
    """Against a gatekeeper that reads its own file again and again because it sees itself as another."""
    view = Agreement("v0", 0, 3, NEVER)
    view.publishing(4)
    view.took("v1", 4_100_000)
    view.heard(Heard(4, 3, 0), 5_500_000)  # all three on v0, itself among them
    assert not view.wants_reread and view.mode is Mode.UNSURE
    view.publishing(5)
    view.heard(Heard(5, 3, 2), 6_500_000)
    assert view.wants_reread


class Node:
    """What the agreement part sees of a node: configuration, active settings, and the module told again."""

    def __init__(self, told: dict[str, Any]) -> None:
        self.config = from_json(configuration([], "127.0.0.1:1", told))
        self.active_settings = ActiveSettings(self.config.settings, self.config.node)
        self.interim: Any = None
        self.told: list[api.Settings] = []

    def resend_settings(self) -> None:
        self.told.append(self.interim(self.active_settings.settings))

    def sighup(self, told: dict[str, Any], part: Agreeing) -> None:
        self.config = from_json(configuration([], "127.0.0.1:1", told))
        self.active_settings.update(self.config.settings, self.config.node, 0)
        part.reload()


def test_while_unsure_the_module_is_told_what_both_versions_allow() -> None:
    """Against a gatekeeper that acts alone on a new version: a class turned from safe to never, and fewer
    attempts, hold at once; a quota made larger waits for agreement; a class that is new keeps its rules."""
    before = peer_settings()
    after = peer_settings(MostTries=2)
    after["Classes"] = [
        entry | {"Repeat": "unsafe"} if entry["Name"] == "page-fetch" else entry for entry in after["Classes"]
    ]
    after["Classes"].append(after["Classes"][0] | {"Name": "page-save", "Repeat": "safe"})
    after["Packages"] = [plan | {"Refill": plan["Refill"] * 2} for plan in after["Packages"]]
    node = Node(before)
    part = Agreeing(node, document.Agreement())  # type: ignore[arg-type]
    assert (
        node.interim is not None
        and node.interim(node.active_settings.settings) is node.active_settings.settings
    )
    node.sighup(after, part)
    told = node.told[-1]
    fetch, save = node.active_settings.classes["page-fetch"], node.active_settings.classes["page-save"]
    assert told.classes[fetch].repeat is api.Repeat.UNSAFE and told.classes[save].repeat is api.Repeat.SAFE
    assert told.allowed.max_attempts == 2
    casual = node.active_settings.plans["casual"]
    assert told.plans[casual].rate == node.config.settings.plans[0].rate / 2  # the old, tighter one
    part.view.mode = Mode.AGREED
    part._say()
    assert node.told[-1].plans[casual].rate == node.config.settings.plans[0].rate
