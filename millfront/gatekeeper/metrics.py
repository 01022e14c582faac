"""The metrics of one process in the Prometheus text format. No I/O, no clock.

Gauges show the present state, counters (``_total``) count events since the process started. Label values
are from small fixed sets, never names of clients, tenants or servers.
"""

from collections import Counter
from collections.abc import Iterator

from millfront.gatekeeper.node import Gatekeeper
from millfront.invariants import Invariant
from millfront.membership.record import Liveness

PREFIX = "millfront_"


def render(gatekeeper: Gatekeeper, now: float) -> str:
    """The answer to a scrape; ``now`` in seconds on the process's monotonic clock."""
    return "".join(f"{PREFIX}{name} {value:g}\n" for name, value in _samples(gatekeeper, now))


def _samples(gatekeeper: Gatekeeper, now: float) -> Iterator[tuple[str, float]]:
    yield from _state(gatekeeper, now)
    yield from _membership(gatekeeper)
    yield from _directory(gatekeeper)
    yield from _discovery(gatekeeper, now)
    yield from _operations(gatekeeper)
    yield from _quotas(gatekeeper)
    yield from _invariants(gatekeeper)


def _state(gatekeeper: Gatekeeper, now: float) -> Iterator[tuple[str, float]]:
    configuration = gatekeeper.configuration
    yield "up_seconds", round(now - gatekeeper.started_at, 3)
    yield "ready", float(gatekeeper.ready(now))
    yield "configuration_version", float(configuration.version if configuration is not None else 0)
    yield "lease_seconds", round(max(0.0, gatekeeper.subscriber.lease_until() - now), 3)
    yield "evacuated_zones", float(len(gatekeeper.evacuated))
    yield "connection_faults_total", float(gatekeeper.connection_faults)


def _membership(gatekeeper: Gatekeeper) -> Iterator[tuple[str, float]]:
    membership = gatekeeper.membership
    by_liveness = Counter(record.liveness for record in membership.others())
    for liveness in Liveness:
        yield f'members{{liveness="{liveness.value}"}}', float(by_liveness[liveness])
    yield "members_forgotten_total", float(membership.forgotten_total)
    yield "members_relearned_total", float(membership.relearned_total)


def _directory(gatekeeper: Gatekeeper) -> Iterator[tuple[str, float]]:
    yield "directory_answers_total", float(gatekeeper.directory.answers)
    yield "directory_oldest_record_seconds", round(gatekeeper.directory.max_record_age_s, 3)


def _discovery(gatekeeper: Gatekeeper, now: float) -> Iterator[tuple[str, float]]:
    server_list = gatekeeper.server_list
    if server_list.has_list():
        yield "server_list_age_seconds", round(server_list.age(now), 3)
    yield "server_list_oldest_seconds", round(gatekeeper.discovery.max_list_age_s, 3)
    yield "platform_reads_total", float(server_list.reads)
    yield "platform_reads_failed_total", float(server_list.reads_failed)
    yield "platform_read_seconds", server_list.cost.seconds


def _operations(gatekeeper: Gatekeeper) -> Iterator[tuple[str, float]]:
    operations = gatekeeper.operations
    for outcome, count in operations.claims.outcomes.items():
        yield f'operations_total{{outcome="{outcome.name.lower()}"}}', float(count)
    if (store := operations.store) is not None:
        yield "operations_held", float(len(store.operations))
        yield "operations_complete", float(store.complete)
        yield "operations_answer_bytes", float(store.answers_bytes)


def _quotas(gatekeeper: Gatekeeper) -> Iterator[tuple[str, float]]:
    granter, requester = gatekeeper.quotas.granter, gatekeeper.quotas.requester
    yield "quota_share", round(granter.share, 4)
    yield "quota_tokens_granted_total", granter.granted_total
    yield "quota_tokens_declined_total", granter.declined_total
    yield "quota_questions_total", float(requester.token_requests_total)
    yield "quota_questions_silent_total", float(requester.unanswered_total)
    for outcome, count in requester.outcomes.items():
        yield f'quota_requests_total{{outcome="{outcome.name.lower()}"}}', float(count)


def _invariants(gatekeeper: Gatekeeper) -> Iterator[tuple[str, float]]:
    for invariant in Invariant:
        count = gatekeeper.invariants.violations[invariant]
        yield f'invariant_violations_total{{invariant="{invariant.value}"}}', float(count)
