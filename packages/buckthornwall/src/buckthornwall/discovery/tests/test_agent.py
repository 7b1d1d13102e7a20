"""Tests of applying updates, and of outages of their source."""

from dataclasses import replace

import pytest
import trio

from buckthornwall.codes import PeerError, RecordError, ResultCode
from buckthornwall.discovery import DiscoveryAgent, DiscoverySettings, StoreUpdate
from buckthornwall.pools import PoolTable, UpstreamEntry, UpstreamState
from buckthornwall.routing import Pool, PoolId, PublishedConfig, RoutingTable
from buckthornwall.utils import StorePosition, TrioClock, UpstreamId, ZoneId

POOL = PoolId("drafts")


def entry(name: str, state: UpstreamState = UpstreamState.READY) -> UpstreamEntry:
    return UpstreamEntry(UpstreamId(name), POOL, "10.0.0.1:80", ZoneId("z"), 4, state)


def update(
    revision: int, *names: str, is_snapshot=False, removed=(), published=None
) -> StoreUpdate:
    entries = {UpstreamId(name): entry(name) for name in names}
    return StoreUpdate(
        revision, is_snapshot, revision, published, entries, set(removed)
    )


def in_era(era: int, revision: int, *entries: UpstreamEntry, **more) -> StoreUpdate:
    """Return a snapshot of the store in an era."""
    return StoreUpdate(
        revision,
        is_snapshot=True,
        change_revision=revision,
        entries={each.id: each for each in entries},
        era=era,
        **more,
    )


def usable(agent) -> set[str]:
    return {view.id for view in agent.pools.usable(POOL, frozenset())}


def decode(raw: bytes) -> PublishedConfig:
    if not raw.isdigit():
        raise RecordError(ResultCode.RECORDS_MALFORMED, "not a number")
    return PublishedConfig(number=int(raw), pools=(Pool(POOL, "/health", 10),))


@pytest.fixture
def agent(clock):
    pools = PoolTable(clock)
    table = RoutingTable()
    return DiscoveryAgent(DiscoverySettings(), None, decode, table, pools, clock)


def outage_of(agent, clock, seconds: float) -> None:
    """Let the source be unavailable, and then answer again."""
    clock.time += seconds
    agent.record_failure(PeerError(ResultCode.PLATFORM_UNREACHABLE, "reset"))
    agent.record_answer()


def test_older_configuration_is_not_adopted(agent):
    agent.adopt(update(1, published=b"7"))
    agent.adopt(update(2, published=b"6"))
    assert agent.table.number == 7


def test_malformed_configuration_is_not_adopted(agent):
    agent.adopt(update(1, published=b"7"))
    agent.adopt(update(2, published=b"{"))
    assert agent.table.number == 7


def test_removed_upstream_is_dropped_at_once(agent):
    agent.adopt(update(1, "a", "b", is_snapshot=True))
    agent.adopt(update(2, removed=["a"]))
    assert list(agent.pools.views) == ["b"]


def test_upstream_missing_in_a_snapshot_is_dropped(agent):
    agent.adopt(update(1, "a", "b", is_snapshot=True))
    agent.adopt(update(2, "b", is_snapshot=True))
    assert list(agent.pools.views) == ["b"]


def test_registration_that_expired_in_an_outage_may_be_renewed(agent, clock):
    agent.adopt(update(1, "a", "b", is_snapshot=True))
    outage_of(agent, clock, 5.0)
    agent.adopt(update(2, removed=["a", "b"]))
    assert set(agent.pools.views) == {"a", "b"}
    clock.time += 1.0
    agent.adopt(update(3, "a"))
    clock.time += 2.0
    agent.state.remove_deferred()
    assert list(agent.pools.views) == ["a"]


def test_removal_long_after_an_outage_is_not_deferred(agent, clock):
    """An upstream that leaves 0.8 s after an outage must get no new requests."""
    agent.adopt(update(1, "a", "b", is_snapshot=True))
    outage_of(agent, clock, 9.0)
    agent.adopt(update(2))
    clock.time += 0.8
    agent.adopt(update(3, removed=["a"]))
    assert list(agent.pools.views) == ["b"]


