"""Operators that race: with each other, with requests, with old instances."""

import pytest
import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from buckthornwall_standins.callers import Verdict
from buckthornwall_standins.faults import Cell, CellRun, Fault, Step, fill_engines
from buckthornwall_standins.memory_fleet import MemoryFleet, make_deterministic

from .test_bad_input import post


def run_beside_fleet(body):
    async def main():
        async with MemoryFleet.running() as fleet:
            await body(fleet, CellRun(fleet, Cell(Step.RECEIVED, (Fault.NONE,))))

    make_deterministic(5)
    trio.run(main, clock=MockClock(autojump_threshold=0))


async def in_force(fleet, number):
    await fleet.wait_until(
        lambda: all(node.node.store.number == number for node in fleet.running_nodes()),
        10,
    )


def without(records, kind, ident):
    records["records"] = [
        each
        for each in records["records"]
        if (each["kind"], each["id"]) != (kind, ident)
    ]
    return records


def test_of_two_sets_published_at_once_the_higher_is_in_force_everywhere():
    async def body(fleet, run):
        fleet.publish(3)
        fleet.publish(2)
        fleet.publish(3)
        await in_force(fleet, 3)
        fleet.platform.serves_stale_records = True
        fleet.publish(2)
        await trio.sleep(5)
        await in_force(fleet, 3)

    run_beside_fleet(body)


def test_a_class_deleted_with_requests_waiting_gets_them_an_answer_at_once():
    async def body(fleet, run):
        async with trio.open_nursery() as nursery:
            await fill_engines(run, nursery)
            waiting = run.new_outcome(run.entry, "low", 4)
            nursery.start_soon(run.send, run.entry, waiting)
            await fleet.wait_until(lambda: run.entry.node.entry.pending)
            await trio.sleep(0.1)
            records = without(fleet.records(2), "class", "low")
            for record in records["records"]:
                if record["kind"] == "team":
                    record["classes"] = ["urgent", "routine"]
            fleet.publish(2, records)
            await fleet.wait_until(lambda: waiting.verdict is Verdict.REFUSED, 1.0)
        assert (waiting.code, waiting.run) == (2005, "no")
        assert waiting.arrival.nonce not in fleet.started_nonces()

    run_beside_fleet(body)


def test_a_key_replaced_mid_stream_cuts_nothing_off():
    async def body(fleet, run):
        async with trio.open_nursery() as nursery:
            outcome = run.new_outcome(run.entry, "urgent", 40)
            nursery.start_soon(run.send, run.entry, outcome)
            await fleet.wait_until(lambda: outcome.tokens > 5)
            records = fleet.records(2)
            for record in records["records"]:
                if record["kind"] == "team":
                    record["key_sha256"] = ["0" * 64]
            fleet.publish(2, records)
            await in_force(fleet, 2)
            status, body = await post(run, "/v1/chat/completions", b"{}")
            assert (status, body["error"]["code"]) == (401, 1004)
        assert outcome.verdict is Verdict.COMPLETE

    run_beside_fleet(body)


def test_an_engine_leaving_at_the_moment_of_a_grant_gets_no_new_work_after_3_s():
    async def body(fleet, run):
        leaving = next(iter(fleet.engines))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run.run_background_load)
            outcome = run.new_outcome(run.entry, "urgent", 20)
            nursery.start_soon(run.send, run.entry, outcome)
            await fleet.wait_until(lambda: run.entry.node.entry.held, poll_s=0.0001)
            fleet.leaving.add(leaving)
            fleet.publish_instances()
            await trio.sleep(3)
            before = fleet.engines[leaving].starts
            await trio.sleep(5)
            run.background_stopped.set()
        assert fleet.engines[leaving].starts == before
        assert outcome.verdict is Verdict.COMPLETE

    run_beside_fleet(body)


def test_a_record_of_a_newer_schema_leaves_the_rest_in_force():
    async def body(fleet, run):
        records = fleet.records(2)
        records["records"].append({"kind": "class", "schema": 9, "id": "new"})
        fleet.publish(2, records)
        await in_force(fleet, 2)
        assert (await run.request(run.entry, "urgent", 4)).verdict is Verdict.COMPLETE
        refused = run.entry.node.status()["records"]["refused"]
        assert [code for code, _ in refused] == [5002]

    run_beside_fleet(body)


