"""Configuration from the platform: NODE_* variables and the JSON file that NODE_CONFIG names."""

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from millfront import interface as api
from millfront.settings import NodeSettings, SettingsError, node_settings_from, settings_from

# Of the descriptor limit: standard streams, the event loop's, the pool's, the counter's, the callers on the
# operators' line, one for accept().
RESERVED_SOCKETS = 72

DEFAULT_MEMORY_MB = 32  # if the configuration sets no limit
PER_GATEKEEPER_KEYS = ("Me", "MyZone")  # settings that identify a gatekeeper, as opposed to rules


class ConfigError(Exception):
    """The configuration is invalid; the message names the field."""


@dataclass(frozen=True, slots=True)
class Address:
    host: str
    port: int

    @classmethod
    def parse(cls, text: object, field: str) -> "Address":
        host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
        if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
            raise ConfigError(f"{field}: {text!r} is not HOST:PORT")
        return cls(host.strip("[]"), int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    admin: Address | None  # listen address of the operators' line
    seed: int
    sockets: int
    memory_mb: int
    initial_list: dict[str, Any]
    settings: api.Settings
    node: NodeSettings
    folder: str | None = None  # shared by the processes of one gatekeeper: $TMPDIR
    keys: frozenset[str] = frozenset()  # present in the file
    version: str = ""  # hash of the settings' content

    @property
    def max_clients(self) -> int:
        """Client connections at once: three fifths of the descriptors that are not reserved."""
        return max(1, (self.sockets - RESERVED_SOCKETS) * 3 // 5)

    @property
    def max_member_connections(self) -> int:
        """Connections to pool members at once: the rest."""
        return max(1, self.sockets - RESERVED_SOCKETS - self.max_clients)


def load(environment: Mapping[str, str]) -> Config:
    """At start: NODE_* override the file.

    :raises ConfigError: it is invalid
    """
    config = _load_file(environment, "name", "listen", "discovery", "admin_addr")
    return replace(config, folder=environment.get("TMPDIR") or None)


def reload(environment: Mapping[str, str], before: Config) -> Config:
    """On SIGHUP: the environment is still that of the start, so the file's address of discovery counts.

    :raises ConfigError: invalid, or a key that was in the file is missing: it was truncated or mistyped
    """
    config = _load_file(environment, "name", "listen", "admin_addr")
    if missing := sorted(before.keys - config.keys):
        raise ConfigError(f"{missing[0]}: is missing, but was in the file before")
    return replace(config, folder=before.folder)


def _load_file(environment: Mapping[str, str], *over_file: str) -> Config:
    path = environment.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG: is not set")
    try:
        data = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"NODE_CONFIG: {path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"NODE_CONFIG: {path} is not JSON: {error}") from None
    if not isinstance(data, dict):
        raise ConfigError(f"NODE_CONFIG: {path} is not a JSON object")
    for field in ("name", "listen", "discovery", "admin_addr"):
        value = environment.get(f"NODE_{field.upper()}")
        if value and (field in over_file or data.get(field) is None):
            data[field] = value
    return from_json(data)


def from_json(data: dict[str, Any]) -> Config:
    """Checks the file's object field by field; unknown fields are ignored.

    :raises ConfigError: a field is invalid
    """
    settings = _object(data, "settings")
    limits = _object(data, "limits")
    known = data.get("known") or {"seq": 0, "whole": True, "hosts": []}
    if not isinstance(known, dict):
        raise ConfigError("known: is not an object")
    try:
        module, node = settings_from(json.dumps(settings).encode()), node_settings_from(settings)
    except SettingsError as error:
        raise ConfigError(f"settings: {error}") from None
    sockets = limits.get("sockets")
    if not isinstance(sockets, int) or sockets <= RESERVED_SOCKETS + 2:
        raise ConfigError(f"limits.sockets: {sockets!r} is not an integer above {RESERVED_SOCKETS + 2}")
    counter = None
    if data.get("counter") is not None:
        counter = Address.parse(data["counter"], "counter")
    elif module.counter:
        raise ConfigError("counter: is missing, but the settings have SharedCounter")
    return Config(
        name=str(data.get("name") or "node"),
        listen=Address.parse(data.get("listen"), "listen"),
        discovery=Address.parse(data.get("discovery"), "discovery"),
        counter=counter,
        admin=Address.parse(data["admin_addr"], "admin_addr") if data.get("admin_addr") is not None else None,
        seed=_seed(data.get("seed")),
        sockets=sockets,
        memory_mb=limits["memory_mb"] if isinstance(limits.get("memory_mb"), int) else DEFAULT_MEMORY_MB,
        initial_list=known,
        settings=module,
        node=node,
        keys=frozenset(_keys({key: value for key, value in data.items() if key != "known"})),
        version=version_of({key: value for key, value in settings.items() if key not in PER_GATEKEEPER_KEYS}),
    )


def version_of(document: object) -> str:
    """A document's identity by content: 16 hex digits of BLAKE2b over its canonical JSON. Gatekeepers that
    report the same version act on the same document, however its file is formatted."""
    canonical = json.dumps(document, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return hashlib.blake2b(canonical.encode(), digest_size=8).hexdigest()


def _keys(data: object, path: str = "") -> set[str]:
    """The dotted paths of all keys; of a list of objects, those that all of them have."""
    if isinstance(data, list):
        return set.intersection(*(_keys(entry, path) for entry in data)) if data else set()
    if not isinstance(data, dict):
        return set()
    return {path + key for key in data}.union(*(_keys(v, f"{path}{key}.") for key, v in data.items()))


def _object(data: dict[str, Any], field: str) -> dict[str, Any]:
    value = data.get(field)
    if not isinstance(value, dict):
        raise ConfigError(f"{field}: is missing or not an object")
    return value


def _seed(value: object) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else int(str(value))
    except ValueError:
        raise ConfigError(f"seed: {value!r} is neither an integer nor a hex string") from None
