"""The simulator's host: frames in, one isolated Gateway per instance, frames out. It decides nothing."""

import struct
import sys
from collections.abc import Callable
from typing import Any, BinaryIO, TypeVar

from millfront import interface as api
from millfront.choice import Gateway
from millfront.settings import SettingsError, settings_from

OUTCOMES = {
    100: api.Outcome.OK,
    301: api.Outcome.ERROR,
    302: api.Outcome.FULL,
    303: api.Outcome.TIMEOUT,
    304: api.Outcome.CONNECT_FAILED,
    305: api.Outcome.RESET,
    306: api.Outcome.CANCELLED,
    307: api.Outcome.MOOT,
}
ROW = struct.Struct("<IHBHBfQ")
ALL_PEERS = 0xFFFFFFFF
T = TypeVar("T")


class Malformed(Exception):
    """A frame or a settings text that the wire format does not allow."""


class Reader:
    """A cursor over one frame; reading past its end raises Malformed."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.at = 0

    def take(self, fmt: str) -> tuple[Any, ...]:
        try:
            values = struct.unpack_from("<" + fmt, self.data, self.at)
        except struct.error:
            raise Malformed(f"record cut short at byte {self.at}") from None
        self.at += struct.calcsize("<" + fmt)
        return values

    def raw(self, size: int) -> bytes:
        if self.at + size > len(self.data):
            raise Malformed(f"record cut short at byte {self.at}")
        self.at += size
        return self.data[self.at - size : self.at]


def lookup(values: Callable[[Any], T], value: object, what: str) -> T:
    try:
        return values(value)
    except (ValueError, KeyError):
        raise Malformed(f"unknown {what}: {value!r}") from None


def backend_entries(reader: Reader, count: int) -> tuple[api.BackendEntry, ...]:
    rows = []
    for _ in range(count):
        backend, zone, kind, cell, state_code, weight, started = ROW.unpack(reader.raw(ROW.size))
        state = lookup(api.BackendState, state_code, "backend state")
        rows.append(api.BackendEntry(backend, zone, kind, cell, state, weight, started))
    return tuple(rows)


def attempt_ended(reader: Reader) -> api.AttemptEnded:
    request, status, closed, units, backend, _use, latency_us, attempt, columns = reader.take("QHBHIHIHB")
    reader.raw(4 * columns)
    outcome = lookup(OUTCOMES.__getitem__, status, "outcome")
    return api.AttemptEnded(request, attempt, backend, outcome, bool(closed), latency_us, units)


def counter_answered(reader: Reader) -> api.CounterAnswered:
    total, _latency_us, name, status = reader.take("fIQH")
    return api.CounterAnswered(name, lookup(OUTCOMES.__getitem__, status, "outcome"), total)


def peer_message(reader: Reader) -> api.PeerMessage:
    sender, size = reader.take("HH")
    return api.PeerMessage(sender, reader.raw(size))


def request_arrived(reader: Reader) -> api.RequestArrived:
    request, cls, plan, customer, patience_us, units, spread, first, _flags = reader.take("QBHQIfffH")
    return api.RequestArrived(request, cls, plan, customer, patience_us, units, int(spread), int(first))


def probe_ended(reader: Reader) -> api.ProbeEnded:
    backend, latency_us, status, columns = reader.take("IIHB")
    reader.raw(4 * columns)
    return api.ProbeEnded(backend, lookup(OUTCOMES.__getitem__, status, "outcome"), latency_us)


def stream_started(reader: Reader) -> api.StreamStarted:
    request, _backend, attempt, _latency_us = reader.take("QIHI")
    return api.StreamStarted(request, attempt)


EVENTS: dict[int, Callable[[Reader], api.Event]] = {
    1: attempt_ended,
    2: counter_answered,
    3: peer_message,
    5: request_arrived,
    6: probe_ended,
    8: lambda reader: api.RequestGone(*reader.take("Q")),
    10: stream_started,
    11: lambda reader: api.TimerFired(*reader.take("I")),
}
CONFIGURE, VIEW, DOWN, CATALOG = 0, 4, 7, 9


def encode(instance: int, action: api.Action) -> bytes:
    match action:
        case api.Send(request, backend, timeout_us):
            return struct.pack("<BIQII", 11, instance, request, backend, timeout_us)
        case api.Refuse(request, retry_after_us):
            return struct.pack("<BIQI", 3, instance, request, retry_after_us)
        case api.Fail(request):
            return struct.pack("<BIQ", 9, instance, request)
        case api.Cancel(request, attempt):
            return struct.pack("<BIQH", 12, instance, request, attempt)
        case api.SetTimer(delay_us, token):
            return struct.pack("<BIII", 10, instance, delay_us, token)
        case api.Count(name, amount, ttl_us):
            return struct.pack("<BIQfI", 8, instance, name, amount, ttl_us)
        case api.Probe(backend):
            return struct.pack("<BII", 0, instance, backend)
        case api.Watch(on):
            return struct.pack("<BIB", 1, instance, on)
        case api.FetchList():
            return struct.pack("<BI", 4, instance)
        case api.Tell(peer, payload):
            to = ALL_PEERS if peer is None else peer
            return struct.pack("<BIIH", 5, instance, to, len(payload)) + payload
        case api.Short():
            return b""  # the simulator has no reservations
        case api.CloseIdle(backend):
            return struct.pack("<BII", 6, instance, backend)
        case api.Log(text):
            line = text.encode()
            return struct.pack("<BIH", 2, instance, len(line)) + line


class Host:
    """The gateways of this process by instance, and the lists of backends by slot."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.lists: dict[int, tuple[api.BackendEntry, ...]] = {}

    def handle_batch(self, data: bytes, count: int) -> bytes:
        reader = Reader(data)
        (now,) = reader.take("Q")
        reply = bytearray()
        for _ in range(count):
            instance, actions = self.handle_record(reader, now)
            for action in actions:
                reply += encode(instance, action)
        if reader.at != len(data):
            raise Malformed(f"{len(data) - reader.at} bytes after the last record")
        return bytes(reply)

    def handle_record(self, reader: Reader, now: int) -> tuple[int, list[api.Action]]:
        (code,) = reader.take("B")
        if code == CATALOG:
            slot, count = reader.take("BI")
            self.lists[slot] = backend_entries(reader, count)
            return 0, []
        (instance,) = reader.take("I")
        if code == CONFIGURE:
            seed, size = reader.take("QI")
            try:
                self.gateways[instance] = Gateway(settings_from(reader.raw(size)), seed)
            except (SettingsError, ValueError) as error:
                raise Malformed(str(error)) from None
            return instance, self.gateways[instance].handle(now, api.Started())
        if code == DOWN:
            self.gateways.pop(instance, None)
            return instance, []
        if code == VIEW:
            event: api.Event = self.backend_list(reader)
        elif code in EVENTS:
            event = EVENTS[code](reader)
        else:
            raise Malformed(f"unknown record code {code}")
        if instance not in self.gateways:
            raise Malformed(f"event for instance {instance}, which is not running")
        return instance, self.gateways[instance].handle(now, event)

    def backend_list(self, reader: Reader) -> api.BackendList:
        mode, _version, slot = reader.take("BQB")
        kind = lookup(api.ListKind, mode, "list kind")
        if kind is api.ListKind.FAILED:
            return api.BackendList(kind, ())
        if slot not in self.lists:
            raise Malformed(f"list {slot} was never given")
        return api.BackendList(kind, self.lists[slot])


def read_exactly(source: BinaryIO, size: int) -> bytes:
    data = source.read(size)
    if len(data) < size:
        raise Malformed(f"input ended {size - len(data)} bytes short of a frame")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the input ends between two frames."""
    host = Host()
    while head := source.read(4):
        if len(head) < 4:
            raise Malformed("input ended inside a frame header")
        (count,) = struct.unpack("<I", head)
        (size,) = struct.unpack("<I", read_exactly(source, 4))
        reply = host.handle_batch(read_exactly(source, size), count)
        sink.write(struct.pack("<I", len(reply)) + reply)
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except Malformed as error:
        print(f"millfront: malformed input: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
