"""The statement of account: what one process knows and holds, for operators. No I/O, no clock.

Times are seconds; rates requests a second.
"""

from typing import Any

from millfront.gatekeeper.node import Office
from millfront.membership.gossip import holders
from millfront.register.values import CLAIM, inner


def of(office: Office, now: float) -> dict[str, Any]:
    """One process: itself, the core, the roster with each one's version, duties, what is under way."""
    version = office.orders.version if office.orders is not None else 0
    return {
        "name": office.name,
        "zone": office.settings.zone,
        "region": office.settings.region,
        "up_s": round(now - office.born, 1),
        "ready": office.ready(now),
        "not_ready_for": ([] if office.follower.core is not None else ["a core"]) + office.lacks(now),
        "version": f"{version:08x}",
        "evacuated": sorted(office.evacuated),
        "lease_s": round(max(0.0, office.follower.lease_until() - now), 2),
        "core": _core(office),
        "keeper": _keeper(office),
        "under_way": [
            {
                "ref": round.ref,
                "phase": round.phase.value,
                "keys": sorted(round.values),
                "had_by": sorted(round.answered),
            }
            for round, _ in office.waiting.values()
        ],
        "news": {"number": office.pushed, "pushed_to": office.to, "had_by": len(office.had)},
        "duties": _duties(office),
        "servers": _servers(office),
        "roster": _roster(office, now, version),
    }


def tenants(office: Office) -> dict[str, dict[str, Any]]:
    """Each tenant's price, level, store and totals, and how often it was refused here for which reason."""
    by_name = office.orders.by_name if office.orders is not None else {}
    return {
        name: {key: round(value, 4) for key, value in office.franking.told(tenant).items()}
        for name, tenant in sorted(by_name.items())
    }


def _core(office: Office) -> dict[str, Any] | None:
    core = office.follower.core
    if core is None:
        return None
    told = {"epoch": core.epoch, "members": sorted(core.members), "change": office.postings.change.value}
    return told | {"old_members": sorted(core.old)} if core.old else told


def _keeper(office: Office) -> dict[str, Any] | None:
    keeper = office.keeper
    if keeper is None:
        return None
    held = {key: value.version for key, value in sorted(keeper.values.items()) if not inner(key)}
    disk, claims = "takes" if office.disk_well else "refuses", sum(k.startswith(CLAIM) for k in keeper.values)
    return {"state": keeper.state.value, "disk": disk, "held": held, "claims": claims}


def _duties(office: Office) -> dict[str, Any]:
    """Who holds which, as seen from here; the list's fence is the number of the last list."""
    names, core = office.neighbours.live_names(), office.follower.core
    keeper, epoch = (office.postings.holder(core), core.epoch) if core is not None else ("", 0)
    return {
        "list": {"holder": "".join(holders("list", names)), "fence": office.addresses.number},
        "core": {"holder": keeper, "fence": epoch},
    }


def _servers(office: Office) -> dict[str, dict[str, int]]:
    found: dict[str, dict[str, int]] = {}
    for server in office.addresses.servers.values():
        phases = found.setdefault(server.service, {})
        phase = server.phase.name.lower()
        phases[phase] = phases.get(phase, 0) + 1
    return found


def _roster(office: Office, now: float, version: int) -> list[dict[str, Any]]:
    me = office.neighbours.me
    return [
        {
            "name": card.name,
            "zone": (card.still or {}).get("zone", ""),
            "region": (card.still or {}).get("region", ""),
            "disk": (card.still or {}).get("core", False),
            "standing": card.standing.value,
            "ready": office.ready(now) if card is me else card.ready,
            "leaving": card.leaving,
            "version": f"{version if card is me else card.version:08x}",
            "heard_ago": 0.0 if card is me else round(now - card.heard, 2),
        }
        for card in sorted(office.neighbours.cards.values(), key=lambda card: card.name)
    ]
