"""The gateway as a process: sockets, timers and clocks around the decision module."""
