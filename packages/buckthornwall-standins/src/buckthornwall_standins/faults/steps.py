"""Advance a cell's request, or its published configuration, to its step."""

from collections.abc import Callable

import trio

from buckthornwall_standins.callers import Verdict

from .cell_run import MAIN_TOKENS, CellRun
from .kinds import RECORD_STEPS, Step

__all__ = ["fill_engines", "advance_to_step"]

FILL_TOKENS = 60
STEP_POLL_S = 0.0001


async def advance_to_step(run: CellRun, nursery: trio.Nursery) -> None:
    """Advance the main request, or a published configuration, to the cell's step."""
    step = run.cell.step
    run.main = run.new_outcome(run.node_for_main(), "urgent", MAIN_TOKENS)
    if step in RECORD_STEPS:
        await _advance_to_record_step(run, nursery)
        return
    if step is Step.KEY_HANDED_OVER:
        await _advance_to_hand_over(run, nursery)
        return
    if step is Step.QUEUED:
        await fill_engines(run, nursery)
    nursery.start_soon(run.run_main)
    reached = _step_condition(run, step)
    await run.fleet.wait_until(
        lambda: reached() or run.main_ended.is_set(), poll_s=STEP_POLL_S
    )


async def fill_engines(run: CellRun, nursery: trio.Nursery) -> None:
    """Occupy every slot, so that the next request is queued."""
    for class_id in ("routine", "routine", "routine", "urgent"):
        nursery.start_soon(run.request, run.third, class_id, FILL_TOKENS)
    slots = sum(engine.model.slots for engine in run.fleet.engines.values())
    engines = run.fleet.engines.values()
    await run.fleet.wait_until(lambda: sum(len(e.running) for e in engines) == slots)


def _step_condition(run: CellRun, step: Step) -> Callable[[], bool]:
    node = run.entry.node
    nonce = run.main.arrival.nonce
    engines = run.fleet.engines.values()

    def generated() -> int:
        return sum(engine.generated[nonce] for engine in engines)

    return {
        Step.RECEIVED: lambda: node.app.in_flight > 0,
        Step.QUEUED: lambda: any(w.acknowledged for w in node.entry.pending.values()),
        Step.GRANTED: lambda: bool(node.entry.held),
        Step.OPENED: lambda: any(nonce in engine.token_ranges for engine in engines),
        Step.FIRST_TOKEN: lambda: generated() >= 1,
        Step.MID_STREAM: lambda: generated() >= MAIN_TOKENS // 2,
        Step.LAST_TOKEN: lambda: generated() >= MAIN_TOKENS,
        Step.RELAYED: lambda: run.main.verdict is Verdict.COMPLETE,
    }[step]


async def _advance_to_hand_over(run: CellRun, nursery: trio.Nursery) -> None:
    """Stop the owner of an idempotency key gracefully while its call is in flight."""
    fleet = run.fleet
    key = await run.create_idempotency_key(run.entry)
    order = f"handed-over-{run.cell.name}"
    run.orders.append(order)
    nursery.start_soon(run.confirm, run.third, order, key)
    await fleet.wait_until(lambda: fleet.service.confirmed[order] > 0)
    nursery.start_soon(fleet.stop, run.entry)
    owner = (run.entry.node.node, run.entry.node.incarnation)
    others = [run.third.node.idempotency, run.scheduler.node.idempotency]
    await fleet.wait_until(
        lambda: any(owner in other.ledgers for other in others), poll_s=STEP_POLL_S
    )
    nursery.start_soon(run.run_main)
    nursery.start_soon(run.confirm_until_settled, order, key)


async def _advance_to_record_step(run: CellRun, nursery: trio.Nursery) -> None:
    """Publish while only the scheduler's instance can reach the platform."""
    fleet = run.fleet
    nursery.start_soon(run.run_main)
    platform_host = fleet.platform_address.partition(":")[0]
    for node in (run.entry, run.third):
        fleet.network.cut(node.host, platform_host)
    fleet.config_number += 1
    fleet.publish(fleet.config_number)

    def holders() -> int:
        return sum(n.node.store.number == fleet.config_number for n in fleet.nodes)

    required_holders = {
        Step.PUBLISHED: 0,
        Step.WATCHED: 1,
        Step.SPREAD: 2,
        Step.IN_FORCE: 3,
    }
    min_holders = required_holders[run.cell.step]
    await fleet.wait_until(lambda: holders() >= min_holders, poll_s=STEP_POLL_S)
