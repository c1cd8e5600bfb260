"""Steps that send signals to single programs."""

import json
import signal
import socket
import subprocess
import sys
import time

from behave import given
from behave import then
from behave import when

from _coltsfootroad.fakes import launching
from _coltsfootroad.fakes import ports
from features.support import processstate
from features.support import signalmodes

SENDING_S = 2.5
GAP_S = 0.002
STOP_S = 15.0
MS = 1_000
# Modules of the commands that do not bear a program's name.
MODULES = {"replica": "control", "relay": "control"}
# Programs as the platform's own scripts start them.
PLATFORM = "platform "
STOPPED = "before it served"
CHILD = [sys.executable, "-m", "features.support.signalchild"]


def address() -> str:
    """Return an address that nobody listens on."""
    return f"{ports.HOST}:{ports.free_port()}"


def settings_of(context, program: str) -> dict:
    """Return the settings of a program that finds nobody else."""
    if program == "platform replica":
        return settings_of(context, "replica") | {"api_listen": address()}
    program = program.removeprefix(PLATFORM)
    if program == "gateway":
        names = ("listen", "ready_listen", "directory_listen", "peer_listen")
        listen = {name: address() for name in names}
        return {"gateway": "g", "seeds": [address()], **listen}
    names = {"listen": address(), "admin_listen": address()}
    names["admin_token"] = "soak-token"
    if program == "entry":
        names["peer_listen"] = address()
        return {"entry": "e", "control": [address()], **names}
    if program == "standalone":
        names["data_folder"] = str(context.folder / "data")
        return {"fake_engines": 1, **names}
    if program == "relay":
        return {"replica": "r", "seeds": [address()], **names}
    return {
        "replica": "r",
        "data_folder": str(context.folder / "data"),
        **names,
    }


@given("the settings of a {program}")
def write_settings(context, program):
    path = context.folder / "settings.json"
    path.write_text(json.dumps(settings_of(context, program)))
    context.command = [*command_of(program), "--settings", str(path)]


def command_of(program: str) -> list[str]:
    """Return how a program is started, without its settings."""
    if program.startswith(PLATFORM):
        role = program.removeprefix(PLATFORM)
        return [sys.executable, f"platform/{MODULES.get(role, role)}.py"]
    name = MODULES.get(program, program)
    return [sys.executable, "-m", f"_coltsfootroad.commands.{name}"]


def wait_until_prepared(process, number=signal.SIGHUP) -> None:
    """Wait until the interpreter has run the program's first lines."""
    processstate.wait_until(
        lambda: processstate.survives(process.pid, number),
        f"{number.name} would end the program",
    )


def runs(process) -> bool:
    """Return whether a program has loaded what it needs, or has ended."""
    ended = process.poll() is not None
    return ended or processstate.has_loaded(process.pid)


