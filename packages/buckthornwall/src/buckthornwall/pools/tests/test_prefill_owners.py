"""Tests of the owners of reserved engines, and of their prefill budgets."""

import dataclasses
import math

import pytest

from buckthornwall.engine_model import EngineModel, scale_model
from buckthornwall.pools import Fleet, LoadReport, PoolSettings, PoolTable
from buckthornwall.pools.decision import choose_upstream
from buckthornwall.pools.load import PeerLoad
from buckthornwall.pools.owned_prefill import (
    long_prompt_engines,
    owned_ids,
    reserved_ids,
)
from buckthornwall.pools.prefill_owners import PrefillBudget, PrefillOwners
from buckthornwall.pools.recent_prefill import MAX_RECENT_PROMPTS, RecentPrefill
from buckthornwall.pools.reserved import Split
from buckthornwall.routing import EngineSpec, Pool
from buckthornwall.utils import UpstreamId, ZoneId

from .helpers import POOL, ZONE, adopt, prompt, traits
from .test_reserved import pause_sensitive_route

ENGINES = 12
INSTANCES = 86
ZONES = (ZONE, ZoneId("z2"), ZoneId("z3"))
MAX_PAUSE_S = 0.3


def fleets(instances: int = INSTANCES) -> list[Fleet]:
    """Return the fleet as each of its instances knows it, in three zones."""
    addresses = [f"10.0.{number}.1:7" for number in range(instances)]
    by_zone = {zone: tuple(addresses[at::3]) for at, zone in enumerate(ZONES)}
    return [
        Fleet(address, zone, ZONES, members, instances)
        for zone, members in by_zone.items()
        for address in members
    ]


def owners_of(fleet: Fleet) -> PrefillOwners:
    owners = PrefillOwners()
    owners.set_fleet(fleet)
    return owners


def make_table(clock, fleet: Fleet, settings=None, engines: int = ENGINES) -> PoolTable:
    """Return a pool whose streams allow little pause, as one instance knows it."""
    table = PoolTable(clock, settings=settings)
    for number in range(engines):
        adopt(table, f"e{number}", 10)
    pool = Pool(POOL, "/", 10, EngineSpec(10, 300_000, 5))
    table.set_contracts([pool], [pause_sensitive_route(MAX_PAUSE_S)])
    table.prefill_owners.set_fleet(fleet)
    for view in table.members(POOL):
        view.load.peers = PeerLoad(requests=2, pause_sensitive=2)
    return table


def reserve(table: PoolTable, clock) -> list:
    """Return the engines reserved for the streams that run."""
    split = table.reserved_engines(POOL).split(
        table.usable(POOL, set()), clock.now(), None, table.members(POOL)
    )
    return split.reserved


def place(table: PoolTable, clock, tokens: int, number: int = 0, tried=frozenset()):
    """Return where a prompt goes that shares nothing with others."""
    shape = prompt(f"s{number}", f"o{number}", 0, tokens)
    request = dataclasses.replace(traits(shape, tier=2), id=f"r{number}")
    return choose_upstream(table, request, tried, ZONE, clock.now()).view


@pytest.mark.parametrize("engine", [f"e{number}" for number in range(45)])
def test_each_engine_has_one_owner(engine):
    owners = [owners_of(fleet) for fleet in fleets()]
    assert sum(each.is_owner(UpstreamId(engine)) for each in owners) == 1


@pytest.mark.parametrize(
    ("instances", "engines", "expected"),
    [(86, 45, True), (24, 9, True), (45, 45, False), (8, 3, False), (6, 9, False)],
)
def test_owners_are_needed_with_many_instances_only(instances, engines, expected):
    owners = owners_of(fleets(instances)[0])
    assert owners.are_needed(engines) is expected


def test_instance_that_knows_no_fleet_owns_nothing():
    owners = PrefillOwners()
    assert not owners.are_needed(3)
    assert not owners.is_owner(UpstreamId("e0"))


