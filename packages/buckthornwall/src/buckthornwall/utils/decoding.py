"""Decoders of bytes from outside, which raise one error whatever the bytes."""

from typing import Any, TypeVar

import cbor2
import msgspec

__all__ = ["MAX_DEPTH", "DecodingError", "decode_cbor", "decode_json"]

# Nested lists and objects in a JSON value without a schema. The value is encoded again
# at greater depths of the call stack, which share the interpreter's recursion limit.
MAX_DEPTH = 200

Decoded = TypeVar("Decoded")


class DecodingError(ValueError):
    """Bytes that cannot be decoded; callers raise an error with a code instead."""


def decode_json(raw: bytes, schema: type[Decoded] = Any) -> Decoded:
    """Return a decoded JSON value of the type `schema`.

    Raises
    ------
    DecodingError
        If `raw` is not such a value, or one that is nested too deeply.
    """
    try:
        value = msgspec.json.decode(raw, type=schema)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise DecodingError(str(error)) from error
    if raw.count(b"[") + raw.count(b"{") > MAX_DEPTH:
        _check_depth(value)
    return value


def _check_depth(value: Any) -> None:
    """Check the depth of a value's lists and dictionaries."""
    level = [value]
    for _ in range(MAX_DEPTH):
        level = [child for each in level for child in _children(each)]
        if not level:
            return
    raise DecodingError(f"nested more than {MAX_DEPTH} deep")


def _children(value: Any) -> Any:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


def decode_cbor(data: bytes, schema: type[Decoded]) -> Decoded:
    """Return a decoded CBOR value of the type `schema`.

    Raises
    ------
    DecodingError
        If `data` is not such a value.
    """
    try:
        return msgspec.convert(cbor2.loads(data), schema, builtin_types=(bytes,))
    except Exception as error:
        # Tags of CBOR construct values of many types, whose constructors raise errors
        # of their own.
        raise DecodingError(f"{type(error).__name__} {error}") from error
