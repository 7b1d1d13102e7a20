"""Reads of the operators' listeners."""

from typing import Any

import httpcore
import msgspec
from buckthornwall.codes import PeerError, ResultCode

__all__ = ["read_json", "read_raw"]

TIMEOUT_S = 3.0


def read_raw(address: str, path: str) -> bytes:
    """Return what an instance serves to operators.

    Raises
    ------
    PeerError
        If it cannot be read.
    """
    limits = {"connect": TIMEOUT_S, "read": TIMEOUT_S}
    try:
        response = httpcore.request(
            "GET", f"http://{address}{path}", extensions={"timeout": limits}
        )
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        ValueError,
    ) as error:
        raise PeerError(
            ResultCode.UPSTREAM_UNREACHABLE, f"{address}: {error}"
        ) from error
    return response.content


def read_json(address: str, path: str) -> Any:
    """Return the JSON that an instance serves to operators.

    Raises
    ------
    PeerError
        If it cannot be read or is not JSON.
    """
    try:
        return msgspec.json.decode(read_raw(address, path))
    except msgspec.DecodeError as error:
        raise PeerError(ResultCode.UPSTREAM_GARBAGE, f"{address}: {error}") from error
