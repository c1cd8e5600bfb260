"""Reads how much memory the process can use."""

import os
import pathlib
import resource

# Limit of the process's control group; "max" or absent if there is none.
GROUP_LIMIT_FILE = pathlib.Path("/sys/fs/cgroup/memory.max")


def usable_bytes() -> int:
    """Return the memory of the VM, or a smaller limit of the process."""
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
