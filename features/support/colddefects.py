"""Deliberate defects of the limit of cold endpoints, each caught by a test."""

from _coltsfootroad.core import coldlimit
from _coltsfootroad.core import recentmembers
from features.support import mutants

DEFECTS = {}
Limit = coldlimit.ColdLimit
Members = recentmembers.RecentMembers


@mutants.defect(DEFECTS, Members, "bounds")
def the_current_members_decide(original):
    def mutant(self, now):
        self.span_s = 0.0
        return original(self, now)

    return mutant


@mutants.defect(DEFECTS, Limit, "record")
def sends_count_for_less_than_their_transit(_):
    def mutant(self, endpoint_key, now, is_helper):
        del is_helper
        window = self.window(endpoint_key)
        window.leaves.append(now + coldlimit.PERIOD_S)

    return mutant


@mutants.defect(DEFECTS, Limit, "confirm")
def a_proof_never_expires(original):
    def mutant(self, proved_at):
        del proved_at
        original(self, float("inf"))

    return mutant


@mutants.defect(DEFECTS, Limit, "may_send")
def the_permission_is_not_asked_for_again(_):
    def mutant(self, endpoint_key, limit, now):
        del self, endpoint_key, limit, now
        return True

    return mutant


@mutants.defect(DEFECTS, Members, "learn")
def a_named_gateway_stays_certain(original):
    def mutant(self, changed, lost, is_whole, known, now):
        before = dict(self.presences)
        original(self, changed, lost, is_whole, known, now)
        for name, presence in self.presences.items():
            if name in before and presence.is_present:
                presence.certain_since = before[name].certain_since

    return mutant
