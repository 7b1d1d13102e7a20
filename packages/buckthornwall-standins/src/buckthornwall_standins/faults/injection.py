"""Inject faults and undo them."""

import trio

from buckthornwall_standins.memory_fleet import MemoryFleet, MemoryNode

from .cell_run import MAIN_TOKENS, CellRun
from .kinds import ENTRY_FAULTS, Fault

__all__ = ["inject_fault", "undo_faults"]

RESTART_S = 1.5
STALE_NUMBER = 1


def _find_serving_engine(run: CellRun) -> str:
    nonce = run.main.arrival.nonce
    for engine in run.fleet.engines.values():
        if nonce in engine.token_ranges:
            return engine.name
    return next(iter(run.fleet.engines))


def inject_fault(run: CellRun, fault: Fault, nursery: trio.Nursery) -> None:
    """Inject one fault and register the action that undoes it."""
    fleet = run.fleet
    engine_id = _find_serving_engine(run)
    engine = fleet.engines[engine_id]
    node = run.entry if fault in ENTRY_FAULTS else run.scheduler
    if fault is Fault.ENGINE_CRASH:
        fleet.crash_engine(engine_id)
        run.undo_actions.append(lambda: fleet.restart_engine(engine_id))
    elif fault is Fault.ENGINE_SLOW:
        engine.slowdown = 4.0
        run.undo_actions.append(lambda: setattr(engine, "slowdown", 1.0))
    elif fault is Fault.LATE_REPORTS:
        for each in fleet.engines.values():
            each.model.report_lag_s = 5.0
    elif fault is Fault.SERVICE_DOWN:
        fleet.platform.down = True
        run.undo_actions.append(lambda: setattr(fleet.platform, "down", False))
    elif fault is Fault.SERVICE_STALE:
        fleet.platform.serves_stale_records = True
        fleet.publish(STALE_NUMBER)
        run.undo_actions.append(lambda: _serve_newest_records(fleet))
    elif fault is Fault.LIST_LATE:
        fleet.platform.list_lag_s = 10.0
        run.undo_actions.append(lambda: setattr(fleet.platform, "list_lag_s", 0.3))
    elif fault in (Fault.FREEZE_ENTRY, Fault.FREEZE_SCHEDULER):
        fleet.freeze(node)
        run.undo_actions.append(lambda: fleet.thaw(node))
    elif fault in (Fault.KILL_ENTRY, Fault.KILL_SCHEDULER):
        fleet.kill(node)
        nursery.start_soon(_restart_killed, fleet, node)
    elif fault is Fault.CUT_NODES:
        fleet.network.cut(run.entry.host, run.scheduler.host)
    elif fault is Fault.CUT_UPSTREAM:
        fleet.network.cut(run.entry.host, fleet.engine_hosts[engine_id])
    elif fault is Fault.CALLER_GONE:
        run.main_scope.cancel()
    elif fault is Fault.CALLER_REPEATS:
        nursery.start_soon(run.request, run.third, "urgent", MAIN_TOKENS)
    else:
        nursery.start_soon(fleet.stop, node)
        run.undo_actions.append(lambda: _restart_stopped(fleet, node))


def _serve_newest_records(fleet: MemoryFleet) -> None:
    fleet.platform.serves_stale_records = False
    fleet.publish(fleet.config_number)


async def _restart_killed(fleet: MemoryFleet, node: MemoryNode) -> None:
    """Restart a killed instance while the other faults of the cell persist."""
    await trio.sleep(RESTART_S)
    fleet.start_node(node)


async def _restart_stopped(fleet: MemoryFleet, node: MemoryNode) -> None:
    """Restart an instance once it has stopped."""
    await node.ended.wait()
    await trio.sleep(0.1)
    fleet.start_node(node)


async def undo_faults(run: CellRun) -> None:
    """Undo every fault of the cell."""
    run.fleet.network.heal()
    for action in run.undo_actions:
        pending = action()
        if pending is not None:
            await pending
