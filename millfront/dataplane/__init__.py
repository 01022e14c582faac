"""A request's way: admission, the choice of a server, retries and the proxy that ties them to the loop."""
