"""Steps of the small features, one group per module."""

import json
import pathlib
import subprocess

from behave import given
from behave import then
from behave import when

from _coltsfootroad.control import claims
from _coltsfootroad.control import log as log_lib
from _coltsfootroad.control import messages
from _coltsfootroad.control import ready as ready_lib
from _coltsfootroad.control import shares
from _coltsfootroad.control import storage
from _coltsfootroad.core import addresses
from _coltsfootroad.core import config as config_lib
from _coltsfootroad.core import errors
from _coltsfootroad.core import fairqueue
from _coltsfootroad.core import lengths
from _coltsfootroad.core import limits
from _coltsfootroad.core import prefixes
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.fakes import fleet as fleet_lib
from _coltsfootroad.replay import player
from _coltsfootroad.replay import trace as trace_lib
from _coltsfootroad.shell import disk
from _coltsfootroad.shell import parsing
from _coltsfootroad.shell import settings as settings_lib

NOW = 1_800_000_000.0
RETENTION_S = 86_400.0
TRACES = pathlib.Path("examples/traces")

# --- lengths -------------------------------------------------------------------


@given("256 arrivals of {short:d} tokens and {count:d} of {long:d} tokens")
def arrivals(context, short, count, long):
    context.bands = lengths.LengthBands()
    for _ in range(count):
        context.bands.observe(long)
    for _ in range(256):
        context.bands.observe(short)


@then("the short border is {border:d}")
def short_border(context, border):
    assert context.bands.short_border == border, context.bands.short_border


@then("a prompt of {tokens:d} tokens is in band {band:d}")
def in_band(context, tokens, band):
    assert context.bands.band(tokens) == band


# --- fairqueue -----------------------------------------------------------------


def prompt(name, workspace, tokens):
    """Return a request of some cost."""
    return request_lib.Request(
        request_id=name,
        workspace=workspace,
        service="s",
        prompt_tokens=tokens,
        output_tokens=0,
        arrived_at=0.0,
        deadline_at=9.0,
    )


@given('"big" queues {a:d} prompts of {x:d} tokens and "small" {b:d} of {y:d}')
def two_workspaces(context, a, x, b, y):
    context.queue = fairqueue.FairQueue()
    for name, count, tokens in (("big", a, x), ("small", b, y)):
        for number in range(count):
            context.queue.push(prompt(f"{name}{number}", name, tokens), 0)


@when("{tokens:d} tokens are dispatched")
def dispatch_equal(context, tokens):
    dispatch_weighted(context, tokens, 1, 1)


@when("{tokens:d} tokens are dispatched with weights {big:d} and {small:d}")
def dispatch_weighted(context, tokens, big, small):
    context.got = {"big": 0, "small": 0}
    weights = {"big": big, "small": small}
    while sum(context.got.values()) < tokens:
        chosen = context.queue.select(lambda _: True)
        context.queue.dispatched(chosen, weights[chosen.workspace])
        context.got[chosen.workspace] += chosen.cost_tokens


@then('"big" and "small" have got about the same')
def check_same_tokens(context):
    assert abs(context.got["big"] - context.got["small"]) <= 1_000


@then('"big" has got about {times:d} times what "small" has')
def check_ratio(context, times):
    ratio = context.got["big"] / context.got["small"]
    assert abs(ratio - times) < 0.5, ratio


@given("{a:d} long prompt of {x:d} tokens and {b:d} short ones of {y:d} wait")
def long_and_short(context, a, x, b, y):
    context.queue = fairqueue.FairQueue()
    for number in range(a):
        context.queue.push(prompt(f"long{number}", "w", x), 2)
    for number in range(b):
        context.queue.push(prompt(f"short{number}", "w", y), 0)


@then("the long prompt is dispatched after {count:d} short ones")
def check_turn(context, count):
    for number in range(count + 1):
        chosen = context.queue.select(lambda _: True)
        context.queue.dispatched(chosen, 1)
        is_long = chosen.request_id.startswith("long")
        assert is_long == (number == count), number


@then("priority {priority:d} scales a weight by {factor:g}")
def check_priority(context, priority, factor):
    assert abs(fairqueue.priority_factor(priority) - factor) < 1e-3


