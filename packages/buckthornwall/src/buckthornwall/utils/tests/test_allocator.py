"""Tests of the settings and use of the memory allocator."""

import ctypes

from buckthornwall.utils.allocator import release_freed_memory, return_large_buffers


class OtherLibrary:
    """A C library without these functions."""


def test_other_c_libraries_are_left_as_they_are(monkeypatch):
    monkeypatch.setattr(ctypes, "CDLL", lambda name: OtherLibrary())
    assert not return_large_buffers()
    assert not release_freed_memory()


def test_glibc_takes_the_setting():
    has_setting = hasattr(ctypes.CDLL(None), "mallopt")
    assert return_large_buffers() == has_setting
