"""The demonstration: Manizales for 20 s, with a stop, a kill and a crash."""

import argparse
import sys
from collections.abc import Awaitable, Callable

import trio
from tqdm import tqdm

from .callers import Callers, plan_arrivals
from .deployments import MANIZALES
from .fleet import Fleet
from .report import RunReport

__all__ = ["main"]

SEED = 1
LOAD = 0.6
ORDERS_PER_S = 5.0
STOP_FRACTION = 0.3
KILL_FRACTION = 0.5
CRASH_FRACTION = 0.7
COUNTS_INTERVAL_S = 0.5


async def _inject_faults(fleet: Fleet, seconds: float) -> None:
    """Stop an instance gracefully, kill another one, and crash an engine."""
    started = trio.current_time()
    stopped, killed = fleet.nodes[0], fleet.nodes[1]
    steps: list[tuple[float, str, Callable[[], Awaitable[object]]]] = [
        (
            STOP_FRACTION,
            f"{stopped.id} is stopped as planned",
            _make_stop(fleet, stopped),
        ),
        (KILL_FRACTION, f"{killed.id} is killed", _make_kill(fleet, killed)),
        (CRASH_FRACTION, "an engine crashes", _make_kill(fleet, fleet.engines()[2])),
    ]
    async with trio.open_nursery() as nursery:
        for fraction, description, action in steps:
            await trio.sleep_until(started + fraction * seconds)
            tqdm.write(f"{fraction * seconds:5.1f} s: {description}")
            nursery.start_soon(action)


def _make_stop(fleet: Fleet, node) -> Callable[[], Awaitable[object]]:
    async def stop() -> None:
        status = await fleet.stop(node)
        tqdm.write(f"         {node.id} has left with status {status}")

    return stop


def _make_kill(fleet: Fleet, target) -> Callable[[], Awaitable[object]]:
    async def kill() -> None:
        fleet.kill(target)

    return kill


async def _collect_forever(fleet: Fleet) -> None:
    """Collect the counts of engines that may crash."""
    while True:
        await trio.sleep(COUNTS_INTERVAL_S)
        await fleet.collect_counts()


async def _show_progress(seconds: float) -> None:
    with tqdm(total=int(seconds), unit="s", desc="load") as bar:
        for _ in range(int(seconds)):
            await trio.sleep(1)
            bar.update()


async def run_demo(seconds: float) -> RunReport:
    """Run the demonstration and return its report."""
    async with Fleet.running(MANIZALES, log_level="INFO") as fleet:
        print(f"fleet on {fleet.network}.x.x, logs in {fleet.folder}")
        arrivals = plan_arrivals(
            MANIZALES, fleet.engine_model, seconds, SEED, lambda load, at: LOAD
        )
        callers = Callers(fleet, arrivals, ORDERS_PER_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_collect_forever, fleet)
            async with trio.open_nursery() as load:
                load.start_soon(callers.run, seconds)
                load.start_soon(_inject_faults, fleet, seconds)
                load.start_soon(_show_progress, seconds)
            nursery.cancel_scope.cancel()
        await fleet.collect_counts()
        return RunReport.from_run(fleet, callers, seconds)


def main() -> int:
    """Run the demonstration; return 1 if a check fails."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    report = trio.run(run_demo, options.seconds)
    print(report.table())
    checks = report.checks()
    for name, holds in checks.items():
        print(f"{'ok  ' if holds else 'FAIL'} {name}")
    return 0 if all(checks.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
