"""Steps for unit-level features, grouped by module."""

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
from _coltsfootroad.shell import operatorapi
from _coltsfootroad.shell import parsing
from _coltsfootroad.shell import settings as settings_lib
from _coltsfootroad.shell import web

NOW = 1_800_000_000.0
RETENTION_S = 86_400.0
TRACES = pathlib.Path("examples/traces")

# --- lengths -------------------------------------------------------------------


@given("256 arrivals of {short:d} tokens and {count:d} of {long:d} tokens")
def observe_arrivals(context, short, count, long):
    context.bands = lengths.LengthBands()
    for _ in range(count):
        context.bands.observe(long)
    for _ in range(256):
        context.bands.observe(short)


@then("the upper limit of the short band is {border:d}")
def check_short_border(context, border):
    assert context.bands.short_border == border, context.bands.short_border


@then("a prompt of {tokens:d} tokens is in band {band:d}")
def check_band(context, tokens, band):
    assert context.bands.band(tokens) == band


# --- fairqueue -----------------------------------------------------------------


def prompt(name, workspace, tokens):
    """Return a request whose prompt has some tokens."""
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
def queue_two_workspaces(context, a, x, b, y):
    context.queue = fairqueue.FairQueue()
    for name, count, tokens in (("big", a, x), ("small", b, y)):
        for number in range(count):
            context.queue.push(prompt(f"{name}{number}", name, tokens), 0)


@when("{tokens:d} tokens are dispatched")
def dispatch_equal(context, tokens):
    dispatch_weighted(context, tokens, 1, 1)


@when("{tokens:d} tokens are dispatched with weights {big:d} and {small:d}")
def dispatch_weighted(context, tokens, big, small):
    context.dispatched_tokens = {"big": 0, "small": 0}
    weights = {"big": big, "small": small}
    while sum(context.dispatched_tokens.values()) < tokens:
        chosen = context.queue.select(lambda _: True)
        context.queue.on_dispatched(chosen, weights[chosen.workspace])
        context.dispatched_tokens[chosen.workspace] += chosen.cost_tokens


@then('"big" and "small" have received equal tokens within 1000')
def check_same_tokens(context):
    assert (
        abs(
            context.dispatched_tokens["big"]
            - context.dispatched_tokens["small"]
        )
        <= 1_000
    )


@then('"big" has received about {times:d} times the tokens of "small"')
def check_ratio(context, times):
    ratio = (
        context.dispatched_tokens["big"] / context.dispatched_tokens["small"]
    )
    assert abs(ratio - times) < 0.5, ratio


@given(
    "{a:d} long prompt of {x:d} tokens and {b:d} short prompts of {y:d} are queued"
)
def queue_long_and_short(context, a, x, b, y):
    context.queue = fairqueue.FairQueue()
    for number in range(a):
        context.queue.push(prompt(f"long{number}", "w", x), 2)
    for number in range(b):
        context.queue.push(prompt(f"short{number}", "w", y), 0)


@then("the long prompt is dispatched after {count:d} short prompts")
def check_long_dispatch(context, count):
    for number in range(count + 1):
        chosen = context.queue.select(lambda _: True)
        context.queue.on_dispatched(chosen, 1)
        is_long = chosen.request_id.startswith("long")
        assert is_long == (number == count), number


@then("priority {priority:d} scales a weight by {factor:g}")
def check_priority(context, priority, factor):
    assert abs(fairqueue.priority_factor(priority) - factor) < 1e-3


# --- config --------------------------------------------------------------------


@when("the configuration {document} is parsed")
def parse_config(context, document):
    context.result = config_lib.parse(json.loads(document))


@then('it is refused with a message that contains "{words}"')
def check_refusal(context, words):
    assert context.result.is_error()
    assert words in context.result.error.message, context.result.error


@when("{patch} is merged into {target}")
def merge_patch(context, patch, target):
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
        number, _, changes = event.partition(":")
        pairs = list(zip(changes[::2], changes[1::2], strict=True))
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
def check_cached_share(context, share):
    cached = context.index.cached_share("e", ("a", "b"), context.now)
    assert cached == share, cached


# --- shares --------------------------------------------------------------------

LIMITED = config_lib.Config(
    services={"s": config_lib.Service()},
    workspaces={"w": config_lib.Workspace(services=("s",), concurrency=100)},
)


@given('entries "a" and "b" and a limit of 100 requests')
def create_share_table(context):
    context.shares = shares.ShareTable(started_at=0.0)
    context.granted = {}


