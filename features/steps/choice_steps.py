"""Steps on choosing among many engines, without a network."""

import random

from behave import given
from behave import then
from behave import when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from _coltsfootroad.core import endpointset
from _coltsfootroad.core import registry
from _coltsfootroad.core import routes
from _coltsfootroad.core.placement import candidates
from _coltsfootroad.core.placement import engineplacement
from _coltsfootroad.core.placement import work as work_lib
from _coltsfootroad.core.placement import workload
from _coltsfootroad.gateway import engines as engines_lib
from benchmarks import mixes

SPEC = mixes.spec(5, 450_000, 73)
SERVICE = routes.ServiceSpec(name="s", engine=SPEC)
QUIET = settings(
    derandomize=True, database=None, deadline=None, max_examples=150
)
NAMES = tuple(f"e{n}" for n in range(6))
LENGTHS = {"short": 5_000, "long": 300_000}


def prompt_of(tokens: int) -> engineplacement.Prompt:
    """Return a prompt of a length with the targets of its kind."""
    short = tokens < 10_000
    return engineplacement.Prompt(
        prompt_tokens=tokens,
        output_tokens=800,
        target_s=0.3 if short else 4.0,
        gap_target_s=0.25 if short else 1.0,
    )


def announce(endpoints, name: str, zone: str = "", seq: int = 1) -> None:
    """Announce an engine."""
    endpoints.learn(
        registry.Announcement(
            endpoint=name,
            incarnation=1,
            seq=seq,
            service="s",
            availability_zone=zone,
        )
    )


# --- histories -------------------------------------------------------------

ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["add", "write", "late", "remove", "tell", "full", "end", "expire"]
        ),
        st.integers(0, 5),
        st.integers(0, 7),
    ),
    max_size=40,
)


class History:
    """Applies random actions to a workload."""

    def __init__(self):
        self.load = workload.Workload()
        self.now = 10.0
        self.seqs = {"g1": 0, "g2": 0}

    def play(self, actions) -> None:
        """Apply actions, a tenth of a second apart."""
        for action, place, key in actions:
            self.now += 0.1
            getattr(self, "do_" + action)(place, key)

    def do_add(self, place, key):
        """Add an own work item."""
        self.load.add(
            work_lib.WorkItem(
                endpoint=NAMES[place],
                prompt_tokens=40_000 * (1 + key),
                sent_at=self.now,
                gap_target_s=0.25,
                late=key % 3 == 0,
            )
        )

    def own_key(self, key):
        """Return the key of an own work item, None if there is none."""
        keys = sorted(self.load.own)
        return keys[key % len(keys)] if keys else None

    def do_write(self, _place, key):
        """Record the first event of an own work item."""
        found = self.own_key(key)
        if found is not None:
            self.load.own[found].writing = True
            self.load.mark_changed(found)

    def do_late(self, _place, key):
        """Drop the gap target of an own work item."""
        found = self.own_key(key)
        if found is not None:
            self.load.own[found].gap_target_s = 0.0
            self.load.mark_changed(found)

    def do_remove(self, _place, key):
        """Remove an own work item."""
        found = self.own_key(key)
        if found is not None:
            self.load.remove(found)

    def receive_summary(self, place, changes, full):
        """Apply another gateway's summary."""
        gateway = "g1" if place % 2 else "g2"
        self.seqs[gateway] += 1
        self.load.apply_summary(
            workload.Summary(
                gateway=gateway,
                incarnation=1,
                seq=self.seqs[gateway],
                full=full,
                changes=changes,
            ),
            self.now,
        )

    def change(self, place, key):
        """Return a work item of another gateway."""
        return workload.Change(
            key,
            NAMES[place],
            prompt_tokens=20_000 * (1 + place),
            writing=key % 2 == 0,
            late=place % 2 == 0,
        )

    def do_tell(self, place, key):
        """Receive one work item."""
        self.receive_summary(place, (self.change(place, key),), False)

    def do_full(self, place, key):
        """Receive all work items of a gateway."""
        self.receive_summary(place, (self.change(place, key),), True)

    def do_end(self, place, key):
        """Receive the end of a work item."""
        self.receive_summary(place, (workload.Change(key),), False)

    def do_expire(self, _place, _key):
        """Advance the time and expire old work."""
        self.now += 1.5
        self.load.expire(self.now)

    def all_works(self):
        """Return all work items with their keys."""
        found = [(("", k), w) for k, w in self.load.own.items()]
        for name, foreign in self.load.foreign.items():
            found += [((name, k), w) for k, w in foreign.works.items()]
        return found


@then("after random histories of own and others' work the index holds all work")
def same_by_endpoint(context):
    @QUIET
    @drawn(ACTIONS)
    def check(actions):
        history = History()
        history.play(actions)
        index = history.load.index
        wanted = {}
        for key, work in history.all_works():
            wanted.setdefault(work.endpoint, {})[key] = work
        assert {n: at.works for n, at in index.loads.items()} == wanted
        late = {
            name: {key for key, work in works.items() if work.is_late_waiting}
            for name, works in wanted.items()
        }
        assert index.late == {name: keys for name, keys in late.items() if keys}
        for name, works in wanted.items():
            prefilling_now = any(not work.writing for work in works.values())
            assert index.at(name).is_prefilling == prefilling_now

    check()


