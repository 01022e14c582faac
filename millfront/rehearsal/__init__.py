"""The rehearsal kit: real gatekeeper processes between stand-in peers, faults between them, verdicts from the
wire. It stands above the daemon and starts it as a process; the daemon never imports it.
"""
