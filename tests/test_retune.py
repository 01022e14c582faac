"""New settings on SIGHUP: applied completely or not at all; open requests keep those of their arrival."""

import copy
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream
from hypothesis import given
from hypothesis import strategies as st

from millfront import interface as api
from millfront.node import config
from millfront.node.retune import OVERLAP_US, ActiveSettings
from millfront.settings import NodeSettings, node_settings_from, settings_from
from tests.peers import (
    TEST_TIMEOUT_S,
    Peer,
    answer,
    configuration,
    disconnects,
    request,
    running_node,
    settings,
    status,
)
from tests.test_config import good


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, Any]]:
    return "asyncio", {"use_uvloop": True}


def changed(*classes: tuple[str, str], MostTries: int) -> dict[str, Any]:
    document = settings(MostTries=MostTries)
    like = document["Classes"][0]
    document["Classes"] = [like | {"Name": name, "Repeat": repeat} for name, repeat in classes]
    return document


def read(document: dict[str, Any]) -> tuple[api.Settings, NodeSettings]:
    return settings_from(json.dumps(document).encode()), node_settings_from(document)


NAMES = st.sampled_from(["page-fetch", "issue-buy", "print"])
REPEATS = st.sampled_from(["safe", "keyed", "unsafe"])
CHANGES = st.tuples(st.dictionaries(NAMES, REPEATS, min_size=1), st.integers(1, 5), st.integers(0, 2_000_000))


@given(st.lists(CHANGES, max_size=6))
def test_a_place_means_the_same_for_ever_and_old_names_hold_for_the_overlap(
    steps: list[tuple[dict[str, str], int, int]],
) -> None:
    active = ActiveSettings(*read(changed(("page-fetch", "safe"), MostTries=3)))
    now, seen, settles, most = 0, dict(enumerate(active.settings.classes)), [0], [(0, 3)]
    for classes, tries, later in steps:
        now += later
        for due in [at for at in settles if at <= now]:
            settles.remove(due)
            active.end_overlap(due)
        before = active.accepted_classes()
        active.update(*read(changed(*classes.items(), MostTries=tries)), now)
        settles.append(now + OVERLAP_US)
        most = [(until, was) for until, was in most if until > now] + [(now + OVERLAP_US, most[-1][1])]
        most.append((now + OVERLAP_US, tries))
        for place, entry in enumerate(active.settings.classes):
            assert seen.setdefault(place, entry) == entry
        for name, repeat in classes.items():
            assert active.settings.classes[active.accepted_classes()[name][0]].repeat.value == repeat
        for name, places in before.items():
            assert places[0] in active.accepted_classes()[name]
        assert active.settings.allowed.max_attempts <= min(tries, most[-2][1])
    for due in sorted(settles):
        active.end_overlap(due)
    assert all(len(places) == 1 for places in active.accepted_classes().values())
    assert set(active.accepted_classes()) == set(active.classes)
    assert active.settings.allowed.max_attempts == (steps[-1][1] if steps else 3)