def test_instance_that_alone_lost_the_store_does_not_defer_removals(agent, clock):
    """The store kept answering other instances, so no registration expired."""
    agent.adopt(update(1, "a", "b", is_snapshot=True))
    outage_of(agent, clock, 5.0)
    agent.adopt(update(2, removed=["a"]))
    agent.receive_store_uptime(30.0)
    assert agent.max_watch_s() == 0.0
    agent.adopt(update(2))
    agent.state.remove_deferred()
    assert list(agent.pools.views) == ["b"]
    agent.adopt(update(3, removed=["b"]))
    assert not agent.pools.views


def test_renewed_registration_cancels_a_deferred_removal(agent, clock):
    agent.adopt(update(1, "a", is_snapshot=True))
    outage_of(agent, clock, 5.0)
    agent.adopt(update(2, removed=["a"]))
    agent.receive_store_uptime(9.0)
    agent.adopt(update(3, "a"))
    agent.state.remove_deferred()
    assert list(agent.pools.views) == ["a"]


def test_uptime_since_the_same_outage_does_not_end_the_deferral_early(agent, clock):
    agent.adopt(update(1, "a", is_snapshot=True))
    outage_of(agent, clock, 5.0)
    agent.adopt(update(2, removed=["a"]))
    agent.receive_store_uptime(0.3)
    clock.time += 1.8
    agent.receive_store_uptime(2.1)
    agent.state.remove_deferred()
    assert list(agent.pools.views) == ["a"]
    clock.time += 0.4
    agent.state.remove_deferred()
    assert not agent.pools.views


def test_store_uptime_counts_from_the_last_outage(agent, clock):
    assert agent.store_uptime_s() == 0.0
    agent.record_answer()
    clock.time += 1.0
    agent.record_answer()
    clock.time += 0.5
    assert agent.store_uptime_s() == pytest.approx(1.5)
    outage_of(agent, clock, 5.0)
    clock.time += 0.7
    assert agent.store_uptime_s() == pytest.approx(0.7)


def test_store_uptime_is_zero_after_an_old_answer(agent, clock):
    agent.record_answer()
    clock.time += 4.0
    assert agent.store_uptime_s() == 0.0


def test_watches_are_short_while_removals_are_deferred(agent, clock):
    agent.adopt(update(1, "a", is_snapshot=True))
    assert agent.max_watch_s() == pytest.approx(1.5)
    outage_of(agent, clock, 5.0)
    agent.adopt(update(2, removed=["a"]))
    assert agent.max_watch_s() == pytest.approx(0.3)
    clock.time += 2.0
    assert agent.max_watch_s() == pytest.approx(0.2)


def test_change_revision_advances_only_with_changes(agent):
    agent.adopt(update(5, "a", is_snapshot=True))
    agent.adopt(StoreUpdate(revision=9, is_snapshot=False))
    assert (agent.position, agent.change_position) == (at(9), at(5))


async def test_instance_that_stops_reading_still_applies_deferred_removals(
    autojump_clock, nursery
):
    """Otherwise it keeps an ended upstream for 4 to 6 s longer than readers do."""
    pools, table = PoolTable(TrioClock()), RoutingTable()
    agent = DiscoveryAgent(DiscoverySettings(), None, decode, table, pools, TrioClock())
    agent.adopt(update(1, "a", "b", is_snapshot=True))
    agent.record_answer()
    await trio.sleep(3.0)
    agent.record_failure(PeerError(ResultCode.PLATFORM_UNREACHABLE, "reset"))
    agent.record_answer()
    agent.adopt(update(2, "b", is_snapshot=True))
    assert set(pools.views) == {"a", "b"}
    agent.may_read = lambda: False
    nursery.start_soon(agent.run)
    await trio.sleep(DiscoverySettings().settle_ms / 1000 + 0.2)
    assert set(pools.views) == {"b"}
    nursery.cancel_scope.cancel()


