"""Deliberate defects of the fleet's retry budget; histories must catch each."""

from _coltsfootroad.control import retrylending
from _coltsfootroad.core import retryloans
from _coltsfootroad.core import settledshare
from _coltsfootroad.core import windowbudget
from features.support import mutants

DEFECTS = {}
Share = settledshare.SettledShare


@mutants.defect(DEFECTS, Share, "update")
def spends_are_forgotten_by_a_restart(right):
    def wrong(self, share, now, proved_at):
        is_first = self.proved_at == float("-inf")
        right(self, share, now, proved_at)
        if is_first:
            self.held.popleft()

    return wrong


@mutants.defect(DEFECTS, Share, "least")
def share_of_the_newest_members(right):
    def wrong(self, now):
        right(self, now)
        return self.held[-1].share

    return wrong


@mutants.defect(DEFECTS, Share, "update")
def a_share_outlives_its_proof(right):
    def wrong(self, share, now, proved_at):
        self.proved_at = now
        right(self, share, now, proved_at)

    return wrong


@mutants.defect(DEFECTS, Share, "replace")
def a_share_lasts_for_half_of_the_span(right):
    def wrong(self, share, at):
        right(self, share, at - self.span_s / 2)

    return wrong


@mutants.defect(DEFECTS, windowbudget, "RATIO_PART")
def each_window_earns_the_whole_ratio(right):
    return 2 * right


@mutants.defect(DEFECTS, windowbudget.WindowBudget, "trim")
def retries_leave_the_window_early(right):
    def wrong(self, now):
        right(self, now + self.window_s / 2)

    return wrong


@mutants.defect(DEFECTS, windowbudget.WindowBudget, "charge")
def reserved_retries_are_sent_whenever(right):
    def wrong(self, retry, floor_share, now):
        return right(self, retry, floor_share, now) or True

    return wrong


Lender = retrylending.RetryLender


@mutants.defect(DEFECTS, Lender, "lend")
def a_new_leader_lends_at_once(right):
    def wrong(self, request, now):
        self.started_at = float("-inf")
        return right(self, request, now)

    return wrong


@mutants.defect(DEFECTS, retrylending, "loan_lifetime_s")
def a_loan_counts_for_its_own_time_only(right):
    def wrong(window_s):
        return right(window_s) - window_s

    return wrong


@mutants.defect(DEFECTS, retryloans.RetryLoans, "add")
def loans_never_end(right):
    def wrong(self, amount, until):
        right(self, amount, until + 60.0)

    return wrong


@mutants.defect(DEFECTS, retrylending, "LENDABLE_FRACTION")
def all_of_the_slack_is_lent_as_well(right):
    del right
    return 1.0
