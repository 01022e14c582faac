"""Relay: the final response to the client, a pool member's unchanged or one of the gateway's own."""

from millfront.node.http import Fields, Message, end_to_end_fields


def served(response: Message) -> Message:
    fields = end_to_end_fields(response)
    return Message(response.start, fields, fields, response.body)


def rejected(retry_after_us: int) -> Message:
    """A rejection: the client may safely repeat the request. Without Retry-After if that is 0."""
    fields: Fields = [(b"Retry-After", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us > 0 else []
    return own_response(503, b"refused: try again later\n", fields)


def failed() -> Message:
    return own_response(502, b"failed\n")


def own_response(status: int, text: bytes, more: Fields | None = None) -> Message:
    fields = [(b"Content-Type", b"text/plain"), *(more or [])]
    return Message(status, fields, fields, text)
