"""All the ways in which a connection, or one exchange on it, can end, and the outcome each one has for the
decision module."""

from enum import Enum

from millfront.interface import Outcome


class Ending(Enum):
    SERVED = "answered successfully"
    ERRORED = "answered with an error"
    NOT_STARTED = "answered that the request was never started"
    CONNECT_FAILED = "did not come up, or broke before the last byte of the request was written"
    BROKEN = "broke or ended after the last byte of the request was written"
    MALFORMED = "answered with an invalid message"
    TIMED_OUT = "did not answer in time"
    CANCELLED = "cancelled by the decision module"
    NOT_SENT = "never tried: the request was over, its time was up, or no member was available"
    # Only for a client's connection: the module is told that its request is gone, or nothing.
    CLIENT_LEFT = "closed by the client with a request open"
    CLOSED = "closed between exchanges"


# After a 500, a reset or a time-out the request may have run. FULL, CONNECT_FAILED and MOOT are only for
# requests that certainly did not.
FLOW_OUTCOMES = {
    Ending.SERVED: Outcome.OK,
    Ending.ERRORED: Outcome.ERROR,
    Ending.NOT_STARTED: Outcome.FULL,
    Ending.CONNECT_FAILED: Outcome.CONNECT_FAILED,
    Ending.BROKEN: Outcome.RESET,
    Ending.MALFORMED: Outcome.ERROR,  # the member is up and has answered: its connections work
    Ending.TIMED_OUT: Outcome.TIMEOUT,
    Ending.CANCELLED: Outcome.CANCELLED,
    Ending.NOT_SENT: Outcome.MOOT,
}
# A call whose amount may have been added must map to TIMEOUT or RESET: the module reports all other failed
# amounts again. TIMEOUT says that the counter is slow, RESET that only the connection was lost.
COUNT_OUTCOMES = {
    Ending.SERVED: Outcome.OK,
    Ending.ERRORED: Outcome.ERROR,
    Ending.NOT_STARTED: Outcome.FULL,
    Ending.CONNECT_FAILED: Outcome.CONNECT_FAILED,
    Ending.BROKEN: Outcome.RESET,
    Ending.MALFORMED: Outcome.RESET,
    Ending.TIMED_OUT: Outcome.TIMEOUT,
}


class ExchangeError(Exception):
    """A connection, or an exchange on it, has failed; `ending` says how."""

    def __init__(
        self, ending: Ending, detail: str = "", retryable: bool = False, partially_sent: bool = False
    ) -> None:
        super().__init__(f"{ending.value}: {detail}" if detail else ending.value)
        self.ending = ending
        # Only this connection failed and nothing ran: the request may go out on another one at once.
        self.retryable = retryable
        # The kernel had taken part of the request, so the member may have seen it.
        self.partially_sent = partially_sent
