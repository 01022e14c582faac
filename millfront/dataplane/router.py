"""Which connection a try goes out on: asked for the chosen server, and again just before the request is
written, when the server, its zone or the request may not be allowed any more."""

from typing import TYPE_CHECKING, Any

from millfront.node.endings import Ending, ExchangeError
from millfront.node.members import PoolMember

if TYPE_CHECKING:
    from millfront.dataplane.proxy import Proxy


class Router:
    """Route, for the flows: asked again just before a request is written."""

    def __init__(self, proxy: "Proxy") -> None:
        self.proxy = proxy

    def __call__(self, backend: Any) -> PoolMember:
        """The member for a chosen server.

        :raises ExchangeError: with `Ending.NOT_SENT`; it is unknown, or not ready
        """
        member = self.proxy.members.get(backend)
        if member is None:
            raise ExchangeError(Ending.NOT_SENT, "no such server")
        self.check(member)
        return member

    def check(self, member: PoolMember, flow: Any = None) -> None:
        """Refuse a member that is not ready, or a request that is no longer allowed to it.

        :raises ExchangeError: with `Ending.NOT_SENT`; nothing was written
        """
        if not self.proxy.gatekeeper.server_list.usable(self.proxy.now()):
            raise ExchangeError(Ending.NOT_SENT, "the list of servers is too old")
        if not member.ready:
            raise ExchangeError(Ending.NOT_SENT, f"{member.id} is draining or gone")
        if flow is None:
            return
        if not self.proxy.still_allowed(flow.open_request):
            raise ExchangeError(Ending.NOT_SENT, "not allowed any more")
        if self.proxy.evacuated(flow):
            raise ExchangeError(Ending.NOT_SENT, f"the zone of {member.id} is evacuated")
