"""Starts a replica whose disk and time of day misbehave when told to.

A file beside the data folder says how; it is read again before each use, so
a running replica changes its ways without being touched.
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

FAULTS = flags.DEFINE_string("faults", None, "File that says what is wrong.")

plain_write = disk.write_all
plain_sync = disk.DataFolder.sync_log
plain_time = time.time


def present() -> dict:
    """Return what is wrong now."""
    try:
        return json.loads(pathlib.Path(FAULTS.value).read_bytes())
    except (OSError, ValueError):
        # Not written yet, or half of it.
        return {}


def write_all(file, data: bytes) -> None:
    """Write unless the disk is full."""
    if present().get("full"):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
    plain_write(file, data)


def sync_log(folder: disk.DataFolder) -> None:
    """Sync after as long as the disk takes now."""
    time.sleep(present().get("sync_s", 0.0))
    plain_sync(folder)


class SteppedTime:
    """The module `time` with a time of day that may be wrong."""

    def __getattr__(self, name):
        return getattr(time, name)

    @staticmethod
    def time() -> float:
        """Return the time of day that this machine believes in."""
        return plain_time() + present().get("wall_s", 0.0)


if __name__ == "__main__":
    disk.write_all = write_all
    disk.DataFolder.sync_log = sync_log
    controlserver.time = SteppedTime()
    common.start(control.main)
