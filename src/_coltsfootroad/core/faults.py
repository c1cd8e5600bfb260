"""How an attempt fails."""

import enum


class Fault(enum.Enum):
    """How an attempt failed, by what it proves.

    NOT_SENT: no byte left this process. NOT_RUN: the endpoint says so.
    LOST: anything else; the work may have happened.
    """

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    LOST = "lost"
