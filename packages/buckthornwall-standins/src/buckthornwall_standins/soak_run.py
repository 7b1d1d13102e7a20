"""Common parts of soaks with their own load: instances, callers, restarts."""

import argparse
import errno
import itertools
import random
import sys
import tempfile
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import trio
from buckthornwall.http1 import BodyFraming, ClientConnection, ExchangeError

from .soak_instances import SoakInstances
from .users_platform import Deployment, Store
from .users_platform.deployment import API_KEY, HOST
from .users_platform.headers import make_request_headers

__all__ = ["CLIENT_TIMEOUT_S", "RunSettings", "SoakRun", "run_seeds", "make_parser"]

SETTLE_S = 3.0
CLIENT_TIMEOUT_S = 3.0
# Instances are killed in turn, each restarted after the pause.
RESTART_INTERVAL_S = 1.5
RESTART_PAUSE_S = 0.5
# Number of different shared prompt segments, enough to give all engines work.
PROMPT_PREFIXES = 24


@dataclass(frozen=True)
class RunSettings:
    """Settings common to all soaks.

    `seed` samples the instances that requests go to, and the times of requests; the
    load lasts `seconds`. `ports` is the first of five consecutive ports, the same for
    all instances, and `directory` holds settings and logs. With `restarts`, instances
    are killed and restarted in turn.
    """

    seed: int
    seconds: float
    ports: int
    directory: Path
    instances: int
    restarts: bool = False


@dataclass(frozen=True)
class RequestTarget:
    """Path of a request, and when it was sent to which instance."""

    path: str
    instance: int
    sent_at: float