def at(revision: int, era: int = 0) -> StorePosition:
    return StorePosition(era, revision)


def zones(revision: int, is_snapshot=False, **more) -> StoreUpdate:
    for name in ("evacuated", "reopened"):
        records = more.get(name, {})
        more[name] = {zone: at(number) for zone, number in records.items()}
    return StoreUpdate(
        revision, is_snapshot, revision, entries={"a": entry("a")}, **more
    )


def test_zone_is_evacuated_until_its_record_is_removed(agent):
    agent.adopt(zones(5, evacuated={"z": 5}))
    assert agent.pools.evacuations.zones() == {"z": at(5)}
    agent.adopt(zones(6, reopened={"z": 6}))
    assert agent.pools.evacuations.zones() == {}


def test_newer_snapshot_without_a_record_reopens_its_zone(agent):
    agent.adopt(zones(5, evacuated={"z": 5}))
    agent.adopt(zones(4, is_snapshot=True))
    assert agent.pools.evacuations.zones() == {"z": at(5)}
    agent.adopt(zones(6, is_snapshot=True, unreadable_zones={"z"}))
    assert agent.pools.evacuations.zones() == {"z": at(5)}
    agent.adopt(zones(7, is_snapshot=True))
    assert agent.pools.evacuations.zones() == {}


def test_evacuation_of_an_unknown_zone_is_refused(agent):
    agent.adopt(zones(5, evacuated={"nowhere": 4, "z": 5}))
    assert agent.pools.evacuations.zones() == {"z": at(5)}


def cold_decode(raw: bytes) -> PublishedConfig:
    pool = Pool(POOL, "/health", 10, cold_s=3.0, cold_per_s=9.7)
    return PublishedConfig(number=int(raw), pools=(pool,))


def cold(agent) -> set[str]:
    now = agent.clock.now()
    views = agent.pools.views.values()
    return {view.id for view in views if view.rate_limit.is_cold(now)}


@pytest.fixture
def cold_agent(agent):
    """Return an agent whose first update contained one upstream."""
    agent.decode = cold_decode
    agent.adopt(update(1, "a", is_snapshot=True, published=b"1"))
    return agent


def test_upstream_in_the_first_update_is_not_assumed_cold(cold_agent):
    assert cold(cold_agent) == set()


def test_upstream_that_appears_later_is_assumed_cold(cold_agent, clock):
    """Its registration may not say so yet."""
    cold_agent.adopt(update(2, "b"))
    assert cold(cold_agent) == {"b"}
    clock.time += 3.1
    cold_agent.adopt(update(3, "b"))
    assert cold(cold_agent) == set()


def test_upstreams_of_a_reopened_zone_are_assumed_cold(cold_agent, clock):
    cold_agent.adopt(zones(5, evacuated={"z": 5}))
    assert cold(cold_agent) == set()
    clock.time += 20.0
    cold_agent.adopt(zones(6, reopened={"z": 6}))
    assert cold(cold_agent) == {"a"}


class NeverAnswers:
    """A store behind a link that is too slow for a complete read."""

    async def read_all(self):
        await trio.sleep_forever()


async def test_first_read_ends_once_a_view_has_its_content(autojump_clock, nursery):
    """Its rest took a slow link for 0.5 s more, while callers waited."""
    pools, table = PoolTable(TrioClock()), RoutingTable()
    agent = DiscoveryAgent(
        DiscoverySettings(), NeverAnswers(), decode, table, pools, TrioClock()
    )
    outcomes = []
    agent.on_call = lambda seconds, outcome: outcomes.append(outcome)
    nursery.start_soon(agent.run)
    await trio.sleep(0.1)
    agent.may_read = lambda: False
    agent.adopt(
        replace(update(1, "a", is_snapshot=True, published=b"1"), is_relayed=True)
    )
    await trio.sleep(0.1)
    assert outcomes == ["superseded"]
    assert usable(agent) == {"a"}
    nursery.cancel_scope.cancel()
