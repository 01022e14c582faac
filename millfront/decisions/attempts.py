"""Attempts, their judgement, and what becomes of a request as they end."""

from millfront import interface as api
from millfront.decisions.customers import Customers
from millfront.decisions.members import EJECT_FAILURES, MIN_WINDOW
from millfront.decisions.prices import SECOND_US
from millfront.decisions.state import Attempt, Backend, Request

LATENCY_WEIGHT = ERROR_WEIGHT = 0.1  # EWMA weight of one answer: about the last ten
CLASS_WEIGHT = 0.02  # the same for a class: fed by all backends, and the yardstick of each
MAX_DEPTH = 32.0  # the same at most: deeper queues only add waiting
FAST_SHARE, GROW_PRESSURE = 0.3, 0.5  # of the aim: faster votes for more, if so much of the window is in use
WINDOW_SHRINK, WINDOW_GROW = 0.97, 1.01  # factors for a vote; in balance with a quarter of votes slow
PAUSE_US = SECOND_US // 2  # a backend that turned an attempt away (full, or draining before the list says so)
HEDGE_SHARE, HEDGE_PRESSURE = 0.4, 0.7  # of the aim before a second copy; of the window: none if fuller
MAX_HEDGE_TOKENS = 5.0  # copies saved up
NEVER_RAN = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.MOOT)
STANDINGS = (api.Standing.BEYOND, api.Standing.INSIDE)


