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

from .helpers import POOL, ZONE, adopt, choose, prompt, wanted


def test_a_shared_part_has_one_home_without_a_message(table, clock):
    home = rendezvous_winner("s", ["a", "b", "c"])
    choice = choose(table, clock, prompt())
    assert choice.view.id == home
    assert choice.uncached_tokens == 5000
    table.receive_cached_prefixes({home: [("s", 4000)]})
    choice = choose(table, clock, prompt())
    assert choice.view.id == home
    assert choice.uncached_tokens == 1000


def test_a_part_that_nobody_is_known_to_have_read_is_counted_in_full(table, clock):
    """Taken to lie at its home, the first prompts of a day were counted as a fifth."""
    home = choose(table, clock, prompt()).view
    home.load.add_pending_prefill(5, 3_500)
    assert choose(table, clock, prompt()).view is not home
    table.receive_cached_prefixes({home.id: [("s", 4000)]})
    assert choose(table, clock, prompt()).view is home


def test_the_engine_that_holds_a_part_is_compared_wherever_it_stands(table, clock):
    for number in range(40):
        adopt(table, f"e{number}", 4)
    views = table.usable(POOL, set())
    homes = rendezvous_order("s", [view.id for view in views])
    holder = table.views[homes[-1]]
    holder.prefixes.record_segments([("s", 40_000)])
    assert choose(table, clock, prompt(shared_tokens=40_000)).view is holder


def test_what_is_missing_is_copied_from_who_holds_it(table, clock):
    home = choose(table, clock, prompt()).view
    table.receive_cached_prefixes({home.id: [("s", 4000)]})
    assert choose(table, clock, prompt()).copy_from == ""
    home.load.add_pending_prefill(5, 100_000)
    choice = choose(table, clock, prompt())
    assert choice.view is not home
    assert choice.copy_from == home.entry.address
    choice.view.prefixes.record(prompt())
    assert choose(table, clock, prompt()).copy_from == ""


def test_a_crowded_home_is_left(table, clock):
    home = choose(table, clock, prompt()).view
    home.load.add_pending_prefill(5, 100_000)
    assert choose(table, clock, prompt()).view is not home


def test_a_wait_well_within_the_target_keeps_a_prompt_at_home(table, clock):
    home = choose(table, clock, prompt()).view
    table.receive_cached_prefixes({home.id: [("s", 4000)]})
    home.load.add_pending_prefill(5, 7_000)
    assert choose(table, clock, prompt()).view is not home
    assert choose(table, clock, prompt(), free_s=0.2).view is home


def test_urgent_work_looks_past_what_is_read_after_it(table, clock):
    home = choose(table, clock, prompt()).view
    table.receive_cached_prefixes({home.id: [("s", 4000)]})
    home.load.add_pending_prefill(5, 20_000)
    assert choose(table, clock, prompt(), rank=0).view is home


def test_an_engine_without_memory_left_is_spared(table, clock):
    """It would preempt what runs there, urgent streams too."""
    home = choose(table, clock, prompt()).view
    home.prefixes.set_memory(100_000)
    home.load.memory = 50_000
    home.load.peers = PeerLoad(memory=44_000)
    assert choose(table, clock, prompt()).view is home
    home.load.peers = PeerLoad(memory=46_000)
    assert choose(table, clock, prompt()).view is not home


def test_an_engine_that_warms_up_is_spared_until_it_is_warm(table, clock):
    home = choose(table, clock, prompt()).view
    entry = home.entry
    table.adopt(
        UpstreamEntry(
            entry.id, POOL, entry.address, ZONE, 4, UpstreamState.READY, cold_s=3.0
        )
    )
    assert choose(table, clock, prompt()).view is not home
    clock.time += 3.0
    assert choose(table, clock, prompt()).view is home


def test_peers_work_counts(table, clock):
    home = choose(table, clock, prompt()).view
    home.load.peers = PeerLoad(3, {5: 100_000})
    assert choose(table, clock, prompt()).view is not home


def test_a_service_with_fewer_slots_in_use_is_taken(table, clock):
    for name, running in (("a", 3), ("b", 1), ("c", 2)):
        table.views[name].load.record_report(LoadReport(running, 0, 4), clock.now())
    views = table.usable(POOL, set())
    assert choose_service(views, ZONE, clock.now()).view.id == "b"


def test_an_idle_engine_draws_a_part_of_what_leaves_its_home(table, clock):
    """Others have seen it idle too, and all would send there before they hear."""
    for number in range(40):
        adopt(table, f"e{number}", 4)
    views = table.usable(POOL, set())
    idle = views[-1]
    for view in views[:-1]:
        view.load.add_pending_prefill(5, 90_000)
    requests = [wanted(prompt(), key=f"r{n}") for n in range(200)]
    chosen = [choose_engine(views, each, clock.now()).view for each in requests]
    assert 1 <= chosen.count(idle) <= 40
