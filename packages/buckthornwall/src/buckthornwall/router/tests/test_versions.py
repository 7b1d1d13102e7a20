"""Tests of streams while engines of several software versions serve."""

import msgspec
import pytest
import trio

from buckthornwall.codes import Refusal, ResultCode
from buckthornwall.forwarding.tests.helpers import POOL, Recorder, event, stream
from buckthornwall.http1 import IncomingRequest, ResponseAborted
from buckthornwall.platform import decode_request, names
from buckthornwall.platform.calls import Changes, StoredValue
from buckthornwall.platform.store import to_store_update
from buckthornwall.utils import StorePosition

from .conftest import STREAM


def register(router, *versions, leaving=()):
    """Register the upstreams of an instance as of these software versions."""
    values = []
    for revision, (address, version) in enumerate(
        zip(router.upstreams, versions, strict=True), 1
    ):
        entry = {
            "service": POOL,
            "address": address,
            "version": version,
            "zone": "z",
            "slots": 1000 - revision,
            "state": "draining" if version in leaving else "ready",
        }
        value = msgspec.json.encode(entry)
        values.append(StoredValue(f"servers/{address}", revision, value))
    changes = Changes(StorePosition(0, len(values)), values)
    router.discovery.adopt(to_store_update(changes, is_snapshot=True))


async def send(router, **headers):
    """Send a request to an instance as a client does; return its response."""
    headers = {names.REQUEST_ID.decode(): "r", "host": "h"} | headers
    pairs = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in headers.items()
    ]
    incoming = IncomingRequest(b"POST", b"/a", pairs, b"x", router.clock.now())
    answer = Recorder()
    with trio.fail_after(5):
        await router.forwarder.forward(decode_request(incoming), answer)
    return answer


BROKEN_OFF = [stream(1, 2, end=False), b""]


@pytest.fixture
def arrivals(raw_upstream):
    return lambda router: [
        len(raw_upstream.requests.get(each, ())) for each in router.upstreams
    ]


async def test_broken_stream_is_not_continued_at_another_version(start, arrivals):
    router = await start(BROKEN_OFF, [stream(3)], mode=STREAM)
    register(router, "v1", "v2")
    with pytest.raises(ResponseAborted):
        await send(router)
    assert arrivals(router) == [1, 0]


async def test_broken_stream_is_continued_at_the_version_that_began_it(start, arrivals):
    router = await start(BROKEN_OFF, [stream(7)], [stream(3)], mode=STREAM)
    register(router, "v1", "v2", "v1")
    answer = await send(router)
    assert answer.ended
    assert answer.body == b"".join(map(event, (1, 2, 3)))
    assert arrivals(router) == [1, 0, 1]


async def test_client_does_not_continue_a_stream_at_another_version(start, arrivals):
    rest = stream(3).replace(b"X-Id: r", b"X-Id: second")
    router = await start(BROKEN_OFF, [rest], mode=STREAM, max_runs=1)
    register(router, "v1", "v2")
    with pytest.raises(ResponseAborted):
        await send(router)
    register(router, "v1", "v2", leaving={"v1"})
    second = {"x_buckthornwall_attempt_id": "second", "resumes": "r"}
    answer = await send(router, last_event_id="2", **second)
    assert (answer.status, answer.run) == (503, "no")
    assert 0 < float(answer.headers[b"Retry-After"]) <= 1
    assert arrivals(router) == [1, 0]


async def test_stream_of_unknown_version_is_not_continued(start, arrivals):
    router = await start([stream(3)], [stream(3)], mode=STREAM)
    register(router, "v1", "v2")
    answer = await send(router, resumes="unknown", last_event_id="2")
    assert (answer.status, answer.run) == (503, "no")
    assert arrivals(router) == [0, 0]


async def test_client_continues_at_the_version_that_began_the_stream(start, arrivals):
    rest = stream(3).replace(b"X-Id: r", b"X-Id: second")
    router = await start(BROKEN_OFF, [stream(7)], [rest], mode=STREAM, max_runs=1)
    register(router, "v1", "v2", "v1")
    with pytest.raises(ResponseAborted):
        await send(router)
    prefer(router, 1)
    router.pools.views[router.upstreams[0]].load.requests = 990
    second = {"x_buckthornwall_attempt_id": "second", "resumes": "r"}
    answer = await send(router, last_event_id="2", **second)
    assert answer.body == event(3)
    assert arrivals(router) == [1, 0, 1]


