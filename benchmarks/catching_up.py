"""Catching up, in simulated time: after many changes a restarted, a wiped and a long-dark member return.

    python -m benchmarks.catching_up                # the figures of docs/design/catching-up.md
    python -m benchmarks.catching_up --changes 100

The worlds are the tests' (`tests/system_world.py`, `tests/test_catching_up.py`): the very gatekeepers,
here over lines of 2 Mbit/s between any two, on which a message waits for those before it. Times are seconds.
"""

import argparse
import os
import tempfile
import time
from collections.abc import Callable, Generator
from functools import lru_cache
from typing import Any

from millfront.control import configuration
from millfront.register import chunks
from millfront.register.chunks import Archive
from millfront.register.deltas import apply_chain, difference, wire_size
from millfront.register.values import Value
from millfront.storage.disk import Disk
from millfront.transport.connections import decode_message, encode_message
from tests.system_world import Node
from tests.test_catching_up import CatchUpWorld, held_by, long

LINE = 2e6 / 8  # bytes a second
LARGE = 21_000  # routes of a document of 6 MB
configuration.compiled = lru_cache(4)(configuration.compiled)  # type: ignore[assignment]  # once for all gatekeepers of a world


class Lines(CatchUpWorld):
    """A world whose lines take time by length, while `measured` is set."""

    measured = -1  # whose
    came = 0  # bytes on lines to it
    held_up = 0.0  # the longest that a message to it waited for those before it on its line
    busy: dict[tuple[int, int], float]  # until when

    def deliver(self, sender: Node, address: str, give: Callable[[Any, Any], None], message: Any) -> None:
        to = self.by_address.get(address)
        if to is None or to.number != self.measured:
            super().deliver(sender, address, give, message)
            return
        length = len(encode_message(message))
        datagram = "r" not in message and message["t"] not in ("news", "rest", "list")
        self.came += 0 if datagram else length
        pair = (sender.number, to.number)
        waits = max(0.0, self.busy.get(pair, 0.0) - self.env.now)
        self.held_up = max(self.held_up, waits)
        free = self.busy[pair] = self.env.now + waits + length / LINE

        def later() -> Generator[Any, Any, None]:
            yield self.env.timeout(free - self.env.now)
            super(Lines, self).deliver(sender, address, give, message)

        self.env.process(later())

    def measure(self, number: int, within: float = 120.0) -> tuple[float, int, float]:
        """Until it has caught up, the bytes on lines to it, and the longest that a message waited."""
        self.measured, self.came, self.held_up, self.busy = number, 0, 0.0, {}
        self.bring_back(number)
        self.wait_until_caught_up(within)
        self.run(2.0)
        self.measured = -1
        return self.catch_up_s[number], self.came, self.held_up


def after(changes: int) -> None:
    """1 is dark all the time; 2 and 3 are down for some changes, and 4 is wiped, after the others."""
    began, text = time.monotonic(), long(1)
    for name, planted in (("differences", False), ("whole", True)):
        replaced = Archive.record_change
        if planted:
            Archive.record_change = lambda *_: None  # type: ignore[method-assign]
        world = Lines(7, 6, 1)
        world.start().run(4.0)
        world.put_changes(1, 6, 0.6)
        world.nodes[1].kill()
        world.put_changes(changes - 1, 6, 0.06)
        for number, kind, missed in (
            (2, "restarted, 1 change", 1),
            (3, "restarted, 20 changes", 20),
            (4, "wiped", 0),
            (1, "dark all the time", 0),
        ):
            if missed:
                world.nodes[number].kill()
                world.put_changes(missed, 6, 0.06)
            elif number == 4:
                world.wipe(4)
            world.run(1.0)
            took, came, held_up = world.measure(number)
            print(f"{name:12} {kind:24} {took:6.2f} {came:8} {held_up:6.2f}")
            assert held_by(world.nodes[number]) == world.acknowledged
        Archive.record_change = replaced  # type: ignore[method-assign]
    packed = len(encode_message({"t": "", "v": text}))
    print(f"{changes} changes of {len(text)} characters, {packed} bytes packed")
    print(f"ran {time.monotonic() - began:.0f} s")


def large() -> None:
    """A wiped member and a document of 6 MB: by pieces, and in one message."""
    text = long(1, LARGE)
    for name, piece in (
        ("pieces", chunks.CHUNK_CHARS),
        ("256 K", 256 * 1024),
        ("one message", 64 * 1024 * 1024),
    ):
        chunks.CHUNK_CHARS, before = piece, chunks.CHUNK_CHARS
        world = Lines(7, 6, 1)
        world.start().run(4.0)
        answers = world.call(6, lambda o, now, done: o.put_checked(now, configuration.compiled(text), done))
        world.run(4.0)
        assert answers[0][0] == 200
        world.acknowledged = 1
        world.wipe(4)
        world.run(1.0)
        took, came, held_up = world.measure(4)
        print(f"{name:12} {'wiped':24} {took:6.2f} {came:8} {held_up:6.2f}")
        chunks.CHUNK_CHARS = before
    print(f"{len(text)} characters, {len(encode_message({'t': '', 'v': text}))} bytes packed")


def processor() -> None:
    """Processor time of one message at either end, and of a difference."""
    text, later = long(1, LARGE), long(2, LARGE)
    for name, part in (
        ("a piece", text[: chunks.CHUNK_CHARS]),
        ("256 K", text[: 256 * 1024]),
        ("the whole", text),
    ):
        began = time.process_time()
        line = encode_message({"t": "piece", "x": part})
        packed = time.process_time()
        decode_message(line)
        print(
            f"{name}: {len(line)} bytes, made in {1000 * (packed - began):.1f} ms, "
            f"read in {1000 * (time.process_time() - packed):.1f} ms"
        )
    for one, two in ((long(1), long(2)), (text, later)):
        began = time.process_time()
        steps = difference(one, two, chunks.MAX_CHAIN_CHARS)
        made = time.process_time()
        assert steps is not None
        apply_chain(one, [steps], len(two), configuration.digest_of(two)).unwrap()
        print(
            f"a difference of {len(one)} characters: {wire_size(steps)} on a line, made in "
            f"{1000 * (made - began):.1f} ms, followed in {1000 * (time.process_time() - made):.1f} ms"
        )


def disk(changes: int, routes: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        made = Disk(folder)
        made.load()
        for version in range(1, changes + 1):
            made.store({"config": Value(version, "tie", long(version, routes))})
        made.close()
        blocks = sum(os.stat(os.path.join(made.folder, name)).st_blocks for name in os.listdir(made.folder))
        print(f"disk after {changes} versions of {routes} routes: {blocks * 512 / 1000:.0f} KB")


def main() -> None:
    told = argparse.ArgumentParser()
    told.add_argument("--changes", type=int, default=1000)
    changes = told.parse_args().changes
    processor()
    disk(changes, 350)
    disk(max(2, changes // 10), LARGE)
    print("                                 caught up   bytes held up")
    after(changes)
    large()


if __name__ == "__main__":
    main()
