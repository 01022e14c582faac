"""Maps a chosen server to a pool member, and checks again just before the request is written: by then the
server, its zone or the request may no longer be allowed."""

from typing import TYPE_CHECKING, Any

from millfront.node.endings import Ending, ExchangeError
from millfront.node.members import PoolMember

if TYPE_CHECKING:
    from millfront.dataplane.proxy import Proxy


class Router:
    """The routing callback of server-side flows (`MemberRouter` in `millfront.node.stages.send`)."""

    def __init__(self, proxy: "Proxy") -> None:
        self.proxy = proxy

    def __call__(self, backend: Any) -> PoolMember:
        """The pool member of a chosen server.

        :raises ExchangeError: with `Ending.NOT_SENT`, if the server is unknown or not ready
        """
        member = self.proxy.members.get(backend)
        if member is None:
            raise ExchangeError(Ending.NOT_SENT, f"unknown server {backend}")
        self.check(member)
        return member

    def check(self, member: PoolMember, flow: Any = None) -> None:
        """Refuse a member that is not ready, or a request that may no longer be sent to it.

        :raises ExchangeError: with `Ending.NOT_SENT`; nothing was written
        """
        if not self.proxy.gatekeeper.server_list.usable(self.proxy.now()):
            raise ExchangeError(Ending.NOT_SENT, "the list of servers is outdated")
        if not member.ready:
            raise ExchangeError(Ending.NOT_SENT, f"server {member.id} is draining or gone")
        if flow is None:
            return
        if not self.proxy.still_allowed(flow.open_request):
            raise ExchangeError(Ending.NOT_SENT, "the configuration in force no longer allows the request")
        if self.proxy.in_evacuated_zone(flow):
            raise ExchangeError(Ending.NOT_SENT, f"the zone of server {member.id} is evacuated")
