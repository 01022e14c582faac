"""The rules that contradict neither of two versions of a class or a plan: what a gatekeeper acts on while
it can't tell whether the fleet has come over to its version (docs/design/agreement.md). No I/O.

Each field goes the way that both versions allow: a quota or a ceiling the tighter, a repeat the stricter,
a window the shorter, a group the narrower. Whatever the one version allows and the other forbids is
forbidden meanwhile, so that a gatekeeper on either version would have done the same or more.
"""

from dataclasses import replace

from millfront import interface as api
from millfront.node.retune import allowed_by_both

STRICTNESS = {api.Repeat.SAFE: 0, api.Repeat.KEYED: 1, api.Repeat.UNSAFE: 2}
NARROWNESS = {api.Group.ALL: 0, api.Group.ZONE: 1, api.Group.CELL: 2}


def _least(one: float, other: float) -> float:
    """Of two limits where 0 means none: the one that holds."""
    if not one or not other:
        return one or other
    return min(one, other)


def plan(one: api.Plan, other: api.Plan) -> api.Plan:
    """A customer's quota and ceiling as both versions allow them. Worth and prices are the newer's: they
    weigh what is let in and never let in more."""
    return replace(
        other,
        rate=min(one.rate, other.rate),
        burst=min(one.burst, other.burst),
        open_limit=int(_least(one.open_limit, other.open_limit)),
        ceiling_rate=_least(one.ceiling_rate, other.ceiling_rate),
        ceiling_burst=(
            min(one.ceiling_burst, other.ceiling_burst)
            if one.ceiling_rate and other.ceiling_rate
            else (one.ceiling_burst if one.ceiling_rate else other.ceiling_burst)
        ),
        ceiling_slack=(
            min(one.ceiling_slack, other.ceiling_slack)
            if one.ceiling_rate and other.ceiling_rate
            else (one.ceiling_slack if one.ceiling_rate else other.ceiling_slack)
        ),
    )


def request_class(one: api.RequestClass, other: api.RequestClass) -> api.RequestClass:
    """A class whose repeat changed: the stricter repeat, the shorter window, the narrower group. Its times
    are the newer's; a deadline only says how long a client waits."""
    return replace(
        other,
        repeat=max(one.repeat, other.repeat, key=STRICTNESS.__getitem__),
        group=max(one.group, other.group, key=NARROWNESS.__getitem__),
        window_us=min(one.window_us, other.window_us),
    )


def rules(one: api.Rules, other: api.Rules) -> api.Rules:
    """The drain sooner, a cold member taken as colder for longer, a fall feared earlier."""
    return api.Rules(
        drain_grace_us=min(one.drain_grace_us, other.drain_grace_us),
        cold_from=min(one.cold_from, other.cold_from),
        ramp_us=max(one.ramp_us, other.ramp_us),
        fall_multiple=min(one.fall_multiple, other.fall_multiple),
        fall_us=min(one.fall_us, other.fall_us),
    )


def settings(
    one: api.Settings, other: api.Settings, classes: dict[int, int], plans: dict[int, int]
) -> api.Settings:
    """`other` (the newer) with every class and plan that both versions name made safe for both.

    :param classes: place in `other` to place in `one`, of each class named in both; those named in one
        version alone keep their own rules: a client can name them only under that one
    :param plans: the same for plans
    """
    merged_classes = list(other.classes)
    for place, before in classes.items():
        merged_classes[place] = request_class(one.classes[before], other.classes[place])
    merged_plans = list(other.plans)
    for place, before in plans.items():
        merged_plans[place] = plan(one.plans[before], other.plans[place])
    return replace(
        other,
        classes=tuple(merged_classes),
        plans=tuple(merged_plans),
        allowed=allowed_by_both(one.allowed, other.allowed),
        rules=rules(one.rules, other.rules),
    )
