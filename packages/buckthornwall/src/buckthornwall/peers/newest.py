"""What is newest of two words, and how long ago the store was read."""

from .messages import Digest, Heartbeat
from .received import Received

__all__ = ["take_newer", "take_read_age"]

MS_PER_S = 1000.0


def take_newer(known: Digest | Heartbeat, told: Digest | Heartbeat) -> None:
    """Put what is newest, and who has it, into what is known."""
    if (told.number, told.change_revision) > (known.number, known.change_revision):
        known.number = told.number
        known.change_revision = told.change_revision
        known.freshest_peer = told.freshest_peer


def take_read_age(heartbeat: Heartbeat, heard: Received, now: float) -> None:
    """Let a reading of the store count that another instance told of."""
    told_ms = heard.message.read_age_ms + int((now - heard.told_at) * MS_PER_S)
    heartbeat.read_age_ms = min(heartbeat.read_age_ms, told_ms)
