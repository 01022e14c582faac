"""The data plane: admission, choice of a server, retries, and the proxy that runs them on the event loop."""
