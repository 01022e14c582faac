"""Every way in which a connection, or one exchange on it, can end; and what each means to the module."""

from enum import Enum

from millfront.interface import Outcome


class Ending(Enum):
    SERVED = "answered well"
    ERRORED = "answered with an error"
    NOT_STARTED = "answered that it was never started"
    CONNECT_FAILED = "did not come up, or broke before the last byte was written"
    BROKEN = "broke or ended after the last byte was written"
    MALFORMED = "answered with something that is no answer"
    TIMED_OUT = "did not answer in time"
    CANCELLED = "given up by the module"
    NOT_SENT = "never tried: the request was over, its time was up, or nobody was there to send it to"
    # Of a client's connection alone: the module is told of a request that is gone, or of nothing.
    CLIENT_LEFT = "left by the client with a request open"
    CLOSED = "closed between exchanges"


# 500, a reset and a time-out may have run: FULL, CONNECT_FAILED and MOOT are for what certainly never did.
FLOW_OUTCOMES = {
    Ending.SERVED: Outcome.OK,
    Ending.ERRORED: Outcome.ERROR,
    Ending.NOT_STARTED: Outcome.FULL,
    Ending.CONNECT_FAILED: Outcome.CONNECT_FAILED,
    Ending.BROKEN: Outcome.RESET,
    Ending.MALFORMED: Outcome.ERROR,  # the member is there and has answered: its connections are well
    Ending.TIMED_OUT: Outcome.TIMEOUT,
    Ending.CANCELLED: Outcome.CANCELLED,
    Ending.NOT_SENT: Outcome.MOOT,
}
# A call that may have been added must read TIMEOUT or RESET: the module tells all other failed amounts again.
# The first says that the counter is slow, the second that only the connection was lost.
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
    """A connection has ended, and how."""

    def __init__(
        self, ending: Ending, detail: str = "", retryable: bool = False, partially_sent: bool = False
    ) -> None:
        super().__init__(f"{ending.value}: {detail}" if detail else ending.value)
        self.ending = ending
        self.retryable = retryable  # only this connection broke, and nothing ran: another may do at once
        self.partially_sent = (
            partially_sent  # the kernel had taken some of the request, so the member may have seen it
        )
