"""Tests of the order in which requests get tokens of a limited pool."""

from contextlib import ExitStack

import pytest

from buckthornwall.pools.limit_queue import FLOOR_EVERY, LimitQueue


@pytest.fixture
def queue():
    return LimitQueue()


def test_the_most_urgent_goes_first_and_then_who_came_first(queue):
    with ExitStack() as stack:
        places = [stack.enter_context(queue.join(rank)) for rank in (4, 1, 1)]
        assert [queue.is_next(place) for place in places] == [False, True, False]
        assert queue.count_before(1) == 2
        assert queue.count_before(9) == 3
        assert queue.count_before(0) == 0


def test_who_leaves_no_longer_counts(queue):
    with queue.join(4) as routine:
        with queue.join(1):
            assert not queue.is_next(routine)
        assert queue.is_next(routine)


def test_no_rank_starves(queue):
    with queue.join(4) as routine:
        for _ in range(3 * FLOOR_EVERY):
            with queue.join(1) as urgent:
                assert queue.is_next(urgent) != queue.is_next(routine)
                queue.record_given()
        with queue.join(1):
            given = 0
            for _ in range(2 * FLOOR_EVERY):
                given += queue.is_next(routine)
                queue.record_given()
    assert given == 2
