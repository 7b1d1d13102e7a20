"""Soak of real instances with responses that have neither length nor chunks.

The instances are separate processes; the store and the upstreams are stand-ins in this
process. Many streams are broken off, inside an event or by the end of their upstream's
process; another upstream then starts at its address. Some runs kill and restart the
instances in turn.
"""

import itertools
import re
import sys
from collections import Counter

import trio
from buckthornwall.http1 import (
    BodyFraming,
    ClientConnection,
    ExchangeError,
    ExchangeFailure,
)

from .soak_callers import EXPECTED_STREAM, NOT_EXECUTED_STATUSES
from .soak_run import (
    CLIENT_TIMEOUT_S,
    PROMPT_PREFIXES,
    RequestTarget,
    RunSettings,
    SoakRun,
    make_parser,
    run_seeds,
)
from .users_platform.deployment import API_KEY, DRAFTS, HOST, ORDERS, make_route
from .users_platform.headers import make_request_headers
from .users_platform.unframed import UnframedUpstream

__all__ = ["UnframedSoak", "find_violations", "main"]

# Least time between the ends of two upstream processes, and until the next one starts.
CRASH_INTERVAL_S = 1.5
REUSE_AFTER_S = 2.0
HTTP10_SHARE = 0.2
RECEIVE_BYTES = 65_536
Response = tuple[int, bytes, bool]


