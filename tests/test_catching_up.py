"""Catching up after many changes: a member that was down, cut off or wiped holds the newest values soon after
it is back; until then it holds no role in the core, and a wiped one does not vote."""

import json
from collections.abc import Callable, Generator
from functools import cache, lru_cache
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from millfront.control import configuration
from millfront.control.configuration import digest_of
from millfront.register import chunks, deltas, reconfiguration, recovery
from millfront.register.chunks import Archive, IncomingTexts, Offer
from millfront.register.reconfiguration import Change
from millfront.register.recovery import Recovery, Stage
from millfront.register.replica import Replica
from millfront.register.values import Value
from millfront.storage import disk, lmdb_folder
from millfront.transport.connections import encode_message
from tests.system_world import Node, World, document

CAUGHT_UP_S = 4.0  # from its start or the end of the cut, on links of unlimited bandwidth
ROUTES = 350


@pytest.fixture(autouse=True)
def compiled_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Compile a text once for all gatekeepers of a world, since the result is the same in each."""
    monkeypatch.setattr(configuration, "compiled", lru_cache(4)(configuration.compiled))


@cache
def _entries(routes: int) -> tuple[str, ...]:
    parsed = json.loads(document(1))
    route, service, _ = parsed["resources"]
    made = []
    for number in range(routes):
        spec = route["spec"] | {"host": f"h{number % 40}.example", "path_prefix": f"/p/{number}/"}
        made.append(json.dumps(route | {"meta": {"name": f"route-{digest_of(str(number))}"}, "spec": spec}))
    return (*made, json.dumps(service))


def long(version: int, routes: int = ROUTES) -> str:
    """A document of many routes; each version changes the entry of a different route."""
    entries = list(_entries(routes))
    at = version * 7 % routes
    entries[at] = entries[at].replace('"max_tries": 2', f'"max_tries": {version % 90 + 3}')
    return f'{{"revision": "{version:08x}", "resources": [{", ".join(entries)}]}}'


def held_by(node: Node) -> int:
    """The version on its disk."""
    value = (node.disk or {}).get("config")
    return value.version if value is not None else 0


class CatchUpWorld(World):
    """A world that checks members that are back while it runs: until they have caught up with what was
    acknowledged before their return, they hold no role in the core, and a wiped one does not vote."""

    def __init__(self, *how: Any, **more: Any) -> None:
        super().__init__(*how, **more)
        self.acknowledged = 0
        self.returned: dict[
            int, tuple[int, float]
        ] = {}  # node number -> (version that it must reach, since when)
        self.wiped: set[int] = set()
        self.catch_up_s: dict[int, float] = {}  # node number -> seconds until it had caught up
        self.bytes_received: dict[int, int] = {}  # node number -> bytes on held connections
        self.chunk_delay_s = 0.0  # extra delay of a message with a chunk
        self.violation = ""  # the latest violation of the rules above
        self.env.process(self._watch())

    def _watch(self) -> Generator[Any, Any, None]:
        while True:
            yield self.env.timeout(0.02)
            for number, (version, since) in list(self.returned.items()):
                node = self.nodes[number]
                gatekeeper = node.gatekeeper
                if gatekeeper is None or gatekeeper.replica is None:
                    continue
                if (
                    held_by(node) >= version
                    and gatekeeper.configuration is not None
                    and gatekeeper.replica.votes
                ):
                    self.catch_up_s[number] = self.env.now - since
                    del self.returned[number]
                elif (
                    gatekeeper.membership.own_record.has_full_copy
                    or gatekeeper.reconfiguration.change is not Change.NONE
                ):
                    self.violation = f"{node.name} holds a role with {held_by(node)} of {version}"
                elif number in self.wiped and gatekeeper.replica.votes:
                    self.violation = f"{node.name} votes with {held_by(node)} of {version}"

    def deliver(self, sender: Node, address: str, give: Any, message: Any) -> None:
        to = self.by_address.get(address)
        if to is not None and to.number in self.bytes_received:
            self.bytes_received[to.number] += len(encode_message(message))
        if message["t"] != "piece" or not self.chunk_delay_s:
            super().deliver(sender, address, give, message)
            return
        life = sender.incarnation

        def later() -> Generator[Any, Any, None]:
            yield self.env.timeout(self.chunk_delay_s)
            if sender.incarnation == life:
                super(CatchUpWorld, self).deliver(sender, address, give, message)

        self.env.process(later())

    def put_changes(self, count: int, number: int, apart: float = 0.3) -> None:
        for _ in range(count):
            version = self.acknowledged + 1
            made = configuration.compiled(long(version))
            answers = self.call(number, lambda o, now, done, made=made: o.put_checked(now, made, done))  # type: ignore[misc]
            for _ in range(200):
                if answers:
                    break
                self.run(0.02)
            assert answers[0][0] == 200, f"{version}: {answers}"
            self.acknowledged = version
            self.run(apart)

    def bring_back(self, number: int) -> None:
        self.returned[number] = (self.acknowledged, self.env.now)
        if self.nodes[number].gatekeeper is None:
            self.nodes[number].start()

    def wipe(self, number: int) -> None:
        self.wiped.add(number)
        self.nodes[number].wipe()

    def wait_until_caught_up(self, within: float = CAUGHT_UP_S) -> None:
        """Run until all that are back have caught up, in time and without a violation."""
        deadline = self.env.now + within
        while self.returned and self.env.now < deadline:
            self.run(0.1)
        assert not self.violation, self.violation
        assert not self.returned, f"not caught up: {self.returned}"


def bootstrapped(n: int = 7, disks: int = 6, seed: int = 1, spares: int = 0) -> CatchUpWorld:
    world = CatchUpWorld(n, disks, seed, spares=spares)
    world.start().run(4.0)
    world.put_changes(1, n - 1, 0.6)
    return world


@pytest.fixture
def small_chunks(monkeypatch: pytest.MonkeyPatch) -> None:
    """Chunks so small that a document of 350 routes has a dozen of them."""
    monkeypatch.setattr(chunks, "CHUNK_CHARS", 8192)


# ---- scenarios -------------------------------------------------------------------------------------


def members_miss_hundreds_of_changes() -> None:
    """One member is down throughout, one cut off, one wiped midway; the majority accepts changes."""
    world = bootstrapped()
    down, cut_off, wiped = 1, 2, 4
    cut = True
    world.cut = lambda a, b: cut and cut_off in (a.number, b.number)
    world.nodes[down].kill()
    world.put_changes(100, 6, 0.06)
    world.wipe(wiped)
    world.bring_back(wiped)
    world.wait_until_caught_up()
    world.put_changes(100, 5, 0.06)
    assert held_by(world.nodes[down]) <= 1 and held_by(world.nodes[cut_off]) <= 1
    cut = False
    world.bring_back(down)
    world.bring_back(cut_off)
    world.wait_until_caught_up()
    assert {held_by(node) for node in world.nodes[:6]} == {world.acknowledged}
    assert {o.configuration.version for o in world.gatekeepers() if o.configuration} == {world.acknowledged}


def killed_while_fetching_chunks() -> None:
    """A recovering member is killed twice while it fetches chunks, then the member that sends them."""
    world = bootstrapped()
    world.put_changes(3, 6)
    world.chunk_delay_s, node = 0.2, world.nodes[4]
    world.wipe(4)
    for kills in range(3):
        world.bring_back(4)
        gatekeeper = fetching(world, node)
        if kills < 2:
            node.kill()
            assert not node.disk, "a disk that holds anything counts as complete at the next start"
    source = next(n for n in world.nodes if n.name == gatekeeper.reconfiguration.recovery._sources[0])
    source.kill()
    world.wait_until_caught_up(within=8.0)


def fetching(world: CatchUpWorld, node: Node) -> Any:
    """Run until the node has received some of its chunks."""
    for _ in range(1000):
        world.run(0.01)
        gatekeeper = node.gatekeeper
        assert gatekeeper is not None and gatekeeper.replica is not None
        if gatekeeper.reconfiguration.recovery.stage is Stage.FETCHING:
            coming = gatekeeper.subscriber._incoming_texts._incoming.get("config")
            if coming is not None and len(coming.parts) > 2:
                assert not gatekeeper.replica.votes
                return gatekeeper
    raise AssertionError(world.violation or "no chunks arrive")


def disk_refuses_writes_at_first() -> None:
    """The disk refuses the fetched values at first: the replica does not vote, and tries again."""
    world = bootstrapped()
    node = world.nodes[4]
    world.wipe(4)
    node.disk_refuses = True
    world.bring_back(4)
    world.run(5.0)
    assert (
        node.gatekeeper is not None
        and node.gatekeeper.replica is not None
        and not node.gatekeeper.replica.votes
    )
    node.disk_refuses = False
    world.wait_until_caught_up(within=6.0)


def document_changes_while_fetching_chunks() -> None:
    """The document changes faster than its chunks arrive."""
    world = bootstrapped(n=5, disks=4)
    node = world.nodes[2]
    world.chunk_delay_s = 0.2
    world.wipe(2)  # the three others are a write quorum
    world.bring_back(2)
    fetching(world, node)
    for _ in range(60):
        world.put_changes(1, 4, 0.02)
        if not world.returned:
            break
    assert not world.returned, "it never catches up while the document changes"
    world.wait_until_caught_up()


def core_changes_while_fetching_chunks() -> None:
    """A spare machine joins the core while a member recovers: the member starts over in the new core, then
    votes."""
    world = bootstrapped(spares=1)
    world.put_changes(2, 6)
    world.chunk_delay_s = 1.5  # so slow that others are asked for the same chunk
    world.wipe(4)
    world.bring_back(4)
    gatekeeper = fetching(world, world.nodes[4])
    world.nodes[7].start()
    before = gatekeeper.subscriber.core.epoch
    while gatekeeper.subscriber.core.epoch == before and not gatekeeper.replica.votes:
        world.run(0.02)
    assert not gatekeeper.replica.votes, "it recovered too early for this scenario"
    assert gatekeeper.reconfiguration.recovery.stage is Stage.LEARNING, (
        "answers of members of another core still count"
    )
    world.wait_until_caught_up(within=14.0)
    world.run(6.0)
    cores = {
        (o.subscriber.core.epoch, len(o.subscriber.core.all_members))
        for o in world.gatekeepers()
        if o.subscriber.core
    }
    assert cores == {(before + 2, 7)} and gatekeeper.replica.values["core"].version == before + 2


def one_missed_change_is_sent_as_a_delta() -> None:
    """A process that missed one change is sent a delta, not the document."""
    world = bootstrapped(n=6, disks=4)
    world.put_changes(2, 5)
    world.bytes_received[5] = 0
    world.put_changes(4, 4, 1.2)
    gatekeeper = world.nodes[5].gatekeeper
    assert (
        gatekeeper is not None
        and gatekeeper.configuration is not None
        and gatekeeper.configuration.version == world.acknowledged
    )
    whole, bytes_per_change = len(encode_message({"t": "", "v": long(1)})), world.bytes_received[5] / 4
    assert bytes_per_change < 0.5 * whole, f"{bytes_per_change} bytes a change; full document {whole}"


@pytest.mark.parametrize("scenario", [members_miss_hundreds_of_changes, one_missed_change_is_sent_as_a_delta])
def test_after_hundreds_of_changes(scenario: Callable[[], None]) -> None:
    scenario()


@pytest.mark.parametrize(
    "scenario",
    [
        killed_while_fetching_chunks,
        disk_refuses_writes_at_first,
        document_changes_while_fetching_chunks,
        core_changes_while_fetching_chunks,
    ],
)
@pytest.mark.usefixtures("small_chunks")
def test_while_fetching_chunks(scenario: Callable[[], None], monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reconfiguration, "JOIN_DELAY_S", 2.0)
    scenario()


# ---- planted faults --------------------------------------------------------------------------------


def long_values_not_awaited(monkeypatch: pytest.MonkeyPatch) -> None:
    """A recovering replica does not wait for the long values."""
    whole = Recovery.handle_answer

    def take(self: Recovery, now: float, sender: str, message: dict[str, Any]) -> None:
        whole(self, now, sender, {key: told for key, told in message.items() if key != "d"})

    monkeypatch.setattr(Recovery, "handle_answer", take)


def roles_held_before_caught_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Every member that is up holds roles; an earlier version did so."""
    monkeypatch.setattr(Recovery, "caught_up", lambda self: True)


