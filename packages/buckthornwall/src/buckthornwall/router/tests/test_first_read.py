"""Tests of what an instance that has just started waits for before it serves."""

import pytest
import trio

from buckthornwall.peers import PeerSettings, PeerState
from buckthornwall.router import core
from buckthornwall.router.core import Router
from buckthornwall.router.first_read import (
    MAX_LONE_SEARCH_S,
    MAX_SEARCH_S,
    MAX_SPEAKER_READ_S,
    FirstRead,
    has_other_seeds,
    is_left_to_peers,
    max_hold_s,
)
from buckthornwall.settings import RouterSettings

from .test_main import TEXT

# A refused caller comes back after half a second.
RETRY_AFTER_S = 0.5


def known(
    age_s=0.0, has_state=False, has_seeds=True, knows_peers=True, is_speaker=True
):
    return FirstRead(age_s, has_state, has_seeds, knows_peers, is_speaker)


def test_first_read_waits_for_a_speaker_to_be_found():
    assert is_left_to_peers(known())
    assert not is_left_to_peers(known(age_s=MAX_SEARCH_S))


def test_instance_that_knows_nobody_looks_longer_for_a_speaker():
    """Its seeds started last, and its read held up the view of its speaker."""
    assert is_left_to_peers(known(age_s=MAX_SEARCH_S, knows_peers=False))
    assert not is_left_to_peers(known(age_s=MAX_LONE_SEARCH_S, knows_peers=False))


def test_first_read_is_left_to_a_speaker_for_a_bounded_time():
    assert is_left_to_peers(known(age_s=MAX_SEARCH_S, is_speaker=False))
    assert not is_left_to_peers(known(age_s=MAX_SPEAKER_READ_S, is_speaker=False))


def test_instance_without_seeds_reads_at_once():
    assert not is_left_to_peers(known(has_seeds=False))


def test_later_reads_are_not_delayed():
    assert not is_left_to_peers(known(has_state=True))


def test_clock_that_was_set_back_delays_no_read_for_ever():
    """The age is by a monotonic clock; a negative one is as at the start."""
    assert is_left_to_peers(known(age_s=-5.0)) is is_left_to_peers(known())


@pytest.mark.parametrize(
    ("serving", "client_timeout_s", "least_s", "most_s"),
    [
        (0, None, RETRY_AFTER_S, 2 * RETRY_AFTER_S),
        (1, None, RETRY_AFTER_S, 2 * RETRY_AFTER_S),
        (5, None, 0.0, RETRY_AFTER_S),
        (0, 0.4, 0.0, 0.2),
        (5, 0.1, 0.0, 0.05),
        (0, 30.0, RETRY_AFTER_S, 2 * RETRY_AFTER_S),
    ],
)
def test_hold_is_worth_it_and_leaves_time_to_serve(
    serving, client_timeout_s, least_s, most_s
):
    known = 6
    assert least_s <= max_hold_s(serving, known, client_timeout_s) <= most_s


@pytest.fixture
def router(tmp_path, autojump_clock):
    path = tmp_path / "settings.ini"
    path.write_text(TEXT)

    def make():
        return Router.from_config(RouterSettings.from_file(path))

    return make


async def test_request_is_held_while_no_instance_serves(router):
    """Of 470 that arrived as all instances began anew, 351 were refused."""
    router, began_at = router(), trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(router._wait_for_first_config, None)
        await trio.sleep(RETRY_AFTER_S)
        assert nursery.child_tasks
        router.table.number = 1
        router.first_config.set()
    assert trio.current_time() - began_at <= RETRY_AFTER_S + core.HOLD_REVIEW_S


async def test_hold_ends_soon_after_another_instance_serves(router, monkeypatch):
    router, began_at = router(), trio.current_time()
    counts = iter([0, 0, 0, 0, 0, *[1] * 100])
    digest = router.fleet()
    assert router.state is PeerState.JOINING

    def fleet():
        digest.count = next(counts)
        return digest

    monkeypatch.setattr(router, "fleet", fleet)
    await router._wait_for_first_config(None)
    assert trio.current_time() - began_at <= RETRY_AFTER_S


async def test_hold_without_a_configuration_ends(router):
    router, began_at = router(), trio.current_time()
    await router._wait_for_first_config(None)
    assert trio.current_time() - began_at <= 2 * RETRY_AFTER_S


def test_seed_that_is_the_instance_itself_counts_as_none():
    """A lone instance would wait for peers at each start."""
    settings = PeerSettings(listen="127.0.0.1:5", seeds=["127.0.0.1:9"])
    assert not has_other_seeds(settings)
    settings.seeds = ["127.0.0.1:9", "127.0.0.2:9"]
    assert has_other_seeds(settings)
