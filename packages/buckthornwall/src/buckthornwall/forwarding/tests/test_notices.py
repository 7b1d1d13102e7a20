"""Tests of attempts at upstreams that leave, or ask for a rest."""

import pytest

from buckthornwall.forwarding.connections import ConnectionCache
from buckthornwall.forwarding.liveness import LivenessChecks
from buckthornwall.pools import Notice
from buckthornwall.routing import ResponseMode

from .helpers import MISDIRECTED, NOT_RUN, POOL, RESTING, reply, stream

LEAVING = b"X-Leaving: 1\r\n"


def usable(forward):
    return [view.id for view in forward.pools.usable(POOL, set())]


async def test_answer_of_a_leaving_upstream_is_delivered_and_is_its_last(forward):
    answer = await forward([reply(extra=LEAVING)], [reply()])
    assert (answer.status, answer.body) == (200, b"ok")
    assert usable(forward) == ["u1"]


async def test_request_turned_away_with_a_rest_is_served_elsewhere(forward):
    answer = await forward([RESTING], [reply()], retryable=False)
    assert answer.status == 200
    assert usable(forward) == ["u1"]


async def test_rest_does_not_count_as_a_failure(forward):
    """The upstream says when it returns; an ejection would keep it out for longer."""
    await forward([RESTING], [reply()])
    health = forward.pools.views["u0"].health
    assert not health.results
    assert not health.ejected


async def test_client_is_told_when_the_rest_of_all_upstreams_ends(forward):
    answer = await forward([RESTING], [RESTING], retryable=False)
    assert (answer.status, answer.run) == (503, "no")
    assert b'"code": 2011' in answer.body
    assert 2.8 < float(answer.headers[b"Retry-After"]) < 3.4


async def test_upstream_that_sheds_without_a_rest_stays_usable(forward):
    await forward([NOT_RUN], [reply()])
    assert usable(forward) == ["u0", "u1"]


@pytest.mark.parametrize("retryable", [True, False])
async def test_request_is_withheld_if_a_notice_arrives_during_the_connect(
    forward, monkeypatch, retryable
):
    acquire = ConnectionCache.acquire

    async def acquire_slowly(cache, upstream, address, max_idle_s):
        connection = await acquire(cache, upstream, address, max_idle_s)
        forward.pools.views["u0"].notices.record_leaving()
        return connection

    monkeypatch.setattr(ConnectionCache, "acquire", acquire_slowly)
    answer = await forward([reply()], [reply()], retryable=retryable, reserve=0.0)
    assert answer.status == 200
    assert forward.arrivals() == [0, 1]
    assert not forward.pools.views["u0"].health.results


async def test_upstream_that_ends_after_its_notice_has_not_crashed(
    forward, monkeypatch
):
    async def has_ended(checks, entry):
        forward.pools.views["u0"].notices.record_leaving()
        return True

    monkeypatch.setattr(LivenessChecks, "has_ended", has_ended)
    await forward([None], [reply()])
    assert not forward.quarantine.records


STREAM = {"response_mode": ResponseMode.EVENT_STREAM}


@pytest.mark.parametrize(
    ("first", "last", "more"),
    [
        pytest.param([None], [reply()], {}, id="retry after a possible run"),
        pytest.param([NOT_RUN], [reply()], {"retryable": False}, id="not run"),
        pytest.param([stream(1, end=False), None], [stream(2)], STREAM, id="resumed"),
    ],
)
@pytest.mark.parametrize("rest_s", [None, 30.0])
async def test_next_attempt_avoids_an_upstream_with_a_notice(
    forward, monkeypatch, first, last, more, rest_s
):
    """The notice arrives while the first attempt is under way."""
    acquire = ConnectionCache.acquire

    async def acquire_and_notify(cache, upstream, address, max_idle_s):
        pools = forward.pools
        pools.notices.record(pools.views["u1"], Notice(rest_s is None, rest_s))
        return await acquire(cache, upstream, address, max_idle_s)

    monkeypatch.setattr(ConnectionCache, "acquire", acquire_and_notify)
    answer = await forward(first, [reply()], last, **more)
    assert answer.status == 200
    assert forward.arrivals() == [1, 0, 1]


async def test_notice_of_another_upstream_at_the_address_is_ignored(forward):
    misdirected = MISDIRECTED.replace(b"Content", b"X-Leaving: 1\r\nContent")
    await forward([misdirected], [reply()])
    assert not forward.pools.views["u0"].is_leaving


@pytest.mark.parametrize("status", [200, 404, 500])
async def test_leaving_is_recorded_from_a_response_of_any_status(forward, status):
    await forward([reply(status, extra=LEAVING)], [reply()], max_runs=1)
    assert usable(forward) == ["u1"]
