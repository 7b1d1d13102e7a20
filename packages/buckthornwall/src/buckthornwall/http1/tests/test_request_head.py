"""Tests of heads of requests, and of blank lines before them."""

import pytest

from buckthornwall.http1.refusals import RequestRefused
from buckthornwall.http1.request_head import take_head

HEAD = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


def test_blank_lines_before_a_head_are_dropped():
    unparsed = bytearray(b"\r\n\r\n" + HEAD + b"rest")
    assert take_head(unparsed, 100) == HEAD
    assert unparsed == b"rest"


def test_incomplete_head_stays_unparsed():
    unparsed = bytearray(b"\r\n" + HEAD[:-1])
    assert take_head(unparsed, 100) is None
    assert unparsed == b"\r\n" + HEAD[:-1]


@pytest.mark.parametrize("begin", [b"\n", b"\r", b"\n\r\n", b"\r\n\n"])
def test_bare_line_end_before_a_head_is_refused(begin):
    with pytest.raises(RequestRefused) as refused:
        take_head(bytearray(begin + HEAD), 100)
    assert refused.value.status == 400


def test_blank_lines_without_end_were_dropped_until_a_timeout():
    """They count as a part of the head, whose size is limited."""
    with pytest.raises(RequestRefused) as refused:
        take_head(bytearray(b"\r\n" * 51), 100)
    assert refused.value.status == 431
