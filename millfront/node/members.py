"""The pool members (page servers): who they are, and the connections to them."""

from collections import OrderedDict
from dataclasses import dataclass, field

import anyio
import h11

from millfront.node.config import Address
from millfront.node.endings import Ended, Ending
from millfront.node.host import Clock
from millfront.node.http import Wire, dialled
from millfront.node.tcp import Tcp

IDLE_SHARE = 0.5  # of KeepaliveUs: a request written after the member closed would count as a reset
WORN_SHARE = 0.15  # of the requests on connections idle for so long that broke
LEAST_BROKEN = 3.0  # before that share says anything
BUCKETS = 32  # up to half an hour
FADE = 0.99  # of what was seen, each sweep: after a minute or so the same idle time is tried again
SWEEP_S = 0.5


@dataclass(eq=False, slots=True)
class PoolMember:
    id: int
    host: str
    dial: Address
    ready: bool = True  # not told draining or gone
    stopped_us: int = 0
    idle: "list[MemberConnection]" = field(default_factory=list)  # the last used at the end


class MemberConnection(Wire):
    """One connection, one request at a time."""

    def __init__(self, member: PoolMember, tcp: Tcp) -> None:
        super().__init__(tcp, h11.CLIENT)
        self.tcp = tcp
        self.member = member
        self.address = member.dial
        self.idle_since_us = 0
        self.idle_us = 0  # how long it lay idle before it was taken up; 0: it is new


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
        self.connect_timeout_us = connect_timeout_us
        self.idle_us = int(keepalive_us * IDLE_SHARE)
        self.most = most
        self.wear = Wear()
        self.connections = 0
        self._by_id: dict[int, PoolMember] = {}
        self._idle: OrderedDict[MemberConnection, None] = (
            OrderedDict()
        )  # of all members, the longest idle first

    # ---- the pool tells ----------------------------------------------------------------------

    def get(self, member: int) -> PoolMember | None:
        return self._by_id.get(member)

    def listed(self, member: int, host: str, address: Address) -> None:
        known = self._by_id.get(member)
        if known is None:
            self._by_id[member] = PoolMember(member, host, address)
            return
        known.ready = True
        known.dial = address  # connections to the old address are not taken up again

    def stopped(self, member: int) -> None:
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

    async def connection(self, member: PoolMember) -> MemberConnection:
        """The idle one used last, or a new one."""
        while member.idle:
            found = member.idle.pop()
            del self._idle[found]
            # Nothing may lie unread on it: a second answer or noise would be taken for the next one's. The
            # caller writes without a pause, so nothing can come in between.
            found.idle_us = self.clock.now() - found.idle_since_us
            if found.address == member.dial and found.tcp.quiet() and not self.wear.worn(found.idle_us):
                return found
            await self.drop(found)
        while (
            self.connections >= self.most and self._idle
        ):  # descriptors are bounded: the longest idle gives way
            await self._drop_idle(next(iter(self._idle)))
        if self.connections >= self.most:
            raise Ended(Ending.NOT_SENT, "all connections are in use")
        self.connections += 1
        try:
            return MemberConnection(member, await dialled(member.dial, self.connect_timeout_us, Tcp.connect))
        except BaseException:
            self.connections -= 1
            raise

    def release(self, connection: MemberConnection) -> bool:
        """Back to the idle ones; False if it can't carry another request."""
        member = connection.member
        if not member.ready or connection.address != member.dial or not connection.reusable():
            return False
        connection.idle_since_us = self.clock.now()
        member.idle.append(connection)
        self._idle[connection] = None
        return True

    async def drop(self, connection: MemberConnection) -> None:
        self.connections -= 1
        await connection.close()

    async def _drop_idle(self, connection: MemberConnection) -> None:
        del self._idle[connection]
        connection.member.idle.remove(connection)
        await self.drop(connection)

    def fared(self, connection: MemberConnection, well: bool) -> None:
        """How a kept connection did with the request that was written on it."""
        if connection.idle_us:
            self.wear.note(connection.idle_us, well)

    async def close_idle(self, member: PoolMember) -> None:
        for connection in list(member.idle):
            if connection in self._idle:
                await self._drop_idle(connection)

    async def run(self) -> None:
        """Close what has been idle for long, what a member has ended, and what leads to one that stopped."""
        while True:
            await anyio.sleep(SWEEP_S)
            self.wear.fade()
            too_long = self.clock.now() - self.idle_us
            for connection in list(self._idle):
                gone = not connection.member.ready or connection.address != connection.member.dial
                worn = self.wear.worn(self.clock.now() - connection.idle_since_us)
                gone = gone or worn or not connection.tcp.quiet()
                if connection in self._idle and (gone or connection.idle_since_us < too_long):
                    await self._drop_idle(connection)
            for member in [m for m in self._by_id.values() if not m.ready]:
                await self.close_idle(member)
