"""A randomized fault soak: real instances as processes, faults drawn by a seed.

The store and the upstreams are stand-ins inside this process; the instances are
processes of their own on loopback addresses. Faults come in series and overlap:
instances are killed, stopped as planned, paused and started again; the store is
down, silent, slow, forgetful; upstreams shed, break off and hang; the paths to both
are slow, reset, cut one way or both, or lose what is open; the configuration
changes. What callers and upstreams see is checked against the promises. A seed
repeats the draw, not the timing. No clock of day is used, so none is stepped.
"""

import argparse
import random
import signal
import sys
import tempfile
from pathlib import Path

import trio

from .soak_callers import SoakCallers, Verdict
from .soak_instances import SoakInstances
from .users_platform import (
    Deployment,
    FaultProxy,
    ProxyFault,
    Store,
    StoreFault,
    Upstream,
)
from .users_platform.deployment import DRAFTS, ORDERS
from .users_platform.upstream import STREAM_EVENTS

__all__ = ["Soak", "main", "play_seed"]

INSTANCES = 4
CALLERS = 6
RECOVERY_S = 6.0
LAST_CALLS = 20
MOST_FAILED_AT_END = 2
# A change has to be in force everywhere this long after it was acknowledged.
IN_FORCE_S = 2.0
LAST_BYTES = 4000


