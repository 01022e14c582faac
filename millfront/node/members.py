"""The pool members (page servers): who they are, and the connections to them."""

import asyncio
import socket
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from millfront.node.bodies import Upload
from millfront.node.config import Address
from millfront.node.endings import Ending, ExchangeError
from millfront.node.host import Clock
from millfront.node.http import Fields, Message, connect_error
from millfront.node.http1 import LAST_CHUNK, ResponseParser, encode_chunk, request_bytes
from millfront.node.link import ConnectAttempt, Link

IDLE_SHARE = 0.5  # of KeepaliveUs: a request written after the member closed would count as a reset
WORN_SHARE = 0.15  # of the requests on connections idle for so long that broke
LEAST_BROKEN = 3.0  # before that share says anything
BUCKETS = 32  # up to half an hour
FADE = 0.99  # of what was seen, each sweep: after a minute or so the same idle time is tried again
SWEEP_S = 0.5


MemberId = int | str  # a number of the list's, or the name of one life of a server


@dataclass(eq=False, slots=True)
class PoolMember:
    id: MemberId
    host: str
    dial: Address
    ready: bool = True  # not told draining or gone
    stopped_us: int = 0
    idle: "list[MemberConnection]" = field(default_factory=list)  # the last used at the end


class Flow(Protocol):
    """Whoever waits for an answer on a connection."""

    streams: bool  # an answer has begun to go on

    def answering(self) -> None: ...
    def begun(self, answer: Message) -> None:
        """An answer too long to be gathered: its head, and what came of its body."""

    def piece(self, data: bytes, last: bool) -> None:
        """What came next of it."""

    def passed_on(self) -> None:
        """The request's body goes on, or is whole with the kernel."""

    def answered(self, answer: Message) -> None: ...
    def nonsense(self, why: str) -> None: ...
    def broken(self, ended: ExchangeError) -> None: ...


class Exchange(Protocol):
    """What carries one request to a member and its answer back: a connection, or a stream of one."""

    flow: Flow | None

    def request(
        self, start: tuple[bytes, bytes], fields: Fields, body: bytes, upload: Upload | None = None
    ) -> None:
        """Write it, and what follows of its body. Raises ExchangeError: CONNECT_FAILED, nothing of it ran."""

    def pause(self) -> None:
        """Bring no more of an answer under way until resumed."""

    def resume(self) -> None: ...

    def rest(self) -> None:
        """Tell what came with an answer's beginning, or while paused."""

    def begin(self) -> None:
        """Tell the beginning of an answer without a length, whatever there is of it."""

    def takes(self) -> bool:
        """Nothing of the request waits for the member."""
        ...

    def release(self) -> bool:
        """The answer is whole; False where nothing more can go over it, and drop() is owed."""
        ...

    def drop(self) -> None:
        """Given up: the member is told."""

    def fared(self, well: bool) -> None:
        """How it did with the request that was written on it."""


Up = Callable[[Exchange | None, ExchangeError | None], None]


class Shared(Protocol):
    """Exchanges on connections that carry several at once."""

    def take(self, member: PoolMember, up: Up) -> Exchange | Callable[[], None]: ...


