"""The real gatekeeper: sockets, timers and clocks round the decision module."""
