"""Tests of converting from and to the platform's headers and configuration."""

import math

import pytest

from buckthornwall.codes import RecordError, Refusal
from buckthornwall.forwarding import AttemptContext
from buckthornwall.http1 import IncomingRequest, ResponseHead
from buckthornwall.platform import (
    PlatformCodec,
    RelayCodec,
    decode_published,
    decode_request,
    names,
)
from buckthornwall.pools import LoadReport, Notice, UpstreamEntry, UpstreamState
from buckthornwall.routing import PoolId, ResponseMode
from buckthornwall.utils import TeamId, UpstreamId, ZoneId

PREFIX = b"x-buckthornwall-"
ENTRY = UpstreamEntry(
    UpstreamId("i-1"), PoolId("p"), "10.0.0.1:80", ZoneId("z"), 4, UpstreamState.READY
)


def incoming(*headers, method=b"POST", body=b""):
    given = [(b"host", b"H.example:80"), (PREFIX + b"attempt-id", b"r1"), *headers]
    return IncomingRequest(method, b"/a/b?q=/c", given, body, 3.0)


def encoded(request, **changes):
    context = {"upstream": ENTRY, "team": TeamId("t"), "rank": 4, "remaining_s": 1.25}
    return dict(PlatformCodec().encode(request, AttemptContext(**(context | changes))))


@pytest.mark.parametrize("name", [b"resumes", b"last-event-id"])
def test_contradicting_headers_of_a_continued_stream_are_refused(name):
    with pytest.raises(Refusal):
        decode_request(incoming((name, b"1"), (name, b"2")))


def test_headers_of_a_continued_stream_are_decoded():
    request = decode_request(incoming((b"resumes", b" r7 "), (b"last-event-id", b"3")))
    assert (request.resumes, request.resume_after) == ("r7", "3")


def test_request_headers_are_decoded():
    request = decode_request(
        incoming(
            (PREFIX + b"deadline-ms", b"1500"),
            (PREFIX + b"key", b"k"),
            (PREFIX + b"model", b"m"),
            (PREFIX + b"token-count", b"1460,80"),
            (PREFIX + b"prompt-prefix", b"5c:800,91:410,e4:250"),
            (b"last-event-id", b"7"),
        )
    )
    assert (request.host, request.path) == ("h.example", "/a/b")
    assert (request.client_timeout_s, request.key, request.resume_after) == (
        1.5,
        "k",
        "7",
    )
    assert (request.prompt.prompt_tokens, request.prompt.max_output_tokens) == (
        1460,
        80,
    )
    assert request.prompt.affinity_key == "91"


@pytest.mark.parametrize(
    "header",
    [
        (PREFIX + b"deadline-ms", b"soon"),
        (PREFIX + b"token-count", b"many"),
        (PREFIX + b"attempt-id", b""),
    ],
)
def test_invalid_routing_header_is_refused(header):
    with pytest.raises(Refusal):
        decode_request(incoming(header))


@pytest.mark.parametrize(
    "name",
    [
        PREFIX + b"tenant",
        PREFIX + b"key",
        PREFIX + b"hold",
        PREFIX + b"pin-ms",
        PREFIX + b"kv-backup",
        b"kv-from",
        b"kv-fetch",
        PREFIX + b"expect-version",
        b"transfer-encoding",
        b"x-named-by-connection",
    ],
)
def test_router_only_and_hop_by_hop_headers_are_not_forwarded(name):
    request = decode_request(
        incoming((name, b"1"), (b"connection", b"close, X-Named-By-Connection"))
    )
    assert name not in dict(request.headers)
    assert b"connection" not in dict(request.headers)


def test_other_headers_are_forwarded_unchanged():
    request = decode_request(incoming((PREFIX + b"length-hint", b"80"), (b"a", b"B")))
    headers = encoded(request)
    assert headers[PREFIX + b"length-hint"] == b"80"
    assert headers[b"a"] == b"B"
    assert headers[PREFIX + b"attempt-id"] == b"r1"


