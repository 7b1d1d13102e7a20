"""The callers of a soak: their requests, and checks of the guarantees to them."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

import trio
from buckthornwall.http1 import (
    BodyFraming,
    ClientConnection,
    ExchangeError,
    ExchangeFailure,
)

from .users_platform import Upstream
from .users_platform.deployment import API_KEY, HOST
from .users_platform.headers import make_request_headers
from .users_platform.upstream import STREAM_EVENTS

__all__ = ["SoakCallers", "SoakResult"]

# With these statuses an instance states that the request was not executed.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
CLIENT_TIMEOUT_S = 3.0
EXPECTED_STREAM = b"".join(
    b"id: %d\ndata: word-%d\n\n" % (n, n) for n in range(1, STREAM_EVENTS + 1)
)


@dataclass
class SoakResult:
    """Counts of calls, and a line in `violations` for each violated guarantee."""

    calls: int = 0
    served: int = 0
    refused: int = 0
    violations: list[str] = field(default_factory=list)


class SoakCallers:
    """Makes calls and checks their responses against the guarantees.

    Parameters
    ----------
    rng
        Samples the calls; shared with the faults.
    ports
        First of five consecutive ports, the same for all instances.
    prompt_prefixes
        Number of different shared prompt segments, given to prompts in turn.
    """

    def __init__(
        self, rng: random.Random, ports: int, prompt_prefixes: int = 1
    ) -> None:
        self.rng = rng
        self.ports = ports
        self.prompt_prefixes = prompt_prefixes
        self.result = SoakResult()
        self.refused_requests: set[str] = set()
        self._call_count = 0

    async def call(self, number: int) -> bool:
        """Make one call, check its response, and return whether it was served."""
        request = self.next_request()
        path = self.rng.choice(["/draft/x", "/once/x", "/order/x", "/look/x"])
        is_stream = path in ("/draft/x", "/once/x")
        self.result.calls += 1
        try:
            with trio.fail_after(CLIENT_TIMEOUT_S + 1.0):
                status, headers, body = await self._exchange(
                    number, path, request, is_stream
                )
        except (ExchangeError, trio.TooSlowError):
            return False  # a lost connection says nothing about the execution
        if status in NOT_EXECUTED_STATUSES:
            self.result.refused += 1
            self.refused_requests.add(request)
        if status != 200:
            return False
        self.result.served += 1
        expected = EXPECTED_STREAM if is_stream else b"answer-to-" + request.encode()
        seal = headers.get(b"x-buckthornwall-response-seal")
        if body != expected or seal != b"seal-of-" + request.encode():
            self.result.violations.append(f"{path} {request}: {body[:80]!r}")
        return True

    def next_request(self) -> str:
        """Return a new request id."""
        self._call_count += 1
        return f"r{self._call_count}"

    async def _exchange(
        self, number: int, path: str, request: str, is_stream: bool
    ) -> tuple[int, dict[bytes, bytes], bytes]:
        prefix = f"aa{int(request[1:]) % self.prompt_prefixes:x}"
        prompt = ("900,10", f"{prefix}:600,bb:300") if is_stream else None
        headers = make_request_headers(request, HOST, API_KEY, CLIENT_TIMEOUT_S, prompt)
        address = f"127.0.8.{number}:{self.ports}"
        connection = await ClientConnection.connect(address, 1.0)
        try:
            await connection.send(b"POST", path.encode(), headers, b"")
            head = await connection.receive_head()
            body = b""
            while data := await connection.receive_data():
                body += data
            if head.framing is BodyFraming.CLOSE:
                raise ExchangeError(ExchangeFailure.CLOSED, "without framing")
        finally:
            connection.close()
        return head.status, dict(head.headers), body

    def check_runs(self, upstreams: Iterable[Upstream]) -> None:
        """Check the executions at upstreams against the responses to callers."""
        once: dict[str, int] = {}
        for upstream in upstreams:
            for request, count in upstream.non_retryable_runs.items():
                once[request] = once.get(request, 0) + count
        for request, count in once.items():
            if count > 1:
                self.result.violations.append(f"{request} was executed {count} times")
            if request in self.refused_requests:
                self.result.violations.append(
                    f"{request} was executed although it was refused"
                )
