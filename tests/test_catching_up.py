"""Catching up after many changes: a member that was down, cut off or wiped holds the newest soon after it is
back, and neither votes nor holds a duty of the core before."""

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

CAUGHT_UP_S = 4.0  # from its start or from the end of the cut, on lines without a limit
ROUTES = 350


@pytest.fixture(autouse=True)
def compiled_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """A text is compiled once for all gatekeepers of a world: it is the same in each."""
    monkeypatch.setattr(configuration, "compiled", lru_cache(4)(configuration.compiled))


@cache
def _entries(routes: int) -> tuple[str, ...]:
    told = json.loads(document(1))
    route, service, _ = told["resources"]
    made = []
    for number in range(routes):
        spec = route["spec"] | {"host": f"h{number % 40}.example", "path_prefix": f"/p/{number}/"}
        made.append(json.dumps(route | {"meta": {"name": f"route-{digest_of(str(number))}"}, "spec": spec}))
    return (*made, json.dumps(service))


def long(version: int, routes: int = ROUTES) -> str:
    """A document of many routes; each version has another one's entry changed."""
    entries = list(_entries(routes))
    at = version * 7 % routes
    entries[at] = entries[at].replace('"max_tries": 2', f'"max_tries": {version % 90 + 3}')
    return f'{{"revision": "{version:08x}", "resources": [{", ".join(entries)}]}}'


def held_by(node: Node) -> int:
    """The version on its disk."""
    value = (node.disk or {}).get("config")
    return value.version if value is not None else 0


class Watched(World):
    """A world that looks, as it runs, at those that are back: until they have caught up with what was
    acknowledged before they came, they hold no duty, and a wiped one does not vote."""

    def __init__(self, *how: Any, **more: Any) -> None:
        super().__init__(*how, **more)
        self.acknowledged = 0
        self.back: dict[int, tuple[int, float]] = {}  # who, what it must have, and since when
        self.wiped: set[int] = set()
        self.took: dict[int, float] = {}  # seconds until it had caught up
        self.received: dict[int, int] = {}  # bytes on lines
        self.piece_s = 0.0  # that a piece needs more than another message
        self.fallen = ""  # of what is watched
        self.env.process(self._watch())

    def _watch(self) -> Generator[Any, Any, None]:
        while True:
            yield self.env.timeout(0.02)
            for number, (version, since) in list(self.back.items()):
                node = self.nodes[number]
                gatekeeper = node.gatekeeper
                if gatekeeper is None or gatekeeper.replica is None:
                    continue
                if (
                    held_by(node) >= version
                    and gatekeeper.configuration is not None
                    and gatekeeper.replica.votes
                ):
                    self.took[number] = self.env.now - since
                    del self.back[number]
                elif (
                    gatekeeper.membership.own_record.has_full_copy
                    or gatekeeper.reconfiguration.change is not Change.NONE
                ):
                    self.fallen = f"{node.name} holds a duty with {held_by(node)} of {version}"
                elif number in self.wiped and gatekeeper.replica.votes:
                    self.fallen = f"{node.name} votes with {held_by(node)} of {version}"

    def deliver(self, sender: Node, address: str, give: Any, message: Any) -> None:
        to = self.by_address.get(address)
        if to is not None and to.number in self.received:
            self.received[to.number] += len(encode_message(message))
        if message["t"] != "piece" or not self.piece_s:
            super().deliver(sender, address, give, message)
            return
        life = sender.incarnation

        def later() -> Generator[Any, Any, None]:
            yield self.env.timeout(self.piece_s)
            if sender.incarnation == life:
                super(Watched, self).deliver(sender, address, give, message)

        self.env.process(later())

    def changes(self, count: int, number: int, apart: float = 0.3) -> None:
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

    def returns(self, number: int) -> None:
        self.back[number] = (self.acknowledged, self.env.now)
        if self.nodes[number].gatekeeper is None:
            self.nodes[number].start()

    def wipe(self, number: int) -> None:
        self.wiped.add(number)
        self.nodes[number].wipe()

    def caught_up(self, within: float = CAUGHT_UP_S) -> None:
        """All that are back have caught up in time, and nothing that is watched fell meanwhile."""
        late = self.env.now + within
        while self.back and self.env.now < late:
            self.run(0.1)
        assert not self.fallen, self.fallen
        assert not self.back, f"not caught up: {self.back}"


