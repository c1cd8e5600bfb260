"""Steps on endpoints that start again under the name that they had."""

import asyncio
import random

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from _coltsfootroad.control import hub as hub_lib
from _coltsfootroad.control import state as state_lib
from _coltsfootroad.control import watching
from _coltsfootroad.core import addresses
from _coltsfootroad.core import endpointset
from _coltsfootroad.core import registry
from _coltsfootroad.core import routes
from _coltsfootroad.core import sends
from _coltsfootroad.core import work as work_lib
from _coltsfootroad.core import workload
from _coltsfootroad.gateway import answers
from _coltsfootroad.gateway import engines
from _coltsfootroad.gateway import health
from _coltsfootroad.gateway import tickets
from _coltsfootroad.gateway import upstream

NAME = "e"
SERVICE = "s"
STATES = {
    "ready": registry.EndpointState.SERVING,
    "draining": registry.EndpointState.LEAVING,
}
MEMBER = addresses.Member(entry="g", incarnation=1, address="127.0.0.1:1")


class Heard:
    """A leader and a gateway that asks it for news after each word."""

    def __init__(self):
        self.now = 100.0
        self.hub = new_hub(self.now)
        self.endpoints = endpointset.EndpointSet()
        self.mark = 0

    def hear(self, word: str) -> None:
        """Take one word, as the feature writes them."""
        if word.startswith("wait "):
            self.now += float(word.removeprefix("wait "))
        else:
            self.hub.take_announcement(announcement(word), 8.0, self.now)
            self.now += 1.0
        self.ask()

    def ask(self, brought: tuple = ()) -> None:
        """Let the gateway ask for news."""
        news = watch(self.hub, self.now, self.mark, brought)
        self.mark = news.registry_mark
        for found in news.changes.announcements:
            self.endpoints.learn(found, self.now)
        for name in news.changes.gone:
            self.endpoints.expire(name)
        for found in news.changes.left:
            self.endpoints.learn(found, self.now)

    def used(self) -> tuple[bool, bool]:
        """Return whether the endpoint is used, there and here."""
        return is_used(self.hub), bool(
            self.endpoints.serving_endpoints(SERVICE)
        )


def new_hub(now: float) -> hub_lib.Hub:
    """Return the soft state of a new leader."""
    return hub_lib.Hub("epoch", state_lib.ControlState(), now)


def watch(hub, now: float, mark: int, brought: tuple = ()) -> watching.News:
    """Return the news since a mark."""
    question = watching.Watch(
        member=MEMBER,
        routes_version=-1,
        epoch=hub.epoch,
        registry_mark=mark,
        announcements=brought,
        wait_s=0.0,
    )
    return hub.on_watch(question, now)


def is_used(hub: hub_lib.Hub) -> bool:
    """Return whether a leader tells of the endpoint as serving."""
    known = hub.registry.registrations.get(NAME)
    serving = registry.EndpointState.SERVING
    return known is not None and known.announcement.state is serving


def announcement(word: str) -> registry.Announcement:
    """Return what a word of the feature stands for."""
    mark, _, state = word.rpartition(" ")
    if state == "off":
        return registry.sign_off_announcement(
            NAME, int(mark or registry.NO_INCARNATION)
        )
    start, _, seq = mark.partition(".")
    return registry.Announcement(
        endpoint=NAME,
        incarnation=int(start),
        seq=int(seq),
        service=SERVICE,
        address="127.0.0.1:2",
        state=STATES[state],
    )


@when("the leader hears {words}")
def hears(context, words):
    context.heard = Heard()
    for word in words.split(", "):
        context.heard.hear(word)


@then("the endpoint is {state} at the leader and at a gateway")
def is_known_as(context, state):
    wanted = state == "used"
    assert context.heard.used() == (wanted, wanted), context.heard.hub.registry


@when("another leader hears {word} late and then the gateway")
def other_leader(context, word):
    context.other = new_hub(200.0)
    context.other.take_announcement(announcement(word), 8.0, 200.0)
    brought = context.heard.endpoints.current_announcements()
    watch(context.other, 200.1, 0, brought)