def test_death_of_an_owner_frees_its_engine_for_one_instance():
    """The engines of others keep their owners."""
    before = {fleet.address: owners_of(fleet) for fleet in fleets()}
    engines = [UpstreamId(f"e{number}") for number in range(45)]
    dead = next(
        address for address, each in before.items() if each.is_owner(engines[0])
    )
    after = {
        fleet.address: owners_of(
            dataclasses.replace(
                fleet,
                members=tuple(each for each in fleet.members if each != dead),
                instances=INSTANCES - 1,
            )
        )
        for fleet in fleets()
        if fleet.address != dead
    }
    for engine in engines:
        new = [address for address, each in after.items() if each.is_owner(engine)]
        assert len(new) == 1
        if not before[dead].is_owner(engine):
            assert before[new[0]].is_owner(engine)


def test_differing_views_of_the_fleet_give_two_owners_at_most():
    """Half of the instances have not learned yet that one of them died."""
    views = fleets()
    dead = views[0].address
    newer = [
        dataclasses.replace(
            fleet, members=tuple(each for each in fleet.members if each != dead)
        )
        for fleet in views
    ]
    mixed = [
        owners_of(new if at % 2 else old)
        for at, (old, new) in enumerate(zip(views, newer, strict=True))
        if at
    ]
    for number in range(45):
        engine = UpstreamId(f"e{number}")
        assert sum(each.is_owner(engine) for each in mixed) <= 2


# Budget


def test_budget_keeps_the_pause_within_the_limit():
    """Also at an engine that takes twice as long."""
    for slowness in (1.0, 2.0):
        model = scale_model(EngineModel(), slowness)
        budget = PrefillBudget.of(model, 5, MAX_PAUSE_S)
        assert budget.tokens > 0
        longest_s = 5 * model.decode_step_s + model.prefill_s(budget.tokens)
        assert longest_s <= MAX_PAUSE_S


def test_engine_too_slow_for_its_streams_has_no_budget():
    budget = PrefillBudget.of(scale_model(EngineModel(), 20.0), 5, MAX_PAUSE_S)
    assert budget.tokens == 0


@pytest.mark.parametrize(
    ("tokens_per_event", "max_pause_s", "expected"),
    [(7, 0.3, True), (5, 0.25, True), (5, 0.15, False), (3, 0.12, False)],
)
def test_pool_whose_pauses_leave_no_prompt_any_room_has_no_owners(
    tokens_per_event, max_pause_s, expected
):
    """Its reserved engines would be closed, and the others bear what they could."""
    model = EngineModel()
    assert PrefillBudget.holds_prompts(model, tokens_per_event, max_pause_s) is expected


def test_streams_without_a_pause_limit_allow_any_prompt():
    budget = PrefillBudget.of(EngineModel(), 5, math.inf)
    assert budget.allows(10**7, RecentPrefill(), 10**7, 0.0)


def test_budget_counts_prompts_that_were_just_prefilled():
    """One event of a stream spans prompts that have already ended."""
    budget, recent = PrefillBudget(5_000, 0.15), RecentPrefill()
    assert budget.allows(5_000, recent, 0, 1.0)
    assert not budget.allows(5_001, recent, 0, 1.0)
    recent.record(4_000, 1.0)
    assert not budget.allows(2_000, recent, 0, 1.1)
    assert budget.allows(2_000, recent, 0, 1.2)
    assert not budget.allows(2_000, recent, 4_000, 1.2)


def test_clock_that_steps_back_frees_no_budget():
    recent = RecentPrefill()
    recent.record(4_000, 100.0)
    assert recent.tokens(0.15, 50.0) == 4_000


def test_recent_prompts_are_bounded():
    recent = RecentPrefill()
    for _ in range(10 * MAX_RECENT_PROMPTS):
        recent.record(1, 0.0)
    assert recent.tokens(1.0, 0.0) == MAX_RECENT_PROMPTS


# Placement


