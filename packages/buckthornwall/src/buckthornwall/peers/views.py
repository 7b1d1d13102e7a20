"""Client and server of the state in force at a peer."""

import trio

from buckthornwall.codes import PeerError, ResultCode
from buckthornwall.http1 import (
    ClientConnection,
    ExchangeError,
    IncomingRequest,
    ResponseWriter,
)

from .messages import PeerView, decode, encode

__all__ = ["ViewClient", "answer_view"]

TIMEOUT_S = 1.0
# A hundred round trips. If a peer does not answer within this time, the client reads
# the store instead.
CONNECT_TIMEOUT_S = 0.3
VIEW_PATH = b"/view?number="
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
            body = bytearray()
            while data := await connection.receive_data():
                body += data
        finally:
            connection.close()
        if head.status != 200:
            raise PeerError(ResultCode.PEER_MESSAGE, f"status {head.status}")
        return decode(bytes(body), PeerView)


async def answer_view(
    incoming: IncomingRequest,
    answer: ResponseWriter,
    view: PeerView,
    config_number: int,
) -> None:
    """Answer a peer's request for the state in force here.

    The configuration is left out if the peer has this number or a newer one.
    """
    path, _, known_number = incoming.target.partition(b"number=")
    if not known_number.isdigit():
        await answer.send_complete(404, [], b"")
        return
    if int(known_number) >= config_number:
        view.published = b""
    await answer.send_complete(200, CBOR, encode(view))
