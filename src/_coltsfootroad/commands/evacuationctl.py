"""Evacuation commands of `colts-ctl`."""

import json
import urllib.parse

from _coltsfootroad.commands import common
from _coltsfootroad.commands import ctlclient

PATH = "/v1/evacuation"


def list_orders(client: ctlclient.Client) -> int:
    """Print the newest order of each zone."""
    response = client.call_leader(PATH)
    if response.code != 200:
        return ctlclient.report_failure(response)
    document = json.loads(response.body)
    lines = [format_order(order) for order in document["orders"]]
    ctlclient.print_result(document, "\n".join(lines) or "none")
    return common.EXIT_OK


def format_order(order: dict) -> str:
    """Return one order as a line of text."""
    state = "evacuated" if order["evacuated"] else "in use"
    return f"{order['zone']}: {state}, change {order['revision']}"


def evacuate(client: ctlclient.Client, zone: str) -> int:
    """Order that nothing more is sent to a zone's endpoints."""
    return change(client, zone, "POST", b"")


def restore(client: ctlclient.Client, zone: str) -> int:
    """Withdraw the order."""
    return change(client, zone, "DELETE", None)


def change(
    client: ctlclient.Client, zone: str, method: str, body: bytes | None
) -> int:
    """Change a zone's order; return the exit code."""
    path = f"{PATH}/{urllib.parse.quote(zone, safe='')}"
    response = client.call_leader(path, method=method, body=body)
    if response.code != 200:
        return ctlclient.report_failure(response)
    order = json.loads(response.body)
    ctlclient.print_result(order, format_order(order))
    return common.EXIT_OK


def run(client: ctlclient.Client, arguments: list[str]) -> int | None:
    """Run an evacuation command; return None if there is no such command."""
    match arguments:
        case ["list"]:
            return list_orders(client)
        case ["set", zone]:
            return evacuate(client, zone)
        case ["withdraw", zone]:
            return restore(client, zone)
    return None
