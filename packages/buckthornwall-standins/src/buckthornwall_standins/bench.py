"""Compare two policies on the same arrivals, case by case.

Each case runs with real processes for every policy and seed. The bench writes a table,
``build/bench.json`` and plots of attainment over time.
"""

import argparse
import statistics
import sys
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import trio
from loguru import logger
from trio.testing import MockClock

from .bound import compute_token_bound
from .callers import Callers, Outcome, plan_arrivals
from .cases import CASES, Case
from .deployments import CASCADE, MANIZALES, Deployment
from .engine import EngineModel
from .fleet import Fleet
from .memory_fleet import MemoryFleet, make_deterministic
from .plots import plot_attainment
from .report import RunReport

__all__ = ["Run", "main"]

DEPLOYMENTS = {each.name: each for each in (MANIZALES, CASCADE)}
POLICIES = ("pooled", "alone")
COUNTS_INTERVAL_S = 1.0


@dataclass
class Run:
    """One run of a case, with its results."""

    case: str
    deployment: str
    policy: str
    seed: int
    report: RunReport
    bound_goodput: float
    outcomes: list[Outcome] = field(default_factory=list)

    def summary(self) -> dict[str, Any]:
        """Return the figures for the JSON file."""
        report = self.report
        return {
            "case": self.case,
            "deployment": self.deployment,
            "policy": self.policy,
            "seed": self.seed,
            "goodput": report.goodput,
            "bound_goodput": self.bound_goodput,
            "wasted_share": report.wasted_share,
            "way_in_ms": report.inbound_ms,
            "way_out_ms": report.outbound_ms,
            "refusals": report.refusals,
            "false_refusals": report.false_refusals,
            "checks": report.checks(),
            "codes": {str(code): n for code, n in report.codes.items()},
            "prefix_hit_share": report.prefix_hit_share,
            "classes": [asdict(each) for each in report.classes],
        }


