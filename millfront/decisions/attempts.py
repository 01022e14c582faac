"""Attempts, their judgement, and what becomes of a request as they end."""

from millfront import interface as api
from millfront.decisions.customers import Customers
from millfront.decisions.members import EJECT_FAILS, LEAST_WINDOW
from millfront.decisions.prices import SECOND
from millfront.decisions.state import Attempt, Backend, Request

LATENCY_WEIGHT = ERROR_WEIGHT = 0.1  # EWMA weight of one answer: about the last ten
CLASS_WEIGHT = 0.02  # the same for a class: fed by all backends, and the yardstick of each
MOST_DEPTH = 32.0  # the same at most: deeper queues only add waiting
GOOD_SHARE, USED_SHARE = 0.3, 0.5  # of the aim: faster votes for more, if so much of the window is in use
SHRINK, GROW = 0.97, 1.01  # window multiplier for a vote: at rest with a quarter of the votes slow
REST_US = SECOND // 2  # a backend that turned an attempt away (full, or draining before the list says so)
HEDGE_SHARE, HEDGE_PRESSURE = 0.4, 0.7  # of the aim before a second copy; of the window: none if fuller
MOST_HEDGES = 5.0  # copies saved up
NEVER_RAN = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.MOOT)
STANDINGS = (api.Standing.BEYOND, api.Standing.INSIDE)