def send_heartbeat(context, entry, wanted, now, held=None):
    """Send a heartbeat; record the granted concurrency."""
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
    granted = context.shares.on_sync(entry, request, LIMITED, 2, now)
    context.granted[entry] = granted[0].concurrency if granted else 0


@when('"a" requests 200 and "b" requests 0 at {now:d} s')
def request_for_a(context, now):
    send_heartbeat(context, "a", 200, float(now))
    assert context.granted["a"] >= 80, context.granted


@when('"b" requests 200 and "a" sends nothing at {now:d} s')
def request_for_b(context, now):
    send_heartbeat(context, "b", 200, float(now))


@then('"a" and "b" hold at most 100, and "b" at least 80 at {now:d} s')
def check_share_of_b(context, now):
    assert context.granted["a"] + context.granted["b"] <= 100, context.granted
    send_heartbeat(context, "b", 200, float(now))
    assert context.granted["b"] >= 80, context.granted


@when('"a" holds {held:d} and requests {wanted:d} at {now:d} s')
def request_with_holding(context, held, wanted, now):
    send_heartbeat(context, "a", wanted, float(now), (7, held))


@then('"a" is granted {granted:d}')
def check_share_of_a(context, granted):
    assert context.granted["a"] == granted, context.granted


# --- claims --------------------------------------------------------------------


def take_claim(table, key, age, now=NOW):
    """Take a claim on a key that was created `age` seconds ago."""
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
def take_aged_claim(context, age):
    context.claim = take_claim(claims.ClaimTable(), "k", age)


@then('its status is "{status}"')
def check_claim_status(context, status):
    assert context.claim.status.value == status, context.claim


@when("{count:d} claims are taken and two days pass")
def take_many_claims(context, count):
    context.claims = claims.ClaimTable()
    for number in range(count):
        take_claim(context.claims, f"k{number}", 1)
    context.claim = take_claim(
        context.claims, "k1", 2 * RETENTION_S, NOW + 2 * RETENTION_S
    )


@then('no claim is kept, and the expired key is "{status}"')
def check_no_claim(context, status):
    assert not context.claims.claims and not context.claims.by_age
    check_claim_status(context, status)


@when("a claim is settled with a response of {size:d} bytes")
def settle_with_response(context, size):
    table = claims.ClaimTable()
    take_claim(table, "k", 1)
    table.settle(
        messages.SettleClaim(
            workspace="w",
            key="k",
            token="t-k",
            ran=errors.Ran.YES,
            answer=request_lib.Answer(status=200, body=b"x" * size),
        )
    )
    context.claim = take_claim(table, "k", 1)


@then('a retry with the same key gets the status "{status}"')
def check_resend(context, status):
    check_claim_status(context, status)


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


def invert_byte(path, offset):
    """Invert the bits of one byte of a file."""
    data = bytearray(path.read_bytes())
    data[offset] ^= 0xFF
    path.write_bytes(data)


def write_newer_format(context):
    """Set the format in the identity file to a newer one."""
    path = context.folder / "data" / disk.IDENTITY_FILE
    document = json.loads(path.read_text()) | {"format": 9}
    path.write_text(json.dumps(document))


def delete_snapshot(context):
    """Save a snapshot and delete its file."""
    meta = log_lib.SnapshotMeta(index=2, term=1, size=3)
    context.disk.save_snapshot(meta, b"abc", ready_lib.HardState(), ())
    context.disk.snapshot_path(2).unlink()


DAMAGE = {
    "no damage": lambda c: None,
    "a truncated tail": lambda c: c.log.write_bytes(c.log.read_bytes()[:-7]),
    "garbage at the end": lambda c: c.log.write_bytes(
        c.log.read_bytes() + b"CFRLnonsense"
    ),
    "an inverted byte": lambda c: invert_byte(c.log, 200),
    "a missing identity": lambda c: (
        c.folder / "data" / disk.IDENTITY_FILE
    ).unlink(),
    "a newer format": write_newer_format,
    "a missing snapshot": delete_snapshot,
}


@when("the folder is left with {damage}")
def damage_folder(context, damage):
    DAMAGE[damage](context)


def reopen(context):
    """Open and load the folder again; return what is loaded."""
    context.disk.close()
    again = disk.DataFolder(context.folder / "data")
    try:
        again.open()
        return again.load()
    finally:
        again.close()


@then("opening it again finds {count:d} batches")
def check_batch_count(context, count):
    entries = len(reopen(context).log.entries)
    assert entries == count, entries


