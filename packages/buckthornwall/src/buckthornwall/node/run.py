"""Runner of a node with its stop signals."""

from functools import partial
from typing import Any

import trio

from buckthornwall.settings import Settings
from buckthornwall.utils import SuspensionClock

from .core import Node

__all__ = ["run_node"]


def run_node(settings: Settings, stop_signals: Any) -> None:
    """Run a node until it receives a stop signal.

    Parameters
    ----------
    settings
        Validated settings.
    stop_signals
        Signals that request a planned stop.
    """
    run = partial(_run_with_signals, settings, stop_signals)
    trio.run(run, clock=SuspensionClock())


async def _run_with_signals(settings: Settings, stop_signals: Any) -> None:
    node = Node.from_config(settings)
    with trio.open_signal_receiver(*stop_signals) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_stop_on_signal, signals, node)
            await node.run()
            nursery.cancel_scope.cancel()


async def _stop_on_signal(signals: Any, node: Node) -> None:
    async for _ in signals:
        node.stopping.set()
