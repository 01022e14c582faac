"""The configuration document: parsed, validated and compiled into routing tables. No I/O.

A configuration is one JSON document with a ``revision`` of eight hexadecimal digits and a list ``resources``.
The highest revision is in force. Times are seconds once compiled.
"""

import json
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from pyrsistent import PMap, pmap
from result import Err, Ok, Result
from schema import And, Optional, Or, Schema, SchemaError

from millfront.environment import seconds
from millfront.register.values import digest_of as digest_of

KINDS = ("idempotent", "effectful", "upload", "keyed")
MAX_TARGET_OVER_DEADLINE_S = 60.0  # a target time so far above the deadline of its route is an error
MAX_VALID_ENTRIES = 4096
_valid_entries: set[str] = set()  # digests of entries that passed their schema
HEX = frozenset("0123456789abcdef")


class ConfigurationError(Exception):
    """The configuration is invalid; the message names the entry."""


@dataclass(frozen=True, slots=True)
class Route:
    """One route. ``split`` has (service, weight) pairs, with a sum of weights above 0; times in seconds."""

    name: str
    host: str
    prefix: str
    kind: str
    deadline: float
    target_time: float
    rank: int
    split: tuple[tuple[str, float], ...]
    max_tries: int
    public: bool
    home_regions: frozenset[str]

    @property
    def repeatable(self) -> bool:
        """Whether a request may run twice: it may be retried after an attempt with unknown outcome."""
        return self.kind == "idempotent"


@dataclass(frozen=True, slots=True)
class Service:
    """A named group of servers.

    ``warmup`` in seconds; ``warmup_rate`` in requests per second to one cold server.
    """

    name: str
    health_path: str
    max_conns: int
    warmup: float
    warmup_rate: float


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant. ``rate`` in requests per second, 0: unlimited; ``burst`` in requests."""

    name: str
    keys: frozenset[str]
    rank: int | None
    rate: float
    burst: float
    home_regions: frozenset[str]


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one client connection: lengths in bytes, times in seconds."""

    max_header: int = 16384
    max_body: int = 67108864
    header_deadline: float = 3.0
    idle_timeout: float = 15.0


class RouteTable:
    """The routes of one host, found by prefix: one look-up for each slash at the start of the path, however
    many routes there are.

    >>> route = lambda prefix: Route(prefix, "h", prefix, "upload", 1, 1, 0, (), 1, True, frozenset())
    >>> table = RouteTable([route("/a/"), route("/a/b/"), route("/od")])
    >>> [found.name if (found := table.find(path)) else None for path in ("/a/b/c", "/a/bc", "/odd", "/x/")]
    ['/a/b/', '/a/', '/od', None]
    """

    __slots__ = ("_by_prefix", "_longest", "_unaligned", "all")

    def __init__(self, routes: list[Route]) -> None:
        """Of two routes with the same prefix the first is used."""
        self.all = tuple(routes)
        self._by_prefix: dict[str, Route] = {}
        unaligned = []  # prefixes that end within a path segment: searched one by one
        for route in routes:
            if route.prefix.endswith("/"):
                self._by_prefix.setdefault(route.prefix, route)
            else:
                unaligned.append(route)
        self._unaligned = tuple(sorted(unaligned, key=lambda route: -len(route.prefix)))
        self._longest = max(map(len, self._by_prefix), default=0)

    def find(self, path: str) -> Route | None:
        """The route with the longest prefix of the path."""
        found, end = None, path.rfind("/", 0, self._longest) + 1
        while end and (found := self._by_prefix.get(path[:end])) is None:
            end = path.rfind("/", 0, end - 1) + 1
        for route in self._unaligned:
            if path.startswith(route.prefix) and (found is None or len(found.prefix) < len(route.prefix)):
                return route
        return found


