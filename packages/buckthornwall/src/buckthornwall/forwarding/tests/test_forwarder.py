"""Tests of attempts: what is repeated, what is not, and what the caller is told."""

import json

from loguru import logger

from buckthornwall.forwarding import (
    forwarder,
)
from buckthornwall.forwarding.liveness import LivenessChecks
from buckthornwall.quarantine import QuarantineTable

from .helpers import MISDIRECTED, NOT_RUN, POOL, whole


async def test_a_whole_reply_passes_unchanged(forward):
    answer = await forward([whole()])
    assert (answer.status, answer.body) == (200, b"ok")


async def test_what_was_not_run_goes_to_another_upstream(forward):
    answer = await forward([NOT_RUN], [whole()], retryable=False)
    assert answer.status == 200
    assert forward.arrivals() == [1, 1]


async def test_an_unreachable_upstream_costs_no_retry(forward):
    answer = await forward("127.0.0.1:1", [whole()], retryable=False, reserve=0.0)
    assert answer.status == 200


async def test_a_call_that_may_have_run_is_not_repeated(forward):
    answer = await forward([None], [whole()], retryable=False)
    assert (answer.status, answer.run) == (502, "unknown")
    assert forward.arrivals() == [1, 0]


async def test_a_repeatable_call_is_repeated_elsewhere(forward):
    answer = await forward([None], [whole()])
    assert answer.status == 200
    assert forward.arrivals() == [1, 1]


async def test_a_call_runs_no_more_often_than_its_route_allows(forward):
    answer = await forward([None], [None], [whole()], max_runs=2)
    assert answer.status == 502
    assert forward.arrivals() == [1, 1, 0]


async def test_a_spent_budget_ends_repeating(forward):
    answer = await forward([None], [None], [None], [whole()], max_runs=9, reserve=2.5)
    assert answer.status == 502
    assert sum(forward.arrivals()) == 3


async def test_an_address_that_another_upstream_has_now_is_left_and_told_of(forward):
    """It answered, so each instance tried it for its next requests too.

    An engine had crashed, its address was another's, and the list lagged: 304 of the
    most urgent streams were answered 421 in seconds, and 128 of them refused with 503
    after one attempt, since that spent the repeats (code=3001 detail=421 tried=1).
    """
    answer = await forward([MISDIRECTED], [whole()], retryable=False)
    assert answer.status == 200
    assert forward.pools.unreachable() == ["u0"]
    assert [view.id for view in forward.pools.usable(POOL, set())] == ["u1"]


async def test_nobody_who_runs_it_means_not_run_and_when_to_come_back(forward):
    answer = await forward([NOT_RUN], [NOT_RUN], retryable=False)
    assert (answer.status, answer.run) == (503, "no")
    assert float(answer.headers[b"Retry-After"]) > 0


async def test_not_run_is_never_said_after_an_attempt_that_may_have_run(forward):
    answer = await forward([None], [NOT_RUN])
    assert (answer.status, answer.run) == (502, "unknown")


async def test_the_last_failure_of_an_upstream_passes_unchanged(forward):
    answer = await forward([whole(500, b"why")], [whole(500, b"again")], max_runs=2)
    assert (answer.status, answer.body) == (500, b"again")


async def test_a_failure_passes_even_when_no_time_is_left(forward, monkeypatch):
    monkeypatch.setattr(forwarder, "MIN_REMAINING_S", 60.0)
    answer = await forward([whole(504, b"late")], [whole()])
    assert (answer.status, answer.body) == (504, b"late")
    assert forward.arrivals() == [1, 0]


async def test_a_success_that_is_not_signed_is_not_passed_on(forward):
    unsigned = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"
    answer = await forward([unsigned], [whole()])
    assert (answer.status, answer.body) == (200, b"ok")


async def test_a_reply_to_another_request_is_not_passed_on(forward):
    answer = await forward([whole(body=b"theirs", request="other") + whole()])
    assert answer.body == b"ok"


async def test_a_reply_cut_short_is_not_passed_on(forward):
    answer = await forward([whole()[:-1], b""], [whole()], max_runs=1)
    assert answer.status in (502, 504)


async def test_the_time_left_shrinks_from_attempt_to_attempt(forward):
    slow = [0.15, None]
    await forward(slow, [whole()], client_timeout_s=1.0)
    first, second = (
        int(forward.requests[address][0].split(b"x-left: ")[1].split(b"\r\n")[0])
        for address in forward.addresses
    )
    assert first <= 1000
    assert second <= first - 140


