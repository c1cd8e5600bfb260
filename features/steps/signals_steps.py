"""Steps that send signals to single processes."""

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

SEND_DURATION_S = 2.5
SEND_INTERVAL_S = 0.002
STOP_TIMEOUT_S = 15.0
MS_PER_S = 1_000
# Modules of the programs whose module has another name.
MODULES = {"replica": "control", "relay": "control"}
# Names of the programs that the platform's own scripts start.
PLATFORM_PREFIX = "platform "
STOPPED_MESSAGE = "before it served"
CHILD_COMMAND = [sys.executable, "-m", "features.support.signalchild"]


def free_address() -> str:
    """Return an address that no process listens on."""
    return f"{ports.HOST}:{ports.free_port()}"


def make_settings(context, program: str) -> dict:
    """Return settings of a program that reaches no other process."""
    if program == "platform replica":
        return make_settings(context, "replica") | {
            "api_listen": free_address()
        }
    program = program.removeprefix(PLATFORM_PREFIX)
    if program == "gateway":
        names = ("listen", "ready_listen", "directory_listen", "peer_listen")
        listen = {name: free_address() for name in names}
        return {"gateway": "g", "seeds": [free_address()], **listen}
    addresses = {"listen": free_address(), "admin_listen": free_address()}
    addresses["admin_token"] = "soak-token"
    if program == "entry":
        addresses["peer_listen"] = free_address()
        return {"entry": "e", "control": [free_address()], **addresses}
    if program == "standalone":
        addresses["data_folder"] = str(context.folder / "data")
        return {"fake_engines": 1, **addresses}
    if program == "relay":
        return {"replica": "r", "seeds": [free_address()], **addresses}
    return {
        "replica": "r",
        "data_folder": str(context.folder / "data"),
        **addresses,
    }


@given("the settings of a {program}")
def write_settings(context, program):
    path = context.folder / "settings.json"
    path.write_text(json.dumps(make_settings(context, program)))
    context.command = [*command_line(program), "--settings", str(path)]


def command_line(program: str) -> list[str]:
    """Return the command line of a program, without its settings."""
    if program.startswith(PLATFORM_PREFIX):
        role = program.removeprefix(PLATFORM_PREFIX)
        return [sys.executable, f"platform/{MODULES.get(role, role)}.py"]
    name = MODULES.get(program, program)
    return [sys.executable, "-m", f"_coltsfootroad.commands.{name}"]


def wait_until_survives(process, number=signal.SIGHUP) -> None:
    """Wait until the program has replaced a signal's default action."""
    processstate.wait_until(
        lambda: processstate.survives(process.pid, number),
        f"{number.name} would end the program",
    )


def has_loaded_or_exited(process) -> bool:
    """Return whether a program has imported its libraries or has exited."""
    has_exited = process.poll() is not None
    return has_exited or processstate.has_loaded(process.pid)


