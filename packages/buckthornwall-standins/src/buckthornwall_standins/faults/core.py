"""Run the cells of the matrix, each on its own deployment in memory."""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import trio
from loguru import logger
from trio.testing import MockClock

from buckthornwall_standins.memory_fleet import MemoryFleet, make_deterministic

from .cell_run import RESPONSE_TIMEOUT_S, CellRun
from .checks import FIRST_NUMBER, check_all
from .injection import inject_fault, undo_faults
from .kinds import Cell, Fault, Step, cannot_occur
from .steps import advance_to_step

__all__ = ["JOBS", "run_cell", "run_cells"]

SEED = 7
JOBS = 6
FAULT_S = 3.0
SETTLE_S = 4.0
CELLS_PER_CHUNK = 4


async def _run(cell: Cell, add_defect: Callable[[MemoryFleet], None] | None) -> None:
    fleet = MemoryFleet()
    fleet.config_number = FIRST_NUMBER
    async with trio.open_nursery() as fleet.nursery:
        await fleet.start()
        if add_defect is not None:
            add_defect(fleet)
        run = CellRun(fleet, cell)
        async with trio.open_nursery() as requests:
            requests.start_soon(run.run_background_load)
            key = await run.create_idempotency_key(run.entry)
            await advance_to_step(run, requests)
            order = f"order-{cell.name}"
            run.orders.append(order)
            if cell.step is not Step.KEY_HANDED_OVER:
                requests.start_soon(run.confirm, run.third, order, key)
                await trio.sleep(0.004)
            async with trio.open_nursery() as injected:
                for fault in cell.faults:
                    inject_fault(run, fault, injected)
                await trio.sleep(FAULT_S)
                await undo_faults(run)
            with trio.move_on_after(RESPONSE_TIMEOUT_S):
                await run.main_ended.wait()
            run.background_stopped.set()
            await trio.sleep(SETTLE_S)
            if cell.step is not Step.KEY_HANDED_OVER:
                await run.confirm_until_settled(order, key)
        await check_all(run)
        await run.callers.pool.aclose()
        fleet.nursery.cancel_scope.cancel()


def run_cell(
    step: Step,
    faults: tuple[Fault, ...],
    add_defect: Callable[[MemoryFleet], None] | None = None,
    seed: int = SEED,
) -> Cell:
    """Run one cell on the mock clock.

    Parameters
    ----------
    step, faults
        The cell.
    add_defect
        Adds a defect to the running deployment, to show that it is detected.
    seed
        Seed of ids, jitter and trio's choice among runnable tasks.

    Returns
    -------
    Cell
        The cell with the guarantees that failed.
    """
    cell = Cell(step, faults, impossible_reason=cannot_occur(step, faults))
    if not cell.impossible_reason:
        make_deterministic(seed)
        trio.run(_run, cell, add_defect, clock=MockClock(autojump_threshold=0))
    return cell


def _run_quietly(cell: tuple[Step, tuple[Fault, ...]]) -> Cell:
    logger.remove()
    return run_cell(*cell)


def run_cells(cells: list[tuple[Step, tuple[Fault, ...]]], jobs: int) -> list[Cell]:
    """Run cells in `jobs` processes; each is reproducible on its own."""
    with ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(_run_quietly, cells, chunksize=CELLS_PER_CHUNK))
