"""Logging by logbook; each part logs short sentences under its prefix."""

import sys

import logbook

FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name}"
    " {record.channel}: {record.message}"
)


def logger(part: str) -> logbook.Logger:
    """Return the logger of a part; the part's name is the prefix."""
    return logbook.Logger(part)


def start(level: str) -> None:
    """Send log records of at least `level` to standard error."""
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(
        sys.stderr, level=level, format_string=FORMAT, bubble=False
    )
    handler.push_application()