@then("after random histories cached and new states lead to the same choice")
def choose_alike(context):
    @QUIET
    @drawn(ACTIONS, ACTIONS, st.sampled_from([5_000, 45_000, 300_000]))
    def check(before, after, tokens):
        history = History()
        endpoints = endpointset.EndpointSet()
        for name in NAMES:
            announce(endpoints, name)

        def choose(chooser):
            chooser.rng = random.Random(1)
            return chooser.choose(
                SERVICE, prompt_of(tokens), set(), history.now
            )

        cached = engines_lib.Chooser(
            endpoints, history.load, "", random.Random(1)
        )
        history.play(before)
        choose(cached)
        history.play(after)
        new = engines_lib.Chooser(endpoints, history.load, "", random.Random(1))
        assert choose(cached) == choose(new)

    check()


# --- candidates -----------------------------------------------------------


@given("{count:d} engines, {idle:d} of them idle and {prefilling:d} prefilling")
def engines_of(context, count, idle, prefilling):
    context.endpoints = endpointset.EndpointSet()
    context.load = workload.Workload()
    for number in range(count):
        name = f"e{number}"
        announce(context.endpoints, name, zone=f"z{number % 5}")
        if number < idle:
            continue
        context.load.add(
            work_lib.WorkItem(
                endpoint=name,
                prompt_tokens=100_000,
                writing=number >= idle + prefilling,
                gap_target_s=0.25,
                sent_at=9.9,
            )
        )


@given("{count:d} engines in 5 zones, all idle")
def all_idle(context, count):
    engines_of(context, count, count, 0)


@when("candidates are selected for a {length} prompt")
def picked(context, length):
    limits = candidates.DEFAULT_LIMITS
    candidate_counts = limits.short if length == "short" else limits.long
    sampled = candidates.sample_endpoints(
        context.endpoints.serving_endpoints("s"), 10.0, set(), random.Random(3)
    )
    context.picked = candidates.select_candidates(
        sampled, context.load.index, candidate_counts, "z0", SPEC.slots
    )
    names = [endpoint.name for endpoint in context.picked]
    assert len(set(names)) == len(names), names


@when("candidates are selected for a long prompt by a gateway of one zone")
def select_in_zone(context):
    picked(context, "long")


@then(
    "at least {some:d} idle engines are compared, at most {most:d} engines in"
    " all"
)
def compared(context, some, most):
    idle = [
        endpoint
        for endpoint in context.picked
        if not context.load.index.at(endpoint.name).works
    ]
    assert len(idle) >= some, len(idle)
    assert len(context.picked) <= most, len(context.picked)


@then("at least {count:d} engines without prefill are compared")
def without_prefill(context, count):
    found = [
        endpoint
        for endpoint in context.picked
        if not context.load.index.at(endpoint.name).is_prefilling
    ]
    assert len(found) >= count, len(found)


@then(
    "at least {near:d} of them are in its zone and at least {far:d} in others"
)
def in_and_outside_zone(context, near, far):
    zones = [
        endpoint.announcement.availability_zone for endpoint in context.picked
    ]
    assert zones.count("z0") >= near, zones
    assert len(zones) - zones.count("z0") >= far, zones


# --- losses ----------------------------------------------------------------


@given("{lost:d} of them are ejected, signed off or expired")
def lose_engines(context, lost):
    rng = random.Random(5)
    context.gone = set(rng.sample(sorted(context.endpoints.known), lost))
    for number, name in enumerate(sorted(context.gone)):
        if number % 3 == 0:
            context.endpoints.on_failure(name, 10.0, True)
        elif number % 3 == 1:
            context.endpoints.learn(registry.sign_off_announcement(name, 1))
        else:
            context.endpoints.expire(name)


@when("a prompt of {tokens:d} tokens is placed")
def placed(context, tokens):
    chooser = engines_lib.Chooser(
        context.endpoints, context.load, "z0", random.Random(7)
    )
    context.choice = chooser.choose(SERVICE, prompt_of(tokens), set(), 10.1)


@then("its memory is allocated on engines that are not lost")
def memory_found(context):
    choice = context.choice
    used = {choice.endpoint.name, *(known.name for known in choice.helpers)}
    assert not used & context.gone, used & context.gone
    lent = sum(share.tokens for share in choice.shares)
    assert lent + SPEC.kv_tokens >= 1_000_800, lent


# --- returning engines -----------------------------------------------------


@given("{count:d} engines that all decode")
def all_decode(context, count):
    engines_of(context, count, 0, 0)


@when(
    "{idle:d} idle engines are announced and {prompts:d} short prompts arrive"
)
def announced(context, idle, prompts):
    for number in range(idle):
        announce(context.endpoints, f"new{number}", zone=f"z{number % 5}")
    chooser = engines_lib.Chooser(
        context.endpoints, context.load, "z0", random.Random(9)
    )
    context.counts = {}
    for _ in range(prompts):
        name = chooser.choose(
            SERVICE, prompt_of(5_000), set(), 10.1
        ).endpoint.name
        context.counts[name] = context.counts.get(name, 0) + 1
        context.load.add(
            work_lib.WorkItem(endpoint=name, prompt_tokens=5_000, sent_at=10.1)
        )


@then("no engine gets more than {most:d} of them")
def bounded_share(context, most):
    assert max(context.counts.values()) <= most, context.counts
