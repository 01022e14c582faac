"""Messages by which processes request and grant tokens. No I/O, no clock.

A request and its reply are one JSON datagram each, like all internal messages; either may be lost.
"""

from dataclasses import dataclass
from typing import Any

Message = dict[str, Any]
REQUEST, REPLY = "tokens?", "tokens"


class MessageError(Exception):
    """A message has missing or invalid fields."""


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Requests up to ``tokens`` of a tenant. The reply repeats ``request_id``.

    >>> TokenRequest.from_wire(TokenRequest(7, "t", 2.0).to_wire())
    TokenRequest(request_id=7, tenant='t', tokens=2.0)
    """

    request_id: int
    tenant: str
    tokens: float

    def to_wire(self) -> Message:
        """The message as sent."""
        return {"t": REQUEST, "r": self.request_id, "k": self.tenant, "n": self.tokens}

    @classmethod
    def from_wire(cls, message: Message) -> "TokenRequest":
        """:raises MessageError: a field is missing or invalid"""
        match message:
            case {"r": int(request_id), "k": str(tenant), "n": int() | float() as tokens} if tokens > 0.0:
                return cls(request_id, tenant, float(tokens))
        raise MessageError("token request: expected r (int), k (string) and n (number above 0)")


@dataclass(frozen=True, slots=True)
class TokenReply:
    """Grants ``tokens``; ``retry_after_s``: seconds until more may be available. ``available``: false if the
    granter can't grant anything now (no lease, no share or no such tenant)."""

    request_id: int
    tokens: float
    retry_after_s: float
    available: bool = True

    def to_wire(self) -> Message:
        """The message as sent."""
        return {
            "t": REPLY,
            "r": self.request_id,
            "n": self.tokens,
            "a": round(self.retry_after_s, 3),
            "u": not self.available,
        }

    @classmethod
    def from_wire(cls, message: Message) -> "TokenReply":
        """:raises MessageError: a field is missing or invalid"""
        match message:
            case {
                "r": int(request_id),
                "n": int() | float() as tokens,
                "a": int() | float() as retry_after_s,
                "u": bool(unavailable),
            }:
                return cls(request_id, float(tokens), float(retry_after_s), not unavailable)
        raise MessageError("token reply: expected r (int), n and a (numbers) and u (boolean)")
