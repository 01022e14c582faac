"""Clients of operation keys in simulated fleets: a claim is made and waited for as the proxy does it."""

from collections.abc import Generator
from typing import Any

from millfront.operations.claims import DecisionCallback, PendingClaim
from millfront.operations.messages import operation_id
from tests.system_world import Node, World, document

WIDEN_S, EXPIRE_S = 0.1, 0.26
LONGEST_RUNNING_S = 4.0
Process = Generator[Any, Any, None]


def world_in_service(n: int, disks: int, seed: int, spares: int = 0) -> World:
    """A fleet that has agreed to its first core and has a configuration."""
    world = World(n, disks, seed, spares=spares).start().run(6.0)
    world.put(5, document(1))
    return world.run(3.0)


def begin_claim(world: World, node: Node, key: str, on_decision: DecisionCallback) -> PendingClaim | None:
    """Claim a key at a node that runs; the claim ends with its process."""
    gatekeeper, incarnation = node.gatekeeper, node.incarnation
    assert gatekeeper is not None
    gatekeeper.now = node.now()
    claims = gatekeeper.operations.claims

    def wait(claim: PendingClaim) -> Process:
        yield world.env.timeout(WIDEN_S)
        if node.incarnation == incarnation:
            claims.widen(claim)
        yield world.env.timeout(EXPIRE_S - WIDEN_S)
        if node.incarnation == incarnation:
            claims.expire(claim)

    pending = claims.begin(operation_id("t", key), LONGEST_RUNNING_S, on_decision)
    if pending is not None:
        world.env.process(wait(pending))
    return pending