def test_attempt_headers_give_instance_team_deadline_and_priority():
    prompt = (PREFIX + b"token-count", b"9,9")
    headers = encoded(decode_request(incoming(prompt)), resume_after="4")
    assert headers[PREFIX + b"expect-instance"] == b"i-1"
    assert headers[PREFIX + b"tenant"] == b"t"
    assert headers[PREFIX + b"deadline-ms"] == b"1250"
    assert headers[PREFIX + b"request-priority"] == b"4"
    assert headers[b"last-event-id"] == b"4"


@pytest.mark.parametrize(
    ("status", "headers", "not_run", "good"),
    [
        (200, [(PREFIX + b"response-seal", b"s")], False, True),
        (200, [], False, False),
        (421, [], True, False),
        (503, [(PREFIX + b"not-executed", b"1")], True, False),
        (503, [], False, False),
        (500, [(PREFIX + b"response-seal", b"s")], False, False),
    ],
)
def test_only_documented_responses_mean_not_run(status, headers, not_run, good):
    reply = PlatformCodec().decode(ResponseHead(status, headers))
    assert (reply.not_run, reply.is_attested_success) == (not_run, good)


def test_upstream_cannot_refuse_in_the_name_of_an_instance():
    headers = [(PREFIX + b"relay-refusal", b"2001 no -"), (b"a", b"B")]
    assert PlatformCodec().decode(ResponseHead(200, headers)).headers == [(b"a", b"B")]


def test_load_and_idle_timeout_are_read():
    head = ResponseHead(
        200,
        [
            (PREFIX + b"engine-load", b"3,1,8"),
            (b"keep-alive", b"timeout=5, max=9"),
            (b"connection", b"keep-alive"),
        ],
    )
    reply = PlatformCodec().decode(head)
    assert reply.load == LoadReport(3, 1, 8)
    assert reply.idle_timeout_s == 5.0
    assert all(name != b"keep-alive" for name, _ in reply.headers)


@pytest.mark.parametrize(
    "stated", [b"-3,1,8", b"3,-1,8", b"3,1," + b"9" * 4000, b"3,1,1e3", b"", b",,"]
)
def test_load_report_of_any_size_failed_its_request(stated):
    """It is a hint only: the reply counts without it."""
    headers = [(PREFIX + b"engine-load", stated)]
    assert PlatformCodec().decode(ResponseHead(200, headers)).load is None


@pytest.mark.parametrize("value", [b"9" * 5000 + b" 1 x", b"2001 %s x" % (b"9" * 5000)])
def test_refusal_of_a_peer_with_a_long_number_failed_its_request(value):
    head = ResponseHead(503, [(names.RELAY_REFUSAL, value), (b"retry-after", b"inf")])
    reply = RelayCodec().decode(head)
    assert reply.refusal.retry_after_s is None
    assert reply.runs == 1


@pytest.mark.parametrize(
    ("stated", "slowdown"),
    [
        (b"3,1,8,250", 2.5),
        (b"3,1,8,100", 1.0),
        (b"3,1,8,62.5", 0.625),
        (b"3,1,8,100,7", 1.0),
        (b"3,1,8,", None),
        (b"3,1,8,0", None),
        (b"3,1,8,-250", None),
        (b"3,1,8,1e9", None),
        (b"3,1,8,nan", None),
        (b"3,1,8,inf", None),
        (b"3,1,8,slow", None),
    ],
)
def test_report_with_a_slowdown_is_read_whatever_the_slowdown(stated, slowdown):
    headers = [(PREFIX + b"engine-load", stated)]
    reply = PlatformCodec().decode(ResponseHead(200, headers))
    assert reply.load == LoadReport(3, 1, 8, slowdown)


