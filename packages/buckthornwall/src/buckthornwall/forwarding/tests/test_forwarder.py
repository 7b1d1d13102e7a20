"""Tests of attempts: which are retried, and what the client receives."""

import json

from loguru import logger

from buckthornwall.forwarding import (
    forwarder,
)
from buckthornwall.forwarding.liveness import LivenessChecks
from buckthornwall.quarantine import QuarantineTable

from .helpers import MISDIRECTED, NOT_RUN, POOL, reply


async def test_complete_reply_is_forwarded_unchanged(forward):
    answer = await forward([reply()])
    assert (answer.status, answer.body) == (200, b"ok")


async def test_request_that_was_not_run_goes_to_another_upstream(forward):
    answer = await forward([NOT_RUN], [reply()], retryable=False)
    assert answer.status == 200
    assert forward.arrivals() == [1, 1]


async def test_unreachable_upstream_costs_no_retry(forward):
    answer = await forward("127.0.0.1:1", [reply()], retryable=False, reserve=0.0)
    assert answer.status == 200


async def test_non_retryable_request_that_may_have_run_is_not_retried(forward):
    answer = await forward([None], [reply()], retryable=False)
    assert (answer.status, answer.run) == (502, "unknown")
    assert forward.arrivals() == [1, 0]


async def test_retryable_request_is_retried_elsewhere(forward):
    answer = await forward([None], [reply()])
    assert answer.status == 200
    assert forward.arrivals() == [1, 1]


async def test_request_runs_no_more_often_than_route_allows(forward):
    answer = await forward([None], [None], [reply()], max_runs=2)
    assert answer.status == 502
    assert forward.arrivals() == [1, 1, 0]


async def test_spent_budget_ends_retries(forward):
    answer = await forward([None], [None], [None], [reply()], max_runs=9, reserve=2.5)
    assert answer.status == 502
    assert sum(forward.arrivals()) == 3


async def test_misdirected_upstream_is_unreachable_for_all_instances(forward):
    """An address that another upstream has taken over still answers, with 421.

    Unless it counts as unreachable, each instance keeps trying it while the upstream
    list lags after a crash, and spends its retries: 304 of the most urgent streams got
    421 in seconds, and 128 of them a 503 after one attempt (code=3001 detail=421
    tried=1).
    """
    answer = await forward([MISDIRECTED], [reply()], retryable=False)
    assert answer.status == 200
    assert forward.pools.unreachable() == ["u0"]
    assert [view.id for view in forward.pools.usable(POOL, set())] == ["u1"]


async def test_refusal_by_all_upstreams_states_not_run_and_retry_after(forward):
    answer = await forward([NOT_RUN], [NOT_RUN], retryable=False)
    assert (answer.status, answer.run) == (503, "no")
    assert float(answer.headers[b"Retry-After"]) > 0


async def test_refusal_after_possible_run_does_not_state_not_run(forward):
    answer = await forward([None], [NOT_RUN])
    assert (answer.status, answer.run) == (502, "unknown")


async def test_last_upstream_failure_is_forwarded_unchanged(forward):
    answer = await forward([reply(500, b"why")], [reply(500, b"again")], max_runs=2)
    assert (answer.status, answer.body) == (500, b"again")


async def test_upstream_failure_is_forwarded_when_no_time_is_left(forward, monkeypatch):
    monkeypatch.setattr(forwarder, "MIN_REMAINING_S", 60.0)
    answer = await forward([reply(504, b"late")], [reply()])
    assert (answer.status, answer.body) == (504, b"late")
    assert forward.arrivals() == [1, 0]


async def test_unsigned_success_is_not_forwarded(forward):
    unsigned = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"
    answer = await forward([unsigned], [reply()])
    assert (answer.status, answer.body) == (200, b"ok")


async def test_reply_to_another_request_is_not_forwarded(forward):
    answer = await forward([reply(body=b"theirs", request="other") + reply()])
    assert answer.body == b"ok"


async def test_truncated_reply_is_not_forwarded(forward):
    answer = await forward([reply()[:-1], b""], [reply()], max_runs=1)
    assert answer.status in (502, 504)


async def test_remaining_time_shrinks_with_each_attempt(forward):
    slow = [0.15, None]
    await forward(slow, [reply()], client_timeout_s=1.0)
    first, second = (
        int(forward.requests[address][0].split(b"x-left: ")[1].split(b"\r\n")[0])
        for address in forward.addresses
    )
    assert first <= 1000
    assert second <= first - 140


