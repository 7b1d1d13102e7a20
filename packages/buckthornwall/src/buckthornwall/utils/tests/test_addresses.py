"""Addresses are split, or refused with one error."""

import pytest

from buckthornwall.utils import split_address


@pytest.mark.parametrize(
    ("address", "expected"),
    [
        ("127.0.0.1:80", ("127.0.0.1", 80)),
        ("10.255.0.9:65535", ("10.255.0.9", 65535)),
        ("10.0.0.9:0", ("10.0.0.9", 0)),
    ],
)
def test_address_is_split(address, expected):
    assert split_address(address) == expected


@pytest.mark.parametrize(
    "address",
    [
        "",
        ":80",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:65536",
        "10.0.0.256:80",
        "10.0.0.1:80\n",
        "10.0.0.1:٨٠",
        "localhost:80",
        "[::1]:80",
        "10.0.0.1:-1",
        "1" * 10_000,
    ],
)
def test_other_text_is_refused(address):
    with pytest.raises(ValueError, match="expected IP:port|out of range"):
        split_address(address)
