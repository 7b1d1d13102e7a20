"""The last message of a peer, and when it was received."""

from dataclasses import dataclass, field

from buckthornwall.utils import UpstreamId

from .messages import Beacon, Digest, Heartbeat

__all__ = ["ReceivedMessage"]


@dataclass(slots=True)
class ReceivedMessage:
    """The last beacon or digest of a peer.

    Attributes
    ----------
    last_seen_at
        When the peer was last known to be live; it is lost after a silence from then.
    sent_at
        When the message was sent, or last updated by a heartbeat.
    upstreams
        Upstreams of a digest in its order, to which packed heartbeats refer.
    """

    message: Beacon | Digest
    last_seen_at: float
    sent_at: float
    upstreams: list[UpstreamId] = field(default_factory=list)

    @classmethod
    def from_digest(cls, digest: Digest, sent_at: float) -> "ReceivedMessage":
        """Return the record of a digest that was sent at `sent_at`."""
        return cls(digest, sent_at, sent_at, list(digest.loads))

    def update(self, heartbeat: Heartbeat, now: float) -> None:
        """Replace what every heartbeat of the sender of this digest states anew."""
        self.last_seen_at = self.sent_at = now
        self.message.read_age_ms = heartbeat.read_age_ms
        self.message.store_uptime_ms = heartbeat.store_uptime_ms
        self.message.limits = heartbeat.limits
        self.message.leaving = heartbeat.leaving
        self.message.isolated = heartbeat.isolated
        self.message.relays = heartbeat.relays
        self.message.brittle = heartbeat.brittle
        self.message.limit_users = heartbeat.limit_users
        self.message.ceding = heartbeat.ceding
