"""After a restart the values on the local disk are in force in the data plane from the first request."""

from collections.abc import Callable

import pytest

from millfront.control.admin import EVACUATION
from millfront.control.configuration import Service
from millfront.dataplane.proxy import Proxy
from millfront.environment import Bounds, Settings
from millfront.gatekeeper.node import Gatekeeper
from millfront.register.values import CONFIG, CORE, FIRST_AGREED_EPOCH, Core, Value
from tests.system_world import ZONES, document

NODE = "aa-00"
CONFIGURATION = document(7, limits={"max_body_bytes": 5000, "idle_timeout": "6s", "header_deadline": "2s"})


class NoIO:
    """I/O that discards every request of the node."""

    def now(self) -> float:
        return 100.0

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *args, **more: None


def restarted(stored: dict[str, Value]) -> Proxy:
    """The data plane of a node that restarts with these values on its disk."""
    settings = Settings(
        name=NODE, ip="127.0.0.1", zone="aa", region="a", fresh=False, counts_loss=True,
        state_dir="/nowhere", serves=("edge", "control", "directory"), ram_mb=100, fd_limit=1000,
        port=7000, seeds=("127.0.0.1:81",), bindings={"plain": "127.0.0.1:80"}, zones=ZONES,
        cloud="127.0.0.1:1", cloud_rate=40.0, cloud_lag=0.8, bounds=Bounds(),
    )  # fmt: skip
    core = Core(FIRST_AGREED_EPOCH, {NODE: "127.0.0.1:7000"}).to_value()
    gatekeeper = Gatekeeper(settings, NoIO(), {CORE: core, **stored}, 100.0, 1, 1)
    return Proxy(gatekeeper, 1, lambda: 100.0)


@pytest.fixture
def data_plane() -> Proxy:
    stored = {
        CONFIG: Value(7, "digest", CONFIGURATION),
        EVACUATION + "ab": Value(3, "read", "1"),
        EVACUATION + "ba": Value(4, "read", "0"),
    }
    return restarted(stored)


def test_an_evacuated_zone_gets_no_request_from_a_node_that_restarted(data_plane: Proxy) -> None:
    entries = [
        [f"i-{zone}", "shop", f"10.0.2.{number}:80", zone, 9, 0, 0.0] for number, zone in enumerate(ZONES)
    ]
    data_plane.gatekeeper.server_list.handle_list(100.0, {"f": 1, "p": 0, "e": entries, "g": []})
    data_plane.on_servers_changed()
    shop = Service("shop", "/health", 100, 0.0, 0.0)
    chosen: set[str] = set()
    for _ in range(100):
        seen = data_plane.load_balancer.pick(100.0, shop, True, frozenset(), 1000.0, tried=chosen)
        if seen is not None:
            chosen.add(seen.server.ident)
    assert chosen == {"i-aa", "i-ba", "i-bb"}


def test_the_limits_on_the_disk_hold_for_the_first_client_of_a_node_that_restarted(
    data_plane: Proxy,
) -> None:
    server = data_plane.server
    assert server.max_body == 5000
    assert server.idle_timeout_us == 6_000_000
    assert server.keep_alive == b"timeout=5"
    assert server.request_read_timeout_us == 2_300_000


def test_a_node_with_nothing_on_its_disk_starts_with_nothing_in_force() -> None:
    data_plane = restarted({})
    assert data_plane.load_balancer.evacuated == frozenset()
    assert data_plane.gatekeeper.configuration is None
