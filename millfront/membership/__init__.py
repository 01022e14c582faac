"""Which processes there are: gossip, failure detection and ownership by key. Pure."""
