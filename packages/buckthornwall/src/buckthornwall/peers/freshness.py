"""Merges of the newest state and of the age of the last read of the store."""

from collections.abc import Iterable

from buckthornwall.utils import add_counts

from .messages import Beacon, Digest, Heartbeat
from .received_message import ReceivedMessage

__all__ = [
    "StateKey",
    "current_era",
    "freshness",
    "merge_newer_revision",
    "merge_read_age",
    "uptime_ms",
]

MS_PER_S = 1000.0
# The store's era, the number of the configuration, the revision of the newest change,
# and that up to which all removals are in force.
StateKey = tuple[int, int, int, int]


def current_era(messages: Iterable[Beacon | Digest]) -> int:
    """Return the latest era of the store that any of the messages names."""
    return max(each.store_era for each in messages)


def freshness(message: Beacon | Digest | Heartbeat, era: int) -> StateKey:
    """Return the key by which the states of instances are ordered.

    The era of the store comes first: an instance in a later era has the state of a read
    after the store returned from an older copy. An instance of an earlier build reports
    no era and is assumed to be in the current one, `era`. Removals come last: those
    that are seen as missing records, or deferred, do not follow from the newest change.
    """
    return (
        message.store_era or era,
        message.config_number,
        message.change_revision,
        message.removal_revision,
    )


def merge_newer_revision(
    target: Digest | Heartbeat, source: Digest | Heartbeat
) -> None:
    """Copy a newer state, and the peer that has it, into `target`."""
    era = max(source.store_era, target.store_era)
    if freshness(source, era) > freshness(target, era):
        target.store_era = source.store_era
        target.config_number = source.config_number
        target.change_revision = source.change_revision
        target.removal_revision = source.removal_revision
        target.state_checksum = source.state_checksum
        target.freshest_peer = source.freshest_peer


def merge_read_age(heartbeat: Heartbeat, received: ReceivedMessage, now: float) -> None:
    """Lower the read age to that of another instance, aged since it was sent."""
    elapsed_ms = int((now - received.sent_at) * MS_PER_S)
    age_ms = add_counts(received.message.read_age_ms, elapsed_ms)
    heartbeat.read_age_ms = min(heartbeat.read_age_ms, age_ms)


def uptime_ms(message: Beacon | Digest, era: int) -> int:
    """Return the store's uptime, 0 as reported by an instance of a former era."""
    return 0 if 0 < message.store_era < era else message.store_uptime_ms
