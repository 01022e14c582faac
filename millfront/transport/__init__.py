"""Held connections and datagrams between the system's own processes."""
