"""Steps on endpoints that restart under the same name."""

import asyncio
import random

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from _coltsfootroad.control import coordinator as coordinator_lib
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.control import watching
from _coltsfootroad.core import addresses
from _coltsfootroad.core import endpointset
from _coltsfootroad.core import registry
from _coltsfootroad.core import routes
from _coltsfootroad.core import sends
from _coltsfootroad.core.placement import work as work_lib
from _coltsfootroad.core.placement import workload
from _coltsfootroad.gateway import engines
from _coltsfootroad.gateway import health
from _coltsfootroad.gateway import memoryreservation
from _coltsfootroad.gateway import responses
from _coltsfootroad.gateway import upstream

NAME = "e"
SERVICE = "s"
STATES = {
    "ready": registry.EndpointState.SERVING,
    "draining": registry.EndpointState.LEAVING,
}
MEMBER = addresses.Member(entry="g", incarnation=1, address="127.0.0.1:1")


class Site:
    """A leader and a gateway that polls it after each message."""

    def __init__(self):
        self.now = 100.0
        self.coordinator = new_coordinator(self.now)
        self.endpoints = endpointset.EndpointSet()
        self.revision = 0

    def receive(self, message: str) -> None:
        """Receive one message in the notation of the feature."""
        if message.startswith("wait "):
            self.now += float(message.removeprefix("wait "))
        else:
            self.coordinator.record_announcement(
                announcement(message), 8.0, self.now
            )
            self.now += 1.0
        self.poll()

    def poll(self, repeated: tuple = ()) -> None:
        """Let the gateway poll the leader, and report announcements to it."""
        response = watch(self.coordinator, self.now, self.revision, repeated)
        self.revision = response.registry_mark
        for found in response.changes.announcements:
            self.endpoints.learn(found, self.now)
        for name in response.changes.gone:
            self.endpoints.expire(name)
        for found in response.changes.left:
            self.endpoints.learn(found, self.now)

    def used(self) -> tuple[bool, bool]:
        """Return whether the endpoint is used, at the leader and the gateway."""
        return is_used(self.coordinator), bool(
            self.endpoints.serving_endpoints(SERVICE)
        )


def new_coordinator(now: float) -> coordinator_lib.Coordinator:
    """Return the in-memory state of a new leader."""
    return coordinator_lib.Coordinator("epoch", state_lib.ControlState(), now)


def watch(
    coordinator, now: float, revision: int, repeated: tuple = ()
) -> watching.News:
    """Return the changes since a revision."""
    request = watching.Watch(
        member=MEMBER,
        routes_version=-1,
        epoch=coordinator.epoch,
        registry_mark=revision,
        announcements=repeated,
        wait_s=0.0,
    )
    return coordinator.on_watch(request, now)


def is_used(coordinator: coordinator_lib.Coordinator) -> bool:
    """Return whether the endpoint is serving in a leader's registry."""
    known = coordinator.registry.registrations.get(NAME)
    serving = registry.EndpointState.SERVING
    return known is not None and known.announcement.state is serving


def announcement(message: str) -> registry.Announcement:
    """Return the announcement of a message in the feature."""
    number, _, state = message.rpartition(" ")
    if state == "off":
        return registry.sign_off_announcement(
            NAME, int(number or registry.NO_INCARNATION)
        )
    incarnation_text, _, seq = number.partition(".")
    return registry.Announcement(
        endpoint=NAME,
        incarnation=int(incarnation_text),
        seq=int(seq),
        service=SERVICE,
        address="127.0.0.1:2",
        state=STATES[state],
    )


@when("the leader receives {messages}")
def receives(context, messages):
    context.site = Site()
    for message in messages.split(", "):
        context.site.receive(message)


@then("the endpoint is {state} at the leader and at a gateway")
def is_known_as(context, state):
    wanted = state == "used"
    assert context.site.used() == (
        wanted,
        wanted,
    ), context.site.coordinator.registry


@when("another leader receives {message} late and then the gateway's state")
def other_leader(context, message):
    context.other = new_coordinator(200.0)
    context.other.record_announcement(announcement(message), 8.0, 200.0)
    repeated = context.site.endpoints.current_announcements()
    watch(context.other, 200.1, 0, repeated)


@then("the endpoint is {state} at the other leader")
def known_there(context, state):
    assert is_used(context.other) == (state == "used"), context.other.registry


