"""Tests of a store that returns from an older copy."""

from dataclasses import replace

from buckthornwall.discovery import StoreUpdate
from buckthornwall.pools import UpstreamState
from buckthornwall.utils import UpstreamId, ZoneId

from .test_agent import agent, at, entry, in_era, usable

__all__ = ["agent"]

LEAVING = UpstreamState.LEAVING


def test_snapshot_of_a_later_era_is_adopted_although_its_revision_is_lower(agent):
    agent.adopt(in_era(1, 30, entry("a"), entry("b")))
    agent.adopt(in_era(2, 12, entry("a", LEAVING), entry("b")))
    assert usable(agent) == {"b"}
    assert agent.position == agent.change_position == at(12, era=2)


def test_answer_of_a_former_era_changes_no_registration(agent):
    agent.adopt(in_era(1, 30, entry("a")))
    agent.adopt(in_era(2, 12, entry("a", LEAVING)))
    agent.adopt(in_era(1, 31, entry("a"), entry("c")))
    assert usable(agent) == set()


def test_configuration_of_a_former_era_still_applies(agent):
    """It was acknowledged, and no accepted configuration may be missing for long."""
    agent.adopt(in_era(2, 12, published=b"7"))
    agent.adopt(in_era(1, 30, published=b"8"))
    assert agent.table.number == 8


def test_view_with_older_registrations_is_taken_for_its_configuration_only(agent):
    agent.adopt(in_era(2, 12, entry("a", LEAVING), published=b"7"))
    agent.adopt(in_era(2, 11, entry("a"), published=b"8", is_relayed=True))
    assert usable(agent) == set()
    assert agent.table.number == 8


def test_registration_removed_in_a_lost_history_rests_until_it_would_expire(
    agent, clock
):
    agent.adopt(in_era(1, 30, entry("a"), entry("b")))
    agent.adopt(in_era(1, 31, entry("b")))
    agent.adopt(in_era(2, 12, entry("a"), entry("b")))
    assert usable(agent) == {"b"}
    clock.time += 5.1
    assert usable(agent) == {"a", "b"}


def test_other_incarnation_in_a_copy_does_not_replace_the_known_one(agent):
    newer, older = (replace(entry("a"), incarnation=name) for name in ("2", "1"))
    agent.adopt(in_era(1, 30, newer))
    agent.adopt(in_era(2, 12, older))
    assert agent.pools.views["a"].entry.incarnation == "2"


def test_removal_written_after_the_return_is_not_deferred_for_long(agent, clock):
    agent.adopt(in_era(1, 30, entry("a"), entry("b")))
    agent.adopt(in_era(2, 12, entry("a"), entry("b")))
    clock.time += 0.8
    removed = StoreUpdate(13, False, 13, removed={UpstreamId("a")}, era=2)
    agent.adopt(removed)
    assert usable(agent) == {"b"}


def test_second_snapshot_of_an_era_does_not_drop_what_the_copy_lacked(agent, clock):
    agent.adopt(in_era(1, 30, entry("a"), entry("b")))
    agent.adopt(in_era(2, 12, entry("b")))
    clock.time += 1.0
    agent.adopt(in_era(2, 13, entry("b")))
    assert usable(agent) == {"a", "b"}
    clock.time += 1.3
    agent.state.remove_deferred()
    assert usable(agent) == {"b"}


def test_evacuation_missing_in_a_copy_ends_once_it_could_have_been_written_again(
    agent, clock
):
    agent.adopt(in_era(1, 30, entry("a"), evacuated={ZoneId("z"): at(30, era=1)}))
    agent.adopt(in_era(2, 12, entry("a")))
    assert usable(agent) == set()
    clock.time += 2.3
    agent.state.remove_deferred()
    assert usable(agent) == {"a"}


def test_evacuation_written_again_outlasts_its_deferred_end(agent, clock):
    agent.adopt(in_era(1, 30, entry("a"), evacuated={ZoneId("z"): at(30, era=1)}))
    agent.adopt(in_era(2, 12, entry("a")))
    evacuated = {ZoneId("z"): at(13, era=2)}
    agent.adopt(StoreUpdate(13, False, 13, evacuated=evacuated, era=2))
    clock.time += 2.3
    agent.state.remove_deferred()
    assert usable(agent) == set()


def test_update_without_an_era_counts_as_of_the_known_one(agent):
    agent.adopt(in_era(3, 12, entry("a")))
    agent.adopt(in_era(0, 13, entry("a", LEAVING), is_relayed=True))
    assert usable(agent) == set()
    assert agent.position == at(13, era=3)


def test_complete_read_of_a_store_without_eras_may_go_back(agent):
    """Otherwise each watch is answered with 410 until the store has passed it."""
    agent.adopt(in_era(0, 30, entry("a")))
    agent.adopt(in_era(0, 12, entry("a", LEAVING)))
    assert agent.position == at(12)
    assert usable(agent) == set()
