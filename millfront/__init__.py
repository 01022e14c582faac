"""millfront: an HTTP gateway that enforces quotas, built around decisions that do no I/O."""

VERSION = "0.2.0"  # as in pyproject.toml
