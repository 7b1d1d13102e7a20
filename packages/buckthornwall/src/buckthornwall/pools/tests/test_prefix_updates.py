"""Tests of the exchange of cached prefixes between instances."""

from buckthornwall.pools import PrefixUpdates, merge_cached_prefixes
from buckthornwall.pools.prefix_updates import MAX_SENT_PREFIXES, REFRESH_S, REPEAT_S
from buckthornwall.utils import UpstreamId

E1, E2 = UpstreamId("e1"), UpstreamId("e2")


def test_segment_is_repeated_for_limited_time():
    updates = PrefixUpdates()
    updates.record(E1, [("s", 4000)], 10.0)
    assert updates.to_send(10.0 + REPEAT_S) == {E1: [("s", 4000)]}
    assert updates.to_send(10.01 + REPEAT_S) == {}


def test_segment_in_use_is_refreshed_rarely():
    updates = PrefixUpdates()
    for step in range(int(REFRESH_S / 0.1)):
        updates.record(E1, [("s", 4000)], 10.0 + 0.1 * step)
    assert updates.to_send(10.0 + REFRESH_S - 0.2) == {}
    updates.record(E1, [("s", 4000)], 10.1 + REFRESH_S)
    assert updates.to_send(10.1 + REFRESH_S) == {E1: [("s", 4000)]}


def test_message_is_bounded_and_has_newest_segments():
    updates = PrefixUpdates()
    for number in range(MAX_SENT_PREFIXES + 5):
        updates.record(E1, [(f"s{number}", 900)], 10.0)
    sent = updates.to_send(10.0)[E1]
    assert len(sent) == MAX_SENT_PREFIXES
    assert (f"s{MAX_SENT_PREFIXES + 4}", 900) in sent
    assert ("s0", 900) not in sent


def test_received_segment_is_not_relayed_in_a_loop():
    first, second = PrefixUpdates(), PrefixUpdates()
    first.record(E1, [("s", 4000)], 10.0)
    second.receive(first.to_send(10.0), 10.0)
    assert second.to_send(10.0) == {E1: [("s", 4000)]}
    first.receive(second.to_send(10.1), 10.1)
    assert first.to_send(10.1 + REPEAT_S) == {}


def test_merge_has_each_segment_once():
    total = {E1: [("s", 4000)]}
    merge_cached_prefixes(total, {E1: [("s", 4000), ("t", 5)], E2: [("s", 4000)]})
    assert total == {E1: [("s", 4000), ("t", 5)], E2: [("s", 4000)]}


def test_short_segments_are_not_sent():
    updates = PrefixUpdates()
    updates.record(E1, [("long", 500), ("short", 499)], 10.0)
    assert updates.to_send(10.0) == {E1: [("long", 500)]}
