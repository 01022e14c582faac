"""Which processes there are: gossip, failure detection and duties by key. Pure."""