async def test_a_caller_is_answered_at_its_routes_timeout(forward):
    answer = await forward([5.0, whole()], retryable=False, timeout_s=0.2)
    assert (answer.status, answer.run) == (504, "unknown")


async def test_a_silent_upstream_is_given_up_in_time_for_another(forward):
    answer = await forward([5.0, whole()], [whole()], timeout_s=1.0)
    assert answer.status == 200


async def test_each_decision_about_a_request_is_a_line_with_its_id(forward):
    lines = []
    logger.remove()
    handler = logger.add(lambda text: lines.append(str(text)), format="{message}")
    await forward([None], [whole()])
    logger.remove(handler)
    own = [line for line in lines if " request=r " in line]
    assert [line.split()[0] for line in own] == [
        "event=request_placed",
        "event=attempt_failed",
        "event=request_placed",
        "event=request_finished",
    ]
    for field in ("rank=", "in_flight=", "report_age_ms=", "remaining_ms="):
        assert field in own[0]
    for field in ("end=broken", "detail=", "upstream=u0", "upstream_ended=False"):
        assert field in own[1]
    for field in ("outcome=answered", "number=1", "arrivals=2", "upstream=u1"):
        assert field in own[3]
    assert len({line.split("fingerprint=")[1].split()[0] for line in own}) == 1


async def test_a_request_that_crashes_upstreams_is_refused_as_not_run(
    forward, monkeypatch
):
    """Engines ended one after the other, since nothing knew the request again."""
    monkeypatch.setattr(QuarantineTable, "is_refused", lambda *arguments: True)
    monkeypatch.setattr(QuarantineTable, "record_refused", lambda *arguments: None)
    monkeypatch.setattr(QuarantineTable, "crashes", lambda *arguments: 3)
    answer = await forward([whole()], retryable=False)
    assert (answer.status, answer.run) == (503, "no")
    assert json.loads(answer.body)["code"] == 2007
    assert float(answer.headers[b"Retry-After"]) == 600
    assert forward.arrivals() == [0]


async def test_a_request_that_crashes_upstreams_ends_its_own_repeats(
    forward, monkeypatch
):
    """Its first attempt may have run, so it is not told that it was not run."""

    async def has_ended(self, entry):
        return True

    monkeypatch.setattr(LivenessChecks, "has_ended", has_ended)
    answer = await forward([None], [None], [None], [whole()], max_runs=9)
    assert (answer.status, answer.run) == (502, "unknown")
    assert json.loads(answer.body)["code"] == 2007
    assert forward.arrivals() == [1, 1, 1, 0]


async def test_a_connection_that_broke_off_counts_against_no_request(forward):
    answer = await forward([None], [None], [None], [whole()], max_runs=9)
    assert answer.status == 200
    assert not forward.quarantine.records


async def test_what_an_upstream_takes_in_a_second_is_not_exceeded(forward):
    """Nothing was read of a limit, and each instance sent as before."""
    answer = await forward([whole()], limit_per_s=1.0)
    assert (answer.status, answer.run) == (503, "no")
    assert json.loads(answer.body)["code"] == 2008
    assert float(answer.headers[b"Retry-After"]) > 0
    assert forward.arrivals() == [0]


async def test_a_repeat_does_not_go_to_an_upstream_that_takes_no_more(forward):
    answer = await forward([None], [whole()], limit_per_s=1.0, limited="u1")
    assert (answer.status, answer.run) == (502, "unknown")
    assert forward.arrivals() == [1, 0]


async def test_an_upstream_that_names_a_limit_is_known_by_its_answer(forward):
    await forward([whole(extra=b"X-Limit: 2.5\r\n")])
    assert forward.pools.views["u0"].rate_limit.per_s == 2.5


async def test_a_limit_named_at_an_address_of_another_upstream_is_not_its(forward):
    misdirected = MISDIRECTED.replace(b"X-Not-Run", b"X-Limit: 2.5\r\nX-Not-Run")
    await forward([misdirected], [whole()])
    assert not forward.pools.views["u0"].rate_limit.advertises_limit


async def test_a_request_waits_for_a_token_that_comes_soon(forward):
    answer = await forward([whole()], limit_per_s=40.0, local_per_s=40.0)
    assert answer.status == 200


async def test_a_request_does_not_wait_for_a_token_that_comes_too_late(forward):
    answer = await forward([whole()], limit_per_s=1.0, local_per_s=1.0)
    assert json.loads(answer.body)["code"] == 2008
    assert 1.0 <= float(answer.headers[b"Retry-After"]) <= 2.0
