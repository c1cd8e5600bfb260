"""Claims on idempotency keys: who may run, and what came of it."""

import collections
import enum

import attrs

from _coltsfootroad.control import messages
from _coltsfootroad.core import errors
from _coltsfootroad.core import request as request_lib

MAX_CLAIMS = 1_000_000
MAX_ANSWER_BYTES = 256 * 1024
MAX_ANSWERS_BYTES = 256 * 1024 * 1024
# Difference allowed between the clocks of callers and of the control state.
CLOCK_SKEW_S = 300.0
# Added to the holder's own bound before its silence counts as unknown.
LEASE_MARGIN_S = 2.0


class ClaimState(enum.Enum):
    """Where a claimed key stands."""

    IN_PROGRESS = "in_progress"
    DONE = "done"
    UNKNOWN = "unknown"


@attrs.define
class Claim:
    """The record of one key."""

    token: str
    body_hash: str
    forget_at: float
    until: float
    state: ClaimState = ClaimState.IN_PROGRESS
    answer: request_lib.Answer | None = None


ClaimKey = tuple[str, str]


@attrs.define
class ClaimTable:
    """All claims that can still matter.

    A claim may be forgotten only when its key can no longer be admitted:
    keys carry their time, older ones than the retention are refused, and
    the record outlives that by the skew allowed between clocks.
    """

    claims: dict[ClaimKey, Claim] = attrs.Factory(dict)
    by_age: collections.deque = attrs.Factory(collections.deque)
    answers: collections.deque = attrs.Factory(collections.deque)
    answer_bytes: int = 0

    def take(
        self, command: messages.TakeClaim, retention_s: float, now: float
    ) -> messages.ClaimAnswer:
        """Grant the key to the asker, or say what became of it."""
        self.forget(now)
        key = (command.workspace, command.key)
        claim = self.claims.get(key)
        if claim is None:
            return self.take_new(key, command, retention_s, now)
        if claim.body_hash != command.body_hash:
            return answer_of(messages.ClaimStatus.KEY_REUSED)
        if claim.state is ClaimState.DONE:
            if claim.answer is None:
                return answer_of(messages.ClaimStatus.NOT_STORED)
            return messages.ClaimAnswer(
                status=messages.ClaimStatus.DONE, answer=claim.answer
            )
        if claim.state is ClaimState.IN_PROGRESS and now >= claim.until:
            # The holder's silence proves nothing, so nobody else may run it.
            claim.state = ClaimState.UNKNOWN
        if claim.state is ClaimState.UNKNOWN:
            return answer_of(messages.ClaimStatus.UNKNOWN)
        if claim.token == command.token:
            return answer_of(messages.ClaimStatus.GRANTED)
        return messages.ClaimAnswer(
            status=messages.ClaimStatus.IN_PROGRESS,
            retry_after_s=max(1.0, claim.until - now),
        )

    def take_new(
        self,
        key: ClaimKey,
        command: messages.TakeClaim,
        retention_s: float,
        now: float,
    ) -> messages.ClaimAnswer:
        """Record a key that is not known."""
        too_old = command.key_time < now - retention_s
        if too_old or command.key_time > now + CLOCK_SKEW_S:
            return answer_of(messages.ClaimStatus.KEY_EXPIRED)
        if len(self.claims) >= MAX_CLAIMS:
            return answer_of(messages.ClaimStatus.FULL)
        # Counted from the later of the key's time and now: the key can be
        # admitted until key_time + retention on a clock that may be behind.
        forget_at = max(now, command.key_time) + retention_s + CLOCK_SKEW_S
        self.claims[key] = Claim(
            token=command.token,
            body_hash=command.body_hash,
            forget_at=forget_at,
            until=now + command.lease_s + LEASE_MARGIN_S,
        )
        self.by_age.append((forget_at, key))
        return answer_of(messages.ClaimStatus.GRANTED)

    def settle(self, command: messages.SettleClaim) -> None:
        """Record the end of a key that the sender holds."""
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
            self.store(key, claim, command.answer)
        else:
            claim.state = ClaimState.UNKNOWN

    def store(
        self, key: ClaimKey, claim: Claim, answer: request_lib.Answer | None
    ) -> None:
        """Keep an answer within the byte bounds, dropping the oldest."""
        if answer is None or len(answer.body) > MAX_ANSWER_BYTES:
            return
        claim.answer = answer
        self.answers.append(key)
        self.answer_bytes += len(answer.body)
        while self.answer_bytes > MAX_ANSWERS_BYTES:
            self.drop_answer(self.claims.get(self.answers.popleft()))

    def drop_answer(self, claim: Claim | None) -> None:
        """Free the answer of a claim but keep the claim."""
        if claim is not None and claim.answer is not None:
            self.answer_bytes -= len(claim.answer.body)
            claim.answer = None

    def forget(self, now: float) -> None:
        """Drop the claims whose keys can no longer be admitted."""
        while self.by_age and self.by_age[0][0] <= now:
            forget_at, key = self.by_age.popleft()
            claim = self.claims.get(key)
            if claim is not None and claim.forget_at <= now:
                self.drop_answer(claim)
                del self.claims[key]


def answer_of(status: messages.ClaimStatus) -> messages.ClaimAnswer:
    """Return an answer that is only a status."""
    return messages.ClaimAnswer(status=status)
