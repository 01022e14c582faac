"""Cold backends: how much they may be sent (rule 4)."""

from millfront.decisions.state import Backend, State

COLD_HEADROOM, MAX_COLD_CREDIT = 1.2, 2.0  # times its fair share, to catch up; sends it may save up


class ColdBackends(State):
    def capacity_share(self, now: int, backend: Backend) -> float:
        """The least capacity that the backend may have, as a share of its full capacity."""
        rules = self.settings.rules
        if not backend.started_us:
            return 1.0
        age = max(0, now - backend.started_us) / max(1, rules.ramp_us)
        return min(1.0, rules.cold_from + (1.0 - rules.cold_from) * age)

    def spend_credit(self, now: int, chosen: Backend) -> None:
        """Rule 4, kept by each gateway alone: a send credits each cold backend by its present capacity."""
        ready = [(b, b.weight * self.capacity_share(now, b)) for b in self.backends.values() if not b.stopped]
        total = sum(capacity for _, capacity in ready) or 1.0
        for backend, capacity in ready:
            if capacity < backend.weight:
                backend.credit = min(MAX_COLD_CREDIT, backend.credit + COLD_HEADROOM * capacity / total)
        chosen.credit -= 1.0

    def mark_restarted(self, backend: Backend, started_us: int) -> None:
        backend.started_us, backend.credit = started_us, self.random.random()
        backend.slowness, backend.error_rate, backend.paused_until_us, backend.was_reset = 1.0, 0.0, 0, False
