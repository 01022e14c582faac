"""Whether this gateway takes clients: graceful shutdown and the operators' drain. No I/O, no clock.

Each reason to send clients away is set and lifted independently. What is done about clients follows from the
reasons in force and from how long there has been one.
"""

from enum import Flag

# The load balancer in front brings new connections for this long, and keeps those it has until told.
ACCEPT_PERIOD_US = 420_000
IDLE_CLOSE_DELAY_US = 100_000  # after ACCEPT_PERIOD_US; responses say `Connection: close` meanwhile


class Reason(Flag):
    NONE = 0
    OPERATORS = 1  # drain-on, until drain-off
    END = 2  # SIGTERM; cannot be cancelled


class Drain:
    """State of a drain. It is told of events and given the current time with each question."""

    def __init__(self) -> None:
        self.reasons = Reason.NONE
        self.since_us = 0  # when the first of the reasons in force was added
        self.end_planned_us = 0  # when END was added

    def add_reason(self, reason: Reason, now_us: int) -> None:
        if not self.reasons:
            self.since_us = now_us
        if reason & Reason.END and not self.ending:
            self.end_planned_us = now_us
        self.reasons |= reason

    def remove_reason(self, reason: Reason) -> None:
        """:raises ValueError: END cannot be removed"""
        if reason & Reason.END:
            raise ValueError("a shutdown is for good and cannot be cancelled")
        self.reasons &= ~reason

    @property
    def ending(self) -> bool:
        return bool(self.reasons & Reason.END)

    @property
    def accepts_clients(self) -> bool:
        """The readiness that the load balancer in front sees: whether to bring clients here."""
        return not self.reasons

    def closes_after_response(self, now_us: int) -> bool:
        """Whether responses ask clients to go elsewhere (`Connection: close`)."""
        return bool(self.reasons) and now_us >= self.since_us + ACCEPT_PERIOD_US

    def closes_idle(self, now_us: int) -> bool:
        """Whether connections without a request are closed."""
        return bool(self.reasons) and now_us >= self.since_us + ACCEPT_PERIOD_US + IDLE_CLOSE_DELAY_US

    def stops_accepting(self, now_us: int) -> bool:
        """Whether no new clients are brought any more. Counted from the signal, even after a long drain."""
        return self.ending and now_us >= self.end_planned_us + ACCEPT_PERIOD_US + IDLE_CLOSE_DELAY_US
