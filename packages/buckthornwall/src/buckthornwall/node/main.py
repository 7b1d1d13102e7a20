"""Command line of ``buckthornwalld``."""

import argparse
import gc
import signal
import sys
from pathlib import Path
from types import FrameType

from buckthornwall import __version__
from buckthornwall.codes import SettingsError
from buckthornwall.start import EarlyListeners
from buckthornwall.telemetry import configure_logs, log_event
from buckthornwall.utils.allocator import return_large_buffers

__all__ = ["main"]

EXIT_SETTINGS = 2
COMPLETIONS = "completions"
PLATFORM = "platform"
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def build_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(
        prog="buckthornwalld",
        description="Run one instance of the buckthornwall router.",
        epilog="Exit status: 0 after a planned stop, 2 for bad settings.",
    )
    parser.add_argument(
        "--settings", type=Path, required=True, help="INI file of this instance"
    )
    parser.add_argument(
        "--interface",
        choices=(COMPLETIONS, PLATFORM),
        default=COMPLETIONS,
        help="what callers speak: the completions interface, or the platform's",
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser


def main(
    arguments: list[str] | None = None, early: EarlyListeners | None = None
) -> int:
    """Run the daemon and return its exit status.

    Parameters
    ----------
    arguments
        The command line, by default that of the process.
    early
        Listeners that were opened before this module was imported.
    """
    for signal_number in STOP_SIGNALS:
        signal.signal(signal_number, _exit_before_start)
    options = build_parser().parse_args(arguments)
    early = early or EarlyListeners()
    return_large_buffers()
    try:
        if options.interface == PLATFORM:
            _run_platform(options.settings, early)
        else:
            _run_completions(options.settings)
    except SettingsError as error:
        print(f"buckthornwalld: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    return 0


def _exit_before_start(signal_number: int, frame: FrameType | None) -> None:
    """Exit at once: no request is in flight before the instance has started."""
    raise SystemExit(0)


def _run_completions(path: Path) -> None:
    # Imported here to save the memory of modules that the instance does not use.
    from buckthornwall.settings import Settings

    from .run import run_node

    settings = Settings.from_file(path)
    gc.enable()
    configure_logs(settings.telemetry, settings.node.id)
    log_event("starting", zone=settings.node.zone, version=__version__)
    run_node(settings, STOP_SIGNALS)


def _run_platform(path: Path, early: EarlyListeners) -> None:
    from buckthornwall.router import run_router
    from buckthornwall.settings import RouterSettings

    gc.freeze()
    gc.enable()
    settings = RouterSettings.from_file(path)
    configure_logs(settings.telemetry, settings.node.id)
    log_event("starting", zone=settings.node.zone, version=__version__)
    if early.failure:
        log_event("early_listener_failed", "WARNING", detail=early.failure)
    run_router(settings, path, early)


if __name__ == "__main__":
    sys.exit(main())
