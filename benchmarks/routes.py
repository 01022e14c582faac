"""Cost of a route lookup by number of routes: `python -m benchmarks.routes`.

All routes belong to one host; each path is two levels below its prefix.
"""

import time

from pyrsistent import pmap

from millfront.control.configuration import Configuration, Limits, Route, RouteTable

LOOKUPS = 100_000


def make_configuration(count: int) -> tuple[Configuration, list[str]]:
    prefixes = [f"/p{number}/q{number % 7}/" for number in range(count)]
    routes = [
        Route(prefix, "h", prefix, "upload", 3.0, 1.0, 0, (("s", 1.0),), 1, True, frozenset())
        for prefix in prefixes
    ]
    configuration = Configuration(1, "", pmap({"h": RouteTable(routes)}), pmap(), pmap(), Limits())
    return configuration, [f"{prefix}no/{number}" for number, prefix in enumerate(prefixes)]


def main() -> None:
    print("routes  us per lookup")
    for count in (10, 1_000, 10_000):
        configuration, paths = make_configuration(count)
        fastest = 1e9
        for _ in range(5):
            started = time.perf_counter()
            for lookup in range(LOOKUPS):
                assert configuration.route_of("h", paths[lookup % count]) is not None
            fastest = min(fastest, time.perf_counter() - started)
        print(f"{count:6}  {fastest / LOOKUPS * 1e6:.2f}")


if __name__ == "__main__":
    main()
