"""Tests of the return of memory to the system."""

import pytest

from buckthornwall.capacity import FreedMemory, MemoryBudget
from buckthornwall.capacity.freed_memory import MIN_FREED_BYTES


@pytest.mark.parametrize(("held", "times"), [(MIN_FREED_BYTES, 1), (1000, 0)])
def test_memory_is_released_once_after_much_was_freed(clock, held, times):
    budget = MemoryBudget(10 * MIN_FREED_BYTES, clock)
    releases = []
    freed = FreedMemory(budget, lambda: releases.append(1) is None)
    holding = budget.hold()
    holding.resize(held)
    freed.review()
    assert not releases
    holding.close()
    for _ in range(3):
        freed.review()
    assert len(releases) == times
