"""Tests of bodies of requests: framing, limits, and what follows them."""

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornwall.http1.refusals import RequestRefused
from buckthornwall.http1.request_body import RequestBody

MAX_BODY = 1000
MAX_FRAMING = 200
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


def decode(received, step=None, length=None):
    """Return data and what follows it, or None while the body is incomplete."""
    body = RequestBody(length, MAX_BODY, MAX_FRAMING)
    unparsed = bytearray()
    step = step or max(1, len(received))
    body.feed(unparsed)
    for begin in range(0, len(received), step):
        unparsed += received[begin : begin + step]
        if not body.is_complete:
            body.feed(unparsed)
    return (bytes(body.data), bytes(unparsed)) if body.is_complete else None


def decode_by_h11(received):
    """Return the same by another parser, and 'refused' if it refuses the bytes."""
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(HEAD + received)
    parser.next_event()
    data = b""
    while True:
        try:
            event = parser.next_event()
        except h11.RemoteProtocolError:
            return "refused"
        if isinstance(event, h11.Data):
            data += event.data
        elif isinstance(event, h11.EndOfMessage):
            return data, bytes(parser.trailing_data[0])
        else:
            return None


chunks = st.lists(
    st.tuples(
        st.sampled_from([b"x", b"\r\n", b"0\r\n\r\n", b"\r\n\r\n\r\n", b"a" * 40]),
        st.sampled_from([b"", b";a", b";a=b", b';a="b;c"']),
        st.sampled_from([b"%x", b"%X", b"00%x"]),
    ),
    max_size=12,
)
trailers = st.sampled_from([b"", b"A: b\r\n", b"A: b\r\nC:\r\n"])
following = st.sampled_from([b"", b"G", b"\r\n\r\n", b"GET / HTTP/1.1\r\n\r\n"])


def encode(parts, trailer):
    framed = [size % len(x) + extension + b"\r\n" + x for x, extension, size in parts]
    return b"".join(x + b"\r\n" for x in framed) + b"0\r\n" + trailer + b"\r\n"


@given(chunks, trailers, following, st.integers(1, 70))
def test_chunked_body_ends_where_its_last_chunk_does(parts, trailer, rest, step):
    data = b"".join(part for part, _, _ in parts)
    assert decode(encode(parts, trailer) + rest, step) == (data, rest)


@given(chunks, trailers, st.integers(0, 300), st.binary(min_size=1, max_size=3))
def test_changed_framing_is_never_taken_for_another_body(parts, trailer, at, change):
    encoded = encode(parts, trailer)
    at %= len(encoded)
    changed = encoded[:at] + change + encoded[at + 1 :]
    try:
        decoded = decode(changed, 7)
    except RequestRefused:
        return
    assert decoded == decode_by_h11(changed)


@pytest.mark.parametrize(
    "received",
    [
        b"3\nabc\n0\n\n",
        b"3\r\nabc\n0\r\n\r\n",
        b"3\r\nabcd\r\n",
        b"3 \r\nabc\r\n",
        b" 3\r\nabc\r\n",
        b"+3\r\nabc\r\n",
        b"-1\r\n",
        b"0x3\r\nabc\r\n",
        b"\r\n",
        b"fffffffffffffffff\r\nabc",
        b"3;a\rb\r\nabc\r\n",
        b"3;\x00\r\nabc\r\n",
        b"3\r\nabc\r\n0\r\nA : b\r\n\r\n",
        b"3\r\nabc\r\n0\r\n A: b\r\n\r\n",
        b"3\r\nabc\r\n0\r\nA: b\n\r\n",
        b"3\r\nabc\r\n0\r\nContent-Length: 5\r\n\r\n",
        b"3\r\nabc\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"3\r\nabc\r\n0\n\r\n",
    ],
)
@pytest.mark.parametrize("step", [1, 100])
def test_doubtful_framing_is_refused(received, step):
    with pytest.raises(RequestRefused) as refused:
        decode(received, step)
    assert refused.value.status == 400


@pytest.mark.parametrize("step", [1, 3, 5000])
def test_body_of_the_largest_size_is_decoded(step):
    data = b"x" * MAX_BODY
    assert decode(data + b"next", step, MAX_BODY) == (data, b"next")
    assert decode(b"1\r\nx\r\n" * MAX_BODY + b"0\r\n\r\nnext", step) == (data, b"next")


def test_larger_bodies_are_refused():
    with pytest.raises(RequestRefused):
        decode(b"", length=MAX_BODY + 1)
    with pytest.raises(RequestRefused) as refused:
        decode(b"1\r\nx\r\n" * (MAX_BODY + 1), 50)
    assert refused.value.status == 413


@pytest.mark.parametrize("begin", [b"3;", b"3\r\nabc\r\n0\r\nA: "])
def test_framing_without_end_is_refused(begin):
    with pytest.raises(RequestRefused) as refused:
        decode(begin + b"x" * 2 * MAX_FRAMING, 10)
    assert refused.value.status == 431
