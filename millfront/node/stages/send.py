"""Send: one server-side flow, from a connection to an answer or an ending."""

import anyio
import h11

from millfront import interface as api
from millfront.logs import Log
from millfront.node.endings import Ended, Ending
from millfront.node.host import Clock, OpenRequest
from millfront.node.http import Message, passed_on
from millfront.node.members import Members, PoolMember
from millfront.node.stages.route import Route

log = Log(__name__)

AGAIN = 2  # connections more: guards a member that is well against being blamed for one that broke at once


class ServerSideFlow:
    """One attempt: ends once, however cancel, time-out and answer cross."""

    def __init__(self, opened: OpenRequest, number: int, send: api.Send, now_us: int) -> None:
        self.opened = opened
        self.number = number
        self.send = send
        self.started_us = now_us
        left_us = opened.deadline_us - now_us
        self.ends_us = now_us + (min(send.timeout_us, left_us) if send.timeout_us else left_us)
        self.scope = anyio.CancelScope()
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True
        self.scope.cancel()


class Send:
    def __init__(self, clock: Clock, members: Members, route: Route) -> None:
        self.clock = clock
        self.members = members
        self.route = route

    async def __call__(self, flow: ServerSideFlow) -> tuple[Ending, Message | None]:
        flow.scope.deadline = anyio.current_time() + (flow.ends_us - self.clock.now()) / 1e6
        try:
            with flow.scope:
                member = self.route(flow.send.backend)
                for _ in range(AGAIN):
                    try:
                        return await self._attempt(flow, member)
                    except Ended as ended:
                        if not ended.again:
                            raise
                return await self._attempt(flow, member)
        except Ended as ended:
            if ended.ending is Ending.MALFORMED:
                log.warning("a pool member answered nonsense", member=flow.send.backend, why=ended)
            return ended.ending, None
        except Exception:  # a fault in one flow is that flow's ending, not the program's
            log.exception("a flow failed")
            return Ending.BROKEN, None
        return (Ending.CANCELLED if flow.cancelled else Ending.TIMED_OUT), None

    async def _attempt(self, flow: ServerSideFlow, member: PoolMember) -> tuple[Ending, Message | None]:
        connection = await self.members.connection(member)
        kept = False
        try:
            self.route.check(member)
            await connection.write(*self._request(flow, member))
            try:
                answer = await connection.read_answer()
            except Ended as ended:
                self.members.fared(connection, ended.ending is not Ending.BROKEN)
                raise
            self.members.fared(connection, True)
            kept = self.members.release(connection)
        finally:  # cancelled, timed out or broken: closing tells the member that the attempt is given up
            if not kept:
                await self.members.drop(connection)
        return ending_of(answer), answer

    def _request(self, flow: ServerSideFlow, member: PoolMember) -> list[h11.Event]:
        message = flow.opened.arrival.message
        method, target = message.start
        left_us = max(1, flow.ends_us - self.clock.now())
        fields = passed_on(message, b"request-timeout")
        if message.field(b"host") is None:  # HTTP/1.0 has none, and 1.1 must have one
            fields.insert(0, (b"Host", str(member.dial).encode()))
        fields.append((b"Request-Timeout", b"%du" % left_us))
        if message.body or method == b"POST":
            fields.append((b"Content-Length", b"%d" % len(message.body)))
        events: list[h11.Event] = [h11.Request(method=method, target=target, headers=fields)]
        if message.body:
            events.append(h11.Data(data=message.body))
        return [*events, h11.EndOfMessage()]


def ending_of(answer: Message) -> Ending:
    """Only 503 and 504 with Not-Started certainly never ran."""
    if answer.start == 200:
        return Ending.SERVED
    if answer.start in (503, 504) and answer.field(b"not-started") == b"1":
        return Ending.TURNED_AWAY
    return Ending.ERRORED
