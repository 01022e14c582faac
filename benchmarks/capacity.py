"""What control costs by size, for docs/CAPACITY.md: slopes of hollow gatekeepers (benchmarks/hollow.py).

    python -m benchmarks.capacity roster 11x2 82x2 300x3        # processes x regions
    python -m benchmarks.capacity subscribers|changes|restarts|apart|tenants [SIZES]
    python -m benchmarks.capacity alone|document|delivery|accounts|servers|platform|disk [SIZES]

The parts of the second line play fleets, those of the third one (benchmarks/capacity_state.py) look at one
process. KB are 1,000 bytes, before the network's own; processor time is the process's, of one core; nobody
has requests where nothing is said of them. 2% of datagrams are lost.
"""

import math
import sys
from collections.abc import Callable, Sequence
from functools import partial

from benchmarks import capacity_state
from benchmarks.capacity_state import document
from benchmarks.hollow import Fleet, Meter, settled
from millfront.control.configuration import Tenant
from millfront.gatekeeper.directory import FRESH_S
from millfront.membership.record import Liveness

REST_S, MEASURED_S = 6.0, 10.0  # measured: whole times of the 5 s in which all greet the seeds
ROSTER = frozenset(("cards", "hello", "want"))
ASKS = frozenset(("ask", "newest"))


def straight(xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float]:
    """a and b of y = a + b x, by least squares.

    >>> straight([1, 2, 3], [3, 5, 7])
    (1.0, 2.0)
    """
    n, mean_x, mean_y = len(xs), sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    b = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / spread if n > 1 else 0.0
    return mean_y - b * mean_x, b


def power(xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float]:
    """c and k of y = c x**k, by least squares of the logarithms.

    >>> [round(part, 6) for part in power([1, 2, 4], [3, 12, 48])]
    [3.0, 2.0]
    """
    a, k = straight([math.log(x) for x in xs], [math.log(y) for y in ys])
    return math.exp(a), k


def fitted(what: str, xs: Sequence[float], ys: Sequence[float], at: float) -> None:
    """Print both fits, and where they lead at `at`."""
    if len(set(xs)) > 1 and min(ys) > 0.0:
        (a, b), (c, k) = straight(xs, ys), power(xs, ys)
        print(
            f"fit {what}: {a:.3g} + {b:.3g} n ({a + b * at:.4g} at {at:g}); "
            f"{c:.3g} n^{k:.2f} ({c * at**k:.4g} at {at:g})"
        )


def sized(words: list[str], otherwise: str) -> list[tuple[int, int]]:
    """`82x2`: processes and regions; `82`: two regions.

    >>> sized(["82", "300x13"], "")
    [(82, 2), (300, 13)]
    """
    parts = [word.partition("x") for word in words or otherwise.split()]
    return [(int(n), int(regions or 2)) for n, _, regions in parts]


def a_second(meters: list[Meter], way: str, kinds: frozenset[str] | None = None) -> tuple[float, float]:
    """Messages and KB a second, the mean of these."""
    told = [meter.total(way, kinds) for meter in meters]
    over = MEASURED_S * len(meters)
    return sum(count for count, _ in told) / over, sum(size for _, size in told) / over / 1000


def cpu(meters: list[Meter], *parts: str) -> float:
    """Milliseconds of processor time a second, the mean of these; of all parts, or of some."""
    took = sum(t for m in meters for part, t in m.cpu.items() if not parts or part.startswith(parts))
    return took / MEASURED_S / len(meters) * 1e3


def fleet(n: int, regions: int, disks: int = 4) -> Fleet:
    """n gatekeepers at rest, and one machine more that is not started."""
    made = Fleet(n + 1, min(disks, n), regions, 2 * regions, seed=n)
    return settled(made, document(0.002).text, but=1).run(REST_S)


