"""Steps for the messages that a leader sends to learners and followers."""

from behave import given
from behave import then
from behave import when

from _coltsfootroad.control import log as log_lib
from _coltsfootroad.control import peers
from _coltsfootroad.control import replicas
from features.support import logpairs
from features.support import ratedlinks


@given(
    "{voters:d} replicas with links of {mbits:g} Mbit/s and disks that sync in"
    " {sync:g} ms"
)
def replicas_of(context, voters, mbits, sync):
    context.links = ratedlinks.RatedLinks(voters, mbits, sync / 1000)


@given("a log of {count:d} commands of {size:d} bytes")
def log_of(context, count, size):
    links = context.links
    for _ in range(count):
        links.propose(1, size)
        links.run(0.3, stop=lambda: committed_all(links))
    links.run(1.0)
    context.missing_bytes = count * size
    links.lost_lease_s = 0.0
    own = links.links[links.leader.identity]
    context.before = own.sent


def committed_all(links) -> bool:
    """Return whether all proposed entries are committed."""
    leader = links.leader
    return leader.commit == leader.log.last_index


@when("{count:d} learners with empty disks are added")
def learners_added(context, count):
    context.names = [f"new{n}" for n in range(count)]
    context.missing_bytes *= count
    context.links.add_learners(context.names)


@then("they have replicated the log within {seconds:g} s")
def have_replicated(context, seconds):
    links = context.links
    took_s = links.run(seconds, stop=lambda: learned_all(context))
    assert learned_all(context), {
        name: links.rafts[f"{name}#d"].log.last_index for name in context.names
    }
    context.took_s = took_s


def learned_all(context) -> bool:
    """Return whether the learners have all entries of the leader."""
    last = context.links.leader.log.last_index
    found = [context.links.rafts[f"{n}#d"] for n in context.names]
    return all(raft.log.last_index >= last for raft in found)


@then("the leader sent at most {share:g} times the missing bytes")
def sent_at_most(context, share):
    links = context.links
    sent = links.links[links.leader.identity].sent - context.before
    assert sent <= share * context.missing_bytes, sent / context.missing_bytes


@then("the leader never lost its lease")
def never_lost_lease(context):
    assert context.links.lost_lease_s == 0.0, context.links.lost_lease_s


@when("a learner that never replies is added, for {seconds:g} s")
def never_replies(context, seconds):
    context.links.add_learners(["new0"])
    del context.links.rafts["new0#d"]
    context.links.run(seconds)


@when(
    "a learner with an empty disk is added and all messages of {seconds:g} s are"
    " lost"
)
def messages_lost(context, seconds):
    links = context.links
    context.names = ["new0"]
    links.add_learners(context.names)
    links.run(0.05)
    end = links.now + seconds
    while links.now < end:
        links.run(ratedlinks.STEP_S)
        links.mail = [item for item in links.mail if "new0" not in item[2]]


@then("a change proposed meanwhile is committed within {seconds:g} s")
def committed_soon(context, seconds):
    links = context.links
    links.run(0.3)
    index = links.leader.propose(
        log_lib.EntryKind.COMMAND, b"x" * 300, 0.0, links.now
    )
    links.run(seconds, stop=lambda: links.leader.commit >= index)
    assert links.leader.commit >= index, (links.leader.commit, index)


# Longest wait for the election of another leader.
ELECTION_S = 3.0
MARGIN_BYTES = 16 * 1024


@when("the leader is cut off and accepts {count:d} changes of {size:d} bytes")
def cut_off(context, count, size):
    links = context.links
    context.old = links.leader
    links.cut = {context.old.identity}
    links.propose(count, size, context.old)
    links.carry_out(context.old.identity)


@when(
    "another leader is elected and accepts {count:d} changes of {size:d} bytes"
)
def another_is_elected(context, count, size):
    links = context.links
    links.run(ELECTION_S, stop=lambda: other_leader(context) is not None)
    links.leader = other_leader(context)
    for _ in range(count):
        links.propose(1, size)
        links.run(0.3, stop=lambda: committed_all(links))
    assert committed_all(links)


def other_leader(context):
    """Return a leader other than the one that is cut off, None for none."""
    for raft in context.links.rafts.values():
        if raft.is_leader and raft is not context.old:
            return raft
    return None


