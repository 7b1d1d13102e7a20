"""What a server reads, and its limits."""

from dataclasses import dataclass

__all__ = ["IncomingRequest", "ServerLimits"]


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on what a client may send, in bytes, and how slowly, in seconds."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


@dataclass(slots=True)
class IncomingRequest:
    """A request that was read completely; header names are in lower case."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    received_at: float