async def test_client_is_answered_at_route_timeout(forward):
    answer = await forward([5.0, reply()], retryable=False, timeout_s=0.2)
    assert (answer.status, answer.run) == (504, "unknown")


async def test_silent_upstream_is_given_up_in_time_for_another(forward):
    answer = await forward([5.0, reply()], [reply()], timeout_s=1.0)
    assert answer.status == 200


async def test_slow_upstream_is_waited_for_while_no_retry_is_left(forward):
    answer = await forward([1.1, reply()], [reply()], timeout_s=2.0, has_retries=False)
    assert answer.status == 200


async def test_each_decision_about_request_is_logged_with_its_id(forward):
    lines = []
    logger.remove()
    handler = logger.add(lambda text: lines.append(str(text)), format="{message}")
    await forward([None], [reply()])
    logger.remove(handler)
    request_lines = [line for line in lines if " request=r " in line]
    assert [line.split()[0] for line in request_lines] == [
        "event=request_placed",
        "event=attempt_failed",
        "event=request_placed",
        "event=request_finished",
    ]
    for field in ("rank=", "in_flight=", "report_age_ms=", "remaining_ms="):
        assert field in request_lines[0]
    for field in ("end=broken", "detail=", "upstream=u0", "upstream_ended=False"):
        assert field in request_lines[1]
    for field in ("outcome=answered", "number=1", "arrivals=2", "upstream=u1"):
        assert field in request_lines[3]
    assert (
        len({line.split("fingerprint=")[1].split()[0] for line in request_lines}) == 1
    )


async def test_quarantined_request_is_refused_as_not_run(forward, monkeypatch):
    """Without recognition of the request, it crashes one engine after the other."""
    monkeypatch.setattr(QuarantineTable, "is_refused", lambda *arguments: True)
    monkeypatch.setattr(QuarantineTable, "record_refused", lambda *arguments: None)
    monkeypatch.setattr(QuarantineTable, "crashes", lambda *arguments: 3)
    answer = await forward([reply()], retryable=False)
    assert (answer.status, answer.run) == (503, "no")
    assert json.loads(answer.body)["code"] == 2007
    assert float(answer.headers[b"Retry-After"]) == 600
    assert forward.arrivals() == [0]


async def test_request_that_crashes_upstreams_ends_its_own_retries(
    forward, monkeypatch
):
    """Its first attempt may have run, so the refusal must not state "not run"."""

    async def has_ended(self, entry):
        return True

    monkeypatch.setattr(LivenessChecks, "has_ended", has_ended)
    answer = await forward([None], [None], [None], [reply()], max_runs=9)
    assert (answer.status, answer.run) == (502, "unknown")
    assert json.loads(answer.body)["code"] == 2007
    assert forward.arrivals() == [1, 1, 1, 0]


async def test_lost_connection_counts_against_no_request(forward):
    answer = await forward([None], [None], [None], [reply()], max_runs=9)
    assert answer.status == 200
    assert not forward.quarantine.records


async def test_rate_limit_of_upstream_is_not_exceeded(forward):
    """A limit that is not read lets each instance send as before."""
    answer = await forward([reply()], limit_per_s=1.0)
    assert (answer.status, answer.run) == (503, "no")
    assert json.loads(answer.body)["code"] == 2008
    assert float(answer.headers[b"Retry-After"]) > 0
    assert forward.arrivals() == [0]


async def test_retry_does_not_go_to_upstream_at_rate_limit(forward):
    answer = await forward([None], [reply()], limit_per_s=1.0, limited="u1")
    assert (answer.status, answer.run) == (502, "unknown")
    assert forward.arrivals() == [1, 0]


async def test_rate_limit_is_learned_from_reply(forward):
    await forward([reply(extra=b"X-Limit: 2.5\r\n")])
    assert forward.pools.views["u0"].rate_limit.per_s == 2.5


async def test_rate_limit_in_misdirected_reply_is_ignored(forward):
    misdirected = MISDIRECTED.replace(b"X-Not-Run", b"X-Limit: 2.5\r\nX-Not-Run")
    await forward([misdirected], [reply()])
    assert not forward.pools.views["u0"].rate_limit.advertises_limit


async def test_request_waits_for_token_that_comes_soon(forward):
    answer = await forward([reply()], limit_per_s=40.0, local_per_s=40.0)
    assert answer.status == 200


async def test_request_does_not_wait_for_token_that_comes_too_late(forward):
    answer = await forward([reply()], limit_per_s=1.0, local_per_s=1.0)
    assert json.loads(answer.body)["code"] == 2008
    assert 1.0 <= float(answer.headers[b"Retry-After"]) <= 2.0
