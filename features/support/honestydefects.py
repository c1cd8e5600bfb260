"""Deliberate defects of honest service, each caught by a play of one gateway."""

import asyncio

from _coltsfootroad.core import sends
from _coltsfootroad.gateway import exchange
from _coltsfootroad.shell import clocks
from features.support import mutants

DEFECTS = {}
Exchange = exchange.Exchange
MARGIN_S = 0.05


@mutants.defect(DEFECTS, Exchange, "classify_outcome")
def a_lost_send_counts_as_not_run(original):
    def mutant(self, end, sink):
        found = original(self, end, sink)
        if found is not sends.Outcome.LOST:
            return found
        self.sends.runs -= 1
        return sends.Outcome.NOT_RUN

    return mutant


@mutants.defect(DEFECTS, Exchange, "classify_outcome")
def a_late_response_is_dropped(original):
    def mutant(self, end, sink):
        found = original(self, end, sink)
        waited_s = clocks.boot_time() - self.request.arrived_at
        is_late = waited_s > self.route.target_s
        return sends.Outcome.LOST if is_late else found

    return mutant


@mutants.defect(DEFECTS, exchange, "MIN_REMAINING_TO_SEND_S")
def a_send_is_made_with_no_time_left(_):
    return -1.0


@mutants.defect(DEFECTS, Exchange, "attempt_once")
def a_request_without_endpoints_waits_for_its_deadline(original):
    async def mutant(self):
        if self.choose(clocks.boot_time()) is None and not self.sends.count:
            left_s = self.deadline - clocks.boot_time()
            await asyncio.sleep(max(0.0, left_s - MARGIN_S))
        return await original(self)

    return mutant


@mutants.defect(DEFECTS, Exchange, "choose")
def a_request_in_five_is_refused_while_endpoints_are_free(original):
    def mutant(self, now):
        if self.request_id.endswith(("1", "6")):
            return None
        return original(self, now)

    return mutant
