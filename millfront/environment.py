"""Reads and validates the settings file of one process. Errors name the field; unknown fields are ignored.

Times are in seconds, rates per second, addresses ``HOST:PORT``. Source: the operators' pages on deployment.
"""

import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from result import Err, Ok, Result
from schema import And, Optional, Or, Schema, SchemaError, Use

CONFIG_VARIABLE = "MILLFRONT_CONFIG"
DURATION = re.compile(r"([0-9]{1,9}(?:\.[0-9]{1,9})?)(ms|s)")
ADDRESS = re.compile(r"[0-9A-Za-z_.\-]{1,253}:[0-9]{1,5}")


class SettingsFileError(Exception):
    """The settings are invalid; the text names the field."""


def seconds(text: object) -> float:
    """Parse a duration into seconds.

    >>> seconds("1500ms"), seconds("2.5s")
    (1.5, 2.5)
    """
    match = DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"expected a duration such as 1500ms or 2.5s, got {text!r}")
    return float(match[1]) / (1000.0 if match[2] == "ms" else 1.0)


@dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds of the service rules, in seconds unless a ratio or count; defaults for omitted fields."""

    contact: float = 4.0
    ack_within: float = 6.0
    drain_within: float = 3.0
    grace_period: float = 6.0
    apply_within: float = 3.0
    revoke_global: bool = True
    revoke_within: float = 5.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_extra: float = 60.0
    rate_window: float = 5.0
    rate_excess: float = 0.1
    rate_extra: float = 20.0
    warmup_excess: float = 1.5
    warmup_extra: float = 5.0
    evacuate_within: float = 5.0
    dedupe_window: float = 60.0
    ttl_max: float = 5.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings that the platform gives one process."""

    name: str
    ip: str
    zone: str
    region: str
    fresh: bool
    counts_loss: bool
    state_dir: str | None
    serves: tuple[str, ...]
    ram_mb: int
    fd_limit: int
    port: int  # for traffic between the system's own processes, TCP and UDP
    seeds: tuple[str, ...]
    bindings: Mapping[str, str]
    zones: Mapping[str, str]
    cloud: str
    cloud_rate: float
    cloud_lag: float
    bounds: Bounds = field(default_factory=Bounds)
    hosts_lost: int = 1  # machines with a disk that may be lost at once while all rules still hold
    log_level: str = "INFO"
    log_json: bool = False
    listen_ip: str = ""  # to bind to, where this machine does not have the address that others reach it at

    @property
    def post_address(self) -> str:
        """``host:port`` where the system's other processes reach this one."""
        return f"{self.ip}:{self.port}"


number: Any = And(lambda n: isinstance(n, int | float), lambda n: not isinstance(n, bool) and n >= 0)
text: Any = And(str, len)
address: Any = And(str, lambda a: ADDRESS.fullmatch(a) is not None, error="expected HOST:PORT, got {!r}")
duration = Use(seconds)
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
SETTINGS_SCHEMA = Schema(
    {
        "self": {
            "node_name": text,
            "ip_addr": text,
            "zone": text,
            "region": text,
            Optional("fresh", default=False): bool,
            Optional("counts_loss", default=False): bool,
            Optional("state_dir", default=""): str,
            "serves": [str],
            "limits": {
                Optional("ram_mb", default=128): And(int, lambda n: n > 0),
                Optional("fd_limit", default=1024): And(int, lambda n: n > 64),
            },
        },
        "network": {
            "port_range": And([int], lambda p: len(p) == 2 and 0 <= p[0] <= p[1] < 65536),
            Optional("listen_ip", default=""): str,
            "seed_nodes": [address],
            Optional("bindings", default={}): {Optional(str): address},
            "zones": {str: str},
        },
        "platform": {
            "cloud_api": {
                "address": address,
                Optional("rate_per_s", default=10.0): number,
                Optional("max_lag", default=1.0): duration,
            },
        },
        Optional("log", default={}): {
            Optional("level", default="INFO"): Or(
                *LEVELS, error="log.level: got {!r}, expected one of " + " ".join(LEVELS)
            ),
            Optional("format", default="text"): Or(
                "text", "json", error="log.format: expected text or json, got {!r}"
            ),
        },
        "terms": {
            Optional("tolerance", default={}): {
                Optional("hosts_lost", default=1): And(int, lambda n: not isinstance(n, bool) and n >= 0),
            },
            "bounds": {
                **{
                    Optional(name): duration
                    for name in [
                        "contact",
                        "ack_within",
                        "drain_within",
                        "grace_period",
                        "apply_within",
                        "revoke_within",
                        "retry_window",
                        "rate_window",
                        "evacuate_within",
                        "dedupe_window",
                        "ttl_max",
                    ]
                },
                **{
                    Optional(name): number
                    for name in [
                        "retry_ratio",
                        "retry_extra",
                        "rate_excess",
                        "rate_extra",
                        "warmup_excess",
                        "warmup_extra",
                    ]
                },
                Optional("revoke_global"): bool,
            },
        },
    },
    ignore_extra_keys=True,
)


def read(document: dict[str, Any]) -> Result[Settings, SettingsFileError]:
    """Validate the parsed file field by field."""
    try:
        fields = SETTINGS_SCHEMA.validate(document)
    except SchemaError as error:
        faults = "; ".join(dict.fromkeys(part for part in [*error.autos, *error.errors] if part))
        return Err(SettingsFileError(faults.replace("\n", " ")))
    own, network, platform = fields["self"], fields["network"], fields["platform"]
    return Ok(
        Settings(
            name=own["node_name"],
            ip=own["ip_addr"],
            zone=own["zone"],
            region=own["region"],
            fresh=own["fresh"],
            counts_loss=own["counts_loss"],
            state_dir=own["state_dir"] or None,
            serves=tuple(own["serves"]),
            ram_mb=own["limits"]["ram_mb"],
            fd_limit=own["limits"]["fd_limit"],
            port=network["port_range"][0],
            seeds=tuple(network["seed_nodes"]),
            bindings=dict(network["bindings"]),
            zones=dict(network["zones"]),
            cloud=platform["cloud_api"]["address"],
            cloud_rate=float(platform["cloud_api"]["rate_per_s"]),
            cloud_lag=platform["cloud_api"]["max_lag"],
            bounds=Bounds(**fields["terms"]["bounds"]),
            hosts_lost=fields["terms"]["tolerance"].get("hosts_lost", 1),
            log_level=fields["log"].get("level", "INFO"),
            log_json=fields["log"].get("format") == "json",
            listen_ip=network["listen_ip"],
        )
    )


def load(environment: Mapping[str, str]) -> Result[Settings, SettingsFileError]:
    """Load the settings from the file that MILLFRONT_CONFIG names."""
    path = environment.get(CONFIG_VARIABLE)
    if not path:
        return Err(SettingsFileError(f"{CONFIG_VARIABLE}: is not set"))
    try:
        document = tomllib.loads(Path(path).read_text())
    except OSError as error:
        return Err(SettingsFileError(f"{CONFIG_VARIABLE}: {path}: {error.strerror}"))
    except ValueError as error:
        return Err(SettingsFileError(f"{CONFIG_VARIABLE}: {path} is not TOML: {error}"))
    return read(document)
