"""Results of the fault matrix as Markdown."""

from .kinds import Cell, Fault, Guarantee, Step

__all__ = ["render_grid"]


def render_grid(cells: list[Cell]) -> str:
    """Return the matrix as Markdown, with the number of guarantees that held."""
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
    cell_of = {(cell.step, cell.faults): cell for cell in cells}
    for fault in Fault:
        row = [cell_of.get((step, (fault,))) for step in Step]
        results = [_format_result(cell, guarantees) for cell in row]
        lines.append(f"| {fault.value} | " + " | ".join(results) + " |")
    pairs = [cell for cell in cells if len(cell.faults) > 1]
    lines += ["", f"## Two faults together, {Step.MID_STREAM.value}", ""]
    lines += [
        f"- {cell.name.partition(': ')[2]}: {_format_result(cell, guarantees)}"
        for cell in pairs
    ]
    lines += ["", "## Cells that cannot occur", ""]
    reasons = sorted(
        {(c.name, c.impossible_reason) for c in cells if c.impossible_reason}
    )
    lines += [f"- {name}: {reason}" for name, reason in reasons]
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


def _format_result(cell: Cell | None, guarantees: int) -> str:
    if cell is None or cell.impossible_reason:
        return "-"
    return f"{guarantees - len(cell.failed)}/{guarantees}"
