"""Makes the C library return the memory of large blocks once they are freed.

By default, glibc raises the size from which it maps blocks one by one to that
of the largest block that was freed. Later blocks of that size come from the
heap, and stay part of the process while a smaller block lies behind them.
"""

import ctypes

# Parameter of mallopt(3); setting it turns the adjustment off.
M_MMAP_THRESHOLD = -3
MMAP_THRESHOLD_BYTES = 128 * 1024


def map_large_blocks() -> bool:
    """Map large blocks one by one; return whether the C library supports it."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None:
        return False
    return mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES) == 1
