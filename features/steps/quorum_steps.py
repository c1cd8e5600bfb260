"""Steps on what a set of replicas bears, and how that is logged."""

import random

from behave import given
from behave import then
from behave import when
import logbook

from _coltsfootroad.control import quorum
from _coltsfootroad.control import replicas
from _coltsfootroad.shell import quorumlog
from features.support import controlmachine
from features.support import replacements


@given("a set of {count:d} voters")
def set_of_voters(context, count):
    context.set = replicas.ReplicaSet(
        voters=tuple(
            replicas.Replica(name=f"r{n}", disk="d", address=f"r{n}")
            for n in range(count)
        )
    )


@when("{count:d} of them do not answer")
def do_not_answer(context, count):
    silent = {voter.identity for voter in context.set.voters[:count]}
    context.bears = quorum.losses_borne(context.set, silent)


@then("the set bears {bears:d} more losses")
def bears_losses(context, bears):
    assert context.bears == bears, context.bears


@given("three replicas of which one is replaced and two are lost")
def replaced_and_lost(context):
    site = replacements.Site(random.Random(1), losses=1)
    site.begin()
    logs = {}
    with logbook.TestHandler() as handler:
        for _ in range(200):
            step(site, logs)
        site.gone(site.follower())
        site.added("d")
        for _ in range(600):
            step(site, logs)
        for name in list(site.voters())[:2]:
            site.gone(name)
        for _ in range(600):
            step(site, logs)
    context.records = handler.records


def step(site: controlmachine.Cluster, logs: dict) -> None:
    """Let a little time pass, and each replica log what has changed."""
    site.run_until(site.now + 0.02)
    for replica in site.replicas.values():
        if replica.node is None:
            continue
        log = logs.setdefault(
            id(replica.node), quorumlog.QuorumLog(replica.node)
        )
        log.note(site.clock(replica))


@then('the replicas log "{what}" with {field}')
def logged_with(context, what, field):
    found = [r for r in context.records if r.message == what]
    assert found, [r.message for r in context.records]
    assert all(field in record.kwargs for record in found), found[0].kwargs
