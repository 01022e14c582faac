"""millfront: a quota-keeping HTTP gateway, round decisions that do no I/O."""

VERSION = "0.2.0"  # as in pyproject.toml
