"""Steps for watches of gateways, peer links and replica membership."""

import asyncio
import random

from behave import given
from behave import then
from behave import when

from _coltsfootroad.control import coordinator as coordinator_lib
from _coltsfootroad.control import membership as membership_lib
from _coltsfootroad.control import messages
from _coltsfootroad.control import node as node_lib
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import peers
from _coltsfootroad.control import replicas
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.control import storage
from _coltsfootroad.control import watching
from _coltsfootroad.core import addresses
from _coltsfootroad.core import registry
from _coltsfootroad.fakes import ports
from _coltsfootroad.shell import links
from features.support import gatewaybed

START = 1_000.0
MEMBER = addresses.Member(entry="g1", incarnation=1, address="10.0.0.1:1")


def announcement(name: str, seq: int = 1, state="serving"):
    """Return an endpoint's announcement."""
    return registry.Announcement(
        endpoint=name,
        incarnation=1,
        seq=seq,
        service="s",
        state=registry.EndpointState(state),
    )


def watch(
    coordinator: coordinator_lib.Coordinator,
    now: float,
    revision: int = 0,
    announcements=(),
):
    """Return the response to a gateway's watch."""
    return coordinator.on_watch(
        watching.Watch(
            member=MEMBER,
            routes_version=-1,
            epoch=coordinator.epoch,
            registry_mark=revision,
            announcements=tuple(announcements),
        ),
        now,
    )


@when("versions {sent} are put")
def put_versions(context, sent):
    context.state = state_lib.ControlState()
    for version in sent.split():
        first = context.state.routes.version < int(version)
        source = f"document {version} {'first' if first else 'again'}"
        command = messages.PutRoutes(
            config=gatewaybed.config(version=int(version)),
            source=source.encode(),
        )
        answer = context.state.apply(command, 0.0)
        assert answer.version >= int(version)


@when("the state is saved and loaded")
def save_and_load(context):
    context.state = state_lib.load(state_lib.save(context.state))


@then("version {wanted:d} is in use with its own document")
def check_version_in_use(context, wanted):
    routes = context.state.routes
    assert routes.version == wanted
    assert routes.source == f"document {wanted} first".encode(), routes.source


@given('a coordinator with endpoints "{first}" and "{second}"')
def coordinator_with_endpoints(context, first, second):
    coordinator_without_endpoints(context)
    for name in (first, second):
        context.coordinator.record_announcement(announcement(name), 8.0, START)
    context.revision = watch(context.coordinator, START).registry_mark


@given("a coordinator without endpoints")
def coordinator_without_endpoints(context):
    context.coordinator = coordinator_lib.Coordinator(
        "epoch", state_lib.ControlState(), START
    )


@when('"{left}" signs off and "{lost}" sends nothing for {seconds:g} s')
def sign_off(context, left, lost, seconds):
    context.coordinator.record_announcement(
        announcement(left, 2**62, "gone"), 8.0, START + 1
    )
    context.now = START + seconds


@then('the next watch returns "{left}" as left and "{lost}" as gone')
def returns_ends(context, left, lost):
    response = watch(context.coordinator, context.now, context.revision)
    assert [sign_off.endpoint for sign_off in response.changes.left] == [
        left
    ], response
    assert response.changes.gone == (lost,), response


@when('"{left}" signs off and an earlier heartbeat of it arrives late')
def late_heartbeat(context, left):
    coordinator = context.coordinator
    coordinator.record_announcement(
        announcement(left, 2**62, "gone"), 8.0, START
    )
    coordinator.record_announcement(announcement(left, 2), 8.0, START + 1)


@then('a new watch does not return "{left}"')
def not_returned(context, left):
    response = watch(context.coordinator, START + 2)
    assert left not in [
        a.endpoint for a in response.changes.announcements
    ], response


@when("a gateway watches and reports an endpoint and a tombstone")
def report_endpoints(context):
    announcements = (announcement("alive", 7), announcement("dead", 0, "gone"))
    watch(context.coordinator, START, announcements=announcements)


@then(
    "the coordinator has the endpoint, and a late heartbeat restores no other"
)
def has_endpoint(context):
    context.coordinator.record_announcement(announcement("dead", 9), 8.0, START)
    assert list(context.coordinator.registry.registrations) == ["alive"]


@when("the process at the other end of a peer link restarts")
def restarts(context):
    context.arrived = asyncio.run(restart_under_a_link())


async def restart_under_a_link() -> bool:
    """Return whether messages arrive after the receiver has restarted."""
    address = f"127.0.0.1:{ports.free_port()}"
    arrived = asyncio.Event()

    async def on_call(_):
        return b""

    def listen():
        server = links.make_server(on_call, lambda *_: arrived.set())
        server.add_insecure_port(address)
        return server

    server = listen()
    await server.start()
    link = links.PeerLink(address, "me", "127.0.0.1:1")
    reached = await send_until(link, arrived)
    assert reached, "nothing arrived before the restart"
    await server.stop(grace=None)
    # Lets the link notice the end of the stream before the next message.
    await asyncio.sleep(0.3)
    link.send(message())
    await asyncio.sleep(0.1)
    arrived.clear()
    server = listen()
    await server.start()
    reached = await send_until(link, arrived)
    await link.close()
    await server.stop(grace=None)
    return reached


