"""Tests of requests that an isolated instance forwards through a peer."""

import contextlib
import json
from dataclasses import replace
from functools import partial

import pytest
import trio

from buckthornwall.forwarding import RELAY_STREAM_PATH
from buckthornwall.forwarding.tests.helpers import (
    NOT_RUN,
    POOL,
    event,
    reply,
    stream,
)
from buckthornwall.http1 import HttpServer, ResponseAborted
from buckthornwall.peers import PeerState, PeerView, answer_view
from buckthornwall.peers.relay_candidates import RelayCandidate
from buckthornwall.platform import names
from buckthornwall.router.core import OPERATOR_LIMITS
from buckthornwall.utils import ZoneId

from .conftest import STREAM, UNREACHABLE, wire


async def test_reply_of_upstream_is_unchanged_through_a_peer(relay, start):
    peer = await start([reply(extra=b"X-More: 1\r\nServer-Limit: 5\r\n")])
    answer = await relay(peer, key="key")
    assert (answer.status, answer.body) == (200, b"ok")
    assert answer.headers[b"x-more"] == b"1"
    assert not any(b"relay" in name for name in answer.headers)
    (request,) = relay.arrivals(peer)
    assert request.startswith(b"POST /a?b=c HTTP/1.1\r\n")
    assert names.TEAM + b": t\r\n" in request  # the peer resolves its team
    view = relay.sender.pools.views[UNREACHABLE]
    assert not view.rate_limit.is_limited(0.0)
    assert view.reachability.answered_at < 0


async def test_large_body_reaches_upstream(relay, start):
    peer = await start([0.3, reply()])
    answer = await relay(peer, body=b"x" * 2**20)
    assert answer.status == 200
    assert b"content-length: 1048576\r\n" in relay.arrivals(peer)[0]


async def test_stream_is_resumed_by_the_peer(relay, start):
    peer = await start(
        [stream(1, 2, end=False), b""], [stream(3, 4)], mode=STREAM, retryable=True
    )
    answer = await relay(peer, mode=STREAM)
    assert answer.ended
    assert answer.body == b"".join(map(event, (1, 2, 3, 4)))


async def test_stream_is_resumed_when_its_peer_dies(relay, start, raw_upstream):
    dying = await raw_upstream(wire(stream(1, 2, end=False), True), b"")
    peer = await start([stream(3)], mode=STREAM)
    answer = await relay(dying, peer, mode=STREAM)
    assert answer.body == b"".join(map(event, (1, 2, 3)))
    assert b"last-event-id: 2\r\n" in relay.arrivals(peer)[0]


async def test_stream_is_continued_at_the_version_that_its_peer_named(
    relay, start, raw_upstream
):
    head = stream(1, 2, end=False)
    dying = await raw_upstream(wire(head, True, version="v%201"), b"")
    peer = await start([stream(3)], [stream(3)], mode=STREAM)
    for address, version in zip(peer.upstreams, ("v 2", "v 1"), strict=True):
        entry = peer.pools.views[address].entry
        peer.pools.adopt(replace(entry, version=version))
    answer = await relay(dying, peer, mode=STREAM)
    assert answer.ended
    first, second = relay.arrivals(peer)
    assert not first
    assert b"last-event-id: 2\r\n" in second


async def test_stream_of_an_earlier_build_is_not_continued(relay, start, raw_upstream):
    """It does not say at which version it began."""
    dying = await raw_upstream(wire(stream(1, end=False), True, version=None), b"")
    peer = await start([stream(2)], mode=STREAM)
    with pytest.raises(ResponseAborted):
        await relay(dying, peer, mode=STREAM)
    assert relay.arrivals(peer) == [b""]


async def test_bound_stream_is_not_forwarded_to_an_earlier_build(
    relay, start, raw_upstream
):
    """It would be continued at any version."""
    dying = await raw_upstream(wire(stream(1, end=False), True), b"")
    older = await raw_upstream(b"HTTP/1.1 404 Any\r\nContent-Length: 0\r\n\r\n")
    with pytest.raises(ResponseAborted):
        await relay(dying, older, mode=STREAM)
    (request,) = raw_upstream.requests[older]
    assert request.startswith(b"POST " + RELAY_STREAM_PATH)


