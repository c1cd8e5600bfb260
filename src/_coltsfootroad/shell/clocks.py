"""The clock that leases and proofs of freshness are judged by."""

import time


def boot_time() -> float:
    """Return seconds of a steady clock that also counts suspension.

    The event loop's clock stands still while a VM is suspended, so a lease
    that is judged by it would outlive the time for which it was granted.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time() -> float:
    """Return seconds since 1970, for times that processes share."""
    return time.time()


# When this process began, about: programs import this module before the
# libraries, which take most of a second. Whatever an earlier process promised
# was promised before.
PROCESS_STARTED_AT = boot_time()
