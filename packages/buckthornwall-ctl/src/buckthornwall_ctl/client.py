"""HTTP requests to the operator listeners of instances."""

from typing import Any

import httpcore
import msgspec
from buckthornwall.codes import PeerError, ResultCode

__all__ = ["read_json", "read_raw"]

TIMEOUT_S = 3.0


def read_raw(address: str, path: str) -> bytes:
    """Return the body that an instance serves at an operator path.

    Raises
    ------
    PeerError
        If the instance cannot be reached.
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
    """Return the decoded JSON that an instance serves at an operator path.

    Raises
    ------
    PeerError
        If the instance cannot be reached or the body is not JSON.
    """
    try:
        return msgspec.json.decode(read_raw(address, path))
    except msgspec.DecodeError as error:
        raise PeerError(ResultCode.UPSTREAM_GARBAGE, f"{address}: {error}") from error
