"""A rehearsal's scenario: the processes it starts and the timeline of its faults, checked whole.

A scenario is a TOML or JSON file. Times are seconds from the moment all gatekeepers serve; gatekeepers and
page servers are named by their place, from 0. Every fault of a file is named by its path
(`$.faults[2].signal`), as the operators' file does (millfront.operators.faults).
"""

import json
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from millfront.operators.faults import Fault as DocumentFault
from millfront.operators.faults import Unusable, faults_of

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
    """A part of a scenario: an unknown field is a fault."""


class Pages(StrictStruct, frozen=True):
    """A group of stand-in page servers alike."""

    count: Annotated[int, msgspec.Meta(ge=1, le=100)] = 4
    behaviour: Behaviour = "fast"
    service_ms: Annotated[float, msgspec.Meta(ge=0, le=60_000)] = 5.0
    zone: Annotated[int, msgspec.Meta(ge=0)] = 0
    capacity_per_s: Annotated[float, msgspec.Meta(gt=0)] = 500.0  # warm; a cold one starts at ColdFrom of it
    failing_share: Share = 0.8  # of the answers of a `failing` one that are 500


class Clients(StrictStruct, frozen=True):
    """Open-loop clients: arrivals by a Poisson process over all gatekeepers, bounded in count and time."""

    rate_per_s: Annotated[float, msgspec.Meta(ge=0, le=5_000)] = 50.0
    customers: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 10
    spread: Annotated[int, msgspec.Meta(ge=1)] = 2  # gatekeepers in a customer's set
    plan: str = "casual"
    classes: dict[str, Share] = msgspec.field(
        default_factory=lambda: {"page-fetch": 0.5, "issue-buy": 0.25, "code-redeem": 0.25}
    )
    timeout_ms: Annotated[int, msgspec.Meta(ge=10, le=60_000)] = 2_000
    start_s: Seconds = 0.0
    until_s: Seconds | None = None  # by default until the scenario's end less the longest timeout
    most: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 100_000  # requests in all


class Fault(StrictStruct, frozen=True):
    """One step of the timeline. `do` says what; the other fields are those that it wants."""

    at_s: Seconds
    do: Literal["signal", "restart", "config", "link", "discovery", "wipe"]
    gatekeepers: Places = msgspec.field(default_factory=list)  # none named: all
    signal: Signal | None = None
    for_s: Seconds | None = None  # STOP: CONT this much later; link: heal this much later
    link: Literal["counter", "discovery", "pages"] | None = None
    pages: Places = msgspec.field(default_factory=list)  # link `pages`: none named: all
    effect: Effect | None = None
    way: Literal["both", "out", "in"] = "both"  # out: from the gatekeeper; in: towards it
    delay_ms: Annotated[float, msgspec.Meta(ge=0, le=60_000)] = 0.0
    jitter_ms: Annotated[float, msgspec.Meta(ge=0, le=60_000)] = 0.0
    share: Share = 1.0  # of the answers lost, with `lose_answers`
    settings: dict[str, Any] | None = None  # config: a merge patch over the settings in force
    write: Write = "whole"
    member: Annotated[int, msgspec.Meta(ge=0)] | None = None  # discovery: the page server told of
    health: Health = "Terminating"
    lag_s: Seconds = 0.0  # discovery: the named gatekeepers are told this much later

    def __post_init__(self) -> None:
        required = {
            "signal": ("signal",),
            "link": ("link", "effect"),
            "discovery": ("member",),
        }.get(self.do, ())
        for name in required:
            if getattr(self, name) is None:
                raise ValueError(f"do = {self.do!r} wants `{name}`")
        if self.do == "config" and self.settings is None and self.write == "whole":
            raise ValueError("do = 'config' wants `settings`, or a write that spoils the file")


class Scenario(StrictStruct, frozen=True):
    name: Annotated[str, msgspec.Meta(min_length=1, max_length=80)]
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=600)]
    seed: int = 1
    gatekeepers: Annotated[int, msgspec.Meta(ge=1, le=50)] = 3
    zones: list[str] = msgspec.field(default_factory=lambda: ["east-wing"])
    counter: bool = True
    settings: dict[str, Any] = msgspec.field(default_factory=dict)  # a merge patch over the kit's own
    operators: dict[str, Any] = msgspec.field(default_factory=dict)  # each gatekeeper's operators' file
    pages: list[Pages] = msgspec.field(default_factory=lambda: [Pages()])
    clients: Clients = Clients()
    faults: list[Fault] = msgspec.field(default_factory=list)

    def __post_init__(self) -> None:
        members = sum(group.count for group in self.pages)
        for group in self.pages:
            if group.zone >= len(self.zones):
                raise ValueError(f"pages: zone {group.zone} is not among the {len(self.zones)} zones")
        if self.clients.spread > self.gatekeepers:
            raise ValueError("clients.spread: more than there are gatekeepers")
        for number, fault in enumerate(self.faults):
            if any(place >= self.gatekeepers for place in fault.gatekeepers):
                raise ValueError(f"faults[{number}].gatekeepers: there are {self.gatekeepers}")
            if any(place >= members for place in fault.pages) or (fault.member or 0) >= max(members, 1):
                raise ValueError(f"faults[{number}]: there are {members} page servers")
            if fault.at_s > self.duration_s:
                raise ValueError(f"faults[{number}].at_s: after the scenario's end")

    @property
    def members(self) -> int:
        return sum(group.count for group in self.pages)


def parse(text: bytes, toml: bool) -> Scenario:
    """:raises Unusable: with every fault, each by its path"""
    try:
        raw: object = tomllib.loads(text.decode()) if toml else json.loads(text)
    except (tomllib.TOMLDecodeError, ValueError, UnicodeDecodeError) as error:
        raise Unusable("scenario", [DocumentFault("$", f"can't be read: {error}")]) from None
    try:
        return msgspec.convert(raw, type=Scenario)
    except msgspec.ValidationError as error:
        found = faults_of(Scenario, raw) or [DocumentFault("$", str(error))]
    raise Unusable("scenario", found)


def load(path: str | Path) -> Scenario:
    """:raises Unusable: also for a file that can't be read"""
    file = Path(path)
    try:
        text = file.read_bytes()
    except OSError as error:
        raise Unusable("scenario", [DocumentFault("$", f"{file}: {error.strerror}")]) from None
    return parse(text, toml=file.suffix == ".toml")


def merge_patch(base: dict[str, Any], patch: dict[str, Any]) -> dict[str, Any]:
    """A JSON merge patch (RFC 7396): objects merge, null removes, all else replaces."""
    out = dict(base)
    for key, value in patch.items():
        if value is None:
            out.pop(key, None)
        elif isinstance(value, dict) and isinstance(out.get(key), dict):
            out[key] = merge_patch(out[key], value)
        else:
            out[key] = value
    return out
