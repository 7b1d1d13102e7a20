"""Attainment by class, goodput, wasted work and checks of a run."""

from collections import Counter
from dataclasses import dataclass, field

from .callers import Callers, Outcome, Verdict

__all__ = ["ClassFigures", "RunReport", "quantile"]


def quantile(values: list[float], fraction: float) -> float:
    """Return the quantile of values at `fraction`; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


@dataclass
class ClassFigures:
    """Figures of one service class."""

    class_id: str
    tier: int
    asked: int = 0
    attained: int = 0
    late: int = 0
    refused: int = 0
    broken: int = 0
    first_token_p50_s: float = 0.0
    first_token_p99_s: float = 0.0

    @property
    def attainment(self) -> float:
        """Share of the requests that were served within target."""
        return self.attained / self.asked if self.asked else 1.0


@dataclass
class RunReport:
    """All results of a run."""

    classes: list[ClassFigures]
    useful_tokens: int
    delivered_tokens: int
    generated_tokens: int
    seconds: float
    refusals: int
    false_refusals: int
    corrupted: int
    duplicate_orders: int
    false_order_refusals: int
    lost_confirmations: int
    broken_by_planned_stop: int
    broken_elsewhere: int
    orders: int
    codes: dict[int, int] = field(default_factory=dict)
    prefix_hit_share: float = 0.0
    inbound_ms: tuple[float, float] = (0.0, 0.0)
    outbound_ms: tuple[float, float] = (0.0, 0.0)

    @classmethod
    def from_run(cls, fleet, callers: Callers, seconds: float) -> "RunReport":
        """Compute the figures; the counts of the stand-ins must be collected before."""
        outcomes = callers.outcomes
        engine_counts = fleet.engine_counts()
        started = {nonce for counts in engine_counts for nonce in counts["started"]}
        service = fleet.service_counts()
        refused_unrun = [
            each
            for each in outcomes
            if each.verdict is Verdict.REFUSED and each.run == "no"
        ]
        stopped = {node.id for node in fleet.nodes if node.stopped}
        broken = [each for each in outcomes if each.verdict is Verdict.BROKEN]
        starts = sum(each["starts"] for each in engine_counts)
        hits = sum(each["prefix_hits"] for each in engine_counts)
        return cls(
            classes=_class_figures(outcomes),
            useful_tokens=sum(each.tokens for each in outcomes if each.attained),
            delivered_tokens=sum(
                each.tokens for each in outcomes if each.verdict is Verdict.COMPLETE
            ),
            generated_tokens=sum(
                sum(counts["generated"].values()) for counts in engine_counts
            ),
            seconds=seconds,
            refusals=sum(each.verdict is Verdict.REFUSED for each in outcomes),
            false_refusals=sum(each.arrival.nonce in started for each in refused_unrun),
            corrupted=sum(each.verdict is Verdict.CORRUPTED for each in outcomes),
            duplicate_orders=sum(count > 1 for count in service.values()),
            false_order_refusals=sum(
                each.run == "no" and each.status != 428 and each.order in service
                for each in callers.orders
            ),
            lost_confirmations=sum(
                each.status == 200 and each.order not in service
                for each in callers.orders
            ),
            broken_by_planned_stop=sum(each.node in stopped for each in broken),
            broken_elsewhere=sum(each.node not in stopped for each in broken),
            orders=len(callers.orders),
            codes=dict(Counter(each.code for each in outcomes if each.code)),
            prefix_hit_share=hits / starts if starts else 0.0,
            inbound_ms=_compute_delays(engine_counts, outcomes, "received_at"),
            outbound_ms=_compute_delays(engine_counts, outcomes, "emitted_at"),
        )

    @property
    def goodput(self) -> float:
        """Tokens per second of responses within target."""
        return self.useful_tokens / self.seconds

    @property
    def wasted_share(self) -> float:
        """Share of the generated tokens that are part of no complete response."""
        if not self.generated_tokens:
            return 0.0
        return max(0.0, 1 - self.delivered_tokens / self.generated_tokens)

    def checks(self) -> dict[str, bool]:
        """Return the checks that hold in every run, by name."""
        return {
            "no call doubled": self.duplicate_orders == 0,
            "no answer mixed up": self.corrupted == 0,
            "none cut by a planned stop": self.broken_by_planned_stop == 0,
            "every refusal true": self.false_refusals == 0
            and self.false_order_refusals == 0
            and self.lost_confirmations == 0,
        }

    def table(self) -> str:
        """Return the figures as a Markdown table and some lines of text."""
        lines = [
            "| class | tier | asked | attained | late | refused | broken "
            "| first token p50 / p99 s |",
            "|---|---|---|---|---|---|---|---|",
        ]
        lines += [
            f"| {each.class_id} | {each.tier} | {each.asked} "
            f"| {each.attainment:.1%} | {each.late} | {each.refused} "
            f"| {each.broken} "
            f"| {each.first_token_p50_s:.2f} / {each.first_token_p99_s:.2f} |"
            for each in self.classes
        ]
        codes = ", ".join(f"{code}: {n}" for code, n in sorted(self.codes.items()))
        lines += [
            "",
            f"Goodput {self.goodput:.0f} tokens/s; "
            f"wasted work {self.wasted_share:.2%} of "
            f"{self.generated_tokens} tokens generated; "
            f"prefix hits {self.prefix_hit_share:.0%}.",
            f"Router's own delay p50 / p99: to the engine, waits included, "
            f"{self.inbound_ms[0]:.1f} / {self.inbound_ms[1]:.1f} ms; first token back "
            f"{self.outbound_ms[0]:.1f} / {self.outbound_ms[1]:.1f} ms.",
            f"Orders {self.orders}; refusals {self.refusals} "
            f"(by code: {codes or 'none'}); broken elsewhere {self.broken_elsewhere}.",
        ]
        return "\n".join(lines)


def _class_figures(outcomes: list[Outcome]) -> list[ClassFigures]:
    loads = {each.arrival.load.id: each.arrival.load for each in outcomes}
    figures = []
    for load in sorted(loads.values(), key=lambda each: (each.pool, each.tier)):
        of_class = [each for each in outcomes if each.arrival.load.id == load.id]
        complete = [each for each in of_class if each.verdict is Verdict.COMPLETE]
        firsts = [each.first_token_s for each in complete]
        attained = sum(each.attained for each in of_class)
        broken = sum(
            each.verdict in (Verdict.BROKEN, Verdict.CORRUPTED) for each in of_class
        )
        figures.append(
            ClassFigures(
                load.id,
                load.tier,
                asked=len(of_class),
                attained=attained,
                late=len(complete) - attained,
                refused=sum(each.verdict is Verdict.REFUSED for each in of_class),
                broken=broken,
                first_token_p50_s=quantile(firsts, 0.5),
                first_token_p99_s=quantile(firsts, 0.99),
            )
        )
    return figures


def _compute_delays(
    engine_counts: list[dict], outcomes: list[Outcome], event: str
) -> tuple[float, float]:
    """Return median and 99th percentile of the delay of one direction, in ms."""
    event_times: dict[str, float] = {}
    for counts in engine_counts:
        for nonce, when in counts[event].items():
            event_times[nonce] = min(when, event_times.get(nonce, when))
    complete = [each for each in outcomes if each.verdict is Verdict.COMPLETE]
    if event == "received_at":
        pairs = [
            (each.sent_at, event_times.get(each.arrival.nonce)) for each in complete
        ]
    else:
        pairs = [
            (event_times.get(each.arrival.nonce), each.first_token_at)
            for each in complete
        ]
    delays = [
        1000 * (after - before)
        for before, after in pairs
        if before is not None and after is not None
    ]
    return quantile(delays, 0.5), quantile(delays, 0.99)