class MemberConnection:
    """One connection, one request at a time."""

    __slots__ = (
        "address",
        "answers",
        "flow",
        "idle_since_us",
        "idle_us",
        "link",
        "member",
        "members",
        "owed",
        "upload",
        "written",
    )

    def __init__(self, members: "Members", member: PoolMember, sock: socket.socket) -> None:
        self.members = members
        self.member = member
        self.address = member.dial
        self.answers = ResponseParser()
        self.flow: Flow | None = None
        self.written = False  # the request's last byte is with the kernel
        self.owed = 0  # bytes of the request that were given to the link
        self.upload: Upload | None = None  # the rest of its body
        self.idle_since_us = 0
        self.idle_us = 0  # how long it lay idle before it was taken up; 0: it is new
        self.link = Link(sock, self, asyncio.get_running_loop())

    def request(
        self, start: tuple[bytes, bytes], fields: Fields, body: bytes, upload: Upload | None = None
    ) -> None:
        """:raises ExchangeError: CONNECT_FAILED, it broke before the last byte was written"""
        length = len(body) if upload is None else upload.length
        if length is None:
            fields = [*fields, (b"Transfer-Encoding", b"chunked")]
            body = encode_chunk(body)
        elif length > len(body):
            fields = [*fields, (b"Content-Length", b"%d" % length)]
        elif body or start[0] == b"POST":
            fields = [*fields, (b"Content-Length", b"%d" % len(body))]
        request = request_bytes(start, fields, body)
        self.answers.expect(start[0])
        self.written, self.upload, self.owed = False, upload, len(request)
        try:
            self.link.write(request)
        except OSError as wrong:
            raise ExchangeError(Ending.CONNECT_FAILED, repr(wrong), retryable=True) from None
        if upload is not None:
            upload.attach(self)
        else:
            self.written = not self.link.unsent

    def write_body(self, data: bytes, last: bool) -> bool:
        """More of the request's body. A break is told by the link's reading side."""
        upload = self.upload
        if upload is None or self.link.closed:
            return True
        if upload.length is None:
            data = encode_chunk(data) + (LAST_CHUNK if last else b"")
        try:
            if data:
                self.owed += len(data)
                self.link.write(data)
        except OSError as wrong:
            self.ended(repr(wrong))
            return True
        if not self.link.unsent:
            self.drained()
        return not self.link.unsent

    def takes(self) -> bool:
        return not self.link.unsent

    def pause(self) -> None:
        self.link.pause()

    def resume(self) -> None:
        self.link.resume()

    def release(self) -> bool:
        return self.members.release(self)

    def drop(self) -> None:
        self.members.drop(self)

    def fared(self, well: bool) -> None:
        if self.idle_us:
            self.members.wear.note(self.idle_us, well)

    def drained(self) -> None:
        upload, flow = self.upload, self.flow
        if upload is None:
            self.written = True
            return
        self.written = upload.ended
        if flow is not None:
            flow.passed_on()
        upload.drained(self)

    def received(self, data: bytes) -> None:
        flow = self.flow
        if flow is None:  # nothing was asked: the next answer on it could not be trusted
            self.members.spoilt(self)
            return
        try:
            if self.answers.body_pending:
                piece = self.answers.read_body(data)
                flow.piece(piece, not self.answers.body_pending)
                return
            answer = self.answers.feed(data)
        except ExchangeError as ended:
            self._fail(flow, ended)
            return
        if answer is None:
            flow.answering()
        elif answer.body_incomplete:
            flow.begun(answer)
        else:
            flow.answered(answer)

    def rest(self) -> None:
        """What came with an answer's beginning, once that is passed on."""
        if self.flow is not None and self.answers.body_pending and not self.link.closed:
            try:
                piece = self.answers.read_body(b"")
            except ExchangeError as ended:
                self._fail(self.flow, ended)
                return
            self.flow.piece(piece, not self.answers.body_pending)

    def begin(self) -> None:
        """An answer without a length has waited long enough: what there is of it goes on."""
        if self.flow is not None and (answer := self.answers.partial_response()) is not None:
            self.flow.begun(answer)

    def ended(self, why: str) -> None:
        flow = self.flow
        if flow is None:
            self.members.spoilt(self)
            return
        if not self.written:
            part = self.link.unsent < self.owed
            flow.broken(
                ExchangeError(Ending.CONNECT_FAILED, why or "ended", retryable=True, partially_sent=part)
            )
            return
        if why:
            flow.broken(ExchangeError(Ending.BROKEN, why))
            return
        try:
            answer = self.answers.end_of_stream()
        except ExchangeError as ended:
            self._fail(flow, ended)
            return
        assert answer is not None
        if flow.streams:
            flow.piece(answer.body, True)
        else:
            flow.answered(answer)

    def _fail(self, flow: Flow, ended: ExchangeError) -> None:
        if ended.ending is Ending.MALFORMED:
            flow.nonsense(str(ended))
        else:
            flow.broken(ended)


class Wear:
    """How requests fared on kept connections, by how long these had lain idle, in powers of two. Guards
    against members, or what lies between, that drop an idle connection without a word and sooner than the
    settings say: the next request on it breaks, and may have run."""

    def __init__(self) -> None:
        self._broken, self._all = [0.0] * BUCKETS, [0.0] * BUCKETS

    @staticmethod
    def bucket(idle_us: int) -> int:
        return min(idle_us.bit_length(), BUCKETS - 1)

    def note(self, idle_us: int, well: bool) -> None:
        self._all[self.bucket(idle_us)] += 1.0
        self._broken[self.bucket(idle_us)] += not well

    def worn(self, idle_us: int) -> bool:
        broken, seen = self._broken[self.bucket(idle_us)], self._all[self.bucket(idle_us)]
        return broken >= LEAST_BROKEN and broken > WORN_SHARE * seen

    def fade(self) -> None:
        self._broken = [count * FADE for count in self._broken]
        self._all = [count * FADE for count in self._all]


