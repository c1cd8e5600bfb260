"""Crashes of endpoints and the requests that were in flight at them."""

import attrs

from _coltsfootroad.core import fingerprints


@attrs.frozen(kw_only=True)
class EndpointKey:
    """One incarnation of an endpoint, which crashes at most once."""

    endpoint: str
    incarnation: int


@attrs.frozen(kw_only=True)
class Suspect:
    """A request in flight at an endpoint when it crashed.

    Attributes:
        fingerprint: Fingerprint of its content.
        sent_at: Time of the send, in seconds of the observer's clock.
        has_output: Whether the endpoint had begun to answer it.
        parts: Parts of its prompt that other requests share.
    """

    fingerprint: fingerprints.Fingerprint
    sent_at: float
    has_output: bool = False
    parts: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Crash:
    """A crash as one observer saw it.

    Attributes:
        endpoint: The incarnation that crashed.
        at: Time at which its connections broke, in seconds of the observer's
            clock.
        suspects: The observer's requests that were in flight at the endpoint.
    """

    endpoint: EndpointKey
    at: float
    suspects: tuple[Suspect, ...]