# --- config --------------------------------------------------------------------


@when("the configuration {document} is parsed")
def parse_config(context, document):
    context.result = config_lib.parse(json.loads(document))


@then('it is refused with words "{words}"')
def refused_with_words(context, words):
    assert context.result.is_error()
    assert words in context.result.error.message, context.result.error


@when("{patch} is merged into {target}")
def merge(context, patch, target):
    context.document = config_lib.merge_patch(
        json.loads(target), json.loads(patch)
    )


@then("the document is {result}")
def check_document(context, result):
    assert context.document == json.loads(result), context.document


# --- prefixes ------------------------------------------------------------------


@given("an engine whose events {events} have been applied")
def apply_events(context, events):
    context.index = prefixes.PrefixIndex()
    for event in events.split():
        number, _, marks = event.partition(":")
        pairs = list(zip(marks[::2], marks[1::2], strict=True))
        context.index.apply(
            prefixes.CacheEvent(
                endpoint="e",
                incarnation=1,
                seq=int(number),
                stored=tuple(b for sign, b in pairs if sign == "+"),
                evicted=tuple(b for sign, b in pairs if sign == "-"),
            ),
            0.0,
        )


@when("{seconds:d} seconds have passed")
def pass_time(context, seconds):
    context.now = float(seconds)


@then("the assumed cached share of blocks a, b is {share:g}")
def believed(context, share):
    found = context.index.cached_share("e", ("a", "b"), context.now)
    assert found == share, found


# --- shares --------------------------------------------------------------------

LIMITED = config_lib.Config(
    services={"s": config_lib.Service()},
    workspaces={"w": config_lib.Workspace(services=("s",), concurrency=100)},
)


@given('entries "a" and "b" and a limit of 100 requests')
def share_table(context):
    context.kept = shares.ShareTable(started_at=0.0)
    context.held = {}


def heartbeat(context, entry, wanted, now, held=None):
    """Send a heartbeat; remember what comes back."""
    holding = messages.Holding(
        workspace="w",
        grant=held[0] if held else 0,
        tokens_per_s=None,
        concurrency=held[1] if held else 0,
        in_flight=0,
        remaining_s=3.0 if held else 0.0,
    )
    request = messages.SyncRequest(
        member=addresses.Member(entry=entry, incarnation=1, address="x"),
        config_version=1,
        demands=(limits.Demand(workspace="w", concurrency=wanted),),
        holdings=(holding,) if held else (),
    )
    found = context.kept.on_sync(entry, request, LIMITED, 2, now)
    context.held[entry] = found[0].concurrency if found else 0


@when('"a" wants 200 and "b" wants 0 at {now:d} s')
def a_wants(context, now):
    heartbeat(context, "a", 200, float(now))
    assert context.held["a"] >= 80, context.held


@when('"b" wants 200 and "a" is silent at {now:d} s')
def b_wants(context, now):
    heartbeat(context, "b", 200, float(now))


@then('"b" holds what "a" does not, and at {now:d} s nearly everything')
def b_holds(context, now):
    assert context.held["a"] + context.held["b"] <= 100, context.held
    heartbeat(context, "b", 200, float(now))
    assert context.held["b"] >= 80, context.held


@when('"a" holds {held:d} and wants {wanted:d} at {now:d} s')
def a_holds(context, held, wanted, now):
    heartbeat(context, "a", wanted, float(now), (7, held))


@then('"a" is given {given_share:d}')
def a_given(context, given_share):
    assert context.held["a"] == given_share, context.held


# --- claims --------------------------------------------------------------------


def take(table, key, age, now=NOW):
    """Take a claim on a key of some age."""
    command = messages.TakeClaim(
        workspace="w",
        key=key,
        key_time=now - age,
        body_hash="h",
        token=f"t-{key}",
        lease_s=5.0,
    )
    return table.take(command, RETENTION_S, now)


@when("a claim on a key of age {age:d} is taken")
def take_aged(context, age):
    context.claim = take(claims.ClaimTable(), "k", age)


