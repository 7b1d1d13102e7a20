"""Prove every specification and refute every broken variant."""

import argparse
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

from minicheck import check_safety

from . import (
    at_most_once,
    pool_parts,
    removals,
    restoration,
    spread,
    succession,
    views,
)

__all__ = ["Verdict", "check_all", "render"]

MAX_STATES = 1_000_000
# A counterexample is valid wherever the search stops, so broken variants need no
# exhaustive search.
MAX_STATES_BROKEN = 30_000
SPECIFICATIONS = (
    at_most_once,
    spread,
    pool_parts,
    removals,
    restoration,
    succession,
    views,
)


@dataclass
class Verdict:
    """Result of checking one variant of a specification."""

    specification: str
    variant: Enum
    states: int
    exhaustive: bool
    properties: dict[str, dict[str, Any]]

    @property
    def proved(self) -> bool:
        """Whether every property holds in every reachable state."""
        holds = all(each["holds"] is True for each in self.properties.values())
        return self.exhaustive and holds

    @property
    def refuted(self) -> list[str]:
        """Names of the properties that have a counterexample."""
        return [
            name for name, each in self.properties.items() if each["holds"] is False
        ]

    def shortest_trace(self) -> list[str]:
        """Return the step labels of the shortest counterexample."""
        traces = [
            [step["label"] for step in self.properties[name]["counterexample"][1:]]
            for name in self.refuted
        ]
        return min(traces, key=len, default=[])


def check(module: Any, variant: Enum) -> Verdict:
    """Check one variant of a specification."""
    protocol = module.specification(variant)
    limit = MAX_STATES if variant.name == "AS_IS" else MAX_STATES_BROKEN
    result = check_safety(protocol, max_states=limit)
    return Verdict(
        protocol.name,
        variant,
        result["reachable_states"],
        result["exhaustive"],
        result["properties"],
    )


def check_all() -> Iterator[Verdict]:
    """Check every variant of every specification."""
    for module in SPECIFICATIONS:
        for variant in module.Variant:
            yield check(module, variant)


def render(verdicts: list[Verdict]) -> str:
    """Return the results as Markdown."""
    lines = [
        "# Model checking",
        "",
        "Written by `make model` as it ran.",
        "",
        "| specification | variant | states | exhaustive | verdict |",
        "|---|---|---|---|---|",
    ]
    for each in verdicts:
        names = ", ".join(each.properties)
        verdict = f"proved: {names}" if each.proved else f"refuted: {each.refuted}"
        lines.append(
            f"| {each.specification} | {each.variant.value} | {each.states} "
            f"| {'yes' if each.exhaustive else 'no'} | {verdict} |"
        )
    lines += ["", "## Shortest counterexamples of the broken variants", ""]
    for each in verdicts:
        if each.refuted:
            lines += [f"### {each.specification}: {each.variant.value}", ""]
            lines += [
                f"{index}. {label}"
                for index, label in enumerate(each.shortest_trace(), 1)
            ]
            lines.append("")
    return "\n".join(lines)


def main() -> int:
    """Check all variants; return 1 unless every verdict is the expected one."""
    parser = argparse.ArgumentParser(description="Check the specifications.")
    parser.add_argument("--write", type=Path, help="file for the results")
    options = parser.parse_args()
    verdicts = []
    for verdict in check_all():
        verdicts.append(verdict)
        outcome = "proved" if verdict.proved else f"refuted {verdict.refuted}"
        print(
            f"{verdict.specification}, {verdict.variant.value}: "
            f"{verdict.states} states, {outcome}",
            flush=True,
        )
    if options.write:
        options.write.write_text(render(verdicts), encoding="utf-8")
    as_expected = all(
        each.proved if each.variant.name == "AS_IS" else each.refuted
        for each in verdicts
    )
    return 0 if as_expected else 1


if __name__ == "__main__":
    sys.exit(main())
