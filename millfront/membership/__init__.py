"""Group membership: gossip, failure detection and ownership by key. Pure."""