@when("it is started and gets {number} without pause from its first moments on")
def send_signals(context, number):
    number = signal.Signals[number]
    context.process = subprocess.Popen(
        context.command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    process = context.process
    wait_until_prepared(process, number)

    def sent_until_it_runs() -> bool:
        process.send_signal(number)
        return runs(process)

    processstate.wait_until(sent_until_it_runs, "the program does not run")
    end = time.monotonic() + SENDING_S
    while time.monotonic() < end and process.poll() is None:
        process.send_signal(number)
        time.sleep(GAP_S)


@then("it is told to stop and ends with exit code 0")
def stops_well(context):
    process = context.process
    try:
        assert process.poll() is None, process.returncode
        process.send_signal(signal.SIGTERM)
        end = time.monotonic() + STOP_S
        while process.poll() is None and time.monotonic() < end:
            process.send_signal(signal.SIGHUP)
            time.sleep(GAP_S)
        assert process.poll() == 0, process.returncode
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()


@when("it is started and gets SIGTERM while it loads its libraries")
def stop_while_loading(context):
    context.process = subprocess.Popen(
        context.command,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    )
    process = context.process
    wait_until_prepared(process, signal.SIGTERM)
    assert not processstate.has_loaded(process.pid)
    process.send_signal(signal.SIGTERM)
    _, context.errors = process.communicate(timeout=STOP_S)


@then("its output says that it stopped before it served")
def says_so(context):
    assert STOPPED in context.errors, context.errors


@when("it runs and gets SIGTERM without pause until it is gone")
def stopped_again_and_again(context):
    context.process = subprocess.Popen(
        context.command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    wait_until_prepared(context.process)
    # Before it runs, the signal ends it at once, which is no harm.
    processstate.wait_until(lambda: runs(context.process), "it does not run")
    time.sleep(SENDING_S)
    end = time.monotonic() + STOP_S
    while time.monotonic() < end and context.process.poll() is None:
        context.process.send_signal(signal.SIGTERM)
        time.sleep(GAP_S)


@then("it has ended with exit code {code:d}")
def ended_with(context, code):
    process = context.process
    try:
        assert process.poll() == code, process.returncode
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()


@when("it runs and gets {first}, then {then} without pause until it is gone")
def stopped_then_signalled(context, first, then):
    context.process = subprocess.Popen(
        context.command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    process = context.process
    wait_until_prepared(process)
    processstate.wait_until(lambda: runs(process), "it does not run")
    process.send_signal(signal.Signals[first])
    end = time.monotonic() + STOP_S
    sent = 0
    while time.monotonic() < end and process.poll() is None:
        process.send_signal(signal.Signals[then])
        sent += 1
        # Pauses of several lengths meet gaps between two handlers.
        time.sleep(0.0001 * (sent % 7))


@when("a child gets {number} after each change of its handler")
def signal_at_each_change(context, number):
    context.child = subprocess.run(
        [*CHILD, signalmodes.AT_EACH_CHANGE, number],
        stdout=subprocess.PIPE,
        input="",
        text=True,
        timeout=STOP_S,
    )


@when("a child gets SIGTERM while it starts")
def stop_while_starting(context):
    context.child = subprocess.run(
        [*CHILD, signalmodes.STOPPED_WHILE_STARTING],
        stdout=subprocess.PIPE,
        text=True,
        timeout=STOP_S,
    )


@then("the child has drained and ended with exit code {code:d}")
def child_drained(context, code):
    words = context.child.stdout.split()
    assert context.child.returncode == code, context.child
    assert signalmodes.DRAINED in words, context.child


@given("a child that drains after {number}")
def draining_child(context, number):
    child = subprocess.Popen(
        [*CHILD, signalmodes.DRAINING],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(end_child, child)
    assert child.stdout.readline().strip() == signalmodes.RUNS
    child.send_signal(signal.Signals[number])
    assert child.stdout.readline().strip() == signalmodes.DRAINS
    context.child = child


def end_child(child) -> None:
    """End a child that a failed scenario has left."""
    if child.poll() is None:
        child.kill()
    child.communicate()


@when("it gets {number} after {pause_s:g} s")
def signal_draining_child(context, number, pause_s):
    time.sleep(pause_s)
    context.child.send_signal(signal.Signals[number])


@then("the child ends with exit code {code:d}, drained: {drained}")
def child_ended(context, code, drained):
    context.output, context.errors = context.child.communicate(timeout=STOP_S)
    assert context.child.returncode == code, context.child.returncode
    has_drained = signalmodes.DRAINED in context.output.split()
    assert has_drained == (drained == "yes"), context.output


@then("it has written a dump")
def dump_was_written(context):
    assert signalmodes.DUMP in context.errors, context.errors


@when(
    "a supervisor starts it, suspends it after {after:d} ms and sends {number}"
)
def signal_suspended(context, after, number):
    context.process = launching.start(
        context.command, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE
    )
    context.add_cleanup(reap, context.process)
    time.sleep(after / MS)
    context.process.send_signal(signal.SIGSTOP)
    context.process.send_signal(signal.Signals[number])
    context.process.send_signal(signal.SIGCONT)


def reap(process) -> None:
    """End a process that a scenario has left."""
    if process.poll() is None:
        process.kill()
    process.communicate()


@then("it ends before it serves")
def ends_before_it_serves(context):
    _, errors = context.process.communicate(timeout=STOP_S)
    assert context.process.returncode == 0, context.process.returncode
    assert STOPPED in errors.decode(), errors


@then("it serves until it is stopped")
def serves_until_stopped(context):
    process = context.process
    processstate.wait_until(lambda: runs(process), "it does not run")
    assert process.poll() is None, process.returncode
    process.send_signal(signal.SIGTERM)
    process.communicate(timeout=STOP_S)
    assert process.returncode == 0, process.returncode


# Prints what had been imported when the first handler was installed.
IMPORTED = """
import sys
sys.argv = ["colts-gateway", "--settings=none"]
before = set(sys.modules)
import _signal
install = _signal.signal
def installed(*words):
    _signal.signal = install
    print(*sorted(set(sys.modules) - before))
    return install(*words)
_signal.signal = installed
import _coltsfootroad.commands
"""


@when("the programs' package is imported by a bare interpreter")
def import_bare(context):
    # Neither the site's modules nor those of the test.
    context.child = subprocess.run(
        [sys.executable, "-S", "-c", IMPORTED],
        env={"PYTHONPATH": "src"},
        capture_output=True,
        text=True,
        check=True,
        timeout=STOP_S,
    )


@then("only built-in modules are there when signals are handled")
def only_builtin(context):
    found = context.child.stdout.split()
    assert found, context.child
    own = [name for name in found if name.startswith("_coltsfootroad")]
    others = set(found) - set(own) - set(sys.builtin_module_names)
    assert not others, others


@given("{fault} in the settings of a {program}")
def write_faulty_settings(context, fault, program):
    write_settings(context, program)
    context.fault = fault
    path = context.folder / "settings.json"
    text = path.read_text()
    if fault == "no seeds":
        path.write_text(json.dumps(json.loads(text) | {"seeds": []}))
    elif fault == "half a file":
        path.write_text(text[: len(text) // 2])
    elif fault == "a busy address":
        context.busy = socket.socket()
        context.add_cleanup(context.busy.close)
        host, port = json.loads(text)["listen"].split(":")
        context.busy.bind((host, int(port)))
        context.busy.listen()


# Runs a program that signals itself once its interpreter finalizes.
ENDING = """
import os, runpy, sys
number, module, sys.argv = int(sys.argv[1]), sys.argv[2], sys.argv[2:]
class Last:
    def __del__(self, kill=os.kill, pid=os.getpid()):
        kill(pid, number)
sys.last_of_all = Last()
runpy.run_module(module, run_name="__main__", alter_sys=True)
"""


@when("it is started and sends itself {number} while its interpreter ends")
def signal_at_the_end(context, number):
    _, _, module, *arguments = context.command
    value = str(int(signal.Signals[number]))
    context.process = subprocess.Popen(
        [sys.executable, "-c", ENDING, value, module, *arguments],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    process = context.process
    context.add_cleanup(reap, process)
    if context.fault == "nothing wrong":
        processstate.wait_until(lambda: runs(process), "it does not run")
        process.send_signal(signal.SIGTERM)
    process.wait(STOP_S)


@when("the command {command} gets {number} {moment}")
def signal_command(context, command, number, moment):
    listener = socket.create_server((ports.HOST, 0))
    context.add_cleanup(listener.close)
    process = start_command(context, command, listener)
    context.process = process
    context.add_cleanup(reap, process)
    if moment == "while it waits":
        listener.settimeout(processstate.MAX_START_S)
        connection, _ = listener.accept()
        context.add_cleanup(connection.close)
    else:
        processstate.wait_until(
            lambda: not processstate.survives(process.pid, signal.SIGTERM),
            "it blocks signals",
        )
    process.send_signal(signal.Signals[number])
    process.wait(STOP_S)


def start_command(context, command, listener) -> subprocess.Popen:
    """Start a command that gets no response from a listener."""
    name = command.removeprefix("colts-")
    words = [sys.executable, "-m", f"_coltsfootroad.commands.{name}"]
    if name == "ctl":
        host, port = listener.getsockname()
        path = context.folder / "ctl.json"
        settings = {"control": [f"{host}:{port}"], "admin_token": "soak-token"}
        path.write_text(json.dumps(settings))
        words += ["--settings", str(path), "status"]
    else:
        words += ["examples/traces/lavared-month-end.jsonl"]
    # What the process of a test ignores, as under nohup, its children ignore.
    before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    try:
        return launching.start(
            words, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        )
    finally:
        signal.signal(signal.SIGHUP, before)
