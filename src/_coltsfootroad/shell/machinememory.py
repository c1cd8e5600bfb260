"""Reads how much memory and how many descriptors the process can use."""

import os
import pathlib
import resource

# Limit of the process's control group; "max" or absent if there is none.
GROUP_LIMIT_FILE = pathlib.Path("/sys/fs/cgroup/memory.max")
BYTES_PER_MB = 1_000_000
# Descriptors of a process without a limit.
MAX_DESCRIPTORS = 1_000_000


def usable_bytes(stated_mb: int = 0) -> int:
    """Return the memory of the VM, or a smaller limit of the process.

    Args:
        stated_mb: Memory that the operator states in MB, which is returned
            unless it is 0: the process may see the memory of a larger machine.
    """
    if stated_mb:
        return stated_mb * BYTES_PER_MB
    sizes = [os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")]
    address_space, _ = resource.getrlimit(resource.RLIMIT_AS)
    if address_space != resource.RLIM_INFINITY:
        sizes.append(address_space)
    try:
        group_limit = GROUP_LIMIT_FILE.read_text().strip()
    except OSError:
        group_limit = ""
    if group_limit.isdigit():
        sizes.append(int(group_limit))
    return min(sizes)


def usable_descriptors(stated: int = 0) -> int:
    """Return the stated number of descriptors, or the limit if it is lower."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return stated or MAX_DESCRIPTORS
    return min(stated, limit) if stated else limit
