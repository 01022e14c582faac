"""The statement of account: what one process knows and holds, for operators. No I/O, no clock.

Times are seconds; rates requests a second.
"""

import hashlib
import json
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from millfront.post import orders
from millfront.post.neighbours import holders
from millfront.post.registry import CORE, LIFE, OWN, Value

if TYPE_CHECKING:
    from millfront.post.office import Office

FORMAT = 1


class SnapshotFault(Exception):
    """A file that is no snapshot of a register; the text says why."""


def of(office: "Office", now: float) -> dict[str, Any]:
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


def tenants(office: "Office") -> dict[str, dict[str, Any]]:
    """Each tenant's price, level, store and totals, and how often it was refused here for which reason."""
    by_name = office.orders.by_name if office.orders is not None else {}
    return {
        name: {key: round(value, 4) for key, value in office.franking.told(tenant).items()}
        for name, tenant in sorted(by_name.items())
    }


def _core(office: "Office") -> dict[str, Any] | None:
    core = office.follower.core
    if core is None:
        return None
    told = {"epoch": core.epoch, "members": sorted(core.members), "change": office.postings.change.value}
    return told | {"old_members": sorted(core.old)} if core.old else told


def _keeper(office: "Office") -> dict[str, Any] | None:
    keeper = office.keeper
    if keeper is None:
        return None
    held = {key: value.version for key, value in sorted(keeper.values.items())}
    return {"state": keeper.state.value, "disk": "takes" if office.disk_well else "refuses", "held": held}


def _duties(office: "Office") -> dict[str, Any]:
    """Who holds which, as seen from here; the list's fence is the number of the last list."""
    names, core = office.neighbours.live_names(), office.follower.core
    keeper, epoch = (office.postings.holder(core), core.epoch) if core is not None else ("", 0)
    return {
        "list": {"holder": "".join(holders("list", names)), "fence": office.addresses.number},
        "core": {"holder": keeper, "fence": epoch},
    }


def _servers(office: "Office") -> dict[str, dict[str, int]]:
    found: dict[str, dict[str, int]] = {}
    for server in office.addresses.servers.values():
        phases = found.setdefault(server.service, {})
        phase = server.phase.name.lower()
        phases[phase] = phases.get(phase, 0) + 1
    return found


def _roster(office: "Office", now: float, version: int) -> list[dict[str, Any]]:
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


# ---- snapshots of the register -----------------------------------------------------------------------


def snapshot(values: dict[str, Value]) -> str:
    """A document with all that operators have put; who keeps it and lives of disks are the core's own."""
    kept = {key: value.wire() for key, value in sorted(values.items()) if not _cores_own(key)}
    return json.dumps({"format": FORMAT, "hash": _hash(kept), "values": kept}, indent=1)


def restored(text: str) -> Result[dict[str, Value], SnapshotFault]:
    """What a snapshot holds, checked: its hash, and that its configuration can be in force.

    >>> restored(snapshot({"evacuation/z": Value(3, "n", "1")})).unwrap()["evacuation/z"].version
    3
    >>> str(restored(snapshot({}).replace('{}', '{"a": [1, "", ""]}')).unwrap_err())
    'its hash is not that of its values'
    """
    try:
        told = json.loads(text)
        if told["format"] != FORMAT:
            return Err(SnapshotFault(f"format {told['format']!r} is not {FORMAT}"))
        if told["hash"] != _hash(told["values"]):
            return Err(SnapshotFault("its hash is not that of its values"))
        values = {str(key): Value.of(wire) for key, wire in told["values"].items() if not _cores_own(key)}
    except (ValueError, KeyError, TypeError, AttributeError) as wrong:
        return Err(SnapshotFault(f"is no snapshot: {wrong!r}"))
    if "config" in values:
        match orders.checked(values["config"].data):
            case Err(fault):
                return Err(SnapshotFault(f"its configuration: {fault}"))
            case Ok(made):
                if made.version != values["config"].version:
                    return Err(SnapshotFault("its configuration is of another version than its value"))
    return Ok(values)


def _cores_own(key: str) -> bool:
    return key == CORE or key.startswith((LIFE, OWN))


def _hash(values: Any) -> str:
    return hashlib.blake2b(json.dumps(values, sort_keys=True).encode(), digest_size=16).hexdigest()