class Attempts(Customers):
    def send(self, now: int, request: Request, backend: Backend) -> None:
        number = len(request.attempts)
        request.attempts.append(Attempt(backend, max(now, request.arrived_us), uncounted=True))
        if request.arrived_us <= now:  # else its body is still coming
            self.count_load(now, request, number)
        backend.connections = max(backend.connections, len(backend.in_flight))
        self.spend_credit(now, backend)
        standing = api.Standing.RESERVED if request.reserved else STANDINGS[request.in_quota]
        self.actions.append(api.Send(request.id, backend.id, max(1, request.give_up_us - now), standing))

    def count_load(self, now: int, request: Request, number: int) -> None:
        attempt = request.attempts[number]
        request.customer.open += 1
        attempt.uncounted = False
        attempt.backend.in_flight[(request.id, number)] = (now, request.cls)
        attempt.backend.load += 1
        self.add_load(now, 1)

    def on_whole(self, now: int, event: api.RequestWhole) -> None:
        """Until now neither the request nor its attempt had a time that says anything."""
        if (request := self.requests.get(event.request)) is not None:
            request.arrived_us, request.give_up_us = now, now + event.patience_us
            for number, attempt in enumerate(request.attempts):
                attempt.sent_us = now
                self.count_load(now, request, number)

    def on_stream(self, now: int, event: api.StreamStarted) -> None:
        """An answer has begun to reach the client: it is no load any more, and others are withdrawn."""
        if (request := self.requests.get(event.request)) is not None:
            request.streaming = True
            for number, attempt in enumerate(request.attempts):
                attempt.slow = True  # its time says no more
                self.remove_load(now, attempt)
                attempt.backend.in_flight.pop((request.id, number), None)
                if number != event.attempt and not attempt.ended and self.settings.allowed.cancel:
                    self.actions.append(api.Cancel(request.id, number))

    def on_attempt_ended(self, now: int, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        attempt.ended = True
        attempt.may_have_run = event.outcome not in NEVER_RAN
        request.customer.open -= request.arrived_us <= now  # it counts as out once it is whole
        attempt.backend.in_flight.pop((request.id, event.attempt), None)
        self.remove_load(now, attempt)
        self.update_estimates(now, attempt.backend, request, event)
        extra = event.true_units - request.units if event.true_units > 0 else 0.0  # told by a good answer
        if request.reserved:
            request.customer.leased -= extra
        elif request.in_quota:
            request.customer.bucket -= extra
            request.customer.sent += extra
        if event.closed and not request.finished:
            self.finish(request)
        elif not request.finished and all(a.ended for a in request.attempts):
            self.retry_or_finish(now, request)
        if request.finished and all(a.ended for a in request.attempts):
            del self.requests[request.id]

    def update_estimates(self, now: int, backend: Backend, request: Request, event: api.AttemptEnded) -> None:
        attempt = request.attempts[event.attempt]
        if event.outcome is api.Outcome.OK:
            backend.ejections = 0
            backend.slowness += LATENCY_WEIGHT * (
                event.latency_us / self.latency_us[request.cls] - backend.slowness
            )
            self.latency_us[request.cls] += CLASS_WEIGHT * (event.latency_us - self.latency_us[request.cls])
            self.adjust_window(now, request, event.attempt)
            self.mean_units += CLASS_WEIGHT * (request.units - self.mean_units)
            self.mean_latency_s += CLASS_WEIGHT * (event.latency_us / SECOND_US - self.mean_latency_s)
        if event.outcome in (api.Outcome.OK, api.Outcome.ERROR):
            backend.error_rate += ERROR_WEIGHT * ((event.outcome is api.Outcome.ERROR) - backend.error_rate)
        if event.outcome in (api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL):
            backend.answered_us = now
            if not backend.ejected_until_us:
                backend.was_reset = False  # it answered without having been away
            self.readmit(now, backend)
        else:
            backend.connections = max(0, backend.connections - 1)
        if event.outcome is api.Outcome.FULL:
            backend.paused_until_us = now + PAUSE_US
            self.window = max(MIN_WINDOW, self.window * WINDOW_SHRINK)
        backend.was_reset = backend.was_reset or event.outcome is api.Outcome.RESET
        if event.outcome is api.Outcome.RESET or (event.outcome is api.Outcome.TIMEOUT and attempt.slow):
            self.record_failures(now, backend, 1)  # one alone may be the connection's fault
        if event.outcome is api.Outcome.CONNECT_FAILED:
            if backend.connections and now - backend.answered_us < request.kind.aim_us:
                backend.paused_until_us = now + PAUSE_US  # short of connections: another one answers
            else:
                self.record_failures(now, backend, EJECT_FAILURES)

    def adjust_window(self, now: int, request: Request, number: int) -> None:
        """The price of congestion: attempts slow beside their aim shrink the window, fast answers grow it."""
        attempt, aim_us = request.attempts[number], request.kind.aim_us
        slow = now - attempt.sent_us > FAST_SHARE * aim_us
        if not attempt.ended and not attempt.uncounted and now - attempt.sent_us > aim_us:
            self.hedge_tokens = min(self.hedge_tokens + 1.0, MAX_HEDGE_TOKENS)
            self.remove_load(now, attempt)  # may never be answered: not load, and it pays for a copy
            if request.customer.plan.open_limit and self.settings.allowed.cancel:
                self.actions.append(api.Cancel(request.id, number))  # it would hold a place to its deadline
        if not attempt.ended and attempt.backend.answered_us < attempt.sent_us:
            return  # silence may be loss (a dead or cut off backend), which less load would not cure
        if slow and not attempt.slow:
            attempt.slow = True
            self.window = max(MIN_WINDOW, self.window * WINDOW_SHRINK)
        elif attempt.ended and not slow and self.pressure() >= GROW_PRESSURE:
            depth = MAX_DEPTH * len(self.backends) / self.settings.peers
            self.window = min(self.window * WINDOW_GROW, max(depth, MIN_WINDOW))

    def remove_load(self, now: int, attempt: Attempt) -> None:
        if attempt.uncounted:
            return
        attempt.uncounted = True
        attempt.backend.load -= 1
        if not attempt.backend.ejected_until_us:
            self.add_load(now, -1)

    def finish(self, request: Request) -> None:
        """The request has its final answer: withdraw the copies still out."""
        request.finished = True
        if self.settings.allowed.cancel:
            for number, attempt in enumerate(request.attempts):
                if not attempt.ended:
                    self.actions.append(api.Cancel(request.id, number))

    def retry_or_finish(self, now: int, request: Request) -> None:
        """Nothing is out any more and no answer came: another attempt, or the final answer."""
        if self.time_left(now, request) > 0 and len(request.attempts) < request.max_attempts:
            backend = self.pick(now, request)
            if backend is not None:
                self.send(now, request, backend)
                return
        request.finished = True
        self.actions.append(self.final_answer(request))

    def final_answer(self, request: Request) -> api.Action:
        """Rule 2: a refusal says that another try is harmless, a failure promises nothing."""
        kind, ran = request.kind, any(a.may_have_run for a in request.attempts)
        keyed_anywhere = kind.repeat is api.Repeat.KEYED and kind.group is api.Group.ALL
        harmless = kind.repeat is api.Repeat.SAFE or keyed_anywhere
        return self.refusal(request) if harmless or not ran else api.Fail(request.id)

    def too_late(self, now: int, request: Request) -> bool:
        """An answer would earn nothing. The attempts stay out: their end tells whether a backend is slow."""
        late = now > request.arrived_us + request.kind.aim_us
        return not request.finished and request.kind.late_worth <= 0 and late

    def time_left(self, now: int, request: Request) -> float:
        """Until an answer earns too little, less the time that an attempt takes."""
        aim_end_us = request.arrived_us + request.kind.aim_us
        end_us = request.give_up_us if request.kind.late_worth > 0 else min(request.give_up_us, aim_end_us)
        return end_us - now - self.latency_us[request.cls]

    def on_gone(self, event: api.RequestGone) -> None:
        if (request := self.requests.get(event.request)) is not None and not request.finished:
            self.finish(request)
            if all(a.ended for a in request.attempts):
                del self.requests[request.id]

    def wants_hedge(self, now: int, request: Request) -> bool:
        return (
            not request.finished
            and request.kind.repeat is not api.Repeat.UNSAFE
            and not request.customer.plan.open_limit  # a copy would take a place of the customer's next try
            and len(request.attempts) == 1 < request.max_attempts
            and self.settings.allowed.second_copies
            and now - request.arrived_us >= HEDGE_SHARE * request.kind.aim_us
            and self.hedge_tokens >= 1.0
            and self.pressure() < HEDGE_PRESSURE
            and self.time_left(now, request) > 0
        )
