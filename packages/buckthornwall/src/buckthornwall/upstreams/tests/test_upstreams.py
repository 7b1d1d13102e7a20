"""Tests of the retry budget and of parsing server-sent events."""

from hypothesis import given
from hypothesis import strategies as st

from buckthornwall.upstreams import RetryBudget
from buckthornwall.upstreams.engine import extract_sse_events


def test_retries_do_not_exceed_fraction_of_first_attempts():
    budget = RetryBudget(ratio=0.1, reserve=2)
    assert [budget.spend() for _ in range(3)] == [True, True, False]
    for _ in range(10):
        budget.earn()
    assert [budget.spend() for _ in range(2)] == [True, False]


@given(
    st.lists(st.text("ab{}: ", min_size=1, max_size=5), max_size=6),
    st.integers(1, 7),
)
def test_no_event_is_lost_however_the_stream_is_split(texts, size):
    events = [text.strip().encode() for text in texts]
    stream = b"".join(b"data: " + event + b"\n\n" for event in events)
    buffer = bytearray()
    found = []
    for start in range(0, len(stream), size):
        buffer += stream[start : start + size]
        found += extract_sse_events(buffer)
    assert found == events
    assert not buffer


def test_sse_comments_are_skipped():
    assert extract_sse_events(bytearray(b": ping\n\ndata: x\n\n")) == [b"x"]
