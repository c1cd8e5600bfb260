"""Steps for disks that refuse writes."""

import errno
import os
import random
from unittest import mock

from behave import given
from behave import then
from behave import when
from expression import Error

from _coltsfootroad.control import log as log_lib
from _coltsfootroad.control import node as node_lib
from _coltsfootroad.control import ready as ready_lib
from _coltsfootroad.core import errors
from features.support import controlmachine
from features.support import replacements


@when("the disk is full while a snapshot is saved")
def full_disk_snapshot(context):
    meta = log_lib.SnapshotMeta(index=2, term=1, size=3)
    full = mock.patch.object(
        os, "fsync", side_effect=OSError(errno.ENOSPC, "no space")
    )
    with full:
        context.result = context.disk.save_snapshot(
            meta, b"abc", ready_lib.HardState(), ()
        )


@then('the snapshot is refused with "{words}"')
def snapshot_refused(context, words):
    assert words in context.result.error.message


@then("no file of the snapshot is left on the disk")
def no_part_left(context):
    names = sorted(path.name for path in context.disk.folder.iterdir())
    left = [n for n in names if n.endswith(".tmp") or n.startswith("snapshot")]
    assert not left, names


@given("a replica whose log is due for a snapshot and whose disk is full")
def due_for_snapshot(context):
    site = context.site = replacements.Site(random.Random(6))
    site.begin()
    context.refused = []

    def refuse(disk, *_):
        context.refused.append(site.now)
        failure = errors.Failure(errors.ErrorCode.UNAVAILABLE, "disk is full")
        return Error(failure)

    context.patches = (
        mock.patch.object(node_lib, "SNAPSHOT_ENTRIES", 4),
        mock.patch.object(controlmachine.FaultyDisk, "save_snapshot", refuse),
    )


@when("it runs for {seconds:g} s")
def runs_for(context, seconds):
    with context.patches[0], context.patches[1]:
        context.site.run_until(context.site.now + seconds)


@then("it tries to save a snapshot at most {most:d} times")
def tries_at_most(context, most):
    assert 2 <= len(context.refused) <= most, len(context.refused)
