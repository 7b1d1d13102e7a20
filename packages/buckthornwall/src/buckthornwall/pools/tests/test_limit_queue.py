"""Tests of the order in which waiting requests get tokens of a limited pool."""

from contextlib import ExitStack

import pytest

from buckthornwall.pools.limit_queue import LEAST_URGENT_EVERY, LimitQueue


@pytest.fixture
def queue():
    return LimitQueue()


def test_queue_is_ordered_by_rank_then_arrival(queue):
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


def test_request_that_leaves_the_queue_does_not_block_others(queue):
    with queue.join(4) as routine:
        with queue.join(1):
            assert not queue.is_next(routine)
        assert queue.is_next(routine)


def test_least_urgent_rank_does_not_starve(queue):
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
