"""Merges two versions of the settings into interim ones that contradict neither. A gatekeeper acts on these
while it can't tell whether all others have adopted its version (docs/design/agreement.md). No I/O.

Each field takes the value that both versions allow: the tighter quota or ceiling, the stricter repeat rule,
the shorter window, the narrower group. What one version allows and the other forbids is forbidden meanwhile,
so that a gatekeeper on either version would have done the same or more.
"""

from dataclasses import replace

from millfront import interface as api
from millfront.node.retune import allowed_by_both

STRICTNESS = {api.Repeat.SAFE: 0, api.Repeat.KEYED: 1, api.Repeat.UNSAFE: 2}
NARROWNESS = {api.Group.ALL: 0, api.Group.ZONE: 1, api.Group.CELL: 2}


def _tighter_limit(one: float, other: float) -> float:
    """The lower of two limits, where 0 means no limit."""
    if not one or not other:
        return one or other
    return min(one, other)


def merge_plan(older: api.Plan, newer: api.Plan) -> api.Plan:
    """A customer's quota and ceiling as both versions allow them. Worth and prices are those of the newer:
    they weigh admitted requests and never admit more."""
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
    """The stricter repeat rule, the shorter window and the narrower group of two versions of a class. The
    times are those of the newer, since a deadline only says how long a client waits."""
    return replace(
        newer,
        repeat=max(older.repeat, newer.repeat, key=STRICTNESS.__getitem__),
        group=max(older.group, newer.group, key=NARROWNESS.__getitem__),
        window_us=min(older.window_us, newer.window_us),
    )


def merge_rules(older: api.Rules, newer: api.Rules) -> api.Rules:
    """The shorter drain grace, the lower and longer cold start, and the lower limits of a fall."""
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
    """The newer settings, with every class and plan that both versions name restricted to what both allow.

    :param classes: index in `newer` to index in `older`, of each class named in both; those named in one
        version alone keep their own rules, since a client can name them only under that version
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
