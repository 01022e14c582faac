"""Admit: a request that was taken in goes before the module, as long as there is room for it."""

from millfront.node.host import Arrival, Caller, Host, OpenRequest


class Admit:
    def __init__(self, host: Host, most_open: int) -> None:
        self.host = host
        self.most_open = most_open

    def __call__(self, arrival: Arrival, caller: Caller) -> OpenRequest | None:
        """None: too many are open, and the request is rejected unseen."""
        if len(self.host.open) >= self.most_open:
            caller.rejected(0)
            return None
        return self.host.arrive(arrival, caller)