@pytest.mark.parametrize(
    ("value", "limit"),
    [
        (None, math.inf),
        (b"1", 1.0),
        (b"0.25", 0.25),
        (b"0", 0.0),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"many", None),
    ],
)
def test_rate_limit_and_brittleness_of_an_upstream_are_decoded(value, limit):
    names = (b"server-limit", b"server-brittle")
    headers = [] if value is None else [(name, value) for name in names]
    reply = PlatformCodec().decode(ResponseHead(200, headers))
    assert (reply.rate_limit, reply.brittle) == (limit, limit)


@pytest.mark.parametrize(
    ("status", "headers", "notice"),
    [
        (200, [], None),
        (200, [(b"server-leaving", b"1")], Notice(is_leaving=True)),
        (200, [(b"server-leaving", b"0")], None),
        (503, [(b"retry-after", b"3")], Notice(rest_s=3.0)),
        (503, [(b"retry-after", b"2.5")], Notice(rest_s=2.5)),
        (
            503,
            [(b"server-leaving", b"1"), (b"retry-after", b"1")],
            Notice(is_leaving=True, rest_s=1.0),
        ),
        (429, [(b"retry-after", b"3")], None),
        (503, [(b"retry-after", b"0")], None),
        (503, [(b"retry-after", b"-1")], None),
        (503, [(b"retry-after", b"nan")], None),
        (503, [(b"retry-after", b"inf")], None),
        (503, [(b"retry-after", b"soon")], None),
        (503, [(b"retry-after", b"Fri, 31 Dec 1999 23:59:59 GMT")], None),
    ],
)
def test_notice_of_an_upstream_is_decoded(status, headers, notice):
    assert PlatformCodec().decode(ResponseHead(status, headers)).notice == notice


CONFIG = b"""{"version": 7, "later": 1, "routes": [
 {"name": "r1", "host": "H", "path_prefix": "/a/", "kind": "stream",
  "timeout_ms": 4000, "target_latency_ms": 400, "priority": 1, "service": "s",
  "max_attempts": 2, "public": false, "resumable": true, "gap_aim_ms": 200},
 {"name": "r2", "host": "h", "path_prefix": "/b/", "kind": "non_idempotent",
  "traffic_split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]}],
 "services": [{"name": "s", "health_path": "/health", "max_connections": 3,
  "engine": {"slots": 64, "kv_capacity": 1000, "stride": 3}}],
 "limits": {"max_header_bytes": 10, "max_body_bytes": 20,
  "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
 "tenants": [{"name": "t1", "api_keys": ["k"], "priority": 1}]}"""


def test_complete_configuration_is_decoded():
    published = decode_published(CONFIG)
    stream, order = published.routes
    assert published.number == 7
    assert (stream.response_mode, stream.retryable, stream.host) == (
        ResponseMode.EVENT_STREAM,
        True,
        "h",
    )
    assert not order.retryable
    assert [share.weight for share in order.shares] == [90, 10]
    assert published.pools[0].engine.memory_tokens == 1000
    assert published.limits.idle_timeout_s == 15.0
    assert published.teams[0].tier == 1


@pytest.mark.parametrize(
    "raw",
    [
        b"{",
        b'{"routes": []}',
        b'{"version": "x"}',
        b'{"x":' + b"[" * 2001,
        b'{"version": -1}',
        b'{"version": 1, "tenants": [{"name": "\xc3\xa9"}]}',
        b'{"version": 1, "services": [{"name": "s", "max_connections": -1}]}',
    ],
    ids=range(7),
)
def test_invalid_configuration_is_refused(raw):
    with pytest.raises(RecordError):
        decode_published(raw)


def test_regions_of_routes_and_teams_are_decoded():
    raw = b"""{"version": 7, "routes": [
     {"name": "r", "host": "h", "path_prefix": "/", "kind": "stream",
      "allowed_regions": ["east", "west"]}],
     "tenants": [{"name": "t", "allowed_regions": ["west"]},
                 {"name": "u", "allowed_regions": null}]}"""
    published = decode_published(raw)
    assert published.routes[0].regions == {"east", "west"}
    assert [team.regions for team in published.teams] == [{"west"}, set()]
