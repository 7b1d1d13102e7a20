"""Tests of the choice of an upstream."""

from buckthornwall.pools import (
    LoadReport,
    UpstreamEntry,
    UpstreamState,
    choose_engine,
    choose_service,
)
from buckthornwall.pools.load import PeerLoad
from buckthornwall.utils import (
    rendezvous_order,
    rendezvous_winner,
)

from .helpers import POOL, ZONE, adopt, choose, placement_request, prompt


def test_prefix_has_same_preferred_engine_without_a_message(table, clock):
    preferred = rendezvous_winner("s", ["a", "b", "c"])
    choice = choose(table, clock, prompt())
    assert choice.view.id == preferred
    assert choice.uncached_tokens == 5000
    table.receive_cached_prefixes({preferred: [("s", 4000)]})
    choice = choose(table, clock, prompt())
    assert choice.view.id == preferred
    assert choice.uncached_tokens == 1000


def test_prefix_without_update_counts_as_uncached(table, clock):
    """If assumed to be cached, the first prompts of a day count as a fifth."""
    preferred = choose(table, clock, prompt()).view
    preferred.load.add_pending_prefill(5, 3_500)
    assert choose(table, clock, prompt()).view is not preferred
    table.receive_cached_prefixes({preferred.id: [("s", 4000)]})
    assert choose(table, clock, prompt()).view is preferred


def test_engine_with_cached_prefix_is_always_compared(table, clock):
    for number in range(40):
        adopt(table, f"e{number}", 4)
    views = table.usable(POOL, set())
    affinity_order = rendezvous_order("s", [view.id for view in views])
    cached = table.views[affinity_order[-1]]
    cached.prefixes.record_segments([("s", 40_000)])
    assert choose(table, clock, prompt(shared_tokens=40_000)).view is cached


def test_missing_segments_are_copied_from_engine_that_has_them(table, clock):
    preferred = choose(table, clock, prompt()).view
    table.receive_cached_prefixes({preferred.id: [("s", 4000)]})
    assert choose(table, clock, prompt()).copy_from == ""
    preferred.load.add_pending_prefill(5, 100_000)
    choice = choose(table, clock, prompt())
    assert choice.view is not preferred
    assert choice.copy_from == preferred.entry.address
    choice.view.prefixes.record(prompt())
    assert choose(table, clock, prompt()).copy_from == ""


def test_prompt_avoids_loaded_preferred_engine(table, clock):
    preferred = choose(table, clock, prompt()).view
    preferred.load.add_pending_prefill(5, 100_000)
    assert choose(table, clock, prompt()).view is not preferred


def test_delay_within_target_does_not_cost_affinity(table, clock):
    preferred = choose(table, clock, prompt()).view
    table.receive_cached_prefixes({preferred.id: [("s", 4000)]})
    preferred.load.add_pending_prefill(5, 7_000)
    assert choose(table, clock, prompt()).view is not preferred
    assert choose(table, clock, prompt(), discounted_wait_s=0.2).view is preferred


def test_less_urgent_prefill_hardly_counts_for_urgent_prompt(table, clock):
    preferred = choose(table, clock, prompt()).view
    table.receive_cached_prefixes({preferred.id: [("s", 4000)]})
    preferred.load.add_pending_prefill(5, 20_000)
    assert choose(table, clock, prompt(), rank=0).view is preferred


def test_engine_with_full_memory_is_avoided(table, clock):
    """It would preempt running requests, urgent streams too."""
    preferred = choose(table, clock, prompt()).view
    preferred.prefixes.set_memory(100_000)
    preferred.load.memory = 50_000
    preferred.load.peers = PeerLoad(memory=44_000)
    assert choose(table, clock, prompt()).view is preferred
    preferred.load.peers = PeerLoad(memory=46_000)
    assert choose(table, clock, prompt()).view is not preferred


def test_engine_in_cold_start_is_avoided(table, clock):
    preferred = choose(table, clock, prompt()).view
    entry = preferred.entry
    table.adopt(
        UpstreamEntry(
            entry.id, POOL, entry.address, ZONE, 4, UpstreamState.READY, cold_s=3.0
        )
    )
    assert choose(table, clock, prompt()).view is not preferred
    clock.time += 3.0
    assert choose(table, clock, prompt()).view is preferred


def test_pending_prefill_of_peers_counts(table, clock):
    preferred = choose(table, clock, prompt()).view
    preferred.load.peers = PeerLoad(3, {5: 100_000})
    assert choose(table, clock, prompt()).view is not preferred


def test_service_with_lowest_slot_utilization_is_chosen(table, clock):
    for name, running in (("a", 3), ("b", 1), ("c", 2)):
        table.views[name].load.record_report(LoadReport(running, 0, 4), clock.now())
    views = table.usable(POOL, set())
    assert choose_service(views, ZONE, clock.now()).view.id == "b"


def test_idle_engine_does_not_attract_all_overflow(table, clock):
    """All instances see it idle, and would send there before load updates arrive."""
    for number in range(40):
        adopt(table, f"e{number}", 4)
    views = table.usable(POOL, set())
    idle = views[-1]
    for view in views[:-1]:
        view.load.add_pending_prefill(5, 90_000)
    requests = [placement_request(prompt(), key=f"r{n}") for n in range(200)]
    chosen = [choose_engine(views, each, clock.now()).view for each in requests]
    assert 1 <= chosen.count(idle) <= 40
