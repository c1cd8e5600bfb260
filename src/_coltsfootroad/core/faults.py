"""Kinds of failed attempts."""

import enum


class Fault(enum.Enum):
    """How an attempt failed, which shows whether it may have run.

    NOT_SENT: no byte left this process. NOT_RUN: the endpoint reported that it
    did not run the request. LOST: any other failure; the request may have run.
    """

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    LOST = "lost"
