"""Scenarios of rehearsals: the processes to start and the timeline of faults, validated on loading.

A scenario is a TOML or JSON file. Times are seconds from the moment all gatekeepers serve; gatekeepers and
page servers are identified by their index, from 0. Every error in a file is reported with its path
(`$.faults[2].signal`), as for the operators' file (millfront.operators.faults).
"""

import json
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from millfront.operators.faults import Fault as DocumentFault
from millfront.operators.faults import InvalidDocument, find_faults

Seconds = Annotated[float, msgspec.Meta(ge=0, le=3_600)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000)]
Places = list[Annotated[int, msgspec.Meta(ge=0)]]

Signal = Literal["HUP", "TERM", "INT", "KILL", "STOP", "CONT"]
Behaviour = Literal["fast", "slow", "failing", "cold", "draining"]
Effect = Literal["delay", "blackhole", "reset", "lose_answers", "heal"]
Health = Literal["Ready", "Terminating", "Gone"]
Write = Literal["whole", "torn", "empty", "in_place"]


class StrictStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A part of a scenario; unknown fields are errors."""


class Pages(StrictStruct, frozen=True):
    """A group of identical stand-in page servers."""

    count: Annotated[int, msgspec.Meta(ge=1, le=100)] = 4
    behaviour: Behaviour = "fast"
    service_ms: Annotated[float, msgspec.Meta(ge=0, le=60_000)] = 5.0
    zone: Annotated[int, msgspec.Meta(ge=0)] = 0
    capacity_per_s: Annotated[float, msgspec.Meta(gt=0)] = (
        500.0  # when warm; a cold one starts at the share ColdFrom of it
    )
    failing_share: Share = 0.8  # share of 500 answers of a `failing` server


class Clients(StrictStruct, frozen=True):
    """Open-loop clients: Poisson arrivals over all gatekeepers, bounded in number and time."""

    rate_per_s: Annotated[float, msgspec.Meta(ge=0, le=5_000)] = 50.0
    customers: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 10
    spread: Annotated[int, msgspec.Meta(ge=1)] = 2  # how many gatekeepers serve a customer
    plan: str = "casual"
    classes: dict[str, Share] = msgspec.field(
        default_factory=lambda: {"page-fetch": 0.5, "issue-buy": 0.25, "code-redeem": 0.25}
    )
    timeout_ms: Annotated[int, msgspec.Meta(ge=10, le=60_000)] = 2_000
    start_s: Seconds = 0.0
    until_s: Seconds | None = None  # default: the scenario's end less the clients' timeout
    most: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 100_000  # requests in total


class Fault(StrictStruct, frozen=True):
    """One step of the timeline: `do` selects the action, which the other fields parametrise."""

    at_s: Seconds
    do: Literal["signal", "restart", "config", "link", "discovery", "wipe"]
    gatekeepers: Places = msgspec.field(default_factory=list)  # empty: all
    signal: Signal | None = None
    for_s: Seconds | None = None  # STOP: time to the CONT; link: time to the heal
    link: Literal["counter", "discovery", "pages"] | None = None
    pages: Places = msgspec.field(default_factory=list)  # link `pages`: which servers; empty: all
    effect: Effect | None = None
    way: Literal["both", "out", "in"] = "both"  # out: from the gatekeeper; in: to it
    delay_ms: Annotated[float, msgspec.Meta(ge=0, le=60_000)] = 0.0
    jitter_ms: Annotated[float, msgspec.Meta(ge=0, le=60_000)] = 0.0
    share: Share = 1.0  # share of lost answers with `lose_answers`
    settings: dict[str, Any] | None = None  # config: a merge patch for the settings in force
    write: Write = "whole"
    member: Annotated[int, msgspec.Meta(ge=0)] | None = (
        None  # discovery: the page server whose health changes
    )
    health: Health = "Terminating"
    lag_s: Seconds = 0.0  # discovery: delay of the change to the named gatekeepers

    def __post_init__(self) -> None:
        required = {
            "signal": ("signal",),
            "link": ("link", "effect"),
            "discovery": ("member",),
        }.get(self.do, ())
        for name in required:
            if getattr(self, name) is None:
                raise ValueError(f"do = {self.do!r} requires the field `{name}`")
        if self.do == "config" and self.settings is None and self.write == "whole":
            raise ValueError("do = 'config' requires `settings`, or a `write` other than 'whole'")


class Scenario(StrictStruct, frozen=True):
    name: Annotated[str, msgspec.Meta(min_length=1, max_length=80)]
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=600)]
    seed: int = 1
    gatekeepers: Annotated[int, msgspec.Meta(ge=1, le=50)] = 3
    zones: list[str] = msgspec.field(default_factory=lambda: ["east-wing"])
    counter: bool = True
    settings: dict[str, Any] = msgspec.field(default_factory=dict)  # a merge patch for the kit's defaults
    operators: dict[str, Any] = msgspec.field(default_factory=dict)  # the operators' file of every gatekeeper
    pages: list[Pages] = msgspec.field(default_factory=lambda: [Pages()])
    clients: Clients = Clients()
    faults: list[Fault] = msgspec.field(default_factory=list)

    def __post_init__(self) -> None:
        members = sum(group.count for group in self.pages)
        for group in self.pages:
            if group.zone >= len(self.zones):
                raise ValueError(f"pages: expected a zone below {len(self.zones)}, got {group.zone}")
        if self.clients.spread > self.gatekeepers:
            raise ValueError(
                f"clients.spread: expected at most {self.gatekeepers}, got {self.clients.spread}"
            )
        for number, fault in enumerate(self.faults):
            if any(place >= self.gatekeepers for place in fault.gatekeepers):
                raise ValueError(f"faults[{number}].gatekeepers: expected indexes below {self.gatekeepers}")
            if any(place >= members for place in fault.pages) or (fault.member or 0) >= max(members, 1):
                raise ValueError(f"faults[{number}]: expected indexes of page servers below {members}")
            if fault.at_s > self.duration_s:
                raise ValueError(f"faults[{number}].at_s: {fault.at_s:g} s, after the scenario's end")

    @property
    def members(self) -> int:
        return sum(group.count for group in self.pages)


def parse(text: bytes, toml: bool) -> Scenario:
    """Parse and validate a scenario.

    :raises InvalidDocument: with every error, each with its path
    """
    try:
        raw: object = tomllib.loads(text.decode()) if toml else json.loads(text)
    except (tomllib.TOMLDecodeError, ValueError, UnicodeDecodeError) as error:
        raise InvalidDocument("scenario", [DocumentFault("$", f"can't be read: {error}")]) from None
    try:
        return msgspec.convert(raw, type=Scenario)
    except msgspec.ValidationError as error:
        found = find_faults(Scenario, raw) or [DocumentFault("$", str(error))]
    raise InvalidDocument("scenario", found)


def load(path: str | Path) -> Scenario:
    """Load a scenario file.

    :raises InvalidDocument: with every error; also if the file can't be read
    """
    file = Path(path)
    try:
        text = file.read_bytes()
    except OSError as error:
        raise InvalidDocument("scenario", [DocumentFault("$", f"{file}: {error.strerror}")]) from None
    return parse(text, toml=file.suffix == ".toml")


def merge_patch(base: dict[str, Any], patch: dict[str, Any]) -> dict[str, Any]:
    """Apply a JSON merge patch (RFC 7396): objects merge, null removes, anything else replaces."""
    out = dict(base)
    for key, value in patch.items():
        if value is None:
            out.pop(key, None)
        elif isinstance(value, dict) and isinstance(out.get(key), dict):
            out[key] = merge_patch(out[key], value)
        else:
            out[key] = value
    return out
