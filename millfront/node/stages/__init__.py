"""The way of a request: take in, admit, route, send, relay, book."""
