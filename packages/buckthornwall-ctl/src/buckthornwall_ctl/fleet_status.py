"""Status table of a fleet."""

from typing import Any

from buckthornwall.codes import PeerError

from .client import read_json
from .router_status import format_router_status, is_router

__all__ = ["format_fleet_status"]

HEADER = (
    f"{'instance':<16}{'state':<9}{'records':>8}  {'in flight':>9}  pools scheduled"
)


def _format_pools(status: dict[str, Any]) -> str:
    scheduled = [each for each in status["pools"] if not each["alone"]]
    return (
        ", ".join(
            f"{each['pool']} ({sum(each['waiting'].values())} waiting)"
            for each in scheduled
        )
        or "-"
    )


def _format_instance(status: dict[str, Any]) -> str:
    records = status["records"]
    return (
        f"{status['node']:<16}{status['state']:<9}{records['number']:>8}"
        f"  {status['in_flight']:>9}  {_format_pools(status)}"
    )


def format_fleet_status(addresses: list[str]) -> tuple[list[str], int]:
    """Read every instance; return a table and the number that could not be read."""
    lines = [HEADER]
    failed = 0
    numbers = set()
    for address in addresses:
        try:
            status = read_json(address, "/status")
        except PeerError as error:
            lines.append(f"{address}: {error}")
            failed += 1
            continue
        if is_router(status):
            numbers.add((status["number"], ""))
            lines += format_router_status(status)
            continue
        numbers.add((status["records"]["number"], status["records"]["digest"]))
        lines.append(_format_instance(status))
        lines += [
            f"  refused record: {code} {detail}"
            for code, detail in status["records"]["refused"]
        ]
        if status["records"]["last_error"]:
            lines.append(f"  last refused set: {status['records']['last_error']}")
    if len(numbers) > 1:
        lines.append(f"records differ: {sorted(numbers)}")
    return lines, failed
