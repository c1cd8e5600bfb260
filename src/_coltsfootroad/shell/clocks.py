"""Clocks: one for leases and freshness proofs, one for shared times."""

import time


def boot_time() -> float:
    """Return seconds of a monotonic clock that includes suspended time.

    The event loop's clock stops while a VM is suspended, so a lease that is
    measured with it would outlive its term.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time() -> float:
    """Return unix seconds, for times that processes exchange."""
    return time.time()


# Approximate start of this process: programs import this module before the
# libraries, which take most of a second. Every lease or vote that an earlier
# process granted is older.
PROCESS_STARTED_AT = boot_time()
