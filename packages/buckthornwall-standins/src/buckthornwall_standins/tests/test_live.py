"""A deployment of real processes: client libraries, stops, kills and freezes."""

import subprocess
import sys
from dataclasses import replace
from functools import partial

import openai
import pytest
import trio

from buckthornwall_standins.callers import Verdict
from buckthornwall_standins.deployments import make_api_key, make_records
from buckthornwall_standins.fleet import Fleet
from buckthornwall_standins.report import RunReport

from .conftest import POOL

pytestmark = pytest.mark.live

SECONDS = 8.0
FAULT_AT_S = 3.0
FREEZE_S = 3.0
PROMPT = "nonce={} length={}"


def make_completion(nonce, count):
    return "".join(f"{nonce}.{index} " for index in range(count))


async def collect_report(fleet, callers):
    await fleet.collect_counts()
    return RunReport.from_run(fleet, callers, SECONDS)


def urgent_outcomes(callers):
    return [each for each in callers.outcomes if each.arrival.load.tier == 0]


async def test_openai_client_gets_complete_responses(small_deployment):
    async with Fleet.running(small_deployment) as fleet:
        node = fleet.nodes[0]
        client = openai.OpenAI(
            base_url=f"http://{node.caller_address}/v1",
            api_key=make_api_key("obra-norte"),
        )

        def create(**fields):
            return client.chat.completions.create(model=POOL, **fields)

        def ask(nonce):
            messages = [{"role": "user", "content": PROMPT.format(nonce, 12)}]
            plain = create(messages=messages).choices[0].message.content
            stream = create(messages=messages, stream=True)
            deltas = [chunk.choices[0].delta.content or "" for chunk in stream]
            text = client.completions.create(model=POOL, prompt=PROMPT.format(nonce, 5))
            return plain, "".join(deltas), text.choices[0].text

        plain, streamed, text = await trio.to_thread.run_sync(ask, "q1")
        assert plain == streamed == make_completion("q1", 12)
        assert text == make_completion("q1", 5)
        models = await trio.to_thread.run_sync(client.models.list)
        assert [model.id for model in models.data] == [POOL]
        with pytest.raises(openai.NotFoundError) as caught:
            client.chat.completions.create(
                model="no-such", messages=[{"role": "user", "content": "x"}]
            )
        assert caught.value.body["code"] == 1005


async def test_killed_scheduler_breaks_no_urgent_request_of_others(
    small_deployment, make_callers, run_callers
):
    async with Fleet.running(small_deployment) as fleet:
        callers = make_callers(fleet, SECONDS, 0.6, orders=4)
        scheduler = await fleet.find_scheduler(POOL)

        async def kill():
            fleet.kill(scheduler)

        await run_callers(callers, SECONDS, FAULT_AT_S, kill)
        report = await collect_report(fleet, callers)
        assert all(report.checks().values()), report.table()
        others = [o for o in urgent_outcomes(callers) if o.node != scheduler.id]
        assert all(o.verdict is Verdict.COMPLETE for o in others), report.table()


async def test_frozen_scheduler_breaks_no_urgent_request_of_others(
    small_deployment, make_callers, run_callers
):
    async with Fleet.running(small_deployment) as fleet:
        callers = make_callers(fleet, SECONDS, 0.6, orders=4)
        scheduler = await fleet.find_scheduler(POOL)

        async def freeze():
            fleet.freeze(scheduler)
            await trio.sleep(FREEZE_S)
            fleet.thaw(scheduler)

        await run_callers(callers, SECONDS, FAULT_AT_S, freeze)
        report = await collect_report(fleet, callers)
        assert all(report.checks().values()), report.table()
        others = [o for o in urgent_outcomes(callers) if o.node != scheduler.id]
        assert all(o.verdict is Verdict.COMPLETE for o in others), report.table()
        status = await fleet.status(scheduler)
        assert status["freezes"] >= 1
        assert status["state"] == "ready"


async def test_graceful_stop_of_scheduler_breaks_no_request(
    small_deployment, make_callers, run_callers
):
    async with Fleet.running(small_deployment) as fleet:
        callers = make_callers(fleet, SECONDS, 0.6, orders=4)
        scheduler = await fleet.find_scheduler(POOL)
        statuses = []

        async def stop():
            statuses.append(await fleet.stop(scheduler))

        await run_callers(callers, SECONDS, FAULT_AT_S, stop)
        report = await collect_report(fleet, callers)
        assert statuses == [0]
        assert all(report.checks().values()), report.table()
        assert report.broken_elsewhere == 0, report.table()
        assert all(order.status == 200 for order in callers.orders)


