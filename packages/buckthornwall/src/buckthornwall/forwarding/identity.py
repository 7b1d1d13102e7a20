"""Checks which upstream listens at an address."""

from collections.abc import Callable

import trio

from buckthornwall.http1 import ClientConnection, ExchangeError
from buckthornwall.pools import UpstreamEntry
from buckthornwall.routing import PoolId
from buckthornwall.telemetry import log_event

from .reply import WireCodec

__all__ = ["IdentityCheck"]

# A check is a health request, which may wait for a slot.
CHECK_TIMEOUT_S = 0.5
MAX_BODY_BYTES = 64 * 2**10


class IdentityCheck:
    """Requests the health of upstreams, whose responses name who answers.

    Parameters
    ----------
    codec
        Translates requests and responses.
    find_health_path
        Returns the path of health requests to a pool.
    """

    def __init__(
        self, codec: WireCodec, find_health_path: Callable[[PoolId], str]
    ) -> None:
        self.codec = codec
        self.find_health_path = find_health_path

    async def is_listening(self, entry: UpstreamEntry) -> bool:
        """Return whether the registered upstream itself listens at its address.

        It counts as gone if no response identifies it.
        """
        answered, detail = None, "no answer in time"
        try:
            with trio.move_on_after(CHECK_TIMEOUT_S):
                answered = await self._request_health(entry)
                detail = ""
        except ExchangeError as error:
            detail = str(error)
        log_event(
            "upstream_identified",
            upstream=entry.id,
            address=entry.address,
            is_same=answered,
            detail=detail,
        )
        return bool(answered)

    async def _request_health(self, entry: UpstreamEntry) -> bool | None:
        connection = await ClientConnection.connect(entry.address, CHECK_TIMEOUT_S)
        try:
            path = self.find_health_path(entry.pool).encode("latin-1")
            headers = self.codec.encode_identity_check(entry)
            await connection.send(b"GET", path, headers, b"")
            head = await connection.receive_head()
            await connection.skip_body(MAX_BODY_BYTES)
        finally:
            connection.close()
        return self.codec.decode_identity(head, entry)
