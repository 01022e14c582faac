"""Member records of many processes and tenants in the simulated world: all members are known, and partial
totals add up."""

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


def test_a_region_larger_than_a_mesh_forwards_records_and_finds_nobody_unreachable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(gossip, "MAX_MESH", 6)
    monkeypatch.setattr(gossip, "VIEW_SIZE", 3)
    world = World(32, 4).start().run(12.0)
    world.loss = 0.02
    for _ in range(8):
        world.run(1.0)
        unreachable = [
            record
            for gatekeeper in world.gatekeepers()
            for record in gatekeeper.membership.records.values()
            if record.liveness is Liveness.UNREACHABLE
        ]
        assert not unreachable


def test_flushed_totals_reach_the_other_region_though_one_relay_is_dead() -> None:
    world = World().start().run(4.0)
    world.put(5, document(1, {"t": ["k"]}, rate=30.0))
    world.run(6.0)
    node = world.nodes[4]  # in region a
    gatekeeper = node.gatekeeper
    assert gatekeeper is not None and gatekeeper.configuration is not None
    in_other_region = [other for other in world.nodes if other.zone[0] == "b"]
    relays = owners(f"relay {node.name}", [other.name for other in in_other_region], RELAYS)
    next(other for other in in_other_region if other.name == relays[0]).kill()
    decisions: list[Decision] = []
    for _ in range(3):
        node.request("t", decisions.append)
    world.run(0.3)
    assert decisions == [ADMITTED] * 3
    gatekeeper.flush(node.now())
    world.run(0.12)
    for other in in_other_region:
        if other.gatekeeper is not None:
            assert other.gatekeeper.admission.accounts["t"].peers[node.name].sent == 3.0


def test_partial_totals_of_many_tenants_add_up_and_idle_ones_fade() -> None:
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
    sizes: list[int] = []
    send_datagram = world.nodes[0].send_datagram

    def counted(address: str, message: dict[str, Any]) -> None:
        sizes.append(len(json.dumps(message)))
        send_datagram(address, message)

    world.nodes[0].send_datagram = counted  # type: ignore[method-assign]
    world.run(9.0)
    for gatekeeper in world.gatekeepers():
        for (name, gatekeeper_name), units in sent.items():
            if gatekeeper_name != gatekeeper.name:
                peer = gatekeeper.admission.accounts[name].peers[gatekeeper_name]
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
    assert sorted(sizes)[len(sizes) // 2] < 400  # a record does not have all thirty tenants