def test_an_invalid_set_leaves_the_one_in_force():
    async def body(fleet, run):
        fleet.publish(2, {"number": 2, "records": [{"kind": "class"}]})
        await trio.sleep(3)
        await in_force(fleet, 1)
        assert "5001" in run.entry.node.status()["records"]["last_error"]
        fleet.publish(3)
        await in_force(fleet, 3)

    run_beside_fleet(body)


paths = st.sampled_from(
    ["/v1/chat/completions", "/v1/completions", "/services/orders/confirm", "/v1/x"]
)
fragments = st.lists(
    st.sampled_from(
        [
            '{"model":',
            '"m"',
            ",",
            '"messages":',
            "[",
            "{}",
            "]",
            "}",
            '"prompt":',
            "1",
            '"stream":true',
            '"max_tokens":-1',
            "\x00",
            "null",
            '"n":3',
        ]
    ),
    max_size=8,
).map("".join)


@settings(
    max_examples=10,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.lists(st.tuples(paths, fragments), min_size=5, max_size=15))
def test_no_body_crashes_an_instance_or_harms_another_caller(requests):
    async def body(fleet, run):
        async with trio.open_nursery() as nursery:
            outcome = run.new_outcome(run.entry, "urgent", 30)
            nursery.start_soon(run.send, run.entry, outcome)
            for path, text in requests:
                status, answer = await post(run, path, text.encode())
                assert status != 500
                assert answer["error"]["code"] >= 1001
        assert outcome.verdict is Verdict.COMPLETE

    run_beside_fleet(body)


def test_a_refused_request_is_never_answered_late():
    async def body(fleet, run):
        records = fleet.records(2)
        for record in records["records"]:
            if record["kind"] == "upstream" and record["type"] == "engine":
                record["slots"] = 1
        fleet.publish(2, records)
        await in_force(fleet, 2)
        outcomes = []

        async def ask():
            before = trio.current_time()
            outcome = await run.request(run.entry, "routine", 150)
            outcomes.append((outcome, trio.current_time() - before))

        async with trio.open_nursery() as nursery:
            for _ in range(30):
                nursery.start_soon(ask)
        refused = [each for each in outcomes if each[0].verdict is Verdict.REFUSED]
        assert refused
        first_token_s = run.get_class_load("routine").first_token_s
        for outcome, took_s in refused:
            assert took_s <= first_token_s + 0.2
            assert outcome.run == "no"
        early = [took_s for outcome, took_s in refused if outcome.code == 2001]
        assert early
        assert max(early) == pytest.approx(0, abs=0.2)

    run_beside_fleet(body)


def test_an_answer_that_is_preempted_over_and_over_is_still_whole():
    async def body(fleet, run):
        async def preempt_all():
            while outcome.verdict is not Verdict.COMPLETE:
                for slot in run.entry.node.entry.held.values():
                    slot.preempted = True
                await trio.sleep(0.03)

        async with trio.open_nursery() as nursery:
            outcome = run.new_outcome(run.entry, "low", 25)
            nursery.start_soon(preempt_all)
            await run.send(run.entry, outcome)
            nursery.cancel_scope.cancel()
        assert outcome.verdict is Verdict.COMPLETE, outcome
        assert sum(engine.starts for engine in fleet.engines.values()) > 3

    run_beside_fleet(body)


def test_an_answer_broken_before_its_closing_event_gains_no_word():
    async def body(fleet, run):
        outcome = run.new_outcome(run.entry, "low", 10)
        engines = fleet.engines.values()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run.send, run.entry, outcome)
            await fleet.wait_until(lambda: outcome.tokens >= 9, poll_s=0.0002)
            nonce = outcome.arrival.nonce
            await fleet.wait_until(
                lambda: sum(e.generated[nonce] for e in engines) >= 10, poll_s=0.0001
            )
            fleet.crash_engine(next(e.name for e in engines if e.running or e.starts))
        assert outcome.verdict is Verdict.COMPLETE, outcome

    run_beside_fleet(body)
