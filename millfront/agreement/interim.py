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


def _tighter_limit(one: float, other: float) -> float:
    """Of two limits where 0 means none: the one that holds."""
    if not one or not other:
        return one or other
    return min(one, other)


def merge_plan(older: api.Plan, newer: api.Plan) -> api.Plan:
    """A customer's quota and ceiling as both versions allow them. Worth and prices are the newer's: they
    weigh what is let in and never let in more."""
    return replace(
        newer,
        rate=min(older.rate, newer.rate),
        burst=min(older.burst, newer.burst),
        open_limit=int(_tighter_limit(older.open_limit, newer.open_limit)),
        ceiling_rate=_tighter_limit(older.ceiling_rate, newer.ceiling_rate),
        ceiling_burst=(
            min(older.ceiling_burst, newer.ceiling_burst)
            if older.ceiling_rate and newer.ceiling_rate
            else (older.ceiling_burst if older.ceiling_rate else newer.ceiling_burst)
        ),
        ceiling_slack=(
            min(older.ceiling_slack, newer.ceiling_slack)
            if older.ceiling_rate and newer.ceiling_rate
            else (older.ceiling_slack if older.ceiling_rate else newer.ceiling_slack)
        ),
    )


def merge_request_class(older: api.RequestClass, newer: api.RequestClass) -> api.RequestClass:
    """A class whose repeat changed: the stricter repeat, the shorter window, the narrower group. Its times
    are the newer's; a deadline only says how long a client waits."""
    return replace(
        newer,
        repeat=max(older.repeat, newer.repeat, key=STRICTNESS.__getitem__),
        group=max(older.group, newer.group, key=NARROWNESS.__getitem__),
        window_us=min(older.window_us, newer.window_us),
    )


def merge_rules(older: api.Rules, newer: api.Rules) -> api.Rules:
    """The drain sooner, a cold member taken as colder for longer, a fall feared earlier."""
    return api.Rules(
        drain_grace_us=min(older.drain_grace_us, newer.drain_grace_us),
        cold_from=min(older.cold_from, newer.cold_from),
        ramp_us=max(older.ramp_us, newer.ramp_us),
        fall_multiple=min(older.fall_multiple, newer.fall_multiple),
        fall_us=min(older.fall_us, newer.fall_us),
    )


def merge_settings(
    older: api.Settings, newer: api.Settings, classes: dict[int, int], plans: dict[int, int]
) -> api.Settings:
    """`other` (the newer) with every class and plan that both versions name made safe for both.

    :param classes: place in `other` to place in `one`, of each class named in both; those named in one
        version alone keep their own rules: a client can name them only under that one
    :param plans: the same for plans
    """
    merged_classes = list(newer.classes)
    for index, older_index in classes.items():
        merged_classes[index] = merge_request_class(older.classes[older_index], newer.classes[index])
    merged_plans = list(newer.plans)
    for index, older_index in plans.items():
        merged_plans[index] = merge_plan(older.plans[older_index], newer.plans[index])
    return replace(
        newer,
        classes=tuple(merged_classes),
        plans=tuple(merged_plans),
        allowed=allowed_by_both(older.allowed, newer.allowed),
        rules=merge_rules(older.rules, newer.rules),
    )
