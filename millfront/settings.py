"""The settings JSON, read here for both hosts: what the module decides on, and what only a node needs."""

import json
from dataclasses import dataclass
from typing import Any

from millfront import interface as api

LARGEST_UNITS = 1e4  # where the settings name no largest request


class SettingsError(Exception):
    """Settings that are not what the wire page allows."""


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What stands in the settings beside the decisions: names on the sockets, limits of the platform."""

    classes: dict[str, int]
    plans: dict[str, int]
    zones: dict[str, int]
    kinds: dict[str, int]
    keepalive_us: int
    connect_timeout_us: int
    max_open: int
    most_units: float  # of one request


def settings_from(text: bytes) -> api.Settings:
    """The decisions' settings; unknown keys are ignored, a missing or mistyped one is refused by name."""
    try:
        settings = _settings(json.loads(text))
    except KeyError as missing:
        raise SettingsError(f"settings lack {missing.args[0]}") from None
    except (TypeError, ValueError, AttributeError) as wrong:
        raise SettingsError(f"settings unreadable: {wrong}") from None
    check(settings)
    return settings


def check(settings: api.Settings) -> None:
    """Refuse settings that no decision could be made on.

    :raises SettingsError: with the name of the first such field
    """
    wrong = {
        "peers": settings.peers < 1,
        "me": not 0 <= settings.me < max(1, settings.peers),
        "classes": not settings.classes,
        "plans": not settings.plans,
        "classes.aim_us": any(c.aim_us <= 0 for c in settings.classes),
        "classes.repeat": any(not isinstance(c.repeat, api.Repeat) for c in settings.classes),
        "plans.rate": any(p.rate < 0 or (p.rate > 0 and p.burst <= 0) for p in settings.plans),
        "plans.open_limit": any(p.open_limit < 0 for p in settings.plans),
        "plans.ceiling_rate": any(p.ceiling_rate < 0 for p in settings.plans),
        "rules.cold_from": not 0 < settings.rules.cold_from <= 1,
    }
    for name, bad in wrong.items():
        if bad:
            raise SettingsError(f"{name} is missing or out of range")


def _settings(info: dict[str, Any]) -> api.Settings:
    allowed, rules, family = info["Allowed"], info["Rules"], info["FamilyInfo"]
    return api.Settings(
        me=int(info["Me"]),
        peers=int(info["PeersTotal"]),
        zone=int(info["MyZone"]),
        classes=tuple(_class(entry) for entry in info["Classes"]),
        plans=tuple(_plan(entry) for entry in info["Packages"]),
        allowed=api.Allowed(
            probes=bool(allowed["Probes"]),
            cancel=bool(allowed["Cancel"]),
            second_copies=bool(allowed["SecondCopies"]),
            retry_after=bool(allowed["RetryAfter"]),
            max_attempts=int(allowed["MostTries"]),
            max_retry_after_us=int(allowed["MaxRetryAfterUs"]),
        ),
        rules=api.Rules(
            drain_grace_us=int(rules["DrainGraceUs"]),
            cold_from=float(rules["ColdFrom"]),
            ramp_us=int(rules["RampTimeUs"]),
            fall_multiple=float(rules["FallMultiple"]),
            fall_us=int(rules["FallUs"]),
        ),
        weights_known=info["Weights"] != "none",
        list_on_request=info["Discovery"] == "on_request",
        counter=bool(family["SharedCounter"]),
        counter_timeout_us=int(family["CountWaitUs"]),
        most_units=float(family.get("UnitsTop") or 0.0),
        handshake_price=float(info.get("Charges", {}).get("Handshake") or 0.0),
    )


def _class(entry: dict[str, Any]) -> api.RequestClass:
    return api.RequestClass(
        aim_us=int(entry["AimUs"]),
        deadline_us=int(entry["HardLimitUs"]),
        worth=float(entry["Worth"]),
        late_worth=float(entry["LateValue"]),
        repeat=api.Repeat(entry["Repeat"]),
        group=api.Group(entry["Group"]),
        window_us=int(entry["WindowUs"]),
        stream=bool(entry["Stream"]),
    )


def _plan(entry: dict[str, Any]) -> api.Plan:
    return api.Plan(
        rate=float(entry["Refill"]),
        burst=float(entry["MostAtOnce"]),
        open_limit=int(entry["Concurrency"]),
        worth_factor=float(entry["WorthFactor"]),
        over_worth=float(entry["ExtraWorth"]),
        over_cost=float(entry["OverrunCost"]),
        ceiling_rate=float(entry["CeilingRate"]),
        ceiling_burst=float(entry["CapDepth"]),
        ceiling_slack=float(entry["CeilingSlack"]),
    )


def node_settings_from(info: dict[str, Any]) -> NodeSettings:
    """The same object as a node reads it."""
    try:
        allowed = info["Allowed"]
        return NodeSettings(
            classes=_positions([entry["Name"] for entry in info["Classes"]]),
            plans=_positions([entry["Name"] for entry in info["Packages"]]),
            zones=_positions(info["Zones"]),
            kinds=_positions(info["Kinds"]),
            keepalive_us=int(allowed["KeepaliveUs"]),
            connect_timeout_us=int(allowed["ConnectTimeoutUs"]),
            max_open=int(allowed["MaxOpen"]),
            most_units=float(info["FamilyInfo"].get("UnitsTop") or LARGEST_UNITS),
        )
    except KeyError as missing:
        raise SettingsError(f"settings lack {missing.args[0]}") from None
    except (TypeError, ValueError, AttributeError) as wrong:
        raise SettingsError(f"settings unreadable: {wrong}") from None


def _positions(names: list[str]) -> dict[str, int]:
    return {name: position for position, name in enumerate(names)}