class UnframedSoak(SoakRun):
    """One run; see `SoakRun` for the other parameters.

    Parameters
    ----------
    engines
        Number of engines.
    per_s
        Requests per second, over all routes.
    broken_share
        Share of the unframed streams that are broken off.

    Attributes
    ----------
    broken, whole, refused : set of str
        Requests with a stream that was broken off, with a whole response, and refused.
    violations : list of str
        A line for each incomplete response that its client saw as complete.
    """

    def __init__(
        self,
        settings: RunSettings,
        engines: int,
        per_s: float,
        broken_share: float = 0.4,
    ) -> None:
        super().__init__(settings)
        self.engine_count = engines
        self.per_s = per_s
        self.broken_share = broken_share
        self.upstreams: list[UnframedUpstream] = []
        self.broken: set[str] = set()
        self.whole: set[str] = set()
        self.refused: set[str] = set()
        self.without_budget: set[str] = set()
        self.violations: list[str] = []
        self._last_crash_at = 0.0
        self._ids = itertools.count(1)

    async def start_upstreams(self, nursery: trio.Nursery) -> None:
        """Publish a configuration, start upstreams and register them."""
        self.deployment.slots = 32
        self.deployment.routes = [
            make_route("once", "/once/", "stream", DRAFTS, max_attempts=1),
            make_route(
                "draft", "/draft/", "stream", DRAFTS, resumable=True, max_attempts=4
            ),
            make_route("order", "/order/", "non_idempotent", ORDERS),
            make_route("look", "/look/", "idempotent", ORDERS),
        ]
        self.deployment.publish()
        for first, count, pool in ((1, self.engine_count, DRAFTS), (200, 3, ORDERS)):
            for number in range(first, first + count):
                address = f"127.0.7.{number}:{self.ports}"
                await nursery.start(self._run_upstream, address, pool)

    async def _run_upstream(
        self, address: str, pool: str, *, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run an upstream, and another one at its address each time it ends."""
        is_first = True
        while True:
            upstream = UnframedUpstream(
                f"u{next(self._ids)}",
                event_s=0.05,
                rng=self.rng,
                broken_share=self.broken_share,
                may_crash=self._may_crash,
                on_break=self.broken.add,
            )
            self.upstreams.append(upstream)
            async with trio.open_nursery() as nursery:
                await nursery.start(upstream.run_until_crash, address)
                self.deployment.register(upstream.id, pool, address)
                if is_first:
                    task_status.started()
                await upstream.crashed.wait()
            is_first = False
            await trio.sleep(REUSE_AFTER_S)
            self.deployment.store.remove(f"servers/{upstream.id}")

    def _may_crash(self) -> bool:
        now = trio.current_time()
        if now - self._last_crash_at < CRASH_INTERVAL_S:
            return False
        self._last_crash_at = now
        return True

    async def generate_load(self, callers: trio.Nursery) -> None:
        """Generate requests of all routes."""
        shares = (("once", 0.35), ("draft", 0.35), ("order", 0.15), ("look", 0.15))
        for path, share in shares:
            has_prompt = path in ("once", "draft")
            callers.start_soon(
                self.call_repeatedly, path, share * self.per_s, callers, has_prompt
            )

    async def call(self, path: str, has_prompt: bool) -> None:
        """Make one call to a sampled instance, and check its response."""
        request = f"r{next(self.numbers)}"
        number = self.rng.randint(1, self.instance_count)
        self.targets[request] = RequestTarget(path, number, trio.current_time())
        prefix = f"{self.rng.randrange(PROMPT_PREFIXES):x}a"
        prompt = ("900,10", f"{prefix}:600,{request[1:]}:300") if has_prompt else None
        body = request.encode()
        headers = make_request_headers(
            request, HOST, API_KEY, CLIENT_TIMEOUT_S, prompt, body
        )
        is_old = self.rng.random() < HTTP10_SHARE
        exchange = _exchange_http10 if is_old else _exchange_http11
        address = f"127.0.8.{number}:{self.ports}"
        status, outcome = 0, "left"
        with trio.move_on_after(CLIENT_TIMEOUT_S + 1.0):
            try:
                status, received, is_complete = await exchange(
                    address, path, headers, body
                )
                outcome = str(status) if is_complete else f"{status} cut"
            except ExchangeError as error:
                outcome = error.failure.value
        self.statuses[f"{path} 1.{0 if is_old else 1}", outcome] += 1
        if status in NOT_EXECUTED_STATUSES:
            self.refused.add(request)
        if outcome != "200":
            return
        expected = EXPECTED_STREAM if has_prompt else b"answer-to-" + body
        if received == expected:
            self.whole.add(request)
        else:
            self.violations.append(
                f"{request} at {number}, {path}, {exchange.__name__[-6:]}: incomplete "
                f"response seen as complete: {received[-40:]!r}"
            )

    def find_without_budget(self) -> set[str]:
        """Return the requests that were not tried again for want of a retry."""
        found: set[str] = set()
        for number in range(1, self.instance_count + 1):
            log = self.instances.log_path(number).read_text()
            found.update(re.findall(r"event=budget_spent request=(\S+)", log))
        return found

    def count_resumable(self) -> tuple[int, int]:
        """Return how many broken resumable streams were completed, and of how many."""
        broken = {each for each in self.broken if self.targets[each].path == "draft"}
        return len(broken & self.whole), len(broken)

    async def run(self) -> None:
        """Run the soak, and read which requests lacked a retry."""
        await super().run()
        self.without_budget = self.find_without_budget()

    def describe(self) -> str:
        """Return how many streams were broken off, and resumed to their end."""
        completed, resumable = self.count_resumable()
        without = sum(self.targets[r].path == "draft" for r in self.without_budget)
        crashes = sum(each.crashed.is_set() for each in self.upstreams)
        return (
            f"{len(self.violations)} incomplete seen as complete; "
            f"{len(self.targets)} requests, {len(self.broken)} broken off, "
            f"{crashes} ends of processes; {completed} of {resumable} resumed, "
            f"{without} without a retry in the budget"
        )


async def _exchange_http11(
    address: str, path: str, headers: list[tuple[bytes, bytes]], body: bytes
) -> Response:
    """Return status, body, and whether the response is framed and came to its end."""
    connection = await ClientConnection.connect(address, 1.0)
    received = b""
    try:
        await connection.send(b"POST", f"/{path}/x".encode(), headers, body)
        head = await connection.receive_head()
        try:
            while data := await connection.receive_data():
                received += data
        except ExchangeError:
            return head.status, received, False
        return head.status, received, head.framing is not BodyFraming.CLOSE
    finally:
        connection.close()


async def _exchange_http10(
    address: str, path: str, headers: list[tuple[bytes, bytes]], body: bytes
) -> Response:
    """Return status, body, and whether the connection ended without a reset."""
    host, _, port = address.rpartition(":")
    lines = b"".join(b"%s: %s\r\n" % header for header in headers)
    raw, is_complete = b"", True
    try:
        stream = await trio.open_tcp_stream(host, int(port))
    except OSError as error:
        raise ExchangeError(ExchangeFailure.UNREACHABLE, str(error)) from error
    async with stream:
        try:
            await stream.send_all(b"POST /%s/x HTTP/1.0\r\n" % path.encode())
            await stream.send_all(lines + b"\r\n" + body)
            while data := await stream.receive_some(RECEIVE_BYTES):
                raw += data
        except trio.BrokenResourceError:
            is_complete = False
    head, _, received = raw.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 "):
        raise ExchangeError(ExchangeFailure.CLOSED, "before the head")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            is_complete = len(received) == int(line.partition(b":")[2])
    return int(head.split()[1]), received, is_complete


def find_violations(soak: UnframedSoak) -> list[str]:
    """Return a line for each incomplete response and each wrong execution."""
    violations = list(soak.violations)
    runs: Counter[str] = Counter()
    once: Counter[str] = Counter()
    for upstream in soak.upstreams:
        runs.update(upstream.runs)
        once.update(upstream.non_retryable_runs)
    for request, count in once.items():
        if count > 1:
            violations.append(f"{request} was executed {count} times")
    for request in sorted(soak.refused & runs.keys()):
        violations.append(f"{request} was executed although it was refused")
    return violations


def main(arguments: list[str] | None = None) -> int:
    """Run seeds one after the other; return 1 if any has a violation."""
    parser = make_parser(__doc__, 10.0, 8700)
    parser.add_argument("--engines", type=int, default=9)
    parser.add_argument("--per-s", type=float, default=50.0)
    parser.add_argument("--broken", type=float, default=0.4)
    options = parser.parse_args(arguments)

    def make_soak(settings: RunSettings) -> UnframedSoak:
        return UnframedSoak(settings, options.engines, options.per_s, options.broken)

    return run_seeds(options, make_soak, find_violations)


if __name__ == "__main__":
    sys.exit(main())
