"""Messages and commands about requests that crash endpoints."""

import attrs

from _coltsfootroad.core import crashes
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import quarantine


@attrs.frozen(kw_only=True)
class AgedSuspect:
    """A request in flight at a crash, and its time in flight until then."""

    fingerprint: fingerprints.Fingerprint
    in_flight_s: float
    has_output: bool = False
    parts: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class AgedCrash:
    """A crash with its age, since clocks differ between VMs."""

    endpoint: crashes.EndpointKey
    age_s: float
    suspects: tuple[AgedSuspect, ...]


@attrs.frozen(kw_only=True)
class AgedAnswer:
    """An answer to a request with a watched part, and its age."""

    fingerprint: fingerprints.Fingerprint
    age_s: float


@attrs.frozen(kw_only=True)
class ReportCrashes:
    """Reports crashes, and suspects that were answered since, to the leader.

    Attributes:
        gateway: Name of the reporting gateway.
        crashes: Crashes that the gateway observed, each with its suspects.
        cleared: Suspects that an endpoint has answered completely.
        stopped: Attempts that the quarantine aborted, by endpoint.
        answered: Newest answers to requests with watched parts.
    """

    gateway: str
    crashes: tuple[AgedCrash, ...] = ()
    cleared: tuple[fingerprints.Fingerprint, ...] = ()
    stopped: tuple[AgedCrash, ...] = ()
    answered: tuple[AgedAnswer, ...] = ()


@attrs.frozen(kw_only=True)
class Quarantine:
    """Puts a request into quarantine: gateways refuse it."""

    fingerprint: fingerprints.Fingerprint
    reason: str
    crashes: int = 0
    endpoints: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class StartTrial:
    """Requests one trial run of a quarantined request."""

    fingerprint: fingerprints.Fingerprint
    gateway: str


@attrs.frozen(kw_only=True)
class TrialAnswer:
    """Whether the trial is granted."""

    granted: bool


@attrs.frozen(kw_only=True)
class EndQuarantine:
    """Ends the quarantine of a request."""

    fingerprint: fingerprints.Fingerprint
    reason: str


@attrs.frozen(kw_only=True)
class ReadQuarantine:
    """Requests all quarantined requests."""


@attrs.frozen(kw_only=True)
class QuarantineCopy:
    """All quarantined requests, oldest first."""

    entries: tuple[quarantine.Entry, ...]


def with_ages(crash: crashes.Crash, now: float) -> AgedCrash:
    """Return a crash with ages, for sending."""
    return AgedCrash(
        endpoint=crash.endpoint,
        age_s=now - crash.at,
        suspects=tuple(
            AgedSuspect(
                fingerprint=suspect.fingerprint,
                in_flight_s=crash.at - suspect.sent_at,
                has_output=suspect.has_output,
                parts=suspect.parts,
            )
            for suspect in crash.suspects
        ),
    )


def with_times(aged: AgedCrash, now: float) -> crashes.Crash:
    """Return a received crash with times of the receiver's clock."""
    at = now - max(0.0, aged.age_s)
    return crashes.Crash(
        endpoint=aged.endpoint,
        at=at,
        suspects=tuple(
            crashes.Suspect(
                fingerprint=suspect.fingerprint,
                sent_at=at - max(0.0, suspect.in_flight_s),
                has_output=suspect.has_output,
                parts=suspect.parts,
            )
            for suspect in aged.suspects
        ),
    )
