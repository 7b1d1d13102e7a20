"""Shared fixtures of the tests of pools."""

import pytest

from buckthornwall.pools import PoolTable

from .helpers import adopt


@pytest.fixture
def table(clock):
    table = PoolTable(clock)
    for name in ("a", "b", "c"):
        adopt(table, name)
    return table