@then('its status is "{status}"')
def claim_status(context, status):
    assert context.claim.status.value == status, context.claim


@when("{count:d} claims are taken and two days pass")
def take_many(context, count):
    context.kept = claims.ClaimTable()
    for number in range(count):
        take(context.kept, f"k{number}", 1)
    context.claim = take(
        context.kept, "k1", 2 * RETENTION_S, NOW + 2 * RETENTION_S
    )


@then('no claim is kept, and the old key is "{status}"')
def none_kept(context, status):
    assert not context.kept.claims and not context.kept.by_age
    claim_status(context, status)


@when("a claim is settled with an answer of {size:d} bytes")
def settle_large(context, size):
    table = claims.ClaimTable()
    take(table, "k", 1)
    table.settle(
        messages.SettleClaim(
            workspace="w",
            key="k",
            token="t-k",
            ran=errors.Ran.YES,
            answer=request_lib.Answer(status=200, body=b"x" * size),
        )
    )
    context.claim = take(table, "k", 1)


@then('a resend is told "{status}"')
def resend_told(context, status):
    claim_status(context, status)


# --- disk ----------------------------------------------------------------------


def batch(index):
    """Return a batch of one entry."""
    return storage.Batch(
        entries=(
            log_lib.Entry(
                term=1, index=index, kind=log_lib.EntryKind.NOOP, data=b"x" * 99
            ),
        )
    )


@given("a data folder with {count:d} synced batches")
def data_folder(context, count):
    context.disk = disk.DataFolder(context.folder / "data")
    context.disk.open()
    context.disk.load()
    for index in range(1, count + 1):
        assert context.disk.store(batch(index)).is_ok()
    context.log = context.disk.log_path(1)


def flip(path, place):
    """Change one byte of a file."""
    data = bytearray(path.read_bytes())
    data[place] ^= 0xFF
    path.write_bytes(data)


def newer_format(context):
    """Let the identity name a format of the future."""
    path = context.folder / "data" / disk.IDENTITY_FILE
    document = json.loads(path.read_text()) | {"format": 9}
    path.write_text(json.dumps(document))


def lose_snapshot(context):
    """Save a snapshot and delete it."""
    meta = log_lib.SnapshotMeta(index=2, term=1, size=3)
    context.disk.save_snapshot(meta, b"abc", ready_lib.HardState(), ())
    context.disk.snapshot_path(2).unlink()


DAMAGE = {
    "nothing": lambda c: None,
    "a torn tail": lambda c: c.log.write_bytes(c.log.read_bytes()[:-7]),
    "garbage at the end": lambda c: c.log.write_bytes(
        c.log.read_bytes() + b"CFRLnonsense"
    ),
    "a bit in the middle": lambda c: flip(c.log, 200),
    "a lost identity": lambda c: (
        c.folder / "data" / disk.IDENTITY_FILE
    ).unlink(),
    "a newer format": newer_format,
    "a lost snapshot": lose_snapshot,
}


@when("the log suffers {damage}")
def damage_log(context, damage):
    DAMAGE[damage](context)


def reopen(context):
    """Open and load the folder anew; return what is in it."""
    context.disk.close()
    again = disk.DataFolder(context.folder / "data")
    try:
        again.open()
        return again.load()
    finally:
        again.close()


@then("opening it again finds {count:d} batches")
def finds(context, count):
    found = len(reopen(context).log.entries)
    assert found == count, found


@then('opening it again fails with "{words}"')
def fails_with(context, words):
    try:
        reopen(context)
    except disk.DiskError as error:
        assert words in str(error), error
    else:
        raise AssertionError("it was opened")


@then('opening it a second time fails with "{words}"')
def second_open(context, words):
    try:
        disk.DataFolder(context.folder / "data").open()
    except disk.DiskError as error:
        assert words in str(error), error
    else:
        raise AssertionError("it was opened twice")


class FullFile:
    """A file on a disk that has room for a part of a write only."""

    def __init__(self, file):
        self.file = file

    def write(self, data):
        """Write a little, then find the disk full."""
        if len(data) < 50:
            raise OSError(28, "No space left on device")
        return self.file.write(data[:-20])

    def __getattr__(self, name):
        return getattr(self.file, name)


