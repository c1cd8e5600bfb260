"""Steps for elections of replicas that stall or sync slowly, in virtual time."""

import random

from behave import given
from behave import then
from behave import when

from features.support import lateprocesses

HISTORIES = 6


@given(
    "{count:d} replicas that stall for up to {stall:g} s, {together}, and sync"
    " in up to {sync:g} s"
)
def replicas_that_stall(context, count, stall, together, sync):
    lateness = lateprocesses.Lateness(
        stall_s=stall, sync_s=sync, at_once=together == "together"
    )
    context.late = [
        lateprocesses.LateCluster(random.Random(seed), lateness, count)
        for seed in range(HISTORIES)
    ]


@when("they run for {seconds:d} s, in 6 histories")
def run_histories(context, seconds):
    for cluster in context.late:
        cluster.run(seconds)


@when(
    "they run for {seconds:d} s and {more:d} s more without their leader, in"
    " 6 histories"
)
def run_and_lose_leader(context, seconds, more):
    for cluster in context.late:
        cluster.run(seconds)
        cluster.lose_leader()
        cluster.run(more)


@then("none is without a leader for {longest:g} s")
def leader_elected_in_time(context, longest):
    without_leader_s = [round(cluster.longest_s, 1) for cluster in context.late]
    assert max(without_leader_s) < longest, without_leader_s


@then(
    "none is without a leader for {longest:g} s, and all have one for over half"
    " of the time"
)
def leader_most_of_the_time(context, longest):
    leader_elected_in_time(context, longest)
    shares = [
        cluster.led_s / (cluster.now - lateprocesses.START_S)
        for cluster in context.late
    ]
    assert min(shares) > 0.5, shares
