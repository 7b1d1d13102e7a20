"""The last message of a sender, and when it came."""

from dataclasses import dataclass, field

from buckthornwall.utils import UpstreamId

from .messages import Beacon, Digest

__all__ = ["ReceivedMessage"]


@dataclass(slots=True)
class ReceivedMessage:
    """What was last heard of an instance.

    Silence counts from `last_seen_at`; the message itself is of `sent_at`. `upstreams`
    are the upstreams of a digest in its order, by which heartbeats tell counts.
    """

    message: Beacon | Digest
    last_seen_at: float
    sent_at: float
    upstreams: list[UpstreamId] = field(default_factory=list)

    @classmethod
    def from_digest(cls, digest: Digest, sent_at: float) -> "ReceivedMessage":
        """Return a digest that was told at `sent_at`."""
        return cls(digest, sent_at, sent_at, list(digest.loads))