@when("the disk is full for one batch")
def full_disk(context):
    real = context.disk.log_file
    context.disk.log_file = FullFile(real)
    context.result = context.disk.store(batch(3))
    context.disk.log_file = real


@then('the batch is refused with "{words}"')
def batch_refused(context, words):
    assert words in context.result.error.message


# --- settings ------------------------------------------------------------------

ENTRY = {
    "entry": "e",
    "listen": "127.0.0.1:1",
    "admin_listen": "127.0.0.1:2",
    "admin_token": "long-enough",
}


@given("entry settings with {key} set to {value}")
def entry_settings(context, key, value):
    context.path = context.folder / "settings.json"
    context.path.write_text(json.dumps(ENTRY | {key: json.loads(value)}))


@when("they are loaded")
def load_settings(context):
    context.result = settings_lib.load(
        str(context.path), settings_lib.EntrySettings
    )


@then('the message holds "{words}"')
def message_holds(context, words):
    assert words in context.result.error, context.result


@when("the program {program} starts with flags {flags}")
def start_with_flags(context, program, flags):
    run_program(context, program, flags.split())


def run_program(context, program, words):
    """Run a program to its end."""
    context.outcome = subprocess.run(
        [*fleet_lib.module(f"commands.{program}"), *words],
        capture_output=True,
        text=True,
        check=False,
    )


@then('it exits with {code:d} and says "{words}"')
def exits_with(context, code, words):
    assert context.outcome.returncode == code, context.outcome
    assert words in context.outcome.stderr, context.outcome.stderr
    assert "Traceback" not in context.outcome.stderr


# --- parsing -------------------------------------------------------------------


@when("a request comes with header {header} set to {value}")
def with_header(context, header, value):
    context.result = parsing.read_terms({header: value})


@when("a prompt comes with body {body}")
def with_body(context, body):
    parsed = parsing.parse_body(body.encode())
    if parsed.is_ok():
        caller = parsing.Caller(
            workspace="w", settings=config_lib.Workspace(), now=0.0
        )
        parsed = parsing.engine_request(
            parsed.ok,
            body.encode(),
            False,
            parsing.Terms(),
            caller,
            config_lib.Service(),
            4.0,
        )
    context.result = parsed


@then('it is refused with "{code}" and words "{words}"')
def refused_code(context, code, words):
    failure = context.result.error
    assert failure.code.value == code, failure
    assert words in failure.message, failure
    assert failure.ran is errors.Ran.NO


@then("the time in key {key} is {seconds:d}")
def time_in_key(context, key, seconds):
    assert int(parsing.key_time(key)) == seconds, parsing.key_time(key)


# --- replay --------------------------------------------------------------------


@when('the trace "{name}" is replayed under {policy}')
def replay_trace(context, name, policy):
    trace = trace_lib.read(str(TRACES / f"{name}.jsonl")).ok
    report = player.replay(trace, policy)
    context.unmet = player.unmet(trace, [report])


@then("its stated outcomes are met")
def outcomes_met(context):
    assert not context.unmet, context.unmet


@when('the trace "{name}" states a slowdown of at most {bound:g} for {policy}')
def state_bound(context, name, bound, policy):
    trace = trace_lib.read(str(TRACES / f"{name}.jsonl")).ok
    trace.outcomes = [
        trace_lib.OutcomeLine(measure="short_slowdown_p95", at_most=bound)
    ]
    report = player.replay(trace, policy)
    context.unmet = player.unmet(trace, [report])


@then('replaying it reports "{words}"')
def replay_reports(context, words):
    assert any(words in fault for fault in context.unmet), context.unmet


@when("a trace holds the line {line}")
def trace_line(context, line):
    path = context.folder / "trace.jsonl"
    path.write_text('{"kind": "fleet", "name": "x"}\n' + line + "\n")
    context.result = trace_lib.read(str(path))


@then('reading it says "{first}" and "{second}"')
def reading_says(context, first, second):
    assert first in context.result.error, context.result
    assert second in context.result.error, context.result
