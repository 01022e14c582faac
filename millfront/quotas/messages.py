"""What processes say to one another of tokens. No I/O, no clock.

A request and its answer are one datagram each, JSON as all messages of the system's own; either may be lost.
"""

from dataclasses import dataclass
from typing import Any

Message = dict[str, Any]
REQUEST, REPLY = "tokens?", "tokens"


class MessageError(Exception):
    """A message can't be read."""


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Asks for up to ``tokens`` of a tenant. ``ref`` comes back with the answer.

    >>> TokenRequest.from_wire(TokenRequest(7, "t", 2.0).to_wire())
    TokenRequest(request_id=7, tenant='t', tokens=2.0)
    """

    request_id: int
    tenant: str
    tokens: float

    def to_wire(self) -> Message:
        """As it is sent."""
        return {"t": REQUEST, "r": self.request_id, "k": self.tenant, "n": self.tokens}

    @classmethod
    def from_wire(cls, message: Message) -> "TokenRequest":
        """:raises MessageError: it can't be read"""
        match message:
            case {"r": int(request_id), "k": str(tenant), "n": int() | float() as tokens} if tokens > 0.0:
                return cls(request_id, tenant, float(tokens))
        raise MessageError("no request for tokens")


@dataclass(frozen=True, slots=True)
class TokenReply:
    """Grants ``tokens``; ``after_s``: when more may be had, seconds. ``available``: false where the one that
    was asked grants nothing at all now (no lease, no share, no such tenant)."""

    request_id: int
    tokens: float
    retry_after_s: float
    available: bool = True

    def to_wire(self) -> Message:
        """As it is sent."""
        return {
            "t": REPLY,
            "r": self.request_id,
            "n": self.tokens,
            "a": round(self.retry_after_s, 3),
            "u": not self.available,
        }

    @classmethod
    def from_wire(cls, message: Message) -> "TokenReply":
        """:raises MessageError: it can't be read"""
        match message:
            case {
                "r": int(request_id),
                "n": int() | float() as tokens,
                "a": int() | float() as retry_after_s,
                "u": bool(unavailable),
            }:
                return cls(request_id, float(tokens), float(retry_after_s), not unavailable)
        raise MessageError("no answer to a request for tokens")
