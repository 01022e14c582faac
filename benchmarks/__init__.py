"""Long measurements, run by hand; the tests use their rigs with smaller numbers."""

import os

PARALLEL_PLAYS = max(1, (os.cpu_count() or 2) - 2)  # processes; two cores stay free for the machine
