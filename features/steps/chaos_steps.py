"""Steps that kill and freeze processes of a fleet under load."""

import json
import random
import signal
import threading
import time
from unittest import mock

import attrs
from behave import given
from behave import then
from behave import when

from _coltsfootroad.fakes import engine as engine_lib
from _coltsfootroad.fakes import fleet as fleet_lib

CALLERS = 4
MAX_ATTEMPTS = 4
REQUEST_INTERVAL_S = 0.05
RECOVERY_S = 2.0
# A lost leader has a successor within this time.
LEADER_TIMEOUT_S = 2.0


class Load:
    """Callers that run until `stop`, and the responses that they got."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.stopping = threading.Event()
        self.completions = []
        self.charges = []
        self.versions = []
        self.threads = [
            threading.Thread(target=self.call, args=(number,))
            for number in range(CALLERS)
        ]
        self.threads.append(threading.Thread(target=self.record_versions))
        for thread in self.threads:
            thread.start()

    def create_client(self):
        """Return a client of the fleet for use by one thread."""
        return fleet_lib.Fleet(self.fleet.folder, listen=self.fleet.listen)

    def call(self, number):
        """Send completions and charges in turn."""
        rng = random.Random(number)
        client = self.create_client()
        count = 0
        while not self.stopping.is_set():
            count += 1
            tokens = rng.randint(1, 12)
            entry = f"entry-{rng.randrange(3)}"
            response = client.request_completion(
                entry, f"question {count}", tokens
            )
            self.completions.append((tokens, response))
            self.charge(client, rng, f"{int(time.time())}-{number}-{count}")
            time.sleep(REQUEST_INTERVAL_S)

    def charge(self, client, rng, key):
        """Send a charge through different entries until it succeeds."""
        responses = []
        for _ in range(MAX_ATTEMPTS):
            entry = f"entry-{rng.randrange(3)}"
            response = client.charge(entry, key, key)
            responses.append(response)
            if response is not None and response.code == 200:
                break
            time.sleep(REQUEST_INTERVAL_S)
        self.charges.append((key, responses))

    def record_versions(self):
        """Record the versions that entries use."""
        client = self.create_client()
        while not self.stopping.is_set():
            for number in range(3):
                name = f"entry-{number}"
                url = f"http://{client.listen[name]}/health"
                response = client.fetch(url)
                if response is not None and response.code == 200:
                    version = json.loads(response.body)["version"]
                    self.versions.append((name, version))
            time.sleep(REQUEST_INTERVAL_S)

    def stop(self):
        """Stop the callers after their current requests."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()


@given("callers that send completions and charges continuously")
def start_load(context):
    context.load = Load(context.fleet)
    context.patches = 1


@when('"{name}" is killed and started again')
def kill_and_start(context, name):
    time.sleep(RECOVERY_S)
    program = context.fleet.programs[name]
    program.kill()
    time.sleep(RECOVERY_S)
    program.start()
    time.sleep(RECOVERY_S)


def leader_of(fleet) -> str:
    """Return the leader, waiting for an election in progress.

    Replicas are queried one after the other, so that none may report to lead
    while leadership moves. Raises AssertionError with the replicas' responses.
    """
    started_at = time.monotonic()
    deadline = None
    while True:
        leader, responses = query_replicas(fleet, started_at)
        if leader:
            return leader
        deadline = deadline or time.monotonic() + LEADER_TIMEOUT_S
        if time.monotonic() > deadline:
            raise AssertionError(f"no replica leads: {responses}")
        time.sleep(REQUEST_INTERVAL_S)


def query_replicas(fleet, started_at: float) -> tuple[str, list[str]]:
    """Return the reported leader, or an empty name and all responses."""
    responses = []
    for number in range(fleet.replicas):
        name = f"control-{number}"
        sent_s = time.monotonic() - started_at
        response = fleet.admin_fetch(name, "/v1/status")
        if response is not None and response.code == 200:
            return json.loads(response.body)["leader"].partition("#")[0], []
        reply = "no response" if response is None else response.body.decode()
        took_s = time.monotonic() - started_at - sent_s
        responses.append(f"{name} at {sent_s:.3f} s in {took_s:.3f} s: {reply}")
    return "", responses