def founded(n: int = 7, disks: int = 6, seed: int = 1, spares: int = 0) -> Watched:
    world = Watched(n, disks, seed, spares=spares)
    world.start().run(4.0)
    world.changes(1, n - 1, 0.6)
    return world


@pytest.fixture
def in_pieces(monkeypatch: pytest.MonkeyPatch) -> None:
    """A document of 350 routes has a dozen pieces."""
    monkeypatch.setattr(chunks, "CHUNK_CHARS", 8192)


# ---- stories ---------------------------------------------------------------------------------------


def hundreds_of_changes() -> None:
    """One member is down all the time, one cut off, one wiped in the middle: the majority goes on."""
    world = founded()
    dark, apart, wiped = 1, 2, 4
    cut = True
    world.cut = lambda a, b: cut and apart in (a.number, b.number)
    world.nodes[dark].kill()
    world.changes(100, 6, 0.06)
    world.wipe(wiped)
    world.returns(wiped)
    world.caught_up()
    world.changes(100, 5, 0.06)
    assert held_by(world.nodes[dark]) <= 1 and held_by(world.nodes[apart]) <= 1
    cut = False
    world.returns(dark)
    world.returns(apart)
    world.caught_up()
    assert {held_by(node) for node in world.nodes[:6]} == {world.acknowledged}
    assert {o.configuration.version for o in world.gatekeepers() if o.configuration} == {world.acknowledged}


def killed_among_the_pieces() -> None:
    """The one that recovers is killed twice while its pieces come, then the one that hands them out."""
    world = founded()
    world.changes(3, 6)
    world.piece_s, node = 0.2, world.nodes[4]
    world.wipe(4)
    for kills in range(3):
        world.returns(4)
        gatekeeper = fetching(world, node)
        if kills < 2:
            node.kill()
            assert not node.disk, "a disk that holds anything counts as whole at the next start"
    teller = next(n for n in world.nodes if n.name == gatekeeper.reconfiguration.recovery._sources[0])
    teller.kill()
    world.caught_up(within=8.0)


def fetching(world: Watched, node: Node) -> Any:
    """Run until some of its pieces have come."""
    for _ in range(1000):
        world.run(0.01)
        gatekeeper = node.gatekeeper
        assert gatekeeper is not None and gatekeeper.replica is not None
        if gatekeeper.reconfiguration.recovery.stage is Stage.FETCHING:
            coming = gatekeeper.subscriber._arrivals._incoming.get("config")
            if coming is not None and len(coming.parts) > 2:
                assert not gatekeeper.replica.votes
                return gatekeeper
    raise AssertionError(world.fallen or "no pieces come")


def a_disk_that_takes_nothing_meanwhile() -> None:
    """What was fetched can't be synced at first: the replica stays silent, and tries again."""
    world = founded()
    node = world.nodes[4]
    world.wipe(4)
    node.disk_refuses = True
    world.returns(4)
    world.run(5.0)
    assert (
        node.gatekeeper is not None
        and node.gatekeeper.replica is not None
        and not node.gatekeeper.replica.votes
    )
    node.disk_refuses = False
    world.caught_up(within=6.0)


def changes_among_the_pieces() -> None:
    """The document changes faster than its pieces come."""
    world = founded(n=5, disks=4)
    node = world.nodes[2]
    world.piece_s = 0.2
    world.wipe(2)  # the three others are W
    world.returns(2)
    fetching(world, node)
    for _ in range(60):
        world.changes(1, 4, 0.02)
        if not world.back:
            break
    assert not world.back, "it never catches up while the document changes"
    world.caught_up()