async def test_peer_names_the_version_that_sends_a_stream(relay, start):
    peer = await start([stream(1)], mode=STREAM)
    entry = peer.pools.views[peer.upstreams[0]].entry
    peer.pools.adopt(replace(entry, version="v2"))
    answer = await relay(peer, mode=STREAM)
    assert answer.ended
    assert not any(b"version" in name for name in answer.headers)
    (record,) = relay.sender.origins.records.values()
    assert record.origin.version == "v2"


@pytest.mark.parametrize("retryable", [True, False])
async def test_request_runs_again_after_its_peer_died_only_if_it_may(
    relay, start, raw_upstream, retryable
):
    peer = await start([reply()], retryable=retryable)
    answer = await relay(await raw_upstream(None), peer, retryable=retryable)
    if retryable:
        assert answer.status == 200
    else:
        assert (answer.status, answer.run) == (502, "unknown")
        assert relay.arrivals(peer) == [b""]


async def test_runs_are_counted_over_the_hop(relay, start, raw_upstream):
    peer = await start([None], [reply()], max_runs=2)
    answer = await relay(await raw_upstream(None), peer, max_runs=2)
    assert (answer.status, answer.run) == (502, "unknown")
    assert relay.arrivals(peer)[1] == b""


@pytest.fixture(params=["isolated", "leaving", "starting", "older", "no_upstream"])
async def declining(request, start):
    """Return a peer that cannot forward a request."""
    upstream = UNREACHABLE if request.param == "no_upstream" else [reply()]
    peer = await start(upstream, number=1 if request.param == "older" else 2)
    peer.forwarder.isolation.is_isolated = request.param == "isolated"
    states = {"leaving": PeerState.LEAVING, "starting": PeerState.JOINING}
    peer.state = states.get(request.param, PeerState.READY)
    return peer


async def test_request_that_a_peer_declines_goes_to_another(relay, start, declining):
    peer = await start([reply()], number=2)
    answer = await relay(declining, peer, number=2, retryable=False)
    assert answer.status == 200
    assert relay.arrivals(declining) == [b""]
    assert list(relay.sender.forwarder.relaying.failed_at) == [declining.address]


async def test_request_that_two_peers_decline_is_refused_as_not_run(relay, declining):
    others = (UNREACHABLE, "127.0.0.1:2")
    answer = await relay(declining, *others, number=2, retryable=False)
    assert len(relay.sender.forwarder.relaying.failed_at) == 2
    assert (answer.status, answer.run) == (503, "no")
    assert 0 < float(answer.headers[b"Retry-After"]) < 1


@pytest.mark.parametrize("size", [0, 1, 2**20])
async def test_peer_of_an_earlier_build_declines(
    relay, start, clock, nursery, monkeypatch, size
):
    async def answer_older(incoming, answer):
        await answer_view(incoming, answer, PeerView(1, 1, b"", []), 1)

    server = HttpServer(clock, lambda: OPERATOR_LIMITS, answer_older)
    (listener,) = await nursery.start(server.run, "127.0.0.1:0")
    older = f"127.0.0.1:{listener.socket.getsockname()[1]}"
    peer = await start([0.3, reply()], retryable=False)
    answer = await relay(older, peer, body=b"x" * size, retryable=False)
    assert answer.status == 200


async def test_refusal_by_a_full_peer_was_taken_for_that_of_an_upstream(
    relay, start, raw_upstream
):
    """It has not read the request, so that another peer is asked."""
    full = await raw_upstream(b"HTTP/1.1 503 Any\r\nContent-Length: 0\r\n\r\n")
    peer = await start([0.3, reply()], retryable=False)
    answer = await relay(full, peer, retryable=False)
    assert answer.status == 200


async def test_refusal_by_a_peer_reaches_the_client(relay, start):
    peer = await start()
    answer = await relay(peer, await start([reply()]))
    assert (answer.status, answer.run) == (503, "no")
    assert json.loads(answer.body)["code"] == 2003
    assert answer.headers[b"Retry-After"] == b"0.30"


async def test_attempt_of_a_peer_that_may_have_run_is_not_repeated(relay, start):
    peer, other = await start([None], retryable=False), await start([reply()])
    answer = await relay(peer, other, retryable=False)
    assert (answer.status, answer.run) == (502, "unknown")
    assert relay.arrivals(other) == [b""]


async def test_refusal_by_upstreams_of_a_peer_is_not_run(relay, start):
    peer = await start([NOT_RUN], retryable=False)
    answer = await relay(peer, retryable=False)
    assert (answer.status, answer.run) == (503, "no")


