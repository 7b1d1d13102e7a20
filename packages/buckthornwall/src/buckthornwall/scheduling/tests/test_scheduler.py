"""Tests of the decisions of one pool's scheduler."""

import pytest

from buckthornwall.codes import ResultCode
from buckthornwall.conftest import encode, make_records
from buckthornwall.links import Enqueue, Release, ReleaseKind, ReportedSlot
from buckthornwall.records import parse_records
from buckthornwall.scheduling import GrantDecision, PoolScheduler, RefusalDecision
from buckthornwall.scheduling.core import STARVATION_S

NODE = "n1"
TOTAL_SLOTS = 8
NON_URGENT_SLOTS = 6  # 8 minus the urgent reserve of a quarter


@pytest.fixture
def leaving():
    return set()


@pytest.fixture
def view():
    return parse_records(encode(make_records(m={"urgent_reserve": 0.25})))


@pytest.fixture
def scheduler(view, leaving):
    return PoolScheduler.from_config("m", view, lambda engine, now: engine in leaving)


def make_enqueue(request, class_id, team="one", within_s=100.0, **fields):
    return Enqueue(
        request,
        "m",
        class_id,
        team,
        10,
        0,
        start_within_s=within_s,
        sent_at=0.0,
        **fields,
    )


def enqueue(scheduler, count, class_id, now=0.0, first=0, **fields):
    for number in range(first, first + count):
        scheduler.enqueue(NODE, make_enqueue(number, class_id, **fields), now)


def granted(decisions):
    return [each for each in decisions if isinstance(each, GrantDecision)]


def release_done(grant, tokens=10, inter_token_s=0.02):
    return Release(grant, ReleaseKind.DONE, tokens, 0.1, inter_token_s)


def test_lower_tiers_do_not_use_urgent_reserve(scheduler):
    enqueue(scheduler, 20, "routine")
    assert len(granted(scheduler.decide(0.0))) == NON_URGENT_SLOTS
    enqueue(scheduler, 5, "urgent", first=100)
    decisions = granted(scheduler.decide(0.0))
    assert len(decisions) == TOTAL_SLOTS - NON_URGENT_SLOTS
    assert all(each.ticket.service_class == "urgent" for each in decisions)


def test_urgent_requests_are_served_before_others(scheduler):
    enqueue(scheduler, 20, "routine")
    running = granted(scheduler.decide(0.0))
    enqueue(scheduler, 5, "urgent", first=100)
    scheduler.decide(0.0)
    for each in running[:3]:
        scheduler.release(release_done(each.grant), 1.0)
        assert [d.ticket.service_class for d in granted(scheduler.decide(1.0))] == [
            "urgent"
        ]


def test_urgent_requests_are_never_refused_early(scheduler):
    enqueue(scheduler, 20, "urgent")
    scheduler.decide(0.0)
    assert scheduler.enqueue(NODE, make_enqueue(99, "urgent", within_s=0.01), 0.0) == []


def serve_all(scheduler, rounds, tokens=10):
    """Serve one request at a time; return (class, team) in order of service."""
    order = []
    running = granted(scheduler.decide(0.0))
    for step in range(rounds):
        now = 0.1 * step
        scheduler.release(release_done(running.pop(0).grant, tokens), now)
        new_grants = granted(scheduler.decide(now))
        order += [(d.ticket.service_class, d.ticket.team) for d in new_grants]
        running += new_grants
    return order


def test_classes_are_served_by_weight(scheduler):
    enqueue(scheduler, 200, "routine")
    enqueue(scheduler, 200, "low", first=1000)
    order = serve_all(scheduler, 120)
    routine = sum(class_id == "routine" for class_id, _ in order)
    assert 80 <= routine <= 100  # weights 3 to 1, in tokens


def test_large_backlog_of_team_does_not_delay_other_team():
    records = make_records()
    team = {**records["records"][3], "id": "two", "key_sha256": ["1" * 64]}
    records["records"].append(team)
    view = parse_records(encode(records))
    scheduler = PoolScheduler.from_config("m", view, lambda engine, now: False)
    enqueue(scheduler, 300, "routine", team="one")
    enqueue(scheduler, 60, "routine", team="two", first=1000)
    order = serve_all(scheduler, 100)
    assert 40 <= sum(team == "two" for _, team in order) <= 60