def no_catching_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """A member that is back waits for the next change; an earlier version did so."""
    monkeypatch.setattr(Recovery, "catch_up", lambda self, now: None)


def texts_not_pinned(monkeypatch: pytest.MonkeyPatch) -> None:
    """A text is not kept when it changes while its chunks are being sent."""
    monkeypatch.setattr(chunks, "MAX_PIN_CHANGES", -1)


def no_deltas(monkeypatch: pytest.MonkeyPatch) -> None:
    """No deltas are sent; an earlier version did so."""
    monkeypatch.setattr(Archive, "record_change", lambda *_: None)


def core_change_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    """Answers of the previous core still count in the next."""
    monkeypatch.setattr(Recovery, "core_changed", lambda self: None)


def sync_not_retried(monkeypatch: pytest.MonkeyPatch) -> None:
    """A sync that the disk refused is not retried."""
    monkeypatch.setattr(recovery, "SYNC_RETRY_TICKS", 10**9)


@pytest.mark.parametrize(
    ("fault", "scenario", "said"),
    [
        (long_values_not_awaited, killed_while_fetching_chunks, "votes with 0 of 4"),
        (roles_held_before_caught_up, members_miss_hundreds_of_changes, "holds a role with"),
        (no_catching_up, members_miss_hundreds_of_changes, "not caught up"),
        (texts_not_pinned, document_changes_while_fetching_chunks, "never catches up"),
        (no_deltas, one_missed_change_is_sent_as_a_delta, "bytes a change"),
        (sync_not_retried, disk_refuses_writes_at_first, "not caught up"),
        (core_change_ignored, core_changes_while_fetching_chunks, "of another core"),
    ],
)
@pytest.mark.usefixtures("small_chunks")
def test_a_planted_fault_is_found(
    fault: Callable[[pytest.MonkeyPatch], None],
    scenario: Callable[[], None],
    said: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(reconfiguration, "JOIN_DELAY_S", 2.0)
    fault(monkeypatch)
    with pytest.raises(AssertionError, match=said):
        scenario()


# ---- deltas and chunks by themselves ---------------------------------------------------------------

ENTRIES = st.lists(
    st.sampled_from([f'{{"entry": {n}, "of": "{"x" * 40}"}},' for n in range(12)]), max_size=40
)
TEXTS = st.one_of(st.text(max_size=300), ENTRIES.map("".join))


def fetched(before: Value, value: Value, held: Value, corrupt: Callable[[Offer], Offer]) -> Any:
    """The value obtained by a process that holds `held` under the stamp of `before`, the replica's earlier
    value."""
    archive, arrivals = Archive(), IncomingTexts()
    archive.record_change("k", before, value)
    offer = archive.offer("k", value, held.stamp)
    assert offer.chain is not None
    result: Any = arrivals.accept_offer("k", corrupt(offer), held)
    while isinstance(result, dict):
        result = arrivals.add_chunk(archive.chunk("k", value, result["s"], result["o"]))
    return result


@given(TEXTS, TEXTS)
@settings(max_examples=150, deadline=None)
def test_a_delta_gives_the_later_text_and_nothing_else(old: str, new: str) -> None:
    steps = deltas.difference(old, new, 10**6)
    assert steps is not None
    steps = json.loads(json.dumps(steps))
    assert deltas.apply_chain(old, [steps], len(new), digest_of(new)) == Ok(new)
    if old != new:
        match deltas.apply_chain(new + "x", [steps], len(new), digest_of(new)):
            case Ok(text):
                assert text == new  # the parts that it copied are the same in the wrong base
            case Err(_):
                pass


@given(ENTRIES.map("".join), ENTRIES.map("".join), st.data())
@settings(max_examples=100, deadline=None)
def test_a_corrupt_delta_falls_back_to_the_full_text(old: str, new: str, data: st.DataObject) -> None:
    one, two = Value(1, "a", old + "\n" + "y" * 5000), Value(2, "b", new + "z" * 9 + "\n" + "y" * 5000)

    def corrupt(offer: Offer) -> Offer:
        chain = json.loads(json.dumps(offer.chain))
        at = data.draw(st.integers(0, len(chain[-1]) - 1))
        chain[-1][at] = data.draw(st.one_of(st.just([0, 1]), st.just([0, 10**6]), st.text(), st.none()))
        return offer._replace(chain=chain)

    another = Value(1, "a", one.data.replace("y", "w"))  # a different text under the same stamp
    for result in (fetched(one, two, one, corrupt), fetched(one, two, another, lambda offer: offer)):
        assert result == two and result.data == two.data


def test_unchecked_digests_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(deltas, "digest_of", lambda text: "same")
    monkeypatch.setattr(chunks, "digest_of", lambda text: "same")
    with pytest.raises(AssertionError):
        test_a_corrupt_delta_falls_back_to_the_full_text()


def test_earlier_texts_kept_by_a_replica_are_bounded() -> None:
    made = Replica({"core": Value(2, "", "{}"), "config": Value(1, "", long(1))}, False)
    for version in range(2, 400):
        made._merge({"config": Value(version, "", long(version))})
        asked = {"t": "piece?", "r": "f", "e": 2, "k": "config", "s": [version, ""], "o": 0}
        made.handle("somebody", asked)  # and never for the next chunk
    (chain,) = made.archive._chains.values()
    assert sum(earlier.size for earlier in chain) <= chunks.MAX_CHAIN_CHARS and len(chain) > 100
    assert len(made.archive._pins) <= chunks.MAX_PINNED


# ---- the disk --------------------------------------------------------------------------------------


def test_a_write_to_a_full_map_is_refused_and_loses_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(disk, "MAP_BYTES", 256 * 1024)
    made = disk.Disk(str(tmp_path))
    made.load()
    made.store({"config": Value(4, "a", "four"), "evacuation/aa": Value(1, "n", "1")})
    unpackable = "".join(digest_of(str(n)) for n in range(60_000))
    with pytest.raises(lmdb_folder.DiskError, match="full: nothing was changed"):
        made.store({"config": Value(5, "b", unpackable), "evacuation/aa": Value(2, "n", "0")})
    made.store({"config": Value(6, "c", "six")})
    made.close()
    kept, why = disk.Disk(str(tmp_path)).load()
    assert (kept["config"].data, kept["evacuation/aa"].data, why) == ("six", "1", "")


def test_a_thousand_changes_leave_a_disk_that_stays_small_and_an_earlier_format_is_read(
    tmp_path: Path,
) -> None:
    made = disk.Disk(str(tmp_path))
    made.load()
    with made._lmdb.open().begin(write=True) as writing:  # as written by format 1
        writing.put(b"format", b"1")
        writing.put(b"config", json.dumps([1, "a", long(1)]).encode())
    assert made._read()["config"] == Value(1, "a", long(1))
    for version in range(2, 102):
        made.store({"config": Value(version, "a", long(version))})
    size = sum(file.stat().st_blocks * 512 for file in (tmp_path / "registry").iterdir())
    made.store({"config": Value(3, "z", "older")})
    made.close()
    assert disk.Disk(str(tmp_path)).load()[0]["config"].data == long(101)
    assert size < 1_000_000
