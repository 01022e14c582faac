"""Admit: a request that was taken in goes before the module, as long as there is room for it."""

from millfront.node.host import Arrival, Caller, Host, OpenRequest
from millfront.node.stages.take_in import NotTaken


class Admit:
    def __init__(self, host: Host, most_open: int) -> None:
        self.host = host
        self.most_open = most_open

    def __call__(self, arrival: Arrival, caller: Caller) -> OpenRequest | None:
        """None: too many are open, and the request is rejected unseen."""
        if self.host.is_open(arrival.name):
            # Two of one id could not be told apart by a pool member: the one that came first keeps it
            raise NotTaken(409, "Request-Id: another request with it is open")
        if len(self.host.open) >= self.most_open:
            caller.rejected(0)
            return None
        return self.host.arrive(arrival, caller, not arrival.message.body_incomplete)
