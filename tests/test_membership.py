"""Cards at many processes and many tenants, in the simulated world: all are heard of, and parts add up."""

import json
from typing import Any

import pytest

from millfront.membership import gossip
from millfront.membership.gossip import RELAYS, owners
from millfront.membership.record import Liveness
from millfront.quotas.allowance import allowance_of
from millfront.quotas.requester import ADMITTED, Decision
from tests.system_world import World, document


def up_everywhere(world: World) -> bool:
    gatekeepers = world.gatekeepers()
    return all(
        len(gatekeeper.membership.records) == len(gatekeepers)
        and all(
            record.liveness is Liveness.UP and record.identity is not None
            for record in gatekeeper.membership.records.values()
        )
        for gatekeeper in gatekeepers
    )


def test_forty_processes_that_know_three_seeds_hear_of_all_others() -> None:
    world = World(40, 4).start().run(8.0)
    assert up_everywhere(world)
    world.nodes[17].kill()
    world.run(6.0)
    name = world.nodes[17].name
    assert {gatekeeper.membership.records[name].liveness for gatekeeper in world.gatekeepers()} == {
        Liveness.UNREACHABLE
    }


def test_a_region_larger_than_a_mesh_passes_cards_on_and_takes_nobody_for_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(gossip, "MAX_MESH", 6)
    monkeypatch.setattr(gossip, "VIEW_SIZE", 3)
    world = World(32, 4).start().run(12.0)
    world.loss = 0.02
    for _ in range(8):
        world.run(1.0)
        lost = [
            c
            for o in world.gatekeepers()
            for c in o.membership.records.values()
            if c.liveness is Liveness.UNREACHABLE
        ]
        assert not lost


def test_units_that_were_flushed_are_known_in_the_other_region_though_one_relay_is_dead() -> None:
    world = World().start().run(4.0)
    world.put(5, document(1, {"t": ["k"]}, rate=30.0))
    world.run(6.0)
    node = world.nodes[4]  # of region a
    gatekeeper = node.gatekeeper
    assert gatekeeper is not None and gatekeeper.configuration is not None
    there = [other for other in world.nodes if other.zone[0] == "b"]
    relays = owners(f"relay {node.name}", [other.name for other in there], RELAYS)
    next(other for other in there if other.name == relays[0]).kill()
    decisions: list[Decision] = []
    for _ in range(3):
        node.request("t", decisions.append)
    world.run(0.3)
    assert decisions == [ADMITTED] * 3
    gatekeeper.flush(node.now())
    world.run(0.12)
    for other in there:
        if other.gatekeeper is not None:
            assert other.gatekeeper.admission.accounts["t"].peers[node.name].sent == 3.0


def test_totals_of_many_tenants_told_in_part_add_up_and_the_quiet_ones_fade() -> None:
    world = World(8, 4).start().run(4.0)
    tenants = {f"t{number}": [f"k{number}"] for number in range(30)}
    world.put(5, document(1, tenants, rate=30.0))
    world.run(5.0)
    sent: dict[tuple[str, str], int] = {}
    for round in range(60):
        node = world.nodes[world.random.randrange(8)]
        gatekeeper, name = node.gatekeeper, f"t{round % 30}"
        assert gatekeeper is not None and gatekeeper.configuration is not None
        decisions: list[Decision] = []
        node.request(name, decisions.append)
        world.run(0.1)
        if decisions == [ADMITTED]:
            sent[name, node.name] = sent.get((name, node.name), 0) + 1
    datagrams: list[int] = []
    whole = world.nodes[0].send_datagram

    def counted(address: str, message: dict[str, Any]) -> None:
        datagrams.append(len(json.dumps(message)))
        whole(address, message)

    world.nodes[0].send_datagram = counted  # type: ignore[method-assign]
    world.run(9.0)
    for gatekeeper in world.gatekeepers():
        for (name, where), units in sent.items():
            if where != gatekeeper.name:
                peer = gatekeeper.admission.accounts[name].peers[where]
                assert peer.sent == units and peer.sent_rate < 0.05
    configuration = world.gatekeepers()[0].configuration
    assert configuration is not None and len(sent) >= 30
    allowance = allowance_of(configuration.by_name["t0"], world.bounds)
    levels = [
        node.gatekeeper.quotas.granter.available_tokens(node.now(), "t0")
        for node in world.nodes
        if node.gatekeeper
    ]
    assert sum(levels) >= 0.95 * allowance.capacity - 1.0
    assert sorted(datagrams)[len(datagrams) // 2] < 400  # not thirty tenants in each
