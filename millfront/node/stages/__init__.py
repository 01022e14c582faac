"""The stages of a request: parse, admit, route, send, relay, record."""
