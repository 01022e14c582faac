"""Route: finds the pool member that the decision module chose, if requests may go to it."""

from millfront.node.endings import Ending, ExchangeError
from millfront.node.members import Members, PoolMember


class Route:
    def __init__(self, members: Members) -> None:
        self.members = members

    def __call__(self, backend: int) -> PoolMember:
        member = self.members.get(backend)
        if member is None:
            raise ExchangeError(Ending.NOT_SENT, f"unknown pool member {backend}")
        self.check(member)
        return member

    def check(self, member: PoolMember, flow: object = None) -> None:
        """Enforces the drain rule. Called again once a connection is up, because the list may have changed.

        :raises ExchangeError: NOT_SENT
        """
        if not member.ready:
            raise ExchangeError(Ending.NOT_SENT, f"{member.host} is draining or gone")
