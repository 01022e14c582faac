"""Drawn beginnings of client connections on the real listeners of one gatekeeper: whole, partial and damaged
requests, ended in every way that a client can. An ordinary client is served afterwards, and no connection has
raised an exception.
"""

import asyncio
import contextlib
import logging
import random
import socket
import struct
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from tests.system_world import document
from tests.test_gatekeeper_calls import KEY, RunningGatekeeper, connect, running_gatekeeper, serves

METHODS = (
    b"GET",
    b"HEAD",
    b"POST",
    b"PUT",
    b"DELETE",
    b"OPTIONS",
    b"TRACE",
    b"CONNECT",
    b"PATCH",
    b"get",
    b"",
)
TARGETS = (
    b"/p/a1", b"/p/a2?x=1", b"/other/a1", b"*", b"", b"http://a.example/p/a1", b"a.example:80", b"/%00",
    b"/\xff", b"/v1/readiness", b"/v1/metrics", b"/v1/config", b"/v1/resolve?region=a",
    b"/v1/evacuation/ba", b"/healthz",
)  # fmt: skip
VERSIONS = (b"HTTP/1.1", b"HTTP/1.0", b"HTTP/2.0", b"HTTP/1.", b"")
FIELDS = (
    b"Host: a.example", KEY.strip().encode(), b"Connection: close", b"Connection: upgrade", b"Upgrade: h2c",
    b"Expect: 100-continue", b"Millfront-Attempt-Id: a19c", b"Millfront-Deadline-Ms: 3000",
    b"Millfront-Deadline-Ms: x", b"Cookie: ", b"X-Odd:  tab\t", b" folded", b"no colon", b": no name",
    b"X-Long: " + b"x" * 3000, b"X-\xe9: \xff\x00", b"Content-Length: 5", b"Content-Length: -1",
    b"Content-Length: 99999999999999999999", b"Transfer-Encoding: chunked", b"Transfer-Encoding: gzip",
    b"Millfront-Operation-Key: k-1",
)  # fmt: skip
USUAL_FIELDS = 2  # the first ones of the list above
BODIES = (
    b"",
    b"12345",
    b"1\r\nx\r\n0\r\n\r\n",
    b"ffffffffff\r\n",
    b"zz\r\n",
    b"0\r\nTrailer: x\r\n\r\n",
    b"x" * 70_000,
)
OTHER_PROTOCOLS = (
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00",
    b"\r\n\r\n",
    b"\x00" * 40,
)
TIMEOUT_US = 150_000  # of incomplete requests and of idle connections
LIMITS = {
    "max_header_bytes": 16_384, "max_body_bytes": 2**20, "header_deadline": "150ms", "idle_timeout": "150ms",
}  # fmt: skip
PARALLEL = 64  # connections at a time
ANSWER_LIMIT_S = 5.0
FIRST_BYTES_LIMIT_S = 0.05
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER


class End(Enum):
    """What a client does once it has sent its bytes."""

    CLOSE = "closes"
    HALF_CLOSE = "sends no more, and reads to the end"
    RESET = "resets the connection"
    SILENT = "goes silent until it is closed"
    AFTER_ANSWER = "closes after the first bytes of an answer"


@dataclass(frozen=True, slots=True)
class Beginning:
    """What one client sends, piece by piece, and how it ends."""

    pieces: tuple[bytes, ...]
    end: End


def draw_request(chance: random.Random) -> bytes:
    """One request: mostly sound, at times with odd fields, and at times damaged."""
    usual = chance.random() < 0.7
    method = chance.choice(METHODS[:4] if usual else METHODS)
    target = chance.choice(TARGETS[:3] if usual else TARGETS)
    version = VERSIONS[0] if usual else chance.choice(VERSIONS)
    fields = [*FIELDS[:USUAL_FIELDS], *chance.sample(FIELDS, k=chance.randrange(4))]
    body = chance.choice(BODIES)
    if usual and body and not any(field.startswith((b"Content-Length", b"Transfer")) for field in fields):
        fields.append(b"Content-Length: %d" % len(body))
    data = b"\r\n".join([b" ".join((method, target, version)), *fields, b"", b""]) + body
    if chance.random() < 0.2:
        place = chance.randrange(len(data))
        data = data[:place] + chance.randbytes(chance.randrange(4)) + data[place + chance.randrange(4) :]
    return data


