"""millfront: the decisions of a quota-keeping gateway, as a library without I/O."""
