"""The command line of ``buckthornwallctl``."""

import argparse
import sys
import time
from pathlib import Path

from buckthornwall import __version__
from buckthornwall.codes import BuckthornwallError, ResultCode

from .checks import check_records, check_settings
from .config_lag import format_config_lags
from .fleet_status import format_fleet_status
from .load import format_load, load_from_logs
from .priority_inversion import format_inversions
from .request_timeline import request_timeline

__all__ = ["main"]

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EPILOG = (
    "Exit status: 0 success, 1 the check found an error, 2 wrong usage, "
    "3 an instance could not be read."
)


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser."""
    parser = argparse.ArgumentParser(
        prog="buckthornwallctl",
        description="Check settings and records, and watch a fleet.",
        epilog=EPILOG,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")

    settings = commands.add_parser("check-settings", help="check a settings file")
    settings.add_argument("file", type=Path)
    settings.set_defaults(run=_check_settings)

    records = commands.add_parser("check-records", help="check a set of records")
    records.add_argument("file", type=Path)
    records.add_argument(
        "--against", metavar="IP:PORT", help="operator address of an instance"
    )
    records.set_defaults(run=_check_records)

    status = commands.add_parser("status", help="show the status of instances once")
    status.add_argument("address", nargs="+", metavar="IP:PORT")
    status.set_defaults(run=_status)

    watch = commands.add_parser(
        "watch", help="show the status of instances periodically"
    )
    watch.add_argument("address", nargs="+", metavar="IP:PORT")
    watch.add_argument("--every", type=float, default=2.0, metavar="SECONDS")
    watch.add_argument(
        "--times", type=int, default=0, help="stop after this many refreshes"
    )
    watch.set_defaults(run=_watch)

    explain = commands.add_parser(
        "explain",
        help="explain a result code, or show a request's timeline from log files",
    )
    explain.add_argument(
        "what", help="number or name of a result code, or a request id"
    )
    explain.add_argument("log", nargs="*", type=Path, help="log files of instances")
    explain.set_defaults(run=_explain)

    behind = commands.add_parser(
        "behind",
        help="show how long instances lagged behind the newest configuration",
    )
    behind.add_argument("log", nargs="+", type=Path, help="log files of instances")
    behind.set_defaults(run=_behind)

    load = commands.add_parser(
        "load",
        help="show waits and refusals by second, busiest engines, prediction errors",
    )
    load.add_argument("log", nargs="+", type=Path, help="log files of instances")
    load.add_argument(
        "--plot", type=Path, metavar="FILE", help="also draw a plot (needs matplotlib)"
    )
    load.set_defaults(run=_load)

    urgency = commands.add_parser(
        "urgency",
        help="show when requests were unserved while less urgent ones were served",
    )
    urgency.add_argument("log", nargs="+", type=Path, help="log files of instances")
    urgency.set_defaults(run=_urgency)
    return parser


def _check_settings(options: argparse.Namespace) -> int:
    print("\n".join(check_settings(options.file)))
    return EXIT_OK


def _check_records(options: argparse.Namespace) -> int:
    print("\n".join(check_records(options.file, options.against)))
    return EXIT_OK


def _status(options: argparse.Namespace) -> int:
    lines, failed = format_fleet_status(options.address)
    print("\n".join(lines))
    return EXIT_UNREACHABLE if failed else EXIT_OK


def _watch(options: argparse.Namespace) -> int:
    refreshes = 0
    while True:
        lines, failed = format_fleet_status(options.address)
        print("\n".join(lines), flush=True)
        refreshes += 1
        if options.times and refreshes >= options.times:
            return EXIT_UNREACHABLE if failed else EXIT_OK
        time.sleep(options.every)


def _explain(options: argparse.Namespace) -> int:
    if options.log:
        return _explain_request(options.what, options.log)
    for code in ResultCode:
        if options.what.upper() in (str(code.number), code.name):
            print(f"{code.number} {code.name} (HTTP {code.status})")
            print(f"meaning: {code.meaning}")
            print(f"what to do: {code.action}")
            return EXIT_OK
    print(f"unknown result code {options.what}", file=sys.stderr)
    return EXIT_REFUSED


def _explain_request(request: str, logs: list[Path]) -> int:
    timeline = request_timeline(request, logs)
    if not timeline:
        print(f"no line of request {request}", file=sys.stderr)
        return EXIT_REFUSED
    print("\n".join(timeline))
    return EXIT_OK


def _behind(options: argparse.Namespace) -> int:
    print("\n".join(format_config_lags(options.log)))
    return EXIT_OK


def _load(options: argparse.Namespace) -> int:
    load = load_from_logs(options.log)
    if load is None:
        print("no line of an instance", file=sys.stderr)
        return EXIT_REFUSED
    print("\n".join(format_load(load)))
    if options.plot:
        from .load_plot import plot_load  # noqa: PLC0415 - only needed here

        plot_load(load, options.plot)
    return EXIT_OK


def _urgency(options: argparse.Namespace) -> int:
    print("\n".join(format_inversions(options.log)))
    return EXIT_OK


def main(arguments: list[str] | None = None) -> int:
    """Run a command; return its exit status."""
    options = build_parser().parse_args(arguments)
    try:
        return options.run(options)
    except BuckthornwallError as error:
        print(f"buckthornwallctl: {error}", file=sys.stderr)
        unreachable = error.code is ResultCode.UPSTREAM_UNREACHABLE
        return EXIT_UNREACHABLE if unreachable else EXIT_REFUSED
    except KeyboardInterrupt:
        return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