def test_class_below_its_floor_is_served_first():
    view = parse_records(
        encode(make_records(low={"floor": 0.5, "weight": 0.01}, routine={"weight": 9}))
    )
    scheduler = PoolScheduler.from_config("m", view, lambda engine, now: False)
    enqueue(scheduler, 200, "routine")
    enqueue(scheduler, 200, "low", first=1000)
    order = serve_all(scheduler, 100)
    assert sum(class_id == "low" for class_id, _ in order) >= 40


def test_starving_class_gets_one_slot_despite_urgent_backlog(scheduler):
    enqueue(scheduler, 100, "urgent")
    running = granted(scheduler.decide(0.0))
    scheduler.enqueue(NODE, make_enqueue(500, "low"), 0.0)
    after_starvation = STARVATION_S + 1
    scheduler.release(release_done(running[0].grant), after_starvation)
    assert granted(scheduler.decide(after_starvation))[0].ticket.service_class == "low"
    scheduler.release(release_done(running[1].grant), after_starvation)
    assert (
        granted(scheduler.decide(after_starvation))[0].ticket.service_class == "urgent"
    )


def test_starving_class_may_queue_despite_long_predicted_wait(scheduler):
    enqueue(scheduler, 100, "urgent")
    scheduler.decide(0.0)
    refused = scheduler.enqueue(NODE, make_enqueue(500, "low", within_s=0.5), 0.0)
    assert refused[0].code is ResultCode.OVERLOADED
    after_starvation = STARVATION_S + 1
    assert (
        scheduler.enqueue(
            NODE, make_enqueue(501, "low", within_s=0.5), after_starvation
        )
        == []
    )


def test_request_that_cannot_start_in_time_is_refused_at_once(scheduler):
    enqueue(scheduler, 60, "routine")
    scheduler.decide(0.0)
    refusal = scheduler.enqueue(NODE, make_enqueue(99, "routine", within_s=1.0), 0.0)[0]
    assert isinstance(refusal, RefusalDecision)
    assert refusal.code is ResultCode.OVERLOADED
    assert refusal.retry_after_s >= 1


def test_expired_request_is_refused_at_next_decision(scheduler):
    enqueue(scheduler, NON_URGENT_SLOTS, "routine")
    scheduler.decide(0.0)
    scheduler.enqueue(NODE, make_enqueue(99, "routine", within_s=5.0), 0.0)
    assert scheduler.decide(4.9) == []
    refusal = scheduler.decide(5.1)[0]
    assert refusal.code is ResultCode.START_DEADLINE


def test_overdue_urgent_requests_preempt_lowest_tier_first(scheduler):
    for number in range(NON_URGENT_SLOTS):
        class_id = "low" if number < 2 else "routine"
        message = make_enqueue(number, class_id, preemptible=True)
        scheduler.enqueue(NODE, message, 0.0)
    running = {d.grant: d.ticket for d in granted(scheduler.decide(0.0))}
    enqueue(scheduler, TOTAL_SLOTS - NON_URGENT_SLOTS + 3, "urgent", now=1.0, first=100)
    scheduler.decide(1.0)
    assert scheduler.decide(1.4) == []
    preempted = scheduler.decide(1.6)
    assert [running[each.grant].service_class for each in preempted] == [
        "low",
        "low",
        "routine",
    ]
    assert scheduler.decide(1.7) == []
    scheduler.release(Release(preempted[0].grant, ReleaseKind.CANCELLED, 5), 1.7)
    assert granted(scheduler.decide(1.7))[0].ticket.service_class == "urgent"


def test_resumed_or_non_preemptible_requests_are_not_preempted(scheduler):
    enqueue(scheduler, 3, "routine", resumed=True, preemptible=True)
    enqueue(scheduler, 3, "low", first=10, preemptible=False)
    scheduler.decide(0.0)
    enqueue(scheduler, TOTAL_SLOTS, "urgent", now=1.0, first=100)
    scheduler.decide(1.0)
    assert scheduler.decide(10.0) == []


def test_repeated_request_gets_same_grant(scheduler):
    scheduler.enqueue(NODE, make_enqueue(1, "urgent"), 0.0)
    first = granted(scheduler.decide(0.0))[0]
    again = scheduler.enqueue(NODE, make_enqueue(1, "urgent"), 0.1)
    assert [each.grant for each in again] == [first.grant]
    assert scheduler.decide(0.1) == []


def test_leaving_engine_gets_no_grant(scheduler, leaving):
    leaving.add("e1")
    enqueue(scheduler, 20, "urgent")
    assert {each.engine for each in granted(scheduler.decide(0.0))} == {"e2"}


