"""The quorum register that stores the control state: replicas, coordinators, recovery and reconfiguration.

No I/O and no clock.
"""
