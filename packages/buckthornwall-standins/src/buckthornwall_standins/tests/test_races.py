"""Races of operators' changes with each other, with requests and with old instances."""

import pytest
import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from buckthornwall_standins.callers import Verdict
from buckthornwall_standins.faults import Cell, CellRun, Fault, Step, fill_engines
from buckthornwall_standins.memory_fleet import MemoryFleet, make_deterministic

from .test_bad_input import post


def run_with_fleet(body):
    async def main():
        async with MemoryFleet.running() as fleet:
            await body(fleet, CellRun(fleet, Cell(Step.RECEIVED, (Fault.NONE,))))

    make_deterministic(5)
    trio.run(main, clock=MockClock(autojump_threshold=0))


async def wait_in_force(fleet, number):
    await fleet.wait_until(
        lambda: all(node.node.store.number == number for node in fleet.running_nodes()),
        10,
    )


def remove_record(records, kind, ident):
    records["records"] = [
        each
        for each in records["records"]
        if (each["kind"], each["id"]) != (kind, ident)
    ]
    return records


def test_lower_number_published_at_once_does_not_replace_higher():
    async def body(fleet, run):
        fleet.publish(3)
        fleet.publish(2)
        fleet.publish(3)
        await wait_in_force(fleet, 3)
        fleet.platform.serves_stale_records = True
        fleet.publish(2)
        await trio.sleep(5)
        await wait_in_force(fleet, 3)

    run_with_fleet(body)


def test_deleted_class_refuses_queued_requests_at_once():
    async def body(fleet, run):
        async with trio.open_nursery() as nursery:
            await fill_engines(run, nursery)
            waiting = run.new_outcome(run.entry, "low", 4)
            nursery.start_soon(run.send, run.entry, waiting)
            await fleet.wait_until(lambda: run.entry.node.entry.pending)
            await trio.sleep(0.1)
            records = remove_record(fleet.records(2), "class", "low")
            for record in records["records"]:
                if record["kind"] == "team":
                    record["classes"] = ["urgent", "routine"]
            fleet.publish(2, records)
            await fleet.wait_until(lambda: waiting.verdict is Verdict.REFUSED, 1.0)
        assert (waiting.code, waiting.run) == (2005, "no")
        assert waiting.arrival.nonce not in fleet.started_nonces()

    run_with_fleet(body)


def test_replaced_api_key_does_not_break_running_stream():
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
            await wait_in_force(fleet, 2)
            status, body = await post(run, "/v1/chat/completions", b"{}")
            assert (status, body["error"]["code"]) == (401, 1004)
        assert outcome.verdict is Verdict.COMPLETE

    run_with_fleet(body)


def test_engine_leaving_during_grant_gets_no_new_requests_after_3_s():
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

    run_with_fleet(body)


def test_record_of_newer_schema_does_not_block_the_others():
    async def body(fleet, run):
        records = fleet.records(2)
        records["records"].append({"kind": "class", "schema": 9, "id": "new"})
        fleet.publish(2, records)
        await wait_in_force(fleet, 2)
        assert (await run.request(run.entry, "urgent", 4)).verdict is Verdict.COMPLETE
        refused = run.entry.node.status()["records"]["refused"]
        assert [code for code, _ in refused] == [5002]

    run_with_fleet(body)


def test_invalid_configuration_does_not_replace_current():
    async def body(fleet, run):
        fleet.publish(2, {"number": 2, "records": [{"kind": "class"}]})
        await trio.sleep(3)
        await wait_in_force(fleet, 1)
        assert "5001" in run.entry.node.status()["records"]["last_error"]
        fleet.publish(3)
        await wait_in_force(fleet, 3)

    run_with_fleet(body)


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
def test_malformed_body_neither_crashes_instance_nor_breaks_other_stream(requests):
    async def body(fleet, run):
        async with trio.open_nursery() as nursery:
            outcome = run.new_outcome(run.entry, "urgent", 30)
            nursery.start_soon(run.send, run.entry, outcome)
            for path, text in requests:
                status, response = await post(run, path, text.encode())
                assert status != 500
                assert response["error"]["code"] >= 1001
        assert outcome.verdict is Verdict.COMPLETE

    run_with_fleet(body)


def test_refusal_is_not_later_than_first_token_target():
    async def body(fleet, run):
        records = fleet.records(2)
        for record in records["records"]:
            if record["kind"] == "upstream" and record["type"] == "engine":
                record["slots"] = 1
        fleet.publish(2, records)
        await wait_in_force(fleet, 2)
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
        early_s = [took_s for outcome, took_s in refused if outcome.code == 2001]
        assert early_s
        assert max(early_s) == pytest.approx(0, abs=0.2)

    run_with_fleet(body)


def test_repeatedly_preempted_response_is_complete():
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

    run_with_fleet(body)


def test_response_interrupted_before_closing_event_gains_no_token():
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

    run_with_fleet(body)