class Members:
    def __init__(self, clock: Clock, connect_timeout_us: int, keepalive_us: int, most: int) -> None:
        self.clock = clock
        self.retune(connect_timeout_us, keepalive_us)
        self.most = most
        self.wear = Wear()
        self.connections = 0
        self.shared: Shared | None = None  # members speak a protocol of several streams
        self._by_id: dict[MemberId, PoolMember] = {}
        self._idle: OrderedDict[MemberConnection, None] = (
            OrderedDict()
        )  # of all members, the longest idle first

    def retune(self, connect_timeout_us: int, keepalive_us: int) -> None:
        self.connect_timeout_us = connect_timeout_us
        self.idle_us = int(keepalive_us * IDLE_SHARE)

    # ---- the pool tells ----------------------------------------------------------------------

    def get(self, member: MemberId) -> PoolMember | None:
        return self._by_id.get(member)

    def listed(self, member: MemberId, host: str, address: Address) -> None:
        known = self._by_id.get(member)
        if known is None:
            self._by_id[member] = PoolMember(member, host, address)
            return
        known.ready = True
        known.dial = address  # connections to the old address are not taken up again

    def stopped(self, member: MemberId) -> None:
        known = self._by_id.get(member)
        if known is not None and known.ready:
            known.ready, known.stopped_us = False, self.clock.now()

    def forget(self, before_us: int) -> None:
        """Drop those that stopped before that time; flows still out keep theirs."""
        for member in list(self._by_id.values()):
            if not member.ready and member.stopped_us < before_us and not member.idle:
                del self._by_id[member.id]

    def any_ready(self) -> bool:
        return any(member.ready for member in self._by_id.values())

    # ---- connections -------------------------------------------------------------------------

    def obtain(self, member: PoolMember, up: Up) -> Exchange | Callable[[], None]:
        """An exchange at once; or one is set up and told to `up`, and this returns what gives that up.

        :raises ExchangeError: there is none to be had
        """
        if self.shared is not None:
            return self.shared.take(member, up)
        return self.idle(member) or self.dial(member, up)

    def idle(self, member: PoolMember) -> MemberConnection | None:
        """The idle one used last that can be trusted, or none."""
        while member.idle:
            found = member.idle.pop()
            del self._idle[found]
            # Nothing may lie unread on it: a second answer or noise would be taken for the next one's. The
            # caller writes without a pause, so nothing can come in between.
            found.idle_us = self.clock.now() - found.idle_since_us
            if (
                found.address == member.dial
                and found.link.nothing_to_read()
                and not self.wear.worn(found.idle_us)
            ):
                return found
            self.drop(found)
        return None

    def dial(self, member: PoolMember, up: Up) -> Callable[[], None]:
        """Set up a new one for one request at a time; returns what gives it up."""

        def made(sock: socket.socket | None, ended: ExchangeError | None) -> None:
            up(MemberConnection(self, member, sock) if sock is not None else None, ended)

        return self.set_up(member, made)

    def set_up(
        self, member: PoolMember, done: Callable[[socket.socket | None, ExchangeError | None], None]
    ) -> Callable[[], None]:
        """A socket to the member; returns what gives it up. `done` is told once, unless it is given up.

        :raises ExchangeError: NOT_SENT where descriptors are wanting, CONNECT_FAILED where it failed at once
        """
        while self.connections >= self.most and self._idle:
            # descriptors are bounded: the longest idle gives way
            self._drop_idle(next(iter(self._idle)))
        if self.connections >= self.most:
            raise ExchangeError(Ending.NOT_SENT, "all connections are in use")
        address = member.dial

        def up(sock: socket.socket | None, wrong: OSError | None) -> None:
            if sock is None:
                assert wrong is not None
                self.connections -= 1
                done(None, connect_error(address, wrong))
                return
            done(sock, None)

        def give_up() -> None:
            self.connections -= 1
            dialling.cancel()

        timeout_s = self.connect_timeout_us / 1e6
        try:
            dialling = ConnectAttempt(address.host, address.port, timeout_s, asyncio.get_running_loop(), up)
        except OSError as wrong:
            raise connect_error(address, wrong) from None
        self.connections += 1
        return give_up

    def release(self, connection: MemberConnection) -> bool:
        """Back to the idle ones; False if it can't carry another request."""
        member = connection.member
        if not member.ready or connection.address != member.dial:
            return False
        if not connection.answers.reusable or not connection.written:
            return False  # also one that was answered before its body's end
        connection.idle_since_us = self.clock.now()
        member.idle.append(connection)
        self._idle[connection] = None
        return True

    def drop(self, connection: MemberConnection) -> None:
        self.connections -= 1
        connection.link.close()

    def spoilt(self, connection: MemberConnection) -> None:
        """Something came on an idle one, or its member has ended it."""
        if connection in self._idle:
            self._drop_idle(connection)
        else:
            connection.link.close()

    def _drop_idle(self, connection: MemberConnection) -> None:
        del self._idle[connection]
        connection.member.idle.remove(connection)
        self.drop(connection)

    def close_idle(self, member: PoolMember) -> None:
        for connection in list(member.idle):
            self._drop_idle(connection)

    async def run(self) -> None:
        """Close what has been idle for long, what a member has ended, and what leads to one that stopped."""
        while True:
            await asyncio.sleep(SWEEP_S)
            self.wear.fade()
            too_long = self.clock.now() - self.idle_us
            for connection in list(self._idle):
                gone = not connection.member.ready or connection.address != connection.member.dial
                worn = self.wear.worn(self.clock.now() - connection.idle_since_us)
                if gone or worn or connection.idle_since_us < too_long:
                    self._drop_idle(connection)
            for member in [m for m in self._by_id.values() if not m.ready]:
                self.close_idle(member)
