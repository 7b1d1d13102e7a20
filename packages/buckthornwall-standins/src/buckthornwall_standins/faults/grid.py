"""The matrix as Markdown."""

from .kinds import Cell, Fault, Guarantee, Step

__all__ = ["render_grid"]


def render_grid(cells: list[Cell]) -> str:
    """Return the matrix as Markdown: the number of points that held."""
    guarantees = len(Guarantee)
    steps = [step.value for step in Step]
    lines = [
        "# Fault matrix",
        "",
        "Written by `make faults` as it ran. A cell shows how many of the eight "
        "points held; all eight are checked in each. `-` cannot occur, as said "
        "below.",
        "",
        "| fault | " + " | ".join(steps) + " |",
        "|---|" + "---|" * len(steps),
    ]
    shown = {(cell.step, cell.faults): cell for cell in cells}
    for fault in Fault:
        row = [shown.get((step, (fault,))) for step in Step]
        marks = [_mark(cell, guarantees) for cell in row]
        lines.append(f"| {fault.value} | " + " | ".join(marks) + " |")
    pairs = [cell for cell in cells if len(cell.faults) > 1]
    lines += ["", f"## Two faults together, {Step.MID_STREAM.value}", ""]
    lines += [
        f"- {cell.name.partition(': ')[2]}: {_mark(cell, guarantees)}" for cell in pairs
    ]
    lines += ["", "## Cells that cannot occur", ""]
    reasons = sorted(
        {(c.name, c.impossible_reason) for c in cells if c.impossible_reason}
    )
    lines += [f"- {name}: {why}" for name, why in reasons]
    failures = [cell for cell in cells if cell.failed]
    lines += ["", "## Points that failed", ""]
    lines += [
        f"- {cell.name}: {guarantee.value}: {detail}"
        for cell in failures
        for guarantee, detail in cell.failed.items()
    ] or ["none"]
    lines += ["", "## The points", ""]
    lines += [
        f"{index}. {guarantee.value}" for index, guarantee in enumerate(Guarantee, 1)
    ]
    return "\n".join(lines) + "\n"


def _mark(cell: Cell | None, guarantees: int) -> str:
    if cell is None or cell.impossible_reason:
        return "-"
    return f"{guarantees - len(cell.failed)}/{guarantees}"
