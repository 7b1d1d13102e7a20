"""The last message of a sender, and when it came."""

from dataclasses import dataclass, field

from buckthornwall.utils import UpstreamId

from .messages import Beacon, Digest

__all__ = ["Received"]


@dataclass(slots=True)
class Received:
    """What was last heard of an instance.

    Silence counts from `at`; the message itself is of `told_at`. `names` are the
    upstreams of a digest in its order, by which heartbeats tell counts.
    """

    message: Beacon | Digest
    at: float
    told_at: float
    names: list[UpstreamId] = field(default_factory=list)

    @classmethod
    def digest(cls, digest: Digest, at: float) -> "Received":
        """Return a digest that was told at a time."""
        return cls(digest, at, at, list(digest.loads))
