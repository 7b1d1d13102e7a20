"""Soak of real instances with engines of several software versions, in rollouts.

The instances are separate processes; the store and the engines are stand-ins in this
process. Engines break streams off, and clients lose their connections inside streams
and continue them at other instances. Some runs kill and restart the instances in turn,
or have another fault.
"""

import re
import sys
from dataclasses import dataclass, field
from enum import Enum

import trio
from buckthornwall.http1 import ClientConnection, ExchangeError

from .partitioned_instance import Cut, cut_path
from .soak_run import (
    CLIENT_TIMEOUT_S,
    PROMPT_PREFIXES,
    RunSettings,
    SoakRun,
    make_parser,
    run_seeds,
)
from .users_platform import StoreFault
from .users_platform.deployment import API_KEY, DRAFTS, HOST, STORE_IP, make_route
from .users_platform.headers import make_request_headers
from .users_platform.versioned import EVENTS, VersionedUpstream

__all__ = ["Fault", "VersionSoak", "find_violations", "main"]

# Seconds into the load at which engines of each version register, drain, and are gone.
PHASES = {
    "v1": (-10.0, 12.0, 15.0),
    "v2": (4.0, 20.0, 23.0),
    "v3": (16.0, 99.0, 99.0),
}
MIXED_PHASES = {"v1": (-10.0, 99.0, 99.0), "v2": (-10.0, 99.0, 99.0)}
FAULT_TIMES = (3.0, 11.0)
OTHER_STORE_IP = "127.0.9.2"
MAX_TRIES = 3
MAX_RETRY_AFTER_S = 1.0
EVENT_S = 0.06
# What the operators allow: streams with events of two versions, and the share of
# streams that are continued, relative to that of new ones that begin, if there are
# enough of them.
MAX_MIXED_STREAMS = 2
MIN_CONTINUED_SHARE = 0.5
MIN_CONTINUATIONS = 12
EVENT = re.compile(rb"id: (\d+)\ndata: (\w+)\n\n")


class Fault(Enum):
    """A fault of a run, besides restarts."""

    NONE = "none"
    HALVES = "halves"  # two halves of the instances do not know each other
    BLIND = "blind"  # the store does not answer half of the instances for a while
    ISOLATED = "isolated"  # a third of the instances reaches no engine for a while


@dataclass(frozen=True)
class Try:
    """One try of a client, `at` seconds into the load.

    `version` is that of the stream it continues, or '' for a new one. `began` is
    whether any event arrived, and `is_reachable` whether the instance can be in touch
    with the one that began the stream.
    """

    at: float
    version: str
    began: bool
    is_reachable: bool


@dataclass
class ClientStream:
    """The events that a client has received of one stream, over its tries."""

    ids: list[int] = field(default_factory=list)
    versions: list[str] = field(default_factory=list)
    first_request: str = ""
    first_instance: int = 0

    def add(self, data: bytes, request: str, instance: int) -> int:
        """Add the complete events in the data of one try; return their number."""
        events = EVENT.findall(data)
        for number, version in events:
            self.ids.append(int(number))
            self.versions.append(version.decode())
        if events and not self.first_request:
            self.first_request, self.first_instance = request, instance
        return len(events)


