"""Tests of what instances tell each other of the parts that engines hold."""

from buckthornwall.pools import PrefixNews, merge_held
from buckthornwall.pools.prefix_news import MOST_TOLD, REFRESH_S, TOLD_S
from buckthornwall.utils import UpstreamId

E1, E2 = UpstreamId("e1"), UpstreamId("e2")


def test_a_part_is_told_for_a_while_and_then_no_more():
    news = PrefixNews()
    news.note(E1, [("s", 4000)], 10.0)
    assert news.told(10.0 + TOLD_S) == {E1: [("s", 4000)]}
    assert news.told(10.01 + TOLD_S) == {}


def test_a_part_in_use_is_told_again_but_seldom():
    news = PrefixNews()
    for step in range(int(REFRESH_S / 0.1)):
        news.note(E1, [("s", 4000)], 10.0 + 0.1 * step)
    assert news.told(10.0 + REFRESH_S - 0.2) == {}
    news.note(E1, [("s", 4000)], 10.1 + REFRESH_S)
    assert news.told(10.1 + REFRESH_S) == {E1: [("s", 4000)]}


def test_a_message_has_a_bound_and_holds_the_newest():
    news = PrefixNews()
    for number in range(MOST_TOLD + 5):
        news.note(E1, [(f"s{number}", 900)], 10.0)
    told = news.told(10.0)[E1]
    assert len(told) == MOST_TOLD
    assert (f"s{MOST_TOLD + 4}", 900) in told
    assert ("s0", 900) not in told


def test_what_was_heard_is_told_on_once():
    first, second = PrefixNews(), PrefixNews()
    first.note(E1, [("s", 4000)], 10.0)
    second.receive(first.told(10.0), 10.0)
    assert second.told(10.0) == {E1: [("s", 4000)]}
    first.receive(second.told(10.1), 10.1)
    assert first.told(10.1 + TOLD_S) == {}


def test_sums_hold_each_part_once():
    total = {E1: [("s", 4000)]}
    merge_held(total, {E1: [("s", 4000), ("t", 5)], E2: [("s", 4000)]})
    assert total == {E1: [("s", 4000), ("t", 5)], E2: [("s", 4000)]}


def test_short_parts_are_not_told():
    news = PrefixNews()
    news.note(E1, [("long", 500), ("short", 499)], 10.0)
    assert news.told(10.0) == {E1: [("long", 500)]}
