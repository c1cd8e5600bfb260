"""Steps for the calls of a platform and of operators on evacuated zones."""

import http.client
import json
import pathlib
import signal
import subprocess
import sys
import time

from behave import given
from behave import then
from behave import when

from _coltsfootroad.fakes import ports
from _coltsfootroad.shell import settings as settings_lib
from features.soak import fleet as fleet_lib
from features.steps import relay_steps
from features.support import processstate

TOKEN = relay_steps.TOKEN
PROGRAM = str(pathlib.Path("platform/control.py").resolve())
# Above the limit of a call by the time that a busy machine adds.
CALL_TIMEOUT_S = 3.0


@given('3 replicas and 1 relay that know the zones "{zones}"')
def processes_with_zones(context, zones):
    listen, admin, api = (
        [f"127.0.0.1:{port}" for port in ports.free_ports(4)] for _ in range(3)
    )
    context.admin, context.api, context.programs = admin, api, []
    for number in range(4):
        is_replica = number < 3
        folder = str(context.folder / f"data-{number}") if is_replica else ""
        settings = {
            "replica": f"r{number}",
            "listen": listen[number],
            "admin_listen": admin[number],
            "api_listen": api[number],
            "admin_token": TOKEN,
            "availability_zones": {zone: {} for zone in zones.split()},
            "data_folder": folder,
            "seeds": listen[:3],
            "first_start": True,
            "lost_at_once": 1,
            "structured_logs": True,
        }
        path = context.folder / f"control-{number}.json"
        path.write_text(json.dumps(settings))
        command = [sys.executable, PROGRAM, "--settings", str(path)]
        log = context.folder / f"{number}.log"
        program = fleet_lib.Program(f"control {number}", command, log)
        program.start()
        context.programs.append(program)
    context.add_cleanup(relay_steps.kill_all, context.programs)
    for address in api:
        processstate.wait_until(
            lambda address=address: call(address, "DELETE", "za")[0] == 200,
            f"the process at {address} does not acknowledge",
        )
    # A withdrawal of an order that was never given is acknowledged before all
    # replicas have joined, a change only after that.
    for method in ("POST", "DELETE"):
        processstate.wait_until(
            lambda method=method: call(api[0], method, "za")[0] == 200,
            f"{method} is not acknowledged",
        )


def call(address: str, method: str, zone: str) -> tuple[int, str]:
    """Return status and body of a call; the status is 0 without a response."""
    return call_path(address, method, f"/v1/evacuation/{zone}")


def call_path(
    address: str, method: str, path: str, body: bytes = b""
) -> tuple[int, str]:
    """Return status and body of a call; the status is 0 without a response."""
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read().decode()
    except OSError:
        return 0, ""
    finally:
        connection.close()


def leader_number(context) -> int:
    """Return which of the processes leads."""
    for number in range(3):
        if relay_steps.metric(context.admin[number], "colts_control_is_leader"):
            return number
    raise AssertionError("no process leads")


@then(
    'each process acknowledges an order for "{zone}" and a withdrawal, twice'
    " each"
)
def each_acknowledges(context, zone):
    for address in context.api:
        for method in ("POST", "POST", "DELETE", "DELETE"):
            status, body = call(address, method, zone)
            assert status == 200, (address, method, status, body)


@then('each process refuses an order for "{zone}" with 404, naming "{zones}"')
def each_refuses(context, zone, zones):
    for address in context.api:
        status, body = call(address, "POST", zone)
        assert status == 404, (address, status, body)
        assert zones in body, body


def run_ctl(context, *words) -> subprocess.CompletedProcess:
    """Run `colts-ctl` with JSON output."""
    path = context.folder / "ctl.json"
    settings = {"control": context.admin[:3], "admin_token": TOKEN}
    path.write_text(json.dumps(settings))
    command = [sys.executable, "-m", "_coltsfootroad.commands.ctl", "--json"]
    command += ["--settings", str(path), "evacuation", *words]
    return subprocess.run(command, capture_output=True, text=True, check=False)


@then('colts-ctl sets, lists and withdraws an order for "{zone}"')
def ctl_changes(context, zone):
    for words, evacuated in ((("set",), True), (("withdraw",), False)):
        done = run_ctl(context, *words, zone)
        assert done.returncode == 0, done
        listed = json.loads(run_ctl(context, "list").stdout)
        assert listed["availability_zones"] == ["za", "zb"], listed
        states = {o["zone"]: o["evacuated"] for o in listed["orders"]}
        assert states[zone] == evacuated, listed


@then('colts-ctl refuses an order for "{zone}" with exit code {code:d}')
def ctl_refuses(context, zone, code):
    done = run_ctl(context, "set", zone)
    assert done.returncode == code, done
    assert "za, zb" in done.stderr, done


@then("the metrics and the dump of a replica show the order")
def shown_to_operators(context):
    assert call(context.api[0], "POST", "zb")[0] == 200
    address = context.admin[leader_number(context)]
    shown = relay_steps.metric(address, "colts_control_evacuated_zones")
    assert shown == 1.0, shown
    dump = json.loads(relay_steps.admin(address, "/admin/dump"))
    assert dump["evacuation"]["zb"]["evacuated"], dump["evacuation"]


@when("all replicas but the leader are frozen")
def freeze_followers(context):
    context.leader = leader_number(context)
    context.frozen = [
        program
        for number, program in enumerate(context.programs[:3])
        if number != context.leader
    ]
    for program in context.frozen:
        program.signal(signal.SIGSTOP)


@then(
    'an order for "{zone}" is refused with 503 within {seconds:g} s by the'
    " leader and the relay"
)
def refused_in_time(context, zone, seconds):
    for number in (context.leader, 3):
        began = time.monotonic()
        status, body = call(context.api[number], "POST", zone)
        took_s = time.monotonic() - began
        assert status == 503, (number, status, body)
        assert took_s < seconds, (number, took_s)


@then("it is acknowledged within {seconds:g} s once they run again")
def acknowledged_again(context, seconds):
    thawed_at = time.monotonic()
    for program in context.frozen:
        program.signal(signal.SIGCONT)
    processstate.wait_until(
        lambda: call(context.api[3], "POST", "za")[0] == 200,
        "the order is not acknowledged",
    )
    assert time.monotonic() - thawed_at <= seconds


@then("the zones {zones} in the settings are {names}")
def zones_in_settings(context, zones, names):
    document = {
        "replica": "r",
        "listen": "127.0.0.1:1",
        "admin_listen": "127.0.0.1:2",
        "admin_token": "",
        "availability_zones": json.loads(zones),
    }
    path = context.folder / "zones.json"
    path.write_text(json.dumps(document))
    loaded = settings_lib.load(str(path), settings_lib.ControlSettings)
    if names == "refused":
        assert "availability_zones" in loaded.error, loaded
        return
    wanted = () if names == "none" else tuple(names.split())
    assert loaded.ok.availability_zones == wanted, loaded
