"""Real processes on real sockets under overlapping faults, for many seeds, with the invariants checked.

    python -m benchmarks.soak                       # 5 seeds of 90 s each
    python -m benchmarks.soak --seeds 20 --first 100 --seconds 30
    python -m benchmarks.soak --many --seeds 2      # as many processes as fit in half of the memory
    python -m benchmarks.soak --small               # one seed of a minute, as in CI

Eight gatekeepers, four of them with a disk, in two regions, with a relay on each link between them
(`millfront/rehearsal/links.py`). The faults of `faults.py` overlap, alone and in series: kills, lost disks,
long absences, frozen processes, cut links, lost answers, SIGTERM, SIGHUP, restarts, full disks, loss of all
power at once. Meanwhile clients repeat orders with operation keys, keep connections in use until their
process is gone, and query the directory; tenants with limits send bursts to all processes, and many times
their limit, while limits change (`quotas.py`); servers are replaced; an operator changes the configuration
and evacuates zones (`clients.py`). At the end one disk is lost and all machines lose power. Prints one line
per seed; exit code 1: a check failed. Times are seconds.

A kill keeps written but unsynced data in the kernel; disks that lose such data are simulated in
`tests/system_world.py`.
"""
