"""Attempts: their load and outcomes, and what becomes of a request as they end."""

from millfront import interface as api
from millfront.decisions.customers import Customers
from millfront.decisions.members import EJECT_FAILURES, MIN_WINDOW
from millfront.decisions.prices import SECOND_US
from millfront.decisions.state import Attempt, Backend, Request

LATENCY_WEIGHT = ERROR_WEIGHT = 0.1  # EWMA weight of one answer: about the last ten
CLASS_WEIGHT = 0.02  # the same for a class: all backends feed it, and each is measured by it
MAX_DEPTH = 32.0  # attempts in flight a backend, by all gateways: deeper queues only add waiting
FAST_SHARE, GROW_PRESSURE = 0.3, 0.5  # of the aim: faster answers grow the window, if it is so full
WINDOW_SHRINK, WINDOW_GROW = 0.97, 1.01  # factor per slow and fast attempt; in balance with 1/4 slow
PAUSE_US = SECOND_US // 2  # of a backend that turned an attempt away (full, or draining but not yet listed)
HEDGE_SHARE, HEDGE_PRESSURE = 0.4, 0.7  # of the aim, before a hedge; of the window: no hedge if fuller
MAX_HEDGE_TOKENS = 5.0  # hedges that may be saved up
NEVER_RAN = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.MOOT)
STANDINGS = (api.Standing.BEYOND, api.Standing.INSIDE)


class Attempts(Customers):
    def send(self, now: int, request: Request, backend: Backend) -> None:
        number = len(request.attempts)
        request.attempts.append(Attempt(backend, max(now, request.arrived_us), uncounted=True))
        if request.arrived_us <= now:  # else its body is still arriving
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
        """The body is complete: the request and its attempt count from now, as earlier times mean nothing."""
        if (request := self.requests.get(event.request)) is not None:
            request.arrived_us, request.give_up_us = now, now + event.patience_us
            for number, attempt in enumerate(request.attempts):
                attempt.sent_us = now
                self.count_load(now, request, number)

    def on_stream(self, now: int, event: api.StreamStarted) -> None:
        """An answer has started to reach the client: no attempt is load any more, others are cancelled."""
        if (request := self.requests.get(event.request)) is not None:
            request.streaming = True
            for number, attempt in enumerate(request.attempts):
                attempt.slow = True  # its duration means nothing from now on
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
        request.customer.open -= request.arrived_us <= now  # open only with a complete body
        attempt.backend.in_flight.pop((request.id, event.attempt), None)
        self.remove_load(now, attempt)
        self.update_estimates(now, attempt.backend, request, event)
        extra = event.true_units - request.units if event.true_units > 0 else 0.0  # given by a good answer
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
                backend.was_reset = False  # it answered, and so was never away
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
        """The price of congestion: attempts slow for their aim shrink the window, fast answers grow it."""
        attempt, aim_us = request.attempts[number], request.kind.aim_us
        slow = now - attempt.sent_us > FAST_SHARE * aim_us
        if not attempt.ended and not attempt.uncounted and now - attempt.sent_us > aim_us:
            self.hedge_tokens = min(self.hedge_tokens + 1.0, MAX_HEDGE_TOKENS)
            self.remove_load(now, attempt)  # may never be answered: not load, and allows one hedge
            if request.customer.plan.open_limit and self.settings.allowed.cancel:
                self.actions.append(api.Cancel(request.id, number))  # it would stay open until its deadline
        if not attempt.ended and attempt.backend.answered_us < attempt.sent_us:
            return  # silence may be loss (a dead or unreachable backend), which less load wouldn't cure
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
        """The request has its final answer: cancels the attempts still in flight."""
        request.finished = True
        if self.settings.allowed.cancel:
            for number, attempt in enumerate(request.attempts):
                if not attempt.ended:
                    self.actions.append(api.Cancel(request.id, number))

    def retry_or_finish(self, now: int, request: Request) -> None:
        """All attempts have ended without an answer: sends another one, or the final answer."""
        if self.time_left(now, request) > 0 and len(request.attempts) < request.max_attempts:
            backend = self.pick(now, request)
            if backend is not None:
                self.send(now, request, backend)
                return
        request.finished = True
        self.actions.append(self.final_answer(request))

    def final_answer(self, request: Request) -> api.Action:
        """Rule 2: a refusal says that a retry is harmless; a failure promises nothing."""
        kind, ran = request.kind, any(a.may_have_run for a in request.attempts)
        keyed_anywhere = kind.repeat is api.Repeat.KEYED and kind.group is api.Group.ALL
        harmless = kind.repeat is api.Repeat.SAFE or keyed_anywhere
        return self.refusal(request) if harmless or not ran else api.Fail(request.id)

    def too_late(self, now: int, request: Request) -> bool:
        """An answer would earn nothing. The attempts go on: their end shows whether a backend is slow."""
        late = now > request.arrived_us + request.kind.aim_us
        return not request.finished and request.kind.late_worth <= 0 and late

    def time_left(self, now: int, request: Request) -> float:
        """Microseconds until an answer earns too little, less the latency of an attempt."""
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
            and not request.customer.plan.open_limit  # a hedge would take the place of its next request
            and len(request.attempts) == 1 < request.max_attempts
            and self.settings.allowed.second_copies
            and now - request.arrived_us >= HEDGE_SHARE * request.kind.aim_us
            and self.hedge_tokens >= 1.0
            and self.pressure() < HEDGE_PRESSURE
            and self.time_left(now, request) > 0
        )
