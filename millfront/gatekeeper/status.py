"""The status report of one process, for operators. No I/O, no clock.

Times are in seconds, rates in requests per second.
"""

from typing import Any

from millfront.control.configuration import Tenant
from millfront.gatekeeper.node import Gatekeeper
from millfront.register.values import CLAIM_PREFIX, is_internal


def report(gatekeeper: Gatekeeper, now: float) -> dict[str, Any]:
    """The process itself, the core, the members with their versions, ownership by role, and open rounds."""
    version = gatekeeper.configuration.version if gatekeeper.configuration is not None else 0
    return {
        "name": gatekeeper.name,
        "zone": gatekeeper.settings.zone,
        "region": gatekeeper.settings.region,
        "up_s": round(now - gatekeeper.started_at, 1),
        "ready": gatekeeper.ready(now),
        "not_ready_for": ([] if gatekeeper.subscriber.core is not None else ["a core"])
        + gatekeeper.missing_to_be_ready(now),
        "version": f"{version:08x}",
        "evacuated": sorted(gatekeeper.evacuated),
        "lease_s": round(max(0.0, gatekeeper.subscriber.lease_until() - now), 2),
        "core": _core(gatekeeper),
        "replica": _replica(gatekeeper),
        "under_way": [
            {
                "ref": round.ref,
                "phase": round.phase.value,
                "keys": sorted(round.values),
                "had_by": sorted(round.answered),
            }
            for round, _ in gatekeeper.open_rounds.values()
        ],
        "news": {
            "number": gatekeeper.update_number,
            "pushed_to": gatekeeper.pushed_to,
            "had_by": len(gatekeeper.acknowledged_by),
        },
        "duties": _duties(gatekeeper),
        "servers": _servers(gatekeeper),
        "roster": _members(gatekeeper, now, version),
    }


def tenants(gatekeeper: Gatekeeper) -> dict[str, dict[str, Any]]:
    """Per tenant: price, admitted rate (level), totals, the counts of requests admitted and refused here by
    reason, and the tokens that this process may grant now."""
    by_name = gatekeeper.configuration.by_name if gatekeeper.configuration is not None else {}
    return {name: _tenant(gatekeeper, tenant) for name, tenant in sorted(by_name.items())}


def _tenant(gatekeeper: Gatekeeper, tenant: Tenant) -> dict[str, Any]:
    quotas = gatekeeper.quotas
    fields = gatekeeper.admission.describe(tenant)
    fields |= {
        "tokens": quotas.granter.available_tokens(quotas.now_s(), tenant.name),
        "grants": quotas.granter.share,
    }
    return {key: round(value, 4) for key, value in fields.items()}


def _core(gatekeeper: Gatekeeper) -> dict[str, Any] | None:
    core = gatekeeper.subscriber.core
    if core is None:
        return None
    fields = {
        "epoch": core.epoch,
        "members": sorted(core.members),
        "change": gatekeeper.reconfiguration.change.value,
    }
    return fields | {"old_members": sorted(core.old_members)} if core.old_members else fields


def _replica(gatekeeper: Gatekeeper) -> dict[str, Any] | None:
    replica = gatekeeper.replica
    if replica is None:
        return None
    held = {key: value.version for key, value in sorted(replica.values.items()) if not is_internal(key)}
    disk, claims = (
        "takes" if gatekeeper.disk_ok else "refuses",
        sum(k.startswith(CLAIM_PREFIX) for k in replica.values),
    )
    return {"state": replica.state.value, "disk": disk, "held": held, "claims": claims}


def _duties(gatekeeper: Gatekeeper) -> dict[str, Any]:
    """The owners of polling and of coordinating the core, as seen from here, with their fencing numbers: the
    last list's number and the core's epoch."""
    poller, core = gatekeeper.discovery.poller(), gatekeeper.subscriber.core
    coordinator, epoch = (
        (gatekeeper.reconfiguration.coordinator_of(core), core.epoch) if core is not None else ("", 0)
    )
    return {
        "list": {"holder": poller, "fence": gatekeeper.server_list.list_number},
        "core": {"holder": coordinator, "fence": epoch},
    }


def _servers(gatekeeper: Gatekeeper) -> dict[str, dict[str, int]]:
    counts: dict[str, dict[str, int]] = {}
    for server in gatekeeper.server_list.servers.values():
        phases = counts.setdefault(server.service, {})
        phase = server.phase.name.lower()
        phases[phase] = phases.get(phase, 0) + 1
    return counts


def _members(gatekeeper: Gatekeeper, now: float, version: int) -> list[dict[str, Any]]:
    own = gatekeeper.membership.own_record
    return [
        {
            "name": record.name,
            "zone": (record.identity or {}).get("zone", ""),
            "region": (record.identity or {}).get("region", ""),
            "disk": (record.identity or {}).get("core", False),
            "liveness": record.liveness.value,
            "ready": gatekeeper.ready(now) if record is own else record.ready,
            "leaving": record.leaving,
            "version": f"{version if record is own else record.config_version:08x}",
            "heard_ago": 0.0 if record is own else round(now - record.written_at, 2),
        }
        for record in sorted(gatekeeper.membership.records.values(), key=lambda record: record.name)
    ]
