"""Tests of the message in which a request is forwarded to a peer."""

import cbor2
import pytest

from buckthornwall.codes import PeerError
from buckthornwall.forwarding.relay_messages import decode_relayed

FIELDS = ["r", b"POST", b"/a", "h", "/a", [], b"", "", 0, 1000, None, "", [], 0, 1]
METHOD, TARGET, HEADERS = 1, 2, 5
REMAINING_MS, RESUME_AFTER, RUNS = 9, 11, 13


def test_message_is_read():
    assert decode_relayed(cbor2.dumps(FIELDS)).remaining_ms == 1000


@pytest.mark.parametrize(
    ("field", "value"), [(REMAINING_MS, 10**400), (REMAINING_MS, -1), (RUNS, -1)]
)
def test_number_that_no_peer_sends_is_refused(field, value):
    fields = [*FIELDS]
    fields[field] = value
    with pytest.raises(PeerError):
        decode_relayed(cbor2.dumps(fields))


@pytest.mark.parametrize(
    ("field", "value"),
    [
        (METHOD, b"PO ST"),
        (TARGET, b"/a b"),
        (HEADERS, [(b"a", b"b\r\nc: d")]),
        (HEADERS, [(b"a b", b"c")]),
        (RESUME_AFTER, "\ud7ff"),
        (RESUME_AFTER, "a\nb"),
    ],
)
def test_request_that_is_not_valid_http_closed_the_connection(field, value):
    """It failed only when it was sent to an upstream."""
    fields = [*FIELDS]
    fields[field] = value
    with pytest.raises(PeerError):
        decode_relayed(cbor2.dumps(fields))


def test_headers_of_a_client_are_forwarded():
    fields = [*FIELDS]
    fields[HEADERS] = [(b"host", b"h"), (b"X-A", b"\xe9"), (b"accept", b"")]
    assert len(decode_relayed(cbor2.dumps(fields)).headers) == 3