@dataclass(frozen=True)
class Configuration:
    """One compiled version of the configuration; immutable."""

    version: int
    text: str  # the document as received
    routes: PMap[str, RouteTable]  # by host
    services: PMap[str, Service]
    tenants: PMap[str, Tenant]  # by API key
    limits: Limits

    @cached_property
    def digest(self) -> str:
        """Digest of the text, the same in every process; tells two documents of one version apart."""
        return digest_of(self.text)

    @cached_property
    def by_name(self) -> dict[str, Tenant]:
        """The tenants by name; a tenant with several keys occurs once."""
        return {tenant.name: tenant for tenant in self.tenants.values()}

    def route_of(self, host: str, path: str) -> Route | None:
        """The route of the host with the longest prefix of the path; None: there is none."""
        table = self.routes.get(host)
        return table.find(path) if table is not None else None


def _is_duration(value: Any) -> bool:
    seconds(value)
    return True


count: Any = And(int, lambda n: not isinstance(n, bool) and n >= 0)
number: Any = And(lambda n: isinstance(n, int | float), lambda n: not isinstance(n, bool) and n >= 0)
names = [str]
ENTRY_SCHEMAS = {
    "routes": Schema(
        {
            "host": And(str, len, error="host: is empty"),
            "path_prefix": And(
                str, lambda p: p.startswith("/"), error="path_prefix: {!r} starts with no slash"
            ),
            "variant_tag": Or(
                *KINDS, error="variant_tag: expected idempotent, effectful, upload or keyed, got {!r}"
            ),
            "deadline": And(
                _is_duration, lambda value: seconds(value) > 0.0, error="deadline: {!r} leaves no time"
            ),
            "target_time": _is_duration,
            Optional("rank"): count,
            Optional("target"): str,
            Optional("split"): [Schema({"target": str, "weight": number}, ignore_extra_keys=True)],
            Optional("max_tries"): count,
            Optional("public"): bool,
            Optional("home_regions"): Or(names, None),
        },
        ignore_extra_keys=True,
    ),
    "services": Schema(
        {
            Optional("health_path"): str,
            Optional("max_conns"): count,
            Optional("warmup"): _is_duration,
            Optional("warmup_rate_s"): number,
        },
        ignore_extra_keys=True,
    ),
    "tenants": Schema(
        {
            Optional("api_keys"): Or(names, None),
            Optional("rank"): Or(count, None),
            Optional("rate_per_s"): Or(number, None),
            Optional("burst_size"): Or(number, None),
            Optional("home_regions"): Or(names, None),
        },
        ignore_extra_keys=True,
    ),
    "limits": Schema(
        {
            Optional("max_header_bytes"): count,
            Optional("max_body_bytes"): count,
            Optional("header_deadline"): _is_duration,
            Optional("idle_timeout"): _is_duration,
        },
        ignore_extra_keys=True,
    ),
}
DOCUMENT_SCHEMA = Schema(
    {
        "revision": And(
            str,
            lambda v: len(v) == 8 and HEX.issuperset(v.lower()),
            error="revision: expected 8 hexadecimal digits, got {!r}",
        ),
        "resources": [
            Schema(
                {
                    "variant": str,
                    "meta": Schema({Optional("name"): str}, ignore_extra_keys=True),
                    "spec": dict,
                },
                ignore_extra_keys=True,
            )
        ],
    },
    ignore_extra_keys=True,
)


def checked(text: str) -> Result[Configuration, ConfigurationError]:
    """Validate a document from an operator: each entry by its schema, then references between entries."""
    try:
        document = DOCUMENT_SCHEMA.validate(json.loads(text))
        for resource in document["resources"]:
            try:
                _check_entry(resource["variant"], resource["spec"])
            except SchemaError as error:
                label = " ".join((resource["variant"], resource["meta"].get("name", ""))).strip()
                return Err(ConfigurationError(f"{label}: {_error_text(error)}"))
    except SchemaError as error:
        return Err(ConfigurationError(_error_text(error)))
    except (ValueError, RecursionError) as error:
        return Err(ConfigurationError(f"is not JSON: {error}"))
    return compiled(text, document)


def _check_entry(variant: str, spec: dict[str, Any]) -> None:
    """Validate one entry. Versions repeat most of their entries, so valid ones are not checked again."""
    schema = ENTRY_SCHEMAS.get(variant)
    if schema is None:
        return
    digest = digest_of(variant + json.dumps(spec))
    if digest not in _valid_entries:
        schema.validate(spec)
        if len(_valid_entries) >= MAX_VALID_ENTRIES:
            _valid_entries.clear()
        _valid_entries.add(digest)


