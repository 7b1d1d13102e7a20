"""Tests of the order in which requests get tokens of a limited pool."""

from contextlib import ExitStack

import pytest

from buckthornwall.pools.limit_queue import LEAST_URGENT_EVERY, LimitQueue


@pytest.fixture
def queue():
    return LimitQueue()


def test_the_most_urgent_goes_first_and_then_who_came_first(queue):
    with ExitStack() as stack:
        positions = [stack.enter_context(queue.join(rank)) for rank in (4, 1, 1)]
        assert [queue.is_next(position) for position in positions] == [
            False,
            True,
            False,
        ]
        assert queue.count_ahead(1) == 2
        assert queue.count_ahead(9) == 3
        assert queue.count_ahead(0) == 0


def test_who_leaves_no_longer_counts(queue):
    with queue.join(4) as routine:
        with queue.join(1):
            assert not queue.is_next(routine)
        assert queue.is_next(routine)


def test_no_rank_starves(queue):
    with queue.join(4) as routine:
        for _ in range(3 * LEAST_URGENT_EVERY):
            with queue.join(1) as urgent:
                assert queue.is_next(urgent) != queue.is_next(routine)
                queue.record_grant()
        with queue.join(1):
            granted = 0
            for _ in range(2 * LEAST_URGENT_EVERY):
                granted += queue.is_next(routine)
                queue.record_grant()
    assert granted == 2
