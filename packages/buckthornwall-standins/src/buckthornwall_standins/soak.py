"""A randomized fault soak: real instances as processes, faults sampled by a seed.

The store and the upstreams are stand-ins inside this process; the instances are
separate processes on loopback addresses. Faults follow one another and overlap:
instances are killed, stopped gracefully, paused and restarted; the store is down,
unresponsive or slow, or loses its history; upstreams shed requests, with and without
asking for a rest, cut streams off, hang and leave; proxies in front of both delay
data, reset connections, block one or both directions, or stall open connections; the
configuration changes. What callers and upstreams observe is checked against the
guarantees. The same seed repeats the sampled faults and calls, not their timing. No
wall-clock time is used, so no fault steps it.
"""

import argparse
import itertools
import random
import signal
import sys
import tempfile
from pathlib import Path

import trio

from .soak_callers import SoakCallers, SoakResult
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

__all__ = ["Soak", "main", "run_seed"]

INSTANCES = 4
CALLERS = 6
RECOVERY_S = 6.0
FINAL_CALLS = 20
MAX_FAILED_FINAL_CALLS = 2
# Time within which an acknowledged change has to be in force at every instance.
CONFIG_ADOPTION_LIMIT_S = 2.0
LOG_TAIL_BYTES = 4000


class Soak:
    """One run of a fault soak.

    Parameters
    ----------
    seed
        Seed of the generator that samples faults and calls.
    seconds
        How long faults are injected, in seconds.
    ports
        First of five consecutive ports, the same for all instances.
    directory
        Directory of the settings and log files.
    instance_count
        Number of instances, in two zones.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        ports: int,
        directory: Path,
        instance_count: int = INSTANCES,
    ) -> None:
        self.rng = random.Random(seed)
        self.instance_count = instance_count
        self.seconds = seconds
        self.ports = ports
        self.store = Store()
        self.deployment = Deployment(self.store)
        self.upstreams: dict[str, Upstream] = {}
        self.proxies: dict[str, FaultProxy] = {}
        self.instances = SoakInstances(ports, directory)
        self.callers = SoakCallers(self.rng, ports)
        self.incarnations = itertools.count(2)

    async def run(self) -> SoakResult:
        """Inject faults, wait for recovery, and return the result of the checks."""
        async with trio.open_nursery() as nursery:
            await self._start(nursery)
            try:
                await self._inject_faults(nursery)
                await self._recover()
                await self._check_recovered()
            finally:
                self.instances.kill_all()
            nursery.cancel_scope.cancel()
        self.callers.check_runs(self.upstreams.values())
        return self.callers.result

    async def _start(self, nursery: trio.Nursery) -> None:
        await nursery.start(self.store.run, f"127.0.9.2:{self.ports + 4}")
        store = f"127.0.9.1:{self.ports + 4}"
        await self._start_proxy(nursery, "store", store, f"127.0.9.2:{self.ports + 4}")
        self.deployment.publish()
        names = ("e1", "e2", "s1", "s2")
        for number, name in enumerate(names, 1):
            address = f"127.0.7.{number}:{self.ports}"
            target = f"127.0.6.{number}:{self.ports}"
            self.upstreams[name] = Upstream(name)
            await nursery.start(self.upstreams[name].run, target)
            await self._start_proxy(nursery, name, address, target)
            self._register(name)
        for number in range(1, self.instance_count + 1):
            self.instances.start(number)
        await self.instances.wait_until_ready()

    async def _start_proxy(
        self, nursery: trio.Nursery, name: str, listen: str, target: str
    ) -> None:
        self.proxies[name] = FaultProxy(target)
        await nursery.start(self.proxies[name].run, listen)

    # Faults

    async def _inject_faults(self, nursery: trio.Nursery) -> None:
        end_at = trio.current_time() + self.seconds
        async with trio.open_nursery() as callers:
            for _ in range(CALLERS):
                callers.start_soon(self._call_until, end_at)
            while trio.current_time() < end_at:
                nursery.start_soon(self.rng.choice(self._fault_actions()))
                await trio.sleep(self.rng.uniform(0.2, 1.0))

    def _fault_actions(self) -> list:
        return [
            self._kill,
            self._kill_all,
            self._stop,
            self._pause,
            self._store_fails,
            self._store_drops_history,
            self._store_delays,
            self._upstream_sheds,
            self._upstream_cuts_streams,
            self._upstream_hangs,
            self._upstream_drains,
            self._upstream_leaves,
            self._proxy_fails,
            self._proxy_stalls,
            self._publish_config,
        ]

    def _sample_instance(self) -> int:
        return self.rng.choice(list(self.instances.processes))

    async def _kill(self) -> None:
        await self._restart(self._sample_instance(), signal.SIGKILL)

    async def _kill_all(self) -> None:
        async with trio.open_nursery() as nursery:
            for number in self.instances.processes:
                nursery.start_soon(self._restart, number, signal.SIGKILL)

    async def _stop(self) -> None:
        await self._restart(self._sample_instance(), signal.SIGTERM)

    async def _restart(self, number: int, stop_signal: signal.Signals) -> None:
        process = self.instances.processes[number]
        if process.poll() is not None:
            return  # another fault has already stopped it
        expected_returncodes = {0, -signal.SIGKILL}
        if not self.instances.has_logged_start(number):
            expected_returncodes.add(-signal.SIGTERM)
        process.send_signal(stop_signal)
        while process.poll() is None:
            await trio.sleep(0.02)
        if (
            stop_signal is signal.SIGTERM
            and process.returncode not in expected_returncodes
        ):
            self.callers.result.violations.append(
                f"graceful stop exited with {process.returncode}"
            )
        if self.instances.processes[number] is process:
            self.instances.start(number)

    async def _pause(self) -> None:
        process = self.instances.processes[self._sample_instance()]
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(self.rng.uniform(0.3, 2.0))
        process.send_signal(signal.SIGCONT)

    async def _store_fails(self) -> None:
        self.store.faults[""] = self.rng.choice(list(StoreFault))
        await trio.sleep(self.rng.uniform(0.3, 2.0))
        self.store.faults.clear()

    async def _store_drops_history(self) -> None:
        self.store.drop_history()

    async def _store_delays(self) -> None:
        self.store.delay_s = self.rng.uniform(0.0, 0.4)
        await trio.sleep(1.0)
        self.store.delay_s = 0.0

    async def _upstream_sheds(self) -> None:
        upstream = self.rng.choice(list(self.upstreams.values()))
        upstream.is_shedding = True
        upstream.retry_after = self.rng.choice(["", "0.5", "2"])
        await trio.sleep(self.rng.uniform(0.2, 1.0))
        upstream.is_shedding = False

    async def _upstream_cuts_streams(self) -> None:
        upstream = self.rng.choice(list(self.upstreams.values()))
        upstream.cut_after_events = self.rng.randint(1, STREAM_EVENTS - 1)
        await trio.sleep(self.rng.uniform(0.2, 1.0))
        upstream.cut_after_events = 0

    async def _upstream_hangs(self) -> None:
        upstream = self.rng.choice(list(self.upstreams.values()))
        upstream.work_s = 2.5
        await trio.sleep(self.rng.uniform(0.2, 0.6))
        upstream.work_s = 0.01

    async def _upstream_drains(self) -> None:
        name = self.rng.choice(["e2", "s2"])
        upstream = self.upstreams[name]
        incarnation = upstream.id
        self._register(name, "draining")
        await trio.sleep(1.0)
        if upstream.id == incarnation:
            self._register(name)

    async def _upstream_leaves(self) -> None:
        """Let an upstream state that it leaves; another one takes its address."""
        name = self.rng.choice(["e2", "s2"])
        upstream = self.upstreams[name]
        if upstream.is_leaving:
            return
        upstream.is_leaving = True
        await trio.sleep(self.rng.uniform(0.2, 1.0))
        self.store.remove(f"servers/{upstream.id}")
        upstream.id = f"{name}-{next(self.incarnations)}"
        upstream.is_leaving = False
        self._register(name)

    def _register(self, name: str, state: str = "ready") -> None:
        """Register the current incarnation of an upstream."""
        number = list(self.upstreams).index(name) + 1
        address = f"127.0.7.{number}:{self.ports}"
        service = ORDERS if name.startswith("s") else DRAFTS
        self.deployment.register(self.upstreams[name].id, service, address, state)

    async def _proxy_fails(self) -> None:
        proxy = self.rng.choice(list(self.proxies.values()))
        proxy.delay_s = self.rng.uniform(0.05, 0.4)
        proxy.set_fault(self.rng.choice(list(ProxyFault)))
        await trio.sleep(self.rng.uniform(0.3, 2.0))
        proxy.set_fault(ProxyFault.NONE)

    async def _proxy_stalls(self) -> None:
        self.rng.choice(list(self.proxies.values())).stall_open_connections()

    async def _publish_config(self) -> None:
        self.deployment.publish()

    # Calls

    async def _call_until(self, end_at: float) -> None:
        while trio.current_time() < end_at:
            await self.callers.call(self._sample_instance())
            await trio.sleep(self.rng.uniform(0.0, 0.1))

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
        await self.instances.wait_until_ready()

    async def _check_recovered(self) -> None:
        """Check that nearly every call is served again after the last fault."""
        config_number = self.deployment.publish()
        await self._check_config_adopted(config_number)
        served = 0
        for call in range(FINAL_CALLS):
            served += await self.callers.call(call % self.instance_count + 1)
        if served < FINAL_CALLS - MAX_FAILED_FINAL_CALLS:
            text = (
                f"{served} of {FINAL_CALLS} calls served after recovery, "
                f"configuration {config_number}"
            )
            self.callers.result.violations.append(text)

    async def _check_config_adopted(self, config_number: int) -> None:
        """Check that every instance soon has the newest configuration."""
        pending: set[int] = set(self.instances.processes)
        with trio.move_on_after(CONFIG_ADOPTION_LIMIT_S):
            while pending:
                for instance in list(pending):
                    if await self.instances.config_number(instance) >= config_number:
                        pending.discard(instance)
                await trio.sleep(0.05)
        for instance in sorted(pending):
            text = (
                f"instance {instance} has not adopted configuration {config_number} "
                f"after {CONFIG_ADOPTION_LIMIT_S} s"
            )
            self.callers.result.violations.append(text)


def run_seed(
    seed: int, seconds: float, ports: int, instance_count: int = INSTANCES
) -> SoakResult:
    """Run one seed; print the tails of the logs if it violated a guarantee."""
    with tempfile.TemporaryDirectory(prefix="soak-") as name:
        directory = Path(name)
        result = trio.run(Soak(seed, seconds, ports, directory, instance_count).run)
        if result.violations:
            for path in sorted(directory.glob("*.log")):
                print(
                    path.read_text(errors="replace")[-LOG_TAIL_BYTES:], file=sys.stderr
                )
    return result


def main(arguments: list[str] | None = None) -> int:
    """Run seeds one after the other; return 1 if any violated a guarantee."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds to run")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument(
        "--instances",
        type=int,
        default=INSTANCES,
        help="odd and even numbers form two zones; with six, some wait their turn",
    )
    parser.add_argument("--ports", type=int, default=7700)
    options = parser.parse_args(arguments)
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        result = run_seed(seed, options.seconds, options.ports, options.instances)
        failed += bool(result.violations)
        state = "; ".join(result.violations) or "kept"
        print(
            f"seed {seed}: {result.calls} calls, {result.served} served, "
            f"{result.refused} refused: {state}",
            flush=True,
        )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