class SoakRun:
    """One run of real instances in front of stand-ins.

    Parameters
    ----------
    settings
        Settings common to all soaks.

    Attributes
    ----------
    targets : dict
        Targets by request id.
    restarted : iterable of int
        Numbers of the instances that are killed and restarted in turn.
    restart_events : list of tuple
        Times and numbers of instances that were killed or restarted.
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
        self.restarted: Iterable[int] = range(1, settings.instances + 1)
        self.restart_events: list[tuple[float, int]] = []
        self.statuses: Counter[tuple[str, str]] = Counter()
        self.numbers = itertools.count(1)

    async def run(self) -> None:
        """Start everything, run the load, and kill the instances."""
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
        """Generate the load until cancelled."""
        raise NotImplementedError

    def describe(self) -> str:
        """Return a one-line summary of the run."""
        raise NotImplementedError

    async def run_load(self) -> None:
        """Run the load for its duration, with restarts of instances if set."""
        with trio.move_on_after(self.seconds):
            async with trio.open_nursery() as callers:
                if self.restarts:
                    callers.start_soon(self._restart_in_turn)
                await self.generate_load(callers)

    def has_restarted(self, instance: int, at: float, within_s: float) -> bool:
        """Return whether an instance was killed or restarted shortly before `at`."""
        return any(
            number == instance and 0 <= at - event_at <= within_s
            for event_at, number in self.restart_events
        )

    async def _restart_in_turn(self) -> None:
        for number in itertools.cycle(self.restarted):
            await trio.sleep(RESTART_INTERVAL_S)
            self.instances.processes[number].kill()
            self.instances.processes[number].wait()
            self.restart_events.append((trio.current_time(), number))
            try:
                await trio.sleep(RESTART_PAUSE_S)
            finally:  # also where the load ends in between
                self.instances.start(number)
                self.restart_events.append((trio.current_time(), number))

    async def call_repeatedly(
        self, path: str, per_s: float, callers: trio.Nursery, has_prompt: bool = True
    ) -> None:
        """Make calls at random intervals, `per_s` a second on average."""
        while True:
            callers.start_soon(self.call, path, has_prompt)
            await trio.sleep(self.rng.expovariate(per_s))

    async def call(self, path: str, has_prompt: bool) -> None:
        """Make one call to a sampled instance."""
        request = f"r{next(self.numbers)}"
        number = self.pick_instance()
        self.targets[request] = RequestTarget(path, number, trio.current_time())
        prefix = f"{self.rng.randrange(PROMPT_PREFIXES):x}a"
        prompt = ("900,10", f"{prefix}:600,{request[1:]}:300") if has_prompt else None
        headers = make_request_headers(request, HOST, API_KEY, CLIENT_TIMEOUT_S, prompt)
        status = await self.exchange(number, path, headers)
        self.statuses[path, status] += 1
        self.record_status(request, status)

    def pick_instance(self) -> int:
        """Return the number of the instance that a new connection meets."""
        return self.rng.randint(1, self.instance_count)

    def record_status(self, request: str, status: str) -> None:
        """Record the result of a call, as `exchange` returns it."""

    async def exchange(
        self,
        number: int,
        path: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes = b"",
        on_head: Callable[[int], None] = lambda status: None,
    ) -> str:
        """Call an instance; return the status, the failure, or "left" on a timeout.

        The end of an "unframed" response does not show that it is complete. `on_head`
        is called with the status of the response.
        """
        connection = None
        with trio.move_on_after(CLIENT_TIMEOUT_S):
            try:
                address = f"127.0.8.{number}:{self.ports}"
                connection = await ClientConnection.connect(address, 1.0)
                await connection.send(b"POST", f"/{path}/x".encode(), headers, body)
                head = await connection.receive_head()
                on_head(head.status)
                while await connection.receive_data():
                    pass
                is_framed = head.framing is not BodyFraming.CLOSE
                return str(head.status) if is_framed else "unframed"
            except ExchangeError as error:
                return error.failure.value
            finally:
                if connection is not None:
                    connection.close()
        return "left"


def make_parser(
    description: str, seconds: float, ports: int, can_restart: bool = True
) -> argparse.ArgumentParser:
    """Return a parser of the options common to all soaks."""
    parser = argparse.ArgumentParser(description=description.splitlines()[0])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--seconds", type=float, default=seconds)
    parser.add_argument("--instances", type=int, default=6)
    if can_restart:
        parser.add_argument("--restarts", action="store_true")
    else:
        parser.set_defaults(restarts=False)
    parser.add_argument("--ports", type=int, default=ports)
    parser.add_argument(
        "--logs", type=Path, help="keep settings and logs here, in a directory a seed"
    )
    return parser


def run_seeds(
    options: argparse.Namespace,
    make_soak: Callable[[RunSettings], SoakRun],
    find_violations: Callable[[SoakRun], list[str]],
) -> int:
    """Run seeds one after the other and print results; return 1 on any violation.

    Parameters
    ----------
    options
        Options read by the parser of `make_parser`.
    make_soak
        Returns a run for given settings.
    find_violations
        Returns a line for each violation in a run.
    """
    failed = 0
    for seed in options.seeds:
        with _run_directory(options.logs, seed) as directory:
            settings = RunSettings(
                seed,
                options.seconds,
                options.ports,
                directory,
                options.instances,
                options.restarts,
            )
            soak = make_soak(settings)
            try:
                trio.run(soak.run)
            except* OSError as group:
                _exit_if_address_in_use(group, settings.ports)
                raise
        violations = find_violations(soak)
        failed += bool(violations)
        print(f"seed {seed}: {'BROKEN' if violations else 'kept'}; {soak.describe()}")
        for line in violations:
            print(f"  {line}")
        for (kind, status), count in sorted(soak.statuses.items()):
            print(f"  {kind} {status}: {count}")
    return 1 if failed else 0


@contextmanager
def _run_directory(logs: Path | None, seed: int) -> Iterator[Path]:
    """Provide the directory of a run: one that is kept in `logs`, or a temporary one.

    Logs of an earlier run of the seed are deleted.
    """
    if logs is None:
        with tempfile.TemporaryDirectory(prefix="soak-") as name:
            yield Path(name)
        return
    directory = logs / f"seed-{seed}"
    directory.mkdir(parents=True, exist_ok=True)
    for path in directory.glob("node-*"):
        path.unlink()
    yield directory


def _exit_if_address_in_use(group: BaseExceptionGroup, ports: int) -> None:
    """Exit with one line if any of the errors is that an address is in use."""
    in_use, _ = group.split(
        lambda error: isinstance(error, OSError) and error.errno == errno.EADDRINUSE
    )
    if in_use is not None:
        sys.exit(f"address in use: is another soak running on ports {ports} and above?")
