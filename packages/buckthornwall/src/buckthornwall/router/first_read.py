"""What an instance that has just started waits for before it serves.

Whether it reads the store itself or leaves that to a peer, and how long it holds the
requests that arrive meanwhile.

If all instances start at once, each with a read of everything, the link of the store
and those of small instances take longer for it than all else that a start needs, and
the speakers, whose views the others may take, get theirs as late as anyone.
"""

from dataclasses import dataclass

from buckthornwall.peers import PeerSettings

__all__ = [
    "HOLD_REVIEW_S",
    "MAX_LONE_SEARCH_S",
    "MAX_SEARCH_S",
    "MAX_SPEAKER_READ_S",
    "FirstRead",
    "has_other_seeds",
    "is_left_to_peers",
    "max_hold_s",
]

# An instance that others ask, or that knows any, looks for a speaker this long before
# its first read: three rounds of lookups.
MAX_SEARCH_S = 0.16
# The same for one that knows nobody yet: its seeds may be the last to start, and a read
# that it begins holds up the view of a peer on a slow link until it has arrived.
MAX_LONE_SEARCH_S = 0.4
# A speaker that has not read the store this long after the start of this instance is
# not waited for. With it, a start still takes less than a request is held.
MAX_SPEAKER_READ_S = 0.55
# How long a request is held while most other instances serve: a refused caller reaches
# one of them, after the wait that it is told.
MAX_HOLD_S = 0.25
# The same while most do not: a refused caller would come back this long after its
# arrival, probably to another one that does not serve either.
MAX_HOLD_ALONE_S = 0.75
# Share of the known instances that serve from which on a caller probably reaches one.
MOST_SHARE = 0.5
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
    knows_peers : bool
        Whether another instance of its zone is known.
    is_speaker : bool
        Whether it is the speaker of its zone as far as it knows.
    """

    age_s: float
    has_state: bool
    has_seeds: bool
    knows_peers: bool
    is_speaker: bool


def has_other_seeds(settings: PeerSettings) -> bool:
    """Return whether the settings name another instance to contact."""
    local_ip = settings.listen.rpartition(":")[0]
    return any(seed.partition(":")[0] != local_ip for seed in settings.seeds)


def is_left_to_peers(known: FirstRead) -> bool:
    """Return whether to wait for a peer's view instead of reading the store now."""
    if known.has_state or not known.has_seeds:
        return False
    if not known.is_speaker:
        return known.age_s < MAX_SPEAKER_READ_S
    limit_s = MAX_SEARCH_S if known.knows_peers else MAX_LONE_SEARCH_S
    return known.age_s < limit_s


def max_hold_s(serving: int, known: int, client_timeout_s: float | None) -> float:
    """Return how long a request is held for the first configuration, in seconds.

    Parameters
    ----------
    serving, known
        How many instances are known to serve, and how many are known at all.
    client_timeout_s
        How long its client waits for a response; None if it does not say.
    """
    is_alone = not serving or serving < MOST_SHARE * known
    limit_s = MAX_HOLD_ALONE_S if is_alone else MAX_HOLD_S
    if client_timeout_s is None:
        return limit_s
    return min(limit_s, MAX_HOLD_SHARE * client_timeout_s)
