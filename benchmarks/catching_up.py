"""Catching up in simulated time: restarted, wiped and long-absent members return after many changes.

    python -m benchmarks.catching_up                # the figures of docs/design/catching-up.md
    python -m benchmarks.catching_up --changes 100

Uses the simulations of the tests (`tests/system_world.py`, `tests/test_catching_up.py`) with the real
gatekeepers, over links of 2 Mbit/s between any two, on which messages queue. Times are seconds.
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

LINK_BYTES_PER_S = 2e6 / 8
LARGE_ROUTES = 21_000  # routes of a document of 6 MB
configuration.compiled = lru_cache(4)(configuration.compiled)  # type: ignore[assignment]  # shared by all gatekeepers of a simulation


class SlowLinkWorld(CatchUpWorld):
    """A simulation in which messages to `measured_member` take time by their length."""

    measured_member = -1  # number of the member, or -1 for none
    received_bytes = 0  # by this member, without datagrams
    max_queued_s = 0.0  # longest wait of a message to it for those before it
    busy_until: dict[tuple[int, int], float]  # by (sender, receiver), simulated time

    def deliver(self, sender: Node, address: str, give: Callable[[Any, Any], None], message: Any) -> None:
        receiver = self.by_address.get(address)
        if receiver is None or receiver.number != self.measured_member:
            super().deliver(sender, address, give, message)
            return
        length = len(encode_message(message))
        datagram = "r" not in message and message["t"] not in ("news", "rest", "list")
        self.received_bytes += 0 if datagram else length
        pair = (sender.number, receiver.number)
        queued_s = max(0.0, self.busy_until.get(pair, 0.0) - self.env.now)
        self.max_queued_s = max(self.max_queued_s, queued_s)
        sent_at = self.busy_until[pair] = self.env.now + queued_s + length / LINK_BYTES_PER_S

        def deliver_later() -> Generator[Any, Any, None]:
            yield self.env.timeout(sent_at - self.env.now)
            super(SlowLinkWorld, self).deliver(sender, address, give, message)

        self.env.process(deliver_later())

    def measure(self, number: int, timeout_s: float = 120.0) -> tuple[float, int, float]:
        """Seconds until it has caught up, bytes received, and the longest time that a message was queued."""
        self.measured_member, self.received_bytes, self.max_queued_s, self.busy_until = number, 0, 0.0, {}
        self.bring_back(number)
        self.wait_until_caught_up(timeout_s)
        self.run(2.0)
        self.measured_member = -1
        return self.catch_up_s[number], self.received_bytes, self.max_queued_s


def measure_changes(changes: int) -> None:
    """Member 1 is down all the time; 2 and 3 are down for some changes; 4 is wiped after the others."""
    started, text = time.monotonic(), long(1)
    for name, without_differences in (("differences", False), ("whole", True)):
        original = Archive.record_change
        if without_differences:
            Archive.record_change = lambda *_: None  # type: ignore[method-assign]
        world = SlowLinkWorld(7, 6, 1)
        world.start().run(4.0)
        world.put_changes(1, 6, 0.6)
        world.nodes[1].kill()
        world.put_changes(changes - 1, 6, 0.06)
        for number, kind, missed_changes in (
            (2, "restarted, 1 change", 1),
            (3, "restarted, 20 changes", 20),
            (4, "wiped", 0),
            (1, "down all the time", 0),
        ):
            if missed_changes:
                world.nodes[number].kill()
                world.put_changes(missed_changes, 6, 0.06)
            elif number == 4:
                world.wipe(4)
            world.run(1.0)
            duration_s, received_bytes, max_queued_s = world.measure(number)
            print(f"{name:12} {kind:24} {duration_s:6.2f} {received_bytes:8} {max_queued_s:6.2f}")
            assert held_by(world.nodes[number]) == world.acknowledged
        Archive.record_change = original  # type: ignore[method-assign]
    packed_bytes = len(encode_message({"t": "", "v": text}))
    print(f"{changes} changes of {len(text)} characters, {packed_bytes} bytes packed")
    print(f"ran {time.monotonic() - started:.0f} s")


def measure_large_document() -> None:
    """A wiped member and a document of 6 MB, by chunk size and in one message."""
    text = long(1, LARGE_ROUTES)
    for name, chunk_chars in (
        ("chunks", chunks.CHUNK_CHARS),
        ("256 K", 256 * 1024),
        ("one message", 64 * 1024 * 1024),
    ):
        chunks.CHUNK_CHARS, original = chunk_chars, chunks.CHUNK_CHARS
        world = SlowLinkWorld(7, 6, 1)
        world.start().run(4.0)
        answers = world.call(6, lambda o, now, done: o.put_checked(now, configuration.compiled(text), done))
        world.run(4.0)
        assert answers[0][0] == 200
        world.acknowledged = 1
        world.wipe(4)
        world.run(1.0)
        duration_s, received_bytes, max_queued_s = world.measure(4)
        print(f"{name:12} {'wiped':24} {duration_s:6.2f} {received_bytes:8} {max_queued_s:6.2f}")
        chunks.CHUNK_CHARS = original
    print(f"{len(text)} characters, {len(encode_message({'t': '', 'v': text}))} bytes packed")


def measure_cpu() -> None:
    """CPU time of one message at both ends, and of a difference."""
    text, changed = long(1, LARGE_ROUTES), long(2, LARGE_ROUTES)
    for name, part in (
        ("a chunk", text[: chunks.CHUNK_CHARS]),
        ("256 K", text[: 256 * 1024]),
        ("the whole", text),
    ):
        started = time.process_time()
        encoded = encode_message({"t": "piece", "x": part})
        encoded_at = time.process_time()
        decode_message(encoded)
        print(
            f"{name}: {len(encoded)} bytes, encoded in {1000 * (encoded_at - started):.1f} ms, "
            f"decoded in {1000 * (time.process_time() - encoded_at):.1f} ms"
        )
    for old, new in ((long(1), long(2)), (text, changed)):
        started = time.process_time()
        delta = difference(old, new, chunks.MAX_CHAIN_CHARS)
        made_at = time.process_time()
        assert delta is not None
        apply_chain(old, [delta], len(new), configuration.digest_of(new)).unwrap()
        print(
            f"a difference of {len(old)} characters: {wire_size(delta)} encoded, computed in "
            f"{1000 * (made_at - started):.1f} ms, applied in {1000 * (time.process_time() - made_at):.1f} ms"
        )


def measure_disk(changes: int, routes: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        store = Disk(folder)
        store.load()
        for version in range(1, changes + 1):
            store.store({"config": Value(version, "tie", long(version, routes))})
        store.close()
        blocks = sum(os.stat(os.path.join(store.folder, name)).st_blocks for name in os.listdir(store.folder))
        print(f"disk after {changes} versions of {routes} routes: {blocks * 512 / 1000:.0f} KB")


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--changes", type=int, default=1000)
    changes = parser.parse_args().changes
    measure_cpu()
    measure_disk(changes, 350)
    measure_disk(max(2, changes // 10), LARGE_ROUTES)
    print("                                 caught up   bytes queued")
    measure_changes(changes)
    measure_large_document()


if __name__ == "__main__":
    main()