def test_herd_of_instances_sends_no_long_prompts_to_one_reserved_engine(clock):
    """All go by the same old report, which shows a reserved engine idle.

    All others have a backlog. Within the age of the report the prompts that go there
    stay below what makes one event of its streams too long.
    """
    sent: dict[UpstreamId, int] = {}
    for fleet in fleets():
        table = make_table(clock, fleet)
        reserved = {view.id for view in reserve(table, clock)}
        for view in table.members(POOL):
            if view.id not in reserved:
                view.load.peers = PeerLoad(20, {2: 50_000})
        for number in range(3):
            view = place(table, clock, 1_500, number)
            if view.id in reserved:
                table.note_prompt(view, prompt("a", f"o{number}", 0, 1_500))
                sent[view.id] = sent.get(view.id, 0) + 1_500
    event_s = 5 * EngineModel().decode_step_s
    for tokens in sent.values():
        assert event_s + EngineModel().prefill_s(tokens) <= MAX_PAUSE_S


def test_owner_sends_a_prompt_within_the_budget_to_its_engine(clock):
    """Others are not left idle: only their owner knows what they bear."""
    for fleet in fleets():
        table = make_table(clock, fleet)
        reserved = reserve(table, clock)
        owned = [view for view in reserved if table.prefill_owners.is_owner(view.id)]
        if owned:
            break
    for view in table.members(POOL):
        if view not in reserved:
            view.load.peers = PeerLoad(20, {2: 50_000})
    numbers = range(40)
    short = {place(table, clock, 1_000, number) for number in numbers}
    assert short & set(reserved) == set(owned)
    long = {place(table, clock, 20_000, number) for number in numbers}
    assert not long & set(reserved)


def test_reserved_engines_are_used_if_no_other_is_left(clock):
    table = make_table(clock, fleets()[0])
    views = list(table.members(POOL))
    request = traits(prompt("s", "o", 0, 20_000), tier=2)
    left = long_prompt_engines(table, request, views, Split(views, []), clock.now())
    assert left == views


@pytest.mark.parametrize(
    ("instances", "is_on"), [(7, True), (INSTANCES, False)], ids=["few", "off"]
)
def test_few_instances_and_the_setting_keep_reserved_engines_open(
    clock, instances, is_on
):
    settings = PoolSettings()
    settings.prefill_owners = is_on
    table = make_table(clock, fleets(instances)[0], settings)
    for view in table.members(POOL):
        view.load.peers = PeerLoad(20, {2: 200_000}, pause_sensitive=2)
    table.reserved_engines(POOL).split(table.usable(POOL, set()), clock.now())
    for name in reserved_ids(table):
        table.views[name].load.peers = PeerLoad(1, pause_sensitive=1)
    used = {place(table, clock, 20_000, number).id for number in range(20)}
    assert used & reserved_ids(table)
    assert owned_ids(table) == set()


def test_engine_that_states_nonsense_has_the_usual_budget(clock):
    """A statement that cannot be read is none."""
    table = make_table(clock, fleets()[0])
    view = next(iter(table.members(POOL)))
    view.load.record_report(LoadReport(3, 0, 10), clock.now())
    assert view.slowness(clock.now()) == 1.0


def test_restart_under_the_same_id_forgets_what_was_sent(clock):
    """The engine that restarted prefills nothing of it."""
    table = make_table(clock, fleets()[0])
    entry = dataclasses.replace(table.views[UpstreamId("e0")].entry, incarnation="1")
    table.adopt(entry)
    view = table.views[UpstreamId("e0")]
    table.note_prompt(view, prompt("a", "o", 0, 9_000))
    assert view.load.recent_prefill.tokens(1.0, clock.now()) == 9_000
    table.adopt(dataclasses.replace(entry, incarnation="2"))
    fresh = table.views[UpstreamId("e0")]
    assert fresh is not view
    assert fresh.load.recent_prefill.tokens(1.0, clock.now()) == 0


def test_engine_that_is_gone_is_forgotten(clock):
    table = make_table(clock, fleets()[0])
    reserve(table, clock)
    gone = next(iter(reserved_ids(table)))
    table.remove(gone)
    assert gone not in owned_ids(table)
    reserve(table, clock)
    assert gone not in reserved_ids(table)
