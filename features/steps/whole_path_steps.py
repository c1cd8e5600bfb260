"""Steps that use a fleet of separate processes."""

import json
import signal
import threading
import time

from behave import given
from behave import step
from behave import then
from behave import when

from _coltsfootroad.fakes import engine as engine_lib
from _coltsfootroad.fakes import fleet as fleet_lib


@given(
    "a running fleet of {replicas:d} replicas, {entries:d} entries and {engines:d} engines"
)
def start_fleet(context, replicas, entries, engines):
    context.fleet = fleet_lib.Fleet(context.folder, replicas, entries, engines)
    context.fleet.start(fleet_lib.default_config())


@when('a caller requests the addresses from "{entry}"')
def request_addresses(context, entry):
    url = f"http://{context.fleet.listen[entry]}/v1/addresses"
    context.addresses = json.loads(context.fleet.fetch(url).body)


@then("{count:d} addresses are returned, each an entry's")
def check_addresses(context, count):
    named = set(context.addresses["addresses"])
    entries = {a for n, a in context.fleet.listen.items() if "entry" in n}
    assert len(named) == count and named <= entries, context.addresses


@when('a caller requests {tokens:d} tokens from "{entry}"')
def request_tokens(context, entry, tokens):
    context.response = context.fleet.request_completion(
        entry, "a question", tokens
    )


@then("the response is complete with {tokens:d} tokens")
def check_complete(context, tokens):
    assert context.response.code == 200, context.response.body
    text = json.loads(context.response.body)["choices"][0]["text"]
    assert text.encode() == engine_lib.complete_text(tokens), text


@when(
    'an operator patches version {base:d} to allow {tokens:d} tokens as "{patch_id}"'
)
def patch(context, base, tokens, patch_id):
    document = {"services": {"assistant": {"max_output_tokens": tokens}}}
    context.exit_code = context.fleet.patch(base, document, patch_id)


@then("the exit code is {code:d}")
def check_exit(context, code):
    assert context.exit_code == code, context.exit_code


@step("every entry applies version {version:d}")
def check_version_applied(context, version):
    outcome = context.fleet.ctl("config", "watch", str(version))
    assert outcome.returncode == 0, outcome.stdout


@then('the request is refused with "{code}" and ran "{ran}"')
def check_refused(context, code, ran):
    error = json.loads(context.response.body)["error"]
    assert (error["code"], error["ran"]) == (code, ran), error


@when('a charge with a fresh key goes through "{first}" and "{second}"')
def charge_twice(context, first, second):
    context.key = f"{int(time.time())}-test"
    context.responses = [
        context.fleet.charge(entry, context.key, "amount=1")
        for entry in (first, second)
    ]


@then("both responses are the same and report {runs:d} run")
def check_same(context, runs):
    first, second = context.responses
    assert first.code == second.code == 200, second.body
    assert first.body == second.body
    assert json.loads(first.body)["runs"] == runs, first.body


@when('the same key is sent with another body through "{entry}"')
def charge_other_body(context, entry):
    context.response = context.fleet.charge(entry, context.key, "amount=2")


@when('"{entry}" gets SIGTERM while it serves a long prompt')
def terminate_busy(context, entry):
    responses = []
    fleet = context.fleet

    def send_prompt():
        # An HTTP client is not shared between threads.
        client = fleet_lib.Fleet(fleet.folder, listen=fleet.listen)
        prompt = "season of logs " * 20_000
        responses.append(client.request_completion(entry, prompt, 3))

    thread = threading.Thread(target=send_prompt)
    thread.start()
    fleet.wait_for(
        lambda: requests_in_flight(fleet, entry), "the prompt to be admitted"
    )
    fleet.programs[entry].signal(signal.SIGTERM)
    context.exit_code = fleet.programs[entry].process.wait(30)
    thread.join()
    context.response = responses[0]


def requests_in_flight(fleet, entry):
    """Return the requests in flight at an entry."""
    return json.loads(fleet.admin_fetch(entry, "/admin/dump").body)["flights"]


@then("the long prompt has a complete response and the exit code is 0")
def check_drained(context):
    assert context.exit_code == 0
    check_complete(context, 3)


@then('"{entry}" returns only its own address within seconds')
def check_sole_address(context, entry):
    def returns_only_own_address():
        request_addresses(context, entry)
        return context.addresses["addresses"] == [context.fleet.listen[entry]]

    context.fleet.wait_for(
        returns_only_own_address, "the drained entry to be removed"
    )


@when('an operator drains "{entry}"')
def drain(context, entry):
    outcome = context.fleet.ctl("drain", context.fleet.admin[entry])
    context.exit_code = outcome.returncode


@then('"{entry}" exits with code {code:d}')
def check_exit_code_of(context, entry, code):
    assert context.fleet.programs[entry].process.wait(30) == code


@when('an operator runs "{words}"')
def run_ctl(context, words):
    context.outcome = context.fleet.ctl(*words.split())


@then('the exit code is {code:d} and stderr has "{text}"')
def check_stderr(context, code, text):
    assert context.outcome.returncode == code, context.outcome
    assert text in context.outcome.stderr, context.outcome.stderr


@then('the exit code is {code:d} and stdout has "{text}"')
def check_stdout(context, code, text):
    assert context.outcome.returncode == code, context.outcome
    assert text in context.outcome.stdout, context.outcome.stdout


@when("the leader is killed")
def kill_leader(context):
    context.leader = context.fleet.leader()
    context.fleet.programs[context.leader].kill()


@then("another replica leads")
def check_leader(context):
    context.fleet.wait_for(
        lambda: context.fleet.leader() not in (None, context.leader),
        "another leader",
    )


@then("an operator can patch version {base:d}")
def check_patch(context, base):
    document = {"services": {"assistant": {"max_queue": 77}}}
    assert context.fleet.patch(base, document) == 0
