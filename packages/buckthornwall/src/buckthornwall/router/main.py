"""Signals, the settings file and its changes."""

import signal
from functools import partial
from pathlib import Path

import trio

from buckthornwall.codes import SettingsError
from buckthornwall.settings import RouterSettings
from buckthornwall.start import EarlyListeners
from buckthornwall.telemetry import log_event
from buckthornwall.utils import SuspensionClock

from .core import Router

__all__ = ["reload_settings", "run_router"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP
# The file may change without a signal; checking it costs one system call.
FILE_POLL_S = 2.0


def run_router(
    settings: RouterSettings, path: Path, early_listeners: EarlyListeners
) -> None:
    """Run an instance until a signal asks it to stop.

    Parameters
    ----------
    settings
        Checked settings.
    path
        The file that they were read from; it is read again when it changes.
    early_listeners
        Listeners that are already open.
    """
    clock = SuspensionClock()
    clock.on_resume = _log_resumed
    trio.run(partial(_run, settings, path, early_listeners), clock=clock)


def _log_resumed(seconds: float) -> None:
    log_event("resumed", "WARNING", suspended_s=round(seconds, 3))


async def _run(
    settings: RouterSettings, path: Path, early_listeners: EarlyListeners
) -> None:
    router = Router.from_config(settings)
    router.early_listeners = early_listeners
    with trio.open_signal_receiver(*STOP_SIGNALS, RELOAD_SIGNAL) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_handle_signals, signals, router, path)
            nursery.start_soon(_watch_file, router, path)
            await router.run()
            nursery.cancel_scope.cancel()


async def _handle_signals(signals, router: Router, path: Path) -> None:
    async for number in signals:
        if number == RELOAD_SIGNAL:
            reload_settings(router, path, "signal")
        else:
            router.stopping.set()


async def _watch_file(router: Router, path: Path) -> None:
    seen = _file_stamp(path)
    while True:
        await trio.sleep(FILE_POLL_S)
        now = _file_stamp(path)
        if now != seen:
            seen = now
            reload_settings(router, path, "file")


def _file_stamp(path: Path) -> tuple[int, int] | None:
    try:
        found = path.stat()
    except OSError:
        return None  # the file is being replaced; the next check finds it
    return found.st_mtime_ns, found.st_size


def reload_settings(router: Router, path: Path, cause: str) -> None:
    """Apply the settings that may change while running; ignore an invalid file."""
    try:
        settings = RouterSettings.from_file(path)
    except SettingsError as error:
        log_event("reload_refused", "ERROR", code=error.code.number, detail=error)
        return
    router.apply(settings)
    log_event("reloaded", cause=cause, seeds=",".join(settings.peers.seeds))
