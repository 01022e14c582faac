"""Every gatekeeper knows within `drain_within` that a server is draining, also where the list has many pages,
the platform's rate limit is low, and the gatekeepers that poll it fail.

A world of 40 gatekeepers, six with a disk, and a list of 281 servers in six pages; the platform answers 50
calls per second. The figures are those of a deployment of 82, which takes too long to simulate.
"""

from collections.abc import Collection
from typing import Any

import pytest

from millfront.discovery.server_list import Phase
from millfront.environment import Bounds
from tests.system_world import ZONES, Node, World, document

COUNT, DISKS = 40, 6
SERVERS, PAGE, RATE_PER_S = 281, 50, 50.0
DRAIN_WITHIN_S = 2.5
REQUEST_TRANSIT_S = 0.1  # from choosing a server by the old list until it has the request
CONTACT_S = 4.0
STARTED_S = 5.0  # of the ten seconds that the machines have before traffic


def entries() -> list[Any]:
    """The platform's whole list."""
    zones = list(ZONES)
    return [
        [f"i-{n}", "shop", f"10.1.{n // 200}.{n % 200}:80", zones[n % 4], 3, 0, 0.0] for n in range(SERVERS)
    ]


def world(seed: int) -> World:
    """All machines start together for the first time."""
    made = World(COUNT, DISKS, seed, Bounds(drain_within=DRAIN_WITHIN_S, contact=CONTACT_S))
    made.platform.servers, made.platform.page_size, made.platform.rate_per_s = entries(), PAGE, RATE_PER_S
    return made.start()


def calm_world(seed: int) -> World:
    """A world in which all have the list, whatever the rate limit did to the start."""
    made = world(seed)
    made.platform.rate_per_s = 100.0 * RATE_PER_S
    made.run(8.0)
    made.platform.rate_per_s = RATE_PER_S
    made.put(0, document(1))
    made.run(2.0)
    assert all(gatekeeper.server_list.has_list() for gatekeeper in made.gatekeepers())
    return made


def pollers(made: World) -> list[Node]:
    """The gatekeepers that read the lists held now."""
    askers = {gatekeeper.server_list.poller for gatekeeper in made.gatekeepers()}
    return [n for n in made.nodes if n.gatekeeper is not None and n.gatekeeper.server_list.name in askers]


def drain(made: World, number: int) -> str:
    """From now on the list shows that server as draining; returns its ident."""
    made.platform.servers[number][5] = 1
    return str(made.platform.servers[number][0])


def unaware(made: World, ident: str, excluded: Collection[Node] = ()) -> list[str]:
    """Gatekeepers that still hold that server as ready."""
    excluded_names = {node.name for node in excluded}
    return [
        gatekeeper.name
        for gatekeeper in made.gatekeepers()
        if gatekeeper.name not in excluded_names
        and gatekeeper.server_list.has_list()
        and gatekeeper.server_list.servers[ident].phase is Phase.READY
    ]


@pytest.mark.parametrize("seed", range(3))
def test_all_have_the_list_soon_after_they_start_together(seed: int) -> None:
    made = world(seed).run(STARTED_S)
    assert [g.name for g in made.gatekeepers() if not g.server_list.has_list()] == []
    calls = made.platform.calls
    made.run(5.0)
    assert made.platform.calls - calls <= 5.0 * RATE_PER_S  # one polls, not all of them


@pytest.mark.parametrize("seed", range(6))
def test_the_poller_fails_as_a_server_begins_to_drain(seed: int) -> None:
    made = calm_world(seed)
    for number in range(0, 60, 20):
        made.run(0.1 * (seed + 1))
        for poller in pollers(made):
            poller.kill()
        ident = drain(made, number)
        made.run(DRAIN_WITHIN_S - REQUEST_TRANSIT_S)
        assert unaware(made, ident) == [], number
        made.run(CONTACT_S)


@pytest.mark.parametrize("seed", range(3))
def test_all_that_have_a_disk_fail_as_a_server_begins_to_drain(seed: int) -> None:
    made = calm_world(seed).run(0.1 * (seed + 1))
    for node in made.nodes[:DISKS]:
        node.kill()
    ident = drain(made, 0)
    made.run(DRAIN_WITHIN_S - REQUEST_TRANSIT_S)
    assert unaware(made, ident) == []
    assert all(node.gatekeeper.server_list.usable(node.now()) for node in made.nodes if node.gatekeeper)


@pytest.mark.parametrize("seed", range(3))
def test_half_of_all_gatekeepers_start_again_together(seed: int) -> None:
    made = calm_world(seed)
    restarted = [node for node in made.nodes[DISKS:] if node.number % 2]
    for node in restarted:
        node.kill()
    made.run(2.0)
    for node in restarted:
        node.start()
    for number in range(0, 200, 20):  # servers drain one after another while these start
        ident = drain(made, number)
        made.run(DRAIN_WITHIN_S - REQUEST_TRANSIT_S)
        assert unaware(made, ident, restarted if number < 40 else ()) == [], number
    assert all(gatekeeper.server_list.has_list() for gatekeeper in made.gatekeepers())


@pytest.mark.parametrize("seed", range(2))
def test_while_the_platform_is_down_lists_stay_usable_and_then_changes_arrive(seed: int) -> None:
    made = calm_world(seed)
    made.platform.down = True
    calls = made.platform.calls
    for _ in range(32):
        made.run(0.25)
        late = [n.name for n in made.nodes if n.gatekeeper and not n.gatekeeper.server_list.usable(n.now())]
        assert late == []
    assert made.platform.calls - calls < 8.0 * RATE_PER_S
    ident = drain(made, 0)
    made.platform.down = False
    made.run(DRAIN_WITHIN_S - REQUEST_TRANSIT_S)
    assert unaware(made, ident) == []