def draw_beginning(chance: random.Random) -> Beginning:
    """Some requests, the last one cut off at times, in some pieces."""
    data = b"".join(draw_request(chance) for _ in range(chance.choice((1, 1, 1, 2, 3))))
    if chance.random() < 0.1:
        data = chance.choice(OTHER_PROTOCOLS) + data
    if chance.random() < 0.5:
        data = data[: chance.randrange(len(data) + 1)]
    cuts = sorted(chance.randrange(len(data) + 1) for _ in range(chance.choice((0, 0, 1, 3))))
    pieces = tuple(data[start:end] for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True))
    return Beginning(pieces, chance.choices(list(End), (4, 4, 2, 1, 4))[0])


async def play_beginning(address: str, beginning: Beginning) -> bytes | None:
    """Play one client; returns what it read, None if the gatekeeper did not end the connection in time."""
    reader, writer = await connect(address)
    try:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            for piece in beginning.pieces:
                writer.write(piece)
                await asyncio.sleep(0)
            return await end_connection(reader, writer, beginning.end)
    except TimeoutError:
        return None
    except OSError:
        return b""
    finally:
        writer.close()


async def end_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, end: End) -> bytes:
    """End a connection in this way; returns what was read."""
    match end:
        case End.RESET:
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        case End.AFTER_ANSWER:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FIRST_BYTES_LIMIT_S):
                    return await reader.read(512)
        case End.HALF_CLOSE:
            writer.write_eof()
            return await reader.read()
        case End.SILENT:
            return await reader.read()
    return b""


class FaultLog(logging.Handler):
    """Collects the exceptions that the gatekeeper has contained."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.faults: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        self.faults.append(f"{record.getMessage()}: {error!r}")


async def fault_of_batch(
    system: RunningGatekeeper, log: FaultLog, drawn: list[Beginning], addresses: list[str]
) -> str:
    """Play connections side by side, then an ordinary client at each listener; empty if all held."""
    answers = await asyncio.gather(*map(play_beginning, addresses, drawn))
    if log.faults:
        return f"{log.faults[0]}: {drawn}"
    for beginning, answer in zip(drawn, answers, strict=True):
        if answer is None:
            return f"not ended in {ANSWER_LIMIT_S} s: {beginning}"
        if answer and not b"HTTP/1.1 ".startswith(answer[:9]):
            return f"{answer[:80]!r} to {beginning}"
    for address, path in ((system.plain, "/p/a1"), (system.ctl, "/v1/readiness")):
        status, _, _ = await system.ask("GET", path, b"", address, KEY)
        if status != 200:
            return f"an ordinary client got {status}: {drawn}"
    return "" if not system.running.done() else "the process has ended"


async def first_fault(folder: Path, seed: int, connections: int) -> str:
    """Play that many drawn connections at the listeners for clients and for operators; empty if all held."""
    chance, log = random.Random(seed), FaultLog()
    logging.getLogger("millfront").addHandler(log)
    try:
        async with running_gatekeeper(folder, [serves]) as system:
            assert await system.put(document(2, {"t": ["key-1"]}, limits=LIMITS)) == 200
            await system.until(lambda: system.service.proxy.server.idle_timeout_us == TIMEOUT_US)
            control = system.service.control_apis[0].server
            control.request_read_timeout_us = control.idle_timeout_us = TIMEOUT_US
            for number in range(0, connections, PARALLEL):
                drawn = [draw_beginning(chance) for _ in range(PARALLEL)]
                addresses = [chance.choice((system.plain, system.plain, system.ctl)) for _ in drawn]
                if fault := await fault_of_batch(system, log, drawn, addresses):
                    return f"connections from {number}: {fault}"
            return ""
    finally:
        logging.getLogger("millfront").removeHandler(log)
