"""The message in which a request is forwarded to a peer, encoded in CBOR."""

from typing import Annotated

import cbor2
import msgspec

from buckthornwall.codes import PeerError, ResultCode
from buckthornwall.http1 import is_valid_request
from buckthornwall.routing import (
    PoolId,
    PromptShape,
    RelayOrigin,
    RoutedRequest,
    StreamOrigin,
)
from buckthornwall.utils import (
    DecodingError,
    SoftwareVersion,
    UpstreamId,
    decode_cbor,
)

from .job import Job

__all__ = [
    "RELAY_PATH",
    "RELAY_STREAM_PATH",
    "RelayedRequest",
    "decode_relayed",
    "encode_relayed",
    "relayed_request",
]

RELAY_PATH = b"/relay"
# For streams that are continued at one version only, which earlier builds do not know.
RELAY_STREAM_PATH = b"/relay/stream"
MS_PER_S = 1000.0
# The peer ends this much earlier, so that its final response arrives in time.
RETURN_MS = 20
# Limits of what a message may state: a day, and more attempts than any route allows.
MAX_MS = 86_400_000
MAX_RUNS = 1000

Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=MAX_MS)]


class RelayedRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request that an isolated instance forwards through a peer.

    Attributes
    ----------
    elapsed_ms, remaining_ms
        Time since the client's request was received, and until its response is due.
    resume_after
        Id of the last event that the client has.
    reached
        Upstreams that the request may have reached.
    runs
        Attempts that may have run.
    number
        Configuration in force at the sender.
    pool, version
        What began the stream; None if nothing has, or it is not known.
    resumes
        Request that brought the first event of the stream that the client continues.
    """

    id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    key: str
    elapsed_ms: Milliseconds
    remaining_ms: Milliseconds
    prompt: PromptShape | None
    resume_after: str
    reached: list[UpstreamId]
    runs: Annotated[int, msgspec.Meta(ge=0, le=MAX_RUNS)]
    number: Annotated[int, msgspec.Meta(ge=0)]
    pool: PoolId | None = None
    version: SoftwareVersion | None = None
    resumes: str = ""

    def as_routed(self, received_at: float) -> RoutedRequest:
        """Return the request as if the client had sent it to this instance.

        Parameters
        ----------
        received_at
            When the message was received.
        """
        elapsed_s = self.elapsed_ms / MS_PER_S
        return RoutedRequest(
            id=self.id,
            method=self.method,
            target=self.target,
            host=self.host,
            path=self.path,
            headers=self.headers,
            body=self.body,
            received_at=received_at - elapsed_s,
            key=self.key,
            client_timeout_s=elapsed_s + self.remaining_ms / MS_PER_S,
            prompt=self.prompt,
            resume_after=self.resume_after,
            resumes=self.resumes,
            relay_origin=RelayOrigin(
                self.runs, frozenset(self.reached), self._stream_origin()
            ),
        )

    def _stream_origin(self) -> StreamOrigin | None:
        if self.pool is None or self.version is None:
            return None
        return StreamOrigin(self.pool, self.version)


def relayed_request(job: Job, now: float) -> RelayedRequest:
    """Return the message that forwards a request in its present state."""
    request = job.request
    return RelayedRequest(
        id=request.id,
        method=request.method,
        target=request.target,
        host=request.host,
        path=request.path,
        headers=request.headers,
        body=request.body,
        key=request.key,
        elapsed_ms=max(0, int((now - request.received_at) * MS_PER_S)),
        remaining_ms=max(1, int((job.deadline - now) * MS_PER_S) - RETURN_MS),
        prompt=request.prompt,
        resume_after=job.delivery.joiner.last_id,
        reached=sorted(job.reached),
        runs=job.runs,
        number=job.resolution.number,
        pool=job.origin.pool if job.origin is not None else None,
        version=job.origin.version if job.origin is not None else None,
        resumes=request.resumes,
    )


def encode_relayed(message: RelayedRequest) -> bytes:
    """Return the encoded message."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode_relayed(data: bytes) -> RelayedRequest:
    """Return the decoded message.

    Raises
    ------
    PeerError
        PEER_MESSAGE if `data` is not such a message.
    """
    try:
        message = decode_cbor(data, RelayedRequest)
    except DecodingError as error:
        raise PeerError(ResultCode.PEER_MESSAGE, str(error)) from error
    # The id of the last event is sent as a header.
    event_id = (b"last-event-id", message.resume_after.encode("latin-1", "replace"))
    headers = [each for each in message.headers if each[0].lower() != b"host"]
    if not (
        _is_latin_1(message.resume_after)
        and is_valid_request(message.method, message.target, [event_id, *headers])
    ):
        raise PeerError(ResultCode.PEER_MESSAGE, "no valid HTTP request")
    return message


def _is_latin_1(text: str) -> bool:
    """Return whether text can be sent in a header."""
    return all(ord(character) < 256 for character in text)
