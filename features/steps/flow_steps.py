"""Steps on what a leader sends to replicas that learn."""

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
    context.lacks = count * size
    links.lost_lease_s = 0.0
    own = links.links[links.leader.identity]
    context.before = own.sent


def committed_all(links) -> bool:
    """Return whether the voters have all that was proposed."""
    leader = links.leader
    return leader.commit == leader.log.last_index


@when("{count:d} replicas with empty disks begin to learn")
def begin(context, count):
    context.names = [f"new{n}" for n in range(count)]
    context.lacks *= count
    context.links.let_learn(context.names)


@then("they have all of it within {seconds:g} s")
def have_all(context, seconds):
    links = context.links
    took_s = links.run(seconds, stop=lambda: learned_all(context))
    assert learned_all(context), {
        name: links.rafts[f"{name}#d"].log.last_index for name in context.names
    }
    context.took_s = took_s


def learned_all(context) -> bool:
    """Return whether the learners have the leader's log."""
    last = context.links.leader.log.last_index
    found = [context.links.rafts[f"{n}#d"] for n in context.names]
    return all(raft.log.last_index >= last for raft in found)


@then("the leader sent at most {share:g} times what they lacked")
@then("the leader sent at most {share:g} times what it lacks")
def sent_at_most(context, share):
    links = context.links
    sent = links.links[links.leader.identity].sent - context.before
    assert sent <= share * context.lacks, sent / context.lacks


@then("the leader kept its lease all the time")
def kept_lease(context):
    assert context.links.lost_lease_s == 0.0, context.links.lost_lease_s


@when("a replica that never answers begins to learn, for {seconds:g} s")
def never_answers(context, seconds):
    context.links.let_learn(["new0"])
    del context.links.rafts["new0#d"]
    context.links.run(seconds)


@when(
    "a replica with an empty disk learns and all messages of {seconds:g} s are"
    " lost"
)
def messages_lost(context, seconds):
    links = context.links
    context.names = ["new0"]
    links.let_learn(context.names)
    links.run(0.05)
    end = links.now + seconds
    while links.now < end:
        links.run(ratedlinks.STEP_S)
        links.mail = [item for item in links.mail if "new0" not in item[2]]


@then("a change that is proposed meanwhile is committed within {seconds:g} s")
def committed_soon(context, seconds):
    links = context.links
    links.run(0.3)
    index = links.leader.propose(
        log_lib.EntryKind.COMMAND, b"x" * 300, 0.0, links.now
    )
    links.run(seconds, stop=lambda: links.leader.commit >= index)
    assert links.leader.commit >= index, (links.leader.commit, index)


# Longest wait for another leader.
ELECTION_S = 3.0
MARGIN_BYTES = 16 * 1024


@when("the leader is cut off and accepts {count:d} changes of {size:d} bytes")
def cut_off(context, count, size):
    links = context.links
    context.old = links.leader
    links.cut = {context.old.identity}
    links.propose(count, size, context.old)
    links.carry_out(context.old.identity)


@when("another one leads and accepts {count:d} changes of {size:d} bytes")
def another_leads(context, count, size):
    links = context.links
    links.run(ELECTION_S, stop=lambda: other_leader(context) is not None)
    links.leader = other_leader(context)
    for _ in range(count):
        links.propose(1, size)
        links.run(0.3, stop=lambda: committed_all(links))
    assert committed_all(links)


def other_leader(context):
    """Return a leader that is not the one that was cut off."""
    for raft in context.links.rafts.values():
        if raft.is_leader and raft is not context.old:
            return raft
    return None


@when(
    "the old leader is back while a change of {size:d} bytes comes each"
    " {gap:g} s"
)
def old_leader_back(context, size, gap):
    links = context.links
    context.size, context.gap = size, gap
    lacked = links.leader.log.slice(links.leader.term_start_index, 1 << 40)
    context.lacks = sum(len(entry.data) for entry in lacked)
    context.before = sent_to_old(context)
    links.cut = set()


def sent_to_old(context) -> int:
    """Return the bytes that the leader has sent to the old leader."""
    links = context.links
    own = links.links[links.leader.identity]
    return own.sent_to[context.old.identity]


@then("it has the log of the new leader within {seconds:g} s")
def has_log(context, seconds):
    links, old = context.links, context.old
    end = links.now + seconds
    while links.now < end and not is_repaired(context):
        links.run(context.gap, stop=lambda: is_repaired(context))
        if not is_repaired(context):
            links.propose(1, context.size)
            context.lacks += context.size
    assert is_repaired(context), (
        old.log.last_index,
        links.leader.log.last_index,
        f"{sent_to_old(context) - context.before} bytes",
    )


def is_repaired(context) -> bool:
    """Return whether the old leader holds what the new one has committed."""
    return context.old.commit >= context.links.leader.commit


@then("the new leader sent it at most {share:g} times what it lacked and 16 KB")
def sent_it_at_most(context, share):
    sent = sent_to_old(context) - context.before
    most = share * context.lacks + MARGIN_BYTES
    assert sent <= most, (sent, context.lacks)


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


@when("the leader probes and gets each response {times:d} times")
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


@given("a leader and a follower that lost entries which it had acknowledged")
def lost_acknowledged(context):
    context.pair = logpairs.after_loss()


@when("time passes for {seconds:g} s")
def time_passes(context, seconds):
    context.pair.run_with_third(seconds)


@then("the leader sent it at most {most:d} appends and no entries")
def sent_probes_only(context, most):
    appends = context.pair.appends
    entries = [append for append in appends[1:] if append.entries]
    assert len(appends) <= most and not entries, (len(appends), len(entries))


@given("a leader of four voters that removes one")
def removes_one(context):
    raft = context.raft = logpairs.leader_of(4)
    voters = raft.replica_set.voters
    context.kept, context.removed = voters[1], voters[3]
    for voter in voters[1:]:
        respond(context, voter, raft.log.last_index)
    wanted = replicas.ReplicaSet(voters=voters[:3])
    assert raft.change_replicas(wanted, logpairs.NOW)
    raft.take_ready()
    raft.on_synced(raft.log.last_index, logpairs.NOW)


def respond(context, voter, match: int) -> None:
    """Let a voter acknowledge the log up to an entry."""
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


@when("the one to be removed responds last of a majority")
def removed_responds_last(context):
    index = context.raft.log.last_index
    respond(context, context.kept, index)
    assert context.raft.commit < index
    context.raft.take_ready()
    respond(context, context.removed, index)
    assert context.raft.commit == index


@then("the removal is committed and the removed one is sent nothing more")
def removal_committed(context):
    raft = context.raft
    assert not raft.replica_set.is_joint
    sent = raft.take_ready().messages
    receivers = {outgoing.to for outgoing in sent}
    assert context.removed.identity not in receivers, receivers
    assert context.kept.identity in receivers, receivers
