"""Whether clients are wanted here: a planned end, the operators' drain. No I/O, no clock.

Each reason to send clients away is set and lifted by itself; what is done about them follows from those in
force and from how long there has been one.
"""

from enum import Flag

ACCEPT_PERIOD_US = (
    420_000  # the front brings new connections for so long, and keeps the ones it has until told
)
IDLE_CLOSE_DELAY_US = 100_000  # later: answers have said `Connection: close` meanwhile


class Reason(Flag):
    NONE = 0
    OPERATORS = 1  # drain-on, until drain-off
    END = 2  # SIGTERM: for good


class Drain:
    """Events are the methods that change it; every question names the time."""

    def __init__(self) -> None:
        self.reasons = Reason.NONE
        self.since_us = 0  # when the first of the reasons in force came up
        self.end_planned_us = 0  # when the end was planned

    def add_reason(self, reason: Reason, now_us: int) -> None:
        if not self.reasons:
            self.since_us = now_us
        if reason & Reason.END and not self.ending:
            self.end_planned_us = now_us
        self.reasons |= reason

    def remove_reason(self, reason: Reason) -> None:
        """:raises ValueError: an end can't be called off"""
        if reason & Reason.END:
            raise ValueError("a planned end is for good")
        self.reasons &= ~reason

    @property
    def ending(self) -> bool:
        return bool(self.reasons & Reason.END)

    @property
    def accepts_clients(self) -> bool:
        """What the front is told: whether it is to bring clients."""
        return not self.reasons

    def closes_after_response(self, now_us: int) -> bool:
        """Answers ask clients to go elsewhere."""
        return bool(self.reasons) and now_us >= self.since_us + ACCEPT_PERIOD_US

    def closes_idle(self, now_us: int) -> bool:
        """Connections without a request are closed."""
        return bool(self.reasons) and now_us >= self.since_us + ACCEPT_PERIOD_US + IDLE_CLOSE_DELAY_US

    def stops_accepting(self, now_us: int) -> bool:
        """Nobody new is brought any more. Counted from the signal, however long a drain was on before."""
        return self.ending and now_us >= self.end_planned_us + ACCEPT_PERIOD_US + IDLE_CLOSE_DELAY_US
