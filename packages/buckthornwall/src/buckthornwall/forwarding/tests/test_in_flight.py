"""Tests of the limit on requests in flight to one pool."""

import pytest

from buckthornwall.codes import Executed, Refusal
from buckthornwall.forwarding.in_flight import InFlightLimit
from buckthornwall.routing import PoolId

SLOW, OTHER = PoolId("slow"), PoolId("other")


def test_requests_that_waited_for_one_pool_took_the_room_of_all():
    limit = InFlightLimit()
    limit.most_per_pool = 1
    with limit.take(SLOW):
        with pytest.raises(Refusal) as refused:
            limit.take(SLOW)
        with limit.take(OTHER):
            pass
    assert refused.value.run is Executed.NO
    assert refused.value.retry_after_s > 0
    with limit.take(SLOW):
        pass
    assert limit.refused == 1
