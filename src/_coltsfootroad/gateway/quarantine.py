"""Refuses requests in quarantine, except trials that the leader grants."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable

import attrs

from _coltsfootroad.control import crashreports
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import watching
from _coltsfootroad.core import errors
from _coltsfootroad.core import fingerprints
from _coltsfootroad.core import quarantine as quarantine_lib
from _coltsfootroad.gateway import leaderclient
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs

LOG = logs.logger("quarantine")
# Retry delay for an entry without a trial time, which only an operator ends.
NO_TRIAL_RETRY_S = 600.0
MIN_RETRY_S = 1.0
# Added to the time of a trial for requests that have several entries.
JOINT_TRIAL_DELAY_S = 30.0
RELEASE_RETRY_S = 0.5
MAX_RELEASE_ATTEMPTS = 20


@attrs.define(eq=False)
class Quarantine:
    """Applies the quarantine to the requests of a gateway.

    Attributes:
        gateway: Name of the gateway.
        link: Client of the leader.
        running: Returns the exchanges in progress.
        on_ended: Called with the fingerprint of each entry that has ended.
        view: Copy of the leader's quarantine entries.
        requested_trials: Fingerprints with a trial request in flight.
        refusals: Number of refused requests by workspace.
        refusals_by_kind: The same by what is in quarantine: a content or a
            part of prompts.
    """

    gateway: str
    link: leaderclient.LeaderClient
    running: Callable[[], Iterable]
    on_ended: Callable[[fingerprints.Fingerprint], object]
    view: quarantine_lib.QuarantineView = attrs.Factory(
        quarantine_lib.QuarantineView
    )
    requested_trials: set[fingerprints.Fingerprint] = attrs.Factory(set)
    refusals: collections.Counter = attrs.Factory(collections.Counter)
    refusals_by_kind: collections.Counter = attrs.Factory(collections.Counter)

    def learn(self, changes: watching.Changes) -> None:
        """Apply changes, and stop requests that are now in quarantine."""
        learned = self.view.learn(
            changes.quarantined, changes.released, changes.whole, changes.more
        )
        for entry in learned.new:
            LOG.info(
                "quarantine entry learned",
                fingerprint=entry.fingerprint.text,
                workspace=entry.fingerprint.workspace,
                reason=entry.reason,
                crashes=entry.crashes,
                endpoints=list(entry.endpoints),
                age_s=round(clocks.unix_time() - entry.since, 3),
                trials=entry.trials,
            )
        for fingerprint in learned.ended:
            LOG.info("quarantine entry ended", fingerprint=fingerprint.text)
            self.on_ended(fingerprint)
        if learned.new:
            for exchange in list(self.running()):
                exchange.guard.stop_if_quarantined()

    async def start_trials(self, entries: list[quarantine_lib.Entry]) -> bool:
        """Request a trial run despite some entries; return if it was granted.

        Nothing is requested unless trials of all entries are due. Requests with
        several entries wait longer, as a trial of a single one is conclusive.
        """
        due_at = clocks.unix_time()
        if len(entries) > 1:
            due_at -= JOINT_TRIAL_DELAY_S
        if not all(entry.allows_trial(due_at) for entry in entries):
            return False
        for entry in entries:
            if not await self.start_trial(entry):
                return False
        return True

    async def start_trial(self, entry: quarantine_lib.Entry) -> bool:
        """Request a trial run for an entry; return whether it was granted.

        The leader grants each trial to one gateway only.
        """
        fingerprint = entry.fingerprint
        is_due = entry.allows_trial(clocks.unix_time())
        if not is_due or fingerprint in self.requested_trials:
            return False
        self.requested_trials.add(fingerprint)
        try:
            answer = await self.link.call(
                crashreports.StartTrial(
                    fingerprint=fingerprint, gateway=self.gateway
                )
            )
        finally:
            self.requested_trials.discard(fingerprint)
        granted = isinstance(answer, crashreports.TrialAnswer)
        granted = granted and answer.granted
        LOG.info(
            "trial granted" if granted else "trial not granted",
            fingerprint=fingerprint.text,
            workspace=fingerprint.workspace,
            trials=entry.trials,
        )
        return granted

    async def release(self, fingerprint: fingerprints.Fingerprint) -> None:
        """End an entry whose trial got a complete response."""
        message = crashreports.EndQuarantine(
            fingerprint=fingerprint, reason="its trial was answered"
        )
        for _ in range(MAX_RELEASE_ATTEMPTS):
            answer = await self.link.call(message)
            if isinstance(answer, outcomes.Done | outcomes.Refused):
                LOG.info("trial passed", fingerprint=fingerprint.text)
                return
            await asyncio.sleep(RELEASE_RETRY_S)
        LOG.warning(
            "trial passed, not reported",
            fingerprint=fingerprint.text,
        )

    def refusal(
        self, entries: list[quarantine_lib.Entry], has_run: bool
    ) -> errors.Failure:
        """Return the failure for a caller, and count the refusal."""
        now = clocks.unix_time()
        entry = max(entries, key=lambda entry: retry_after_s(entry, now))
        self.refusals[entry.fingerprint.workspace] += 1
        self.refusals_by_kind[
            "part" if entry.fingerprint.is_part else "content"
        ] += 1
        reason = (
            f"request {entry.fingerprint.text} is in quarantine:"
            f" {entry.reason}, {entry.crashes} of them"
        )
        if has_run:
            return errors.Failure(
                errors.ErrorCode.ENDPOINT_FAILED, reason, errors.Ran.UNKNOWN
            )
        return errors.Failure(
            errors.ErrorCode.QUARANTINED,
            reason,
            errors.Ran.NO,
            retry_after_s(entry, now)
            + (JOINT_TRIAL_DELAY_S if len(entries) > 1 else 0.0),
        )


def retry_after_s(entry: quarantine_lib.Entry, unix_s: float) -> float:
    """Return the retry delay to state to a caller."""
    if entry.trial_at is None:
        return NO_TRIAL_RETRY_S
    return round(max(MIN_RETRY_S, entry.trial_at - unix_s), 1)
