"""Tests of the account of the bytes held for clients, and of who gives way."""

import pytest

from buckthornwall.capacity import MemoryBudget, MemoryFull
from buckthornwall.capacity.memory_budget import SMALL_BYTES

LIMIT = 32 * 2**20
LARGE = 5 * 2**20


@pytest.fixture
def budget(clock):
    return MemoryBudget(LIMIT, clock)


@pytest.fixture
def begin(budget):
    """Return a function that adds an unfinished request, which notes its end."""
    ended = []

    def begin(size):
        holding = budget.hold()
        holding.resize(size)

        def give_way():
            ended.append(holding)
            holding.charge(0)

        holding.begin_unfinished(give_way)
        return holding

    begin.ended = ended
    return begin


def test_bytes_are_charged_and_released(budget):
    one, other = budget.hold(), budget.hold()
    one.resize(1000)
    other.resize(500)
    one.resize(200)
    assert (budget.used_bytes, budget.peak_bytes) == (700, 1500)
    one.close()
    other.close()
    assert budget.used_bytes == 0


def test_largest_request_that_was_silent_longest_gives_way(budget, begin, clock):
    holdings = []
    for size in (LARGE, LARGE, SMALL_BYTES, LARGE):
        holdings.append(begin(size))
        clock.time += 1.0
    holdings[0].record_progress()
    budget.hold().resize(LARGE)
    assert begin.ended == [holdings[1]]
    assert budget.evicted == 1


def test_request_without_progress_is_refused_itself(budget, begin, clock):
    mine = begin(SMALL_BYTES)
    clock.time += 1.0
    others = [begin(LARGE) for _ in range(3)]
    with pytest.raises(MemoryFull):
        mine.resize(LARGE + SMALL_BYTES)
    assert not begin.ended
    assert mine.size == SMALL_BYTES
    assert budget.used_bytes == sum(each.size for each in (mine, *others))


def test_complete_requests_never_give_way(budget, begin):
    complete = [begin(LARGE) for _ in range(4)]
    for holding in complete:
        holding.end_unfinished()
    with pytest.raises(MemoryFull):
        begin(LARGE)
    assert not begin.ended
    assert budget.refused == 1


def test_small_requests_and_replies_find_room_beside_large_requests(budget):
    for _ in range(4):
        budget.hold().resize(LARGE)
    for _ in range(50):
        budget.hold().resize(SMALL_BYTES)
    budget.hold(is_reply=True).resize(LARGE)
    with pytest.raises(MemoryFull):
        budget.hold(is_reply=True).resize(2 * LARGE)


def test_nobody_gives_way_in_vain(budget, begin):
    """Unfinished requests stay if their end would not make enough room."""
    budget.hold().resize(4 * LARGE)
    begin(SMALL_BYTES)
    with pytest.raises(MemoryFull):
        budget.hold().resize(LARGE)
    assert not begin.ended


def test_what_cannot_be_refused_is_charged_over_the_limit(budget):
    holding = budget.hold()
    holding.charge(2 * LIMIT)
    assert budget.used_bytes == 2 * LIMIT
    with pytest.raises(MemoryFull):
        budget.hold().resize(1)


def test_end_of_a_request_leaves_no_reference_to_its_owner(budget, begin):
    """Otherwise its body stays until the next garbage collection."""
    holding = begin(LARGE)
    holding.close()
    assert holding.on_evicted.__closure__ is None
    assert (budget.used_bytes, budget.unfinished_bytes) == (0, 0)
