"""Corrupted messages are refused, or handled without errors."""

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

RECEIVER = "10.9.9.9:1"
MUTATIONS = 1500


@pytest.fixture
def messages():
    """Return a beacon, a digest and a heartbeat with packed loads."""
    speaker, local_beacon = table(FIRST), beacon(FIRST, random_loads(20))
    local_beacon.leaving = {UpstreamId("i-2"): "7"}
    local_beacon.cached_prefixes = {UpstreamId("i-1"): [("00c0ffee", 900)]}
    digest = speaker.make_digest(local_beacon, True, 0.0)
    speaker.assign_sequence(digest)
    heartbeat = speaker.make_heartbeat(local_beacon, True, 0.1)
    speaker.add_counts(heartbeat, local_beacon, 0.1)
    return local_beacon, digest, heartbeat


def receive_and_use(message, digest):
    """Let an instance receive a message, and use its table."""
    receiver, local_beacon = table(RECEIVER), beacon(RECEIVER)
    if isinstance(message, Heartbeat):
        receiver.receive_digest(digest, 0.0)
        receiver.receive_heartbeat(message, 0.1)
    elif isinstance(message, Digest):
        receiver.receive_digest(message, 0.0)
    else:
        receiver.receive_beacon(message, 0.0)
    receiver.totals.peer_work(local_beacon, 0.1)
    receiver.totals.unreachable(local_beacon, 0.1)
    receiver.totals.leaving(local_beacon, 0.1)
    receiver.make_digest(local_beacon, True, 0.1)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_corrupted_message_is_refused_or_decoded(messages, seed):
    rng = random.Random(seed)
    plain = [
        cbor2.dumps(msgspec.to_builtins(each, builtin_types=(bytes,)))
        for each in messages
    ]
    decoded = 0
    for _ in range(MUTATIONS):
        data = bytearray(rng.choice(plain))
        for _ in range(rng.randrange(1, 4)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        sent = zlib.compress(bytes(data)) if rng.random() < 0.5 else bytes(data)
        try:
            receive_and_use(decode(sent, PeerMessage), messages[1])
        except PeerError:
            continue
        decoded += 1
    assert 0 < decoded < MUTATIONS
