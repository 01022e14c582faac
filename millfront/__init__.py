"""millfront: a quota-keeping HTTP gateway, round decisions that do no I/O."""