@when("it is started and receives {number} repeatedly from its start on")
def send_from_start(context, number):
    number = signal.Signals[number]
    context.process = subprocess.Popen(
        context.command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    process = context.process
    wait_until_survives(process, number)

    def send_and_check() -> bool:
        process.send_signal(number)
        return has_loaded_or_exited(process)

    processstate.wait_until(send_and_check, "the program does not run")
    end = time.monotonic() + SEND_DURATION_S
    while time.monotonic() < end and process.poll() is None:
        process.send_signal(number)
        time.sleep(SEND_INTERVAL_S)


@then("it is stopped and exits with code 0")
def stop_and_check(context):
    process = context.process
    try:
        assert process.poll() is None, process.returncode
        process.send_signal(signal.SIGTERM)
        end = time.monotonic() + STOP_TIMEOUT_S
        while process.poll() is None and time.monotonic() < end:
            process.send_signal(signal.SIGHUP)
            time.sleep(SEND_INTERVAL_S)
        assert process.poll() == 0, process.returncode
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()


@when("it is started and receives SIGTERM while it imports its libraries")
def stop_while_loading(context):
    context.process = subprocess.Popen(
        context.command,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    )
    process = context.process
    wait_until_survives(process, signal.SIGTERM)
    assert not processstate.has_loaded(process.pid)
    process.send_signal(signal.SIGTERM)
    _, context.errors = process.communicate(timeout=STOP_TIMEOUT_S)


@then("its output says that it was stopped before it served")
def check_stop_message(context):
    assert STOPPED_MESSAGE in context.errors, context.errors


@when("it runs and receives SIGTERM repeatedly until it exits")
def stop_repeatedly(context):
    context.process = subprocess.Popen(
        context.command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    wait_until_survives(context.process)
    # A signal before the program runs ends it at once, which is correct.
    processstate.wait_until(
        lambda: has_loaded_or_exited(context.process), "it does not run"
    )
    time.sleep(SEND_DURATION_S)
    end = time.monotonic() + STOP_TIMEOUT_S
    while time.monotonic() < end and context.process.poll() is None:
        context.process.send_signal(signal.SIGTERM)
        time.sleep(SEND_INTERVAL_S)


@then("it has ended with exit code {code:d}")
def check_exit_code(context, code):
    process = context.process
    try:
        assert process.poll() == code, process.returncode
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()


@when("it runs and receives {first}, then {then} repeatedly until it exits")
def stop_then_signal_repeatedly(context, first, then):
    context.process = subprocess.Popen(
        context.command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    process = context.process
    wait_until_survives(process)
    processstate.wait_until(
        lambda: has_loaded_or_exited(process), "it does not run"
    )
    process.send_signal(signal.Signals[first])
    end = time.monotonic() + STOP_TIMEOUT_S
    sent = 0
    while time.monotonic() < end and process.poll() is None:
        process.send_signal(signal.Signals[then])
        sent += 1
        # Varied pauses make it likely to hit a gap between two handlers.
        time.sleep(0.0001 * (sent % 7))


@when("a child receives {number} after each change of its handler")
def signal_at_each_change(context, number):
    context.child = subprocess.run(
        [*CHILD_COMMAND, signalmodes.AT_EACH_CHANGE, number],
        stdout=subprocess.PIPE,
        input="",
        text=True,
        timeout=STOP_TIMEOUT_S,
    )


@when("a child receives SIGTERM while it starts")
def stop_while_starting(context):
    context.child = subprocess.run(
        [*CHILD_COMMAND, signalmodes.STOPPED_WHILE_STARTING],
        stdout=subprocess.PIPE,
        text=True,
        timeout=STOP_TIMEOUT_S,
    )


@then("the child has drained and exited with code {code:d}")
def check_child_drained(context, code):
    words = context.child.stdout.split()
    assert context.child.returncode == code, context.child
    assert signalmodes.DRAINED in words, context.child


@given("a child that drains after {number}")
def start_draining_child(context, number):
    child = subprocess.Popen(
        [*CHILD_COMMAND, signalmodes.DRAINING],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(kill_child, child)
    assert child.stdout.readline().strip() == signalmodes.RUNS
    child.send_signal(signal.Signals[number])
    assert child.stdout.readline().strip() == signalmodes.DRAINS
    context.child = child


def kill_child(child) -> None:
    """Kill a child that a failed scenario has left running."""
    if child.poll() is None:
        child.kill()
    child.communicate()


@when("it receives {number} after {pause_s:g} s")
def signal_draining_child(context, number, pause_s):
    time.sleep(pause_s)
    context.child.send_signal(signal.Signals[number])


@then("the child exits with code {code:d}, drained: {drained}")
def check_child_exit(context, code, drained):
    context.output, context.errors = context.child.communicate(
        timeout=STOP_TIMEOUT_S
    )
    assert context.child.returncode == code, context.child.returncode
    has_drained = signalmodes.DRAINED in context.output.split()
    assert has_drained == (drained == "yes"), context.output


@then("it has written a state dump")
def check_dump(context):
    assert signalmodes.DUMP in context.errors, context.errors


@when(
    "a supervisor starts it, suspends it after {after:d} ms and sends {number}"
)
def signal_while_suspended(context, after, number):
    context.process = launching.start(
        context.command, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE
    )
    context.add_cleanup(reap, context.process)
    time.sleep(after / MS_PER_S)
    context.process.send_signal(signal.SIGSTOP)
    context.process.send_signal(signal.Signals[number])
    context.process.send_signal(signal.SIGCONT)


def reap(process) -> None:
    """Kill a process that a scenario has left running, and read its output."""
    if process.poll() is None:
        process.kill()
    process.communicate()


@then("it exits before it serves")
def check_exit_before_serving(context):
    _, errors = context.process.communicate(timeout=STOP_TIMEOUT_S)
    assert context.process.returncode == 0, context.process.returncode
    assert STOPPED_MESSAGE in errors.decode(), errors


@then("it serves until it is stopped")
def check_serves_until_stopped(context):
    process = context.process
    processstate.wait_until(
        lambda: has_loaded_or_exited(process), "it does not run"
    )
    assert process.poll() is None, process.returncode
    process.send_signal(signal.SIGTERM)
    process.communicate(timeout=STOP_TIMEOUT_S)
    assert process.returncode == 0, process.returncode


# Prints the modules that are imported when the first handler is installed.
PRINT_IMPORTS = """
import sys
sys.argv = ["colts-gateway", "--settings=none"]
before = set(sys.modules)
import _signal
install = _signal.signal
def print_and_install(*arguments):
    _signal.signal = install
    print(*sorted(set(sys.modules) - before))
    return install(*arguments)
_signal.signal = print_and_install
import _coltsfootroad.commands
"""


@when("an interpreter without site modules imports the programs' package")
def import_without_site(context):
    # -S and PYTHONPATH keep out the modules of the site and of the tests.
    context.child = subprocess.run(
        [sys.executable, "-S", "-c", PRINT_IMPORTS],
        env={"PYTHONPATH": "src"},
        capture_output=True,
        text=True,
        check=True,
        timeout=STOP_TIMEOUT_S,
    )


@then(
    "only built-in modules are imported before the first handler is installed"
)
def check_only_builtin(context):
    imported = context.child.stdout.split()
    assert imported, context.child
    own = [name for name in imported if name.startswith("_coltsfootroad")]
    others = set(imported) - set(own) - set(sys.builtin_module_names)
    assert not others, others


@given("{fault} in the settings of a {program}")
def write_faulty_settings(context, fault, program):
    write_settings(context, program)
    context.fault = fault
    path = context.folder / "settings.json"
    text = path.read_text()
    if fault == "no seeds":
        path.write_text(json.dumps(json.loads(text) | {"seeds": []}))
    elif fault == "a truncated file":
        path.write_text(text[: len(text) // 2])
    elif fault == "an address in use":
        context.listener = socket.socket()
        context.add_cleanup(context.listener.close)
        host, port = json.loads(text)["listen"].split(":")
        context.listener.bind((host, int(port)))
        context.listener.listen()


# Runs a program that sends itself a signal while its interpreter finalizes.
SIGNAL_AT_EXIT = """
import os, runpy, sys
number, module, sys.argv = int(sys.argv[1]), sys.argv[2], sys.argv[2:]
class SignalAtExit:
    def __del__(self, kill=os.kill, pid=os.getpid()):
        kill(pid, number)
sys.signal_at_exit = SignalAtExit()
runpy.run_module(module, run_name="__main__", alter_sys=True)
"""


@when("it is started and sends itself {number} while its interpreter finalizes")
def signal_at_exit(context, number):
    _, _, module, *arguments = context.command
    value = str(int(signal.Signals[number]))
    context.process = subprocess.Popen(
        [sys.executable, "-c", SIGNAL_AT_EXIT, value, module, *arguments],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    process = context.process
    context.add_cleanup(reap, process)
    if context.fault == "no fault":
        processstate.wait_until(
            lambda: has_loaded_or_exited(process), "it does not run"
        )
        process.send_signal(signal.SIGTERM)
    process.wait(STOP_TIMEOUT_S)


@when("the command {command} receives {number} {moment}")
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
    process.wait(STOP_TIMEOUT_S)


def start_command(context, command, listener) -> subprocess.Popen:
    """Start a command; the listener that it may call does not respond."""
    name = command.removeprefix("colts-")
    arguments = [sys.executable, "-m", f"_coltsfootroad.commands.{name}"]
    if name == "ctl":
        host, port = listener.getsockname()
        path = context.folder / "ctl.json"
        settings = {"control": [f"{host}:{port}"], "admin_token": "soak-token"}
        path.write_text(json.dumps(settings))
        arguments += ["--settings", str(path), "status"]
    else:
        arguments += ["examples/traces/lavared-month-end.jsonl"]
    # Children inherit ignored signals: a test under nohup ignores SIGHUP.
    before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    try:
        return launching.start(
            arguments, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        )
    finally:
        signal.signal(signal.SIGHUP, before)
