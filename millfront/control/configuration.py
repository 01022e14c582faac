"""The configuration: read, checked, and compiled into what a request is routed by. No I/O.

A configuration is one JSON document with a ``revision`` of eight hexadecimal digits and a list ``resources``.
The highest revision holds. Times are seconds inside.
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
MOST_OVER_S = 60.0  # a target time so far above its route's deadline is taken for an error
MOST_RIGHT = 4096
_right: set[str] = set()  # digests of entries whose form is right
HEX = frozenset("0123456789abcdef")


class ConfigurationError(Exception):
    """The configuration is invalid; the text names the entry."""


@dataclass(frozen=True, slots=True)
class Route:
    """One route. ``arms`` are (service, weight), weights above 0."""

    name: str
    host: str
    prefix: str
    kind: str
    deadline: float
    target: float
    rank: int
    arms: tuple[tuple[str, float], ...]
    max_tries: int
    public: bool
    homes: frozenset[str]

    @property
    def repeatable(self) -> bool:
        """Whether a request may run twice: a further try may follow one whose outcome is unknown."""
        return self.kind == "idempotent"


@dataclass(frozen=True, slots=True)
class Service:
    """A named group of servers.

    ``warmup`` in seconds; ``warmup_rate`` in requests a second to one cold server.
    """

    name: str
    health_path: str
    max_conns: int
    warmup: float
    warmup_rate: float


@dataclass(frozen=True, slots=True)
class Tenant:
    """``rate`` in requests a second; 0 is without a limit."""

    name: str
    keys: frozenset[str]
    rank: int | None
    rate: float
    burst: float
    homes: frozenset[str]


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one client connection: lengths in bytes, times in seconds."""

    max_header: int = 16384
    max_body: int = 67108864
    header_deadline: float = 3.0
    idle_timeout: float = 15.0


class RouteTable:
    """The routes of one host, found by prefix: a look-up for each slash in the path's begin, however many
    routes there are.

    >>> route = lambda prefix: Route(prefix, "h", prefix, "upload", 1, 1, 0, (), 1, True, frozenset())
    >>> table = RouteTable([route("/a/"), route("/a/b/"), route("/od")])
    >>> [found.name if (found := table.find(path)) else None for path in ("/a/b/c", "/a/bc", "/odd", "/x/")]
    ['/a/b/', '/a/', '/od', None]
    """

    __slots__ = ("_by_prefix", "_longest", "_odd", "all")

    def __init__(self, routes: list[Route]) -> None:
        """Of two with one prefix the first counts."""
        self.all = tuple(routes)
        self._by_prefix: dict[str, Route] = {}
        odd = []  # prefixes that end within a name: looked through one by one
        for route in routes:
            if route.prefix.endswith("/"):
                self._by_prefix.setdefault(route.prefix, route)
            else:
                odd.append(route)
        self._odd = tuple(sorted(odd, key=lambda route: -len(route.prefix)))
        self._longest = max(map(len, self._by_prefix), default=0)

    def find(self, path: str) -> Route | None:
        """The route with the longest prefix that begins the path."""
        found, end = None, path.rfind("/", 0, self._longest) + 1
        while end and (found := self._by_prefix.get(path[:end])) is None:
            end = path.rfind("/", 0, end - 1) + 1
        for route in self._odd:
            if path.startswith(route.prefix) and (found is None or len(found.prefix) < len(route.prefix)):
                return route
        return found


