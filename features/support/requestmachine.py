"""Stateful fuzzing of the request path against a simple oracle."""

import json
import random

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from _coltsfootroad.core import dispatcher
from _coltsfootroad.core import endpoints
from _coltsfootroad.core import errors
from _coltsfootroad.core import grouping
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.core import servicekind
from _coltsfootroad.fakes import engine as engine_lib
from _coltsfootroad.replay import simcontrol
from _coltsfootroad.replay import world as world_lib

ENGINES = ("engine-0", "engine-1", "engine-2")
PLAIN = ("billing-0", "billing-1")
ENTRIES = ("entry-0", "entry-1")
KV_TOKENS = 20_000
CONCURRENCY = 6
TOKENS_PER_S = 60_000
BOUND_S = 3.0
LEAVE_S = 4.0
SLACK_S = 0.2
MAX_HEARTBEATS_PER_S = 13
MAX_DEADLINE_S = 12.0
SETTLE_S = 45.0
CONFIG = {
    "services": {
        "assistant": {"kind": "engine"},
        "billing": {"kind": "plain"},
    },
    "workspaces": {
        "shop": {
            "services": ["assistant", "billing"],
            "concurrency": CONCURRENCY,
            "tokens_per_s": TOKENS_PER_S,
        }
    },
    "fleet": {
        "staleness_bound_s": BOUND_S,
        "address_validity_s": 1,
        "endpoint_lease_s": 3,
    },
}


SLOW_FACTOR = 8.0
LOSS = 0.3
DUPLICATION = 0.5
DELAY_S = 0.4
# Long enough to be killed in the middle.
PLAIN_S = 0.4
FAULTS = (
    "kill_endpoint",
    "leave",
    "slow",
    "kill_entry",
    "freeze",
    "drain",
    "cut_control",
    "cut_endpoint",
    "lose_messages",
    "repeat_messages",
    "delay_messages",
    "stop_control",
    "lie",
)
MENDS = (
    "start_control",
    "heal",
    "start_entries",
    "speed_up",
    "start_endpoints",
)


@attrs.frozen
class Place:
    """Where a fault strikes."""

    endpoint: str
    engine: str
    entry: str
    seconds: float
    flag: bool


PLACES = st.builds(
    Place,
    endpoint=st.sampled_from(ENGINES + PLAIN),
    engine=st.sampled_from(ENGINES),
    entry=st.sampled_from(ENTRIES),
    seconds=st.sampled_from((0.5, 6.0)),
    flag=st.booleans(),
)