@when("the leader is killed and started again")
def kill_leader_and_start(context):
    kill_and_start(context, leader_of(context.fleet))


@when("an operator changes the configuration")
def change_config(context):
    document = {"services": {"assistant": {"max_queue": context.patches}}}
    code = context.fleet.patch(context.patches, document)
    assert code == 0, code
    context.patches += 1


@when("the leader is frozen for {seconds:d} s")
def freeze_leader(context, seconds):
    freeze(context, leader_of(context.fleet), seconds)


@when('"{name}" is frozen for {seconds:d} s')
def freeze(context, name, seconds):
    program = context.fleet.programs[name]
    program.signal(signal.SIGSTOP)
    time.sleep(seconds)
    program.signal(signal.SIGCONT)
    time.sleep(RECOVERY_S)


@when("the callers stop")
def stop_load(context):
    context.load.stop()
    context.fleet.programs["fakes"].stop()
    path = context.fleet.folder / "runs.json"
    counts = json.loads(path.read_bytes())
    context.runs = {}
    for name, runs in counts.items():
        if name.startswith("billing"):
            for key, count in runs.items():
                context.runs[key] = context.runs.get(key, 0) + count


def ran_of(response):
    """Return whether the work of a failed request ran, by the response."""
    if response is None or response.code == 599:
        return "unknown"
    return json.loads(response.body)["error"]["ran"]


@then('no charge ran twice and no "not run" response was false')
def check_charges(context):
    for key, responses in context.load.charges:
        count = context.runs.get(key, 0)
        assert count <= 1, f"{key} ran {count} times"
        successes = [r for r in responses if r is not None and r.code == 200]
        assert (
            not successes or count == 1
        ), f"{key} was answered but did not run"
        if not successes and all(ran_of(r) == "no" for r in responses):
            assert count == 0, f"{key} ran although all responses said not run"


@then("every complete response is the caller's own")
def check_answers(context):
    for tokens, response in context.load.completions:
        if response is None or response.code != 200:
            continue
        text = json.loads(response.body)["choices"][0]["text"]
        assert text.encode() == engine_lib.complete_text(tokens), text
    for key, responses in context.load.charges:
        if responses[-1] is not None and responses[-1].code == 200:
            assert json.loads(responses[-1].body)["echo"] == key


@then("no entry's version went back")
def check_versions(context):
    newest = {}
    for name, version in context.load.versions:
        assert version >= newest.get(name, 0), f"{name} went back"
        newest[name] = version
    assert max(newest.values()) == context.patches, newest


@then("at least {served:d} responses were complete and {ran:d} charges ran")
def check_amounts(context, served, ran):
    answered = [r for _, r in context.load.completions if r and r.code == 200]
    print(f"{len(answered)} of {len(context.load.completions)} answered,")
    print(f"{sum(context.runs.values())} charges ran")
    assert len(answered) >= served and sum(context.runs.values()) >= ran


@attrs.define
class ElectingFleet:
    """A fleet whose last replica leads from `leads_at` on."""

    leads_at: float
    replicas: int = 3

    def admin_fetch(self, name, _path):
        """Return the response of a leader or of another replica."""
        leads = time.monotonic() >= self.leads_at
        if leads and name == f"control-{self.replicas - 1}":
            leader = json.dumps({"leader": f"{name}#disk"}).encode()
            return mock.Mock(code=200, body=leader)
        return mock.Mock(code=503, body=b"this replica does not lead")


@when("the leader is looked up while one leads from {after:g} s on")
def query_during_election(context, after):
    fleet = ElectingFleet(time.monotonic() + after)
    try:
        context.found = leader_of(fleet)
    except AssertionError as error:
        context.found = str(error)


@then("{words} is found")
def found(context, words):
    assert words in context.found, context.found
    if words.startswith("no "):
        assert context.found.count("does not lead") == 3, context.found
