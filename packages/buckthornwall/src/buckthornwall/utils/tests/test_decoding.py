"""Decoders of bytes from outside raise one error."""

import random

import cbor2
import msgspec
import pytest

from buckthornwall.utils import Count, DecodingError, decode_cbor, decode_json
from buckthornwall.utils.decoding import MAX_DEPTH

# A list that contains itself, a date that is none, a bignum for a bounded number.
MALFORMED_CBOR = [
    b"\xd8\x1c\x81\xd8\x1d\x00",
    b"\xc0\x61a",
    b"\xd8\x1e\x82\x01\x00",
    b"\x81" * 100_000,
    b"\xbb" + b"\xff" * 8,
    b"\x81" + cbor2.dumps(10**400),
    b"",
]


@pytest.mark.parametrize("depth", [2001, 1_000_000])
@pytest.mark.parametrize("schema", [object, dict, list])
def test_nested_json_raised_a_recursion_error(depth, schema):
    with pytest.raises(DecodingError):
        decode_json(b'{"x":' + b"[" * depth, schema)
    with pytest.raises(DecodingError):
        decode_json(b"[" * depth + b"]" * depth, schema)


def test_depth_that_cannot_be_encoded_again_is_refused():
    accepted = b"[" * (MAX_DEPTH - 1) + b"]" * (MAX_DEPTH - 1)
    assert msgspec.json.encode(decode_json(accepted)) == accepted
    with pytest.raises(DecodingError):
        decode_json(b"[[" + accepted + b"]]")
    flat = b"[" + b",".join([b"{}"] * 3 * MAX_DEPTH) + b"]"
    assert len(decode_json(flat)) == 3 * MAX_DEPTH


@pytest.mark.parametrize("data", MALFORMED_CBOR)
def test_malformed_cbor_raises_a_decoding_error(data):
    with pytest.raises(DecodingError):
        decode_cbor(data, list[Count | list[bytes]])


@pytest.mark.parametrize("seed", range(4))
def test_random_bytes_raise_decoding_errors_only(seed):
    rng = random.Random(seed)
    for _ in range(3000):
        data = rng.randbytes(rng.randrange(40))
        for decode in (decode_json, decode_cbor):
            try:
                decode(data, list[dict[str, int]])
            except DecodingError:
                continue
