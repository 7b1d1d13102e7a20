"""Plot of waits, refusals and instances with overdue reports over time."""

from pathlib import Path
from statistics import median

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402 - select the backend first

from .load import FleetLoad  # noqa: E402

__all__ = ["plot_load"]


def plot_load(load: FleetLoad, path: Path) -> None:
    """Draw a panel each for waits, requests and instances with overdue reports.

    Parameters
    ----------
    load
        Load from log files.
    path
        Image to write; its suffix selects the format.
    """
    indexes = sorted(load.seconds)
    seconds = [load.seconds[index] for index in indexes]
    figure, (waits, requests, staleness) = plt.subplots(3, sharex=True, figsize=(9, 7))
    for name in ("expected_ms", "observed_ms"):
        values = [getattr(second, name) for second in seconds]
        medians = [median(each) if each else float("nan") for each in values]
        waits.plot(indexes, medians, label=name.removesuffix("_ms"))
    waits.set_ylabel("first token, ms (p50)")
    waits.legend()
    requests.plot(indexes, [second.placed for second in seconds], label="placed")
    requests.plot(indexes, [second.refused for second in seconds], label="refused")
    requests.set_ylabel("requests a second")
    requests.legend()
    staleness.bar(indexes, [len(second.overdue_instances) for second in seconds])
    staleness.set_ylabel("instances overdue")
    staleness.set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
