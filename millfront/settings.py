"""Parser of the settings JSON for both hosts: what decisions depend on, and what only a node needs."""

import json
import math
from dataclasses import dataclass
from typing import Any

from millfront import interface as api

DEFAULT_MAX_UNITS = 1e4  # of a request, where the settings give no limit


class SettingsError(Exception):
    """Settings that the wire format does not allow."""


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings that decisions don't depend on: positions by name used on sockets, limits of the platform."""

    classes: dict[str, int]
    plans: dict[str, int]
    zones: dict[str, int]
    kinds: dict[str, int]
    keepalive_us: int
    connect_timeout_us: int
    max_open: int
    max_units: float  # of one request


def settings_from(text: bytes) -> api.Settings:
    """The decisions' settings. Unknown keys are ignored; errors name a missing or mistyped one."""
    try:
        settings = _settings(json.loads(text))
    except KeyError as error:
        raise SettingsError(f"settings lack {error.args[0]}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(f"settings unreadable: {error}") from None
    check(settings)
    return settings


def check(settings: api.Settings) -> None:
    """Refuses settings on which no decision could be made.

    :raises SettingsError: names the first invalid field
    """
    invalid = {
        "peers": settings.peers < 1,
        "me": not 0 <= settings.me < max(1, settings.peers),
        "classes": not settings.classes,
        "plans": not settings.plans,
        "classes.aim_us": any(c.aim_us <= 0 for c in settings.classes),
        "classes.deadline_us": any(c.deadline_us <= 0 for c in settings.classes),
        "allowed.max_attempts": settings.allowed.max_attempts <= 0,
        "classes.repeat": any(not isinstance(c.repeat, api.Repeat) for c in settings.classes),
        "plans.rate": any(p.rate < 0 or (p.rate > 0 and p.burst <= 0) for p in settings.plans),
        "plans.open_limit": any(p.open_limit < 0 for p in settings.plans),
        "plans.ceiling_rate": any(p.ceiling_rate < 0 for p in settings.plans),
        "rules.cold_from": not 0 < settings.rules.cold_from <= 1,
    }
    for name, is_invalid in invalid.items():
        if is_invalid:
            raise SettingsError(f"{name} is missing or out of range")


def _number(entry: dict[str, Any], key: str, default: float | None = None) -> float:
    """:raises SettingsError: it is no finite number; a string of digits is refused too"""
    value = entry[key] if default is None else entry.get(key) or default
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise SettingsError(f"{key}: {value!r} is not a number")
    return float(value)


def _integer(entry: dict[str, Any], key: str) -> int:
    return int(_number(entry, key))


def _flag(entry: dict[str, Any], key: str) -> bool:
    if not isinstance(entry[key], bool | int):
        raise SettingsError(f"{key}: {entry[key]!r} is not true or false")
    return bool(entry[key])


def _settings(document: dict[str, Any]) -> api.Settings:
    allowed, rules, family = document["Allowed"], document["Rules"], document["FamilyInfo"]
    return api.Settings(
        me=_integer(document, "Me"),
        peers=_integer(document, "PeersTotal"),
        zone=_integer(document, "MyZone"),
        classes=tuple(_class(entry) for entry in document["Classes"]),
        plans=tuple(_plan(entry) for entry in document["Packages"]),
        allowed=api.Allowed(
            probes=_flag(allowed, "Probes"),
            cancel=_flag(allowed, "Cancel"),
            second_copies=_flag(allowed, "SecondCopies"),
            retry_after=_flag(allowed, "RetryAfter"),
            max_attempts=_integer(allowed, "MostTries"),
            max_retry_after_us=_integer(allowed, "MaxRetryAfterUs"),
        ),
        rules=api.Rules(
            drain_grace_us=_integer(rules, "DrainGraceUs"),
            cold_from=_number(rules, "ColdFrom"),
            ramp_us=_integer(rules, "RampTimeUs"),
            fall_multiple=_number(rules, "FallMultiple"),
            fall_us=_integer(rules, "FallUs"),
        ),
        weights_known=document["Weights"] != "none",
        counter=_flag(family, "SharedCounter"),
        counter_timeout_us=_integer(family, "CountWaitUs"),
        most_units=_number(family, "UnitsTop", 0.0),
        handshake_price=_number(document.get("Charges") or {}, "Handshake", 0.0),
    )


def _class(entry: dict[str, Any]) -> api.RequestClass:
    return api.RequestClass(
        aim_us=_integer(entry, "AimUs"),
        deadline_us=_integer(entry, "HardLimitUs"),
        worth=_number(entry, "Worth"),
        late_worth=_number(entry, "LateValue"),
        repeat=api.Repeat(entry["Repeat"]),
        group=api.Group(entry["Group"]),
        window_us=_integer(entry, "WindowUs"),
        stream=_flag(entry, "Stream"),
    )


def _plan(entry: dict[str, Any]) -> api.Plan:
    return api.Plan(
        rate=_number(entry, "Refill"),
        burst=_number(entry, "MostAtOnce"),
        open_limit=_integer(entry, "Concurrency"),
        worth_factor=_number(entry, "WorthFactor"),
        over_worth=_number(entry, "ExtraWorth"),
        over_cost=_number(entry, "OverrunCost"),
        ceiling_rate=_number(entry, "CeilingRate"),
        ceiling_burst=_number(entry, "CapDepth"),
        ceiling_slack=_number(entry, "CeilingSlack"),
    )


def node_settings_from(document: dict[str, Any]) -> NodeSettings:
    """The node's part of the same object.

    :raises SettingsError: names the missing or mistyped key
    """
    try:
        allowed = document["Allowed"]
        return NodeSettings(
            classes=_positions([entry["Name"] for entry in document["Classes"]]),
            plans=_positions([entry["Name"] for entry in document["Packages"]]),
            zones=_positions(document["Zones"]),
            kinds=_positions(document["Kinds"]),
            keepalive_us=_integer(allowed, "KeepaliveUs"),
            connect_timeout_us=_integer(allowed, "ConnectTimeoutUs"),
            max_open=_integer(allowed, "MaxOpen"),
            max_units=_number(document["FamilyInfo"], "UnitsTop", DEFAULT_MAX_UNITS),
        )
    except KeyError as error:
        raise SettingsError(f"settings lack {error.args[0]}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(f"settings unreadable: {error}") from None


def _positions(names: list[str]) -> dict[str, int]:
    return {name: position for position, name in enumerate(names)}