@attrs.define
class Oracle:
    """What must hold, judged from outside."""

    world: world_lib.World
    accepted: list[tuple[float, int]] = attrs.Factory(list)
    versions: dict[str, int] = attrs.Factory(dict)
    left_at: dict[str, float] = attrs.Factory(dict)
    frozen: set[str] = attrs.Factory(set)
    uninformed: set[str] = attrs.Factory(set)
    checked_dispatches: int = 0

    def check(self) -> None:
        """Check all that must hold at any moment."""
        for record in self.world.callers.records.values():
            self.check_record(record)
        for entry in self.world.entries.by_name.values():
            if entry.alive and self.world.network.now >= entry.frozen_until:
                dispatcher.check_invariants(entry.core)
                self.check_version(entry)
        self.check_shares()
        self.check_leaving()
        most = len(ENTRIES) * (
            MAX_HEARTBEATS_PER_S * self.world.network.now + 20
        )
        assert self.world.entries.heartbeats <= most, "storm of heartbeats"

    def check_record(self, record) -> None:
        """Check one request: one end, whole, true, at most once."""
        request = record.request
        runs = self.world.endpoints.runs
        assert record.ends <= 1, f"{request.request_id} ended twice"
        if request.idempotency_key:
            assert runs.get(request.idempotency_key, 0) <= 1, "ran twice"
        if request.non_idempotent:
            assert runs.get(request.request_id, 0) <= 1, "ran twice"
        failure = record.failure
        if failure is not None and failure.ran is errors.Ran.NO:
            assert not runs.get(request.request_id), f"it ran: {failure}"
        if record.finished:
            self.check_whole(record)

    def check_whole(self, record) -> None:
        """Check that an answer is whole and the caller's own."""
        request = record.request
        if request.kind is servicekind.ServiceKind.PLAIN:
            wanted = f"done {request.body_hash}".encode()
            assert record.answer.body == wanted, record.answer
            return
        data = b"".join(record.data)
        assert data == engine_lib.whole_text(request.output_tokens), data

    def check_version(self, entry) -> None:
        """Check that versions never revert and are young in force."""
        fresh = entry.core.freshness
        now = self.world.network.now
        last = self.versions.get(entry.name, -1)
        if fresh.is_current(now):
            assert fresh.version >= last, "configuration reverted"
            self.versions[entry.name] = fresh.version
            due = [v for at, v in self.accepted if at <= now - BOUND_S]
            assert fresh.version >= max(due, default=0), "stale in force"

    def check_shares(self) -> None:
        """Check that leased shares never exceed the fleet's limit."""
        tokens = concurrency = 0.0
        now = self.world.network.now
        for entry in self.world.entries.by_name.values():
            meter = entry.core.limits.meters.get("shop")
            if not entry.alive or meter is None or meter.share is None:
                continue
            if now < meter.lease_until:
                tokens += meter.share.tokens_per_s
                concurrency += meter.share.concurrency
        assert tokens <= TOKENS_PER_S * 1.0001, f"shares sum to {tokens}"
        assert concurrency <= CONCURRENCY, f"shares sum to {concurrency}"

    def check_leaving(self) -> None:
        """Check that leaving endpoints get no new work after seconds."""
        dispatches = self.world.endpoints.dispatches
        for at, entry, endpoint in dispatches[self.checked_dispatches :]:
            left = self.left_at.get(endpoint)
            late = left is not None and at > left + LEAVE_S
            assert not late or entry in self.uninformed, f"{endpoint} got work"
        self.checked_dispatches = len(dispatches)

    def check_settled(self) -> None:
        """Check, once all is healed, that everything ended and is free."""
        for record in self.world.callers.records.values():
            self.check_bounded(record)
        assert not self.world.entries.flights(), self.world.entries.flights()
        held = {
            name: e.model.jobs
            for name, e in self.world.endpoints.by_name.items()
            if e.alive and e.model.jobs
        }
        assert not held and not self.world.endpoints.kv_held(), held
        assert (
            not self.world.control.hub.groups.holds
        ), "groups still hold engines"
        for entry in self.world.entries.by_name.values():
            assert not entry.core.releaser.pending, "cancels never ended"
            for pool in entry.core.pools.values():
                for view in pool.views.values():
                    assert not view.work, f"memory of {view.name} leaked"
            for meter in entry.core.limits.meters.values():
                assert not meter.in_flight and not meter.waiting, meter

    def check_bounded(self, record) -> None:
        """Check that a request ended within its bound."""
        if record.cut_off:
            return
        assert record.ends == 1, f"{record.request.request_id} never ended"
        late = record.ended_at - record.request.deadline_at
        assert late <= SLACK_S or record.entry in self.frozen, "too late"