def test_failed_engine_backs_off_and_request_goes_to_other_engine(scheduler):
    scheduler.enqueue(NODE, make_enqueue(1, "urgent"), 0.0)
    first = granted(scheduler.decide(0.0))[0]
    scheduler.release(Release(first.grant, ReleaseKind.FAILED), 0.1)
    scheduler.enqueue(NODE, make_enqueue(2, "urgent", excluded=[first.engine]), 0.1)
    assert granted(scheduler.decide(0.1))[0].engine != first.engine


def test_engine_that_asked_for_rest_gets_no_grant_until_its_end(scheduler):
    scheduler.enqueue(NODE, make_enqueue(1, "urgent"), 0.0)
    first = granted(scheduler.decide(0.0))[0]
    scheduler.release(Release(first.grant, ReleaseKind.FAILED, rest_s=3.0), 0.1)
    enqueue(scheduler, 20, "urgent")
    assert first.engine not in {each.engine for each in granted(scheduler.decide(2.9))}
    assert first.engine in {each.engine for each in granted(scheduler.decide(3.2))}


def test_slow_engine_gets_lower_limit_and_is_chosen_last(scheduler):
    for step in range(40):
        now = float(step)
        scheduler.enqueue(NODE, make_enqueue(step, "urgent"), now)
        grant = granted(scheduler.decide(now))[0]
        inter_token_s = 0.2 if grant.engine == "e1" else 0.02
        scheduler.release(
            release_done(grant.grant, inter_token_s=inter_token_s), now + 0.5
        )
    assert scheduler.engines["e1"].limit < scheduler.engines["e2"].limit
    scheduler.enqueue(NODE, make_enqueue(99, "urgent"), 50.0)
    assert granted(scheduler.decide(50.0))[0].engine == "e2"


def test_engine_with_cached_prefix_is_preferred_until_loaded(scheduler):
    scheduler.engines["e2"].remember_prefix(42)
    scheduler.engines["e1"].inter_token_s = scheduler.engines["e2"].inter_token_s = 0.02
    for number in range(TOTAL_SLOTS):
        message = make_enqueue(number, "urgent")
        message.prefix = 42
        scheduler.enqueue(NODE, message, 0.0)
    engines = [each.engine for each in granted(scheduler.decide(0.0))]
    assert engines[0] == "e2"
    assert engines.count("e1") >= 3


def test_scheduler_grants_no_more_than_its_fraction(scheduler):
    scheduler.fraction = 0.5
    enqueue(scheduler, 20, "urgent")
    assert len(granted(scheduler.decide(0.0))) == TOTAL_SLOTS // 2


def test_slots_reported_by_instances_are_not_granted_again(scheduler):
    reported = [ReportedSlot(900 + n, "e1", "urgent", "one", 5) for n in range(4)]
    scheduler.reconcile_slots("n2", reported, 0.0)
    enqueue(scheduler, 20, "urgent")
    assert {each.engine for each in granted(scheduler.decide(0.0))} == {"e2"}
    scheduler.remove_node("n2")
    assert len(granted(scheduler.decide(0.0))) == 4


def test_slot_is_freed_by_slot_report_after_lost_release(scheduler):
    scheduler.enqueue(NODE, make_enqueue(1, "urgent"), 0.0)
    grant = granted(scheduler.decide(0.0))[0].grant
    scheduler.reconcile_slots(
        NODE, [ReportedSlot(grant, "e1", "urgent", "one", 3)], 1.0
    )
    assert len(scheduler.slots) == 1
    scheduler.reconcile_slots(NODE, [], 2.0)
    assert not scheduler.slots


def test_withdrawn_request_leaves_queue_and_frees_slot(scheduler):
    enqueue(scheduler, 1, "urgent")
    scheduler.decide(0.0)
    scheduler.withdraw(0)
    assert not scheduler.slots
    scheduler.enqueue(NODE, make_enqueue(7, "low"), 0.0)
    scheduler.withdraw(7)
    assert len(scheduler.queue) == 0


def test_requests_of_deleted_class_are_refused(scheduler):
    enqueue(scheduler, NON_URGENT_SLOTS, "routine")
    scheduler.decide(0.0)
    scheduler.enqueue(NODE, make_enqueue(50, "low"), 0.0)
    records = make_records(2, one={"classes": ["urgent", "routine"]})
    records["records"] = [r for r in records["records"] if r["id"] != "low"]
    refusals = scheduler.set_records(parse_records(encode(records)))
    assert [each.code for each in refusals] == [ResultCode.CLASS_WITHDRAWN]
