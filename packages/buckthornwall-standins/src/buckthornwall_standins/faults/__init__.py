"""The fault matrix: every fault at every step of a request, on the product's code.

A cell starts a small deployment, advances one urgent completion and one order
confirmation to a step, injects the fault, undoes it some seconds later, and then
checks the eight guarantees. It runs on trio's mock clock, so that a cell takes
seconds and is reproducible.

============ ==========================================================
`kinds`      guarantees, steps, faults and cells
`steps`      advance a cell to its step
`injection`  inject faults and undo them
`checks`     check the eight guarantees
`core`       run cells
`grid`       render the results as Markdown
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
