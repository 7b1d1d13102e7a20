"""Plots of the bench's results."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402 - after the choice of the backend

__all__ = ["plot_attainment"]

BUCKET_S = 2.0


def _compute_attainment_series(
    outcomes, class_id: str
) -> tuple[list[float], list[float]]:
    """Return times, and the share of each bucket's arrivals that attained targets."""
    buckets: dict[int, list[bool]] = {}
    for outcome in outcomes:
        if outcome.arrival.load.id == class_id:
            index = int(outcome.arrival.at / BUCKET_S)
            buckets.setdefault(index, []).append(outcome.attained)
    times = sorted(buckets)
    shares = [sum(buckets[index]) / len(buckets[index]) for index in times]
    return [index * BUCKET_S for index in times], shares


def plot_attainment(runs, path: Path) -> None:
    """Plot attainment by class over time, with a panel for each policy."""
    policies = list(dict.fromkeys(run.policy for run in runs))
    figure, axes = plt.subplots(
        1, len(policies), figsize=(5 * len(policies), 3.2), sharey=True, squeeze=False
    )
    for axis, policy in zip(axes[0], policies, strict=True):
        outcomes = [o for run in runs if run.policy == policy for o in run.outcomes]
        classes = sorted(
            {
                (o.arrival.load.pool, o.arrival.load.tier, o.arrival.load.id)
                for o in outcomes
            }
        )
        for _, tier, class_id in classes:
            times, shares = _compute_attainment_series(outcomes, class_id)
            axis.plot(times, shares, label=f"{class_id} (tier {tier})")
        axis.set_title(policy)
        axis.set_xlabel("seconds")
        axis.set_ylim(0, 1.05)
    axes[0][0].set_ylabel("attained")
    axes[0][-1].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    plt.close(figure)
