"""Model of the platform's list of servers in simulated time: pages are read one after another, each as it is
when its call arrives, under a rate limit on the calls of all gatekeepers together."""

import json
from collections import deque
from collections.abc import Generator
from typing import Any

import simpy

from millfront.discovery.server_list import PlatformList, ReadFailure

REGION = "a"  # where the platform is
TRANSIT_S = {True: 0.001, False: 0.02}  # one way, within the platform's region and from another one
TRANSITS_PER_PAGE = 4  # two to connect, two for the request and its answer
SINGLE_PAGE_S = 0.05  # to read a list of one page
PAGE_WORK_S = 0.02  # of a page, at the platform and to parse it
READ_TIMEOUT_S = 0.9  # MAX_READ_S of the client
SECOND_S = 1.0


class Platform:
    """Answers calls. A read that is refused a page, or is not complete in time, gives no list."""

    def __init__(self, env: simpy.Environment) -> None:
        self.env = env
        self.servers: list[Any] = [["i-1", "shop", "10.0.2.1:80", "aa", 3, 0, 0.0]]
        self.down = False
        self.page_size: int | None = None  # entries; None: one page, equally far from all regions
        self.rate_per_s = 1000.0  # calls answered; further ones are refused
        self.calls = self.refused = 0
        self._answered_at: deque[float] = deque()  # times of the calls answered in the last second

    def read_list(self, region: str) -> Generator[Any, Any, PlatformList | ReadFailure]:
        """Read all pages from a region, as `millfront.discovery.platform_client` does it."""
        if self.page_size is None:
            entries = self._answer(0, len(self.servers))
            yield self.env.timeout(SINGLE_PAGE_S)
            return PlatformList(entries) if entries is not None else self._failure()
        began_at, transit = self.env.now, TRANSIT_S[region == REGION]
        found = PlatformList([], 0)
        for first in range(0, len(self.servers), self.page_size):
            yield self.env.timeout((TRANSITS_PER_PAGE - 1) * transit)
            page = self._answer(first, first + self.page_size)
            yield self.env.timeout(transit + PAGE_WORK_S)
            if page is None or self.env.now - began_at > READ_TIMEOUT_S:
                return ReadFailure.UNREACHABLE if page is not None else self._failure()
            found.entries += page
            found.calls += 1
        return found

    def _failure(self) -> ReadFailure:
        return ReadFailure.UNREACHABLE if self.down else ReadFailure.REFUSED

    def _answer(self, first: int, end: int) -> list[Any] | None:
        """The entries as they are when the call arrives; None: the platform refuses the call."""
        self.calls += 1
        while self._answered_at and self._answered_at[0] <= self.env.now - SECOND_S:
            self._answered_at.popleft()
        if self.down or len(self._answered_at) >= self.rate_per_s:
            self.refused += 1
            return None
        self._answered_at.append(self.env.now)
        entries: list[Any] = json.loads(json.dumps(self.servers[first:end]))
        return entries
