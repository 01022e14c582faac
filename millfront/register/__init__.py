"""The quorum register that control state stands on: replicas, coordinators, recovery and reconfiguration.

Pure: no I/O and no clock.
"""
