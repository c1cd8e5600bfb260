"""Steps that send signals to single programs."""

import json
import signal
import subprocess
import sys
import time

from behave import given
from behave import then
from behave import when

from _coltsfootroad.fakes import ports
from features.support import running

SENDING_S = 2.5
GAP_S = 0.002
STOP_S = 15.0
# Modules of the commands that do not bear a program's name.
MODULES = {"replica": "control", "relay": "control"}


def address() -> str:
    """Return an address that nobody listens on."""
    return f"{ports.HOST}:{ports.free_port()}"


def settings_of(context, program: str) -> dict:
    """Return the settings of a program that finds nobody else."""
    if program == "gateway":
        names = ("listen", "ready_listen", "directory_listen", "peer_listen")
        listen = {name: address() for name in names}
        return {"gateway": "g", "seeds": [address()], **listen}
    names = {"listen": address(), "admin_listen": address()}
    names["admin_token"] = "soak-token"
    if program == "entry":
        names["peer_listen"] = address()
        return {"entry": "e", "control": [address()], **names}
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
    name = MODULES.get(program, program)
    context.command = [sys.executable, "-m", f"_coltsfootroad.commands.{name}"]
    context.command += ["--settings", str(path)]


def wait_until_prepared(process) -> None:
    """Wait until the interpreter has run the program's first lines."""
    running.wait_until(
        lambda: running.bears(process.pid, signal.SIGHUP),
        "SIGHUP would end the program",
    )


def runs(process) -> bool:
    """Return whether a program has loaded what it needs, or has ended."""
    ended = process.poll() is not None
    return ended or running.handles(process.pid, signal.SIGTERM)


@when("it is started and gets SIGHUP without pause from its first moments on")
def send_signals(context):
    context.process = subprocess.Popen(
        context.command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    process = context.process
    wait_until_prepared(process)

    def sent_until_it_runs() -> bool:
        process.send_signal(signal.SIGHUP)
        return runs(process)

    running.wait_until(sent_until_it_runs, "the program does not run")
    end = time.monotonic() + SENDING_S
    while time.monotonic() < end and process.poll() is None:
        process.send_signal(signal.SIGHUP)
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


@when("it runs and gets SIGTERM without pause until it is gone")
def stopped_again_and_again(context):
    context.process = subprocess.Popen(
        context.command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    wait_until_prepared(context.process)
    # Before it runs, the signal ends it at once, which is no harm.
    running.wait_until(lambda: runs(context.process), "it does not run")
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
