"""Merges of the newest revision and of the age of the last read of the store."""

from .messages import Digest, Heartbeat
from .received_message import ReceivedMessage

__all__ = ["merge_newer_revision", "merge_read_age"]

MS_PER_S = 1000.0


def merge_newer_revision(
    target: Digest | Heartbeat, source: Digest | Heartbeat
) -> None:
    """Copy a newer revision, and the peer that has it, into `target`."""
    if (source.config_number, source.change_revision) > (
        target.config_number,
        target.change_revision,
    ):
        target.config_number = source.config_number
        target.change_revision = source.change_revision
        target.freshest_peer = source.freshest_peer


def merge_read_age(heartbeat: Heartbeat, received: ReceivedMessage, now: float) -> None:
    """Lower the read age to that of another instance, aged since it was sent."""
    age_ms = received.message.read_age_ms + int((now - received.sent_at) * MS_PER_S)
    heartbeat.read_age_ms = min(heartbeat.read_age_ms, age_ms)
