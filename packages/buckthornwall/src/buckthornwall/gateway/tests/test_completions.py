"""Tests of attempts of completions and of request body checks."""

from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornwall.admission import Admission, AdmittedRequest
from buckthornwall.codes import Executed, Refusal, ResultCode, UpstreamError
from buckthornwall.gateway.completion_response import CompletionResponse
from buckthornwall.gateway.completions import CompletionHandler
from buckthornwall.gateway.job import CHAT_PATH, CompletionJob, check_body
from buckthornwall.links import ReleaseKind
from buckthornwall.scheduling.entry import HeldSlot
from buckthornwall.telemetry import Metrics
from buckthornwall.upstreams import RetryBudget

SENT = UpstreamError(ResultCode.UPSTREAM_BROKEN)
UNSENT = UpstreamError(ResultCode.UPSTREAM_UNREACHABLE, sent=False)
REJECTED = UpstreamError(ResultCode.UPSTREAM_REJECTED, sent=False)


@pytest.fixture
def job(store):
    view = store.view
    admitted = AdmittedRequest(
        view.teams["one"], view.routes["m"], view.classes["urgent"]
    )
    body = {"model": "m", "messages": [{"role": "user", "content": "x"}]}
    return CompletionJob(
        CHAT_PATH, body, admitted, CompletionResponse(None, True), 0.0, None, 0, 1
    )


@pytest.fixture
def run(job, store):
    """Return a function that runs a job whose attempts fail with the given errors."""

    async def run(*failures, retries=10):
        handler = CompletionHandler(
            Admission(store),
            None,
            None,
            None,
            RetryBudget(0.0, retries),
            Metrics(),
            None,
            None,
            None,
            0.0,
            None,
            lambda engine: 0.0,
        )
        remaining_failures = list(failures)

        async def acquire_slot(job, excluded):
            return HeldSlot(1, "e1", None, "a", False, 0.0)

        async def attempt(job, slot):
            if remaining_failures:
                raise remaining_failures.pop(0)
            job.response.finished = True

        handler._acquire_slot = acquire_slot
        handler._attempt = attempt
        await handler._run_attempts(job)
        return job

    return run


async def test_failed_attempt_is_retried(run):
    assert (await run(SENT, UNSENT)).response.finished


@pytest.mark.parametrize(
    ("failures", "expected"),
    [
        ((UNSENT, UNSENT), Executed.NO),
        ((SENT, UNSENT), Executed.UNKNOWN),
        ((UNSENT, SENT), Executed.UNKNOWN),
    ],
)
async def test_not_executed_is_reported_only_if_no_attempt_was_sent(
    run, failures, expected
):
    with pytest.raises(Refusal) as caught:
        await run(*failures, retries=1)
    assert caught.value.run is expected


async def test_request_rejected_by_engine_is_not_retried(run):
    with pytest.raises(Refusal) as caught:
        await run(REJECTED)
    assert caught.value.code is ResultCode.UPSTREAM_REJECTED


async def test_response_that_cannot_be_resumed_is_not_restarted(run, job):
    job.body["n"] = 2
    job.response.tokens = 3
    with pytest.raises(Refusal) as caught:
        await run(SENT)
    assert caught.value.run is Executed.YES


def test_resumed_attempt_continues_received_text(job, store):
    handler = CompletionHandler(
        Admission(store),
        *[None] * 8,
        coalesce_s=0.0,
        on_engine_leaving=None,
        rest_s=lambda engine: 0.0,
    )
    job.body["max_tokens"] = 10
    job.response.record_chunks([{"choices": [{"delta": {"content": "so far "}}]}])
    body = handler._engine_body(job)
    assert body["messages"][-1] == {"role": "assistant", "content": "so far "}
    assert body["continue_final_message"] is True
    assert body["max_tokens"] == 9
    assert body["priority"] == 0


async def test_request_is_not_sent_to_an_engine_that_asked_for_rest(job, store, clock):
    """Its scheduler may be another instance that does not know of the rest yet."""
    released = []
    entry = SimpleNamespace(release=lambda *values: released.append(values))
    handler = CompletionHandler(
        Admission(store),
        None,
        entry,
        *[None] * 6,
        coalesce_s=0.0,
        on_engine_leaving=None,
        rest_s=lambda engine: 2.5,
    )
    handler.clock = clock
    with pytest.raises(UpstreamError) as caught:
        await handler._attempt(job, HeldSlot(1, "e1", None, "a", False, 0.0))
    assert not caught.value.sent
    assert released[0][1] is ReleaseKind.FAILED
    assert released[0][-1] == 2.5


json_bytes = st.recursive(
    st.sampled_from([None, True, 1, -1, "m", ""]),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(
            st.sampled_from(["model", "messages", "prompt", "stream", "max_tokens"]),
            inner,
            max_size=5,
        )
    ),
    max_leaves=6,
).map(msgspec.json.encode)


@pytest.mark.parametrize("depth", [250, 600, 5000])
def test_nested_body_of_a_caller_ended_its_connection(depth):
    """It could be decoded but not encoded again for an engine, or neither."""
    body = b'{"model": "m", "prompt": ' + b"[" * depth + b"]" * depth + b"}"
    with pytest.raises(Refusal) as caught:
        check_body("/x", body)
    assert caught.value.code is ResultCode.MALFORMED_BODY


@given(json_bytes | st.binary(max_size=40), st.sampled_from([CHAT_PATH, "/x"]))
def test_check_body_raises_only_refusals(raw, path):
    try:
        assert isinstance(check_body(path, raw)["model"], str)
    except Refusal as refusal:
        assert refusal.code is ResultCode.MALFORMED_BODY
