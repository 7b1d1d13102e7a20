"""Tests of the log lines when a speaker's digest is overdue."""

import pytest
from loguru import logger

from buckthornwall.peers import PeerTable
from buckthornwall.router.staleness_monitor import StalenessMonitor
from buckthornwall.routing import RoutingTable
from buckthornwall.utils import ZoneId


@pytest.fixture
def lines():
    found = []
    sink = logger.add(lambda line: found.append(str(line)), format="{message}")
    yield found
    logger.remove(sink)


def test_overdue_digest_and_its_end_are_logged_once_each(lines, monkeypatch):
    peers = PeerTable("10.0.0.1:7340", 1.0, ZoneId("z"), 0.8, 0.1)
    ages = iter([0.4, 1.5, 2.0, 0.2, 0.3])
    monkeypatch.setattr(peers, "staleness_s", lambda now: next(ages))
    monkeypatch.setattr(peers, "speaker_address", lambda now: "10.0.0.2:7340")
    monitor = StalenessMonitor(peers, RoutingTable())
    for now in (10.0, 11.5, 12.0, 12.5, 13.0):
        monitor.check(now)
    assert len(lines) == 2
    assert "event=news_overdue speaker=10.0.0.2:7340 word_age_ms=1500" in lines[0]
    assert "event=news_heard silent_ms=2300" in lines[1]
