"""Answers that many calls to the control state share."""

import attrs

from _coltsfootroad.core import errors


@attrs.frozen(kw_only=True)
class Done:
    """Plain acknowledgement."""


@attrs.frozen(kw_only=True)
class NotLeader:
    """The asked replica does not lead; `hint` may name one that does."""

    hint: str = ""


@attrs.frozen(kw_only=True)
class Refused:
    """A call that was not carried out, and why."""

    failure: errors.Failure
