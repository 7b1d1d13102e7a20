"""The checks of the eight guarantees, made in every cell."""

import trio

from buckthornwall_standins.callers import Verdict
from buckthornwall_standins.memory_fleet import MemoryNode

from .cell_run import BACKGROUND_TOKENS, MAIN_TOKENS, CellRun
from .kinds import Fault, Guarantee

__all__ = ["FIRST_NUMBER", "check_all"]

FIRST_NUMBER = 5
SPREAD_LIMIT_S = 8.0
LEAVING_GRACE_S = 3.0


async def check_all(run: CellRun) -> None:
    """Check every guarantee once the faults are undone."""
    _check_main(run)
    await _check_records(run)
    await _check_classes(run)
    await _check_leaving(run)
    await _check_graceful(run)
    _check_counts(run)


def _check_main(run: CellRun) -> None:
    """Check that the urgent request completed, unless a fault excuses its end."""
    faults = run.cell.faults
    outcome = run.main
    if outcome.verdict is Verdict.REFUSED:
        run.record_failure(Guarantee.URGENT, f"refused: {outcome.detail}")
    excused = Fault.CALLER_GONE in faults or Fault.KILL_ENTRY in faults
    if outcome.verdict is not Verdict.COMPLETE and not excused:
        stopped = Fault.STOP_ENTRY in faults
        guarantee = Guarantee.GRACEFUL if stopped else Guarantee.OWN_ANSWER
        run.record_failure(guarantee, f"main {outcome.verdict.value}: {outcome.detail}")


def _check_counts(run: CellRun) -> None:
    """Compare the counts of the stand-ins with the answers that callers got."""
    started = run.fleet.started_nonces()
    confirmed = run.fleet.service.confirmed
    for outcome in run.outcomes:
        if outcome.verdict is Verdict.CORRUPTED:
            run.record_failure(
                Guarantee.OWN_ANSWER, f"corrupted response: {outcome.detail}"
            )
        claims_not_run = outcome.verdict is Verdict.REFUSED and outcome.run == "no"
        if claims_not_run and outcome.arrival.nonce in started:
            run.record_failure(
                Guarantee.TRUE_REFUSAL,
                f"{outcome.arrival.nonce} ran despite its refusal",
            )
    for order, count in confirmed.items():
        if count > 1:
            run.record_failure(Guarantee.AT_MOST_ONCE, f"{order} ran {count} times")
    for order in run.orders_not_run:
        if confirmed[order]:
            run.record_failure(
                Guarantee.TRUE_REFUSAL, f"{order} ran despite its refusal"
            )


async def _check_records(run: CellRun) -> None:
    """Check that a newer configuration reaches all instances and none reverted."""
    fleet = run.fleet
    fleet.config_number += 1
    fleet.publish(fleet.config_number)
    try:
        await fleet.wait_until(
            lambda: all(
                n.node.store.number == fleet.config_number
                for n in fleet.running_nodes()
            ),
            SPREAD_LIMIT_S,
        )
    except trio.TooSlowError:
        numbers = [node.node.store.number for node in fleet.running_nodes()]
        run.record_failure(
            Guarantee.RECORDS, f"numbers {numbers}, published {fleet.config_number}"
        )
    for node in fleet.nodes:
        adopted = [number for number in node.config_numbers if number]
        if adopted != sorted(adopted):
            run.record_failure(Guarantee.RECORDS, f"{node.id} reverted: {adopted}")
        if adopted and adopted[0] < FIRST_NUMBER:
            run.record_failure(
                Guarantee.RECORDS, f"{node.id} started with {adopted[0]}"
            )


async def _check_classes(run: CellRun) -> None:
    """Check that every instance serves every service class."""

    async def probe(node: MemoryNode, class_id: str) -> None:
        outcome = await run.request(node, class_id, BACKGROUND_TOKENS)
        if outcome.verdict is not Verdict.COMPLETE:
            detail = f"{class_id} through {node.id}: {outcome.detail}"
            run.record_failure(Guarantee.NO_STARVATION, detail)

    async with trio.open_nursery() as nursery:
        for node in run.fleet.running_nodes():
            for load in run.fleet.deployment.loads:
                nursery.start_soon(probe, node, load.id)


async def _check_leaving(run: CellRun) -> None:
    """Check that an engine listed as leaving gets no new requests after the grace."""
    fleet = run.fleet
    engine_id = next(iter(fleet.engines))
    fleet.leaving.add(engine_id)
    fleet.publish_instances()
    await trio.sleep(LEAVING_GRACE_S)
    before = fleet.engines[engine_id].starts
    async with trio.open_nursery() as nursery:
        for node in fleet.running_nodes():
            nursery.start_soon(run.request, node, "urgent", BACKGROUND_TOKENS)
            nursery.start_soon(run.request, node, "routine", BACKGROUND_TOKENS)
    after = fleet.engines[engine_id].starts
    if after != before:
        run.record_failure(Guarantee.LEAVING, f"{after - before} new requests")


async def _check_graceful(run: CellRun) -> None:
    """Check that an instance completes its responses before a graceful stop."""
    node = run.fleet.running_nodes()[-1]
    async with trio.open_nursery() as nursery:
        outcome = run.new_outcome(node, "urgent", 2 * MAIN_TOKENS)
        nursery.start_soon(run.send, node, outcome)
        await trio.sleep(0.1)
        try:
            await run.fleet.stop(node)
        except trio.TooSlowError:
            run.record_failure(Guarantee.GRACEFUL, f"{node.id} did not stop")
    if outcome.verdict is not Verdict.COMPLETE:
        run.record_failure(
            Guarantee.GRACEFUL, f"{outcome.verdict.value}: {outcome.detail}"
        )
