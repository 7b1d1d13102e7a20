"""Types of bounded numbers in messages.

Numbers of any size can be encoded, but arithmetic on larger ones may fail or be wrong.
"""

from typing import Annotated

import msgspec

__all__ = ["MAX_COUNT", "Count", "Revision", "Weight", "add_counts"]

# Integers up to here are exact as floating-point numbers.
MAX_COUNT = 2**53
MAX_REVISION = 2**63 - 1
MAX_WEIGHT = 1e12

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=MAX_WEIGHT)]


def add_counts(*counts: int) -> int:
    """Return the sum of counts, or the largest count that a message may state."""
    return min(MAX_COUNT, sum(counts))
