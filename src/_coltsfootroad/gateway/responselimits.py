"""Bounds what one response of an endpoint may hold in memory.

A faulty endpoint may send bytes without end. The limits are well above what
services send: heads of some hundred bytes, events of some hundred bytes to
kilobytes (`core/eventstream.py`), bodies of some kilobytes to megabytes.
"""

import collections
import enum

from tornado import httputil

from _coltsfootroad.shell import logs

LOG = logs.logger("upstream")
# The limit on callers' heads has the same size. The parser searches the whole
# head for each received piece, so this also bounds that time.
MAX_HEAD_BYTES = 16 * 1024
# A body that is buffered before it is sent to the caller.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Body of a response with a status from 300, on every route.
MAX_ERROR_BODY_BYTES = 1024 * 1024
# Body that is read and discarded: responses to memory requests, and responses
# that do not belong to the request.
MAX_DISCARDED_BODY_BYTES = 16 * 1024
# All events of one stream; only one event of it is buffered at a time.
MAX_STREAM_BYTES = 64 * 1024 * 1024


class Fault(enum.Enum):
    """Why a response cannot be read to its end."""

    HEAD = "head"
    BODY = "body"
    ERROR_BODY = "error_body"
    DISCARDED_BODY = "discarded_body"
    STREAM = "stream"
    EVENT = "event"
    # Violates HTTP, such as a chunk without a size or too many 1xx responses.
    FRAMING = "framing"


# Faulty responses to this process by fault.
COUNTS: collections.Counter[str] = collections.Counter()


def record(address: str, fault: Fault, request: str, body_bytes: int) -> None:
    """Count and log a response that was abandoned."""
    COUNTS[fault.value] += 1
    LOG.warning(
        "response abandoned",
        address=address,
        target=request,
        fault=fault.value,
        body_bytes=body_bytes,
    )


def input_error(fault: Fault) -> httputil.HTTPInputError:
    """Return the error that makes the HTTP parser close the connection."""
    return httputil.HTTPInputError(f"response over its limit: {fault.value}")