class VersionSoak(SoakRun):
    """One run; see `SoakRun` for the other parameters.

    Parameters
    ----------
    engines
        Number of engines of each version.
    per_s
        New streams per second.
    broken_share
        Share of runs that their engine breaks off.
    left_share
        Share of tries whose client loses its connection inside the stream.
    fault
        A fault of the run.
    phases
        When the engines of each version register, drain, and are gone.
    """

    def __init__(
        self,
        settings: RunSettings,
        engines: int = 4,
        per_s: float = 30.0,
        broken_share: float = 0.35,
        left_share: float = 0.6,
        fault: Fault = Fault.NONE,
        phases: dict[str, tuple[float, float, float]] = PHASES,
    ) -> None:
        super().__init__(settings)
        if fault is Fault.ISOLATED:
            self.instances.module = "buckthornwall_standins.partitioned_instance"
        elif fault is Fault.HALVES:
            self.instances.seeds = self._seeds_of_half
        elif fault is Fault.BLIND:
            self.instances.store_ip = lambda number: (
                OTHER_STORE_IP if number % 4 < 2 else STORE_IP
            )
        self.engine_count = engines
        self.per_s = per_s
        self.broken_share, self.left_share = broken_share, left_share
        self.fault, self.phases = fault, phases
        self.streams: list[ClientStream] = []
        self.tries: list[Try] = []
        self.began_at = 0.0

    def _seeds_of_half(self, number: int) -> list[int]:
        first = (
            1 if number <= self.instance_count // 2 else self.instance_count // 2 + 1
        )
        return [first, first + 1]

    async def start_upstreams(self, nursery: trio.Nursery) -> None:
        """Publish a configuration, and start the engines of all versions."""
        self.deployment.slots = 32
        self.deployment.routes = [
            make_route(
                "draft", "/draft/", "stream", DRAFTS, resumable=True, max_attempts=4
            )
        ]
        self.deployment.publish()
        await nursery.start(self.store.run, f"{OTHER_STORE_IP}:{self.ports + 4}")
        for version in self.phases:
            for number in range(1, self.engine_count + 1):
                upstream = VersionedUpstream(
                    f"{version}-{number}",
                    event_s=EVENT_S,
                    slots=32,
                    version=version,
                    rng=self.rng,
                    broken_share=self.broken_share,
                )
                await nursery.start(upstream.run, self._address(version, number))
            if self.phases[version][0] < 0:
                self._register(version, "ready")

    def _address(self, version: str, number: int) -> str:
        first = list(self.phases).index(version) * self.engine_count
        return f"127.0.7.{first + number}:{self.ports}"

    def _register(self, version: str, state: str) -> None:
        for number in range(1, self.engine_count + 1):
            self.deployment.register(
                f"{version}-{number}",
                DRAFTS,
                self._address(version, number),
                state,
                zone=f"zone-{number % 2}",
                version=version,
            )

    async def generate_load(self, callers: trio.Nursery) -> None:
        """Generate new streams, the rollouts and the fault."""
        self.began_at = trio.current_time()
        for version, (ready_at, drains_at, gone_at) in self.phases.items():
            if ready_at > 0:
                callers.start_soon(
                    self._act_at, ready_at, self._register, version, "ready"
                )
            callers.start_soon(
                self._act_at, drains_at, self._register, version, "draining"
            )
            callers.start_soon(self._act_at, gone_at, self._remove, version)
        callers.start_soon(self._act_at, FAULT_TIMES[0], self._set_fault, True)
        callers.start_soon(self._act_at, FAULT_TIMES[1], self._set_fault, False)
        await self.call_repeatedly("draft", self.per_s, callers)

    async def _act_at(self, at_s: float, act, *arguments) -> None:
        await trio.sleep(at_s - self._elapsed_s())
        act(*arguments)

    def _elapsed_s(self) -> float:
        return trio.current_time() - self.began_at

    def _remove(self, version: str) -> None:
        for number in range(1, self.engine_count + 1):
            self.deployment.store.remove(f"servers/{version}-{number}")

    def _set_fault(self, is_on: bool) -> None:
        if self.fault is Fault.BLIND:
            fault = StoreFault.SILENT if is_on else StoreFault.NONE
            self.store.faults[OTHER_STORE_IP] = fault
        elif self.fault is Fault.ISOLATED:
            cut = Cut.RESET if is_on else Cut.NONE
            for number in range(1, self.instance_count // 3 + 1):
                cut_path(self.instances.settings_path(number)).write_text(cut.value)

    async def call(self, path: str, has_prompt: bool) -> None:
        """Receive one stream, and continue it at other instances if it is broken."""
        stream = ClientStream()
        self.streams.append(stream)
        prefix = f"{self.rng.randrange(PROMPT_PREFIXES):x}a"
        excluded = 0
        for _ in range(MAX_TRIES):
            request = f"r{next(self.numbers)}"
            number = self.rng.choice(
                [n for n in range(1, self.instance_count + 1) if n != excluded]
            )
            wait_s = await self._try(stream, number, path, request, prefix)
            if stream.ids and stream.ids[-1] >= EVENTS:
                return
            excluded = number
            await trio.sleep(wait_s)

    async def _try(
        self, stream: ClientStream, number: int, path: str, request: str, prefix: str
    ) -> float:
        """Make one try; return the seconds after which to make the next one."""
        prompt = ("900,10", f"{prefix}:600,{request[1:]}:300")
        headers = make_request_headers(request, HOST, API_KEY, CLIENT_TIMEOUT_S, prompt)
        version = ""
        if stream.ids:
            version = stream.versions[0]
            headers.append((b"Resumes", stream.first_request.encode()))
            headers.append((b"Last-Event-Id", b"%d" % stream.ids[-1]))
        leaves_after = EVENTS
        if self.rng.random() < self.left_share:
            leaves_after = self.rng.randint(1, EVENTS - 1)
        at = self._elapsed_s()
        status, wait_s, data = await self._receive(number, path, headers, leaves_after)
        began = stream.add(data, request, number) > 0
        kind = "continued" if version else "new"
        self.statuses[kind, f"{status}{' began' if began else ''}"] += 1
        if not self._has_restarted_around(number, at):
            is_reachable = self._is_reachable(number, stream.first_instance)
            self.tries.append(Try(at, version, began, is_reachable))
        return wait_s

    def _is_reachable(self, number: int, other: int) -> bool:
        return (
            self.fault is not Fault.HALVES
            or not other
            or (self._seeds_of_half(number) == self._seeds_of_half(other))
        )

    def _has_restarted_around(self, number: int, at: float) -> bool:
        """Return whether an instance was killed or restarted around a try."""
        return self.has_restarted(
            number, self.began_at + at, 3.0
        ) or self.has_restarted(
            number, trio.current_time(), trio.current_time() - self.began_at - at
        )

    async def _receive(
        self, number: int, path: str, headers: list[tuple[bytes, bytes]], most: int
    ) -> tuple[int, float, bytes]:
        """Return status, Retry-After, and the data up to `most` events."""
        status, wait_s, data, connection = 0, 0.0, b"", None
        with trio.move_on_after(CLIENT_TIMEOUT_S):
            try:
                connection = await ClientConnection.connect(
                    f"127.0.8.{number}:{self.ports}", 1.0
                )
                await connection.send(b"POST", f"/{path}/x".encode(), headers, b"")
                head = await connection.receive_head()
                status = head.status
                retry_after = dict(head.headers).get(b"retry-after", b"0")
                wait_s = min(MAX_RETRY_AFTER_S, float(retry_after))
                while part := await connection.receive_data():
                    data += part
                    if len(EVENT.findall(data)) >= most:
                        break
            except ExchangeError:
                pass  # the client goes on with what it has received
            finally:
                if connection is not None:
                    connection.close()
        return status, wait_s, data if status == 200 else b""

    # Results

    def mixed_streams(self) -> list[ClientStream]:
        """Return the streams with events of two versions."""
        return [stream for stream in self.streams if len(set(stream.versions)) > 1]

    def count_began(self, is_continued: bool) -> tuple[int, int]:
        """Return how many tries began, of how many, while two versions serve.

        Continued streams count while engines of their version accept requests, and at
        instances that can be in touch with the one that began them.
        """
        began = [
            each.began
            for each in self.tries
            if bool(each.version) is is_continued
            and each.is_reachable
            and sum(self._serves(name, each.at) for name in self.phases) > 1
            and (not each.version or self._serves(each.version, each.at))
        ]
        return sum(began), len(began)

    def _serves(self, version: str, at: float) -> bool:
        ready_at, drains_at, _ = self.phases[version]
        return ready_at <= at < drains_at - CLIENT_TIMEOUT_S

    def describe(self) -> str:
        """Return the fault, and how many streams were mixed and continued."""
        return (
            f"{self.fault.value}, {self.instance_count} instances; "
            f"{len(self.mixed_streams())} of {len(self.streams)} streams mixed; "
            f"while two versions serve, continued {self.count_began(True)}, "
            f"new {self.count_began(False)}"
        )


def find_violations(soak: VersionSoak) -> list[str]:
    """Return a line for each violation in a run."""
    lines = []
    mixed = soak.mixed_streams()
    if len(mixed) > MAX_MIXED_STREAMS:
        lines.append(f"{len(mixed)} streams of two versions, {mixed[0].versions}")
    for stream in soak.streams:
        if stream.ids != list(range(1, len(stream.ids) + 1)):
            lines.append(f"{stream.first_request}: events {stream.ids}")
    continued, continuations = soak.count_began(True)
    began, new = soak.count_began(False)
    if continuations >= MIN_CONTINUATIONS and new:
        share = continued / continuations
        if share < MIN_CONTINUED_SHARE * began / new:
            lines.append(
                f"continued {continued} of {continuations}, new {began} of {new}"
            )
    return lines


def main(arguments: list[str] | None = None) -> int:
    """Run seeds one after the other; return 1 if any has a violation."""
    parser = make_parser(__doc__, 24.0, 9300)
    parser.add_argument("--engines", type=int, default=4, help="of each version")
    parser.add_argument("--per-s", type=float, default=30.0)
    parser.add_argument("--broken", type=float, default=0.35)
    parser.add_argument("--left", type=float, default=0.6)
    parser.add_argument("--fault", choices=[fault.value for fault in Fault])
    parser.add_argument("--mixed", action="store_true", help="without a rollout")
    options = parser.parse_args(arguments)

    def make_soak(settings: RunSettings) -> VersionSoak:
        faults = list(Fault)
        fault = (
            Fault(options.fault)
            if options.fault
            else faults[settings.seed % len(faults)]
        )
        return VersionSoak(
            settings,
            options.engines,
            options.per_s,
            options.broken,
            options.left,
            fault,
            MIXED_PHASES if options.mixed else PHASES,
        )

    return run_seeds(options, make_soak, find_violations)


if __name__ == "__main__":
    sys.exit(main())
