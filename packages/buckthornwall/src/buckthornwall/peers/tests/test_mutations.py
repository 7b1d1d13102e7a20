"""Messages whose bytes were changed on the way do no more than being refused."""

import random
import zlib

import cbor2
import msgspec
import pytest

from buckthornwall.codes import PeerError
from buckthornwall.peers import Digest, Heartbeat
from buckthornwall.peers.messages import PeerMessage, decode
from buckthornwall.utils import UpstreamId

from .test_packing import random_loads
from .test_peers import FIRST, beacon, table

LISTENER = "10.9.9.9:1"
MUTATIONS = 1500


@pytest.fixture
def messages():
    """Return a beacon, a digest and a heartbeat with counts."""
    speaker, own = table(FIRST), beacon(FIRST, random_loads(20))
    own.cached_prefixes = {UpstreamId("i-1"): [("00c0ffee", 900)]}
    digest = speaker.make_digest(own, True, 0.0)
    speaker.assign_sequence(digest)
    heartbeat = speaker.make_heartbeat(own, True, 0.1)
    speaker.add_counts(heartbeat, own, 0.1)
    return own, digest, heartbeat


def hear(message, digest):
    """Let an instance take a message, and use what it knows then."""
    listener, own = table(LISTENER), beacon(LISTENER)
    if isinstance(message, Heartbeat):
        listener.receive_digest(digest, 0.0)
        listener.receive_heartbeat(message, 0.1)
    elif isinstance(message, Digest):
        listener.receive_digest(message, 0.0)
    else:
        listener.receive_beacon(message, 0.0)
    listener.peer_work(own, 0.1)
    listener.unreachable(own, 0.1)
    listener.make_digest(own, True, 0.1)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_changed_bytes_are_refused_or_understood(messages, seed):
    draw = random.Random(seed)
    plain = [
        cbor2.dumps(msgspec.to_builtins(each, builtin_types=(bytes,)))
        for each in messages
    ]
    understood = 0
    for _ in range(MUTATIONS):
        data = bytearray(draw.choice(plain))
        for _ in range(draw.randrange(1, 4)):
            data[draw.randrange(len(data))] = draw.randrange(256)
        sent = zlib.compress(bytes(data)) if draw.random() < 0.5 else bytes(data)
        try:
            hear(decode(sent, PeerMessage), messages[1])
        except PeerError:
            continue
        understood += 1
    assert 0 < understood < MUTATIONS
