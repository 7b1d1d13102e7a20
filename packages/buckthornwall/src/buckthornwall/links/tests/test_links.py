"""Tests of the codec, and of links over loopback with and without TLS."""

import cbor2
import pytest
import trio
import trustme
from hypothesis import given
from hypothesis import strategies as st

from buckthornwall.codes import PeerError
from buckthornwall.links import (
    EnqueueAccepted,
    Heartbeat,
    KeyEntry,
    LinkHub,
    LinkSettings,
    NodeState,
    PeerAddress,
    Withdraw,
    decode_batch,
    encode_batch,
)

HEARTBEAT = Heartbeat(
    7, NodeState.READY, "z", 3, "d", ["e1"], [PeerAddress("b", "127.0.0.1:1", "z")]
)


def test_messages_decode_unchanged():
    batch = [HEARTBEAT, EnqueueAccepted(5), Withdraw(6, local=True)]
    assert decode_batch(encode_batch(batch)) == batch


def test_bytes_decode_unchanged():
    entry = KeyEntry(1, 2, "f", 200, [("a", "b")], b"\x00\xff")
    assert cbor2.loads(cbor2.dumps(entry.body)) == entry.body


@given(st.binary(max_size=80))
def test_arbitrary_bytes_raise_only_peer_errors(frame):
    try:
        decode_batch(frame)
    except PeerError as error:
        assert error.code.number == 7002


values = st.sampled_from([None, 0, -1, 2**64, "x", b"x", [], [1], {}, 1.5])


@given(st.lists(st.lists(values, max_size=6), max_size=3))
def test_arbitrary_arrays_raise_only_peer_errors(arrays):
    try:
        decode_batch(cbor2.dumps(arrays))
    except PeerError as error:
        assert error.code.number == 7002


def write_certificates(folder):
    authority = trustme.CA()
    authority.cert_pem.write_to_path(str(folder / "ca.pem"))
    certificate = authority.issue_cert("127.0.0.1")
    certificate.private_key_pem.write_to_path(str(folder / "key.pem"))
    certificate.cert_chain_pems[0].write_to_path(str(folder / "cert.pem"))
    return {
        "tls_ca": str(folder / "ca.pem"),
        "tls_key": str(folder / "key.pem"),
        "tls_certificate": str(folder / "cert.pem"),
    }


async def free_port(host):
    listeners = await trio.open_tcp_listeners(0, host=host)
    port = listeners[0].socket.getsockname()[1]
    for listener in listeners:
        await listener.aclose()
    return port


async def make_hub(nursery, node, received, **settings):
    host = "127.0.0.1"
    address = f"{host}:{await free_port(host)}"
    section = LinkSettings(listen=address, **settings)
    hub = LinkHub.from_config(node, 1, section, lambda *what: received.append(what))
    await nursery.start(hub.run)
    return hub, address


async def exchange(a_settings, b_settings):
    """Send a message from a to b; return what b received within a second."""
    received = []
    with trio.move_on_after(1.0):
        async with trio.open_nursery() as nursery:
            hub, _ = await make_hub(nursery, "a", [], **a_settings)
            _, address = await make_hub(nursery, "b", received, **b_settings)
            hub.set_peer("b", address)
            while not received:
                hub.send("b", HEARTBEAT)
                await trio.sleep(0.02)
            nursery.cancel_scope.cancel()
    return received


async def test_link_delivers_messages():
    both = {"peer_secret": "s"}
    assert (await exchange(both, both))[0] == ("a", HEARTBEAT)


async def test_link_is_refused_without_the_secret():
    assert await exchange({"peer_secret": "x"}, {"peer_secret": "s"}) == []


async def test_link_over_tls_delivers_messages(tmp_path):
    both = {"peer_secret": "s", **write_certificates(tmp_path)}
    assert (await exchange(both, both))[0] == ("a", HEARTBEAT)


async def test_link_over_tls_refuses_peer_of_another_authority(tmp_path):
    (tmp_path / "one").mkdir()
    (tmp_path / "two").mkdir()
    one = {"peer_secret": "s", **write_certificates(tmp_path / "one")}
    two = {"peer_secret": "s", **write_certificates(tmp_path / "two")}
    assert await exchange(one, two) == []


@pytest.mark.parametrize(
    "frame",
    ["text", b"\xff", b"\x81" * 50_000, b"\xd8\x1c\x81\xd8\x1d\x00", b"\xc0\x61a"],
)
def test_frame_that_is_not_a_batch_raises_peer_error(frame):
    with pytest.raises(PeerError):
        decode_batch(frame)