class Soak:
    """One run.

    Parameters
    ----------
    seed
        Draws faults and calls.
    seconds
        How long faults come.
    ports
        First of five ports that all instances share.
    folder
        Where settings and logs go.
    count
        Instances, in two zones.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        ports: int,
        folder: Path,
        count: int = INSTANCES,
    ) -> None:
        self.draw = random.Random(seed)
        self.count = count
        self.seconds = seconds
        self.ports = ports
        self.store = Store()
        self.deployment = Deployment(self.store)
        self.upstreams: dict[str, Upstream] = {}
        self.proxies: dict[str, FaultProxy] = {}
        self.instances = SoakInstances(ports, folder)
        self.callers = SoakCallers(self.draw, ports)

    async def run(self) -> Verdict:
        """Play the faults, let all recover, and return the verdict."""
        async with trio.open_nursery() as nursery:
            await self._start(nursery)
            try:
                await self._play(nursery)
                await self._recover()
                await self._check_end()
            finally:
                self.instances.end()
            nursery.cancel_scope.cancel()
        self.callers.check_runs(self.upstreams.values())
        return self.callers.verdict

    async def _start(self, nursery: trio.Nursery) -> None:
        await nursery.start(self.store.run, f"127.0.9.2:{self.ports + 4}")
        store = f"127.0.9.1:{self.ports + 4}"
        await self._start_proxy(nursery, "store", store, f"127.0.9.2:{self.ports + 4}")
        self.deployment.publish()
        names = (("e1", DRAFTS), ("e2", DRAFTS), ("s1", ORDERS), ("s2", ORDERS))
        for number, (name, service) in enumerate(names, 1):
            address = f"127.0.7.{number}:{self.ports}"
            target = f"127.0.6.{number}:{self.ports}"
            self.upstreams[name] = Upstream(name)
            await nursery.start(self.upstreams[name].run, target)
            await self._start_proxy(nursery, name, address, target)
            self.deployment.register(name, service, address)
        for number in range(1, self.count + 1):
            self.instances.start(number)
        await self.instances.until_ready()

    async def _start_proxy(
        self, nursery: trio.Nursery, name: str, listen: str, target: str
    ) -> None:
        self.proxies[name] = FaultProxy(target)
        await nursery.start(self.proxies[name].run, listen)

    # Faults

    async def _play(self, nursery: trio.Nursery) -> None:
        stop = trio.current_time() + self.seconds
        async with trio.open_nursery() as callers:
            for _ in range(CALLERS):
                callers.start_soon(self._call_until, stop)
            while trio.current_time() < stop:
                nursery.start_soon(self.draw.choice(self._faults()))
                await trio.sleep(self.draw.uniform(0.2, 1.0))

    def _faults(self) -> list:
        return [
            self._kill,
            self._kill_all,
            self._stop,
            self._pause,
            self._store_fails,
            self._store_forgets,
            self._store_slow,
            self._upstream_sheds,
            self._upstream_breaks,
            self._upstream_hangs,
            self._upstream_leaves,
            self._path_fails,
            self._path_forgets,
            self._configure,
        ]

    def _some_instance(self) -> int:
        return self.draw.choice(list(self.instances.processes))

    async def _kill(self) -> None:
        await self._restart(self._some_instance(), signal.SIGKILL)

    async def _kill_all(self) -> None:
        async with trio.open_nursery() as nursery:
            for number in self.instances.processes:
                nursery.start_soon(self._restart, number, signal.SIGKILL)

    async def _stop(self) -> None:
        await self._restart(self._some_instance(), signal.SIGTERM)

    async def _restart(self, number: int, how: signal.Signals) -> None:
        process = self.instances.processes[number]
        if process.poll() is not None:
            return  # another fault has it already
        ends = {0, -signal.SIGKILL}
        if not self.instances.has_begun(number):
            ends.add(-signal.SIGTERM)
        process.send_signal(how)
        while process.poll() is None:
            await trio.sleep(0.02)
        if how is signal.SIGTERM and process.returncode not in ends:
            self.callers.verdict.broken.append(f"stop ended with {process.returncode}")
        if self.instances.processes[number] is process:
            self.instances.start(number)

    async def _pause(self) -> None:
        process = self.instances.processes[self._some_instance()]
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(self.draw.uniform(0.3, 2.0))
        process.send_signal(signal.SIGCONT)

    async def _store_fails(self) -> None:
        self.store.faults[""] = self.draw.choice(list(StoreFault))
        await trio.sleep(self.draw.uniform(0.3, 2.0))
        self.store.faults.clear()

    async def _store_forgets(self) -> None:
        self.store.drop_history()

    async def _store_slow(self) -> None:
        self.store.delay_s = self.draw.uniform(0.0, 0.4)
        await trio.sleep(1.0)
        self.store.delay_s = 0.0

    async def _upstream_sheds(self) -> None:
        upstream = self.draw.choice(list(self.upstreams.values()))
        upstream.is_shedding = True
        await trio.sleep(self.draw.uniform(0.2, 1.0))
        upstream.is_shedding = False

    async def _upstream_breaks(self) -> None:
        upstream = self.draw.choice(list(self.upstreams.values()))
        upstream.cut_after_events = self.draw.randint(1, STREAM_EVENTS - 1)
        await trio.sleep(self.draw.uniform(0.2, 1.0))
        upstream.cut_after_events = 0

    async def _upstream_hangs(self) -> None:
        upstream = self.draw.choice(list(self.upstreams.values()))
        upstream.work_s = 2.5
        await trio.sleep(self.draw.uniform(0.2, 0.6))
        upstream.work_s = 0.01

    async def _upstream_leaves(self) -> None:
        name = self.draw.choice(["e2", "s2"])
        number = list(self.upstreams).index(name) + 1
        service = DRAFTS if name == "e2" else ORDERS
        address = f"127.0.7.{number}:{self.ports}"
        self.deployment.register(name, service, address, "draining")
        await trio.sleep(1.0)
        self.deployment.register(name, service, address)

    async def _path_fails(self) -> None:
        proxy = self.draw.choice(list(self.proxies.values()))
        proxy.delay_s = self.draw.uniform(0.05, 0.4)
        proxy.set_fault(self.draw.choice(list(ProxyFault)))
        await trio.sleep(self.draw.uniform(0.3, 2.0))
        proxy.set_fault(ProxyFault.NONE)

    async def _path_forgets(self) -> None:
        self.draw.choice(list(self.proxies.values())).stall_open_connections()

    async def _configure(self) -> None:
        self.deployment.publish()

    # Calls

    async def _call_until(self, stop: float) -> None:
        while trio.current_time() < stop:
            await self.callers.call(self._some_instance())
            await trio.sleep(self.draw.uniform(0.0, 0.1))

    # Checks

    async def _recover(self) -> None:
        for number, process in self.instances.processes.items():
            process.send_signal(signal.SIGCONT)
            if process.poll() is not None:
                self.instances.start(number)
        self.store.faults.clear()
        self.store.delay_s = 0.0
        for proxy in self.proxies.values():
            proxy.set_fault(ProxyFault.NONE)
        for upstream in self.upstreams.values():
            upstream.is_shedding, upstream.cut_after_events, upstream.work_s = (
                False,
                0,
                0.01,
            )
        await trio.sleep(RECOVERY_S)
        await self.instances.until_ready()

    async def _check_end(self) -> None:
        """After the last fault nearly every call must be served again."""
        number = self.deployment.publish()
        await self._check_in_force(number)
        served = 0
        for call in range(LAST_CALLS):
            served += await self.callers.call(call % self.count + 1)
        if served < LAST_CALLS - MOST_FAILED_AT_END:
            text = f"{served} of {LAST_CALLS} served after the end, number {number}"
            self.callers.verdict.broken.append(text)

    async def _check_in_force(self, number: int) -> None:
        """Every instance must soon have the newest version."""
        late: set[int] = set(self.instances.processes)
        with trio.move_on_after(IN_FORCE_S):
            while late:
                for instance in list(late):
                    if await self.instances.version(instance) >= number:
                        late.discard(instance)
                await trio.sleep(0.05)
        for instance in sorted(late):
            text = f"instance {instance} has no version {number} after {IN_FORCE_S} s"
            self.callers.verdict.broken.append(text)


def play_seed(seed: int, seconds: float, ports: int, count: int = INSTANCES) -> Verdict:
    """Play one seed; show the instances' last lines if it broke a promise."""
    with tempfile.TemporaryDirectory(prefix="soak-") as name:
        folder = Path(name)
        verdict = trio.run(Soak(seed, seconds, ports, folder, count).run)
        if verdict.broken:
            for path in sorted(folder.glob("*.log")):
                print(path.read_text(errors="replace")[-LAST_BYTES:], file=sys.stderr)
    return verdict


def main(arguments: list[str] | None = None) -> int:
    """Play seeds one after the other; return 1 if any broke a promise."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=1, help="how many to play")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument(
        "--instances",
        type=int,
        default=INSTANCES,
        help="odd and even ones make two zones; with six, some must wait their turn",
    )
    parser.add_argument("--ports", type=int, default=7700)
    options = parser.parse_args(arguments)
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        verdict = play_seed(seed, options.seconds, options.ports, options.instances)
        failed += bool(verdict.broken)
        state = "; ".join(verdict.broken) or "kept"
        print(
            f"seed {seed}: {verdict.calls} calls, {verdict.served} served, "
            f"{verdict.refused} refused: {state}",
            flush=True,
        )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
