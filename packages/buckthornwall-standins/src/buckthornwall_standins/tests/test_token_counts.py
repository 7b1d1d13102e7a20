"""Token counts of callers that no message between instances can state."""

import pytest
import trio
from buckthornwall.http1 import ClientConnection

from buckthornwall_standins.users_platform.deployment import API_KEY, HOST

from .test_router import Cluster


@pytest.fixture
async def cluster(nursery):
    cluster = Cluster(nursery)
    await cluster.start(2)
    return cluster


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"Token-Count", b"-900,10"),
        (b"Token-Count", b"900,-10"),
        (b"Token-Count", b"9" * 3000 + b",10"),
        (b"Token-Count", b"900,1e9"),
        (b"Prompt-Prefix", b"aa:-600,bb:300"),
        (b"Prompt-Prefix", b"aa:" + b"9" * 400),
        (b"Deadline-Ms", b"x"),
    ],
)
async def test_negative_token_count_of_a_caller_ended_a_speaker(cluster, name, value):
    """A count that no message between instances can state is refused at once."""
    headers = {
        b"Attempt-Id": b"r1",
        b"Deadline-Ms": b"3000",
        b"Key": API_KEY.encode(),
        b"Model": b"m",
        b"Token-Count": b"900,10",
        b"Prompt-Prefix": b"aa:600,bb:300",
        name: value,
    }
    sent = [(b"X-Buckthornwall-" + key, each) for key, each in headers.items()]
    sent += [(b"Host", HOST.encode()), (b"Content-Length", b"2")]
    for number in cluster.routers:
        address = f"127.0.8.{number}:{cluster.ports}"
        connection = await ClientConnection.connect(address, 1.0)
        await connection.send(b"POST", b"/draft/x", sent, b"hi")
        with trio.fail_after(2.0):
            head = await connection.receive_head()
            body = await connection.receive_data()
        connection.close()
        assert head.status == 400
        assert b"1001" in body
    assert not any(event.is_set() for event in cluster.ended.values())
    assert (await cluster.call("/draft/x", prompt=True))[0] == 200