@then("the endpoint is {state} at the other leader")
def known_there(context, state):
    assert is_used(context.other) == (state == "used"), context.other.registry


@when("gateways bring along {words}")
def bring(context, words):
    for word in words.split(", "):
        context.heard.now += 2.0
        context.heard.ask((announcement(word),))


# --- any order -------------------------------------------------------------

# Each start says it is ready, then that it drains, then signs off.
SCRIPT = (
    "{}.1 ready",
    "{}.2 ready",
    "{}.3 draining",
    "{}.4 draining",
    "{} off",
)


def expected(words: list[str]) -> bool:
    """Return whether the endpoint is to be used after words in any order."""
    latest = max(start_of(word) for word in words)
    own = [word for word in words if start_of(word) == latest]
    return all(word.endswith("ready") for word in own)


def start_of(word: str) -> int:
    """Return the start that a word is of."""
    return int(word.replace(" ", ".").split(".")[0])


@then("the latest start that was heard decides, in any order of its words")
def any_order(context):
    words = [text.format(n) for n in (7, 8, 9) for text in SCRIPT]

    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=400
    )
    @hypothesis.given(
        strategies.lists(strategies.sampled_from(words), min_size=1, max_size=7)
    )
    def holds(said):
        heard = Heard()
        for word in said:
            heard.hear(word)
        wanted = expected(said)
        assert heard.used() == (wanted, wanted), said

    holds()


# --- beliefs ---------------------------------------------------------------


class Scene:
    """A gateway's beliefs of one endpoint before and after its restart."""

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
        self.load.add(work_lib.Work(endpoint=NAME, sent_at=2.0))
        told = workload.Change(1, NAME, age_ms=500)
        self.load.take(
            workload.Summary(
                gateway="h", incarnation=1, seq=1, full=True, changes=(told,)
            ),
            2.5,
        )
        self.endpoints.learn(announcement("8.1 ready"), 3.0)
        self.later = self.endpoints.known[NAME]


@when("a gateway has seen an endpoint fail and hears that it started again")
def scene(context):
    context.scene = Scene()


@then("the rest of the earlier start counts no more")
def no_rest(context):
    later = context.scene.later
    assert (later.failures, later.ejected_until) == (0, 0.0), later


@then("the work of the earlier start counts no more")
def no_work(context):
    spec = routes.ServiceSpec(name=SERVICE)
    choice = context.scene.chooser.choose(spec, None, set(), 3.1)
    assert choice.endpoint is context.scene.later
    assert choice.load == 0, choice


def note_late(scene, status: int, end: upstream.CallEnd) -> None:
    """Tell the endpoint set how a send to the earlier start ended."""
    sink = answers.HeldAnswer(None, "r")
    sink.status = status
    sink.genuine = status > 0
    choice = engines.Choice(endpoint=scene.earlier)
    health.note(scene.endpoints, choice, sends.Outcome.LOST, end, sink, 3.2)


@then("the failure that is late of the earlier start counts no more")
def no_failure(context):
    note_late(context.scene, 0, upstream.CallEnd.NOT_SENT)
    assert context.scene.later.failures == 0


@then("the misdirection that is late of the earlier start counts no more")
def no_burial(context):
    end = upstream.CallEnd.COMPLETE
    note_late(context.scene, answers.MISDIRECTED, end)
    assert context.scene.endpoints.serving_endpoints(SERVICE)


class NoGateway:
    """Stands for a gateway whose engines must get no order."""

    def __init__(self, endpoints):
        self.endpoints = endpoints


@then("the memory of the earlier start counts no more")
def no_memory(context):
    gateway = NoGateway(context.scene.endpoints)
    share = tickets.Share(endpoint=context.scene.earlier, tokens=1_000)
    held = tickets.TicketSet(gateway, "r", "t", (share,))
    assert asyncio.run(held.order(share, None)) == 0
