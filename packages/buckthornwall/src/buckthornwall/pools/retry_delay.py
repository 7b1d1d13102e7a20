"""Decide when a request that was refused for overload should come back.

Those who are refused stand in a queue that nobody keeps: the pool serves them, when
they return, besides what keeps coming. Given the same time they would return as one
burst, so each gets a time of its own within it.
"""

import math

from buckthornwall.utils import hash_fraction

__all__ = ["retry_delay_s"]

# Sooner a client would meet the same requests ahead of it.
MIN_DELAY_S = 0.1
# Clients heed a delay of up to this share of the time that they have left.
MAX_TIME_LEFT_SHARE = 1 / 3
# The delays of those who are refused at one moment are spread over this share before
# and after the expected time.
SPREAD_SHARE = 0.5
# Clients that do not say how long they wait are told no more than this.
MAX_DELAY_S = 2.0


def retry_delay_s(
    expected_s: float, key: str, time_left_s: float, needed_s: float
) -> float:
    """Return after how many seconds a refused request should be sent again.

    Parameters
    ----------
    expected_s
        When room is expected, in seconds from now.
    key
        Of the request; delays are spread by its hash.
    time_left_s
        How long its client still waits, in seconds; infinite if that is not known.
    needed_s
        How long it takes to serve without a wait, in seconds. A client that returns
        later than that before its deadline would return in vain.
    """
    limit_s = min(
        MAX_DELAY_S,
        MAX_TIME_LEFT_SHARE * max(0.0, time_left_s),
        max(0.0, time_left_s - needed_s),
    )
    if not math.isfinite(expected_s):
        expected_s = MAX_DELAY_S
    # Where the limit cuts the expected time, the spread stays.
    latest_s = min(limit_s, max(MIN_DELAY_S, expected_s) * (1 + SPREAD_SHARE))
    earliest_s = latest_s * (1 - SPREAD_SHARE) / (1 + SPREAD_SHARE)
    return earliest_s + hash_fraction(key) * (latest_s - earliest_s)