def roles(made: Fleet) -> tuple[list[Meter], list[Meter], list[Meter]]:
    """Meters of two seeds (core members also), a core member that is no seed, and three plain ones."""
    live = [node.number for node in made.nodes if node.gatekeeper is not None]
    plain = [n for n in (made.disks, len(live) // 2, len(live) - 1) if n >= made.disks]
    found = [[made.nodes[n].measure() for n in numbers] for numbers in ([0, 1], [3], plain)]
    for meters in found:
        for meter in meters:
            meter.clear()
    return found[0], found[1], found[2]


def roster(words: list[str]) -> None:
    """Membership, with what else goes on at rest."""
    print("    n regions |  a plain one: letters/s out  in  cards/s in  KB/s out  in  ms/s  of it roster")
    print("              duties | a seed: KB/s out  ms/s | a core member: asks/s  KB/s out  ms/s")
    print(
        "              all know a new one, s | a dead one | longest datagram | % of its region's cards fresh"
    )
    rows: list[tuple[int, int, float, float, float, float]] = []
    for n, regions in sized(words, "11 30 82 200 300x3 300x4"):
        made = fleet(n, regions)
        seeds, core, plain = roles(made)
        made.run(MEASURED_S)
        out, came = a_second(plain, "out", ROSTER), a_second(plain, "in", ROSTER)
        records = sum(m.records["in"] for m in plain) / MEASURED_S / len(plain)
        total, part = cpu(plain), cpu(plain, "roster", "wire", "office")
        row = (a_second(plain, "out")[1], total, a_second(seeds, "out")[1], cpu(seeds))
        rows.append((n, regions, *row))
        longest, fresh = max(m.most for m in plain + seeds), 100.0 * _fresh(made)
        told = f"{n:5} {regions:4} | {out[0]:7.1f} {came[0]:7.1f} {records:8.0f} {row[0]:7.2f} "
        told += f"{a_second(plain, 'in')[1]:7.2f} {total:6.2f} {part:6.2f} {cpu(plain, 'duties'):6.2f} | "
        told += f"{row[2]:8.1f} {row[3]:7.1f} | {a_second(core, 'in', ASKS)[0]:6.1f} "
        told += f"{a_second(core, 'out')[1]:7.1f} {cpu(core):6.1f} | "
        print(told + f"{_join(made):.1f} {_loss(made):.1f} | {longest} | {fresh:.0f}", flush=True)
    for name, at in (("KB/s out", 2), ("ms/s", 3), ("a seed's KB/s out", 4), ("a seed's ms/s", 5)):
        fitted(name, [row[0] for row in rows], [row[at] for row in rows], 1200)


def _join(made: Fleet) -> float:
    """Until all know of a new process."""
    node = made.nodes[-1]
    node.start(False)

    def known() -> bool:
        records = [gatekeeper.membership.records.get(node.name) for gatekeeper in made.gatekeepers()]
        return all(record is not None and record.identity is not None for record in records)

    return made.until(known, 20.0)


def _fresh(made: Fleet) -> float:
    """Of the records of its own region the share that a directory would name, the mean of all."""
    shares = []
    for gatekeeper in made.gatekeepers():
        region = gatekeeper.settings.region
        records = [c for c in gatekeeper.membership.live(region) if c is not gatekeeper.membership.me]
        shares.append(
            sum(gatekeeper.membership.silent(made.now, c) < FRESH_S for c in records) / len(records)
        )
    return sum(shares) / len(shares)


def _loss(made: Fleet) -> float:
    """Until all take a dead one for lost."""
    node = made.nodes[-2]
    node.kill()
    name = node.name

    def lost() -> bool:
        return all(o.membership.records[name].liveness is Liveness.LOST for o in made.gatekeepers())

    return made.until(lost, 20.0)


def subscribers(words: list[str]) -> None:
    """Questions of subscribers at the replicas, by the size of the core."""
    print("    n core | asks/s at a keeper (mean, most)  KB/s in  out  µs an ask: keeper  with the wire")
    for disks in (4, 10):
        rows = []
        for n, regions in sized(words, "11 30 82 164"):
            made = fleet(n, regions, disks)
            meters = [made.nodes[number].measure() for number in range(disks)]
            for meter in meters:
                meter.clear()
            made.run(MEASURED_S)
            asks = [m.count["in ask"] / MEASURED_S for m in meters]
            rows.append((n, sum(asks) / disks))
            came, out = a_second(meters, "in", ASKS)[1], a_second(meters, "out", ASKS)[1]
            replica = sum(m.cpu["keeper"] for m in meters) / sum(m.count["in ask"] for m in meters) * 1e6
            wire = capacity_state.wire_us({"t": "ask", "r": "2 1234.5", "e": 2}, made.gatekeepers()[0])
            print(
                f"{n:5} {disks:4} | {sum(asks) / disks:6.1f} {max(asks):6.1f}  {came:6.2f} {out:6.2f}  "
                f"{replica:6.1f} {replica + wire:6.1f}",
                flush=True,
            )
        fitted(
            f"asks/s at a keeper of {disks}", [float(n) for n, _ in rows], [asks for _, asks in rows], 1200
        )


def changes(words: list[str]) -> None:
    """One version after the other, each with one route changed: what it costs, and when it is in force."""
    print(
        "    n  of the target's document | KB packed  KB/change out of the core, for each follower  fetches"
    )
    print("              in force everywhere, s (nothing is taken for the wires' and the processors' time)")
    for n, regions in sized(words, "11 30 82"):
        for share in (0.002, 0.02, 0.1):
            base = document(share)
            made = fleet(n, regions)
            made.put(1, base.at(2))
            made.run(3.0)
            meters = [made.nodes[number].measure() for number in range(made.disks)]
            for meter in meters:
                meter.clear()
            kinds = frozenset(("news", "found", "rest", "store"))
            lags = []
            for version in range(3, 8):
                made.put(n // 2, base.at(version))
                lags.append(made.until(partial(made.in_force, version), 9.0, 0.02))
                made.run(2.0)
            sent = sum(m.total("out", kinds)[1] for m in meters) / 5 / 1000
            fetches = sum(m.count["in fetch"] for m in meters) / 5
            print(
                f"{n:5} {share:6g} | {base.packed / 1000:7.1f} {sent:9.1f} {sent / (n - made.disks):7.2f} "
                f"{fetches:6.1f} | {max(lags):.2f}",
                flush=True,
            )


def restarts(words: list[str]) -> None:
    """One, a zone of twelve, or all restarted at once: what a seed and a core member bear above the rest."""
    print("    n  restarted | s to ready, all | in 10 s above rest: a seed's KB out, messages in, ms")
    print("               | a core member's KB out, asks | calls to the platform in these 10 s")
    for n, regions in sized(words, "30 82 200"):
        for what in ("one", "a zone", "all"):
            made = fleet(n, regions)
            seeds, core, _ = roles(made)
            made.run(MEASURED_S)
            rest = [_load(seeds), _load(core)]
            for meter in seeds + core:
                meter.clear()
            count = {"one": 1, "a zone": n // 12, "all": n}[what]
            polls, first = made.polls, n - count
            for node in made.nodes[first:n]:
                node.kill()
            made.run(0.5)
            for node in made.nodes[first:n]:
                node.start(False)
            took = made.until(made.ready, 9.0, 0.02)
            made.run(9.5 - took)
            now = [_load(seeds), _load(core)]
            seed, replica = (
                [x - 10.0 / MEASURED_S * y for x, y in zip(*pair, strict=True)]
                for pair in zip(now, rest, strict=True)
            )
            print(
                f"{n:5} {count:5} | {took:5.2f} | {seed[0]:8.1f} {seed[1]:7.0f} {seed[2]:7.0f} | "
                f"{replica[0]:7.1f} {replica[3]:6.0f} | {made.polls - polls}",
                flush=True,
            )


def _load(meters: list[Meter]) -> list[float]:
    """KB out, messages in, milliseconds and asks, the mean of these."""
    k = len(meters)
    return [
        sum(m.total("out")[1] for m in meters) / k / 1000,
        sum(m.total("in")[0] for m in meters) / k,
        sum(sum(m.cpu.values()) for m in meters) / k * 1e3,
        sum(m.count["in ask"] for m in meters) / k,
    ]


def apart(words: list[str]) -> None:
    """One region cut off for so long that the others are forgotten, and joined again."""
    print("    n regions | s until all know all | then a seed's KB/s out, ms/s (at rest) | ready while apart")
    for n, regions in sized(words, "30x3 82x2 82x4"):
        made = fleet(n, regions)
        seeds = roles(made)[0]
        made.run(MEASURED_S)
        rest, cost = a_second(seeds, "out")[1], cpu(seeds)
        made.cut = lambda a, b: (a.region == "r0") != (b.region == "r0")
        made.run(70.0)
        ready = [
            [o.ready(made.now) for o in made.gatekeepers() if (o.settings.region == "r0") is own]
            for own in (True, False)
        ]
        for meter in seeds:
            meter.clear()
        made.cut = lambda a, b: False
        took = made.until(made.whole, 60.0)
        share = MEASURED_S / max(took, 0.1)
        print(
            f"{n:5} {regions:4} | {took:5.1f} | {a_second(seeds, 'out')[1] * share:8.1f} "
            f"{cpu(seeds) * share:7.1f} ({rest:.1f} {cost:.1f}) | of it {sum(ready[0])} of {len(ready[0])}, "
            f"of the rest {sum(ready[1])} of {len(ready[1])}",
            flush=True,
        )


def tenants(words: list[str]) -> None:
    """Cards with totals: each process lets in 20 requests a second of so many tenants, drawn evenly."""
    print("    n tenants | a plain one: KB/s out  in  ms/s  of it tenants | longest datagram")
    for n, regions in sized(words, "11 30 82"):
        for count in (0, 50, 200, 800):
            made = fleet(n, regions)
            made.tenants = [
                Tenant(f"tenant{k:05}", frozenset([f"k{k}"]), None, 400.0, 400.0, frozenset())
                for k in range(count)
            ]
            made.rate = 20.0 if count else 0.0
            for gatekeeper in made.gatekeepers():
                assert gatekeeper.configuration is not None
                gatekeeper.configuration.__dict__["by_name"] = {
                    tenant.name: tenant for tenant in made.tenants
                }
            made.run(8.0)
            plain = roles(made)[2]
            made.run(MEASURED_S)
            print(
                f"{n:5} {count:5} | {a_second(plain, 'out')[1]:8.2f} {a_second(plain, 'in')[1]:8.2f} "
                f"{cpu(plain):7.1f} {cpu(plain, 'tenants'):7.1f} | {max(m.most for m in plain)}",
                flush=True,
            )


PARTS: dict[str, Callable[[list[str]], None]] = {
    "roster": roster,
    "followers": subscribers,
    "changes": changes,
    "restarts": restarts,
    "apart": apart,
    "tenants": tenants,
    **capacity_state.PARTS,
}


def main() -> None:
    if len(sys.argv) < 2 or sys.argv[1] not in PARTS:
        raise SystemExit(f"{__doc__}\nparts: {' '.join(PARTS)}")
    PARTS[sys.argv[1]](sys.argv[2:])


if __name__ == "__main__":
    main()
