"""Steps for the fault tolerance of a replica set and its log lines."""

import random
from unittest import mock

from behave import given
from behave import then
from behave import when
import logbook

from _coltsfootroad.control import peers
from _coltsfootroad.control import quorum
from _coltsfootroad.control import raft as raft_lib
from _coltsfootroad.control import replicas
from _coltsfootroad.shell import quorumlogger
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


@when("{count:d} of them do not reply")
def do_not_reply(context, count):
    unresponsive = {voter.identity for voter in context.set.voters[:count]}
    context.tolerated = quorum.failures_tolerated(context.set, unresponsive)


@then("the set tolerates {count:d} more failures")
def tolerates_failures(context, count):
    assert context.tolerated == count, context.tolerated


@given("three replicas of which one is replaced and two fail")
def one_replaced_and_two_failed(context):
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
    """Advance the time a little, and let each replica log its changes."""
    site.run_until(site.now + 0.02)
    for replica in site.replicas.values():
        if replica.node is None:
            continue
        log = logs.setdefault(
            id(replica.node), quorumlogger.QuorumLogger(replica.node)
        )
        log.log_changes(site.clock(replica))


@then('the replicas log "{what}" with {field}')
def logged_with(context, what, field):
    found = [r for r in context.records if r.message == what]
    assert found, [r.message for r in context.records]
    assert all(field in record.kwargs for record in found), found[0].kwargs


@given("three replicas of which one replies and rejects all entries")
def rejects_all_entries(context):
    site = replacements.Site(random.Random(2), losses=1)
    site.begin()
    context.lagging = site.follower()
    right = raft_lib.Raft.on_append

    def reject_entries(raft, message, now):
        if not raft.identity.startswith(context.lagging):
            right(raft, message, now)
            return
        raft.on_leader_contact(message.sender, now)
        raft.reply_append(message, False, raft.commit)

    logs = {}
    with (
        logbook.TestHandler() as handler,
        mock.patch.object(raft_lib.Raft, "on_append", reject_entries),
    ):
        for _ in range(1_500):
            step(site, logs)
    context.records = handler.records


@then('the replicas name that voter as lagging in "{what}"')
def logged_as_lagging(context, what):
    found = lines(context, what)
    named = [list(record.kwargs["lagging"]) for record in found]
    assert named and all(
        [i.partition("#")[0] for i in names] == [context.lagging]
        for names in named
    ), named
    assert not any(record.kwargs["silent"] for record in found), found


@then("they repeat the log line every {seconds:g} s")
def log_line_repeated(context, seconds):
    found = lines(context, "fault tolerance reduced")
    reduced_s = [record.kwargs["reduced_for_s"] for record in found]
    pauses = [b - a for a, b in zip(reduced_s, reduced_s[1:], strict=False)]
    assert len(pauses) >= 2, reduced_s
    assert all(seconds <= p <= 1.2 * seconds for p in pauses), pauses


@given("a candidate whose vote request is refused for {reason}")
def vote_request_refused(context, reason):
    site = replacements.Site(random.Random(3), losses=1)
    site.begin()
    candidate, other, _ = site.voters()
    for name in site.voters():
        if name != candidate:
            site.gone(name)
    context.refuser = site.identity(site.replicas[other]).identity
    context.reason = peers.Refusal(reason)
    logs = {}
    with logbook.TestHandler() as handler:
        for _ in range(300):
            step(site, logs)
            refuse(site.replicas[candidate].node, context, site.now)
    context.records = handler.records


def refuse(node, context, now: float) -> None:
    """Deliver a refusal of the candidate's pre-vote request."""
    node.on_peer(
        peers.VoteReply(
            term=0,
            sender=context.refuser,
            pre=True,
            granted=False,
            asked_term=node.raft.term + 1,
            refusal=context.reason,
        ),
        now,
    )


@then('"{what}" is logged with that reason')
def logged_with_reason(context, what):
    last = lines(context, what)[-1]
    assert last.kwargs["refused"] == {context.refuser: context.reason}, last


def lines(context, what: str) -> list:
    """Return the log records of an event."""
    return [r for r in context.records if r.message == what]


@given("{count:d} replicas that are to tolerate {losses:d} losses")
def replicas_to_tolerate_losses(context, count, losses):
    context.site = replacements.Site(
        random.Random(4), losses=losses, required_voters=2 * losses + 1
    )
    first, *rest = replacements.NAMES[:count]
    context.site.add(first, bootstrap=True)
    for name in rest:
        context.site.add(name)
    context.site.at(context.site.now, context.site.ask)


@when("the replicas have run for {seconds:d} s")
def replicas_run(context, seconds):
    logs = {}
    with logbook.TestHandler() as handler:
        for _ in range(50 * seconds):
            step(context.site, logs)
    context.records = handler.records


@then("they log an error that names {running:d} of {needed:d} replicas")
def shortage_logged(context, running, needed):
    found = lines(context, "too few replicas")
    assert found, [record.message for record in context.records]
    named = {(r.kwargs["joined"], r.kwargs["needed"]) for r in found}
    assert named == {(running, needed)}, named


@then("they do not log an error that names {running:d} of {needed:d} replicas")
def no_shortage_logged(context, running, needed):
    assert not lines(context, "too few replicas"), (running, needed)
