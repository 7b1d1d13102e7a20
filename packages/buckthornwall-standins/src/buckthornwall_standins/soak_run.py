"""What soaks with a load of their own have in common: instances, callers, restarts."""

import argparse
import itertools
import random
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import trio
from buckthornwall.http1 import ClientConnection, ExchangeError

from .soak_instances import SoakInstances
from .users_platform import Deployment, Store
from .users_platform.deployment import API_KEY, HOST
from .users_platform.headers import make_request_headers

__all__ = ["CLIENT_TIMEOUT_S", "RunSettings", "SoakRun", "run_seeds", "make_parser"]

SETTLE_S = 3.0
# How long callers wait.
CLIENT_TIMEOUT_S = 3.0
# Each instance in turn is killed, and started a moment later.
RESTART_INTERVAL_S = 1.5
RESTART_PAUSE_S = 0.5


# Different shared segments of prompts, so that all engines have work.
PROMPT_PREFIXES = 24


@dataclass(frozen=True)
class RunSettings:
    """What all soaks are told.

    `seed` draws who is asked, and when; callers come for `seconds`. `ports` is the
    first of five that all instances share, and `directory` where settings and logs go.
    With `restarts` instances are killed and started in turn.
    """

    seed: int
    seconds: float
    ports: int
    directory: Path
    instances: int
    restarts: bool = False


@dataclass(frozen=True)
class RequestTarget:
    """The path of a request, and the instance that it was sent to."""

    path: str
    instance: int


class SoakRun:
    """One run of real instances before stand-ins.

    Parameters
    ----------
    settings
        What all soaks are told.

    Attributes
    ----------
    targets : dict
        Where a request was sent to, by its id.
    restart_events : list of tuple
        When which instance was killed or started.
    """

    def __init__(self, settings: RunSettings) -> None:
        self.rng = random.Random(settings.seed)
        self.seconds = settings.seconds
        self.ports = settings.ports
        self.instance_count = settings.instances
        self.restarts = settings.restarts
        self.store = Store()
        self.deployment = Deployment(self.store)
        self.instances = SoakInstances(settings.ports, settings.directory)
        self.targets: dict[str, RequestTarget] = {}
        self.restart_events: list[tuple[float, int]] = []
        self.statuses: Counter[tuple[str, str]] = Counter()
        self.numbers = itertools.count(1)

    async def run(self) -> None:
        """Start all, play the load, and end the instances."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.store.run, f"127.0.9.1:{self.ports + 4}")
            await self.start_upstreams(nursery)
            for number in range(1, self.instance_count + 1):
                self.instances.start(number)
            try:
                await self.instances.wait_until_ready()
                await trio.sleep(SETTLE_S)
                await self.run_load()
            finally:
                self.instances.kill_all()
            nursery.cancel_scope.cancel()

    async def start_upstreams(self, nursery: trio.Nursery) -> None:
        """Publish a configuration, start upstreams and register them."""
        raise NotImplementedError

    async def generate_load(self, callers: trio.Nursery) -> None:
        """Let callers come."""
        raise NotImplementedError

    def describe(self) -> str:
        """Return what a run came to, in a line."""
        raise NotImplementedError

    async def run_load(self) -> None:
        """Let callers come for their time, and restart instances if asked to."""
        with trio.move_on_after(self.seconds):
            async with trio.open_nursery() as callers:
                if self.restarts:
                    callers.start_soon(self._restart_in_turn)
                await self.generate_load(callers)

    def has_restarted(self, instance: int, at: float, within_s: float) -> bool:
        """Tell whether an instance was killed or started shortly before a time."""
        return any(
            number == instance and 0 <= at - event_at <= within_s
            for event_at, number in self.restart_events
        )

    async def _restart_in_turn(self) -> None:
        for number in itertools.cycle(range(1, self.instance_count + 1)):
            await trio.sleep(RESTART_INTERVAL_S)
            self.instances.processes[number].kill()
            self.instances.processes[number].wait()
            self.restart_events.append((trio.current_time(), number))
            await trio.sleep(RESTART_PAUSE_S)
            self.instances.start(number)
            self.restart_events.append((trio.current_time(), number))

    async def call_repeatedly(
        self, path: str, per_s: float, callers: trio.Nursery, has_prompt: bool = True
    ) -> None:
        """Let callers come, so many a second on average."""
        while True:
            callers.start_soon(self.call, path, has_prompt)
            await trio.sleep(self.rng.expovariate(per_s))

    async def call(self, path: str, has_prompt: bool) -> None:
        """Ask a drawn instance once."""
        request = f"r{next(self.numbers)}"
        number = self.rng.randint(1, self.instance_count)
        self.targets[request] = RequestTarget(path, number)
        prefix = f"{self.rng.randrange(PROMPT_PREFIXES):x}a"
        prompt = ("900,10", f"{prefix}:600,{request[1:]}:300") if has_prompt else None
        headers = make_request_headers(request, HOST, API_KEY, CLIENT_TIMEOUT_S, prompt)
        self.statuses[path, await self.exchange(number, path, headers)] += 1

    async def exchange(
        self,
        number: int,
        path: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes = b"",
    ) -> str:
        """Ask an instance once; return the status, or how the exchange failed."""
        connection = None
        with trio.move_on_after(CLIENT_TIMEOUT_S):
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


def make_parser(
    description: str, seconds: float, ports: int, can_restart: bool = True
) -> argparse.ArgumentParser:
    """Return a parser of what all soaks are told."""
    parser = argparse.ArgumentParser(description=description.splitlines()[0])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--seconds", type=float, default=seconds)
    parser.add_argument("--instances", type=int, default=6)
    if can_restart:
        parser.add_argument("--restarts", action="store_true")
    else:
        parser.set_defaults(restarts=False)
    parser.add_argument("--ports", type=int, default=ports)
    return parser


def run_seeds(
    options: argparse.Namespace,
    make_soak: Callable[[RunSettings], SoakRun],
    find_violations: Callable[[SoakRun], list[str]],
) -> int:
    """Play seeds one after the other and print verdicts; return 1 if any broke.

    Parameters
    ----------
    options
        What `make_parser` read.
    make_soak
        Returns a run.
    find_violations
        Returns a line for each promise that a run broke.
    """
    failed = 0
    for seed in options.seeds:
        with tempfile.TemporaryDirectory(prefix="soak-") as name:
            settings = RunSettings(
                seed,
                options.seconds,
                options.ports,
                Path(name),
                options.instances,
                options.restarts,
            )
            soak = make_soak(settings)
            trio.run(soak.run)
        violations = find_violations(soak)
        failed += bool(violations)
        print(f"seed {seed}: {'BROKEN' if violations else 'kept'}; {soak.describe()}")
        for line in violations:
            print(f"  {line}")
        for (kind, status), count in sorted(soak.statuses.items()):
            print(f"  {kind} {status}: {count}")
    return 1 if failed else 0