async def test_failure_reply_of_upstream_is_unchanged_and_not_repeated(relay, start):
    peer, other = await start([reply(500, b"why")], max_runs=1), await start([reply()])
    answer = await relay(peer, other)
    assert (answer.status, answer.body) == (500, b"why")
    assert relay.arrivals(other) == [b""]


def isolate_on_failure(forwarder):
    """Let the isolation begin with the first attempt that fails."""
    isolation = forwarder.isolation
    isolation.is_isolated = False
    forwarder.pools.record_outcome = lambda view, verdict: setattr(
        isolation, "is_isolated", True
    )


async def test_peer_that_gets_isolated_forwards_to_nobody(relay, start):
    peer, third = await start(UNREACHABLE, [reply()]), await start([reply()])
    candidates = [RelayCandidate(third.address, ZoneId("z"))]
    peer.forwarder.relay_candidates = lambda: candidates
    isolate_on_failure(peer.forwarder)
    answer = await relay(peer)
    assert (answer.status, answer.run) == (503, "no")
    assert relay.arrivals(peer)[1] == relay.arrivals(third)[0] == b""


async def test_retry_after_a_peer_that_may_have_run_is_paid(relay, start):
    peer, other = await start([None], [reply()]), await start([reply()])
    isolate_on_failure(peer.forwarder)

    def prepare(forwarder):
        while forwarder.budgets.spend(POOL):
            pass

    answer = await relay(peer, other, prepare=prepare)
    assert (answer.status, answer.run) == (502, "unknown")
    assert relay.arrivals(other) == [b""]


async def test_retry_budget_is_earned_by_the_peer_alone(relay, start):
    def prepare(forwarder):
        while forwarder.budgets.spend(POOL):
            pass
        for _ in range(4):  # with one more, a retry could be paid
            forwarder.budgets.earn(POOL)

    await relay(await start([reply()]), prepare=prepare)
    assert not relay.sender.forwarder.budgets.spend(POOL)


async def test_upstream_that_was_reached_before_the_hop_is_avoided(
    relay, start, raw_upstream
):
    shared = await raw_upstream(None, wire(reply(body=b"again")))
    peer = await start(shared, [reply()])
    answer = await relay(peer, upstreams=(shared,), prepare=isolate_on_failure)
    assert answer.body == b"ok"


async def test_instance_without_peers_tries_its_upstreams(relay):
    answer = await relay(upstreams=([reply()],))
    assert answer.status == 200


async def test_time_before_the_hop_counts(relay, start):
    peer = await start([reply()])
    await relay(peer, elapsed_s=1.0, client_timeout_s=1.5)
    (request,) = relay.arrivals(peer)
    deadline_ms = int(request.partition(b"deadline-ms: ")[2].partition(b"\r\n")[0])
    assert 300 < deadline_ms <= 500


def isolate(nursery, forwarder):
    """Let the isolation begin after a moment."""
    isolation = forwarder.isolation
    isolation.is_isolated = False

    async def begin():
        await trio.sleep(0.2)
        isolation.is_isolated = True
        isolation.on_isolated()

    nursery.start_soon(begin)


@pytest.mark.parametrize("retryable", [True, False])
async def test_silent_attempt_moves_to_a_peer_when_isolation_begins(
    relay, start, nursery, retryable
):
    peer = await start([reply(body=b"by a peer")])
    own, started_at = [0.5, reply(body=b"own")], trio.current_time()
    prepare = partial(isolate, nursery)
    answer = await relay(peer, upstreams=(own,), prepare=prepare, retryable=retryable)
    assert answer.body == (b"by a peer" if retryable else b"own")
    assert not retryable or trio.current_time() - started_at < 0.4


async def test_only_upstream_of_a_pool_gets_the_request_again(
    relay, start, nursery, raw_upstream
):
    """The isolated instance cannot tell that its upstream is sound."""
    shared = await raw_upstream(5.0, wire(reply()))
    peer = await start(shared)
    answer = await relay(peer, upstreams=(shared,), prepare=partial(isolate, nursery))
    assert answer.status == 200


async def test_silent_peer_is_given_up_for_another(relay, start, raw_upstream):
    silent, peer = await raw_upstream(5.0, b""), await start([reply()])
    answer = await relay(silent, peer, elapsed_s=2.0)
    assert answer.status == 200


async def test_result_at_the_deadline_is_that_of_the_peer(relay, start):
    peer = await start([reply(500, b"why")], [5.0, b""])
    answer = await relay(peer, elapsed_s=2.7)
    assert (answer.status, answer.body) == (500, b"why")


