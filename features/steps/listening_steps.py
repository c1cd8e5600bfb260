"""Steps on programs whose addresses others have taken."""

import json
import socket
import subprocess

from behave import given
from behave import then
from behave import when

from _coltsfootroad.shell import settings as settings_lib
from features.support import processstate

DATAGRAMS = {"gateway": ("peer_listen",)}


@given("another program listens at its {setting}")
def take_address(context, setting):
    path = context.folder / "settings.json"
    context.address = json.loads(path.read_text())[setting]
    program = context.command[2].rpartition(".")[2]
    datagrams = setting in DATAGRAMS.get(program, ())
    kind = socket.SOCK_DGRAM if datagrams else socket.SOCK_STREAM
    holder = socket.socket(socket.AF_INET, kind)
    # It would share the address with any program that is ready to.
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    holder.bind(settings_lib.split_address(context.address))
    if not datagrams:
        holder.listen()
    context.add_cleanup(holder.close)


@when("it is started and ends")
def start_and_wait(context):
    context.process = subprocess.Popen(
        context.command,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(context.process.stderr.close)
    processstate.wait_until(
        lambda: context.process.poll() is not None, "it does not end"
    )
    context.complaints = context.process.stderr.read()


@then("it complains of that address and of nothing else")
def names_address(context):
    lines = context.complaints.splitlines()
    told = [line for line in lines if not line.startswith("{")]
    assert f"cannot listen at {context.address}: " in told[-1], told
    assert all(context.address in line for line in told), told