async def test_client_continues_for_the_third_time(start, arrivals):
    """It names the request that brought the first event, not the last one."""
    router = await start(
        [stream(1, end=False), b""],
        [stream(9)],
        [stream(2, end=False).replace(b"X-Id: r", b"X-Id: second"), b""],
        [stream(3).replace(b"X-Id: r", b"X-Id: third")],
        mode=STREAM,
        max_runs=1,
    )
    register(router, "v1", "v2", "v1", "v1")
    prefer(router, 0)
    with pytest.raises(ResponseAborted):
        await send(router)
    prefer(router, 2)
    with pytest.raises(ResponseAborted):
        second = {"x_buckthornwall_attempt_id": "second", "resumes": "r"}
        await send(router, last_event_id="1", **second)
    prefer(router, 3)
    third = {"x_buckthornwall_attempt_id": "third", "resumes": "r"}
    answer = await send(router, last_event_id="2", **third)
    assert answer.body == event(3)
    assert arrivals(router) == [1, 0, 1, 1]


def prefer(router, number):
    """Make one upstream look less loaded than all others."""
    for each, address in enumerate(router.upstreams):
        router.pools.views[address].load.requests = 0 if each == number else 900


async def test_resumable_stream_without_resumes_is_continued_at_the_only_version(
    start, arrivals
):
    router = await start([stream(3)], mode=STREAM)
    register(router, "v1")
    know_history(router)
    answer = await send(router, last_event_id="2")
    assert answer.body == event(3)


async def test_resumable_stream_without_resumes_is_refused_with_two_versions(
    start, arrivals
):
    router = await start([stream(3)], [stream(3)], mode=STREAM)
    register(router, "v1", "v2")
    know_history(router)
    answer = await send(router, last_event_id="2")
    assert (answer.status, answer.run) == (503, "no")


def know_history(router):
    """Let an instance know the registrations now, and for a minute before."""
    versions, now = router.pools.versions, router.clock.now()
    versions.complete_since = now - 60
    versions.record_known(now)
    versions.spans[POOL].pop("", None)  # of the fixture


async def test_stream_of_another_team_is_unknown(start, arrivals):
    router = await start(BROKEN_OFF, [stream(3)], mode=STREAM)
    register(router, "v1", "v2")
    with pytest.raises(ResponseAborted):
        await send(router, x_buckthornwall_attempt_id="r", x_buckthornwall_key="key")
    answer = await send(router, resumes="r", last_event_id="2")
    assert (answer.status, answer.run) == (503, "no")
    assert b"v1" not in answer.body


async def test_instance_out_of_touch_infers_no_version(start, arrivals):
    """It knows one version only, but the store has not answered it for a while."""
    router = await start([stream(3)], mode=STREAM)
    register(router, "v1")
    router.pools.versions.complete_since = router.clock.now() - 60
    router.pools.versions.record_known(router.clock.now() - 10)
    answer = await send(router, resumes="unknown", last_event_id="2")
    assert (answer.status, answer.run) == (503, "no")
    assert arrivals(router) == [0]


@pytest.mark.parametrize(
    "headers",
    [
        {"resumes": "x" * 200},
        {"last_event_id": "1" * 2000},
    ],
)
async def test_oversized_header_is_refused(start, headers):
    router = await start([stream(3)], mode=STREAM)
    register(router, "v1")
    with pytest.raises(Refusal) as caught:
        await send(router, **headers)
    assert caught.value.code is ResultCode.MALFORMED_BODY


async def test_new_version_begins_no_resumable_streams_at_once(start, arrivals):
    router = await start([stream(1)], [stream(1)], mode=STREAM)
    register(router, "v1", "v1")
    register(router, "v2", "v1")
    prefer(router, 0)
    await send(router)
    assert arrivals(router) == [0, 1]


async def test_request_id_that_is_used_twice_breaks_no_response(start, arrivals):
    """Its streams begin at two versions, and neither can be continued."""
    router = await start([stream(1)], [stream(1)], [stream(2)], mode=STREAM)
    register(router, "v1", "v2", "v1")
    published = []

    async def publish(records):
        published.extend(records)
        await router.peer_agent.origin_exchange.publish(records)

    router.forwarder.continuations.publish = publish
    for number in (0, 1):
        prefer(router, number)
        assert (await send(router)).ended
    assert [record.origin.version for record in published[:1]] == ["v1"]
    answer = await send(router, resumes="r", last_event_id="1")
    assert (answer.status, answer.run) == (503, "no")


async def test_records_are_published_when_a_second_version_appears(start):
    router = await start([stream(1)], mode=STREAM)
    register(router, "v1")
    know_history(router)
    published = []

    async def publish(records):
        published.extend(records)

    continuations = router.forwarder.continuations
    continuations.publish = publish
    assert (await send(router)).ended
    await continuations.publish_unpublished()
    assert not published
    router.upstreams.append("127.0.0.1:1")
    register(router, "v1", "v2")
    await continuations.publish_unpublished()
    assert [record.origin.version for record in published] == ["v1"]
