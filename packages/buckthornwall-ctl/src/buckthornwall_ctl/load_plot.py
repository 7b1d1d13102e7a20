"""A picture of a day: waits, refusals and old word over time."""

from pathlib import Path
from statistics import median

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402 - the backend comes first

from .load import FleetLoad  # noqa: E402

__all__ = ["plot_load"]


def plot_load(load: FleetLoad, path: Path) -> None:
    """Draw a panel each for waits, for requests and for instances of old word.

    Parameters
    ----------
    load
        What logs show.
    path
        The picture to write; its ending tells the form.
    """
    times = sorted(load.seconds)
    seconds = [load.seconds[time] for time in times]
    figure, (waits, requests, word) = plt.subplots(3, sharex=True, figsize=(9, 7))
    for name in ("expected_ms", "seen_ms"):
        values = [getattr(second, name) for second in seconds]
        middle = [median(each) if each else float("nan") for each in values]
        waits.plot(times, middle, label=name.removesuffix("_ms"))
    waits.set_ylabel("first token, ms (p50)")
    waits.legend()
    requests.plot(times, [second.placed for second in seconds], label="placed")
    requests.plot(times, [second.refused for second in seconds], label="refused")
    requests.set_ylabel("requests a second")
    requests.legend()
    word.bar(times, [len(second.overdue) for second in seconds])
    word.set_ylabel("instances overdue")
    word.set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
