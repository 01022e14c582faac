"""Admit: passes a parsed request to the decision module, unless too many requests are open."""

from millfront.node.host import Arrival, Caller, Host, OpenRequest
from millfront.node.stages.take_in import RequestRejected


class Admit:
    def __init__(self, host: Host, max_open: int) -> None:
        self.host = host
        self.max_open = max_open

    def __call__(self, arrival: Arrival, caller: Caller) -> OpenRequest | None:
        """Returns None if too many requests are open; the request is then rejected without a decision."""
        if self.host.is_open(arrival.request_id):
            # A pool member could not tell two requests with one id apart: the first one keeps it
            raise RequestRejected(409, "Request-Id: another request with it is open")
        if len(self.host.open_requests) >= self.max_open:
            caller.rejected(0)
            return None
        return self.host.add_request(arrival, caller, not arrival.message.body_incomplete)
