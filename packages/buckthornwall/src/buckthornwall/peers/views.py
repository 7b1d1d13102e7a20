"""Client and server of the state in force at a peer."""

import math
from collections.abc import Callable

import trio

from buckthornwall.codes import PeerError, ResultCode
from buckthornwall.http1 import (
    ClientConnection,
    ExchangeError,
    IncomingRequest,
    ResponseWriter,
)
from buckthornwall.utils import Clock

from .messages import PeerView, decode, encode

__all__ = ["ViewClient", "ViewEncoder", "answer_view"]

TIMEOUT_S = 1.0
# A hundred round trips. If a peer does not answer within this time, the client reads
# the store instead.
CONNECT_TIMEOUT_S = 0.3
VIEW_PATH = b"/view?number="
# An encoded view is sent again for this long while its state is the same: encoding and
# compressing a large configuration for each of the members that start at once would
# keep a speaker from serving. Only the cold time left of upstreams is older then.
MAX_ENCODED_AGE_S = 0.1
MAX_NUMBER_DIGITS = 19
MAX_ENCODED_VIEW_BYTES = 4 * 2**20
CBOR = [(b"Content-Type", b"application/cbor")]


class ViewClient:
    """Requests the views of peers, over a new connection each time."""

    async def ask(self, address: str, config_number: int) -> PeerView:
        """Return a peer's view; its configuration only if newer than `config_number`.

        Raises
        ------
        PeerError
            If the peer does not answer in time, or not with a view.
        """
        try:
            with trio.fail_after(TIMEOUT_S):
                return await self._ask(address, config_number)
        except (ExchangeError, trio.TooSlowError) as error:
            raise PeerError(ResultCode.PEER_MESSAGE, str(error)) from error

    async def _ask(self, address: str, config_number: int) -> PeerView:
        connection = await ClientConnection.connect(address, CONNECT_TIMEOUT_S)
        try:
            headers = [(b"host", address.encode()), (b"connection", b"close")]
            await connection.send(
                b"GET", VIEW_PATH + b"%d" % config_number, headers, b""
            )
            head = await connection.receive_head()
            body = await connection.receive_body(MAX_ENCODED_VIEW_BYTES)
        finally:
            connection.close()
        if head.status != 200:
            raise PeerError(ResultCode.PEER_MESSAGE, f"status {head.status}")
        return decode(body, PeerView)


class ViewEncoder:
    """Encodes views, and returns the last one again for peers that ask together.

    Parameters
    ----------
    clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._state: tuple = ()
        self._encoded = b""
        self._encoded_at = -math.inf

    def __call__(self, view: PeerView) -> bytes:
        """Return the encoded view, at most `MAX_ENCODED_AGE_S` old."""
        now = self.clock.now()
        state = (
            view.store_era,
            view.revision,
            view.change_revision,
            view.removal_revision,
            view.published,
            [entry.id for entry in view.entries],
            view.entry_revisions,
            view.evacuated,
        )
        if state != self._state or not 0 <= now - self._encoded_at < MAX_ENCODED_AGE_S:
            self._state, self._encoded_at = state, now
            self._encoded = encode(view)
        return self._encoded


async def answer_view(
    incoming: IncomingRequest,
    answer: ResponseWriter,
    view: PeerView,
    config_number: int,
    encode_view: Callable[[PeerView], bytes] = encode,
) -> None:
    """Answer a peer's request for the state in force here.

    The configuration is left out if the peer has this number or a newer one.
    """
    path, _, known_number = incoming.target.partition(b"number=")
    if not known_number.isdigit() or len(known_number) > MAX_NUMBER_DIGITS:
        await answer.send_complete(404, [], b"")
        return
    if int(known_number) >= config_number:
        view.published = b""
    await answer.send_complete(200, CBOR, encode_view(view))
