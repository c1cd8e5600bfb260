"""What gateways and the leader exchange about requests that crash endpoints."""

import attrs

from _coltsfootroad.core import crashes
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import quarantine


@attrs.frozen(kw_only=True)
class AgedSuspect:
    """A request in flight at a crash, and for how long it had been."""

    fingerprint: fingerprints.Fingerprint
    in_flight_s: float
    has_output: bool = False


@attrs.frozen(kw_only=True)
class AgedCrash:
    """A crash with its age, as clocks differ between VMs."""

    endpoint: crashes.EndpointKey
    age_s: float
    suspects: tuple[AgedSuspect, ...]


@attrs.frozen(kw_only=True)
class ReportCrashes:
    """Tell the leader of crashes, and of suspects that were answered since.

    Attributes:
        gateway: Who reports.
        crashes: Crashes that it saw, each with its own suspects.
        cleared: Suspects that an endpoint has answered whole.
        stopped: Sends that the quarantine stopped, by endpoint.
    """

    gateway: str
    crashes: tuple[AgedCrash, ...] = ()
    cleared: tuple[fingerprints.Fingerprint, ...] = ()
    stopped: tuple[AgedCrash, ...] = ()


@attrs.frozen(kw_only=True)
class Quarantine:
    """Refuse a request from now on."""

    fingerprint: fingerprints.Fingerprint
    reason: str
    crashes: int = 0
    endpoints: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class StartTrial:
    """Ask to run a request that is in quarantine once."""

    fingerprint: fingerprints.Fingerprint
    gateway: str


@attrs.frozen(kw_only=True)
class TrialAnswer:
    """Whether a trial may run."""

    granted: bool


@attrs.frozen(kw_only=True)
class EndQuarantine:
    """Run a request again."""

    fingerprint: fingerprints.Fingerprint
    reason: str


@attrs.frozen(kw_only=True)
class ReadQuarantine:
    """Ask for all requests in quarantine."""


@attrs.frozen(kw_only=True)
class QuarantineCopy:
    """All requests in quarantine, oldest first."""

    entries: tuple[quarantine.Entry, ...]


def with_ages(crash: crashes.Crash, now: float) -> AgedCrash:
    """Return a crash in the form in which it is sent."""
    return AgedCrash(
        endpoint=crash.endpoint,
        age_s=now - crash.at,
        suspects=tuple(
            AgedSuspect(
                fingerprint=suspect.fingerprint,
                in_flight_s=crash.at - suspect.sent_at,
                has_output=suspect.has_output,
            )
            for suspect in crash.suspects
        ),
    )


def with_times(aged: AgedCrash, now: float) -> crashes.Crash:
    """Return a crash that has just been received, in the receiver's time."""
    at = now - max(0.0, aged.age_s)
    return crashes.Crash(
        endpoint=aged.endpoint,
        at=at,
        suspects=tuple(
            crashes.Suspect(
                fingerprint=suspect.fingerprint,
                sent_at=at - max(0.0, suspect.in_flight_s),
                has_output=suspect.has_output,
            )
            for suspect in aged.suspects
        ),
    )
