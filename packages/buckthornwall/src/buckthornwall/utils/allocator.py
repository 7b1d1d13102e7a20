"""Settings and use of the C library's memory allocator."""

import ctypes

__all__ = ["release_freed_memory", "return_large_buffers"]

# Parameter of mallopt(3).
M_MMAP_THRESHOLD = -3
LARGE_BYTES = 128 * 2**10


def return_large_buffers() -> bool:
    """Let large buffers go back to the system as soon as they are freed.

    By default glibc raises the size from which it does so to that of the largest buffer
    freed so far.

    Returns
    -------
    bool
        Whether the C library has this parameter.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    return mallopt is not None and mallopt(M_MMAP_THRESHOLD, LARGE_BYTES) == 1


def release_freed_memory() -> bool:
    """Give freed memory back to the system that lies between what is in use.

    Returns
    -------
    bool
        Whether the C library can, and there was any.
    """
    malloc_trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    return malloc_trim is not None and malloc_trim(0) == 1
