"""Types of bounded numbers in messages.

Numbers of any size can be encoded, but arithmetic on larger ones may fail or be wrong.
"""

from typing import Annotated

import msgspec

__all__ = ["Count", "Revision", "Weight"]

# Integers up to here are exact as floating-point numbers.
MAX_COUNT = 2**53
MAX_REVISION = 2**63 - 1
MAX_WEIGHT = 1e12

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=MAX_WEIGHT)]