def _error_text(error: SchemaError) -> str:
    parts = [part for part in error.errors if part] or [part for part in error.autos if part]
    return "; ".join(dict.fromkeys(parts)).replace("\n", " ")[:400]


def compiled(text: str, document: dict[str, Any] | None = None) -> Result[Configuration, ConfigurationError]:
    """Compile a document whose entries are known to be valid; checks references between entries."""
    try:
        return Ok(_compiled(text, json.loads(text) if document is None else document))
    except ConfigurationError as error:
        return Err(error)
    except (ValueError, KeyError, TypeError, AttributeError) as cause:
        return Err(ConfigurationError(f"invalid document: {cause!r}"))


def _compiled(text: str, document: dict[str, Any]) -> Configuration:
    routes: list[Route] = []
    services: dict[str, Service] = {}
    tenants: dict[str, Tenant] = {}
    limits = Limits()
    for resource in document["resources"]:
        variant, name, spec = resource["variant"], resource["meta"].get("name", ""), resource["spec"]
        if variant == "routes":
            routes.append(_route(name, spec))
        elif variant == "services":
            services[name] = Service(
                name,
                spec.get("health_path") or "/health",
                int(spec.get("max_conns") or 100),
                seconds(spec.get("warmup") or "0s"),
                float(spec.get("warmup_rate_s") or 0.0),
            )
        elif variant == "tenants":
            tenant = _tenant(name, spec)
            for key in tenant.keys:
                if key in tenants:
                    raise ConfigurationError(f"tenant {name}: shares a key with tenant {tenants[key].name}")
                tenants[key] = tenant
        elif variant == "limits":
            limits = Limits(
                spec.get("max_header_bytes") or limits.max_header,
                spec.get("max_body_bytes") or limits.max_body,
                seconds(spec.get("header_deadline") or "3s"),
                seconds(spec.get("idle_timeout") or "15s"),
            )
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        for service, _ in route.split:
            if service not in services:
                raise ConfigurationError(f"route {route.name}: unknown service {service}")
        by_host.setdefault(route.host, []).append(route)
    ordered = {host: RouteTable(found) for host, found in by_host.items()}
    return Configuration(
        int(document["revision"], 16), text, pmap(ordered), pmap(services), pmap(tenants), limits
    )


def _route(name: str, spec: dict[str, Any]) -> Route:
    if not spec["host"]:
        raise ConfigurationError(f"route {name}: host is empty")
    split = [(part["target"], float(part["weight"])) for part in spec.get("split") or ()]
    if split and sum(weight for _, weight in split) <= 0.0:
        raise ConfigurationError(f"route {name}: weights sum to 0")
    if not split:
        if not spec.get("target"):
            raise ConfigurationError(f"route {name}: expected a target or a split, found neither")
        split = [(spec["target"], 1.0)]
    deadline, target_time = seconds(spec["deadline"]), seconds(spec["target_time"])
    if target_time >= deadline + MAX_TARGET_OVER_DEADLINE_S:
        raise ConfigurationError(
            f"route {name}: target_time {target_time:g} s is a minute or more above {deadline:g} s deadline"
        )
    return Route(
        name=name,
        host=spec["host"].lower(),
        prefix=spec["path_prefix"],
        kind=spec["variant_tag"],
        deadline=deadline,
        target_time=target_time,
        rank=int(spec.get("rank") or 0),
        split=tuple(split),
        max_tries=max(1, int(spec.get("max_tries") or 1)),
        public=bool(spec.get("public")),
        home_regions=frozenset(spec.get("home_regions") or ()),
    )


def _tenant(name: str, spec: dict[str, Any]) -> Tenant:
    rank = spec.get("rank")
    return Tenant(
        name,
        frozenset(spec.get("api_keys") or ()),
        None if rank is None else int(rank),
        float(spec.get("rate_per_s") or 0.0),
        float(spec.get("burst_size") or 0.0),
        frozenset(spec.get("home_regions") or ()),
    )
