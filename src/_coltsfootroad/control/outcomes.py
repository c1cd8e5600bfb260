"""Replies that several calls to the control plane share."""

import attrs

from _coltsfootroad.core import errors


@attrs.frozen(kw_only=True)
class Done:
    """Acknowledgement without a result."""


@attrs.frozen(kw_only=True)
class NotLeader:
    """The called replica is not the leader.

    `hint` is the address of the leader, empty if unknown.
    """

    hint: str = ""


@attrs.frozen(kw_only=True)
class Refused:
    """Refusal of a call, with its reason."""

    failure: errors.Failure