def a_core_change_among_the_pieces() -> None:
    """A spare machine is posted while a member recovers: it begins anew in the new core, and votes then."""
    world = founded(spares=1)
    world.changes(2, 6)
    world.piece_s = 1.5  # so slow that others are asked for the same piece
    world.wipe(4)
    world.returns(4)
    gatekeeper = fetching(world, world.nodes[4])
    world.nodes[7].start()
    before = gatekeeper.subscriber.core.epoch
    while gatekeeper.subscriber.core.epoch == before and not gatekeeper.replica.votes:
        world.run(0.02)
    assert not gatekeeper.replica.votes, "it was too quick for this story"
    assert gatekeeper.reconfiguration.recovery.stage is Stage.LEARNING_INCARNATIONS, (
        "what members of another core told goes on to count"
    )
    world.caught_up(within=14.0)
    world.run(6.0)
    cores = {
        (o.subscriber.core.epoch, len(o.subscriber.core.all_members))
        for o in world.gatekeepers()
        if o.subscriber.core
    }
    assert cores == {(before + 2, 7)} and gatekeeper.replica.values["core"].version == before + 2


def a_difference_is_enough() -> None:
    """A process that missed one change is sent that change, not the document."""
    world = founded(n=6, disks=4)
    world.changes(2, 5)
    world.received[5] = 0
    world.changes(4, 4, 1.2)
    gatekeeper = world.nodes[5].gatekeeper
    assert (
        gatekeeper is not None
        and gatekeeper.configuration is not None
        and gatekeeper.configuration.version == world.acknowledged
    )
    whole, a_change = len(encode_message({"t": "", "v": long(1)})), world.received[5] / 4
    assert a_change < 0.5 * whole, f"{a_change} bytes a change; whole {whole}"


@pytest.mark.parametrize("story", [hundreds_of_changes, a_difference_is_enough])
def test_after_hundreds_of_changes(story: Callable[[], None]) -> None:
    story()


@pytest.mark.parametrize(
    "story",
    [
        killed_among_the_pieces,
        a_disk_that_takes_nothing_meanwhile,
        changes_among_the_pieces,
        a_core_change_among_the_pieces,
    ],
)
@pytest.mark.usefixtures("in_pieces")
def test_among_the_pieces(story: Callable[[], None], monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reconfiguration, "JOIN_DELAY_S", 2.0)
    story()


# ---- planted faults --------------------------------------------------------------------------------


def hasty(monkeypatch: pytest.MonkeyPatch) -> None:
    """A replica that recovers does not wait for the long values."""
    whole = Recovery.handle_answer

    def take(self: Recovery, now: float, sender: str, message: dict[str, Any]) -> None:
        whole(self, now, sender, {key: told for key, told in message.items() if key != "d"})

    monkeypatch.setattr(Recovery, "handle_answer", take)


def ambitious(monkeypatch: pytest.MonkeyPatch) -> None:
    """Duties are held by whoever is up: main as it was."""
    monkeypatch.setattr(Recovery, "caught_up", lambda self: True)


def idle(monkeypatch: pytest.MonkeyPatch) -> None:
    """A member that was away waits for the next change: main as it was."""
    monkeypatch.setattr(Recovery, "catch_up", lambda self, now: None)


def forgetful(monkeypatch: pytest.MonkeyPatch) -> None:
    """A text whose pieces are handed out is not kept when it changes."""
    monkeypatch.setattr(chunks, "MAX_PIN_CHANGES", -1)


def wholesale(monkeypatch: pytest.MonkeyPatch) -> None:
    """No differences: main as it was."""
    monkeypatch.setattr(Archive, "record_change", lambda *_: None)


def unchanged(monkeypatch: pytest.MonkeyPatch) -> None:
    """What was told in the core before goes on to count in the next."""
    monkeypatch.setattr(Recovery, "core_changed", lambda self: None)


def resigned(monkeypatch: pytest.MonkeyPatch) -> None:
    """What a disk did not take at once is not tried again."""
    monkeypatch.setattr(recovery, "SYNC_RETRY_TICKS", 10**9)


