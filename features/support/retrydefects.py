"""Deliberate defects of the fleet's retry budget, each caught by a history."""

from _coltsfootroad.control import retrylending
from _coltsfootroad.core import minimumshare
from _coltsfootroad.core import retryloans
from _coltsfootroad.core import windowbudget
from features.support import mutants

DEFECTS = {}
Share = minimumshare.MinimumShare


@mutants.defect(DEFECTS, Share, "update")
def a_restart_forgets_sent_retries(original):
    def mutant(self, share, now, proved_at):
        is_first = self.proved_at == float("-inf")
        original(self, share, now, proved_at)
        if is_first:
            self.held.popleft()

    return mutant


@mutants.defect(DEFECTS, Share, "minimum")
def the_newest_share_is_used(original):
    def mutant(self, now):
        original(self, now)
        return self.held[-1].share

    return mutant


@mutants.defect(DEFECTS, Share, "update")
def a_share_outlives_its_proof(original):
    def mutant(self, share, now, proved_at):
        self.proved_at = now
        original(self, share, now, proved_at)

    return mutant


@mutants.defect(DEFECTS, Share, "replace")
def a_share_lasts_for_half_of_the_span(original):
    def mutant(self, share, at):
        original(self, share, at - self.span_s / 2)

    return mutant


@mutants.defect(DEFECTS, windowbudget, "GATEWAY_RATIO_SHARE")
def a_gateway_uses_the_whole_ratio(original):
    return 2 * original


@mutants.defect(DEFECTS, windowbudget.WindowBudget, "trim")
def retries_leave_the_window_early(original):
    def mutant(self, now):
        original(self, now + self.window_s / 2)

    return mutant


@mutants.defect(DEFECTS, windowbudget.WindowBudget, "charge")
def reserved_retries_are_always_sent(original):
    def mutant(self, retry, slack_share, now):
        return original(self, retry, slack_share, now) or True

    return mutant


Lender = retrylending.RetryLender


@mutants.defect(DEFECTS, Lender, "lend")
def a_new_leader_lends_at_once(original):
    def mutant(self, request, now):
        self.started_at = float("-inf")
        return original(self, request, now)

    return mutant


@mutants.defect(DEFECTS, retrylending, "loan_lifetime_s")
def a_loan_counts_only_until_its_expiry(original):
    def mutant(window_s):
        return original(window_s) - window_s

    return mutant


@mutants.defect(DEFECTS, retryloans.RetryLoans, "add")
def loans_never_expire(original):
    def mutant(self, amount, until):
        original(self, amount, until + 60.0)

    return mutant


@mutants.defect(DEFECTS, retrylending, "LENDABLE_FRACTION")
def the_whole_slack_is_lent_as_well(original):
    del original
    return 1.0
