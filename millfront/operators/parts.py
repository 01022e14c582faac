"""Adds the parts that the operators' file enables to a node; modules of other parts are not imported."""

from millfront.node.service import Node
from millfront.operators.document import Operators


def add_parts(node: Node, options: Operators) -> None:
    """Adds parts in their start order: the ledger before whatever serves requests, the admin API last."""
    admin = None
    if options.admin is not None:
        from millfront.operators.admin import Admin

        admin = Admin(node, options.admin)
    if options.usage is not None:
        from millfront.usage.part import UsagePart

        usage = UsagePart(node, options.usage)
        node.parts.add(usage)
        if admin is not None:
            admin.add_status("usage", usage.status)
    if options.plans is not None:
        from millfront.plans.api import PlansApi
        from millfront.plans.part import LivePlans

        plans = LivePlans(node, options.plans)
        node.parts.add(plans)
        if admin is not None:
            admin.add_status("plans", plans.status)
            PlansApi(plans).add_routes(admin)
    if options.agreement is not None:
        from millfront.agreement.part import AgreementPart

        agreeing = AgreementPart(node, options.agreement)
        node.parts.add(agreeing)
        if admin is not None:
            admin.add_status("agreement", agreeing.status)
    if options.http2 is not None:
        from millfront.http2.part import Http2Part

        front = Http2Part(node, options.http2)
        node.parts.add(front)
        if admin is not None:
            admin.add_status("http2", front.status)
    if admin is not None:
        node.parts.add(admin)
