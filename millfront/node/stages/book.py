"""Reports each finished attempt (flow) to the decision module, as one event."""

from collections import Counter

from millfront.node.endings import FLOW_OUTCOMES, Ending
from millfront.node.host import Host
from millfront.node.http import Message
from millfront.node.stages.send import ServerSideFlow


class OutcomeRecorder:
    def __init__(self, host: Host, max_units: float) -> None:
        self.host = host
        self.max_units = max_units
        self.endings: Counter[Ending] = Counter()

    def __call__(self, flow: ServerSideFlow, ending: Ending, response: Message | None) -> None:
        self.endings[ending] += 1
        # The latency of a streamed response is the time to its first bytes
        latency_us = (flow.first_byte_us if flow.streaming else self.host.clock.now()) - flow.started_us
        units = (
            billed_units(response, self.max_units)
            if response is not None and ending is Ending.SERVED
            else 0.0
        )
        outcome = FLOW_OUTCOMES[ending]
        self.host.flow_ended(
            flow.open_request,
            flow.number,
            flow.target,  # type: ignore[arg-type]
            outcome,
            latency_us,
            response,
            units,
        )


def billed_units(response: Message, max_units: float) -> float:
    """The true units, if the response states them. An invalid number counts as none, because a single one
    could empty the customer's bucket for good."""
    try:
        units = float(response.field(b"billed-units") or 0.0)
    except ValueError:
        return 0.0
    return units if 0 < units <= max_units else 0.0