async def send_until(link: links.PeerLink, arrived: asyncio.Event) -> bool:
    """Send repeatedly until a message has arrived."""
    for _ in range(60):
        link.send(message())
        try:
            await asyncio.wait_for(arrived.wait(), 0.1)
            return True
        except TimeoutError:
            continue
    return False


def message() -> peers.VoteReply:
    """Return a message between replicas."""
    return peers.VoteReply(
        term=1, sender="me", pre=False, granted=False, asked_term=1
    )


@then("messages arrive there again")
def arrive(context):
    assert context.arrived


# --- membership ------------------------------------------------------------


def replica(name: str, disk: str = "d") -> replicas.Replica:
    """Return a replica."""
    return replicas.Replica(name=name, disk=disk, address=f"{name}:1")


@then("a joining replica that {case} is then {step}")
def next_step(context, case, step):
    membership = membership_lib.Membership(required_voters=3)
    voters = [replica(n) for n in ("a", "b", "c")]
    new = replica("d")
    silences = dict.fromkeys(("b#d", "c#d", "d#d"), 0.1)
    learners: tuple = (new,)
    if case in ("is new", "is a voter already"):
        learners = ()
    if case == "is a learner, with a voter missing":
        voters = voters[:2]
    elif case == "is a learner again with an empty disk":
        new = replica("c", "empty")
        learners = (new,)
        silences[new.identity] = 0.1
    elif case.startswith("is a learner while a voter is unresponsive"):
        silences["b#d"] = float(case.split()[-2])
    elif case.startswith("is a learner and has not answered"):
        silences["d#d"] = float(case.split()[-2])
    elif case == "is a voter already":
        new = voters[1]
    caught_up = {learner.identity for learner in learners}
    if case == "is a learner and has not caught up":
        caught_up = set()
    elif case == "is a learner beside one that has not caught up":
        slow = replica("e")
        learners = (slow, new)
        silences[slow.identity] = 0.1
    current = replicas.ReplicaSet(voters=tuple(voters), learners=learners)
    change = membership.plan_learner(new, current)
    if change is None:
        change = membership.plan_promotion(current, silences, caught_up)
    wanted = {
        "made a learner": (messages.ReplicaAction.LEARN, ""),
        "promoted": (messages.ReplicaAction.PROMOTE, ""),
        "promoted for itself": (messages.ReplicaAction.PROMOTE, "c#d"),
        "promoted for another": (messages.ReplicaAction.PROMOTE, "b#d"),
        "left alone": None,
    }[step]
    found = None if change is None else (change.action, change.replaces)
    assert found == wanted, found


def join_refusal_beside_voters(new: replicas.Replica, silence_s: float):
    """Return why a replica may not join three voters, empty if it may."""
    membership = membership_lib.Membership(required_voters=3)
    current = replicas.ReplicaSet(voters=tuple(replica(n) for n in "abc"))
    return membership.join_refusal(new, current, {"b#d": silence_s, "c#d": 0.1})


@then('a vote for a replica {that} is refused as "{reason}"')
def vote_refused(context, that, reason):
    new = {
        "without an address": replicas.Replica(name="n", disk="x", address=""),
        "without a disk": replicas.Replica(name="n", disk="", address="n:1"),
        "without a name": replicas.Replica(name="", disk="x", address="n:1"),
        "with the name of one that answers": replicas.Replica(
            name="b", disk="x", address="n:1"
        ),
        "with the address of one that answers": replicas.Replica(
            name="n", disk="x", address="b:1"
        ),
        "with the name of the leader": replicas.Replica(
            name="a", disk="x", address="n:1"
        ),
    }[that]
    found = join_refusal_beside_voters(new, 0.1)
    assert reason in found, found


@then(
    "a replica named like one that is unresponsive for {seconds:g} s is made a"
    " learner"
)
def unresponsive_namesake(context, seconds):
    assert join_refusal_beside_voters(replica("b", "empty"), seconds) == ""


@then(
    "of {voters:d} voters, one that is unresponsive for {seconds:g} s {outcome}"
)
def check_removal(context, voters, seconds, outcome):
    membership = membership_lib.Membership(required_voters=3)
    current = replicas.ReplicaSet(
        voters=tuple(replica(n) for n in "abcde"[:voters])
    )
    silences = {f"{n}#d": 0.1 for n in "bcde"[: voters - 1]}
    silences["b#d"] = seconds
    change = membership.plan_removal(current, silences)
    assert (change is not None) == (outcome == "is removed"), change


@then("a system of 1 replica that needs {needed:d} refuses a version")
def refuses(context, needed):
    node = node_lib.ControlNode(
        replica=replica("a"),
        storage=storage.MemoryStorage(),
        send=lambda *_: None,
        wall_clock=lambda: 0.0,
        rng=random.Random(1),
        membership=membership_lib.Membership(required_voters=needed),
    )
    node.bootstrap(START)
    answers = []
    command = messages.PutRoutes(config=gatewaybed.config(), source=b"x")
    node.call(command, START + 0.1, answers.append)
    assert isinstance(answers[0], outcomes.Refused), answers
    message = answers[0].failure.message
    assert message == f"1 of {needed} needed replicas have joined", message
    assert node.state.routes.version == -1