async def run_case(
    case: Case, deployment: Deployment, policy: str, seed: int, seconds: float
) -> Run:
    """Run a case under a policy with real processes."""
    async with Fleet.running(
        deployment, scheduling=policy, relayed=case.relayed
    ) as fleet:
        arrivals = plan_arrivals(
            deployment,
            fleet.engine_model,
            seconds,
            seed,
            case.rate(deployment, seconds),
            case.team_factor(deployment, seconds),
        )
        one_way_delay_s = (1.0 + deployment.one_way_delay_ms) / 1000
        callers = Callers(
            fleet, arrivals, order_rate=3.0, one_way_delay_s=one_way_delay_s
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(case.inject_faults, fleet, seconds)
            await callers.run(seconds)
            nursery.cancel_scope.cancel()
        await fleet.collect_counts()
        report = RunReport.from_run(fleet, callers, seconds)
    return _make_run(case, fleet, policy, seed, report, callers, seconds)


def _make_run(
    case: Case, fleet, policy: str, seed: int, report, callers, seconds: float
) -> Run:
    deployment = fleet.deployment
    token_bound_per_s = (
        compute_token_bound(deployment, fleet.engine_model, callers.arrivals) / seconds
    )
    return Run(
        case.name,
        deployment.name,
        policy,
        seed,
        report,
        token_bound_per_s,
        callers.outcomes,
    )


async def run_case_in_memory(
    case: Case, deployment: Deployment, policy: str, seed: int, seconds: float
) -> Run:
    """Run the load of a case on the mock clock, without its faults.

    The run is reproducible and independent of the machine's load, which isolates the
    effect of a policy; the authoritative figures are those of real processes.
    """
    model = EngineModel(slots=deployment.slots)
    async with MemoryFleet.running(deployment, model, policy) as fleet:
        arrivals = plan_arrivals(
            deployment,
            model,
            seconds,
            seed,
            case.rate(deployment, seconds),
            case.team_factor(deployment, seconds),
        )
        callers = Callers(fleet, arrivals, backend=fleet.backend)
        await callers.run(seconds)
        report = RunReport.from_run(fleet, callers, seconds)
    return _make_run(case, fleet, policy, seed, report, callers, seconds)


def run_one(options: argparse.Namespace, *arguments) -> Run:
    """Run a case, in memory or with real processes."""
    if not options.in_memory:
        return trio.run(run_case, *arguments, options.seconds)
    make_deterministic(arguments[-1])
    clock = MockClock(autojump_threshold=0)
    return trio.run(run_case_in_memory, *arguments, options.seconds, clock=clock)


def _format_range(values: list[float], template: str) -> str:
    median = statistics.median(values)
    if len(values) < 2:
        return template.format(median)
    low, high = template.format(min(values)), template.format(max(values))
    return f"{template.format(median)} ({low}-{high})"


def summary_table(runs: list[Run]) -> str:
    """Return a Markdown table with a line for each deployment, case and policy."""
    lines = [
        "| deployment | case | policy | urgent attained | goodput tokens/s "
        "| of the bound | wasted | refused | false |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    groups: dict[tuple[str, str, str], list[Run]] = {}
    for run in runs:
        groups.setdefault((run.deployment, run.case, run.policy), []).append(run)
    for (deployment, case, policy), group in groups.items():
        urgent = [_compute_urgent_attainment(run) for run in group]
        goodput = [run.report.goodput for run in group]
        share = [run.report.goodput / run.bound_goodput for run in group]
        wasted = [run.report.wasted_share for run in group]
        refused = sum(run.report.refusals for run in group)
        false = sum(run.report.false_refusals for run in group)
        lines.append(
            f"| {deployment} | {case} | {policy} | {_format_range(urgent, '{:.1%}')} "
            f"| {_format_range(goodput, '{:.0f}')} | {_format_range(share, '{:.0%}')} "
            f"| {_format_range(wasted, '{:.2%}')} | {refused} | {false} |"
        )
    return "\n".join([*lines, "", *_format_ratios(groups)])


def _compute_urgent_attainment(run: Run) -> float:
    urgent = [each for each in run.report.classes if each.tier == 0]
    return sum(e.attained for e in urgent) / max(1, sum(e.asked for e in urgent))


def _format_ratios(groups: dict[tuple[str, str, str], list[Run]]) -> list[str]:
    """Return the ratios of goodput between the policies, seed by seed."""
    lines = ["Goodput pooled / alone, seed by seed:", ""]
    for (deployment, case, policy), group in groups.items():
        others = groups.get((deployment, case, POLICIES[1]))
        if policy != POLICIES[0] or not others:
            continue
        by_seed = {run.seed: run.report.goodput for run in others}
        ratios = [
            run.report.goodput / by_seed[run.seed]
            for run in group
            if by_seed.get(run.seed)
        ]
        lines.append(f"- {deployment} {case}: {_format_range(ratios, '{:.2f}')}")
    return lines


def parse_options() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    names = [case.name for case in CASES]
    parser.add_argument("--cases", nargs="*", default=names, choices=names)
    parser.add_argument(
        "--deployments", nargs="*", default=["manizales"], choices=list(DEPLOYMENTS)
    )
    parser.add_argument("--policies", nargs="*", default=POLICIES, choices=POLICIES)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seeds", type=int, nargs="*", default=[1])
    parser.add_argument(
        "--in-memory", action="store_true", help="the loads alone, on a mock clock"
    )
    parser.add_argument("--out", type=Path, default=Path("build"))
    return parser.parse_args()


def main() -> int:
    """Run the bench; return 1 if a check failed."""
    options = parse_options()
    if options.in_memory:
        logger.remove()
    options.out.mkdir(exist_ok=True)
    runs = []
    for name in options.deployments:
        deployment = DEPLOYMENTS[name]
        for case in (each for each in CASES if each.name in options.cases):
            for seed in options.seeds:
                for policy in options.policies:
                    run = run_one(options, case, deployment, policy, seed)
                    runs.append(run)
                    print(f"\n## {name} {case.name}, {policy}, seed {seed}\n")
                    print(run.report.table())
                    print({k: v for k, v in run.report.checks().items() if not v})
                    sys.stdout.flush()
            case_runs = [r for r in runs if (r.case, r.deployment) == (case.name, name)]
            plot_attainment(case_runs, options.out / f"{name}-{case.name}.png")
    text = summary_table(runs)
    print("\n" + text)
    (options.out / "bench.md").write_text(text + "\n", encoding="utf-8")
    summaries = msgspec.json.encode([run.summary() for run in runs])
    (options.out / "bench.json").write_bytes(msgspec.json.format(summaries))
    return 0 if all(all(run.report.checks().values()) for run in runs) else 1


if __name__ == "__main__":
    sys.exit(main())
