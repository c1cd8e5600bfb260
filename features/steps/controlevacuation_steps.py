"""Steps for evacuated zones in the replicated state."""

import asyncio

from behave import given
from behave import then
from behave import when
from expression import Ok

from _coltsfootroad.control import commandlog
from _coltsfootroad.control import coordinator as coordinator_lib
from _coltsfootroad.control import evacuations
from _coltsfootroad.control import fleetstate
from _coltsfootroad.control import outcomes
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.core import errors
from _coltsfootroad.core import evacuation
from _coltsfootroad.shell import evacuationcalls

ZONE = "za"
STEP_S = 0.2
SETTLE_S = 3.0


class CallSequence:
    """Carries out calls such as `order, withdraw read, order, withdraw late`.

    A call that is `read` learns the zone's revision; its proposal is made
    where the call is `late`.
    """

    def __init__(self, call_leader):
        self.call_leader = call_leader
        self.delayed: dict[str, object] = {}
        self.result = None

    async def run(self, calls: str) -> None:
        """Carry out calls one after the other."""
        for call in calls.split(", "):
            verb, _, part = call.partition(" ")
            if part == "read":
                copy = await evacuationcalls.read(self.call_leader)
                self.delayed[verb] = evacuations.SetEvacuation(
                    zone=ZONE,
                    evacuated=verb == "order",
                    after_revision=copy.ok.order(ZONE).revision,
                )
            elif part == "late":
                await self.call_leader(self.delayed.pop(verb))
            else:
                self.result = await evacuationcalls.change(
                    self.call_leader, (), ZONE, verb == "order"
                )
                assert self.result.is_ok(), self.result


def site_caller(site):
    """Return a function that calls the leader of a simulated site."""

    async def call(message):
        operation = site.call(site.leader().name, message, roam=False)
        site.run_until(site.now + STEP_S)
        return Ok(operation.answer)

    return call


@when('the calls "{calls}" reach control')
def calls_reach_control(context, calls):
    sequence = CallSequence(site_caller(context.site))
    asyncio.run(sequence.run(calls))
    context.result = sequence.result


@when("an order is committed and the leader is lost before it responds")
def lost_before_response(context):
    site = context.site
    leader = site.leader()
    command = evacuations.SetEvacuation(
        zone=ZONE, evacuated=True, after_revision=0
    )
    replies = []
    leader.node.call(command, site.clock(leader), replies.append)
    leader.node.process(site.clock(leader))
    # The followers have stored the entry; their replies commit it.
    while leader.node.raft.commit < leader.node.raft.log.last_index:
        site.run_until(site.now + 0.001)
    site.crash(leader)
    site.run_until(site.now + SETTLE_S)
    site.start(leader)
    site.run_until(site.now + SETTLE_S)


@then("the last call is acknowledged")
def last_acknowledged(context):
    assert context.result.ok.evacuated, context.result


@then("every replica holds change {change:d} of the zone, {state}")
def every_replica_holds_order(context, change, state):
    site = context.site
    site.run_until(site.now + SETTLE_S)
    for replica in site.replicas.values():
        check_order(replica.node.state, change, state)


def check_order(found: state_lib.ControlState, change: int, state: str):
    """Check the zone's newest order."""
    order = found.evacuation.order(ZONE)
    wanted = evacuation.ZoneOrder(
        zone=ZONE, evacuated=state == "evacuated", revision=change
    )
    assert order == wanted, order


@then("the leader publishes the zone as evacuated")
def leader_publishes(context):
    coordinator = context.site.leader().node.coordinator
    assert coordinator.fleet_state.evacuated.values() == [ZONE]


# --- other builds ----------------------------------------------------------


@when('a replica without evacuation applies the log of "{calls}"')
def older_replica_applies(context, calls):
    context.newer = state_lib.ControlState()
    context.older = state_lib.ControlState()

    async def call(message):
        if isinstance(message, evacuations.ReadEvacuations):
            orders = context.newer.evacuation.orders.values()
            return Ok(evacuations.EvacuationsCopy(orders=tuple(orders)))
        data = commandlog.pack(message).ok
        # An older build decodes the log without `evacuations.from_log`.
        context.older.apply(state_lib.COMMANDS.decode(data).ok, 1.0)
        return Ok(context.newer.apply(commandlog.unpack(data).ok, 1.0))

    asyncio.run(CallSequence(call).run(calls))


@then("its state equals that of a replica with evacuation")
def states_are_equal(context):
    assert context.older.leases == context.newer.leases
    assert not context.older.evacuation.orders


@then("its snapshot holds change {change:d} of the zone, {state}")
def snapshot_holds(context, change, state):
    loaded = state_lib.load(state_lib.save(context.older))
    check_order(loaded, change, state)


@when("a leader refuses the calls as unknown messages")
def unknown_messages(context):
    async def call(_message):
        failure = errors.Failure(errors.ErrorCode.BAD_REQUEST, "not known")
        return Ok(outcomes.Refused(failure=failure))

    context.result = asyncio.run(
        evacuationcalls.change(call, (), ZONE, evacuated=True)
    )


@then("the call is refused as unavailable, to be resent")
def refused_as_unavailable(context):
    failure = context.result.error
    assert failure.http_status == 503, failure
    assert failure.retry_after_s > 0, failure


# --- publication -----------------------------------------------------------


@when(
    'zones "{evacuated}" are evacuated, "{restored}" is restored, and a watcher'
    " asks"
)
def watcher_asks(context, evacuated, restored):
    for zone in evacuated.split():
        context.fleet_state.put_evacuated(zone)
    context.fleet_state.drop_evacuated(restored)
    context.page = context.fleet_state.page("", 0)
    assert context.page.changes.more


@then(
    'its first page names "{evacuated}" as evacuated and "{restored}" as restored'
)
def first_page_names(context, evacuated, restored):
    changes = context.page.changes
    assert changes.evacuated == (evacuated,), changes.evacuated
    assert changes.restored == (restored,), changes.restored


@then('a copy of the last page publishes "{zones}" alone')
def copy_publishes(context, zones):
    copy = fleetstate.FleetState()
    page = context.page
    while True:
        copy.apply_response(page)
        if not page.changes.more:
            break
        page = context.fleet_state.page(page.epoch, page.registry_mark)
    published = copy.page("", 0).changes.evacuated
    assert published == tuple(zones.split()), published


@given('a copy of the fleet state in which "{zone}" is evacuated')
def copy_of_fleet_state(context, zone):
    context.fleet_state = fleetstate.FleetState()
    context.fleet_state.start_epoch("a/1")
    context.fleet_state.put_evacuated(zone)


@when('a replica that has stored the order for "{zone}" alone takes over')
def takes_over(context, zone):
    state = state_lib.ControlState()
    command = evacuations.SetEvacuation(
        zone=zone, evacuated=True, after_revision=0
    )
    state.apply(command, 1.0)
    coordinator = coordinator_lib.Coordinator(
        epoch="b/2",
        state=state,
        started_at=1.0,
        fleet_state=context.fleet_state,
    )
    known = context.fleet_state.continued["a/1"]
    context.page = coordinator.fleet_state.page("a/1", known)
