"""What an instance that has just started waits for before it serves.

Whether it reads the store itself or leaves that to a peer, and how long it holds the
requests that arrive meanwhile.

If all instances start at once, each with a read of everything, the link of the store
and those of small instances take longer for it than all else that a start needs, and
the speakers, whose views the others may take, get theirs as late as anyone.
"""

from dataclasses import dataclass

__all__ = [
    "HOLD_REVIEW_S",
    "MAX_SEARCH_S",
    "MAX_SPEAKER_READ_S",
    "FirstRead",
    "is_left_to_peers",
    "max_hold_s",
]

# An instance looks for a speaker this long before its first read: three rounds of
# lookups, since seeds that start at the same time may miss the first one.
MAX_SEARCH_S = 0.16
# A speaker that has not read the store this long after the start of this instance is
# not waited for. Callers whose targets are shortest still wait as long for a response.
MAX_SPEAKER_READ_S = 0.4
# How long a request is held while other instances serve: a refused caller reaches one
# of them, after the wait that it is told.
MAX_HOLD_S = 0.25
# The same while no other instance is known to serve: a refused caller would come back
# this long after its arrival, to another one that does not serve either.
MAX_HOLD_ALONE_S = 0.75
# Share of its time that a request is held at most; the rest is left to be served in.
MAX_HOLD_SHARE = 0.5
# Interval at which the limit is decided anew, as peers begin to serve.
HOLD_REVIEW_S = 0.05


@dataclass(frozen=True, slots=True)
class FirstRead:
    """What an instance knows before its first read.

    Attributes
    ----------
    age_s : float
        Seconds since the instance started.
    has_state : bool
        Whether it has read the store or taken a view already.
    has_seeds : bool
        Whether its settings name any other instance.
    is_speaker : bool
        Whether it is the speaker of its zone as far as it knows.
    """

    age_s: float
    has_state: bool
    has_seeds: bool
    is_speaker: bool


def is_left_to_peers(known: FirstRead) -> bool:
    """Return whether to wait for a peer's view instead of reading the store now."""
    if known.has_state or not known.has_seeds:
        return False
    limit_s = MAX_SEARCH_S if known.is_speaker else MAX_SPEAKER_READ_S
    return known.age_s < limit_s


def max_hold_s(serving_peers: int, client_timeout_s: float | None) -> float:
    """Return how long a request is held for the first configuration, in seconds.

    Parameters
    ----------
    serving_peers
        Other instances that are known to serve.
    client_timeout_s
        How long its client waits for a response; None if it does not say.
    """
    limit_s = MAX_HOLD_S if serving_peers else MAX_HOLD_ALONE_S
    if client_timeout_s is None:
        return limit_s
    return min(limit_s, MAX_HOLD_SHARE * client_timeout_s)
