"""Tests of the ejection and readmission of upstreams."""

from buckthornwall.pools import (
    Verdict,
)
from buckthornwall.pools.health import Health

from .helpers import POOL


def test_unreachable_upstream_is_ejected_and_probed(table, clock):
    view = table.views["a"]
    table.record_outcome(view, Verdict.UNREACHABLE)
    assert view not in table.usable(POOL, set())
    clock.time += 1.0
    assert view in table.usable(POOL, set())
    view.health.record_sent(clock.now())
    assert view not in table.usable(POOL, set())
    table.record_outcome(view, Verdict.GOOD)
    assert view in table.usable(POOL, set())


def test_all_upstreams_are_usable_when_all_are_ejected(table):
    for view in table.views.values():
        table.record_outcome(view, Verdict.UNREACHABLE)
    assert len(table.usable(POOL, set())) == 3


def test_upstream_failing_more_than_the_others_is_ejected():
    health = Health()
    for step in range(30):
        health.record_outcome(
            Verdict.FAILED if step % 2 else Verdict.GOOD, 0.05, step * 0.1
        )
        if health.ejected:
            break
    assert health.ejected


def test_upstream_failing_like_the_others_is_not_ejected():
    health = Health()
    for step in range(40):
        health.record_outcome(
            Verdict.FAILED if step % 2 else Verdict.GOOD, 0.5, step * 0.1
        )
    assert not health.ejected
