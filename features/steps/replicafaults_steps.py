"""Steps for exceptions in a replica."""

import asyncio
import errno
import random
import types
from unittest import mock

import attrs
from behave import given
from behave import then
from behave import when
import logbook
import msgspec

from _coltsfootroad.control import configstore
from _coltsfootroad.control import coordinator
from _coltsfootroad.control import crashreports
from _coltsfootroad.control import log as log_lib
from _coltsfootroad.control import membership
from _coltsfootroad.control import messages
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import peers
from _coltsfootroad.control import reads
from _coltsfootroad.control import replicas
from _coltsfootroad.control import retrylending
from _coltsfootroad.core import errors
from _coltsfootroad.shell import controlserver
from _coltsfootroad.shell import quorumlogger
from _coltsfootroad.shell import wireformats
from features.support import replacements


@when("a step of a replica fails with {name}")
def step_fails(context, name):
    kinds = {
        "OSError": OSError(errno.EIO, "read-only"),
        "KeyError": KeyError("r9"),
        "BrokenInvariantError": errors.BrokenInvariantError("two leaders"),
    }

    def fail():
        raise kinds[name]

    async def run():
        broken = asyncio.get_running_loop().create_future()
        server = types.SimpleNamespace(fatal_error=broken)
        controlserver.ControlServer.run_critical(server, fail)
        context.ended_with = broken.exception()

    with logbook.TestHandler() as handler:
        asyncio.run(run())
    context.records = handler.records


@then("the replica terminates and logs {name}")
def replica_terminates(context, name):
    assert type(context.ended_with).__name__ == name, context.ended_with
    (record,) = [r for r in context.records if r.level_name == "CRITICAL"]
    assert name in record.kwargs["fault"], record.kwargs


@given("three replicas with a command that cannot be applied")
def cannot_be_applied(context):
    context.site = replacements.Site(random.Random(8))
    context.site.begin()
    right = configstore.ConfigStore.apply

    def fail_once(store, command):
        if command.patch_id == context.failing:
            raise ZeroDivisionError
        return right(store, command)

    context.failing = f"w{context.site.writes + 1}"
    patched = mock.patch.object(configstore.ConfigStore, "apply", fail_once)
    patched.start()
    context.add_cleanup(patched.stop)


@when("it is proposed, followed by another command")
def proposed_in_turn(context):
    site = context.site
    leader = site.leader()
    context.answers = []
    context.logs = {}
    with logbook.TestHandler() as handler:
        for _ in range(2):
            site.call_leader(context.answers)
            log_for(context, 1.0)
        assert site.leader() is leader
    context.records = handler.records


def log_for(context, seconds: float) -> None:
    """Advance the time, and let each replica log its changes."""
    site = context.site
    end = site.now + seconds
    while site.now < end:
        site.run_until(site.now + 0.05)
        for replica in site.replicas.values():
            if replica.node is not None:
                known = context.logs.setdefault(
                    id(replica.node), quorumlogger.QuorumLogger(replica.node)
                )
                known.log_changes(site.clock(replica))


@then("the first is refused as internal and the second is applied")
def first_refused(context):
    first, second = context.answers
    assert isinstance(first, outcomes.Refused), first
    assert first.failure.code is errors.ErrorCode.INTERNAL, first
    assert not isinstance(second, outcomes.Refused), second


@then("all replicas keep running and log the skipped command once each")
def logged_once(context):
    site = context.site
    assert all(site.is_up(name) for name in site.replicas)
    found = [r for r in context.records if r.message == "command not applied"]
    assert len(found) == len(site.replicas), found
    assert all("ZeroDivisionError" in r.kwargs["fault"] for r in found), found


@then("the same holds after a restart of all replicas")
def holds_after_restart(context):
    site = context.site
    site.take_step("all restarted for 1.0 s")
    with logbook.TestHandler() as handler:
        log_for(context, 4.0)
    context.records = handler.records
    logged_once(context)
    assert not site.faults()


def fail(*_):
    """Fail to handle a call."""
    raise ZeroDivisionError


JOINING = replicas.Replica(name="z", disk="d", address="z")
# A call of each kind, and what makes it fail.
FAILING_CALLS = {
    "a read": (
        messages.ReadRoutes(),
        lambda: mock.patch.dict(reads.ANSWERS, {messages.ReadRoutes: fail}),
    ),
    "a report of crashes": (
        crashreports.ReportCrashes(gateway="g"),
        lambda: mock.patch.object(
            coordinator.Coordinator, "record_crashes", fail
        ),
    ),
    "a request for retries": (
        retrylending.BorrowRetries(
            gateway="g", service="s", wanted=1, slack=9.0, window_s=9.0
        ),
        lambda: mock.patch.object(retrylending.RetryLender, "lend", fail),
    ),
    "a request to join": (
        messages.JoinReplica(replica=JOINING),
        lambda: mock.patch.object(membership.Membership, "join_refusal", fail),
    ),
    "a request to leave": (
        messages.LeaveReplica(replica=JOINING),
        lambda: mock.patch.object(membership.Membership, "plan_leave", fail),
    ),
}


@given("a leader that fails to answer {call}")
def fails_to_answer(context, call):
    context.site = replacements.Site(random.Random(8))
    context.site.begin()
    context.call, make_fail = FAILING_CALLS[call]
    patched = make_fail()
    patched.start()
    context.add_cleanup(patched.stop)


@when("it receives such a call, followed by a change")
def receives_failing_call(context):
    site = context.site
    leader = site.leader()
    context.answers = []
    context.logs = {}
    with logbook.TestHandler() as handler:
        now = site.clock(leader)
        call = leader.node.call
        site.guard(leader, call, context.call, now, context.answers.append)
        site.call_leader(context.answers)
        log_for(context, 1.0)
    context.records = handler.records
    assert site.leader() is leader


