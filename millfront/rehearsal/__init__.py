"""The rehearsal kit: starts real gatekeeper processes between stand-in peers, injects faults on the links and
judges the run by what the stand-ins received. It runs the daemon as a process; the daemon never imports it.
"""
