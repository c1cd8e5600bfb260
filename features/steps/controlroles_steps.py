"""Steps on the machines that run control in deployments of different shapes."""

import math
import pathlib
import tomllib

from behave import then
from behave import when

from _coltsfootroad.control import membership

DEPLOY_FILE = pathlib.Path("deploy/system.toml")


def control_share() -> float:
    """Return the share of a zone's machines that run control."""
    return tomllib.loads(DEPLOY_FILE.read_text())["roles"]["control"]["share"]


@when(
    "control is deployed on zones of {machines} machines of which {disks} have"
    " a disk"
)
def deploy_control(context, machines, disks):
    share = control_share()
    context.voters = context.relays = 0
    zones = zip(machines.split(), disks.split(), strict=True)
    for machine_count, disk_count in zones:
        running = math.ceil(share * int(machine_count))
        context.voters += min(running, int(disk_count))
        context.relays += max(0, running - int(disk_count))


@then("{voters:d} replicas vote and {relays:d} processes only relay")
def roles_counted(context, voters, relays):
    counted = (context.voters, context.relays)
    assert counted == (voters, relays), counted


@then("the voters suffice to tolerate {losses:d} losses")
def voters_suffice(context, losses):
    needed = membership.Membership(2 * losses + 1).required_voters
    assert context.voters >= needed, context.voters


@then("the voters do not suffice to tolerate {losses:d} losses")
def voters_do_not_suffice(context, losses):
    needed = membership.Membership(2 * losses + 1).required_voters
    assert context.voters < needed, context.voters