@dataclass(frozen=True)
class Configuration:
    """One version of the configuration, as it is decided by; immutable."""

    version: int
    text: str  # the document, as it was put
    routes: PMap[str, RouteTable]  # by host
    services: PMap[str, Service]
    tenants: PMap[str, Tenant]  # by key
    limits: Limits

    @cached_property
    def digest(self) -> str:
        """Tells two documents of one version apart, the same everywhere."""
        return digest_of(self.text)

    @cached_property
    def by_name(self) -> dict[str, Tenant]:
        """The tenants by their names; a tenant with several keys is there once."""
        return {tenant.name: tenant for tenant in self.tenants.values()}

    def route_of(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix that begins the path."""
        table = self.routes.get(host)
        return table.find(path) if table is not None else None


def _time(value: Any) -> bool:
    seconds(value)
    return True


count: Any = And(int, lambda n: not isinstance(n, bool) and n >= 0)
number: Any = And(lambda n: isinstance(n, int | float), lambda n: not isinstance(n, bool) and n >= 0)
names = [str]
FORMS = {
    "routes": Schema(
        {
            "host": And(str, len, error="host: is empty"),
            "path_prefix": And(
                str, lambda p: p.startswith("/"), error="path_prefix: {!r} starts with no slash"
            ),
            "variant_tag": Or(*KINDS, error="variant_tag: {!r} is not known"),
            "deadline": And(_time, lambda told: seconds(told) > 0.0, error="deadline: {!r} leaves no time"),
            "target_time": _time,
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
            Optional("warmup"): _time,
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
            Optional("header_deadline"): _time,
            Optional("idle_timeout"): _time,
        },
        ignore_extra_keys=True,
    ),
}
WHOLE = Schema(
    {
        "revision": And(str, lambda v: len(v) == 8 and HEX.issuperset(v.lower()), error="revision: {!r}"),
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
    """A document from an operator: its form, then what its entries say of one another."""
    try:
        document = WHOLE.validate(json.loads(text))
        for resource in document["resources"]:
            try:
                _entry_checked(resource["variant"], resource["spec"])
            except SchemaError as wrong:
                named = " ".join((resource["variant"], resource["meta"].get("name", ""))).strip()
                return Err(ConfigurationError(f"{named}: {_said(wrong)}"))
    except SchemaError as wrong:
        return Err(ConfigurationError(_said(wrong)))
    except (ValueError, RecursionError) as wrong:
        return Err(ConfigurationError(f"is not JSON: {wrong}"))
    return compiled(text, document)


def _entry_checked(variant: str, spec: dict[str, Any]) -> None:
    """Versions repeat most of their entries: one that was found right is not checked again."""
    form = FORMS.get(variant)
    if form is None:
        return
    known = digest_of(variant + json.dumps(spec))
    if known not in _right:
        form.validate(spec)
        if len(_right) >= MOST_RIGHT:
            _right.clear()
        _right.add(known)


def _said(wrong: SchemaError) -> str:
    parts = [part for part in wrong.errors if part] or [part for part in wrong.autos if part]
    return "; ".join(dict.fromkeys(parts)).replace("\n", " ")[:400]


def compiled(text: str, document: dict[str, Any] | None = None) -> Result[Configuration, ConfigurationError]:
    """Of a document whose form is known to be right; what entries say of one another is looked at here."""
    try:
        return Ok(_compiled(text, json.loads(text) if document is None else document))
    except ConfigurationError as fault:
        return Err(fault)
    except (ValueError, KeyError, TypeError, AttributeError) as wrong:
        return Err(ConfigurationError(f"can't be read in full: {wrong!r}"))


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
                    raise ConfigurationError(f"tenant {name}: shares a key with {tenants[key].name}")
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
        for service, _ in route.arms:
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
    arms = [(arm["target"], float(arm["weight"])) for arm in spec.get("split") or ()]
    if arms and sum(weight for _, weight in arms) <= 0.0:
        raise ConfigurationError(f"route {name}: weights sum to 0")
    if not arms:
        if not spec.get("target"):
            raise ConfigurationError(f"route {name}: neither target nor split")
        arms = [(spec["target"], 1.0)]
    deadline, target = seconds(spec["deadline"]), seconds(spec["target_time"])
    if target >= deadline + MOST_OVER_S:
        raise ConfigurationError(f"route {name}: target_time is a minute or more above its deadline")
    return Route(
        name=name,
        host=spec["host"].lower(),
        prefix=spec["path_prefix"],
        kind=spec["variant_tag"],
        deadline=deadline,
        target=target,
        rank=int(spec.get("rank") or 0),
        arms=tuple(arms),
        max_tries=max(1, int(spec.get("max_tries") or 1)),
        public=bool(spec.get("public")),
        homes=frozenset(spec.get("home_regions") or ()),
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