class Attempts(Customers):
    def send(self, now: int, request: Request, backend: Backend) -> None:
        number = len(request.attempts)
        request.attempts.append(Attempt(backend, max(now, request.arrived_us), lost=True))
        if request.arrived_us <= now:  # else its body is still coming
            self.count_load(now, request, number)
        backend.links = max(backend.links, len(backend.in_flight))
        self.spend_credit(now, backend)
        standing = api.Standing.RESERVED if request.reserved else STANDINGS[request.inside]
        self.actions.append(api.Send(request.id, backend.id, max(1, request.give_up_us - now), standing))

    def count_load(self, now: int, request: Request, number: int) -> None:
        attempt = request.attempts[number]
        request.customer.out += 1
        attempt.lost = False
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
            request.stream = True
            for number, attempt in enumerate(request.attempts):
                attempt.slow = True  # its time says no more
                self.unload(now, attempt)
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
        request.customer.out -= request.arrived_us <= now  # it counts as out once it is whole
        attempt.backend.in_flight.pop((request.id, event.attempt), None)
        self.unload(now, attempt)
        self.learn(now, attempt.backend, request, event)
        more = event.true_units - request.units if event.true_units > 0 else 0.0  # told by a good answer
        if request.reserved:
            request.customer.leased -= more
        elif request.inside:
            request.customer.bucket -= more
            request.customer.sent += more
        if event.closed and not request.over:
            self.close(request)
        elif not request.over and all(a.ended for a in request.attempts):
            self.go_on(now, request)
        if request.over and all(a.ended for a in request.attempts):
            del self.requests[request.id]

    def learn(self, now: int, backend: Backend, request: Request, event: api.AttemptEnded) -> None:
        attempt = request.attempts[event.attempt]
        if event.outcome is api.Outcome.OK:
            backend.ejections = 0
            backend.slow += LATENCY_WEIGHT * (event.latency_us / self.class_work[request.cls] - backend.slow)
            self.class_work[request.cls] += CLASS_WEIGHT * (event.latency_us - self.class_work[request.cls])
            self.judge(now, request, event.attempt)
            self.mean_units += CLASS_WEIGHT * (request.units - self.mean_units)
            self.mean_out_s += CLASS_WEIGHT * (event.latency_us / SECOND - self.mean_out_s)
        if event.outcome in (api.Outcome.OK, api.Outcome.ERROR):
            backend.errors += ERROR_WEIGHT * ((event.outcome is api.Outcome.ERROR) - backend.errors)
        if event.outcome in (api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL):
            backend.answered_us = now
            if not backend.ejected_until:
                backend.reset = False  # it answered without having been away
            self.readmit(now, backend)
        else:
            backend.links = max(0, backend.links - 1)
        if event.outcome is api.Outcome.FULL:
            backend.rests_until = now + REST_US
            self.window = max(LEAST_WINDOW, self.window * SHRINK)
        backend.reset = backend.reset or event.outcome is api.Outcome.RESET
        if event.outcome is api.Outcome.RESET or (event.outcome is api.Outcome.TIMEOUT and attempt.slow):
            self.blame(now, backend, 1)  # one alone may be the connection's fault
        if event.outcome is api.Outcome.CONNECT_FAILED:
            if backend.links and now - backend.answered_us < request.kind.aim_us:
                backend.rests_until = now + REST_US  # short of connections: another one is up and answers
            else:
                self.blame(now, backend, EJECT_FAILS)

    def judge(self, now: int, request: Request, number: int) -> None:
        """The price of congestion: attempts slow beside their aim shrink the window, fast answers grow it.
        One out past its aim is lost, not load, and pays for a copy of another: some are never answered."""
        attempt, aim_us = request.attempts[number], request.kind.aim_us
        slow = now - attempt.sent_us > GOOD_SHARE * aim_us
        if not attempt.ended and not attempt.lost and now - attempt.sent_us > aim_us:
            self.hedges = min(self.hedges + 1.0, MOST_HEDGES)
            self.unload(now, attempt)
            if request.customer.plan.open_limit and self.settings.allowed.cancel:
                self.actions.append(api.Cancel(request.id, number))  # it would hold a place to its deadline
        if not attempt.ended and attempt.backend.answered_us < attempt.sent_us:
            return  # silence may be loss (a dead or cut off backend), which less load would not cure
        if slow and not attempt.slow:
            attempt.slow = True
            self.window = max(LEAST_WINDOW, self.window * SHRINK)
        elif attempt.ended and not slow and self.pressure() >= USED_SHARE:
            depth = MOST_DEPTH * len(self.backends) / self.settings.peers
            self.window = min(self.window * GROW, max(depth, LEAST_WINDOW))

    def unload(self, now: int, attempt: Attempt) -> None:
        if attempt.lost:
            return
        attempt.lost = True
        attempt.backend.load -= 1
        if not attempt.backend.ejected_until:
            self.add_load(now, -1)

    def close(self, request: Request) -> None:
        """The request has its final answer: withdraw the copies still out."""
        request.over = True
        if self.settings.allowed.cancel:
            for number, attempt in enumerate(request.attempts):
                if not attempt.ended:
                    self.actions.append(api.Cancel(request.id, number))

    def go_on(self, now: int, request: Request) -> None:
        """Nothing is out any more and no answer came: another attempt, or the final answer."""
        if self.time_left(now, request) > 0 and len(request.attempts) < request.tries:
            backend = self.pick(now, request)
            if backend is not None:
                self.send(now, request, backend)
                return
        request.over = True
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
        return not request.over and request.kind.late_worth <= 0 and late

    def time_left(self, now: int, request: Request) -> float:
        """Until an answer earns too little, less the time that an attempt takes."""
        aim_end_us = request.arrived_us + request.kind.aim_us
        end_us = request.give_up_us if request.kind.late_worth > 0 else min(request.give_up_us, aim_end_us)
        return end_us - now - self.class_work[request.cls]

    def on_gone(self, event: api.RequestGone) -> None:
        if (request := self.requests.get(event.request)) is not None and not request.over:
            self.close(request)
            if all(a.ended for a in request.attempts):
                del self.requests[request.id]

    def wants_hedge(self, now: int, request: Request) -> bool:
        return (
            not request.over
            and request.kind.repeat is not api.Repeat.UNSAFE
            and not request.customer.plan.open_limit  # a copy would take a place of the customer's next try
            and len(request.attempts) == 1 < request.tries
            and self.settings.allowed.second_copies
            and now - request.arrived_us >= HEDGE_SHARE * request.kind.aim_us
            and self.hedges >= 1.0
            and self.pressure() < HEDGE_PRESSURE
            and self.time_left(now, request) > 0
        )
