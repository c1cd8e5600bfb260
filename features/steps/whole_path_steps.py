"""Steps that use a running fleet of processes."""

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


@when('a caller asks "{entry}" which address to use')
def ask_address(context, entry):
    url = f"http://{context.fleet.listen[entry]}/v1/addresses"
    context.answer = json.loads(context.fleet.fetch(url).body)


@then("{count:d} addresses are named, each an entry's")
def check_addresses(context, count):
    named = set(context.answer["addresses"])
    entries = {a for n, a in context.fleet.listen.items() if "entry" in n}
    assert len(named) == count and named <= entries, context.answer


@when('a caller asks "{entry}" for {tokens:d} tokens')
def ask_tokens(context, entry, tokens):
    context.response = context.fleet.request_completion(
        entry, "a question", tokens
    )


@then("the answer is whole with {tokens:d} tokens")
def check_whole(context, tokens):
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


@step("version {version:d} comes into force at every entry")
def check_in_force(context, version):
    outcome = context.fleet.ctl("config", "watch", str(version))
    assert outcome.returncode == 0, outcome.stdout


@then('the answer is refused with "{code}" and ran "{ran}"')
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


@then("both answers are the same and say {runs:d} run")
def check_same(context, runs):
    first, second = context.responses
    assert first.code == second.code == 200, second.body
    assert first.body == second.body
    assert json.loads(first.body)["runs"] == runs, first.body


@when('the same key comes with another body through "{entry}"')
def charge_other_body(context, entry):
    context.response = context.fleet.charge(entry, context.key, "amount=2")


@when('"{entry}" gets SIGTERM while it serves a long prompt')
def terminate_busy(context, entry):
    answers = []
    fleet = context.fleet

    def ask():
        # One HTTP client serves one thread.
        own = fleet_lib.Fleet(fleet.folder, listen=fleet.listen)
        prompt = "season of logs " * 20_000
        answers.append(own.request_completion(entry, prompt, 3))

    thread = threading.Thread(target=ask)
    thread.start()
    fleet.wait_for(lambda: flights(fleet, entry), "the prompt to be admitted")
    fleet.programs[entry].signal(signal.SIGTERM)
    context.exit_code = fleet.programs[entry].process.wait(30)
    thread.join()
    context.response = answers[0]


def flights(fleet, entry):
    """Return the requests in flight at an entry."""
    return json.loads(fleet.admin_fetch(entry, "/admin/dump").body)["flights"]


@then("the long prompt is answered whole and the exit code is 0")
def check_drained(context):
    assert context.exit_code == 0
    check_whole(context, 3)


@then('"{entry}" names only itself within seconds')
def check_left(context, entry):
    def only_itself():
        ask_address(context, entry)
        return context.answer["addresses"] == [context.fleet.listen[entry]]

    context.fleet.wait_for(only_itself, "the drained entry to be left out")


@when('an operator drains "{entry}"')
def drain(context, entry):
    outcome = context.fleet.ctl("drain", context.fleet.admin[entry])
    context.exit_code = outcome.returncode


@then('"{entry}" ends by itself with exit code {code:d}')
def ends_by_itself(context, entry, code):
    assert context.fleet.programs[entry].process.wait(30) == code


@when('an operator runs "{words}"')
def run_ctl(context, words):
    context.outcome = context.fleet.ctl(*words.split())


@then('the exit code is {code:d} and it says "{said}"')
def check_said(context, code, said):
    assert context.outcome.returncode == code, context.outcome
    assert said in context.outcome.stderr, context.outcome.stderr


@then('the exit code is {code:d} and it prints "{printed}"')
def check_printed(context, code, printed):
    assert context.outcome.returncode == code, context.outcome
    assert printed in context.outcome.stdout, context.outcome.stdout


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
