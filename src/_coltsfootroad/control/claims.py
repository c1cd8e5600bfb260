"""Claims on idempotency keys: the right to run a key, and its outcome."""

import collections
import enum

import attrs

from _coltsfootroad.control import messages
from _coltsfootroad.core import errors
from _coltsfootroad.core import request as request_lib

MAX_CLAIMS = 1_000_000
MAX_ANSWER_BYTES = 256 * 1024
MAX_ANSWERS_BYTES = 256 * 1024 * 1024
# Allowed clock skew between callers and the control state.
CLOCK_SKEW_S = 300.0
# Added to the holder's own deadline before the outcome counts as unknown.
LEASE_MARGIN_S = 2.0


class ClaimState(enum.Enum):
    """State of a claimed key."""

    IN_PROGRESS = "in_progress"
    DONE = "done"
    UNKNOWN = "unknown"


@attrs.define
class Claim:
    """The claim on one key."""

    token: str
    body_hash: str
    forget_at: float
    until: float
    state: ClaimState = ClaimState.IN_PROGRESS
    answer: request_lib.Answer | None = None


ClaimKey = tuple[str, str]


@attrs.define
class ClaimTable:
    """All claims whose keys can still be admitted.

    A claim may be dropped only when its key can no longer be admitted. Keys
    carry their creation time, and keys older than the retention are refused.
    The claim outlives the retention by the allowed clock skew.
    """

    claims: dict[ClaimKey, Claim] = attrs.Factory(dict)
    by_age: collections.deque = attrs.Factory(collections.deque)
    answers: collections.deque = attrs.Factory(collections.deque)
    answer_bytes: int = 0

    def take(
        self, command: messages.TakeClaim, retention_s: float, now: float
    ) -> messages.ClaimAnswer:
        """Grant the key to the claimant, or return its state or outcome."""
        self.drop_expired(now)
        key = (command.workspace, command.key)
        claim = self.claims.get(key)
        if claim is None:
            return self.add(key, command, retention_s, now)
        if claim.body_hash != command.body_hash:
            return status_answer(messages.ClaimStatus.KEY_REUSED)
        if claim.state is ClaimState.DONE:
            if claim.answer is None:
                return status_answer(messages.ClaimStatus.NOT_STORED)
            return messages.ClaimAnswer(
                status=messages.ClaimStatus.DONE, answer=claim.answer
            )
        if claim.state is ClaimState.IN_PROGRESS and now >= claim.until:
            # The holder may have run it, so the key is not granted again.
            claim.state = ClaimState.UNKNOWN
        if claim.state is ClaimState.UNKNOWN:
            return status_answer(messages.ClaimStatus.UNKNOWN)
        if claim.token == command.token:
            return status_answer(messages.ClaimStatus.GRANTED)
        return messages.ClaimAnswer(
            status=messages.ClaimStatus.IN_PROGRESS,
            retry_after_s=max(1.0, claim.until - now),
        )

    def add(
        self,
        key: ClaimKey,
        command: messages.TakeClaim,
        retention_s: float,
        now: float,
    ) -> messages.ClaimAnswer:
        """Add a claim on an unknown key."""
        too_old = command.key_time < now - retention_s
        if too_old or command.key_time > now + CLOCK_SKEW_S:
            return status_answer(messages.ClaimStatus.KEY_EXPIRED)
        if len(self.claims) >= MAX_CLAIMS:
            return status_answer(messages.ClaimStatus.FULL)
        # The key can be admitted until key_time + retention, on a clock that
        # may be behind, so this counts from the later of key_time and now.
        forget_at = max(now, command.key_time) + retention_s + CLOCK_SKEW_S
        self.claims[key] = Claim(
            token=command.token,
            body_hash=command.body_hash,
            forget_at=forget_at,
            until=now + command.lease_s + LEASE_MARGIN_S,
        )
        self.by_age.append((forget_at, key))
        return status_answer(messages.ClaimStatus.GRANTED)

    def settle(self, command: messages.SettleClaim) -> None:
        """Record the outcome of a key that the sender holds."""
        key = (command.workspace, command.key)
        claim = self.claims.get(key)
        if claim is None or claim.token != command.token:
            return
        if claim.state is ClaimState.DONE:
            return
        if command.ran is errors.Ran.NO:
            del self.claims[key]
        elif command.ran is errors.Ran.YES:
            claim.state = ClaimState.DONE
            self.store_answer(key, claim, command.answer)
        else:
            claim.state = ClaimState.UNKNOWN

    def store_answer(
        self, key: ClaimKey, claim: Claim, answer: request_lib.Answer | None
    ) -> None:
        """Store an answer within the byte limits, dropping the oldest."""
        if answer is None or len(answer.body) > MAX_ANSWER_BYTES:
            return
        claim.answer = answer
        self.answers.append(key)
        self.answer_bytes += len(answer.body)
        while self.answer_bytes > MAX_ANSWERS_BYTES:
            self.drop_answer(self.claims.get(self.answers.popleft()))

    def drop_answer(self, claim: Claim | None) -> None:
        """Drop the answer of a claim but keep the claim."""
        if claim is not None and claim.answer is not None:
            self.answer_bytes -= len(claim.answer.body)
            claim.answer = None

    def drop_expired(self, now: float) -> None:
        """Drop the claims whose keys can no longer be admitted."""
        while self.by_age and self.by_age[0][0] <= now:
            forget_at, key = self.by_age.popleft()
            claim = self.claims.get(key)
            if claim is not None and claim.forget_at <= now:
                self.drop_answer(claim)
                del self.claims[key]


def status_answer(status: messages.ClaimStatus) -> messages.ClaimAnswer:
    """Return an answer that holds only a status."""
    return messages.ClaimAnswer(status=status)
