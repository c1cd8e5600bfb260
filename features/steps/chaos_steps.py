"""Steps that hurt a running fleet while callers use it."""

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
TRIES = 4
PAUSE_S = 0.05
SETTLE_S = 2.0
# A leader that is lost has a successor within this time.
LEADER_WITHIN_S = 2.0


class Load:
    """Callers that go on until told to stop, and what they were told."""

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
        self.threads.append(threading.Thread(target=self.watch))
        for thread in self.threads:
            thread.start()

    def own_fleet(self):
        """Return a client of the fleet for one thread."""
        return fleet_lib.Fleet(self.fleet.folder, listen=self.fleet.listen)

    def call(self, number):
        """Ask and charge in turn."""
        rng = random.Random(number)
        own = self.own_fleet()
        count = 0
        while not self.stopping.is_set():
            count += 1
            tokens = rng.randint(1, 12)
            entry = f"entry-{rng.randrange(3)}"
            response = own.complete(entry, f"question {count}", tokens)
            self.completions.append((tokens, response))
            self.charge(own, rng, f"{int(time.time())}-{number}-{count}")
            time.sleep(PAUSE_S)

    def charge(self, own, rng, key):
        """Charge, resending through other entries until it is told."""
        answers = []
        for _ in range(TRIES):
            entry = f"entry-{rng.randrange(3)}"
            response = own.charge(entry, key, key)
            answers.append(response)
            if response is not None and response.code == 200:
                break
            time.sleep(PAUSE_S)
        self.charges.append((key, answers))

    def watch(self):
        """Note the versions that entries have in force."""
        own = self.own_fleet()
        while not self.stopping.is_set():
            for number in range(3):
                name = f"entry-{number}"
                url = f"http://{own.listen[name]}/health"
                response = own.fetch(url)
                if response is not None and response.code == 200:
                    version = json.loads(response.body)["version"]
                    self.versions.append((name, version))
            time.sleep(PAUSE_S)

    def stop(self):
        """Let every caller finish what it is doing."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()


@given("callers that ask and charge without pause")
def start_load(context):
    context.load = Load(context.fleet)
    context.patches = 1


@when('"{name}" is killed and started again')
def kill_and_start(context, name):
    time.sleep(SETTLE_S)
    program = context.fleet.programs[name]
    program.kill()
    time.sleep(SETTLE_S)
    program.start()
    time.sleep(SETTLE_S)


def leader_of(fleet) -> str:
    """Return the leading replica, waiting for an election that goes on.

    Replicas are asked one after the other, so none may say that it leads while
    leadership moves. Raises AssertionError with what each of them said.
    """
    began = time.monotonic()
    end = None
    while True:
        leader, looks = look_for_leader(fleet, began)
        if leader:
            return leader
        end = end or time.monotonic() + LEADER_WITHIN_S
        if time.monotonic() > end:
            raise AssertionError(f"no replica leads: {looks}")
        time.sleep(PAUSE_S)


def look_for_leader(fleet, began: float) -> tuple[str, list[str]]:
    """Return who says that it leads, or what each replica said instead."""
    looks = []
    for number in range(fleet.replicas):
        name = f"control-{number}"
        asked_s = time.monotonic() - began
        response = fleet.admin_fetch(name, "/v1/status")
        if response is not None and response.code == 200:
            return json.loads(response.body)["leader"].partition("#")[0], []
        said = "no answer" if response is None else response.body.decode()
        took_s = time.monotonic() - began - asked_s
        looks.append(f"{name} at {asked_s:.3f} s in {took_s:.3f} s: {said}")
    return "", looks


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
    time.sleep(SETTLE_S)


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
    """Return what a failed answer says of the work."""
    if response is None or response.code == 599:
        return "unknown"
    return json.loads(response.body)["error"]["ran"]


@then('no charge ran twice and no answer of "not run" was false')
def check_charges(context):
    for key, answers in context.load.charges:
        count = context.runs.get(key, 0)
        assert count <= 1, f"{key} ran {count} times"
        whole = [a for a in answers if a is not None and a.code == 200]
        assert not whole or count == 1, f"{key} was answered but did not run"
        if not whole and all(ran_of(a) == "no" for a in answers):
            assert count == 0, f"{key} ran although all said it did not"


@then("every whole answer is the caller's own")
def check_answers(context):
    for tokens, response in context.load.completions:
        if response is None or response.code != 200:
            continue
        text = json.loads(response.body)["choices"][0]["text"]
        assert text.encode() == engine_lib.complete_text(tokens), text
    for key, answers in context.load.charges:
        if answers[-1] is not None and answers[-1].code == 200:
            assert json.loads(answers[-1].body)["echo"] == key


@then("no entry's version ever went back")
def check_versions(context):
    newest = {}
    for name, version in context.load.versions:
        assert version >= newest.get(name, 0), f"{name} went back"
        newest[name] = version
    assert max(newest.values()) == context.patches, newest


@then("at least {whole:d} answers were whole and {ran:d} charges ran")
def check_amounts(context, whole, ran):
    answered = [r for _, r in context.load.completions if r and r.code == 200]
    print(f"{len(answered)} of {len(context.load.completions)} answered,")
    print(f"{sum(context.runs.values())} charges ran")
    assert len(answered) >= whole and sum(context.runs.values()) >= ran


@attrs.define
class ElectingFleet:
    """Replicas of which the last one leads from a time on, if at all."""

    leads_at: float
    replicas: int = 3

    def admin_fetch(self, name, _path):
        """Answer as a replica does that leads, or does not."""
        leads = time.monotonic() >= self.leads_at
        if leads and name == f"control-{self.replicas - 1}":
            leader = json.dumps({"leader": f"{name}#disk"}).encode()
            return mock.Mock(code=200, body=leader)
        return mock.Mock(code=503, body=b"this replica does not lead")


@when("the leader is looked for while one leads from {after:g} s on")
def look_during_election(context, after):
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