async def test_unsent_attempt_of_a_call_is_followed_by_one_through_a_peer(relay, start):
    peer = await start([reply()], retryable=False)
    answer = await relay(peer, prepare=isolate_on_failure, retryable=False)
    assert answer.status == 200


async def test_upstream_connection_ends_with_the_client(relay, start, nursery):
    begun, ended = trio.Event(), trio.Event()

    async def serve(stream):
        await stream.receive_some()
        begun.set()
        await stream.receive_some()
        ended.set()

    (listener,) = await nursery.start(
        partial(trio.serve_tcp, host="127.0.0.1"), serve, 0
    )
    peer = await start(f"127.0.0.1:{listener.socket.getsockname()[1]}")
    with trio.CancelScope() as client:

        async def leave():
            await begun.wait()
            client.cancel()

        nursery.start_soon(leave)
        await relay(peer)
    with trio.fail_after(1):
        await ended.wait()


async def test_cut_of_a_stream_that_may_not_be_repeated_is_visible(relay, start):
    peer = await start([stream(1, end=False), b""], mode=STREAM, retryable=False)
    with pytest.raises(ResponseAborted):
        await relay(peer, mode=STREAM, retryable=False)


async def test_stream_that_a_peer_gave_up_is_no_complete_reply_of_another_mode(
    relay, start
):
    parts = [stream(1, end=False), b""]
    peer = await start(parts, mode=STREAM, retryable=False, number=2)
    answer = await relay(peer, retryable=False, number=1)
    assert (answer.status, answer.run) == (502, "unknown")


async def test_stream_that_a_peer_gave_up_does_not_run_more_often_than_it_may(
    relay, start
):
    parts = [[stream(n, end=False), b""] for n in (1, 2)]
    peer = await start(*parts, mode=STREAM, max_runs=2)
    other = await start([stream(3)], mode=STREAM, max_runs=2)
    with pytest.raises(ResponseAborted):
        await relay(peer, other, mode=STREAM, max_runs=2)
    assert all(relay.arrivals(peer))
    assert relay.arrivals(other) == [b""]


@pytest.mark.parametrize("max_runs", [2, 3])
async def test_runs_of_a_peer_that_got_isolated_in_a_stream_are_counted(
    relay, start, max_runs
):
    parts = [[stream(n, end=False), b""] for n in (1, 2)]
    peer = await start(*parts, mode=STREAM)
    other = await start([stream(3)], mode=STREAM)
    peer.forwarder.budgets.spend = lambda pool: True
    verdicts = []

    def record(view, verdict):
        verdicts.append(verdict)
        peer.forwarder.isolation.is_isolated = len(verdicts) == 2

    peer.forwarder.pools.record_outcome = record
    with contextlib.suppress(ResponseAborted):
        await relay(peer, other, mode=STREAM, max_runs=max_runs)
    assert all(relay.arrivals(peer))
    assert any(relay.arrivals(other)) == (max_runs > 2)


async def test_peer_that_reaches_nothing_declines_also_after_a_run_of_the_sender(
    relay, start
):
    unaware, peer = await start(UNREACHABLE), await start([reply()])
    answer = await relay(unaware, peer, upstreams=([None],), prepare=isolate_on_failure)
    assert answer.status == 200


ENDLESS_HEAD = b"HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signed: 1\r\n"


@pytest.mark.parametrize(
    "first", [b"", ENDLESS_HEAD, ENDLESS_HEAD + b"\r\n"], ids=["none", "head", "body"]
)
async def test_answer_of_a_peer_without_end_is_left(
    relay, start, endless_server, first
):
    """Another peer answers where the request may be repeated."""
    endless = await endless_server(wire(first, is_relayed=True), b"x" * 4096)
    sound = await start([reply(body=b"good")])
    answer = await relay(endless.address, sound)
    assert (answer.status, answer.body) == (200, b"good")
    await endless.wait_closed()


async def test_answer_of_a_peer_without_end_that_may_have_run_has_failed(
    relay, start, endless_server
):
    first = wire(ENDLESS_HEAD + b"\r\n", is_relayed=True)
    endless = await endless_server(first, b"x" * 4096)
    sound = await start([reply()])
    answer = await relay(endless.address, sound, retryable=False)
    assert (answer.status, answer.run) == (502, "unknown")
    await endless.wait_closed()
