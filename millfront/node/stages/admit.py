"""Admit: a request that was taken in goes before the module, as long as there is room for it."""

from millfront.node.host import Arrival, Caller, Host, OpenRequest
from millfront.node.stages.take_in import RequestRejected


class Admit:
    def __init__(self, host: Host, max_open: int) -> None:
        self.host = host
        self.max_open = max_open

    def __call__(self, arrival: Arrival, caller: Caller) -> OpenRequest | None:
        """None: too many are open, and the request is rejected unseen."""
        if self.host.is_open(arrival.request_id):
            # Two of one id could not be told apart by a pool member: the one that came first keeps it
            raise RequestRejected(409, "Request-Id: another request with it is open")
        if len(self.host.open_requests) >= self.max_open:
            caller.rejected(0)
            return None
        return self.host.add_request(arrival, caller, not arrival.message.body_incomplete)