@when("gateways repeat {messages}")
def repeat(context, messages):
    for message in messages.split(", "):
        context.site.now += 2.0
        context.site.poll((announcement(message),))


# --- any order -------------------------------------------------------------

# Each incarnation is ready, then drains, then signs off.
SCRIPT = (
    "{}.1 ready",
    "{}.2 ready",
    "{}.3 draining",
    "{}.4 draining",
    "{} off",
)


def expected(messages: list[str]) -> bool:
    """Return whether the endpoint should be used after messages in any order."""
    latest = max(incarnation_of(message) for message in messages)
    own = [message for message in messages if incarnation_of(message) == latest]
    return all(message.endswith("ready") for message in own)


def incarnation_of(message: str) -> int:
    """Return the incarnation of a message."""
    return int(message.replace(" ", ".").split(".")[0])


@then("the latest incarnation decides, in any order of its messages")
def any_order(context):
    messages = [text.format(n) for n in (7, 8, 9) for text in SCRIPT]

    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=400
    )
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(messages), min_size=1, max_size=7
        )
    )
    def holds(received):
        site = Site()
        for message in received:
            site.receive(message)
        wanted = expected(received)
        assert site.used() == (wanted, wanted), received

    holds()


# --- restarts --------------------------------------------------------------


class Scene:
    """A gateway's state of one endpoint before and after its restart."""

    def __init__(self):
        self.endpoints = endpointset.EndpointSet()
        self.load = workload.Workload()
        self.chooser = engines.Chooser(
            self.endpoints, self.load, "z", random.Random(1)
        )
        self.endpoints.learn(announcement("7.1 ready"), 1.0)
        self.earlier = self.endpoints.known[NAME]
        for _ in range(4):
            self.endpoints.on_failure(NAME, 2.0, unreachable=True)
        self.load.add(work_lib.WorkItem(endpoint=NAME, sent_at=2.0))
        change = workload.Change(1, NAME, age_ms=500)
        self.load.apply_summary(
            workload.Summary(
                gateway="h", incarnation=1, seq=1, full=True, changes=(change,)
            ),
            2.5,
        )
        self.endpoints.learn(announcement("8.1 ready"), 3.0)
        self.later = self.endpoints.known[NAME]


@when("a gateway has seen an endpoint fail and learns of its restart")
def scene(context):
    context.scene = Scene()


@then("the ejection of the earlier incarnation no longer counts")
def no_ejection(context):
    later = context.scene.later
    assert (later.failures, later.ejected_until) == (0, 0.0), later


@then("the work of the earlier incarnation no longer counts")
def no_work(context):
    spec = routes.ServiceSpec(name=SERVICE)
    choice = context.scene.chooser.choose(spec, None, set(), 3.1)
    assert choice.endpoint is context.scene.later
    assert choice.load == 0, choice


def apply_late_end(scene, status: int, end: upstream.CallEnd) -> None:
    """Apply the late end of a send to the earlier incarnation."""
    sink = responses.BufferedResponse(None, "r")
    sink.status = status
    sink.genuine = status > 0
    choice = engines.Choice(endpoint=scene.earlier)
    health.update_endpoints(
        scene.endpoints, choice, sends.Outcome.LOST, end, sink, 3.2
    )


@then("a late failure of the earlier incarnation no longer counts")
def no_failure(context):
    apply_late_end(context.scene, 0, upstream.CallEnd.NOT_SENT)
    assert context.scene.later.failures == 0


@then("a late misdirection of the earlier incarnation no longer counts")
def no_tombstone(context):
    end = upstream.CallEnd.COMPLETE
    apply_late_end(context.scene, responses.MISDIRECTED, end)
    assert context.scene.endpoints.serving_endpoints(SERVICE)


class NoGateway:
    """A gateway whose engines must not get a memory request."""

    def __init__(self, endpoints):
        self.endpoints = endpoints


@then("the memory of the earlier incarnation no longer counts")
def no_memory(context):
    gateway = NoGateway(context.scene.endpoints)
    share = memoryreservation.MemoryShare(
        endpoint=context.scene.earlier, tokens=1_000
    )
    held = memoryreservation.MemoryReservation(gateway, "r", "t", (share,))
    assert asyncio.run(held.send_request(share, None)) == 0