@when(
    "the old leader reconnects while a change of {size:d} bytes is proposed every"
    " {gap:g} s"
)
def old_leader_reconnects(context, size, gap):
    links = context.links
    context.size, context.gap = size, gap
    missing = links.leader.log.slice(links.leader.term_start_index, 1 << 40)
    context.missing_bytes = sum(len(entry.data) for entry in missing)
    context.before = sent_to_old(context)
    links.cut = set()


def sent_to_old(context) -> int:
    """Return the bytes sent by the new leader to the old one."""
    links = context.links
    own = links.links[links.leader.identity]
    return own.sent_to[context.old.identity]


@then("the old leader has the log of the new leader within {seconds:g} s")
def has_log(context, seconds):
    links, old = context.links, context.old
    end = links.now + seconds
    while links.now < end and not is_repaired(context):
        links.run(context.gap, stop=lambda: is_repaired(context))
        if not is_repaired(context):
            links.propose(1, context.size)
            context.missing_bytes += context.size
    assert is_repaired(context), (
        old.log.last_index,
        links.leader.log.last_index,
        f"{sent_to_old(context) - context.before} bytes",
    )


def is_repaired(context) -> bool:
    """Return whether the old leader has all committed entries."""
    return context.old.commit >= context.links.leader.commit


@then(
    "the new leader sent it at most {share:g} times the missing bytes plus 16 KB"
)
def sent_it_at_most(context, share):
    sent = sent_to_old(context) - context.before
    most = share * context.missing_bytes + MARGIN_BYTES
    assert sent <= most, (sent, context.missing_bytes)


# --- a leader and one follower, message by message ---------------------------


@given(
    "a leader and a follower whose logs differ in {terms:d} terms of"
    " {entries:d} entries each"
)
def logs_differ(context, terms, entries):
    common = [1] * 10
    own = [2 * n + 3 for n in range(terms) for _ in range(entries)]
    other = [2 * n + 2 for n in range(terms) for _ in range(entries)]
    context.logs = (common + own, common + other)


@when("the leader probes and receives each reply {times:d} times")
def probes(context, times):
    context.pair = logpairs.Pair(*context.logs, times)
    context.pair.lead()
    context.pair.run(1.0)


@then("it has sent at most {most:d} appends before the first with entries")
def few_probes(context, most):
    appends = context.pair.appends
    first = next(n for n, append in enumerate(appends) if append.entries)
    assert first <= most, first


@then("the follower has the log of the leader")
def follower_has_log(context):
    pair = context.pair
    assert pair.follower.log.entries == pair.leader.log.entries


@given("a leader and a follower that has lost acknowledged entries")
def lost_acknowledged(context):
    context.pair = logpairs.after_loss()


@when("they run for {seconds:g} s")
def pair_runs(context, seconds):
    context.pair.run_with_third(seconds)


@then("the leader sent the follower at most {most:d} appends and no entries")
def sent_probes_only(context, most):
    appends = context.pair.appends
    entries = [append for append in appends[1:] if append.entries]
    assert len(appends) <= most and not entries, (len(appends), len(entries))


@given("a leader of four voters that removes a voter")
def removes_voter(context):
    raft = context.raft = logpairs.leader_of(4)
    voters = raft.replica_set.voters
    context.kept, context.removed = voters[1], voters[3]
    for voter in voters[1:]:
        acknowledge(context, voter, raft.log.last_index)
    wanted = replicas.ReplicaSet(voters=voters[:3])
    assert raft.change_replicas(wanted, logpairs.NOW)
    raft.take_ready()
    raft.on_synced(raft.log.last_index, logpairs.NOW)


def acknowledge(context, voter, match: int) -> None:
    """Deliver a voter's acknowledgement of the log up to an index."""
    context.raft.step(
        peers.AppendReply(
            term=context.raft.term,
            sender=voter.identity,
            success=True,
            prev_index=match,
            match=match,
            sent_at=logpairs.NOW,
        ),
        logpairs.NOW,
    )


@when("the removed voter replies last of a majority")
def removed_replies_last(context):
    index = context.raft.log.last_index
    acknowledge(context, context.kept, index)
    assert context.raft.commit < index
    context.raft.take_ready()
    acknowledge(context, context.removed, index)
    assert context.raft.commit == index


@then("the removal is committed and the removed voter is sent no more messages")
def removal_committed(context):
    raft = context.raft
    assert not raft.replica_set.is_joint
    sent = raft.take_ready().messages
    receivers = {outgoing.to for outgoing in sent}
    assert context.removed.identity not in receivers, receivers
    assert context.kept.identity in receivers, receivers