@then('opening it again fails with "{words}"')
def check_reopen_fails(context, words):
    try:
        reopen(context)
    except disk.DiskError as error:
        assert words in str(error), error
    else:
        raise AssertionError("it was opened")


@then('opening it a second time fails with "{words}"')
def check_second_open_fails(context, words):
    try:
        disk.DataFolder(context.folder / "data").open()
    except disk.DiskError as error:
        assert words in str(error), error
    else:
        raise AssertionError("it was opened twice")


class FullFile:
    """A file on a full disk, which accepts only a part of a write."""

    def __init__(self, file):
        self.file = file

    def write(self, data):
        """Write a part of the data; fail when little is left to write."""
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
def check_batch_refused(context, words):
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


@then('the error message contains "{words}"')
def check_error(context, words):
    assert words in context.result.error, context.result


@when("the program {program} starts with flags {flags}")
def start_with_flags(context, program, flags):
    run_program(context, program, flags.split())


def run_program(context, program, arguments):
    """Run a program until it exits."""
    context.outcome = subprocess.run(
        [*fleet_lib.module(f"commands.{program}"), *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


@then('it exits with {code:d} and its standard error contains "{words}"')
def check_exit(context, code, words):
    assert context.outcome.returncode == code, context.outcome
    assert words in context.outcome.stderr, context.outcome.stderr
    assert "Traceback" not in context.outcome.stderr


# --- parsing -------------------------------------------------------------------


@when("a request has header {header} set to {value}")
def parse_header(context, header, value):
    context.result = parsing.parse_options({header: value})


@when("a completion request has body {body}")
def parse_body(context, body):
    parsed = parsing.parse_body(body.encode())
    if parsed.is_ok():
        caller = parsing.Caller(
            workspace="w", settings=config_lib.Workspace(), now=0.0
        )
        parsed = parsing.engine_request(
            parsed.ok,
            body.encode(),
            False,
            parsing.RequestOptions(),
            caller,
            config_lib.Service(),
            4.0,
        )
    context.result = parsed


@then('it is refused with code "{code}" and a message that contains "{words}"')
def check_failure(context, code, words):
    failure = context.result.error
    assert failure.code.value == code, failure
    assert words in failure.message, failure
    assert failure.ran is errors.Ran.NO


@then("the time in key {key} is {seconds:d}")
def check_key_time(context, key, seconds):
    assert int(parsing.key_time(key)) == seconds, parsing.key_time(key)


# --- replay --------------------------------------------------------------------


@when('the trace "{name}" is replayed under {policy}')
def replay_trace(context, name, policy):
    trace = trace_lib.read(str(TRACES / f"{name}.jsonl")).ok
    report = player.replay(trace, policy)
    context.unmet_outcomes = player.unmet_outcomes(trace, [report])


@then("its expected outcomes are met")
def check_outcomes(context):
    assert not context.unmet_outcomes, context.unmet_outcomes


@when('the trace "{name}" expects a slowdown of at most {bound:g} for {policy}')
def replay_with_outcome(context, name, bound, policy):
    trace = trace_lib.read(str(TRACES / f"{name}.jsonl")).ok
    trace.outcomes = [
        trace_lib.OutcomeLine(measure="short_slowdown_p95", at_most=bound)
    ]
    report = player.replay(trace, policy)
    context.unmet_outcomes = player.unmet_outcomes(trace, [report])


@then('replaying it reports "{words}"')
def check_replay_reports(context, words):
    assert any(
        words in fault for fault in context.unmet_outcomes
    ), context.unmet_outcomes


@when("a trace contains the line {line}")
def read_trace_line(context, line):
    path = context.folder / "trace.jsonl"
    path.write_text('{"kind": "fleet", "name": "x"}\n' + line + "\n")
    context.result = trace_lib.read(str(path))


@then('reading it fails with "{first}" and "{second}"')
def check_trace_error(context, first, second):
    assert first in context.result.error, context.result
    assert second in context.result.error, context.result


@then("the body {text} is refused as a document")
def body_refused(_, text):
    raw = text.replace("\\xff", "\xff").encode("latin-1")
    assert web.parse_object(raw) is None


@then("the version {text} in a header is {number}")
def version_in_header(_, text, number):
    shown = {"a superscript 2": "\xb2", "5000 digits": "7" * 5_000}
    found = operatorapi.parse_if_match(shown.get(text, text))
    assert found == (None if number == "none" else int(number)), found