@pytest.mark.parametrize(
    ("fault", "story", "said"),
    [
        (hasty, killed_among_the_pieces, "votes with 0 of 4"),
        (ambitious, hundreds_of_changes, "holds a duty with"),
        (idle, hundreds_of_changes, "not caught up"),
        (forgetful, changes_among_the_pieces, "never catches up"),
        (wholesale, a_difference_is_enough, "bytes a change"),
        (resigned, a_disk_that_takes_nothing_meanwhile, "not caught up"),
        (unchanged, a_core_change_among_the_pieces, "of another core"),
    ],
)
@pytest.mark.usefixtures("in_pieces")
def test_a_planted_fault_is_found(
    fault: Callable[[pytest.MonkeyPatch], None],
    story: Callable[[], None],
    said: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(reconfiguration, "JOIN_DELAY_S", 2.0)
    fault(monkeypatch)
    with pytest.raises(AssertionError, match=said):
        story()


# ---- differences and pieces by themselves ----------------------------------------------------------

ENTRIES = st.lists(
    st.sampled_from([f'{{"entry": {n}, "of": "{"x" * 40}"}},' for n in range(12)]), max_size=40
)
TEXTS = st.one_of(st.text(max_size=300), ENTRIES.map("".join))


def fetched(before: Value, value: Value, held: Value, spoil: Callable[[Offer], Offer]) -> Any:
    """What a process ends with that has `held` under the stamp of `before`, which the replica had."""
    archive, arrivals = Archive(), IncomingTexts()
    archive.record_change("k", before, value)
    offer = archive.offer("k", value, held.stamp)
    assert offer.chain is not None
    got: Any = arrivals.accept_offer("k", spoil(offer), held)
    while isinstance(got, dict):
        got = arrivals.add_chunk(archive.chunk("k", value, got["s"], got["o"]))
    return got


@given(TEXTS, TEXTS)
@settings(max_examples=150, deadline=None)
def test_a_difference_gives_the_later_text_and_nothing_else(old: str, new: str) -> None:
    steps = deltas.difference(old, new, 10**6)
    assert steps is not None
    steps = json.loads(json.dumps(steps))
    assert deltas.apply_chain(old, [steps], len(new), digest_of(new)) == Ok(new)
    if old != new:
        match deltas.apply_chain(new + "x", [steps], len(new), digest_of(new)):
            case Ok(text):
                assert text == new  # it took from a wrong base what is the same there
            case Err(_):
                pass


@given(ENTRIES.map("".join), ENTRIES.map("".join), st.data())
@settings(max_examples=100, deadline=None)
def test_a_garbled_difference_ends_in_the_whole(old: str, new: str, data: st.DataObject) -> None:
    one, two = Value(1, "a", old + "\n" + "y" * 5000), Value(2, "b", new + "z" * 9 + "\n" + "y" * 5000)

    def spoil(offer: Offer) -> Offer:
        chain = json.loads(json.dumps(offer.chain))
        at = data.draw(st.integers(0, len(chain[-1]) - 1))
        chain[-1][at] = data.draw(st.one_of(st.just([0, 1]), st.just([0, 10**6]), st.text(), st.none()))
        return offer._replace(chain=chain)

    another = Value(1, "a", one.data.replace("y", "w"))  # under that stamp
    for got in (fetched(one, two, one, spoil), fetched(one, two, another, lambda offer: offer)):
        assert got == two and got.data == two.data


def test_a_digest_that_is_not_looked_at_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(deltas, "digest_of", lambda text: "same")
    monkeypatch.setattr(chunks, "digest_of", lambda text: "same")
    with pytest.raises(AssertionError):
        test_a_garbled_difference_ends_in_the_whole()


def test_what_a_replica_keeps_of_earlier_texts_is_bounded() -> None:
    made = Replica({"core": Value(2, "", "{}"), "config": Value(1, "", long(1))}, False)
    for version in range(2, 400):
        made._merge({"config": Value(version, "", long(version))})
        asked = {"t": "piece?", "r": "f", "e": 2, "k": "config", "s": [version, ""], "o": 0}
        made.handle("somebody", asked)  # and never for the next
    (chain,) = made.archive._chains.values()
    assert sum(earlier.size for earlier in chain) <= chunks.MAX_CHAIN_CHARS and len(chain) > 100
    assert len(made.archive._pins) <= chunks.MAX_PINNED


# ---- the disk --------------------------------------------------------------------------------------


def test_a_full_map_is_refused_and_nothing_kept_is_lost(
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
    with made._files.open().begin(write=True) as writing:  # as format 1 wrote it
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
