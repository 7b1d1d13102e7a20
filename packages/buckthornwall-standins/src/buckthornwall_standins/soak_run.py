"""What soaks with a load of their own have in common: instances, callers, restarts."""

import itertools
import random
from collections import Counter
from pathlib import Path

import trio
from buckthornwall.http1 import ClientConnection, ExchangeError

from .soak_instances import SoakInstances
from .users_platform import Deployment, Store

__all__ = ["PATIENCE_S", "SoakRun"]

SETTLE_S = 3.0
# How long callers wait.
PATIENCE_S = 3.0
# Each instance in turn is killed, and started a moment later.
RESTART_INTERVAL_S = 1.5
RESTART_PAUSE_S = 0.5


class SoakRun:
    """One run of real instances before stand-ins.

    Parameters
    ----------
    seed
        Draws who is asked, and when.
    seconds
        How long callers come.
    ports
        First of five ports that all instances share.
    folder
        Where settings and logs go.
    instances
        How many.
    restarts
        Whether instances are killed and started in turn.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        ports: int,
        folder: Path,
        instances: int,
        restarts: bool,
    ) -> None:
        self.draw = random.Random(seed)
        self.seconds = seconds
        self.ports = ports
        self.count = instances
        self.restarts = restarts
        self.store = Store()
        self.deployment = Deployment(self.store)
        self.instances = SoakInstances(ports, folder)
        self.started: list[tuple[float, int]] = []
        self.statuses: Counter[tuple[str, str]] = Counter()
        self.numbers = itertools.count(1)

    async def run(self) -> None:
        """Start all, play the load, and end the instances."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.store.run, f"127.0.9.1:{self.ports + 4}")
            await self.start_upstreams(nursery)
            for number in range(1, self.count + 1):
                self.instances.start(number)
            try:
                await self.instances.until_ready()
                await trio.sleep(SETTLE_S)
                with trio.move_on_after(self.seconds):
                    await self._play()
            finally:
                self.instances.end()
            nursery.cancel_scope.cancel()

    async def start_upstreams(self, nursery: trio.Nursery) -> None:
        """Publish a configuration, start upstreams and register them."""
        raise NotImplementedError

    async def play(self, callers: trio.Nursery) -> None:
        """Let callers come."""
        raise NotImplementedError

    async def _play(self) -> None:
        async with trio.open_nursery() as callers:
            if self.restarts:
                callers.start_soon(self._restart_in_turn)
            await self.play(callers)

    async def _restart_in_turn(self) -> None:
        for number in itertools.cycle(range(1, self.count + 1)):
            await trio.sleep(RESTART_INTERVAL_S)
            self.instances.processes[number].kill()
            self.instances.processes[number].wait()
            self.started.append((trio.current_time(), number))
            await trio.sleep(RESTART_PAUSE_S)
            self.instances.start(number)
            self.started.append((trio.current_time(), number))

    async def exchange(
        self,
        number: int,
        path: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes = b"",
    ) -> str:
        """Ask an instance once; return the status, or how the exchange failed."""
        connection = None
        with trio.move_on_after(PATIENCE_S):
            try:
                address = f"127.0.8.{number}:{self.ports}"
                connection = await ClientConnection.connect(address, 1.0)
                await connection.send(b"POST", f"/{path}/x".encode(), headers, body)
                head = await connection.receive_head()
                while await connection.receive_data():
                    pass
                return str(head.status)
            except ExchangeError as error:
                return error.failure.value
            finally:
                if connection is not None:
                    connection.close()
        return "left"
