"""Run the fault matrix and write its results as Markdown."""

import argparse
import sys
from pathlib import Path

from .core import JOBS, run_cells
from .grid import render_grid
from .kinds import Cell, all_cells


def main() -> int:
    """Run the matrix and write the results; return 1 if a guarantee failed."""
    parser = argparse.ArgumentParser(description="Run the fault matrix.")
    parser.add_argument("--write", type=Path, help="file for the grid")
    parser.add_argument("--only", default="", help="part of a cell's name")
    parser.add_argument("--jobs", type=int, default=JOBS, help="processes to use")
    options = parser.parse_args()
    chosen = [each for each in all_cells() if options.only in Cell(*each).name]
    cells = run_cells(chosen, options.jobs)
    for cell in cells:
        for guarantee, detail in cell.failed.items():
            print(f"{cell.name}: {guarantee.name}: {detail}")
    grid = render_grid(cells)
    if options.write:
        options.write.write_text(grid, encoding="utf-8")
    failed = sum(bool(cell.failed) for cell in cells)
    print(f"{len(cells)} cells, {failed} with a point that failed")
    return 1 if failed else 0


sys.exit(main())
