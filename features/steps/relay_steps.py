"""Steps for control processes without a disk."""

import asyncio
import json
import sys
import time
import urllib.request

from behave import given
from behave import then

from _coltsfootroad.control import messages
from _coltsfootroad.fakes import ports
from _coltsfootroad.shell import controlrelay
from _coltsfootroad.shell import links
from features.soak import fleet as fleet_lib
from features.support import gatewaybed
from features.support import processstate

TOKEN = "soak-token"
SEEDS = 3
VERSION = "colts_control_config_version"


@given("{replicas:d} replicas and {relays:d} relays in separate processes")
def control_processes(context, replicas, relays):
    count = replicas + relays
    # Sorted by address, so that relays come first among the seeds.
    found = sorted(ports.free_ports(count))
    context.addresses = [f"127.0.0.1:{port}" for port in found]
    context.relays = context.addresses[:relays]
    context.programs = []
    context.admin = {
        address: f"127.0.0.1:{port}"
        for address, port in zip(
            context.addresses, ports.free_ports(count), strict=True
        )
    }
    for index, address in enumerate(context.addresses):
        settings = {
            "replica": f"r{index}",
            "listen": address,
            "admin_listen": context.admin[address],
            "admin_token": TOKEN,
            "data_folder": "",
            "seeds": context.addresses[:SEEDS],
            "first_start": True,
            "lost_at_once": 1 if replicas >= SEEDS else 0,
            "structured_logs": True,
        }
        if address not in context.relays:
            settings["data_folder"] = str(context.folder / f"data-{index}")
        path = context.folder / f"control-{index}.json"
        path.write_text(json.dumps(settings))
        module = "_coltsfootroad.commands.control"
        command = [sys.executable, "-m", module, "--settings", str(path)]
        program = fleet_lib.Program(
            f"control {index}", command, context.folder / f"{index}.log"
        )
        program.start()
        context.programs.append(program)
    context.add_cleanup(kill_all, context.programs)


def kill_all(programs) -> None:
    """Kill the processes that still run."""
    for program in programs:
        if program.is_running:
            program.kill()


def call_leader(address: str, message: object, seconds: float) -> object:
    """Return the leader's answer through one process, None without one."""

    async def run():
        link = links.GrpcControlClient((address,))
        end = time.monotonic() + seconds
        try:
            while time.monotonic() < end:
                answer = await link.call(message, 1.0)
                if answer.is_ok() and isinstance(
                    answer.ok, messages.RoutesCopy
                ):
                    return answer.ok
            return None
        finally:
            await link.close()

    return asyncio.run(run())


@then(
    "each process accepts a version within {seconds:g} s and forwards it to the"
    " leader"
)
def check_accepted(context, seconds):
    for number, address in enumerate(context.addresses):
        put = messages.PutRoutes(
            config=gatewaybed.config(number + 1), source=b"%d" % number
        )
        found = call_leader(address, put, seconds)
        assert found is not None, address
        assert found.version == number + 1, found


@then("the version is read back through each process")
def read_back(context):
    wanted = len(context.addresses)
    for address in context.addresses:
        found = call_leader(address, messages.ReadRoutes(), 5.0)
        assert found is not None and found.version == wanted, found


def admin(address: str, path: str) -> str:
    """Return a page of a program's admin listener."""
    request = urllib.request.Request(
        f"http://{address}{path}", headers={"Authorization": f"Bearer {TOKEN}"}
    )
    with urllib.request.urlopen(request, timeout=5.0) as response:
        return response.read().decode()


def metric(address: str, name: str) -> float:
    """Return the value of a metric without labels."""
    lines = admin(address, "/metrics").splitlines()
    (line,) = [line for line in lines if line.startswith(name)]
    return float(line.rpartition(" ")[2])


@then("each relay shows operators the version and the leader")
def shown(context):
    for address in context.relays:
        at = context.admin[address]
        processstate.wait_until(
            lambda at=at: metric(at, VERSION) == len(context.addresses),
            "the metrics do not show the version",
        )
        state = json.loads(admin(at, "/admin/dump"))
        assert state["info"]["leader"] in context.addresses, state["info"]


@then("the relay names no leader and exits with status 0 when stopped")
def check_without_leader(context):
    async def hello():
        link = links.GrpcControlClient(tuple(context.relays))
        answer = await link.call(messages.ReplicaHello(), 10.0)
        await link.close()
        return answer.ok

    (program,) = context.programs
    info = asyncio.run(hello())
    assert info.role == controlrelay.ROLE, info
    assert info.leader == ""
    ended = asyncio.run(program.stop())
    assert ended.code == 0, ended