@pytest.mark.anyio
async def test_classes_come_and_go_and_open_requests_keep_theirs(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("millfront.node.service.OVERLAP_US", 200_000)
    monkeypatch.setattr("millfront.node.retune.OVERLAP_US", 200_000)
    go_on = anyio.Event()

    async def breaks_late(stream: SocketStream) -> None:
        one.script.clear()
        other.script.clear()
        await go_on.wait()
        await disconnects(stream)

    one, other = Peer(breaks_late), Peer(breaks_late)
    async with running_node(one, other) as on, await on.client() as waiting:
        node, document = on.node, settings()

        def apply(document: dict[str, Any]) -> None:
            node.apply_config(config.from_json(configuration([], str(node.config.discovery), document)))

        document["Classes"][0]["Repeat"] = "unsafe"  # the open request was safe when it arrived
        document["Classes"][1]["Name"] = "print"
        await waiting.send(request())
        with anyio.fail_after(TEST_TIMEOUT_S):
            while len(one.seen) + len(other.seen) < 1:
                await anyio.sleep(0.001)
        apply(document)
        go_on.set()
        assert status(await on.ask(b"", waiting)) == 200  # resent, as its class allowed
        assert len(one.seen) + len(other.seen) == 2
        new = request("issue-buy").replace(b"/issue-buy/", b"/print/")
        assert status(await on.ask(new)) == 200
        assert status(await on.ask(request("issue-buy"))) == 200  # during the overlap
        assert status(await on.ask(request())) == 200  # a GET, as in the old class
        redeem = request("code-redeem").replace(b"/code-redeem/", b"/page-fetch/")
        one.script.append(disconnects)
        other.script.append(disconnects)
        assert status(await on.ask(redeem)) == 502  # a POST: the new class, which may not be repeated
        one.script.clear()
        other.script.clear()
        with anyio.fail_after(TEST_TIMEOUT_S):
            while "issue-buy" in node.active_settings.accepted_classes():
                await anyio.sleep(0.01)
        assert status(await on.ask(request("issue-buy"))) == 404
        assert status(await on.ask(request())) == 405
        apply(settings())  # the class is restored
        assert status(await on.ask(request("issue-buy"))) == 200
        assert len(node.active_settings.settings.classes) == 5
        overlaps: list[Callable[[], None]] = []
        monkeypatch.setattr(node.host.timers, "after", lambda _, call: overlaps.append(call))
        apply(settings(MaxOpen=7))  # the first change's overlap ends under the second
        apply(settings(MaxOpen=9))
        overlaps[0]()
        assert node.admit.max_open == 9


@pytest.mark.anyio
async def test_a_plan_that_changes_gives_no_second_burst() -> None:
    member = Peer(*[answer(200, b"page")] * 100)
    async with running_node(member) as on:
        first = [status(await on.ask(request(Plan="spent", Quota_Info="units=0.04,spread=1,first=0")))]
        document = settings()
        document["Packages"][1]["MostAtOnce"] = 0.2
        node = on.node
        node.apply_config(config.from_json(configuration([], str(node.config.discovery), document)))
        for _ in range(6):
            first.append(
                status(await on.ask(request(Plan="spent", Quota_Info="units=0.04,spread=1,first=0")))
            )
        assert first.count(200) <= 3  # a burst of 0.1 units, and the refill meanwhile


def truncated(data: dict[str, Any]) -> str:
    return json.dumps(data)[:-200]


def without_key(*path: str) -> Callable[[dict[str, Any]], str]:
    def faulty(data: dict[str, Any]) -> str:
        at: Any = data
        for key in path[:-1]:
            at = at[0][key] if isinstance(at, list) else at[key]
        del (at[0] if isinstance(at, list) else at)[path[-1]]
        return json.dumps(data)

    return faulty


def with_value(value: object, *path: str) -> Callable[[dict[str, Any]], str]:
    def faulty(data: dict[str, Any]) -> str:
        at: Any = data
        for key in path[:-1]:
            at = at[0][key] if isinstance(at, list) else at[key]
        (at[0] if isinstance(at, list) else at)[path[-1]] = value
        return json.dumps(data)

    return faulty


@pytest.mark.parametrize(
    ("fault", "named"),
    [
        (lambda _: "", "is not JSON"),
        (truncated, "is not JSON"),
        (without_key("seed"), "seed"),
        (without_key("name"), "name"),
        (without_key("settings"), "settings"),
        (without_key("settings", "Kinds"), "Kinds"),
        (without_key("settings", "Classes", "Worth"), "Worth"),
        (without_key("settings", "FamilyInfo", "UnitsTop"), "UnitsTop"),
        (with_value(0, "settings", "Classes", "HardLimitUs"), "classes.deadline_us"),
        (with_value(-4, "settings", "Allowed", "MostTries"), "allowed.max_attempts"),
        (with_value("soon", "settings", "Classes", "AimUs"), "AimUs"),
        (with_value([], "settings", "Classes"), "classes"),
    ],
)
def test_a_broken_file_is_refused_by_name(
    tmp_path: Path, fault: Callable[[dict[str, Any]], str], named: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(good()))
    environment = {"NODE_CONFIG": str(path)}
    before = config.load(environment)
    assert config.reload(environment, before) == before
    path.write_text(fault(copy.deepcopy(good())))
    with pytest.raises(config.ConfigError, match=named):
        config.reload(environment, before)