async def test_configuration_reaches_instances_without_platform(small_deployment):
    six = replace(small_deployment, nodes=6)
    async with Fleet.running(six, platform_reachable_from=1) as fleet:
        started = trio.current_time()
        fleet.config_number = 2
        await fleet.publish()
        with trio.fail_after(14):
            for node in fleet.nodes:
                while (await fleet.status(node))["records"]["number"] != 2:
                    await trio.sleep(0.01)
        assert trio.current_time() - started < 14
        stale = make_records(six, 1, fleet.upstream_records())
        await fleet.publish(stale)
        await fleet.set_platform_fault(stale=True)
        restarted = fleet.nodes[-1]
        fleet.kill(restarted)
        restarted.process.wait()
        fleet.start_node(restarted)
        await fleet.wait_ready(restarted)
        for node in fleet.nodes:
            assert (await fleet.status(node))["records"]["number"] == 2


async def test_leaving_upstream_gets_no_new_requests(
    small_deployment, make_callers, run_callers
):
    async with Fleet.running(small_deployment) as fleet:
        callers = make_callers(fleet, SECONDS, 0.9)
        leaving = fleet.engines()[0]
        starts = []

        async def leave():
            await fleet.publish_instances(leaving=(leaving.id,))
            await trio.sleep(3.0)
            starts.append((await fleet.get_json(leaving.address, "/counts"))["starts"])

        await run_callers(callers, SECONDS, 2.0, leave)
        counts = await fleet.get_json(leaving.address, "/counts")
        assert counts["starts"] == starts[0]
        late_arrivals = [o for o in callers.outcomes if o.arrival.at > 5.0]
        assert len(late_arrivals) >= 5


def make_adapter_records(fleet, number, version):
    """Return a configuration that orders a version of an adapter on every engine."""
    upstreams = fleet.upstream_records()
    for record in upstreams:
        if record["type"] == "engine":
            record["order"] = {"adapters": {"kit": version}}
    return make_records(fleet.deployment, number, upstreams)


async def wait_for_adapters(fleet, version):
    with trio.fail_after(10):
        for engine in fleet.engines():
            while True:
                counts = await fleet.get_json(engine.address, "/counts")
                if counts["adapters"].get("kit") == version:
                    break
                await trio.sleep(0.05)


async def test_instance_after_freeze_does_not_revert_adapters(
    small_deployment,
):
    ignoring = frozenset({f"{POOL}-1", f"{POOL}-2"})
    async with Fleet.running(
        small_deployment, engines_ignoring_fencing=ignoring
    ) as fleet:
        await fleet.publish(make_adapter_records(fleet, 2, "v1"))
        await wait_for_adapters(fleet, "v1")
        for frozen in fleet.nodes[:2]:
            fleet.freeze(frozen)
        await fleet.publish(make_adapter_records(fleet, 3, "v2"))
        await wait_for_adapters(fleet, "v2")
        for frozen in fleet.nodes[:2]:
            fleet.thaw(frozen)
        await trio.sleep(4.0)
        for engine in fleet.engines():
            counts = await fleet.get_json(engine.address, "/counts")
            versions = [version for _, version, _ in counts["orders"]]
            assert versions == sorted(versions), (engine.id, counts["orders"])
            assert counts["adapters"] == {"kit": "v2"}


async def test_operator_commands_read_running_deployment(small_deployment, tmp_path):
    async with Fleet.running(small_deployment) as fleet:
        addresses = [node.operator_address for node in fleet.nodes]

        async def ctl(*arguments):
            command = [sys.executable, "-m", "buckthornwall_ctl.main", *arguments]
            run = partial(subprocess.run, command, capture_output=True, text=True)
            return await trio.to_thread.run_sync(run)

        status = await ctl("status", *addresses)
        assert status.returncode == 0
        assert all(node.id in status.stdout for node in fleet.nodes)
        watched = await ctl("watch", addresses[0], "127.0.0.1:1", "--times", "1")
        assert watched.returncode == 3
        path = tmp_path / "records.json"
        path.write_bytes((await fleet.request("GET", addresses[0], "/records"))[1])
        against = await ctl("check-records", str(path), "--against", addresses[0])
        assert against.returncode == 1
        assert "5004" in against.stderr
        metrics = await fleet.request("GET", addresses[0], "/metrics")
        assert metrics[0] == 200
