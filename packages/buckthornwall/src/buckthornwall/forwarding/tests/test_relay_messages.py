"""Tests of the message in which a request is forwarded to a peer."""

import cbor2
import pytest

from buckthornwall.codes import PeerError
from buckthornwall.forwarding.relay_messages import decode_relayed

FIELDS = ["r", b"POST", b"/a", "h", "/a", [], b"", "", 0, 1000, None, "", [], 0, 1]
REMAINING_MS, RUNS = 9, 13


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