class RequestMachine(stateful.RuleBasedStateMachine):
    """Drives a small fleet through requests and faults."""

    @stateful.initialize(seed=st.integers(0, 2**16))
    def build(self, seed):
        """Build the fleet and let it settle."""
        self.world = world_lib.build(
            random.Random(seed), report_every_s=0.5, plain_s=PLAIN_S
        )
        self.oracle = Oracle(self.world)
        self.number = 0
        self.patch_at = 0
        self.patch(CONFIG)
        for name in ENTRIES:
            self.world.entries.add(name)
        speed = engine_lib.EngineSpeed(
            kv_tokens=KV_TOKENS, chunk_tokens=2_000, token_s=0.02
        )
        for name in ENGINES:
            self.world.endpoints.add_engine(name, "assistant", speed)
        for name in PLAIN:
            self.world.endpoints.add_plain(name, "billing")
        # Past the time in which a new leader only keeps old shares.
        self.world.network.run_until(7.0)
        self.world.network.after_event = self.oracle.check

    def patch(self, document):
        """Patch the configuration; remember when it was accepted."""
        store = self.world.control.state.configs
        self.patch_at += 1
        answer = self.world.control.patch(
            f"p{self.patch_at}", store.version, json.dumps(document).encode()
        )
        assert answer.failure is None, answer
        self.oracle.accepted.append((self.world.network.now, answer.version))

    def submit(self, entry, **fields):
        """Submit a request."""
        self.number += 1
        now = self.world.network.now
        request = request_lib.Request(
            request_id=f"r{self.number}",
            workspace="shop",
            arrived_at=now,
            **fields,
        )
        self.world.callers.submit(request, entry)

    @stateful.rule(
        entry=st.sampled_from(ENTRIES),
        prompt=st.sampled_from((200, 3_000, 15_000, 30_000)),
        output=st.integers(1, 8),
        seconds=st.sampled_from((2.0, 6.0, MAX_DEADLINE_S)),
        blocks=st.sampled_from((0, 4)),
    )
    def ask(self, entry, prompt, output, seconds, blocks):
        """Ask an engine."""
        self.submit(
            entry,
            service="assistant",
            prompt_tokens=prompt,
            output_tokens=output,
            deadline_at=self.world.network.now + seconds,
            prefix_hashes=tuple(f"b{n}" for n in range(blocks)),
        )

    @stateful.rule(
        entry=st.sampled_from(ENTRIES),
        key=st.sampled_from(("", "k1", "k2", "k3")),
        body=st.sampled_from(("x", "x", "x", "y")),
        seconds=st.sampled_from((1.0, 5.0)),
    )
    def charge(self, entry, key, body, seconds):
        """Make a call that must not run twice."""
        self.submit(
            entry,
            service="billing",
            kind=servicekind.ServiceKind.PLAIN,
            prompt_tokens=1,
            output_tokens=0,
            deadline_at=self.world.network.now + seconds,
            non_idempotent=True,
            idempotency_key=key,
            key_time=simcontrol.UNIX_START,
            body_hash=f"{key}{body}",
        )

    @stateful.rule(number=st.integers(1, 40), name=st.sampled_from(ENTRIES))
    def hang_up(self, number, name):
        """Let a caller go away."""
        entry = self.world.entries.by_name[name]
        record = self.world.callers.records.get(f"r{number}")
        if record is not None and record.entry == name:
            request_id = record.request.request_id
            self.world.entries.run_core(
                entry, entry.core.on_caller_gone, request_id
            )

    @stateful.rule(seconds=st.sampled_from((0.01, 0.06, 0.3, 1.0, 4.0)))
    def wait(self, seconds):
        """Let time pass."""
        self.world.network.run_until(self.world.network.now + seconds)

    @stateful.rule(kind=st.sampled_from(FAULTS), place=PLACES)
    def fault(self, kind, place):
        """Let something fail."""
        getattr(self, kind)(place)

    @stateful.rule(kind=st.sampled_from(MENDS), place=PLACES)
    def mend(self, kind, place):
        """Mend something."""
        getattr(self, kind)(place)

    def kill_endpoint(self, place):
        """Kill an endpoint."""
        self.world.endpoints.kill(place.endpoint)

    def start_endpoints(self, _):
        """Start the endpoints that were killed."""
        for name, endpoint in list(self.world.endpoints.by_name.items()):
            if not endpoint.alive:
                self.world.endpoints.start(name)
                self.oracle.left_at.pop(name, None)

    def leave(self, place):
        """Let an endpoint say that it leaves; one of each kind stays."""
        name = place.endpoint
        may_leave = name in (ENGINES[0], PLAIN[0])
        if may_leave and self.world.endpoints.by_name[name].alive:
            self.world.endpoints.leave(name)
            self.oracle.left_at.setdefault(name, self.world.network.now)

    def slow(self, place):
        """Make an engine slow."""
        self.world.endpoints.slow(place.engine, SLOW_FACTOR)

    def speed_up(self, _):
        """Make all engines fast again."""
        for name in ENGINES:
            self.world.endpoints.slow(name, 1.0)

    def kill_entry(self, place):
        """Kill an entry."""
        self.world.entries.kill(place.entry)

    def start_entries(self, _):
        """Start the entries that were killed."""
        for name in ENTRIES:
            self.world.entries.start(name)

    def freeze(self, place):
        """Freeze an entry."""
        self.oracle.frozen.add(place.entry)
        self.oracle.uninformed.add(place.entry)
        self.world.entries.freeze(place.entry, place.seconds)

    def drain(self, place):
        """Shut an entry down."""
        if self.world.entries.by_name[place.entry].alive:
            self.world.entries.drain(place.entry)

    def cut_control(self, place):
        """Cut an entry off from the control state, one way or both."""
        self.world.network.cut("control", place.entry, place.flag)

    def cut_endpoint(self, place):
        """Cut an entry off from an endpoint, one way or both."""
        # What the endpoint says from now on may not reach the entry.
        self.oracle.uninformed.add(place.entry)
        self.world.network.cut(place.entry, place.endpoint, place.flag)

    def lose_messages(self, _):
        """Lose a part of all messages."""
        self.oracle.uninformed.update(ENTRIES)
        self.world.network.loss = LOSS

    def repeat_messages(self, _):
        """Deliver a part of all messages twice."""
        self.world.network.duplication = DUPLICATION

    def delay_messages(self, _):
        """Deliver messages late and out of order."""
        self.oracle.uninformed.update(ENTRIES)
        self.world.network.extra_delay_s = DELAY_S

    def heal(self, _):
        """End all cuts and make the network good again."""
        self.world.network.heal()
        self.world.network.loss = self.world.network.duplication = 0.0
        self.world.network.extra_delay_s = 0.0

    def stop_control(self, _):
        """Stop the control state."""
        self.world.control.stop()

    def start_control(self, _):
        """Start the control state."""
        self.world.control.start()

    @stateful.rule(size=st.integers(1, 9_999))
    def change(self, size):
        """Let an operator change the configuration."""
        if self.world.control.is_up:
            self.patch({"services": {"assistant": {"max_queue": size}}})

    def lie(self, place):
        """Let an engine report nonsense once."""
        endpoint = self.world.endpoints.by_name[place.engine]
        victim = self.world.entries.by_name[place.entry]
        if not endpoint.alive or not victim.alive:
            return
        endpoint.seq += 1
        report = endpoints.LoadReport(
            endpoint=place.engine,
            incarnation=endpoint.incarnation,
            seq=endpoint.seq,
            measured_at=self.world.network.now,
            prefill_tokens=(0, 10**9 if place.flag else 0, 0, 0),
            kv_used=0 if place.flag else 2 * KV_TOKENS,
        )
        self.world.entries.run_core(victim, victim.core.on_load, report)

    def teardown(self):
        """Heal everything, wait, and check that nothing is left over."""
        if not hasattr(self, "world"):
            return
        world = self.world
        for kind in MENDS:
            getattr(self, kind)(None)
        world.network.run_until(
            world.network.now + SETTLE_S + grouping.GROUP_LEASE_S
        )
        self.oracle.check_settled()


def settings(examples: int, steps: int) -> hypothesis.settings:
    """Return settings that give the same run every time."""
    return hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=True,
        database=None,
        deadline=None,
        print_blob=False,
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def run(machine: type, examples: int, steps: int = 30) -> None:
    """Run a machine; raises on the first thing that does not hold."""
    stateful.run_state_machine_as_test(
        machine, settings=settings(examples, steps)
    )
