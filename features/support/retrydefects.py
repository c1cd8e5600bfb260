"""Deliberate defects of the fleet's retry budget; histories must catch each."""

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
