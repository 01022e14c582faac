"""Route: from the module's choice to a pool member that may be sent to."""

from millfront.node.endings import Ending, ExchangeError
from millfront.node.members import Members, PoolMember


class Route:
    def __init__(self, members: Members) -> None:
        self.members = members

    def __call__(self, backend: int) -> PoolMember:
        member = self.members.get(backend)
        if member is None:
            raise ExchangeError(Ending.NOT_SENT, "no such pool member")
        self.check(member)
        return member

    def check(self, member: PoolMember, flow: object = None) -> None:
        """Guards the drain rule: asked again after a connection was set up, the list may have changed."""
        if not member.ready:
            raise ExchangeError(Ending.NOT_SENT, f"{member.host} is draining or gone")
