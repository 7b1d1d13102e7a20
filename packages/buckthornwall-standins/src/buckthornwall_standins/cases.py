"""Cases of the bench: a load over time, and the faults injected meanwhile."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio
from buckthornwall.records import SchedulingMode

from .callers import Rate
from .deployments import ClassLoad, Deployment
from .fleet import Fleet

__all__ = ["CASES", "Case"]

NORMAL_LOAD = 0.7
HIGH_LOAD = 0.85
LOW_LOAD = 0.5
OVERLOAD = 3.0
BURST_FACTOR = 10.0
FLOOD_FACTOR = 20.0
ENGINE_SLOWDOWN = 4.0
REPORT_LAG_S = 5.0
FREEZE_S = 5.0
CUT_S = 6.0

InjectFaults = Callable[[Fleet, float], Awaitable[None]]


async def _do_nothing(fleet: Fleet, seconds: float) -> None:
    pass


def _make_constant_rate(fraction: float) -> Callable[[Deployment, float], Rate]:
    return lambda deployment, seconds: lambda load, at: fraction


def _keep_team_rates(deployment: Deployment, seconds: float):
    return lambda team, at: 1.0


def _is_middle_third(at: float, seconds: float) -> bool:
    return seconds / 3 <= at < 2 * seconds / 3


def _overload_middle_third(deployment: Deployment, seconds: float) -> Rate:
    return lambda load, at: OVERLOAD if _is_middle_third(at, seconds) else LOW_LOAD


def _burst_one_class(deployment: Deployment, seconds: float) -> Rate:
    """Multiply the demand of the first non-urgent class by ten for the middle third."""
    bursting = next(load.id for load in deployment.loads if load.tier)

    def rate(load: ClassLoad, at: float) -> float:
        return LOW_LOAD * (
            BURST_FACTOR
            if load.id == bursting and _is_middle_third(at, seconds)
            else 1.0
        )

    return rate


def _flood_from_one_team(deployment: Deployment, seconds: float):
    """Multiply the arrivals of the largest non-urgent team after a quarter."""
    flooding = max(
        (team for load in deployment.loads if load.tier for team in load.teams),
        key=lambda each: each[1],
    )[0]
    return lambda team, at: (
        FLOOD_FACTOR if team == flooding and at > seconds / 4 else 1.0
    )


async def _slow_engine(fleet: Fleet, seconds: float) -> None:
    await trio.sleep(seconds / 4)
    await fleet.set_engine_fault(fleet.engines()[0], slow=ENGINE_SLOWDOWN)


async def _crash_engines(fleet: Fleet, seconds: float) -> None:
    """Crash two engines one after the other; each restarts later."""
    for engine in fleet.engines()[:2]:
        await trio.sleep(seconds / 4)
        await fleet.collect_counts()
        fleet.kill(engine)
        engine.process.wait()
        engine.earlier_counts.append(engine.last_counts)
        await trio.sleep(seconds / 8)
        fleet.start_upstream(engine)


async def _delay_load_reports(fleet: Fleet, seconds: float) -> None:
    for engine in fleet.engines():
        await fleet.set_engine_fault(engine, report_lag_s=REPORT_LAG_S)


async def _kill_and_freeze(fleet: Fleet, seconds: float) -> None:
    await trio.sleep(seconds / 4)
    killed = fleet.nodes[0]
    if fleet.scheduling == SchedulingMode.POOLED.value:
        killed = await fleet.find_scheduler(next(iter(fleet.deployment.pools)))
    fleet.kill(killed)
    frozen = next(node for node in fleet.nodes if node is not killed)
    await trio.sleep(seconds / 8)
    fleet.freeze(frozen)
    await trio.sleep(FREEZE_S)
    fleet.thaw(frozen)


async def _cut_links(fleet: Fleet, seconds: float) -> None:
    await trio.sleep(seconds / 4)
    await fleet.cut(fleet.nodes[: len(fleet.nodes) // 2])
    await trio.sleep(CUT_S)
    await fleet.cut([])


async def _serve_stale_records(fleet: Fleet, seconds: float) -> None:
    """Publish a configuration, then make the platform serve the older one again."""
    await trio.sleep(seconds / 4)
    fleet.config_number = 2
    await fleet.publish()
    await trio.sleep(seconds / 8)
    fleet.config_number = 1
    await fleet.publish()
    await fleet.set_platform_fault(stale=True)


@dataclass(frozen=True)
class Case:
    """One case: rates by class, a rate factor by team, and faults.

    `engines_fail` marks cases that lose tokens with crashed engines.
    """

    name: str
    rate: Callable[[Deployment, float], Rate]
    team_factor: Callable = _keep_team_rates
    inject_faults: InjectFaults = _do_nothing
    relayed: bool = False
    engines_fail: bool = False


CASES = [
    Case("even", _make_constant_rate(NORMAL_LOAD)),
    Case("storm", _overload_middle_third),
    Case("burst", _burst_one_class),
    Case("flood", _make_constant_rate(LOW_LOAD), team_factor=_flood_from_one_team),
    Case("slow-engine", _make_constant_rate(NORMAL_LOAD), inject_faults=_slow_engine),
    Case(
        "crashes",
        _make_constant_rate(LOW_LOAD),
        inject_faults=_crash_engines,
        engines_fail=True,
    ),
    Case(
        "late-reports",
        _make_constant_rate(HIGH_LOAD),
        inject_faults=_delay_load_reports,
    ),
    Case(
        "kill-and-freeze", _make_constant_rate(LOW_LOAD), inject_faults=_kill_and_freeze
    ),
    Case(
        "cut", _make_constant_rate(NORMAL_LOAD), inject_faults=_cut_links, relayed=True
    ),
    Case(
        "stale-records",
        _make_constant_rate(LOW_LOAD),
        inject_faults=_serve_stale_records,
    ),
]
