"""Starts a replica with injectable disk faults and wall-clock skew.

The active faults are read from a JSON file before each use, so that they can
change while the replica runs, without a signal or a restart.
"""

import errno
import json
import os
import pathlib
import time

from absl import flags

from _coltsfootroad.commands import common
from _coltsfootroad.commands import control
from _coltsfootroad.shell import controlserver
from _coltsfootroad.shell import disk

FAULTS = flags.DEFINE_string(
    "faults", None, "JSON file with the active faults."
)

original_write = disk.write_all
original_sync = disk.DataFolder.sync_log
original_time = time.time


def active_faults() -> dict:
    """Return the faults that are active now."""
    try:
        return json.loads(pathlib.Path(FAULTS.value).read_bytes())
    except (OSError, ValueError):
        # The file is missing or partially written.
        return {}


def write_all(file, data: bytes) -> None:
    """Write, or raise ENOSPC while the disk counts as full."""
    if active_faults().get("full"):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
    original_write(file, data)


def sync_log(folder: disk.DataFolder) -> None:
    """Sync after the injected delay."""
    time.sleep(active_faults().get("sync_s", 0.0))
    original_sync(folder)


class SkewedTime:
    """The module `time` with an injectable offset of the wall clock."""

    def __getattr__(self, name):
        return getattr(time, name)

    @staticmethod
    def time() -> float:
        """Return the wall clock, in unix seconds, with the injected offset."""
        return original_time() + active_faults().get("wall_s", 0.0)


if __name__ == "__main__":
    disk.write_all = write_all
    disk.DataFolder.sync_log = sync_log
    controlserver.time = SkewedTime()
    common.start(control.main)
