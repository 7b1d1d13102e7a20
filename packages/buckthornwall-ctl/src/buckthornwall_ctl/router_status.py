"""Status lines of an instance behind a load balancer."""

from typing import Any

__all__ = ["is_router", "format_router_status"]

MAX_SHOWN_TEAMS = 5


def is_router(status: dict[str, Any]) -> bool:
    """Return whether a status is that of an instance behind a load balancer."""
    return "fleet" in status


def format_router_status(status: dict[str, Any]) -> list[str]:
    """Return a line for the instance, and lines for what excludes upstreams."""
    upstreams = status["upstreams"].values()
    in_use = sum(1 for each in upstreams if not each["aside"])
    lines = [
        f"{status['node']:<32}{status['state']:<9}{status['number']:>8}"
        f"  {status['active']:>9}  {in_use} of {len(upstreams)} upstreams"
    ]
    lines += [
        f"  evacuated: {zone} since revision {revision}"
        for zone, revision in sorted(status["evacuated"].items())
    ]
    cold = sorted(name for name, each in status["upstreams"].items() if each["cold_s"])
    if cold:
        lines.append(f"  cold: {', '.join(cold)}")
    regions = status["regions"]
    outside = sorted({each["zone"] for each in upstreams} - regions.keys())
    if regions and outside:
        lines.append(f"  in no region: {', '.join(outside)}")
    return lines + _format_teams(status.get("teams", []))


def _format_teams(teams: list[dict[str, Any]]) -> list[str]:
    """Return a line for each team that is refused for its share."""
    beyond = [each for each in teams if each["refused"]]
    beyond.sort(key=lambda each: each["share"] - each["demand"])
    return [
        f"  beyond its share: {each['team']} at {each['pool']}, rank {each['rank']}: "
        f"asks for {each['demand']} tokens of work, its share is {each['share']}, "
        f"{each['refused']:.0%} of its requests are refused"
        for each in beyond[:MAX_SHOWN_TEAMS]
    ]
