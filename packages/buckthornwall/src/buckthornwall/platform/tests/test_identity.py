"""Tests of which upstream answered a health request."""

import pytest

from buckthornwall.http1 import ResponseHead
from buckthornwall.platform.codec import PlatformCodec
from buckthornwall.pools import UpstreamEntry, UpstreamState
from buckthornwall.routing import PoolId
from buckthornwall.utils import UpstreamId, ZoneId

ENTRY = UpstreamEntry(
    UpstreamId("i-1"), PoolId("p"), "10.0.0.1:80", ZoneId("z"), 4, UpstreamState.READY
)


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, [(b"x-buckthornwall-instance-id", b"i-1")], True),
        (503, [(b"x-buckthornwall-instance-id", b"i-1")], True),
        (200, [(b"x-buckthornwall-instance-id", b"i-2")], False),
        (421, [], False),
        (503, [], None),
    ],
)
def test_upstream_is_identified_by_its_health_response(status, headers, expected):
    head = ResponseHead(status, headers)
    assert PlatformCodec().decode_identity(head, ENTRY) is expected


def test_identity_check_names_the_upstream_that_it_is_meant_for():
    headers = dict(PlatformCodec().encode_identity_check(ENTRY))
    assert headers[b"x-buckthornwall-expect-instance"] == b"i-1"
