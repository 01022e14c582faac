"""From the operators' file to the parts of a node: what is not named there is not imported."""

from millfront.node.service import Node
from millfront.operators.document import Operators


def put(node: Node, told: Operators) -> None:
    """In the order of their start: the ledger before what serves, the admin API last."""
    admin = None
    if told.admin is not None:
        from millfront.operators.admin import Admin

        admin = Admin(node, told.admin)
    if told.usage is not None:
        from millfront.usage.part import UsagePart

        usage = UsagePart(node, told.usage)
        node.parts.add(usage)
        if admin is not None:
            admin.says("usage", usage.status)
    if told.plans is not None:
        from millfront.plans.api import PlansApi
        from millfront.plans.part import LivePlans

        plans = LivePlans(node, told.plans)
        node.parts.add(plans)
        if admin is not None:
            admin.says("plans", plans.status)
            PlansApi(plans).at(admin)
    if told.agreement is not None:
        from millfront.agreement.part import AgreementPart

        agreeing = AgreementPart(node, told.agreement)
        node.parts.add(agreeing)
        if admin is not None:
            admin.says("agreement", agreeing.status)
    if told.http2 is not None:
        from millfront.http2.part import Http2Part

        front = Http2Part(node, told.http2)
        node.parts.add(front)
        if admin is not None:
            admin.says("http2", front.status)
    if admin is not None:
        node.parts.add(admin)