@then('the leader logs "{what}" with the exception')
def leader_logs(context, what):
    (record,) = [r for r in context.records if r.message == what]
    assert "ZeroDivisionError" in record.kwargs["fault"], record.kwargs


@given("three replicas that take changes")
def replicas_that_take_changes(context):
    context.site = replacements.Site(random.Random(8))
    context.site.begin()


def unencodable(call: str) -> object:
    """Return a call with a text that has no UTF-8 form."""
    if call == "a command":
        return messages.PatchConfig(
            patch_id="\ud800", base_version=0, patch=b"{}"
        )
    return messages.ChangeReplicas(
        action=messages.ReplicaAction.LEARN,
        replica=replicas.Replica(name="\ud800", disk="d", address="z"),
    )


@when(
    "{who} receives {call} with half a surrogate pair, followed by another"
    " change"
)
def receives_unencodable(context, who, call):
    site = context.site
    leader = site.leader()
    replica = leader
    if who == "a follower":
        replica = site.replicas[site.follower()]
    context.leader = leader
    context.before = leader.node.raft.replica_set
    context.answers = []
    now = site.clock(replica)
    site.guard(
        replica,
        replica.node.call,
        unencodable(call),
        now,
        context.answers.append,
    )
    site.guard(replica, replica.node.process, now)
    site.call_leader(context.answers)
    site.run_until(site.now + 1.0)


@then("it is refused without an effect and the other change is applied")
def refused_without_effect(context):
    site = context.site
    first, second = context.answers
    assert isinstance(first, outcomes.Refused | outcomes.NotLeader), first
    assert isinstance(second, messages.PatchAnswer), second
    assert second.failure is None, second
    assert site.leader() is context.leader
    assert all(site.is_up(name) for name in site.replicas)
    node = context.leader.node
    assert node.raft.replica_set == context.before, node.raft.replica_set
    assert "\ud800" not in node.state.configs.answers
    assert not site.faults()


def raft_message(fault: str, term: int, sender: str) -> peers.PeerMessage:
    """Return a message of a newer leader with one fault."""
    entry = log_lib.Entry(term=term, index=1, kind=log_lib.EntryKind.NOOP)
    append = peers.Append(
        term=term,
        sender=sender,
        prev_index=0,
        prev_term=0,
        entries=(),
        commit=0,
        sent_at=0.0,
    )
    evolve = attrs.evolve
    kind = log_lib.EntryKind.REPLICAS
    chunk = peers.SnapshotChunk(
        term=term,
        sender=sender,
        meta=log_lib.SnapshotMeta(index=-1),
        offset=0,
        data=b"",
        sent_at=0.0,
    )
    return {
        "term is 2**64 - 1": evolve(append, term=2**64 - 1),
        "term is negative": evolve(append, term=-1),
        "commit index is 2**64 - 1": evolve(append, commit=2**64 - 1),
        "entry has another index": evolve(
            append, entries=(evolve(entry, index=3),)
        ),
        "entry is of a later term": evolve(
            append, entries=(evolve(entry, term=term + 1),)
        ),
        "entry holds no replica set": evolve(
            append, entries=(evolve(entry, kind=kind),)
        ),
        "snapshot has a negative index": chunk,
    }[fault]


@when("a replica receives a Raft message whose {fault}")
def receives_raft_message(context, fault):
    site = replacements.Site(random.Random(8))
    site.begin()
    replica = site.replicas[site.follower()]
    raft = replica.node.raft
    context.state = lambda: (raft.hard_state, raft.commit, raft.log.last_index)
    context.before = context.state()
    server = types.SimpleNamespace(
        node=replica.node,
        clock=lambda: site.clock(replica),
        on_stream=lambda *_: None,
        run_critical=lambda function, *arguments: function(*arguments),
        schedule_tick=lambda: None,
    )
    sender = raft.leader
    message = raft_message(fault, raft.term + 1, sender)
    with logbook.TestHandler() as handler:
        controlserver.ControlServer.on_peer(
            server, sender, "", wireformats.PEERS.encode(message)
        )
    context.records = handler.records


@then("the message is dropped with a log line, and the replica keeps its state")
def message_is_dropped(context):
    events = [record.message for record in context.records]
    assert events == ["peer message dropped"], events
    assert context.state() == context.before


@when("a replica receives a snapshot that cannot be read")
def receives_unreadable_snapshot(context):
    context.site = replacements.Site(random.Random(8))
    context.site.begin()
    site = context.site
    context.replica = site.replicas[site.follower()]
    node = context.replica.node
    context.before = node.state.configs.version
    data = b"no snapshot"
    meta = log_lib.SnapshotMeta(
        index=node.raft.log.last_index + 9,
        term=node.raft.term,
        replica_set=node.raft.replica_set,
        size=len(data),
    )
    chunk = peers.SnapshotChunk(
        term=node.raft.term,
        sender=node.raft.leader,
        meta=meta,
        offset=0,
        data=data,
        sent_at=0.0,
    )
    context.error = None
    try:
        node.on_peer(chunk, site.clock(context.replica))
    except msgspec.MsgspecError as error:
        context.error = error


@then("the replica terminates, and starts again with its earlier state")
def starts_again(context):
    assert context.error is not None
    site = context.site
    name = context.replica.name
    site.take_step(f"{name} restarted for 1.0 s")
    site.run_until(site.now + 4.0)
    node = site.replicas[name].node
    assert node is not None
    assert node.state.configs.version >= context.before
    assert not site.faults()
