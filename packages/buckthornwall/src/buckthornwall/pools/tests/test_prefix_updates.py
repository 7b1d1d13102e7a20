"""Tests of what instances tell each other of the parts that engines hold."""

from buckthornwall.pools import PrefixUpdates, merge_cached_prefixes
from buckthornwall.pools.prefix_updates import MAX_SENT_PREFIXES, REFRESH_S, REPEAT_S
from buckthornwall.utils import UpstreamId

E1, E2 = UpstreamId("e1"), UpstreamId("e2")


def test_a_part_is_told_for_a_while_and_then_no_more():
    updates = PrefixUpdates()
    updates.record(E1, [("s", 4000)], 10.0)
    assert updates.to_send(10.0 + REPEAT_S) == {E1: [("s", 4000)]}
    assert updates.to_send(10.01 + REPEAT_S) == {}


def test_a_part_in_use_is_told_again_but_seldom():
    updates = PrefixUpdates()
    for step in range(int(REFRESH_S / 0.1)):
        updates.record(E1, [("s", 4000)], 10.0 + 0.1 * step)
    assert updates.to_send(10.0 + REFRESH_S - 0.2) == {}
    updates.record(E1, [("s", 4000)], 10.1 + REFRESH_S)
    assert updates.to_send(10.1 + REFRESH_S) == {E1: [("s", 4000)]}


def test_a_message_has_a_bound_and_holds_the_newest():
    updates = PrefixUpdates()
    for number in range(MAX_SENT_PREFIXES + 5):
        updates.record(E1, [(f"s{number}", 900)], 10.0)
    sent = updates.to_send(10.0)[E1]
    assert len(sent) == MAX_SENT_PREFIXES
    assert (f"s{MAX_SENT_PREFIXES + 4}", 900) in sent
    assert ("s0", 900) not in sent


def test_what_was_heard_is_told_on_once():
    first, second = PrefixUpdates(), PrefixUpdates()
    first.record(E1, [("s", 4000)], 10.0)
    second.receive(first.to_send(10.0), 10.0)
    assert second.to_send(10.0) == {E1: [("s", 4000)]}
    first.receive(second.to_send(10.1), 10.1)
    assert first.to_send(10.1 + REPEAT_S) == {}


def test_sums_hold_each_part_once():
    total = {E1: [("s", 4000)]}
    merge_cached_prefixes(total, {E1: [("s", 4000), ("t", 5)], E2: [("s", 4000)]})
    assert total == {E1: [("s", 4000), ("t", 5)], E2: [("s", 4000)]}


def test_short_parts_are_not_told():
    updates = PrefixUpdates()
    updates.record(E1, [("long", 500), ("short", 499)], 10.0)
    assert updates.to_send(10.0) == {E1: [("long", 500)]}
