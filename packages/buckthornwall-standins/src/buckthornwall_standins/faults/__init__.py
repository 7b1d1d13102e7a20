"""The fault matrix: every fault at every step, on the real code.

A cell starts the small deployment, brings one urgent completion and one order
confirmation to a step, injects the fault, undoes it after a while, and then
checks all eight points of what must always hold. Everything runs on the mock
clock, so that a cell takes seconds and repeats itself.

============ ==========================================================
`kinds`      points, steps, faults and cells
`steps`      bring a cell to its step
`injection`  inject faults and undo them
`checks`     check the eight points
`core`       run cells
`grid`       show them
============ ==========================================================
"""

from .cell_run import CellRun
from .core import JOBS, run_cell, run_cells
from .grid import render_grid
from .kinds import Cell, Fault, Guarantee, Step, all_cells
from .steps import fill_engines

__all__ = [
    "JOBS",
    "Cell",
    "CellRun",
    "Fault",
    "Guarantee",
    "Step",
    "all_cells",
    "fill_engines",
    "render_grid",
    "run_cell",
    "run_cells",
]
