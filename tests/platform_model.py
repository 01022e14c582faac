"""The platform's list of servers in simulated time: pages that are read one after another, each when its call
arrives, and a bound on the calls of all gatekeepers together."""

import json
from collections import deque
from collections.abc import Generator
from typing import Any

import simpy

from millfront.discovery.server_list import PlatformList, ReadFailure

REGION = "a"  # where the platform is
WAY_S = {True: 0.001, False: 0.02}  # one way, within its region and from another one
WAYS = 4  # of a page: to connect, there and back, and to ask
WHOLE_S = 0.05  # of a list of one page
WORK_S = 0.02  # of a page, at the platform and to read it
GIVEN_UP_S = 0.9  # as the client does
SECOND_S = 1.0


class Platform:
    """Answers calls; who gets a refusal, or no whole list in time, has no list."""

    def __init__(self, env: simpy.Environment) -> None:
        self.env = env
        self.servers: list[Any] = [["i-1", "shop", "10.0.2.1:80", "aa", 3, 0, 0.0]]
        self.down = False
        self.page: int | None = None  # entries of a page; None: one page, as far from anywhere
        self.rate_per_s = 1000.0  # calls that are answered; more are refused
        self.calls = self.refused = 0
        self._answered: deque[float] = deque()  # when, of the last second

    def listed(self, region: str) -> Generator[Any, Any, PlatformList | ReadFailure]:
        """Read all pages from a region, as `millfront.discovery.platform_client` does."""
        if self.page is None:
            whole = self._answer(0, len(self.servers))
            yield self.env.timeout(WHOLE_S)
            return PlatformList(whole) if whole is not None else self._failure()
        began, way = self.env.now, WAY_S[region == REGION]
        found = PlatformList([], 0)
        for first in range(0, len(self.servers), self.page):
            yield self.env.timeout((WAYS - 1) * way)
            page = self._answer(first, first + self.page)
            yield self.env.timeout(way + WORK_S)
            if page is None or self.env.now - began > GIVEN_UP_S:
                return ReadFailure.UNREACHABLE if page is not None else self._failure()
            found.entries += page
            found.calls += 1
        return found

    def _failure(self) -> ReadFailure:
        return ReadFailure.UNREACHABLE if self.down else ReadFailure.REFUSED

    def _answer(self, first: int, end: int) -> list[Any] | None:
        """The entries as they are when the call arrives, or none where the platform refuses it."""
        self.calls += 1
        while self._answered and self._answered[0] <= self.env.now - SECOND_S:
            self._answered.popleft()
        if self.down or len(self._answered) >= self.rate_per_s:
            self.refused += 1
            return None
        self._answered.append(self.env.now)
        entries: list[Any] = json.loads(json.dumps(self.servers[first:end]))
        return entries
