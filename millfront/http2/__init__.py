"""HTTP/2 without TLS (RFC 9113), served by the same host, stages and rules as HTTP/1.1."""
