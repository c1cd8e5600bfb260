"""Steps for programs whose listen addresses are in use."""

import json
import socket
import subprocess

from behave import given
from behave import then
from behave import when

from _coltsfootroad.shell import settings as settings_lib
from features.support import processstate

# Settings of each program whose address is bound by a UDP socket.
UDP_SETTINGS = {"gateway": ("peer_listen",)}


@given("another program listens on its {setting} address")
def take_address(context, setting):
    path = context.folder / "settings.json"
    context.address = json.loads(path.read_text())[setting]
    program = context.command[2].rpartition(".")[2]
    is_udp = setting in UDP_SETTINGS.get(program, ())
    kind = socket.SOCK_DGRAM if is_udp else socket.SOCK_STREAM
    other_socket = socket.socket(socket.AF_INET, kind)
    # A program under test that sets this option too would share the address.
    other_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    other_socket.bind(settings_lib.split_address(context.address))
    if not is_udp:
        other_socket.listen()
    context.add_cleanup(other_socket.close)


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
    context.error_output = context.process.stderr.read()


@then("its error output is about that address only")
def names_address(context):
    lines = context.error_output.splitlines()
    messages = [line for line in lines if not line.startswith("{")]
    assert f"cannot listen at {context.address}: " in messages[-1], messages
    assert all(context.address in line for line in messages), messages
